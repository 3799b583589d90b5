//! The settings, and the layout that all processes share.
//!
//! Where a key's claim is recorded follows from the layout alone, so two processes with different
//! layouts would not see each other's claims. The layout is therefore written to the key-value
//! service once, by the first process that needs it, and taken from there by all. The settings
//! only propose it.

use base::prelude::*;

use crate::key::KeyHash;

/// Prefix of all keys of this crate in the key-value service.
pub const KEY_PREFIX: &str = "once/";
/// Key of the layout.
pub const LAYOUT_KEY: &str = "once/layout";
/// Most shards of a layout.
const MAX_SHARDS: u32 = 1024;
/// Most records of a shard.
const MAX_RING_SLOTS: u64 = 100_000;

/// Where claims are recorded.
#[wire]
#[derive(Copy, Eq)]
pub struct Layout {
    /// Number of shards over which keys are spread.
    pub shards: u32,
    /// Issue times that one segment covers, in milliseconds.
    pub slot_ms: u64,
    /// Records of a shard, which are used in turn: a segment gives way to the one this many slots
    /// later.
    pub ring_slots: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Layout { shards: 16, slot_ms: 10_000, ring_slots: 360 }
    }
}

/// One segment's place: a shard and a time slot.
#[key]
pub struct SegmentId {
    /// The shard.
    pub shard: u32,
    /// The slot: the issue time divided by the slot's length.
    pub slot: u64,
}

impl Layout {
    /// Checks the layout, and reports every problem with its place below `place`.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        let shards = self.shards;
        findings.check((1..=MAX_SHARDS).contains(&shards), &format!("{place}.shards"), || {
            format!("{shards} is not from 1 to {MAX_SHARDS}")
        });
        let slot_ms = self.slot_ms;
        findings.check(slot_ms > 0, &format!("{place}.slot_ms"), || "must not be 0".to_owned());
        let ring = self.ring_slots;
        let ring_place = format!("{place}.ring_slots");
        findings.check((3..=MAX_RING_SLOTS).contains(&ring), &ring_place, || {
            format!("{ring} is not from 3 to {MAX_RING_SLOTS}")
        });
    }

    /// Returns the place of a key's claim.
    pub fn segment_id(&self, hash: KeyHash, issued_ms: u64) -> SegmentId {
        let shard = (hash % u128::from(self.shards)) as u32;
        SegmentId { shard, slot: issued_ms / self.slot_ms }
    }

    /// Returns the key under which a segment stands.
    pub fn record_key(&self, place: SegmentId) -> String {
        format!("{KEY_PREFIX}{}/{}", place.shard, place.slot % self.ring_slots)
    }

    /// Returns the first issue time of a slot.
    pub fn slot_start_ms(&self, slot: u64) -> u64 {
        slot.saturating_mul(self.slot_ms)
    }

    /// Returns the time after its issue for which a key's outcome is kept at least.
    pub fn retention(&self, clock_skew: Duration) -> Duration {
        let slots = Duration::from_millis(self.slot_ms * (self.ring_slots - 1));
        slots.saturating_sub(clock_skew)
    }
}

/// Settings of claims.
#[wire]
#[derive(Copy)]
#[serde(default)]
pub struct OnceSettings {
    /// The layout that is proposed if none stands yet.
    pub layout: Layout,
    /// Time after the end of its slot in which a key may be claimed for the first time, in
    /// milliseconds.
    pub open_ms: u64,
    /// How far the clocks of callers and processes may be apart, in milliseconds.
    pub clock_skew_ms: u64,
    /// Least time between the writes of one shard, in milliseconds.
    pub flush_period_ms: u64,
    /// Longest time for which a report of an outcome waits for a claim to be written with, in
    /// milliseconds.
    pub report_delay_ms: u64,
    /// Longest time for a claim, in milliseconds.
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
    /// Checks the settings, and reports every problem with its place below `place`.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        self.layout.check(&format!("{place}.layout"), findings);
        let kept = self.layout.slot_ms.saturating_mul(self.layout.ring_slots.saturating_sub(1));
        let needed = self.open_ms + 2 * self.clock_skew_ms + self.layout.slot_ms;
        findings.check(kept >= needed, &format!("{place}.layout.ring_slots"), || {
            format!("segments stand for {kept} ms, and {needed} ms are needed")
        });
        let timeout = self.claim_timeout_ms;
        findings.check(timeout > 0, &format!("{place}.claim_timeout_ms"), || {
            "must not be 0".to_owned()
        });
        findings.check(self.flush_period_ms < timeout, &format!("{place}.flush_period_ms"), || {
            format!("must be below claim_timeout_ms, {timeout}")
        });
    }

    /// Returns the most writes a second that the owners of all shards make together.
    pub fn writes_per_second(&self) -> f64 {
        f64::from(self.layout.shards) * 1_000.0 / self.flush_period_ms.max(1) as f64
    }
}
