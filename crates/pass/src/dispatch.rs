//! Who gets a place, who waits, and who is refused.
//!
//! Requests wait here and not in a backend server's queue: here the order can still be chosen, and
//! a refusal is true. A request goes as soon as a place is expected to answer within its latency
//! aim. One that can't be on time any more goes only while places have room to spare, after all
//! that can. What no place will take soon is refused, with a time to come back.
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
/// Longest wait for a place, as a multiple of the latency aim.
const MAX_WAIT_TARGETS: f64 = 2.5;
/// Longest wait for a place, as a part of the deadline.
const MAX_WAIT_DEADLINE_RATIO: f64 = 0.2;
/// Time to come back when places are busy.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Time to come back when no place stands.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// A request that wants a place.
#[data]
pub struct PendingRequest {
    /// What it needs.
    pub requirements: EndpointRequirements,
    /// When it came.
    pub arrived: Mono,
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
    /// It goes to a place.
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
    /// No place serves its model or service.
    NoPlace,
    /// All places are busy for longer than it may wait.
    Busy,
}

/// The requests that wait for a place.
#[derive(Debug, Default)]
pub struct DispatchQueue {
    waiting: BTreeMap<Ticket, PendingRequest>,
    next: Ticket,
}

impl DispatchQueue {
    /// Decides on a request that has just come; it gets a ticket if it has to wait.
    pub fn submit(
        &mut self,
        wanting: PendingRequest,
        places: &EndpointPool,
        now: Mono,
    ) -> (Decision, Option<Ticket>) {
        // What waits for the same places goes first, unless it is less urgent.
        let behind = self.waiting.values().any(|other| {
            other.requirements.service == wanting.requirements.service
                && other.requirements.model == wanting.requirements.model
                && other.priority <= wanting.priority
                && !is_late(other, now)
        });
        let decision = decide(&wanting, places, now);
        match decision {
            Decision::Send(_) if !behind => (decision, None),
            Decision::Refuse { .. } => (decision, None),
            _ => {
                self.next += 1;
                self.waiting.insert(self.next, wanting);
                (Decision::Wait, Some(self.next))
            }
        }
    }

    /// Decides on the first request in order that needn't wait any more; also returns the tokens
    /// of its prompt.
    ///
    /// The caller counts its place before it asks again.
    pub fn poll(&mut self, places: &EndpointPool, now: Mono) -> Option<(Ticket, u64, Decision)> {
        let mut order: Vec<(bool, u8, Mono, Ticket)> = self
            .waiting
            .iter()
            .map(|(ticket, w)| (is_late(w, now), w.priority, w.arrived + w.latency_target, *ticket))
            .collect();
        order.sort_unstable();
        for (.., ticket) in order {
            let decision = decide(&self.waiting[&ticket], places, now);
            if decision != Decision::Wait {
                let wanting = self.waiting.remove(&ticket)?;
                return Some((ticket, wanting.requirements.prompt_tokens, decision));
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

fn is_late(wanting: &PendingRequest, now: Mono) -> bool {
    now >= wanting.arrived + wanting.latency_target
}

fn decide(wanting: &PendingRequest, places: &EndpointPool, now: Mono) -> Decision {
    let waited = now.saturating_sub(wanting.arrived);
    let left = wanting.deadline.saturating_sub(now);
    let refuse = |pause: Duration, reason| Decision::Refuse {
        retry_after: pause.min(left.mul_f64(MAX_RETRY_AFTER_RATIO)),
        reason,
    };
    let Some(offer) = places.choose(&wanting.requirements, now) else {
        let model = wanting.requirements.model.as_deref();
        if !places.has_endpoint(&wanting.requirements.service, model) {
            return refuse(NO_ENDPOINT_RETRY_AFTER, Refusal::NoPlace);
        }
        return if waited < max_wait(wanting) {
            Decision::Wait
        } else {
            refuse(BUSY_RETRY_AFTER, Refusal::Busy)
        };
    };
    let on_time = waited + offer.time <= wanting.latency_target;
    let spare = offer.utilization < MAX_LATE_UTILIZATION
        && offer.time < wanting.latency_target.mul_f64(MAX_LATE_TIME_RATIO);
    if on_time || spare {
        return Decision::Send(offer);
    }
    if waited < max_wait(wanting) {
        Decision::Wait
    } else {
        refuse(BUSY_RETRY_AFTER, Refusal::Busy)
    }
}

fn max_wait(wanting: &PendingRequest) -> Duration {
    let whole = wanting.deadline.saturating_sub(wanting.arrived);
    wanting.latency_target.mul_f64(MAX_WAIT_TARGETS).min(whole.mul_f64(MAX_WAIT_DEADLINE_RATIO))
}
