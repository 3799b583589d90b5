//! Who gets an endpoint, who waits, and who is refused.
//!
//! Requests wait here and not in a backend server's queue: here the order can still be chosen, and
//! a refusal is true. A request goes as soon as an endpoint is expected to answer within its latency
//! aim. One that can't be on time any more goes only while endpoints have room to spare, after all
//! that can. What no endpoint will take soon is refused, with a time to come back.
//!
//! The order: on time before late, then rank, then the earliest aim.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::endpoints::EndpointChoice;
use crate::endpoints::EndpointPool;
use crate::endpoints::EndpointRequirements;

/// Number of a waiting request, unique in its process.
pub type Ticket = u64;

/// Part of the slots above which a late request takes no more of them.
const MAX_LATE_UTILIZATION: f64 = 0.75;
/// A late request goes only where a new one would be on time by this part of its aim.
const MAX_LATE_TIME_RATIO: f64 = 0.8;
/// Part of the time left that a caller follows a time to come back.
const MAX_RETRY_AFTER_RATIO: f64 = 0.3;
/// Longest wait for an endpoint, as a multiple of the latency aim.
const MAX_WAIT_TARGETS: f64 = 2.5;
/// Longest wait for an endpoint, as a part of the deadline.
const MAX_WAIT_DEADLINE_RATIO: f64 = 0.2;
/// Time to come back when endpoints are busy.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Time to come back when no endpoint stands.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// A request that wants an endpoint.
#[data]
pub struct PendingRequest {
    /// What it needs.
    pub requirements: EndpointRequirements,
    /// When it came.
    pub arrived_at: Mono,
    /// Time to the answer or first event that its caller aims at.
    pub latency_target: Duration,
    /// When its caller gives up.
    pub deadline: Mono,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
}

/// What becomes of a request.
#[data]
pub enum Decision {
    /// It goes to an endpoint.
    Send(EndpointChoice),
    /// It waits.
    Wait,
    /// It is refused.
    Refuse {
        /// When to come back.
        retry_after: Duration,
        /// Why.
        reason: Refusal,
    },
}

/// Why a request is refused.
#[key]
pub enum Refusal {
    /// No endpoint serves its model or service.
    NoPlace,
    /// All endpoints are busy for longer than it may wait.
    Busy,
}

/// The requests that wait for an endpoint.
#[derive(Debug, Default)]
pub struct DispatchQueue {
    waiting: BTreeMap<Ticket, PendingRequest>,
    next: Ticket,
}

impl DispatchQueue {
    /// Decides on a request that has just come; it gets a ticket if it has to wait.
    pub fn submit(
        &mut self,
        pending: PendingRequest,
        endpoints: &EndpointPool,
        now: Mono,
    ) -> (Decision, Option<Ticket>) {
        // What waits for the same endpoints goes first, unless it is less urgent.
        let behind = self.waiting.values().any(|other| {
            other.requirements.service == pending.requirements.service
                && other.requirements.model == pending.requirements.model
                && other.priority <= pending.priority
                && !is_late(other, now)
        });
        let decision = decide(&pending, endpoints, now);
        match decision {
            Decision::Send(_) if !behind => (decision, None),
            Decision::Refuse { .. } => (decision, None),
            _ => {
                self.next += 1;
                self.waiting.insert(self.next, pending);
                (Decision::Wait, Some(self.next))
            }
        }
    }

    /// Decides on the first request in order that needn't wait any more; also returns the tokens
    /// of its prompt.
    ///
    /// The caller counts its endpoint before it asks again.
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
            if decision != Decision::Wait {
                let pending = self.waiting.remove(&ticket)?;
                return Some((ticket, pending.requirements.prompt_tokens, decision));
            }
        }
        None
    }

    /// Forgets a request whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

fn is_late(pending: &PendingRequest, now: Mono) -> bool {
    now >= pending.arrived_at + pending.latency_target
}

fn decide(pending: &PendingRequest, endpoints: &EndpointPool, now: Mono) -> Decision {
    let waited = now.saturating_sub(pending.arrived_at);
    let left = pending.deadline.saturating_sub(now);
    let refuse = |pause: Duration, reason| Decision::Refuse {
        retry_after: pause.min(left.mul_f64(MAX_RETRY_AFTER_RATIO)),
        reason,
    };
    let Some(choice) = endpoints.choose(&pending.requirements, now) else {
        let model = pending.requirements.model.as_deref();
        if !endpoints.has_endpoint(&pending.requirements.service, model) {
            return refuse(NO_ENDPOINT_RETRY_AFTER, Refusal::NoPlace);
        }
        return if waited < max_wait(pending) {
            Decision::Wait
        } else {
            refuse(BUSY_RETRY_AFTER, Refusal::Busy)
        };
    };
    let on_time = waited + choice.expected_time <= pending.latency_target;
    let spare = choice.utilization < MAX_LATE_UTILIZATION
        && choice.expected_time < pending.latency_target.mul_f64(MAX_LATE_TIME_RATIO);
    if on_time || spare {
        return Decision::Send(choice);
    }
    if waited < max_wait(pending) {
        Decision::Wait
    } else {
        refuse(BUSY_RETRY_AFTER, Refusal::Busy)
    }
}

fn max_wait(pending: &PendingRequest) -> Duration {
    let whole = pending.deadline.saturating_sub(pending.arrived_at);
    pending.latency_target.mul_f64(MAX_WAIT_TARGETS).min(whole.mul_f64(MAX_WAIT_DEADLINE_RATIO))
}
