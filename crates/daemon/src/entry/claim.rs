//! Request keys, by which callers have a request run at most once.
//!
//! A non-idempotent request carries the header `Idempotency-Key`, and in `Idempotency-Issued` the
//! time when the caller created the key, in milliseconds since the Unix epoch. Without the second
//! header, the key itself must begin with that time and a hyphen. A generation request with a key
//! runs at most once. A call to a plain service that is configured as non-idempotent must have a
//! key.

use std::sync::Arc;

use base::prelude::*;
use http::StatusCode;
use once::claimant::NotRunReason;
use once::claimant::Scope;
use once::prelude::*;
use relay::prelude::*;
use tokio::sync::oneshot;
use web::prelude::Request;

use crate::entry::State;
use crate::entry::problem::Problem;
use crate::once::ClaimOutcome;
use crate::once::OnceMessage;
use crate::once::Permit;

/// Header with the request key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the key's issue time.
pub const ISSUED_HEADER: &str = "idempotency-issued";
/// Header that marks an answer as a recorded one.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Suggested retry delay if the service that claims keys is overloaded or stopping.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the request's key, if it has one.
///
/// # Errors
///
/// [`Problem`] with all findings about the key.
pub fn key_of(workspace: &str, req: &Request) -> Result<Option<RequestKey>, Problem> {
    let Some(key) = req.header(KEY_HEADER) else { return Ok(None) };
    let raw = RawKey { workspace, key, issued_ms: req.header(ISSUED_HEADER) };
    RequestKey::try_from(raw)
        .map(Some)
        .map_err(|findings| Problem::bad_request(Some(KEY_HEADER), findings.to_string()))
}

/// Returns the problem of a request without the key that it must have.
pub fn key_missing() -> Problem {
    let message = format!("header \"{KEY_HEADER}\" is missing; this call may not be repeated");
    Problem::bad_request(Some(KEY_HEADER), message)
}

/// How a handler continues after a claim.
pub enum Claimed {
    /// Dispatch the request once.
    Granted(Permit),
    /// Respond with this recorded answer.
    Replay(Arc<[u8]>),
}

/// Claims the key of a request.
///
/// # Errors
///
/// [`Problem`] for the caller if the request must not be dispatched and there is no recorded
/// answer.
pub async fn claim(
    state: &State,
    key: RequestKey,
    fingerprint: Fingerprint,
) -> Result<Claimed, Problem> {
    let (reply, outcome) = oneshot::channel();
    let busy = || not_run(NotRunReason::Overload, Scope::Submission, Some(BUSY_RETRY_AFTER));
    let message = OnceMessage::Claim { key, fingerprint, reply };
    state.once.try_send(message).map_err(|_| busy())?;
    match outcome.await.map_err(|_| busy())? {
        ClaimOutcome::Granted(permit) => Ok(Claimed::Granted(permit)),
        ClaimOutcome::NotGranted { answer: Some(answer), .. } => Ok(Claimed::Replay(answer)),
        ClaimOutcome::NotGranted { reply, answer: None } => Err(problem(reply)),
    }
}

fn problem(reply: Reply) -> Problem {
    match reply {
        Reply::NotRun { reason, scope, retry_after } => not_run(reason, scope, retry_after),
        Reply::Done { .. } => ended(
            "already_done",
            "an earlier send of this key was run; its answer is no longer held",
        ),
        Reply::Failed => ended("already_failed", "an earlier send of this key was run and failed"),
        Reply::Unknown { .. } => {
            let problem = ended(
                "outcome_unknown",
                "it is not known whether an earlier send of this key was run",
            );
            Problem { status: StatusCode::INTERNAL_SERVER_ERROR, ..problem }
        }
        Reply::Mismatch => {
            let message = "the key was used for another request; this one was not run";
            let problem = Problem::bad_request(Some(KEY_HEADER), message);
            Problem { status: StatusCode::UNPROCESSABLE_ENTITY, code: "key_reused", ..problem }
        }
    }
}

fn ended(code: &'static str, message: &str) -> Problem {
    Problem {
        status: StatusCode::CONFLICT,
        kind: "idempotency_error",
        code,
        message: message.into(),
        param: Some(KEY_HEADER.into()),
        not_run: false,
        retry_after: None,
    }
}

fn not_run(reason: NotRunReason, scope: Scope, retry_after: Option<Duration>) -> Problem {
    let failure = Failure::NotClaimed;
    let problem = Problem::of_outcome(&Outcome::NotRun { failure, retry_after });
    let problem = problem.expect("a request that was not run has a problem");
    let why = match reason {
        NotRunReason::TooEarly => "the key's issue time is in the future",
        NotRunReason::TooLate => "the key is too old, and no request was ever run under it",
        NotRunReason::KvDown => "the key-value service takes no claims",
        NotRunReason::Overload => "too many claims at once",
        NotRunReason::Timeout => "the claim was not answered in time",
        NotRunReason::Refused => "no backend server took the request",
    };
    let message = format!("{}: {why}", problem.message).into();
    match scope {
        Scope::Submission => Problem { message, ..problem },
        Scope::Key => {
            let code = "key_too_old";
            Problem { message, code, status: StatusCode::UNPROCESSABLE_ENTITY, ..problem }
        }
    }
}
