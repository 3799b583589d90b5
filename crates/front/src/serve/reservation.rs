//! What a request holds while it waits or runs; dropping it gives it back.

use std::sync::Arc;

use base::prelude::*;
use pass::dispatch::Ticket;
use pass::prelude::*;

use super::ActiveRequest;
use super::State;

/// A place that a request holds.
pub(crate) struct Reservation {
    state: Arc<State>,
    place: Place,
    /// Tokens of the prompt that are not read yet.
    unread: u64,
    began: Mono,
}

impl Reservation {
    /// Holds `place`, which has been counted already.
    pub(crate) fn new(job: &ActiveRequest, place: Place) -> Self {
        let unread = job.prompt_tokens();
        Reservation { state: job.state.clone(), place, unread, began: job.now() }
    }

    /// Returns the place.
    pub(crate) fn place(&self) -> &Place {
        &self.place
    }

    /// Returns how long it has been held.
    pub(crate) fn age(&self) -> Duration {
        self.state.cx.now().saturating_sub(self.began)
    }

    /// Notes that the prompt has been read.
    pub(crate) fn read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if unread > 0 {
            self.state.shared.local.lock().places.read(&self.place, unread);
        }
    }

    /// Notes that something has come from the place.
    pub(crate) fn heard(&self) {
        let now = self.state.cx.now();
        self.state.shared.local.lock().places.heard(&self.place, now);
    }

    /// Returns whether nothing comes from the place any more, for any request.
    pub(crate) fn is_silent(&self) -> bool {
        let now = self.state.cx.now();
        self.state.shared.local.lock().places.is_silent(&self.place, now)
    }

    /// Notes a whole answer.
    pub(crate) fn succeeded(&self) {
        self.state.shared.local.lock().places.succeeded(&self.place, self.age());
    }

    /// Notes what a failed attempt says about the place.
    pub(crate) fn failed(&self, verdict: Verdict) {
        let now = self.state.cx.now();
        let mut local = self.state.shared.local.lock();
        match verdict {
            Verdict::Answered | Verdict::Failed => {}
            Verdict::Full => local.places.full(&self.place, now),
            Verdict::Broken => local.places.broken(&self.place, now),
            Verdict::NotSent | Verdict::Misdirected | Verdict::Unknown => {
                local.places.failed(&self.place, now);
            }
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.read();
        self.state.shared.local.lock().places.ended(&self.place);
        self.state.shared.dispatch_queued(self.state.cx.now());
    }
}

/// A ticket in the queue.
pub(crate) struct QueueGuard {
    state: Arc<State>,
    ticket: Option<Ticket>,
}

impl QueueGuard {
    /// Holds `ticket`.
    pub(crate) fn new(state: Arc<State>, ticket: Ticket) -> Self {
        QueueGuard { state, ticket: Some(ticket) }
    }

    /// Notes that the ticket was called.
    pub(crate) fn done(mut self) {
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
