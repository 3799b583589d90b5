//! The choice among the ways to repair a broken group.
//!
//! Costs are in weighted seconds: a second of downtime of the group costs `w`, its downtime
//! weight, and a second in which all its accelerators are stranded costs `1 - w`. The ways are
//!
//! - *swap*: free VMs of the fabric domain take the missing members' ranks; only they load, and a
//!   member that comes back with its weights before that takes its rank back, so a swap costs
//!   nothing to begin;
//! - *merge*: the same with members of another broken group there, which is dissolved and pays
//!   the load of a whole group later, less what it would strand while it waits;
//! - *rebuild*: dissolve, and form anew in another fabric domain; all members load;
//! - *release*: dissolve, so that the survivors are not stranded, and form anew once there is
//!   room: the price is the load of a whole group;
//! - *wait*: a member that was only paused brings its weights back.
//!
//! Waiting costs `w + (1 - w) s` a second, where `s` is the share of surviving accelerators, and
//! with the rate `h` at which the member returns it saves the price `c` of the best other way.
//! As the return rate only falls with time, the best moment to act is the first at which
//! `h c <= w + (1 - w) s`. For a release, which ends the stranding and not the downtime, it is
//! the first at which `h c <= (1 - w) s`, given that the stranding ahead costs more than `c`.

use base::prelude::*;

use crate::settings::PlanSettings;
use crate::settings::RepairPolicy;

/// What is known of a broken group when its repair is chosen.
#[data]
pub struct BrokenGroup {
    /// Weight of downtime against stranding.
    pub downtime_weight: f64,
    /// Members of the group.
    pub members: u32,
    /// Members that are missing.
    pub missing: u32,
    /// For how long the member that was missed last has been silent.
    pub unresponsive_for: Duration,
    /// How long one member takes to load.
    pub member_load_time: Duration,
    /// How long a whole group takes to load.
    pub group_load_time: Duration,
    /// Whether enough free VMs are in the fabric domain.
    pub can_swap: bool,
    /// The price that another broken group there would pay for a merge, if one can.
    pub merge_cost: Option<f64>,
    /// Whether another fabric domain has room for the whole group.
    pub can_rebuild: bool,
}

/// A way to repair a broken group.
#[key]
pub enum RepairAction {
    /// Free VMs of the fabric domain take the missing ranks.
    Swap,
    /// Members of another broken group take them.
    Merge,
    /// The group is dissolved and formed in another fabric domain.
    Rebuild,
    /// The group is dissolved and its members are free.
    Release,
    /// Nothing is done yet.
    Wait,
}

impl BrokenGroup {
    /// Returns the share of accelerators that survive.
    pub fn surviving(&self) -> f64 {
        f64::from(self.members - self.missing) / f64::from(self.members.max(1))
    }

    /// Returns the load time of the missing members alone.
    fn load_missing(&self) -> f64 {
        (self.member_load_time * self.missing).min(self.group_load_time).as_secs_f64()
    }

    /// Returns the best way that brings the group back by itself, with its price.
    fn cheapest_action(&self) -> Option<(RepairAction, f64)> {
        let swap = self.can_swap.then(|| (RepairAction::Swap, self.load_missing()));
        let merge = self.merge_cost.map(|cost| (RepairAction::Merge, self.load_missing() + cost));
        let rebuild =
            self.can_rebuild.then_some((RepairAction::Rebuild, self.group_load_time.as_secs_f64()));
        let actions = [swap, merge, rebuild].into_iter().flatten();
        actions.min_by(|a, b| a.1.total_cmp(&b.1))
    }
}

/// Returns the way to repair the group of `case`.
pub fn choose(group: &BrokenGroup, settings: &PlanSettings) -> RepairAction {
    match settings.policy {
        RepairPolicy::AlwaysWait => return RepairAction::Wait,
        RepairPolicy::AlwaysRebuild if group.can_rebuild => return RepairAction::Rebuild,
        RepairPolicy::AlwaysRebuild => return RepairAction::Release,
        RepairPolicy::CostBased => {}
    }
    let rate = settings.absence_model.return_rate(group.unresponsive_for);
    let stranding = (1.0 - group.downtime_weight) * group.surviving();
    if let Some((action, cost)) = group.cheapest_action() {
        let due = action == RepairAction::Swap || rate * cost <= group.downtime_weight + stranding;
        return if due { action } else { RepairAction::Wait };
    }
    let cost = group.group_load_time.as_secs_f64();
    let ahead = settings.absence_model.expected_absence(group.unresponsive_for) * stranding;
    if rate * cost <= stranding && ahead > cost {
        RepairAction::Release
    } else {
        RepairAction::Wait
    }
}

/// Returns what a merge costs the group of `giver`, which is dissolved by it.
pub fn donor_cost(donor: &BrokenGroup, settings: &PlanSettings) -> f64 {
    let stranding = (1.0 - donor.downtime_weight) * donor.surviving();
    let saved = settings.absence_model.expected_absence(donor.unresponsive_for) * stranding;
    (donor.group_load_time.as_secs_f64() - saved).max(0.0)
}
