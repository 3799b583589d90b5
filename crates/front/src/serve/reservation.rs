//! What a request holds while it waits or runs. Dropping it releases it.

use std::sync::Arc;

use base::prelude::*;
use pass::dispatch::Ticket;
use pass::prelude::*;

use super::ActiveRequest;
use super::State;

/// A request's share of the capacity of an endpoint.
pub(crate) struct Reservation {
    state: Arc<State>,
    place: Endpoint,
    /// Tokens of the prompt that are not prefilled yet.
    unread: u64,
    began: Mono,
}

impl Reservation {
    /// Holds `place`, which has been counted already.
    pub(crate) fn new(active: &ActiveRequest, place: Endpoint) -> Self {
        let unread = active.prompt_tokens();
        Reservation { state: active.state.clone(), place, unread, began: active.now() }
    }

    /// Returns the place.
    pub(crate) fn place(&self) -> &Endpoint {
        &self.place
    }

    /// Returns how long it has been held.
    pub(crate) fn age(&self) -> Duration {
        self.state.cx.now().saturating_sub(self.began)
    }

    /// Records that the prompt has been prefilled.
    pub(crate) fn read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if unread > 0 {
            self.state.shared.local.lock().places.prefill_done(&self.place, unread);
        }
    }

    /// Records that the endpoint has sent something for this request.
    pub(crate) fn heard(&self) {
        let now = self.state.cx.now();
        self.state.shared.local.lock().places.data_received(&self.place, now);
    }

    /// Returns whether the endpoint is stalled: it makes no progress on any request.
    pub(crate) fn is_silent(&self) -> bool {
        let now = self.state.cx.now();
        self.state.shared.local.lock().places.is_stalled(&self.place, now)
    }

    /// Records a complete response.
    pub(crate) fn succeeded(&self) {
        self.state.shared.local.lock().places.request_succeeded(&self.place, self.age());
    }

    /// Records what the outcome of a failed attempt implies for the endpoint.
    pub(crate) fn failed(&self, verdict: AttemptOutcome) {
        let now = self.state.cx.now();
        let mut local = self.state.shared.local.lock();
        match verdict {
            AttemptOutcome::Answered | AttemptOutcome::Failed => {}
            AttemptOutcome::Full => local.places.reported_full(&self.place, now),
            AttemptOutcome::Broken => local.places.reported_stalled(&self.place, now),
            AttemptOutcome::NotSent | AttemptOutcome::Misdirected | AttemptOutcome::Unknown => {
                local.places.request_failed(&self.place, now);
            }
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.read();
        self.state.shared.local.lock().places.request_ended(&self.place);
        self.state.shared.dispatch_queued(self.state.cx.now());
    }
}

/// A request's ticket in the queue; dropping it removes the request from the queue.
pub(crate) struct QueueGuard {
    state: Arc<State>,
    ticket: Option<Ticket>,
}

impl QueueGuard {
    /// Holds `ticket`.
    pub(crate) fn new(state: Arc<State>, ticket: Ticket) -> Self {
        QueueGuard { state, ticket: Some(ticket) }
    }

    /// Releases the ticket without removing it, after the request got its decision.
    pub(crate) fn disarm(mut self) {
        self.ticket = None;
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.state.shared.local.lock().cancel(ticket);
        }
    }
}
