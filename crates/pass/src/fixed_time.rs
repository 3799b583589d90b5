//! The part of the time to the first event that doesn't depend on the load of a group.
//!
//! An engine takes some time for each request besides reading prompts and writing answers, and so does
//! the network. No message names that time, so it is learned for each flow: it is what the
//! first events take beyond the time that the load explains. Loads are known late, and some groups are
//! slow, so the time is a low quantile of the recent samples.

use std::collections::VecDeque;

use base::prelude::*;

/// Number of recent samples that count.
const MAX_SAMPLES: usize = 24;
/// Age from which on a sample doesn't count.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(8);
/// The quantile of the samples that is taken for the fixed time.
const QUANTILE: f64 = 0.25;
/// Upper bound of the fixed time. More than that comes from a load that is not known.
const MAX_FIXED_TIME: Duration = Duration::from_millis(500);

/// The fixed time of a flow, from the first events that this process has got.
#[derive(Debug, Default)]
pub struct FixedTime {
    /// What recent first events took beyond the time explained by load, and when they came.
    samples: VecDeque<(Mono, Duration)>,
    estimate: Duration,
}

impl FixedTime {
    /// Records that a first event took the time `seen`, of which the load explains `explained`.
    pub fn record(&mut self, seen: Duration, explained: Duration, now: Mono) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, seen.saturating_sub(explained)));
        let is_recent = |(at, _): &(Mono, Duration)| now <= *at + MAX_SAMPLE_AGE;
        self.samples.retain(is_recent);
        let mut times: Vec<Duration> = self.samples.iter().map(|(_, time)| *time).collect();
        times.sort_unstable();
        let index = (times.len() as f64 * QUANTILE) as usize;
        self.estimate = times[index].min(MAX_FIXED_TIME);
    }

    /// Returns the fixed time; zero before the first sample.
    pub fn estimate(&self) -> Duration {
        self.estimate
    }
}
