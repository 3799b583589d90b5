//! Faults of the stand-in that are switched while it runs.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::prelude::*;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::token_bucket::TokenBucket;

/// Writes a second that the platform's service takes.
const WRITES_PER_SECOND: u32 = 400;
/// Reads a second that the platform's service takes.
const READS_PER_SECOND: u32 = 2_000;
/// Seed of the draws of lost answers.
const SEED: u64 = 20_261_203;

/// How the service is out of order.
#[key]
#[derive(Default)]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// Connections are reset, and new ones are closed at once.
    Reset,
    /// Each call is answered with the error that there is no leader.
    NoLeader,
    /// New connections are accepted, and nothing is ever answered.
    Silent,
}

/// An order that switches faults; what is left out stays as it is.
#[wire]
#[derive(Default)]
#[serde(default)]
pub struct KvFaultUpdate {
    /// The outage from now on.
    pub outage: Option<Outage>,
    /// Every connection open now goes silent for good; new ones work.
    pub silence_connections: bool,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: Option<u64>,
    /// The answers of this many writes are lost after they took effect, from the next one on.
    pub lose_answers: Option<u32>,
    /// Share of writes whose answers are lost after they took effect, from 0 to 1.
    pub lose_share: Option<f64>,
    /// Writes a second.
    pub writes_per_second: Option<u32>,
    /// Reads a second.
    pub reads_per_second: Option<u32>,
    /// All watches end.
    pub cut_watches: bool,
}

/// Calls that arrived, by kind, and what became of some of them.
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
    /// Watches open now.
    pub watching: u64,
    /// Lease calls.
    pub leases: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
    /// Writes that took effect and whose answers were lost.
    pub lost: u64,
    /// Bytes of all values written.
    pub written_bytes: u64,
    /// Largest value written, in bytes.
    pub largest_value: u64,
}

struct State {
    outage: Outage,
    resets: u64,
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
    /// Carries out an order in JSON, as [`KvFaultUpdate`] describes it.
    ///
    /// # Errors
    ///
    /// The finding names what is no such order; nothing was switched.
    pub fn apply_json(&self, order: &serde_json::Value) -> Result<(), Findings> {
        match serde::Deserialize::deserialize(order) {
            Ok(order) => {
                self.apply(order);
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

    /// Carries out an order.
    pub fn apply(&self, order: KvFaultUpdate) {
        let mut state = self.state.lock();
        if let Some(outage) = order.outage {
            state.outage = outage;
            state.resets += u64::from(outage == Outage::Reset);
            state.silences += u64::from(outage == Outage::Silent);
        }
        state.silences += u64::from(order.silence_connections);
        state.cuts += u64::from(order.cut_watches);
        if let Some(delay) = order.delay_ms {
            state.delay = Duration::from_millis(delay);
        }
        if let Some(count) = order.lose_answers {
            state.lose_answers = count;
        }
        if let Some(share) = order.lose_share {
            state.lose_share = share.clamp(0.0, 1.0);
        }
        let now = Instant::now();
        if let Some(rate) = order.writes_per_second {
            state.writes = TokenBucket::new(rate, now);
        }
        if let Some(rate) = order.reads_per_second {
            state.reads = TokenBucket::new(rate, now);
        }
    }

    /// Returns the calls counted so far.
    pub fn counts(&self) -> KvCounts {
        self.state.lock().counts
    }

    /// Returns the outage that is on.
    pub(super) fn outage(&self) -> Outage {
        self.state.lock().outage
    }

    /// Returns whether new connections are closed at once.
    pub(super) fn refuses_connections(&self) -> bool {
        self.outage() == Outage::Reset
    }

    /// Returns how often connections were reset and silenced.
    pub(super) fn connection_fault_counts(&self) -> (u64, u64) {
        let state = self.state.lock();
        (state.resets, state.silences)
    }

    /// Returns the delay of each answer.
    pub(super) fn delay(&self) -> Duration {
        self.state.lock().delay
    }

    /// Returns how often watches were cut.
    pub(super) fn watch_cuts(&self) -> u64 {
        self.state.lock().cuts
    }

    /// Counts a read, and returns whether the rate allows it.
    pub(super) fn take_read(&self) -> bool {
        let mut state = self.state.lock();
        state.counts.reads += 1;
        let allowed = state.reads.take(Instant::now());
        state.counts.limited += u64::from(!allowed);
        allowed
    }

    /// Counts a write, and returns whether the rate allows it.
    pub(super) fn take_write(&self) -> bool {
        let mut state = self.state.lock();
        state.counts.writes += 1;
        let allowed = state.writes.take(Instant::now());
        state.counts.limited += u64::from(!allowed);
        allowed
    }

    /// Counts a write that took effect, and returns whether its answer is lost.
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

    /// Changes the counters.
    pub(super) fn count(&self, change: impl FnOnce(&mut KvCounts)) {
        change(&mut self.state.lock().counts);
    }
}
