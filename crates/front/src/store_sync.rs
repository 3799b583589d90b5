//! Keeps the local state up to date by watching the store while that is needed.
//!
//! [`rows::store_follower`] decides when that is; otherwise a process gets its rows from a hub ([`crate::peers`]).

use std::sync::Arc;
use std::time::Instant;

use base::prelude::*;
use kernel::prelude::*;
use kv::prelude::*;
use route::crash_row::CrashRow;
use rows::prelude::*;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::clock::wall_millis;
use crate::crash_reports;
use crate::decision_log;
use crate::decision_log::Record;
use crate::decision_log::millis;
use crate::integration::Integration;
use crate::local_state::SharedState;
use crate::metrics::Metrics;
use crate::names;

/// Capacity of the queue of changes that wait to be applied.
const CHANGE_QUEUE_LEN: usize = 256;
/// How often the process decides whether to watch the store.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Longest pause between a hub's attempts to watch a store that doesn't respond; no process gets a
/// shorter limit.
const HUB_MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Average time between the attempts of all non-hub processes taken together, as far as
/// [`MAX_RETRY_PAUSE`] allows. Hubs reconnect first and update the rest.
const RETRY_PAUSE_PER_PROCESS: Duration = Duration::from_millis(40);
/// Longest pause between the attempts of any process. It is below the time within which changes
/// must take effect.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);
/// Returns the service that synchronizes the local state with the store.
pub fn service() -> Service {
    Service::new(names::STORE_SYNC, &[], run)
}

struct StoreSync {
    cx: Context,
    integration: Integration,
    shared: Arc<SharedState>,
    metrics: Metrics,
    store_follower: StoreFollower,
    mirror: Option<JoinHandle<()>>,
    rx: mpsc::Receiver<MirrorEvent>,
}

async fn run(cx: Context) -> Result<(), ServiceError> {
    let integration: Integration = cx.registry().lookup(names::PROCESS)?;
    let shared: Arc<SharedState> = cx.registry().lookup(names::PROCESS)?;
    let (_, rx) = mpsc::channel(1);
    let mut sync = StoreSync {
        cx: cx.clone(),
        integration,
        shared,
        metrics: cx.registry().lookup(names::PROCESS)?,
        store_follower: StoreFollower::default(),
        mirror: None,
        rx,
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
        let (action, age) = {
            let mut local = self.shared.local.lock();
            local.expire_overwritten(now);
            let situation = Situation {
                is_hub: local.is_hub,
                interval: local.exchange_interval,
                all_hubs_tried: local.all_hubs_tried,
            };
            let action = self.store_follower.check(&situation, &local.row_cache, now);
            (action, local.row_cache.age(now))
        };
        match action {
            StoreAction::Follow => self.start_mirror(age),
            StoreAction::FollowAsHub => {
                self.stop_mirror();
                self.start_mirror(age);
            }
            StoreAction::Leave => self.stop_mirror(),
            StoreAction::Keep => {}
        }
    }

    /// Starts the mirror; `age` is that of the rows.
    fn start_mirror(&mut self, age: Option<Duration>) {
        let (tx, rx) = mpsc::channel(CHANGE_QUEUE_LEN);
        let keys = &self.integration.keys;
        // Evacuations and crashes come first, so that a process that starts knows them before it knows endpoints.
        let prefixes = vec![
            keys.evacuations.clone(),
            keys.own.clone(),
            keys.config.clone(),
            keys.servers.clone(),
        ];
        let (known, is_hub, processes) = {
            let local = self.shared.local.lock();
            (local.row_cache.rows(), local.is_hub, local.processes())
        };
        let pause = max_retry_pause(is_hub, processes);
        let mirror = kv::mirror::run(self.integration.store.clone(), prefixes, known, pause, tx);
        self.mirror = Some(self.cx.spawn("mirror of the store", mirror));
        self.rx = rx;
        decision_log::write(&Record::Store { state: "followed", rows_age_ms: age.map(millis) });
    }

    fn stop_mirror(&mut self) {
        if let Some(mirror) = self.mirror.take() {
            mirror.abort();
            // What is queued is of a state that it no longer follows.
            (_, self.rx) = mpsc::channel(1);
            let age = self.shared.local.lock().row_cache.age(self.cx.now());
            let rows_age_ms = age.map(millis);
            decision_log::write(&Record::Store { state: "left to a hub", rows_age_ms });
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
                self.writer().apply(RowChange { key, value, revision }, now);
            }
            MirrorEvent::WatchEnded => self.store_follower.interrupted(),
            MirrorEvent::Synced => {
                self.store_follower.synced();
                self.log_store_state(true, "");
            }
            MirrorEvent::Current { asked_at } => {
                let at = now.saturating_sub(asked_at.elapsed());
                self.shared.local.lock().row_cache.mark_current(at, RowSource::Store);
            }
            MirrorEvent::Unavailable(error) => {
                self.store_follower.interrupted();
                self.log_store_state(false, &error.to_string());
            }
        }
    }

    fn writer(&self) -> RowWriter<'_> {
        RowWriter {
            integration: &self.integration,
            shared: &self.shared,
            metrics: &self.metrics,
            source: RowSource::Store,
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

/// Applies changes of rows, whether they come from the store or from another process.
pub(crate) struct RowWriter<'a> {
    pub(crate) integration: &'a Integration,
    pub(crate) shared: &'a SharedState,
    pub(crate) metrics: &'a Metrics,
    /// Where the changes come from.
    pub(crate) source: RowSource,
}

