//! What a keeper does about each group: vouch or withdraw, move it on, order its members.

use base::prelude::*;

use crate::controller::ControllerAction;
use crate::controller::GroupController;
use crate::controller::member::TrackedVm;
use crate::controller::write::KnownRecord;
use crate::fence;

use crate::transition::GroupRef;
use crate::transition::MemberBoot;
use crate::transition::Transition;

use crate::probe::UnhealthyReason;
use crate::record::GroupRecord;
use crate::record::GroupState;
use crate::record::Member;

/// What operators are told of a group.
#[wire]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Its state in the record.
    pub state: GroupState,
    /// Whether this keeper vouches for it now.
    #[serde(rename = "vouched")]
    pub has_lease: bool,
    /// The first member in doubt and why, if any.
    #[serde(rename = "doubt")]
    pub unhealthy_member: Option<UnhealthyMember>,
}

/// A member in doubt.
#[wire]
pub struct UnhealthyMember {
    /// The VM.
    pub vm: VmId,
    /// Why it does not count as there.
    #[serde(rename = "doubt")]
    pub reason: UnhealthyReason,
}

/// What a keeper knows of a group beyond its record.
#[derive(Clone, Debug)]
pub(super) struct TrackedGroup {
    pub(super) generation: Generation,
    state: Option<GroupState>,
    /// When this keeper first saw the present generation.
    pub(super) first_seen: Mono,
    /// When this keeper first saw the present state.
    state_since: Mono,
    /// When the oldest probe behind the present voucher was sent.
    lease_oldest_probe: Option<Mono>,
    unhealthy_member: Option<UnhealthyMember>,
    /// Since when the doubt has been of its present kind.
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

    /// Forgets the voucher and returns whether there was one.
    pub(super) fn clear_lease(&mut self) -> bool {
        self.lease_oldest_probe.take().is_some()
    }

    /// Follows the record and returns whether the group's state or generation changed.
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

