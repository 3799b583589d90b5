//! Divides the file descriptors of a process among its uses.
//!
//! Whatever opens descriptors without a share of its own takes them from the others: callers that keep
//! many connections would leave none for the connections to servers, and none for the store. So each use
//! that may grow has a share, and what is small by itself has a reserve.
//!
//! Invariants:
//! - The shares add up to the limit at most, if that is at least [`MIN_DESCRIPTORS`].
//! - Each share is at least [`MIN_SHARE`].

use base::prelude::*;
use rustix::process::Resource;
use rustix::process::getrlimit;

/// Fewest descriptors that a process can work with.
pub const MIN_DESCRIPTORS: usize = 48;
/// Most descriptors that are divided.
const MAX_DESCRIPTORS: usize = 1 << 20;
/// Least share of a use.
pub const MIN_SHARE: usize = 2;
/// Most connections of callers.
const MAX_CALLERS: usize = 2_000;
/// Most connections of a listener that is asked now and then.
const MAX_SMALL_LISTENER: usize = 64;
/// Descriptors that the process has from the start: standard streams, timers, signals, listeners.
const FIXED: usize = 16;
/// One of so many descriptors is kept for what has no share: calls to the store, to hubs and to engines,
/// checks of paths, files.
const RESERVE_PART: usize = 8;

/// How many connections each use may have at a time.
#[data]
#[derive(Copy)]
pub struct DescriptorShares {
    /// Connections of callers, with those that are opened only to refuse a request.
    pub callers: usize,
    /// Connections to backend servers, and to other processes that take requests over.
    pub servers: usize,
    /// Connections of other processes.
    pub peers: usize,
    /// Connections of the load balancer to the readiness endpoint.
    pub readiness: usize,
    /// Connections to the metrics endpoint.
    pub metrics: usize,
}

impl DescriptorShares {
    /// Divides `limit` descriptors.
    ///
    /// Callers, servers and other processes get a third each of what the small uses leave: a connection of a
    /// caller needs about one to a server at most, and each process of a failure domain keeps one or two to its
    /// hub.
    pub fn of(limit: usize) -> Self {
        let limit = limit.clamp(MIN_DESCRIPTORS, MAX_DESCRIPTORS);
        let reserve = FIXED + limit / RESERVE_PART;
        let small = (limit / 32).clamp(MIN_SHARE, MAX_SMALL_LISTENER);
        let left = limit - reserve - small * 2;
        let callers = (left / 3).min(MAX_CALLERS);
        let peers = left / 3;
        let servers = left - callers - peers;
        DescriptorShares { callers, servers, peers, readiness: small, metrics: small }
    }

    /// Returns the sum of all shares.
    pub fn total(&self) -> usize {
        self.callers + self.servers + self.peers + self.readiness + self.metrics
    }
}

/// Returns how many descriptors this process may open: the limit of the operating system or that of the
/// settings, `set`, whichever is lower.
pub fn limit(set: usize) -> usize {
    let own = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    usize::try_from(own).unwrap_or(usize::MAX).min(set)
}
