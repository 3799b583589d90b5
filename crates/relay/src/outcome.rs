//! The outcomes of a request, and the reasons of failures.

use base::prelude::*;
use displaydoc::Display;
use engine::prelude::*;

/// How a request ends.
#[data]
pub enum Outcome {
    /// The complete answer was delivered.
    Done {
        /// Why the text ends.
        finish: FinishReason,
        /// The number of pieces of the answer.
        pieces: u32,
    },
    /// No backend server ran any part of the request.
    NotRun {
        /// The reason.
        failure: Failure,
        /// Time after which a retry may succeed.
        retry_after: Option<Duration>,
    },
    /// An idempotent request has no complete answer, and may have been run. It is safe to repeat.
    Failed {
        /// The reason.
        failure: Failure,
    },
    /// It is unknown whether the request was run.
    Unknown {
        /// The reason.
        failure: Failure,
    },
    /// The caller disconnected.
    Abandoned,
}

impl Outcome {
    /// Returns the outcome's name in the caller API, the timeline and the metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Done { .. } => "done",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Failed { .. } => "failed",
            Outcome::Unknown { .. } => "unknown",
            Outcome::Abandoned => "abandoned",
        }
    }

    /// Returns why there is no complete answer; `None` if there is one or the caller disconnected.
    pub fn failure(&self) -> Option<Failure> {
        match self {
            Outcome::NotRun { failure, .. }
            | Outcome::Failed { failure }
            | Outcome::Unknown { failure } => Some(*failure),
            Outcome::Done { .. } | Outcome::Abandoned => None,
        }
    }
}

/// Why a request has no complete answer. The variants' doc comments are the messages to callers.
#[key]
#[derive(Display)]
pub enum Failure {
    /// no replica group serves this model now
    NoGroup,
    /// the limits of the workspace are reached
    Limited,
    /// the system is overloaded
    Overloaded,
    /// the deadline passed
    Deadline,
    /// every replica group that was asked refused the request
    Refused,
    /// the connection to the replica group broke
    Broken,
    /// the replica group crashed
    Crashed,
    /// the request has crashed replica groups before and is quarantined
    Quarantined,
    /// the request was running when a replica group crashed, and waits to be tried again
    Suspect,
    /// the request key could not be claimed
    NotClaimed,
    /// the retry budget is used up
    RetryBudget,
}
