//! Keeps the local state up to date by watching the store while that is needed.
//!
//! A process watches the store itself while it is a hub, and while no hub has sent it fresh rows.
//! Otherwise it gets its rows from a hub ([`crate::peers`]), so that the load on the store grows
//! with the number of failure domains instead of the number of processes.

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

/// Capacity of the queue of changes that wait to be applied.
const CHANGE_QUEUE_LEN: usize = 256;
/// How often the process decides whether to watch the store.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long a new process waits for rows from a hub before it watches the store itself, unless it
/// finds out sooner that no hub has fresh rows.
const FIRST_HUB_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest pause between a hub's attempts to watch a store that doesn't respond; no process gets a
/// shorter limit.
const HUB_MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Average time between the attempts of all non-hub processes taken together, as far as
/// [`MAX_RETRY_PAUSE`] allows. Hubs reconnect first and update the rest.
const RETRY_PAUSE_PER_PROCESS: Duration = Duration::from_millis(40);
/// Longest pause between the attempts of any process. It is below the time within which changes
/// must take effect.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);
/// Age of the rows above which a process that is no hub watches the store itself.
const STALE_AFTER: Duration = Duration::from_millis(700);

/// Returns the service that synchronizes the local state with the store.
pub fn service() -> Service {
    Service::new(names::STORE_SYNC, &[], run)
}

struct StoreSync {
    cx: Context,
    integration: Integration,
    shared: Arc<SharedState>,
    mirror: Option<JoinHandle<()>>,
    /// Whether the mirror was started with a hub's retry pause.
    is_hub_mirror: bool,
    rx: mpsc::Receiver<MirrorEvent>,
    /// Whether the mirror has read all rows and receives every change.
    is_synced: bool,
}

