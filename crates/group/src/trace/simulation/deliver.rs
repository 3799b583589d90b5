//! Delivery of the simulation's messages, and execution of the controllers' actions.

use base::prelude::*;

use crate::controller::ControllerAction;
use crate::controller::ControllerEvent;
use crate::controller::StoredRecord;
use crate::controller::WriteOutcome;
use crate::order::OrderMessage;
use crate::order::OrderOutcome;
use crate::probe::ProbeAnswer;
use crate::record::FabricRecord;
use crate::record::GroupRecord;
use crate::record::GroupState;
use crate::routing_lease::GroupEndpoint;
use crate::trace::engine::Engine;
use crate::trace::simulation::Delivery;
use crate::trace::simulation::KvMode;
use crate::trace::simulation::STEP;
use crate::trace::simulation::Simulation;

impl Simulation {
    pub(super) fn postpone(&mut self, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((self.now + STEP, self.sequence), delivery);
    }

    pub(super) fn deliver(&mut self, delivery: Delivery) {
        if self.process_of(&delivery).is_some_and(|process| self.processes[process].paused) {
            self.postpone(delivery);
            return;
        }
        match delivery {
            Delivery::Event { process, event } => self.decide(process, event),
            Delivery::Probe { process, vm, number } => self.deliver_probe(process, vm, number),
            Delivery::Order { process, vm, number, message, deadline } => {
                self.deliver_order(process, vm, number, message, deadline);
            }
            Delivery::Kv { process, write } => self.deliver_kv(process, write),
            Delivery::Poll { process, poll } => {
                if !self.processes[process].daemons_unreachable {
                    self.processes[process].issuer.poll(&poll);
                }
            }
            Delivery::Lease { process, daemon, message } => {
                if !self.processes[process].daemons_unreachable {
                    let clock = self.daemon_clock(daemon);
                    self.daemons[daemon].receive(&message, clock);
                }
            }
        }
    }

    /// Returns the process that must not be paused for the delivery to happen.
    pub(super) fn process_of(&self, delivery: &Delivery) -> Option<usize> {
        match delivery {
            Delivery::Probe { process, .. }
            | Delivery::Order { process, .. }
            | Delivery::Event { process, .. }
            | Delivery::Kv { process, .. }
            | Delivery::Poll { process, .. }
            | Delivery::Lease { process, .. } => Some(*process),
        }
    }

    pub(super) fn decide(&mut self, process: usize, event: ControllerEvent) {
        let clock = self.process_clock(process);
        let actions = self.processes[process].controller.decide(event, clock);
        for action in actions {
            self.execute(process, action, clock);
        }
    }

    pub(super) fn execute(&mut self, process: usize, action: ControllerAction, clock: Mono) {
        let issuer = &mut self.processes[process].issuer;
        match action {
            ControllerAction::RevokeLease(group, generation) => {
                issuer.revoke(&group, generation);
                (0..self.daemons.len()).for_each(|daemon| self.send_leases(process, daemon));
            }
            ControllerAction::GrantLease(group, oldest_probe_sent_at) => {
                issuer.grant(endpoint(&group), oldest_probe_sent_at)
            }
            ControllerAction::LetLeaseExpire(group) => issuer.let_expire(&group),
            ControllerAction::ReportLoad(group, load) => issuer.report_load(&group, load),
            ControllerAction::Probe(vm, number) => {
                self.messages_sent += 1;
                self.send(Delivery::Probe { process, vm, number });
            }
            ControllerAction::Order(vm, number, message, deadline) => {
                self.messages_sent += 1;
                self.send(Delivery::Order { process, vm, number, message, deadline });
            }
            ControllerAction::RequestLoad { vm, .. } => {
                self.send(Delivery::Event {
                    process,
                    event: ControllerEvent::LoadAdmitted(vec![vm]),
                });
            }
            ControllerAction::ReadRecord => self.send(Delivery::Kv { process, write: None }),
            ControllerAction::WriteRecord(expected, record) => {
                self.send(Delivery::Kv { process, write: Some((expected, record)) });
            }
            ControllerAction::FinishLoad(_) | ControllerAction::LogEvent(_) => {}
        }
        debug_assert!(clock >= self.now, "clock offsets are not negative");
    }

