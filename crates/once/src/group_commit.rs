//! Group commit: decides when the waiting entries of a shard are written.
//!
//! Each shard has at most one write in flight, and starts on average at most one write per flush
//! period, so the write rate depends on the number of shards and the period, not on the number of
//! requests. A shard that wrote less may start up to [`BURST_WRITES`] writes in a burst, so claims
//! do not wait at a low rate. Reports are not urgent: they are written together with the next
//! claims, or by themselves after a delay. The entries of one segment are written together, and the
//! segment with the earliest due time goes first.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::apply::Entry;
use crate::settings::OnceSettings;
use crate::settings::SegmentId;

/// Writes that a shard may start in a burst after an idle time.
pub const BURST_WRITES: u32 = 4;
/// Maximum number of entries in one write.
pub const MAX_BATCH_ENTRIES: usize = 4_096;
/// Maximum number of entries that wait in one process.
pub const MAX_WAITING_ENTRIES: usize = 32_768;

/// Number of a waiting entry, chosen by the caller.
pub type Ticket = u64;

/// An input of the state machine.
#[data]
pub enum Event {
    /// An entry arrived.
    Arrived {
        /// Its segment.
        segment_id: SegmentId,
        /// Its number.
        ticket: Ticket,
        /// The entry.
        entry: Entry,
        /// How long it may wait for other entries of the segment.
        delay: Duration,
    },
    /// The write of a shard has ended.
    WriteEnded {
        /// The shard.
        shard: u32,
    },
    /// The time of an [`Action::WakeAt`] has come.
    Woken,
}

/// An output of the state machine, to be carried out by the caller.
#[data]
pub enum Action {
    /// Write a batch.
    Flush {
        /// The segment.
        segment_id: SegmentId,
        /// The entries with their numbers.
        batch: Vec<(Ticket, Entry)>,
    },
    /// Refuse an entry, because too many are waiting.
    Refuse {
        /// Its number.
        ticket: Ticket,
    },
    /// Send [`Event::Woken`] at this time.
    WakeAt(Mono),
}

/// The entries that wait for one segment.
#[derive(Clone, Debug)]
struct PendingBatch {
    /// When the first of them to become due is due.
    due: Mono,
    entries: Vec<(Ticket, Entry)>,
}

#[derive(Clone, Debug, Default)]
struct Shard {
    /// Waiting entries by slot.
    slots: BTreeMap<u64, PendingBatch>,
    /// Whether a write is in flight.
    in_flight: bool,
    /// When the next write would start if all writes were one period apart: the theoretical arrival
    /// time of the generic cell rate algorithm.
    theoretical_start: Mono,
    /// Earliest time of the next write.
    next_start: Mono,
}

impl Shard {
    fn add(&mut self, slot: u64, ticket: Ticket, entry: Entry, due: Mono) {
        let pending =
            self.slots.entry(slot).or_insert_with(|| PendingBatch { due, entries: Vec::new() });
        pending.due = pending.due.min(due);
        pending.entries.push((ticket, entry));
    }

    /// Returns the slot with the earliest due time, and that time.
    fn next(&self) -> Option<(u64, Mono)> {
        let slots = self.slots.iter().map(|(slot, pending)| (*slot, pending.due));
        slots.min_by_key(|(slot, due)| (*due, *slot))
    }

    /// Removes up to [`MAX_BATCH_ENTRIES`] entries of a slot, in the order of their arrival.
    fn take(&mut self, slot: u64) -> Vec<(Ticket, Entry)> {
        let Some(mut pending) = self.slots.remove(&slot) else { return Vec::new() };
        if pending.entries.len() > MAX_BATCH_ENTRIES {
            let entries = pending.entries.split_off(MAX_BATCH_ENTRIES);
            self.slots.insert(slot, PendingBatch { due: pending.due, entries });
        }
        pending.entries
    }
}

/// Waiting entries of all shards, and when they are written.
#[derive(Clone, Debug)]
pub struct GroupCommit {
    period: Duration,
    waiting: usize,
    shards: BTreeMap<u32, Shard>,
}

impl GroupCommit {
    /// Returns the state in which no entries wait.
    pub fn new(cfg: &OnceSettings) -> Self {
        let period = Duration::from_millis(cfg.flush_period_ms);
        GroupCommit { period, waiting: 0, shards: BTreeMap::new() }
    }

    /// Returns the number of waiting entries.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Applies `event` at `now` and returns the actions to carry out.
    pub fn decide(&mut self, event: Event, now: Mono) -> Vec<Action> {
        match event {
            Event::Arrived { ticket, .. } if self.waiting >= MAX_WAITING_ENTRIES => {
                vec![Action::Refuse { ticket }]
            }
            Event::Arrived { segment_id, ticket, entry, delay } => {
                let shard = self.shards.entry(segment_id.shard).or_default();
                shard.add(segment_id.slot, ticket, entry, now + delay);
                self.waiting += 1;
                self.flush(segment_id.shard, now).into_iter().collect()
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

    /// Starts the next write of a shard if it may start now. Otherwise requests to be woken at the
    /// earliest time at which it may.
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
        let burst_allowance = self.period * (BURST_WRITES - 1);
        shard.theoretical_start = shard.theoretical_start.max(now) + self.period;
        shard.next_start = shard.theoretical_start.saturating_sub(burst_allowance);
        self.waiting -= batch.len();
        Some(Action::Flush { segment_id: SegmentId { shard: number, slot }, batch })
    }
}
