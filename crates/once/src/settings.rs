//! Settings, and the layout of claims that all processes share.
//!
//! The layout alone determines in which record a key's claim is stored, so processes with different
//! layouts would not see each other's claims. The first process that needs the layout therefore
//! writes it to the key-value service, and all processes read it from there. The settings only
//! propose it.

use base::prelude::*;

use crate::key::KeyHash;

/// Prefix of all keys of this crate in the key-value service.
pub const KEY_PREFIX: &str = "once/";
/// Key of the layout in the key-value service.
pub const LAYOUT_KEY: &str = "once/layout";
/// Maximum number of shards.
const MAX_SHARDS: u32 = 1024;
/// Maximum number of records of a shard.
const MAX_RING_SLOTS: u64 = 100_000;

/// Distribution of claims over records of the key-value service.
#[wire]
#[derive(Copy, Eq)]
pub struct Layout {
    /// Number of shards over which keys are spread.
    pub shards: u32,
    /// Length of a slot: the range of issue times that one segment covers, in milliseconds.
    pub slot_ms: u64,
    /// Number of records of a shard. They form a ring: a segment is replaced by the one this many
    /// slots later.
    pub ring_slots: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Layout { shards: 16, slot_ms: 10_000, ring_slots: 360 }
    }
}

/// Identifies a segment by its shard and time slot.
#[key]
pub struct SegmentId {
    /// The shard.
    pub shard: u32,
    /// Number of the slot: the issue time divided by the length of a slot.
    pub slot: u64,
}

impl Layout {
    /// Adds a finding below `path` for each problem of the layout.
    pub fn check(&self, path: &str, findings: &mut Findings) {
        let shards = self.shards;
        findings.check((1..=MAX_SHARDS).contains(&shards), &format!("{path}.shards"), || {
            format!("{shards} is not from 1 to {MAX_SHARDS}")
        });
        let slot_ms = self.slot_ms;
        findings.check(slot_ms > 0, &format!("{path}.slot_ms"), || "must not be 0".to_owned());
        let ring = self.ring_slots;
        let ring_path = format!("{path}.ring_slots");
        findings.check((3..=MAX_RING_SLOTS).contains(&ring), &ring_path, || {
            format!("{ring} is not from 3 to {MAX_RING_SLOTS}")
        });
    }

    /// Returns the segment that stores the claim of a key issued at `issued_ms` (milliseconds since
    /// the Unix epoch).
    pub fn segment_id(&self, hash: KeyHash, issued_ms: u64) -> SegmentId {
        let shard = (hash % u128::from(self.shards)) as u32;
        SegmentId { shard, slot: issued_ms / self.slot_ms }
    }

    /// Returns the key under which a segment is stored in the key-value service.
    pub fn record_key(&self, id: SegmentId) -> String {
        format!("{KEY_PREFIX}{}/{}", id.shard, id.slot % self.ring_slots)
    }

    /// Returns the first issue time of a slot, in milliseconds since the Unix epoch.
    pub fn slot_start_ms(&self, slot: u64) -> u64 {
        slot.saturating_mul(self.slot_ms)
    }

    /// Returns the minimum time, from its issue, for which the outcome of a key is kept, if clocks
    /// differ by at most `clock_skew`.
    pub fn retention(&self, clock_skew: Duration) -> Duration {
        let slots = Duration::from_millis(self.slot_ms * (self.ring_slots - 1));
        slots.saturating_sub(clock_skew)
    }
}

/// Settings of at-most-once execution.
#[wire]
#[derive(Copy)]
#[serde(default)]
pub struct OnceSettings {
    /// The layout that is proposed if none has been written yet.
    pub layout: Layout,
    /// How long after the end of its slot a key can be claimed for the first time, in milliseconds.
    pub open_ms: u64,
    /// Maximum difference between the clocks of callers and processes, in milliseconds.
    pub clock_skew_ms: u64,
    /// Minimum time between the writes of one shard, averaged over bursts, in milliseconds.
    pub flush_period_ms: u64,
    /// Maximum time for which the report of an outcome waits for a claim with which it can be
    /// written, in milliseconds.
    pub report_delay_ms: u64,
    /// Time limit for a claim, in milliseconds.
    pub claim_timeout_ms: u64,
}

impl Default for OnceSettings {
    fn default() -> Self {
        OnceSettings {
            layout: Layout::default(),
            open_ms: 30_000,
            clock_skew_ms: 5_000,
            flush_period_ms: 150,
            report_delay_ms: 500,
            claim_timeout_ms: 2_000,
        }
    }
}

impl OnceSettings {
    /// Adds a finding below `path` for each problem of the settings.
    pub fn check(&self, path: &str, findings: &mut Findings) {
        self.layout.check(&format!("{path}.layout"), findings);
        let kept = self.layout.slot_ms.saturating_mul(self.layout.ring_slots.saturating_sub(1));
        let needed = self.open_ms + 2 * self.clock_skew_ms + self.layout.slot_ms;
        findings.check(kept >= needed, &format!("{path}.layout.ring_slots"), || {
            format!("segments are kept for {kept} ms, but {needed} ms are needed")
        });
        let timeout = self.claim_timeout_ms;
        findings
            .check(timeout > 0, &format!("{path}.claim_timeout_ms"), || "must not be 0".to_owned());
        findings.check(self.flush_period_ms < timeout, &format!("{path}.flush_period_ms"), || {
            format!("must be below claim_timeout_ms, {timeout}")
        });
    }

    /// Returns the maximum total write rate of the owners of all shards, in writes per second.
    pub fn writes_per_second(&self) -> f64 {
        f64::from(self.layout.shards) * 1_000.0 / self.flush_period_ms.max(1) as f64
    }
}
