//! Finds out whether this process reaches backend servers, and keeps helpers at hand while it doesn't.
//!
//! What follows from a check is decided in [`pass::paths`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use form::prelude::*;
use futures::future::join_all;
use pass::paths::Check;
use pass::paths::CheckTarget;
use pass::paths::SERVERS_PER_CHECK;
use pass::paths::spread_over_domains;
use pass::prelude::*;
use rand::Rng;
use web::pool::Probe;
use web::pool::probe;

use super::State;
use super::helpers;
use super::hubs;
use crate::decision_log;
use crate::decision_log::Record;
use crate::local_state::LocalState;

/// How long a connection to a server may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two looks at what is due when nothing fails.
const TICK: Duration = Duration::from_millis(100);
/// Time between two announcements to the hub when nothing changes.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two lists of helpers while some are needed.
const HELPERS_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two questions to other processes, and between two tries to reach single servers.
const PATHS_INTERVAL: Duration = Duration::from_millis(300);

/// What this process has done so far.
#[derive(Default)]
struct Progress {
    announced_at: Mono,
    /// The hub to which it has announced itself.
    announced_to: Option<SocketAddr>,
    helpers_at: Mono,
    paths_at: Mono,
}

/// Checks the paths to the servers until the service stops.
pub(super) async fn run(state: Arc<State>) {
    let mut progress = Progress::default();
    loop {
        let mut tick = state.cx.timer().after(TICK);
        tokio::select! {
            () = state.shared.path_failed.notified() => {}
            () = tick.tick() => {}
        }
        check_if_due(&state, &mut progress).await;
        look_at_single_paths(&state, &mut progress).await;
        keep_helpers(&state, &mut progress).await;
        announce(&state, &mut progress).await;
    }
}

async fn check_if_due(state: &State, progress: &mut Progress) {
    while let Some(check) = due_check(state) {
        let targets = targets(state, check);
        let Checked { reached, tried } = connect_to(state, &targets).await;
        let has_failed = reached == 0 && tried > 0;
        if check == Check::Idle && has_failed {
            state.shared.local.lock().endpoints.paths.suspect(state.cx.now());
            continue;
        }
        if has_failed {
            // So that no request is refused for lack of helpers as soon as the cut is known.
            refresh_helpers(state, progress).await;
        }
        end_check(state, progress, reached, tried);
    }
}

fn due_check(state: &State) -> Option<Check> {
    let now = state.cx.now();
    let endpoints = &mut state.shared.local.lock().endpoints;
    let silent_for = endpoints.silent_for(now);
    endpoints.paths.due_check(silent_for, now)
}

/// Returns the servers that a check connects to. A process that isn't cut off tries such to which no
/// connection has failed, if there are some; one that is cut off tries any.
fn targets(state: &State, check: Check) -> Vec<CheckTarget> {
    let draw = rand::rng().random_range(0..usize::MAX);
    let count = if check == Check::Idle { 1 } else { SERVERS_PER_CHECK };
    let local = state.shared.local.lock();
    let paths = &local.endpoints.paths;
    let ready = local.reports().servers().values().filter(|s| local.may_be_checked(s));
    let (failed, others): (Vec<&Server>, Vec<&Server>) =
        ready.partition(|server| paths.has_failed(&server.id));
    let servers = if paths.reach() == Reach::CutOff {
        failed.into_iter().chain(others).collect()
    } else if others.is_empty() {
        failed
    } else {
        others
    };
    spread_over_domains(servers.into_iter().map(target).collect(), count, draw)
}

pub(super) fn target(server: &Server) -> CheckTarget {
    CheckTarget {
        server: server.id.clone(),
        started_at_ms: server.started_at_ms,
        address: server.address,
        failure_domain: server.failure_domain.clone(),
    }
}

/// What connecting to some servers has shown.
struct Checked {
    /// Servers that accept the connection.
    reached: usize,
    /// Servers to which this process could try to connect.
    tried: usize,
}

/// Connects to servers; returns what that shows of each.
async fn probe_all(targets: &[CheckTarget]) -> Vec<Probe> {
    join_all(targets.iter().map(|target| probe(target.address, CONNECT_TIMEOUT))).await
}

/// Returns the servers that accept a connection.
pub(super) async fn accepting(targets: &[CheckTarget]) -> Vec<ServerId> {
    let probes = probe_all(targets).await;
    let probed = targets.iter().zip(probes).filter(|(_, probe)| *probe == Probe::Accepted);
    probed.map(|(target, _)| target.server.clone()).collect()
}

/// Connects to servers and records what that shows of the paths.
async fn connect_to(state: &State, targets: &[CheckTarget]) -> Checked {
    let probes = probe_all(targets).await;
    let now = state.cx.now();
    let endpoints = &mut state.shared.local.lock().endpoints;
    let mut checked = Checked { reached: 0, tried: 0 };
    for (CheckTarget { server, started_at_ms, .. }, probe) in targets.iter().zip(probes) {
        match probe {
            Probe::NotTried => continue,
            Probe::Refused | Probe::NoAnswer => {
                checked.tried += 1;
                endpoints.paths.record_failure(server, *started_at_ms, now);
                continue;
            }
            Probe::Accepted => {
                checked.tried += 1;
                checked.reached += 1;
            }
        }
        if endpoints.paths.is_unreachable(server, *started_at_ms) {
            decision_log::write(&Record::Path { server, state: "reached" });
        }
        endpoints.connected(server, now);
    }
    checked
}

