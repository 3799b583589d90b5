//! Which requests are sent, queued or refused.
//!
//! Requests wait here and not in the queue of a backend server, because here they can still be
//! reordered, and a refusal guarantees that the request was not run. A request is sent as soon as
//! an endpoint is expected to respond within the request's latency target. A late request, which
//! can't meet its target any more, is sent only while endpoints have spare capacity, and after all
//! requests that can. A request that no endpoint can accept soon is refused, with a time after
//! which to retry.
//!
//! Order: requests that are not late yet before late ones, then by priority, then by the earliest
//! target time.

use std::collections::BTreeMap;

use base::hash::stable;
use base::prelude::*;

use crate::admission::RequestClass;
use crate::endpoints::EndpointChoice;
use crate::endpoints::EndpointPool;
use crate::endpoints::EndpointRequirements;
use crate::paths::Reach;

/// Number of a waiting request, unique in its process.
pub type Ticket = u64;

/// Utilization of an endpoint from which on it accepts no late requests.
const MAX_LATE_UTILIZATION: f64 = 0.75;
/// A late request is sent only to an endpoint whose expected response time is below this share of
/// the request's latency target.
const MAX_LATE_TIME_RATIO: f64 = 0.8;
/// Least and greatest share of its latency target that a request with a prompt of mean length may be
/// expected to take at an endpoint that gets another one. The rest is for what isn't known of its load.
const TYPICAL_TIME_RATIOS: (f64, f64) = (0.5, 0.9);
/// Maximum retry-after time, relative to the time left until the deadline; callers don't follow
/// longer ones.
const MAX_RETRY_AFTER_RATIO: f64 = 0.3;
/// Maximum wait for an endpoint, as a multiple of the latency target.
const MAX_WAIT_TARGETS: f64 = 2.5;
/// Maximum wait for an endpoint, relative to the time from arrival to the deadline.
const MAX_WAIT_DEADLINE_RATIO: f64 = 0.2;
/// Retry-after time when there is no endpoint.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Retry-after time when no endpoint can be reached from here.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_millis(400);

/// A request that needs an endpoint.
#[data]
pub struct PendingRequest {
    /// What the request needs of an endpoint.
    pub requirements: EndpointRequirements,
    /// Time of arrival.
    pub arrived_at: Mono,
    /// The caller's target for the time from arrival to the response or first event.
    pub latency_target: Duration,
    /// Time when the caller gives up.
    pub deadline: Mono,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The workspace of the caller, if it has one.
    pub workspace: Option<Box<str>>,
    /// Whether another process may take the request over. One that was handed over already stays.
    pub may_hand_over: bool,
}

impl PendingRequest {
    /// Returns whose request it is.
    pub fn class(&self) -> RequestClass<'_> {
        RequestClass { priority: self.priority, workspace: self.workspace.as_deref() }
    }
}

/// What is done with a request.
#[data]
pub enum Decision {
    /// It is sent to an endpoint.
    Send(EndpointChoice),
    /// It waits.
    Wait,
    /// It is handed over to another process: from here, no endpoint can be reached.
    HandOver,
    /// It is refused.
    Refuse {
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// The reason.
        reason: Refusal,
    },
}

/// The reason why a request is refused.
#[key]
pub enum Refusal {
    /// No endpoint serves its service or model.
    NoPlace,
    /// All endpoints are busy for longer than the request may wait.
    Busy,
    /// All endpoints have a limit of their request rate, which is used up for longer than the request
    /// may wait.
    Limited,
    /// All backend servers have asked for a pause, for longer than the request may wait.
    Paused,
    /// Backend servers that ran it ended.
    Quarantined,
    /// No endpoint can be reached from here, and no other process takes the request.
    CutOff,
}

/// The requests that wait for an endpoint.
#[derive(Debug, Default)]
pub struct DispatchQueue {
    waiting: BTreeMap<Ticket, PendingRequest>,
    next: Ticket,
}

impl DispatchQueue {
    /// Decides on a new request; returns a ticket if the request has to wait.
    pub fn submit(
        &mut self,
        pending: PendingRequest,
        endpoints: &EndpointPool,
        now: Mono,
    ) -> (Decision, Option<Ticket>) {
        // Requests that wait for the same endpoints go first, unless they are less urgent.
        let is_ahead = |other: &&PendingRequest| {
            is_same_flow(other, &pending)
                && other.priority <= pending.priority
                && !is_late(other, now)
        };
        let ahead = self.waiting.values().filter(is_ahead).count();
        let decision = decide_unreached(&pending, endpoints, now)
            .or_else(|| refuse_beyond_limits(&pending, endpoints, ahead, now))
            .unwrap_or_else(|| decide_reached(&pending, endpoints, now));
        match decision {
            Decision::Send(_) if ahead == 0 => (decision, None),
            Decision::Refuse { .. } | Decision::HandOver => (decision, None),
            _ => {
                self.next += 1;
                self.waiting.insert(self.next, pending);
                (Decision::Wait, Some(self.next))
            }
        }
    }

