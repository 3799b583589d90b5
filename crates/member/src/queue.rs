//! Queue of updates to piggyback on outgoing packets.
//!
//! Updates are sent by priority, then by the number of transmissions so far (fewest first), then by
//! age (newest first). Each update is transmitted a bounded number of times, which grows with the
//! logarithm of the number of members. A newer update of the same subject replaces an older one.
//!
//! Receiving a queued update from another member counts as [`DUPLICATE_WEIGHT`] transmissions,
//! since the update is then widely known. This shortens the traffic of a fleet-wide change, such as
//! the return of a region. Members that miss an update for this reason get it by anti-entropy.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;

use crate::fact::FactKey;
use crate::fact::Priority;

/// Transmissions that are counted when another member sends a queued update to this one.
pub const DUPLICATE_WEIGHT: u32 = 3;

/// Subject of an update. The queue holds subjects only; contents are read from the state when an
/// update is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The membership record of a process.
    Member(NodeId),
    /// The fact stored under a key.
    Fact(FactKey),
}

impl Subject {
    fn priority(&self) -> Priority {
        match self {
            Subject::Member(_) => Priority::Member,
            Subject::Fact(key) => key.priority(),
        }
    }
}

/// Result of offering an update for a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It was added to the packet.
    Taken,
    /// Its subject no longer exists in the state.
    Gone,
    /// It does not fit into the rest of the packet.
    Full,
}

/// An entry of the queue. The derived order, field by field, is the order of sending.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    priority: Priority,
    sent: u32,
    newest_first: std::cmp::Reverse<u64>,
    subject: Subject,
}

/// Updates that wait to be sent, at most one for each subject.
#[derive(Clone, Debug, Default)]
pub struct BroadcastQueue {
    slots: BTreeSet<Slot>,
    /// Number of transmissions and sequence number of each subject's slot.
    index: BTreeMap<Subject, (u32, u64)>,
    /// Sequence number of the newest update.
    last_number: u64,
}

impl BroadcastQueue {
    /// Adds an update of `subject`, replacing an older one.
    pub fn push(&mut self, subject: Subject) {
        self.remove(&subject);
        self.last_number += 1;
        self.insert(subject, 0, self.last_number);
    }

    /// Removes the update of `subject`.
    pub fn remove(&mut self, subject: &Subject) {
        if let Some((sent, number)) = self.index.remove(subject) {
            self.slots.remove(&slot(subject.clone(), sent, number));
        }
    }

    /// Counts [`DUPLICATE_WEIGHT`] transmissions because another member sent the queued update of
    /// `subject`. The update is removed once it has reached `limit`.
    pub fn note_duplicate(&mut self, subject: &Subject, limit: u32) {
        let Some((sent, number)) = self.index.get(subject).copied() else { return };
        self.remove(subject);
        let sent = sent + DUPLICATE_WEIGHT;
        if sent < limit {
            self.insert(subject.clone(), sent, number);
        }
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Offers the updates to `take` in sending order until it returns [`Offer::Full`].
    ///
    /// Each update that was taken counts one transmission and is removed after `limit` of them.
    pub fn drain_into(&mut self, limit: u32, mut take: impl FnMut(&Subject) -> Offer) {
        let mut taken = Vec::new();
        let mut gone = Vec::new();
        for slot in &self.slots {
            match take(&slot.subject) {
                Offer::Taken => taken.push(slot.clone()),
                Offer::Gone => gone.push(slot.subject.clone()),
                Offer::Full => break,
            }
        }
        for subject in gone {
            self.remove(&subject);
        }
        for slot in taken {
            self.remove(&slot.subject);
            if slot.sent + 1 < limit {
                self.insert(slot.subject, slot.sent + 1, slot.newest_first.0);
            }
        }
    }

    fn insert(&mut self, subject: Subject, sent: u32, number: u64) {
        self.index.insert(subject.clone(), (sent, number));
        self.slots.insert(slot(subject, sent, number));
        debug_assert_eq!(self.slots.len(), self.index.len(), "each subject has one slot");
    }
}

fn slot(subject: Subject, sent: u32, number: u64) -> Slot {
    Slot { priority: subject.priority(), sent, newest_first: std::cmp::Reverse(number), subject }
}
