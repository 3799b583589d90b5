//! Keeps the world up to date: from the store, or from a hub that follows the store.
//!
//! A process follows the store itself while it is a hub, and while no hub has told it fresh rows.

use std::sync::Arc;

use base::prelude::*;
use kernel::prelude::*;
use kv::prelude::*;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::decision_log;
use crate::decision_log::Record;
use crate::integration::Integration;
use crate::local_state::SharedState;
use crate::names;
use crate::row_cache::RowChange;

/// Changes that may wait to be applied.
const CHANGE_QUEUE_LEN: usize = 256;
/// How often it is decided whether to follow the store.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long a process waits for the first hub before it follows the store itself.
const FIRST_HUB_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest pause between tries of a hub while the store gives no answer.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Tries that all other processes make together come no closer on average: hubs are back first, and
/// tell the rest.
const RETRY_PAUSE_PER_PROCESS: Duration = Duration::from_millis(40);
/// Longest pause between tries of any process, below the time in which changes come in force.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);
/// Age of the rows at which a process that is no hub follows the store itself.
const STALE_AFTER: Duration = Duration::from_millis(700);

/// Makes the service.
pub fn service() -> Service {
    Service::new(names::STORE_SYNC, &[], run)
}

struct StoreSync {
    cx: Context,
    integration: Integration,
    shared: Arc<SharedState>,
    mirror: Option<JoinHandle<()>>,
    /// Whether the mirror was started as a hub's.
    is_hub_mirror: bool,
    rx: mpsc::Receiver<Change>,
    /// Whether the own mirror misses no change.
    is_synced: bool,
}

async fn run(cx: Context) -> Result<(), Fault> {
    let integration: Integration = cx.registry().find(names::PROCESS)?;
    let shared: Arc<SharedState> = cx.registry().find(names::PROCESS)?;
    let (_, rx) = mpsc::channel(1);
    let mut sync = StoreSync {
        cx: cx.clone(),
        integration,
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
            () = check.tick() => sync.check(),
            Some(change) = sync.rx.recv() => sync.take(change),
        }
    }
    sync.stop_mirror();
    Ok(())
}

impl StoreSync {
    /// Starts or stops following the store.
    fn check(&mut self) {
        let now = self.cx.now();
        let (is_hub, age, pause) = {
            let mut local = self.shared.local.lock();
            if self.is_synced {
                local.row_cache.mark_current(now);
            }
            (local.is_hub, local.row_cache.age(now), local.exchange_interval)
        };
        let bound = STALE_AFTER + pause * 2;
        let is_stale = age.is_none_or(|age| age > bound) && now > FIRST_HUB_TIMEOUT;
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
        let local = self.shared.local.lock();
        let bound = STALE_AFTER / 2 + local.exchange_interval;
        local.fresh_rows_at.is_some_and(|at| self.cx.now() <= at + bound)
    }

    fn start_mirror(&mut self) {
        let (tx, rx) = mpsc::channel(CHANGE_QUEUE_LEN);
        let keys = &self.integration.keys;
        let prefixes = vec![keys.declared.clone(), keys.servers.clone(), keys.own.clone()];
        let (known, is_hub, processes) = {
            let local = self.shared.local.lock();
            (local.row_cache.rows(), local.is_hub, local.processes())
        };
        self.is_hub_mirror = is_hub;
        let pause = max_retry_pause(is_hub, processes);
        let mirror = kv::mirror::run(self.integration.store.clone(), prefixes, known, pause, tx);
        self.mirror = Some(tokio::spawn(mirror));
        self.rx = rx;
        decision_log::write(&Record::Dependency { name: "store", state: "followed", problem: "" });
    }

    fn stop_mirror(&mut self) {
        if let Some(mirror) = self.mirror.take() {
            mirror.abort();
            self.is_synced = false;
            decision_log::write(&Record::Dependency {
                name: "store",
                state: "left to a hub",
                problem: "",
            });
        }
    }

    /// Applies a change of the own mirror and all that wait behind it.
    fn take(&mut self, change: Change) {
        let mut next = Some(change);
        while let Some(change) = next {
            self.apply(change);
            next = self.rx.try_recv().ok();
        }
        self.shared.dispatch_queued(self.cx.now());
        self.shared.servers_changed.notify_one();
    }

    fn apply(&mut self, change: Change) {
        let now = self.cx.now();
        match change {
            Change::Row { key, value } => {
                // A deletion of the watch comes after all that was read before.
                let revision = self.shared.local.lock().row_cache.revision();
                apply(&self.integration, &self.shared, RowChange { key, value, revision }, now);
            }
            Change::Ended => self.is_synced = false,
            Change::Synced => {
                self.is_synced = true;
                self.shared.local.lock().row_cache.mark_current(now);
                self.log_store_state(true, "");
            }
            Change::Lost(error) => {
                self.is_synced = false;
                self.log_store_state(false, &error.to_string());
            }
        }
    }

    fn log_store_state(&self, up: bool, problem: &str) {
        let mut local = self.shared.local.lock();
        if local.store_up != up {
            let state = if up { "up" } else { "down" };
            decision_log::write(&Record::Dependency { name: "store", state, problem });
        }
        local.store_up = up;
    }
}

/// Returns how long a process may wait between two tries to follow a store that gives no answer, in
/// a fleet of so many `processes`.
pub fn max_retry_pause(is_hub: bool, processes: usize) -> Duration {
    let processes = u32::try_from(processes).unwrap_or(u32::MAX);
    if is_hub {
        return MIN_RETRY_PAUSE;
    }
    RETRY_PAUSE_PER_PROCESS.saturating_mul(processes).clamp(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE)
}

/// Applies one row, wherever it comes from.
pub(crate) fn apply(
    integration: &Integration,
    shared: &SharedState,
    changed: RowChange,
    now: Mono,
) {
    let RowChange { key, value, revision } = changed;
    if !shared.local.lock().row_cache.apply(&key, value.clone(), revision) {
        return;
    }
    if let Some(id) = key.strip_prefix(&*integration.keys.servers) {
        apply_server_row(integration, shared, id, value.as_ref(), now);
    } else if let Some(value) = value.filter(|_| key == integration.keys.declared) {
        apply_config_row(integration, shared, &value);
    }
}

fn apply_server_row(
    integration: &Integration,
    shared: &SharedState,
    id: &str,
    value: Option<&Versioned>,
    now: Mono,
) {
    let decoded = value.map(|value| integration.decoder.decode_server(id, &value.value));
    let mut local = shared.local.lock();
    match decoded {
        Some(Ok(server)) => local.set_server(server),
        Some(Err(findings)) => {
            decision_log::write(&Record::LeftOut { key: id, findings: &findings });
            local.remove_server(id, now);
        }
        None => local.remove_server(id, now),
    }
}

fn apply_config_row(integration: &Integration, shared: &SharedState, value: &Versioned) {
    match integration.decoder.decode_config(&value.value) {
        Ok(declared) => {
            let findings = declared.verify();
            if !findings.is_empty() {
                decision_log::write(&Record::LeftOut {
                    key: &integration.keys.declared,
                    findings: &findings,
                });
            }
            shared.local.lock().set_config(declared);
        }
        Err(findings) => {
            decision_log::write(&Record::LeftOut {
                key: &integration.keys.declared,
                findings: &findings,
            });
        }
    }
}
