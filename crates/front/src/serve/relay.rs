//! Forwards a stream event by event.
//!
//! Only complete events are forwarded. A stream whose source breaks off or falls silent is asked for at
//! another backend server after its last event, if its route allows that; the caller sees one response,
//! with the headers of the first. A silent source stays until another one has gone on: whichever gives
//! the next event first is the source from then on. If a stream that broke off can't be resumed, the
//! caller's connection is aborted, so that the response doesn't look complete.
//!
//! Invariant: the events of two sources are never mixed. A source is asked for the events after the last
//! forwarded one, and dropped as soon as another one has given the next.

use std::sync::Arc;

use base::prelude::*;
use futures::FutureExt;
use futures::future::BoxFuture;
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
use super::race::Race;
use super::resumption;
use super::resumption::Expected;
use super::resumption::Resumption;
use super::resumption::resume;
use super::silence;
use super::silence::CHECK_PERIOD;
use super::silence::Silence;
use super::silence::Stage;
use super::stream::BreakOff;
use super::stream::End;
use super::stream::MAY_BE_CUT;
use super::stream::Source;
use crate::decision_log;
use crate::decision_log::Record;

/// The forwarding of one stream, over all backend servers that serve it.
pub(super) struct Relay {
    active: Arc<ActiveRequest>,
    tx: BodySender,
    /// What carries the current attempt, or the last one that did.
    carrier: Carrier,
    number: u32,
    /// The source of the current attempt; `None` once it has broken off.
    source: Option<Source>,
    /// Whether the source resumes the stream, so that its events must follow those before.
    is_resumed: bool,
    /// What must hold of a response that goes on with the stream.
    expected: Expected,
    /// Why the source broke off.
    problem: Box<str>,
    /// Since when the next event is waited for: the caller has taken the one before.
    waiting_since: Mono,
    /// Why the server of the source counts as silent, if it does.
    silence: Option<Silence>,
    /// Whether the stream has waited in the queue for another server, since the source fell silent.
    has_waited: bool,
    /// The last attempt that has ended: a server that failed earlier may be asked again.
    tries: Tries,
    /// The attempts to go on elsewhere.
    race: Race<Resumption>,
    /// The wait in the queue for a server to go on at.
    waiting: Option<BoxFuture<'static, Option<Carrier>>>,
    forwarded: Forwarded,
}

/// What has been forwarded of a stream.
struct Forwarded {
    events: u64,
    first_at: Mono,
    last_at: Mono,
    longest_gap: Duration,
}

/// What happens next to a stream.
enum Step {
    Event(Event),
    Ended(End),
    Resumed(Result<Resumption, FailedAttempt>),
    /// The wait in the queue for another server has ended.
    Carrier(Option<Carrier>),
    /// Nothing happened for a while.
    Pause,
}

/// How a stream ended.
enum Outcome {
    Complete,
    CallerGone,
    Aborted(BreakOff),
}

impl Relay {
    /// Returns a body to which the stream of an attempt is forwarded, from its first event on.
    pub(super) fn start(attempt: Attempt, head: StreamHead, first: Event, source: Source) -> Body {
        let (tx, body) = body::stream(());
        let Attempt { active, carrier, number, .. } = attempt;
        let now = active.now();
        let relay = Relay {
            active,
            tx,
            carrier,
            number,
            source: Some(source),
            is_resumed: false,
            expected: Expected { head, position: StreamPosition::default() },
            problem: Box::default(),
            waiting_since: now,
            silence: None,
            has_waited: false,
            tries: Tries::default(),
            race: Race::default(),
            waiting: None,
            forwarded: Forwarded::new(now),
        };
        tokio::spawn(relay.run(first));
        body
    }

    async fn run(mut self, first: Event) {
        let (active, tx) = (self.active.clone(), self.tx.clone());
        let left = active.deadline.saturating_sub(active.now());
        let outcome = tokio::select! {
            biased;
            () = tx.closed() => Outcome::CallerGone,
            outcome = self.relay(first) => outcome,
            () = active.state.stop.out_of_time() => Outcome::Aborted(BreakOff::Stop),
            () = tokio::time::sleep(left) => Outcome::Aborted(BreakOff::Deadline),
        };
        self.race.end(&active.id);
        match outcome {
            Outcome::Complete => {
                self.log_completed();
                tx.finish();
            }
            Outcome::CallerGone => self.log_caller_gone(),
            Outcome::Aborted(why) => self.abort(why).await,
        }
    }

