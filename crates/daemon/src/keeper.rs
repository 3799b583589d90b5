//! Keeps the replica groups and tells routing which of them are whole.
//!
//! One [`GroupController`] for each fabric domain decides; this service carries its actions out and reports
//! their outcomes. It publishes
//! - a [`GroupTable`], the groups that are vouched for, for routing;
//! - a [`VmReport`], what is known of each VM, for the planner;
//! - a [`GroupReport`], each group's state and why it is not serving, for operators;
//! - [`FabricRecords`], the records themselves, for operators too.
//!
//! The process that rendezvous hashing over the live processes picks for a domain leads its
//! keeping: it alone writes the record and orders engines. As long as processes do not exchange
//! vouchers, all others observe: they probe too, and vouch for themselves only. A
//! process that knows of no other takes the lead, which costs effort and no safety.

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

/// Time between two ticks of the keepers.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Outcomes that may wait for the service.
const OUTCOMES_DEPTH: usize = 4_096;

/// What is known of each VM.
#[data]
#[derive(Default)]
pub struct VmReport {
    /// The last word on each VM that was probed.
    pub vms: BTreeMap<VmId, VmStatus>,
    /// When it was said, on this process's monotonic clock.
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

/// Describes the service.
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

/// An outcome for the keeper of a fabric domain.
struct Outcome {
    fabric: FabricId,
    event: ControllerEvent,
}

/// What the service's parts share.
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

    /// Tells the keepers which VMs their domains have, and which of them are leaving.
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
        let gone: Vec<FabricId> = self
            .controllers
            .keys()
            .filter(|name| !by_fabric.contains_key(*name))
            .cloned()
            .collect();
        for fabric in gone {
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
        let begun = self.loads.start(now);
        let fabrics: Vec<FabricId> = self.controllers.keys().cloned().collect();
        for fabric in fabrics {
            let vms = begun.iter().filter(|vm| self.io.is_in(vm, &fabric));
            let vms: Vec<VmId> = vms.cloned().collect();
            if !vms.is_empty() {
                self.decide(&fabric, ControllerEvent::LoadAdmitted(vms));
            }
            let ownership = self.ownership(&fabric);
            self.decide(&fabric, ownership);
        }
        self.publish();
    }

    /// Returns the event that tells the keeper of `fabric` whether it leads.
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

    /// Takes this process's own vouchers in, the way that any daemon takes in a keeper's.
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

/// Publishes `state`, and wakes those who watch it only if it has changed.
fn publish_change<T: PartialEq>(tx: &watch::Sender<Arc<T>>, state: T) {
    tx.send_if_modified(|last| {
        let changed = **last != state;
        if changed {
            *last = Arc::new(state);
        }
        changed
    });
}
