//! The accepted configuration in force in this process.
//!
//! Publishes a [`Catalog`] under [`names::CATALOG`]. It is read from the key-value service, then
//! watched; a lower revision is never put in force.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use kernel::prelude::*;
use kv::prelude::*;
use spec::prelude::CATALOG_KEY;
use spec::prelude::Catalog;
use tokio::sync::watch;

use crate::metrics::Metrics;
use crate::names;

/// Wait after a failed call to the key-value service.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Describes the service.
pub fn service() -> Service {
    Service::new(names::CATALOG, &[names::STORE], |cx| async move {
        let store: Arc<dyn Store> = cx.registry().find(names::STORE)?;
        let metrics: Metrics = cx.registry().find(names::PROCESS)?;
        let tx = cx.publish(names::CATALOG, Catalog::default());
        cx.ready();
        let in_force = InForce { cx: cx.clone(), tx, metrics };
        tokio::select! {
            () = in_force.follow(store) => {}
            () = cx.stopping() => {}
        }
        Ok(())
    })
}

struct InForce {
    cx: Context,
    tx: watch::Sender<Arc<Catalog>>,
    metrics: Metrics,
}

impl InForce {
    async fn follow(&self, store: Arc<dyn Store>) {
        loop {
            if let Err(error) = self.read_and_watch(&*store).await {
                log::warn!("key `{CATALOG_KEY}`: {error}");
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn read_and_watch(&self, store: &dyn Store) -> Result<(), KvError> {
        let mut seen = 0;
        if let Some(found) = store.get(CATALOG_KEY).await? {
            seen = found.mod_revision;
            self.put_in_force(&found.value);
        }
        let mut changes = store.watch(CATALOG_KEY, seen).await?;
        while let Some(change) = changes.recv().await {
            if let Some(value) = change.value {
                self.put_in_force(&value.value);
            }
        }
        Ok(())
    }

    fn put_in_force(&self, bytes: &[u8]) {
        let catalog: Catalog = match serde_json::from_slice(bytes) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!("key `{CATALOG_KEY}`: {error}; the revision in force stays");
                return;
            }
        };
        let revision = catalog.revision;
        if revision <= self.tx.borrow().revision {
            return;
        }
        self.tx.send_replace(Arc::new(catalog));
        self.metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.cx.record(Event::InForce { revision, source: "kv".into() });
        log::info!("revision {revision} is in force");
    }
}
