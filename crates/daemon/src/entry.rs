//! The caller API, compatible with common client libraries for language models.
//!
//! | path | what |
//! |---|---|
//! | `POST /v1/chat/completions`, `POST /v1/completions` | text generation, streamed or not |
//! | `GET /v1/models` | the models available to the workspace |
//! | `/apps/{service}/…` | calls to plain services, forwarded unchanged |
//! | `GET /healthz` | 200 while the process runs |
//!
//! - [`auth`]: finds the workspace of an API key.
//! - [`request`]: parses and validates generation requests.
//! - [`answer`]: writes the answers, streamed or not.
//! - [`apps`]: forwards calls to plain services.
//! - [`claim`]: request keys, for at-most-once execution.
//! - [`problem`]: error responses.
//! - [`token`]: tokens by which a caller resumes a stream through another process.

pub mod answer;
pub mod apps;
pub mod auth;
pub mod claim;
pub mod problem;
pub mod request;
pub mod token;

use std::sync::Arc;

use base::prelude::*;
use config::prelude::*;
use futures::FutureExt;
use http::Method;
use http::StatusCode;
use kernel::prelude::*;
use serde::Serialize;
use spec::prelude::Catalog;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use web::prelude::*;

use crate::announce::Addresses;
use crate::catalog::Admission;
use crate::entry::auth::Keys;
use crate::entry::problem::Problem;
use crate::entry::token::Signer;
use crate::metrics::Metrics;
use crate::names;
use crate::once::OnceMessage;
use crate::route::RouteMessage;

/// The state shared by all handlers.
pub struct State {
    /// The service's context.
    pub cx: Context,
    /// The settings.
    pub settings: Arc<Settings>,
    /// The metrics.
    pub metrics: Metrics,
    /// The active configuration.
    pub catalog: watch::Receiver<Arc<Catalog>>,
    /// Whether new requests are accepted.
    pub admission: watch::Receiver<Arc<Admission>>,
    /// The API keys of the workspaces.
    pub keys: Keys,
    /// Mailbox of routing.
    pub route: mpsc::Sender<RouteMessage>,
    /// Mailbox of the service that claims request keys.
    pub once: mpsc::Sender<OnceMessage>,
    /// Client with pooled connections, for calls to backend servers that may be repeated.
    pub pooled: Client,
    /// Client that opens a new connection for each call to a backend server.
    pub fresh: Client,
    /// Signs resume tokens.
    pub signer: Signer,
}

/// Returns the service.
pub fn service() -> Service {
    Service::new(names::ENTRY, &[names::CATALOG, names::ROUTE, names::ONCE], |cx| async move {
        let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
        let addresses: Addresses = cx.registry().lookup(names::PROCESS)?;
        let listener = TcpListener::bind(settings.listen.caller)
            .await
            .map_err(|error| ServiceError::new(settings.listen.caller.to_string(), error))?;
        let local = listener.local_addr().map_err(|error| ServiceError::new("caller", error))?;
        addresses.add("caller", local);
        let state = Arc::new(state(&cx, settings.clone())?);
        cx.ready();
        let drain = Drain::default();
        let stop = cx.stop_token();
        let limit = settings.shutdown.max_drain;
        let handler = Arc::new(move |req: Request| handle(state.clone(), req).boxed());
        let served = serve(listener, limits(&settings.caller), handler, drain, stop.clone());
        tokio::select! {
            served = served => served.map_err(|error| ServiceError::new("caller", error)),
            () = drain_limit(stop, limit) => {
                log::warn!("open streams are closed: shutdown.max_drain_ms has passed");
                Ok(())
            }
        }
    })
}

fn state(cx: &Context, settings: Arc<Settings>) -> Result<State, ServiceError> {
    let connect_timeout = settings.requests.connect_timeout;
    Ok(State {
        metrics: cx.registry().lookup(names::PROCESS)?,
        catalog: cx.subscribe(names::CATALOG)?,
        admission: cx.subscribe(names::CATALOG)?,
        keys: Keys::default(),
        route: cx.sender(names::ROUTE)?,
        once: cx.sender(names::ONCE)?,
        pooled: Client::pooled(connect_timeout),
        fresh: Client::unpooled(connect_timeout),
        signer: Signer::new(&settings.peers.secrets),
        settings,
        cx: cx.clone(),
    })
}

fn limits(caller: &Caller) -> ServerLimits {
    ServerLimits {
        max_header_bytes: caller.max_header_bytes,
        header_timeout: caller.header_timeout,
        idle_timeout: caller.idle_timeout,
        max_connections: caller.max_connections,
        max_surplus: 0,
    }
}

/// Resolves when the time `limit` has passed since the stop began; never without a limit.
async fn drain_limit(stop: tokio_util::sync::CancellationToken, limit: Option<Duration>) {
    stop.cancelled().await;
    match limit {
        Some(limit) => tokio::time::sleep(limit).await,
        None => std::future::pending().await,
    }
}

async fn handle(state: Arc<State>, req: Request) -> Response {
    if &*req.path == "/healthz" {
        return reply::text(StatusCode::OK, "ok");
    }
    // Before the first configuration is active no API key is known, so this check comes before
    // the one of the key.
    let is_new = req.method != Method::GET && req.header(answer::RESUME_HEADER).is_none();
    if is_new && !state.admission.borrow().accepts_requests {
        state.metrics.refusals.with_label_values(&["caller", "outdated"]).inc();
        return Problem::outdated().response();
    }
    let catalog = state.catalog.borrow().clone();
    let Some(workspace) = state.keys.workspace_of(&catalog, req.bearer()) else {
        state.metrics.refusals.with_label_values(&["caller", "unauthorized"]).inc();
        return Problem::unauthorized().response();
    };
    let answered = match (&req.method, &*req.path) {
        (&Method::POST, "/v1/chat/completions") => {
            answer::text(&state, &catalog, workspace, request::Shape::Chat, req).await
        }
        (&Method::POST, "/v1/completions") => {
            answer::text(&state, &catalog, workspace, request::Shape::Completion, req).await
        }
        (&Method::GET, "/v1/models") => Ok(models(&catalog, &workspace)),
        (_, path) if path.starts_with("/apps/") => {
            apps::forward(&state, &catalog, workspace, req).await
        }
        (_, path) => Err(Problem::not_found(format!("path \"{path}\" does not exist"))),
    };
    answered.unwrap_or_else(|problem| {
        state.metrics.refusals.with_label_values(&["caller", problem.code]).inc();
        problem.response()
    })
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'a str,
}

fn models(catalog: &Catalog, workspace: &str) -> Response {
    let found = catalog.workspaces.get(workspace);
    let data = found.iter().flat_map(|found| {
        found.models.iter().map(|access| ModelEntry {
            id: &access.alias,
            object: "model",
            created: 0,
            owned_by: &found.brand,
        })
    });
    reply::json(StatusCode::OK, &ModelList { object: "list", data: data.collect() })
}
