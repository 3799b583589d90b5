//! One attempt: sends a request to one backend server and forwards its response.

use std::sync::Arc;

use base::prelude::*;
use http::StatusCode;
use http::header;
use parking_lot::Mutex;
use pass::outcome::ends_request;
use pass::outcome::promises_not_run;
use pass::prelude::*;
use pass::server_notice::ServerNotice;
use tokio::sync::watch;
use volo_http::body::Body;
use web::prelude::*;

use super::ActiveRequest;
use super::ReadBody;
use super::ServerId;
use super::attempts::Tries;
use super::carrier::Carrier;
use super::outgoing::build;
use super::outgoing::strip_connection_headers;
use super::relay::Relay;
use super::reservation::Reservation;
use super::silence;
use super::silence::CHECK_PERIOD;
use super::silence::Silence;
use super::silence::SilenceReceiver;
use super::silence::Stage;
use super::stream;
use super::stream::End;
use super::stream::PlainResponse;
use super::stream::Source;
use crate::clock::since_boot;
use crate::decision_log;
use crate::decision_log::Record;

/// Responses up to this size are buffered before they are forwarded, so that the request can be
/// retried elsewhere if the response is truncated.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 128 << 10;
/// Longest idle time of a connection that is reused for a request that may run at most once.
pub(super) const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(500);
/// The problem of a response that answers no request, or not this one.
const NO_ANSWER: &str = "no valid answer to this request";
/// The problem of a stream without any event.
const NO_EVENT: &str = "the response ended without an event";
/// An attempt that ended without a response to forward.
pub(crate) struct FailedAttempt {
    /// The backend server that it was sent to, if this process chose one.
    pub(crate) server: Option<ServerId>,
    /// Its outcome.
    pub(crate) outcome: AttemptOutcome,
}

impl FailedAttempt {
    /// An attempt that another process made before it handed the request over, and that may have run.
    pub(crate) const ELSEWHERE: FailedAttempt =
        FailedAttempt { server: None, outcome: AttemptOutcome::Unknown };

    /// Returns whether another process would not take the request over.
    pub(crate) fn was_declined(&self) -> bool {
        self.server.is_none() && self.outcome == AttemptOutcome::NotSent
    }
}

/// One attempt of a request.
pub(crate) struct Attempt {
    /// The request.
    pub(super) active: Arc<ActiveRequest>,
    /// What carries it.
    pub(super) carrier: Carrier,
    /// Its number, from 1.
    pub(super) number: u32,
    /// The other attempts, whether they have ended or not.
    pub(super) tries: Tries,
    /// Where it says that its server is silent.
    silence: watch::Sender<Option<Silence>>,
    /// When what it waits for was last known not to have come, since the start of the VM.
    outstanding_at: Mutex<Duration>,
}

impl Attempt {
    pub(super) fn new(
        active: Arc<ActiveRequest>,
        carrier: Carrier,
        number: u32,
        tries: Tries,
    ) -> Self {
        let (silence, _) = watch::channel(None);
        let outstanding_at = Mutex::new(since_boot());
        Attempt { active, carrier, number, tries, silence, outstanding_at }
    }

    /// Returns where the attempt says that its server is silent.
    pub(super) fn silence(&self) -> SilenceReceiver {
        self.silence.subscribe()
    }

    /// Runs the attempt until its response can be returned to the caller.
    pub(super) async fn run(mut self) -> Result<Response, FailedAttempt> {
        let response = self.send(None).await?;
        if self.active.routed.route.is_streaming && response.status().is_success() {
            return self.start_stream(response).await;
        }
        self.relay_response(response).await
    }

    /// Sends the request and waits for the head of the response. A resumed stream continues after
    /// the event with id `after`.
    pub(super) async fn send(&mut self, after: Option<&str>) -> Result<Response, FailedAttempt> {
        let sent = self.watched(Stage::Head, self.sent(after)).await;
        match sent {
            Ok(response) => {
                let response = self.accept(response)?;
                let delimiter = Delimiter::of(response.extensions());
                self.carrier.watch_life(delimiter, *self.outstanding_at.lock());
                Ok(response)
            }
            Err(PoolError::NotSent { problem, cause, .. }) if !cause.is_evidence() => {
                Err(self.fail(AttemptOutcome::NotTried, 0, &problem))
            }
            Err(PoolError::NotSent { problem, .. }) => {
                self.record_unreached();
                Err(self.fail(AttemptOutcome::NotSent, 0, &problem))
            }
            Err(PoolError::Incomplete { problem, .. }) => {
                self.carrier.check_end(&self.active).await;
                Err(self.fail(AttemptOutcome::Unknown, 0, &problem))
            }
        }
    }

    async fn sent(&self, after: Option<&str>) -> Result<Response, PoolError> {
        let reservation = match &self.carrier {
            Carrier::Server(reservation) => reservation,
            Carrier::Process(hand_over) => {
                return hand_over.send(&self.active, self.number, &self.tries, after).await;
            }
        };
        let request = build(&self.active, reservation.endpoint(), after);
        let reuse = match self.active.routed.route.execution_policy {
            ExecutionPolicy::AtMostOnce => Reuse::IdleAtMost(MAX_IDLE_AT_MOST_ONCE),
            ExecutionPolicy::Idempotent | ExecutionPolicy::Resumable => Reuse::Any,
        };
        self.active.state.pool.send(reservation.endpoint().address, request, reuse).await
    }

