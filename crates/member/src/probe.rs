//! Probes: who is asked to answer, and what follows from silence.
//!
//! A target that does not answer directly is asked again, directly and through a few other
//! members; one that stays silent is suspected. The suspicion is gossiped, so the target hears of
//! it and can refute. Each process that knows of the suspicion waits for the same time and then
//! holds the target dead.
//!
//! The ring is ordered by region first, so most ring probes stay in the region, and by a hash of
//! the name within it, so the successors of a member stand in several failure domains.

use std::net::SocketAddr;

use base::prelude::*;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use crate::decide::Action;
use crate::decide::Source;
use crate::decide::merge;
use crate::decide::send;
use crate::packet::Message;
use crate::packet::Seq;
use crate::record::MemberRecord;
use crate::record::Status;
use crate::settings::RING_NEIGHBOURS;
use crate::state::Probe;
use crate::state::ProbeStage;
use crate::state::Relay;
use crate::state::State;

/// Most probes that are made for others at once.
const MAX_RELAYS: usize = 64;

/// Probes the next target of this round, and one suspect.
pub(crate) fn begin_round(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    state.round += 1;
    let target =
        if state.round.is_multiple_of(2) { ring_target(state) } else { random_target(state) };
    if let Some(target) = target {
        probe(state, &target, now, out);
    }
    let suspect = state.suspects.keys().choose(&mut state.rng).cloned();
    if let Some(suspect) = suspect {
        probe(state, &suspect, now, out);
    }
}

/// Probes one member that is held dead: it may be back, or a partition healed.
pub(crate) fn probe_dead(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    let dead = state.peers.iter().filter(|(_, peer)| peer.status == Status::Dead);
    if let Some((name, _)) = dead.choose(&mut state.rng) {
        let name = name.clone();
        probe(state, &name, now, out);
    }
}

/// Moves unanswered probes on: to the indirect stage, then to suspicion.
pub(crate) fn check_probes(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    let direct = state.settings.probe_timeout();
    let whole = direct + state.settings.probe_period();
    let late: Vec<Seq> = state
        .probes
        .iter()
        .filter(|(_, probe)| match probe.stage {
            ProbeStage::Direct => now >= probe.sent_at + direct,
            ProbeStage::Indirect => now >= probe.sent_at + whole,
        })
        .map(|(seq, _)| *seq)
        .collect();
    for seq in late {
        let Some(probe) = state.probes.remove(&seq) else { continue };
        match probe.stage {
            ProbeStage::Direct => probe_indirectly(state, seq, probe, now, out),
            ProbeStage::Indirect => mark_suspect(state, &probe, now, out),
        }
    }
}

/// Holds every suspect dead whose time to refute is over.
pub(crate) fn check_suspects(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    let over = state.suspects.iter().filter(|(_, deadline)| now >= **deadline);
    let over: Vec<NodeId> = over.map(|(name, _)| name.clone()).collect();
    for name in over {
        state.suspects.remove(&name);
        if let Some(claim) = state.record(&name) {
            debug_assert_eq!(claim.status, Status::Suspect, "only suspects have a deadline");
            merge(state, &MemberRecord { status: Status::Dead, ..claim }, Source::Own, now, out);
        }
    }
}

/// Notes the answer of `target`, or passes it on to the member that asked for it.
pub(crate) fn on_ack(
    state: &mut State,
    seq: Seq,
    target: &NodeId,
    now: Mono,
    out: &mut Vec<Action>,
) {
    if state.probes.get(&seq).is_some_and(|probe| probe.target == *target) {
        state.probes.remove(&seq);
    }
    if state.relays.get(&seq).is_some_and(|relay| relay.target == *target)
        && let Some(relay) = state.relays.remove(&seq)
    {
        let message = Message::Ack { seq: relay.requester_seq, target: target.clone() };
        send(state, relay.requester, message, None, now, out);
    }
}

