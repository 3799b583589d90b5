//! Estimates of the load and speed of each group.
//!
//! A group's report states how many requests were queued and running when it was made, so it is out
//! of date. The estimate adds what this process has sent and finished since then. What the other
//! processes did since then is unknown. As callers are spread evenly, each of them is assumed to
//! have done half as much, and all processes together at most `MAX_EXTRAPOLATION` times as much as
//! this one. The estimate is never below the number of requests that this process has in progress
//! there.
//!
//! The speed is a moving average of the time between tokens. The slowness of a group is its average
//! divided by the median over the groups with the same model, version and adapter. A group without
//! recent samples counts as normal, so that a straggler that has recovered gets requests again.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::prelude::*;
use group::view::GroupView;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Number of samples from which on a group's speed is known.
const MIN_SAMPLES: u32 = 8;
/// Time after the last sample from which on a group's speed is unknown again.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of local sends and ends kept for the correction of a group's report.
const MAX_CORRECTIONS: usize = 4096;
/// Local sends and ends older than this are assumed to be in every report.
const CORRECTION_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum ratio of the assumed sends of all processes to those of this process.
const MAX_EXTRAPOLATION: f64 = 8.0;
/// Minimum number of groups of known speed for a comparison between them.
const MIN_COMPARED_GROUPS: usize = 3;
/// Ratio to the median time between tokens from which on a group is a straggler.
pub const STRAGGLER_RATIO: f64 = 1.5;
/// Time to the first token that is assumed before the first sample.
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_millis(200);
/// Time between tokens that is assumed before the first sample.
const DEFAULT_TOKEN_GAP: Duration = Duration::from_millis(30);

/// What this process observed of one group.
#[data]
#[derive(Default)]
struct GroupLoad {
    in_progress: u32,
    /// Times of local sends (`1`) and ends (`-1`).
    corrections: VecDeque<(Mono, i32)>,
    gap_seconds: f64,
    first_token_seconds: f64,
    samples: u32,
    last_sample: Mono,
}

/// What this process observed of all groups.
#[data]
#[derive(Default)]
pub struct LoadTracker {
    rows: BTreeMap<GroupId, GroupLoad>,
    peers: usize,
}

impl LoadTracker {
    /// Sets how many other processes send to the same groups.
    pub fn set_peers(&mut self, peers: usize) {
        self.peers = peers;
    }

    /// Records that a request was sent to `group`.
    pub fn record_send(&mut self, group: &str, now: Mono) {
        let load = self.row(group);
        load.in_progress += 1;
        load.correct(now, 1);
    }

    /// Records that a request at `group` ended, with or without success.
    pub fn record_end(&mut self, group: &str, now: Mono) {
        let load = self.row(group);
        load.in_progress = load.in_progress.saturating_sub(1);
        load.correct(now, -1);
    }

    /// Records the time from sending a request to `group` to its first token.
    pub fn record_first_token(&mut self, group: &str, took: Duration) {
        let load = self.row(group);
        let sample = took.as_secs_f64();
        load.first_token_seconds = average(load.first_token_seconds, sample);
    }

    /// Records the mean time between tokens of a stream from `group`.
    pub fn record_token_gap(&mut self, group: &str, gap: Duration, now: Mono) {
        let load = self.row(group);
        load.gap_seconds = average(load.gap_seconds, gap.as_secs_f64());
        load.samples = load.samples.saturating_add(1);
        load.last_sample = now;
    }

    /// Removes groups for which `keep` is false and that have no requests in progress.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.rows.retain(|group, load| load.in_progress > 0 || keep(group));
    }

    /// Returns how many requests this process has in progress at `group`.
    pub fn in_progress(&self, group: &str) -> u32 {
        self.rows.get(group).map_or(0, |load| load.in_progress)
    }

    /// Returns the estimated number of requests at the group, queued or running.
    pub fn estimated_load(&self, view: &GroupView) -> u32 {
        let reported = i64::from(view.queued) + i64::from(view.running);
        let Some(load) = self.rows.get(&view.id) else { return reported as u32 };
        let since: i64 = load
            .corrections
            .iter()
            .filter(|(at, _)| *at >= view.reported_at)
            .map(|(_, change)| i64::from(*change))
            .sum();
        let all = 1.0 + (self.peers as f64 / 2.0).min(MAX_EXTRAPOLATION - 1.0);
        let since = (since as f64 * all) as i64;
        (reported + since).max(i64::from(load.in_progress)) as u32
    }

    /// Returns the median time between tokens of the groups, in seconds.
    ///
    /// `None` if fewer than `MIN_COMPARED_GROUPS` of them are of known speed.
    pub fn median_gap(&self, groups: &[&GroupView], now: Mono) -> Option<f64> {
        let mut gaps: Vec<f64> =
            groups.iter().filter_map(|group| self.gap(&group.id, now)).collect();
        if gaps.len() < MIN_COMPARED_GROUPS {
            return None;
        }
        let middle = (gaps.len() - 1) / 2;
        let (_, median, _) = gaps.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }

    /// Returns how many times slower than the median the group is, at least 1.
    ///
    /// A ratio below [`STRAGGLER_RATIO`] is normal variation and counts as 1, as does an unknown
    /// speed.
    pub fn slowness(&self, group: &str, median_gap: Option<f64>, now: Mono) -> f64 {
        let (Some(median), Some(own)) = (median_gap, self.gap(group, now)) else { return 1.0 };
        let ratio = own / median.max(f64::EPSILON);
        if ratio >= STRAGGLER_RATIO { ratio } else { 1.0 }
    }

    /// Returns how long an answer of `tokens` tokens takes at `group` once it starts.
    pub fn service_time(&self, group: &str, tokens: u32) -> Duration {
        let load = self.rows.get(group);
        let known = |seconds: f64, default: Duration| {
            if seconds > 0.0 { Duration::from_secs_f64(seconds) } else { default }
        };
        let first = load.map_or(0.0, |load| load.first_token_seconds);
        let gap = load.map_or(0.0, |load| load.gap_seconds);
        known(first, DEFAULT_FIRST_TOKEN) + known(gap, DEFAULT_TOKEN_GAP) * tokens
    }

    fn gap(&self, group: &str, now: Mono) -> Option<f64> {
        let load = self.rows.get(group)?;
        let fresh = now.saturating_sub(load.last_sample) < SAMPLE_LIFETIME;
        (fresh && load.samples >= MIN_SAMPLES).then_some(load.gap_seconds)
    }

    fn row(&mut self, group: &str) -> &mut GroupLoad {
        if !self.rows.contains_key(group) {
            self.rows.insert(group.into(), GroupLoad::default());
        }
        self.rows.get_mut(group).expect("the row was just inserted")
    }
}

impl GroupLoad {
    fn correct(&mut self, now: Mono, change: i32) {
        let oldest = now.saturating_sub(CORRECTION_LIFETIME);
        while self.corrections.front().is_some_and(|(at, _)| *at < oldest) {
            self.corrections.pop_front();
        }
        if self.corrections.len() == MAX_CORRECTIONS {
            self.corrections.pop_front();
        }
        self.corrections.push_back((now, change));
    }
}

fn average(old: f64, sample: f64) -> f64 {
    if old == 0.0 { sample } else { old + SAMPLE_WEIGHT * (sample - old) }
}
