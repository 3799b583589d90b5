//! Reading and writing the record.
//!
//! At most one call is under way. A refused write is tried again after a drawn part of
//! `record_poll`, so an outage and its end bring no burst of calls. After an unclear one the record is read: whether the write
//! took effect or not, the next decisions follow from what stands. A write that takes effect
//! even later meets the compare-and-swap of all later ones.

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

/// The record as this keeper knows it.
#[derive(Clone, Debug)]
pub(super) struct KnownRecord {
    pub(super) record: FabricRecord,
    /// The service's revision of its last write; 0 if it was never written.
    pub(super) revision: u64,
    /// When the call that last showed it as standing was sent.
    pub(super) confirmed: Mono,
    /// The record that a write under way would make it.
    pub(super) next: Option<Box<FabricRecord>>,
    /// The place of each member's group in the record.
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
    /// Reads the record when it is due.
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
        // A read that was answered after a write began may show what stood before it.
        if self.pending_write.is_some() {
            return;
        }
        let stored = found.unwrap_or_else(|| StoredRecord {
            revision: 0,
            record: FabricRecord::empty(self.fabric.clone()),
        });
        if self.known.as_ref().is_some_and(|held| stored.revision < held.revision) {
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
        let next = self.known.as_mut().and_then(|held| held.next.take());
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

    /// Applies all moves that are legal and writes the result.
    pub(super) fn write_transitions(
        &mut self,
        moves: Vec<Transition>,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        let waits =
            self.pending_write.is_some() || self.pending_read.is_some() || now < self.next_write;
        if moves.is_empty() || waits {
            return;
        }
        let write_id = self.rng.random_range(1..=u64::MAX);
        let Some(held) = &mut self.known else { return };
        let mut next = held.record.clone();
        for change in &moves {
            match transition::apply(&next, change, write_id) {
                Ok(changed) => next = changed,
                Err(findings) => debug_assert!(false, "{change:?}: {findings}"),
            }
        }
        held.next = Some(Box::new(next.clone()));
        self.pending_write = Some((write_id, now));
        actions.push(ControllerAction::WriteRecord(held.revision, Box::new(next)));
    }

    /// Takes over a record that stands, and records what it changes.
    fn install_record(
        &mut self,
        record: FabricRecord,
        revision: u64,
        sent_at: Mono,
        now: Mono,
        actions: &mut Vec<ControllerAction>,
    ) {
        self.groups.retain(|id, watch| {
            let stays = record.group(id).is_some();
            if !stays && watch.clear_lease() {
                actions.push(ControllerAction::RevokeLease(id.clone(), watch.generation));
            }
            if !stays {
                actions.push(event(id, watch.generation, GroupState::Dissolved, "dissolved"));
            }
            stays
        });
        for group in &record.groups {
            let watch =
                self.groups.entry(group.id.clone()).or_insert_with(|| TrackedGroup::new(now));
            if watch.update_from_record(group, now) {
                let wants_boots = group.state == GroupState::Forming;
                for member in group.members.iter().filter(|_| wants_boots) {
                    self.vms.entry(member.vm.clone()).and_modify(|vm| vm.expedite_probe(now));
                }
                actions.push(event(&group.id, group.generation, group.state, watch.reason()));
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
