//! Keeps the world up to date: from the store, or from a hub that follows the store.
//!
//! A process follows the store itself while it is a hub, and while no hub has told it fresh rows.

use std::sync::Arc;

use base::prelude::*;
use kernel::prelude::*;
use kv::prelude::*;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::edges::Edges;
use crate::feed::Changed;
use crate::names;
use crate::report;
use crate::report::Line;
use crate::world::Shared;

/// Changes that may wait to be applied.
const DEPTH_CHANGES: usize = 256;
/// How often it is decided whether to follow the store.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long a process waits for the first hub before it follows the store itself.
const FIRST_OWN_AFTER: Duration = Duration::from_millis(2_000);
/// Longest pause between tries of a hub while the store gives no answer.
const HUB_RETRY: Duration = Duration::from_millis(500);
/// Tries that all other processes make together come no closer on average: hubs are back first, and
/// tell the rest.
const FLEET_RETRY: Duration = Duration::from_millis(40);
/// Longest pause between tries of any process, below the time in which changes come in force.
const LONGEST_RETRY: Duration = Duration::from_secs(8);
/// Age of the rows at which a process that is no hub follows the store itself.
const OWN_AFTER: Duration = Duration::from_millis(700);

/// Makes the service.
pub fn service() -> Service {
    Service::new(names::FOLLOW, &[], run)
}

struct Follow {
    cx: Context,
    edges: Edges,
    shared: Arc<Shared>,
    mirror: Option<JoinHandle<()>>,
    /// Whether the mirror was started as a hub's.
    is_hub_mirror: bool,
    rx: mpsc::Receiver<Change>,
    /// Whether the own mirror misses no change.
    is_synced: bool,
}

async fn run(cx: Context) -> Result<(), Fault> {
    let edges: Edges = cx.registry().find(names::PROCESS)?;
    let shared: Arc<Shared> = cx.registry().find(names::PROCESS)?;
    let (_, rx) = mpsc::channel(1);
    let mut follow = Follow {
        cx: cx.clone(),
        edges,
        shared,
        mirror: None,
        is_hub_mirror: false,
        rx,
        is_synced: false,
    };
    let mut check = cx.every(CHECK_PERIOD);
    cx.ready();
    loop {
        tokio::select! {
            () = cx.stopping() => break,
            () = check.tick() => follow.check(),
            Some(change) = follow.rx.recv() => follow.take(change),
        }
    }
    follow.stop_mirror();
    Ok(())
}

impl Follow {
    /// Starts or stops following the store.
    fn check(&mut self) {
        let now = self.cx.now();
        let (is_hub, age, pause) = {
            let mut world = self.shared.world.lock();
            if self.is_synced {
                world.feed.confirm(now);
            }
            (world.is_hub, world.feed.age(now), world.exchange_pause)
        };
        let bound = OWN_AFTER + pause * 2;
        let is_stale = age.is_none_or(|age| age > bound) && now > FIRST_OWN_AFTER;
        match &self.mirror {
            None if is_hub || is_stale => self.start_mirror(),
            Some(_) if !is_hub && self.is_told() => self.stop_mirror(),
            Some(_) if is_hub && !self.is_hub_mirror && !self.is_synced => {
                self.stop_mirror();
                self.start_mirror();
            }
            _ => {}
        }
    }

    /// Returns whether a hub tells this process fresh rows.
    fn is_told(&self) -> bool {
        let world = self.shared.world.lock();
        let bound = OWN_AFTER / 2 + world.exchange_pause;
        world.told_at.is_some_and(|at| self.cx.now() <= at + bound)
    }