fn end_check(state: &State, progress: &mut Progress, reached: usize, tried: usize) {
    let now = state.cx.now();
    let changed = {
        let mut local = state.shared.local.lock();
        let changed = local.endpoints.paths.check_ended(reached, tried, now);
        if changed == Some(Reach::Open) {
            local.endpoints.paths_returned();
        }
        changed.map(|reach| (reach, local.helpers.addresses(now).count()))
    };
    state.shared.paths_checked.notify_waiters();
    state.shared.dispatch_queued(now);
    let Some((reach, helpers)) = changed else { return };
    // The hub learns of it at once.
    progress.announced_to = None;
    state.metrics.cut_off.set(i64::from(reach == Reach::CutOff));
    state.shared.servers_changed.notify_one();
    let is_cut_off = reach == Reach::CutOff;
    let name = if is_cut_off { "cut off" } else { "open" };
    decision_log::write(&Record::Reach { state: name, reached, tried, helpers });
}

/// Finds out whether servers to which connections failed can be reached by others and, if so, whether the paths
/// to more servers of the same services are cut, and whether those that were cut work again.
async fn look_at_single_paths(state: &State, progress: &mut Progress) {
    let now = state.cx.now();
    let (unexplained, unreachable) = {
        let local = state.shared.local.lock();
        if local.endpoints.paths.reach() != Reach::Open || now < progress.paths_at + PATHS_INTERVAL
        {
            return;
        }
        let failures = local.endpoints.paths.unexplained_failures(now);
        let servers = local.reports().servers();
        let listed = failures
            .filter(|id| servers.get(*id).is_some_and(|server| local.may_be_checked(server)));
        let unexplained: Vec<ServerId> = listed.take(helpers::MAX_SERVERS).cloned().collect();
        let unreachable = local.endpoints.paths.unreachable_servers();
        let unreachable = unreachable
            .filter_map(|id| servers.get(id))
            .filter(|server| local.may_be_checked(server));
        (unexplained, unreachable.take(helpers::MAX_SERVERS).map(target).collect::<Vec<_>>())
    };
    if unexplained.is_empty() && unreachable.is_empty() {
        return;
    }
    progress.paths_at = now;
    connect_to(state, &unreachable).await;
    if !unexplained.is_empty() {
        explain(state, &unexplained).await;
    }
    state.shared.dispatch_queued(state.cx.now());
}

/// Asks others whether they reach servers to which connections from here have failed.
async fn explain(state: &State, failed: &[ServerId]) {
    let reached = helpers::reached_elsewhere(state, failed).await;
    if reached.is_empty() {
        return;
    }
    for server in &reached {
        decision_log::write(&Record::Path { server, state: "unreachable" });
    }
    let related = {
        let mut local = state.shared.local.lock();
        local.endpoints.paths.reached_elsewhere(&reached);
        related_servers(&local, &reached)
    };
    connect_to(state, &related).await;
}

/// Returns servers of the services of `failed` to which no connection has failed yet.
fn related_servers(local: &LocalState, failed: &[ServerId]) -> Vec<CheckTarget> {
    let servers = local.reports().servers();
    let services: BTreeSet<&ServiceId> =
        failed.iter().filter_map(|id| servers.get(id)).map(|server| &server.service).collect();
    let related = servers.values().filter(|server| {
        services.contains(&server.service)
            && local.may_be_checked(server)
            && !local.endpoints.paths.has_failed(&server.id)
    });
    let draw = rand::rng().random_range(0..usize::MAX);
    spread_over_domains(related.map(target).collect(), helpers::MAX_SERVERS, draw)
}

/// Keeps a list of helpers while this process can't reach some server that others reach.
async fn keep_helpers(state: &State, progress: &mut Progress) {
    let needs_helpers = {
        let local = state.shared.local.lock();
        let paths = &local.endpoints.paths;
        paths.reach() == Reach::CutOff || paths.unreachable_servers().next().is_some()
    };
    if needs_helpers && state.cx.now() >= progress.helpers_at + HELPERS_INTERVAL {
        refresh_helpers(state, progress).await;
    }
}

async fn refresh_helpers(state: &State, progress: &mut Progress) {
    helpers::refresh(state).await;
    progress.helpers_at = state.cx.now();
}

/// Tells the hub where this process listens and whether it reaches servers, and learns of some helpers, when
/// that is due.
async fn announce(state: &State, progress: &mut Progress) {
    let now = state.cx.now();
    let is_hub = state.shared.local.lock().is_hub;
    let first = hubs(state).into_iter().find(|address| *address != state.settings.peers);
    let Some(hub) = first else { return };
    let is_known = progress.announced_to == Some(hub);
    if is_known && now < progress.announced_at + ANNOUNCEMENT_INTERVAL {
        return;
    }
    progress.announced_at = now;
    progress.announced_to = Some(hub);
    if is_hub {
        return refresh_helpers(state, progress).await;
    }
    // A failed call is logged where it occurs; the next try follows after the interval.
    if let Ok(helpers) = helpers::announce(state, hub).await {
        helpers::set(state, &helpers);
    }
}
