//! Forwards a stream event by event.
//!
//! Only complete events are forwarded. A stream that is truncated or stalls is resumed at another
//! backend server after its last event, if its route allows that; the caller sees one response, with
//! the headers of the first. If a stream can't be resumed, the caller's connection is aborted, so
//! that the response doesn't look complete.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use displaydoc::Display;
use http::StatusCode;
use pass::events::Event;
use pass::prelude::*;
use volo_http::body::Body;
use web::body;
use web::body::BodySender;

use super::ActiveRequest;
use super::ServerId;
use super::attempt::Attempt;
use super::attempt::FailedAttempt;
use super::attempts::Tries;
use super::carrier::Carrier;
use crate::decision_log;
use crate::decision_log::Record;

/// How long the first event may take before the request is retried elsewhere, as a multiple of the
/// route's latency target.
const FIRST_EVENT_TIMEOUT_FACTOR: u32 = 4;
/// Lower bound of the timeout of the first event.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a stream may go without an event, as a multiple of the route's event gap target.
const STALL_TIMEOUT_FACTOR: u32 = 3;
/// How long a stream may go without an event if its route has no event gap target.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How often a stream that waits for an event checks whether its endpoint is stalled.
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Why a response is aborted after a part of it has been sent.
#[derive(Debug, Display)]
enum BreakOff {
    /// {0}
    // Its source ended, and no other server took it.
    Interrupted(Interruption),
    /// the request's deadline passed
    Deadline,
    /// the time to stop was up
    Stop,
}

impl BreakOff {
    /// Returns the cause as a label of metrics.
    fn cause(&self) -> &'static str {
        match self {
            BreakOff::Interrupted(Interruption::Broken(_)) => "broken",
            BreakOff::Interrupted(Interruption::Stalled(_)) => "silent",
            BreakOff::Deadline => "deadline",
            BreakOff::Stop => "stop",
        }
    }
}

/// The source of a stream's events: a backend server's response.
pub(super) struct Source {
    from: Body,
    events: EventSplitter,
}

/// How a stream's source ended.
enum End {
    Complete,
    /// Truncated or invalid; says what went wrong.
    Broken(Box<str>),
}

