//! Facts that this process says and hears.
//!
//! A fact is taken over if it supersedes what is known of its key, and is then passed on. The
//! number of facts is bounded; when the table is full, a fact of lower priority makes room.

use base::prelude::*;

use crate::decide::Action;
use crate::fact::Fact;
use crate::queue::Subject;
use crate::record::Claim;
use crate::state::Held;
use crate::state::MAX_FACTS;
use crate::state::State;

/// Up to so many members, usage too is passed on at once instead of with the next probes.
const RUMOURED_USAGE_MEMBERS: usize = 16;

/// Says a fact in the name of this process.
pub(crate) fn tell(state: &mut State, mut fact: Fact, now: Mono, out: &mut Vec<Action>) {
    debug_assert!(fact.check().is_empty(), "the teller keeps to the bounds");
    let is_sole_owner = fact.key.sole_owner() == Some(&state.me.name);
    if let Some(held) = state.facts.get(&fact.key).filter(|_| is_sole_owner) {
        // An earlier life may have told higher versions.
        fact.version = fact.version.max(held.fact.version + 1);
    }
    learn(state, fact, now, out);
}

/// Takes over a fact from another process if it is above what is known.
pub(crate) fn hear(state: &mut State, fact: Fact, now: Mono, out: &mut Vec<Action>) {
    if fact.key.sole_owner() != Some(&state.me.name) {
        return learn(state, fact, now, out);
    }
    // An earlier life told it. It only sets the floor for the versions of this life.
    let floor = state.facts.get(&fact.key).map_or(0, |held| held.fact.version);
    if fact.version > floor {
        let until = now + fact.lifetime;
        state.facts.insert(fact.key.clone(), Held { fact, until });
    }
}

/// Passes on again what an earlier life of `sender` told, if the new life tells a lower version.
pub(crate) fn remind_owner(state: &mut State, sender: &Claim, fact: &Fact) {
    let is_own = fact.key.sole_owner() == Some(&sender.name);
    let held = state.facts.get(&fact.key);
    if is_own && held.is_some_and(|held| held.fact.version > fact.version) {
        state.queue.push(Subject::Fact(fact.key.clone()));
    }
}

fn learn(state: &mut State, fact: Fact, now: Mono, out: &mut Vec<Action>) {
    if fact.lifetime.is_zero() || !make_room(state, &fact) {
        return;
    }
    if let Some(held) = state.facts.get(&fact.key).filter(|held| !fact.supersedes(&held.fact)) {
        // Urgent facts are few, and their last hearers count, so they are passed on in full.
        if fact.version == held.fact.version && !fact.key.is_urgent() {
            let limit = state.settings.transmissions(state.members());
            state.queue.heard_again(&Subject::Fact(fact.key), limit);
        }
        return;
    }
    state.queue.push(Subject::Fact(fact.key.clone()));
    let is_small = state.members() <= RUMOURED_USAGE_MEMBERS;
    state.has_rumour |= fact.key.is_urgent() || is_small;
    let until = now + fact.lifetime;
    state.facts.insert(fact.key.clone(), Held { fact: fact.clone(), until });
    out.push(Action::Learned(fact));
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
