//! Which groups to form in a fabric domain from the servers that are free there.
//!
//! All groups of a domain are chosen together: a good first group may leave a rest that is too
//! small for any other. What a group adds follows proportional fairness: the demand for its model
//! times the logarithm of the growth of its supply, so that a model without any group goes first
//! and no model starves; it is discounted by the time until the group could serve. Domains are
//! chosen in turn, each against the supply of all others, until no choice changes any more. Members
//! are those that are ready soonest and, among these, hold the fewest other models.
//!
//! A server that would have to load from the weight store is no member, since the others would wait
//! for it: its host is staged first. Only before the first request, when loads are quick, may
//! members load as they join.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::server::ServerId;
use crate::spec::EngineSpec;
use crate::spec::ModelSpec;

/// Time of a join when the server holds the model's weights in its accelerators.
pub const LOADED_JOIN_TIME: Duration = Duration::from_millis(200);
/// A group that is ready only after this long is worth next to nothing now.
const READY_TIME_HORIZON: Duration = Duration::from_secs(40);
/// Least part of its worth that a group keeps however long it takes.
const MIN_DISCOUNT: f64 = 0.05;
/// Growth that the first group of a model counts as.
const FIRST_GROUP_GROWTH: f64 = 4.0;

/// Rounds over all fabric domains after which a plan counts as settled.
const MAX_ROUNDS: usize = 6;
/// Combinations of groups that are weighed in a fabric domain at most.
const MAX_COMBINATIONS: usize = 2_000;

/// Time of a load before the first request, as a part of the usual time.
const PRE_TRAFFIC_LOAD_FACTOR: f64 = 0.1;

/// Whether servers may load from the weight store as they join.
#[key]
pub enum StoreLoads {
    /// They may: loads are quick and not counted yet.
    Allowed,
    /// They may not.
    Forbidden,
}

/// A server that may join a group.
#[data]
pub struct Candidate {
    /// Its id.
    pub id: ServerId,
    /// The model that it holds in its accelerators.
    pub loaded_model: Option<ModelId>,
    /// The models that lie on its host.
    pub staged_models: Vec<ModelId>,
}

impl Candidate {
    /// Returns how long it takes to join a group of `model`.
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

    /// Returns how many models it can serve without a load.
    fn servable_models(&self) -> usize {
        let hot = self.loaded_model.iter().filter(|hot| !self.staged_models.contains(hot));
        hot.count() + self.staged_models.len()
    }

    /// Returns whether joining a group of `model` reads from the weight store.
    pub fn needs_store_load(&self, model: &ModelSpec) -> bool {
        self.loaded_model.as_ref() != Some(&model.name) && !self.staged_models.contains(&model.name)
    }
}

/// Demand and supply of one model over the whole fleet.
#[data]
pub struct ModelDemand {
    /// The work that callers bring, as a part of the whole.
    pub demand: f64,
    /// Groups that serve or are being formed.
    pub supply: f64,
}

impl ModelDemand {
    /// Returns what one more group adds.
    pub fn marginal_gain(&self) -> f64 {
        if self.supply < 1.0 {
            return self.demand * FIRST_GROUP_GROWTH;
        }
        self.demand * ((self.supply + 1.0) / self.supply).ln()
    }

    /// Returns what one group less takes away.
    pub fn marginal_loss(&self) -> f64 {
        let left = ModelDemand { demand: self.demand, supply: self.supply - 1.0 };
        left.marginal_gain()
    }
}

/// A group to form.
#[data]
pub struct PlannedGroup {
    /// Index of its model in the engine's list.
    pub model_index: usize,
    /// Its members; the first is the head.
    pub members: Vec<ServerId>,
}

/// Returns the groups that the `free` servers of each fabric domain form; `needs` stand in the
/// order of the models.
pub fn plan(
    engine: &EngineSpec,
    needs: &[ModelDemand],
    free: &BTreeMap<FabricId, Vec<Candidate>>,
    loads: StoreLoads,
) -> BTreeMap<FabricId, Vec<PlannedGroup>> {
    let mut needs = needs.to_vec();
    let mut plan: BTreeMap<FabricId, Vec<PlannedGroup>> = BTreeMap::new();
    for _ in 0..MAX_ROUNDS {
        let mut changed = false;
        for (fabric, candidates) in free {
            let old = plan.remove(fabric).unwrap_or_default();
            adjust_supply(&mut needs, &old, -1.0);
            let new = best_group_set(engine, &needs, candidates, loads).groups;
            adjust_supply(&mut needs, &new, 1.0);
            changed |= old != new;
            plan.insert(fabric.clone(), new);
        }
        if !changed {
            break;
        }
    }
    plan
}

fn adjust_supply(needs: &mut [ModelDemand], groups: &[PlannedGroup], each: f64) {
    for group in groups {
        needs[group.model_index].supply += each;
    }
}

/// Groups that one fabric domain forms at once, and what they add.
#[data]
#[derive(Default)]
pub struct GroupSet {
    /// The groups.
    pub groups: Vec<PlannedGroup>,
    /// What they add together, in the unit of [`ModelDemand::marginal_gain`].
    pub gain: f64,
}

/// Returns the groups that `free` should form: those that add most together.
pub fn best_group_set(
    engine: &EngineSpec,
    needs: &[ModelDemand],
    free: &[Candidate],
    loads: StoreLoads,
) -> GroupSet {
    let mut best = GroupSet::default();
    for counts in combinations(engine, free, loads) {
        let Some(set) = compose(engine, needs, free, loads, &counts) else { continue };
        if set.gain > best.gain {
            best = set;
        }
    }
    best
}

/// Returns how many groups of each model there may be, in all combinations that `free` has enough
/// servers for.
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

/// Returns the groups that `counts` asks for, if `free` can form them.
fn compose(
    engine: &EngineSpec,
    needs: &[ModelDemand],
    free: &[Candidate],
    loads: StoreLoads,
    counts: &[usize],
) -> Option<GroupSet> {
    let mut needs = needs.to_vec();
    let mut left: Vec<&Candidate> = free.iter().collect();
    let mut set = GroupSet::default();
    for (index, count) in most_constrained_first(engine, free, loads, counts) {
        for _ in 0..count {
            let (choice, time) = earliest_group(index, &engine.models[index], &left, loads)?;
            left.retain(|candidate| !choice.members.contains(&candidate.id));
            set.gain += needs[index].marginal_gain() * discount(time);
            needs[index].supply += 1.0;
            set.groups.push(choice);
        }
    }
    Some(set)
}

/// Returns the models with their counts; those that the fewest servers can serve come first, since
/// they have the least choice.
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

/// Returns the part of its worth that a group keeps which is ready after `time`.
fn discount(time: Duration) -> f64 {
    (1.0 - time.as_secs_f64() / READY_TIME_HORIZON.as_secs_f64()).max(MIN_DISCOUNT)
}

fn is_usable(candidate: &Candidate, model: &ModelSpec, loads: StoreLoads) -> bool {
    loads == StoreLoads::Allowed || !candidate.needs_store_load(model)
}

/// Returns the group of `model` that is ready soonest, and when.
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
