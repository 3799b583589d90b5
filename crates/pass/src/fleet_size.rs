//! The number of processes among which the rates that a server takes are divided.
//!
//! Hubs report how many processes they know. A hub that has just begun knows few, and so does one that is
//! cut off from the others, so the largest number that was seen lately counts. A process that has heard no
//! number yet, or only early ones, assumes a large fleet.

use std::collections::VecDeque;

use base::prelude::*;

/// How long a number of processes counts after it was seen. A fleet that is partitioned in halves
/// doesn't send twice the rate for that long.
const RETENTION: Duration = Duration::from_secs(60);
/// Number of processes that is assumed while the fleet isn't known.
pub const ASSUMED_PROCESSES: usize = 300;
/// Time from the first report of the fleet until it counts as known. A new hub hears of all processes
/// of its domain within it.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The numbers of processes that were seen.
#[derive(Debug, Default)]
pub(crate) struct FleetSize {
    first_seen_at: Option<Mono>,
    /// Numbers that no later one exceeds, in the order in which they were seen.
    peaks: VecDeque<(Mono, usize)>,
}

impl FleetSize {
    pub(crate) fn record(&mut self, processes: usize, now: Mono) {
        self.first_seen_at.get_or_insert(now);
        while self.peaks.back().is_some_and(|(_, seen)| *seen <= processes) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, processes));
        while self.peaks.front().is_some_and(|(at, _)| now >= *at + RETENTION) {
            self.peaks.pop_front();
        }
    }

    /// Returns the largest number that was seen lately, or the assumed one if none was.
    pub(crate) fn largest(&self) -> usize {
        self.peaks.front().map_or(ASSUMED_PROCESSES, |(_, processes)| *processes)
    }

    /// Returns the largest number that was seen lately, or the assumed one until the fleet counts as known.
    pub(crate) fn settled(&self, now: Mono) -> usize {
        let largest = self.peaks.front().map_or(1, |(_, processes)| *processes);
        // A process that sees only itself may be cut off from the others.
        let settle_time = if largest > 1 { SETTLE_TIME } else { RETENTION };
        match self.first_seen_at {
            Some(at) if now >= at + settle_time => largest,
            _ => largest.max(ASSUMED_PROCESSES),
        }
    }
}
