//! The operator API, health, metrics and the timeline.
//!
//! | path | answer |
//! |---|---|
//! | `GET /healthz` | 200 while the process runs |
//! | `GET /readyz` | 200 while new requests are accepted, otherwise 503 with the reason |
//! | `GET /metrics` | metrics in the text format of Prometheus |
//! | `/api/v1/...` | the resources; see the module `resources` |
//! | `GET /api/v1/quarantine` | suspect and quarantined requests; see [`quarantine_api`] |
//! | `GET /api/v1/timeline?from=N` | this process's events with sequence numbers of at least N |

mod observe;
mod process;
mod resources;
mod watch;

use std::sync::Arc;

use base::prelude::*;
use config::prelude::*;
use futures::FutureExt;
use group::view::GroupTable;
use http::Method;
use http::StatusCode;
use kernel::prelude::*;
use kv::prelude::Store;
use serde::Serialize;
use spec::prelude::Catalog;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch::Receiver;
use web::prelude::*;

use crate::accept::ChangeRequest;
use crate::announce::Addresses;
use crate::catalog::Admission;
use crate::catalog::HighestRevision;
use crate::keeper::FabricRecords;
use crate::keeper::GroupReport;
use crate::member::MembershipView;
use crate::metrics::Metrics;
use crate::names;
use crate::route::quarantine_api;

/// The state shared by all handlers.
pub struct State {
    /// The service's context.
    pub cx: Context,
    /// The settings.
    pub settings: Arc<Settings>,
    /// The metrics.
    pub metrics: Metrics,
    /// The active configuration.
    pub catalog: Receiver<Arc<Catalog>>,
    /// Whether new requests are accepted.
    pub admission: Receiver<Arc<Admission>>,
    /// The highest revision that is known to exist.
    pub highest: Receiver<Arc<HighestRevision>>,
    /// The other processes.
    pub members: Receiver<Arc<MembershipView>>,
    /// The replica groups that routing knows.
    pub groups: Receiver<Arc<GroupTable>>,
    /// The records of the replica groups.
    pub records: Receiver<Arc<FabricRecords>>,
    /// Each group's state and why it is not serving.
    pub report: Receiver<Arc<GroupReport>>,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Accepts changes.
    pub accept: mpsc::Sender<ChangeRequest>,
}

/// The events of one process.
#[derive(Serialize)]
pub struct Timeline {
    /// The process.
    pub node: NodeId,
    /// Id of the process instance.
    pub boot: BootId,
    /// Its events, oldest first.
    pub events: Vec<StampedEvent>,
}

/// The role of a client, by its token. Roles are ordered by their rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// May read.
    Viewer,
    /// May read and write.
    Operator,
}

const NEEDS: &[ServiceName] = &[names::CATALOG, names::GROUPS, names::STORE, names::ACCEPT];

/// Returns the service.
pub fn service() -> Service {
    Service::new(names::OPERATOR, NEEDS, |cx| async move {
        let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
        let addresses: Addresses = cx.registry().lookup(names::PROCESS)?;
        let listener = TcpListener::bind(settings.listen.operator)
            .await
            .map_err(|error| ServiceError::new(settings.listen.operator.to_string(), error))?;
        let local = listener.local_addr().map_err(|error| ServiceError::new("operator", error))?;
        addresses.add("operator", local);
        let state = Arc::new(State {
            metrics: cx.registry().lookup(names::PROCESS)?,
            catalog: cx.subscribe(names::CATALOG)?,
            admission: cx.subscribe(names::CATALOG)?,
            highest: cx.subscribe(names::CATALOG)?,
            members: cx.subscribe(names::MEMBER)?,
            groups: cx.subscribe(names::GROUPS)?,
            records: cx.subscribe(names::GROUPS)?,
            report: cx.subscribe(names::GROUPS)?,
            store: cx.registry().lookup(names::STORE)?,
            accept: cx.sender(names::ACCEPT)?,
            settings,
            cx: cx.clone(),
        });
        cx.ready();
        let handler = Arc::new(move |req: Request| handle(state.clone(), req).boxed());
        let limits = ServerLimits::default();
        let served = serve(listener, limits, handler, Drain::default(), cx.stop_token()).await;
        served.map_err(|error| ServiceError::new("operator", error))
    })
}

