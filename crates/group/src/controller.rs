//! The group controller of one fabric domain, as a pure state machine.
//!
//! [`GroupController::decide`] takes an event and the current time and returns actions; the
//! caller does the I/O and reports its outcomes as further events. The controller probes every
//! member and compares its boot id, generation, rank and version with the record. It grants
//! routing leases for healthy groups, revokes a lease as soon as a member is unhealthy, orders
//! members to load, and takes groups through their states by compare-and-swap on the record.
//!
//! Ownership of a domain is best effort: two processes may both act as its owner. This is safe,
//! because
//! - each change of the record is one compare-and-swap on the revision that was read;
//! - each order carries its generation as a fencing token, and is sent only for a limited time
//!   after the record was confirmed ([`crate::fence`]);
//! - a routing lease rests on probes that this controller itself sent, and expires `lease_ttl`
//!   after the oldest of them was sent.
//!
//! A probe answer causes a review of the VM's own group only; all other work happens on ticks and
//! on changes of the record or the VM list. So the cost is proportional to the number of probes,
//! and of ticks times members.
//!
//! Lease revocations come first among the actions of one call. The transitions of all groups are
//! combined into one write for each tick, so the failure of a whole domain costs only a few
//! writes.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::order::OrderMessage;
use crate::order::OrderOutcome;
use crate::probe::Load;
use crate::probe::ProbeAnswer;
use crate::record::FabricRecord;
use crate::record::GroupRecord;
use crate::settings::ControllerSettings;

mod group;
mod member;
mod orders;
mod write;

pub use self::group::GroupStatus;
use self::group::TrackedGroup;
use self::member::TrackedVm;
pub use self::member::VmStatus;
use self::write::KnownRecord;

/// A VM of the domain, as configured and as listed by the VM list.
#[data]
pub struct VmConfig {
    /// The VM.
    pub vm: VmId,
    /// Whether its engine refuses an order with an old fencing token.
    pub checks_fencing: bool,
    /// Whether an operator or the VM list has marked it as leaving.
    pub leaving: bool,
}

/// The record as stored in the key-value service.
#[data]
pub struct StoredRecord {
    /// The store revision of its last write.
    pub revision: u64,
    /// The record.
    pub record: FabricRecord,
}

/// The outcome of a write of the record.
#[data]
pub enum WriteOutcome {
    /// The write was applied at this revision.
    Done(u64),
    /// The stored value had another revision; nothing was written.
    Conflict,
    /// The write was not applied: the service is down or its rate limit is exhausted.
    Refused,
    /// The write may have been applied.
    Unknown,
}

/// An input of the controller.
#[data]
pub enum ControllerEvent {
    /// This process owns the domain from now on.
    OwnershipAcquired,
    /// Another process owns the domain. This one probes too, and grants routing leases to its own
    /// daemon only.
    Observing,
    /// Another process owns the domain; this one stops probing and lets its leases expire.
    OwnershipLost,
    /// The VMs of the domain, replacing the earlier list.
    VmsChanged(Vec<VmConfig>),
    /// A read of the record succeeded; `None` if no record is stored.
    RecordRead(Option<StoredRecord>),
    /// A read of the record failed.
    RecordReadFailed,
    /// The write with this id ended with this outcome.
    RecordWritten(WriteId, WriteOutcome),
    /// A VM answered the probe with this number.
    ProbeAnswered(VmId, u64, ProbeAnswer),
    /// The probe with this number got no answer.
    ProbeFailed(VmId, u64),
    /// The order with this number ended with this outcome.
    OrderFinished(VmId, u64, OrderOutcome),
    /// The weight load scheduler allows these VMs to load.
    LoadAdmitted(Vec<VmId>),
    /// Time has passed.
    Tick,
}

