//! Result of running one trace under one policy.

use base::prelude::*;
use serde_json::Value;
use serde_json::json;

/// Downtime and stranded accelerators of one run.
#[data]
pub(super) struct Outcome {
    /// The length of each downtime of a group, in seconds.
    pub(super) downtimes: Vec<f64>,
    /// Stranded accelerators, in accelerator-seconds.
    pub(super) stranded_accelerator_seconds: f64,
    /// Declared groups that did not serve, in group-seconds.
    pub(super) downtime_group_seconds: f64,
}

impl Outcome {
    /// Returns the group-seconds of downtime.
    pub(super) fn total_downtime(&self) -> f64 {
        self.downtime_group_seconds
    }

    /// Returns the figures as JSON.
    pub(super) fn to_json(&self) -> Value {
        let mut sorted = self.downtimes.clone();
        sorted.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let last = sorted.len().saturating_sub(1) as f64;
            sorted.get((last * share).round() as usize).copied().unwrap_or(0.0)
        };
        json!({
            "downtimes": sorted.len(),
            "downtime_median_s": at(0.5),
            "downtime_p95_s": at(0.95),
            "downtime_total_group_s": self.downtime_group_seconds,
            "stranded_accelerator_s": self.stranded_accelerator_seconds,
        })
    }
}
