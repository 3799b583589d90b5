//! Error responses of the caller API.
//!
//! `{"error": {"message", "type", "param", "code", "not_run"}}`. `not_run` is true only if no
//! backend server ran any part of the request; the header `Samphire-Not-Run: true` says the same.

use base::prelude::*;
use http::HeaderValue;
use http::StatusCode;
use relay::prelude::*;
use serde::Serialize;
use web::prelude::*;

/// Header that marks a request as not run.
pub const NOT_RUN_HEADER: &str = "samphire-not-run";

/// Suggested retry delay while the configuration of this process may be outdated.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Why a request has no complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// The HTTP status.
    pub status: StatusCode,
    /// The error's type, one of those that client libraries know.
    pub kind: &'static str,
    /// The error's code, for programs.
    pub code: &'static str,
    /// The error's message, for people.
    pub message: Box<str>,
    /// The field or header that is not valid.
    pub param: Option<Box<str>>,
    /// Whether no part of the request was run, with certainty.
    pub not_run: bool,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Body<'a>,
}

#[derive(Serialize)]
struct Body<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    param: Option<&'a str>,
    code: &'a str,
    not_run: bool,
}

impl Problem {
    /// Returns the problem of a request that is not valid.
    pub fn bad_request(param: Option<&str>, message: impl Into<Box<str>>) -> Self {
        Problem {
            status: StatusCode::BAD_REQUEST,
            kind: "invalid_request_error",
            code: "invalid_request",
            message: message.into(),
            param: param.map(Into::into),
            not_run: true,
            retry_after: None,
        }
    }

    /// Returns the problem of a missing or unknown API key.
    pub fn unauthorized() -> Self {
        let problem = Problem::bad_request(None, "the API key is missing or not valid");
        Problem {
            status: StatusCode::UNAUTHORIZED,
            kind: "authentication_error",
            code: "invalid_api_key",
            ..problem
        }
    }

    /// Returns the problem of something that does not exist or is not available to the workspace.
    pub fn not_found(message: impl Into<Box<str>>) -> Self {
        let problem = Problem::bad_request(None, message);
        Problem { status: StatusCode::NOT_FOUND, code: "not_found", ..problem }
    }

    /// Returns the problem of a body that is too large.
    pub fn too_large(message: impl Into<Box<str>>) -> Self {
        let problem = Problem::bad_request(None, message);
        Problem { status: StatusCode::PAYLOAD_TOO_LARGE, code: "body_too_large", ..problem }
    }

    /// Returns the problem of a resume that is not allowed.
    pub fn forbidden(message: impl Into<Box<str>>) -> Self {
        let problem = Problem::bad_request(None, message);
        Problem {
            status: StatusCode::FORBIDDEN,
            kind: "permission_error",
            code: "forbidden",
            ..problem
        }
    }

    /// Returns the problem of a new request while the active configuration may be outdated.
    pub fn outdated() -> Self {
        let message = "the request was not run: this process has heard neither the key-value \
                       service nor another process for too long";
        let problem = Problem::bad_request(None, message);
        Problem {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "server_error",
            code: "outdated",
            retry_after: Some(OUTDATED_RETRY_AFTER),
            ..problem
        }
    }

    /// Returns the problem of an outcome without a complete answer, or `None` for a complete one.
    pub fn of_outcome(outcome: &Outcome) -> Option<Self> {
        let failure = outcome.failure()?;
        let (not_run, retry_after) = match outcome {
            Outcome::NotRun { retry_after, .. } => (true, *retry_after),
            _ => (false, None),
        };
        let unknown = matches!(outcome, Outcome::Unknown { .. });
        let what = match (not_run, unknown) {
            (true, _) => "the request was not run",
            (_, true) => "it is not known whether the request was run",
            _ => "the answer is not whole",
        };
        Some(Problem {
            status: status(failure, unknown),
            kind: "server_error",
            code: if unknown { "outcome_unknown" } else { code(failure) },
            message: format!("{what}: {failure}").into(),
            param: None,
            not_run,
            retry_after,
        })
    }

    /// Returns the error as one line of JSON, for a response body or an event of a stream.
    pub fn json(&self) -> String {
        let error = Body {
            message: &self.message,
            kind: self.kind,
            param: self.param.as_deref(),
            code: self.code,
            not_run: self.not_run,
        };
        serde_json::to_string(&Envelope { error }).expect("the error has a JSON form")
    }

    /// Returns the error as a response.
    pub fn response(&self) -> Response {
        let mut response = reply::with_type(self.status, "application/json", self.json());
        let headers = response.headers_mut();
        if self.not_run {
            headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("true"));
        }
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
            let value = HeaderValue::from_str(&seconds.to_string());
            headers.insert(http::header::RETRY_AFTER, value.expect("digits are valid"));
        }
        response
    }
}

fn status(failure: Failure, unknown: bool) -> StatusCode {
    if unknown {
        return StatusCode::INTERNAL_SERVER_ERROR;
    }
    match failure {
        Failure::Limited => StatusCode::TOO_MANY_REQUESTS,
        Failure::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Failure::Broken | Failure::Crashed => StatusCode::BAD_GATEWAY,
        Failure::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Failure::NoGroup
        | Failure::Overloaded
        | Failure::Refused
        | Failure::Suspect
        | Failure::NotClaimed
        | Failure::RetryBudget => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn code(failure: Failure) -> &'static str {
    match failure {
        Failure::NoGroup => "no_group",
        Failure::Limited => "rate_limit_exceeded",
        Failure::Overloaded => "overloaded",
        Failure::Deadline => "deadline_exceeded",
        Failure::Refused => "refused",
        Failure::Broken => "stream_broken",
        Failure::Crashed => "group_crashed",
        Failure::Quarantined => "quarantined",
        Failure::Suspect => "suspect",
        Failure::NotClaimed => "not_claimed",
        Failure::RetryBudget => "retry_budget",
    }
}
