//! Group control: runs the controllers of the replica groups and grants the routing leases by which
//! routing knows which groups are healthy.
//!
//! One [`GroupController`] for each fabric domain decides. This service carries out the
//! controller's actions and returns their outcomes as events. It publishes
//! - a [`GroupTable`] for routing: the groups with a routing lease;
//! - a [`VmReport`] for the planner: the status of each VM;
//! - a [`GroupReport`] for operators: each group's state and why it is not serving;
//! - [`FabricRecords`] for operators: the records themselves.
//!
//! Each domain is owned by the process that rendezvous hashing selects among the live processes; of
//! all controllers of the domain, only the owner's writes the record and sends orders to engines.
//! Routing leases are not exchanged between processes yet. Therefore all other processes observe
//! the domain: they probe its VMs too, and grant routing leases to themselves only. A process that
//! knows no other process acts as the owner of every domain; that costs extra work but is safe.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;
use config::settings::Settings;
use group::controller::GroupStatus;
use group::prelude::*;
use group::routing_lease::issuer::LeaseIssuer;
use kernel::prelude::*;
use kv::prelude::*;
use spec::prelude::Catalog;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::member::MembershipView;
use crate::names;
use crate::vm_list::LeavingVms;

mod act;
mod io;

/// Time between two ticks of the controllers.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Capacity of the channel of outcomes.
const OUTCOMES_DEPTH: usize = 4_096;

/// The status of each VM.
#[data]
#[derive(Default)]
pub struct VmReport {
    /// The status of each VM that was probed.
    pub vms: BTreeMap<VmId, VmStatus>,
    /// Time of the report, on this process's monotonic clock.
    pub at: Mono,
}

/// Each group's state and why it is not serving.
#[data]
#[derive(Default)]
pub struct GroupReport {
    /// The groups, by fabric domain and name.
    pub groups: Vec<GroupStatus>,
}

/// The records of all fabric domains, as this process knows them.
#[data]
#[derive(Default)]
pub struct FabricRecords {
    /// The records, in the order of the domains' names.
    pub list: Vec<FabricRecord>,
}

/// Returns the group control service.
pub fn service() -> Service {
    let needs = &[names::STORE, names::MEMBER, names::CATALOG, names::VM_LIST];
    Service::new(names::GROUPS, needs, |cx| async move {
        let mut service = GroupControlService::new(&cx)?;
        let mut ticks = cx.every(TICK_PERIOD);
        cx.ready();
        service.apply_catalog();
        loop {
            tokio::select! {
                () = cx.stopping() => return Ok(()),
                () = ticks.tick() => service.tick(),
                outcome = service.outcomes.recv() => {
                    if let Some(outcome) = outcome {
                        service.decide(&outcome.fabric, outcome.event);
                    }
                }
                _ = service.catalog.changed() => service.apply_catalog(),
                _ = service.leaving.changed() => service.apply_catalog(),
            }
        }
    })
}

/// The outcome of an action, for the controller of a fabric domain.
struct Outcome {
    fabric: FabricId,
    event: ControllerEvent,
}

/// The controllers of all fabric domains, with their inputs and outputs.
struct GroupControlService {
    cx: Context,
    controller_settings: ControllerSettings,
    io: io::Io,
    outcomes: mpsc::Receiver<Outcome>,
    catalog: watch::Receiver<Arc<Catalog>>,
    leaving: watch::Receiver<Arc<LeavingVms>>,
    members: watch::Receiver<Arc<MembershipView>>,
    controllers: BTreeMap<FabricId, GroupController>,
    lease_issuer: LeaseIssuer,
    routing_leases: RoutingLeaseTable,
    loads: WeightLoadScheduler,
    groups_tx: watch::Sender<Arc<GroupTable>>,
    vms_tx: watch::Sender<Arc<VmReport>>,
    report_tx: watch::Sender<Arc<GroupReport>>,
    records_tx: watch::Sender<Arc<FabricRecords>>,
}

