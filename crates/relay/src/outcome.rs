//! How a request ends, and what may be told of it.

use base::prelude::*;
use displaydoc::Display;
use engine::prelude::*;

/// How a request ends.
#[data]
pub enum Outcome {
    /// The whole answer was delivered.
    Done {
        /// Why the text ends.
        finish: FinishReason,
        /// How many pieces it had.
        pieces: u32,
    },
    /// No backend server ran any part of it.
    NotRun {
        /// Why.
        failure: Failure,
        /// When coming back helps.
        retry_after: Option<Duration>,
    },
    /// It was run, and the answer is not whole.
    Failed {
        /// Why.
        failure: Failure,
    },
    /// It may have been run or not.
    Unknown {
        /// Why that is not known.
        failure: Failure,
    },
    /// The caller went away.
    Abandoned,
}

impl Outcome {
    /// Returns the outcome's name in the caller API, the time line and the metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Done { .. } => "done",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Failed { .. } => "failed",
            Outcome::Unknown { .. } => "unknown",
            Outcome::Abandoned => "abandoned",
        }
    }

    /// Returns why there is no whole answer.
    pub fn failure(&self) -> Option<Failure> {
        match self {
            Outcome::NotRun { failure, .. }
            | Outcome::Failed { failure }
            | Outcome::Unknown { failure } => Some(*failure),
            Outcome::Done { .. } | Outcome::Abandoned => None,
        }
    }
}

/// Why a request has no whole answer.
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
