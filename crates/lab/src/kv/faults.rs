//! Faults, rate limits and call counters of the stand-in, which a test switches while it runs.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::prelude::*;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::token_bucket::TokenBucket;

/// Writes per second that the platform's service allows.
const WRITES_PER_SECOND: u32 = 400;
/// Reads per second that the platform's service allows.
const READS_PER_SECOND: u32 = 2_000;
/// Seed of the random choice of lost responses.
const SEED: u64 = 20_261_203;

/// The kind of an outage.
#[key]
#[derive(Default)]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Connections are reset, and new ones are closed at once.
    Reset,
    /// Each call fails with the error that there is no leader.
    NoLeader,
    /// New connections are accepted, and no call gets a response.
    Silent,
}

/// A change of the faults; omitted fields leave their fault as it is.
#[wire]
#[derive(Default)]
#[serde(default)]
pub struct KvFaultUpdate {
    /// The outage from now on.
    pub outage: Option<Outage>,
    /// Silence all open connections permanently; new ones work.
    pub silence_connections: bool,
    /// Delay of each response, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of writes, from the next one on, that take effect and whose response is lost.
    pub lose_answers: Option<u32>,
    /// Fraction of writes, 0 to 1, that take effect and whose response is lost.
    pub lose_share: Option<f64>,
    /// Limit of writes per second.
    pub writes_per_second: Option<u32>,
    /// Limit of reads per second.
    pub reads_per_second: Option<u32>,
    /// End all watches.
    pub cut_watches: bool,
}

/// Counters of received calls, by kind and outcome.
#[wire]
#[derive(Copy, Default)]
pub struct KvCounts {
    /// Reads of keys and ranges.
    pub reads: u64,
    /// Writes: transactions, puts, deletions.
    pub writes: u64,
    /// Writes that took effect.
    pub written: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches that are open.
    pub watching: u64,
    /// Lease calls.
    pub leases: u64,
    /// Calls rejected by the rate limits.
    pub limited: u64,
    /// Writes that took effect and whose response was lost.
    pub lost: u64,
    /// Total size of the values written, in bytes.
    pub written_bytes: u64,
    /// Largest value written, in bytes.
    pub largest_value: u64,
}

struct State {
    outage: Outage,
    /// How often all connections were reset; a connection with an older count is reset.
    resets: u64,
    /// How often all connections were silenced; a connection with an older count is silent.
    silences: u64,
    delay: Duration,
    lose_answers: u32,
    lose_share: f64,
    rng: ChaCha8Rng,
    writes: TokenBucket,
    reads: TokenBucket,
    cuts: u64,
    counts: KvCounts,
}

/// The faults, limits and counters of one stand-in. Clones share the same state.
#[derive(Clone)]
pub struct KvFaults {
    state: Arc<Mutex<State>>,
}

impl Default for KvFaults {
    fn default() -> Self {
        let now = Instant::now();
        let state = State {
            outage: Outage::None,
            resets: 0,
            silences: 0,
            delay: Duration::ZERO,
            lose_answers: 0,
            lose_share: 0.0,
            rng: ChaCha8Rng::seed_from_u64(SEED),
            writes: TokenBucket::new(WRITES_PER_SECOND, now),
            reads: TokenBucket::new(READS_PER_SECOND, now),
            cuts: 0,
            counts: KvCounts::default(),
        };
        KvFaults { state: Arc::new(Mutex::new(state)) }
    }
}

impl KvFaults {
    /// Applies a [`KvFaultUpdate`] given as JSON.
    ///
    /// # Errors
    ///
    /// Returns the parse error as a finding; no fault is changed.
    pub fn apply_json(&self, update: &serde_json::Value) -> Result<(), Findings> {
        match serde::Deserialize::deserialize(update) {
            Ok(update) => {
                self.apply(update);
                Ok(())
            }
            Err(error) => {
                let mut findings = Findings::default();
                let error: serde_json::Error = error;
                findings.add("$", error.to_string());
                Err(findings)
            }
        }
    }

    /// Applies a change of the faults.
    pub fn apply(&self, update: KvFaultUpdate) {
        let mut state = self.state.lock();
        if let Some(outage) = update.outage {
            state.outage = outage;
            state.resets += u64::from(outage == Outage::Reset);
            state.silences += u64::from(outage == Outage::Silent);
        }
        state.silences += u64::from(update.silence_connections);
        state.cuts += u64::from(update.cut_watches);
        if let Some(delay) = update.delay_ms {
            state.delay = Duration::from_millis(delay);
        }
        if let Some(count) = update.lose_answers {
            state.lose_answers = count;
        }
        if let Some(share) = update.lose_share {
            state.lose_share = share.clamp(0.0, 1.0);
        }
        let now = Instant::now();
        if let Some(rate) = update.writes_per_second {
            state.writes = TokenBucket::new(rate, now);
        }
        if let Some(rate) = update.reads_per_second {
            state.reads = TokenBucket::new(rate, now);
        }
    }

    /// Returns the current counters.
    pub fn counts(&self) -> KvCounts {
        self.state.lock().counts
    }

    /// Returns the current outage.
    pub(super) fn outage(&self) -> Outage {
        self.state.lock().outage
    }

    /// Returns whether new connections are closed immediately.
    pub(super) fn refuses_connections(&self) -> bool {
        self.outage() == Outage::Reset
    }

    /// Returns how often all connections were reset and how often they were silenced.
    pub(super) fn connection_fault_counts(&self) -> (u64, u64) {
        let state = self.state.lock();
        (state.resets, state.silences)
    }

    /// Returns the delay of each response.
    pub(super) fn delay(&self) -> Duration {
        self.state.lock().delay
    }

    /// Returns how often all watches were ended.
    pub(super) fn watch_cuts(&self) -> u64 {
        self.state.lock().cuts
    }

    /// Counts a read and returns whether the rate limit admits it.
    pub(super) fn take_read(&self) -> bool {
        let mut state = self.state.lock();
        state.counts.reads += 1;
        let allowed = state.reads.take(Instant::now());
        state.counts.limited += u64::from(!allowed);
        allowed
    }

    /// Counts a write and returns whether the rate limit admits it.
    pub(super) fn take_write(&self) -> bool {
        let mut state = self.state.lock();
        state.counts.writes += 1;
        let allowed = state.writes.take(Instant::now());
        state.counts.limited += u64::from(!allowed);
        allowed
    }

    /// Counts a write that took effect and returns whether its response is lost.
    pub(super) fn written(&self, value_bytes: usize) -> bool {
        let mut state = self.state.lock();
        state.counts.written += 1;
        state.counts.written_bytes += value_bytes as u64;
        state.counts.largest_value = state.counts.largest_value.max(value_bytes as u64);
        let share = state.lose_share;
        let lost = if state.lose_answers > 0 {
            state.lose_answers -= 1;
            true
        } else {
            share > 0.0 && state.rng.random_bool(share)
        };
        state.counts.lost += u64::from(lost);
        lost
    }

    /// Updates the counters.
    pub(super) fn count(&self, change: impl FnOnce(&mut KvCounts)) {
        change(&mut self.state.lock().counts);
    }
}
