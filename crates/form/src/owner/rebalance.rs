//! Retires groups in favour of others when supply no longer matches demand.
//!
//! Failures hit models unevenly, and a free server can only join a group of a model that it holds.
//! When a large group loses one member, the servers left over might only form small groups,
//! although one more server of the fabric domain would restore the large group. So before free
//! servers form groups, each domain is evaluated as a whole: some groups of one model are retired
//! if their members, together with the free servers, can form groups whose value clearly exceeds
//! that of the retired groups plus what the free servers could form alone. Until the retired groups
//! have finished their requests, the free servers of the domain are held back.
//!
//! The planned groups count as supply at once. A domain is evaluated again when the number of its
//! free servers changes, and periodically, since demand drifts.

use std::collections::BTreeMap;

use base::prelude::*;

use super::ObservedState;
use super::Owner;
use crate::compose;
use crate::compose::Candidate;
use crate::compose::GroupSet;
use crate::compose::ModelDemand;
use crate::compose::StoreLoads;
use crate::observed_groups::Group;
use crate::observed_groups::GroupKey;

/// Cost of a rebalance, relative to the value of the retired groups and of what the free servers
/// could form alone: all these servers are idle for some seconds, and the gain lasts only until the
/// next failure.
const REBALANCE_COST: f64 = 0.4;
/// Maximum share of the groups that may be retiring at once; one rebalance may always be in
/// progress.
const MAX_RETIRING_SHARE: f64 = 0.08;
/// Maximum number of groups that one rebalance retires.
const MAX_RETIRED_GROUPS: usize = 5;
/// Minimum time between two rebalances of a fabric domain.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time from the start of an owner to its first rebalance: by then, reports that went missing
/// during an outage of the store are back.
const INITIAL_DELAY: Duration = Duration::from_secs(2);
/// Time after which a fabric domain is evaluated again although its free servers have not changed.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum duration of a rebalance.
const REBALANCE_TIMEOUT: Duration = Duration::from_secs(6);

/// A rebalance in progress in a fabric domain.
#[data]
pub(super) struct Rebalance {
    /// The groups that are retired.
    retired: Vec<GroupKey>,
    /// The models of the groups that will be formed, by index.
    pub(super) planned_models: Vec<usize>,
    /// Time at which the domain's free servers are no longer held back.
    until: Mono,
}

/// The last evaluation of a fabric domain.
#[data]
#[derive(Default)]
pub(super) struct FabricEvaluation {
    /// Time of the last evaluation.
    evaluated_at: Mono,
    /// Number of free servers at that time.
    free: usize,
    /// Start of the domain's last rebalance.
    last_rebalance: Option<Mono>,
}

impl FabricEvaluation {
    fn is_due(&self, free: usize, now: Mono) -> bool {
        let paused = self.last_rebalance.is_some_and(|started| now < started + REBALANCE_INTERVAL);
        !paused && (free != self.free || now >= self.evaluated_at + EVALUATION_INTERVAL)
    }
}

/// A worthwhile rebalance: the groups to retire, the groups to form, and the net gain.
struct RebalanceOption {
    retired: Vec<GroupKey>,
    set: GroupSet,
    gain: f64,
}

impl Owner {
    /// Ends rebalances whose retired groups are gone, and starts those that are worthwhile.
    ///
    /// `free` are the free servers of each fabric domain.
    pub(super) fn rebalance(
        &mut self,
        free: &BTreeMap<FabricId, Vec<Candidate>>,
        observed: &ObservedState<'_>,
    ) {
        let released = &self.released;
        self.rebalances.retain(|_, rebalance| {
            let gone = |key| released.contains(key) || !observed.groups.by_key.contains_key(key);
            observed.now < rebalance.until && !rebalance.retired.iter().all(gone)
        });
        if observed.before_traffic || observed.now < self.started + INITIAL_DELAY {
            return;
        }
        for (fabric, groups) in self.groups_by_fabric(observed) {
            let free = free.get(&fabric).map(Vec::as_slice).unwrap_or_default();
            let evaluation = self.evaluations.entry(fabric.clone()).or_default();
            if self.rebalances.contains_key(&fabric) || !evaluation.is_due(free.len(), observed.now)
            {
                continue;
            }
            evaluation.evaluated_at = observed.now;
            evaluation.free = free.len();
            let demands = self.model_demands(observed);
            let options = worthwhile_rebalances(&groups, free, &demands, observed).into_iter();
            let best = options.max_by(|a, b| a.gain.total_cmp(&b.gain));
            if let Some(best) = best.filter(|best| self.has_room_for(best, &demands)) {
                self.begin(fabric, best, observed.now);
            }
        }
    }

