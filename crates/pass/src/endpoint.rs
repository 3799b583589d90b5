//! One endpoint: its load, and how long it is expected to take to respond.
//!
//! For a group, the load that the other processes reported is extrapolated to the present
//! ([`arrivals`](crate::arrivals)).

use std::net::SocketAddr;

use base::prelude::*;
use form::observed_groups::GroupKey;
use form::prelude::*;

use crate::arrivals::Drift;
use crate::arrivals::Level;
use crate::availability::Backoffs;
use crate::endpoints::EndpointChoice;
use crate::engine_time::BatchLoad;
use crate::engine_time::RequestSize;
use crate::engine_time::capacity_per_second;
use crate::engine_time::first_event_time;
use crate::load::Load;

/// How long an endpoint stays reported as stalled after its requests were moved elsewhere.
const STALL_RETENTION: Duration = Duration::from_secs(3);
/// Call time that is assumed for a plain service before any was measured.
const INITIAL_CALL_TIME: Duration = Duration::from_millis(30);
/// Weight of the latest call in the moving average of call times.
const LATENCY_EWMA_WEIGHT: f64 = 0.15;
/// Time without a call from which on the measured call time counts for less.
const CALL_TIME_VALIDITY: Duration = Duration::from_secs(1);
/// Time in which it halves from then on.
const CALL_TIME_HALF_LIFE: Duration = Duration::from_millis(500);
/// How long the loads reported by other processes are used.
const REMOTE_LOAD_RETENTION: Duration = Duration::from_millis(1_500);
/// Share of a group's time in which prompts may be read. With more, new requests wait for each other.
const MAX_PREFILL_SHARE: f64 = 0.5;
/// Prompt tokens that wait to be read, relative to those that usually do, from which on they count as
/// a backlog.
const BACKLOG_FACTOR: f64 = 3.0;
/// Time after which most prompts have been read.
const PREFILL_TIME: Duration = Duration::from_millis(150);

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

/// State of an endpoint, as this process knows it.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) endpoint: Endpoint,
    pub(crate) local: Load,
    /// Load from all other processes, and when it was reported.
    pub(crate) remote: (Load, Mono),
    /// How the others are expected to have changed that load since.
    pub(crate) drift: Drift,
    pub(crate) backoffs: Backoffs,
    /// When this process last received data, if it did.
    pub(crate) last_data_at: Option<Mono>,
    /// Time since when requests of this process wait for data.
    pub(crate) waiting_since: Mono,
    /// Time when requests were moved away because of a stall; `None` once there was data again.
    pub(crate) stall_noted_at: Option<Mono>,
    /// Whether a response said something invalid of the server.
    pub(crate) has_invalid_notice: bool,
    /// The duration of a call to a plain service.
    pub(crate) call_time: CallTime,
}

/// Moving average of the duration of a call to a plain service.
///
/// It is measured only while the server gets requests, which it doesn't while it seems slow. So an old value
/// counts for less and less, until the server gets a request that measures it anew.
#[data]
pub(crate) struct CallTime {
    mean_seconds: f64,
    measured_at: Mono,
}

impl CallTime {
    /// Records the duration of a call.
    pub(crate) fn record(&mut self, took: Duration, now: Mono) {
        let expected = self.expected_seconds(now);
        self.mean_seconds = expected + LATENCY_EWMA_WEIGHT * (took.as_secs_f64() - expected);
        self.measured_at = now;
    }

    /// Returns the duration to expect, in seconds.
    fn expected_seconds(&self, now: Mono) -> f64 {
        let unmeasured = now.saturating_sub(self.measured_at + CALL_TIME_VALIDITY);
        let halvings = unmeasured.as_secs_f64() / CALL_TIME_HALF_LIFE.as_secs_f64();
        self.mean_seconds * 0.5_f64.powf(halvings)
    }
}

/// An endpoint that has capacity, with its expected response time.
pub(crate) struct Candidate<'a> {
    pub(crate) endpoint: &'a Endpoint,
    /// See [`EndpointChoice::expected_time`].
    pub(crate) expected_time: Duration,
    /// See [`EndpointChoice::typical_time`].
    pub(crate) typical_time: Duration,
    /// See [`EndpointChoice::fixed_time`].
    pub(crate) fixed_time: Duration,
    /// See [`EndpointChoice::utilization`].
    pub(crate) utilization: f64,
    /// See [`EndpointChoice::load_age`].
    pub(crate) load_age: Option<Duration>,
    /// See [`Drift::sends_per_second`].
    pub(crate) share: f64,
}

