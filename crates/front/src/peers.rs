//! The exchange of rows and loads between processes, and the election of hubs.
//!
//! [`crate::load_reports`] describes which process calls which. Each failure domain elects a hub by
//! a lock in the store, whose value holds the hub's address. A process that isn't a hub sends its
//! load to `POST /exchange` of its domain's hub and gets changed rows, the fleet's load and the
//! time until its next call. If that hub doesn't answer with fresh rows, it calls the hubs of the
//! other domains. A hub sends the totals of its domain to all other hubs, and takes rows from them
//! only while its own are stale, because the store doesn't respond to it.
//!
//! - `messages`: the messages of an exchange.
//! - `exchange`: calls to a hub; [`rows`] decides what they ask for, and what a hub sends.
//! - `hub`: what a hub answers.
//! - `crashes`: spreads crash reports.
//! - `crash_row`: keeps the row of crashes in the store.
//! - `reach`: finds out whether this process reaches backend servers.
//! - `helpers`: which processes take requests over, and what others see of the paths to servers.

mod crash_row;
mod crashes;
mod exchange;
mod helpers;
mod hub;
mod messages;
mod reach;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use base::prelude::*;
use form::prelude::*;
use futures::FutureExt;
use kernel::prelude::*;
use parking_lot::Mutex;
use rows::prelude::*;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use web::prelude::*;

use crate::clock;
use crate::descriptors::DescriptorShares;
use crate::integration::Integration;
use crate::integration::PeerEntry;
use crate::lease_lock;
use crate::lease_lock::LockSpec;
use crate::lease_lock::LockState;
use crate::load_reports::Loads;
use crate::local_state::LocalState;
use crate::local_state::SharedState;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::names;
use crate::settings::Settings;
use crate::store_sync::RowWriter;

use crashes::HubProgress;
use messages::ExchangeRequest;

/// How long a process stays the hub without renewal.
pub(crate) const HUB_LEASE: Duration = Duration::from_secs(3);
/// Shortest time between two exchanges; also the time between two reports of a hub to the others.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two exchanges.
const MAX_EXCHANGE_INTERVAL: Duration = Duration::from_millis(600);
/// How long an exchange may take until the next part of the response arrives.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a process waits before it takes a free hub lock, times the part of a processor core
/// that it lacks. Processes with more processor become hubs first.
const MAX_HUB_ELECTION_DELAY: Duration = Duration::from_millis(1_200);
/// Pause between two listings of the hubs by a process that knows none.
const HUB_LISTING_PAUSE: Duration = Duration::from_millis(300);
/// How long an answer of others on a server is used.
const OPINION_TTL: Duration = Duration::from_millis(300);
/// Most bytes of the headers of a message: those of a caller's request and what goes with it.
const MAX_HEADER_BYTES: usize = 96 << 10;
/// Prefix of the hub locks, below the prefix of the system's own keys.
const HUB_PREFIX: &str = "hub/";

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
    /// What messages may hold.
    memory: Memory,
    /// What is known of the row caches of hubs.
    hub_follower: Mutex<HubFollower>,
    /// The hubs from which this hub is getting rows.
    getting_rows_from: Mutex<HashSet<SocketAddr>>,
    /// What this process sends of its rows.
    feed: Mutex<Feed>,
    /// By hub: which crash reports it and this process have of each other.
    crash_progress: Mutex<HashMap<SocketAddr, HubProgress>>,
    /// The processes that have announced themselves here.
    announcements: helpers::Announcements,
}

/// What the other processes see of the paths to servers.
#[derive(Clone)]
pub(crate) struct PeerOpinions {
    state: Arc<State>,
    /// Recent answers by server: when it was given, and whether another process reaches the server. Locked
    /// while others are asked, since many requests ask of the same server at once.
    recent: Arc<tokio::sync::Mutex<HashMap<ServerId, (Mono, bool)>>>,
}

