//! The exchange of rows and loads between processes, and the election of hubs.
//!
//! [`crate::load_reports`] describes which process calls which. Each failure domain elects a hub by
//! a lock in the store, whose value holds the hub's address. A process that isn't a hub sends its
//! load to `POST /exchange` of its domain's hub and gets changed rows, the fleet's load and the
//! time until its next call. If that hub doesn't answer with fresh rows, it calls the hubs of the
//! other domains. A hub sends the totals of its domain to all other hubs, and takes rows from them
//! only while its own are stale, because the store doesn't respond to it.
//!
//! Changes are asked for by the cache's boot id and a change number ([`crate::row_cache`]). A
//! caller that names no change of this cache gets all rows; if they are fresh, it deletes the rows
//! that they lack.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use futures::FutureExt;
use http::Method;
use http::StatusCode;
use kernel::prelude::*;
use kv::prelude::*;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use web::body;
use web::prelude::*;

use crate::decision_log;
use crate::decision_log::Record;
use crate::integration::Integration;
use crate::integration::PeerEntry;
use crate::lease_lock;
use crate::lease_lock::LockSpec;
use crate::load_reports::Loads;
use crate::local_state::SharedState;
use crate::metrics::Metrics;
use crate::names;
use crate::row_cache::RowChange;
use crate::settings::Settings;
use crate::store_sync;

/// How long a process stays the hub without renewal.
const HUB_LEASE: Duration = Duration::from_secs(3);
/// Shortest time between two exchanges; also the time between two reports of a hub to the others.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two exchanges.
const MAX_EXCHANGE_INTERVAL: Duration = Duration::from_millis(600);
/// Time that a hub needs for each exchange. The interval of each process grows with the number of
/// processes that share the hub.
const HUB_TIME_PER_EXCHANGE: Duration = Duration::from_millis(12);
/// How long an exchange may take until the next part of the response arrives.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Age of rows up to which they count as the current content of the store.
const MAX_FRESH_AGE: Duration = Duration::from_millis(400);
/// Largest accepted exchange message.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// How long a process waits before it takes a free hub lock, times the part of a processor core
/// that it lacks. Processes with more processor become hubs first.
const MAX_HUB_ELECTION_DELAY: Duration = Duration::from_millis(1_200);
/// Prefix of the hub locks, below the prefix of the system's own keys.
const HUB_PREFIX: &str = "hub/";

/// A message from a process to a hub.
#[wire]
struct ExchangeRequest {
    node: NodeId,
    /// The sender's load; that of its whole domain if it is a hub.
    loads: Loads,
    /// The number of processes of the sender's domain if it is a hub.
    domain_processes: Option<usize>,
    /// The row cache that the sender knows, and the last change of it that it has; `None` asks for
    /// no rows.
    have: Option<(BootId, u64)>,
}

/// A hub's response.
#[wire]
struct ExchangeResponse {
    /// Identifies the hub's row cache.
    boot: BootId,
    /// The last change of that cache.
    number: u64,
    /// Milliseconds since the hub's rows last matched the store.
    age_ms: Option<u64>,
    rows: Vec<Row>,
    /// If `rows` is the hub's whole cache, the highest revision of the store that it has seen.
    whole_at: Option<u64>,
    /// The load of the fleet without the sender's.
    loads: Loads,
    /// The number of processes of the fleet.
    processes: usize,
    /// Time until the sender should call again.
    pause_ms: u64,
}

/// A change of a row of the store.
#[wire]
struct Row {
    key: Box<str>,
    /// The revision that wrote the value, and its text; `None` if the key was deleted. Every
    /// decodable value is UTF-8; a value that is not loses nothing by the lossy conversion.
    value: Option<(u64, Box<str>)>,
    /// A revision of the store that includes the change.
    revision: u64,
}

/// Returns the service that exchanges rows and loads with the other processes.
pub fn service() -> Service {
    Service::new(names::PEERS, &[names::STORE_SYNC], run)
}

struct State {
    cx: Context,
    integration: Integration,
    settings: Arc<Settings>,
    shared: Arc<SharedState>,
    client: Client,
    metrics: Metrics,
    /// By hub: the id of its row cache, and the last change received from it.
    known: Mutex<HashMap<SocketAddr, (BootId, u64)>>,
}

