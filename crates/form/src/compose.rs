//! Which groups to form from the free servers of a fabric domain.
//!
//! All groups of a domain are chosen together, since a good first group may leave too few servers
//! for any other. The value of a group is its marginal [`utility`](crate::utility), by which a model
//! without any group goes first and no model starves. This value is discounted by the time until the
//! group could serve. The domains are planned in turn, each against the supply of all the others, until no choice
//! changes any more. The members of a group are the servers that are ready soonest and, among
//! these, can serve the fewest other models.
//!
//! A server that would have to load from the weight store cannot be a member, since the other
//! members would wait for it: the weights are staged on its host first. Only before the first
//! request, when loads are fast, may members load from the store as they join.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::server::ServerId;
use crate::spec::EngineSpec;
use crate::spec::ModelSpec;
use crate::utility::marginal_utility;

/// Time to join when the model's weights are already loaded in the server's accelerators.
pub const LOADED_JOIN_TIME: Duration = Duration::from_millis(200);
/// Time until ready beyond which a group keeps only [`MIN_DISCOUNT`] of its value.
const READY_TIME_HORIZON: Duration = Duration::from_secs(40);
/// Minimum share of its value that a group keeps, however long it takes to be ready.
const MIN_DISCOUNT: f64 = 0.05;

/// Maximum number of rounds over all fabric domains; after them the plan is taken as it is.
const MAX_ROUNDS: usize = 6;
/// Maximum number of combinations of groups that are evaluated per fabric domain.
const MAX_COMBINATIONS: usize = 2_000;

/// Duration of a load before the first request, relative to its usual duration.
const PRE_TRAFFIC_LOAD_FACTOR: f64 = 0.1;

/// Whether servers may load from the weight store as they join.
#[key]
pub enum StoreLoads {
    /// They may: before the first request loads are fast and the platform does not count them.
    Allowed,
    /// They may not.
    Forbidden,
}

/// A server that may join a group.
#[data]
pub struct Candidate {
    /// The server's id.
    pub id: ServerId,
    /// The model that is loaded in its accelerators.
    pub loaded_model: Option<ModelId>,
    /// The models that are staged on its host.
    pub staged_models: Vec<ModelId>,
}

impl Candidate {
    /// Returns how long the server takes to join a group of `model`.
    pub fn time_to_join(&self, model: &ModelSpec, loads: StoreLoads) -> Duration {
        if self.loaded_model.as_ref() == Some(&model.name) {
            return LOADED_JOIN_TIME;
        }
        if self.staged_models.contains(&model.name) {
            return model.host_load_time;
        }
        match loads {
            StoreLoads::Allowed => model.store_load_time.mul_f64(PRE_TRAFFIC_LOAD_FACTOR),
            StoreLoads::Forbidden => model.store_load_time,
        }
    }

    /// Returns the number of models that the server can serve without a load from the weight store.
    fn servable_models(&self) -> usize {
        let loaded = self.loaded_model.iter().filter(|loaded| !self.staged_models.contains(loaded));
        loaded.count() + self.staged_models.len()
    }

    /// Returns whether joining a group of `model` requires a load from the weight store.
    pub fn needs_store_load(&self, model: &ModelSpec) -> bool {
        self.loaded_model.as_ref() != Some(&model.name) && !self.staged_models.contains(&model.name)
    }
}

/// Demand and supply of one model over the whole fleet.
#[data]
pub struct ModelDemand {
    /// The share of the total work that callers request of this model.
    pub demand: f64,
    /// Groups of this model that serve or are being formed.
    pub supply: f64,
    /// Groups at which its requests meet their target; `None` if no model is overloaded.
    pub required: Option<f64>,
}

impl ModelDemand {
    /// Returns the value of one more group.
    pub fn marginal_gain(&self) -> f64 {
        marginal_utility(self.demand, self.supply, self.required)
    }

    /// Returns the value lost with one group less.
    pub fn marginal_loss(&self) -> f64 {
        let left = ModelDemand { supply: self.supply - 1.0, ..self.clone() };
        left.marginal_gain()
    }
}

/// A group to form.
#[data]
pub struct PlannedGroup {
    /// Index of its model in the engine's list.
    pub model_index: usize,
    /// Its members by rank; the first is the head.
    pub members: Vec<ServerId>,
}

/// Returns the groups to form from the `free` servers of each fabric domain; `demands` is in the
/// order of the engine's models.
pub fn plan(
    engine: &EngineSpec,
    demands: &[ModelDemand],
    free: &BTreeMap<FabricId, Vec<Candidate>>,
    loads: StoreLoads,
) -> BTreeMap<FabricId, Vec<PlannedGroup>> {
    let mut demands = demands.to_vec();
    let mut plan: BTreeMap<FabricId, Vec<PlannedGroup>> = BTreeMap::new();
    for _ in 0..MAX_ROUNDS {
        let mut changed = false;
        for (fabric, candidates) in free {
            let old = plan.remove(fabric).unwrap_or_default();
            adjust_supply(&mut demands, &old, -1.0);
            let new = best_group_set(engine, &demands, candidates, loads).groups;
            adjust_supply(&mut demands, &new, 1.0);
            changed |= old != new;
            plan.insert(fabric.clone(), new);
        }
        if !changed {
            break;
        }
    }
    plan
}

