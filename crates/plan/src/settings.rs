//! Settings of the planner, and its outlook on missing members.

use base::prelude::*;

/// How long members that went missing stay away.
///
/// Two kinds are told apart only by time: short absences (pauses, restarts) and long ones (failed
/// VMs), each with an exponential distribution.
#[data]
pub struct AbsenceModel {
    /// Share of absences that are short.
    pub short_fraction: f64,
    /// Mean of a short absence.
    pub short_mean: Duration,
    /// Mean of a long absence.
    pub long_mean: Duration,
}

impl Default for AbsenceModel {
    fn default() -> Self {
        AbsenceModel {
            short_fraction: 0.7,
            short_mean: Duration::from_secs(30),
            long_mean: Duration::from_secs(3600),
        }
    }
}

impl AbsenceModel {
    /// Returns the chances that a member missing for `silent` is away shortly and long.
    fn posterior(&self, absent_for: Duration) -> (f64, f64) {
        let survival = |mean: Duration| (-absent_for.as_secs_f64() / mean.as_secs_f64()).exp();
        let short = self.short_fraction * survival(self.short_mean);
        let long = (1.0 - self.short_fraction) * survival(self.long_mean);
        // Both underflow after a very long silence, which then is a long absence.
        if short + long <= f64::MIN_POSITIVE {
            return (0.0, 1.0);
        }
        (short / (short + long), long / (short + long))
    }

    /// Returns the rate, in 1/s, at which a member missing for `silent` comes back.
    pub fn return_rate(&self, absent_for: Duration) -> f64 {
        let (short, long) = self.posterior(absent_for);
        short / self.short_mean.as_secs_f64() + long / self.long_mean.as_secs_f64()
    }

    /// Returns for how many more seconds a member missing for `silent` is expected to be away.
    pub fn expected_absence(&self, absent_for: Duration) -> f64 {
        let (short, long) = self.posterior(absent_for);
        short * self.short_mean.as_secs_f64() + long * self.long_mean.as_secs_f64()
    }
}

/// Settings of the planner.
#[data]
pub struct PlanSettings {
    /// The outlook on missing members.
    pub absence_model: AbsenceModel,
    /// Downtime weight from which on a roll-out without room never takes down a serving group.
    pub in_place_weight_limit: f64,
    /// Time of the weight store that groups which are coming may ask for before more are formed:
    /// a group whose loads wait only strands its accelerators.
    pub max_load_backlog: Duration,
    /// How a broken group is repaired.
    pub policy: RepairPolicy,
}

impl Default for PlanSettings {
    fn default() -> Self {
        PlanSettings {
            absence_model: AbsenceModel::default(),
            in_place_weight_limit: 0.5,
            max_load_backlog: Duration::from_secs(120),
            policy: RepairPolicy::CostBased,
        }
    }
}

/// How broken groups are repaired.
#[key]
pub enum RepairPolicy {
    /// By the ways' expected costs; see [`crate::repair`].
    #[serde(rename = "weighed")]
    CostBased,
    /// Baseline: always wait for the member.
    AlwaysWait,
    /// Baseline: always rebuild elsewhere at once.
    AlwaysRebuild,
}
