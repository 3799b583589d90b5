//! Limits of workspaces: request rate with burst, requests in progress, and token rate.
//!
//! The limits hold over the whole deployment; this process enforces its fraction of them (see
//! [`share`](crate::share)). The estimated tokens of a request are charged when it is admitted and
//! corrected when it ends, so a bucket's level may be negative. Token capacity that no workspace
//! uses is shared by weight among the workspaces that demand more than they are guaranteed.
//!
//! Invariant: a request that a limit refuses is not charged.

use std::collections::BTreeMap;

use base::prelude::*;
use displaydoc::Display;
use spec::resource::Limits;

use crate::bucket::Bucket;
use crate::share::CapacityDemand;
use crate::share::LimitShares;
use crate::share::fair_shares;

/// The longest time that a refused caller is asked to retry after.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Time to retry after if too many requests are in progress.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Burst of a token bucket, in seconds of its rate.
const TOKEN_BURST_SECONDS: f64 = 10.0;

/// The limits of each workspace.
pub type WorkspaceLimits = BTreeMap<WorkspaceId, Limits>;

/// The limit of a workspace that a request exceeds, with the time to retry after.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LimitExceeded {
    /// request rate of the workspace exceeded; retry after {0:?}
    Rate(Duration),
    /// concurrent requests of the workspace exceeded; retry after {0:?}
    Concurrency(Duration),
    /// token rate of the workspace exceeded; retry after {0:?}
    Tokens(Duration),
}

impl std::error::Error for LimitExceeded {}

#[data]
struct WorkspaceRow {
    limits: Limits,
    /// The fraction of the limits for this process.
    fraction: f64,
    requests: Bucket,
    tokens: Bucket,
    /// The token rate over the deployment.
    tokens_per_second: f64,
    /// Tokens of the requests since the last refresh, admitted or not.
    requested_tokens: f64,
    /// Admitted requests in progress.
    running: u32,
}

/// The limits of all workspaces at this process.
#[data]
#[derive(Default)]
pub struct LimitTable {
    rows: BTreeMap<WorkspaceId, WorkspaceRow>,
    refreshed_at: Mono,
}

impl LimitTable {
    /// Sets the limits; requests in progress stay counted.
    pub fn set(&mut self, limits: &WorkspaceLimits, now: Mono) {
        self.rows.retain(|workspace, row| limits.contains_key(workspace) || row.running > 0);
        for (workspace, limits) in limits {
            match self.rows.get_mut(workspace) {
                Some(row) => row.limits = limits.clone(),
                None => {
                    self.rows.insert(workspace.clone(), WorkspaceRow::new(limits.clone(), now));
                }
            }
        }
    }

    /// Adapts the buckets to the current fractions and to the unused token capacity.
    ///
    /// `capacity` is the token rate of all groups together, if known.
    pub fn refresh(&mut self, shares: &LimitShares, capacity: Option<f64>, now: Mono) {
        let seconds = now.saturating_sub(self.refreshed_at).as_secs_f64().max(0.001);
        self.refreshed_at = now;
        for (workspace, row) in &mut self.rows {
            row.fraction = shares.fraction(workspace, now);
        }
        let rates = self.token_rates(capacity, seconds);
        for (row, rate) in self.rows.values_mut().zip(rates) {
            row.tokens_per_second = rate;
            row.requested_tokens = 0.0;
            row.resize(now);
        }
    }

    /// Admits a request that is expected to generate `tokens` tokens.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request exceeds. Nothing is charged then.
    pub fn admit(&mut self, workspace: &str, tokens: u32, now: Mono) -> Result<(), LimitExceeded> {
        let Some(row) = self.rows.get_mut(workspace) else { return Ok(()) };
        row.requested_tokens += f64::from(tokens);
        if row.running >= row.concurrent() {
            return Err(LimitExceeded::Concurrency(CONCURRENCY_RETRY_AFTER));
        }
        if !row.tokens.has(0.0, now) {
            return Err(LimitExceeded::Tokens(row.tokens.wait(0.0, MAX_RETRY_AFTER)));
        }
        if !row.requests.try_take(1.0, now) {
            return Err(LimitExceeded::Rate(row.requests.wait(1.0, MAX_RETRY_AFTER)));
        }
        row.tokens.charge(f64::from(tokens), now);
        row.running += 1;
        Ok(())
    }

    /// Records that an admitted request ended after `generated` of `expected` tokens.
    pub fn record_end(&mut self, workspace: &str, expected: u32, generated: u32, now: Mono) {
        let Some(row) = self.rows.get_mut(workspace) else { return };
        row.running = row.running.saturating_sub(1);
        row.tokens.charge(f64::from(generated) - f64::from(expected), now);
    }

    /// Returns how many requests of the workspace are in progress at this process.
    pub fn running(&self, workspace: &str) -> u32 {
        self.rows.get(workspace).map_or(0, |row| row.running)
    }

    /// Returns the token rate of each workspace over the deployment.
    fn token_rates(&self, capacity: Option<f64>, seconds: f64) -> Vec<f64> {
        let guaranteed = |row: &WorkspaceRow| row.limits.tokens_per_second;
        let Some(capacity) = capacity else { return self.rows.values().map(guaranteed).collect() };
        let demands: Vec<CapacityDemand> = self
            .rows
            .values()
            .map(|row| CapacityDemand {
                demand: (row.requested_tokens / seconds / row.fraction).max(guaranteed(row)),
                guaranteed: guaranteed(row),
                weight: row.limits.share,
            })
            .collect();
        fair_shares(capacity, &demands)
    }
}

impl WorkspaceRow {
    fn new(limits: Limits, now: Mono) -> Self {
        let rate = limits.tokens_per_second;
        WorkspaceRow {
            fraction: 1.0,
            requests: Bucket::new(limits.requests_per_second, f64::from(limits.burst), now),
            tokens: Bucket::new(rate, rate * TOKEN_BURST_SECONDS, now),
            tokens_per_second: rate,
            requested_tokens: 0.0,
            running: 0,
            limits,
        }
    }

    fn resize(&mut self, now: Mono) {
        let rate = self.limits.requests_per_second * self.fraction;
        let burst = (f64::from(self.limits.burst) * self.fraction).max(1.0);
        self.requests.resize(rate, burst, now);
        let rate = self.tokens_per_second * self.fraction;
        self.tokens.resize(rate, (rate * TOKEN_BURST_SECONDS).max(1.0), now);
    }

    /// Returns how many requests may be in progress at this process.
    fn concurrent(&self) -> u32 {
        let part = f64::from(self.limits.concurrent) * self.fraction;
        (part as u32).max(1)
    }
}
