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
pub struct Case {
    /// Weight of downtime against stranding.
    pub weight: f64,
    /// Members of the group.
    pub members: u32,
    /// Members that are missing.
    pub missing: u32,
    /// For how long the member that was missed last has been silent.
    pub silent: Duration,
    /// How long one member takes to load.
    pub load_one: Duration,
    /// How long a whole group takes to load.
    pub load_all: Duration,
    /// Whether enough free VMs are in the fabric domain.
    pub may_swap: bool,
    /// The price that another broken group there would pay for a merge, if one can.
    pub merge_price: Option<f64>,
    /// Whether another fabric domain has room for the whole group.
    pub may_rebuild: bool,
}

/// A way to repair a broken group.
#[key]
pub enum Way {
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

impl Case {
    /// Returns the share of accelerators that survive.
    pub fn surviving(&self) -> f64 {
        f64::from(self.members - self.missing) / f64::from(self.members.max(1))
    }

    /// Returns the load time of the missing members alone.
    fn load_missing(&self) -> f64 {
        (self.load_one * self.missing).min(self.load_all).as_secs_f64()
    }

    /// Returns the best way that brings the group back by itself, with its price.
    fn best_way(&self) -> Option<(Way, f64)> {
        let swap = self.may_swap.then(|| (Way::Swap, self.load_missing()));
        let merge = self.merge_price.map(|price| (Way::Merge, self.load_missing() + price));
        let rebuild = self.may_rebuild.then_some((Way::Rebuild, self.load_all.as_secs_f64()));
        let ways = [swap, merge, rebuild].into_iter().flatten();
        ways.min_by(|a, b| a.1.total_cmp(&b.1))
    }
}

/// Returns the way to repair the group of `case`.
pub fn choose(case: &Case, settings: &PlanSettings) -> Way {
    match settings.policy {
        RepairPolicy::AlwaysWait => return Way::Wait,
        RepairPolicy::AlwaysRebuild if case.may_rebuild => return Way::Rebuild,
        RepairPolicy::AlwaysRebuild => return Way::Release,
        RepairPolicy::Weighed => {}
    }
    let rate = settings.outlook.return_rate(case.silent);
    let stranding = (1.0 - case.weight) * case.surviving();
    if let Some((way, price)) = case.best_way() {
        let due = way == Way::Swap || rate * price <= case.weight + stranding;
        return if due { way } else { Way::Wait };
    }
    let price = case.load_all.as_secs_f64();
    let ahead = settings.outlook.expected_absence(case.silent) * stranding;
    if rate * price <= stranding && ahead > price { Way::Release } else { Way::Wait }
}

/// Returns what a merge costs the group of `giver`, which is dissolved by it.
pub fn giver_price(giver: &Case, settings: &PlanSettings) -> f64 {
    let stranding = (1.0 - giver.weight) * giver.surviving();
    let saved = settings.outlook.expected_absence(giver.silent) * stranding;
    (giver.load_all.as_secs_f64() - saved).max(0.0)
}
