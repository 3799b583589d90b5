//! The models that are to be served, and the engines' figures.

use base::prelude::*;

/// A model that replica groups serve.
#[data]
pub struct ModelSpec {
    /// Its name.
    pub name: ModelId,
    /// Members of a group.
    pub group_size: usize,
    /// Factor on all times of a group.
    pub time_factor: f64,
    /// Its part of the work, from 0 to 1, before any demand was seen.
    pub initial_demand_share: f64,
    /// Time to load its weights from the weight store.
    pub store_load_time: Duration,
    /// Time to load its weights from the host.
    pub host_load_time: Duration,
}

/// The engines of a model service.
#[data]
pub struct EngineSpec {
    /// The models.
    pub models: Vec<ModelSpec>,
    /// Requests that a group works on at once.
    pub slots: usize,
    /// Tokens that a group's memory holds.
    pub kv_cache_tokens: u64,
    /// Time of one token step without requests.
    pub step_time: Duration,
    /// What each running request adds to a step.
    pub step_time_per_request: Duration,
    /// What 1,000 tokens of context add to a step, for each running request.
    pub step_time_per_1k_context: Duration,
    /// Prompt tokens read a second.
    pub prefill_tokens_per_second: f64,
    /// Prompt tokens read in one step at most.
    pub prefill_chunk_tokens: u64,
    /// Steps of a pass while requests are writing; pieces of a stream come once a pass.
    pub steps_per_flush: u32,
    /// Time from the order to open until a group takes requests.
    pub open_time: Duration,
    /// Loads from the weight store that may start in a second.
    pub max_loads_per_second: f64,
    /// Loads that run at once without slowing each other.
    pub max_concurrent_loads: usize,
    /// Mean tokens of a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean tokens of an answer.
    pub mean_output_tokens: f64,
}

impl EngineSpec {
    /// Returns the model `name`.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// Returns how much group time a token of a prompt and of an answer takes, in seconds.
    ///
    /// An answer's token takes its part of a step that a half-full batch shares.
    pub fn token_seconds(&self) -> (f64, f64) {
        let batch = (self.slots as f64 / 2.0).max(1.0);
        let step = self.step_time.as_secs_f64() + batch * self.step_time_per_request.as_secs_f64();
        (1.0 / self.prefill_tokens_per_second.max(1.0), step / batch)
    }
}
