//! Who may get a request, and how loaded they are.
//!
//! An endpoint is one backend server of a plain service, or the head of a replica group. Its load is
//! counted in requests and in prompt tokens that are still to be read: what this process sent is
//! known at once, what other processes sent is known from what they last told.
//!
//! A group that stands still is silent for all requests of all processes at once. A process that is
//! cut off itself finds all endpoints silent, but others that have requests there don't.
//!
//! All processes see the same loads, late. If each took the best endpoint, all would take the same one
//! until they hear of it. So the choice is between two random endpoints among those that are nearly
//! as good as the best; the more processes there are, the more endpoints count as that.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use form::prelude::*;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::ServiceSpec;

/// How long an endpoint that said that it is full gets nothing more; doubles up to the longest, since
/// one that has ceased to serve says the same.
const INITIAL_FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Longest time that an endpoint which said that it is full gets nothing more.
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(1_000);
/// How long an endpoint is left alone after a failure to reach it; doubles up to the longest.
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time that an endpoint is left alone.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(4);
/// How long all requests at an endpoint may get nothing before it counts as silent.
const STALL_TIMEOUT: Duration = Duration::from_millis(450);
/// How long an endpoint is called silent after its requests have left it.
const STALL_RETENTION: Duration = Duration::from_secs(3);
/// How long a group that says that it stands still counts as quiet at least.
const REPORTED_STALL_AGE: Duration = Duration::from_secs(1);
/// Requests that must all be silent.
const MIN_STALLED_REQUESTS: u32 = 2;
/// How much longer than alone a prompt takes among others that are read and written meanwhile.
const BATCH_SLOWDOWN: f64 = 1.8;
/// With many processes an endpoint is nearly as good as the best up to this part of its time more,
const NEAR_BEST_RATIO: f64 = 0.3;
/// and this much.
const NEAR_BEST_MARGIN: Duration = Duration::from_millis(30);
/// Processes that count as many.
const MANY_PROCESSES: f64 = 40.0;
/// Weight of the newest call in the mean time of calls.
const LATENCY_EWMA_WEIGHT: f64 = 0.15;
/// Time of a call to a plain service before any was measured.
const INITIAL_CALL_TIME: Duration = Duration::from_millis(30);
/// How long what another process told counts.
const REMOTE_LOAD_RETENTION: Duration = Duration::from_millis(1_500);

/// One backend server that takes requests.
#[data]
pub struct Endpoint {
    /// The backend server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceId,
    /// The group that it heads, and its epoch.
    pub group: Option<(GroupId, u64)>,
    /// The model of the group.
    pub model: Option<ModelId>,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// When the server's life started.
    pub started_at_ms: u64,
}

/// Requests at an endpoint.
#[data]
#[derive(Copy, Default, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Requests that are there.
    pub requests: u32,
    /// Prompt tokens that are still to be read.
    #[serde(rename = "unread_tokens")]
    pub pending_prefill_tokens: u64,
    /// Milliseconds since something came from there, if requests are there, or left it since it was
    /// silent.
    #[serde(rename = "quiet_ms")]
    pub ms_since_data: Option<u64>,
}

impl Load {
    /// Returns this load and `other` together: of the times without anything, the shorter counts.
    pub fn combined_with(&self, other: &Load) -> Load {
        Load {
            requests: self.requests + other.requests,
            pending_prefill_tokens: self.pending_prefill_tokens + other.pending_prefill_tokens,
            ms_since_data: self.ms_since_data.into_iter().chain(other.ms_since_data).min(),
        }
    }

    /// Returns whether it tells that all requests get nothing, or have left for that.
    fn is_stalled(&self) -> bool {
        let enough = self.requests >= MIN_STALLED_REQUESTS || self.requests == 0;
        enough
            && self.ms_since_data.is_some_and(|quiet| u128::from(quiet) > STALL_TIMEOUT.as_millis())
    }
}

#[derive(Debug)]
struct EndpointState {
    endpoint: Endpoint,
    local: Load,
    /// What all other processes have there, and when that was told.
    remote: (Load, Mono),
    full_until: Mono,
    /// How often it said that it is full since something else came from it.
    consecutive_fulls: u32,
    backoff_until: Mono,
    consecutive_failures: u32,
    /// Since when no request there has got anything.
    no_data_since: Mono,
    /// When its requests left it since it was silent; none once something has come.
    stall_noted_at: Option<Mono>,
    /// Mean seconds of a call to a plain service.
    mean_call_seconds: f64,
}

