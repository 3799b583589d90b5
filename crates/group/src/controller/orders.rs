//! Orders to the members of groups that load, and to VMs that no group holds any more.
//!
//! No order leaves later than the right to order allows, and none to an engine that ignores
//! fencing numbers before orders of earlier assignments have run out; see [`crate::fence`].

use base::prelude::*;

use crate::controller::ControllerAction;
use crate::controller::GroupController;
use crate::controller::member::PendingOrder;
use crate::controller::write::KnownRecord;
use crate::fence;
use crate::order::Order;
use crate::order::OrderMessage;
use crate::order::OrderOutcome;
use crate::record::GroupRecord;
use crate::record::GroupState;
use crate::record::Member;

impl GroupController {
    /// Sends the orders that are due and allowed.
    pub(super) fn review_orders(&mut self, now: Mono, actions: &mut Vec<ControllerAction>) {
        let Some(held) = self.known.take() else { return };
        let deadline = fence::order_deadline(held.confirmed, &self.settings);
        let longest = self.settings.max_order_delay * 2;
        for watch in self.vms.values_mut() {
            watch.pending_order.take_if(|order| now >= order.sent_at + longest);
        }
        self.finish_loads(&held, now, actions);
        if now < deadline {
            for group in held.record.groups.iter().filter(|g| g.state == GroupState::Loading) {
                self.order_loads(group, deadline, now, actions);
            }
            self.order_releases(&held, deadline, now, actions);
        }
        self.known = Some(held);
    }

    fn order_loads(
        &mut self,
        group: &GroupRecord,
        deadline: Mono,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let doubts: Vec<&Member> = group
            .members
            .iter()
            .filter(|member| self.check_member(group, member, now).is_err())
            .collect();
        for member in &doubts {
            if !self.needs_order(group, member, now) {
                continue;
            }
            let watch = &self.vms[&member.vm];
            if watch.load_admitted || watch.has_loaded(group, member) {
                let message = load_order(group, member);
                self.send_order(member.vm.clone(), message, deadline, now, actions);
                continue;
            }
            if now < watch.next_load_request {
                continue;
            }
            let next_ask = now + self.settings.order_retry;
            self.vm_mut(&member.vm).next_load_request = next_ask;
            actions.push(ControllerAction::RequestLoad {
                vm: member.vm.clone(),
                group: group.id.clone(),
                version: group.version.clone(),
                members: group.members.len() as u32,
                missing: doubts.len() as u32,
            });
        }
    }

    /// Returns whether `member` does not hold its assignment, or may not have been told all of it,
    /// and may be told so now.
    fn needs_order(&self, group: &GroupRecord, member: &Member, now: Mono) -> bool {
        let Some(watch) = self.vms.get(&member.vm) else { return false };
        let Some(seen) = &watch.last_answer else { return false };
        let quiet = self.stale_orders_expired_at(group, &member.vm, now);
        let free = watch.pending_order.is_none() && now >= watch.next_order;
        let told =
            watch.accepted_generation == group.generation && seen.answer.holds(group, member);
        quiet && free && !told
    }

    /// Ends the place in the load schedule of each VM that is ready or loads no more.
    fn finish_loads(&mut self, held: &KnownRecord, now: Mono, actions: &mut Vec<ControllerAction>) {
        let loads = |vm: &VmId| {
            let group = held.group_of(vm).filter(|group| group.state == GroupState::Loading)?;
            let member = group.member(vm)?;
            self.check_member(group, member, now).err()
        };
        let ended: Vec<VmId> = self
            .vms
            .iter()
            .filter(|(vm, watch)| watch.load_admitted && loads(vm).is_none())
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in ended {
            self.vm_mut(&vm).load_admitted = false;
            actions.push(ControllerAction::FinishLoad(vm));
        }
    }

    /// Releases VMs that still hold an assignment of a group which the record no longer gives them.
    fn order_releases(
        &mut self,
        held: &KnownRecord,
        deadline: Mono,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let mut due = Vec::new();
        for (vm, watch) in &self.vms {
            let Some(seen) = watch.fresh_answer(self.settings.lease_ttl, now) else { continue };
            let Some(assignment) = &seen.answer.assignment else { continue };
            // A replaced member may yet be taken back while its successor loads.
            let group = held.record.group(&assignment.group);
            let loads = [GroupState::Forming, GroupState::Loading];
            let awaited = group.is_some_and(|group| loads.contains(&group.state));
            let free = held.group_of(vm).is_none() && !awaited;
            if free && watch.pending_order.is_none() && now >= watch.next_order {
                due.push((
                    vm.clone(),
                    OrderMessage {
                        group: assignment.group.clone(),
                        generation: assignment.generation,
                        order: Order::Release,
                    },
                ));
            }
        }
        for (vm, message) in due {
            self.send_order(vm, message, deadline, now, actions);
        }
    }

    fn send_order(
        &mut self,
        vm: VmId,
        message: OrderMessage,
        deadline: Mono,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let number = self.next_number();
        let retry = self.settings.order_retry;
        let watch = self.vm_mut(&vm);
        let generation = message.generation;
        watch.pending_order = Some(PendingOrder { number, sent_at: now, generation });
        watch.next_order = now + retry;
        actions.push(order_event(&vm, &message, "sent"));
        actions.push(ControllerAction::Order(vm, number, message, deadline));
    }

    pub(super) fn on_ordered(
        &mut self,
        vm: &VmId,
        number: u64,
        outcome: OrderOutcome,
        actions: &mut Vec<ControllerAction>,
    ) {
        let Some(watch) = self.vms.get_mut(vm) else { return };
        let Some(order) = watch.pending_order.take_if(|order| order.number == number) else {
            return;
        };
        if outcome == OrderOutcome::Done {
            watch.accepted_generation = order.generation;
        }
        if outcome == OrderOutcome::Fenced {
            // Another keeper went further: its record is there to be read.
            self.next_read = Mono::ZERO;
        }
        let group = self.known.as_ref().and_then(|held| held.group_of(vm));
        if let Some(group) = group {
            actions.push(ControllerAction::LogEvent(Event::Order {
                vm: vm.clone(),
                group: group.id.clone(),
                generation: group.generation,
                order: "load".into(),
                outcome: outcome.name().into(),
            }));
        }
    }
}

fn load_order(group: &GroupRecord, member: &Member) -> OrderMessage {
    OrderMessage {
        group: group.id.clone(),
        generation: group.generation,
        order: Order::Load {
            model: group.model.clone(),
            version: group.version.clone(),
            adapters: group.adapters.clone(),
            rank: member.rank,
            members: group.members.iter().map(|member| member.vm.clone()).collect(),
        },
    }
}

fn order_event(vm: &VmId, message: &OrderMessage, outcome: &str) -> ControllerAction {
    ControllerAction::LogEvent(Event::Order {
        vm: vm.clone(),
        group: message.group.clone(),
        generation: message.generation,
        order: message.order.name().into(),
        outcome: outcome.into(),
    })
}
