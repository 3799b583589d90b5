//! The metadata in the headers of a request.

use base::prelude::*;
use http::HeaderMap;
use http::HeaderName;

use crate::header_names::HeaderNames;

/// Largest number of tokens that is considered, so that sums don't overflow.
const MAX_TOKENS: u64 = 1 << 32;
/// Timeout of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A request to generate tokens with a model.
#[data]
pub struct GenerationRequest {
    /// The model.
    pub model: ModelId,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the answer.
    pub max_output_tokens: u64,
    /// The caller's estimate of the number of tokens of the answer.
    pub expected_output_tokens: Option<u64>,
}

impl GenerationRequest {
    /// Returns how many tokens the answer is expected to have.
    pub fn likely_output_tokens(&self) -> u64 {
        self.expected_output_tokens.unwrap_or(self.max_output_tokens).min(self.max_output_tokens)
    }
}

/// The metadata of a request.
#[data]
pub struct RequestMetadata {
    /// The caller's id of the request.
    pub attempt_id: Option<Box<str>>,
    /// Time until the caller gives up.
    pub deadline: Duration,
    /// The caller's API key.
    pub api_key: Option<Box<str>>,
    /// What the request asks of a model, if it does.
    pub generation: Option<GenerationRequest>,
    /// The ids of the parts of its prompt that other requests may share, in their order.
    pub shared_parts: Vec<Box<str>>,
}

impl RequestMetadata {
    /// Reads the headers of a request; a malformed header counts as absent.
    pub fn from_headers(headers: &HeaderMap, header_names: &HeaderNames) -> Self {
        RequestMetadata {
            attempt_id: text(headers, &header_names.attempt_id).map(Into::into),
            deadline: deadline(headers, header_names),
            api_key: bearer(headers),
            generation: generation(headers, header_names),
            shared_parts: shared_parts(headers, header_names),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

fn deadline(headers: &HeaderMap, header_names: &HeaderNames) -> Duration {
    let millis = text(headers, &header_names.deadline_ms).and_then(|value| value.parse().ok());
    millis.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

fn bearer(headers: &HeaderMap) -> Option<Box<str>> {
    let value = text(headers, &http::header::AUTHORIZATION)?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().into())
}

fn generation(headers: &HeaderMap, header_names: &HeaderNames) -> Option<GenerationRequest> {
    let model = text(headers, &header_names.model)?;
    let (prompt, most) = text(headers, &header_names.token_counts)?.split_once(',')?;
    Some(GenerationRequest {
        model: model.into(),
        prompt_tokens: tokens(prompt)?,
        max_output_tokens: tokens(most)?,
        expected_output_tokens: text(headers, &header_names.length_hint)
            .and_then(|value| value.parse().ok()),
    })
}

/// Returns a number of tokens; a larger one than any server holds counts as [`MAX_TOKENS`].
fn tokens(text: &str) -> Option<u64> {
    text.trim().parse().ok().map(|tokens: u64| tokens.min(MAX_TOKENS))
}

/// Returns the parts of the prompt but for the last, which belongs to the request alone.
fn shared_parts(headers: &HeaderMap, header_names: &HeaderNames) -> Vec<Box<str>> {
    let lines = headers.get_all(&header_names.prompt_parts).iter();
    let entries = lines.filter_map(|line| line.to_str().ok()).flat_map(|line| line.split(','));
    let id = |part: &str| part.split_once(':').map(|(id, _tokens)| id.trim().into());
    let mut parts: Vec<Option<Box<str>>> = entries.map(id).collect();
    // An entry of another form holds its place, so that it isn't taken for the request's own part.
    parts.pop();
    parts.into_iter().flatten().collect()
}