    /// Forwards the stream until it ends.
    async fn relay(&mut self, first: Event) -> Outcome {
        let mut next = Some(first);
        loop {
            if let Some(event) = next.take()
                && !self.forward(event).await
            {
                return Outcome::CallerGone;
            }
            match self.step().await {
                Step::Event(event) => {
                    self.heard_again();
                    next = Some(event);
                }
                Step::Ended(End::Complete) => return Outcome::Complete,
                Step::Ended(End::Closed) if self.carrier.is_whole(&self.active).await => {
                    return Outcome::Complete;
                }
                Step::Ended(End::Closed) => self.give_up_source(MAY_BE_CUT.into()),
                Step::Ended(End::Broken(problem)) => {
                    self.carrier.check_end(&self.active).await;
                    self.give_up_source(problem);
                }
                Step::Resumed(Ok(resumption)) => next = Some(self.go_on(resumption)),
                Step::Resumed(Err(failed)) => self.fail(&failed),
                Step::Carrier(Some(carrier)) => self.begin(carrier),
                Step::Carrier(None) => {}
                Step::Pause => self.check_silence(),
            }
            if !self.can_go_on() {
                return Outcome::Aborted(BreakOff::Broken(std::mem::take(&mut self.problem)));
            }
        }
    }

    /// Waits until something happens to the stream.
    async fn step(&mut self) -> Step {
        let position = self.is_resumed.then_some(&self.expected.position);
        let step = tokio::select! {
            biased;
            next = next_event(&mut self.source, position) => {
                next.map_or_else(Step::Ended, Step::Event)
            }
            resumed = self.race.next() => Step::Resumed(resumed),
            carrier = next_carrier(&mut self.waiting) => Step::Carrier(carrier),
            () = tokio::time::sleep(CHECK_PERIOD) => Step::Pause,
        };
        if matches!(step, Step::Carrier(_)) {
            self.waiting = None;
        }
        step
    }

    /// Returns whether there is a source, or another attempt that may become one.
    fn can_go_on(&self) -> bool {
        self.source.is_some() || self.waiting.is_some() || !self.race.is_empty()
    }

    /// Sends an event to the caller; returns false if the caller has disconnected.
    async fn forward(&mut self, event: Event) -> bool {
        self.carrier.record_progress();
        self.expected.position.advance(&event);
        self.forwarded.add(self.active.now());
        let is_taken = self.tx.send(event.bytes).await;
        self.waiting_since = self.active.now();
        is_taken
    }

    /// Records that the source has given an event: if it was silent, no other one is needed any more.
    fn heard_again(&mut self) {
        if self.silence.take().is_none() {
            return;
        }
        decision_log::write(&Record::HeardAgain {
            request: &self.active.id,
            attempt: self.number,
            server: self.carrier.name(),
            silent_ms: decision_log::millis(self.silent_for()),
        });
        self.end_others();
    }

    /// Ends the attempts to go on elsewhere.
    fn end_others(&mut self) {
        self.race.end(&self.active.id);
        self.waiting = None;
        self.has_waited = false;
    }

    /// Gives up the source, which has broken off.
    fn give_up_source(&mut self, problem: Box<str>) {
        self.source = None;
        let outcome = AttemptOutcome::Unknown;
        let failed = self.active.fail_attempt(&self.carrier, self.number, outcome, 0, &problem);
        self.problem = problem;
        self.fail(&failed);
    }

    /// Takes a failed attempt into account. Without a source and another attempt, the stream waits for
    /// another server.
    fn fail(&mut self, failed: &FailedAttempt) {
        self.active.count_failure(failed);
        self.set_last(failed);
        if !self.can_go_on() && self.may_resume() {
            self.wait_in_queue();
        }
    }

    fn set_last(&mut self, failed: &FailedAttempt) {
        // A process that declined the stream has asked no server.
        if failed.server.is_some() {
            self.tries = Tries::default();
        }
        self.tries.add(failed);
    }

    /// Goes on with a resumed stream; returns its next event.
    fn go_on(&mut self, resumption: Resumption) -> Event {
        if self.source.is_some() {
            let outcome = AttemptOutcome::Unknown;
            let problem = "another server went on first";
            let failed = self.active.fail_attempt(&self.carrier, self.number, outcome, 0, problem);
            self.set_last(&failed);
        }
        self.end_others();
        self.silence = None;
        self.carrier = resumption.carrier;
        self.number = resumption.number;
        self.source = Some(resumption.source);
        self.is_resumed = true;
        decision_log::write(&Record::Resumed {
            request: &self.active.id,
            server: self.carrier.name(),
            after_event: self.expected.position.resume_after().unwrap_or_default(),
        });
        resumption.next
    }

    /// Asks another server for the rest of the stream if the source is silent, or if what was to follow it
    /// is.
    fn check_silence(&mut self) {
        self.note_silence();
        let is_silent = self.source.is_none() || self.silence.is_some();
        if !is_silent || self.waiting.is_some() || !self.race.is_silent() || !self.may_resume() {
            return;
        }
        if self.silence.is_some_and(Silence::is_loss) && !self.has_waited {
            self.has_waited = true;
            return self.wait_in_queue();
        }
        if let Some(carrier) = self.active.free_carrier(&self.tried()) {
            self.begin(carrier);
        }
    }

