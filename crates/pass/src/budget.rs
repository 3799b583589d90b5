//! This process's part of the fleet-wide retry budget.
//!
//! Within any window, the fleet may send a service as many retries as a fixed ratio of its requests
//! plus a fixed slack; the first attempt of each request doesn't count as a retry. A retry is paid for in
//! one of two ways: a process earns the ratio with the requests that it serves, each of which counts at one
//! process, and its hub grants it retries out of the slack (see [`retry_ledger`](crate::retry_ledger)). A
//! process that has just started has neither; no process needs to know how many others there are.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use base::prelude::*;

use crate::retry_ledger::GRANT_TTL;
use crate::retry_ledger::GrantedRetries;
use crate::retry_ledger::HeldRetries;
use crate::retry_ledger::LedgerId;
use crate::retry_ledger::RetryGrant;
use crate::retry_ledger::RetryReport;

/// Share of the allowed retries that is used. The rest covers windows that begin at another moment than
/// those of a process.
pub(crate) const SAFETY_FACTOR: f64 = 0.7;
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

/// What a process counted in a part of a window.
#[derive(Debug)]
struct Bucket {
    started_at: Mono,
    /// Requests that earn retries here; below zero if more were handed over than arrived.
    requests: i64,
    /// Retries that requests earned.
    retries: i64,
}

#[derive(Debug, Default)]
struct WindowCounts {
    /// Oldest first.
    buckets: VecDeque<Bucket>,
}

