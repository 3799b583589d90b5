//! The resources of the operator API.
//!
//! | call | answer |
//! |---|---|
//! | `GET /api/v1/{kind}` | all resources of a kind |
//! | `GET /api/v1/{kind}/{name}` | one resource, with its revision as `ETag` |
//! | `PUT /api/v1/{kind}/{name}` | applies one manifest |
//! | `DELETE /api/v1/{kind}/{name}` | deletes a resource |
//! | `POST /api/v1/apply` | applies several manifests in one change |
//! | `GET /api/v1/writes/{id}` | outcome of a write; more precise with its base, `?base=REV` |
//! | `GET /api/v1/watch?from=REV` | a line of JSON for each revision that becomes active |
//! | `GET /api/v1/status` | status of this process |
//!
//! Writes take `?dry_run=true`, `If-Match: "REV"` or `If-None-Match: *`, and the header
//! `Samphire-Write-Id`. Reads return the active configuration in this process.

use std::sync::Arc;

use base::prelude::*;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::ETAG;
use http::header::RETRY_AFTER;
use spec::accept::Change;
use spec::accept::Edit;
use spec::accept::Outcome;
use spec::api::ChangeView;
use spec::api::ErrorKind;
use spec::api::ErrorView;
use spec::api::ListView;
use spec::api::ResourceView;
use spec::api::WRITE_ID_HEADER;
use spec::api::WriteStatusView;
use spec::manifest::read_manifests;
use spec::prelude::Kind;
use spec::prelude::Manifest;
use spec::status::status;
use tokio::sync::oneshot;
use web::body;
use web::prelude::*;

use super::Refused;
use super::Role;
use super::State;
use super::authorize;
use super::observe::observed_groups;
use super::watch;
use crate::accept::ChangeRequest;
use crate::accept::read_stored;

/// Maximum wait for an accepted change to become active in this process before it is answered.
const MAX_IN_FORCE_WAIT: Duration = Duration::from_secs(1);
const MILLIS_PER_SECOND: u64 = 1_000;
/// Maximum size of the body of a write.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The result of a call: its response, or the error to respond with.
type Answer = Result<Response, ErrorView>;

/// Answers a call below `/api/v1/`.
pub(super) async fn handle(state: Arc<State>, req: Request) -> Response {
    dispatch(&state, req).await.unwrap_or_else(error_response)
}

async fn dispatch(state: &State, req: Request) -> Answer {
    let needed = if req.method == Method::GET { Role::Viewer } else { Role::Operator };
    authorize(state, &req, needed).map_err(auth_error)?;
    let path = req.path.clone();
    let segments: Vec<&str> = path.split('/').filter(|segment| !segment.is_empty()).collect();
    match (req.method.as_str(), &segments[2..]) {
        ("GET", ["status"]) => Ok(reply::json(StatusCode::OK, &super::process::view(state))),
        ("GET", ["watch"]) => Ok(watch::stream(state, &req)),
        ("GET", ["writes", id]) => write_outcome(state, &req, id).await,
        ("GET", [kind]) => list(state, kind_of(kind)?),
        ("GET", [kind, name]) => get(state, kind_of(kind)?, name),
        ("POST", ["apply"]) => apply(state, req).await,
        ("PUT", [kind, name]) => put(state, req, kind_of(kind)?, name).await,
        ("DELETE", [kind, name]) => delete(state, &req, kind_of(kind)?, name).await,
        (method, _) => {
            Err(ErrorView::new(ErrorKind::NotFound, format!("no such call: {method} {path}")))
        }
    }
}

fn auth_error(refused: Refused) -> ErrorView {
    match refused {
        Refused::Unauthorized => {
            ErrorView::new(ErrorKind::Unauthorized, "the token is missing or unknown")
        }
        Refused::Forbidden => ErrorView::new(ErrorKind::Forbidden, "the token may only read"),
    }
}

