//! Facts that this process says and hears.
//!
//! A fact is taken over if it supersedes what is known of its key, and is then passed on. The
//! number of facts is bounded; when the table is full, a fact of lower priority makes room.

use base::prelude::*;

use crate::decide::Action;
use crate::fact::Fact;
use crate::queue::Subject;
use crate::record::MemberRecord;
use crate::state::MAX_FACTS;
use crate::state::State;
use crate::state::StoredFact;

/// Up to so many members, usage too is passed on at once instead of with the next probes.
const EAGER_USAGE_MAX_MEMBERS: usize = 16;

/// Says a fact in the name of this process.
pub(crate) fn publish(state: &mut State, mut fact: Fact, now: Mono, out: &mut Vec<Action>) {
    debug_assert!(fact.check().is_empty(), "the teller keeps to the bounds");
    let is_sole_owner = fact.key.sole_owner() == Some(&state.me.name);
    if let Some(held) = state.facts.get(&fact.key).filter(|_| is_sole_owner) {
        // An earlier life may have told higher versions.
        fact.version = fact.version.max(held.fact.version + 1);
    }
    merge(state, fact, now, out);
}

/// Takes over a fact from another process if it is above what is known.
pub(crate) fn receive(state: &mut State, fact: Fact, now: Mono, out: &mut Vec<Action>) {
    if fact.key.sole_owner() != Some(&state.me.name) {
        return merge(state, fact, now, out);
    }
    // An earlier life told it. It only sets the floor for the versions of this life.
    let floor = state.facts.get(&fact.key).map_or(0, |held| held.fact.version);
    if fact.version > floor {
        let until = now + fact.lifetime;
        state.facts.insert(fact.key.clone(), StoredFact { fact, until });
    }
}

/// Passes on again what an earlier life of `sender` told, if the new life tells a lower version.
pub(crate) fn remind_owner(state: &mut State, sender: &MemberRecord, fact: &Fact) {
    let is_own = fact.key.sole_owner() == Some(&sender.name);
    let held = state.facts.get(&fact.key);
    if is_own && held.is_some_and(|held| held.fact.version > fact.version) {
        state.queue.push(Subject::Fact(fact.key.clone()));
    }
}

fn merge(state: &mut State, fact: Fact, now: Mono, out: &mut Vec<Action>) {
    if fact.lifetime.is_zero() || !make_room(state, &fact) {
        return;
    }
    if let Some(held) = state.facts.get(&fact.key).filter(|held| !fact.supersedes(&held.fact)) {
        // Urgent facts are few, and their last hearers count, so they are passed on in full.
        if fact.version == held.fact.version && !fact.key.is_urgent() {
            let limit = state.settings.transmit_limit(state.members());
            state.queue.note_duplicate(&Subject::Fact(fact.key), limit);
        }
        return;
    }
    state.queue.push(Subject::Fact(fact.key.clone()));
    let is_small = state.members() <= EAGER_USAGE_MAX_MEMBERS;
    state.has_urgent_update |= fact.key.is_urgent() || is_small;
    let until = now + fact.lifetime;
    state.facts.insert(fact.key.clone(), StoredFact { fact: fact.clone(), until });
    out.push(Action::FactUpdated(fact));
}

/// Returns whether there is room for `fact`; drops a fact of lower priority to make some.
fn make_room(state: &mut State, fact: &Fact) -> bool {
    if state.facts.len() < MAX_FACTS || state.facts.contains_key(&fact.key) {
        return true;
    }
    let last = state.facts.keys().next_back().cloned();
    match last {
        Some(last) if last.priority() > fact.key.priority() => {
            state.facts.remove(&last);
            true
        }
        _ => false,
    }
}
