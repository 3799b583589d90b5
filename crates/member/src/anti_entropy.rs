//! Exchange of digests with random members, so that states converge.
//!
//! A process sends its digest; the other answers with all that it holds in some of the buckets
//! that differ, in at most [`MAX_ENTRY_DATAGRAMS`] datagrams; the first then sends back what it has
//! newer in those buckets. While digests differ, exchanges follow sooner.
//!
//! Which of the differing buckets go first is drawn at random, and a bucket that does not fit into
//! one datagram is sent from a random entry on, so every difference is reached in time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use crate::decide::Action;
use crate::digest::Buckets;
use crate::digest::Digest;
use crate::digest::fact_bucket;
use crate::digest::member_bucket;
use crate::packet::Message;
use crate::packet::Packet;
use crate::packet::Update;
use crate::queue::Subject;
use crate::record::Instance;
use crate::record::MemberRecord;
use crate::record::Status;
use crate::state::State;
use crate::wire;

/// Datagrams that answer one digest, at most.
const MAX_ENTRY_DATAGRAMS: usize = 2;
/// Bytes of updates in one such datagram.
const ENTRY_BYTES: usize = 700;
/// Every so many exchanges go to a seed, so that parts of the fleet that never met find each other.
const SEED_EXCHANGE_INTERVAL: u64 = 8;
/// Seeds that are asked at once while no member is known.
const JOIN_FANOUT: usize = 3;

/// Sends this process's digest to a random member, or to seeds while none is known.
pub(crate) fn begin(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    state.exchanges += 1;
    let lonely = state.live == 0;
    let period =
        if lonely { state.settings.repair_period() } else { state.settings.exchange_period() };
    state.timers.exchange = now + period.mul_f64(state.rng.random_range(0.9..1.1));
    let targets = if lonely {
        state.seeds.choose_multiple(&mut state.rng, JOIN_FANOUT).copied().collect()
    } else if state.exchanges.is_multiple_of(SEED_EXCHANGE_INTERVAL) && !state.seeds.is_empty() {
        state.seeds.choose(&mut state.rng).copied().into_iter().collect()
    } else {
        pick_partner(state).into_iter().collect::<Vec<_>>()
    };
    for to in targets {
        if to != state.me.location.gossip {
            let salt = state.rng.random();
            let digest = digest(state, salt, now);
            push(state, to, Message::Compare { digest }, Vec::new(), out);
        }
    }
}

/// Draws a live member; every second time from the own region.
fn pick_partner(state: &mut State) -> Option<SocketAddr> {
    let near = state.exchanges.is_multiple_of(2);
    let region = &state.me.location.region;
    let live = state.peers.values().filter(|peer| peer.status.is_live());
    let fitting = live.filter(|peer| !near || peer.location.region == *region);
    let drawn = fitting.map(|peer| peer.location.gossip).choose(&mut state.rng);
    drawn.or_else(|| state.sample_live(1, "").first().map(|(_, address)| *address))
}

/// Answers a digest with what differs.
pub(crate) fn compare(
    state: &mut State,
    from: SocketAddr,
    theirs: &Digest,
    now: Mono,
    out: &mut Vec<Action>,
) {
    let mine = digest(state, theirs.salt, now);
    let mut differing: Vec<usize> = mine.differing(theirs).iter().collect();
    differing.shuffle(&mut state.rng);
    let mut held = entries_by_bucket(state, now);
    for _ in 0..MAX_ENTRY_DATAGRAMS {
        if differing.is_empty() {
            return;
        }
        let (whole, updates) = fill(state, &mut differing, &mut held);
        let message = Message::Entries { salt: theirs.salt, whole, reply: true };
        push(state, from, message, updates, out);
    }
}

/// Takes the next buckets off `differing`, as many as fit into one datagram.
fn fill(
    state: &mut State,
    differing: &mut Vec<usize>,
    held: &mut BTreeMap<usize, Vec<Update>>,
) -> (Buckets, Vec<Update>) {
    let mut whole = Buckets::default();
    let mut updates = Vec::new();
    let mut used = 0;
    while let Some(bucket) = differing.last().copied() {
        let mut entries = held.remove(&bucket).unwrap_or_default();
        let len: usize = entries.iter().map(wire::update_len).sum();
        if used + len <= ENTRY_BYTES {
            whole.insert(bucket);
            used += len;
            updates.append(&mut entries);
            differing.pop();
        } else if used == 0 {
            differing.pop();
            let start = state.rng.random_range(0..entries.len());
            entries.rotate_left(start);
            return (whole, take_fitting(entries));
        } else {
            held.insert(bucket, entries);
            return (whole, updates);
        }
    }
    (whole, updates)
}

