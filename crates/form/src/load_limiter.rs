//! A rate limit on loads from the weight store.
//!
//! A token bucket per owner. A new owner doesn't know what its predecessor has just ordered, so its
//! bucket starts empty. The platform does not count loads before the first request, so the owner of
//! a system that has never served traffic starts without a limit.

use base::prelude::*;

/// Share of the allowed rate that is used, since a server may start a load later than the order was
/// sent.
const RATE_SAFETY_FACTOR: f64 = 0.85;
/// Capacity of the bucket: loads that may start at once after a pause.
const BURST_LOADS: f64 = 4.0;

/// The token bucket that limits the owner's load orders.
#[data]
pub struct LoadLimiter {
    loads_per_second: f64,
    tokens: f64,
    updated_at: Mono,
}

impl LoadLimiter {
    /// Creates the empty bucket of an owner that starts at `now`.
    pub fn new(now: Mono) -> Self {
        LoadLimiter { loads_per_second: 0.0, tokens: 0.0, updated_at: now }
    }

    /// Takes the token for one load; returns `false` if the load must wait.
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