/// Why a stream has no next event though it isn't complete.
#[derive(Debug, Display)]
pub(super) enum Interruption {
    /// {0}
    // Its connection ended, or what arrived is invalid.
    Broken(Box<str>),
    /// {0}
    // Nothing arrived for too long.
    Stalled(&'static str),
}

impl Source {
    /// Returns the next complete event.
    async fn next(&mut self) -> Result<Event, End> {
        loop {
            if let Some(event) = self.events.next_event() {
                return Ok(event);
            }
            match body::next_chunk(&mut self.from).await {
                Some(Ok(chunk)) => {
                    if !self.events.push(&chunk) {
                        return Err(End::Broken("an event exceeds the size limit".into()));
                    }
                }
                Some(Err(error)) => return Err(End::Broken(error.to_string().into())),
                None if self.events.has_partial() => {
                    return Err(End::Broken("the response ended within an event".into()));
                }
                None => return Err(End::Complete),
            }
        }
    }
}

/// Returns the timeout of the first event of a stream.
pub(super) fn first_event_timeout(active: &ActiveRequest) -> Duration {
    (active.routed.route.latency_target * FIRST_EVENT_TIMEOUT_FACTOR).max(MIN_FIRST_EVENT_TIMEOUT)
}

/// Waits for the first event of a stream.
pub(super) async fn first_event(
    active: &ActiveRequest,
    carrier: &Carrier,
    from: Body,
    timeout: Duration,
) -> Result<(Event, Source), Interruption> {
    let mut source = Source { from, events: EventSplitter::default() };
    match next_or_stalled(active, carrier, &mut source, timeout).await {
        Some(Ok(event)) => Ok((event, source)),
        Some(Err(End::Broken(problem))) => Err(Interruption::Broken(problem)),
        Some(Err(End::Complete)) => {
            Err(Interruption::Broken("the response ended without an event".into()))
        }
        None => Err(Interruption::Stalled("timed out waiting for the first event")),
    }
}

/// Waits for the next event. Returns `None` after `timeout`; if the request may be retried elsewhere,
/// also as soon as the endpoint is stalled for all its requests.
async fn next_or_stalled(
    active: &ActiveRequest,
    carrier: &Carrier,
    source: &mut Source,
    timeout: Duration,
) -> Option<Result<Event, End>> {
    let since = active.now();
    loop {
        let left = timeout.saturating_sub(active.now().saturating_sub(since));
        let slice = left.min(STALL_CHECK_PERIOD);
        if let Ok(next) = tokio::time::timeout(slice, source.next()).await {
            return Some(next);
        }
        let timed_out = active.now().saturating_sub(since) >= timeout;
        // The timeout is shorter than the time to the deadline only if the request may be retried
        // elsewhere.
        let may_leave = timeout < active.deadline.saturating_sub(since);
        let silent_for = active.now().saturating_sub(since);
        if timed_out || (may_leave && carrier.is_lost(silent_for)) {
            return None;
        }
    }
}

/// Forwards the rest of a long response that is no stream of events; `first` has been read already.
pub(super) fn relay_rest(
    active: Arc<ActiveRequest>,
    status: StatusCode,
    first: Bytes,
    mut from: Body,
    carrier: Carrier,
) -> Body {
    let (tx, body) = body::stream_of_large_chunks();
    tokio::spawn(async move {
        let carrier = carrier;
        if !tx.send(first).await {
            return;
        }
        loop {
            let left = active.deadline.saturating_sub(active.now());
            let chunk = tokio::select! {
                () = tx.closed() => return,
                () = tokio::time::sleep(left) => {
                    return tx.abort(&BreakOff::Deadline.to_string()).await;
                }
                () = active.state.stop.out_of_time() => {
                    return tx.abort(&BreakOff::Stop.to_string()).await;
                }
                chunk = body::next_chunk(&mut from) => chunk,
            };
            match chunk {
                Some(Ok(chunk)) => {
                    if !tx.send(chunk).await {
                        return;
                    }
                }
                Some(Err(error)) => {
                    tx.abort(&error.to_string()).await;
                    return carrier.check_end(&active).await;
                }
                None => return carrier.record_response(status),
            }
        }
    });
    body
}

/// Forwards a stream whose first event has been received.
pub(super) fn relay_events(
    active: Arc<ActiveRequest>,
    carrier: Carrier,
    attempts: u32,
    first: Event,
    source: Source,
) -> Body {
    let (tx, body) = body::stream(());
    let relay = Relay {
        tx,
        carrier: Some(carrier),
        attempts,
        last_id: None,
        events: 0,
        first_at: active.now(),
        last_at: active.now(),
        longest_gap: Duration::ZERO,
        active,
    };
    tokio::spawn(relay.run(first, source));
    body
}

/// The forwarding of one stream, over all backend servers that serve it.
struct Relay {
    active: Arc<ActiveRequest>,
    tx: BodySender,
    carrier: Option<Carrier>,
    attempts: u32,
    /// The id of the last forwarded event that had one; a resumed stream continues after it.
    last_id: Option<Box<str>>,
    events: u64,
    first_at: Mono,
    last_at: Mono,
    longest_gap: Duration,
}

impl Relay {
    async fn run(mut self, first: Event, mut source: Source) {
        if !self.forward(first).await {
            return self.log_caller_gone();
        }
        loop {
            let next = tokio::select! {
                () = self.tx.closed() => return self.log_caller_gone(),
                () = self.active.state.stop.out_of_time() => return self.abort(BreakOff::Stop).await,
                next = self.next(&mut source) => next,
            };
            if self.active.now() >= self.active.deadline {
                return self.abort(BreakOff::Deadline).await;
            }
            let interruption = match next {
                Some(Ok(event)) => {
                    if !self.forward(event).await {
                        return self.log_caller_gone();
                    }
                    continue;
                }
                Some(Err(End::Complete)) => return self.log_completed(),
                Some(Err(End::Broken(problem))) => Interruption::Broken(problem),
                None => {
                    self.log_silence();
                    Interruption::Stalled("the stream stalled")
                }
            };
            match self.resume(&interruption).await {
                Some(resumed) => source = resumed,
                None => return self.abort(BreakOff::Interrupted(interruption)).await,
            }
        }
    }

    async fn next(&self, source: &mut Source) -> Option<Result<Event, End>> {
        let Some(carrier) = &self.carrier else { return None };
        next_or_stalled(&self.active, carrier, source, self.event_timeout()).await
    }

    /// Returns how long the next event may take.
    fn event_timeout(&self) -> Duration {
        let left = self.active.deadline.saturating_sub(self.active.now());
        self.stall_timeout().min(left)
    }

    fn stall_timeout(&self) -> Duration {
        let route = &self.active.routed.route;
        let may_resume = route.execution_policy == ExecutionPolicy::Resumable
            && self.attempts < route.max_attempts;
        if !may_resume {
            // The stream can't be resumed elsewhere, so only the caller's deadline ends it.
            return self.active.metadata.deadline;
        }
        route.event_gap_target.map_or(DEFAULT_STALL_TIMEOUT, |pause| pause * STALL_TIMEOUT_FACTOR)
    }

    /// Sends an event to the caller; returns false if the caller has disconnected.
    async fn forward(&mut self, event: Event) -> bool {
        let now = self.active.now();
        if self.events > 0 {
            self.longest_gap = self.longest_gap.max(now.saturating_sub(self.last_at));
        }
        if let Some(carrier) = &mut self.carrier {
            carrier.record_progress();
        }
        self.last_at = now;
        self.events += 1;
        if event.id.is_some() {
            self.last_id = event.id;
        }
        self.tx.send(event.bytes).await
    }

