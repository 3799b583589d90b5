//! The retry budget.
//!
//! A retry spends from two budgets, that of the process and that of the workspace, and each first
//! attempt adds a fraction of a retry to both. So the number of retries stays below that fraction
//! of the number of first attempts plus a small reserve, however many attempts fail, and the loss
//! of half of the groups doesn't double the load of the other half. The bound of the backoff
//! doubles with each attempt, and the backoff is drawn between zero and its bound (full jitter), so
//! that requests that failed together are not retried together.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::request::RequestSpec;

/// Default number of retries that each first attempt adds to a budget.
pub const RETRY_FRACTION: f64 = 0.1;
/// Maximum and initial number of retries in a budget.
pub const RETRY_RESERVE: f64 = 20.0;
/// Bound of the backoff before the second attempt.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Maximum bound of the backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Maximum number of workspaces whose budget is kept.
const MAX_WORKSPACES: usize = 4096;

/// The reason for which a further attempt is denied.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum RetryDenied {
    /// an earlier attempt may have run and the request is not idempotent
    Unsafe,
    /// the answer would not be complete by the deadline
    DeadlineTooClose,
    /// the retry budget of the process is exhausted
    ProcessBudget,
    /// the retry budget of the workspace is exhausted
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
    /// Creates a full budget to which each first attempt adds `fraction` of a retry.
    pub fn new(fraction: f64) -> Self {
        RetryBudget { fraction, process: RETRY_RESERVE, workspaces: BTreeMap::new() }
    }

    /// Records a first attempt.
    pub fn first_attempt(&mut self, workspace: &str) {
        let fraction = self.fraction;
        self.process = (self.process + fraction).min(RETRY_RESERVE);
        let budget = self.workspace(workspace);
        *budget = (*budget + fraction).min(RETRY_RESERVE);
    }

    /// Spends a retry for another attempt and returns how long to wait before it.
    ///
    /// `service_time` is how long the answer takes, and `random` is a random number.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the attempt is denied. Nothing is spent then.
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
        debug_assert!(self.process >= 0.0, "the retry budget of the process is negative");
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

/// Returns the backoff before the attempt that follows `attempts` earlier ones.
pub fn backoff(attempts: u32, random: u64) -> Duration {
    let doubled = BACKOFF_BASE * 2u32.saturating_pow(attempts.saturating_sub(1).min(10));
    let bound = doubled.min(BACKOFF_MAX);
    Duration::from_micros(random % (bound.as_micros() as u64 + 1))
}
