//! Reading and writing the record.
//!
//! At most one call to the key-value service is pending at a time. A refused write is
//! retried after a random part of `record_poll`, so neither an outage of the key-value service
//! nor its end causes a burst of calls. After a write with unknown outcome the record is read
//! again, and further decisions follow from what is stored, whether or not the write was applied.
//! If such a write is applied even later, either its own compare-and-swap or that of the next
//! write fails.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::Rng;

use crate::controller::ControllerAction;
use crate::controller::GroupController;
use crate::controller::StoredRecord;
use crate::controller::WriteOutcome;
use crate::controller::group::TrackedGroup;
use crate::record::FabricRecord;
use crate::record::GroupRecord;
use crate::record::GroupState;
use crate::transition;
use crate::transition::Transition;

/// The record as last read or written by this controller.
#[derive(Clone, Debug)]
pub(super) struct KnownRecord {
    pub(super) record: FabricRecord,
    /// The store revision of its last write; 0 if it was never written.
    pub(super) revision: u64,
    /// When the call that last showed it as the stored record was sent.
    pub(super) confirmed: Mono,
    /// The record that the pending write stores.
    pub(super) next: Option<Box<FabricRecord>>,
    /// For each member VM, the index of its group in the record.
    group_index: BTreeMap<VmId, usize>,
}

impl KnownRecord {
    fn new(record: FabricRecord, revision: u64, confirmed: Mono) -> Self {
        let groups = record.groups.iter().enumerate();
        let places = groups
            .flat_map(|(i, group)| group.members.iter().map(move |member| (member.vm.clone(), i)))
            .collect();
        KnownRecord { record, revision, confirmed, next: None, group_index: places }
    }

    /// Returns the group that `vm` is a member of.
    pub(super) fn group_of(&self, vm: &str) -> Option<&GroupRecord> {
        self.group_index.get(vm).map(|i| &self.record.groups[*i])
    }
}

impl GroupController {
    /// Reads the record if the next read is due.
    pub(super) fn read_record_if_due(&mut self, now: Mono, actions: &mut Vec<ControllerAction>) {
        if self.pending_read.is_none() && self.pending_write.is_none() && now >= self.next_read {
            self.pending_read = Some(now);
            let wait = self.settings.record_poll.mul_f64(self.rng.random_range(0.5..=1.0));
            self.next_read = now + wait;
            actions.push(ControllerAction::ReadRecord);
        }
    }

    pub(super) fn on_read(
        &mut self,
        found: Option<StoredRecord>,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let Some(sent_at) = self.pending_read.take() else { return };
        // A read answered after a write began may show the record from before that write.
        if self.pending_write.is_some() {
            return;
        }
        let stored = found.unwrap_or_else(|| StoredRecord {
            revision: 0,
            record: FabricRecord::empty(self.fabric.clone()),
        });
        if self.known.as_ref().is_some_and(|known| stored.revision < known.revision) {
            return;
        }
        self.install_record(stored.record, stored.revision, sent_at, now, actions);
    }

    pub(super) fn on_written(
        &mut self,
        id: WriteId,
        outcome: WriteOutcome,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let Some((_, sent_at)) = self.pending_write.take_if(|(writing, _)| *writing == id) else {
            return;
        };
        let next = self.known.as_mut().and_then(|known| known.next.take());
        match (outcome, next) {
            (WriteOutcome::Done(revision), Some(next)) => {
                self.install_record(*next, revision, sent_at, now, actions);
            }
            (WriteOutcome::Refused, _) => {
                let wait = self.settings.record_poll.mul_f64(self.rng.random_range(0.5..=1.0));
                self.next_write = now + wait;
            }
            _ => self.next_read = now,
        }
    }

    /// Applies all transitions that are allowed and writes the result, in one write.
    pub(super) fn write_transitions(
        &mut self,
        transitions: Vec<Transition>,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let waits =
            self.pending_write.is_some() || self.pending_read.is_some() || now < self.next_write;
        if transitions.is_empty() || waits {
            return;
        }
        let write_id = self.rng.random_range(1..=u64::MAX);
        let Some(known) = &mut self.known else { return };
        let mut next = known.record.clone();
        for change in &transitions {
            match transition::apply(&next, change, write_id) {
                Ok(changed) => next = changed,
                Err(findings) => debug_assert!(false, "{change:?}: {findings}"),
            }
        }
        known.next = Some(Box::new(next.clone()));
        self.pending_write = Some((write_id, now));
        actions.push(ControllerAction::WriteRecord(known.revision, Box::new(next)));
    }

    /// Adopts a stored record, revokes the leases of groups that are gone, and emits an event for
    /// each group that changed.
    fn install_record(
        &mut self,
        record: FabricRecord,
        revision: u64,
        sent_at: Mono,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        self.groups.retain(|id, tracked| {
            let stays = record.group(id).is_some();
            if !stays && tracked.clear_lease() {
                actions.push(ControllerAction::RevokeLease(id.clone(), tracked.generation));
            }
            if !stays {
                actions.push(event(id, tracked.generation, GroupState::Dissolved, "dissolved"));
            }
            stays
        });
        for group in &record.groups {
            let tracked =
                self.groups.entry(group.id.clone()).or_insert_with(|| TrackedGroup::new(now));
            if tracked.update_from_record(group, now) {
                let wants_boots = group.state == GroupState::Forming;
                for member in group.members.iter().filter(|_| wants_boots) {
                    self.vms.entry(member.vm.clone()).and_modify(|vm| vm.expedite_probe(now));
                }
                actions.push(event(&group.id, group.generation, group.state, tracked.reason()));
            }
        }
        self.known = Some(KnownRecord::new(record, revision, sent_at));
    }
}

fn event(
    id: &GroupId,
    generation: Generation,
    state: GroupState,
    reason: &str,
) -> ControllerAction {
    ControllerAction::LogEvent(Event::Group {
        group: id.clone(),
        generation,
        state: state.name().into(),
        reason: reason.into(),
    })
}