    /// Waits for `next`, which the server sends, and says so if the server is silent for too long.
    pub(super) async fn watched<T>(&self, stage: Stage, next: impl Future<Output = T>) -> T {
        let mut next = std::pin::pin!(next);
        let since = self.active.now();
        loop {
            *self.outstanding_at.lock() = since_boot();
            if let Ok(next) = tokio::time::timeout(CHECK_PERIOD, &mut next).await {
                self.silence.send_replace(None);
                return next;
            }
            self.check_silence(stage, self.active.now().saturating_sub(since));
        }
    }

    fn check_silence(&self, stage: Stage, silent_for: Duration) {
        let Some(usual) = silence::usual_time(&self.active.routed.route, stage) else { return };
        let Some(silence) = self.carrier.silence(stage, silent_for, usual) else { return };
        if self.silence.send_replace(Some(silence)).is_none() {
            self.active.record_silence(&self.carrier, self.number, 0, silence, silent_for);
        }
    }

    /// Records that no connection could be made.
    fn record_unreached(&self) {
        if let Carrier::Server(reservation) = &self.carrier {
            self.active.state.shared.connect_failed(reservation.endpoint(), self.active.now());
        }
    }

    /// Returns the response if it can be passed on. That of another process can if it is an answer: it has tried what there
    /// was to try.
    fn accept(&mut self, response: Response) -> Result<Response, FailedAttempt> {
        let (status, headers) = (response.status(), response.headers());
        let Carrier::Server(reservation) = &self.carrier else {
            return match ends_request(status) {
                true => Ok(response),
                false => Err(self.fail(AttemptOutcome::Unknown, status.as_u16(), NO_ANSWER)),
            };
        };
        let active = &self.active;
        let is_first = response.extensions().get::<FirstOnConnection>().is_some();
        let sent = SentAttempt {
            id: active.metadata.attempt_id.as_deref(),
            server: &reservation.endpoint().server,
            connection: if is_first { ConnectionUse::First } else { ConnectionUse::Reused },
        };
        let header_names = &active.state.integration.header_names;
        let outcome = AttemptOutcome::classify(status, headers, &sent, header_names);
        let mut findings = Findings::default();
        let notice = ServerNotice::read(status, headers, header_names, &mut findings);
        self.record_notice(reservation, outcome, &notice, &findings);
        match outcome {
            AttemptOutcome::Answered => Ok(response),
            AttemptOutcome::Failed if self.may_forward_failure(status) => Ok(response),
            AttemptOutcome::Unknown => Err(self.fail(outcome, status.as_u16(), NO_ANSWER)),
            outcome => Err(self.fail(outcome, status.as_u16(), "")),
        }
    }

    /// Returns whether the backend server's own error response is forwarded: no retry may follow, and its
    /// status doesn't promise that the request, which ran, has not run.
    fn may_forward_failure(&self, status: StatusCode) -> bool {
        let route = &self.active.routed.route;
        let is_last = !AttemptOutcome::Failed.may_retry(route.execution_policy)
            || self.number >= route.max_attempts;
        is_last && !promises_not_run(status)
    }

