//! A token bucket whose capacity is a quarter of a second of its rate.

use std::time::Instant;

/// Capacity of the bucket as a fraction of the tokens gained per second.
const BURST_SHARE: f64 = 0.25;

/// A token bucket.
pub(super) struct TokenBucket {
    per_second: f64,
    tokens: f64,
    last: Instant,
}

impl TokenBucket {
    /// Returns a full bucket that gains `per_second` tokens per second; it holds at least one.
    pub(super) fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        TokenBucket { per_second, tokens: (per_second * BURST_SHARE).max(1.0), last: now }
    }

    /// Takes a token; returns false if the bucket is empty.
    pub(super) fn take(&mut self, now: Instant) -> bool {
        let gained = now.saturating_duration_since(self.last).as_secs_f64() * self.per_second;
        let capacity = (self.per_second * BURST_SHARE).max(1.0);
        self.tokens = (self.tokens + gained).min(capacity);
        self.last = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
