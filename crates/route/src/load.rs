//! Estimates of each group's queue and speed.
//!
//! A group's report says how many requests waited and ran when it was made, which lags. What this
//! process itself sent and finished since then corrects it. What the others did since is not
//! known; as callers are spread evenly it is taken to be half as much for each of them, up to
//! `MAX_EXTRAPOLATION` times as much in all. The estimate is never below the requests that this
//! process has in progress there.
//!
//! Speed is the moving average of the time between tokens. A group is as slow as its average
//! against the median over the groups of the same table; a group without recent samples counts
//! as ordinary, so a straggler that recovered gets work again.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::prelude::*;
use group::view::GroupView;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Samples needed before a group's speed is judged.
const MIN_SAMPLES: u32 = 8;
/// Time after which samples say nothing about a group's speed.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(10);
/// Own sends and ends that are kept for correcting a report.
const MAX_CORRECTIONS: usize = 4096;
/// Own sends and ends older than this are taken to be in every report.
const CORRECTION_LIFETIME: Duration = Duration::from_secs(10);
/// How many times its own sends a process counts at most for those of all processes.
const MAX_EXTRAPOLATION: f64 = 8.0;
/// Groups with recent samples below which none is judged.
const MIN_JUDGED_GROUPS: usize = 3;
/// A group is a straggler from this ratio to its peers' median.
pub const STRAGGLER_RATIO: f64 = 1.5;
/// Time to the first token that is assumed before any was seen.
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_millis(200);
/// Time between tokens that is assumed before any was seen.
const DEFAULT_TOKEN_GAP: Duration = Duration::from_millis(30);

/// What this process saw of one group.
#[data]
#[derive(Default)]
struct GroupLoad {
    in_progress: u32,
    corrections: VecDeque<(Mono, i32)>,
    gap_seconds: f64,
    first_token_seconds: f64,
    samples: u32,
    last_sample: Mono,
}

/// What this process saw of all groups.
#[data]
#[derive(Default)]
pub struct LoadTracker {
    rows: BTreeMap<GroupId, GroupLoad>,
    peers: usize,
}

impl LoadTracker {
    /// Notes how many other processes send to the same groups.
    pub fn set_peers(&mut self, peers: usize) {
        self.peers = peers;
    }

    /// Notes that a request was sent to `group`.
    pub fn record_send(&mut self, group: &str, now: Mono) {
        let load = self.row(group);
        load.in_progress += 1;
        load.correct(now, 1);
    }

    /// Notes that a request at `group` ended, however it did.
    pub fn record_end(&mut self, group: &str, now: Mono) {
        let load = self.row(group);
        load.in_progress = load.in_progress.saturating_sub(1);
        load.correct(now, -1);
    }

    /// Notes the time that a first token took at `group`.
    pub fn record_first_token(&mut self, group: &str, took: Duration) {
        let load = self.row(group);
        let sample = took.as_secs_f64();
        load.first_token_seconds = average(load.first_token_seconds, sample);
    }

    /// Notes the mean time between tokens of a stream from `group`.
    pub fn record_token_gap(&mut self, group: &str, gap: Duration, now: Mono) {
        let load = self.row(group);
        load.gap_seconds = average(load.gap_seconds, gap.as_secs_f64());
        load.samples = load.samples.saturating_add(1);
        load.last_sample = now;
    }

    /// Forgets groups for which `keep` is false and that have nothing in progress.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.rows.retain(|group, load| load.in_progress > 0 || keep(group));
    }

    /// Returns the requests that this process has in progress at `group`.
    pub fn in_progress(&self, group: &str) -> u32 {
        self.rows.get(group).map_or(0, |load| load.in_progress)
    }

    /// Returns the estimated number of requests at the group, waiting or running.
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

    /// Returns the median time between tokens of the groups, in seconds, if enough of them have
    /// recent samples.
    pub fn median_gap(&self, groups: &[&GroupView], now: Mono) -> Option<f64> {
        let mut gaps: Vec<f64> =
            groups.iter().filter_map(|group| self.gap(&group.id, now)).collect();
        if gaps.len() < MIN_JUDGED_GROUPS {
            return None;
        }
        let middle = (gaps.len() - 1) / 2;
        let (_, median, _) = gaps.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }

    /// Returns how many times slower than its peers' median the group is, at least 1.
    ///
    /// A ratio below [`STRAGGLER_RATIO`] is ordinary variation and counts as 1.
    pub fn slowness(&self, group: &str, median_gap: Option<f64>, now: Mono) -> f64 {
        let (Some(median), Some(own)) = (median_gap, self.gap(group, now)) else { return 1.0 };
        let ratio = own / median.max(f64::EPSILON);
        if ratio >= STRAGGLER_RATIO { ratio } else { 1.0 }
    }

    /// Returns how long an answer of `tokens` takes at `group` once it starts.
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
