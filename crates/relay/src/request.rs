//! The state machine of one request.
//!
//! The machine receives events and returns the actions to take next. It guarantees:
//!
//! - A request ends with [`Outcome::NotRun`] only if every attempt so far was not sent, or was
//!   refused before admission.
//! - A request that is not idempotent is sent again only under that same condition.
//! - An attempt that makes no progress, or whose connection breaks, is first resumed at the same
//!   group over a new connection. If that fails, an idempotent request is sent to another group,
//!   and continues after the last delivered piece. Groups that failed the request are excluded.
//!   An attempt that never arrived, according to its engine, does not count as a failure of the
//!   group for the first `MAX_UNDELIVERED_ATTEMPTS` times.
//! - Pieces reach the caller only through the [`Assembler`].
//! - If no group is available, a request that may have been run waits for one for a bounded time,
//!   and then accepts any group again, including those that failed it. Any other request ends at
//!   once as not run.
//! - After [`Action::Finish`] the machine returns no more actions.

use base::prelude::*;
use engine::prelude::*;

use crate::outcome::Failure;
use crate::outcome::Outcome;
use crate::stream::Assembler;
use crate::stream::Verdict;

/// Consecutive resumes of one attempt without a new piece, after which it counts as lost.
const MAX_RESUMES_WITHOUT_PROGRESS: u32 = 2;
/// Attempts of a request that never arrived, according to their engines, before a further one
/// counts as a failure of its group.
const MAX_UNDELIVERED_ATTEMPTS: u32 = 2;
/// Delay before routing is asked again for a request that may have been run and has no group.
pub const NO_GROUP_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of such delays without a new piece in between. They amount to 3 s, longer than a routing
/// lease takes to be granted again.
const MAX_NO_GROUP_RETRIES: u32 = 15;
/// Time after which a caller may retry, if nothing else determines it.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The properties of a request that decide how it is handled.
#[data]
pub struct RequestParams {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The time at which the caller stops waiting.
    pub deadline: Mono,
}

/// An input of the state machine.
#[data]
pub enum RequestEvent {
    /// The request was accepted, and its key claimed where it needs one.
    Accepted,
    /// Routing picked a group for a new attempt.
    Picked {
        /// The group.
        group: GroupId,
        /// The new attempt.
        attempt: AttemptId,
    },
    /// Routing has no group for the request.
    NotPicked {
        /// The reason.
        failure: Failure,
        /// Time after which the caller may retry.
        retry_after: Option<Duration>,
    },
    /// The attempt, or a resume of it, was certainly not sent.
    NotSent,
    /// The engine refused the attempt or the resume.
    Refused(RefusalReason),
    /// An item of the stream arrived.
    Item(Item),
    /// The stream broke, or made no progress for too long.
    Broken,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller disconnected.
    CallerGone,
}

/// An output of the state machine, to be carried out by its caller.
#[data]
pub enum Action {
    /// Ask routing for a group other than these.
    Pick {
        /// Groups that failed this request.
        exclude: Vec<GroupId>,
    },
    /// Wait for [`NO_GROUP_RETRY_DELAY`], then ask routing for any group.
    PickAfterDelay,
    /// Send a new attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The group.
        group: GroupId,
        /// Number of pieces that were delivered before.
        skip: u32,
    },
    /// Resume the attempt at its group over a new connection.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// The number of the first piece to send.
        from: u32,
    },
    /// Tell the engine that the result of the attempt is no longer needed.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Deliver this text to the caller.
    Deliver {
        /// The piece's number.
        seq: u32,
        /// The text.
        text: Box<str>,
    },
    /// Report to routing that the group crashed while it ran this request.
    ReportCrash {
        /// The group.
        group: GroupId,
    },
    /// End the request.
    Finish(Outcome),
}

#[data]
struct CurrentAttempt {
    attempt: AttemptId,
    group: GroupId,
    stream: Assembler,
    resuming: bool,
    resumes_without_progress: u32,
    /// Whether a piece of it has arrived, which proves that it was admitted.
    admitted: bool,
}