    pub(super) fn deliver_probe(&mut self, process: usize, vm: VmId, number: u64) {
        let engine = &self.engines[&vm];
        if engine.paused {
            self.postpone(Delivery::Probe { process, vm, number });
            return;
        }
        let event = match self.is_reachable(process, &vm) {
            true => ControllerEvent::ProbeAnswered(vm, number, self.answer(&engine.clone())),
            false => ControllerEvent::ProbeFailed(vm, number),
        };
        self.send(Delivery::Event { process, event });
    }

    pub(super) fn answer(&self, engine: &Engine) -> ProbeAnswer {
        engine.answer(self.now)
    }

    pub(super) fn deliver_order(
        &mut self,
        process: usize,
        vm: VmId,
        number: u64,
        message: OrderMessage,
        deadline: Mono,
    ) {
        let late = self.process_clock(process) > deadline;
        if !late && self.engines[&vm].paused {
            // The order was sent in time, and stays queued at the paused engine without a deadline.
            let deadline = Mono::MAX;
            self.postpone(Delivery::Order { process, vm, number, message, deadline });
            return;
        }
        let outcome = if late || !self.is_reachable(process, &vm) {
            OrderOutcome::Failed
        } else {
            let (load_time, now) = (self.load_time, self.now);
            let engine = self.engines.get_mut(&vm).expect("an order for a VM of the simulation");
            engine.take(&message, load_time, now)
        };
        self.send(Delivery::Event {
            process,
            event: ControllerEvent::OrderFinished(vm, number, outcome),
        });
    }

    pub(super) fn deliver_kv(&mut self, process: usize, write: Option<(u64, Box<FabricRecord>)>) {
        self.kv_calls += 1;
        let reachable = self.kv_mode != KvMode::Down && !self.processes[process].kv_unreachable;
        let event = match write {
            None if !reachable => ControllerEvent::RecordReadFailed,
            None => ControllerEvent::RecordRead(Some(self.stored.clone())),
            Some((expected, record)) => {
                let id = record.write_id;
                let outcome = match reachable {
                    true => self.compare_and_swap(expected, *record),
                    false => WriteOutcome::Refused,
                };
                ControllerEvent::RecordWritten(id, outcome)
            }
        };
        self.send(Delivery::Event { process, event });
    }

    pub(super) fn compare_and_swap(&mut self, expected: u64, record: FabricRecord) -> WriteOutcome {
        let lossy = self.kv_mode == KvMode::Lossy;
        let done = expected == self.stored.revision;
        if done {
            self.store(record);
        }
        match (lossy, done) {
            (true, _) => WriteOutcome::Unknown,
            (false, true) => WriteOutcome::Done(self.stored.revision),
            (false, false) => WriteOutcome::Conflict,
        }
    }

    pub(super) fn store(&mut self, record: FabricRecord) {
        self.violations.merge(record.verify());
        for before in &self.stored.record.groups {
            let gone = GroupState::Dissolved;
            let after = record.group(&before.id).map_or(gone, |group| group.state);
            let allowed = before.state == after || before.state.can_transition_to(after);
            self.violations
                .check(allowed, &before.id, || format!("{:?} became {after:?}", before.state));
        }
        for group in &record.groups {
            self.groups.insert((group.id.clone(), group.generation), group.clone());
        }
        self.stored = StoredRecord { revision: self.stored.revision + 1, record };
    }

    pub(super) fn is_reachable(&self, process: usize, vm: &VmId) -> bool {
        self.engines[vm].alive && !self.processes[process].unreachable_vms.contains(vm)
    }
}

fn endpoint(group: &GroupRecord) -> GroupEndpoint {
    GroupEndpoint {
        id: group.id.clone(),
        model: group.model.clone(),
        version: group.version.clone(),
        adapters: group.adapters.clone(),
        generation: group.generation,
        leader: ([127, 0, 0, 1], 1).into(),
    }
}
