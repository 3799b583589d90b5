//! Passes a stream on, event by event.
//!
//! Only whole events are passed on. A stream that breaks off or falls silent goes on at another
//! backend server after its last event, if its route allows that; the caller sees one answer with
//! the headers of the first. A stream that can't go on breaks the caller's connection, so that it
//! doesn't look complete.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use pass::events::Event;
use pass::prelude::*;
use volo_http::body::Body;
use web::body;
use web::body::BodySender;

use super::ActiveRequest;
use super::attempt::Attempt;
use super::reservation::Reservation;
use crate::decision_log;
use crate::decision_log::Record;

/// How long the first event may take, as a multiple of the latency aim, before it is tried
/// elsewhere.
const FIRST_EVENT_TIMEOUT_FACTOR: u32 = 4;
/// Shortest time that a first event gets.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a stream may be silent, as a multiple of the pause that callers aim at.
const STALL_TIMEOUT_FACTOR: u32 = 3;
/// How long a stream may be silent where callers aim at no pause.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How often a waiting stream looks whether its place has fallen silent.
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Where a stream's events come from.
pub(super) struct Source {
    from: Body,
    events: Events,
}

/// How a stream's source ended.
enum End {
    Whole,
    Broken(Box<str>),
}

impl Source {
    /// Returns the next whole event.
    async fn next(&mut self) -> Result<Event, End> {
        loop {
            if let Some(event) = self.events.next_event() {
                return Ok(event);
            }
            match body::next(&mut self.from).await {
                Some(Ok(chunk)) => {
                    if !self.events.push(&chunk) {
                        return Err(End::Broken("an event has no end".into()));
                    }
                }
                Some(Err(error)) => return Err(End::Broken(error.to_string().into())),
                None if self.events.has_rest() => {
                    return Err(End::Broken("it ended within an event".into()));
                }
                None => return Err(End::Whole),
            }
        }
    }
}

/// Returns how long the first event of a stream may take.
pub(super) fn first_event_timeout(job: &ActiveRequest) -> Duration {
    (job.routed.route.latency_aim * FIRST_EVENT_TIMEOUT_FACTOR).max(MIN_FIRST_EVENT_TIMEOUT)
}

/// Waits for the first event of a stream.
pub(super) async fn first_event(
    job: &ActiveRequest,
    held: &Reservation,
    from: Body,
    patience: Duration,
) -> Result<(Event, Source), Box<str>> {
    let mut source = Source { from, events: Events::default() };
    match next_or_stalled(job, held, &mut source, patience).await {
        Some(Ok(event)) => Ok((event, source)),
        Some(Err(End::Broken(problem))) => Err(problem),
        Some(Err(End::Whole)) => Err("it ended without an event".into()),
        None => Err("no first event in time".into()),
    }
}

/// Waits for the next event; `None` after `patience`, or as soon as the place has fallen silent for
/// all its requests, if the stream may go on elsewhere.
async fn next_or_stalled(
    job: &ActiveRequest,
    held: &Reservation,
    source: &mut Source,
    patience: Duration,
) -> Option<Result<Event, End>> {
    let since = job.now();
    loop {
        let left = patience.saturating_sub(job.now().saturating_sub(since));
        let slice = left.min(STALL_CHECK_PERIOD);
        if let Ok(next) = tokio::time::timeout(slice, source.next()).await {
            return Some(next);
        }
        let over = job.now().saturating_sub(since) >= patience;
        let may_leave = patience < job.deadline.saturating_sub(since);
        if over || (may_leave && held.is_silent()) {
            return None;
        }
    }
}

/// Passes on the rest of a long answer that is no stream of events.
pub(super) fn relay_rest(first: Bytes, mut from: Body, held: Reservation) -> Body {
    let (tx, body) = body::stream(());
    tokio::spawn(async move {
        let held = held;
        if !tx.send(first).await {
            return;
        }
        loop {
            let chunk = tokio::select! {
                () = tx.closed() => return,
                chunk = body::next(&mut from) => chunk,
            };
            match chunk {
                Some(Ok(chunk)) => {
                    if !tx.send(chunk).await {
                        return;
                    }
                }
                Some(Err(error)) => return tx.abort(&error.to_string()).await,
                None => return held.succeeded(),
            }
        }
    });
    body
}

/// Passes on a stream whose first event has come.
pub(super) fn relay_events(
    job: Arc<ActiveRequest>,
    held: Reservation,
    attempts: u32,
    first: Event,
    source: Source,
) -> Body {
    let (tx, body) = body::stream(());
    let relay = Relay {
        tx,
        held: Some(held),
        attempts,
        last_id: None,
        events: 0,
        first_at: job.now(),
        last_at: job.now(),
        max_retry_pause: Duration::ZERO,
        job,
    };
    tokio::spawn(relay.run(first, source));
    body
}

