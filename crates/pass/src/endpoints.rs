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
//! the same one until the reports catch up. So an endpoint is picked at random among those that are
//! nearly as good as the best: a group by the share of the new requests that levels the loads
//! ([`crate::arrivals`]), a server of a plain service by the power of two choices. The more
//! processes choose among servers of a plain service, the more of these count as nearly as good.

mod admission;
mod choice;
mod fleet_loads;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use base::prelude::*;
use form::observed_groups::GroupKey;
use form::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

pub use self::fleet_loads::ModelFleetDemand;
use crate::arrivals::Flow;
use crate::availability::Pauses;
use crate::config::ServiceSpec;
pub use crate::endpoint::Endpoint;
use crate::endpoint::EndpointState;
use crate::endpoint::is_same_endpoint;
use crate::evacuation::EvacuationChange;
use crate::evacuation::Evacuations;
use crate::flows::Flows;
use crate::paths::Paths;
use crate::paths::Reach;
use crate::server_limit::Allowance;
use crate::server_limit::RequestRate;
use crate::server_limit::ServerLimits;
use crate::server_limit::time_to_permits;
use crate::warm_up::WarmUps;

/// Minimum time without data that is assumed for a group that reports itself stalled.
const REPORTED_STALL_AGE: Duration = Duration::from_secs(1);

/// What a request needs of an endpoint.
#[data]
pub struct EndpointRequirements {
    /// The service.
    pub service: ServiceId,
    /// The model, for model services.
    pub model: Option<ModelId>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens that the answer is expected to have.
    pub output_tokens: u64,
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
    /// That of a request with a prompt of mean length.
    pub typical_time: Duration,
    /// The part of both times that doesn't depend on load.
    pub fixed_time: Duration,
    /// Requests from all processes, relative to the endpoint's slots.
    pub utilization: f64,
    /// Time since the other processes' load was reported; `None` if it never was.
    pub load_age: Option<Duration>,
}

impl EndpointChoice {
    /// Returns the part of the expected time that depends on load.
    pub fn expected_load_time(&self) -> Duration {
        self.expected_time.saturating_sub(self.fixed_time)
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
    /// The servers in warm-up.
    pub warm_ups: WarmUps,
    /// The servers that have asked for a pause.
    pauses: Pauses,
    /// State of the random number generator.
    rng_state: Cell<u64>,
    /// Number of processes that choose among these endpoints.
    processes: usize,
    /// The requests that want an endpoint.
    flows: Flows,
    /// The paths from this process to the servers.
    pub paths: Paths,
    /// The failure domains that operators evacuate.
    pub evacuations: Evacuations,
    /// Requests in progress, and since when there have been some.
    in_progress: (usize, Mono),
}

impl EndpointPool {
    /// Creates an empty pool with a seeded random number generator.
    pub fn with_seed(seed: u64) -> Self {
        EndpointPool {
            rng_state: Cell::new(seed),
            warm_ups: WarmUps::with_seed(seed),
            evacuations: Evacuations::with_seed(seed),
            ..EndpointPool::default()
        }
    }

