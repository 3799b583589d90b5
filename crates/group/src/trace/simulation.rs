//! A small world for replays and tests: engines, keepers' processes, daemons and a value in the
//! key-value service, with messages that take time.
//!
//! Each process has a clock of its own, set apart by an offset. What is sent to a frozen process
//! or engine waits until it thaws; what a frozen process was about to send leaves after it thaws.
//! The world checks at each step that no daemon routes to a group with a missing member beyond
//! the detection bound, and that every record written is sound; breaches are kept.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;

use crate::controller::ControllerEvent;
use crate::controller::GroupController;
use crate::controller::StoredRecord;
use crate::controller::VmConfig;
use crate::order::OrderMessage;
use crate::record::FabricRecord;
use crate::record::GroupRecord;
use crate::record::Member;
use crate::routing_lease::LeaseMessage;
use crate::routing_lease::LeasePoll;
use crate::routing_lease::issuer::LeaseIssuer;
use crate::routing_lease::table::RoutingLeaseTable;
use crate::settings::ControllerSettings;
use crate::trace::engine::Engine;
use crate::transition;
use crate::transition::Transition;

mod deliver;

/// Time between two steps of the world.
pub const STEP: Duration = Duration::from_millis(50);
/// Shortest time that a message takes.
const MESSAGE_DELAY: Duration = Duration::from_millis(2);
/// The offset of each process's clock from the one before.
const CLOCK_OFFSET: Duration = Duration::from_secs(1000);

/// How the key-value service behaves.
#[key]
pub enum KvMode {
    /// It answers.
    Up,
    /// It does not answer and carries nothing out.
    Down,
    /// It carries writes out and loses their answers.
    Lossy,
}

/// A process that may keep the domain.
#[derive(Clone, Debug)]
pub struct ControllerProcess {
    /// Its keeper.
    pub controller: GroupController,
    /// Its list of vouchers.
    pub issuer: LeaseIssuer,
    /// Whether it should keep the domain.
    pub is_owner: bool,
    /// Whether it is frozen.
    pub frozen: bool,
    /// VMs that it does not reach.
    pub cut_vms: BTreeSet<VmId>,
    /// Whether it reaches no daemon.
    pub cut_daemons: bool,
    /// Whether it does not reach the key-value service.
    pub cut_kv: bool,
}

#[derive(Clone, Debug)]
enum Delivery {
    Probe { process: usize, vm: VmId, number: u64 },
    Order { process: usize, vm: VmId, number: u64, message: OrderMessage, deadline: Mono },
    Event { process: usize, event: ControllerEvent },
    Kv { process: usize, write: Option<(u64, Box<FabricRecord>)> },
    Poll { process: usize, poll: LeasePoll },
    Lease { process: usize, daemon: usize, message: LeaseMessage },
}

/// A small world.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// The time.
    pub now: Mono,
    /// The settings of all keepers.
    pub settings: ControllerSettings,
    /// The engines.
    pub engines: BTreeMap<VmId, Engine>,
    /// VMs that an operator drains.
    pub drained: BTreeSet<VmId>,
    /// The processes that may keep the domain.
    pub processes: Vec<ControllerProcess>,
    /// What each daemon holds.
    pub daemons: Vec<RoutingLeaseTable>,
    /// How the key-value service behaves.
    pub kv_mode: KvMode,
    /// The value in the key-value service.
    pub stored: StoredRecord,
    /// How long an engine takes to load.
    pub load_time: Duration,
    /// What must never have happened and did.
    pub violations: Findings,
    /// Calls to the key-value service so far.
    pub kv_calls: u64,
    /// Probes and orders so far.
    pub messages_sent: u64,
    queue: BTreeMap<(Mono, u64), Delivery>,
    sequence: u64,
    groups: BTreeMap<(GroupId, Generation), GroupRecord>,
    missing_since: BTreeMap<(GroupId, Generation), Mono>,
}

impl Simulation {
    /// Returns a world of the VMs `vms`, with `processes` processes that do not keep it yet.
    pub fn new(vms: &[VmId], checks_fencing: bool, processes: usize, daemons: usize) -> Self {
        let settings = ControllerSettings::default();
        let process = |i: usize| ControllerProcess {
            controller: GroupController::new("f".into(), settings.clone(), i as u64 + 1),
            issuer: LeaseIssuer::new(process_name(i), i as u64 + 1, settings.lease_ttl),
            is_owner: false,
            frozen: false,
            cut_vms: BTreeSet::new(),
            cut_daemons: false,
            cut_kv: false,
        };
        let engines = vms.iter().zip(1..);
        let mut world = Simulation {
            now: Mono::ZERO,
            processes: (0..processes).map(process).collect(),
            settings,
            engines: engines
                .map(|(vm, boot)| (vm.clone(), Engine::new(boot, checks_fencing)))
                .collect(),
            drained: BTreeSet::new(),
            daemons: (0..daemons)
                .map(|i| RoutingLeaseTable::new(daemon_name(i), i as u64 + 1))
                .collect(),
            kv_mode: KvMode::Up,
            stored: StoredRecord { revision: 0, record: FabricRecord::empty("f".into()) },
            load_time: Duration::from_millis(500),
            violations: Findings::default(),
            kv_calls: 0,
            messages_sent: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            groups: BTreeMap::new(),
            missing_since: BTreeMap::new(),
        };
        world.send_vm_configs();
        world
    }

