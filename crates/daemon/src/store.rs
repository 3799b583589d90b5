//! The connection to the key-value service.
//!
//! Offers a [`BudgetedStore`] under [`names::STORE`], and the same as `Arc<dyn Store>` with the
//! priority of configuration. All calls of the process go through its share of the rates.

use std::sync::Arc;
use std::time::Duration;

use config::prelude::*;
use kernel::prelude::*;
use kv::etcd::EtcdSettings;
use kv::etcd::EtcdStore;
use kv::prelude::*;

use crate::names;

/// How long a connection to the key-value service may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Describes the service.
pub fn service(settings: Kv) -> Service {
    Service::new(names::STORE, &[], move |cx| async move {
        let store = open(&settings)?;
        let config = store.with_priority(Priority::Config);
        cx.registry().offer::<Arc<dyn Store>>(names::STORE, Arc::new(config));
        cx.registry().offer(names::STORE, store);
        cx.ready();
        cx.stopping().await;
        Ok(())
    })
}

fn open(settings: &Kv) -> Result<BudgetedStore, Fault> {
    let endpoints = settings.endpoints.iter().map(|at| format!("http://{at}").into()).collect();
    let etcd = EtcdSettings {
        call_timeout: settings.timeout,
        connect_timeout: CONNECT_TIMEOUT.min(settings.timeout),
        token: settings.token.as_ref().map(|token| token.expose().into()),
        ..EtcdSettings::new(endpoints)
    };
    let store = EtcdStore::new(etcd).map_err(|error| Fault::new("$.kv", error))?;
    let share = Share {
        reads_per_second: settings.reads_per_second,
        writes_per_second: settings.writes_per_second,
        ..Share::default()
    };
    Ok(BudgetedStore::new(Arc::new(store), share))
}
