//! The endpoints that can receive requests, and their load.
//!
//! An endpoint is one backend server of a plain service, or the head of a replica group. Its load
//! is measured in requests and in prompt tokens that are still to be prefilled. The load from this
//! process is known at once; the load from other processes is known from their last reports.
//!
//! A stalled group makes no progress on any request of any process. A process that is itself
//! partitioned sees all endpoints stalled, but other processes with requests at these endpoints
//! don't.
//!
//! All processes see the same loads with a delay. If each picked the best endpoint, all would pick
//! the same one until the reports catch up. So an endpoint is picked by the power of two choices:
//! the better of two random endpoints among those that are nearly as good as the best. The more
//! processes there are, the more endpoints count as nearly as good.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use form::observed_groups::GroupKey;
use form::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::availability::Backoffs;
use crate::availability::Pauses;
use crate::config::ServiceSpec;
use crate::server_limit::LimitObservation;
use crate::server_limit::RequestRate;
use crate::server_limit::ServerLimits;

/// Time without data for all requests at an endpoint after which it counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(450);
/// How long an endpoint stays reported as stalled after its requests were moved elsewhere.
const STALL_RETENTION: Duration = Duration::from_secs(3);
/// Minimum time without data that is assumed for a group that reports itself stalled.
const REPORTED_STALL_AGE: Duration = Duration::from_secs(1);
/// Minimum number of requests without data for an endpoint to count as stalled.
const MIN_STALLED_REQUESTS: u32 = 2;
/// Factor by which a prompt takes longer when others are prefilled and decoded at the same time.
const BATCH_SLOWDOWN: f64 = 1.8;
/// With many processes, an endpoint is nearly as good as the best if its expected time exceeds the
/// best by at most this ratio plus [`NEAR_BEST_MARGIN`].
const NEAR_BEST_RATIO: f64 = 0.3;
/// See [`NEAR_BEST_RATIO`].
const NEAR_BEST_MARGIN: Duration = Duration::from_millis(30);
/// Number of processes from which on the full ratio and margin apply; below it they are scaled down
/// in proportion.
const MANY_PROCESSES: f64 = 40.0;
/// Weight of the latest call in the moving average of call times.
const LATENCY_EWMA_WEIGHT: f64 = 0.15;
/// Call time that is assumed for a plain service before any was measured.
const INITIAL_CALL_TIME: Duration = Duration::from_millis(30);
/// Age of what is known of a server's limit from which on a request is sent to learn whether it
/// still holds.
const MAX_LIMIT_AGE: Duration = Duration::from_secs(2);
/// How long the loads reported by other processes are used.
const REMOTE_LOAD_RETENTION: Duration = Duration::from_millis(1_500);

/// One backend server that takes requests.
#[data]
pub struct Endpoint {
    /// The backend server.
    pub server: ServerId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceId,
    /// The group that it heads, and its epoch.
    pub group: Option<GroupKey>,
    /// The model of the group.
    pub model: Option<ModelId>,
    /// Requests that it runs concurrently.
    pub slots: usize,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Start time of the server instance in Unix milliseconds.
    pub started_at_ms: u64,
}

/// Load of an endpoint.
#[data]
#[derive(Copy, Default, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens that are still to be prefilled.
    #[serde(rename = "unread_tokens")]
    pub pending_prefill_tokens: u64,
    /// Milliseconds since the last data from the endpoint; `None` if no request is there and none
    /// was recently moved away because of a stall.
    #[serde(rename = "quiet_ms")]
    pub ms_since_data: Option<u64>,
    /// What the endpoint's last response said of its limit, if it has named one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<LimitObservation>,
    /// The start time of the server instance, in Unix milliseconds, if it has said that it is leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving: Option<u64>,
}

impl Load {
    /// Returns the sum of both loads; of the times without data the shorter one counts, since the
    /// endpoint is responsive if any process gets data.
    pub fn combined_with(&self, other: &Load) -> Load {
        Load {
            requests: self.requests + other.requests,
            pending_prefill_tokens: self.pending_prefill_tokens + other.pending_prefill_tokens,
            ms_since_data: self.ms_since_data.into_iter().chain(other.ms_since_data).min(),
            limit: self.limit.into_iter().chain(other.limit).reduce(LimitObservation::later),
            leaving: self.leaving.max(other.leaving),
        }
    }