    /// Records what a response says of its server, unless it may come from another one.
    ///
    /// A response to a request that ran and that names no limit says that there is none. Of a response that
    /// may be to an earlier request only the pause counts: it says for how long the server wants nothing.
    fn record_notice(
        &self,
        reservation: &Reservation,
        outcome: AttemptOutcome,
        notice: &ServerNotice,
        findings: &Findings,
    ) {
        let has_run = match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Failed => true,
            AttemptOutcome::Full | AttemptOutcome::Broken => false,
            AttemptOutcome::Unknown => return self.record_pause(reservation, notice),
            AttemptOutcome::NotSent | AttemptOutcome::NotTried | AttemptOutcome::Misdirected => {
                return;
            }
        };
        let (request, server) = (&*self.active.id, &*reservation.endpoint().server);
        let per_second = notice.limit;
        if (has_run || per_second.is_some()) && reservation.record_limit(per_second) {
            decision_log::write(&Record::ServerLimit { request, server, per_second });
        }
        self.record_pause(reservation, notice);
        if let Some(left) = notice.warm_up {
            reservation.record_warm_up(left);
        }
        if notice.is_leaving {
            reservation.record_leaving(request);
        }
        if !findings.is_empty() && reservation.record_invalid_notice() {
            decision_log::write(&Record::LeftOut { key: server, findings });
        }
    }

    /// Records the pause that a response asked for, if it did.
    fn record_pause(&self, reservation: &Reservation, notice: &ServerNotice) {
        let Some(pause) = notice.pause else { return };
        reservation.record_pause(pause);
        self.active.state.metrics.server_pauses.inc();
        let (request, server) = (&*self.active.id, &*reservation.endpoint().server);
        let for_ms = decision_log::millis(pause);
        decision_log::write(&Record::ServerPause { request, server, for_ms });
    }

    /// Ends the attempt without a response to forward, and logs why.
    pub(super) fn fail(
        &self,
        outcome: AttemptOutcome,
        status: u16,
        problem: &str,
    ) -> FailedAttempt {
        self.active.fail_attempt(&self.carrier, self.number, outcome, status, problem)
    }

    /// Forwards a response that is no stream of events.
    async fn relay_response(self, response: Response) -> Result<Response, FailedAttempt> {
        let (mut parts, mut from) = response.into_parts();
        let delimiter = Delimiter::of(&parts.extensions);
        let workspace = self.active.routed.workspace.as_deref().unwrap_or_default();
        let grant = self.active.state.memory.bodies.grant(workspace);
        let reading = super::read_up_to(&mut from, MAX_BUFFERED_RESPONSE_BYTES, grant);
        let read = match self.watched(Stage::Body, reading).await {
            Ok(read) => read,
            Err(error) => {
                self.carrier.check_end(&self.active).await;
                let (status, problem) = (parts.status.as_u16(), error.to_string());
                return Err(self.fail(AttemptOutcome::Unknown, status, &problem));
            }
        };
        strip_connection_headers(&mut parts.headers);
        let body = match read {
            ReadBody::Whole(_)
                if !delimiter.proves_whole() && !self.carrier.is_whole(&self.active).await =>
            {
                let status = parts.status.as_u16();
                return Err(self.fail(AttemptOutcome::Unknown, status, stream::MAY_BE_CUT));
            }
            ReadBody::Whole(bytes) => {
                self.carrier.record_response(parts.status);
                self.log_answered(parts.status);
                Body::from(bytes)
            }
            ReadBody::Start(first) => {
                let active = self.active.clone();
                let response = PlainResponse { status: parts.status, delimiter, from };
                stream::relay_rest(active, first, response, self.carrier)
            }
        };
        Ok(Response::from_parts(parts, body))
    }

    fn log_answered(&self, status: StatusCode) {
        let age = decision_log::millis(self.active.now().saturating_sub(self.active.arrived));
        decision_log::write(&Record::Answered {
            request: &self.active.id,
            server: self.carrier.name(),
            status: status.as_u16(),
            expected_ms: decision_log::millis(self.carrier.expected_time()),
            first_event_ms: decision_log::millis(self.carrier.age(self.active.now())),
            first_ms: age,
            total_ms: age,
            longest_pause_ms: 0,
            events: 0,
        });
    }

    async fn start_stream(mut self, response: Response) -> Result<Response, FailedAttempt> {
        let (mut parts, from) = response.into_parts();
        strip_connection_headers(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        let head = StreamHead::of(&parts.headers);
        let mut source = Source::new(from, Delimiter::of(&parts.extensions));
        let problem = match self.watched(Stage::Body, source.next()).await {
            Ok(event) => {
                self.carrier.record_first_event(self.active.now());
                return Ok(Response::from_parts(parts, Relay::start(self, head, event, source)));
            }
            Err(end) => self.end_without_event(end).await,
        };
        Err(self.fail(AttemptOutcome::Unknown, parts.status.as_u16(), &problem))
    }

    /// Looks for the end of the server after a stream that ended before its first event, unless the server has said that
    /// nothing follows; returns the problem.
    pub(super) async fn end_without_event(&self, end: End) -> Box<str> {
        let problem = match end {
            End::Complete => return NO_EVENT.into(),
            End::Closed => NO_EVENT.into(),
            End::Broken(problem) => problem,
        };
        self.carrier.check_end(&self.active).await;
        problem
    }
}

impl ActiveRequest {
    /// Records that a server is silent for an attempt, after `events` events.
    pub(super) fn record_silence(
        &self,
        carrier: &Carrier,
        number: u32,
        events: u64,
        silence: Silence,
        silent_for: Duration,
    ) {
        // It gets no new requests for a while.
        carrier.record_failure(AttemptOutcome::Unknown);
        let because = &silence.to_string();
        self.state.metrics.record_silence(because);
        decision_log::write(&Record::Silent {
            request: &self.id,
            attempt: number,
            server: carrier.name(),
            events,
            because,
            silent_ms: decision_log::millis(silent_for),
        });
    }

    /// Records that an attempt ended without a response to forward, and logs why.
    pub(super) fn fail_attempt(
        &self,
        carrier: &Carrier,
        number: u32,
        outcome: AttemptOutcome,
        status: u16,
        problem: &str,
    ) -> FailedAttempt {
        carrier.record_failure(outcome);
        let retries_left = {
            let mut local = self.state.shared.local.lock();
            local.retry_account(&self.routed.service.name).left()
        };
        decision_log::write(&Record::AttemptFailed {
            request: &self.id,
            fingerprint: self.fingerprint,
            attempt: number,
            server: carrier.name(),
            verdict: &format!("{outcome:?}"),
            status,
            problem,
            after_ms: decision_log::millis(carrier.age(self.now())),
            retries_left,
        });
        FailedAttempt { server: carrier.server().cloned(), outcome }
    }
}
