//! Probing of the VMs of a domain.
//!
//! A VM has at most one pending probe. Probes of a VM are at least half a period apart, except
//! for one extra probe after each change of its group. So the probe rate is at most the number of
//! VMs divided by half the period, plus the rate of record changes.

use base::prelude::*;
use rand::Rng;

use crate::controller::ControllerAction;
use crate::controller::GroupController;
use crate::probe::Load;
use crate::probe::ProbeAnswer;
use crate::probe::UnhealthyReason;
use crate::record::GroupRecord;
use crate::record::Member;

/// Shortest time between the sending of an answered probe of a VM and the next probe.
const MIN_PROBE_GAP: Duration = Duration::from_millis(100);

/// The status of a VM, as reported to the planner.
#[wire]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// Whether it answered its last probe.
    pub is_up: bool,
    /// Whether it is leaving, according to its engine, an operator or the VM list.
    pub leaving: bool,
    /// The boot id of the engine instance that answered last; 0 if none did.
    pub boot: BootId,
    /// Time since the first of its consecutive unanswered probes was sent; zero if the last
    /// probe was answered.
    #[serde(rename = "silent_for")]
    pub unresponsive_for: Duration,
}

/// An answered probe.
#[derive(Clone, Debug)]
pub(super) struct AnsweredProbe {
    pub(super) sent_at: Mono,
    pub(super) answer: ProbeAnswer,
}

/// A probe whose answer is awaited.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingProbe {
    pub(super) number: u64,
    pub(super) sent_at: Mono,
}

/// An order whose outcome is awaited.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingOrder {
    pub(super) number: u64,
    pub(super) sent_at: Mono,
    pub(super) generation: Generation,
}

/// The state of a VM that the controller tracks.
#[derive(Clone, Debug)]
pub(super) struct TrackedVm {
    pub(super) checks_fencing: bool,
    pub(super) leaving: bool,
    pub(super) load_admitted: bool,
    pub(super) last_answer: Option<AnsweredProbe>,
    pub(super) unanswered_since: Option<Mono>,
    pub(super) pending_probe: Option<PendingProbe>,
    pub(super) next_probe: Mono,
    pub(super) pending_order: Option<PendingOrder>,
    /// The generation of the last order that the engine accepted.
    pub(super) accepted_generation: Generation,
    pub(super) next_order: Mono,
    pub(super) next_load_request: Mono,
}

impl TrackedVm {
    pub(super) fn new(first_probe: Mono) -> Self {
        TrackedVm {
            checks_fencing: false,
            leaving: false,
            load_admitted: false,
            last_answer: None,
            unanswered_since: None,
            pending_probe: None,
            next_probe: first_probe,
            pending_order: None,
            accepted_generation: 0,
            next_order: Mono::ZERO,
            next_load_request: Mono::ZERO,
        }
    }

    /// Discards everything except the configuration of the VM.
    pub(super) fn reset(&mut self, first_probe: Mono) {
        let fresh = TrackedVm::new(first_probe);
        *self = TrackedVm { checks_fencing: self.checks_fencing, leaving: self.leaving, ..fresh };
    }

    /// Brings the next probe forward because the VM's group has changed.
    pub(super) fn expedite_probe(&mut self, now: Mono) {
        let last = self.last_answer.as_ref().map_or(Mono::ZERO, |answered| answered.sent_at);
        self.next_probe = self.next_probe.min(now.max(last + MIN_PROBE_GAP));
    }

    /// Records that the probe `number` got no answer.
    pub(super) fn probe_failed(&mut self, number: u64) {
        let Some(probe) = self.pending_probe.take_if(|probe| probe.number == number) else {
            return;
        };
        self.unanswered_since.get_or_insert(probe.sent_at);
    }

    fn probe_answered(&mut self, number: u64, answer: ProbeAnswer) -> bool {
        let Some(probe) = self.pending_probe.take_if(|probe| probe.number == number) else {
            return false;
        };
        self.unanswered_since = None;
        self.last_answer = Some(AnsweredProbe { sent_at: probe.sent_at, answer });
        true
    }

    /// Returns whether the engine still holds the weights of `member` of `group` from an earlier
    /// generation, so that a load order causes no traffic at the weight store.
    pub(super) fn has_loaded(&self, group: &GroupRecord, member: &Member) -> bool {
        self.last_answer.as_ref().is_some_and(|answered| {
            let assignment = answered.answer.assignment.as_ref();
            let same =
                assignment.is_some_and(|held| held.group == group.id && held.rank == member.rank);
            same && answered.answer.has_loaded(group)
        })
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving || self.last_answer.as_ref().is_some_and(|answered| answered.answer.leaving)
    }

