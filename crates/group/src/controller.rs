//! The keeper of one fabric domain's groups, as a pure state machine.
//!
//! [`GroupController::decide`] takes an event and the time and returns actions; the shell around it does
//! the I/O and reports outcomes as further events. The keeper probes every member, compares boot
//! id, generation, rank and version with the record, vouches for groups that are whole, withdraws
//! at the first doubt, and moves groups through their states by compare-and-swap.
//!
//! Being the keeper is a soft matter: two processes may both believe that they are. Nothing is
//! unsafe then, because
//! - each change of the record is one compare-and-swap on the version that was read;
//! - each order carries its generation, and leaves only while the keeper's right to order stands
//!   ([`crate::fence`]);
//! - a voucher is backed by probes that this very keeper sent, and holds only `vouch_ttl` from
//!   their sending.
//!
//! An answer to a probe is looked at for its own group only; everything else happens on ticks, so
//! the cost follows probes and ticks times members.
//!
//! Withdrawals stand first among the actions of a call. Moves of all groups are gathered into
//! one write for each tick, so that a domain that goes dark costs a few writes.

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

/// What the configuration and the VM list say of a VM of the domain.
#[data]
pub struct VmConfig {
    /// The VM.
    pub vm: VmId,
    /// Whether its engine refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Whether an operator or the VM list says that it is leaving.
    pub leaving: bool,
}

/// A value as the key-value service holds it.
#[data]
pub struct StoredRecord {
    /// The service's revision of its last write.
    pub revision: u64,
    /// The record.
    pub record: FabricRecord,
}

/// How a write ended.
#[data]
pub enum WriteOutcome {
    /// It stands, with this revision.
    Done(u64),
    /// Another value stood there.
    Conflict,
    /// It was not carried out: the service is down or its rate is exhausted.
    Refused,
    /// It may have been carried out.
    Unknown,
}

/// What a keeper is told.
#[data]
pub enum ControllerEvent {
    /// This process owns the domain's keeping from now on.
    OwnershipAcquired,
    /// Another process owns it; this one only probes and vouches for itself from now on.
    Observing,
    /// Another process owns it from now on.
    OwnershipLost,
    /// The VMs of the domain and what is known of them.
    VmsChanged(Vec<VmConfig>),
    /// A read of the record ended; `None` if no value stands.
    RecordRead(Option<StoredRecord>),
    /// A read of the record got no answer.
    RecordReadFailed,
    /// The write with this id ended.
    RecordWritten(WriteId, WriteOutcome),
    /// A VM answered the probe of this number.
    ProbeAnswered(VmId, u64, ProbeAnswer),
    /// The probe of this number got no answer.
    ProbeFailed(VmId, u64),
    /// The order of this number ended.
    OrderFinished(VmId, u64, OrderOutcome),
    /// The load schedule lets these VMs load.
    LoadAdmitted(Vec<VmId>),
    /// Time has passed.
    Tick,
}

/// What a keeper asks its shell to do.
#[data]
pub enum ControllerAction {
    /// Withdraw the voucher for a group, at all daemons, at once.
    RevokeLease(GroupId, Generation),
    /// Vouch for a group whose oldest probe was sent at the given time.
    GrantLease(Box<GroupRecord>, Mono),
    /// Let the voucher for a group run out.
    LetLeaseExpire(GroupId),
    /// Pass a group's load on to routing.
    ReportLoad(GroupId, Load),
    /// Probe a VM.
    Probe(VmId, u64),
    /// Send an order, unless it is later than the given time when it is about to leave.
    Order(VmId, u64, OrderMessage, Mono),
    /// Ask the load schedule to let a VM load.
    RequestLoad {
        /// The VM.
        vm: VmId,
        /// Its group.
        group: GroupId,
        /// The version to load.
        version: VersionId,
        /// Members of the group.
        members: u32,
        /// Members that are not ready yet.
        missing: u32,
    },
    /// Tell the load schedule that a VM needs no load any more.
    FinishLoad(VmId),
    /// Read the record.
    ReadRecord,
    /// Write the record if the value with this revision still stands (0: none).
    WriteRecord(u64, Box<FabricRecord>),
    /// Record an event of the time line.
    LogEvent(Event),
}