impl PeerOpinions {
    /// Returns whether another process reaches a server that refuses connections from here.
    ///
    /// While no server at all can be reached from here, that others reach one shows that the paths are
    /// cut, so it holds for all.
    pub(crate) async fn is_reached(&self, server: &ServerId) -> bool {
        let mut recent = self.recent.lock().await;
        if self.state.shared.local.lock().endpoints.paths.is_cut_confirmed() {
            return true;
        }
        let now = self.state.cx.now();
        recent.retain(|_, (at, _)| now < *at + OPINION_TTL);
        if let Some((_, is_reached)) = recent.get(server) {
            return *is_reached;
        }
        let servers = std::slice::from_ref(server);
        let is_reached = !helpers::reached_elsewhere(&self.state, servers).await.is_empty();
        recent.insert(server.clone(), (self.state.cx.now(), is_reached));
        if is_reached {
            self.state.shared.local.lock().endpoints.paths.confirm_cut();
        }
        is_reached
    }
}

impl PeerOpinions {
    /// Returns whether another process reaches a server now, whatever that shows of the paths from here.
    pub(crate) async fn is_reached_elsewhere(&self, server: &ServerId) -> bool {
        let servers = std::slice::from_ref(server);
        !helpers::reached_elsewhere(&self.state, servers).await.is_empty()
    }
}

impl State {
    /// Returns what applies rows that come from `source`.
    fn writer(&self, source: RowSource) -> RowWriter<'_> {
        RowWriter {
            integration: &self.integration,
            shared: &self.shared,
            metrics: &self.metrics,
            source,
        }
    }
}

