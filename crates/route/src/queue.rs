//! The bounded queue of requests that wait for a group.
//!
//! Requests are served by priority, then by deadline, then by arrival. A request is given up on
//! as soon as its answer can't be complete by its deadline, and that is told at once.
//!
//! Invariants: never more than `capacity` entries; a full queue gives up its last entry only for
//! one that goes before it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use base::prelude::*;

use crate::need::Need;
use crate::need::Priority;

type Place = (Reverse<Priority>, Mono, u64);

/// A waiting request.
#[data]
pub struct Waiting {
    /// What it needs.
    pub need: Need,
    /// How long its answer takes once it starts.
    pub service: Duration,
}

impl Waiting {
    /// Returns whether the answer can be complete by the deadline if it starts after `wait`.
    pub fn can_end(&self, wait: Duration, now: Mono) -> bool {
        now + wait + self.service <= self.need.deadline
    }
}

/// The queue.
#[data]
pub struct Queue {
    capacity: usize,
    arrivals: u64,
    entries: BTreeMap<Place, Waiting>,
}

impl Queue {
    /// Makes an empty queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Queue { capacity, arrivals: 0, entries: BTreeMap::new() }
    }

    /// Adds a request; returns the one that is given up for it if the queue is full.
    pub fn push(&mut self, waiting: Waiting) -> Option<Waiting> {
        self.arrivals += 1;
        let place = (Reverse(waiting.need.priority), waiting.need.deadline, self.arrivals);
        self.entries.insert(place, waiting);
        if self.entries.len() <= self.capacity {
            return None;
        }
        self.entries.pop_last().map(|(_, last)| last)
    }

    /// Removes and returns the first request for which `ready` holds.
    pub fn pop(&mut self, mut ready: impl FnMut(&Need) -> bool) -> Option<Waiting> {
        let place = self
            .entries
            .iter()
            .find(|(_, waiting)| ready(&waiting.need))
            .map(|(place, _)| *place)?;
        self.entries.remove(&place)
    }

    /// Removes the request `id`, for a caller that went away.
    pub fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let is_it = |(_, waiting): &(&Place, &Waiting)| waiting.need.request == id;
        let place = self.entries.iter().find(is_it).map(|(place, _)| *place)?;
        self.entries.remove(&place)
    }

    /// Removes and returns all requests that can't end in time even if they start at once.
    pub fn expire(&mut self, now: Mono) -> Vec<Waiting> {
        self.take_where(|waiting| !waiting.can_end(Duration::ZERO, now))
    }

    /// Removes and returns all requests for which `is_due` holds.
    pub fn take_where(&mut self, is_due: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        self.entries.retain(|_, waiting| {
            let is_due = is_due(waiting);
            if is_due {
                taken.push(waiting.clone());
            }
            !is_due
        });
        taken
    }

    /// Returns how many waiting requests would be served before `need`.
    pub fn ahead_of(&self, need: &Need) -> usize {
        self.entries.range(..(Reverse(need.priority), need.deadline, u64::MAX)).count()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the fill level, 0 to 1.
    pub fn fullness(&self) -> f64 {
        self.entries.len() as f64 / self.capacity.max(1) as f64
    }
}