    /// Decides on another attempt of a request that is being served. It doesn't wait, and takes nothing
    /// that other requests of its flow wait for.
    pub fn decide_at_once(
        &self,
        pending: &PendingRequest,
        endpoints: &EndpointPool,
        now: Mono,
    ) -> Decision {
        if let Some(decision) = decide_unreached(pending, endpoints, now) {
            return decision;
        }
        match self.waiting.values().any(|other| is_same_flow(other, pending)) {
            true => Decision::Wait,
            false => decide_reached(pending, endpoints, now),
        }
    }

    /// Decides on the first request in order that need not wait any longer; also returns the number
    /// of its prompt tokens.
    ///
    /// The caller must count the request at its endpoint before the next call.
    pub fn poll(&mut self, endpoints: &EndpointPool, now: Mono) -> Option<(Ticket, u64, Decision)> {
        let mut order: Vec<(bool, u8, Mono, Ticket)> = self
            .waiting
            .iter()
            .map(|(ticket, w)| {
                (is_late(w, now), w.priority, w.arrived_at + w.latency_target, *ticket)
            })
            .collect();
        order.sort_unstable();
        for (.., ticket) in order {
            let decision = decide(&self.waiting[&ticket], endpoints, now);
            if matches!(decision, Decision::Send(_)) && self.has_more_urgent(ticket, now) {
                continue;
            }
            if decision != Decision::Wait {
                let pending = self.waiting.remove(&ticket)?;
                return Some((ticket, pending.requirements.prompt_tokens, decision));
            }
        }
        None
    }

