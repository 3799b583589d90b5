//! Detection of hot prefixes, which are split into shards so that no single group has to take all
//! requests of one.
//!
//! A prefix with more than half of a group's fair share of the requests is split into as many
//! shards as keep each below that share (S3-TM, section 5.1). The shard of a request follows from
//! its fingerprint, so a resent request goes to the same group. The number of shards is a power of
//! two, so that processes with slightly different counts mostly agree.
//!
//! Only the most frequent keys are counted (the Space-Saving algorithm): a new key replaces the
//! least frequent one and inherits its count, and all counts are halved periodically. Invariant: at
//! most [`MAX_KEYS`] keys are counted.

use std::collections::BTreeMap;

use base::hash::stable;
use base::prelude::*;

use crate::request::Fingerprint;

/// Maximum number of keys that are counted.
pub const MAX_KEYS: usize = 256;
/// Minimum time between two halvings of all counts.
const HALVING_PERIOD: Duration = Duration::from_secs(10);
/// Number of requests of a key below which it is not split.
const MIN_COUNT: f64 = 16.0;
/// Fraction of a group's fair share of the requests that one shard may have.
const MAX_SHARD_FRACTION: f64 = 0.5;

/// The counts of the most frequent keys.
#[data]
#[derive(Default)]
pub struct HotKeys {
    counts: BTreeMap<u64, f64>,
    total: f64,
    halved_at: Mono,
}

impl HotKeys {
    /// Counts one request of the key.
    pub fn count(&mut self, key: u64, now: Mono) {
        if now.saturating_sub(self.halved_at) >= HALVING_PERIOD {
            self.halved_at = now;
            self.total /= 2.0;
            self.counts.values_mut().for_each(|count| *count /= 2.0);
        }
        self.total += 1.0;
        if let Some(count) = self.counts.get_mut(&key) {
            *count += 1.0;
            return;
        }
        let inherited =
            if self.counts.len() < MAX_KEYS { 0.0 } else { self.evict_least_frequent() };
        self.counts.insert(key, inherited + 1.0);
        debug_assert!(self.counts.len() <= MAX_KEYS, "more than MAX_KEYS keys are counted");
    }

    /// Returns into how many shards the key is split over `groups` groups.
    pub fn shards(&self, key: u64, groups: usize) -> u64 {
        let count = self.counts.get(&key).copied().unwrap_or(0.0);
        if count < MIN_COUNT || groups == 0 {
            return 1;
        }
        let shards = count / self.total * groups as f64 / MAX_SHARD_FRACTION;
        (shards.ceil() as u64).next_power_of_two().min(groups.next_power_of_two() as u64)
    }

    fn evict_least_frequent(&mut self) -> f64 {
        let least = self.counts.iter().min_by(|a, b| a.1.total_cmp(b.1));
        let Some((&key, &count)) = least else { return 0.0 };
        self.counts.remove(&key);
        count
    }
}

/// Returns the key of the request's shard if `key` is split into `shards` shards.
///
/// One of the shards keeps `key` itself.
pub fn shard_key(key: u64, fingerprint: Fingerprint, shards: u64) -> u64 {
    debug_assert!(shards.is_power_of_two(), "the number of shards is not a power of two");
    match fingerprint & (shards - 1) {
        0 => key,
        shard => stable(&[key.to_le_bytes(), shard.to_le_bytes()].concat()),
    }
}
