//! How a flow's capacity is divided among the priorities of its requests.
//!
//! Every process computes the shares from the demand that all of them report, so all arrive at about
//! the same ones without further messages. A quarter of the mean share goes to each priority, so that
//! none is starved; the rest goes to the priorities in order, to each as much as it wants. The shares,
//! weighted by arrivals, always add up to the capacity. Requests of a single priority get the mean
//! share.
//!
//! Reports are up to 0.6 s old and each gives another room. The residual that the lowest priority gets
//! varies most, so the shares of a flow with several priorities are averaged with the last ones.

use base::prelude::*;

/// Number of priorities that are told apart; lower priorities count as the last one.
pub const PRIORITIES: usize = 3;
/// The priority of arrivals that a process reports without one, as older builds do.
pub const MIDDLE_PRIORITY: usize = 1;
/// Smallest share of the arrivals of one priority that is admitted, relative to the mean share.
pub(crate) const MIN_RELATIVE_SHARE: f64 = 0.25;

/// Earliest retry-after time when all endpoints are busy.
const MIN_BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Shortest time over which the retries of rejected callers are spread, and the time for which rejected
/// callers count as those that retry.
const RETRY_SPREAD: Duration = Duration::from_millis(400);
/// Longest time until capacity is expected; no caller follows longer retry-after times.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(10);

/// Arrivals a second, by priority.
pub type Arrivals = [f64; PRIORITIES];

/// Whose request it is, as far as admission depends on it.
#[data]
#[derive(Copy)]
pub struct RequestClass<'a> {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The workspace of the caller, if it has one.
    pub workspace: Option<&'a str>,
}

/// The share of the arriving requests that is admitted, by priority.
#[data]
#[derive(Copy)]
pub struct Shares([f64; PRIORITIES]);

impl Default for Shares {
    fn default() -> Self {
        Shares::uniform(1.0)
    }
}

impl Shares {
    /// Returns the same share for every priority.
    pub fn uniform(share: f64) -> Shares {
        Shares([share; PRIORITIES])
    }

    /// Returns the shares of a flow whose endpoints can take the share `mean` of all `arrivals`.
    ///
    /// A priority without arrivals gets what a first request would get.
    pub fn divide(mean: f64, arrivals: Arrivals) -> Shares {
        let arrivals = arrivals.map(|rate| rate.max(0.0));
        let total: f64 = arrivals.iter().sum();
        let has_several = arrivals.iter().filter(|rate| **rate > 0.0).count() > 1;
        if mean >= 1.0 || !has_several || !total.is_finite() {
            return Shares::uniform(mean);
        }
        let least = mean * MIN_RELATIVE_SHARE;
        let mut left = (mean - least) * total;
        Shares(arrivals.map(|rate| {
            let wanted = rate * (1.0 - least);
            let given = wanted.min(left);
            let is_satisfied = given == wanted && left > 0.0;
            left -= given;
            match (is_satisfied, rate > 0.0) {
                (true, _) => 1.0,
                (false, true) => (least + given / rate).min(1.0),
                (false, false) => least,
            }
        }))
    }

    /// Returns the share of a priority; 0 is the most urgent.
    pub fn of(&self, priority: u8) -> f64 {
        self.0[class(priority)]
    }

    /// Returns the shares in the order of priorities.
    pub fn iter(&self) -> impl Iterator<Item = f64> {
        self.0.into_iter()
    }

    /// Returns whether the priorities have different shares.
    pub fn differ(&self) -> bool {
        self.0.iter().any(|share| *share != self.0[0])
    }

    /// Returns the mean of these shares and the `last` ones, unless these are all equal: then one
    /// priority arrives, or everything is admitted.
    pub fn smoothed(self, last: Shares) -> Shares {
        if !self.differ() {
            return self;
        }
        Shares(std::array::from_fn(|index| (self.0[index] + last.0[index]) / 2.0))
    }
}

/// When rejected callers are to retry, by priority.
///
/// They are served in order of their priorities at the rate at which the endpoints take requests, so
/// the retries of each priority are spread over the time at which that capacity is expected.
#[data]
#[derive(Copy)]
pub struct RetryTimes([(Duration, Duration); PRIORITIES]);

impl Default for RetryTimes {
    fn default() -> Self {
        RetryTimes::after_overload(1.0, Arrivals::default(), Shares::default())
    }
}

impl RetryTimes {
    /// Returns the times for callers that are rejected while the endpoints can take the share `mean` of
    /// all `arrivals`.
    pub fn after_overload(mean: f64, arrivals: Arrivals, shares: Shares) -> RetryTimes {
        let capacity = mean * arrivals.iter().sum::<f64>();
        let mut rejected = 0.0;
        let time_to_serve = |rejected: f64| {
            let seconds = RETRY_SPREAD.as_secs_f64() * rejected / capacity.max(f64::MIN_POSITIVE);
            Duration::from_secs_f64(seconds.clamp(0.0, MAX_RETRY_SPREAD.as_secs_f64()))
        };
        RetryTimes(std::array::from_fn(|index| {
            let start = time_to_serve(rejected);
            rejected += arrivals[index].max(0.0) * (1.0 - shares.0[index]).max(0.0);
            let end = time_to_serve(rejected).max(start + RETRY_SPREAD);
            (MIN_BUSY_RETRY_AFTER + start, MIN_BUSY_RETRY_AFTER + end)
        }))
    }

    /// Returns the time after which a caller is to retry, at most `longest`; `draw` is a number from 0
    /// to 1 that differs from caller to caller.
    pub fn retry_after(&self, priority: u8, longest: Duration, draw: f64) -> Duration {
        let (start, end) = self.0[class(priority)];
        // A limit within or before the interval must not let all callers retry at the limit.
        let end = end.min(longest);
        let start = start.min(end / 2);
        start + (end - start).mul_f64(draw.clamp(0.0, 1.0))
    }
}

/// Returns the index of a priority in [`Arrivals`].
pub fn class(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
