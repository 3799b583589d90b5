//! What the process uses of descriptors and memory, and what it may use.

use std::fs;

use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::metrics::Metrics;

/// Bytes in the unit of `/proc/self/status`.
const KIB: u64 = 1 << 10;

/// The resident memory of the process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Memory {
    now: u64,
    peak: u64,
}

/// Updates the gauges of descriptors, memory and tasks. One whose value can't be read keeps it.
pub(crate) fn update(metrics: &Metrics) {
    let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    if let Some(limit) = descriptor_limit() {
        metrics.descriptor_limit.set(gauge(limit));
    }
    if let Some(open) = open_descriptors() {
        metrics.open_descriptors.set(gauge(open));
    }
    if let Some(memory) = memory() {
        metrics.resident_bytes.set(gauge(memory.now));
        metrics.peak_resident_bytes.set(gauge(memory.peak));
    }
    let tasks = tokio::runtime::Handle::current().metrics().num_alive_tasks();
    metrics.tasks.set(i64::try_from(tasks).unwrap_or(i64::MAX));
}

/// Returns how many descriptors the process may have; `None` if there is no limit.
pub(crate) fn descriptor_limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// Returns how many descriptors are open. Counting takes one itself, so it fails if none is left.
fn open_descriptors() -> Option<u64> {
    let entries = fs::read_dir("/proc/self/fd").ok()?.count();
    u64::try_from(entries.saturating_sub(1)).ok()
}

fn memory() -> Option<Memory> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let bytes = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<u64>().ok().map(|kib| kib * KIB)
    };
    Some(Memory { now: bytes("VmRSS:")?, peak: bytes("VmHWM:")? })
}
