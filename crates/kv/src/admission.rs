//! Which calls of one process may go out: its share of the service's rates, and a circuit.
//!
//! Reads and writes have one token bucket each. A call of lower priority leaves a reserve in the
//! bucket, so that claims still go out when reading along has used up the rest. The circuit opens
//! after [`CIRCUIT_FAILURES`] calls in a row had no answer or a slow one; while it is open all
//! calls are refused at once, and then one call at a time tries the service. The time to the next
//! try grows and is spread at random, so that processes do not return all at once.

use base::prelude::*;

use crate::store::KvError;

/// Calls in a row without a good answer that open the circuit.
pub const CIRCUIT_FAILURES: u32 = 3;
/// Shortest time for which the circuit stays open.
const SHORTEST_OPEN: Duration = Duration::from_millis(250);
/// Longest time for which the circuit stays open.
const LONGEST_OPEN: Duration = Duration::from_secs(4);
/// Time after which an unanswered try gives way to the next one.
const TRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Kinds of calls.
#[key]
pub enum CallKind {
    /// Reads of a key or a prefix, and opened watches.
    Read,
    /// Compare-and-swaps and deletions.
    Write,
}

/// What a call is for, most urgent first.
#[key]
pub enum Priority {
    /// Claims of request keys.
    Claim,
    /// Assignments of replica groups.
    Group,
    /// Accepted configuration.
    Config,
    /// Reading along.
    Background,
}

impl Priority {
    /// Share of a full bucket that calls of this priority leave untouched.
    fn reserve(self) -> f64 {
        match self {
            Priority::Claim => 0.0,
            Priority::Group => 0.1,
            Priority::Config => 0.25,
            Priority::Background => 0.5,
        }
    }
}

/// One process's share.
#[wire]
#[derive(Copy)]
pub struct RateBudget {
    /// Reads a second.
    pub reads_per_second: f64,
    /// Writes a second.
    pub writes_per_second: f64,
    /// Reads or writes that may go out at once, as seconds of their rate.
    pub burst_seconds: f64,
    /// An answer that takes longer counts as a failure for the circuit, in milliseconds.
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
    size: f64,
    tokens: f64,
    filled: Mono,
}

impl Bucket {
    fn new(rate: f64, burst_seconds: f64) -> Self {
        let size = (rate * burst_seconds).max(1.0);
        Bucket { rate, size, tokens: size, filled: Mono::ZERO }
    }

    /// Takes a token, or returns the time until there will be one.
    fn take(&mut self, reserve: f64, now: Mono) -> Result<(), Duration> {
        let gained = now.saturating_sub(self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.size);
        self.filled = self.filled.max(now);
        let needed = 1.0 + (self.size - 1.0) * reserve;
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((needed - self.tokens) / self.rate.max(f64::EPSILON)))
    }
}

/// State of the circuit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Circuit {
    Closed { failures: u32 },
    Open { until: Mono, opened: u32 },
    Trying { since: Mono, opened: u32 },
}

/// Decides which calls go out.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    share: RateBudget,
    reads: Bucket,
    writes: Bucket,
    circuit: Circuit,
}

impl AdmissionControl {
    /// Returns a admission with full buckets and a closed circuit.
    pub fn new(share: RateBudget) -> Self {
        AdmissionControl {
            share,
            reads: Bucket::new(share.reads_per_second, share.burst_seconds),
            writes: Bucket::new(share.writes_per_second, share.burst_seconds),
            circuit: Circuit::Closed { failures: 0 },
        }
    }

    /// Returns whether the circuit is closed, as far as is known.
    pub fn is_closed(&self) -> bool {
        matches!(self.circuit, Circuit::Closed { .. })
    }

    /// Lets a call out or refuses it.
    ///
    /// # Errors
    ///
    /// [`KvError::Unavailable`] while the circuit is open, [`KvError::RateLimited`] beyond the share.
    pub fn admit(&mut self, kind: CallKind, priority: Priority, now: Mono) -> Result<(), KvError> {
        let trying = match self.circuit {
            Circuit::Closed { .. } => None,
            Circuit::Open { until, opened } if now >= until => Some(opened),
            Circuit::Trying { since, opened } if now >= since + TRY_TIMEOUT => Some(opened),
            Circuit::Open { .. } | Circuit::Trying { .. } => return Err(KvError::Unavailable),
        };
        let bucket = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        let taken = bucket.take(priority.reserve(), now);
        taken.map_err(|retry_after| KvError::RateLimited { retry_after })?;
        if let Some(opened) = trying {
            self.circuit = Circuit::Trying { since: now, opened };
        }
        Ok(())
    }

    /// Notes how a call that went out ended; `draw` from 0 to 1 spreads the next try.
    pub fn record(&mut self, error: Option<&KvError>, took: Duration, now: Mono, draw: f64) {
        let slow = took > Duration::from_millis(self.share.slow_ms);
        let failed = slow || matches!(error, Some(KvError::Unavailable | KvError::Indeterminate));
        self.circuit = match (self.circuit, failed) {
            (Circuit::Closed { failures }, true) if failures + 1 < CIRCUIT_FAILURES => {
                Circuit::Closed { failures: failures + 1 }
            }
            (Circuit::Closed { .. }, true) => opened(0, now, draw),
            (Circuit::Trying { opened: times, .. }, true) => opened(times + 1, now, draw),
            (open @ Circuit::Open { .. }, _) => open,
            (_, false) => Circuit::Closed { failures: 0 },
        };
    }
}

fn opened(times: u32, now: Mono, draw: f64) -> Circuit {
    let longest = SHORTEST_OPEN.saturating_mul(1 << times.min(8)).min(LONGEST_OPEN);
    let until = now + longest.mul_f64(0.5 + draw.clamp(0.0, 1.0) / 2.0);
    Circuit::Open { until, opened: times }
}
