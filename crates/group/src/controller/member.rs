//! Probing of the VMs of a domain.
//!
//! A VM has at most one probe under way, and probes of a VM are at least half a period apart, but
//! for one more after each change of its group. So the rate of probes is bounded by VMs over half
//! the period, and the changes of records.

use base::prelude::*;
use rand::Rng;

use crate::controller::ControllerAction;
use crate::controller::GroupController;
use crate::probe::Load;
use crate::probe::ProbeAnswer;
use crate::probe::UnhealthyReason;
use crate::record::GroupRecord;
use crate::record::Member;

/// Shortest time between an answered probe of a VM and the next.
const MIN_PROBE_GAP: Duration = Duration::from_millis(100);

/// What the planner is told of a VM.
#[wire]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// Whether it answered its last probe.
    pub is_up: bool,
    /// Whether it is leaving, by whatever word.
    pub leaving: bool,
    /// The life of its engine that answered last; 0 if none did.
    pub boot: BootId,
    /// How long ago the first of its present run of unanswered probes was sent.
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

/// What a keeper knows of a VM.
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
    /// The generation of the last order that the engine took.
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

    /// Forgets all but what the configuration says.
    pub(super) fn restart(&mut self, first_probe: Mono) {
        let fresh = TrackedVm::new(first_probe);
        *self = TrackedVm { checks_fencing: self.checks_fencing, leaving: self.leaving, ..fresh };
    }

    /// Brings the next probe forward, since the VM's group has changed.
    pub(super) fn expedite_probe(&mut self, now: Mono) {
        let last = self.last_answer.as_ref().map_or(Mono::ZERO, |seen| seen.sent_at);
        self.next_probe = self.next_probe.min(now.max(last + MIN_PROBE_GAP));
    }

    /// Notes that the probe `number` got no answer.
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

    /// Returns whether the engine holds the weights of `member` of `group`, of an earlier
    /// generation, so that an order costs the weight store nothing.
    pub(super) fn has_loaded(&self, group: &GroupRecord, member: &Member) -> bool {
        self.last_answer.as_ref().is_some_and(|seen| {
            let held = seen.answer.assignment.as_ref();
            let same = held.is_some_and(|held| held.group == group.id && held.rank == member.rank);
            same && seen.answer.has_loaded(group)
        })
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving || self.last_answer.as_ref().is_some_and(|seen| seen.answer.leaving)
    }

    /// Returns the last answer, if it is no older than `ttl` and no later probe failed.
    pub(super) fn fresh_answer(&self, ttl: Duration, now: Mono) -> Option<&AnsweredProbe> {
        let seen = self.last_answer.as_ref()?;
        (self.unanswered_since.is_none() && now < seen.sent_at + ttl).then_some(seen)
    }

    /// Returns when the probe behind `member` of `group` was sent, or why it is in doubt.
    pub(super) fn check(
        &self,
        group: &GroupRecord,
        member: &Member,
        ttl: Duration,
        now: Mono,
    ) -> Result<Mono, UnhealthyReason> {
        let seen = self.fresh_answer(ttl, now).ok_or(UnhealthyReason::Unresponsive)?;
        match seen.answer.unhealthy_reason(group, member) {
            Some(doubt) => Err(doubt),
            None if self.leaving => Err(UnhealthyReason::Leaving),
            None => Ok(seen.sent_at),
        }
    }

    pub(super) fn status(&self, vm: &VmId, now: Mono) -> VmStatus {
        VmStatus {
            vm: vm.clone(),
            is_up: self.last_answer.is_some() && self.unanswered_since.is_none(),
            leaving: self.is_leaving(),
            boot: self.last_answer.as_ref().map_or(0, |seen| seen.answer.boot),
            unresponsive_for: self
                .unanswered_since
                .map_or(Duration::ZERO, |at| now.saturating_sub(at)),
        }
    }
}

impl GroupController {
    /// Gives up probes that are overdue and sends those that are due.
    pub(super) fn review_probes(&mut self, now: Mono, actions: &mut Vec<ControllerAction>) {
        let timeout = self.settings.probe_timeout;
        let vms: Vec<VmId> = self.vms.keys().cloned().collect();
        for vm in vms {
            let watch = &self.vms[&vm];
            let overdue = watch.pending_probe.filter(|probe| now >= probe.sent_at + timeout);
            let due = now >= watch.next_probe;
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
        let Some(watch) = self.vms.get_mut(vm) else { return };
        // A process that was paused finds the answers of long ago in its sockets.
        if watch.pending_probe.is_some_and(|probe| now >= probe.sent_at + timeout) {
            watch.probe_failed(number);
            return;
        }
        let load = answer.load.clone();
        if watch.probe_answered(number, answer) {
            self.report_load(vm, load, actions);
        }
    }

    pub(super) fn vm_mut(&mut self, vm: &VmId) -> &mut TrackedVm {
        self.vms.get_mut(vm).expect("the VM is one of the domain")
    }

    fn send_probe(&mut self, vm: VmId, now: Mono, actions: &mut Vec<ControllerAction>) {
        let is_member = self.known.as_ref().is_some_and(|held| held.group_of(&vm).is_some());
        let period = match is_member {
            true => self.settings.probe_period,
            false => self.settings.idle_probe_period,
        };
        let wait = period.mul_f64(self.rng.random_range(0.5..=1.0));
        let number = self.next_number();
        let watch = self.vm_mut(&vm);
        watch.pending_probe = Some(PendingProbe { number, sent_at: now });
        watch.next_probe = now + wait;
        actions.push(ControllerAction::Probe(vm, number));
    }

    /// Reports the load of the group whose rank 0 answered.
    fn report_load(&self, vm: &VmId, load: Load, actions: &mut Vec<ControllerAction>) {
        let group = self.known.as_ref().and_then(|held| held.group_of(vm));
        if let Some(group) = group.filter(|group| group.members[0].vm == *vm) {
            actions.push(ControllerAction::ReportLoad(group.id.clone(), load));
        }
    }
}
