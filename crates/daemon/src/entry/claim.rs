//! Request keys of callers.
//!
//! A non-idempotent request carries the header `Idempotency-Key`, and the time when the caller
//! made the key in `Idempotency-Issued`, in milliseconds since the Unix epoch. Without the second
//! header the key's text must begin with that time and a hyphen. A request for text that carries a
//! key runs at most once; a call to a plain service that its operators declared as non-idempotent
//! must carry one.

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
/// Header that says that an answer is a recorded one.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Time to come back if the service of claims is too busy or stops.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the request's key, if it has one.
///
/// # Errors
///
/// Says all that is wrong with the key.
pub fn key_of(workspace: &str, req: &Request) -> Result<Option<RequestKey>, Problem> {
    let Some(key) = req.header(KEY_HEADER) else { return Ok(None) };
    let raw = RawKey { workspace, key, issued_ms: req.header(ISSUED_HEADER) };
    RequestKey::try_from(raw)
        .map(Some)
        .map_err(|findings| Problem::bad_request(Some(KEY_HEADER), findings.to_string()))
}

/// Returns the problem of a request that needs a key and has none.
pub fn key_missing() -> Problem {
    let message = format!("header \"{KEY_HEADER}\" is missing; this call may not be repeated");
    Problem::bad_request(Some(KEY_HEADER), message)
}

/// What came of a claim, for a handler.
pub enum Claimed {
    /// Dispatch once.
    Granted(Permit),
    /// Give this recorded answer.
    Replay(Arc<[u8]>),
}

/// Claims the key of a request.
///
/// # Errors
///
/// What the caller is told, if the request is not dispatched and no recorded answer is held.
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
