//! The models to be served, and the performance figures of their engines.

use base::prelude::*;

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

impl EngineSpec {
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
