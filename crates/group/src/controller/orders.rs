//! Orders to the members of loading groups, and to VMs that no longer belong to a group.
//!
//! An order is sent only within `order_authority` after the sending of the call that last
//! confirmed the record, and to an engine that ignores fencing tokens only once no order of an
//! earlier assignment can still arrive; see [`crate::fence`].

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
        let Some(known) = self.known.take() else { return };
        let deadline = fence::order_deadline(known.confirmed, &self.settings);
        let order_timeout = self.settings.max_order_delay * 2;
        for tracked in self.vms.values_mut() {
            tracked.pending_order.take_if(|order| now >= order.sent_at + order_timeout);
        }
        self.finish_loads(&known, now, actions);
        if now < deadline {
            for group in known.record.groups.iter().filter(|g| g.state == GroupState::Loading) {
                self.order_loads(group, deadline, now, actions);
            }
            self.order_releases(&known, deadline, now, actions);
        }
        self.known = Some(known);
    }

    fn order_loads(
        &mut self,
        group: &GroupRecord,
        deadline: Mono,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let unhealthy: Vec<&Member> = group
            .members
            .iter()
            .filter(|member| self.check_member(group, member, now).is_err())
            .collect();
        for member in &unhealthy {
            if !self.needs_order(group, member, now) {
                continue;
            }
            let tracked = &self.vms[&member.vm];
            if tracked.load_admitted || tracked.has_loaded(group, member) {
                let message = load_order(group, member);
                self.send_order(member.vm.clone(), message, deadline, now, actions);
                continue;
            }
            if now < tracked.next_load_request {
                continue;
            }
            let next_load_request = now + self.settings.order_retry;
            self.vm_mut(&member.vm).next_load_request = next_load_request;
            actions.push(ControllerAction::RequestLoad {
                vm: member.vm.clone(),
                group: group.id.clone(),
                version: group.version.clone(),
                members: group.members.len() as u32,
                missing: unhealthy.len() as u32,
            });
        }
    }

    /// Returns whether `member` does not hold its assignment, or may not have received all parts
    /// of its load order, and may be sent an order now.
    fn needs_order(&self, group: &GroupRecord, member: &Member, now: Mono) -> bool {
        let Some(tracked) = self.vms.get(&member.vm) else { return false };
        let Some(answered) = &tracked.last_answer else { return false };
        let no_stale_orders = self.stale_orders_expired_at(group, &member.vm, now);
        let free = tracked.pending_order.is_none() && now >= tracked.next_order;
        let has_assignment =
            tracked.accepted_generation == group.generation && answered.answer.holds(group, member);
        no_stale_orders && free && !has_assignment
    }

    /// Releases the weight load slot of each VM that is ready or no longer has to load.
    fn finish_loads(
        &mut self,
        known: &KnownRecord,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let loads = |vm: &VmId| {
            let group = known.group_of(vm).filter(|group| group.state == GroupState::Loading)?;
            let member = group.member(vm)?;
            self.check_member(group, member, now).err()
        };
        let finished: Vec<VmId> = self
            .vms
            .iter()
            .filter(|(vm, tracked)| tracked.load_admitted && loads(vm).is_none())
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in finished {
            self.vm_mut(&vm).load_admitted = false;
            actions.push(ControllerAction::FinishLoad(vm));
        }
    }

    /// Sends a release order to each VM that still holds an assignment but is in no group of the
    /// record.
    fn order_releases(
        &mut self,
        known: &KnownRecord,
        deadline: Mono,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let mut due = Vec::new();
        for (vm, tracked) in &self.vms {
            let Some(answered) = tracked.fresh_answer(self.settings.lease_ttl, now) else {
                continue;
            };
            let Some(assignment) = &answered.answer.assignment else { continue };
            // A replaced member may return to its group while its replacement is still loading.
            let group = known.record.group(&assignment.group);
            let loads = [GroupState::Forming, GroupState::Loading];
            let may_return = group.is_some_and(|group| loads.contains(&group.state));
            let free = known.group_of(vm).is_none() && !may_return;
            if free && tracked.pending_order.is_none() && now >= tracked.next_order {
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
        let tracked = self.vm_mut(&vm);
        let generation = message.generation;
        tracked.pending_order = Some(PendingOrder { number, sent_at: now, generation });
        tracked.next_order = now + retry;
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
        let Some(tracked) = self.vms.get_mut(vm) else { return };
        let Some(order) = tracked.pending_order.take_if(|order| order.number == number) else {
            return;
        };
        if outcome == OrderOutcome::Done {
            tracked.accepted_generation = order.generation;
        }
        if outcome == OrderOutcome::Fenced {
            // Another controller has written a newer record: read it at once.
            self.next_read = Mono::ZERO;
        }
        let group = self.known.as_ref().and_then(|known| known.group_of(vm));
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
