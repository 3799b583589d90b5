//! What a request says of itself in its headers.

use base::prelude::*;
use http::HeaderMap;
use http::HeaderName;

use crate::header_names::HeaderNames;

/// Time that a caller waits when it names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// What a request to a model asks for.
#[data]
pub struct GenerationRequest {
    /// The model.
    pub model: ModelId,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_output_tokens: u64,
    /// The caller's guess at the tokens of the answer.
    pub expected_output_tokens: Option<u64>,
}

/// What a request says of itself.
#[data]
pub struct RequestMetadata {
    /// The caller's id of the request.
    pub attempt_id: Option<Box<str>>,
    /// How long the caller waits.
    pub deadline: Duration,
    /// The caller's key.
    pub api_key: Option<Box<str>>,
    /// What it asks of a model.
    pub generation: Option<GenerationRequest>,
}

impl RequestMetadata {
    /// Reads the headers of a request; what is malformed counts as absent.
    pub fn from_headers(headers: &HeaderMap, dialect: &HeaderNames) -> Self {
        RequestMetadata {
            attempt_id: text(headers, &dialect.attempt_id).map(Into::into),
            deadline: deadline(headers, dialect),
            api_key: bearer(headers),
            generation: generation(headers, dialect),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

fn deadline(headers: &HeaderMap, dialect: &HeaderNames) -> Duration {
    let millis = text(headers, &dialect.deadline_ms).and_then(|value| value.parse().ok());
    millis.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

fn bearer(headers: &HeaderMap) -> Option<Box<str>> {
    let value = text(headers, &http::header::AUTHORIZATION)?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().into())
}

fn generation(headers: &HeaderMap, dialect: &HeaderNames) -> Option<GenerationRequest> {
    let model = text(headers, &dialect.model)?;
    let (prompt, most) = text(headers, &dialect.token_counts)?.split_once(',')?;
    Some(GenerationRequest {
        model: model.into(),
        prompt_tokens: prompt.trim().parse().ok()?,
        max_output_tokens: most.trim().parse().ok()?,
        expected_output_tokens: text(headers, &dialect.length_hint)
            .and_then(|value| value.parse().ok()),
    })
}
