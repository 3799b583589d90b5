//! Group commit: when a shard's waiting entries are written.
//!
//! Each shard has at most one write under way, and begins one at most every flush period in the
//! mean, so the number of writes follows from the shards and the period and not from the requests.
//! A shard that wrote less may begin up to [`BURST_WRITES`] at once, so few claims don't wait. Reports are not urgent: they go with the next claims, or
//! alone after a delay. Entries for one segment are written together, the longest due first.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::apply::Entry;
use crate::settings::OnceSettings;
use crate::settings::SegmentId;

/// Writes that a shard may begin at once after an idle time.
pub const BURST_WRITES: u32 = 4;
/// Most entries of one write.
pub const MAX_BATCH_ENTRIES: usize = 4_096;
/// Most entries that wait in one process.
pub const MAX_WAITING_ENTRIES: usize = 32_768;

/// Number of a waiting entry, given by who waits.
pub type Ticket = u64;

/// What happens to the waiting entries.
#[data]
pub enum Event {
    /// An entry arrived.
    Arrived {
        /// Its segment.
        place: SegmentId,
        /// Its number.
        ticket: Ticket,
        /// The entry.
        entry: Entry,
        /// How long it may wait for others.
        delay: Duration,
    },
    /// The write of a shard has ended.
    WriteEnded {
        /// The shard.
        shard: u32,
    },
    /// A time that was asked for has come.
    Woken,
}

/// What is to be done.
#[data]
pub enum Action {
    /// Write these entries.
    Flush {
        /// Their segment.
        place: SegmentId,
        /// The entries with their numbers.
        batch: Vec<(Ticket, Entry)>,
    },
    /// Too many entries wait; this one is refused.
    Refuse {
        /// Its number.
        ticket: Ticket,
    },
    /// Wake at this time.
    WakeAt(Mono),
}

/// The entries that wait for one segment.
#[derive(Clone, Debug)]
struct PendingBatch {
    /// When the first of them is due.
    due: Mono,
    entries: Vec<(Ticket, Entry)>,
}

#[derive(Clone, Debug, Default)]
struct Shard {
    slots: BTreeMap<u64, PendingBatch>,
    in_flight: bool,
    /// When the next write would begin if all writes were a period apart.
    theoretical_start: Mono,
    /// When the next write may begin.
    next_start: Mono,
}

impl Shard {
    fn add(&mut self, slot: u64, ticket: Ticket, entry: Entry, due: Mono) {
        let lane =
            self.slots.entry(slot).or_insert_with(|| PendingBatch { due, entries: Vec::new() });
        lane.due = lane.due.min(due);
        lane.entries.push((ticket, entry));
    }

    /// Returns the slot whose entries have waited longest, and since when they are due.
    fn next(&self) -> Option<(u64, Mono)> {
        let slots = self.slots.iter().map(|(slot, lane)| (*slot, lane.due));
        slots.min_by_key(|(slot, due)| (*due, *slot))
    }

    fn take(&mut self, slot: u64) -> Vec<(Ticket, Entry)> {
        let Some(mut lane) = self.slots.remove(&slot) else { return Vec::new() };
        if lane.entries.len() > MAX_BATCH_ENTRIES {
            let entries = lane.entries.split_off(MAX_BATCH_ENTRIES);
            self.slots.insert(slot, PendingBatch { due: lane.due, entries });
        }
        lane.entries
    }
}

/// The waiting entries of all shards.
#[derive(Clone, Debug)]
pub struct GroupCommit {
    period: Duration,
    waiting: usize,
    shards: BTreeMap<u32, Shard>,
}

impl GroupCommit {
    /// Returns an empty gatherer.
    pub fn new(cfg: &OnceSettings) -> Self {
        let period = Duration::from_millis(cfg.flush_period_ms);
        GroupCommit { period, waiting: 0, shards: BTreeMap::new() }
    }

    /// Returns the number of entries that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns what is to be done after an event.
    pub fn decide(&mut self, event: Event, now: Mono) -> Vec<Action> {
        match event {
            Event::Arrived { ticket, .. } if self.waiting >= MAX_WAITING_ENTRIES => {
                vec![Action::Refuse { ticket }]
            }
            Event::Arrived { place, ticket, entry, delay } => {
                let shard = self.shards.entry(place.shard).or_default();
                shard.add(place.slot, ticket, entry, now + delay);
                self.waiting += 1;
                self.flush(place.shard, now).into_iter().collect()
            }
            Event::WriteEnded { shard } => {
                if let Some(shard) = self.shards.get_mut(&shard) {
                    shard.in_flight = false;
                }
                self.flush(shard, now).into_iter().collect()
            }
            Event::Woken => {
                let shards: Vec<u32> = self.shards.keys().copied().collect();
                shards.into_iter().filter_map(|shard| self.flush(shard, now)).collect()
            }
        }
    }

    /// Writes the entries of a shard, if the time has come, or tells when it will.
    fn flush(&mut self, number: u32, now: Mono) -> Option<Action> {
        let shard = self.shards.get_mut(&number)?;
        if shard.in_flight {
            return None;
        }
        let (slot, due) = shard.next()?;
        let at = due.max(shard.next_start);
        if now < at {
            return Some(Action::WakeAt(at));
        }
        let batch = shard.take(slot);
        shard.in_flight = true;
        let saved = self.period * (BURST_WRITES - 1);
        shard.theoretical_start = shard.theoretical_start.max(now) + self.period;
        shard.next_start = shard.theoretical_start.saturating_sub(saved);
        self.waiting -= batch.len();
        Some(Action::Flush { place: SegmentId { shard: number, slot }, batch })
    }
}
