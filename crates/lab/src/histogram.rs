//! Latency histograms and their summary.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Upper bound of the histogram, in microseconds; longer times are recorded as this one.
const MAX_MICROS: u64 = 600_000_000;
/// Decimal digits of precision of a recorded value.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A latency histogram with microsecond resolution.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    inner: Histogram<u64>,
}

/// The summary of a histogram, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// How many times were recorded.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let inner = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        LatencyHistogram { inner: inner.expect("the bounds are valid") }
    }
}

impl LatencyHistogram {
    /// Records one time, at least 1 µs.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
        self.inner.saturating_record(micros.max(1));
    }

    /// Adds all times recorded in `other`.
    pub fn merge(&mut self, other: &LatencyHistogram) {
        self.inner.add(&other.inner).expect("the bounds are the same");
    }

    /// Returns the time at `quantile`, 0 to 1, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.inner.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the summary.
    pub fn summary(&self) -> Summary {
        Summary {
            count: self.inner.len(),
            p50_ms: self.quantile_ms(0.5),
            p95_ms: self.quantile_ms(0.95),
            p99_ms: self.quantile_ms(0.99),
            max_ms: self.inner.max() as f64 / 1_000.0,
        }
    }
}
