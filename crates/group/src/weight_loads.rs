//! Scheduling of weight loads, within the rate of the weight store they load from.
//!
//! Members that need weights send requests. The scheduler starts loads of the groups that are
//! nearest to serving first: those with the fewest members still without weights, and then the
//! earliest request. It keeps enough loads running to use the store's full rate, given the rate of
//! one engine, and as many bytes outstanding as the store delivers within [`LOAD_WINDOW`]. More
//! concurrent loads would not raise the throughput of a saturated store. They would only delay
//! each load, including those of the groups nearest to serving.

use std::collections::BTreeMap;

use base::prelude::*;

/// Outstanding loads may hold as many bytes as the store delivers within this time.
pub const LOAD_WINDOW: Duration = Duration::from_secs(10);
/// Factor of the load timeout. A load that has not finished this many times its transfer time plus
/// [`LOAD_WINDOW`] after it started is requeued, so that its share goes to others.
pub const LOAD_TIMEOUT_FACTOR: u32 = 4;

/// A member's request to load weights.
#[data]
pub struct WeightLoadRequest {
    /// The group.
    pub group: GroupId,
    /// The VM.
    pub vm: VmId,
    /// Number of bytes to load.
    pub bytes: u64,
    /// Number of members of the group that are not ready yet, including this one.
    pub missing: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    request: WeightLoadRequest,
    requested_at: Mono,
    started_at: Option<Mono>,
}

/// The load scheduler of one weight store.
#[derive(Clone, Debug)]
pub struct WeightLoadScheduler {
    bytes_per_second: u64,
    engine_bytes_per_second: u64,
    entries: BTreeMap<VmId, Entry>,
}

impl WeightLoadScheduler {
    /// Returns an empty scheduler for a store that delivers `bytes_per_second` in total, to engines
    /// that load at most `engine_bytes_per_second` each.
    pub fn new(bytes_per_second: u64, engine_bytes_per_second: u64) -> Self {
        debug_assert!(bytes_per_second > 0, "the rate of the weight store is zero");
        WeightLoadScheduler { bytes_per_second, engine_bytes_per_second, entries: BTreeMap::new() }
    }

    /// Adds a request, or updates the VM's request for the same group, which keeps its request
    /// time.
    pub fn request(&mut self, request: WeightLoadRequest, now: Mono) {
        match self.entries.get_mut(&request.vm) {
            Some(entry) if entry.request.group == request.group => entry.request = request,
            _ => {
                let entry = Entry { request, requested_at: now, started_at: None };
                self.entries.insert(entry.request.vm.clone(), entry);
            }
        }
    }

    /// Removes the request of `vm`, which has loaded or no longer needs to.
    pub fn finish(&mut self, vm: &str) {
        self.entries.remove(vm);
    }

    /// Returns whether the load of `vm` has started.
    pub fn is_started(&self, vm: &str) -> bool {
        self.entries.get(vm).is_some_and(|entry| entry.started_at.is_some())
    }

    /// Starts as many loads as the store's rate allows and returns their VMs.
    pub fn start(&mut self, now: Mono) -> Vec<VmId> {
        self.requeue_stuck(now);
        let window = self.bytes_per_second.saturating_mul(LOAD_WINDOW.as_secs());
        let mut outstanding: u64 = self.started().map(|entry| entry.request.bytes).sum();
        let mut used_rate = self.started().count() as u64 * self.engine_bytes_per_second;
        let mut waiting: Vec<&mut Entry> =
            self.entries.values_mut().filter(|entry| entry.started_at.is_none()).collect();
        waiting.sort_by(|a, b| {
            let key = |entry: &Entry| (entry.request.missing, entry.requested_at);
            key(a).cmp(&key(b)).then_with(|| a.request.group.cmp(&b.request.group))
        });
        let mut started = Vec::new();
        for entry in waiting {
            if used_rate >= self.bytes_per_second && outstanding + entry.request.bytes > window {
                break;
            }
            outstanding += entry.request.bytes;
            used_rate += self.engine_bytes_per_second;
            entry.started_at = Some(now);
            started.push(entry.request.vm.clone());
        }
        started
    }

    fn started(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.started_at.is_some())
    }

    /// Requeues loads that should have finished long ago.
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
