//! The choice of a group for one request.
//!
//! The *prefix affinity* policy ranks the candidates by rendezvous hashing of the request's key
//! (its prefix, or a shard of a hot one), so all processes agree on the order without
//! communication, and the loss of a group moves only its own keys. It chooses the first candidate
//! in this order whose cost, the estimated load times the slowness, is within a bound relative to
//! the mean load (bounded-load rendezvous hashing), else the candidate of the least cost. So a
//! straggler gets fewer requests.
//!
//! The baselines are *two choices* (the less loaded of two random candidates) and *random*.
//!
//! Invariants: only routable groups that serve the model, version and adapter are candidates;
//! excluded groups are never chosen; the same candidates, key and random number give the same
//! choice.

use base::hash::weight;
use base::prelude::*;
use group::view::GroupTable;
use group::view::GroupView;

use crate::load::LoadTracker;
use crate::request::RequestSpec;

/// Ratio of a group's load to the mean load up to which it is chosen by affinity.
pub const DEFAULT_LOAD_BOUND: f64 = 1.25;
/// Number of additional requests at a group that cost less than the loss of a cached prefix.
const LOAD_SLACK: f64 = 3.0;

/// The policy by which a group is chosen.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Bounded-load rendezvous hashing of the prefix.
    Affinity {
        /// Ratio of a group's load to the mean load up to which it is chosen.
        load_bound: f64,
    },
    /// The less loaded of two random candidates.
    TwoChoices,
    /// A random candidate.
    Random,
}

impl Default for Policy {
    fn default() -> Self {
        Policy::Affinity { load_bound: DEFAULT_LOAD_BOUND }
    }
}

/// A group that may get the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The group.
    pub view: &'a GroupView,
    /// The estimated number of its requests, queued or running.
    pub estimated_load: u32,
    /// How many times slower than the median it is, at least 1.
    pub slowness: f64,
}

impl Candidate<'_> {
    /// Returns the load including the new request, weighted by slowness.
    fn cost(&self) -> f64 {
        (f64::from(self.estimated_load) + 1.0) * self.slowness
    }
}

/// Returns whether the group serves the model, version and adapter of the request.
///
/// Its state is not considered.
pub fn is_compatible(view: &GroupView, spec: &RequestSpec) -> bool {
    let adapter = spec.adapter.as_ref().is_none_or(|adapter| view.adapters.contains(adapter));
    view.model == spec.model && view.version == spec.version && adapter
}

/// Returns the groups that may get the request at `now`.
pub fn candidates<'a>(
    table: &'a GroupTable,
    loads: &LoadTracker,
    spec: &RequestSpec,
    now: Mono,
) -> Vec<Candidate<'a>> {
    let compatible: Vec<&GroupView> = table
        .groups
        .iter()
        .filter(|view| view.is_routable(now) && is_compatible(view, spec))
        .collect();
    let median_gap = loads.median_gap(&compatible, now);
    let usable = compatible.iter().filter(|view| !spec.excluded.contains(&view.id));
    usable
        .map(|view| Candidate {
            view,
            estimated_load: loads.estimated_load(view),
            slowness: loads.slowness(&view.id, median_gap, now),
        })
        .collect()
}

/// Returns the index of the chosen candidate, or `None` if there are no candidates.
///
/// `key` determines the affinity, and `random` is a random number. The result depends on the
/// arguments alone.
pub fn choose(
    policy: Policy,
    candidates: &[Candidate<'_>],
    key: u64,
    random: u64,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let count = candidates.len() as u64;
    match policy {
        Policy::Random => Some((random % count) as usize),
        Policy::TwoChoices => {
            let first = (random % count) as usize;
            let second = ((random >> 32) % count) as usize;
            Some(less_loaded(candidates, first, second))
        }
        Policy::Affinity { load_bound } => Some(by_affinity(candidates, key, load_bound)),
    }
}

/// Returns the first-choice group for the key, regardless of load.
pub fn first_choice<'a>(
    groups: impl IntoIterator<Item = &'a GroupView>,
    key: u64,
) -> Option<&'a GroupView> {
    let key = format!("{key:x}");
    groups.into_iter().max_by_key(|view| (weight(&key, &view.id), &view.id))
}

fn less_loaded(candidates: &[Candidate<'_>], first: usize, second: usize) -> usize {
    if candidates[second].cost() < candidates[first].cost() { second } else { first }
}

fn by_affinity(candidates: &[Candidate<'_>], key: u64, load_bound: f64) -> usize {
    let total: f64 = candidates.iter().map(|candidate| f64::from(candidate.estimated_load)).sum();
    let mean = (total + 1.0) / candidates.len() as f64;
    let bound = load_bound * mean + LOAD_SLACK;
    let key = format!("{key:x}");
    let rank = |i: &usize| (weight(&key, &candidates[*i].view.id), &candidates[*i].view.id);
    (0..candidates.len())
        .filter(|i| candidates[*i].cost() <= bound)
        .max_by_key(rank)
        .unwrap_or_else(|| least_loaded(candidates))
}

fn least_loaded(candidates: &[Candidate<'_>]) -> usize {
    (0..candidates.len()).reduce(|best, i| less_loaded(candidates, best, i)).unwrap_or(0)
}