impl Candidate<'_> {
    /// Returns the candidate as it is if its server takes `factor` times as long as usual.
    pub(crate) fn slowed(self, factor: f64) -> Self {
        Candidate {
            expected_time: self.expected_time.mul_f64(factor),
            share: self.share / factor,
            ..self
        }
    }
}

impl From<Candidate<'_>> for EndpointChoice {
    fn from(candidate: Candidate<'_>) -> Self {
        EndpointChoice {
            endpoint: candidate.endpoint.clone(),
            expected_time: candidate.expected_time,
            typical_time: candidate.typical_time,
            fixed_time: candidate.fixed_time,
            utilization: candidate.utilization,
            load_age: candidate.load_age,
        }
    }
}

/// What the evaluation of an endpoint for a request depends on, besides the endpoint.
pub(crate) struct Evaluation<'a> {
    /// The engines, if the service has any.
    pub(crate) engine: Option<&'a EngineSpec>,
    /// Prompt tokens of the request.
    pub(crate) prompt_tokens: u64,
    /// Mean number of prompt tokens of the requests that compete with it.
    pub(crate) mean_prompt_tokens: f64,
    /// Age of the other processes' loads.
    pub(crate) report_age: Duration,
    /// The part of the time to the first event that doesn't depend on load.
    pub(crate) fixed_time: Duration,
}

impl EndpointState {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        EndpointState {
            endpoint,
            local: Load::default(),
            remote: (Load::default(), Mono::ZERO),
            drift: Drift::default(),
            backoffs: Backoffs::default(),
            last_data_at: None,
            waiting_since: Mono::ZERO,
            stall_noted_at: None,
            has_invalid_notice: false,
            call_time: CallTime {
                mean_seconds: INITIAL_CALL_TIME.as_secs_f64(),
                measured_at: Mono::ZERO,
            },
        }
    }

    /// Returns whether the endpoint is stalled for this process or for all processes together.
    pub(crate) fn is_stalled(&self, now: Mono) -> bool {
        let local = self.local_load(now);
        self.endpoint.group.is_some() && (local.is_stalled() || self.total_load(now).is_stalled())
    }

    /// Returns whether it is a group of which nothing shows that it makes progress: no process has got
    /// data for a while.
    pub(crate) fn is_quiet(&self, now: Mono) -> bool {
        self.endpoint.group.is_some() && self.total_load(now).is_quiet()
    }

    /// Returns the load from this process.
    pub(crate) fn local_load(&self, now: Mono) -> Load {
        let left = self.stall_noted_at.is_some_and(|at| now < at + STALL_RETENTION);
        let is_known = self.local.requests > 0 || left;
        let ms_since = |at: Mono| {
            let passed = now.saturating_sub(at).as_millis();
            u64::try_from(passed).unwrap_or(u64::MAX)
        };
        Load {
            ms_since_data: self.last_data_at.filter(|_| is_known).map(ms_since),
            ms_waiting: is_known.then(|| ms_since(self.waiting_since)),
            ..self.local
        }
    }

    /// Returns the time since the other processes' load was reported, if it was.
    pub(crate) fn load_age(&self, now: Mono) -> Option<Duration> {
        let (_, reported_at) = self.remote;
        (reported_at > Mono::ZERO).then(|| now.saturating_sub(reported_at))
    }

    /// Returns the load from all processes.
    pub(crate) fn total_load(&self, now: Mono) -> Load {
        let (remote, reported_at) = self.remote;
        let local = self.local_load(now);
        if now <= reported_at + REMOTE_LOAD_RETENTION {
            local.combined_with(&remote)
        } else {
            local
        }
    }

    /// Returns the reported load as one that new requests are to level.
    ///
    /// `mean` is the mean size of a new request.
    pub(crate) fn level(&self, engine: &EngineSpec, mean: RequestSize, now: Mono) -> Level {
        let (total, local) = (self.total_load(now).requests, self.local.requests);
        let time_factor = self.model(engine).map_or(1.0, |model| model.time_factor);
        let tokens_per_second = engine.prefill_tokens_per_second / time_factor;
        Level {
            requests: f64::from(total),
            remote_requests: f64::from(total - local),
            slots: self.endpoint.slots.max(1) as f64,
            starts_per_second: MAX_PREFILL_SHARE * tokens_per_second / mean.prompt_tokens.max(1.0),
            capacity_per_second: capacity_per_second(engine, self.model(engine), mean),
        }
    }

    /// Returns the load from all processes, with what the others are expected to have sent in the
    /// time `age` since it was reported, of prompts with `prompt_tokens` each.
    fn expected_load(&self, age: Duration, prompt_tokens: f64, now: Mono) -> Load {
        let total = self.total_load(now);
        if total.is_quiet() {
            // Nothing shows that its requests make progress.
            return total;
        }
        let remote = f64::from(total.requests - self.local.requests)
            + self.drift.growth_per_second * age.as_secs_f64();
        let reported = total.pending_prefill_tokens - self.local.pending_prefill_tokens;
        let sent = self.drift.remote_sends_per_second * PREFILL_TIME.as_secs_f64() * prompt_tokens;
        // An unusual backlog hardly shrinks until the next report: the group may have stopped.
        let unread = match reported as f64 > sent * BACKLOG_FACTOR {
            true => 1.0,
            false => (-age.as_secs_f64() / PREFILL_TIME.as_secs_f64()).exp(),
        };
        let pending = reported as f64 * unread + sent * (1.0 - unread);
        Load {
            requests: self.local.requests + remote.max(0.0).round() as u32,
            pending_prefill_tokens: self.local.pending_prefill_tokens + pending as u64,
            ..total
        }
    }

    /// Returns the spec of the endpoint's model.
    fn model<'a>(&self, engine: &'a EngineSpec) -> Option<&'a ModelSpec> {
        self.endpoint.model.as_deref().and_then(|model| engine.model(model))
    }
}
/// Returns whether both are the same server instance in the same role.
pub(crate) fn is_same_endpoint(a: &Endpoint, b: &Endpoint) -> bool {
    a.started_at_ms == b.started_at_ms
        && a.group == b.group
        && a.address == b.address
        && a.service == b.service
}

