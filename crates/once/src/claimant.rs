//! State machine of one submission of a non-idempotent request, from its key to its reply.
//!
//! A submission is one time that a caller sends the request; a resubmission carries the same key. A
//! submission dispatches only on a grant that arrives while it still waits for one, and only once.
//! If it gives up before, it reports its claim as released, since the claim may have been written
//! or may still be in flight; a grant that arrives later is not used. The reply "not run" is
//! therefore given only by submissions that never dispatch, or whose dispatch the backend server
//! definitely refused.

use base::prelude::*;

use crate::apply::Entry;
use crate::apply::Verdict;
use crate::key::ClaimId;
use crate::key::Fingerprint;
use crate::key::RequestKey;
use crate::segment::ClaimState;
use crate::segment::RequestOutcome;
use crate::settings::OnceSettings;

/// Retry delay suggested to the caller when the key-value service is down, and when a claim was
/// refused for another temporary reason.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Why a submission was not run.
#[key]
pub enum NotRunReason {
    /// The key's issue time is too far in the future.
    TooEarly,
    /// The key is too old to be run for the first time.
    TooLate,
    /// The key-value service does not accept claims at the moment.
    KvDown,
    /// There are too many claims.
    Overload,
    /// The claim was not decided in time.
    Timeout,
    /// The backend server refused the request, or no backend server could accept it.
    Refused,
}

/// What the reply "not run" covers.
#[key]
pub enum Scope {
    /// This submission. The caller can retry with the same key. An earlier submission of the key
    /// may have run or may still run.
    #[serde(rename = "send")]
    Submission,
    /// The key: no submission of it was ever run, and none will be.
    Key,
}

/// Why it is unknown whether a request ran.
#[key]
pub enum UnknownReason {
    /// Another submission holds the claim and has not reported its outcome.
    Claimed,
    /// The submission that holds the claim reported that the outcome is unknown.
    Lost,
    /// The key is older than the retention time of outcomes.
    Expired,
}

/// Reply to a submission that does not dispatch, or whose dispatch is refused.
#[key]
pub enum Reply {
    /// It was not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// What the reply covers.
        scope: Scope,
        /// Delay after which a retry with the same key is useful.
        retry_after: Option<Duration>,
    },
    /// An earlier submission of the key ran to completion.
    Done {
        /// Digest of the answer.
        digest: u64,
        /// The submission that ran.
        holder: ClaimId,
    },
    /// An earlier submission of the key ran and failed.
    Failed,
    /// It is unknown whether an earlier submission of the key ran.
    Unknown {
        /// Why.
        reason: UnknownReason,
        /// The submission that holds the claim, if any.
        holder: Option<ClaimId>,
    },
    /// The key was used for a different request; this one is refused.
    Mismatch,
}

/// Result of committing a claim or a report.
#[wire]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum CommitResult {
    /// The entry was decided.
    Decided(Verdict),
    /// The entry was definitely not written.
    NotWritten {
        /// Delay after which a retry is useful, if known.
        retry_after: Option<Duration>,
    },
    /// The entry may have been written, or may still be.
    InDoubt,
    /// The peer that was asked did not answer. It may have written the entry.
    PeerLost,
}

/// An input of the state machine.
#[data]
pub enum Event {
    /// The submission begins.
    Begun {
        /// The peer that owns the key's shard; `None` if this process owns it.
        owner: Option<NodeId>,
    },
    /// A claim request was answered.
    Answered(CommitResult),
    /// The time limit for the claim has passed.
    Deadline,
    /// The dispatched request ended.
    Ended(RequestOutcome),
    /// The dispatch was definitely refused, or never sent.
    Refused {
        /// Delay after which a retry is useful, if known.
        retry_after: Option<Duration>,
    },
}

/// An output of the state machine, to be carried out by the caller.
#[data]
pub enum Action {
    /// Request the claim.
    RequestClaim {
        /// The peer to ask; `None` for this process's own committer.
        peer: Option<NodeId>,
    },
    /// Dispatch the request.
    Dispatch,
    /// Reply to the caller.
    Reply(Reply),
    /// Report the outcome of the claim.
    Report(RequestOutcome),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    New,
    /// A claim request is in flight. `in_doubt` if an earlier one may have been written.
    Claiming {
        in_doubt: bool,
    },
    Dispatched,
    /// It never dispatches, or its dispatch was definitely refused.
    GaveUp,
    /// Its dispatched request has ended.
    Ended,
}

/// State of one submission.
#[derive(Clone, Debug)]
pub struct Claimant {
    /// Id of the submission.
    pub holder: ClaimId,
    /// The request's key.
    pub key: RequestKey,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    state: State,
}

impl Claimant {
    /// Returns a submission that has not begun.
    pub fn new(holder: ClaimId, key: RequestKey, fingerprint: Fingerprint) -> Self {
        Claimant { holder, key, fingerprint, state: State::New }
    }

    /// Returns the claim to request.
    pub fn claim(&self) -> Entry {
        Entry::Claim { key: self.key.hash(), fingerprint: self.fingerprint, holder: self.holder }
    }

    /// Returns the report of an outcome.
    pub fn report(&self, end: RequestOutcome) -> Entry {
        Entry::Report {
            key: self.key.hash(),
            fingerprint: self.fingerprint,
            holder: self.holder,
            end,
        }
    }

