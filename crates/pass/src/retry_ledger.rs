//! Grants of retries: the part of the fleet-wide retry budget that no request earns.
//!
//! The fleet may send a service a fixed number of retries within any window, beside those that its
//! requests earn. Processes come and go, and none knows how many there are, so none can take a share by
//! itself. Each failure domain has an equal part of that number, its pool, and its hub grants retries out
//! of it.
//!
//! Algorithm: a process reports to its hub, a few times a second, which granted retries it still holds
//! and how many it has used. The hub grants as many as bring it up to an equal part of
//! `STOCK_SHARE` of the pool, as long as the pool has retries left. Granted retries lapse
//! [`GRANT_TTL`] after the last report that was answered. A hub that knows of a predecessor, or may have
//! had one, begins to grant once nothing that was granted before can fall into the same window.
//!
//! Invariants, whatever becomes of the processes and of their messages:
//! - Each retry that was granted is charged to the pool from its grant until a window after its use: as
//!   held until the hub hears that it was used, as used from then on. Retries of a process that doesn't
//!   report any more, or has started again, count as used.
//! - What is charged never exceeds the pool. So in any window at most the pool is used.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::prelude::*;

use crate::budget::BudgetSettings;
use crate::budget::SAFETY_FACTOR;

/// How long a granted retry may be used after the process sent the last report that was answered.
pub const GRANT_TTL: Duration = Duration::from_secs(3);
/// Share of the pool that processes hold while none uses any; the rest goes to those that do.
const STOCK_SHARE: f64 = 0.5;
/// Uses within so much time are kept as one, at the time of the latest.
const USE_RESOLUTION: Duration = Duration::from_millis(100);

/// Identifies a ledger: the hub that keeps it, from when it became one.
pub type LedgerId = u64;

/// The granted retries of a process at one service.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HeldRetries {
    /// The service.
    pub service: ServiceId,
    /// Granted retries that it hasn't used.
    pub held: u32,
    /// Granted retries that it has used since it started.
    pub used: u64,
}

/// What a process reports to its hub.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RetryReport {
    /// Identifies the start of the process.
    pub boot: BootId,
    /// Rises with each report of the process.
    pub number: u64,
    /// The ledger that granted what the process holds; 0 if it holds nothing.
    pub ledger: LedgerId,
    /// The services that the process may send retries; none if it asks for nothing here.
    pub services: Vec<HeldRetries>,
}

/// Retries that a hub grants at one service.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GrantedRetries {
    /// The service.
    pub service: ServiceId,
    /// How many of those that it reported it may keep; the others are gone.
    pub kept: u32,
    /// Retries in addition.
    pub granted: u32,
}

/// A hub's answer to a [`RetryReport`].
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RetryGrant {
    /// The ledger that grants them.
    pub ledger: LedgerId,
    /// The services of the report.
    pub services: Vec<GrantedRetries>,
}

/// A process that has reported.
#[derive(Debug)]
struct Holder {
    boot: BootId,
    number: u64,
    reported_at: Mono,
    services: BTreeMap<ServiceId, HeldRetries>,
}

/// The used retries of a service within the window, oldest first.
#[derive(Debug, Default)]
struct UsedRetries {
    /// When the first and the last of them were used, as far as the hub knows, and how many.
    entries: VecDeque<(Mono, Mono, u32)>,
}

impl UsedRetries {
    fn add(&mut self, count: u32, now: Mono) {
        match self.entries.back_mut() {
            _ if count == 0 => {}
            Some((first, last, sum)) if now < *first + USE_RESOLUTION => {
                *last = now;
                *sum += count;
            }
            _ => self.entries.push_back((now, now, count)),
        }
    }

    fn expire(&mut self, window: Duration, now: Mono) {
        while self.entries.front().is_some_and(|(_, last, _)| *last + window < now) {
            self.entries.pop_front();
        }
    }

    fn sum(&self) -> u32 {
        self.entries.iter().map(|(.., count)| count).sum()
    }
}

/// The grants of one hub.
#[derive(Debug)]
pub struct RetryLedger {
    id: LedgerId,
    /// Retries that may be used within a window.
    pool: f64,
    window: Duration,
    grants_from: Mono,
    holders: BTreeMap<NodeId, Holder>,
    used: BTreeMap<ServiceId, UsedRetries>,
    /// The processes that call the hub without reports, and when they last did.
    silent: BTreeMap<NodeId, Mono>,
}

impl RetryLedger {
    /// Creates the ledger of the hub of one of `domains` failure domains, which grants nothing before
    /// `grants_from`.
    pub fn new(
        id: LedgerId,
        settings: &BudgetSettings,
        domains: usize,
        grants_from: Mono,
    ) -> RetryLedger {
        RetryLedger {
            id,
            pool: settings.slack * SAFETY_FACTOR / domains.max(1) as f64,
            window: settings.window,
            grants_from,
            holders: BTreeMap::new(),
            used: BTreeMap::new(),
            silent: BTreeMap::new(),
        }
    }