async fn run(cx: Context) -> Result<(), ServiceError> {
    let integration: Integration = cx.registry().lookup(names::PROCESS)?;
    let shared: Arc<SharedState> = cx.registry().lookup(names::PROCESS)?;
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
    /// Starts or stops the mirror, according to the role of this process and the age of its rows.
    fn check(&mut self) {
        let now = self.cx.now();
        let (is_hub, age, pause, hubs_tried) = {
            let mut local = self.shared.local.lock();
            local.expire_overwritten(now);
            if self.is_synced {
                local.row_cache.mark_current(now);
            }
            let age = local.row_cache.age(now);
            (local.is_hub, age, local.exchange_interval, local.all_hubs_tried)
        };
        let bound = STALE_AFTER + pause * 2;
        // After a restart of the whole fleet no hub has rows, so waiting for one gains nothing.
        let has_waited = now > FIRST_HUB_TIMEOUT || (hubs_tried && age.is_none());
        let is_stale = age.is_none_or(|age| age > bound) && has_waited;
        match &self.mirror {
            None if is_hub || is_stale => self.start_mirror(),
            Some(_) if !is_hub && self.is_fed_by_hub() => self.stop_mirror(),
            // A process that has become a hub retries more often.
            Some(_) if is_hub && !self.is_hub_mirror && !self.is_synced => {
                self.stop_mirror();
                self.start_mirror();
            }
            _ => {}
        }
    }

    /// Returns whether a hub keeps sending fresh rows to this process.
    fn is_fed_by_hub(&self) -> bool {
        let local = self.shared.local.lock();
        let bound = STALE_AFTER / 2 + local.exchange_interval;
        local.fresh_rows_at.is_some_and(|at| self.cx.now() <= at + bound)
    }

    fn start_mirror(&mut self) {
        let (tx, rx) = mpsc::channel(CHANGE_QUEUE_LEN);
        let keys = &self.integration.keys;
        // Evacuations come first, so that a process that starts knows them before it knows endpoints.
        let prefixes = vec![
            keys.evacuations.clone(),
            keys.config.clone(),
            keys.servers.clone(),
            keys.own.clone(),
        ];
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

    /// Applies a change of the mirror and all changes queued behind it.
    fn take(&mut self, change: MirrorEvent) {
        let mut next = Some(change);
        while let Some(change) = next {
            self.apply(change);
            next = self.rx.try_recv().ok();
        }
        self.shared.dispatch_queued(self.cx.now());
        self.shared.servers_changed.notify_one();
    }

    fn apply(&mut self, change: MirrorEvent) {
        let now = self.cx.now();
        match change {
            MirrorEvent::Row { key, value } => {
                // The watch gives no revision for a deletion; it is later than all rows read so far.
                let revision = self.shared.local.lock().row_cache.revision();
                apply(&self.integration, &self.shared, RowChange { key, value, revision }, now);
            }
            MirrorEvent::WatchEnded => self.is_synced = false,
            MirrorEvent::Synced => {
                self.is_synced = true;
                self.shared.local.lock().row_cache.mark_current(now);
                self.log_store_state(true, "");
            }
            MirrorEvent::Unavailable(error) => {
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

/// Returns the longest pause between two attempts of a process to watch a store that doesn't
/// respond, in a fleet of so many `processes`.
///
/// The pause grows with the fleet, so that all processes together send a bounded rate of attempts.
pub fn max_retry_pause(is_hub: bool, processes: usize) -> Duration {
    let processes = u32::try_from(processes).unwrap_or(u32::MAX);
    if is_hub {
        return HUB_MAX_RETRY_PAUSE;
    }
    RETRY_PAUSE_PER_PROCESS.saturating_mul(processes).clamp(HUB_MAX_RETRY_PAUSE, MAX_RETRY_PAUSE)
}

/// Applies one change, whether it comes from the store or from another process.
pub(crate) fn apply(integration: &Integration, shared: &SharedState, change: RowChange, now: Mono) {
    let RowChange { key, value, revision } = change;
    if !shared.local.lock().row_cache.apply(&key, value.clone(), revision) {
        return;
    }
    if let Some(id) = key.strip_prefix(&*integration.keys.servers) {
        apply_server_row(integration, shared, id, value.as_ref(), now);
    } else if let Some(domain) = key.strip_prefix(&*integration.keys.evacuations) {
        apply_evacuation_row(shared, &key, domain, value.as_ref(), revision, now);
    } else if let Some(value) = value.filter(|_| key == integration.keys.config) {
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
    let Some(value) = value else { return shared.local.lock().remove_server(id, now) };
    let decoded = integration.decoder.decode_server(id, &value.value);
    let mut local = shared.local.lock();
    match decoded {
        Ok(server) => local.set_server(server, now),
        Err(findings) => {
            local.left_out.log(id, &value.value, &findings);
            local.set_unusable(id, now);
        }
    }
}

fn apply_evacuation_row(
    shared: &SharedState,
    key: &str,
    domain: &str,
    value: Option<&Versioned>,
    revision: u64,
    now: Mono,
) {
    let mut local = shared.local.lock();
    let Some(value) = value else { return local.cancel_evacuation(domain, revision, now) };
    let mut findings = Findings::default();
    if domain.is_empty() || domain.contains('/') {
        findings.add("$", "the key doesn't name a failure domain");
    } else if let Err(error) =
        serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(&value.value)
    {
        findings.add("$", error.to_string());
    }
    if findings.is_empty() {
        return local.request_evacuation(domain, value.mod_revision, now);
    }
    local.left_out.log(key, &value.value, &findings);
}

fn apply_config_row(integration: &Integration, shared: &SharedState, value: &Versioned) {
    let key = &integration.keys.config;
    let decoded = integration.decoder.decode_config(&value.value);
    let mut local = shared.local.lock();
    match decoded {
        Ok(config) => {
            let (config, findings) = config.checked();
            if !findings.is_empty() {
                local.left_out.log(key, &value.value, &findings);
            }
            local.set_config(config);
        }
        Err(findings) => local.left_out.log(key, &value.value, &findings),
    }
}
