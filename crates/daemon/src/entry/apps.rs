//! Forwards calls to plain services, with method, headers and body unchanged.

use std::sync::Arc;

use base::prelude::*;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use once::segment::RequestOutcome;
use relay::prelude::*;
use spec::prelude::*;
use web::body;
use web::client::Call;
use web::prelude::*;

use crate::entry::State;
use crate::entry::claim;
use crate::entry::claim::Claimed;
use crate::entry::problem::Problem;
use crate::once::Permit;

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];

/// Maximum size of the answer of a call that must not be repeated, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Forwards the call `/apps/{service}/{rest}` to an instance of the service as `/{rest}`.
///
/// # Errors
///
/// [`Problem`] if the call is not valid, or if no instance answered it.
pub async fn forward(
    state: &Arc<State>,
    catalog: &Catalog,
    workspace: WorkspaceId,
    req: Request,
) -> Result<Response, Problem> {
    let rest = req.path.strip_prefix("/apps/").unwrap_or("");
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = service(catalog, &workspace, name)?.clone();
    let name: ServiceId = name.into();
    let key = match service.is_idempotent(req.method.as_str(), path) {
        true => None,
        false => Some(claim::key_of(&workspace, &req)?.ok_or_else(claim::key_missing)?),
    };
    let path =
        if req.query.is_empty() { format!("/{path}") } else { format!("/{path}?{}", req.query) };
    let limit = state.settings.caller.max_body_bytes;
    let method = req.method.clone();
    let headers = forwarded_headers(&req.headers);
    let bytes =
        body::read(req.body, limit).await.map_err(|error| Problem::too_large(error.to_string()))?;
    let call = Call { method, path: &path, headers, body: bytes };
    let Some(key) = key else {
        return call_any_instance(state, &name, &service, call).await.map(forwarded_response);
    };
    let target = format!("{name}{path}");
    let fingerprint = once::key::fingerprint(call.method.as_str(), &target, &call.body);
    match claim::claim(state, key, fingerprint).await? {
        Claimed::Replay(answer) => Ok(replayed(&answer)),
        Claimed::Granted(permit) => call_once(state, &name, &service, call, permit).await,
    }
}

fn service<'a>(catalog: &'a Catalog, workspace: &str, name: &str) -> Result<&'a Service, Problem> {
    let allowed = catalog
        .workspaces
        .get(workspace)
        .is_some_and(|workspace| workspace.services.iter().any(|service| &**service == name));
    let found = catalog.services.get(name).filter(|_| allowed);
    found.ok_or_else(|| Problem::not_found(format!("service \"{name}\" does not exist")))
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        if !is_hop_by_hop(name) && name != http::header::AUTHORIZATION {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
}

/// Calls the instances in turn until one receives the call. A call that was sent is not repeated.
async fn call_any_instance(
    state: &State,
    name: &str,
    service: &Service,
    call: Call<'_>,
) -> Result<Response, Problem> {
    let timeout = state.settings.requests.default_deadline;
    let start = usize::try_from(random_id() % 1_024).unwrap_or(0);
    let count = service.addresses.len();
    for index in 0..count {
        let address = service.addresses[(start + index) % count];
        match state.fresh.send(address, call.clone(), timeout).await {
            Ok(response) => return Ok(response),
            Err(ClientError::NotSent { problem, .. }) => {
                log::warn!("service `{name}` at {address}: {problem}");
            }
            Err(error) => {
                log::warn!("service `{name}`: {error}");
                let failure = Failure::Broken;
                return Err(outcome(Outcome::Unknown { failure }));
            }
        }
    }
    let retry_after = Some(Duration::from_secs(1));
    Err(outcome(Outcome::NotRun { failure: Failure::NoGroup, retry_after }))
}

/// The answer of a call that must not be repeated, as it is cached for resubmissions.
#[wire]
struct RecordedResponse {
    status: u16,
    media: Option<Box<str>>,
    body: Vec<u8>,
}

/// Makes a call whose key was claimed, and reports its outcome.
async fn call_once(
    state: &State,
    name: &str,
    service: &Service,
    call: Call<'_>,
    permit: Permit,
) -> Result<Response, Problem> {
    let response = match call_any_instance(state, name, service, call).await {
        Ok(response) => response,
        Err(problem) if problem.not_run => {
            permit.refused();
            return Err(problem);
        }
        Err(problem) => {
            permit.ended(RequestOutcome::Unknown);
            return Err(problem);
        }
    };
    let (parts, body) = response.into_parts();
    let progress = state.settings.requests.progress_timeout;
    match body::read_with_idle_timeout(body, MAX_ANSWER_BYTES, progress).await {
        Ok(bytes) => {
            let media = parts.headers.get(http::header::CONTENT_TYPE);
            let media = media.and_then(|media| media.to_str().ok()).map(Into::into);
            let status = parts.status.as_u16();
            let recorded = RecordedResponse { status, media, body: bytes.to_vec() };
            let answer = serde_json::to_vec(&recorded).expect("the answer has a JSON form");
            permit.done(answer.into());
            Ok(forwarded_response(Response::from_parts(parts, bytes.into())))
        }
        Err(error) => {
            log::warn!("service `{name}`: {error}");
            permit.ended(RequestOutcome::Unknown);
            Err(outcome(Outcome::Unknown { failure: Failure::Broken }))
        }
    }
}

/// Converts a recorded answer into a response.
fn replayed(answer: &[u8]) -> Response {
    let Ok(recorded) = serde_json::from_slice::<RecordedResponse>(answer) else {
        return outcome(Outcome::Unknown { failure: Failure::Broken }).response();
    };
    let status = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    let mut response = reply::with_type(status, "application/octet-stream", recorded.body);
    let headers = response.headers_mut();
    if let Some(Ok(media)) = recorded.media.map(|media| HeaderValue::from_str(&media)) {
        headers.insert(http::header::CONTENT_TYPE, media);
    }
    headers.insert(claim::REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}

fn outcome(outcome: Outcome) -> Problem {
    Problem::of_outcome(&outcome).expect("an outcome without an answer is a problem")
}

fn forwarded_response(mut response: Response) -> Response {
    let names: Vec<_> = response.headers().keys().filter(|name| is_hop_by_hop(name)).collect();
    let names: Vec<HeaderName> = names.into_iter().cloned().collect();
    for name in names {
        response.headers_mut().remove(name);
    }
    response
}
