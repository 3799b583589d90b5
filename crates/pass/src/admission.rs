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
const MIN_RELATIVE_SHARE: f64 = 0.25;

/// Arrivals a second, by priority.
pub type Arrivals = [f64; PRIORITIES];

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

    /// Returns the mean of these shares and the `last` ones, unless these are all equal: then one
    /// priority arrives, or everything is admitted.
    pub fn smoothed(self, last: Shares) -> Shares {
        if self.0.iter().all(|share| *share == self.0[0]) {
            return self;
        }
        Shares(std::array::from_fn(|index| (self.0[index] + last.0[index]) / 2.0))
    }
}

/// Returns the index of a priority in [`Arrivals`].
pub fn class(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