/// Probes `target` for the member at `from`.
pub(crate) fn relay(
    state: &mut State,
    from: SocketAddr,
    asked_seq: Seq,
    target: &NodeId,
    address: SocketAddr,
    now: Mono,
    out: &mut Vec<Action>,
) {
    if state.relays.len() >= MAX_RELAYS {
        return;
    }
    let seq = state.next_seq();
    let until = now + state.settings.probe_period() * 2;
    let relay = Relay { target: target.clone(), requester: from, requester_seq: asked_seq, until };
    state.relays.insert(seq, relay);
    let blame = record_to_refute(state, target);
    send(state, address, Message::Ping { seq, target: target.clone() }, blame, now, out);
}

fn probe(state: &mut State, name: &NodeId, now: Mono, out: &mut Vec<Action>) {
    let seq = state.next_seq();
    let Some(peer) = state.peers.get_mut(name) else { return };
    peer.probed_at = Some(now);
    let (life, to) = (peer.instance, peer.location.gossip);
    let probe =
        Probe { target: name.clone(), instance: life, sent_at: now, stage: ProbeStage::Direct };
    state.probes.insert(seq, probe);
    let blame = record_to_refute(state, name);
    send(state, to, Message::Ping { seq, target: name.clone() }, blame, now, out);
}

/// Returns what is known of `name` if it must refute it.
fn record_to_refute(state: &State, name: &NodeId) -> Option<MemberRecord> {
    state.record(name).filter(|claim| claim.status != Status::Alive)
}

fn probe_indirectly(
    state: &mut State,
    seq: Seq,
    mut probe: Probe,
    now: Mono,
    out: &mut Vec<Action>,
) {
    let Some(peer) = state.peers.get(&probe.target) else { return };
    let address = peer.location.gossip;
    let target = probe.target.clone();
    probe.stage = ProbeStage::Indirect;
    state.probes.insert(seq, probe);
    let blame = record_to_refute(state, &target);
    let ping = Message::Ping { seq, target: target.clone() };
    send(state, address, ping, blame.clone(), now, out);
    let count = state.settings.indirect_probes;
    for (_, to) in state.sample_live(count, &target) {
        let message = Message::PingRequest { seq, target: target.clone(), address };
        send(state, to, message, blame.clone(), now, out);
    }
}

fn mark_suspect(state: &mut State, probe: &Probe, now: Mono, out: &mut Vec<Action>) {
    let Some(claim) = state.record(&probe.target) else { return };
    if claim.status == Status::Alive && claim.instance == probe.instance {
        merge(state, &MemberRecord { status: Status::Suspect, ..claim }, Source::Own, now, out);
    }
}

/// Returns the ring successor that was probed longest ago.
fn ring_target(state: &State) -> Option<NodeId> {
    let mine =
        (&state.me.location.region, crate::state::ring_position(&state.me.name), &state.me.name);
    let live = state.peers.iter().filter(|(_, peer)| peer.status.is_live());
    let mut successors: Vec<_> = live
        .map(|(name, peer)| {
            let place = (&peer.location.region, peer.ring, name);
            (place < mine, place, peer.probed_at)
        })
        .collect();
    if successors.len() > RING_NEIGHBOURS {
        successors.select_nth_unstable(RING_NEIGHBOURS - 1);
        successors.truncate(RING_NEIGHBOURS);
    }
    let next = successors.into_iter().min_by_key(|(_, place, probed_at)| (*probed_at, *place));
    next.map(|(_, place, _)| place.2.clone())
}

/// Returns the next member of a random order of all; a new order is drawn when one is used up.
fn random_target(state: &mut State) -> Option<NodeId> {
    if state.probe_order.is_empty() {
        let live = state.peers.iter().filter(|(_, peer)| peer.status.is_live());
        state.probe_order = live.map(|(name, _)| name.clone()).collect();
        state.probe_order.shuffle(&mut state.rng);
    }
    while let Some(name) = state.probe_order.pop() {
        if state.peers.get(&name).is_some_and(|peer| peer.status.is_live()) {
            return Some(name);
        }
    }
    None
}