async fn run(cx: Context) -> Result<(), ServiceError> {
    let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
    let state = Arc::new(State {
        cx: cx.clone(),
        integration: cx.registry().lookup(names::PROCESS)?,
        settings: settings.clone(),
        shared: cx.registry().lookup(names::PROCESS)?,
        client: Client::pooled(EXCHANGE_TIMEOUT),
        metrics: cx.registry().lookup(names::PROCESS)?,
        known: Mutex::default(),
    });
    let listener = TcpListener::bind(settings.peers).await;
    let listener =
        listener.map_err(|error| ServiceError::new(settings.peers.to_string(), error))?;
    let address = listener.local_addr().map_err(|error| ServiceError::new("peers", error))?;
    let handler = {
        let state = state.clone();
        Arc::new(move |request| respond(state.clone(), request).boxed())
    };
    let stop = CancellationToken::new();
    let limits = ServerLimits::default();
    let serving = serve(listener, limits, handler, Drain::default(), stop.clone());
    let hub_lock = tokio::spawn(run_hub_lock(state.clone(), address));
    let exchanging = tokio::spawn(exchange_periodically(state));
    cx.ready();
    let ended = tokio::select! {
        ended = serving => {
            ended.map_err(|problem| ServiceError::new(settings.peers.to_string(), problem))
        }
        () = cx.stopping() => Ok(()),
    };
    exchanging.abort();
    // Let the task release its lock. It ends because the kernel stops services only once the
    // process is stopping.
    let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, hub_lock).await;
    ended
}