/// What an event may have changed.
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

/// The keeper of one fabric domain's groups.
#[derive(Clone, Debug)]
pub struct GroupController {
    settings: ControllerSettings,
    fabric: FabricId,
    rng: ChaCha8Rng,
    active: bool,
    /// Whether it writes and orders, besides probing and vouching.
    is_owner: bool,
    known: Option<KnownRecord>,
    /// When the read under way was sent.
    pending_read: Option<Mono>,
    /// When the write under way was sent, and its id.
    pending_write: Option<(WriteId, Mono)>,
    next_read: Mono,
    next_write: Mono,
    vms: BTreeMap<VmId, TrackedVm>,
    groups: BTreeMap<GroupId, TrackedGroup>,
    last_number: u64,
}

impl GroupController {
    /// Returns a keeper that does not own its domain yet.
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

    /// Takes in an event at `now` and returns what to do, withdrawals first.
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

    /// Returns whether this process probes the domain, as its owner or for itself.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Returns the record as last read or written.
    pub fn record(&self) -> Option<&FabricRecord> {
        self.known.as_ref().map(|held| &held.record)
    }

    /// Returns when the oldest probe behind the present vouchers was sent.
    pub fn oldest_probe(&self) -> Option<Mono> {
        let vouched = self.groups.values().filter_map(TrackedGroup::oldest_probe_sent_at);
        vouched.min()
    }

    /// Returns what is known of each VM of the domain, for the planner.
    pub fn vm_statuses(&self, now: Mono) -> Vec<VmStatus> {
        self.vms.iter().map(|(vm, watch)| watch.status(vm, now)).collect()
    }

    /// Returns each group's state and why it is not serving, for operators.
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
                if let Some(watch) = self.vms.get_mut(&vm) {
                    watch.probe_failed(probe);
                }
            }
            ControllerEvent::OrderFinished(vm, order, outcome) => {
                self.on_ordered(&vm, order, outcome, actions);
            }
            ControllerEvent::LoadAdmitted(vms) => {
                for vm in vms {
                    if let Some(watch) = self.vms.get_mut(&vm) {
                        watch.load_admitted = true;
                    }
                }
            }
            ControllerEvent::Tick => {}
        }
    }

    /// Starts anew: nothing that an earlier ownership knew is trusted.
    fn activate(&mut self, leads: bool, now: Mono) {
        self.is_owner = leads;
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
        for watch in self.vms.values_mut() {
            watch.restart(now + spread.mul_f64(self.rng.random()));
        }
    }

    fn deactivate(&mut self, actions: &mut Vec<ControllerAction>) {
        self.active = false;
        for (id, watch) in &mut self.groups {
            if watch.clear_lease() {
                actions.push(ControllerAction::LetLeaseExpire(id.clone()));
            }
        }
    }

    fn set_vms(&mut self, facts: Vec<VmConfig>, now: Mono) {
        self.vms.retain(|vm, _| facts.iter().any(|fact| fact.vm == *vm));
        let spread = self.settings.probe_period / 4;
        for fact in facts {
            let first = now + spread.mul_f64(self.rng.random());
            let watch = self.vms.entry(fact.vm).or_insert_with(|| TrackedVm::new(first));
            watch.checks_fencing = fact.checks_fencing;
            watch.leaving = fact.leaving;
        }
    }

    /// Looks at everything that time or the last event may have changed.
    fn review(&mut self, now: Mono, actions: &mut Vec<ControllerAction>) {
        self.review_probes(now, actions);
        self.read_record_if_due(now, actions);
        let moves = self.review_groups(now, actions);
        if self.is_owner {
            self.write_transitions(moves, now, actions);
            self.review_orders(now, actions);
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
