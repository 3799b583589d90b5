//! One schedule of loads for each weight store, which respects the store's rate.
//!
//! A member that needs weights asks; the schedule starts loads in the order of how near their
//! group is to serving (members still missing weights, then who asked first). It keeps as many
//! loads under way as it takes to use the store's rate, given the rate of one engine, and as many
//! bytes as the store delivers within [`LOAD_WINDOW`]. A store at its rate gains nothing from more
//! loads at once: each would only end later, and the groups near to serving with them.

use std::collections::BTreeMap;

use base::prelude::*;

/// Time whose worth of bytes may be under way at once.
pub const LOAD_WINDOW: Duration = Duration::from_secs(10);
/// How long a started load may show no end before its share is given to others.
pub const LOAD_TIMEOUT_FACTOR: u32 = 4;

/// A member's wish to load.
#[data]
pub struct WeightLoadRequest {
    /// The group.
    pub group: GroupId,
    /// The VM.
    pub vm: VmId,
    /// Bytes to load.
    pub bytes: u64,
    /// Members of the group that are not ready yet, this one included.
    pub missing: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    request: WeightLoadRequest,
    requested_at: Mono,
    started_at: Option<Mono>,
}

/// The loads of one weight store.
#[derive(Clone, Debug)]
pub struct WeightLoadScheduler {
    bytes_per_second: u64,
    engine_bytes_per_second: u64,
    entries: BTreeMap<VmId, Entry>,
}

impl WeightLoadScheduler {
    /// Returns the empty schedule of a store that delivers `bytes_per_second` to engines that take
    /// `engine_bytes_per_second` each.
    pub fn new(bytes_per_second: u64, engine_bytes_per_second: u64) -> Self {
        debug_assert!(bytes_per_second > 0, "a store delivers something");
        WeightLoadScheduler { bytes_per_second, engine_bytes_per_second, entries: BTreeMap::new() }
    }

    /// Adds a wish, or brings one up to date; its place by time of asking stays.
    pub fn request(&mut self, wish: WeightLoadRequest, now: Mono) {
        match self.entries.get_mut(&wish.vm) {
            Some(entry) if entry.request.group == wish.group => entry.request = wish,
            _ => {
                let entry = Entry { request: wish, requested_at: now, started_at: None };
                self.entries.insert(entry.request.vm.clone(), entry);
            }
        }
    }

    /// Notes that `vm` has loaded, or needs no load any more.
    pub fn finish(&mut self, vm: &str) {
        self.entries.remove(vm);
    }

    /// Returns whether the load of `vm` has been started.
    pub fn is_started(&self, vm: &str) -> bool {
        self.entries.get(vm).is_some_and(|entry| entry.started_at.is_some())
    }

    /// Starts what the rate allows and returns the VMs whose loads begin now.
    pub fn start(&mut self, now: Mono) -> Vec<VmId> {
        self.requeue_stuck(now);
        let window = self.bytes_per_second.saturating_mul(LOAD_WINDOW.as_secs());
        let mut under_way: u64 = self.started().map(|entry| entry.request.bytes).sum();
        let mut taken = self.started().count() as u64 * self.engine_bytes_per_second;
        let mut waiting: Vec<&mut Entry> =
            self.entries.values_mut().filter(|entry| entry.started_at.is_none()).collect();
        waiting.sort_by(|a, b| {
            let key = |entry: &Entry| (entry.request.missing, entry.requested_at);
            key(a).cmp(&key(b)).then_with(|| a.request.group.cmp(&b.request.group))
        });
        let mut begun = Vec::new();
        for entry in waiting {
            if taken >= self.bytes_per_second && under_way + entry.request.bytes > window {
                break;
            }
            under_way += entry.request.bytes;
            taken += self.engine_bytes_per_second;
            entry.started_at = Some(now);
            begun.push(entry.request.vm.clone());
        }
        begun
    }

    fn started(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.started_at.is_some())
    }

    /// Puts loads that should have ended long ago back into the queue.
    fn requeue_stuck(&mut self, now: Mono) {
        let rate = self.bytes_per_second as f64;
        for entry in self.entries.values_mut() {
            let due = Duration::from_secs_f64(entry.request.bytes as f64 / rate) + LOAD_WINDOW;
            if entry.started_at.is_some_and(|at| now > at + due * LOAD_TIMEOUT_FACTOR) {
                entry.started_at = None;
                entry.requested_at = now;
            }
        }
    }
}
