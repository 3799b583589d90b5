//! A rate limit on the rows that a hub sends to other processes.
//!
//! Rows share the link with callers' requests. Without a limit, a large configuration that many
//! processes ask for at once fills a small VM's link for seconds, and requests and the closing of
//! their connections wait behind it. A process that can't get a row gets it later, from another hub,
//! or from the store.
//!
//! A token bucket in bytes. A response that is larger than the bucket is sent when the bucket is
//! full, and the bucket then has a debt.

use base::prelude::*;

/// Share of the link that rows may use.
const LINK_SHARE: f64 = 0.5;
/// Capacity of the bucket, as the time that the whole link needs for it. It bounds how long a
/// request waits behind rows.
const BURST: Duration = Duration::from_millis(100);
/// Size of the responses that are always sent.
pub const SMALL_BYTES: usize = 16 << 10;

/// The token bucket that limits a hub's responses.
#[data]
pub struct BulkLimiter {
    bytes_per_second: f64,
    capacity_bytes: f64,
    tokens: f64,
    updated_at: Mono,
}

impl BulkLimiter {
    /// Creates the full bucket of a process whose link carries `link_bytes_per_second`.
    pub fn new(link_bytes_per_second: f64) -> Self {
        let capacity_bytes = link_bytes_per_second * BURST.as_secs_f64();
        BulkLimiter {
            bytes_per_second: link_bytes_per_second * LINK_SHARE,
            capacity_bytes,
            tokens: capacity_bytes,
            updated_at: Mono::ZERO,
        }
    }

    /// Returns whether a response of so many bytes may be sent, and counts it if so.
    pub fn try_send(&mut self, bytes: usize, now: Mono) -> bool {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + passed * self.bytes_per_second).min(self.capacity_bytes);
        let bytes_needed = (bytes as f64).min(self.capacity_bytes);
        if bytes > SMALL_BYTES && self.tokens < bytes_needed {
            return false;
        }
        self.tokens -= bytes as f64;
        true
    }
}