/// An output of the controller, to be carried out by its caller.
#[data]
pub enum ControllerAction {
    /// Revoke the routing lease of a group at all daemons, at once.
    RevokeLease(GroupId, Generation),
    /// Grant a routing lease for a group whose oldest answered probe was sent at the given time.
    GrantLease(Box<GroupRecord>, Mono),
    /// Stop renewing the routing lease of a group, without revoking it.
    LetLeaseExpire(GroupId),
    /// Report a group's load to routing.
    ReportLoad(GroupId, Load),
    /// Probe a VM; the number identifies the probe.
    Probe(VmId, u64),
    /// Send the order with this number, unless the given deadline has passed by then.
    Order(VmId, u64, OrderMessage, Mono),
    /// Ask the weight load scheduler to let a VM load.
    RequestLoad {
        /// The VM.
        vm: VmId,
        /// Its group.
        group: GroupId,
        /// The version to load.
        version: VersionId,
        /// Number of members of the group.
        members: u32,
        /// Number of members that are not ready yet.
        missing: u32,
    },
    /// Tell the weight load scheduler that a VM has loaded or no longer needs to.
    FinishLoad(VmId),
    /// Read the record.
    ReadRecord,
    /// Write the record if the stored revision is still this one (0: no record is stored).
    WriteRecord(u64, Box<FabricRecord>),
    /// Append an event to the timeline.
    LogEvent(Event),
}

/// The groups that an event may affect.
enum Scope {
    All,
    GroupOf(VmId),
    Nothing,
}

impl Scope {
    fn of(event: &ControllerEvent) -> Self {
        match event {
            ControllerEvent::ProbeAnswered(vm, ..) | ControllerEvent::ProbeFailed(vm, _) => {
                Scope::GroupOf(vm.clone())
            }
            ControllerEvent::OrderFinished(..)
            | ControllerEvent::LoadAdmitted(_)
            | ControllerEvent::RecordReadFailed => Scope::Nothing,
            _ => Scope::All,
        }
    }
}

/// The group controller of one fabric domain.
#[derive(Clone, Debug)]
pub struct GroupController {
    settings: ControllerSettings,
    fabric: FabricId,
    rng: ChaCha8Rng,
    active: bool,
    /// Whether it also writes the record and sends orders, besides probing and granting leases.
    is_owner: bool,
    known: Option<KnownRecord>,
    /// When the pending read was sent.
    pending_read: Option<Mono>,
    /// The id of the pending write, and when it was sent.
    pending_write: Option<(WriteId, Mono)>,
    next_read: Mono,
    next_write: Mono,
    vms: BTreeMap<VmId, TrackedVm>,
    groups: BTreeMap<GroupId, TrackedGroup>,
    last_number: u64,
}

