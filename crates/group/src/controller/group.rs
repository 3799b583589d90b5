//! Decisions about each group: granting and revoking its routing lease, and state transitions.
//!
//! A group is healthy when every member answered a recent probe with the recorded boot id and
//! assignment, is ready, and is not leaving. A serving group holds a routing lease exactly while
//! it is healthy. The group's state and the reason decide whether an unhealthy group is recorded
//! as broken at once, after `break_after`, or not at all.

use base::prelude::*;

use crate::controller::ControllerAction;
use crate::controller::GroupController;
use crate::controller::member::TrackedVm;
use crate::controller::write::KnownRecord;
use crate::fence;
use crate::probe::UnhealthyReason;
use crate::record::GroupRecord;
use crate::record::GroupState;
use crate::record::Member;
use crate::transition::GroupRef;
use crate::transition::MemberBoot;
use crate::transition::Transition;

/// The status of a group, as reported to operators.
#[wire]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Its state in the record.
    pub state: GroupState,
    /// Whether this controller grants a routing lease for it now.
    #[serde(rename = "vouched")]
    pub has_lease: bool,
    /// The unhealthy member whose reason comes first in the order of [`UnhealthyReason`], if any.
    #[serde(rename = "doubt")]
    pub unhealthy_member: Option<UnhealthyMember>,
}

/// A member that is not healthy.
#[wire]
pub struct UnhealthyMember {
    /// The VM.
    pub vm: VmId,
    /// Why it is unhealthy.
    #[serde(rename = "doubt")]
    pub reason: UnhealthyReason,
}

/// The state of a group that the controller keeps beside the group's record.
#[derive(Clone, Debug)]
pub(super) struct TrackedGroup {
    pub(super) generation: Generation,
    state: Option<GroupState>,
    /// When this controller first saw the current generation.
    pub(super) first_seen: Mono,
    /// When this controller first saw the current state.
    state_since: Mono,
    /// When the oldest probe that supports the current lease was sent; `None` without a lease.
    lease_oldest_probe: Option<Mono>,
    unhealthy_member: Option<UnhealthyMember>,
    /// Since when the group has been unhealthy for the current reason.
    unhealthy_since: Option<Mono>,
}

impl TrackedGroup {
    pub(super) fn new(now: Mono) -> Self {
        TrackedGroup {
            generation: 0,
            state: None,
            first_seen: now,
            state_since: now,
            lease_oldest_probe: None,
            unhealthy_member: None,
            unhealthy_since: None,
        }
    }

    pub(super) fn oldest_probe_sent_at(&self) -> Option<Mono> {
        self.lease_oldest_probe
    }

    /// Clears the lease and returns whether there was one.
    pub(super) fn clear_lease(&mut self) -> bool {
        self.lease_oldest_probe.take().is_some()
    }

    /// Adopts the group's record and returns whether its state or generation changed.
    pub(super) fn update_from_record(&mut self, group: &GroupRecord, now: Mono) -> bool {
        let changed = self.generation != group.generation || self.state != Some(group.state);
        if self.generation != group.generation {
            self.first_seen = now;
        }
        if changed {
            self.state_since = now;
            self.unhealthy_since = None;
            self.unhealthy_member = None;
        }
        self.generation = group.generation;
        self.state = Some(group.state);
        changed
    }