struct Relay {
    job: Arc<ActiveRequest>,
    tx: BodySender,
    held: Option<Reservation>,
    attempts: u32,
    last_id: Option<Box<str>>,
    events: u64,
    first_at: Mono,
    last_at: Mono,
    max_retry_pause: Duration,
}

impl Relay {
    async fn run(mut self, first: Event, mut source: Source) {
        if !self.pass(first).await {
            return self.log_caller_gone();
        }
        loop {
            let next = tokio::select! {
                () = self.tx.closed() => return self.log_caller_gone(),
                next = self.next(&mut source) => next,
            };
            if self.job.now() >= self.job.deadline {
                return self.break_off("its time is up").await;
            }
            let problem = match next {
                Some(Ok(event)) => {
                    if !self.pass(event).await {
                        return self.log_caller_gone();
                    }
                    continue;
                }
                Some(Err(End::Whole)) => return self.log_completed(),
                Some(Err(End::Broken(problem))) => problem,
                None => "the stream fell silent".into(),
            };
            match self.resume(&problem).await {
                Some(resumed) => source = resumed,
                None => return self.break_off(&problem).await,
            }
        }
    }

    async fn next(&self, source: &mut Source) -> Option<Result<Event, End>> {
        let Some(held) = &self.held else { return None };
        next_or_stalled(&self.job, held, source, self.silence()).await
    }

    /// Returns how long the next event may take.
    fn silence(&self) -> Duration {
        let left = self.job.deadline.saturating_sub(self.job.now());
        self.longest_silence().min(left)
    }

    fn longest_silence(&self) -> Duration {
        let route = &self.job.routed.route;
        let may_resume = route.repeat == Repeat::Resumable && self.attempts < route.max_attempts;
        if !may_resume {
            // Nothing better is to be had: the caller decides how long it waits.
            return self.job.ask.deadline;
        }
        route.pause_aim.map_or(DEFAULT_STALL_TIMEOUT, |pause| pause * STALL_TIMEOUT_FACTOR)
    }

    async fn pass(&mut self, event: Event) -> bool {
        let now = self.job.now();
        if self.events > 0 {
            self.max_retry_pause = self.max_retry_pause.max(now.saturating_sub(self.last_at));
        }
        if let Some(held) = &self.held {
            held.heard();
        }
        self.last_at = now;
        self.events += 1;
        if event.id.is_some() {
            self.last_id = event.id;
        }
        self.tx.send(event.bytes).await
    }

    /// Goes on at another backend server, if that is allowed.
    async fn resume(&mut self, problem: &str) -> Option<Source> {
        let job = self.job.clone();
        let held = self.held.take()?;
        let server = held.place().server.clone();
        let mut attempt = Attempt { job: &job, held, number: self.attempts };
        let failed = attempt.fail(Verdict::Unknown, 0, problem);
        drop(attempt);
        let last_id = self.last_id.clone()?;
        if !job.may_retry(&failed, self.attempts) {
            return None;
        }
        let tried = [server];
        let offer = tokio::select! {
            () = self.tx.closed() => return None,
            offer = job.place(&tried) => offer.ok()?,
        };
        self.attempts += 1;
        let held = Reservation::new(&job, offer.place.clone());
        decision_log::write(&Record::Resumed {
            request: &job.id,
            server: &offer.place.server,
            after_event: &last_id,
        });
        let mut attempt = Attempt { job: &job, held, number: self.attempts };
        let response = tokio::select! {
            () = self.tx.closed() => return None,
            response = attempt.send(Some(&last_id)) => response.ok()?,
        };
        if !response.status().is_success() {
            return None;
        }
        attempt.held.read();
        self.held = Some(attempt.held);
        Some(Source { from: response.into_body(), events: Events::default() })
    }

    async fn break_off(&self, problem: &str) {
        decision_log::write(&Record::BrokenOff {
            request: &self.job.id,
            server: self.server(),
            problem,
            events: self.events,
            after_ms: decision_log::millis(self.job.now().saturating_sub(self.job.arrived)),
        });
        self.tx.abort(problem).await;
    }

    fn log_completed(&self) {
        if let Some(held) = &self.held {
            held.succeeded();
        }
        let since = |at: Mono| decision_log::millis(at.saturating_sub(self.job.arrived));
        decision_log::write(&Record::Answered {
            request: &self.job.id,
            server: self.server(),
            status: 200,
            first_ms: since(self.first_at),
            total_ms: since(self.last_at),
            longest_pause_ms: decision_log::millis(self.max_retry_pause),
            events: self.events,
        });
    }

    fn log_caller_gone(&self) {
        decision_log::write(&Record::CallerGone {
            request: &self.job.id,
            server: self.server(),
            after_ms: decision_log::millis(self.job.now().saturating_sub(self.job.arrived)),
        });
    }

    fn server(&self) -> &str {
        self.held.as_ref().map_or("", |held| &held.place().server)
    }
}