/// Makes this process the hub of its failure domain whenever no other process is.
async fn run_hub_lock(state: Arc<State>, address: SocketAddr) {
    let entry = PeerEntry { address };
    let spec = LockSpec {
        name: "hub",
        key: format!("{}{HUB_PREFIX}{}", state.integration.keys.own, state.settings.failure_domain)
            .into(),
        value: serde_json::to_vec(&entry).expect("an entry has a JSON form").into(),
        lease: HUB_LEASE.max(state.settings.shortest_lease),
        acquire_delay: MAX_HUB_ELECTION_DELAY.mul_f64((1.0 - state.settings.cores).clamp(0.0, 1.0)),
    };
    let (tx, mut rx) = watch::channel(None);
    let is_free = {
        let (state, key) = (state.clone(), spec.key.clone());
        // With an empty cache the lock seems free; the conditional write then decides.
        move || !state.shared.local.lock().row_cache.contains(&key)
    };
    let store = state.integration.store.clone();
    let locking =
        lease_lock::run(state.cx.clone(), store, spec, is_free, Arc::new(Notify::new()), tx);
    let publishing = async {
        while rx.changed().await.is_ok() {
            state.shared.local.lock().is_hub = rx.borrow().is_some();
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = locking => {}
        () = publishing => {}
    }
    state.shared.local.lock().is_hub = false;
}

async fn respond(state: Arc<State>, request: Request) -> Response {
    match (&request.method, &*request.path) {
        (&Method::POST, "/exchange") => respond_to_exchange(&state, request).await,
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

async fn respond_to_exchange(state: &State, request: Request) -> Response {
    let bytes = match body::read(request.body, MAX_MESSAGE_BYTES).await {
        Ok(bytes) => bytes,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let exchange: ExchangeRequest = match serde_json::from_slice(&bytes) {
        Ok(exchange) => exchange,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let now = state.cx.now();
    let mut local = state.shared.local.lock();
    match exchange.domain_processes {
        Some(processes) => {
            local.load_reports.record_hub(&exchange.node, exchange.loads, processes, now)
        }
        None => local.load_reports.record_client(&exchange.node, exchange.loads, now),
    }
    local.load_reports.expire(now);
    let known = exchange.have.filter(|(boot, _)| *boot == local.row_cache.boot);
    let own = local.endpoints.local_loads(now);
    let (loads, processes) = local.load_reports.fleet_total(&own, &exchange.node);
    let age = local.row_cache.age(now);
    let rows = match exchange.have {
        None => Vec::new(),
        Some(_) => local.row_cache.changes_since(known.map_or(0, |(_, number)| number)),
    };
    let response = ExchangeResponse {
        boot: local.row_cache.boot,
        number: local.row_cache.last_change(),
        age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        rows: rows.into_iter().map(wire_row).collect(),
        whole_at: (exchange.have.is_some() && known.is_none()).then(|| local.row_cache.revision()),
        loads,
        processes,
        pause_ms: decision_log::millis(exchange_interval(local.load_reports.client_count())),
    };
    let body = match serde_json::to_vec(&response) {
        Ok(body) => body,
        Err(error) => return reply::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    };
    state.metrics.exchange_bytes.inc_by(body.len() as u64);
    if response.whole_at.is_some() {
        state.metrics.whole_exchanges.inc();
    }
    reply::with_type(StatusCode::OK, "application/json", body)
}

/// Returns the time between two exchanges of each of a hub's `clients`.
fn exchange_interval(clients: usize) -> Duration {
    let clients = u32::try_from(clients).unwrap_or(u32::MAX);
    HUB_TIME_PER_EXCHANGE
        .saturating_mul(clients)
        .clamp(MIN_EXCHANGE_INTERVAL, MAX_EXCHANGE_INTERVAL)
}

fn wire_row(change: RowChange) -> Row {
    let text = |value: &Versioned| String::from_utf8_lossy(&value.value).into();
    let value = change.value.map(|value| (value.mod_revision, text(&value)));
    Row { key: change.key, value, revision: change.revision }
}

async fn exchange_periodically(state: Arc<State>) {
    let mut listed = false;
    loop {
        if !listed && !state.shared.local.lock().is_hub {
            // The addresses of the hubs are rows of the store, which normally come from a hub.
            listed = list_hubs(&state).await;
        }
        if state.shared.local.lock().is_hub {
            report_to_hubs(&state).await;
        } else {
            exchange_with_hub(&state).await;
        }
        let pause = state.shared.local.lock().exchange_interval;
        state.cx.timer().after(pause.max(MIN_EXCHANGE_INTERVAL)).tick().await;
    }
}

async fn list_hubs(state: &State) -> bool {
    let prefix = format!("{}{HUB_PREFIX}", state.integration.keys.own);
    match state.integration.store.list(&prefix).await {
        Ok(listed) => {
            let now = state.cx.now();
            let found = !listed.rows.is_empty();
            for (key, value) in listed.rows {
                let revision = listed.revision;
                let change = RowChange { key, value: Some(value), revision };
                store_sync::apply(&state.integration, &state.shared, change, now);
            }
            found
        }
        Err(error) => {
            log::warn!("could not list the hubs from the store: {error}");
            false
        }
    }
}

/// Returns the hubs' addresses, that of the own domain first.
fn hubs(state: &State) -> Vec<SocketAddr> {
    let own =
        format!("{}{HUB_PREFIX}{}", state.integration.keys.own, state.settings.failure_domain);
    let prefix = format!("{}{HUB_PREFIX}", state.integration.keys.own);
    let local = state.shared.local.lock();
    let mut hubs: Vec<(bool, SocketAddr)> = Vec::new();
    for (key, value) in local.row_cache.with_prefix(&prefix) {
        match serde_json::from_slice::<PeerEntry>(&value.value) {
            Ok(entry) => hubs.push((key != own, entry.address)),
            Err(error) => log::warn!("could not decode the entry of hub `{key}`: {error}"),
        }
    }
    hubs.sort();
    hubs.into_iter().map(|(_, address)| address).collect()
}

/// Sends the totals of the own domain to the other hubs, and takes rows from them while the own
/// rows are stale.
async fn report_to_hubs(state: &Arc<State>) {
    let now = state.cx.now();
    let (loads, processes, is_fresh) = {
        let local = state.shared.local.lock();
        let own = local.endpoints.local_loads(now);
        let (loads, processes) = local.load_reports.domain_total(&own);
        (loads, processes, local.row_cache.age(now).is_some_and(|age| age < MAX_FRESH_AGE))
    };
    for address in hubs(state) {
        if address.ip() == state.settings.peers.ip() && address == state.settings.peers {
            continue;
        }
        let have = (!is_fresh).then(|| state.last_change_of(address));
        let exchange = ExchangeRequest {
            node: state.cx.node().clone(),
            loads: loads.clone(),
            domain_processes: Some(processes),
            have,
        };
        let state = state.clone();
        tokio::spawn(async move {
            let responded = exchange_with(&state, address, &exchange).await;
            // Without a request for rows, the age in the response doesn't apply to the own rows.
            if let (Ok(response), Some(_)) = (responded, exchange.have) {
                apply_rows(&state, &response);
            }
        });
    }
    update_fleet_loads(state);
}

/// Updates the load of the fleet from the reports that this hub has received.
fn update_fleet_loads(state: &State) {
    let now = state.cx.now();
    let mut local = state.shared.local.lock();
    local.load_reports.expire(now);
    let (loads, processes) = local.load_reports.fleet_total(&Vec::new(), "");
    local.set_fleet(&loads, processes, now);
}

/// Calls the hubs, that of the own domain first, until one answers with fresh rows.
async fn exchange_with_hub(state: &State) {
    for address in hubs(state) {
        let loads = state.shared.local.lock().endpoints.local_loads(state.cx.now());
        let exchange = ExchangeRequest {
            node: state.cx.node().clone(),
            loads,
            domain_processes: None,
            have: Some(state.last_change_of(address)),
        };
        let Ok(response) = exchange_with(state, address, &exchange).await else { continue };
        apply_rows(state, &response);
        let now = state.cx.now();
        let is_fresh =
            response.age_ms.is_some_and(|age| u128::from(age) < MAX_FRESH_AGE.as_millis());
        let mut local = state.shared.local.lock();
        local.set_fleet(&response.loads, response.processes, now);
        local.exchange_interval =
            Duration::from_millis(response.pause_ms).min(MAX_EXCHANGE_INTERVAL);
        if is_fresh {
            local.fresh_rows_at = Some(now);
            return;
        }
    }
}

async fn exchange_with(
    state: &State,
    address: SocketAddr,
    exchange: &ExchangeRequest,
) -> Result<ExchangeResponse, ClientError> {
    let sent_at = state.cx.now();
    let sent = state.client.json_with_idle_timeout(
        address,
        Method::POST,
        "/exchange",
        Some(exchange),
        EXCHANGE_TIMEOUT,
    );
    let response: ExchangeResponse = sent.await.inspect_err(|error| {
        state.metrics.failed_exchanges.inc();
        decision_log::write(&Record::ExchangeFailed {
            hub: address,
            problem: &error.to_string(),
            after_ms: decision_log::millis(state.cx.now().saturating_sub(sent_at)),
        });
    })?;
    if exchange.have.is_some() {
        state.known.lock().insert(address, (response.boot, response.number));
    }
    Ok(response)
}

impl State {
    /// Returns the id of the row cache of the hub at `address`, and the last change received from
    /// it; zeros before the first exchange.
    fn last_change_of(&self, address: SocketAddr) -> (BootId, u64) {
        self.known.lock().get(&address).copied().unwrap_or((0, 0))
    }
}

/// Deletes the rows that are missing from a hub's whole cache, if that cache is fresh.
fn drop_missing(state: &State, response: &ExchangeResponse, revision: u64) {
    let is_fresh = response.age_ms.is_some_and(|age| u128::from(age) < MAX_FRESH_AGE.as_millis());
    if !is_fresh {
        return;
    }
    let all_keys = response.rows.iter().map(|row| &*row.key).collect();
    let missing = state.shared.local.lock().row_cache.missing_from(&all_keys, revision);
    for key in missing {
        let change = RowChange { key, value: None, revision };
        store_sync::apply(&state.integration, &state.shared, change, state.cx.now());
    }
}

fn apply_rows(state: &State, response: &ExchangeResponse) {
    let now = state.cx.now();
    if let Some(revision) = response.whole_at {
        drop_missing(state, response, revision);
    }
    for row in &response.rows {
        let value = row.value.as_ref().map(|(mod_revision, text)| Versioned {
            value: text.as_bytes().into(),
            mod_revision: *mod_revision,
        });
        let change = RowChange { key: row.key.clone(), value, revision: row.revision };
        store_sync::apply(&state.integration, &state.shared, change, now);
    }
    if let Some(age) = response.age_ms {
        let at = now.saturating_sub(Duration::from_millis(age));
        state.shared.local.lock().row_cache.mark_current(at);
    }
    if !response.rows.is_empty() {
        state.shared.dispatch_queued(now);
        state.shared.servers_changed.notify_one();
    }
}
