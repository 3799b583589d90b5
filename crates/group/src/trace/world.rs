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

use crate::keeper::Keeper;
use crate::keeper::KeeperAction;
use crate::keeper::KeeperEvent;
use crate::keeper::StoredRecord;
use crate::keeper::VmFacts;
use crate::keeper::WriteOutcome;
use crate::moves;
use crate::moves::Move;
use crate::order::OrderMessage;
use crate::order::OrderOutcome;
use crate::probe::ProbeAnswer;
use crate::record::FabricRecord;
use crate::record::GroupRecord;
use crate::record::GroupState;
use crate::record::Member;
use crate::settings::KeeperSettings;
use crate::trace::engine::Engine;
use crate::vouch::GroupFacts;
use crate::vouch::Poll;
use crate::vouch::VouchMessage;
use crate::vouch::ledger::Ledger;
use crate::vouch::table::VoucherTable;

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
pub struct Seat {
    /// Its keeper.
    pub keeper: Keeper,
    /// Its list of vouchers.
    pub ledger: Ledger,
    /// Whether it should keep the domain.
    pub owns: bool,
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
    Probe { seat: usize, vm: VmId, number: u64 },
    Order { seat: usize, vm: VmId, number: u64, message: OrderMessage, deadline: Mono },
    Event { seat: usize, event: KeeperEvent },
    Kv { seat: usize, write: Option<(u64, Box<FabricRecord>)> },
    Poll { seat: usize, poll: Poll },
    Vouch { seat: usize, daemon: usize, message: VouchMessage },
}

/// A small world.
#[derive(Clone, Debug)]
pub struct World {
    /// The time.
    pub now: Mono,
    /// The settings of all keepers.
    pub settings: KeeperSettings,
    /// The engines.
    pub engines: BTreeMap<VmId, Engine>,
    /// VMs that an operator drains.
    pub drained: BTreeSet<VmId>,
    /// The processes that may keep the domain.
    pub seats: Vec<Seat>,
    /// What each daemon holds.
    pub daemons: Vec<VoucherTable>,
    /// How the key-value service behaves.
    pub kv_mode: KvMode,
    /// The value in the key-value service.
    pub stored: StoredRecord,
    /// How long an engine takes to load.
    pub load_time: Duration,
    /// What must never have happened and did.
    pub breaches: Findings,
    /// Calls to the key-value service so far.
    pub kv_calls: u64,
    /// Probes and orders so far.
    pub sent: u64,
    queue: BTreeMap<(Mono, u64), Delivery>,
    sequence: u64,
    groups: BTreeMap<(GroupId, Generation), GroupRecord>,
    missing_since: BTreeMap<(GroupId, Generation), Mono>,
}

impl World {
    /// Returns a world of the VMs `vms`, with `seats` processes that do not keep it yet.
    pub fn new(vms: &[VmId], checks_fencing: bool, seats: usize, daemons: usize) -> Self {
        let settings = KeeperSettings::default();
        let seat = |i: usize| Seat {
            keeper: Keeper::new("f".into(), settings.clone(), i as u64 + 1),
            ledger: Ledger::new(seat_name(i), i as u64 + 1, settings.vouch_ttl),
            owns: false,
            frozen: false,
            cut_vms: BTreeSet::new(),
            cut_daemons: false,
            cut_kv: false,
        };
        let engines = vms.iter().zip(1..);
        let mut world = World {
            now: Mono::ZERO,
            seats: (0..seats).map(seat).collect(),
            settings,
            engines: engines
                .map(|(vm, boot)| (vm.clone(), Engine::new(boot, checks_fencing)))
                .collect(),
            drained: BTreeSet::new(),
            daemons: (0..daemons)
                .map(|i| VoucherTable::new(daemon_name(i), i as u64 + 1))
                .collect(),
            kv_mode: KvMode::Up,
            stored: StoredRecord { revision: 0, record: FabricRecord::empty("f".into()) },
            load_time: Duration::from_millis(500),
            breaches: Findings::default(),
            kv_calls: 0,
            sent: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            groups: BTreeMap::new(),
            missing_since: BTreeMap::new(),
        };
        world.tell_vms();
        world
    }

    /// Lets time pass until `until`.
    pub fn run_until(&mut self, until: Mono) {
        while self.now < until {
            self.step();
        }
    }

    /// Changes the record as a planner would, in one compare-and-swap.
    pub fn plan(&mut self, change: &Move) -> Result<(), Findings> {
        let next = moves::apply(&self.stored.record, change, self.stored.revision + 1)?;
        self.store(next);
        Ok(())
    }

    /// Gives the keeping to a process, or takes it away.
    pub fn own(&mut self, seat: usize, owned: bool) {
        self.seats[seat].owns = owned;
    }

    /// Marks a VM as drained by an operator.
    pub fn drain(&mut self, vm: &VmId) {
        self.drained.insert(vm.clone());
        self.tell_vms();
    }

    /// Thaws or freezes a process.
    pub fn freeze(&mut self, seat: usize, frozen: bool) {
        self.seats[seat].frozen = frozen;
    }

