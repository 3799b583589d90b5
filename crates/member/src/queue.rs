//! The updates that wait to be passed on.
//!
//! Updates go out by priority, then those that were passed on least, then the newest. Each is
//! passed on a bounded number of times, which grows with the logarithm of the members; a newer
//! update of the same subject replaces it.
//!
//! Hearing from another member what waits here counts as [`DUPLICATE_WEIGHT`] times passed on, as
//! the update is then widely known. So a change of the whole fleet at once, such as the return of a
//! region, is over sooner; what it might miss is brought by the exchange of digests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;

use crate::fact::FactKey;
use crate::fact::Priority;

/// How often an update counts as passed on when another member passes it on to this one.
pub const DUPLICATE_WEIGHT: u32 = 3;

/// What an update is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The claim about a process.
    Member(NodeId),
    /// The fact of a key.
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

/// What became of an update that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It was passed on.
    Taken,
    /// Its subject is no longer known.
    Gone,
    /// It did not fit.
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    priority: Priority,
    sent: u32,
    newest_first: std::cmp::Reverse<u64>,
    subject: Subject,
}

/// The updates that wait to be passed on.
#[derive(Clone, Debug, Default)]
pub struct BroadcastQueue {
    slots: BTreeSet<Slot>,
    places: BTreeMap<Subject, (u32, u64)>,
    next: u64,
}

impl BroadcastQueue {
    /// Adds the update of `subject`, in place of an older one.
    pub fn push(&mut self, subject: Subject) {
        self.remove(&subject);
        self.next += 1;
        self.insert(subject, 0, self.next);
    }

    /// Removes the update of `subject`.
    pub fn remove(&mut self, subject: &Subject) {
        if let Some((sent, number)) = self.places.remove(subject) {
            self.slots.remove(&slot(subject.clone(), sent, number));
        }
    }

    /// Notes that another member passed on what waits here for `subject`.
    pub fn note_duplicate(&mut self, subject: &Subject, limit: u32) {
        let Some((sent, number)) = self.places.get(subject).copied() else { return };
        self.remove(subject);
        let sent = sent + DUPLICATE_WEIGHT;
        if sent < limit {
            self.insert(subject.clone(), sent, number);
        }
    }

    /// Returns how many updates wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no update waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Offers the updates in order to `take`, until it says that the packet is full.
    ///
    /// What was taken counts as passed on once more and leaves after `limit` times.
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
        self.places.insert(subject.clone(), (sent, number));
        self.slots.insert(slot(subject, sent, number));
        debug_assert_eq!(self.slots.len(), self.places.len(), "each subject has one slot");
    }
}

fn slot(subject: Subject, sent: u32, number: u64) -> Slot {
    Slot { priority: subject.priority(), sent, newest_first: std::cmp::Reverse(number), subject }
}
