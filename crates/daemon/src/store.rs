//! The connection to the key-value service.
//!
//! Registers a [`BudgetedStore`] under [`names::STORE`], and the same store as `Arc<dyn Store>`
//! with the priority of configuration. The store limits the rate of all calls of the process. Calls
//! are counted by kind, and the timeline records when the key-value service goes down and comes
//! up.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::Event;
use config::prelude::*;
use kernel::prelude::*;
use kv::etcd::EtcdSettings;
use kv::etcd::EtcdStore;
use kv::prelude::*;
use prometheus::IntCounterVec;

use crate::metrics::Metrics;
use crate::metrics::counters;
use crate::names;

/// Maximum time for establishing a connection to the key-value service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two checks of the store's counters and of whether it is up.
const OBSERVE_PERIOD: Duration = Duration::from_millis(500);

/// Returns the service.
pub fn service(settings: Kv) -> Service {
    Service::new(names::STORE, &[], move |cx| async move {
        let store = open(&settings)?;
        let config = store.with_priority(Priority::Config);
        cx.registry().register::<Arc<dyn Store>>(names::STORE, Arc::new(config));
        cx.registry().register(names::STORE, store.clone());
        let metrics: Metrics = cx.registry().lookup(names::PROCESS)?;
        let help = "Calls to the key-value service by kind and by how they ended.";
        let calls = counters(metrics.registry(), "samphire_kv_calls_total", help, &["kind"]);
        cx.ready();
        tokio::select! {
            () = observe(&cx, &store, &calls) => {}
            () = cx.stopping() => {}
        }
        Ok(())
    })
}

/// Updates the metrics from the store's counters and records outages, until cancelled.
async fn observe(cx: &Context, store: &BudgetedStore, calls: &IntCounterVec) {
    let mut ticks = cx.every(OBSERVE_PERIOD);
    let mut was_up = true;
    loop {
        ticks.tick().await;
        for (kind, count) in by_kind(&store.counts()) {
            let counter = calls.with_label_values(&[kind]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        let is_up = store.is_up();
        if is_up != was_up {
            let state = if is_up { "up" } else { "down" };
            log::warn!("the key-value service is {state}");
            cx.record(Event::Kv { state: state.into() });
        }
        was_up = is_up;
    }
}

fn by_kind(counts: &CallCounts) -> [(&'static str, u64); 10] {
    [
        ("get", counts.gets),
        ("list", counts.lists),
        ("swap", counts.swaps),
        ("delete", counts.deletes),
        ("watch", counts.watches),
        ("conflict", counts.conflicts),
        ("unclear", counts.unclear),
        ("down", counts.down),
        ("limited", counts.limited),
        ("held_back", counts.held_back),
    ]
}

fn open(settings: &Kv) -> Result<BudgetedStore, ServiceError> {
    let endpoints = settings.endpoints.iter().map(|at| format!("http://{at}").into()).collect();
    let etcd = EtcdSettings {
        call_timeout: settings.timeout,
        connect_timeout: CONNECT_TIMEOUT.min(settings.timeout),
        token: settings.token.as_ref().map(|token| token.expose().into()),
        ..EtcdSettings::new(endpoints)
    };
    let store = EtcdStore::new(etcd).map_err(|error| ServiceError::new("$.kv", error))?;
    let share = RateBudget {
        reads_per_second: settings.reads_per_second,
        writes_per_second: settings.writes_per_second,
        ..RateBudget::default()
    };
    Ok(BudgetedStore::new(Arc::new(store), share))
}