    /// Returns why the group is in doubt, for events.
    pub(super) fn reason(&self) -> &'static str {
        self.unhealthy_member.as_ref().map_or("whole", |doubt| doubt.reason.name())
    }

    fn unhealthy_for(&self, now: Mono) -> Duration {
        self.unhealthy_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

fn voucher_event(group: &GroupRecord, state: &str, reason: &str) -> ControllerAction {
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
    /// Brings vouchers up to date and returns the moves that are due.
    pub(super) fn review_groups(
        &mut self,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) -> Vec<Transition> {
        let Some(held) = self.known.take() else { return Vec::new() };
        let mut moves = Vec::new();
        let strays = self.detached_vms(&held, now);
        for group in &held.record.groups {
            let check = self.check_group(group, now);
            self.record_health(group, &check, now);
            self.update_lease(group, &check, actions);
            moves.extend(self.due_transition(group, &check, &strays, now));
        }
        self.known = Some(held);
        moves
    }

    /// Brings the voucher of the group of `vm` up to date.
    pub(super) fn review_group_of(
        &mut self,
        vm: &str,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let Some(held) = self.known.take() else { return };
        if let Some(group) = held.group_of(vm) {
            let check = self.check_group(group, now);
            self.record_health(group, &check, now);
            self.update_lease(group, &check, actions);
        }
        self.known = Some(held);
    }

    /// Returns when the oldest probe behind a whole group was sent, or the first doubt.
    ///
    /// Doubts about a member's being there come before doubts about its readiness.
    fn check_group(&self, group: &GroupRecord, now: Mono) -> Result<Mono, UnhealthyMember> {
        let mut oldest = now;
        let mut worst: Option<UnhealthyMember> = None;
        for member in &group.members {
            match self.check_member(group, member, now) {
                Ok(sent_at) => oldest = oldest.min(sent_at),
                Err(doubt) if worst.as_ref().is_none_or(|worst| doubt < worst.reason) => {
                    worst = Some(UnhealthyMember { vm: member.vm.clone(), reason: doubt });
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
        let watch = self.vms.get(&member.vm).ok_or(UnhealthyReason::Unresponsive)?;
        watch.check(group, member, self.settings.lease_ttl, now)
    }

    pub(super) fn group_status(&self, group: &GroupRecord) -> GroupStatus {
        let watch = self.groups.get(&group.id);
        GroupStatus {
            group: group.id.clone(),
            state: group.state,
            has_lease: watch.is_some_and(|watch| watch.lease_oldest_probe.is_some()),
            unhealthy_member: watch.and_then(|watch| watch.unhealthy_member.clone()),
        }
    }

    fn record_health(
        &mut self,
        group: &GroupRecord,
        check: &Result<Mono, UnhealthyMember>,
        now: Mono,
    ) {
        let Some(watch) = self.groups.get_mut(&group.id) else { return };
        let doubt = check.as_ref().err();
        let kind = |doubt: &UnhealthyMember| doubt.reason;
        if watch.unhealthy_member.as_ref().map(kind) != doubt.map(kind) {
            watch.unhealthy_since = doubt.map(|_| now);
        }
        watch.unhealthy_member = doubt.cloned();
    }

    fn update_lease(
        &mut self,
        group: &GroupRecord,
        check: &Result<Mono, UnhealthyMember>,
        actions: &mut Vec<ControllerAction>,
    ) {
        // Orders of earlier assignments ran out before the group came to serve.
        let may_serve = group.state == GroupState::Serving;
        let Some(watch) = self.groups.get_mut(&group.id) else { return };
        match check {
            Ok(oldest) if may_serve => {
                if watch.lease_oldest_probe.replace(*oldest).is_none() {
                    actions.push(voucher_event(group, "vouched", "whole"));
                    actions.push(ControllerAction::GrantLease(Box::new(group.clone()), *oldest));
                }
            }
            _ => {
                if watch.clear_lease() {
                    actions.push(ControllerAction::RevokeLease(group.id.clone(), group.generation));
                    actions.push(voucher_event(group, "withdrawn", watch.reason()));
                }
            }
        }
    }

    /// Returns whether no order of an earlier assignment can still reach a member that would
    /// follow it.
    fn stale_orders_expired(&self, group: &GroupRecord, now: Mono) -> bool {
        group.members.iter().all(|member| self.stale_orders_expired_at(group, &member.vm, now))
    }

    pub(super) fn stale_orders_expired_at(
        &self,
        group: &GroupRecord,
        vm: &VmId,
        now: Mono,
    ) -> bool {
        let (Some(watch), Some(vm)) = (self.groups.get(&group.id), self.vms.get(vm)) else {
            return false;
        };
        now >= fence::orders_allowed_from(watch.first_seen, vm.checks_fencing, &self.settings)
    }

    /// Returns the move that is due for `group`.
    fn due_transition(
        &self,
        group: &GroupRecord,
        check: &Result<Mono, UnhealthyMember>,
        strays: &[VmId],
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
                    .returned_member(group, strays, now)
                    .or_else(|| self.break_if_due(group, check, now)),
            },
            GroupState::Serving => match check {
                Err(doubt) if doubt.reason == UnhealthyReason::Leaving => {
                    Some(Transition::Drain { target })
                }
                _ => self.break_if_due(group, check, now),
            },
            GroupState::Draining => self.dissolve_if_drained(group, check, now),
            GroupState::Dissolved => None,
        }
    }

    /// Returns the free VMs that still hold an assignment and are ready.
    fn detached_vms(&self, held: &KnownRecord, now: Mono) -> Vec<VmId> {
        let stray = |(vm, watch): (&VmId, &TrackedVm)| {
            let seen = watch.fresh_answer(self.settings.lease_ttl, now)?;
            let holds = seen.answer.assignment.is_some() && seen.answer.ready;
            let free = !watch.is_leaving() && held.group_of(vm).is_none();
            (holds && free).then(|| vm.clone())
        };
        self.vms.iter().filter_map(stray).collect()
    }

    /// Returns the move that takes back a replaced member which still holds its weights, if its
    /// successor has not loaded.
    fn returned_member(
        &self,
        group: &GroupRecord,
        strays: &[VmId],
        now: Mono,
    ) -> Option<Transition> {
        strays.iter().find_map(|vm| {
            let watch = self.vms.get(vm)?;
            let rank = watch.last_answer.as_ref()?.answer.assignment.as_ref()?.rank;
            let member = group.members.get(rank as usize)?;
            let waits = self.check_member(group, member, now).is_err();
            (waits && watch.has_loaded(group, member)).then(|| Transition::Return {
                target: target(group),
                removed: member.vm.clone(),
                replacement: vm.clone(),
            })
        })
    }

    /// Returns the boot id of each member, if all answered lately and none is leaving.
    fn answered_boots(&self, group: &GroupRecord, now: Mono) -> Option<Vec<MemberBoot>> {
        let ttl = self.settings.lease_ttl;
        let boot = |member: &Member| {
            let watch = self.vms.get(&member.vm)?;
            let seen = watch.fresh_answer(ttl, now).filter(|_| !watch.is_leaving())?;
            Some(MemberBoot { vm: member.vm.clone(), boot: seen.answer.boot })
        };
        group.members.iter().map(boot).collect()
    }

    fn break_if_due(
        &self,
        group: &GroupRecord,
        check: &Result<Mono, UnhealthyMember>,
        now: Mono,
    ) -> Option<Transition> {
        let doubt = check.as_ref().err()?.reason;
        let watch = self.groups.get(&group.id)?;
        let lasted = watch.unhealthy_for(now) >= self.settings.break_after;
        let due = match (group.state, doubt) {
            (GroupState::Serving, UnhealthyReason::Restarted | UnhealthyReason::Misassigned) => {
                true
            }
            (GroupState::Loading, UnhealthyReason::Restarted) => true,
            // Members of a group that loads get their orders and become ready in their time.
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

    /// Dissolves a draining group once nothing runs that any daemon may have sent.
    fn dissolve_if_drained(
        &self,
        group: &GroupRecord,
        check: &Result<Mono, UnhealthyMember>,
        now: Mono,
    ) -> Option<Transition> {
        let watch = self.groups.get(&group.id)?;
        if matches!(check, Err(doubt) if doubt.reason < UnhealthyReason::NotReady) {
            return self.break_if_due(group, check, now);
        }
        let leader = self.vms.get(&group.members[0].vm)?;
        let seen = leader.fresh_answer(self.settings.lease_ttl, now)?;
        // No daemon sends new work later than this, whichever keeper vouched last.
        let closed =
            watch.state_since + self.settings.detection_bound() + self.settings.record_poll;
        let load = &seen.answer.load;
        let idle = seen.sent_at >= closed && load.queued == 0 && load.running == 0;
        idle.then(|| Transition::Dissolve { target: target(group) })
    }
}