/// The state machine of one request.
#[data]
pub struct RequestMachine {
    request: RequestParams,
    delivered: u32,
    current: Option<CurrentAttempt>,
    failed_groups: Vec<GroupId>,
    /// Number of attempts that never arrived, according to their engines.
    undelivered_attempts: u32,
    /// Number of delays for lack of a group since the last piece.
    no_group_retries: u32,
    /// Whether any attempt may have been run.
    may_have_run: bool,
    finished: bool,
}

impl RequestMachine {
    /// Returns the state machine of a new request.
    pub fn new(request: RequestParams) -> Self {
        RequestMachine {
            request,
            delivered: 0,
            current: None,
            failed_groups: Vec::new(),
            undelivered_attempts: 0,
            no_group_retries: 0,
            may_have_run: false,
            finished: false,
        }
    }

    /// Returns the state machine of a request whose attempt at `group` was started by another
    /// process, which delivered `delivered` pieces.
    pub fn resume(
        request: RequestParams,
        group: GroupId,
        attempt: AttemptId,
        delivered: u32,
    ) -> Self {
        let current = CurrentAttempt {
            attempt,
            group,
            stream: Assembler::new(attempt, delivered),
            resuming: true,
            resumes_without_progress: 0,
            admitted: false,
        };
        let mut machine = RequestMachine::new(request);
        machine.delivered = delivered;
        machine.current = Some(current);
        machine.may_have_run = true;
        machine
    }

    /// Returns whether the request has ended.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the number of delivered pieces.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Handles `event` at `now` and returns the resulting actions.
    pub fn decide(&mut self, event: RequestEvent, now: Mono) -> Vec<Action> {
        if self.finished {
            return Vec::new();
        }
        match event {
            RequestEvent::CallerGone => self.abandon(),
            RequestEvent::DeadlinePassed => self.give_up(Failure::Deadline),
            _ if now >= self.request.deadline => self.give_up(Failure::Deadline),
            RequestEvent::Accepted => vec![self.begin()],
            RequestEvent::Picked { group, attempt } => self.send(group, attempt),
            RequestEvent::NotPicked { failure, retry_after } => {
                self.not_picked(failure, retry_after)
            }
            RequestEvent::NotSent => self.not_sent(),
            RequestEvent::Refused(reason) => self.refused(reason),
            RequestEvent::Item(item) => self.item(item),
            RequestEvent::Broken => self.broken(),
        }
    }

    fn begin(&self) -> Action {
        match &self.current {
            Some(current) => {
                Action::Resume { attempt: current.attempt, from: current.stream.next() }
            }
            None => self.pick(),
        }
    }

    fn pick(&self) -> Action {
        Action::Pick { exclude: self.failed_groups.clone() }
    }

    fn send(&mut self, group: GroupId, attempt: AttemptId) -> Vec<Action> {
        debug_assert!(!self.failed_groups.contains(&group), "routing picked an excluded group");
        debug_assert!(
            self.request.idempotent || !self.may_have_run,
            "a request that is not idempotent may run twice"
        );
        let skip = self.delivered;
        self.current = Some(CurrentAttempt {
            attempt,
            group: group.clone(),
            stream: Assembler::new(attempt, skip),
            resuming: false,
            resumes_without_progress: 0,
            admitted: false,
        });
        vec![Action::Send { attempt, group, skip }]
    }

    fn not_picked(&mut self, failure: Failure, retry_after: Option<Duration>) -> Vec<Action> {
        if !self.may_have_run {
            return self.finish(Outcome::NotRun { failure, retry_after });
        }
        if failure == Failure::NoGroup && self.no_group_retries < MAX_NO_GROUP_RETRIES {
            self.no_group_retries += 1;
            // A group that failed the request may be healthy again by then.
            self.failed_groups.clear();
            return vec![Action::PickAfterDelay];
        }
        let outcome = self.run_outcome(failure);
        self.finish(outcome)
    }

    /// The attempt was not sent, or a resume of it did not reach the engine.
    fn not_sent(&mut self) -> Vec<Action> {
        let Some(current) = self.current.take() else { return Vec::new() };
        if !current.resuming {
            return self.next_group(current.group);
        }
        // The engine may have admitted the attempt, and now cannot be reached: it counts as
        // crashed.
        self.may_have_run = true;
        let crash = Action::ReportCrash { group: current.group.clone() };
        let mut actions = vec![crash];
        actions.extend(self.after_loss(current.group, Failure::Crashed));
        actions
    }