    /// Returns how long a hub grants nothing if it may have had a predecessor, whose lock lasts no longer
    /// than `lease` after this hub took it.
    pub fn waiting_time(settings: &BudgetSettings, lease: Duration) -> Duration {
        settings.window + GRANT_TTL + lease
    }

    /// Records a call of a process that sends no reports, and so takes a share of the budget by itself.
    pub fn note_without_report(&mut self, node: &NodeId, now: Mono) {
        self.silent.insert(node.clone(), now);
    }

    /// Records a report and returns what it is answered with; `None` if it is outdated or asks for
    /// nothing, or nothing is granted yet.
    pub fn report(&mut self, node: &NodeId, report: &RetryReport, now: Mono) -> Option<RetryGrant> {
        self.expire(now);
        self.silent.remove(node);
        if report.services.is_empty() {
            return None;
        }
        let known = self.holders.get(node).filter(|holder| holder.boot == report.boot);
        if known.is_some_and(|holder| report.number <= holder.number) {
            return None;
        }
        let mut holder = self.reported(node, report, now);
        let grant = (now >= self.grants_from).then(|| {
            let processes = self.holders.len() + 1;
            let granting = |held: &mut HeldRetries| self.grant(held, processes);
            holder.services.values_mut().map(granting).collect()
        });
        self.holders.insert(node.clone(), holder);
        Some(RetryGrant { ledger: self.id, services: grant? })
    }

    /// Takes what a process held before its report, and returns what it holds now.
    fn reported(&mut self, node: &NodeId, report: &RetryReport, now: Mono) -> Holder {
        let old = self.holders.remove(node);
        let is_same_process = old.as_ref().is_some_and(|old| old.boot == report.boot);
        let mut before = old.map(|old| old.services).unwrap_or_default();
        let mut services = BTreeMap::new();
        for HeldRetries { service, held, used } in &report.services {
            let old = before.get(service).filter(|_| is_same_process);
            let (was_held, was_used) = old.map_or((0, *used), |old| (old.held, old.used));
            let newly_used = used.saturating_sub(was_used).min(u64::from(was_held));
            let newly_used = u32::try_from(newly_used).unwrap_or(was_held);
            if old.is_some() {
                self.used.entry(service.clone()).or_default().add(newly_used, now);
                before.remove(service);
            }
            // A process that holds nothing of this ledger has lost the last grant, or let it lapse.
            let held = if report.ledger == self.id { *held } else { 0 };
            let held = held.min(was_held - newly_used);
            let row = HeldRetries { service: service.clone(), held, used: *used };
            services.insert(service.clone(), row);
        }
        self.assume_used(before.into_values(), now);
        Holder { boot: report.boot, number: report.number, reported_at: now, services }
    }

    /// Grants a process up to its part of the stock, as one of so many `processes`.
    fn grant(&self, held: &mut HeldRetries, processes: usize) -> GrantedRetries {
        let pool = self.pool * processes as f64 / (processes + self.silent.len()) as f64;
        let stock = (self.pool * STOCK_SHARE / processes as f64).ceil();
        let left = pool - self.charged(&held.service) - f64::from(held.held);
        let granted = (stock - f64::from(held.held)).min(left).max(0.0) as u32;
        // What the process gives up is charged until it reports what it holds then.
        let kept = held.held.min(stock as u32);
        held.held += granted;
        GrantedRetries { service: held.service.clone(), kept, granted }
    }

    /// Returns the retries of a service that are charged to the pool.
    fn charged(&self, service: &ServiceId) -> f64 {
        let held = self.holders.values().filter_map(|holder| holder.services.get(service));
        let held: u32 = held.map(|held| held.held).sum();
        f64::from(held + self.used.get(service).map_or(0, UsedRetries::sum))
    }

    /// Counts what is held by processes that don't report any more as used.
    fn expire(&mut self, now: Mono) {
        let is_gone = |holder: &Holder| holder.reported_at + GRANT_TTL < now;
        let gone = self.holders.extract_if(.., |_, holder| is_gone(holder));
        let held: Vec<HeldRetries> =
            gone.flat_map(|(_, holder)| holder.services.into_values()).collect();
        self.assume_used(held.into_iter(), now);
        self.silent.retain(|_, at| now <= *at + GRANT_TTL);
        for used in self.used.values_mut() {
            used.expire(self.window, now);
        }
    }

    fn assume_used(&mut self, held: impl Iterator<Item = HeldRetries>, now: Mono) {
        for HeldRetries { service, held, .. } in held {
            self.used.entry(service).or_default().add(held, now);
        }
    }
}
