//! What a request holds while it waits or runs. Dropping it releases it.

use std::sync::Arc;

use base::prelude::*;
use http::StatusCode;
use pass::endpoints::EndpointChoice;
use pass::prelude::*;
use pass::server_limit::RequestRate;
use route::prelude::Fingerprint;

use super::ActiveRequest;
use super::State;
use super::life::LifeWatch;
use crate::clock::wall_millis;
use crate::crash_reports::TrackedParts;

/// Events of a stream after which its answer has begun for certain: a server that a part of the prompt
/// crashes may send the first events before it ends.
const EVENTS_OF_BEGUN_ANSWER: u32 = 3;

/// Time without data after which a connection to a server counts as lost if no new one can be made to any.
const LOST_SILENCE: Duration = Duration::from_millis(250);

/// A request's share of the capacity of an endpoint.
pub(crate) struct Reservation {
    state: Arc<State>,
    choice: EndpointChoice,
    /// Tokens of the prompt that are not prefilled yet.
    pending_prefill: u64,
    started_at: Mono,
    /// The time to the first event, once it has come.
    first_event_time: Option<Duration>,
    fingerprint: Fingerprint,
    /// See [`ActiveRequest::parts`].
    parts: TrackedParts,
    /// Events of a stream that have come.
    events: u32,
    /// What shows whether the server lives on after an answer of which only its connection tells the end, and when that answer
    /// was outstanding.
    life: Option<(Arc<LifeWatch>, Duration)>,
}

impl Reservation {
    /// Returns the reservation of a chosen endpoint that counts this request already.
    pub(crate) fn new(active: &ActiveRequest, choice: EndpointChoice) -> Self {
        let pending_prefill = active.prompt_tokens();
        Reservation {
            state: active.state.clone(),
            choice,
            pending_prefill,
            started_at: active.now(),
            first_event_time: None,
            fingerprint: active.fingerprint,
            parts: active.parts.clone(),
            events: 0,
            life: None,
        }
    }

    /// Watches the server, whose answer was outstanding at the time `outstanding_at` since the start of the VM.
    pub(crate) fn watch_life(&mut self, outstanding_at: Duration) {
        let watch = self.state.life_watches.watch(self.endpoint().address);
        self.life = Some((watch, outstanding_at));
    }

