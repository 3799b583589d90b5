//! The bounded ring buffer of the process's events.
//!
//! Events are numbered consecutively, so a reader that finds a gap between two events of one
//! process knows that the ring overflowed in between.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::prelude::*;
use parking_lot::Mutex;

struct Ring {
    events: VecDeque<StampedEvent>,
    clock: HlcClock,
    next: u64,
}

/// Records the events of one process. Clones share the same ring.
#[derive(Clone)]
pub struct Recorder {
    node: NodeId,
    capacity: usize,
    ring: Arc<Mutex<Ring>>,
}

impl Recorder {
    /// Creates an empty ring of `capacity` events for the process `node`.
    pub fn new(node: NodeId, capacity: usize) -> Self {
        let ring = Ring { events: VecDeque::new(), clock: HlcClock::default(), next: 0 };
        Recorder { node, capacity, ring: Arc::new(Mutex::new(ring)) }
    }

    /// Records an event with the current time. A full ring drops its oldest event.
    pub fn record(&self, event: Event) {
        let mut ring = self.ring.lock();
        let at = ring.clock.tick(wall_millis());
        let number = ring.next;
        ring.next += 1;
        if ring.events.len() == self.capacity {
            ring.events.pop_front();
        }
        ring.events.push_back(StampedEvent { at, node: self.node.clone(), number, event });
    }

    /// Returns a new timestamp to send with a message.
    pub fn stamp(&self) -> Hlc {
        self.ring.lock().clock.tick(wall_millis())
    }

    /// Advances the clock past the timestamp of a message from another process.
    pub fn observe(&self, seen: Hlc) {
        self.ring.lock().clock.observe(seen);
    }

    /// Returns the recorded events with a number of at least `from`, oldest first.
    pub fn since(&self, from: u64) -> Vec<StampedEvent> {
        self.ring.lock().events.iter().filter(|event| event.number >= from).cloned().collect()
    }
}

fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
