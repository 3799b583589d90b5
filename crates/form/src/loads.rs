//! A bound on loads from the weight store.
//!
//! A token bucket per owner. A new owner doesn't know what its predecessor has just ordered, so it
//! starts empty. Loads before the first request are not counted by the platform, so an owner of a
//! system that has never served starts without a bound.

use base::prelude::*;

/// Part of the allowed rate that is used, since orders may start later than they were sent.
const USED_PART: f64 = 0.85;
/// Loads that may start at once after a pause.
const BURST: f64 = 4.0;

/// The owner's budget of loads.
#[data]
pub struct Loads {
    rate: f64,
    tokens: f64,
    at: Mono,
}

impl Loads {
    /// Makes the empty budget of an owner that begins at `now`.
    pub fn new(now: Mono) -> Self {
        Loads { rate: 0.0, tokens: 0.0, at: now }
    }

    /// Takes one load; `false` if it must wait.
    pub fn take(&mut self, loads_per_second: f64, now: Mono) -> bool {
        self.rate = loads_per_second * USED_PART;
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed * self.rate).min(BURST);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