    /// Applies `event` and returns the actions to carry out. `now_ms` is the wall clock in
    /// milliseconds since the Unix epoch.
    pub fn decide(&mut self, event: Event, now_ms: u64, cfg: &OnceSettings) -> Vec<Action> {
        match (self.state, event) {
            (State::New, Event::Begun { owner }) => self.begin(owner, now_ms, cfg),
            (State::Claiming { in_doubt }, Event::Answered(result)) => {
                self.answered(result, in_doubt)
            }
            (State::Claiming { .. }, Event::Deadline) => {
                self.give_up(not_run(NotRunReason::Timeout, Some(DEFAULT_RETRY_AFTER)), true)
            }
            // A grant that arrives too late is not used.
            (State::GaveUp, Event::Answered(CommitResult::Decided(Verdict::Granted))) => {
                vec![Action::Report(RequestOutcome::Released)]
            }
            (State::Dispatched, Event::Ended(end)) => {
                self.state = State::Ended;
                vec![Action::Report(end)]
            }
            (State::Dispatched, Event::Refused { retry_after }) => {
                self.give_up(not_run(NotRunReason::Refused, retry_after), true)
            }
            _ => Vec::new(),
        }
    }

    fn begin(&mut self, owner: Option<NodeId>, now_ms: u64, cfg: &OnceSettings) -> Vec<Action> {
        let issued_ms = self.key.issued_ms;
        let skew = Duration::from_millis(cfg.clock_skew_ms);
        if issued_ms > now_ms.saturating_add(cfg.clock_skew_ms) {
            let wait = Duration::from_millis(issued_ms - now_ms);
            return self.give_up(not_run(NotRunReason::TooEarly, Some(wait)), false);
        }
        let kept_ms = cfg.layout.retention(skew).as_millis() as u64;
        if issued_ms.saturating_add(kept_ms) < now_ms {
            let reason = UnknownReason::Expired;
            return self.give_up(Reply::Unknown { reason, holder: None }, false);
        }
        self.state = State::Claiming { in_doubt: false };
        vec![Action::RequestClaim { peer: owner }]
    }

    fn answered(&mut self, result: CommitResult, in_doubt: bool) -> Vec<Action> {
        match result {
            CommitResult::Decided(Verdict::Granted) => {
                self.state = State::Dispatched;
                vec![Action::Dispatch]
            }
            CommitResult::Decided(verdict) => self.give_up(refusal(verdict), in_doubt),
            CommitResult::PeerLost => {
                self.state = State::Claiming { in_doubt: true };
                vec![Action::RequestClaim { peer: None }]
            }
            CommitResult::NotWritten { retry_after } => {
                let retry_after = retry_after.or(Some(DEFAULT_RETRY_AFTER));
                self.give_up(not_run(NotRunReason::KvDown, retry_after), in_doubt)
            }
            CommitResult::InDoubt => {
                self.give_up(not_run(NotRunReason::KvDown, Some(DEFAULT_RETRY_AFTER)), true)
            }
        }
    }

    fn give_up(&mut self, reply: Reply, release: bool) -> Vec<Action> {
        self.state = State::GaveUp;
        let mut actions = vec![Action::Reply(reply)];
        if release {
            actions.push(Action::Report(RequestOutcome::Released));
        }
        actions
    }
}

fn not_run(reason: NotRunReason, retry_after: Option<Duration>) -> Reply {
    Reply::NotRun { reason, scope: Scope::Submission, retry_after }
}

/// Returns the reply to a submission whose claim was not granted.
fn refusal(verdict: Verdict) -> Reply {
    match verdict {
        Verdict::Taken { state, holder } => taken(state, holder),
        Verdict::Mismatch => Reply::Mismatch,
        Verdict::Expired => Reply::Unknown { reason: UnknownReason::Expired, holder: None },
        Verdict::TooLate => {
            Reply::NotRun { reason: NotRunReason::TooLate, scope: Scope::Key, retry_after: None }
        }
        Verdict::TooEarly => not_run(NotRunReason::TooEarly, Some(DEFAULT_RETRY_AFTER)),
        Verdict::Full | Verdict::Withdrawn | Verdict::Foreign => {
            not_run(NotRunReason::Overload, Some(DEFAULT_RETRY_AFTER))
        }
        Verdict::Granted | Verdict::Recorded => {
            debug_assert!(false, "{verdict:?} is not a refusal");
            not_run(NotRunReason::Overload, None)
        }
    }
}

fn taken(state: ClaimState, holder: ClaimId) -> Reply {
    let unknown = |reason| Reply::Unknown { reason, holder: Some(holder) };
    match state {
        ClaimState::Claimed => unknown(UnknownReason::Claimed),
        ClaimState::Ended(RequestOutcome::Unknown) => unknown(UnknownReason::Lost),
        ClaimState::Ended(RequestOutcome::Done { digest }) => Reply::Done { digest, holder },
        ClaimState::Ended(RequestOutcome::Failed) => Reply::Failed,
        // The claim can be taken again, so the caller can retry.
        ClaimState::Ended(RequestOutcome::Released) => {
            not_run(NotRunReason::Overload, Some(DEFAULT_RETRY_AFTER))
        }
    }
}