    /// Returns the group of `replica` as the key-value service holds it.
    pub fn group(&self, replica: &str) -> Option<&GroupRecord> {
        self.stored.record.groups.iter().find(|group| &*group.replica == replica)
    }

    /// Returns how many daemons may route to the group of `replica` now.
    pub fn routable(&self, replica: &str) -> usize {
        let Some(group) = self.group(replica) else { return 0 };
        let tables = self.daemons.iter().enumerate();
        tables.filter(|(i, table)| table.is_routable(&group.id, self.daemon_clock(*i))).count()
    }

    fn tell_vms(&mut self) {
        let facts: Vec<VmFacts> = self
            .engines
            .iter()
            .map(|(vm, engine)| VmFacts {
                vm: vm.clone(),
                checks_fencing: engine.checks_fencing,
                leaving: self.drained.contains(vm),
            })
            .collect();
        for seat in 0..self.seats.len() {
            self.send(Delivery::Event { seat, event: KeeperEvent::Vms(facts.clone()) });
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let awake: Vec<usize> = (0..self.seats.len()).filter(|i| !self.seats[*i].frozen).collect();
        for seat in awake {
            let (owns, owned) = (self.seats[seat].owns, self.seats[seat].keeper.is_owned());
            let event = match (owns, owned) {
                (true, false) => KeeperEvent::Owned,
                (false, true) => KeeperEvent::Lost,
                _ => KeeperEvent::Tick,
            };
            self.decide(seat, event);
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
        for seat in 0..self.seats.len() {
            for daemon in 0..self.daemons.len() {
                let clock = self.daemon_clock(daemon);
                let poll = self.daemons[daemon].poll(&seat_name(seat), clock);
                self.send(Delivery::Poll { seat, poll });
                self.send_vouchers(seat, daemon);
            }
        }
    }

    fn send_vouchers(&mut self, seat: usize, daemon: usize) {
        if self.seats[seat].frozen {
            return;
        }
        let clock = self.seat_clock(seat);
        let from = &self.seats[seat];
        let message = from.ledger.message(&daemon_name(daemon), from.keeper.oldest_probe(), clock);
        self.send(Delivery::Vouch { seat, daemon, message });
    }

    fn send(&mut self, delivery: Delivery) {
        self.sequence += 1;
        // Messages overtake each other by a few milliseconds.
        let jitter = Duration::from_millis(self.sequence * 7919 % 13);
        self.queue.insert((self.now + MESSAGE_DELAY + jitter, self.sequence), delivery);
    }

    fn put_off(&mut self, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((self.now + STEP, self.sequence), delivery);
    }

    fn deliver(&mut self, delivery: Delivery) {
        if self.sender(&delivery).is_some_and(|seat| self.seats[seat].frozen) {
            self.put_off(delivery);
            return;
        }
        match delivery {
            Delivery::Event { seat, event } => self.decide(seat, event),
            Delivery::Probe { seat, vm, number } => self.deliver_probe(seat, vm, number),
            Delivery::Order { seat, vm, number, message, deadline } => {
                self.deliver_order(seat, vm, number, message, deadline);
            }
            Delivery::Kv { seat, write } => self.deliver_kv(seat, write),
            Delivery::Poll { seat, poll } => {
                if !self.seats[seat].cut_daemons {
                    self.seats[seat].ledger.poll(&poll);
                }
            }
            Delivery::Vouch { seat, daemon, message } => {
                if !self.seats[seat].cut_daemons {
                    let clock = self.daemon_clock(daemon);
                    self.daemons[daemon].receive(&message, clock);
                }
            }
        }
    }

    /// Returns the process that a delivery waits for when it is frozen.
    fn sender(&self, delivery: &Delivery) -> Option<usize> {
        match delivery {
            Delivery::Probe { seat, .. }
            | Delivery::Order { seat, .. }
            | Delivery::Event { seat, .. }
            | Delivery::Kv { seat, .. }
            | Delivery::Poll { seat, .. }
            | Delivery::Vouch { seat, .. } => Some(*seat),
        }
    }

    fn decide(&mut self, seat: usize, event: KeeperEvent) {
        let clock = self.seat_clock(seat);
        let actions = self.seats[seat].keeper.decide(event, clock);
        for action in actions {
            self.carry_out(seat, action, clock);
        }
    }

    fn carry_out(&mut self, seat: usize, action: KeeperAction, clock: Mono) {
        let ledger = &mut self.seats[seat].ledger;
        match action {
            KeeperAction::Withdraw(group, generation) => {
                ledger.down(&group, generation);
                (0..self.daemons.len()).for_each(|daemon| self.send_vouchers(seat, daemon));
            }
            KeeperAction::Vouch(group, fresh_since) => ledger.up(facts(&group), fresh_since),
            KeeperAction::Release(group) => ledger.release(&group),
            KeeperAction::ReportLoad(group, load) => ledger.report_load(&group, load),
            KeeperAction::Probe(vm, number) => {
                self.sent += 1;
                self.send(Delivery::Probe { seat, vm, number });
            }
            KeeperAction::Order(vm, number, message, deadline) => {
                self.sent += 1;
                self.send(Delivery::Order { seat, vm, number, message, deadline });
            }
            KeeperAction::AskLoad { vm, .. } => {
                self.send(Delivery::Event { seat, event: KeeperEvent::MayLoad(vec![vm]) });
            }
            KeeperAction::Read => self.send(Delivery::Kv { seat, write: None }),
            KeeperAction::Write(expected, record) => {
                self.send(Delivery::Kv { seat, write: Some((expected, record)) });
            }
            KeeperAction::EndLoad(_) | KeeperAction::Record(_) => {}
        }
        debug_assert!(clock >= self.now, "offsets only add");
    }

    fn deliver_probe(&mut self, seat: usize, vm: VmId, number: u64) {
        let engine = &self.engines[&vm];
        if engine.paused {
            self.put_off(Delivery::Probe { seat, vm, number });
            return;
        }
        let event = match self.reaches(seat, &vm) {
            true => KeeperEvent::Answered(vm, number, self.answer(&engine.clone())),
            false => KeeperEvent::Unanswered(vm, number),
        };
        self.send(Delivery::Event { seat, event });
    }

    fn answer(&self, engine: &Engine) -> ProbeAnswer {
        engine.answer(self.now)
    }

    fn deliver_order(
        &mut self,
        seat: usize,
        vm: VmId,
        number: u64,
        message: OrderMessage,
        deadline: Mono,
    ) {
        let late = self.seat_clock(seat) > deadline;
        if !late && self.engines[&vm].paused {
            // It has left in time and waits at the engine, however long.
            let deadline = Mono::MAX;
            self.put_off(Delivery::Order { seat, vm, number, message, deadline });
            return;
        }
        let outcome = if late || !self.reaches(seat, &vm) {
            OrderOutcome::Failed
        } else {
            let (load_time, now) = (self.load_time, self.now);
            let engine = self.engines.get_mut(&vm).expect("the VM is one of the world");
            engine.take(&message, load_time, now)
        };
        self.send(Delivery::Event { seat, event: KeeperEvent::Ordered(vm, number, outcome) });
    }

    fn deliver_kv(&mut self, seat: usize, write: Option<(u64, Box<FabricRecord>)>) {
        self.kv_calls += 1;
        let reachable = self.kv_mode != KvMode::Down && !self.seats[seat].cut_kv;
        let event = match write {
            None if !reachable => KeeperEvent::ReadFailed,
            None => KeeperEvent::Read(Some(self.stored.clone())),
            Some((expected, record)) => {
                let id = record.write_id;
                let outcome = match reachable {
                    true => self.swap(expected, *record),
                    false => WriteOutcome::Refused,
                };
                KeeperEvent::Written(id, outcome)
            }
        };
        self.send(Delivery::Event { seat, event });
    }

    fn swap(&mut self, expected: u64, record: FabricRecord) -> WriteOutcome {
        let lossy = self.kv_mode == KvMode::Lossy;
        let done = expected == self.stored.revision;
        if done {
            self.store(record);
        }
        match (lossy, done) {
            (true, _) => WriteOutcome::Unclear,
            (false, true) => WriteOutcome::Done(self.stored.revision),
            (false, false) => WriteOutcome::Conflict,
        }
    }

    fn store(&mut self, record: FabricRecord) {
        self.breaches.merge(record.verify());
        for before in &self.stored.record.groups {
            let gone = GroupState::Dissolved;
            let after = record.group(&before.id).map_or(gone, |group| group.state);
            let legal = before.state == after || before.state.may_become(after);
            self.breaches
                .check(legal, &before.id, || format!("{:?} became {after:?}", before.state));
        }
        for group in &record.groups {
            self.groups.insert((group.id.clone(), group.generation), group.clone());
        }
        self.stored = StoredRecord { revision: self.stored.revision + 1, record };
    }

    fn reaches(&self, seat: usize, vm: &VmId) -> bool {
        self.engines[vm].alive && !self.seats[seat].cut_vms.contains(vm)
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
                self.breaches.check(!beyond, &view.id, || {
                    format!("daemon {i} routes to it at {:?}, missing since {since:?}", self.now)
                });
            }
        }
    }

    fn seat_clock(&self, seat: usize) -> Mono {
        self.now + CLOCK_OFFSET * seat as u32
    }

    fn daemon_clock(&self, daemon: usize) -> Mono {
        self.now + CLOCK_OFFSET * (100 + daemon as u32)
    }
}

fn seat_name(seat: usize) -> NodeId {
    format!("seat{seat}").into()
}

fn daemon_name(daemon: usize) -> NodeId {
    format!("daemon{daemon}").into()
}

fn facts(group: &GroupRecord) -> GroupFacts {
    GroupFacts {
        id: group.id.clone(),
        model: group.model.clone(),
        version: group.version.clone(),
        adapters: group.adapters.clone(),
        generation: group.generation,
        leader: ([127, 0, 0, 1], 1).into(),
    }
}