    /// Returns the load with its observation of a limit as it is after some time.
    pub fn with_limit_aged(self, by: Duration) -> Load {
        Load { limit: self.limit.map(|limit| limit.aged(by)), ..self }
    }

    /// Returns whether no request gets data, or all were moved away for that reason.
    fn is_stalled(&self) -> bool {
        let enough = self.requests >= MIN_STALLED_REQUESTS || self.requests == 0;
        enough
            && self.ms_since_data.is_some_and(|idle| u128::from(idle) > STALL_TIMEOUT.as_millis())
    }
}

/// State of an endpoint, as this process knows it.
#[derive(Debug)]
struct EndpointState {
    endpoint: Endpoint,
    local: Load,
    /// Load from all other processes, and when it was reported.
    remote: (Load, Mono),
    backoffs: Backoffs,
    /// Time since when no request of this process has received data.
    no_data_since: Mono,
    /// Time when requests were moved away because of a stall; `None` once there was data again.
    stall_noted_at: Option<Mono>,
    /// Whether a response said something invalid of the server.
    has_invalid_notice: bool,
    /// Moving average of the duration of a call to a plain service, in seconds.
    mean_call_seconds: f64,
}

/// What a request needs of an endpoint.
#[data]
pub struct EndpointRequirements {
    /// The service.
    pub service: ServiceId,
    /// The model, for model services.
    pub model: Option<ModelId>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Servers that were already tried and must not be tried again.
    pub excluded: Vec<ServerId>,
}

/// An endpoint with its expected response time.
#[data]
pub struct EndpointChoice {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Expected time until the response or, for a stream, its first event.
    pub expected_time: Duration,
    /// Requests from all processes, relative to the endpoint's slots.
    pub utilization: f64,
    /// Time since the other processes' load was reported; `None` if it never was.
    pub load_age: Option<Duration>,
}

/// An endpoint that has capacity, with its expected response time.
struct Candidate<'a> {
    endpoint: &'a Endpoint,
    /// See [`EndpointChoice::expected_time`].
    expected_time: Duration,
    /// See [`EndpointChoice::utilization`].
    utilization: f64,
    /// See [`EndpointChoice::load_age`].
    load_age: Option<Duration>,
}

impl From<Candidate<'_>> for EndpointChoice {
    fn from(candidate: Candidate<'_>) -> Self {
        EndpointChoice {
            endpoint: candidate.endpoint.clone(),
            expected_time: candidate.expected_time,
            utilization: candidate.utilization,
            load_age: candidate.load_age,
        }
    }
}

/// All endpoints, by service.
#[derive(Debug, Default)]
pub struct EndpointPool {
    states: HashMap<ServerId, EndpointState>,
    by_service: HashMap<ServiceId, BTreeSet<ServerId>>,
    services: HashMap<ServiceId, Arc<ServiceSpec>>,
    /// The servers that have named a limit.
    limits: ServerLimits,
    /// The servers that have asked for a pause.
    pauses: Pauses,
    /// State of the random number generator.
    rng_state: Cell<u64>,
    /// Number of processes that choose among these endpoints.
    processes: usize,
}

impl EndpointPool {
    /// Creates an empty pool with a seeded random number generator.
    pub fn with_seed(seed: u64) -> Self {
        EndpointPool { rng_state: Cell::new(seed), ..EndpointPool::default() }
    }

