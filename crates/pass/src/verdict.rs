//! What an attempt's answer means, and what may follow.
//!
//! The line that matters is between *not run* and *unknown*. Only a request that was not run, or
//! that may be repeated, goes to another backend server; only one that was not run is answered
//! with a status that promises so.

use base::prelude::*;
use http::HeaderMap;
use http::StatusCode;

use crate::declared::Repeat;
use crate::dialect::Dialect;

/// What became of one attempt, before any byte of its answer was passed on.
#[key]
pub enum Verdict {
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

impl Verdict {
    /// Weighs the head of an answer of `server` to the attempt `attempt`.
    pub fn of(
        status: StatusCode,
        headers: &HeaderMap,
        attempt: Option<&str>,
        server: &str,
        dialect: &Dialect,
    ) -> Self {
        let echoed = headers.get(&dialect.attempt).and_then(|value| value.to_str().ok());
        if echoed.is_some() && echoed != attempt {
            // A late answer to an earlier request of the same connection.
            return Verdict::Unknown;
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Verdict::Misdirected;
        }
        if headers.contains_key(&dialect.not_run) {
            let fault = headers.get(&dialect.fault_server);
            let is_other = fault.is_some_and(|fault| fault.as_bytes() != server.as_bytes());
            return if is_other { Verdict::Broken } else { Verdict::Full };
        }
        let signed = headers.contains_key(&dialect.signature);
        if status.is_success() && !(signed && echoed.is_some()) {
            return Verdict::Unknown;
        }
        if headers.contains_key(http::header::CONTENT_ENCODING) && status.is_success() {
            return Verdict::Unknown;
        }
        if status.is_server_error() { Verdict::Failed } else { Verdict::Answered }
    }

    /// Returns whether the request surely has not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Verdict::NotSent | Verdict::Full | Verdict::Broken | Verdict::Misdirected)
    }

    /// Returns whether the request may be sent to another backend server.
    pub fn may_retry(self, repeat: Repeat) -> bool {
        match self {
            Verdict::Answered => false,
            Verdict::NotSent | Verdict::Full | Verdict::Broken | Verdict::Misdirected => true,
            Verdict::Unknown | Verdict::Failed => {
                matches!(repeat, Repeat::Idempotent | Repeat::Resumable)
            }
        }
    }
}