    /// Lets time pass until `until`.
    pub fn run_until(&mut self, until: Mono) {
        while self.now < until {
            self.step();
        }
    }

    /// Changes the record as a planner would, in one compare-and-swap.
    pub fn apply_transition(&mut self, change: &Transition) -> Result<(), Findings> {
        let next = transition::apply(&self.stored.record, change, self.stored.revision + 1)?;
        self.store(next);
        Ok(())
    }

    /// Gives the keeping to a process, or takes it away.
    pub fn set_owner(&mut self, process: usize, owned: bool) {
        self.processes[process].is_owner = owned;
    }

    /// Marks a VM as drained by an operator.
    pub fn drain(&mut self, vm: &VmId) {
        self.drained.insert(vm.clone());
        self.send_vm_configs();
    }

    /// Thaws or freezes a process.
    pub fn freeze(&mut self, process: usize, frozen: bool) {
        self.processes[process].frozen = frozen;
    }

    /// Returns the group of `replica` as the key-value service holds it.
    pub fn group(&self, replica: &str) -> Option<&GroupRecord> {
        self.stored.record.groups.iter().find(|group| &*group.replica == replica)
    }

    /// Returns how many daemons may route to the group of `replica` now.
    pub fn routing_daemons(&self, replica: &str) -> usize {
        let Some(group) = self.group(replica) else { return 0 };
        let tables = self.daemons.iter().enumerate();
        tables.filter(|(i, table)| table.is_routable(&group.id, self.daemon_clock(*i))).count()
    }

    fn send_vm_configs(&mut self) {
        let facts: Vec<VmConfig> = self
            .engines
            .iter()
            .map(|(vm, engine)| VmConfig {
                vm: vm.clone(),
                checks_fencing: engine.checks_fencing,
                leaving: self.drained.contains(vm),
            })
            .collect();
        for process in 0..self.processes.len() {
            self.send(Delivery::Event {
                process,
                event: ControllerEvent::VmsChanged(facts.clone()),
            });
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let awake: Vec<usize> =
            (0..self.processes.len()).filter(|i| !self.processes[*i].frozen).collect();
        for process in awake {
            let (owns, owned) =
                (self.processes[process].is_owner, self.processes[process].controller.is_active());
            let event = match (owns, owned) {
                (true, false) => ControllerEvent::OwnershipAcquired,
                (false, true) => ControllerEvent::OwnershipLost,
                _ => ControllerEvent::Tick,
            };
            self.decide(process, event);
        }
        if self.now.as_millis().is_multiple_of(self.settings.heartbeat_period.as_millis()) {
            self.exchange_heartbeats();
        }
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let delivery = entry.remove();
            self.deliver(delivery);
        }
        self.check();
    }

    fn exchange_heartbeats(&mut self) {
        for process in 0..self.processes.len() {
            for daemon in 0..self.daemons.len() {
                let clock = self.daemon_clock(daemon);
                let poll = self.daemons[daemon].poll(&process_name(process), clock);
                self.send(Delivery::Poll { process, poll });
                self.send_leases(process, daemon);
            }
        }
    }

    fn send_leases(&mut self, process: usize, daemon: usize) {
        if self.processes[process].frozen {
            return;
        }
        let clock = self.process_clock(process);
        let from = &self.processes[process];
        let message =
            from.issuer.message(&daemon_name(daemon), from.controller.oldest_probe(), clock);
        self.send(Delivery::Lease { process, daemon, message });
    }

    fn send(&mut self, delivery: Delivery) {
        self.sequence += 1;
        // Messages overtake each other by a few milliseconds.
        let jitter = Duration::from_millis(self.sequence * 7919 % 13);
        self.queue.insert((self.now + MESSAGE_DELAY + jitter, self.sequence), delivery);
    }

    /// Checks that no daemon routes to a group with a missing member beyond the bound.
    fn check(&mut self) {
        let bound = self.settings.detection_bound();
        for (key, group) in &self.groups {
            let there = |member: &Member| {
                let engine = &self.engines[&member.vm];
                engine.is_there(member.boot, &group.id, group.generation, member.rank)
            };
            if group.members.iter().all(there) {
                self.missing_since.remove(key);
            } else {
                self.missing_since.entry(key.clone()).or_insert(self.now);
            }
        }
        for (i, table) in self.daemons.iter().enumerate() {
            let clock = self.now + CLOCK_OFFSET * (100 + i as u32);
            for view in table.views().groups.iter().filter(|view| view.is_routable(clock)) {
                let since = self.missing_since.get(&(view.id.clone(), view.generation));
                let beyond = since.is_some_and(|since| self.now > *since + bound);
                self.violations.check(!beyond, &view.id, || {
                    format!("daemon {i} routes to it at {:?}, missing since {since:?}", self.now)
                });
            }
        }
    }

    fn process_clock(&self, process: usize) -> Mono {
        self.now + CLOCK_OFFSET * process as u32
    }

    fn daemon_clock(&self, daemon: usize) -> Mono {
        self.now + CLOCK_OFFSET * (100 + daemon as u32)
    }
}

fn process_name(process: usize) -> NodeId {
    format!("process{process}").into()
}

fn daemon_name(daemon: usize) -> NodeId {
    format!("daemon{daemon}").into()
}
