//! What an attempt's answer means, and what may follow.
//!
//! The line that matters is between *not run* and *unknown*. Only a request that was not run, or
//! that may be repeated, goes to another backend server; only one that was not run is answered
//! with a status that promises so.

use base::prelude::*;
use http::HeaderMap;
use http::StatusCode;

use crate::config::ExecutionPolicy;
use crate::header_names::HeaderNames;

/// What became of one attempt, before any byte of its answer was passed on.
#[key]
pub enum AttemptOutcome {
    /// An answer to pass on.
    Answered,
    /// Not run: the connection was never made.
    NotSent,
    /// Not run: the backend server has no room, or no time was left.
    Full,
    /// Not run: the group stands still for the sake of another member.
    Broken,
    /// Not run: another backend server is there, or this one isn't the head of a group.
    Misdirected,
    /// It was sent and may have run.
    Unknown,
    /// It ran and failed.
    Failed,
}

impl AttemptOutcome {
    /// Weighs the head of an answer of `server` to the attempt `attempt`.
    pub fn classify(
        status: StatusCode,
        headers: &HeaderMap,
        attempt: Option<&str>,
        server: &str,
        dialect: &HeaderNames,
    ) -> Self {
        let echoed = headers.get(&dialect.attempt_id).and_then(|value| value.to_str().ok());
        if echoed.is_some() && echoed != attempt {
            // A late answer to an earlier request of the same connection.
            return AttemptOutcome::Unknown;
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            return AttemptOutcome::Misdirected;
        }
        if headers.contains_key(&dialect.not_run) {
            let fault = headers.get(&dialect.fault_server);
            let is_other = fault.is_some_and(|fault| fault.as_bytes() != server.as_bytes());
            return if is_other { AttemptOutcome::Broken } else { AttemptOutcome::Full };
        }
        let signed = headers.contains_key(&dialect.signature);
        if status.is_success() && !(signed && echoed.is_some()) {
            return AttemptOutcome::Unknown;
        }
        if headers.contains_key(http::header::CONTENT_ENCODING) && status.is_success() {
            return AttemptOutcome::Unknown;
        }
        if status.is_server_error() { AttemptOutcome::Failed } else { AttemptOutcome::Answered }
    }

    /// Returns whether the request surely has not run.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            AttemptOutcome::NotSent
                | AttemptOutcome::Full
                | AttemptOutcome::Broken
                | AttemptOutcome::Misdirected
        )
    }

    /// Returns whether the request may be sent to another backend server.
    pub fn may_retry(self, repeat: ExecutionPolicy) -> bool {
        match self {
            AttemptOutcome::Answered => false,
            AttemptOutcome::NotSent
            | AttemptOutcome::Full
            | AttemptOutcome::Broken
            | AttemptOutcome::Misdirected => true,
            AttemptOutcome::Unknown | AttemptOutcome::Failed => {
                matches!(repeat, ExecutionPolicy::Idempotent | ExecutionPolicy::Resumable)
            }
        }
    }
}