fn error_response(view: ErrorView) -> Response {
    let status = match view.error {
        ErrorKind::BadRequest => StatusCode::BAD_REQUEST,
        ErrorKind::Unauthorized => StatusCode::UNAUTHORIZED,
        ErrorKind::Forbidden => StatusCode::FORBIDDEN,
        ErrorKind::NotFound => StatusCode::NOT_FOUND,
        ErrorKind::Conflict => StatusCode::CONFLICT,
        ErrorKind::Refused => StatusCode::UNPROCESSABLE_ENTITY,
        ErrorKind::NotApplied => StatusCode::SERVICE_UNAVAILABLE,
        ErrorKind::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut response = reply::json(status, &view);
    if let Some(millis) = view.retry_after_ms {
        let seconds = millis.div_ceil(MILLIS_PER_SECOND).max(1);
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn kind_of(text: &str) -> Result<Kind, ErrorView> {
    text.parse::<Kind>().map_err(|unknown| ErrorView::new(ErrorKind::NotFound, unknown.to_string()))
}

fn list(state: &State, kind: Kind) -> Answer {
    let catalog = state.catalog.borrow().clone();
    let groups = observed_groups(state);
    let entries = catalog.list(kind);
    let items = entries
        .iter()
        .map(|entry| ResourceView::new(entry, status(&catalog, entry, &groups)))
        .collect();
    Ok(reply::json(StatusCode::OK, &ListView { revision: catalog.revision, items }))
}

fn get(state: &State, kind: Kind, name: &str) -> Answer {
    let catalog = state.catalog.borrow().clone();
    let Some(entry) = catalog.find(kind, name) else {
        return Err(not_found(kind, name));
    };
    let view = ResourceView::new(&entry, status(&catalog, &entry, &observed_groups(state)));
    let mut response = reply::json(StatusCode::OK, &view);
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", entry.revision)) {
        response.headers_mut().insert(ETAG, tag);
    }
    Ok(response)
}

fn not_found(kind: Kind, name: &str) -> ErrorView {
    ErrorView::new(ErrorKind::NotFound, format!("{kind} `{name}` does not exist"))
}

async fn write_outcome(state: &State, req: &Request, id: &str) -> Answer {
    let id = id.parse::<WriteId>().map_err(|_| {
        ErrorView::new(ErrorKind::BadRequest, format!("`{id}` is not the id of a write"))
    })?;
    let base = req.query_value("base").and_then(|base| base.parse().ok());
    let stored = read_stored(&*state.store)
        .await
        .map_err(|problem| ErrorView::new(ErrorKind::NotApplied, problem.to_string()))?;
    Ok(reply::json(StatusCode::OK, &WriteStatusView::of(&stored.catalog, id, base)))
}

/// The parameters of a write, from its headers and query.
struct WriteParams {
    revision: Option<Revision>,
    dry_run: bool,
    write_id: WriteId,
    operator: Box<str>,
}

fn params(req: &Request) -> Result<WriteParams, ErrorView> {
    let bad =
        |name: &str| ErrorView::new(ErrorKind::BadRequest, format!("header `{name}` is malformed"));
    let revision = match (req.header("if-match"), req.header("if-none-match")) {
        (None, None) => None,
        (None, Some("*")) => Some(0),
        (Some(tag), None) => {
            let revision = tag.trim().trim_matches('"').parse();
            Some(revision.map_err(|_| bad("If-Match"))?)
        }
        _ => return Err(bad("If-None-Match")),
    };
    let write_id = match req.header(WRITE_ID_HEADER) {
        Some(id) => id.parse().map_err(|_| bad(WRITE_ID_HEADER))?,
        None => random_id(),
    };
    let operator = req.peer.map_or("?".into(), |peer| peer.to_string().into());
    let dry_run = req.query_value("dry_run") == Some("true");
    Ok(WriteParams { revision, dry_run, write_id, operator })
}

async fn manifests(req: Request) -> Result<Vec<Manifest>, ErrorView> {
    let bytes = body::read(req.body, MAX_BODY_BYTES)
        .await
        .map_err(|problem| ErrorView::new(ErrorKind::BadRequest, problem.to_string()))?;
    read_manifests(&String::from_utf8_lossy(&bytes)).map_err(validation_error)
}

fn validation_error(findings: Findings) -> ErrorView {
    let message = "the change was refused; nothing was applied";
    ErrorView { findings, ..ErrorView::new(ErrorKind::Refused, message) }
}

async fn apply(state: &State, req: Request) -> Answer {
    let params = params(&req)?;
    let edits = manifests(req).await?.into_iter().map(Edit::Apply).collect();
    submit(state, params, edits).await
}

async fn put(state: &State, req: Request, kind: Kind, name: &str) -> Answer {
    let params = params(&req)?;
    let mut manifests = manifests(req).await?;
    let matches_path =
        |manifest: &Manifest| manifest.resource.kind() == kind && &*manifest.name == name;
    if manifests.len() != 1 || !manifests.iter().all(matches_path) {
        let message = format!("the body must be one manifest, of {kind} `{name}`");
        return Err(ErrorView::new(ErrorKind::BadRequest, message));
    }
    for manifest in &mut manifests {
        manifest.revision = params.revision.or(manifest.revision);
    }
    submit(state, params, manifests.into_iter().map(Edit::Apply).collect()).await
}

async fn delete(state: &State, req: &Request, kind: Kind, name: &str) -> Answer {
    let params = params(req)?;
    let edit = Edit::Delete { kind, name: name.into(), revision: params.revision };
    submit(state, params, vec![edit]).await
}

async fn submit(state: &State, params: WriteParams, edits: Vec<Edit>) -> Answer {
    let WriteParams { dry_run, write_id, operator, .. } = params;
    let change = Change { write_id, operator, edits, dry_run };
    let (reply, outcome) = oneshot::channel();
    if state.accept.try_send(ChangeRequest { change, reply }).is_err() {
        let message = "nothing was applied: too many changes wait, or the process is stopping";
        return Err(ErrorView::new(ErrorKind::NotApplied, message));
    }
    let Ok(outcome) = outcome.await else {
        let view = ErrorView::new(ErrorKind::Unknown, "the process is stopping");
        return Err(ErrorView { write_id: Some(write_id), ..view });
    };
    if let Outcome::Accepted { revision, .. } = outcome {
        wait_until_active(state, revision).await;
    }
    let view = change_view(outcome, write_id, dry_run)?;
    Ok(reply::json(StatusCode::OK, &view))
}

/// Waits until an accepted revision is active here, so that operators read their own writes.
async fn wait_until_active(state: &State, revision: Revision) {
    let mut catalog = state.catalog.clone();
    let reached = catalog.wait_for(|catalog| catalog.revision >= revision);
    // The change is accepted even if it becomes active here later.
    let _ = tokio::time::timeout(MAX_IN_FORCE_WAIT, reached).await;
}

fn change_view(
    outcome: Outcome,
    write_id: WriteId,
    dry_run: bool,
) -> Result<ChangeView, ErrorView> {
    match outcome {
        Outcome::Accepted { revision, changed } | Outcome::Checked { revision, changed } => {
            Ok(ChangeView { revision, changed, write_id, dry_run })
        }
        Outcome::Conflict { stale } => {
            let message = "a resource has another revision; nothing was applied";
            Err(ErrorView { stale, ..ErrorView::new(ErrorKind::Conflict, message) })
        }
        Outcome::NotFound { kind, name } => Err(not_found(kind, &name)),
        Outcome::Refused { findings } => Err(validation_error(findings)),
        Outcome::NotApplied { retry_after, reason } => {
            let message = format!("nothing was applied: {reason}");
            let retry_after_ms = u64::try_from(retry_after.as_millis()).ok();
            Err(ErrorView { retry_after_ms, ..ErrorView::new(ErrorKind::NotApplied, message) })
        }
        Outcome::Unknown { write_id, base } => {
            let message = "the change may or may not have been applied; ask with its write id";
            let view = ErrorView::new(ErrorKind::Unknown, message);
            Err(ErrorView { write_id: Some(write_id), base: Some(base), ..view })
        }
    }
}
