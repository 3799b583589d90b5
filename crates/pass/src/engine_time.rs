//! A model of the time that a replica group takes to the first event of a request.
//!
//! An engine works in passes. A pass takes the decode steps between two flushes of the streams, and
//! reads the prompts that wait, piece by piece between the steps. A request that arrives waits for the
//! rest of the pass in progress; the next one reads its prompt, with those that arrived meanwhile, and
//! ends with its first event. A pass reads at most a chunk a step, so long prompts take several.

use base::prelude::*;
use form::prelude::*;

/// Share of the pass in progress that a request waits for on average. It is more than half, since
/// more requests arrive in a longer pass.
const MEAN_REST_OF_PASS: f64 = 0.6;
/// Share of the tokens to be read that the pass in progress reads.
const SHARE_READ_IN_PASS: f64 = 0.5;

/// Share of a group's throughput that requests may take for good. With more, random bursts make them
/// wait for each other.
const MAX_THROUGHPUT_SHARE: f64 = 0.75;

/// The size of a request.
#[data]
#[derive(Copy)]
pub struct RequestSize {
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
    /// Tokens of its answer.
    pub output_tokens: f64,
}

/// The load of a group, for the time that it takes.
#[data]
#[derive(Copy)]
pub struct BatchLoad {
    /// Requests that it runs.
    pub requests: f64,
    /// Prompt tokens that it has still to read.
    pub unread_tokens: f64,
    /// Mean number of prompt tokens of a request.
    pub mean_prompt_tokens: f64,
}

/// Returns the expected time to the first event of a request with `prompt_tokens` that is sent to a
/// group of `model` with the given load.
pub fn first_event_time(
    engine: &EngineSpec,
    model: Option<&ModelSpec>,
    load: BatchLoad,
    prompt_tokens: f64,
) -> Duration {
    let in_progress = load.unread_tokens * SHARE_READ_IN_PASS;
    let next = load.unread_tokens - in_progress + prompt_tokens;
    let seconds = MEAN_REST_OF_PASS * read_seconds(engine, load, in_progress)
        + read_seconds(engine, load, next);
    Duration::from_secs_f64(seconds * model.map_or(1.0, |model| model.time_factor))
}

/// Returns how many requests of a mean size a group of `model` can serve in a second.
///
/// With all slots in use, a pass gives each request an event and reads the prompts of those that take
/// the places of the finished ones.
pub fn capacity_per_second(
    engine: &EngineSpec,
    model: Option<&ModelSpec>,
    mean: RequestSize,
) -> f64 {
    let slots = engine.slots.max(1) as f64;
    let load =
        BatchLoad { requests: slots, unread_tokens: 0.0, mean_prompt_tokens: mean.prompt_tokens };
    let steps = f64::from(engine.steps_per_flush.max(1));
    let passes = (mean.output_tokens / steps).max(1.0);
    let writing = passes * steps * step_seconds(engine, load);
    let reading = slots * mean.prompt_tokens / engine.prefill_tokens_per_second.max(1.0);
    let time_factor = model.map_or(1.0, |model| model.time_factor);
    MAX_THROUGHPUT_SHARE * slots / (time_factor * (writing + reading))
}

/// Returns the time of the passes that read so many prompt tokens, at least one.
fn read_seconds(engine: &EngineSpec, load: BatchLoad, tokens: f64) -> f64 {
    let steps = f64::from(engine.steps_per_flush.max(1));
    let tokens_per_pass = (engine.prefill_chunk_tokens as f64 * steps).max(1.0);
    let passes = (tokens / tokens_per_pass).ceil().max(1.0);
    passes * steps * step_seconds(engine, load) + tokens / engine.prefill_tokens_per_second.max(1.0)
}

/// Returns the time of a decode step.
fn step_seconds(engine: &EngineSpec, load: BatchLoad) -> f64 {
    let context = load.mean_prompt_tokens / 1_000.0;
    let each = engine.step_time_per_request.as_secs_f64()
        + engine.step_time_per_1k_context.as_secs_f64() * context;
    engine.step_time.as_secs_f64() + load.requests * each
}
