//! What the processes tell each other.
//!
//! Each process has a leased entry in the store with its address. Each tells all others, a few
//! times a second, which requests it has where; what it is told goes into its world.

use std::sync::Arc;

use base::prelude::*;
use form::prelude::*;
use futures::FutureExt;
use http::Method;
use http::StatusCode;
use kernel::prelude::*;
use kv::prelude::*;
use pass::places::Load;
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::body;
use web::prelude::*;

use crate::edges::Edges;
use crate::edges::PeerEntry;
use crate::follow;
use crate::logging;
use crate::metrics::Metrics;
use crate::names;
use crate::settings::Settings;
use crate::world::Shared;

/// How long an entry lasts without renewal.
const LEASE: Duration = Duration::from_secs(5);
/// How often the entry is renewed.
const RENEW_PERIOD: Duration = Duration::from_millis(1_500);
/// How often peers are told of loads.
const TELL_PERIOD: Duration = Duration::from_millis(150);
/// How long telling a peer may take.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest message of a peer.
const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// What a process tells its peers.
#[wire]
struct Told {
    /// The process.
    node: NodeId,
    /// What it has where.
    loads: Vec<(ServerId, Load)>,
}

/// Makes the service.
pub fn service() -> Service {
    Service::new(names::PEERS, &[names::FOLLOW], run)
}

struct State {
    cx: Context,
    shared: Arc<Shared>,
    metrics: Metrics,
}

async fn run(cx: Context) -> Result<(), Fault> {
    let settings: Arc<Settings> = cx.registry().find(names::PROCESS)?;
    let edges: Edges = cx.registry().find(names::PROCESS)?;
    let state = Arc::new(State {
        cx: cx.clone(),
        shared: cx.registry().find(names::PROCESS)?,
        metrics: cx.registry().find(names::PROCESS)?,
    });
    let listener = TcpListener::bind(settings.peers).await;
    let listener = listener.map_err(|error| Fault::new(settings.peers.to_string(), error))?;
    let address = listener.local_addr().map_err(|error| Fault::new("peers", error))?;
    let handler = {
        let state = state.clone();
        Arc::new(move |request| respond(state.clone(), request).boxed())
    };
    let stop = CancellationToken::new();
    let limits = ServerLimits::default();
    let serving = serve(listener, limits, handler, Drain::default(), stop.clone());
    let entry = tokio::spawn(keep_entry(cx.clone(), edges, address));
    let telling = tokio::spawn(tell_forever(state));
    cx.ready();
    let ended = tokio::select! {
        ended = serving => {
            ended.map_err(|problem| Fault::new(settings.peers.to_string(), problem))
        }
        () = cx.stopping() => Ok(()),
    };
    entry.abort();
    telling.abort();
    ended
}

async fn respond(state: Arc<State>, request: Request) -> Response {
    match (&request.method, &*request.path) {
        (&Method::POST, "/loads") => told(&state, request).await,
        (&Method::GET, "/metrics") => metrics(&state),
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

async fn told(state: &State, request: Request) -> Response {
    let bytes = match body::read(request.body, MAX_MESSAGE_BYTES).await {
        Ok(bytes) => bytes,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let told: Told = match serde_json::from_slice(&bytes) {
        Ok(told) => told,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let now = state.cx.now();
    state.shared.world.lock().places.set_others(&told.node, &told.loads, now);
    reply::json(StatusCode::OK, &json!({}))
}

fn metrics(state: &State) -> Response {
    let world = state.shared.world.lock();
    let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
    state.metrics.waiting.set(gauge(world.dispatch.len()));
    state.metrics.servers.set(gauge(world.servers.len()));
    state.metrics.store_up.set(i64::from(world.store_up));
    state.metrics.version.set(i64::try_from(world.routes.version()).unwrap_or(i64::MAX));
    state.metrics.dropped_lines.set(i64::try_from(logging::dropped()).unwrap_or(i64::MAX));
    reply::text(StatusCode::OK, state.metrics.text())
}

/// Keeps this process's entry in the store.
async fn keep_entry(cx: Context, edges: Edges, address: std::net::SocketAddr) {
    let key = format!("{}{}{}", edges.keys.own, follow::PEERS, cx.node());
    let entry = PeerEntry { address };
    let value: Arc<[u8]> = serde_json::to_vec(&entry).expect("an entry has a JSON form").into();
    let mut period = cx.every(RENEW_PERIOD);
    let mut lease = None;
    loop {
        lease = match lease {
            Some(id) => renew(&edges, id).await,
            None => write_entry(&edges, &key, value.clone()).await,
        };
        tokio::select! {
            () = cx.process_stopping() => break,
            () = period.tick() => {}
        }
    }
    if let Some(id) = lease {
        if let Err(error) = edges.store.end(id).await {
            log::warn!("the entry of this process ends by itself: {error}");
        }
    }
}

async fn renew(edges: &Edges, lease: LeaseId) -> Option<LeaseId> {
    match edges.store.renew(lease).await {
        Ok(true) => Some(lease),
        Ok(false) => None,
        Err(error) => {
            log::warn!("the entry of this process was not renewed: {error}");
            Some(lease)
        }
    }
}

async fn write_entry(edges: &Edges, key: &str, value: Arc<[u8]>) -> Option<LeaseId> {
    let written = async {
        let lease = edges.store.grant(LEASE).await?;
        let stands = edges.store.get(key).await?.map_or(0, |value| value.mod_revision);
        edges.store.swap_leased(key, stands, value, lease.id).await?;
        Ok::<LeaseId, KvError>(lease.id)
    };
    match written.await {
        Ok(lease) => Some(lease),
        Err(error) => {
            log::warn!("the entry of this process was not written: {error}");
            None
        }
    }
}

async fn tell_forever(state: Arc<State>) {
    let client = Client::pooled(TELL_TIMEOUT);
    let mut period = state.cx.every(TELL_PERIOD);
    let mut idle = false;
    loop {
        period.tick().await;
        let loads = state.shared.world.lock().places.own_loads();
        // One empty message tells that nothing is left; more would say nothing new.
        if loads.is_empty() && idle {
            continue;
        }
        idle = loads.is_empty();
        let told = Arc::new(Told { node: state.cx.node().clone(), loads });
        let peers: Vec<PeerEntry> = {
            let world = state.shared.world.lock();
            let others = world.peers.iter().filter(|(node, _)| *node != state.cx.node());
            others.map(|(_, entry)| entry.clone()).collect()
        };
        for peer in peers {
            let (client, told) = (client.clone(), told.clone());
            tokio::spawn(async move {
                // Loads are told again soon; one that is not heard goes stale by itself.
                let _ = client
                    .json::<Told, serde_json::Value>(
                        peer.address,
                        Method::POST,
                        "/loads",
                        Some(&*told),
                        TELL_TIMEOUT,
                    )
                    .await;
            });
        }
    }
}
