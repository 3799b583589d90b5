//! Which groups to form in a fabric domain from the servers that are free there.
//!
//! One group is chosen at a time: the model whose next group adds most per server, discounted by
//! the time until that group could serve. What a group adds follows proportional fairness: the
//! demand for its model times the logarithm of the growth of its supply, so that a model without
//! any group goes first and no model starves. Members are those that are ready soonest.
//!
//! A server that would have to load from the weight store is no member, since the others would wait
//! for it: its host is staged first. Only before the first request, when loads are quick, may
//! members load as they join.

use base::prelude::*;

use crate::server::ServerId;
use crate::spec::EngineSpec;
use crate::spec::ModelSpec;

/// Time of a join when the server holds the model's weights in its accelerators.
pub const HOT_JOIN: Duration = Duration::from_millis(200);
/// A group that is ready only after this long is worth next to nothing now.
const HORIZON: Duration = Duration::from_secs(40);
/// Least part of its worth that a group keeps however long it takes.
const LEAST_DISCOUNT: f64 = 0.05;
/// Growth that the first group of a model counts as.
const FIRST_GROUP_GROWTH: f64 = 4.0;

/// Time of a load before the first request, as a part of the usual time.
const EARLY_LOAD_FACTOR: f64 = 0.1;

/// Whether servers may load from the weight store as they join.
#[key]
pub enum JoinLoads {
    /// They may: loads are quick and not counted yet.
    Quick,
    /// They may not.
    No,
}

/// A server that may join a group.
#[data]
pub struct Candidate {
    /// Its id.
    pub id: ServerId,
    /// The model that it holds in its accelerators.
    pub hot: Option<ModelId>,
    /// The models that lie on its host.
    pub staged: Vec<ModelId>,
    /// Whether its speed was found to be below that of its peers.
    pub slow: bool,
}

impl Candidate {
    /// Returns how long it takes to join a group of `model`.
    pub fn time_to_join(&self, model: &ModelSpec, loads: JoinLoads) -> Duration {
        if self.hot.as_ref() == Some(&model.name) {
            return HOT_JOIN;
        }
        if self.staged.contains(&model.name) {
            return model.warm;
        }
        match loads {
            JoinLoads::Quick => model.load.mul_f64(EARLY_LOAD_FACTOR),
            JoinLoads::No => model.load,
        }
    }

    /// Returns whether joining a group of `model` reads from the weight store.
    pub fn needs_load(&self, model: &ModelSpec) -> bool {
        self.hot.as_ref() != Some(&model.name) && !self.staged.contains(&model.name)
    }
}

/// Demand and supply of one model over the whole fleet.
#[data]
pub struct Need {
    /// The work that callers bring, as a part of the whole.
    pub demand: f64,
    /// Groups that serve or are being formed.
    pub supply: f64,
}

impl Need {
    /// Returns what one more group adds.
    pub fn gain(&self) -> f64 {
        if self.supply < 1.0 {
            return self.demand * FIRST_GROUP_GROWTH;
        }
        self.demand * ((self.supply + 1.0) / self.supply).ln()
    }

    /// Returns what one group less takes away.
    pub fn loss(&self) -> f64 {
        let left = Need { demand: self.demand, supply: self.supply - 1.0 };
        left.gain()
    }
}

/// A group to form.
#[data]
pub struct Choice {
    /// Index of its model in the engine's list.
    pub model: usize,
    /// Its members; the first is the head.
    pub members: Vec<ServerId>,
}

/// Returns the best group that `free` can form, if any; `needs` stand in the order of the models.
pub fn next(
    engine: &EngineSpec,
    needs: &[Need],
    free: &[Candidate],
    loads: JoinLoads,
) -> Option<Choice> {
    let mut best: Option<(f64, Choice)> = None;
    for (index, (model, need)) in engine.models.iter().zip(needs).enumerate() {
        let Some((choice, time)) = soonest(index, model, free, loads) else { continue };
        let left = 1.0 - time.as_secs_f64() / HORIZON.as_secs_f64();
        let score = need.gain() / model.size as f64 * left.max(LEAST_DISCOUNT);
        if best.as_ref().is_none_or(|(highest, _)| score > *highest) {
            best = Some((score, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Returns the group of `model` that is ready soonest, and when.
fn soonest(
    index: usize,
    model: &ModelSpec,
    free: &[Candidate],
    loads: JoinLoads,
) -> Option<(Choice, Duration)> {
    let usable = free.iter().filter(|c| loads == JoinLoads::Quick || !c.needs_load(model));
    let mut order: Vec<(bool, Duration, &Candidate)> =
        usable.map(|c| (c.slow, c.time_to_join(model, loads), c)).collect();
    if order.len() < model.size || model.size == 0 {
        return None;
    }
    order.sort_by(|a, b| (a.0, a.1, &a.2.id).cmp(&(b.0, b.1, &b.2.id)));
    order.truncate(model.size);
    let time = order.iter().map(|(_, time, _)| *time).max().unwrap_or_default();
    let members = order.iter().map(|(_, _, c)| c.id.clone()).collect();
    Some((Choice { model: index, members }, time))
}
