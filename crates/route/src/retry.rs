//! The retry budget.
//!
//! A retry spends from two budgets, the process's and the workspace's, and each first attempt
//! pays a fraction of a retry into both. So retries stay below that fraction of first attempts
//! plus a small reserve, however many attempts fail, and a dead half of the fleet doesn't double
//! the load of the other half. Backoff doubles with each attempt and is drawn between zero and
//! its bound, so that requests that failed together don't return together.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::request::RequestSpec;

/// Retries that each first attempt pays for, unless set otherwise.
pub const RETRY_FRACTION: f64 = 0.1;
/// Retries that a budget holds at most, and at the start.
pub const RETRY_RESERVE: f64 = 20.0;
/// Bound of the backoff before the second attempt.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// The greatest bound of the backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Workspaces whose budget is kept.
const MAX_WORKSPACES: usize = 4096;

/// Why there is no further attempt.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum RetryDenied {
    /// an earlier attempt may have run and the request is not idempotent
    Unsafe,
    /// the answer would not be complete by the deadline
    DeadlineTooClose,
    /// the retry budget of the process is spent
    ProcessBudget,
    /// the retry budget of the workspace is spent
    WorkspaceBudget,
}

impl std::error::Error for RetryDenied {}

/// The retry budgets of this process and of its workspaces.
#[data]
pub struct RetryBudget {
    fraction: f64,
    process: f64,
    workspaces: BTreeMap<WorkspaceId, f64>,
}

impl RetryBudget {
    /// Makes a full budget to which each first attempt adds `fraction` of a retry.
    pub fn new(fraction: f64) -> Self {
        RetryBudget { fraction, process: RETRY_RESERVE, workspaces: BTreeMap::new() }
    }

    /// Notes a first attempt.
    pub fn first_attempt(&mut self, workspace: &str) {
        let fraction = self.fraction;
        self.process = (self.process + fraction).min(RETRY_RESERVE);
        let budget = self.workspace(workspace);
        *budget = (*budget + fraction).min(RETRY_RESERVE);
    }

    /// Grants another attempt and returns how long to wait before it, or says why not.
    ///
    /// `service` is how long the answer takes, and `draw` a random number.
    pub fn retry(
        &mut self,
        spec: &RequestSpec,
        service_time: Duration,
        now: Mono,
        random: u64,
    ) -> Result<Duration, RetryDenied> {
        if !spec.repeatable {
            return Err(RetryDenied::Unsafe);
        }
        let wait = backoff(spec.attempts, random);
        if now + wait + service_time > spec.deadline {
            return Err(RetryDenied::DeadlineTooClose);
        }
        if self.process < 1.0 {
            return Err(RetryDenied::ProcessBudget);
        }
        let budget = self.workspace(&spec.workspace);
        if *budget < 1.0 {
            return Err(RetryDenied::WorkspaceBudget);
        }
        *budget -= 1.0;
        self.process -= 1.0;
        debug_assert!(self.process >= 0.0, "the process's retry budget is overdrawn");
        Ok(wait)
    }

    fn workspace(&mut self, workspace: &str) -> &mut f64 {
        if !self.workspaces.contains_key(workspace) {
            if self.workspaces.len() >= MAX_WORKSPACES {
                self.workspaces.pop_first();
            }
            self.workspaces.insert(workspace.into(), RETRY_RESERVE);
        }
        self.workspaces.get_mut(workspace).expect("the budget was just inserted")
    }
}

/// Returns the wait before the attempt after `attempts` earlier ones.
pub fn backoff(attempts: u32, random: u64) -> Duration {
    let doubled = BACKOFF_BASE * 2u32.saturating_pow(attempts.saturating_sub(1).min(10));
    let bound = doubled.min(BACKOFF_MAX);
    Duration::from_micros(random % (bound.as_micros() as u64 + 1))
}
