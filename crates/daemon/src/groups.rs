//! What is known of the replica groups.
//!
//! Publishes a [`GroupTable`] under [`names::GROUPS`], from the records of the fabric domains.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use group::record::FabricRecord;
use group::record::GroupRecord;
use group::view::GroupTable;
use group::view::GroupView;
use kernel::prelude::*;
use kv::prelude::*;
use spec::prelude::Catalog;
use tokio::sync::watch;

use crate::names;

/// Prefix of the fabric domains' records in the key-value service.
pub const FABRIC_PREFIX: &str = "samphire/fabric/";
/// Wait after a failed call to the key-value service.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

type Records = BTreeMap<Box<str>, FabricRecord>;

/// The records of all fabric domains.
#[data]
#[derive(Default)]
pub struct FabricRecords {
    /// The records, in the order of the domains' names.
    pub list: Vec<FabricRecord>,
}

/// Describes the service.
pub fn service() -> Service {
    Service::new(names::GROUPS, &[names::STORE, names::CATALOG], |cx| async move {
        let store: Arc<dyn Store> = cx.registry().find(names::STORE)?;
        let catalog = cx.view::<Catalog>(names::CATALOG)?;
        let tx = cx.publish(names::GROUPS, GroupTable::default());
        let records_tx = cx.publish(names::GROUPS, FabricRecords::default());
        cx.ready();
        let records = watch::Sender::new(Records::new());
        let follow = async {
            loop {
                if let Err(error) = read_and_watch(&*store, &records).await {
                    log::warn!("keys `{FABRIC_PREFIX}`: {error}");
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        };
        let publish = publish(records.subscribe(), catalog, &tx, &records_tx);
        tokio::select! {
            () = follow => {}
            () = publish => {}
            () = cx.stopping() => {}
        }
        Ok(())
    })
}

/// Publishes the table again whenever the records or the catalog have changed.
async fn publish(
    mut records: watch::Receiver<Records>,
    mut catalog: watch::Receiver<Arc<Catalog>>,
    tx: &watch::Sender<Arc<GroupTable>>,
    records_tx: &watch::Sender<Arc<FabricRecords>>,
) {
    loop {
        let table = table(&records.borrow_and_update(), &catalog.borrow_and_update());
        tx.send_replace(Arc::new(table));
        let list = records.borrow().values().cloned().collect();
        records_tx.send_replace(Arc::new(FabricRecords { list }));
        let changed = tokio::select! {
            changed = records.changed() => changed,
            changed = catalog.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

async fn read_and_watch(
    store: &dyn Store,
    records: &watch::Sender<Records>,
) -> Result<(), KvError> {
    let mut seen = 0;
    for (key, found) in store.list(FABRIC_PREFIX).await? {
        seen = seen.max(found.mod_revision);
        note(records, key, Some(&found));
    }
    let mut changes = store.watch(FABRIC_PREFIX, seen).await?;
    while let Some(change) = changes.recv().await {
        note(records, change.key, change.value.as_ref());
    }
    Ok(())
}

fn note(records: &watch::Sender<Records>, key: Box<str>, value: Option<&Versioned>) {
    let Some(value) = value else {
        records.send_modify(|records| drop(records.remove(&key)));
        return;
    };
    match serde_json::from_slice(&value.value) {
        Ok(record) => records.send_modify(|records| drop(records.insert(key, record))),
        Err(error) => log::error!("key `{key}`: {error}; the last good record stays"),
    }
}

fn table(records: &Records, catalog: &Catalog) -> GroupTable {
    let groups = records.values().flat_map(|record| &record.groups);
    GroupTable { groups: groups.filter_map(|group| view(group, catalog)).collect() }
}

fn view(group: &GroupRecord, catalog: &Catalog) -> Option<GroupView> {
    let leader = group.members.iter().find(|member| member.rank == 0)?;
    let server = catalog.backend_servers.get(&leader.vm)?;
    Some(GroupView {
        id: group.id.clone(),
        model: group.model.clone(),
        version: group.version.clone(),
        adapters: group.adapters.clone(),
        generation: group.generation,
        state: group.state,
        leader: server.address,
        vouched_until: Mono::MAX,
        queued: 0,
        running: 0,
        reported_at: Mono::ZERO,
    })
}