impl GroupController {
    /// Returns an inactive controller: it starts with `OwnershipAcquired` or `Observing`.
    pub fn new(fabric: FabricId, settings: ControllerSettings, seed: u64) -> Self {
        GroupController {
            settings,
            fabric,
            rng: ChaCha8Rng::seed_from_u64(seed),
            active: false,
            is_owner: false,
            known: None,
            pending_read: None,
            pending_write: None,
            next_read: Mono::ZERO,
            next_write: Mono::ZERO,
            vms: BTreeMap::new(),
            groups: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Handles an event at `now` and returns the resulting actions, lease revocations first.
    pub fn decide(&mut self, event: ControllerEvent, now: Mono) -> Vec<ControllerAction> {
        let mut actions = Vec::new();
        let scope = Scope::of(&event);
        self.handle(event, now, &mut actions);
        match scope {
            Scope::All if self.active => self.review(now, &mut actions),
            Scope::GroupOf(vm) if self.active => self.review_group_of(&vm, now, &mut actions),
            _ => {}
        }
        actions.sort_by_key(|action| !matches!(action, ControllerAction::RevokeLease(..)));
        actions
    }

    /// Returns whether this process probes the domain, as its owner or as an observer.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Returns the record as last read or successfully written.
    pub fn record(&self) -> Option<&FabricRecord> {
        self.known.as_ref().map(|known| &known.record)
    }

    /// Returns when the oldest probe that supports a current lease was sent.
    pub fn oldest_probe(&self) -> Option<Mono> {
        let sent_at = self.groups.values().filter_map(TrackedGroup::oldest_probe_sent_at);
        sent_at.min()
    }

    /// Returns the status of each VM of the domain, for the planner.
    pub fn vm_statuses(&self, now: Mono) -> Vec<VmStatus> {
        self.vms.iter().map(|(vm, tracked)| tracked.status(vm, now)).collect()
    }

    /// Returns each group's state and its unhealthy member, if any, for operators.
    pub fn group_statuses(&self) -> Vec<GroupStatus> {
        let groups = self.record().map_or(&[][..], |record| &record.groups);
        groups.iter().map(|group| self.group_status(group)).collect()
    }

    fn handle(&mut self, event: ControllerEvent, now: Mono, actions: &mut Vec<ControllerAction>) {
        match event {
            ControllerEvent::OwnershipAcquired => self.activate(true, now),
            ControllerEvent::Observing => self.activate(false, now),
            ControllerEvent::OwnershipLost => self.deactivate(actions),
            ControllerEvent::VmsChanged(facts) => self.set_vms(facts, now),
            ControllerEvent::RecordRead(found) => self.on_read(found, now, actions),
            ControllerEvent::RecordReadFailed => self.pending_read = None,
            ControllerEvent::RecordWritten(id, outcome) => {
                self.on_written(id, outcome, now, actions)
            }
            ControllerEvent::ProbeAnswered(vm, probe, answer) => {
                self.on_answer(&vm, probe, answer, now, actions);
            }
            ControllerEvent::ProbeFailed(vm, probe) => {
                if let Some(tracked) = self.vms.get_mut(&vm) {
                    tracked.probe_failed(probe);
                }
            }
            ControllerEvent::OrderFinished(vm, order, outcome) => {
                self.on_ordered(&vm, order, outcome, actions);
            }
            ControllerEvent::LoadAdmitted(vms) => {
                for vm in vms {
                    if let Some(tracked) = self.vms.get_mut(&vm) {
                        tracked.load_admitted = true;
                    }
                }
            }
            ControllerEvent::Tick => {}
        }
    }

    /// Starts probing. The state of an earlier active period is discarded, since it may be stale;
    /// a controller that is active already keeps its state.
    fn activate(&mut self, is_owner: bool, now: Mono) {
        self.is_owner = is_owner;
        if self.active {
            return;
        }
        self.active = true;
        self.known = None;
        self.pending_read = None;
        self.pending_write = None;
        self.next_read = now;
        self.groups.clear();
        let spread = self.settings.probe_period / 4;
        for tracked in self.vms.values_mut() {
            tracked.reset(now + spread.mul_f64(self.rng.random()));
        }
    }

    fn deactivate(&mut self, actions: &mut Vec<ControllerAction>) {
        self.active = false;
        for (id, tracked) in &mut self.groups {
            if tracked.clear_lease() {
                actions.push(ControllerAction::LetLeaseExpire(id.clone()));
            }
        }
    }

    fn set_vms(&mut self, configs: Vec<VmConfig>, now: Mono) {
        self.vms.retain(|vm, _| configs.iter().any(|config| config.vm == *vm));
        let spread = self.settings.probe_period / 4;
        for config in configs {
            let first = now + spread.mul_f64(self.rng.random());
            let tracked = self.vms.entry(config.vm).or_insert_with(|| TrackedVm::new(first));
            tracked.checks_fencing = config.checks_fencing;
            tracked.leaving = config.leaving;
        }
    }

    /// Takes all decisions that are due at `now`.
    fn review(&mut self, now: Mono, actions: &mut Vec<ControllerAction>) {
        self.review_probes(now, actions);
        self.read_record_if_due(now, actions);
        let transitions = self.review_groups(now, actions);
        if self.is_owner {
            self.write_transitions(transitions, now, actions);
            self.review_orders(now, actions);
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
