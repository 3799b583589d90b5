//! Planner settings, and the model of how long a missing VM stays away.

use base::prelude::*;

/// The distribution of the time for which a missing member stays away.
///
/// It is a mixture of two exponential distributions: short absences (pauses, restarts) and long
/// ones (failed VMs). Only the time that has passed tells the two kinds apart.
#[data]
pub struct AbsenceModel {
    /// Fraction of the absences that are short.
    pub short_fraction: f64,
    /// Mean duration of a short absence.
    pub short_mean: Duration,
    /// Mean duration of a long absence.
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
    /// Returns the posterior probabilities that an absence that has lasted `absent_for` is a short
    /// one and a long one.
    fn posterior(&self, absent_for: Duration) -> (f64, f64) {
        let survival = |mean: Duration| (-absent_for.as_secs_f64() / mean.as_secs_f64()).exp();
        let short = self.short_fraction * survival(self.short_mean);
        let long = (1.0 - self.short_fraction) * survival(self.long_mean);
        // Both underflow after a very long time, which makes it a long absence.
        if short + long <= f64::MIN_POSITIVE {
            return (0.0, 1.0);
        }
        (short / (short + long), long / (short + long))
    }

    /// Returns the rate, in 1/s, at which a member missing for `absent_for` comes back.
    pub fn return_rate(&self, absent_for: Duration) -> f64 {
        let (short, long) = self.posterior(absent_for);
        short / self.short_mean.as_secs_f64() + long / self.long_mean.as_secs_f64()
    }

    /// Returns for how many more seconds a member missing for `absent_for` is expected to stay
    /// away.
    pub fn expected_absence(&self, absent_for: Duration) -> f64 {
        let (short, long) = self.posterior(absent_for);
        short * self.short_mean.as_secs_f64() + long * self.long_mean.as_secs_f64()
    }
}

/// Settings of the planner.
#[data]
pub struct PlanSettings {
    /// The distribution of absences of members.
    pub absence_model: AbsenceModel,
    /// Downtime weight from which on a roll-out never takes down a serving group, even if no VMs
    /// are free for an additional one.
    pub in_place_weight_limit: f64,
    /// Time for which starting groups may keep the weight store busy before no more are formed. A
    /// group whose loads wait for the store only strands its accelerators.
    pub max_load_backlog: Duration,
    /// How repair actions are chosen.
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

/// How repair actions for broken groups are chosen.
#[key]
pub enum RepairPolicy {
    /// By the expected costs of the actions; see [`crate::repair`].
    #[serde(rename = "weighed")]
    CostBased,
    /// Baseline: always wait for the member.
    AlwaysWait,
    /// Baseline: always rebuild in another fabric domain at once.
    AlwaysRebuild,
}
