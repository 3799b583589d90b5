//! Gives groups up for another model when demand and supply have drifted apart.
//!
//! Losses hit models unevenly, and a free server can only join what it holds. A group is retired if
//! its members, with the free servers of their fabric domain, can form a group of another model
//! without loading, and that adds clearly more than the loss takes away. One at a time: the group
//! closes, finishes what it has, and its members are free.

use base::prelude::*;

use super::Owner;
use super::View;
use crate::census::Census;
use crate::census::Group;
use crate::compose;
use crate::compose::Candidate;
use crate::compose::JoinLoads;
use crate::compose::Need;

/// How much more a new group must add than the retired one took.
const WORTH_A_MOVE: f64 = 2.0;
/// Time between two retirements.
const MOVE_PAUSE: Duration = Duration::from_secs(4);

impl Owner {
    /// Retires at most one group.
    pub(super) fn rebalance(&mut self, view: &View<'_>, census: &Census) {
        let moving = !self.retiring.is_empty() || !self.forming.is_empty();
        if moving || view.before_traffic || view.now < self.retired_at + MOVE_PAUSE {
            return;
        }
        let needs = self.needs(view, census);
        let serving = census.groups.values().filter(|group| group.serves(view.engine));
        let best = serving
            .filter_map(|group| Some((self.gain_of_retiring(group, &needs, view, census)?, group)))
            .max_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, group)) = best {
            self.retiring.insert((group.name.clone(), group.epoch));
            self.retired_at = view.now;
        }
    }

    /// Returns how much more another model's group would add than `group` does, if enough.
    fn gain_of_retiring(
        &self,
        group: &Group,
        needs: &[Need],
        view: &View<'_>,
        census: &Census,
    ) -> Option<f64> {
        let models = &view.engine.models;
        let own = models.iter().position(|model| Some(&model.name) == group.model.as_ref())?;
        let loss = needs[own].loss();
        let fabric = group.fabric.as_ref()?;
        let mut candidates: Vec<Candidate> =
            self.free_by_fabric(view, census).remove(fabric).unwrap_or_default();
        candidates
            .extend(group.members.values().map(|id| super::free::candidate(&view.servers[id])));
        let mut others = needs.to_vec();
        others[own].demand = 0.0;
        let choice = compose::next(view.engine, &others, &candidates, JoinLoads::No)?;
        let gain = others[choice.model].gain();
        (choice.model != own && gain > loss * WORTH_A_MOVE).then_some(gain - loss)
    }
}