    /// Returns why the group is unhealthy, for events.
    pub(super) fn reason(&self) -> &'static str {
        self.unhealthy_member.as_ref().map_or("whole", |unhealthy| unhealthy.reason.name())
    }

    fn unhealthy_for(&self, now: Mono) -> Duration {
        self.unhealthy_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

fn lease_event(group: &GroupRecord, state: &str, reason: &str) -> ControllerAction {
    ControllerAction::LogEvent(Event::Group {
        group: group.id.clone(),
        generation: group.generation,
        state: state.into(),
        reason: reason.into(),
    })
}

fn target(group: &GroupRecord) -> GroupRef {
    GroupRef { group: group.id.clone(), generation: group.generation }
}

impl GroupController {
    /// Updates the leases of all groups and returns the transitions that are due.
    pub(super) fn review_groups(
        &mut self,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) -> Vec<Transition> {
        let Some(known) = self.known.take() else { return Vec::new() };
        let mut transitions = Vec::new();
        let detached = self.detached_vms(&known, now);
        for group in &known.record.groups {
            let check = self.check_group(group, now);
            self.record_health(group, &check, now);
            self.update_lease(group, &check, actions);
            transitions.extend(self.due_transition(group, &check, &detached, now));
        }
        self.known = Some(known);
        transitions
    }

    /// Updates the lease of the group that `vm` is a member of.
    pub(super) fn review_group_of(
        &mut self,
        vm: &str,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let Some(known) = self.known.take() else { return };
        if let Some(group) = known.group_of(vm) {
            let check = self.check_group(group, now);
            self.record_health(group, &check, now);
            self.update_lease(group, &check, actions);
        }
        self.known = Some(known);
    }

    /// Returns when the oldest of the probes that show the group as healthy was sent, or the
    /// unhealthy member whose reason comes first in the order of [`UnhealthyReason`].
    ///
    /// Reasons that a member is missing come before reasons that it is not ready.
    fn check_group(&self, group: &GroupRecord, now: Mono) -> Result<Mono, UnhealthyMember> {
        let mut oldest = now;
        let mut worst: Option<UnhealthyMember> = None;
        for member in &group.members {
            match self.check_member(group, member, now) {
                Ok(sent_at) => oldest = oldest.min(sent_at),
                Err(reason) if worst.as_ref().is_none_or(|worst| reason < worst.reason) => {
                    worst = Some(UnhealthyMember { vm: member.vm.clone(), reason });
                }
                Err(_) => {}
            }
        }
        worst.map_or(Ok(oldest), Err)
    }

    pub(super) fn check_member(
        &self,
        group: &GroupRecord,
        member: &Member,
        now: Mono,
    ) -> Result<Mono, UnhealthyReason> {
        let tracked = self.vms.get(&member.vm).ok_or(UnhealthyReason::Unresponsive)?;
        tracked.check(group, member, self.settings.lease_ttl, now)
    }

    pub(super) fn group_status(&self, group: &GroupRecord) -> GroupStatus {
        let tracked = self.groups.get(&group.id);
        GroupStatus {
            group: group.id.clone(),
            state: group.state,
            has_lease: tracked.is_some_and(|tracked| tracked.lease_oldest_probe.is_some()),
            unhealthy_member: tracked.and_then(|tracked| tracked.unhealthy_member.clone()),
        }
    }

    fn record_health(
        &mut self,
        group: &GroupRecord,
        check: &Result<Mono, UnhealthyMember>,
        now: Mono,
    ) {
        let Some(tracked) = self.groups.get_mut(&group.id) else { return };
        let unhealthy = check.as_ref().err();
        let reason = |unhealthy: &UnhealthyMember| unhealthy.reason;
        if tracked.unhealthy_member.as_ref().map(reason) != unhealthy.map(reason) {
            tracked.unhealthy_since = unhealthy.map(|_| now);
        }
        tracked.unhealthy_member = unhealthy.cloned();
    }

    fn update_lease(
        &mut self,
        group: &GroupRecord,
        check: &Result<Mono, UnhealthyMember>,
        actions: &mut Vec<ControllerAction>,
    ) {
        // A group enters `Serving` only after orders of earlier assignments can no longer arrive.
        let may_serve = group.state == GroupState::Serving;
        let Some(tracked) = self.groups.get_mut(&group.id) else { return };
        match check {
            Ok(oldest) if may_serve => {
                if tracked.lease_oldest_probe.replace(*oldest).is_none() {
                    actions.push(lease_event(group, "vouched", "whole"));
                    actions.push(ControllerAction::GrantLease(Box::new(group.clone()), *oldest));
                }
            }
            _ => {
                if tracked.clear_lease() {
                    actions.push(ControllerAction::RevokeLease(group.id.clone(), group.generation));
                    actions.push(lease_event(group, "withdrawn", tracked.reason()));
                }
            }
        }
    }

    /// Returns whether no member can still receive and execute an order of an earlier assignment.
    fn stale_orders_expired(&self, group: &GroupRecord, now: Mono) -> bool {
        group.members.iter().all(|member| self.stale_orders_expired_at(group, &member.vm, now))
    }

    /// Returns whether `vm` can no longer receive and execute an order of an assignment earlier
    /// than that of `group`.
    pub(super) fn stale_orders_expired_at(
        &self,
        group: &GroupRecord,
        vm: &VmId,
        now: Mono,
    ) -> bool {
        let (Some(tracked), Some(vm)) = (self.groups.get(&group.id), self.vms.get(vm)) else {
            return false;
        };
        now >= fence::orders_allowed_from(tracked.first_seen, vm.checks_fencing, &self.settings)
    }

    /// Returns the transition that is due for `group`.
    fn due_transition(
        &self,
        group: &GroupRecord,
        check: &Result<Mono, UnhealthyMember>,
        detached: &[VmId],
        now: Mono,
    ) -> Option<Transition> {
        let target = target(group);
        match group.state {
            GroupState::Forming | GroupState::Broken => {
                let boots = self.answered_boots(group, now);
                match (group.state, boots) {
                    (GroupState::Forming, Some(boots)) => {
                        Some(Transition::ConfirmLoading { target, boots })
                    }
                    (GroupState::Forming, None) => self.break_if_due(group, check, now),
                    (_, Some(_)) => Some(Transition::Rejoin { target }),
                    (_, None) => None,
                }
            }
            GroupState::Loading => match check {
                Ok(_) if self.stale_orders_expired(group, now) => {
                    Some(Transition::Serve { target })
                }
                Ok(_) => None,
                Err(_) => self
                    .returned_member(group, detached, now)
                    .or_else(|| self.break_if_due(group, check, now)),
            },
            GroupState::Serving => match check {
                Err(unhealthy) if unhealthy.reason == UnhealthyReason::Leaving => {
                    Some(Transition::Drain { target })
                }
                _ => self.break_if_due(group, check, now),
            },
            GroupState::Draining => self.dissolve_if_drained(group, check, now),
            GroupState::Dissolved => None,
        }
    }

    /// Returns the free VMs that still hold an assignment and are ready.
    fn detached_vms(&self, known: &KnownRecord, now: Mono) -> Vec<VmId> {
        let detached = |(vm, tracked): (&VmId, &TrackedVm)| {
            let answered = tracked.fresh_answer(self.settings.lease_ttl, now)?;
            let holds = answered.answer.assignment.is_some() && answered.answer.ready;
            let free = !tracked.is_leaving() && known.group_of(vm).is_none();
            (holds && free).then(|| vm.clone())
        };
        self.vms.iter().filter_map(detached).collect()
    }

    /// Returns the transition that restores a replaced member which still holds its weights, if
    /// its replacement is not healthy yet.
    fn returned_member(
        &self,
        group: &GroupRecord,
        detached: &[VmId],
        now: Mono,
    ) -> Option<Transition> {
        detached.iter().find_map(|vm| {
            let tracked = self.vms.get(vm)?;
            let rank = tracked.last_answer.as_ref()?.answer.assignment.as_ref()?.rank;
            let member = group.members.get(rank as usize)?;
            let waits = self.check_member(group, member, now).is_err();
            (waits && tracked.has_loaded(group, member)).then(|| Transition::Return {
                target: target(group),
                removed: member.vm.clone(),
                replacement: vm.clone(),
            })
        })
    }

    /// Returns the boot id of each member, if all answered recently and none is leaving.
    fn answered_boots(&self, group: &GroupRecord, now: Mono) -> Option<Vec<MemberBoot>> {
        let ttl = self.settings.lease_ttl;
        let boot = |member: &Member| {
            let tracked = self.vms.get(&member.vm)?;
            let answered = tracked.fresh_answer(ttl, now).filter(|_| !tracked.is_leaving())?;
            Some(MemberBoot { vm: member.vm.clone(), boot: answered.answer.boot })
        };
        group.members.iter().map(boot).collect()
    }

    /// Returns the transition to `Broken`, if the group is unhealthy for a reason that breaks it
    /// at once, or has been unhealthy for `break_after`.
    fn break_if_due(
        &self,
        group: &GroupRecord,
        check: &Result<Mono, UnhealthyMember>,
        now: Mono,
    ) -> Option<Transition> {
        let reason = check.as_ref().err()?.reason;
        let tracked = self.groups.get(&group.id)?;
        let lasted = tracked.unhealthy_for(now) >= self.settings.break_after;
        let due = match (group.state, reason) {
            (GroupState::Serving, UnhealthyReason::Restarted | UnhealthyReason::Misassigned) => {
                true
            }
            (GroupState::Loading, UnhealthyReason::Restarted) => true,
            // In a loading group, members without the assignment still get their orders, and the
            // others become ready in time.
            (GroupState::Loading, UnhealthyReason::Misassigned | UnhealthyReason::NotReady) => {
                false
            }
            (GroupState::Forming, UnhealthyReason::Restarted | UnhealthyReason::Misassigned) => {
                false
            }
            (
                _,
                UnhealthyReason::Unresponsive
                | UnhealthyReason::NotReady
                | UnhealthyReason::Leaving,
            ) => lasted,
            _ => lasted,
        };
        due.then(|| Transition::Break { target: target(group) })
    }

    /// Returns the transition that dissolves a draining group, once none of the requests that
    /// daemons may have sent is still queued or running. A group with a missing member breaks
    /// instead.
    fn dissolve_if_drained(
        &self,
        group: &GroupRecord,
        check: &Result<Mono, UnhealthyMember>,
        now: Mono,
    ) -> Option<Transition> {
        let tracked = self.groups.get(&group.id)?;
        if matches!(check, Err(unhealthy) if unhealthy.reason < UnhealthyReason::NotReady) {
            return self.break_if_due(group, check, now);
        }
        let leader = self.vms.get(&group.members[0].vm)?;
        let answered = leader.fresh_answer(self.settings.lease_ttl, now)?;
        // No daemon sends new requests after this time, whichever controller granted the last
        // lease.
        let closed =
            tracked.state_since + self.settings.detection_bound() + self.settings.record_poll;
        let load = &answered.answer.load;
        let idle = answered.sent_at >= closed && load.queued == 0 && load.running == 0;
        idle.then(|| Transition::Dissolve { target: target(group) })
    }
}
