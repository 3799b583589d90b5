//! Probes, orders and calls to the key-value service. Each runs as a task that reports its outcome
//! as an event of the controller.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use engine::prelude as wire;
use engine::prelude::OrderAnswer;
use engine::prelude::OrderKind;
use group::prelude::*;
use group::size;
use http::Method;
use kernel::prelude::*;
use kv::prelude::*;
use spec::prelude::Catalog;
use tokio::sync::mpsc;
use web::client::ClientError;
use web::prelude::Client;

use crate::keeper::Outcome;

/// Maximum time for establishing a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The input and output of the group controllers.
pub(super) struct Io {
    cx: Context,
    store: Arc<dyn Store>,
    client: Client,
    outcomes: mpsc::Sender<Outcome>,
    settings: ControllerSettings,
    catalog: Arc<Catalog>,
}

impl Io {
    pub(super) fn new(
        cx: Context,
        store: Arc<dyn Store>,
        outcomes: mpsc::Sender<Outcome>,
        settings: ControllerSettings,
    ) -> Self {
        let client = Client::pooled(CONNECT_TIMEOUT.min(settings.probe_timeout));
        Io { cx, store, client, outcomes, settings, catalog: Arc::default() }
    }

    pub(super) fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = catalog;
    }

    /// Returns whether `vm` belongs to `fabric`.
    pub(super) fn is_in(&self, vm: &str, fabric: &str) -> bool {
        self.catalog.backend_servers.get(vm).is_some_and(|server| &*server.fabric == fabric)
    }

    /// Returns the number of bytes of `version` that each of `members` members loads.
    pub(super) fn member_bytes(&self, version: &str, members: u32) -> u64 {
        let bytes = self.catalog.versions.get(version).map_or(0, |version| version.weight_bytes);
        bytes / u64::from(members.max(1))
    }

    /// Returns what routing must know of a group; `None` if the catalog has no address for its rank
    /// 0 any more.
    pub(super) fn endpoint(&self, group: &GroupRecord) -> Option<GroupEndpoint> {
        Some(GroupEndpoint {
            id: group.id.clone(),
            model: group.model.clone(),
            version: group.version.clone(),
            adapters: group.adapters.clone(),
            generation: group.generation,
            leader: self.address(&group.members.first()?.vm)?,
        })
    }

    pub(super) fn probe(&self, fabric: &FabricId, vm: VmId, number: u64) {
        let address = self.address(&vm);
        let (client, timeout) = (self.client.clone(), self.settings.probe_timeout);
        self.spawn(fabric, async move {
            let Some(address) = address else { return ControllerEvent::ProbeFailed(vm, number) };
            let status =
                client.json::<(), wire::Status>(address, Method::GET, "/v1/status", None, timeout);
            match status.await {
                Ok(status) if status.vm == vm => {
                    ControllerEvent::ProbeAnswered(vm, number, probe_answer(status))
                }
                Ok(status) => {
                    log::error!(
                        "VM `{vm}`: the probe of {address} was answered by VM `{}`",
                        status.vm
                    );
                    ControllerEvent::ProbeFailed(vm, number)
                }
                Err(_) => ControllerEvent::ProbeFailed(vm, number),
            }
        });
    }

    pub(super) fn order(
        &self,
        fabric: &FabricId,
        vm: VmId,
        number: u64,
        message: OrderMessage,
        deadline: Mono,
    ) {
        let address = self.address(&vm);
        let orders = self.engine_orders(&message);
        let (client, cx) = (self.client.clone(), self.cx.clone());
        let timeout = self.settings.max_order_delay;
        self.spawn(fabric, async move {
            let Some(address) = address else {
                return ControllerEvent::OrderFinished(vm, number, OrderOutcome::Failed);
            };
            for order in orders {
                // The process may have been paused since the order was decided.
                if cx.now() >= deadline {
                    return ControllerEvent::OrderFinished(vm, number, OrderOutcome::Failed);
                }
                let outcome = send_order(&client, address, &order, timeout).await;
                if outcome != OrderOutcome::Done {
                    return ControllerEvent::OrderFinished(vm, number, outcome);
                }
            }
            ControllerEvent::OrderFinished(vm, number, OrderOutcome::Done)
        });
    }

    pub(super) fn read(&self, fabric: &FabricId) {
        let (store, key) = (self.store.clone(), size::record_key(fabric, 0));
        self.spawn(fabric, async move {
            match store.get(&key).await {
                Ok(None) => ControllerEvent::RecordRead(None),
                Ok(Some(found)) => match FabricRecord::try_from(&*found.value) {
                    Ok(record) => {
                        let revision = found.mod_revision;
                        ControllerEvent::RecordRead(Some(StoredRecord { revision, record }))
                    }
                    Err(findings) => {
                        log::error!("key `{key}`: {findings}; the last valid record stays in use");
                        ControllerEvent::RecordReadFailed
                    }
                },
                Err(error) => {
                    log::debug!("key `{key}`: {error}");
                    ControllerEvent::RecordReadFailed
                }
            }
        });
    }

    pub(super) fn write(&self, fabric: &FabricId, expected: u64, record: &FabricRecord) {
        let (store, key) = (self.store.clone(), size::record_key(fabric, 0));
        let (id, text) = (record.write_id, record.to_text());
        self.spawn(fabric, async move {
            let outcome = match store.compare_and_swap(&key, expected, text.into()).await {
                Ok(CasResult::Done { mod_revision }) => WriteOutcome::Done(mod_revision),
                Ok(CasResult::Conflict { .. }) => WriteOutcome::Conflict,
                Err(KvError::Unavailable | KvError::RateLimited { .. }) => WriteOutcome::Refused,
                Err(error) => {
                    log::warn!("key `{key}`: {error}");
                    WriteOutcome::Unknown
                }
            };
            ControllerEvent::RecordWritten(id, outcome)
        });
    }

    fn address(&self, vm: &str) -> Option<SocketAddr> {
        self.catalog.backend_servers.get(vm).map(|server| server.address)
    }

    /// Returns the engine orders that make up `message`, in the order of sending.
    fn engine_orders(&self, message: &OrderMessage) -> Vec<wire::Order> {
        let kinds = match &message.order {
            Order::Release => vec![OrderKind::Release],
            Order::Load { model, version, adapters, rank, members } => {
                let count = members.len() as u32;
                let at = members.iter().filter_map(|vm| self.address(vm)).collect();
                let weights = self.catalog.versions.get(version);
                let mut kinds = vec![
                    OrderKind::Assign { rank: *rank, members: at },
                    OrderKind::Load {
                        model: model.clone(),
                        version: version.clone(),
                        weights: weights.map_or_else(Box::default, |row| row.weights.clone()),
                        weight_bytes: self.member_bytes(version, count),
                    },
                ];
                let adapters = adapters.iter().filter_map(|adapter| {
                    let row = self.catalog.adapters.get(adapter)?;
                    Some(OrderKind::LoadAdapter {
                        adapter: adapter.clone(),
                        weights: row.weights.clone(),
                        weight_bytes: row.weight_bytes / u64::from(count.max(1)),
                    })
                });
                kinds.extend(adapters);
                kinds
            }
        };
        let order = |kind| wire::Order {
            group: message.group.clone(),
            generation: message.generation,
            kind,
        };
        kinds.into_iter().map(order).collect()
    }

    fn spawn(
        &self,
        fabric: &FabricId,
        work: impl Future<Output = ControllerEvent> + Send + 'static,
    ) {
        let (outcomes, fabric) = (self.outcomes.clone(), fabric.clone());
        tokio::spawn(async move {
            let event = work.await;
            // The receiver is gone only if the service has ended.
            let _ = outcomes.send(Outcome { fabric, event }).await;
        });
    }
}

async fn send_order(
    client: &Client,
    address: SocketAddr,
    order: &wire::Order,
    timeout: Duration,
) -> OrderOutcome {
    match client.json(address, Method::POST, "/v1/order", Some(order), timeout).await {
        Ok(OrderAnswer::Done | OrderAnswer::Accepted) => OrderOutcome::Done,
        Ok(OrderAnswer::Fenced { .. }) => OrderOutcome::Fenced,
        Ok(OrderAnswer::Failed { problem }) => {
            log::error!("the engine at {address} failed to carry out an order: {problem}");
            OrderOutcome::Failed
        }
        Err(ClientError::NotSent { .. } | ClientError::Status { .. }) => OrderOutcome::Failed,
        Err(ClientError::Incomplete { .. }) => OrderOutcome::Unclear,
    }
}

fn probe_answer(status: wire::Status) -> ProbeAnswer {
    let assignment = status.group.map(|group| Assignment {
        group,
        generation: status.generation,
        rank: status.rank,
        version: status.version,
        adapters: status.adapters,
    });
    ProbeAnswer {
        boot: status.boot,
        assignment,
        ready: status.ready,
        leaving: status.leaving,
        load: Load { queued: status.load.queued, running: status.load.running },
    }
}
