//! The bounded queue of requests that wait for a group.
//!
//! Requests are served by priority, then by deadline, then by arrival. A request is dropped as soon
//! as its answer can't be complete by its deadline, so that its caller is refused at once.
//!
//! Invariants: the queue never holds more than `capacity` requests; a full queue drops its last
//! request only for one that is served before it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use base::prelude::*;

use crate::request::Priority;
use crate::request::RequestSpec;

/// Priority, deadline and arrival number: smaller keys are served first.
type QueueKey = (Reverse<Priority>, Mono, u64);

/// A queued request.
#[data]
pub struct QueuedRequest {
    /// The request.
    pub spec: RequestSpec,
    /// How long its answer takes once it is sent.
    pub service_time: Duration,
}

impl QueuedRequest {
    /// Returns whether the answer can be complete by the deadline if it is sent `wait` after `now`.
    pub fn can_finish(&self, wait: Duration, now: Mono) -> bool {
        now + wait + self.service_time <= self.spec.deadline
    }
}

/// The queue; see the [module](self).
#[data]
pub struct Queue {
    capacity: usize,
    arrivals: u64,
    entries: BTreeMap<QueueKey, QueuedRequest>,
}

impl Queue {
    /// Creates an empty queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Queue { capacity, arrivals: 0, entries: BTreeMap::new() }
    }

    /// Adds a request; if the queue was full, returns the request that is dropped, which may be the
    /// new one.
    pub fn push(&mut self, waiting: QueuedRequest) -> Option<QueuedRequest> {
        self.arrivals += 1;
        let key = (Reverse(waiting.spec.priority), waiting.spec.deadline, self.arrivals);
        self.entries.insert(key, waiting);
        if self.entries.len() <= self.capacity {
            return None;
        }
        self.entries.pop_last().map(|(_, last)| last)
    }

    /// Removes and returns the first request for which `ready` holds.
    pub fn pop(&mut self, mut ready: impl FnMut(&RequestSpec) -> bool) -> Option<QueuedRequest> {
        let key =
            self.entries.iter().find(|(_, waiting)| ready(&waiting.spec)).map(|(key, _)| *key)?;
        self.entries.remove(&key)
    }

    /// Removes the request `id`, whose caller went away.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let has_id = |(_, waiting): &(&QueueKey, &QueuedRequest)| waiting.spec.request == id;
        let key = self.entries.iter().find(has_id).map(|(key, _)| *key)?;
        self.entries.remove(&key)
    }

    /// Removes and returns all requests that can't finish in time even if they are sent at once.
    pub fn expire(&mut self, now: Mono) -> Vec<QueuedRequest> {
        self.remove_where(|waiting| !waiting.can_finish(Duration::ZERO, now))
    }

    /// Removes and returns all requests for which `is_due` holds.
    pub fn remove_where(&mut self, is_due: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
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

    /// Returns how many queued requests are served before `spec`.
    pub fn ahead_of(&self, spec: &RequestSpec) -> usize {
        self.entries.range(..(Reverse(spec.priority), spec.deadline, u64::MAX)).count()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the fill level, from 0 to 1.
    pub fn fill_level(&self) -> f64 {
        self.entries.len() as f64 / self.capacity.max(1) as f64
    }
}
