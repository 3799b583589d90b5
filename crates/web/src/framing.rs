//! What a response says of how its connection delimited it.
//!
//! Whoever passes a response on has a connection of its own, and delimits the body there. What remains of the first
//! connection is its [`Delimiter`]: it says whether the end of the body shows that the body is whole.

use http::Extensions;
use http::HeaderMap;
use http::HeaderValue;
use http::Version;
use http::header::CONTENT_LENGTH;
use http::header::Entry;
use http::header::TRANSFER_ENCODING;

/// What told the end of a response's body, kept in the extensions of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delimiter {
    /// A length in the head, or the kind of response, which has no body.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection. The kernel of a process that ends in the middle of a body ends the connection in order
    /// as well.
    ConnectionEnd,
}

impl Delimiter {
    /// Returns what a response that a client or a pool has returned was delimited by.
    pub fn of(extensions: &Extensions) -> Self {
        extensions.get().copied().unwrap_or(Delimiter::ConnectionEnd)
    }

    /// Returns whether the regular end of the body shows that it is whole.
    pub fn proves_whole(self) -> bool {
        match self {
            Delimiter::Length | Delimiter::Chunks => true,
            Delimiter::ConnectionEnd => false,
        }
    }
}

/// Returns a response whose headers say nothing of how its connection delimited it, but for its length; the rest is in
/// its [`Delimiter`].
///
/// With version 1.0 it couldn't be passed on in chunks, so that its end couldn't be told from a break. The
/// library has checked that all lengths are the same.
pub(crate) fn without_framing<B: http_body::Body>(
    mut response: http::Response<B>,
) -> http::Response<B> {
    let has_length = response.body().size_hint().exact().is_some();
    let delimiter = if has_length {
        Delimiter::Length
    } else if is_chunked(response.headers()) {
        Delimiter::Chunks
    } else {
        Delimiter::ConnectionEnd
    };
    response.extensions_mut().insert(delimiter);
    *response.version_mut() = Version::HTTP_11;
    if let Entry::Occupied(mut lengths) = response.headers_mut().entry(CONTENT_LENGTH)
        && let Some(length) = first_length(lengths.get())
    {
        lengths.insert(length);
    }
    response
}

/// Returns whether the last transfer coding of a body is that of chunks; otherwise its connection ends it.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns the first length of a header that may list several.
fn first_length(lengths: &HeaderValue) -> Option<HeaderValue> {
    let first = lengths.to_str().ok()?.split(',').next()?;
    HeaderValue::from_str(first.trim()).ok()
}
