//! The choice of a repair action for a broken group.
//!
//! Costs are in weighted seconds: one second of downtime of the group costs `w`, its downtime
//! weight, and one second in which all its accelerators are stranded costs `1 - w`. The actions are
//!
//! - *swap*: free VMs of the fabric domain take the ranks of the missing members, and only they
//!   load weights. A member that comes back with its weights before that takes its rank back, so
//!   starting a swap costs nothing.
//! - *merge*: the same with members of another broken group of the fabric domain. That group, the
//!   donor, is dissolved and later pays the load of a whole group, less what it would have stranded
//!   while it waited.
//! - *rebuild*: dissolve the group and form it anew in another fabric domain. All members load.
//! - *release*: dissolve the group, so that the surviving members are not stranded, and form it
//!   anew once VMs are free. The cost is the load of a whole group.
//! - *wait*: a member that was only paused comes back with its weights.
//!
//! Waiting costs `w + (1 - w) s` per second, where `s` is the fraction of surviving accelerators.
//! If the member returns at rate `h`, waiting also saves the cost `c` of the cheapest other action
//! at the rate `h c`. As the return rate only falls with time, the best moment to act is the first
//! at which `h c <= w + (1 - w) s`. A release ends the stranding but not the downtime, so its best
//! moment is the first at which `h c <= (1 - w) s`, provided that the stranding still to be
//! expected costs more than `c`.

use base::prelude::*;

use crate::settings::PlanSettings;
use crate::settings::RepairPolicy;

/// The inputs to the choice of a repair action.
#[data]
pub struct BrokenGroup {
    /// Weight of downtime against stranded accelerators, 0 to 1.
    pub downtime_weight: f64,
    /// Members of the group.
    pub members: u32,
    /// Members that are missing.
    pub missing: u32,
    /// The longest time for which a missing member has been unresponsive.
    pub unresponsive_for: Duration,
    /// Time in which one member loads its weights.
    pub member_load_time: Duration,
    /// Time in which a whole group loads its weights.
    pub group_load_time: Duration,
    /// Whether the fabric domain has a free VM for each missing member.
    pub can_swap: bool,
    /// What a merge would cost the cheapest donor, if the fabric domain has one; see
    /// [`donor_cost`].
    pub merge_cost: Option<f64>,
    /// Whether another fabric domain has enough free VMs for the whole group.
    pub can_rebuild: bool,
}

/// An action on a broken group.
#[key]
pub enum RepairAction {
    /// Free VMs of the fabric domain take the missing ranks.
    Swap,
    /// Members of another broken group take the missing ranks.
    Merge,
    /// The group is dissolved and formed in another fabric domain.
    Rebuild,
    /// The group is dissolved, which frees its members.
    Release,
    /// The group is left as it is for now.
    Wait,
}

impl BrokenGroup {
    /// Returns the fraction of the accelerators that survive.
    pub fn surviving(&self) -> f64 {
        f64::from(self.members - self.missing) / f64::from(self.members.max(1))
    }

    /// Returns the load time of the missing members alone, in seconds.
    fn load_missing(&self) -> f64 {
        (self.member_load_time * self.missing).min(self.group_load_time).as_secs_f64()
    }

    /// Returns the cheapest action that restores the group by itself, with its cost.
    fn cheapest_action(&self) -> Option<(RepairAction, f64)> {
        let swap = self.can_swap.then(|| (RepairAction::Swap, self.load_missing()));
        let merge = self.merge_cost.map(|cost| (RepairAction::Merge, self.load_missing() + cost));
        let rebuild =
            self.can_rebuild.then_some((RepairAction::Rebuild, self.group_load_time.as_secs_f64()));
        let actions = [swap, merge, rebuild].into_iter().flatten();
        actions.min_by(|a, b| a.1.total_cmp(&b.1))
    }
}

/// Returns the repair action for `group`.
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

/// Returns what a merge costs `donor`, the group that it dissolves, in weighted seconds.
pub fn donor_cost(donor: &BrokenGroup, settings: &PlanSettings) -> f64 {
    let stranding = (1.0 - donor.downtime_weight) * donor.surviving();
    let saved = settings.absence_model.expected_absence(donor.unresponsive_for) * stranding;
    (donor.group_load_time.as_secs_f64() - saved).max(0.0)
}
