//! This process's share of the fleet-wide retry budget.
//!
//! The fleet may send a service, in any window, a ratio of the requests for it plus a slack beyond
//! the first sending of each request. Each process uses the ratio of the requests that it took
//! itself, and its part of the slack. Both stay below what is allowed, since the number of live
//! processes is known late.

use std::collections::HashMap;
use std::collections::VecDeque;

use base::prelude::*;

/// Part of the allowed retries that is used.
const USED_PART: f64 = 0.7;
/// Parts that a window is counted in.
const WINDOW_BUCKETS: u32 = 10;

/// Bounds of the fleet-wide budget.
#[data]
#[derive(Copy)]
pub struct BudgetSettings {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed besides, by all processes together.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct WindowCounts {
    /// When each part began, its requests and its retries; oldest first.
    buckets: VecDeque<(Mono, u32, u32)>,
}

impl WindowCounts {
    fn current_bucket(&mut self, settings: &BudgetSettings, now: Mono) -> &mut (Mono, u32, u32) {
        while self.buckets.front().is_some_and(|(at, ..)| *at + settings.window < now) {
            self.buckets.pop_front();
        }
        let fresh = self
            .buckets
            .back()
            .is_some_and(|(at, ..)| now < *at + settings.window / WINDOW_BUCKETS);
        if !fresh {
            self.buckets.push_back((now, 0, 0));
        }
        self.buckets.back_mut().expect("a part was just added")
    }
}

/// The retry budget of one process, by service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    counts: HashMap<ServiceId, WindowCounts>,
}

impl RetryBudget {
    /// Makes a budget without any requests.
    pub fn new(settings: BudgetSettings) -> Self {
        RetryBudget { settings, counts: HashMap::new() }
    }

    /// Counts a request for `service`.
    pub fn record_request(&mut self, service: &str, now: Mono) {
        let counts = self.counts.entry(service.into()).or_default();
        counts.current_bucket(&self.settings, now).1 += 1;
    }

    /// Takes one retry at `service`; `false` if none is left. `processes` are alive.
    pub fn try_take(&mut self, service: &str, processes: usize, now: Mono) -> bool {
        if self.remaining(service, processes, now) < 1.0 {
            return false;
        }
        let counts = self.counts.entry(service.into()).or_default();
        counts.current_bucket(&self.settings, now).2 += 1;
        true
    }

    /// Returns how many retries are left at `service`.
    pub fn remaining(&mut self, service: &str, processes: usize, now: Mono) -> f64 {
        let settings = self.settings;
        let counts = self.counts.entry(service.into()).or_default();
        counts.current_bucket(&settings, now);
        let requests: u32 = counts.buckets.iter().map(|(_, requests, _)| requests).sum();
        let retries: u32 = counts.buckets.iter().map(|(_, _, retries)| retries).sum();
        let slack = settings.slack / processes.max(1) as f64;
        (f64::from(requests) * settings.ratio + slack) * USED_PART - f64::from(retries)
    }
}