impl RowWriter<'_> {
    pub(crate) fn apply(&self, change: RowChange, now: Mono) {
        let RowChange { key, value, revision } = change;
        let (integration, shared) = (self.integration, self.shared);
        if !shared.local.lock().row_cache.apply(&key, value.clone(), revision) {
            return;
        }
        if let Some(id) = key.strip_prefix(&*integration.keys.servers) {
            apply_server_row(integration, shared, id, value.as_ref(), now);
        } else if let Some(domain) = key.strip_prefix(&*integration.keys.evacuations) {
            apply_evacuation_row(shared, &key, domain, value.as_ref(), revision, now);
        } else if let Some(value) = value {
            if key == integration.keys.config {
                self.apply_config_row(&value, now);
            } else if key.strip_prefix(&*integration.keys.own) == Some(crash_reports::ROW_KEY) {
                apply_crash_row(shared, &key, &value);
            }
        }
    }

    fn apply_config_row(&self, value: &Versioned, now: Mono) {
        let key = &self.integration.keys.config;
        let began = Instant::now();
        let decoded = self.integration.decoder.decode_config(&value.value);
        let mut local = self.shared.local.lock();
        let (config, findings) = match decoded {
            Ok(config) => config.checked(),
            Err(findings) => return local.left_out.log(key, &value.value, &findings),
        };
        if !findings.is_empty() {
            local.left_out.log(key, &value.value, &findings);
        }
        let (version, routes) = (config.version, config.routes.len());
        if !local.set_config(config) {
            return;
        }
        let took = began.elapsed();
        // The rows matched the store without this version so long ago.
        let delay = local.row_cache.age(now).map(|age| age + took);
        if let Some(delay) = delay {
            self.metrics.config_delay_seconds.observe(delay.as_secs_f64());
        }
        decision_log::write(&Record::InForce {
            version,
            routes,
            bytes: value.value.len(),
            took_ms: millis(took),
            delay_ms: delay.map(millis),
            source: &self.source.to_string(),
        });
    }
}

fn apply_crash_row(shared: &SharedState, key: &str, value: &Versioned) {
    let decoded = CrashRow::try_from(&*value.value);
    let mut local = shared.local.lock();
    match decoded {
        Ok(row) => {
            let refused = local.crash_reports.merge_row(&row, wall_millis());
            if refused > 0 {
                let requests = row.len();
                decision_log::write(&Record::CrashRow { state: "read", requests, refused });
            }
        }
        Err(findings) => local.left_out.log(key, &value.value, &findings),
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