    /// Replaces the services.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = Arc<ServiceSpec>>) {
        self.services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
    }

    /// Replaces all endpoints; the state of unchanged ones is kept.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        let listed: HashSet<&ServerId> =
            endpoints.iter().map(|endpoint| &endpoint.server).collect();
        let gone: Vec<ServerId> =
            self.states.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in gone {
            self.remove(&id);
        }
        for endpoint in endpoints {
            self.set_endpoint(endpoint);
        }
    }

    /// Adds an endpoint or replaces that of the same server; the state of an unchanged one is kept.
    pub fn set_endpoint(&mut self, endpoint: Endpoint) {
        let kept = self.remove(&endpoint.server);
        let state = match kept.filter(|state| is_same_endpoint(&state.endpoint, &endpoint)) {
            Some(state) => EndpointState { endpoint, ..state },
            None => EndpointState::new(endpoint),
        };
        let id = state.endpoint.server.clone();
        self.by_service.entry(state.endpoint.service.clone()).or_default().insert(id.clone());
        self.states.insert(id, state);
    }

    /// Removes the endpoint of a server, if it has one for `group`; `None` stands for the endpoint of
    /// a plain service.
    pub fn remove_endpoint(&mut self, server: &str, group: Option<&GroupKey>) {
        let endpoint = self.states.get(server).map(|state| &state.endpoint);
        if endpoint.is_some_and(|endpoint| endpoint.group.as_ref() == group) {
            self.remove(server);
        }
    }

    fn remove(&mut self, server: &str) -> Option<EndpointState> {
        let state = self.states.remove(server)?;
        if let Some(ids) = self.by_service.get_mut(&state.endpoint.service) {
            ids.remove(server);
        }
        Some(state)
    }

    /// Returns whether any endpoint serves `model` of `service`.
    pub fn has_endpoint(&self, service: &str, model: Option<&str>) -> bool {
        self.candidates(service, model).next().is_some()
    }

    /// Returns whether `endpoint` is still the same server instance in the same role.
    pub fn is_current(&self, endpoint: &Endpoint) -> bool {
        self.states
            .get(&endpoint.server)
            .is_some_and(|state| is_same_endpoint(&state.endpoint, endpoint))
    }

    /// Chooses an endpoint whose server has a limit that allows a request: one that is hardly slower
    /// than the best, since the permit would lapse soon, or one of which no response has told for a
    /// while whether the limit holds.
    pub fn choose_limited(
        &self,
        requirements: &EndpointRequirements,
        now: Mono,
    ) -> Option<EndpointChoice> {
        if self.limits.is_empty() {
            return None;
        }
        let candidates = self.available(requirements, now);
        let best = candidates.iter().map(|candidate| candidate.expected_time).min()?;
        let is_preferred = |candidate: &Candidate<'_>| {
            let endpoint = candidate.endpoint;
            let is_fast = candidate.expected_time <= best + NEAR_BEST_MARGIN;
            self.limits
                .limit_age(&endpoint.server, endpoint.started_at_ms, now)
                .is_some_and(|age| is_fast || age > MAX_LIMIT_AGE)
        };
        let preferred = candidates.into_iter().filter(is_preferred);
        preferred.min_by_key(|candidate| candidate.expected_time).map(EndpointChoice::from)
    }

    /// Chooses an endpoint with a nearly optimal expected response time; `None` if none has
    /// capacity.
    pub fn choose(&self, requirements: &EndpointRequirements, now: Mono) -> Option<EndpointChoice> {
        let mut candidates = self.available(requirements, now);
        let best = candidates.iter().map(|candidate| candidate.expected_time).min()?;
        let many = (self.processes as f64 / MANY_PROCESSES).min(1.0);
        let bound = best.mul_f64(1.0 + NEAR_BEST_RATIO * many) + NEAR_BEST_MARGIN.mul_f64(many);
        candidates.retain(|candidate| candidate.expected_time <= bound);
        let first = candidates.swap_remove(self.random_below(candidates.len()));
        if candidates.is_empty() {
            return Some(first.into());
        }
        let second = candidates.swap_remove(self.random_below(candidates.len()));
        let is_better =
            (second.expected_time, second.utilization) < (first.expected_time, first.utilization);
        Some(if is_better { second } else { first }.into())
    }

    /// Returns the endpoints that have capacity.
    fn available<'a>(
        &'a self,
        requirements: &'a EndpointRequirements,
        now: Mono,
    ) -> Vec<Candidate<'a>> {
        let engine = self.services.get(&requirements.service).and_then(|spec| spec.engine.as_ref());
        self.untried(requirements)
            .filter(|state| self.has_permit(&state.endpoint, now))
            .filter(|state| now >= self.pause_end(&state.endpoint))
            .filter_map(|state| evaluate(state, engine, requirements, now))
            .collect()
    }

    /// Returns a pseudo-random number below `below`, which must not be zero.
    fn random_below(&self, below: usize) -> usize {
        let random = xxh3_64(&self.rng_state.get().to_be_bytes());
        self.rng_state.set(random);
        usize::try_from(random % below as u64).unwrap_or(0)
    }

    /// Returns a pseudo-random number from 0 to 1.
    fn random_fraction(&self) -> f64 {
        const STEPS: usize = 1 << 16;
        self.random_below(STEPS) as f64 / STEPS as f64
    }

    /// Records that the server of `endpoint` wants no requests for `pause`.
    pub fn pause_requested(&mut self, endpoint: &Endpoint, pause: Duration, now: Mono) {
        self.pauses.record(&endpoint.server, endpoint.started_at_ms, pause, now);
    }

    /// Records that a response said something invalid of the server of `endpoint`; returns whether
    /// none did before.
    pub fn invalid_notice_seen(&mut self, endpoint: &Endpoint) -> bool {
        let state = self.state(endpoint);
        state.is_some_and(|state| !std::mem::replace(&mut state.has_invalid_notice, true))
    }

    /// Returns how long it takes until the first pause ends, if all servers that may get a request
    /// have asked for one.
    pub fn time_to_pause_end(
        &self,
        requirements: &EndpointRequirements,
        now: Mono,
    ) -> Option<Duration> {
        let ends = self.untried(requirements).map(|state| self.pause_end(&state.endpoint));
        let first = ends.min()?;
        Some(first.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    fn pause_end(&self, endpoint: &Endpoint) -> Mono {
        self.pauses.until(&endpoint.server, endpoint.started_at_ms)
    }

    fn has_permit(&self, endpoint: &Endpoint, now: Mono) -> bool {
        self.limits.has_permit(&endpoint.server, endpoint.started_at_ms, now)
    }

    /// Returns the endpoints of the service and model that a request hasn't been sent to yet.
    fn untried<'a>(
        &'a self,
        requirements: &'a EndpointRequirements,
    ) -> impl Iterator<Item = &'a EndpointState> + 'a {
        let states = self.candidates(&requirements.service, requirements.model.as_deref());
        states.filter(|state| !requirements.excluded.contains(&state.endpoint.server))
    }

    fn candidates<'a>(
        &'a self,
        service: &str,
        model: Option<&'a str>,
    ) -> impl Iterator<Item = &'a EndpointState> + 'a {
        let ids = self.by_service.get(service).into_iter().flatten();
        let states = ids.filter_map(|id| self.states.get(id));
        states.filter(move |state| state.endpoint.model.as_deref() == model)
    }

    /// Records that a request is sent to `endpoint`.
    pub fn request_sent(&mut self, endpoint: &Endpoint, prompt_tokens: u64, now: Mono) {
        self.limits.take(&endpoint.server, endpoint.started_at_ms, now);
        if let Some(state) = self.state(endpoint) {
            if state.local.requests == 0 {
                state.no_data_since = now;
            }
            state.local.requests += 1;
            state.local.pending_prefill_tokens += prompt_tokens;
        }
    }

    /// Records that data was received from `endpoint`.
    pub fn data_received(&mut self, endpoint: &Endpoint, now: Mono) {
        if let Some(state) = self.state(endpoint) {
            state.no_data_since = now;
            state.stall_noted_at = None;
            state.backoffs.made_progress();
        }
    }

    /// Returns whether no request at `endpoint` has received data for too long.
    ///
    /// A single stream may pause; that all streams do so at once shows that the group is stalled,
    /// long before any report does.
    pub fn is_stalled(&self, endpoint: &Endpoint, now: Mono) -> bool {
        let state = self
            .states
            .get(&endpoint.server)
            .filter(|state| is_same_endpoint(&state.endpoint, endpoint));
        state.is_some_and(|state| state.is_stalled(now))
    }

    /// Records that a prompt has been prefilled at `endpoint`.
    pub fn prefill_done(&mut self, endpoint: &Endpoint, prompt_tokens: u64) {
        if let Some(state) = self.state(endpoint) {
            state.local.pending_prefill_tokens =
                state.local.pending_prefill_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Records that a request at `endpoint` has ended.
    pub fn request_ended(&mut self, endpoint: &Endpoint) {
        if let Some(state) = self.state(endpoint) {
            state.local.requests = state.local.requests.saturating_sub(1);
        }
    }

    /// Records a complete response of `endpoint` and its duration.
    pub fn request_succeeded(&mut self, endpoint: &Endpoint, took: Duration) {
        if let Some(state) = self.state(endpoint) {
            state.backoffs.request_succeeded();
            state.mean_call_seconds +=
                LATENCY_EWMA_WEIGHT * (took.as_secs_f64() - state.mean_call_seconds);
        }
    }

    /// Records that `endpoint` refused a request for lack of capacity.
    pub fn reported_full(&mut self, endpoint: &Endpoint, now: Mono) {
        if let Some(state) = self.state(endpoint) {
            state.backoffs.reported_full(now);
        }
    }

    /// Records that the group at `endpoint` reports itself stalled; it counts as stalled at once.
    pub fn reported_stalled(&mut self, endpoint: &Endpoint, now: Mono) {
        if let Some(state) = self.state(endpoint) {
            state.no_data_since = state.no_data_since.min(now.saturating_sub(REPORTED_STALL_AGE));
            state.stall_noted_at = Some(now);
        }
    }

    /// Records that `endpoint` failed a request; it gets no others for a while.
    pub fn request_failed(&mut self, endpoint: &Endpoint, now: Mono) {
        if let Some(state) = self.state(endpoint) {
            if state.is_stalled(now) {
                state.stall_noted_at = Some(now);
            }
            state.backoffs.request_failed(now);
        }
    }

    /// Records which limit, if any, a response of `endpoint` named; returns whether that is news.
    pub fn limit_observed(
        &mut self,
        endpoint: &Endpoint,
        per_second: Option<RequestRate>,
        now: Mono,
    ) -> bool {
        let phase = self.random_fraction();
        self.limits.observe(&endpoint.server, endpoint.started_at_ms, per_second, phase, now)
    }

    /// Returns about how long it takes until the servers' limits allow `count` requests; `None` if
    /// not all servers that may get them have a limit.
    pub fn time_to_permits(
        &self,
        requirements: &EndpointRequirements,
        count: usize,
        now: Mono,
    ) -> Option<Duration> {
        let endpoints = self.untried(requirements).map(|state| &state.endpoint);
        let servers = endpoints.map(|endpoint| (&*endpoint.server, endpoint.started_at_ms));
        self.limits.time_to_permits(servers, count, now)
    }

    /// Returns the load from this process at each endpoint that has any.
    pub fn local_loads(&self, now: Mono) -> Vec<(ServerId, Load)> {
        let loads = self.states.iter().map(|(id, state)| {
            let limit = self.limits.own_observation(id, now);
            (id.clone(), Load { limit, ..state.local_load(now) })
        });
        loads.filter(|(_, load)| *load != Load::default()).collect()
    }

    /// Returns the servers that are stalled for this process or for all processes together.
    pub fn stalled_servers(&self, now: Mono) -> BTreeSet<ServerId> {
        let stalled = self.states.iter().filter(|(_, state)| state.is_stalled(now));
        stalled.map(|(id, _)| id.clone()).collect()
    }

    /// Sets the loads from all other processes; endpoints that are not listed have none.
    ///
    /// `processes` is the number of processes that choose among these endpoints, including this
    /// one. Returns the servers whose limit changed with it, and their limits.
    pub fn set_remote_loads(
        &mut self,
        loads: &[(ServerId, Load)],
        processes: usize,
        now: Mono,
    ) -> Vec<(ServerId, Option<RequestRate>)> {
        self.processes = processes;
        self.limits.set_processes(processes, now);
        let mut changed = Vec::new();
        for state in self.states.values_mut() {
            state.remote = (Load::default(), now);
        }
        for (server, load) in loads {
            if let Some(state) = self.states.get_mut(server) {
                state.remote = (*load, now);
            }
            let phase = self.random_fraction();
            if let Some(limit) = load.limit
                && self.limits.merge(server, limit, phase, now)
            {
                changed.push((server.clone(), limit.per_second));
            }
        }
        changed
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
            backoffs: Backoffs::default(),
            no_data_since: Mono::ZERO,
            stall_noted_at: None,
            has_invalid_notice: false,
            mean_call_seconds: INITIAL_CALL_TIME.as_secs_f64(),
        }
    }

    /// Returns whether the endpoint is stalled for this process or for all processes together.
    fn is_stalled(&self, now: Mono) -> bool {
        let local = self.local_load(now);
        self.endpoint.group.is_some() && (local.is_stalled() || self.total_load(now).is_stalled())
    }

    /// Returns the load from this process.
    fn local_load(&self, now: Mono) -> Load {
        let left = self.stall_noted_at.is_some_and(|at| now < at + STALL_RETENTION);
        let is_known = self.local.requests > 0 || left;
        let idle = now.saturating_sub(self.no_data_since).as_millis();
        let ms_since_data = is_known.then(|| u64::try_from(idle).unwrap_or(u64::MAX));
        Load { ms_since_data, ..self.local }
    }

    /// Returns the time since the other processes' load was reported, if it was.
    fn load_age(&self, now: Mono) -> Option<Duration> {
        let (_, reported_at) = self.remote;
        (reported_at > Mono::ZERO).then(|| now.saturating_sub(reported_at))
    }

    /// Returns the load from all processes.
    fn total_load(&self, now: Mono) -> Load {
        let (remote, reported_at) = self.remote;
        let local = self.local_load(now);
        if now <= reported_at + REMOTE_LOAD_RETENTION {
            local.combined_with(&remote)
        } else {
            local
        }
    }
}