    fn start_mirror(&mut self) {
        let (tx, rx) = mpsc::channel(DEPTH_CHANGES);
        let keys = &self.edges.keys;
        let prefixes = vec![keys.declared.clone(), keys.servers.clone(), keys.own.clone()];
        let (known, is_hub, processes) = {
            let world = self.shared.world.lock();
            (world.feed.rows(), world.is_hub, world.processes())
        };
        self.is_hub_mirror = is_hub;
        let pause = longest_pause(is_hub, processes);
        let mirror = kv::mirror::run(self.edges.store.clone(), prefixes, known, pause, tx);
        self.mirror = Some(tokio::spawn(mirror));
        self.rx = rx;
        report::write(&Line::Dependency { name: "store", state: "followed", problem: "" });
    }

    fn stop_mirror(&mut self) {
        if let Some(mirror) = self.mirror.take() {
            mirror.abort();
            self.is_synced = false;
            report::write(&Line::Dependency { name: "store", state: "left to a hub", problem: "" });
        }
    }

    /// Applies a change of the own mirror and all that wait behind it.
    fn take(&mut self, change: Change) {
        let mut next = Some(change);
        while let Some(change) = next {
            self.apply(change);
            next = self.rx.try_recv().ok();
        }
        self.shared.pump(self.cx.now());
        self.shared.servers_changed.notify_one();
    }

    fn apply(&mut self, change: Change) {
        let now = self.cx.now();
        match change {
            Change::Row { key, value } => {
                // A deletion of the watch comes after all that was read before.
                let revision = self.shared.world.lock().feed.revision();
                apply(&self.edges, &self.shared, Changed { key, value, revision }, now);
            }
            Change::Ended => self.is_synced = false,
            Change::Synced => {
                self.is_synced = true;
                self.shared.world.lock().feed.confirm(now);
                self.tell_store(true, "");
            }
            Change::Lost(error) => {
                self.is_synced = false;
                self.tell_store(false, &error.to_string());
            }
        }
    }

    fn tell_store(&self, up: bool, problem: &str) {
        let mut world = self.shared.world.lock();
        if world.store_up != up {
            let state = if up { "up" } else { "down" };
            report::write(&Line::Dependency { name: "store", state, problem });
        }
        world.store_up = up;
    }
}

/// Returns how long a process may wait between two tries to follow a store that gives no answer, in
/// a fleet of so many `processes`.
pub fn longest_pause(is_hub: bool, processes: usize) -> Duration {
    let processes = u32::try_from(processes).unwrap_or(u32::MAX);
    if is_hub {
        return HUB_RETRY;
    }
    FLEET_RETRY.saturating_mul(processes).clamp(HUB_RETRY, LONGEST_RETRY)
}

/// Applies one row, wherever it comes from.
pub(crate) fn apply(edges: &Edges, shared: &Shared, changed: Changed, now: Mono) {
    let Changed { key, value, revision } = changed;
    if !shared.world.lock().feed.apply(&key, value.clone(), revision) {
        return;
    }
    if let Some(id) = key.strip_prefix(&*edges.keys.servers) {
        server_row(edges, shared, id, value.as_ref(), now);
    } else if let Some(value) = value.filter(|_| key == edges.keys.declared) {
        declared_row(edges, shared, &value);
    }
}

fn server_row(edges: &Edges, shared: &Shared, id: &str, value: Option<&Versioned>, now: Mono) {
    let decoded = value.map(|value| edges.decode.server(id, &value.value));
    let mut world = shared.world.lock();
    match decoded {
        Some(Ok(server)) => world.set_server(server),
        Some(Err(findings)) => {
            report::write(&Line::LeftOut { key: id, findings: &findings });
            world.remove_server(id, now);
        }
        None => world.remove_server(id, now),
    }
}

fn declared_row(edges: &Edges, shared: &Shared, value: &Versioned) {
    match edges.decode.declared(&value.value) {
        Ok(declared) => {
            let findings = declared.verify();
            if !findings.is_empty() {
                report::write(&Line::LeftOut { key: &edges.keys.declared, findings: &findings });
            }
            shared.world.lock().set_declared(declared);
        }
        Err(findings) => {
            report::write(&Line::LeftOut { key: &edges.keys.declared, findings: &findings });
        }
    }
}
