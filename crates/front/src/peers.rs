//! What the processes tell each other; [`crate::hub`] tells who asks whom.

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

use crate::edges::Edges;
use crate::edges::PeerEntry;
use crate::feed::Changed;
use crate::follow;
use crate::hub::Loads;
use crate::names;
use crate::report;
use crate::settings::Settings;
use crate::tenure;
use crate::tenure::Claim;
use crate::world::Shared;

/// How long a hub stays one without renewal.
const HUB_LEASE: Duration = Duration::from_secs(3);
/// How often a process asks its hub at most, and how often hubs tell each other.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(50);
/// Longest time between two exchanges.
const LONGEST_PERIOD: Duration = Duration::from_millis(600);
/// Time that a hub needs between two exchanges, which its processes share.
const HUB_SPACING: Duration = Duration::from_millis(12);
/// How long an exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Age of its rows above which a hub's answer is not taken for the store's word.
const FRESH: Duration = Duration::from_millis(400);
/// Largest message of a peer.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// How long a process without any processor would wait before it becomes a hub: those with more
/// come first.
const HUB_HEAD_START: Duration = Duration::from_millis(1_200);
/// Where hubs stand, below the system's own keys.
const HUBS: &str = "hub/";

/// What a process tells a hub.
#[wire]
struct Told {
    node: NodeId,
    /// Its loads; those of its whole domain if it is a hub.
    loads: Loads,
    /// The processes of its domain if it is a hub; none otherwise.
    domain_processes: Option<usize>,
    /// The feed that it knows, and the last change of it that it has.
    have: Option<(BootId, u64)>,
}

/// What a hub answers.
#[wire]
struct Answer {
    boot: BootId,
    number: u64,
    /// Milliseconds since the rows were as the store holds them.
    age_ms: Option<u64>,
    rows: Vec<Row>,
    /// The store's revision of the rows, if they are all that the hub knows.
    whole_at: Option<u64>,
    /// What all other processes have where.
    loads: Loads,
    processes: usize,
    /// When to ask again.
    pause_ms: u64,
}

/// A row of the store.
#[wire]
struct Row {
    key: Box<str>,
    /// The revision that wrote the value, and its text; `None` if the key was deleted. A value
    /// that is no text can't be read anyway.
    value: Option<(u64, Box<str>)>,
    revision: u64,
}

/// Makes the service.
pub fn service() -> Service {
    Service::new(names::PEERS, &[names::FOLLOW], run)
}

struct State {
    cx: Context,
    edges: Edges,
    settings: Arc<Settings>,
    shared: Arc<Shared>,
    client: Client,
    /// The feed of each hub that was asked, and the last change that was had of it.
    known: Mutex<HashMap<SocketAddr, (BootId, u64)>>,
}