fn adjust_supply(demands: &mut [ModelDemand], groups: &[PlannedGroup], each: f64) {
    for group in groups {
        demands[group.model_index].supply += each;
    }
}

/// Groups to form together in one fabric domain, and their value.
#[data]
#[derive(Default)]
pub struct GroupSet {
    /// The groups.
    pub groups: Vec<PlannedGroup>,
    /// Their total discounted value, in the unit of [`ModelDemand::marginal_gain`].
    pub gain: f64,
}

/// Returns the set of groups with the highest total value that the `free` servers can form.
pub fn best_group_set(
    engine: &EngineSpec,
    demands: &[ModelDemand],
    free: &[Candidate],
    loads: StoreLoads,
) -> GroupSet {
    let mut best = GroupSet::default();
    for counts in combinations(engine, free, loads) {
        let Some(set) = compose(engine, demands, free, loads, &counts) else { continue };
        if set.gain > best.gain {
            best = set;
        }
    }
    best
}

/// Returns the combinations of group counts per model for which `free` has enough servers.
fn combinations(engine: &EngineSpec, free: &[Candidate], loads: StoreLoads) -> Vec<Vec<usize>> {
    let mut found = vec![Vec::new()];
    for model in &engine.models {
        let usable = free.iter().filter(|c| is_usable(c, model, loads)).count();
        let most = usable.checked_div(model.group_size).unwrap_or(0);
        let longer = |counts: &Vec<usize>| {
            let counts = counts.clone();
            (0..=most).map(move |count| [&counts[..], &[count]].concat())
        };
        found = found.iter().flat_map(longer).filter(|c| fits(engine, c, free)).collect();
        found.truncate(MAX_COMBINATIONS);
    }
    found
}

fn fits(engine: &EngineSpec, counts: &[usize], free: &[Candidate]) -> bool {
    let sizes = engine.models.iter().map(|model| model.group_size);
    counts.iter().zip(sizes).map(|(count, size)| count * size).sum::<usize>() <= free.len()
}

/// Returns the groups for the given `counts` per model, or `None` if `free` can't form them.
fn compose(
    engine: &EngineSpec,
    demands: &[ModelDemand],
    free: &[Candidate],
    loads: StoreLoads,
    counts: &[usize],
) -> Option<GroupSet> {
    let mut demands = demands.to_vec();
    let mut left: Vec<&Candidate> = free.iter().collect();
    let mut set = GroupSet::default();
    for (index, count) in most_constrained_first(engine, free, loads, counts) {
        for _ in 0..count {
            let (choice, time) = earliest_group(index, &engine.models[index], &left, loads)?;
            left.retain(|candidate| !choice.members.contains(&candidate.id));
            set.gain += demands[index].marginal_gain() * discount(time);
            demands[index].supply += 1.0;
            set.groups.push(choice);
        }
    }
    Some(set)
}

/// Returns the models with their counts, ordered so that the models that the fewest servers can
/// serve choose their members first.
fn most_constrained_first(
    engine: &EngineSpec,
    free: &[Candidate],
    loads: StoreLoads,
    counts: &[usize],
) -> Vec<(usize, usize)> {
    let mut order: Vec<(usize, usize)> = counts.iter().copied().enumerate().collect();
    order.sort_by_key(|(index, _)| {
        let model = &engine.models[*index];
        free.iter().filter(|candidate| is_usable(candidate, model, loads)).count()
    });
    order
}

/// Returns the share of its value that a group keeps if it is ready after `time`.
fn discount(time: Duration) -> f64 {
    (1.0 - time.as_secs_f64() / READY_TIME_HORIZON.as_secs_f64()).max(MIN_DISCOUNT)
}

fn is_usable(candidate: &Candidate, model: &ModelSpec, loads: StoreLoads) -> bool {
    loads == StoreLoads::Allowed || !candidate.needs_store_load(model)
}

/// Returns the group of `model` that can be ready earliest, and the time until then.
fn earliest_group(
    index: usize,
    model: &ModelSpec,
    free: &[&Candidate],
    loads: StoreLoads,
) -> Option<(PlannedGroup, Duration)> {
    if free.len() < model.group_size || model.group_size == 0 {
        return None;
    }
    let usable = free.iter().filter(|candidate| is_usable(candidate, model, loads));
    let mut order: Vec<(Duration, usize, &Candidate)> =
        usable.map(|c| (c.time_to_join(model, loads), c.servable_models(), *c)).collect();
    if order.len() < model.group_size {
        return None;
    }
    order.sort_by(|a, b| (a.0, a.1, &a.2.id).cmp(&(b.0, b.1, &b.2.id)));
    order.truncate(model.group_size);
    let time = order.iter().map(|(time, ..)| *time).max().unwrap_or_default();
    let members = order.iter().map(|(.., candidate)| candidate.id.clone()).collect();
    Some((PlannedGroup { model_index: index, members }, time))
}
