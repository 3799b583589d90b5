//! This process's share of the fleet-wide retry budget.
//!
//! Within any window, the fleet may send a service as many retries as a fixed ratio of its requests
//! plus a fixed slack; the first attempt of each request doesn't count as a retry. Each process
//! uses the ratio of the requests that it received itself, and an equal part of the slack. Both are
//! scaled down, since the number of live processes is known late.

use std::collections::HashMap;
use std::collections::VecDeque;

use base::prelude::*;

/// Share of the allowed retries that is used.
const SAFETY_FACTOR: f64 = 0.7;
/// Number of buckets that a window is counted in.
const WINDOW_BUCKETS: u32 = 10;

/// Limits of the fleet-wide budget.
#[data]
#[derive(Copy)]
pub struct BudgetSettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window, for all processes together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct WindowCounts {
    /// Start, requests and retries of each bucket, oldest first.
    buckets: VecDeque<(Mono, u32, u32)>,
}

impl WindowCounts {
    fn current_bucket(&mut self, settings: &BudgetSettings, now: Mono) -> &mut (Mono, u32, u32) {
        while self.buckets.front().is_some_and(|(at, ..)| *at + settings.window < now) {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|(at, ..)| now < *at + settings.window / WINDOW_BUCKETS);
        if !is_current {
            self.buckets.push_back((now, 0, 0));
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}

/// What a process has done and may do at one service, within the window.
#[data]
#[derive(Copy)]
pub struct RetryAccount {
    /// Requests for the service.
    pub requests: u32,
    /// Retries sent.
    pub sent: u32,
    /// Retries that may be sent.
    pub allowed: f64,
}

impl RetryAccount {
    /// Returns the number of retries left; below zero if fewer are allowed than were.
    pub fn left(&self) -> f64 {
        self.allowed - f64::from(self.sent)
    }
}

/// The retry budget of one process, by service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    counts: HashMap<ServiceId, WindowCounts>,
}

impl RetryBudget {
    /// Creates a budget without any requests.
    pub fn new(settings: BudgetSettings) -> Self {
        RetryBudget { settings, counts: HashMap::new() }
    }

    /// Counts a request for `service`.
    pub fn record_request(&mut self, service: &str, now: Mono) {
        let counts = self.counts.entry(service.into()).or_default();
        counts.current_bucket(&self.settings, now).1 += 1;
    }

    /// Takes one retry at `service`, with `processes` live processes; returns `false` if none is
    /// left.
    pub fn try_take(&mut self, service: &str, processes: usize, now: Mono) -> bool {
        if self.account(service, processes, now).left() < 1.0 {
            return false;
        }
        let counts = self.counts.entry(service.into()).or_default();
        counts.current_bucket(&self.settings, now).2 += 1;
        true
    }

    /// Returns the account of `service`, with `processes` live processes.
    pub fn account(&mut self, service: &str, processes: usize, now: Mono) -> RetryAccount {
        let settings = self.settings;
        let counts = self.counts.entry(service.into()).or_default();
        counts.current_bucket(&settings, now);
        let requests: u32 = counts.buckets.iter().map(|(_, requests, _)| requests).sum();
        let sent: u32 = counts.buckets.iter().map(|(_, _, retries)| retries).sum();
        let slack = settings.slack / processes.max(1) as f64;
        let allowed = (f64::from(requests) * settings.ratio + slack) * SAFETY_FACTOR;
        RetryAccount { requests, sent, allowed }
    }
}