/// Returns the endpoint with its expected response time, unless it is backing off, stalled or full.
pub(crate) fn evaluate<'a>(
    state: &'a EndpointState,
    request: &Evaluation<'_>,
    now: Mono,
) -> Option<Candidate<'a>> {
    if now < state.backoffs.until() || state.is_stalled(now) {
        return None;
    }
    let load = match request.engine {
        Some(_) => state.expected_load(request.report_age, request.mean_prompt_tokens, now),
        None => state.total_load(now),
    };
    let slots = state.endpoint.slots.max(1) as f64;
    let utilization = f64::from(load.requests) / slots;
    let (expected_time, typical_time) = match request.engine {
        Some(engine) => {
            let model = state.model(engine);
            let batch = BatchLoad {
                requests: f64::from(load.requests),
                unread_tokens: load.pending_prefill_tokens as f64,
                mean_prompt_tokens: request.mean_prompt_tokens,
            };
            let time = |tokens| request.fixed_time + first_event_time(engine, model, batch, tokens);
            (time(request.prompt_tokens as f64), time(request.mean_prompt_tokens))
        }
        None => {
            let time = Duration::from_secs_f64(call_seconds(state, load, now));
            (time, time)
        }
    };
    let has_room = request.engine.is_none() || utilization < 1.0;
    has_room.then_some(Candidate {
        endpoint: &state.endpoint,
        expected_time,
        typical_time,
        fixed_time: request.fixed_time,
        utilization,
        load_age: state.load_age(now),
        share: state.drift.sends_per_second,
    })
}

/// Returns the expected duration of a call to a plain service, including the time in its queue.
fn call_seconds(state: &EndpointState, load: Load, now: Mono) -> f64 {
    let queued = f64::from(load.requests + 1) - state.endpoint.slots.max(1) as f64;
    state.call_time.expected_seconds(now)
        * (1.0 + queued.max(0.0) / state.endpoint.slots.max(1) as f64)
}