    /// Resumes the stream at another backend server, if that is allowed.
    async fn resume(&mut self, interruption: &Interruption) -> Option<Source> {
        let active = self.active.clone();
        let carrier = self.carrier.take()?;
        if matches!(interruption, Interruption::Broken(_)) {
            carrier.check_end(&active).await;
        }
        let server: Vec<ServerId> = carrier.server().cloned().into_iter().collect();
        let may_have_run = self.attempts;
        let tries = Tries { servers: server.clone(), reached: server, may_have_run };
        let number = self.attempts;
        let mut attempt = Attempt { active: &active, carrier, number, tries: &tries };
        let mut failed = attempt.fail(AttemptOutcome::Unknown, 0, &interruption.to_string());
        drop(attempt);
        let last_id = self.last_id.clone()?;
        // A process that declines the stream has sent nothing, so another one may get it.
        while active.may_retry(&failed, self.attempts) {
            match self.resume_after(&last_id, &tries).await? {
                Ok(source) => return Some(source),
                Err(next) if next.was_declined() => failed = next,
                Err(_) => return None,
            }
        }
        None
    }

    /// Sends the request once more, for the events after `last_id`; `None` if that is impossible.
    async fn resume_after(
        &mut self,
        last_id: &str,
        tries: &Tries,
    ) -> Option<Result<Source, FailedAttempt>> {
        let active = self.active.clone();
        // The wait counts from the interruption: the time before it was spent on the answer.
        let waiting = active.wait_for_carrier(&tries.servers, active.now());
        let carrier = tokio::select! {
            () = self.tx.closed() => return None,
            carrier = waiting => carrier.ok()?,
        };
        self.attempts += 1;
        decision_log::write(&Record::Resumed {
            request: &active.id,
            server: carrier.name(),
            after_event: last_id,
        });
        let number = self.attempts;
        let mut attempt = Attempt { active: &active, carrier, number, tries };
        let response = tokio::select! {
            () = self.tx.closed() => return None,
            response = attempt.send(Some(last_id)) => response,
        };
        match response {
            Ok(response) if response.status().is_success() => {
                attempt.carrier.record_prefill();
                self.carrier = Some(attempt.carrier);
                let events = EventSplitter::default();
                Some(Ok(Source { from: response.into_body(), events }))
            }
            Ok(_) => None,
            Err(failed) => Some(Err(failed)),
        }
    }

    fn log_silence(&self) {
        let silent_for = self.active.now().saturating_sub(self.last_at);
        let because = match silent_for >= self.event_timeout() {
            true => "no event in time",
            false => "no progress of the server on any request, or no path to it",
        };
        self.active.state.metrics.record_silence(because);
        decision_log::write(&Record::Silent {
            request: &self.active.id,
            attempt: self.attempts,
            server: self.server(),
            events: self.events,
            because,
            silent_ms: decision_log::millis(silent_for),
        });
    }

    async fn abort(&self, why: BreakOff) {
        let problem = &why.to_string();
        let now = self.active.now();
        self.active.state.metrics.record_broken_off(why.cause());
        decision_log::write(&Record::BrokenOff {
            request: &self.active.id,
            server: self.server(),
            problem,
            events: self.events,
            after_ms: decision_log::millis(now.saturating_sub(self.active.arrived)),
            silent_ms: decision_log::millis(now.saturating_sub(self.last_at)),
            stopping_ms: self.active.state.stop.elapsed(now).map(decision_log::millis),
        });
        self.tx.abort(problem).await;
    }

    fn log_completed(&self) {
        if let Some(carrier) = &self.carrier {
            carrier.record_response(StatusCode::OK);
        }
        let since = |at: Mono| decision_log::millis(at.saturating_sub(self.active.arrived));
        let (expected, first_event) = match &self.carrier {
            Some(carrier) => (carrier.expected_time(), carrier.first_event_time()),
            None => (Duration::ZERO, None),
        };
        let first_event = first_event.unwrap_or_default();
        decision_log::write(&Record::Answered {
            request: &self.active.id,
            server: self.server(),
            status: 200,
            expected_ms: decision_log::millis(expected),
            first_event_ms: decision_log::millis(first_event),
            first_ms: since(self.first_at),
            total_ms: since(self.last_at),
            longest_pause_ms: decision_log::millis(self.longest_gap),
            events: self.events,
        });
    }

    fn log_caller_gone(&self) {
        decision_log::write(&Record::CallerGone {
            request: &self.active.id,
            server: self.server(),
            after_ms: decision_log::millis(self.active.now().saturating_sub(self.active.arrived)),
        });
    }

    fn server(&self) -> &str {
        self.carrier.as_ref().map_or("", Carrier::name)
    }
}
