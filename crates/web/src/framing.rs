//! What a response says of how its connection delimited it.
//!
//! Whoever passes a response on has a connection of its own, and delimits the body there.

use http::HeaderValue;
use http::Version;
use http::header::CONTENT_LENGTH;
use http::header::Entry;

/// Returns a response that says nothing of how its connection delimited it, but for its length.
///
/// With version 1.0 it couldn't be passed on in chunks, so that its end couldn't be told from a break. The
/// library has checked that all lengths are the same.
pub(crate) fn without_framing<B>(mut response: http::Response<B>) -> http::Response<B> {
    *response.version_mut() = Version::HTTP_11;
    if let Entry::Occupied(mut lengths) = response.headers_mut().entry(CONTENT_LENGTH)
        && let Some(length) = first_length(lengths.get())
    {
        lengths.insert(length);
    }
    response
}

/// Returns the first length of a header that may list several.
fn first_length(lengths: &HeaderValue) -> Option<HeaderValue> {
    let first = lengths.to_str().ok()?.split(',').next()?;
    HeaderValue::from_str(first.trim()).ok()
}