    /// Returns the last answered probe, if it was sent less than `ttl` ago and no later probe
    /// failed.
    pub(super) fn fresh_answer(&self, ttl: Duration, now: Mono) -> Option<&AnsweredProbe> {
        let answered = self.last_answer.as_ref()?;
        (self.unanswered_since.is_none() && now < answered.sent_at + ttl).then_some(answered)
    }

    /// Returns when the probe that shows `member` of `group` as healthy was sent, or why the
    /// member is unhealthy.
    pub(super) fn check(
        &self,
        group: &GroupRecord,
        member: &Member,
        ttl: Duration,
        now: Mono,
    ) -> Result<Mono, UnhealthyReason> {
        let answered = self.fresh_answer(ttl, now).ok_or(UnhealthyReason::Unresponsive)?;
        match answered.answer.unhealthy_reason(group, member) {
            Some(reason) => Err(reason),
            None if self.leaving => Err(UnhealthyReason::Leaving),
            None => Ok(answered.sent_at),
        }
    }

    pub(super) fn status(&self, vm: &VmId, now: Mono) -> VmStatus {
        VmStatus {
            vm: vm.clone(),
            is_up: self.last_answer.is_some() && self.unanswered_since.is_none(),
            leaving: self.is_leaving(),
            boot: self.last_answer.as_ref().map_or(0, |answered| answered.answer.boot),
            unresponsive_for: self
                .unanswered_since
                .map_or(Duration::ZERO, |at| now.saturating_sub(at)),
        }
    }
}

impl GroupController {
    /// Times out overdue probes and sends those that are due.
    pub(super) fn review_probes(&mut self, now: Mono, actions: &mut Vec<ControllerAction>) {
        let timeout = self.settings.probe_timeout;
        let vms: Vec<VmId> = self.vms.keys().cloned().collect();
        for vm in vms {
            let tracked = &self.vms[&vm];
            let overdue = tracked.pending_probe.filter(|probe| now >= probe.sent_at + timeout);
            let due = now >= tracked.next_probe;
            if let Some(probe) = overdue {
                self.vm_mut(&vm).probe_failed(probe.number);
            }
            if due && self.vms[&vm].pending_probe.is_none() {
                self.send_probe(vm, now, actions);
            }
        }
    }

    pub(super) fn on_answer(
        &mut self,
        vm: &VmId,
        number: u64,
        answer: ProbeAnswer,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let timeout = self.settings.probe_timeout;
        let Some(tracked) = self.vms.get_mut(vm) else { return };
        // After a pause of this process, its sockets still hold answers that arrived long ago.
        if tracked.pending_probe.is_some_and(|probe| now >= probe.sent_at + timeout) {
            tracked.probe_failed(number);
            return;
        }
        let load = answer.load.clone();
        if tracked.probe_answered(number, answer) {
            self.report_load(vm, load, actions);
        }
    }

    pub(super) fn vm_mut(&mut self, vm: &VmId) -> &mut TrackedVm {
        self.vms.get_mut(vm).expect("the VM is one of the domain")
    }

    fn send_probe(&mut self, vm: VmId, now: Mono, actions: &mut Vec<ControllerAction>) {
        let is_member = self.known.as_ref().is_some_and(|known| known.group_of(&vm).is_some());
        let period = match is_member {
            true => self.settings.probe_period,
            false => self.settings.idle_probe_period,
        };
        let wait = period.mul_f64(self.rng.random_range(0.5..=1.0));
        let number = self.next_number();
        let tracked = self.vm_mut(&vm);
        tracked.pending_probe = Some(PendingProbe { number, sent_at: now });
        tracked.next_probe = now + wait;
        actions.push(ControllerAction::Probe(vm, number));
    }

    /// Reports the load of a group if `vm` is its rank 0.
    fn report_load(&self, vm: &VmId, load: Load, actions: &mut Vec<ControllerAction>) {
        let group = self.known.as_ref().and_then(|known| known.group_of(vm));
        if let Some(group) = group.filter(|group| group.members[0].vm == *vm) {
            actions.push(ControllerAction::ReportLoad(group.id.clone(), load));
        }
    }
}