async fn run(cx: Context) -> Result<(), ServiceError> {
    let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
    let memory: Memory = cx.registry().lookup(names::PROCESS)?;
    let state = Arc::new(State {
        cx: cx.clone(),
        integration: cx.registry().lookup(names::PROCESS)?,
        settings: settings.clone(),
        shared: cx.registry().lookup(names::PROCESS)?,
        client: Client::pooled(EXCHANGE_TIMEOUT).within(memory.messages.clone()),
        metrics: cx.registry().lookup(names::PROCESS)?,
        memory,
        hub_follower: Mutex::default(),
        getting_rows_from: Mutex::default(),
        feed: Mutex::new(Feed::new(settings.link_bytes_per_second)),
        crash_progress: Mutex::default(),
        announcements: helpers::Announcements::default(),
    });
    let opinions = PeerOpinions { state: state.clone(), recent: Arc::default() };
    cx.registry().register(names::PEERS, opinions);
    let listener = bind(settings.peers);
    let listener =
        listener.map_err(|error| ServiceError::new(settings.peers.to_string(), error))?;
    let address = listener.local_addr().map_err(|error| ServiceError::new("peers", error))?;
    let handler = {
        let state = state.clone();
        Arc::new(move |request| {
            let state = state.clone();
            async move { hub::respond(&state, request).await }.boxed()
        })
    };
    let stop = CancellationToken::new();
    let shares: DescriptorShares = cx.registry().lookup(names::PROCESS)?;
    let limits = ServerLimits {
        max_header_bytes: MAX_HEADER_BYTES,
        max_connections: shares.peers,
        ..ServerLimits::default()
    };
    let serving = serve(listener, limits, handler, Drain::default(), stop.clone());
    let hub_lock = cx.spawn("hub lock", run_hub_lock(state.clone(), address));
    let sending_crashes = cx.spawn("crash reports", crashes::send_recorded(state.clone()));
    let saving_crashes = cx.spawn("row of crashes", crash_row::keep(state.clone()));
    let checking = cx.spawn("paths to servers", reach::run(state.clone()));
    let exchanging = cx.spawn("exchange with hubs", exchange_periodically(state));
    cx.ready();
    let ended = tokio::select! {
        ended = serving => {
            ended.map_err(|problem| ServiceError::new(settings.peers.to_string(), problem))
        }
        () = cx.stopping() => Ok(()),
    };
    exchanging.abort();
    checking.abort();
    sending_crashes.abort();
    saving_crashes.abort();
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
    // Whether another hub may have been there before this one.
    let has_predecessor = Arc::new(AtomicBool::new(!state.settings.first_start));
    let lock_state = {
        let (state, key, value) = (state.clone(), spec.key.clone(), spec.value.clone());
        let has_predecessor = has_predecessor.clone();
        // With an empty cache the lock seems free; the conditional write then decides.
        move || {
            let local = state.shared.local.lock();
            let Some(row) = local.row_cache.get(&key) else { return LockState::Free };
            has_predecessor.store(true, Ordering::Relaxed);
            match row.value == value {
                // Only this process listens on its address.
                true => LockState::OwnEarlier { revision: row.mod_revision },
                false => LockState::Taken,
            }
        }
    };
    let store = state.integration.store.clone();
    let locking =
        lease_lock::run(state.cx.clone(), store, spec, lock_state, Arc::new(Notify::new()), tx);
    let publishing = async {
        while rx.changed().await.is_ok() {
            let lock = *rx.borrow_and_update();
            let is_first = !has_predecessor.swap(true, Ordering::Relaxed);
            state.shared.local.lock().set_hub_lock(lock, is_first, &state.settings);
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = locking => {}
        () = publishing => {}
    }
    state.shared.local.lock().set_hub_lock(None, false, &state.settings);
}

async fn exchange_periodically(state: Arc<State>) {
    let mut listing = HubListing::NoAnswer;
    let mut next_listing = Mono::ZERO;
    loop {
        let now = state.cx.now();
        if listing != HubListing::Found && now >= next_listing && !state.shared.local.lock().is_hub
        {
            // The addresses of the hubs are rows of the store, which normally come from a hub.
            listing = list_hubs(&state).await;
            next_listing = now + HUB_LISTING_PAUSE;
        }
        crashes::keep_waiting(&state);
        if state.shared.local.lock().is_hub {
            report_to_hubs(&state).await;
        } else {
            let found = exchange_with_hub(&state).await;
            let all_hubs_tried = match listing {
                HubListing::NoAnswer => false,
                // On a first start, the first hub is about to be elected.
                HubListing::Empty => !state.settings.first_start,
                HubListing::Found => !found,
            };
            state.shared.local.lock().all_hubs_tried = all_hubs_tried;
        }
        let pause = state.shared.local.lock().exchange_interval;
        state.cx.timer().after(pause.max(MIN_EXCHANGE_INTERVAL)).tick().await;
    }
}

/// What the store answered when it was asked for the hubs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HubListing {
    /// Nothing, so there may be hubs.
    NoAnswer,
    /// That there is no hub.
    Empty,
    /// At least one hub.
    Found,
}

/// Asks the store for the hubs, and applies their rows.
async fn list_hubs(state: &State) -> HubListing {
    let prefix = format!("{}{HUB_PREFIX}", state.integration.keys.own);
    match state.integration.store.list(&prefix).await {
        Ok(listed) => {
            let now = state.cx.now();
            let is_empty = listed.rows.is_empty();
            for (key, value) in listed.rows {
                let revision = listed.revision;
                let change = RowChange { key, value: Some(value), revision };
                state.writer(RowSource::Store).apply(change, now);
            }
            if is_empty { HubListing::Empty } else { HubListing::Found }
        }
        Err(error) => {
            log::warn!("could not list the hubs from the store: {error}");
            HubListing::NoAnswer
        }
    }
}

/// Returns the hubs' addresses, that of the own domain first.
fn hubs(state: &State) -> Vec<SocketAddr> {
    let own =
        format!("{}{HUB_PREFIX}{}", state.integration.keys.own, state.settings.failure_domain);
    let prefix = format!("{}{HUB_PREFIX}", state.integration.keys.own);
    let mut local = state.shared.local.lock();
    let LocalState { row_cache, left_out, .. } = &mut *local;
    let mut hubs: Vec<(bool, SocketAddr)> = Vec::new();
    for (key, value) in row_cache.with_prefix(&prefix) {
        match serde_json::from_slice::<PeerEntry>(&value.value) {
            Ok(entry) => hubs.push((key != own, entry.address)),
            Err(error) => {
                let mut findings = Findings::default();
                findings.add("$", error.to_string());
                left_out.log(key, &value.value, &findings);
            }
        }
    }
    hubs.sort();
    hubs.into_iter().map(|(_, address)| address).collect()
}