    /// Replaces the services.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = Arc<ServiceSpec>>) {
        self.services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        self.warm_ups.set_services(self.services.values());
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
            self.insert(endpoint);
        }
        self.update_outlooks();
    }

    /// Adds an endpoint or replaces that of the same server; the state of an unchanged one is kept.
    pub fn set_endpoint(&mut self, endpoint: Endpoint) {
        let flow = flow_of(&endpoint);
        self.insert(endpoint);
        self.update_outlook(&flow);
    }

    fn insert(&mut self, endpoint: Endpoint) {
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
    /// a plain service. Returns whether it had one.
    pub fn remove_endpoint(&mut self, server: &str, group: Option<&GroupKey>) -> bool {
        let endpoint = self.states.get(server).map(|state| &state.endpoint);
        if endpoint.is_some_and(|endpoint| endpoint.group.as_ref() == group)
            && let Some(removed) = self.remove(server)
        {
            self.update_outlook(&flow_of(&removed.endpoint));
            return true;
        }
        false
    }

    fn remove(&mut self, server: &str) -> Option<EndpointState> {
        let state = self.states.remove(server)?;
        if let Some(ids) = self.by_service.get_mut(&state.endpoint.service) {
            ids.remove(server);
        }
        Some(state)
    }

    /// Returns whether any endpoint that may get new requests serves `model` of `service`.
    pub fn has_endpoint(&self, service: &str, model: Option<&str>) -> bool {
        self.candidates(service, model).any(|state| self.allows_requests(&state.endpoint))
    }

    /// Brings what is known of evacuations up to `now`, and returns the changes of states. Must
    /// precede each decision on a request.
    pub fn update_evacuations(&mut self, now: Mono) -> Vec<EvacuationChange> {
        if self.evacuations.is_empty() {
            return Vec::new();
        }
        self.evacuations.update(now);
        let changes = self.evacuations.take_changes();
        if !changes.is_empty() {
            self.update_outlooks();
        }
        changes
    }

    /// Returns how many requests of this process are in progress in a failure domain.
    pub fn requests_in(&self, domain: &str) -> u32 {
        let states = self.states.values().filter(|s| &*s.endpoint.failure_domain == domain);
        states.map(|state| state.local.requests).sum()
    }

    /// Returns whether evacuations leave no endpoint for which an outlook was calculated, so that waiting
    /// for a share of it would gain nothing.
    fn is_being_evacuated(&self, requirements: &EndpointRequirements) -> bool {
        let model = requirements.model.as_deref();
        let counts = |state: &EndpointState| {
            self.evacuations.counts_as_capacity(&state.endpoint.failure_domain)
        };
        !self.evacuations.is_empty() && !self.candidates(&requirements.service, model).any(counts)
    }

    fn allows_requests(&self, endpoint: &Endpoint) -> bool {
        self.evacuations.allows(&endpoint.failure_domain, &endpoint.server)
    }

    /// Returns whether `endpoint` is still the same server instance in the same role.
    pub fn is_current(&self, endpoint: &Endpoint) -> bool {
        self.states
            .get(&endpoint.server)
            .is_some_and(|state| is_same_endpoint(&state.endpoint, endpoint))
    }

    /// Returns whether this process reaches the endpoints that a request may be sent to.
    pub fn reach_of(&self, requirements: &EndpointRequirements) -> Reach {
        if self.paths.reach() != Reach::Open {
            return self.paths.reach();
        }
        let mut untried = self.untried(requirements).peekable();
        let has_any = untried.peek().is_some();
        match has_any && untried.all(|state| self.is_unreachable(&state.endpoint)) {
            true => Reach::CutOff,
            false => Reach::Open,
        }
    }

    /// Returns whether another process may reach more of the endpoints that a request may be sent to.
    pub fn has_unreachable(&self, requirements: &EndpointRequirements) -> bool {
        self.untried(requirements).any(|state| self.is_unreachable(&state.endpoint))
    }

    fn is_unreachable(&self, endpoint: &Endpoint) -> bool {
        self.paths.is_unreachable(&endpoint.server, endpoint.started_at_ms)
    }

    /// Returns for how long nothing has come from any server though requests are in progress.
    pub fn silent_for(&self, now: Mono) -> Duration {
        match self.in_progress {
            (0, _) => Duration::ZERO,
            (_, since) => now.saturating_sub(since.max(self.paths.contact_at())),
        }
    }

    /// Records that a connection to a server was made: its failures were those of the path.
    pub fn connected(&mut self, server: &str, now: Mono) {
        self.paths.connected(server, now);
        if let Some(state) = self.states.get_mut(server) {
            state.backoffs.failures_explained();
        }
    }

    /// Forgets what failures on the way to the servers showed, once the way is open again.
    pub fn paths_returned(&mut self) {
        for state in self.states.values_mut() {
            state.stall_noted_at = None;
            state.backoffs.failures_explained();
        }
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

    fn has_no_pause(&self, endpoint: &Endpoint, now: Mono) -> bool {
        self.pauses.allow(&endpoint.server, endpoint.started_at_ms, now)
    }

    fn has_permit(&self, endpoint: &Endpoint, now: Mono) -> bool {
        let Endpoint { server, started_at_ms, .. } = endpoint;
        self.limits.has_permit(server, *started_at_ms, now)
            && self.warm_ups.has_permit(server, *started_at_ms, now)
    }

    /// Returns the endpoints of the service and model that a request may be sent to and hasn't been yet.
    fn untried<'a>(
        &'a self,
        requirements: &'a EndpointRequirements,
    ) -> impl Iterator<Item = &'a EndpointState> + 'a {
        let states = self.candidates(&requirements.service, requirements.model.as_deref());
        let states = states.filter(|state| self.allows_requests(&state.endpoint));
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
        self.warm_ups.take(&endpoint.server, endpoint.started_at_ms, now);
        self.pauses.request_sent(&endpoint.server, now);
        if endpoint.group.is_some() {
            self.flows.request_sent(&flow_of(endpoint), now);
        }
        if let Some(state) = self.state(endpoint) {
            if state.local.requests == 0 {
                state.waiting_since = now;
            }
            state.local.requests += 1;
            state.local.pending_prefill_tokens += prompt_tokens;
        }
        match &mut self.in_progress {
            (count @ 0, since) => (*count, *since) = (1, now),
            (count, _) => *count += 1,
        }
    }

    /// Records that data was received from `endpoint`.
    pub fn data_received(&mut self, endpoint: &Endpoint, now: Mono) {
        self.paths.data_received(now);
        self.pauses.answered(&endpoint.server);
        if let Some(state) = self.state(endpoint) {
            state.last_data_at = Some(now);
            state.waiting_since = now;
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

    /// Returns whether `endpoint` is one of those that may get requests.
    pub fn contains(&self, endpoint: &Endpoint) -> bool {
        let state = self.states.get(&endpoint.server);
        state.is_some_and(|state| is_same_endpoint(&state.endpoint, endpoint))
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
        self.in_progress.0 = self.in_progress.0.saturating_sub(1);
        if let Some(state) = self.state(endpoint) {
            state.local.requests = state.local.requests.saturating_sub(1);
        }
    }

    /// Records a complete response of `endpoint` and its duration.
    pub fn request_succeeded(&mut self, endpoint: &Endpoint, took: Duration, now: Mono) {
        self.paths.data_received(now);
        self.pauses.answered(&endpoint.server);
        if let Some(state) = self.state(endpoint) {
            state.backoffs.request_succeeded();
            state.call_time.record(took, now);
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
            let stalled_since = now.saturating_sub(REPORTED_STALL_AGE);
            state.waiting_since = state.waiting_since.min(stalled_since);
            state.last_data_at = state.last_data_at.map(|at| at.min(stalled_since));
            state.stall_noted_at = Some(now);
        }
    }

    /// Records that `endpoint` failed a request; it gets no others for a while.
    pub fn request_failed(&mut self, endpoint: &Endpoint, now: Mono) {
        if let Some(state) = self.state(endpoint) {
            if state.is_quiet(now) {
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
        let allowance = |Endpoint { server, started_at_ms, .. }: &Endpoint| {
            let named = self.limits.allowance(server, *started_at_ms, now);
            let warming = self.warm_ups.allowance(server, *started_at_ms, now);
            named.into_iter().chain(warming).reduce(Allowance::stricter)
        };
        time_to_permits(self.untried(requirements).map(|state| allowance(&state.endpoint)), count)
    }

    fn engine(&self, service: &str) -> Option<&EngineSpec> {
        self.services.get(service).and_then(|spec| spec.engine.as_ref())
    }

    fn state(&mut self, endpoint: &Endpoint) -> Option<&mut EndpointState> {
        self.states
            .get_mut(&endpoint.server)
            .filter(|state| is_same_endpoint(&state.endpoint, endpoint))
    }
}

/// Returns the flow of requests that an endpoint takes part in.
fn flow_of(endpoint: &Endpoint) -> Flow {
    (endpoint.service.clone(), endpoint.model.clone())
}
