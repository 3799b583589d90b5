//! One send of a non-idempotent request, from its key to its reply.
//!
//! A send dispatches only on a grant that arrives while it still waits for one, and only once. If
//! it gives up first, it reports its claim as released, since the claim may stand or be under way;
//! a grant that arrives later is not used. So "not run" is said only by sends that never dispatch,
//! or whose dispatch the backend server surely refused.

use base::prelude::*;

use crate::apply::Entry;
use crate::apply::Verdict;
use crate::key::ClaimId;
use crate::key::Fingerprint;
use crate::key::RequestKey;
use crate::segment::ClaimState;
use crate::segment::RequestOutcome;
use crate::settings::OnceSettings;

/// Time to come back when the key-value service is down.
const DOWN_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Why a send was not run.
#[key]
pub enum NotRunReason {
    /// The key's issue time is too far in the future.
    TooEarly,
    /// The key is too old to be run for the first time.
    TooLate,
    /// The key-value service takes no claims now.
    KvDown,
    /// Too many claims at once.
    Overload,
    /// The claim was not answered in time.
    Timeout,
    /// The backend server refused it, or none could take it.
    Refused,
}

/// What "not run" speaks of.
#[key]
pub enum Scope {
    /// This send. The caller comes back with the same key, under which an earlier send may run.
    #[serde(rename = "send")]
    Submission,
    /// The key: no send of it was ever run, and none will be.
    Key,
}

/// Why nobody can say whether a request ran.
#[key]
pub enum UnknownReason {
    /// Another send holds the claim and has not reported its end.
    Claimed,
    /// The send that holds the claim reported that the end is unknown.
    Lost,
    /// The key is older than the time for which outcomes are kept.
    Expired,
}

/// What a send is told, if it does not dispatch or its dispatch is refused.
#[key]
pub enum Reply {
    /// It was not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// What this speaks of.
        scope: Scope,
        /// When coming back with the same key helps.
        retry_after: Option<Duration>,
    },
    /// An earlier send of the key ran to its end; the answer has this digest.
    Done {
        /// Digest of the answer.
        digest: u64,
        /// The send that ran.
        holder: ClaimId,
    },
    /// An earlier send of the key ran and failed.
    Failed,
    /// Nobody can say whether an earlier send of the key ran.
    Unknown {
        /// Why.
        reason: UnknownReason,
        /// The send that holds the claim, if one does.
        holder: Option<ClaimId>,
    },
    /// The key belongs to another request; this one is refused.
    Mismatch,
}

/// How an ask ended.
#[wire]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum CommitResult {
    /// The claim was decided.
    Decided(Verdict),
    /// The claim surely was not written.
    NotWritten {
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// The claim may have been written, or may yet be.
    InDoubt,
    /// The peer that was asked gave no answer; it may have written the claim.
    PeerLost,
}

/// What happens to a send.
#[data]
pub enum Event {
    /// It begins; the owner of its shard is this peer, or the process itself.
    Begun {
        /// The peer.
        owner: Option<NodeId>,
    },
    /// An ask was answered.
    Answered(CommitResult),
    /// The time for the claim is over.
    Deadline,
    /// The dispatched request ended.
    Ended(RequestOutcome),
    /// The dispatch was surely refused, or never sent.
    Refused {
        /// When to come back.
        retry_after: Option<Duration>,
    },
}

/// What is to be done.
#[data]
pub enum Action {
    /// Ask for the claim: a peer, or the process's own committer.
    RequestClaim {
        /// The peer.
        peer: Option<NodeId>,
    },
    /// Dispatch the request.
    Dispatch,
    /// Tell the caller.
    Reply(Reply),
    /// Report the end of the claim.
    Report(RequestOutcome),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    New,
    /// An ask is under way; `doubt` if an earlier one may have been written.
    Asking {
        doubt: bool,
    },
    Dispatched,
    /// It never dispatches, or its dispatch was surely refused.
    GaveUp,
    /// Its dispatched request has ended.
    Ended,
}

/// The state of one send.
#[derive(Clone, Debug)]
pub struct Claimant {
    /// The send.
    pub holder: ClaimId,
    /// The request's key.
    pub key: RequestKey,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    state: State,
}

impl Claimant {
    /// Returns a send that has not begun.
    pub fn new(holder: ClaimId, key: RequestKey, fingerprint: Fingerprint) -> Self {
        Claimant { holder, key, fingerprint, state: State::New }
    }

    /// Returns the claim that it asks for.
    pub fn claim(&self) -> Entry {
        Entry::Claim { key: self.key.hash(), fingerprint: self.fingerprint, holder: self.holder }
    }

    /// Returns the report of an end.
    pub fn report(&self, end: RequestOutcome) -> Entry {
        Entry::Report {
            key: self.key.hash(),
            fingerprint: self.fingerprint,
            holder: self.holder,
            end,
        }
    }

    /// Returns what is to be done after an event; `now_ms` is the wall clock.
    pub fn decide(&mut self, event: Event, now_ms: u64, cfg: &OnceSettings) -> Vec<Action> {
        match (self.state, event) {
            (State::New, Event::Begun { owner }) => self.begin(owner, now_ms, cfg),
            (State::Asking { doubt }, Event::Answered(answer)) => self.answered(answer, doubt),
            (State::Asking { .. }, Event::Deadline) => {
                self.give_up(not_run(NotRunReason::Timeout, Some(DOWN_RETRY_AFTER)), true)
            }
            // A grant that comes too late is not used.
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
        self.state = State::Asking { doubt: false };
        vec![Action::RequestClaim { peer: owner }]
    }

    fn answered(&mut self, answer: CommitResult, doubt: bool) -> Vec<Action> {
        match answer {
            CommitResult::Decided(Verdict::Granted) => {
                self.state = State::Dispatched;
                vec![Action::Dispatch]
            }
            CommitResult::Decided(verdict) => self.give_up(refusal(verdict), doubt),
            CommitResult::PeerLost => {
                self.state = State::Asking { doubt: true };
                vec![Action::RequestClaim { peer: None }]
            }
            CommitResult::NotWritten { retry_after } => {
                let retry_after = retry_after.or(Some(DOWN_RETRY_AFTER));
                self.give_up(not_run(NotRunReason::KvDown, retry_after), doubt)
            }
            CommitResult::InDoubt => {
                self.give_up(not_run(NotRunReason::KvDown, Some(DOWN_RETRY_AFTER)), true)
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

/// Returns what a send is told that is not granted the claim.
fn refusal(verdict: Verdict) -> Reply {
    match verdict {
        Verdict::Taken { state, holder } => taken(state, holder),
        Verdict::Mismatch => Reply::Mismatch,
        Verdict::Expired => Reply::Unknown { reason: UnknownReason::Expired, holder: None },
        Verdict::TooLate => {
            Reply::NotRun { reason: NotRunReason::TooLate, scope: Scope::Key, retry_after: None }
        }
        Verdict::TooEarly => not_run(NotRunReason::TooEarly, Some(DOWN_RETRY_AFTER)),
        Verdict::Full | Verdict::Withdrawn | Verdict::Foreign => {
            not_run(NotRunReason::Overload, Some(DOWN_RETRY_AFTER))
        }
        Verdict::Granted | Verdict::Recorded => {
            debug_assert!(false, "{verdict:?} is no refusal");
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
        // The claim is free again; the caller comes back.
        ClaimState::Ended(RequestOutcome::Released) => {
            not_run(NotRunReason::Overload, Some(DOWN_RETRY_AFTER))
        }
    }
}
