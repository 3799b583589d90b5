//! The models to be served, and the performance figures of their engines.
//!
//! Forecasts divide by these figures and turn what follows into times, so each must lie in a range in which
//! that is defined. A figure is only an estimate: one out of its range is replaced by the nearest in it and
//! reported, and the service goes on.

use std::ops::RangeInclusive;

use base::prelude::*;

/// Range of the times of a decode step.
const STEP_TIMES: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(60);
/// Range of the times to load a model or to open a group.
const LOAD_TIMES: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(24 * 3_600);
/// Range of a model's factor of all times.
const TIME_FACTORS: RangeInclusive<f64> = 1e-3..=1e3;
/// Range of shares of the work.
const SHARES: RangeInclusive<f64> = 0.0..=1.0;
/// Range of rates, in tokens or loads a second.
const RATES: RangeInclusive<f64> = 1e-3..=1e9;
/// Range of mean numbers of tokens.
const MEAN_TOKENS: RangeInclusive<f64> = 1.0..=1e9;
/// Range of numbers of tokens.
const TOKENS: RangeInclusive<u64> = 1..=1 << 40;
/// Range of the decode steps between two flushes.
const STEPS: RangeInclusive<u32> = 1..=1 << 16;
/// Range of concurrent requests or loads.
const COUNTS: RangeInclusive<usize> = 1..=1 << 20;

/// A model that replica groups serve.
#[data]
pub struct ModelSpec {
    /// Its name.
    pub name: ModelId,
    /// Number of members of a group.
    pub group_size: usize,
    /// Factor by which all step and prefill times of [`EngineSpec`] are multiplied for this model.
    pub time_factor: f64,
    /// Share of the work, from 0 to 1, that is assumed for this model before any demand was
    /// observed.
    pub initial_demand_share: f64,
    /// Time to load its weights from the weight store.
    pub store_load_time: Duration,
    /// Time to load its weights from the memory of the host into the accelerators.
    pub host_load_time: Duration,
}

/// The engines of a model service.
#[data]
pub struct EngineSpec {
    /// The models that the service offers.
    pub models: Vec<ModelSpec>,
    /// Requests that a group runs concurrently.
    pub slots: usize,
    /// Tokens that fit into the KV cache of a group.
    pub kv_cache_tokens: u64,
    /// Duration of one decode step without any request.
    pub step_time: Duration,
    /// Time that each running request adds to a decode step.
    pub step_time_per_request: Duration,
    /// Time that 1,000 tokens of context add to a decode step, for each running request.
    pub step_time_per_1k_context: Duration,
    /// Prompt tokens that are prefilled per second.
    pub prefill_tokens_per_second: f64,
    /// Maximum number of prompt tokens that are prefilled in one step.
    pub prefill_chunk_tokens: u64,
    /// Decode steps between two flushes of the output streams: a stream gets its events once per
    /// flush.
    pub steps_per_flush: u32,
    /// Time from the order to open until a group takes requests.
    pub open_time: Duration,
    /// Loads from the weight store that may start per second.
    pub max_loads_per_second: f64,
    /// Loads from the weight store that run concurrently without slowing each other down.
    pub max_concurrent_loads: usize,
    /// Mean number of tokens of a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean number of tokens of an answer.
    pub mean_output_tokens: f64,
}

impl ModelSpec {
    /// Brings each figure into its range, and reports those that were out of it; `place` is the model's path.
    fn limit_figures(&mut self, place: &str, findings: &mut Findings) {
        limit(&mut self.time_factor, &TIME_FACTORS, place, "time_factor", findings);
        limit(&mut self.initial_demand_share, &SHARES, place, "initial_demand_share", findings);
        limit(&mut self.store_load_time, &LOAD_TIMES, place, "store_load_time", findings);
        limit(&mut self.host_load_time, &LOAD_TIMES, place, "host_load_time", findings);
    }
}

impl EngineSpec {
    /// Brings each figure into the range for which forecasts are defined, and reports those that were out of
    /// it; `place` is the path of the engine.
    pub fn limit_figures(&mut self, place: &str, findings: &mut Findings) {
        for (i, model) in self.models.iter_mut().enumerate() {
            model.limit_figures(&format!("{place}.models[{i}]"), findings);
        }
        limit(&mut self.slots, &COUNTS, place, "slots", findings);
        limit(&mut self.kv_cache_tokens, &TOKENS, place, "kv_cache_tokens", findings);
        limit(&mut self.step_time, &STEP_TIMES, place, "step_time", findings);
        limit(
            &mut self.step_time_per_request,
            &STEP_TIMES,
            place,
            "step_time_per_request",
            findings,
        );
        let context = &mut self.step_time_per_1k_context;
        limit(context, &STEP_TIMES, place, "step_time_per_1k_context", findings);
        let rate = &mut self.prefill_tokens_per_second;
        limit(rate, &RATES, place, "prefill_tokens_per_second", findings);
        limit(&mut self.prefill_chunk_tokens, &TOKENS, place, "prefill_chunk_tokens", findings);
        limit(&mut self.steps_per_flush, &STEPS, place, "steps_per_flush", findings);
        limit(&mut self.open_time, &LOAD_TIMES, place, "open_time", findings);
        limit(&mut self.max_loads_per_second, &RATES, place, "max_loads_per_second", findings);
        limit(&mut self.max_concurrent_loads, &COUNTS, place, "max_concurrent_loads", findings);
        limit(&mut self.mean_prompt_tokens, &MEAN_TOKENS, place, "mean_prompt_tokens", findings);
        limit(&mut self.mean_output_tokens, &MEAN_TOKENS, place, "mean_output_tokens", findings);
    }

    /// Returns the spec of the model `name`.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// Returns the group time that one prompt token and one output token cost, in seconds.
    ///
    /// The cost of an output token is its share of a decode step with a half-full batch.
    pub fn token_seconds(&self) -> (f64, f64) {
        let batch = (self.slots as f64 / 2.0).max(1.0);
        let step = self.step_time.as_secs_f64() + batch * self.step_time_per_request.as_secs_f64();
        (1.0 / self.prefill_tokens_per_second.max(1.0), step / batch)
    }
}

/// Brings a figure into its range; reports it under its name if it was out of it. A value that isn't a number
/// counts as below.
fn limit<T: Copy + PartialOrd + std::fmt::Debug>(
    figure: &mut T,
    range: &RangeInclusive<T>,
    place: &str,
    name: &str,
    findings: &mut Findings,
) {
    if range.contains(figure) {
        return;
    }
    findings.add(format!("{place}.{name}"), format!("found {figure:?}; allowed is {range:?}"));
    *figure = if *figure > *range.end() { *range.end() } else { *range.start() };
}