    /// Notes whether the source is silent.
    fn note_silence(&mut self) {
        let usual = silence::usual_time(&self.active.routed.route, Stage::Events);
        let (Some(_), Some(usual)) = (&self.source, usual) else { return };
        let silent_for = self.silent_for();
        let Some(silence) = self.carrier.silence(Stage::Events, silent_for, usual) else { return };
        if self.silence.replace(silence).is_none() {
            let (number, events) = (self.number, self.forwarded.events);
            self.active.record_silence(&self.carrier, number, events, silence, silent_for);
        }
    }

    fn silent_for(&self) -> Duration {
        self.active.now().saturating_sub(self.waiting_since)
    }

    /// Returns whether another server may be asked for the rest of the stream.
    fn may_resume(&self) -> bool {
        self.active.routed.route.execution_policy == ExecutionPolicy::Resumable
            && self.expected.position.resume_after().is_some()
            && self.active.may_add_attempt()
    }

    fn wait_in_queue(&mut self) {
        let (active, tried) = (self.active.clone(), self.tried());
        self.waiting = Some(async move { active.queued_carrier(&tried).await }.boxed());
    }

    /// Asks another server for the rest of the stream.
    fn begin(&mut self, carrier: Carrier) {
        let Some(after) = self.expected.position.resume_after() else { return };
        let (after, expected) = (after.into(), self.expected.clone());
        let active = self.active.clone();
        let running: Vec<ServerId> = self.running().cloned().collect();
        let tries = self.tries.with_running(running.iter(), active.may_run());
        let number = active.begin_attempt();
        let attempt = Attempt::new(active, carrier, number, tries);
        self.race.begin(attempt, |attempt| resume(attempt, after, expected));
    }

    /// Returns the servers of the attempts that run.
    fn running(&self) -> impl Iterator<Item = &ServerId> {
        let current = self.source.is_some().then(|| self.carrier.server()).flatten();
        current.into_iter().chain(self.race.servers())
    }

    /// Returns the servers that must not be tried again.
    fn tried(&self) -> Vec<ServerId> {
        self.tries.servers.iter().chain(self.running()).cloned().collect()
    }

    async fn abort(self, why: BreakOff) {
        let (server, events) = (self.carrier.name(), self.forwarded.events);
        self.active.record_broken_off(&why, server, events, self.silent_for());
        // The caller may take long to read what was sent before; the server need not wait for that.
        let Relay { tx, .. } = self;
        tx.abort(&why.to_string()).await;
    }

    fn log_completed(&self) {
        self.carrier.record_response(StatusCode::OK);
        let since = |at: Mono| decision_log::millis(at.saturating_sub(self.active.arrived));
        let first_event = self.carrier.first_event_time().unwrap_or_default();
        decision_log::write(&Record::Answered {
            request: &self.active.id,
            server: self.carrier.name(),
            status: 200,
            expected_ms: decision_log::millis(self.carrier.expected_time()),
            first_event_ms: decision_log::millis(first_event),
            first_ms: since(self.forwarded.first_at),
            total_ms: since(self.forwarded.last_at),
            longest_pause_ms: decision_log::millis(self.forwarded.longest_gap),
            events: self.forwarded.events,
        });
    }

    fn log_caller_gone(&self) {
        decision_log::write(&Record::CallerGone {
            request: &self.active.id,
            server: self.carrier.name(),
            after_ms: decision_log::millis(self.active.now().saturating_sub(self.active.arrived)),
        });
    }
}

impl Forwarded {
    fn new(now: Mono) -> Self {
        Forwarded { events: 0, first_at: now, last_at: now, longest_gap: Duration::ZERO }
    }

    fn add(&mut self, now: Mono) {
        if self.events > 0 {
            self.longest_gap = self.longest_gap.max(now.saturating_sub(self.last_at));
        }
        self.last_at = now;
        self.events += 1;
    }
}

/// Returns the next event of a source, which must go on after `position` if it resumes the stream; never
/// resolves without a source.
async fn next_event(
    source: &mut Option<Source>,
    position: Option<&StreamPosition>,
) -> Result<Event, End> {
    match (source, position) {
        (Some(source), Some(position)) => resumption::next_event(source, position).await,
        (Some(source), None) => source.next().await,
        (None, _) => std::future::pending().await,
    }
}

/// Returns the carrier that the queue assigned, if it did; never resolves if the stream doesn't wait.
async fn next_carrier(
    waiting: &mut Option<BoxFuture<'static, Option<Carrier>>>,
) -> Option<Carrier> {
    match waiting {
        Some(waiting) => waiting.await,
        None => std::future::pending().await,
    }
}