async fn run(cx: Context) -> Result<(), Fault> {
    let settings: Arc<Settings> = cx.registry().find(names::PROCESS)?;
    let state = Arc::new(State {
        cx: cx.clone(),
        edges: cx.registry().find(names::PROCESS)?,
        settings: settings.clone(),
        shared: cx.registry().find(names::PROCESS)?,
        client: Client::pooled(EXCHANGE_TIMEOUT),
        known: Mutex::default(),
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
    let hub = tokio::spawn(hold_hub(state.clone(), address));
    let exchanging = tokio::spawn(exchange_forever(state));
    cx.ready();
    let ended = tokio::select! {
        ended = serving => {
            ended.map_err(|problem| Fault::new(settings.peers.to_string(), problem))
        }
        () = cx.stopping() => Ok(()),
    };
    exchanging.abort();
    // It gives the key back; the kernel stops services only once the process stops.
    let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, hub).await;
    ended
}

/// Is the hub of its failure domain while no other process is.
async fn hold_hub(state: Arc<State>, address: SocketAddr) {
    let entry = PeerEntry { address };
    let claim = Claim {
        name: "hub",
        key: format!("{}{HUBS}{}", state.edges.keys.own, state.settings.failure_domain).into(),
        value: serde_json::to_vec(&entry).expect("an entry has a JSON form").into(),
        lease: HUB_LEASE.max(state.settings.shortest_lease),
        head_start: HUB_HEAD_START.mul_f64((1.0 - state.settings.cores).clamp(0.0, 1.0)),
    };
    let (tx, mut rx) = watch::channel(None);
    let free = {
        let (state, key) = (state.clone(), claim.key.clone());
        // Before anything is known, the write itself tells whether another is the hub.
        move || !state.shared.world.lock().feed.has(&key)
    };
    let store = state.edges.store.clone();
    let keep = tenure::keep(state.cx.clone(), store, claim, free, Arc::new(Notify::new()), tx);
    let follow = async {
        while rx.changed().await.is_ok() {
            state.shared.world.lock().is_hub = rx.borrow().is_some();
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = keep => {}
        () = follow => {}
    }
    state.shared.world.lock().is_hub = false;
}

async fn respond(state: Arc<State>, request: Request) -> Response {
    match (&request.method, &*request.path) {
        (&Method::POST, "/exchange") => exchanged(&state, request).await,
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

async fn exchanged(state: &State, request: Request) -> Response {
    let bytes = match body::read(request.body, MAX_MESSAGE_BYTES).await {
        Ok(bytes) => bytes,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let told: Told = match serde_json::from_slice(&bytes) {
        Ok(told) => told,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let now = state.cx.now();
    let mut world = state.shared.world.lock();
    match told.domain_processes {
        Some(processes) => world.hub.hub(&told.node, told.loads, processes, now),
        None => world.hub.client(&told.node, told.loads, now),
    }
    world.hub.expire(now);
    let known = told.have.filter(|(boot, _)| *boot == world.feed.boot);
    let own = world.places.own_loads(now);
    let (loads, processes) = world.hub.fleet(&own, &told.node);
    let age = world.feed.age(now);
    let rows = match told.have {
        None => Vec::new(),
        Some(_) => world.feed.since(known.map_or(0, |(_, number)| number)),
    };
    let answer = Answer {
        boot: world.feed.boot,
        number: world.feed.number(),
        age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        rows: rows.into_iter().map(row).collect(),
        whole_at: (told.have.is_some() && known.is_none()).then(|| world.feed.revision()),
        loads,
        processes,
        pause_ms: report::millis(pause(world.hub.clients())),
    };
    reply::json(StatusCode::OK, &answer)
}

/// Returns how often each of a hub's `clients` may ask it.
fn pause(clients: usize) -> Duration {
    let clients = u32::try_from(clients).unwrap_or(u32::MAX);
    HUB_SPACING.saturating_mul(clients).clamp(EXCHANGE_PERIOD, LONGEST_PERIOD)
}

fn row(changed: Changed) -> Row {
    let text = |value: &Versioned| String::from_utf8_lossy(&value.value).into();
    let value = changed.value.map(|value| (value.mod_revision, text(&value)));
    Row { key: changed.key, value, revision: changed.revision }
}

async fn exchange_forever(state: Arc<State>) {
    let mut listed = false;
    loop {
        if !listed && !state.shared.world.lock().is_hub {
            // The first rows tell where the hubs are.
            listed = list_hubs(&state).await;
        }
        if state.shared.world.lock().is_hub {
            tell_hubs(&state).await;
        } else {
            ask_hub(&state).await;
        }
        let pause = state.shared.world.lock().exchange_pause;
        state.cx.timer().after(pause.max(EXCHANGE_PERIOD)).tick().await;
    }
}

async fn list_hubs(state: &State) -> bool {
    let prefix = format!("{}{HUBS}", state.edges.keys.own);
    match state.edges.store.list(&prefix).await {
        Ok(listed) => {
            let now = state.cx.now();
            let found = !listed.rows.is_empty();
            for (key, value) in listed.rows {
                let revision = listed.revision;
                let changed = Changed { key, value: Some(value), revision };
                follow::apply(&state.edges, &state.shared, changed, now);
            }
            found
        }
        Err(error) => {
            log::warn!("the hubs are not known: {error}");
            false
        }
    }
}

/// Returns the hubs' addresses, that of the own domain first.
fn hubs(state: &State) -> Vec<SocketAddr> {
    let own = format!("{}{HUBS}{}", state.edges.keys.own, state.settings.failure_domain);
    let prefix = format!("{}{HUBS}", state.edges.keys.own);
    let world = state.shared.world.lock();
    let mut hubs: Vec<(bool, SocketAddr)> = Vec::new();
    for (key, value) in world.feed.below(&prefix) {
        match serde_json::from_slice::<PeerEntry>(&value.value) {
            Ok(entry) => hubs.push((key != own, entry.address)),
            Err(error) => log::warn!("hub `{key}` can't be read: {error}"),
        }
    }
    hubs.sort();
    hubs.into_iter().map(|(_, address)| address).collect()
}

/// Tells the other hubs the sums of the own domain; takes rows from them if the store is silent.
async fn tell_hubs(state: &Arc<State>) {
    let now = state.cx.now();
    let (loads, processes, is_fresh) = {
        let world = state.shared.world.lock();
        let own = world.places.own_loads(now);
        let (loads, processes) = world.hub.domain(&own);
        (loads, processes, world.feed.age(now).is_some_and(|age| age < FRESH))
    };
    for address in hubs(state) {
        if address.ip() == state.settings.peers.ip() && address == state.settings.peers {
            continue;
        }
        let have = (!is_fresh).then(|| state.had_of(address));
        let told = Told {
            node: state.cx.node().clone(),
            loads: loads.clone(),
            domain_processes: Some(processes),
            have,
        };
        let state = state.clone();
        tokio::spawn(async move {
            let answered = ask(&state, address, &told).await;
            // An answer without rows says nothing about the age of the own ones.
            if let (Ok(answer), Some(_)) = (answered, told.have) {
                take_rows(&state, &answer);
            }
        });
    }
    take_hub_loads(state);
}

/// A hub sums up what it was told itself.
fn take_hub_loads(state: &State) {
    let now = state.cx.now();
    let mut world = state.shared.world.lock();
    world.hub.expire(now);
    let (loads, processes) = world.hub.fleet(&Vec::new(), "");
    world.set_fleet(&loads, processes, now);
}

/// Asks the nearest hub that answers with fresh rows.
async fn ask_hub(state: &State) {
    for address in hubs(state) {
        let loads = state.shared.world.lock().places.own_loads(state.cx.now());
        let told = Told {
            node: state.cx.node().clone(),
            loads,
            domain_processes: None,
            have: Some(state.had_of(address)),
        };
        let Ok(answer) = ask(state, address, &told).await else { continue };
        take_rows(state, &answer);
        let now = state.cx.now();
        let is_fresh = answer.age_ms.is_some_and(|age| u128::from(age) < FRESH.as_millis());
        let mut world = state.shared.world.lock();
        world.set_fleet(&answer.loads, answer.processes, now);
        world.exchange_pause = Duration::from_millis(answer.pause_ms).min(LONGEST_PERIOD);
        if is_fresh {
            world.told_at = Some(now);
            return;
        }
    }
}

async fn ask(state: &State, address: SocketAddr, told: &Told) -> Result<Answer, ClientError> {
    let asked = state.client.json(address, Method::POST, "/exchange", Some(told), EXCHANGE_TIMEOUT);
    let answer: Answer = asked.await?;
    if told.have.is_some() {
        state.known.lock().insert(address, (answer.boot, answer.number));
    }
    Ok(answer)
}

impl State {
    /// Returns the last change that was had of the hub at `address`; change 0 before any.
    fn had_of(&self, address: SocketAddr) -> (BootId, u64) {
        self.known.lock().get(&address).copied().unwrap_or((0, 0))
    }
}

/// Drops the rows that a hub, which told all of its own, doesn't have.
fn drop_missing(state: &State, answer: &Answer, revision: u64) {
    let is_fresh = answer.age_ms.is_some_and(|age| u128::from(age) < FRESH.as_millis());
    if !is_fresh {
        return;
    }
    let whole = answer.rows.iter().map(|row| &*row.key).collect();
    let missing = state.shared.world.lock().feed.missing_from(&whole, revision);
    for key in missing {
        let changed = Changed { key, value: None, revision };
        follow::apply(&state.edges, &state.shared, changed, state.cx.now());
    }
}

fn take_rows(state: &State, answer: &Answer) {
    let now = state.cx.now();
    if let Some(revision) = answer.whole_at {
        drop_missing(state, answer, revision);
    }
    for row in &answer.rows {
        let value = row.value.as_ref().map(|(mod_revision, text)| Versioned {
            value: text.as_bytes().into(),
            mod_revision: *mod_revision,
        });
        let changed = Changed { key: row.key.clone(), value, revision: row.revision };
        follow::apply(&state.edges, &state.shared, changed, now);
    }
    if let Some(age) = answer.age_ms {
        let at = now.saturating_sub(Duration::from_millis(age));
        state.shared.world.lock().feed.confirm(at);
    }
    if !answer.rows.is_empty() {
        state.shared.pump(now);
        state.shared.servers_changed.notify_one();
    }
}
