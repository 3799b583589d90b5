//! Gives groups up for another model when demand and supply have drifted apart.
//!
//! Losses hit models unevenly, and a free server can only join what it holds. A group is retired if
//! its members, with the free servers of their fabric domain, can form other groups without loading,
//! and these add clearly more than the loss takes away. One at a time: the group closes, finishes
//! what it has, and its members are free. Groups that are being formed count as supply, so that a
//! model without any group needn't wait for the repair of others.

use std::collections::BTreeMap;

use base::prelude::*;

use super::Owner;
use super::View;
use crate::census::Census;
use crate::census::Group;
use crate::compose;
use crate::compose::Candidate;
use crate::compose::JoinLoads;
use crate::compose::Need;

/// How much more the new groups must add than the retired one took: for some seconds neither
/// serves, and demand drifts.
const WORTH_A_MOVE: f64 = 1.4;
/// Time between two retirements, and from the start of an owner to its first: reports that went
/// missing while the store was away are back by then.
const MOVE_PAUSE: Duration = Duration::from_millis(2_500);

impl Owner {
    /// Retires at most one group.
    pub(super) fn rebalance(&mut self, view: &View<'_>, census: &Census) {
        let moving = !self.retiring.is_empty();
        if moving || view.before_traffic || view.now < self.retired_at + MOVE_PAUSE {
            return;
        }
        let needs = self.needs(view, census);
        let free = self.free_by_fabric(view, census);
        let serving = census.groups.values().filter(|group| group.serves(view.engine));
        let best = serving
            .filter_map(|group| Some((gain_of_retiring(group, &needs, &free, view)?, group)))
            .max_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, group)) = best {
            self.retiring.insert((group.name.clone(), group.epoch));
            self.retired_at = view.now;
        }
    }
}

/// Returns how much more its members and the free servers would add than `group` does, if enough.
fn gain_of_retiring(
    group: &Group,
    needs: &[Need],
    free: &BTreeMap<FabricId, Vec<Candidate>>,
    view: &View<'_>,
) -> Option<f64> {
    let models = &view.engine.models;
    let own = models.iter().position(|model| Some(&model.name) == group.model.as_ref())?;
    let loss = needs[own].loss();
    let fabric = group.fabric.as_ref()?;
    let members = group.members.values().map(|id| super::free::candidate(&view.servers[id]));
    let candidates: Vec<Candidate> =
        free.get(fabric).into_iter().flatten().cloned().chain(members).collect();
    let mut left = needs.to_vec();
    left[own].supply -= 1.0;
    let set = compose::best_set(view.engine, &left, &candidates, JoinLoads::No);
    (set.gain > loss * WORTH_A_MOVE).then_some(set.gain - loss)
}
