//! Admission control for the calls of one process: a rate budget and a circuit breaker.
//!
//! Reads and writes have one token bucket each. A call of lower priority must leave a reserve in
//! the bucket, so that claims are still admitted when background reads have used up the rest.
//!
//! The circuit breaker opens after [`CIRCUIT_FAILURES`] consecutive calls had no response or a slow
//! one. While it is open, all calls are refused at once. After that it is half-open: one call at a
//! time is admitted as a probe, and a good response closes the circuit. The time to the next probe
//! doubles with each failed probe, up to a bound, and is randomized, so that processes do not return
//! all at once.

use base::prelude::*;

use crate::store::KvError;

/// Consecutive calls without a good response that open the circuit.
pub const CIRCUIT_FAILURES: u32 = 3;
/// Time for which the circuit stays open at first, before randomization.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(250);
/// Longest time for which the circuit stays open between probes.
const MAX_OPEN_TIME: Duration = Duration::from_secs(4);
/// Time after which the next probe is admitted although the last one has had no response.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Kinds of calls.
#[key]
pub enum CallKind {
    /// Reads of a key or a prefix, and the opening of watches.
    Read,
    /// Compare-and-swaps and deletions.
    Write,
}

/// Purpose of a call, in decreasing order of priority.
#[key]
pub enum Priority {
    /// Claims of request keys of non-idempotent requests.
    Claim,
    /// Assignments of replica groups.
    Group,
    /// Accepted configuration.
    Config,
    /// Background reads.
    Background,
}

impl Priority {
    /// Fraction of a full bucket that calls of this priority must leave.
    fn reserve(self) -> f64 {
        match self {
            Priority::Claim => 0.0,
            Priority::Group => 0.1,
            Priority::Config => 0.25,
            Priority::Background => 0.5,
        }
    }
}

/// One process's share of the service's rates.
#[wire]
#[derive(Copy)]
pub struct RateBudget {
    /// Reads per second.
    pub reads_per_second: f64,
    /// Writes per second.
    pub writes_per_second: f64,
    /// Size of each token bucket, in seconds of its rate.
    pub burst_seconds: f64,
    /// A response that takes longer counts as a failure for the circuit breaker, in milliseconds.
    pub slow_ms: u64,
}

impl Default for RateBudget {
    fn default() -> Self {
        RateBudget {
            reads_per_second: 100.0,
            writes_per_second: 40.0,
            burst_seconds: 1.0,
            slow_ms: 800,
        }
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Mono,
}

impl Bucket {
    fn new(rate: f64, burst_seconds: f64) -> Self {
        let capacity = (rate * burst_seconds).max(1.0);
        Bucket { rate, capacity, tokens: capacity, refilled_at: Mono::ZERO }
    }

    /// Takes a token, or returns the time until one is available above `reserve`, a fraction of a
    /// full bucket.
    fn try_take(&mut self, reserve: f64, now: Mono) -> Result<(), Duration> {
        let gained = now.saturating_sub(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
        let needed = 1.0 + (self.capacity - 1.0) * reserve;
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((needed - self.tokens) / self.rate.max(f64::EPSILON)))
    }
}

/// State of the circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Circuit {
    Closed { failures: u32 },
    Open { until: Mono, failed_probes: u32 },
    HalfOpen { since: Mono, failed_probes: u32 },
}

/// Decides which calls are admitted.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    budget: RateBudget,
    reads: Bucket,
    writes: Bucket,
    circuit: Circuit,
}

impl AdmissionControl {
    /// Returns an admission control with full buckets and a closed circuit.
    pub fn new(budget: RateBudget) -> Self {
        AdmissionControl {
            budget,
            reads: Bucket::new(budget.reads_per_second, budget.burst_seconds),
            writes: Bucket::new(budget.writes_per_second, budget.burst_seconds),
            circuit: Circuit::Closed { failures: 0 },
        }
    }

    /// Returns whether the circuit is closed, that is, whether the service is believed to be up.
    pub fn is_closed(&self) -> bool {
        matches!(self.circuit, Circuit::Closed { .. })
    }

    /// Admits or refuses a call.
    ///
    /// # Errors
    ///
    /// [`KvError::Unavailable`] while the circuit is open, [`KvError::RateLimited`] beyond the budget.
    pub fn admit(&mut self, kind: CallKind, priority: Priority, now: Mono) -> Result<(), KvError> {
        let probing = match self.circuit {
            Circuit::Closed { .. } => None,
            Circuit::Open { until, failed_probes } if now >= until => Some(failed_probes),
            Circuit::HalfOpen { since, failed_probes } if now >= since + PROBE_TIMEOUT => {
                Some(failed_probes)
            }
            Circuit::Open { .. } | Circuit::HalfOpen { .. } => return Err(KvError::Unavailable),
        };
        let bucket = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        let taken = bucket.try_take(priority.reserve(), now);
        taken.map_err(|retry_after| KvError::RateLimited { retry_after })?;
        if let Some(failed_probes) = probing {
            self.circuit = Circuit::HalfOpen { since: now, failed_probes };
        }
        Ok(())
    }

    /// Records the result of an admitted call. `jitter`, from 0 to 1, randomizes the time to the
    /// next probe.
    pub fn record(&mut self, error: Option<&KvError>, took: Duration, now: Mono, jitter: f64) {
        let slow = took > Duration::from_millis(self.budget.slow_ms);
        let failed = slow || matches!(error, Some(KvError::Unavailable | KvError::Indeterminate));
        self.circuit = match (self.circuit, failed) {
            (Circuit::Closed { failures }, true) if failures + 1 < CIRCUIT_FAILURES => {
                Circuit::Closed { failures: failures + 1 }
            }
            (Circuit::Closed { .. }, true) => open_circuit(0, now, jitter),
            (Circuit::HalfOpen { failed_probes, .. }, true) => {
                open_circuit(failed_probes + 1, now, jitter)
            }
            (open @ Circuit::Open { .. }, _) => open,
            (_, false) => Circuit::Closed { failures: 0 },
        };
    }
}

fn open_circuit(failed_probes: u32, now: Mono, jitter: f64) -> Circuit {
    let open_time = INITIAL_OPEN_TIME.saturating_mul(1 << failed_probes.min(8)).min(MAX_OPEN_TIME);
    let until = now + open_time.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
    Circuit::Open { until, failed_probes }
}