    /// Returns whether few enough groups are retiring for `option` to start.
    fn has_room_for(&self, option: &RebalanceOption, demands: &[ModelDemand]) -> bool {
        let retiring: usize =
            self.rebalances.values().map(|rebalance| rebalance.retired.len()).sum();
        let groups: f64 = demands.iter().map(|demand| demand.supply).sum();
        retiring == 0 || (retiring + option.retired.len()) as f64 <= groups * MAX_RETIRING_SHARE
    }

    fn begin(&mut self, fabric: FabricId, option: RebalanceOption, now: Mono) {
        self.retiring_groups.extend(option.retired.iter().cloned());
        self.evaluations.entry(fabric.clone()).or_default().last_rebalance = Some(now);
        let planned_models = option.set.groups.iter().map(|choice| choice.model_index).collect();
        let until = now + REBALANCE_TIMEOUT;
        self.rebalances
            .insert(fabric, Rebalance { retired: option.retired, planned_models, until });
    }

    /// Returns the groups of each fabric domain that serve and are not about to be retired or
    /// released.
    fn groups_by_fabric<'a>(
        &self,
        observed: &ObservedState<'a>,
    ) -> BTreeMap<FabricId, Vec<&'a Group>> {
        let mut fabrics: BTreeMap<FabricId, Vec<&Group>> = BTreeMap::new();
        let is_kept = |key| !self.retiring_groups.contains(key) && !self.released.contains(key);
        let serving = observed.groups.by_key.iter().filter(|(key, group)| {
            is_kept(*key)
                && group.is_serving(observed.engine)
                && !group.has_missing_report
                && !observed.is_group_evacuated(group)
                && !self.forming.contains(&key.0)
        });
        for (_, group) in serving {
            if let Some(fabric) = &group.fabric {
                fabrics.entry(fabric.clone()).or_default().push(group);
            }
        }
        fabrics
    }
}

/// Returns the worthwhile rebalances of a fabric domain.
///
/// Groups with the fewest members that can serve only the group's own model are retired first,
/// since such members can't join groups of other models.
fn worthwhile_rebalances(
    groups: &[&Group],
    free: &[Candidate],
    demands: &[ModelDemand],
    observed: &ObservedState<'_>,
) -> Vec<RebalanceOption> {
    let alone = compose::best_group_set(observed.engine, demands, free, StoreLoads::Forbidden).gain;
    let mut found = Vec::new();
    for (index, model) in observed.engine.models.iter().enumerate() {
        let mut donors: Vec<(usize, &Group)> = groups
            .iter()
            .filter(|group| group.model.as_ref() == Some(&model.name))
            .map(|group| (single_model_members(group, model.name.as_ref(), observed), *group))
            .collect();
        donors.sort_by_key(|(single_model, _)| *single_model);
        let mut left = demands.to_vec();
        let mut candidates = free.to_vec();
        let mut retired = Vec::new();
        let mut loss = 0.0;
        for (_, group) in donors.into_iter().take(MAX_RETIRED_GROUPS) {
            loss += left[index].marginal_loss();
            left[index].supply -= 1.0;
            candidates.extend(
                group.members.values().map(|id| super::free::candidate(&observed.servers[id])),
            );
            retired.push(group.key());
            let set =
                compose::best_group_set(observed.engine, &left, &candidates, StoreLoads::Forbidden);
            let gain = set.gain - alone - loss;
            if gain > (loss + alone) * REBALANCE_COST {
                found.push(RebalanceOption { retired: retired.clone(), set, gain });
            }
        }
    }
    found
}

/// Returns the number of members of `group` that have no other model staged than the group's own.
fn single_model_members(group: &Group, model: &str, observed: &ObservedState<'_>) -> usize {
    let is_single_model = |id: &&crate::server::ServerId| {
        observed.servers[*id].staged_models.iter().all(|staged| &**staged == model)
    };
    group.members.values().filter(is_single_model).count()
}
