//! A simulation for replays and tests: engines, processes with a group controller, daemons and the
//! record in the key-value service, with messages that take time.
//!
//! Each process has a clock of its own, at an offset to the others. Messages to a paused process
//! or engine are queued until it resumes, and messages that a paused process was about to send are
//! sent after it resumes. The simulation checks at each step that no daemon routes to a group with
//! a missing member beyond the detection bound, and at each write that the record is valid and
//! its state transitions are allowed. It collects the violations.

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

/// Simulated time of one step.
pub const STEP: Duration = Duration::from_millis(50);
/// Shortest delay of a message.
const MESSAGE_DELAY: Duration = Duration::from_millis(2);
/// Offset of each process's clock from that of the previous process.
const CLOCK_OFFSET: Duration = Duration::from_secs(1000);

/// How the key-value service behaves.
#[key]
pub enum KvMode {
    /// It answers.
    Up,
    /// Reads and writes fail, and no write is applied.
    Down,
    /// It applies writes but loses their answers.
    Lossy,
}

/// A process with a group controller, which may own the domain.
#[derive(Clone, Debug)]
pub struct ControllerProcess {
    /// Its controller.
    pub controller: GroupController,
    /// Its list of routing leases.
    pub issuer: LeaseIssuer,
    /// Whether it should own the domain.
    pub is_owner: bool,
    /// Whether it is paused.
    pub paused: bool,
    /// VMs that it cannot reach.
    pub unreachable_vms: BTreeSet<VmId>,
    /// Whether it cannot reach any daemon.
    pub daemons_unreachable: bool,
    /// Whether it cannot reach the key-value service.
    pub kv_unreachable: bool,
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

/// A simulated fabric domain with its controllers and the daemons that route to it.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// The simulated time.
    pub now: Mono,
    /// The settings of all controllers.
    pub settings: ControllerSettings,
    /// The engines.
    pub engines: BTreeMap<VmId, Engine>,
    /// VMs that an operator drains.
    pub drained: BTreeSet<VmId>,
    /// The processes that may own the domain.
    pub processes: Vec<ControllerProcess>,
    /// The routing leases that each daemon holds.
    pub daemons: Vec<RoutingLeaseTable>,
    /// How the key-value service behaves.
    pub kv_mode: KvMode,
    /// The record in the key-value service.
    pub stored: StoredRecord,
    /// Time that an engine takes to load.
    pub load_time: Duration,
    /// The violated invariants.
    pub violations: Findings,
    /// Number of calls to the key-value service so far.
    pub kv_calls: u64,
    /// Number of probes and orders sent so far.
    pub messages_sent: u64,
    queue: BTreeMap<(Mono, u64), Delivery>,
    sequence: u64,
    groups: BTreeMap<(GroupId, Generation), GroupRecord>,
    missing_since: BTreeMap<(GroupId, Generation), Mono>,
}

impl Simulation {
    /// Returns a simulation of the VMs `vms`, in which none of the `processes` processes owns the
    /// domain yet.
    pub fn new(vms: &[VmId], checks_fencing: bool, processes: usize, daemons: usize) -> Self {
        let settings = ControllerSettings::default();
        let process = |i: usize| ControllerProcess {
            controller: GroupController::new("f".into(), settings.clone(), i as u64 + 1),
            issuer: LeaseIssuer::new(process_name(i), i as u64 + 1, settings.lease_ttl),
            is_owner: false,
            paused: false,
            unreachable_vms: BTreeSet::new(),
            daemons_unreachable: false,
            kv_unreachable: false,
        };
        let engines = vms.iter().zip(1..);
        let mut simulation = Simulation {
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
        simulation.send_vm_configs();
        simulation
    }

    /// Advances the simulation to `until`.
    pub fn run_until(&mut self, until: Mono) {
        while self.now < until {
            self.step();
        }
    }

    /// Applies a transition to the stored record, as a planner would by compare-and-swap.
    pub fn apply_transition(&mut self, change: &Transition) -> Result<(), Findings> {
        let next = transition::apply(&self.stored.record, change, self.stored.revision + 1)?;
        self.store(next);
        Ok(())
    }

    /// Makes a process owner of the domain, or takes ownership away from it.
    pub fn set_owner(&mut self, process: usize, owned: bool) {
        self.processes[process].is_owner = owned;
    }

    /// Marks a VM as drained by an operator.
    pub fn drain(&mut self, vm: &VmId) {
        self.drained.insert(vm.clone());
        self.send_vm_configs();
    }

    /// Pauses or resumes a process.
    pub fn set_paused(&mut self, process: usize, paused: bool) {
        self.processes[process].paused = paused;
    }

    /// Returns the group of `replica` in the stored record.
    pub fn group(&self, replica: &str) -> Option<&GroupRecord> {
        self.stored.record.groups.iter().find(|group| &*group.replica == replica)
    }

    /// Returns the number of daemons that may route to the group of `replica` now.
    pub fn routing_daemons(&self, replica: &str) -> usize {
        let Some(group) = self.group(replica) else { return 0 };
        let tables = self.daemons.iter().enumerate();
        tables.filter(|(i, table)| table.is_routable(&group.id, self.daemon_clock(*i))).count()
    }

    fn send_vm_configs(&mut self) {
        let configs: Vec<VmConfig> = self
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
                event: ControllerEvent::VmsChanged(configs.clone()),
            });
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let awake: Vec<usize> =
            (0..self.processes.len()).filter(|i| !self.processes[*i].paused).collect();
        for process in awake {
            let (is_owner, is_active) =
                (self.processes[process].is_owner, self.processes[process].controller.is_active());
            let event = match (is_owner, is_active) {
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
        if self.processes[process].paused {
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
        // A varying delay of a few milliseconds reorders messages.
        let jitter = Duration::from_millis(self.sequence * 7919 % 13);
        self.queue.insert((self.now + MESSAGE_DELAY + jitter, self.sequence), delivery);
    }

    /// Checks that no daemon routes to a group with a missing member beyond the detection bound.
    fn check(&mut self) {
        let bound = self.settings.detection_bound();
        for (key, group) in &self.groups {
            let is_present = |member: &Member| {
                let engine = &self.engines[&member.vm];
                engine.is_there(member.boot, &group.id, group.generation, member.rank)
            };
            if group.members.iter().all(is_present) {
                self.missing_since.remove(key);
            } else {
                self.missing_since.entry(key.clone()).or_insert(self.now);
            }
        }
        for (i, table) in self.daemons.iter().enumerate() {
            let clock = self.now + CLOCK_OFFSET * (100 + i as u32);
            for view in table.views().groups.iter().filter(|view| view.is_routable(clock)) {
                let since = self.missing_since.get(&(view.id.clone(), view.generation));
                let beyond_bound = since.is_some_and(|since| self.now > *since + bound);
                self.violations.check(!beyond_bound, &view.id, || {
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
