//! The outcome of an attempt, and whether it may be retried.
//!
//! What matters is whether a request was certainly *not run* or the outcome is *unknown*. Only a
//! request that was not run, or that may be executed more than once, is sent to another backend
//! server; and only for one that was not run does the caller get a status that promises so.
//!
//! Invariants:
//! - A response counts only if it certainly answers this attempt: it echoes the id of the request, or
//!   it has no id and its connection never carried another request. Other bytes belong to nobody.
//! - A status that promises "not run" to callers doesn't show that the request has not run.
//! - A response whose status is of no class that ends a request is no answer.

use base::prelude::*;
use http::HeaderMap;
use http::StatusCode;

use crate::config::ExecutionPolicy;
use crate::header_names::HeaderNames;

/// Outcome of one attempt, before any byte of its response was passed on.
#[key]
pub enum AttemptOutcome {
    /// The response can be passed on.
    Answered,
    /// Not run: no connection was established.
    NotSent,
    /// Not run: this process had no means to make a connection, which shows nothing of the backend server.
    NotTried,
    /// Not run: the backend server has no capacity, or the deadline had passed.
    Full,
    /// Not run: the group is stalled because of another member.
    Broken,
    /// Not run: another backend server listens on this address, or this one is not the head of a
    /// group.
    Misdirected,
    /// The request was sent and may have run.
    Unknown,
    /// The request was run and failed.
    Failed,
}

/// Returns whether callers take `status` for the promise that their request has not run and never
/// will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns whether `status` is of one of the classes that end a request; those below announce another response, and there
/// are none above.
pub fn ends_request(status: StatusCode) -> bool {
    status.is_success()
        || status.is_redirection()
        || status.is_client_error()
        || status.is_server_error()
}

/// What the connection carried on which a response came.
#[key]
pub enum ConnectionUse {
    /// The request of the attempt, and no other before it.
    First,
    /// Other requests before it, or it isn't known.
    Reused,
}

/// What a response says of the request that it answers.
#[key]
enum Echo {
    /// The id of the request.
    Own,
    /// Another id.
    Other,
    /// No id.
    Missing,
}

/// An attempt that was sent to a backend server, as far as a response must fit it.
#[data]
pub struct SentAttempt<'a> {
    /// The id of the request, if it has one.
    pub id: Option<&'a str>,
    /// The backend server.
    pub server: &'a str,
    /// The connection that it was sent on.
    pub connection: ConnectionUse,
}

impl SentAttempt<'_> {
    fn echo(&self, headers: &HeaderMap, header_names: &HeaderNames) -> Echo {
        let own = self.id.map(str::as_bytes);
        let mut echoed = headers.get_all(&header_names.attempt_id).iter().peekable();
        if echoed.peek().is_none() {
            return Echo::Missing;
        }
        match echoed.all(|id| Some(id.as_bytes()) == own) {
            true => Echo::Own,
            false => Echo::Other,
        }
    }
}

impl AttemptOutcome {
    /// Classifies the status and headers of a response to an attempt.
    pub fn classify(
        status: StatusCode,
        headers: &HeaderMap,
        sent: &SentAttempt<'_>,
        header_names: &HeaderNames,
    ) -> Self {
        let echo = sent.echo(headers, header_names);
        match (echo, sent.connection) {
            (Echo::Own, _) | (Echo::Missing, ConnectionUse::First) => {}
            // It may be a late response to an earlier request.
            (Echo::Other, _) | (Echo::Missing, ConnectionUse::Reused) => {
                return AttemptOutcome::Unknown;
            }
        }
        if !ends_request(status) {
            return AttemptOutcome::Unknown;
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            return AttemptOutcome::Misdirected;
        }
        if headers.contains_key(&header_names.not_run) {
            let fault = headers.get(&header_names.fault_server);
            let is_other = fault.is_some_and(|fault| fault.as_bytes() != sent.server.as_bytes());
            return if is_other { AttemptOutcome::Broken } else { AttemptOutcome::Full };
        }
        let signed = headers.contains_key(&header_names.signature);
        if status.is_success() && !(signed && echo == Echo::Own) {
            return AttemptOutcome::Unknown;
        }
        if headers.contains_key(http::header::CONTENT_ENCODING) && status.is_success() {
            return AttemptOutcome::Unknown;
        }
        if status.is_server_error() || promises_not_run(status) {
            return AttemptOutcome::Failed;
        }
        AttemptOutcome::Answered
    }

    /// Returns whether the request was certainly not run.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            AttemptOutcome::NotSent
                | AttemptOutcome::NotTried
                | AttemptOutcome::Full
                | AttemptOutcome::Broken
                | AttemptOutcome::Misdirected
        )
    }

    /// Returns whether the request may be sent to another backend server.
    pub fn may_retry(self, repeat: ExecutionPolicy) -> bool {
        match self {
            // Another connection can't be made either.
            AttemptOutcome::Answered | AttemptOutcome::NotTried => false,
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