    /// Returns whether a request that is more urgent than that of `ticket` waits for the same groups and
    /// is not late. Capacity that becomes free is reserved for it.
    fn has_more_urgent(&self, ticket: Ticket, now: Mono) -> bool {
        let pending = &self.waiting[&ticket];
        pending.requirements.model.is_some()
            && self.waiting.values().any(|other| {
                other.priority < pending.priority
                    && is_same_flow(other, pending)
                    && !is_late(other, now)
            })
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Returns whether two requests need the same service and model.
fn is_same_flow(one: &PendingRequest, other: &PendingRequest) -> bool {
    one.requirements.service == other.requirements.service
        && one.requirements.model == other.requirements.model
}

fn is_late(pending: &PendingRequest, now: Mono) -> bool {
    now >= pending.arrived_at + pending.latency_target
}

fn refuse(pending: &PendingRequest, pause: Duration, reason: Refusal, now: Mono) -> Decision {
    let left = pending.deadline.saturating_sub(now);
    Decision::Refuse { retry_after: pause.min(left.mul_f64(MAX_RETRY_AFTER_RATIO)), reason }
}

/// Refuses a request if the limits of all its servers allow none, after the requests ahead, for
/// longer than it may wait.
fn refuse_beyond_limits(
    pending: &PendingRequest,
    endpoints: &EndpointPool,
    ahead: usize,
    now: Mono,
) -> Option<Decision> {
    let wait = endpoints.time_to_permits(&pending.requirements, ahead + 1, now)?;
    let waited = now.saturating_sub(pending.arrived_at);
    (waited + wait > max_wait(pending)).then(|| refuse(pending, wait, Refusal::Limited, now))
}

fn decide(pending: &PendingRequest, endpoints: &EndpointPool, now: Mono) -> Decision {
    decide_unreached(pending, endpoints, now)
        .unwrap_or_else(|| decide_reached(pending, endpoints, now))
}

/// Decides on a request if no endpoint can be reached from here, as far as is known.
fn decide_unreached(
    pending: &PendingRequest,
    endpoints: &EndpointPool,
    now: Mono,
) -> Option<Decision> {
    match endpoints.reach_of(&pending.requirements) {
        Reach::Open => {
            let has_left = endpoints.paths.have_all_failed(&pending.requirements.excluded);
            (has_left && pending.may_hand_over).then_some(Decision::HandOver)
        }
        // The check takes less time than an attempt that fails.
        Reach::Checking => {
            let waited = now.saturating_sub(pending.arrived_at);
            (waited < max_wait(pending)).then_some(Decision::Wait)
        }
        Reach::CutOff => Some(leave(pending, now)),
    }
}

fn decide_reached(pending: &PendingRequest, endpoints: &EndpointPool, now: Mono) -> Decision {
    let waited = now.saturating_sub(pending.arrived_at);
    let refuse = |pause, reason| refuse(pending, pause, reason, now);
    let typical_target = pending.latency_target.mul_f64(typical_time_ratio(pending));
    let is_lightly_loaded = |choice: &EndpointChoice| {
        waited + choice.expected_load_time() <= pending.latency_target
            && choice.typical_time.saturating_sub(choice.fixed_time) <= typical_target
    };
    let is_on_time = |choice: &EndpointChoice| {
        waited + choice.expected_time <= pending.latency_target && is_lightly_loaded(choice)
    };
    let limited = endpoints.choose_limited(&pending.requirements, now);
    if let Some(choice) = limited.filter(is_on_time) {
        return Decision::Send(choice);
    }
    // A request that has waited long is sent or refused, whatever the others do.
    let is_admitted = endpoints.admits(&pending.requirements, pending.class(), pending.arrived_at);
    if !is_admitted && waited < max_wait(pending) {
        return wait_for_share(pending, endpoints, now);
    }
    let Some(choice) = endpoints.choose(&pending.requirements, now) else {
        let model = pending.requirements.model.as_deref();
        if !endpoints.has_endpoint(&pending.requirements.service, model) {
            return refuse(NO_ENDPOINT_RETRY_AFTER, Refusal::NoPlace);
        }
        if let Some(pause) = endpoints.time_to_pause_end(&pending.requirements, now)
            && waited + pause > max_wait(pending)
        {
            return refuse(pause, Refusal::Paused);
        }
        return wait_or_leave(pending, endpoints, now);
    };
    let load_time = choice.expected_load_time();
    let has_spare = choice.utilization < MAX_LATE_UTILIZATION
        && load_time < pending.latency_target.mul_f64(MAX_LATE_TIME_RATIO);
    let takes_late =
        endpoints.takes_all(&pending.requirements) && (has_spare || is_lightly_loaded(&choice));
    if is_on_time(&choice) || takes_late {
        return Decision::Send(choice);
    }
    let has_priorities =
        endpoints.time_to_admission(&pending.requirements, pending.class()).is_some();
    if has_priorities && now + choice.expected_time > pending.deadline {
        return refuse_busy(pending, endpoints, now);
    }
    wait_or_leave(pending, endpoints, now)
}

/// Decides on a request that doesn't belong to the admitted share of its flow and priority. It waits
/// for the next report if it can then be expected to be sent in time.
fn wait_for_share(pending: &PendingRequest, endpoints: &EndpointPool, now: Mono) -> Decision {
    match endpoints.time_to_admission(&pending.requirements, pending.class()) {
        Some(wait) if now + wait > pending.arrived_at + pending.latency_target => {
            refuse_busy(pending, endpoints, now)
        }
        _ => Decision::Wait,
    }
}

/// Decides on a request that no endpoint can accept now.
fn wait_or_leave(pending: &PendingRequest, endpoints: &EndpointPool, now: Mono) -> Decision {
    if endpoints.has_unreachable(&pending.requirements) {
        // Another process has more endpoints to choose from.
        return leave(pending, now);
    }
    if now.saturating_sub(pending.arrived_at) < max_wait(pending) {
        return Decision::Wait;
    }
    refuse_busy(pending, endpoints, now)
}

/// Refuses a request since all endpoints are busy.
fn refuse_busy(pending: &PendingRequest, endpoints: &EndpointPool, now: Mono) -> Decision {
    let longest = pending.deadline.saturating_sub(now).mul_f64(MAX_RETRY_AFTER_RATIO);
    let mut bytes = [0; 32];
    bytes[..16].copy_from_slice(&pending.arrived_at.as_nanos().to_be_bytes());
    bytes[16..].copy_from_slice(&now.as_nanos().to_be_bytes());
    let draw = stable(&bytes) as f64 / u64::MAX as f64;
    let times = endpoints.retry_times(&pending.requirements);
    refuse(pending, times.retry_after(pending.priority, longest, draw), Refusal::Busy, now)
}

/// Decides on a request that this process can't send to an endpoint that others may reach.
fn leave(pending: &PendingRequest, now: Mono) -> Decision {
    match pending.may_hand_over {
        true => Decision::HandOver,
        false => refuse(pending, CUT_OFF_RETRY_AFTER, Refusal::CutOff, now),
    }
}

/// Returns the share of its latency target that a request with a prompt of mean length may be expected
/// to take at an endpoint for this request.
///
/// It differs from request to request, so that processes that know the same loads don't all begin and
/// stop sending at the same moment.
fn typical_time_ratio(pending: &PendingRequest) -> f64 {
    let (least, greatest) = TYPICAL_TIME_RATIOS;
    let draw = stable(&pending.arrived_at.as_nanos().to_be_bytes()) as f64 / u64::MAX as f64;
    least + (greatest - least) * draw
}

fn max_wait(pending: &PendingRequest) -> Duration {
    let total_time = pending.deadline.saturating_sub(pending.arrived_at);
    pending
        .latency_target
        .mul_f64(MAX_WAIT_TARGETS)
        .min(total_time.mul_f64(MAX_WAIT_DEADLINE_RATIO))
}
