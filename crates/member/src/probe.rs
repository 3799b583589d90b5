//! Failure detection: choice of probe targets, probe timeouts, and suspicion.
//!
//! A target that does not answer a direct ping in time is pinged again, directly and through a few
//! other members. If none of these pings is answered either, it is suspected. The suspicion is
//! disseminated, so the target receives it and can refute it. Each process that knows of the
//! suspicion waits for the suspicion timeout and then declares the target dead.
//!
//! Probes alternate between the successors on a ring and a random order of all live members. The
//! ring is ordered by region first, so most ring probes stay within the region, and by a hash of
//! the name within a region, so the successors of a member are in several failure domains.

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

/// Maximum number of open probes on behalf of other members.
const MAX_RELAYS: usize = 64;

/// Begins a probe round: probes the next target, and one random suspect. The ping carries the
/// suspicion, so a running suspect can refute it.
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

/// Probes one random dead member: it may be back, or a partition may have healed.
pub(crate) fn probe_dead(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    let dead = state.peers.iter().filter(|(_, peer)| peer.status == Status::Dead);
    if let Some((name, _)) = dead.choose(&mut state.rng) {
        let name = name.clone();
        probe(state, &name, now, out);
    }
}

/// Moves probes that timed out to the next stage: from direct to indirect, then to suspicion.
pub(crate) fn check_probes(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    let direct = state.settings.probe_timeout();
    let total = direct + state.settings.probe_period();
    let late: Vec<Seq> = state
        .probes
        .iter()
        .filter(|(_, probe)| match probe.stage {
            ProbeStage::Direct => now >= probe.sent_at + direct,
            ProbeStage::Indirect => now >= probe.sent_at + total,
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

/// Declares every suspect dead whose suspicion timeout has passed.
pub(crate) fn check_suspects(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    let expired = state.suspects.iter().filter(|(_, deadline)| now >= **deadline);
    let expired: Vec<NodeId> = expired.map(|(name, _)| name.clone()).collect();
    for name in expired {
        state.suspects.remove(&name);
        if let Some(record) = state.record(&name) {
            debug_assert_eq!(record.status, Status::Suspect, "only suspects have a deadline");
            merge(state, &MemberRecord { status: Status::Dead, ..record }, Source::Own, now, out);
        }
    }
}

/// Closes the probe that `target` answered, or forwards the answer to the member that requested
/// the probe.
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

/// Probes `target` at `address` on behalf of the member at `from`.
pub(crate) fn relay(
    state: &mut State,
    from: SocketAddr,
    requester_seq: Seq,
    target: &NodeId,
    address: SocketAddr,
    now: Mono,
    out: &mut Vec<Action>,
) {
    if state.relays.len() >= MAX_RELAYS {
        return;
    }
    let seq = state.next_seq();
    let expires_at = now + state.settings.probe_period() * 2;
    let relay = Relay { target: target.clone(), requester: from, requester_seq, expires_at };
    state.relays.insert(seq, relay);
    let first = record_to_refute(state, target);
    send(state, address, Message::Ping { seq, target: target.clone() }, first, now, out);
}

fn probe(state: &mut State, name: &NodeId, now: Mono, out: &mut Vec<Action>) {
    let seq = state.next_seq();
    let Some(peer) = state.peers.get_mut(name) else { return };
    peer.probed_at = Some(now);
    let (instance, to) = (peer.instance, peer.location.gossip);
    let probe = Probe { target: name.clone(), instance, sent_at: now, stage: ProbeStage::Direct };
    state.probes.insert(seq, probe);
    let first = record_to_refute(state, name);
    send(state, to, Message::Ping { seq, target: name.clone() }, first, now, out);
}

/// Returns the record of `name` if it is not alive, so that `name` can refute it.
fn record_to_refute(state: &State, name: &NodeId) -> Option<MemberRecord> {
    state.record(name).filter(|record| record.status != Status::Alive)
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
    let first = record_to_refute(state, &target);
    let ping = Message::Ping { seq, target: target.clone() };
    send(state, address, ping, first.clone(), now, out);
    let count = state.settings.indirect_probes;
    for (_, to) in state.sample_live(count, &target) {
        let message = Message::PingRequest { seq, target: target.clone(), address };
        send(state, to, message, first.clone(), now, out);
    }
}

fn mark_suspect(state: &mut State, probe: &Probe, now: Mono, out: &mut Vec<Action>) {
    let Some(record) = state.record(&probe.target) else { return };
    if record.status == Status::Alive && record.instance == probe.instance {
        merge(state, &MemberRecord { status: Status::Suspect, ..record }, Source::Own, now, out);
    }
}

/// Returns the ring successor that was probed least recently.
fn ring_target(state: &State) -> Option<NodeId> {
    let mine =
        (&state.me.location.region, crate::state::ring_position(&state.me.name), &state.me.name);
    let live = state.peers.iter().filter(|(_, peer)| peer.status.is_live());
    let mut successors: Vec<_> = live
        .map(|(name, peer)| {
            let position = (&peer.location.region, peer.ring, name);
            (position < mine, position, peer.probed_at)
        })
        .collect();
    if successors.len() > RING_NEIGHBOURS {
        successors.select_nth_unstable(RING_NEIGHBOURS - 1);
        successors.truncate(RING_NEIGHBOURS);
    }
    let next =
        successors.into_iter().min_by_key(|(_, position, probed_at)| (*probed_at, *position));
    next.map(|(_, position, _)| position.2.clone())
}

/// Returns the next live member of the random probe order. A new order is drawn when the last one
/// is used up.
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
