//! The marginal utility of one more group of a model, from the expected load of its groups.
//!
//! While no model is overloaded, the utility is proportionally fair: the demand for the model times
//! the logarithm of the growth of its supply. It makes no difference then how full groups are. If
//! some model is overloaded, the requests that its groups can't take count as well: with
//! `required` groups, each loaded up to the limit at which requests meet their target, `supply`
//! groups leave the share `1 - supply / required` unserved. The penalty of an unserved share is
//! convex, so that the utility grows with the overload and falls with every group. It applies to all
//! models, so that none is made a donor that would be overloaded without the group.
//!
//! A model counts as overloaded by its mean load over some time, above one limit until below a lower
//! one, since demand may swing within seconds and a group takes as long to move.

use base::prelude::*;

/// Factor used in place of the logarithm of the growth for the first group of a model.
const FIRST_GROUP_GROWTH: f64 = 4.0;
/// Weight of the square of the unserved share in its penalty. It is the largest whole one with which
/// a model without any group goes before an overloaded one of equal demand.
const OVERLOAD_CURVATURE: f64 = 8.0;
/// Load of a group, relative to that at which requests meet their target, above which its model
/// becomes overloaded.
const OVERLOAD_BEGINS: f64 = 1.1;
/// Load of a group below which its model is no longer overloaded.
const OVERLOAD_ENDS: f64 = 0.9;
/// Time constant of the mean of the required groups: demand may swing by half within 15 s, and a
/// mean over a shorter time would follow each swing.
const SMOOTHING_TIME: Duration = Duration::from_secs(20);
/// Time after which a requirement that is no longer reported is forgotten.
const MAX_REQUIREMENT_AGE: Duration = Duration::from_secs(10);

/// Returns the utility of one more group of a model with the share `demand` of all work and `supply`
/// groups, in units of the demand.
///
/// `required` is the number of groups at which its requests meet their target; `None` if that is
/// unknown or no model is overloaded.
pub fn marginal_utility(demand: f64, supply: f64, required: Option<f64>) -> f64 {
    let growth = if supply < 1.0 { FIRST_GROUP_GROWTH } else { ((supply + 1.0) / supply).ln() };
    let relief = required
        .map_or(0.0, |required| penalty(supply, required) - penalty(supply + 1.0, required));
    demand * (growth + relief)
}

/// Returns the penalty of the share of requests that `supply` groups leave unserved.
fn penalty(supply: f64, required: f64) -> f64 {
    if required <= 0.0 {
        return 0.0;
    }
    let unserved = (1.0 - supply.max(0.0) / required).max(0.0);
    unserved * (1.0 + OVERLOAD_CURVATURE * unserved)
}

/// The number of groups that a model requires, as a moving average, and whether it is overloaded.
#[data]
#[derive(Copy)]
pub struct Requirement {
    mean: f64,
    is_overloaded: bool,
    reported_at: Mono,
}

impl Requirement {
    /// Creates the requirement of a model from its first report.
    pub fn new(required: f64, now: Mono) -> Self {
        Requirement { mean: required, is_overloaded: false, reported_at: now }
    }

    /// Records that `required` groups were reported to be necessary while `supply` serve or are being
    /// formed.
    pub fn observe(&mut self, required: f64, supply: f64, now: Mono) {
        let passed = now.saturating_sub(self.reported_at).as_secs_f64();
        let weight = 1.0 - (-passed / SMOOTHING_TIME.as_secs_f64()).exp();
        self.mean += (required - self.mean) * weight;
        self.reported_at = now;
        let limit = if self.is_overloaded { OVERLOAD_ENDS } else { OVERLOAD_BEGINS };
        self.is_overloaded = self.mean > limit * supply;
    }

    /// Returns the mean number of required groups.
    pub fn required_groups(&self) -> f64 {
        self.mean
    }

    /// Returns whether the model is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Returns whether the last report is recent enough.
    pub fn is_current(&self, now: Mono) -> bool {
        now <= self.reported_at + MAX_REQUIREMENT_AGE
    }
}