    /// Returns whether the server lives on after the connection of its answer has ended.
    pub(crate) async fn lives_on(&self) -> bool {
        match &self.life {
            Some((watch, outstanding_at)) => watch.lives_on(*outstanding_at).await,
            None => false,
        }
    }

    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.choice.endpoint
    }

    /// Returns the endpoint as it was chosen.
    pub(crate) fn choice(&self) -> &EndpointChoice {
        &self.choice
    }

    /// Returns the time since the reservation was made.
    pub(crate) fn age(&self) -> Duration {
        self.state.cx.now().saturating_sub(self.started_at)
    }

    /// Returns the forecast of the time to the response or, for a stream, to its first event.
    pub(crate) fn expected_time(&self) -> Duration {
        self.choice.expected_time
    }

    /// Returns the time from the reservation to the first event of a stream, once it has come.
    pub(crate) fn first_event_time(&self) -> Option<Duration> {
        self.first_event_time
    }

    /// Records that the first event of a stream has come: its prompt has been prefilled.
    pub(crate) fn record_first_event(&mut self) {
        let took = self.age();
        self.first_event_time = Some(took);
        self.state.metrics.record_first_event(self.choice.expected_time, took);
        let now = self.state.cx.now();
        self.state.shared.local.lock().endpoints.first_event_seen(&self.choice, took, now);
        self.record_prefill();
    }

    /// Records that the prompt has been prefilled.
    pub(crate) fn record_prefill(&mut self) {
        let pending_prefill = std::mem::take(&mut self.pending_prefill);
        if pending_prefill > 0 {
            self.state.shared.local.lock().endpoints.prefill_done(self.endpoint(), pending_prefill);
        }
    }

    /// Records that the endpoint has sent an event for this request.
    pub(crate) fn record_progress(&mut self) {
        let now = self.state.cx.now();
        self.state.shared.local.lock().endpoints.data_received(self.endpoint(), now);
        self.events += 1;
        if self.events == EVENTS_OF_BEGUN_ANSWER {
            self.record_answer_begun();
        }
    }

    /// Returns whether the answer has begun, so that none of the prompt's parts keeps servers from
    /// answering.
    pub(crate) fn has_begun(&self) -> bool {
        self.events >= EVENTS_OF_BEGUN_ANSWER
    }

    /// Returns the parts of the prompt that other requests may share.
    pub(crate) fn parts(&self) -> &TrackedParts {
        &self.parts
    }

    fn record_answer_begun(&self) {
        let mut local = self.state.shared.local.lock();
        if local.crash_reports.record_part_answer(&self.parts, wall_millis()) {
            self.state.shared.notify_of_crash_report();
        }
    }

    /// Returns whether the endpoint is stalled: it makes no progress on any request.
    pub(crate) fn is_stalled(&self) -> bool {
        let now = self.state.cx.now();
        self.state.shared.local.lock().endpoints.is_stalled(self.endpoint(), now)
    }

    /// Returns whether the endpoint gets requests: its server still reports itself in the same role.
    pub(crate) fn is_current(&self) -> bool {
        self.state.shared.local.lock().endpoints.contains(self.endpoint())
    }

    /// Returns whether this process can't reach servers any more and the connection has been silent for so
    /// long that it is lost as well.
    pub(crate) fn is_cut_off(&self, silent_for: Duration) -> bool {
        let reach = self.state.shared.local.lock().endpoints.paths.reach();
        reach == Reach::CutOff && silent_for >= LOST_SILENCE
    }

    /// Records which limit of the server's request rate a response named, if any; returns whether
    /// that is news.
    pub(crate) fn record_limit(&self, per_second: Option<RequestRate>) -> bool {
        let now = self.state.cx.now();
        self.state.shared.local.lock().endpoints.limit_observed(self.endpoint(), per_second, now)
    }

    /// Records that the server wants no requests for `pause`.
    pub(crate) fn record_pause(&self, pause: Duration) {
        let now = self.state.cx.now();
        self.state.shared.local.lock().endpoints.pause_requested(self.endpoint(), pause, now);
    }

    /// Records that a response to `request` said that the server is leaving.
    pub(crate) fn record_leaving(&self, request: &str) {
        let Endpoint { server, started_at_ms, .. } = self.endpoint();
        let mut local = self.state.shared.local.lock();
        local.set_leaving(server, *started_at_ms, request, self.state.cx.now());
        self.state.shared.servers_changed.notify_one();
    }

    /// Records that the server's warm-up still takes so long.
    pub(crate) fn record_warm_up(&self, left: Duration) {
        let now = self.state.cx.now();
        self.state.shared.local.lock().set_warm_up(self.endpoint(), left, now);
    }

    /// Records that a response said something invalid of the server; returns whether that is news.
    pub(crate) fn record_invalid_notice(&self) -> bool {
        self.state.shared.local.lock().endpoints.invalid_notice_seen(self.endpoint())
    }

    /// Records a complete response.
    ///
    /// Only a success shows that the endpoint survives the request: a server may answer with an error
    /// without having run it.
    pub(crate) fn record_response(&self, status: StatusCode) {
        if status.is_success() {
            self.record_answer_begun();
        }
        let now = self.state.cx.now();
        let mut local = self.state.shared.local.lock();
        local.endpoints.request_succeeded(self.endpoint(), self.age(), now);
        if status.is_success() && local.crash_reports.record_answer(self.fingerprint, wall_millis())
        {
            self.state.shared.notify_of_crash_report();
        }
    }

    /// Records what the outcome of a failed attempt implies for the endpoint.
    pub(crate) fn record_failure(&self, outcome: AttemptOutcome) {
        let now = self.state.cx.now();
        let mut local = self.state.shared.local.lock();
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::NotTried => {}
            AttemptOutcome::Full => local.endpoints.reported_full(self.endpoint(), now),
            AttemptOutcome::Broken => local.endpoints.reported_stalled(self.endpoint(), now),
            AttemptOutcome::NotSent | AttemptOutcome::Misdirected | AttemptOutcome::Unknown => {
                local.endpoints.request_failed(self.endpoint(), now);
            }
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.record_prefill();
        self.state.shared.local.lock().endpoints.request_ended(self.endpoint());
        self.state.shared.dispatch_queued(self.state.cx.now());
    }
}