/// Returns the first of `entries`, as many as fit into one datagram.
fn take_fitting(entries: Vec<Update>) -> Vec<Update> {
    let mut used = 0;
    let fits = |update: &Update| {
        used += wire::update_len(update);
        used <= ENTRY_BYTES
    };
    entries.into_iter().take_while(fits).collect()
}

/// Begins the next exchange soon, because digests differed.
pub(crate) fn follow_up(state: &mut State, now: Mono) {
    state.timers.exchange = state.timers.exchange.min(now + state.settings.repair_period());
}

/// Sends back what this process has newer in the buckets that the other sent whole.
pub(crate) fn reply(
    state: &State,
    from: SocketAddr,
    salt: u32,
    whole: Buckets,
    received: &[Update],
    now: Mono,
    out: &mut Vec<Action>,
) {
    let theirs: BTreeMap<Subject, Rank> = received.iter().map(subject_and_rank).collect();
    let held = entries_by_bucket(state, now);
    let mine = held.into_iter().filter(|(bucket, _)| whole.contains(*bucket));
    let newer: Vec<Update> = mine
        .flat_map(|(_, entries)| entries)
        .filter(|update| {
            let (subject, rank) = subject_and_rank(update);
            theirs.get(&subject).is_none_or(|theirs| rank > *theirs)
        })
        .collect();
    let updates = take_fitting(newer);
    if !updates.is_empty() {
        let message = Message::Entries { salt, whole: Buckets::default(), reply: false };
        push(state, from, message, updates, out);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Member(Instance, Status),
    Fact(u64, Box<[u8]>),
}

fn subject_and_rank(update: &Update) -> (Subject, Rank) {
    match update {
        Update::Member(claim) => {
            (Subject::Member(claim.name.clone()), Rank::Member(claim.instance, claim.status))
        }
        Update::Fact(fact) => {
            (Subject::Fact(fact.key.clone()), Rank::Fact(fact.version, fact.body.clone()))
        }
    }
}

fn digest(state: &State, salt: u32, now: Mono) -> Digest {
    let mut digest = Digest::new(salt);
    digest.add_member(&state.me.name, state.instance());
    for (name, peer) in state.peers.iter().filter(|(_, peer)| peer.status.is_live()) {
        digest.add_member(name, peer.instance);
    }
    for held in state.facts.values() {
        if held.fact.key.is_in_digest() && held.at(now).is_some() {
            digest.add_fact(&held.fact);
        }
    }
    digest
}

fn entries_by_bucket(state: &State, now: Mono) -> BTreeMap<usize, Vec<Update>> {
    let mut buckets: BTreeMap<usize, Vec<Update>> = BTreeMap::new();
    let mut add = |bucket: usize, update| buckets.entry(bucket).or_default().push(update);
    add(member_bucket(&state.me.name), Update::Member(state.own_record()));
    for (name, peer) in &state.peers {
        let place = peer.status.is_live().then(|| peer.location.clone());
        let claim = MemberRecord {
            name: name.clone(),
            instance: peer.instance,
            status: peer.status,
            location: place,
        };
        add(member_bucket(name), Update::Member(claim));
    }
    for held in state.facts.values().filter(|held| held.fact.key.is_in_digest()) {
        if let Some(fact) = held.at(now) {
            add(fact_bucket(&held.fact).0, Update::Fact(fact));
        }
    }
    buckets
}

/// Sends a packet with just `updates`.
fn push(
    state: &State,
    to: SocketAddr,
    message: Message,
    updates: Vec<Update>,
    out: &mut Vec<Action>,
) {
    let sender = state.own_record();
    let packet = Packet { sender, revision: state.revision, message, updates };
    out.push(Action::Send { to, packet: Box::new(packet) });
}
