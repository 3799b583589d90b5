//! Parses and validates generation requests.

use std::sync::Arc;

use base::hash;
use base::prelude::*;
use engine::generate::SamplingOptions;
use serde_json::Value;
use spec::prelude::Catalog;
use spec::prelude::ModelAccess;

use crate::entry::problem::Problem;

/// Maximum number of tokens in an answer if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Priority of a request that sets none.
pub const DEFAULT_PRIORITY: u8 = 100;
/// Fields that are accepted and ignored, because they matter only to the caller's own records.
const IGNORED_FIELDS: [&str; 5] = ["user", "metadata", "store", "stream_options", "service_tier"];

/// The format of a request and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// A validated generation request.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Its format.
    pub shape: Shape,
    /// The name by which the caller refers to the model.
    pub alias: Box<str>,
    /// The model, version and adapter that the alias stands for in the workspace.
    pub access: ModelAccess,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Seed of the sampling; random if the request sets none.
    pub seed: u64,
    /// Priority; requests with a higher one are dispatched first.
    pub priority: u8,
    /// Further options, passed to the engine unchanged.
    pub options: SamplingOptions,
    /// Hash of workspace and body.
    pub fingerprint: u64,
}

/// Parses the body of a request of `workspace`.
///
/// # Errors
///
/// [`Problem`] with the field that is not valid and its allowed values. A model that is not
/// available to the workspace is reported like one that does not exist.
pub fn read(
    catalog: &Catalog,
    workspace: &str,
    shape: Shape,
    body: &[u8],
) -> Result<GenerationRequest, Problem> {
    let value: Value = serde_json::from_slice(body)
        .map_err(|error| Problem::bad_request(None, format!("the body is not JSON: {error}")))?;
    let Value::Object(mut fields) = value else {
        return Err(Problem::bad_request(None, "the body is not a JSON object"));
    };
    let alias = take_text(&mut fields, "model")?;
    let access = access(catalog, workspace, &alias)?;
    let prompt = match shape {
        Shape::Chat => chat_prompt(&mut fields)?,
        Shape::Completion => take_text(&mut fields, "prompt")?,
    };
    let stream = take_bool(&mut fields, "stream")?;
    let limit = catalog.models.get(&access.model).map_or(u32::MAX, |model| model.max_output_tokens);
    let max_tokens = max_tokens(&mut fields, limit)?;
    let seed = take_integer(&mut fields, "seed", 0, u64::MAX)?.unwrap_or_else(random_id);
    let priority = take_integer(&mut fields, "priority", 0, u64::from(u8::MAX))?;
    refuse_more_choices(&mut fields)?;
    for ignored in IGNORED_FIELDS {
        fields.remove(ignored);
    }
    Ok(GenerationRequest {
        shape,
        alias,
        access,
        prompt: Arc::from(&*prompt),
        stream,
        max_tokens,
        seed,
        priority: priority.and_then(|number| u8::try_from(number).ok()).unwrap_or(DEFAULT_PRIORITY),
        options: fields,
        fingerprint: hash::stable(body) ^ hash::stable(workspace.as_bytes()).rotate_left(1),
    })
}

fn access(catalog: &Catalog, workspace: &str, alias: &str) -> Result<ModelAccess, Problem> {
    let models = catalog.workspaces.get(workspace).map(|workspace| &workspace.models);
    let found = models.and_then(|models| models.iter().find(|access| &*access.alias == alias));
    found.cloned().ok_or_else(|| {
        let problem = Problem::not_found(format!("model \"{alias}\" does not exist"));
        Problem { param: Some("model".into()), code: "model_not_found", ..problem }
    })
}

fn max_tokens(fields: &mut SamplingOptions, limit: u32) -> Result<u32, Problem> {
    let limit = u64::from(limit);
    let old = take_integer(fields, "max_tokens", 1, limit)?;
    let new = take_integer(fields, "max_completion_tokens", 1, limit)?;
    let wanted = new.or(old).unwrap_or(u64::from(DEFAULT_MAX_TOKENS).min(limit));
    Ok(u32::try_from(wanted).unwrap_or(u32::MAX))
}

fn refuse_more_choices(fields: &mut SamplingOptions) -> Result<(), Problem> {
    match take_integer(fields, "n", 1, 1) {
        Ok(_) => Ok(()),
        Err(_) => Err(Problem::bad_request(Some("n"), "field \"n\": only 1 choice is supported")),
    }
}

/// Joins the messages into one prompt, with one line `role: content` for each.
fn chat_prompt(fields: &mut SamplingOptions) -> Result<Box<str>, Problem> {
    let Some(Value::Array(messages)) = fields.remove("messages") else {
        return Err(wrong("messages", "a list of messages"));
    };
    if messages.is_empty() {
        return Err(wrong("messages", "a list with at least one message"));
    }
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        let part = |name: &str| {
            let field = format!("messages[{index}].{name}");
            message.get(name).and_then(Value::as_str).ok_or_else(|| wrong(&field, "text"))
        };
        prompt.push_str(part("role")?);
        prompt.push_str(": ");
        prompt.push_str(part("content")?);
        prompt.push('\n');
    }
    Ok(prompt.into())
}

fn take_text(fields: &mut SamplingOptions, name: &str) -> Result<Box<str>, Problem> {
    match fields.remove(name) {
        Some(Value::String(text)) if !text.is_empty() => Ok(text.into()),
        _ => Err(wrong(name, "text that is not empty")),
    }
}

fn take_bool(fields: &mut SamplingOptions, name: &str) -> Result<bool, Problem> {
    match fields.remove(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(value),
        Some(_) => Err(wrong(name, "true or false")),
    }
}

fn take_integer(
    fields: &mut SamplingOptions,
    name: &str,
    least: u64,
    most: u64,
) -> Result<Option<u64>, Problem> {
    match fields.remove(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().filter(|number| (least..=most).contains(number)) {
            Some(number) => Ok(Some(number)),
            None => Err(wrong(name, &format!("an integer from {least} to {most}"))),
        },
    }
}

fn wrong(field: &str, allowed: &str) -> Problem {
    Problem::bad_request(Some(field), format!("field \"{field}\": allowed is {allowed}"))
}