/// Returns whether both are the same server instance in the same role.
fn is_same_endpoint(a: &Endpoint, b: &Endpoint) -> bool {
    a.started_at_ms == b.started_at_ms
        && a.group == b.group
        && a.address == b.address
        && a.service == b.service
}

/// Returns the endpoint with its expected response time, unless it is backing off, stalled or full.
fn evaluate<'a>(
    state: &'a EndpointState,
    engine: Option<&EngineSpec>,
    requirements: &EndpointRequirements,
    now: Mono,
) -> Option<Candidate<'a>> {
    if now < state.backoffs.until() || state.is_stalled(now) {
        return None;
    }
    let load = state.total_load(now);
    let slots = state.endpoint.slots.max(1) as f64;
    let utilization = f64::from(load.requests) / slots;
    let seconds = match engine {
        Some(engine) => first_event_seconds(engine, state, load, requirements.prompt_tokens),
        None => call_seconds(state, load),
    };
    let has_room = engine.is_none() || utilization < 1.0;
    let expected_time = Duration::from_secs_f64(seconds);
    has_room.then_some(Candidate {
        endpoint: &state.endpoint,
        expected_time,
        utilization,
        load_age: state.load_age(now),
    })
}

/// Returns the expected time to the first event: the prefill of all pending prompts, then the
/// decode steps of one flush.
fn first_event_seconds(
    engine: &EngineSpec,
    state: &EndpointState,
    load: Load,
    prompt_tokens: u64,
) -> f64 {
    let model = state.endpoint.model.as_deref().and_then(|model| engine.model(model));
    let time_factor = model.map_or(1.0, |model| model.time_factor);
    let pending_tokens = (load.pending_prefill_tokens + prompt_tokens) as f64;
    let step = engine.step_time.as_secs_f64()
        + f64::from(load.requests) * engine.step_time_per_request.as_secs_f64();
    let flush = step * f64::from(engine.steps_per_flush);
    time_factor
        * (pending_tokens / engine.prefill_tokens_per_second.max(1.0) + flush)
        * BATCH_SLOWDOWN
}

/// Returns the expected duration of a call to a plain service, including the time in its queue.
fn call_seconds(state: &EndpointState, load: Load) -> f64 {
    let queued = f64::from(load.requests + 1) - state.endpoint.slots.max(1) as f64;
    state.mean_call_seconds * (1.0 + queued.max(0.0) / state.endpoint.slots.max(1) as f64)
}