impl GroupControlService {
    fn new(cx: &Context) -> Result<Self, ServiceError> {
        let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
        let store: BudgetedStore = cx.registry().lookup(names::STORE)?;
        let store: Arc<dyn Store> = Arc::new(store.with_priority(Priority::Group));
        let controller_settings = ControllerSettings {
            probe_period: settings.group_controller.probe_period,
            probe_timeout: settings.group_controller.probe_timeout,
            lease_ttl: settings.group_controller.lease_ttl,
            ..ControllerSettings::default()
        };
        controller_settings
            .verify()
            .into_result(())
            .map_err(|f| ServiceError::new("$.keeper", f))?;
        let (outcomes_tx, outcomes) = mpsc::channel(OUTCOMES_DEPTH);
        let ttl = controller_settings.lease_ttl;
        let rate = settings.group_controller.weights_bytes_per_second;
        Ok(GroupControlService {
            io: io::Io::new(cx.clone(), store, outcomes_tx, controller_settings.clone()),
            controller_settings,
            outcomes,
            catalog: cx.subscribe(names::CATALOG)?,
            leaving: cx.subscribe(names::VM_LIST)?,
            members: cx.subscribe(names::MEMBER)?,
            controllers: BTreeMap::new(),
            lease_issuer: LeaseIssuer::new(cx.node().clone(), cx.boot(), ttl),
            routing_leases: RoutingLeaseTable::new(cx.node().clone(), cx.boot()),
            loads: WeightLoadScheduler::new(rate, rate),
            groups_tx: cx.publish(names::GROUPS, GroupTable::default()),
            vms_tx: cx.publish(names::GROUPS, VmReport::default()),
            report_tx: cx.publish(names::GROUPS, GroupReport::default()),
            records_tx: cx.publish(names::GROUPS, FabricRecords::default()),
            cx: cx.clone(),
        })
    }

    /// Creates and removes controllers according to the catalog, and informs each one which VMs its
    /// domain has and which of them are leaving.
    fn apply_catalog(&mut self) {
        let catalog = self.catalog.borrow_and_update().clone();
        let leaving = self.leaving.borrow_and_update().clone();
        let mut by_fabric: BTreeMap<FabricId, Vec<VmConfig>> = BTreeMap::new();
        for (name, server) in catalog.backend_servers.iter() {
            by_fabric.entry(server.fabric.clone()).or_default().push(VmConfig {
                vm: name.into(),
                checks_fencing: server.checks_fencing,
                leaving: server.drain || leaving.vms.contains(name),
            });
        }
        self.io.set_catalog(catalog);
        let removed: Vec<FabricId> = self
            .controllers
            .keys()
            .filter(|name| !by_fabric.contains_key(*name))
            .cloned()
            .collect();
        for fabric in removed {
            self.decide(&fabric, ControllerEvent::OwnershipLost);
            self.controllers.remove(&fabric);
        }
        for (fabric, vms) in by_fabric {
            let settings = self.controller_settings.clone();
            self.controllers
                .entry(fabric.clone())
                .or_insert_with(|| GroupController::new(fabric.clone(), settings, random_id()));
            self.decide(&fabric, ControllerEvent::VmsChanged(vms));
        }
    }

    fn tick(&mut self) {
        let now = self.cx.now();
        let admitted = self.loads.start(now);
        let fabrics: Vec<FabricId> = self.controllers.keys().cloned().collect();
        for fabric in fabrics {
            let vms = admitted.iter().filter(|vm| self.io.is_in(vm, &fabric));
            let vms: Vec<VmId> = vms.cloned().collect();
            if !vms.is_empty() {
                self.decide(&fabric, ControllerEvent::LoadAdmitted(vms));
            }
            let ownership = self.ownership(&fabric);
            self.decide(&fabric, ownership);
        }
        self.publish();
    }

    /// Returns the event that informs the controller of `fabric` whether this process owns the
    /// domain.
    fn ownership(&self, fabric: &str) -> ControllerEvent {
        let me = &**self.cx.node();
        if self.members.borrow().owner(fabric, me) == me {
            ControllerEvent::OwnershipAcquired
        } else {
            ControllerEvent::Observing
        }
    }

    fn publish(&mut self) {
        self.exchange_routing_leases();
        let now = self.cx.now();
        let statuses = self.controllers.values().flat_map(|controller| controller.vm_statuses(now));
        let vms = statuses.map(|status| (status.vm.clone(), status)).collect();
        self.vms_tx.send_replace(Arc::new(VmReport { vms, at: now }));
        let groups = self.controllers.values().flat_map(GroupController::group_statuses).collect();
        publish_change(&self.report_tx, GroupReport { groups });
        let list = self.controllers.values().filter_map(GroupController::record).cloned().collect();
        publish_change(&self.records_tx, FabricRecords { list });
    }

    /// Receives the routing leases that this process grants, through the same poll and message by
    /// which a daemon receives those of another process.
    fn exchange_routing_leases(&mut self) {
        let now = self.cx.now();
        let node = self.cx.node().clone();
        self.lease_issuer.poll(&self.routing_leases.poll(&node, now));
        let oldest = self.controllers.values().filter_map(GroupController::oldest_probe).min();
        let message = self.lease_issuer.message(&node, oldest, now);
        self.routing_leases.receive(&message, now);
        self.groups_tx.send_replace(Arc::new(self.routing_leases.views()));
    }
}

/// Publishes `state`; the watchers are woken only if it has changed.
fn publish_change<T: PartialEq>(tx: &watch::Sender<Arc<T>>, state: T) {
    tx.send_if_modified(|last| {
        let changed = **last != state;
        if changed {
            *last = Arc::new(state);
        }
        changed
    });
}