async fn handle(state: Arc<State>, req: Request) -> Response {
    match (&req.method, &*req.path) {
        (&Method::GET, "/healthz") => reply::text(StatusCode::OK, "ok"),
        (&Method::GET, "/readyz") => ready(&state),
        (&Method::GET, "/metrics") => reply::text(StatusCode::OK, state.metrics.text()),
        (&Method::GET, "/api/v1/timeline") => match authorize(&state, &req, Role::Viewer) {
            Ok(_) => timeline(&state, &req),
            Err(refused) => refused.response(),
        },
        (&Method::GET, quarantine_api::PATH) => match authorize(&state, &req, Role::Viewer) {
            Ok(_) => quarantine_api::list(&state.cx).await,
            Err(refused) => refused.response(),
        },
        (&Method::DELETE, path) if path.starts_with(quarantine_api::PATH) => {
            match authorize(&state, &req, Role::Operator) {
                Ok(_) => quarantine_api::lift(&state.cx, path).await,
                Err(refused) => refused.response(),
            }
        }
        (_, path) if path.starts_with("/api/v1/") => resources::handle(state, req).await,
        _ => reply::text(StatusCode::NOT_FOUND, format!("no such path: {}", req.path)),
    }
}

fn ready(state: &State) -> Response {
    if let Some(reason) = process::not_ready(state) {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, reason);
    }
    reply::text(StatusCode::OK, "ready")
}

fn timeline(state: &State, req: &Request) -> Response {
    let from = req.query_value("from").and_then(|from| from.parse().ok()).unwrap_or(0);
    let timeline = Timeline {
        node: state.cx.node().clone(),
        boot: state.cx.boot(),
        events: state.cx.recorder().since(from),
    };
    reply::json(StatusCode::OK, &timeline)
}

/// Why a call to the operator API is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The token is missing or unknown.
    Unauthorized,
    /// The token's role does not allow the call.
    Forbidden,
}

impl Refused {
    /// Returns the refusal as a response.
    pub fn response(self) -> Response {
        match self {
            Refused::Unauthorized => reply::text(
                StatusCode::UNAUTHORIZED,
                "unauthorized: the token is missing or unknown",
            ),
            Refused::Forbidden => {
                reply::text(StatusCode::FORBIDDEN, "forbidden: the token may only read")
            }
        }
    }

    fn name(self) -> &'static str {
        match self {
            Refused::Unauthorized => "unauthorized",
            Refused::Forbidden => "forbidden",
        }
    }
}

/// Returns the client's role if it is at least `needed`. Refused calls are logged and counted.
///
/// # Errors
///
/// [`Refused`] if the token is missing, unknown, or of a lower role.
pub fn authorize(state: &State, req: &Request, needed: Role) -> Result<Role, Refused> {
    let role = req.bearer().and_then(|token| role_of(&state.settings.operators, token));
    let refused = match role {
        Some(role) if role >= needed => return Ok(role),
        Some(_) => Refused::Forbidden,
        None => Refused::Unauthorized,
    };
    state.metrics.refusals.with_label_values(&["operator", refused.name()]).inc();
    log::warn!("{} {} from {:?} was refused: {}", req.method, req.path, req.peer, refused.name());
    Err(refused)
}

fn role_of(operators: &Operators, token: &str) -> Option<Role> {
    let is_in = |list: &[Secret]| {
        list.iter().fold(false, |found, secret| {
            found | bool::from(secret.expose().as_bytes().ct_eq(token.as_bytes()))
        })
    };
    if is_in(&operators.operator_tokens) {
        return Some(Role::Operator);
    }
    is_in(&operators.viewer_tokens).then_some(Role::Viewer)
}
