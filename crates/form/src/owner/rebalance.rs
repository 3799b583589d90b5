//! Gives groups up for others when demand and supply have drifted apart.
//!
//! Losses hit models unevenly, and a free server can only join what it holds. A large group that
//! loses one member leaves many servers that could only form small ones, while one more server of
//! the fabric domain would bring it back. So before free servers form groups, the domain is weighed
//! as a whole: some groups of one model are retired if their members, with the free servers, can
//! form groups that add clearly more than the retired groups and what the free servers add alone.
//! The domain's free servers wait until the retired groups have finished what they have.
//!
//! What a move will bring counts as supply at once. A domain is weighed again when the number of
//! its free servers changes, and from time to time, since demand drifts.

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
use crate::observed_groups::ObservedGroups;

/// What a move costs, as a part of what the retired groups and the free servers add without it:
/// they all stand idle for some seconds, and until the next loss.
const REBALANCE_COST: f64 = 0.4;
/// Part of the groups that may be retired at once; one move may always be under way.
const MAX_RETIRING_SHARE: f64 = 0.08;
/// Groups that one move retires at most.
const MAX_RETIRED_GROUPS: usize = 5;
/// Time between two moves in a fabric domain.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time from the start of an owner to its first move: reports that went missing while the store was
/// away are back by then.
const INITIAL_DELAY: Duration = Duration::from_secs(2);
/// Time after which a fabric domain is weighed again though nothing is new there.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);
/// How long a move may take.
const REBALANCE_TIMEOUT: Duration = Duration::from_secs(6);

/// A move under way in a fabric domain.
#[data]
pub(super) struct Rebalance {
    /// The groups that are retired for it.
    retired: Vec<GroupKey>,
    /// The models of the groups that it will bring, by their index.
    pub(super) planned_models: Vec<usize>,
    /// When the domain's free servers wait no longer.
    until: Mono,
}

/// What is remembered of the weighing of a fabric domain.
#[data]
#[derive(Default)]
pub(super) struct FabricEvaluation {
    /// When it was weighed last.
    evaluated_at: Mono,
    /// Its free servers then.
    free: usize,
    /// When its last move was begun.
    last_rebalance: Option<Mono>,
}

impl FabricEvaluation {
    fn is_due(&self, free: usize, now: Mono) -> bool {
        let paused = self.last_rebalance.is_some_and(|moved| now < moved + REBALANCE_INTERVAL);
        !paused && (free != self.free || now >= self.evaluated_at + EVALUATION_INTERVAL)
    }
}

/// A move that is worth it: the groups to retire, those to form, and what that adds in all.
struct RebalanceOption {
    retired: Vec<GroupKey>,
    set: GroupSet,
    gain: f64,
}

impl Owner {
    /// Ends moves whose groups have gone, and begins those that are worth it.
    pub(super) fn rebalance(
        &mut self,
        observed: &ObservedState<'_>,
        observed_groups: &ObservedGroups,
    ) {
        let released = &self.released;
        self.rebalances.retain(|_, m| {
            let gone = |key| released.contains(key) || !observed_groups.by_key.contains_key(key);
            observed.now < m.until && !m.retired.iter().all(gone)
        });
        if observed.before_traffic || observed.now < self.started + INITIAL_DELAY {
            return;
        }
        let free = self.free_by_fabric(observed, observed_groups);
        for (fabric, groups) in self.groups_by_fabric(observed, observed_groups) {
            let free = free.get(&fabric).map(Vec::as_slice).unwrap_or_default();
            let balance = self.evaluations.entry(fabric.clone()).or_default();
            if self.rebalances.contains_key(&fabric) || !balance.is_due(free.len(), observed.now) {
                continue;
            }
            balance.evaluated_at = observed.now;
            balance.free = free.len();
            let needs = self.model_demands(observed, observed_groups);
            let options = worthwhile_rebalances(&groups, free, &needs, observed).into_iter();
            let best = options.max_by(|a, b| a.gain.total_cmp(&b.gain));
            if let Some(best) = best.filter(|best| self.has_room_for(best, &needs)) {
                self.begin(fabric, best, observed.now);
            }
        }
    }

    /// Returns whether few enough groups are moving for `option` to begin.
    fn has_room_for(&self, option: &RebalanceOption, needs: &[ModelDemand]) -> bool {
        let moving: usize = self.rebalances.values().map(|m| m.retired.len()).sum();
        let groups: f64 = needs.iter().map(|need| need.supply).sum();
        moving == 0 || (moving + option.retired.len()) as f64 <= groups * MAX_RETIRING_SHARE
    }

    fn begin(&mut self, fabric: FabricId, option: RebalanceOption, now: Mono) {
        self.retiring_groups.extend(option.retired.iter().cloned());
        self.evaluations.entry(fabric.clone()).or_default().last_rebalance = Some(now);
        let brings = option.set.groups.iter().map(|choice| choice.model_index).collect();
        let until = now + REBALANCE_TIMEOUT;
        self.rebalances
            .insert(fabric, Rebalance { retired: option.retired, planned_models: brings, until });
    }

    /// Returns the groups of each fabric domain that serve and stay.
    fn groups_by_fabric<'a>(
        &self,
        observed: &ObservedState<'_>,
        observed_groups: &'a ObservedGroups,
    ) -> BTreeMap<FabricId, Vec<&'a Group>> {
        let mut fabrics: BTreeMap<FabricId, Vec<&Group>> = BTreeMap::new();
        let stays = |key| !self.retiring_groups.contains(key) && !self.released.contains(key);
        let serving = observed_groups.by_key.iter().filter(|(key, group)| {
            stays(*key)
                && group.is_serving(observed.engine)
                && !group.has_missing_report
                && !self.forming.contains_key(&key.0)
        });
        for (_, group) in serving {
            if let Some(fabric) = &group.fabric {
                fabrics.entry(fabric.clone()).or_default().push(group);
            }
        }
        fabrics
    }
}

/// Returns the moves in a fabric domain that are worth it.
fn worthwhile_rebalances(
    groups: &[&Group],
    free: &[Candidate],
    needs: &[ModelDemand],
    observed: &ObservedState<'_>,
) -> Vec<RebalanceOption> {
    let alone = compose::best_group_set(observed.engine, needs, free, StoreLoads::Forbidden).gain;
    let mut found = Vec::new();
    for (index, model) in observed.engine.models.iter().enumerate() {
        let mut donors: Vec<(usize, &Group)> = groups
            .iter()
            .filter(|group| group.model.as_ref() == Some(&model.name))
            .map(|group| (single_model_members(group, model.name.as_ref(), observed), *group))
            .collect();
        donors.sort_by_key(|(bound, _)| *bound);
        let mut left = needs.to_vec();
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

/// Returns how many members of `group` hold no model but its own.
fn single_model_members(group: &Group, model: &str, observed: &ObservedState<'_>) -> usize {
    let is_bound = |id: &&crate::server::ServerId| {
        observed.servers[*id].staged_models.iter().all(|staged| &**staged == model)
    };
    group.members.values().filter(is_bound).count()
}
