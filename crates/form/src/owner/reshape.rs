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

use super::Owner;
use super::View;
use crate::census::Census;
use crate::census::Group;
use crate::census::GroupKey;
use crate::compose;
use crate::compose::Candidate;
use crate::compose::JoinLoads;
use crate::compose::Need;
use crate::compose::Set;

/// What a move costs, as a part of what the retired groups and the free servers add without it:
/// they all stand idle for some seconds, and until the next loss.
const MOVE_COST: f64 = 0.4;
/// Part of the groups that may be retired at once; one move may always be under way.
const MOST_MOVING: f64 = 0.08;
/// Groups that one move retires at most.
const MOST_RETIRED: usize = 5;
/// Time between two moves in a fabric domain.
const MOVE_PAUSE: Duration = Duration::from_millis(2_500);
/// Time from the start of an owner to its first move: reports that went missing while the store was
/// away are back by then.
const FIRST_MOVE_AFTER: Duration = Duration::from_secs(2);
/// Time after which a fabric domain is weighed again though nothing is new there.
const WEIGH_PERIOD: Duration = Duration::from_secs(1);
/// How long a move may take.
const MOVE_TIMEOUT: Duration = Duration::from_secs(6);

/// A move under way in a fabric domain.
#[data]
pub(super) struct Move {
    /// The groups that are retired for it.
    retired: Vec<GroupKey>,
    /// The models of the groups that it will bring, by their index.
    pub(super) brings: Vec<usize>,
    /// When the domain's free servers wait no longer.
    until: Mono,
}

/// What is remembered of the weighing of a fabric domain.
#[data]
#[derive(Default)]
pub(super) struct Balance {
    /// When it was weighed last.
    weighed: Mono,
    /// Its free servers then.
    free: usize,
    /// When its last move was begun.
    moved: Option<Mono>,
}

impl Balance {
    fn is_due(&self, free: usize, now: Mono) -> bool {
        let paused = self.moved.is_some_and(|moved| now < moved + MOVE_PAUSE);
        !paused && (free != self.free || now >= self.weighed + WEIGH_PERIOD)
    }
}

/// A move that is worth it: the groups to retire, those to form, and what that adds in all.
struct Weighed {
    retired: Vec<GroupKey>,
    set: Set,
    gain: f64,
}

impl Owner {
    /// Ends moves whose groups have gone, and begins those that are worth it.
    pub(super) fn reshape(&mut self, view: &View<'_>, census: &Census) {
        let released = &self.released;
        self.moves.retain(|_, m| {
            let gone = |key| released.contains(key) || !census.groups.contains_key(key);
            view.now < m.until && !m.retired.iter().all(gone)
        });
        if view.before_traffic || view.now < self.started + FIRST_MOVE_AFTER {
            return;
        }
        let free = self.free_by_fabric(view, census);
        for (fabric, groups) in self.groups_by_fabric(view, census) {
            let free = free.get(&fabric).map(Vec::as_slice).unwrap_or_default();
            let balance = self.balances.entry(fabric.clone()).or_default();
            if self.moves.contains_key(&fabric) || !balance.is_due(free.len(), view.now) {
                continue;
            }
            balance.weighed = view.now;
            balance.free = free.len();
            let needs = self.needs(view, census);
            let options = options(&groups, free, &needs, view).into_iter();
            let best = options.max_by(|a, b| a.gain.total_cmp(&b.gain));
            if let Some(best) = best.filter(|best| self.has_room_for(best, &needs)) {
                self.begin(fabric, best, view.now);
            }
        }
    }

    /// Returns whether few enough groups are moving for `option` to begin.
    fn has_room_for(&self, option: &Weighed, needs: &[Need]) -> bool {
        let moving: usize = self.moves.values().map(|m| m.retired.len()).sum();
        let groups: f64 = needs.iter().map(|need| need.supply).sum();
        moving == 0 || (moving + option.retired.len()) as f64 <= groups * MOST_MOVING
    }

    fn begin(&mut self, fabric: FabricId, option: Weighed, now: Mono) {
        self.retiring.extend(option.retired.iter().cloned());
        self.balances.entry(fabric.clone()).or_default().moved = Some(now);
        let brings = option.set.groups.iter().map(|choice| choice.model).collect();
        let until = now + MOVE_TIMEOUT;
        self.moves.insert(fabric, Move { retired: option.retired, brings, until });
    }

    /// Returns the groups of each fabric domain that serve and stay.
    fn groups_by_fabric<'a>(
        &self,
        view: &View<'_>,
        census: &'a Census,
    ) -> BTreeMap<FabricId, Vec<&'a Group>> {
        let mut fabrics: BTreeMap<FabricId, Vec<&Group>> = BTreeMap::new();
        let stays = |key| !self.retiring.contains(key) && !self.released.contains(key);
        let serving = census.groups.iter().filter(|(key, group)| {
            stays(*key)
                && group.serves(view.engine)
                && !group.is_missing_report
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
fn options(groups: &[&Group], free: &[Candidate], needs: &[Need], view: &View<'_>) -> Vec<Weighed> {
    let alone = compose::best_set(view.engine, needs, free, JoinLoads::No).gain;
    let mut found = Vec::new();
    for (index, model) in view.engine.models.iter().enumerate() {
        let mut donors: Vec<(usize, &Group)> = groups
            .iter()
            .filter(|group| group.model.as_ref() == Some(&model.name))
            .map(|group| (bound_members(group, model.name.as_ref(), view), *group))
            .collect();
        donors.sort_by_key(|(bound, _)| *bound);
        let mut left = needs.to_vec();
        let mut candidates = free.to_vec();
        let mut retired = Vec::new();
        let mut loss = 0.0;
        for (_, group) in donors.into_iter().take(MOST_RETIRED) {
            loss += left[index].loss();
            left[index].supply -= 1.0;
            candidates
                .extend(group.members.values().map(|id| super::free::candidate(&view.servers[id])));
            retired.push(group.key());
            let set = compose::best_set(view.engine, &left, &candidates, JoinLoads::No);
            let gain = set.gain - alone - loss;
            if gain > (loss + alone) * MOVE_COST {
                found.push(Weighed { retired: retired.clone(), set, gain });
            }
        }
    }
    found
}

/// Returns how many members of `group` hold no model but its own.
fn bound_members(group: &Group, model: &str, view: &View<'_>) -> usize {
    let is_bound = |id: &&crate::server::ServerId| {
        view.servers[*id].staged.iter().all(|staged| &**staged == model)
    };
    group.members.values().filter(is_bound).count()
}