    fn refused(&mut self, reason: RefusalReason) -> Vec<Action> {
        let Some(current) = self.current.take() else { return Vec::new() };
        if !current.resuming {
            return self.next_group(current.group);
        }
        // A refused resume means that the engine has lost the attempt, not that it never ran it.
        self.may_have_run = true;
        let lost = reason == RefusalReason::UnknownAttempt;
        if lost && !current.admitted && self.request.idempotent {
            return self.attempt_undelivered(current.group);
        }
        let mut actions = Vec::new();
        if current.admitted && reason == RefusalReason::UnknownAttempt {
            actions.push(Action::ReportCrash { group: current.group.clone() });
        }
        actions.extend(self.after_loss(current.group, Failure::Broken));
        actions
    }

    /// The attempt never arrived, according to the engine: its connection failed, not the group.
    fn attempt_undelivered(&mut self, group: GroupId) -> Vec<Action> {
        self.undelivered_attempts += 1;
        if self.undelivered_attempts > MAX_UNDELIVERED_ATTEMPTS {
            return self.next_group(group);
        }
        vec![self.pick()]
    }

    fn item(&mut self, item: Item) -> Vec<Action> {
        let Some(current) = &mut self.current else { return Vec::new() };
        match current.stream.accept(item) {
            Verdict::Deliver(text) => {
                let seq = current.stream.next() - 1;
                current.admitted = true;
                current.resuming = false;
                current.resumes_without_progress = 0;
                self.no_group_retries = 0;
                self.may_have_run = true;
                self.delivered = seq + 1;
                vec![Action::Deliver { seq, text }]
            }
            Verdict::Complete { finish } => {
                let pieces = self.delivered;
                self.finish(Outcome::Done { finish, pieces })
            }
            Verdict::Duplicate | Verdict::OtherAttempt => Vec::new(),
            Verdict::Gap { .. } => self.broken(),
        }
    }

    fn broken(&mut self) -> Vec<Action> {
        let Some(current) = &mut self.current else { return Vec::new() };
        self.may_have_run = true;
        if current.resumes_without_progress < MAX_RESUMES_WITHOUT_PROGRESS {
            current.resumes_without_progress += 1;
            current.resuming = true;
            let from = current.stream.next();
            return vec![Action::Resume { attempt: current.attempt, from }];
        }
        let attempt = current.attempt;
        let group = current.group.clone();
        self.current = None;
        let mut actions = vec![Action::Cancel { attempt }];
        actions.extend(self.after_loss(group, Failure::Broken));
        actions
    }

    /// Excludes `failed` and asks routing for another group. Used only after an attempt that was
    /// certainly not run, or if the request is idempotent.
    fn next_group(&mut self, failed: GroupId) -> Vec<Action> {
        self.failed_groups.push(failed);
        vec![self.pick()]
    }

    /// Tries another group after an attempt that may have been run, if the request is idempotent.
    fn after_loss(&mut self, failed: GroupId, failure: Failure) -> Vec<Action> {
        if self.request.idempotent {
            return self.next_group(failed);
        }
        let outcome = self.run_outcome(failure);
        self.finish(outcome)
    }

    fn give_up(&mut self, failure: Failure) -> Vec<Action> {
        // An attempt that has been sent may be admitted at any time.
        let has_attempt = self.current.is_some();
        let outcome = if self.may_have_run || has_attempt {
            self.run_outcome(failure)
        } else {
            Outcome::NotRun { failure, retry_after: Some(DEFAULT_RETRY_AFTER) }
        };
        self.finish(outcome)
    }

    fn abandon(&mut self) -> Vec<Action> {
        self.finish(Outcome::Abandoned)
    }

    /// Returns the outcome of a request that may have been run.
    fn run_outcome(&self, failure: Failure) -> Outcome {
        if self.request.idempotent {
            Outcome::Failed { failure }
        } else {
            Outcome::Unknown { failure }
        }
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<Action> {
        self.finished = true;
        let mut actions = Vec::new();
        let done = matches!(outcome, Outcome::Done { .. });
        if let Some(current) = self.current.take().filter(|_| !done) {
            actions.push(Action::Cancel { attempt: current.attempt });
        }
        actions.push(Action::Finish(outcome));
        actions
    }
}
