//! A rate limit that allows bursts of a quarter of a second.

use std::time::Instant;

/// Share of a second's calls that may come at once.
const BURST_SHARE: f64 = 0.25;

/// A token bucket.
pub(super) struct TokenBucket {
    per_second: f64,
    tokens: f64,
    last: Instant,
}

impl TokenBucket {
    /// Returns a full bucket that fills with `per_second` tokens a second.
    pub(super) fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        TokenBucket { per_second, tokens: (per_second * BURST_SHARE).max(1.0), last: now }
    }

    /// Takes a token, and returns whether there was one.
    pub(super) fn take(&mut self, now: Instant) -> bool {
        let gained = now.saturating_duration_since(self.last).as_secs_f64() * self.per_second;
        let most = (self.per_second * BURST_SHARE).max(1.0);
        self.tokens = (self.tokens + gained).min(most);
        self.last = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
