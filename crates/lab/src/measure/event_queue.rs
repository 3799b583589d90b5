//! A queue of future events ordered by time, for discrete-event simulations.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Future events; events of the same time are returned in the order of insertion.
pub struct EventQueue<T> {
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: std::collections::HashMap<u64, T>,
    count: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), events: Default::default(), count: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: Duration, event: T) {
        self.count += 1;
        self.heap.push(Reverse((at, self.count)));
        self.events.insert(self.count, event);
    }

    /// Removes and returns the next event and its time.
    pub fn pop(&mut self) -> Option<(Duration, T)> {
        let Reverse((at, number)) = self.heap.pop()?;
        self.events.remove(&number).map(|event| (at, event))
    }
}
