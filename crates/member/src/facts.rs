//! Publishing facts of this process, and merging facts received from others.
//!
//! A fact is stored and queued for further dissemination if it supersedes the stored fact of its
//! key. The table is bounded: when it is full, a new fact evicts one of lower priority or is
//! dropped.
//!
//! Some keys have a single writer, such as the usage reported by one process. Such a writer starts
//! again at a low version after a restart, while other processes may still store a higher version
//! of its earlier instance. They send it back to the new instance ([`remind_owner`]), which then
//! continues above it.

use base::prelude::*;

use crate::decide::Action;
use crate::fact::Fact;
use crate::queue::Subject;
use crate::record::MemberRecord;
use crate::state::MAX_FACTS;
use crate::state::State;
use crate::state::StoredFact;

/// Largest membership in which usage is pushed eagerly too, instead of piggybacked on probes only.
const EAGER_USAGE_MAX_MEMBERS: usize = 16;

/// Publishes a fact of this process.
pub(crate) fn publish(state: &mut State, mut fact: Fact, now: Mono, out: &mut Vec<Action>) {
    debug_assert!(fact.check().is_empty(), "a published fact must be within the bounds");
    let is_sole_owner = fact.key.sole_owner() == Some(&state.me.name);
    if let Some(stored) = state.facts.get(&fact.key).filter(|_| is_sole_owner) {
        // An earlier instance of this process may have published higher versions.
        fact.version = fact.version.max(stored.fact.version + 1);
    }
    merge(state, fact, now, out);
}

/// Merges a fact received from another process.
pub(crate) fn receive(state: &mut State, fact: Fact, now: Mono, out: &mut Vec<Action>) {
    if fact.key.sole_owner() != Some(&state.me.name) {
        return merge(state, fact, now, out);
    }
    // An earlier instance of this process published it. It is stored only as the lower bound for
    // the versions of this instance, and neither reported nor sent.
    let floor = state.facts.get(&fact.key).map_or(0, |stored| stored.fact.version);
    if fact.version > floor {
        let expires_at = now + fact.lifetime;
        state.facts.insert(fact.key.clone(), StoredFact { fact, expires_at });
    }
}

/// Queues the stored fact of an earlier instance of `sender` again if the new instance publishes a
/// lower version, so that the new instance learns which version it must exceed.
pub(crate) fn remind_owner(state: &mut State, sender: &MemberRecord, fact: &Fact) {
    let is_own = fact.key.sole_owner() == Some(&sender.name);
    let stored = state.facts.get(&fact.key);
    if is_own && stored.is_some_and(|stored| stored.fact.version > fact.version) {
        state.queue.push(Subject::Fact(fact.key.clone()));
    }
}

fn merge(state: &mut State, fact: Fact, now: Mono, out: &mut Vec<Action>) {
    if fact.lifetime.is_zero() || !make_room(state, &fact) {
        return;
    }
    if let Some(stored) = state.facts.get(&fact.key).filter(|stored| !fact.supersedes(&stored.fact))
    {
        // Urgent facts are few and must reach the last process soon, so duplicates do not reduce
        // the number of their transmissions.
        if fact.version == stored.fact.version && !fact.key.is_urgent() {
            let limit = state.settings.transmit_limit(state.members());
            state.queue.note_duplicate(&Subject::Fact(fact.key), limit);
        }
        return;
    }
    state.queue.push(Subject::Fact(fact.key.clone()));
    let is_small = state.members() <= EAGER_USAGE_MAX_MEMBERS;
    state.has_urgent_update |= fact.key.is_urgent() || is_small;
    let expires_at = now + fact.lifetime;
    state.facts.insert(fact.key.clone(), StoredFact { fact: fact.clone(), expires_at });
    out.push(Action::FactUpdated(fact));
}

/// Returns whether `fact` can be stored. Evicts a fact of lower priority if the table is full.
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
