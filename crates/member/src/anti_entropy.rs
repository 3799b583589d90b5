//! Anti-entropy: exchange of digests and entries with random members, so that states converge.
//!
//! An exchange has three steps. The initiator sends its digest. The responder answers with all
//! entries (membership records and facts) of some of the buckets that differ, in at most
//! [`MAX_ENTRY_DATAGRAMS`] datagrams. The initiator then sends back the entries of those buckets
//! that are newer on its side. While digests differ, exchanges are started more often
//! ([`follow_up`]).
//!
//! The responder visits the differing buckets in random order, and sends a bucket that does not fit
//! into one datagram from a random entry on. Repeated exchanges therefore reach every difference.

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

/// Maximum number of datagrams that answer one digest.
const MAX_ENTRY_DATAGRAMS: usize = 2;
/// Maximum size of the entries in one such datagram, in bytes.
const ENTRY_BYTES: usize = 700;
/// Every so many exchanges go to a seed, so that partitions that never knew of each other merge.
const SEED_EXCHANGE_INTERVAL: u64 = 8;
/// Number of seeds contacted at once while no live member is known.
const JOIN_FANOUT: usize = 3;

/// Begins an exchange: sends the digest to a random member, or to seeds while none is known.
pub(crate) fn begin(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    state.exchanges += 1;
    let is_isolated = state.live == 0;
    let period =
        if is_isolated { state.settings.repair_period() } else { state.settings.exchange_period() };
    state.timers.exchange = now + period.mul_f64(state.rng.random_range(0.9..1.1));
    let targets = if is_isolated {
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

/// Picks a random live member; every second time one of this process's region, if there is any.
fn pick_partner(state: &mut State) -> Option<SocketAddr> {
    let same_region = state.exchanges.is_multiple_of(2);
    let region = &state.me.location.region;
    let live = state.peers.values().filter(|peer| peer.status.is_live());
    let eligible = live.filter(|peer| !same_region || peer.location.region == *region);
    let picked = eligible.map(|peer| peer.location.gossip).choose(&mut state.rng);
    picked.or_else(|| state.sample_live(1, "").first().map(|(_, address)| *address))
}

/// Answers a digest with the entries of buckets that differ.
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
    let mut entries = entries_by_bucket(state, now);
    for _ in 0..MAX_ENTRY_DATAGRAMS {
        if differing.is_empty() {
            return;
        }
        let (complete, updates) = fill_datagram(state, &mut differing, &mut entries);
        let message = Message::Entries { salt: theirs.salt, complete, reply: true };
        push(state, from, message, updates, out);
    }
}

/// Removes buckets from the end of `differing`, as many as fit into one datagram.
///
/// Returns the buckets whose entries are complete, and the entries. A bucket that exceeds a
/// datagram by itself is sent in part.
fn fill_datagram(
    state: &mut State,
    differing: &mut Vec<usize>,
    by_bucket: &mut BTreeMap<usize, Vec<Update>>,
) -> (Buckets, Vec<Update>) {
    let mut complete = Buckets::default();
    let mut updates = Vec::new();
    let mut used = 0;
    while let Some(bucket) = differing.last().copied() {
        let mut entries = by_bucket.remove(&bucket).unwrap_or_default();
        let len: usize = entries.iter().map(wire::update_len).sum();
        if used + len <= ENTRY_BYTES {
            complete.insert(bucket);
            used += len;
            updates.append(&mut entries);
            differing.pop();
        } else if used == 0 {
            differing.pop();
            let start = state.rng.random_range(0..entries.len());
            entries.rotate_left(start);
            return (complete, take_fitting(entries));
        } else {
            by_bucket.insert(bucket, entries);
            return (complete, updates);
        }
    }
    (complete, updates)
}

/// Returns the longest prefix of `entries` that fits into one datagram.
fn take_fitting(entries: Vec<Update>) -> Vec<Update> {
    let mut used = 0;
    let fits = |update: &Update| {
        used += wire::update_len(update);
        used <= ENTRY_BYTES
    };
    entries.into_iter().take_while(fits).collect()
}

/// Schedules the next exchange early, because digests differed.
pub(crate) fn follow_up(state: &mut State, now: Mono) {
    state.timers.exchange = state.timers.exchange.min(now + state.settings.repair_period());
}

/// Sends back the entries that are newer here, in the buckets that the responder sent completely.
pub(crate) fn reply(
    state: &State,
    from: SocketAddr,
    salt: u32,
    complete: Buckets,
    received: &[Update],
    now: Mono,
    out: &mut Vec<Action>,
) {
    let theirs: BTreeMap<Subject, Rank> = received.iter().map(subject_and_rank).collect();
    let all = entries_by_bucket(state, now);
    let mine = all.into_iter().filter(|(bucket, _)| complete.contains(*bucket));
    let newer: Vec<Update> = mine
        .flat_map(|(_, entries)| entries)
        .filter(|update| {
            let (subject, rank) = subject_and_rank(update);
            theirs.get(&subject).is_none_or(|theirs| rank > *theirs)
        })
        .collect();
    let updates = take_fitting(newer);
    if !updates.is_empty() {
        let message = Message::Entries { salt, complete: Buckets::default(), reply: false };
        push(state, from, message, updates, out);
    }
}

/// What decides between two entries of the same subject; the greater one is newer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Member(Instance, Status),
    Fact(u64, Box<[u8]>),
}

fn subject_and_rank(update: &Update) -> (Subject, Rank) {
    match update {
        Update::Member(record) => {
            (Subject::Member(record.name.clone()), Rank::Member(record.instance, record.status))
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
    for stored in state.facts.values() {
        if stored.fact.key.is_in_digest() && stored.at(now).is_some() {
            digest.add_fact(&stored.fact);
        }
    }
    digest
}

fn entries_by_bucket(state: &State, now: Mono) -> BTreeMap<usize, Vec<Update>> {
    let mut buckets: BTreeMap<usize, Vec<Update>> = BTreeMap::new();
    let mut add = |bucket: usize, update| buckets.entry(bucket).or_default().push(update);
    add(member_bucket(&state.me.name), Update::Member(state.own_record()));
    for (name, peer) in &state.peers {
        let location = peer.status.is_live().then(|| peer.location.clone());
        let record = MemberRecord {
            name: name.clone(),
            instance: peer.instance,
            status: peer.status,
            location,
        };
        add(member_bucket(name), Update::Member(record));
    }
    for stored in state.facts.values().filter(|stored| stored.fact.key.is_in_digest()) {
        if let Some(fact) = stored.at(now) {
            add(fact_bucket(&stored.fact).0, Update::Fact(fact));
        }
    }
    buckets
}

/// Sends a packet with exactly `updates`; no queued updates are piggybacked.
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
