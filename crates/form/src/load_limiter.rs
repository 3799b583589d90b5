//! A bound on loads from the weight store.
//!
//! A token bucket per owner. A new owner doesn't know what its predecessor has just ordered, so it
//! starts empty. Loads before the first request are not counted by the platform, so an owner of a
//! system that has never served starts without a bound.

use base::prelude::*;

/// Part of the allowed rate that is used, since orders may start later than they were sent.
const RATE_SAFETY_FACTOR: f64 = 0.85;
/// Loads that may start at once after a pause.
const BURST_LOADS: f64 = 4.0;

/// The owner's budget of loads.
#[data]
pub struct LoadLimiter {
    loads_per_second: f64,
    tokens: f64,
    updated_at: Mono,
}

impl LoadLimiter {
    /// Makes the empty budget of an owner that begins at `now`.
    pub fn new(now: Mono) -> Self {
        LoadLimiter { loads_per_second: 0.0, tokens: 0.0, updated_at: now }
    }

    /// Takes one load; `false` if it must wait.
    pub fn try_take(&mut self, loads_per_second: f64, now: Mono) -> bool {
        self.loads_per_second = loads_per_second * RATE_SAFETY_FACTOR;
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + passed * self.loads_per_second).min(BURST_LOADS);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
