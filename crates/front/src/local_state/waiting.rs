//! Requests that wait for an endpoint.
//!
//! The queue ([`pass::dispatch`]) decides; here its decisions reach the requests, and what is sent is
//! counted at its endpoint.

use std::sync::Arc;

use base::prelude::*;
use pass::dispatch::Decision;
use pass::dispatch::PendingRequest;
use pass::dispatch::Ticket;
use tokio::sync::oneshot;

use super::LocalState;
use super::SharedState;

impl SharedState {
    /// Decides on a new request. If it must wait, returns it as `Err`.
    pub fn submit(
        self: &Arc<Self>,
        pending: PendingRequest,
        now: Mono,
    ) -> Result<Decision, WaitingRequest> {
        let prompt_tokens = pending.requirements.prompt_tokens;
        let mut local = self.local.lock();
        let (decision, ticket) = local.submit(pending, now);
        let Some(ticket) = ticket else { return Ok(decision) };
        let (tx, rx) = oneshot::channel();
        local.waiters.insert(ticket, tx);
        Err(WaitingRequest { shared: self.clone(), ticket, prompt_tokens, rx })
    }

    /// Decides on another attempt of a request that is being served: it doesn't wait in the queue.
    pub fn decide_at_once(&self, pending: &PendingRequest, now: Mono) -> Decision {
        self.local.lock().decide_at_once(pending, now)
    }

    /// Decides on waiting requests, for as long as there are some that needn't wait any more.
    pub fn dispatch_queued(&self, now: Mono) {
        let mut local = self.local.lock();
        while let Some((ticket, decision)) = local.poll(now) {
            local.send_decision(ticket, decision);
        }
    }
}

impl LocalState {
    /// Decides on the first waiting request that needn't wait any more, and counts it at its
    /// endpoint.
    fn poll(&mut self, now: Mono) -> Option<(Ticket, Decision)> {
        self.update_evacuations(now);
        let (ticket, tokens, decision) = self.dispatch.poll(&self.endpoints, now)?;
        self.count_started(&decision, tokens, now);
        Some((ticket, decision))
    }

    /// Sends a waiting request its decision.
    fn send_decision(&mut self, ticket: Ticket, decision: Decision) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // Only a request that is being dropped doesn't receive it; it then withdraws itself.
            let _ = waiter.send(decision);
        }
    }

    fn submit(&mut self, pending: PendingRequest, now: Mono) -> (Decision, Option<Ticket>) {
        let tokens = pending.requirements.prompt_tokens;
        self.update_evacuations(now);
        self.endpoints.request_arrived(&pending.requirements, pending.class(), now);
        let (decision, ticket) = self.dispatch.submit(pending, &self.endpoints, now);
        if ticket.is_none() {
            self.count_started(&decision, tokens, now);
        }
        (decision, ticket)
    }

    fn decide_at_once(&mut self, pending: &PendingRequest, now: Mono) -> Decision {
        self.update_evacuations(now);
        let decision = self.dispatch.decide_at_once(pending, &self.endpoints, now);
        self.count_started(&decision, pending.requirements.prompt_tokens, now);
        decision
    }

    fn count_started(&mut self, decision: &Decision, tokens: u64, now: Mono) {
        if let Decision::Send(choice) = decision {
            self.endpoints.request_sent(&choice.endpoint, tokens, now);
        }
    }
}

/// A request that waits for an endpoint. Dropping it, as its caller's disconnecting does, withdraws
/// it from the queue, or from the endpoint that it was just assigned to.
pub struct WaitingRequest {
    shared: Arc<SharedState>,
    ticket: Ticket,
    prompt_tokens: u64,
    rx: oneshot::Receiver<Decision>,
}

impl WaitingRequest {
    /// Waits for the decision.
    pub async fn decision(mut self) -> Decision {
        // The sender is dropped only together with the process's state.
        (&mut self.rx).await.unwrap_or(Decision::Wait)
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        let mut local = self.shared.local.lock();
        local.dispatch.cancel(self.ticket);
        local.waiters.remove(&self.ticket);
        if let Ok(Decision::Send(choice)) = self.rx.try_recv() {
            local.endpoints.prefill_done(&choice.endpoint, self.prompt_tokens);
            local.endpoints.request_ended(&choice.endpoint);
        }
    }
}