impl WindowCounts {
    fn current_bucket(&mut self, settings: &BudgetSettings, now: Mono) -> &mut Bucket {
        while self.buckets.front().is_some_and(|b| b.started_at + settings.window < now) {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|bucket| now < bucket.started_at + settings.window / WINDOW_BUCKETS);
        if !is_current {
            self.buckets.push_back(Bucket { started_at: now, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }

    /// Returns the bucket of what arrived at `arrived_at`.
    fn bucket_of(&mut self, arrived_at: Mono) -> &mut Bucket {
        let later = self.buckets.partition_point(|bucket| bucket.started_at <= arrived_at);
        if later == 0 {
            self.buckets.push_front(Bucket { started_at: arrived_at, requests: 0, retries: 0 });
        }
        &mut self.buckets[later.saturating_sub(1)]
    }
}

/// What a process has done and may do at one service.
#[data]
#[derive(Copy)]
pub struct RetryAccount {
    /// Requests within the window that earn retries here.
    pub requests: i64,
    /// Retries within the window that were paid for with these.
    pub sent: i64,
    /// Retries that these requests allow.
    pub earned: f64,
    /// Retries that a hub granted and that are left.
    pub granted: u32,
}

impl RetryAccount {
    /// Returns the number of retries left.
    pub fn left(&self) -> f64 {
        self.earned_left().max(0.0) + f64::from(self.granted)
    }

    /// Returns the number of earned retries left; below zero if fewer are earned than were.
    fn earned_left(&self) -> f64 {
        self.earned - self.sent as f64
    }
}

/// What pays for a retry.
#[key]
pub enum RetrySource {
    /// The requests that the process serves.
    Requests,
    /// A grant of its hub.
    Grant,
}

/// The granted retries of one service.
#[derive(Debug, Default)]
struct Granted {
    held: u32,
    /// Used since the process started.
    used: u64,
    /// Those that the last report told of.
    reported_used: u64,
}

/// The retries that a hub has granted. They come from one ledger at a time.
#[derive(Debug, Default)]
struct Grants {
    /// Where the hub listens.
    hub: Option<SocketAddr>,
    /// Its ledger; 0 if nothing is held.
    ledger: LedgerId,
    /// The ledger of the last report.
    reported_ledger: LedgerId,
    valid_until: Mono,
    services: HashMap<ServiceId, Granted>,
}

impl Grants {
    fn expire(&mut self, now: Mono) {
        if now > self.valid_until {
            self.hub = None;
            self.drop_held();
        }
    }

    fn drop_held(&mut self) {
        self.ledger = 0;
        self.services.values_mut().for_each(|granted| granted.held = 0);
    }

    fn of(&mut self, service: &str) -> &mut Granted {
        self.services.entry(service.into()).or_default()
    }
}

/// The retry budget of one process, by service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    counts: HashMap<ServiceId, WindowCounts>,
    /// Identifies this process in its reports.
    boot: BootId,
    report_number: u64,
    grants: Grants,
}

impl RetryBudget {
    /// Creates the budget of a process that starts, without any requests; `boot` identifies the start.
    pub fn new(settings: BudgetSettings, boot: BootId) -> Self {
        RetryBudget {
            settings,
            counts: HashMap::new(),
            boot,
            report_number: 0,
            grants: Grants::default(),
        }
    }

    /// Returns the limits of the fleet-wide budget.
    pub fn settings(&self) -> &BudgetSettings {
        &self.settings
    }

    /// Counts a request for `service` that arrived `age` ago, at this process or another one, and earns retries
    /// here from now on.
    pub fn record_request(&mut self, service: &str, age: Duration, now: Mono) {
        self.add_request(service, 1, age, now);
    }

    /// Takes a request back that arrived `age` ago, and earns retries at another process from now on; returns
    /// false if it has left the window, or if what it earned has been used here.
    pub fn take_back_request(&mut self, service: &str, age: Duration, now: Mono) -> bool {
        let earned = self.settings.ratio * SAFETY_FACTOR;
        self.account(service, now).earned_left() >= earned
            && self.add_request(service, -1, age, now)
    }

    fn add_request(&mut self, service: &str, added: i64, age: Duration, now: Mono) -> bool {
        let Some(arrived_at) = now.checked_sub(age).filter(|_| age <= self.settings.window) else {
            return false;
        };
        self.bucket(service, now);
        let counts = self.counts.entry(service.into()).or_default();
        counts.bucket_of(arrived_at).requests += added;
        true
    }

    fn bucket(&mut self, service: &str, now: Mono) -> &mut Bucket {
        self.counts.entry(service.into()).or_default().current_bucket(&self.settings, now)
    }

    /// Takes one retry at `service`; returns what pays for it, or `None` if none is left.
    pub fn try_take(&mut self, service: &str, now: Mono) -> Option<RetrySource> {
        let account = self.account(service, now);
        if account.earned_left() >= 1.0 {
            self.bucket(service, now).retries += 1;
            return Some(RetrySource::Requests);
        }
        let granted = self.grants.of(service);
        granted.held = granted.held.checked_sub(1)?;
        granted.used += 1;
        Some(RetrySource::Grant)
    }

    /// Returns the account of `service`.
    pub fn account(&mut self, service: &str, now: Mono) -> RetryAccount {
        self.grants.expire(now);
        self.bucket(service, now);
        let buckets = self.counts.get(service).map(|counts| &counts.buckets);
        let buckets = || buckets.into_iter().flatten();
        let requests: i64 = buckets().map(|bucket| bucket.requests).sum();
        let sent = buckets().map(|bucket| bucket.retries).sum();
        let earned = requests as f64 * self.settings.ratio * SAFETY_FACTOR;
        RetryAccount { requests, sent, earned, granted: self.grants.of(service).held }
    }

    /// Returns the report to the hub at `hub` that may grant retries at `services`; it names none while
    /// another hub's grants are valid.
    pub fn report<'a>(
        &mut self,
        hub: SocketAddr,
        services: impl Iterator<Item = &'a ServiceId>,
        now: Mono,
    ) -> RetryReport {
        self.grants.expire(now);
        self.report_number += 1;
        let (boot, number, ledger) = (self.boot, self.report_number, self.grants.ledger);
        if self.grants.hub.is_some_and(|granting| granting != hub) {
            return RetryReport { boot, number, ledger, services: Vec::new() };
        }
        self.grants.reported_ledger = ledger;
        let report = |service: &ServiceId| {
            let granted = self.grants.of(service);
            granted.reported_used = granted.used;
            HeldRetries { service: service.clone(), held: granted.held, used: granted.used }
        };
        RetryReport { boot, number, ledger, services: services.map(report).collect() }
    }

    /// Takes what the hub at `hub` grants in answer to the last report, which was made at `reported_at`.
    pub fn accept(&mut self, hub: SocketAddr, grant: &RetryGrant, reported_at: Mono, now: Mono) {
        self.grants.expire(now);
        if self.grants.ledger != grant.ledger {
            self.grants.drop_held();
        }
        let is_first = self.grants.reported_ledger != grant.ledger;
        self.grants.hub = Some(hub);
        self.grants.ledger = grant.ledger;
        self.grants.valid_until = reported_at + GRANT_TTL;
        for GrantedRetries { service, kept, granted: added } in &grant.services {
            let granted = self.grants.of(service);
            granted.held = granted.held.min(*kept).saturating_add(*added);
            if is_first {
                // What was used since the report had been granted by another ledger.
                granted.used = granted.reported_used;
            }
        }
    }
}
