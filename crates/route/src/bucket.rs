//! A token bucket whose rate may change.
//!
//! Invariant: the level never exceeds the burst, and elapsed time is credited at the lower of the
//! old and the new rate, so a change of the rate never grants more than either rate would.

use base::prelude::*;

/// A token bucket.
#[data]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: Mono,
}

impl Bucket {
    /// Creates a full bucket that gains `rate` tokens per second up to `burst`.
    pub fn new(rate: f64, burst: f64, now: Mono) -> Self {
        Bucket { rate, burst, level: burst, updated_at: now }
    }

    /// Sets rate and burst. Tokens above the new burst are dropped.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Mono) {
        self.refill(self.rate.min(rate), now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes `amount` tokens if the bucket has as many; returns whether it did.
    pub fn try_take(&mut self, amount: f64, now: Mono) -> bool {
        self.refill(self.rate, now);
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Returns whether the bucket has `amount` tokens.
    pub fn has(&mut self, amount: f64, now: Mono) -> bool {
        self.refill(self.rate, now);
        self.level >= amount
    }

    /// Takes `amount` tokens, even if the level becomes negative; a negative amount returns tokens.
    pub fn charge(&mut self, amount: f64, now: Mono) {
        self.refill(self.rate, now);
        self.level = (self.level - amount).min(self.burst);
    }

    /// Returns the time until the bucket has `amount` tokens, at most `longest`.
    pub fn wait(&self, amount: f64, longest: Duration) -> Duration {
        let missing = (amount - self.level).max(0.0);
        let seconds = if self.rate > 0.0 { missing / self.rate } else { f64::INFINITY };
        Duration::try_from_secs_f64(seconds).map_or(longest, |wait| wait.min(longest))
    }

    fn refill(&mut self, rate: f64, now: Mono) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.level = (self.level + elapsed * rate).min(self.burst);
        self.updated_at = self.updated_at.max(now);
        debug_assert!(self.level <= self.burst, "the level is above the burst");
    }
}