/// What a request needs of an endpoint.
#[data]
pub struct EndpointRequirements {
    /// The service.
    pub service: ServiceId,
    /// The model, for model services.
    pub model: Option<ModelId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Servers that have been tried and are not to be tried again.
    pub excluded: Vec<ServerId>,
}

/// An endpoint with the time until the answer, or a stream's first event, is expected.
#[data]
pub struct EndpointChoice {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Expected time to the answer or first event.
    pub expected_time: Duration,
    /// Requests there, of all processes, against its slots.
    pub utilization: f64,
}

/// All endpoints, by service.
#[derive(Debug, Default)]
pub struct EndpointPool {
    states: HashMap<ServerId, EndpointState>,
    by_service: HashMap<ServiceId, Vec<ServerId>>,
    services: HashMap<ServiceId, Arc<ServiceSpec>>,
    /// The last random number.
    rng_state: Cell<u64>,
    /// Processes that choose among the same endpoints.
    processes: usize,
}

impl EndpointPool {
    /// Makes endpoints whose random numbers begin with `seed`.
    pub fn with_seed(seed: u64) -> Self {
        EndpointPool { rng_state: Cell::new(seed), ..EndpointPool::default() }
    }

    /// Replaces the services.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = Arc<ServiceSpec>>) {
        self.services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
    }

    /// Replaces all endpoints; loads of those that stay the same are kept.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        let mut old = std::mem::take(&mut self.states);
        self.by_service.clear();
        for endpoint in endpoints {
            let kept = old
                .remove(&endpoint.server)
                .filter(|state| is_same_endpoint(&state.endpoint, &endpoint));
            let state = match kept {
                Some(state) => EndpointState { endpoint, ..state },
                None => EndpointState::new(endpoint),
            };
            let id = state.endpoint.server.clone();
            self.by_service.entry(state.endpoint.service.clone()).or_default().push(id.clone());
            self.states.insert(id, state);
        }
    }

    /// Returns whether any endpoint serves `model` of `service`.
    pub fn has_endpoint(&self, service: &str, model: Option<&str>) -> bool {
        self.candidates(service, model).next().is_some()
    }

    /// Returns whether `endpoint` still takes requests as it did.
    pub fn is_current(&self, endpoint: &Endpoint) -> bool {
        self.states
            .get(&endpoint.server)
            .is_some_and(|state| is_same_endpoint(&state.endpoint, endpoint))
    }

    /// Returns the endpoint with the earliest expected answer, if any has room.
    pub fn choose(&self, demand: &EndpointRequirements, now: Mono) -> Option<EndpointChoice> {
        let engine = self.services.get(&demand.service).and_then(|spec| spec.engine.as_ref());
        let open = self.candidates(&demand.service, demand.model.as_deref());
        let mut choices: Vec<EndpointChoice> = open
            .filter(|state| !demand.excluded.contains(&state.endpoint.server))
            .filter_map(|state| evaluate(state, engine, demand, now))
            .collect();
        let best = choices.iter().map(|choice| choice.expected_time).min()?;
        let many = (self.processes as f64 / MANY_PROCESSES).min(1.0);
        let bound = best.mul_f64(1.0 + NEAR_BEST_RATIO * many) + NEAR_BEST_MARGIN.mul_f64(many);
        choices.retain(|choice| choice.expected_time <= bound);
        let first = choices.swap_remove(self.random_below(choices.len()));
        if choices.is_empty() {
            return Some(first);
        }
        let second = choices.swap_remove(self.random_below(choices.len()));
        let is_better =
            (second.expected_time, second.utilization) < (first.expected_time, first.utilization);
        Some(if is_better { second } else { first })
    }

    /// Returns a random number below `below`, which is not zero.
    fn random_below(&self, below: usize) -> usize {
        let drawn = xxh3_64(&self.rng_state.get().to_be_bytes());
        self.rng_state.set(drawn);
        usize::try_from(drawn % below as u64).unwrap_or(0)
    }

    fn candidates<'a>(
        &'a self,
        service: &str,
        model: Option<&'a str>,
    ) -> impl Iterator<Item = &'a EndpointState> + 'a {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let states = ids.iter().filter_map(|id| self.states.get(id));
        states.filter(move |state| state.endpoint.model.as_deref() == model)
    }

    /// Counts a request that is sent to `endpoint`.
    pub fn request_sent(&mut self, endpoint: &Endpoint, prompt_tokens: u64, now: Mono) {
        if let Some(state) = self.state(endpoint) {
            if state.local.requests == 0 {
                state.no_data_since = now;
            }
            state.local.requests += 1;
            state.local.pending_prefill_tokens += prompt_tokens;
        }
    }

    /// Notes that something has come from `endpoint`.
    pub fn data_received(&mut self, endpoint: &Endpoint, now: Mono) {
        if let Some(state) = self.state(endpoint) {
            state.no_data_since = now;
            state.stall_noted_at = None;
            state.consecutive_fulls = 0;
        }
    }

    /// Returns whether all requests at `endpoint` have got nothing for too long.
    ///
    /// One stream alone may pause; that all do at once says that the group stands still, long
    /// before any report does.
    pub fn is_stalled(&self, endpoint: &Endpoint, now: Mono) -> bool {
        let state = self
            .states
            .get(&endpoint.server)
            .filter(|state| is_same_endpoint(&state.endpoint, endpoint));
        state.is_some_and(|state| state.is_stalled(now))
    }

    /// Counts a prompt at `endpoint` as read.
    pub fn prefill_done(&mut self, endpoint: &Endpoint, prompt_tokens: u64) {
        if let Some(state) = self.state(endpoint) {
            state.local.pending_prefill_tokens =
                state.local.pending_prefill_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Counts a request at `endpoint` as ended.
    pub fn request_ended(&mut self, endpoint: &Endpoint) {
        if let Some(state) = self.state(endpoint) {
            state.local.requests = state.local.requests.saturating_sub(1);
        }
    }

    /// Notes a whole answer of `endpoint` and how long it took.
    pub fn request_succeeded(&mut self, endpoint: &Endpoint, took: Duration) {
        if let Some(state) = self.state(endpoint) {
            state.consecutive_failures = 0;
            state.consecutive_fulls = 0;
            state.mean_call_seconds +=
                LATENCY_EWMA_WEIGHT * (took.as_secs_f64() - state.mean_call_seconds);
        }
    }

    /// Notes that `endpoint` had no room.
    pub fn reported_full(&mut self, endpoint: &Endpoint, now: Mono) {
        if let Some(state) = self.state(endpoint) {
            let pause = INITIAL_FULL_BACKOFF * 2_u32.saturating_pow(state.consecutive_fulls.min(8));
            state.consecutive_fulls += 1;
            state.full_until = now + pause.min(MAX_FULL_BACKOFF);
        }
    }

    /// Notes that the group at `endpoint` says that it stands still; it counts as silent.
    pub fn reported_stalled(&mut self, endpoint: &Endpoint, now: Mono) {
        if let Some(state) = self.state(endpoint) {
            state.no_data_since = state.no_data_since.min(now.saturating_sub(REPORTED_STALL_AGE));
            state.stall_noted_at = Some(now);
        }
    }

    /// Notes that `endpoint` failed a request; it is left alone for a while.
    pub fn request_failed(&mut self, endpoint: &Endpoint, now: Mono) {
        if let Some(state) = self.state(endpoint) {
            let pause =
                INITIAL_FAILURE_BACKOFF * 2_u32.saturating_pow(state.consecutive_failures.min(8));
            state.consecutive_failures += 1;
            if state.is_stalled(now) {
                state.stall_noted_at = Some(now);
            }
            state.backoff_until = now + pause.min(MAX_FAILURE_BACKOFF);
        }
    }

    /// Returns this process's load at each endpoint that has any.
    pub fn local_loads(&self, now: Mono) -> Vec<(ServerId, Load)> {
        let loads = self.states.iter().map(|(id, state)| (id.clone(), state.local_load(now)));
        loads.filter(|(_, load)| *load != Load::default()).collect()
    }

    /// Returns the servers that this process or another finds silent.
    pub fn stalled_servers(&self, now: Mono) -> BTreeSet<ServerId> {
        let silent = self.states.iter().filter(|(_, state)| state.is_stalled(now));
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// Notes the loads of all other processes; endpoints that are not named have none.
    ///
    /// `processes` is how many choose among these endpoints, this one included.
    pub fn set_remote_loads(&mut self, loads: &[(ServerId, Load)], processes: usize, now: Mono) {
        self.processes = processes;
        for state in self.states.values_mut() {
            state.remote = (Load::default(), now);
        }
        for (server, load) in loads {
            if let Some(state) = self.states.get_mut(server) {
                state.remote = (*load, now);
            }
        }
    }

    fn state(&mut self, endpoint: &Endpoint) -> Option<&mut EndpointState> {
        self.states
            .get_mut(&endpoint.server)
            .filter(|state| is_same_endpoint(&state.endpoint, endpoint))
    }
}

impl EndpointState {
    fn new(endpoint: Endpoint) -> Self {
        EndpointState {
            endpoint,
            local: Load::default(),
            remote: (Load::default(), Mono::ZERO),
            full_until: Mono::ZERO,
            consecutive_fulls: 0,
            backoff_until: Mono::ZERO,
            consecutive_failures: 0,
            no_data_since: Mono::ZERO,
            stall_noted_at: None,
            mean_call_seconds: INITIAL_CALL_TIME.as_secs_f64(),
        }
    }

    /// Returns whether nothing comes from it any more, for this process or for all.
    fn is_stalled(&self, now: Mono) -> bool {
        let own = self.local_load(now);
        self.endpoint.group.is_some() && (own.is_stalled() || self.total_load(now).is_stalled())
    }

    /// Returns what this process has there.
    fn local_load(&self, now: Mono) -> Load {
        let left = self.stall_noted_at.is_some_and(|at| now < at + STALL_RETENTION);
        let counts = self.local.requests > 0 || left;
        let quiet = now.saturating_sub(self.no_data_since).as_millis();
        let quiet_ms = counts.then(|| u64::try_from(quiet).unwrap_or(u64::MAX));
        Load { ms_since_data: quiet_ms, ..self.local }
    }

    /// Returns what all processes have there.
    fn total_load(&self, now: Mono) -> Load {
        let (others, at) = self.remote;
        let own = self.local_load(now);
        if now <= at + REMOTE_LOAD_RETENTION { own.combined_with(&others) } else { own }
    }
}

/// Returns whether both are the same life of a server in the same role.
fn is_same_endpoint(a: &Endpoint, b: &Endpoint) -> bool {
    a.started_at_ms == b.started_at_ms
        && a.group == b.group
        && a.address == b.address
        && a.service == b.service
}

fn evaluate(
    state: &EndpointState,
    engine: Option<&EngineSpec>,
    demand: &EndpointRequirements,
    now: Mono,
) -> Option<EndpointChoice> {
    if now < state.full_until || now < state.backoff_until || state.is_stalled(now) {
        return None;
    }
    let load = state.total_load(now);
    let slots = state.endpoint.slots.max(1) as f64;
    let fill = f64::from(load.requests) / slots;
    let time = match engine {
        Some(engine) => first_event_seconds(engine, state, load, demand.prompt_tokens),
        None => call_seconds(state, load),
    };
    let has_room = engine.is_none() || fill < 1.0;
    let time = Duration::from_secs_f64(time);
    has_room.then(|| EndpointChoice {
        endpoint: state.endpoint.clone(),
        expected_time: time,
        utilization: fill,
    })
}

/// Returns the expected time to the first event: all unread prompts, then a pass of all writers.
fn first_event_seconds(
    engine: &EngineSpec,
    state: &EndpointState,
    load: Load,
    prompt_tokens: u64,
) -> f64 {
    let model = state.endpoint.model.as_deref().and_then(|model| engine.model(model));
    let pace = model.map_or(1.0, |model| model.time_factor);
    let unread = (load.pending_prefill_tokens + prompt_tokens) as f64;
    let step = engine.step_time.as_secs_f64()
        + f64::from(load.requests) * engine.step_time_per_request.as_secs_f64();
    let pass = step * f64::from(engine.steps_per_flush);
    pace * (unread / engine.prefill_tokens_per_second.max(1.0) + pass) * BATCH_SLOWDOWN
}

/// Returns the expected time of a call to a plain service: its own and what queues before it.
fn call_seconds(state: &EndpointState, load: Load) -> f64 {
    let queued = f64::from(load.requests + 1) - state.endpoint.slots.max(1) as f64;
    state.mean_call_seconds * (1.0 + queued.max(0.0) / state.endpoint.slots.max(1) as f64)
}