/// Sends the totals of the own domain to the other hubs, and gets rows from them while the own rows
/// are stale.
async fn report_to_hubs(state: &Arc<State>) {
    let now = state.cx.now();
    let (loads, processes, is_fresh) = {
        let local = state.shared.local.lock();
        let own = local.own_loads(now);
        let (loads, processes) = local.load_reports.domain_total(&own, now);
        (loads, processes, is_fresh(local.row_cache.age(now)))
    };
    for address in hubs(state) {
        if address == state.settings.peers || !state.hub_follower.lock().may_call(address, now) {
            continue;
        }
        let request = ExchangeRequest {
            node: state.cx.node().clone(),
            loads: loads.clone(),
            domain_processes: Some(processes),
            have: None,
            large: None,
            retries: None,
        };
        let reporting = report_to_hub(state.clone(), address, request, !is_fresh);
        // A panic over what one hub answers costs this report only; the next one follows soon.
        tokio::spawn(reporting);
    }
    update_fleet_loads(state);
}

/// Sends the totals of the own domain to another hub. Gets rows as well if `needs_rows`, unless an
/// earlier call to that hub is still getting some.
async fn report_to_hub(
    state: Arc<State>,
    address: SocketAddr,
    request: ExchangeRequest,
    needs_rows: bool,
) {
    // Failures are logged where they occur; the next report follows soon.
    if needs_rows && state.getting_rows_from.lock().insert(address) {
        let _ = exchange::exchange(&state, address, request).await;
        state.getting_rows_from.lock().remove(&address);
    } else {
        let _ = exchange::report(&state, address, request).await;
    }
}

/// Updates the load of the fleet from the reports that this hub has received.
fn update_fleet_loads(state: &State) {
    let now = state.cx.now();
    let mut local = state.shared.local.lock();
    local.load_reports.expire(now);
    let (loads, processes) = local.load_reports.fleet_total(&Vec::new(), "", now);
    local.set_fleet(&loads, processes, now);
    let (address, reported_at) = (state.settings.peers, clock::since_boot());
    let report = local.report_retries(address, reported_at);
    if let Some(grant) = local.grant_retries(state.cx.node(), &report) {
        local.accept_retries(address, &grant, reported_at);
    }
}

/// Calls the hubs, that of the own domain first, until one answers with fresh rows; returns whether
/// one did.
///
/// Only the first hub that answers gets the own load, since the totals of the hubs are added up.
async fn exchange_with_hub(state: &State) -> bool {
    let mut is_reported = false;
    for address in hubs(state) {
        let reported_at = clock::since_boot();
        if !state.hub_follower.lock().may_call(address, state.cx.now()) {
            continue;
        }
        let (loads, retries) = {
            let mut local = state.shared.local.lock();
            let loads = match is_reported {
                true => Loads::new(),
                false => local.own_loads(state.cx.now()),
            };
            (loads, local.report_retries(address, reported_at))
        };
        let request = ExchangeRequest {
            node: state.cx.node().clone(),
            loads,
            domain_processes: None,
            have: None,
            large: None,
            retries: Some(retries),
        };
        let Ok(hub) = exchange::exchange(state, address, request).await else { continue };
        let now = state.cx.now();
        let mut local = state.shared.local.lock();
        if let Some(grant) = &hub.retries {
            local.accept_retries(address, grant, reported_at);
        }
        if !is_reported {
            is_reported = true;
            local.set_fleet(&hub.loads, hub.processes, now);
            local.exchange_interval = hub.pause.min(MAX_EXCHANGE_INTERVAL);
        }
        if hub.is_fresh {
            return true;
        }
    }
    false
}
