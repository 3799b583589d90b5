//! The gossip: what a process does on each event.
//!
//! The algorithm is SWIM with refutation by incarnation numbers, and these additions:
//!
//! - Every second probe goes to a successor on a ring, which bounds the time until a dead member
//!   is probed; the others go round all members in random order (module `probe`).
//! - Urgent facts are passed on within a tick, to a few random members, by each process that first
//!   learns them. Their rate is limited by a credit.
//! - Digests are exchanged with random members, so states converge even if every update of some
//!   change was lost (module `anti_entropy`).
//! - Dead members are remembered and probed now and then, so a healed partition is noticed. A
//!   process that hears that it is held dead refutes with a higher incarnation.
//! - A process that finds a long gap between two ticks was paused itself. It gives every open
//!   probe and suspicion the missed time instead of blaming the others.
//!
//! Invariants: claims and facts only ever rise in their order; this process never holds itself
//! anything but alive, until it leaves; nothing here reads a clock or draws from outside the state.

use std::net::SocketAddr;

use base::prelude::*;

use crate::anti_entropy;
use crate::fact::Fact;
use crate::facts;
use crate::packet::Message;
use crate::packet::Packet;
use crate::packet::Update;
use crate::probe;
use crate::queue::Subject;
use crate::record::MemberRecord;
use crate::record::Status;
use crate::state::MAX_PEERS;
use crate::state::Peer;
use crate::state::State;
use crate::state::ring_position;

/// Rounds of rumours that may be sent at once after a quiet time.
const PUSH_BURST_ROUNDS: u32 = 10;
/// Members that are told at once that this process leaves.
const LEAVE_FANOUT: usize = 8;

/// Something that happened to the process.
#[data]
pub enum Event {
    /// Time has passed; comes every [`crate::settings::TICK`].
    Tick,
    /// An authentic packet was received.
    Received {
        /// The address that it came from.
        from: SocketAddr,
        /// The packet.
        packet: Box<Packet>,
    },
    /// This process says a fact.
    Publish(Fact),
    /// A revision came into force in this process.
    InForce(Revision),
    /// The seeds changed.
    Seeds(Vec<SocketAddr>),
    /// This process begins to leave.
    Leave,
}

/// What the shell must do.
#[data]
pub enum Action {
    /// Send a packet.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The packet.
        packet: Box<Packet>,
    },
    /// A process is now held to be something else, or has a new life.
    Member {
        /// What it is held to be.
        record: MemberRecord,
    },
    /// A fact became known; it is checked and newer than what was known.
    FactUpdated(Fact),
    /// This process was paused.
    Paused {
        /// Time between the two ticks.
        gap: Duration,
    },
    /// Another life with the name of this process is held to be live: an earlier life that was
    /// not yet found dead, or a second process with the same name.
    NameConflict {
        /// The other life.
        boot: BootId,
    },
}

/// Decides what to do on `event` at `now`.
pub fn decide(state: &mut State, event: Event, now: Mono) -> Vec<Action> {
    let mut out = Vec::new();
    match event {
        Event::Tick => tick(state, now, &mut out),
        Event::Received { from, packet } => receive(state, from, &packet, now, &mut out),
        Event::Publish(fact) => facts::publish(state, fact, now, &mut out),
        Event::InForce(revision) => in_force(state, revision),
        Event::Seeds(seeds) => state.seeds = seeds,
        Event::Leave => leave(state, now, &mut out),
    }
    debug_assert_eq!(
        state.live,
        state.peers.values().filter(|peer| peer.status.is_live()).count(),
        "the number of live peers is kept",
    );
    out
}

fn tick(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    let gap = now.saturating_sub(state.last_tick);
    if gap > state.settings.pause_threshold() {
        resume_after_pause(state, gap, now, out);
    }
    state.last_tick = now;
    if state.status == Status::Left {
        return;
    }
    probe::check_probes(state, now, out);
    probe::check_suspects(state, now, out);
    if now >= state.timers.sweep {
        sweep(state, now);
    }
    if now >= state.timers.probe {
        state.timers.probe = next_due(state.timers.probe, state.settings.probe_period(), now);
        probe::begin_round(state, now, out);
    }
    if now >= state.timers.dead_probe {
        state.timers.dead_probe = now + state.settings.dead_probe_period();
        probe::probe_dead(state, now, out);
    }
    if now >= state.timers.exchange {
        anti_entropy::begin(state, now, out);
    }
    push_urgent_updates(state, now, out);
}

/// Notes the revision in force and passes it on at once: each packet names it.
fn in_force(state: &mut State, revision: Revision) {
    state.has_urgent_update |= revision > state.revision;
    state.revision = state.revision.max(revision);
}

/// Returns the time of the next round; missed rounds are dropped.
fn next_due(due: Mono, period: Duration, now: Mono) -> Mono {
    if due + period > now { due + period } else { now + period }
}

/// Makes up for a pause of this process: nobody is blamed for the answers that it missed.
fn resume_after_pause(state: &mut State, gap: Duration, now: Mono, out: &mut Vec<Action>) {
    out.push(Action::Paused { gap });
    state.probes.clear();
    state.relays.clear();
    for deadline in state.suspects.values_mut() {
        *deadline += gap;
    }
    state.timers.exchange = now;
    state.timers.dead_probe = now;
}

/// Forgets what is over: dead members after their time, facts after their lifetime.
fn sweep(state: &mut State, now: Mono) {
    state.timers.sweep = now + state.settings.probe_period();
    state.push_credit = (state.push_credit + 2).min(PUSH_BURST_ROUNDS);
    let forget_after = state.settings.forget_after();
    state.peers.retain(|_, peer| peer.status.is_live() || now < peer.since + forget_after);
    state.facts.retain(|_, held| held.at(now).is_some());
    state.relays.retain(|_, relay| now < relay.until);
}

/// Passes urgent updates on at once instead of with the next probes.
fn push_urgent_updates(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    if !state.has_urgent_update || state.push_credit == 0 {
        return;
    }
    state.has_urgent_update = false;
    state.push_credit -= 1;
    let fanout = state.settings.fanout;
    for (_, to) in state.sample_live(fanout, "") {
        send(state, to, Message::Gossip, None, now, out);
    }
}

fn leave(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    state.status = Status::Left;
    for (_, to) in state.sample_live(LEAVE_FANOUT, "") {
        send(state, to, Message::Gossip, None, now, out);
    }
}

fn receive(state: &mut State, from: SocketAddr, packet: &Packet, now: Mono, out: &mut Vec<Action>) {
    let sender = &packet.sender;
    merge(state, sender, Source::Direct, now, out);
    if sender.name == state.me.name {
        return;
    }
    note_revision(state, packet);
    let source = match packet.message {
        Message::Entries { .. } => Source::Exchange,
        _ => Source::Gossip,
    };
    for update in &packet.updates {
        match update {
            Update::Member(claim) => merge(state, claim, source, now, out),
            Update::Fact(fact) => {
                facts::remind_owner(state, sender, fact);
                facts::receive(state, fact.clone(), now, out);
            }
        }
    }
    let correction = correction(state, sender);
    match &packet.message {
        Message::Ping { seq, target } if *target == state.me.name => {
            let message = Message::Ack { seq: *seq, target: target.clone() };
            send(state, from, message, correction, now, out);
        }
        // Another process had this address before.
        Message::Ping { .. } => {}
        Message::Ack { seq, target } => probe::on_ack(state, *seq, target, now, out),
        Message::PingRequest { seq, target, address } => {
            probe::relay(state, from, *seq, target, *address, now, out);
        }
        Message::Compare { digest } => {
            anti_entropy::compare(state, from, digest, now, out);
            correct(state, from, correction, now, out);
        }
        Message::Entries { salt, whole, reply } => {
            anti_entropy::follow_up(state, now);
            if *reply {
                anti_entropy::reply(state, from, *salt, *whole, &packet.updates, now, out);
            }
        }
        Message::Gossip => correct(state, from, correction, now, out),
    }
}

fn note_revision(state: &mut State, packet: &Packet) {
    if let Some(peer) = state.peers.get_mut(&packet.sender.name)
        && peer.instance.boot == packet.sender.instance.boot
    {
        peer.revision = peer.revision.max(packet.revision);
    }
}

/// Returns what `sender` must hear about itself: a claim above its own that is not alive.
fn correction(state: &State, sender: &MemberRecord) -> Option<MemberRecord> {
    let known = state.record(&sender.name)?;
    let is_behind = known.rank() > sender.rank() && sender.status == Status::Alive;
    let blames = known.status != Status::Alive || known.instance.boot != sender.instance.boot;
    (is_behind && blames).then_some(known)
}

fn correct(
    state: &mut State,
    to: SocketAddr,
    correction: Option<MemberRecord>,
    now: Mono,
    out: &mut Vec<Action>,
) {
    if correction.is_some() {
        send(state, to, Message::Gossip, correction, now, out);
    }
}

/// Where a claim came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// From the process that it is about.
    Direct,
    /// From a third process, with a packet.
    Gossip,
    /// From an exchange of digests.
    Exchange,
    /// From this process's own probes.
    Own,
}

/// Takes over `claim` if it is above what is known.
pub(crate) fn merge(
    state: &mut State,
    claim: &MemberRecord,
    source: Source,
    now: Mono,
    out: &mut Vec<Action>,
) {
    if claim.name == state.me.name {
        return refute(state, claim, out);
    }
    match state.peers.get(&claim.name) {
        None => add(state, claim, source, now, out),
        Some(peer) if claim.rank() > peer.rank() => replace(state, claim, now, out),
        Some(peer) if claim.rank() == peer.rank() && source == Source::Gossip => {
            let limit = state.settings.transmit_limit(state.members());
            state.queue.note_duplicate(&Subject::Member(claim.name.clone()), limit);
        }
        Some(_) => {}
    }
}

fn add(state: &mut State, claim: &MemberRecord, source: Source, now: Mono, out: &mut Vec<Action>) {
    let Some(place) = claim.location.clone() else { return };
    if !claim.status.is_live() || state.peers.len() >= MAX_PEERS {
        return;
    }
    let peer = Peer {
        instance: claim.instance,
        status: claim.status,
        location: place,
        since: now,
        revision: 0,
        probed_at: None,
        ring: ring_position(&claim.name),
    };
    state.peers.insert(claim.name.clone(), peer);
    state.live += 1;
    // What an exchange brings is known to others already.
    if source != Source::Exchange {
        state.queue.push(Subject::Member(claim.name.clone()));
    }
    note_suspicion(state, claim, now);
    out.push(Action::Member { record: claim.clone() });
}

fn replace(state: &mut State, claim: &MemberRecord, now: Mono, out: &mut Vec<Action>) {
    let Some(peer) = state.peers.get_mut(&claim.name) else { return };
    let is_new_life = claim.instance.boot != peer.instance.boot;
    if is_new_life && claim.location.is_none() && claim.status.is_live() {
        // The new life may stand elsewhere; its own packets and exchanges bring its place.
        return;
    }
    let has_changed = is_new_life || claim.status != peer.status;
    state.live += usize::from(claim.status.is_live());
    state.live -= usize::from(peer.status.is_live());
    if claim.status != peer.status {
        peer.since = now;
    }
    if is_new_life {
        peer.revision = 0;
        peer.probed_at = None;
    }
    if let Some(place) = &claim.location {
        peer.location = place.clone();
    }
    peer.instance = claim.instance;
    peer.status = claim.status;
    state.queue.push(Subject::Member(claim.name.clone()));
    note_suspicion(state, claim, now);
    if has_changed {
        out.push(Action::Member { record: claim.clone() });
    }
}

fn note_suspicion(state: &mut State, claim: &MemberRecord, now: Mono) {
    if claim.status == Status::Suspect {
        let deadline = now + state.settings.suspicion_timeout(state.members());
        state.suspects.insert(claim.name.clone(), deadline);
    } else {
        state.suspects.remove(&claim.name);
    }
}

/// Refutes a claim about this process, by an incarnation above it.
fn refute(state: &mut State, claim: &MemberRecord, out: &mut Vec<Action>) {
    if state.status == Status::Left || claim.rank() <= (state.instance(), state.status) {
        return;
    }
    if claim.instance.boot != state.me.boot && claim.status.is_live() {
        out.push(Action::NameConflict { boot: claim.instance.boot });
    }
    state.me.incarnation = claim.instance.incarnation + 1;
    state.has_urgent_update = true;
}

pub(crate) fn send(
    state: &mut State,
    to: SocketAddr,
    message: Message,
    first: Option<MemberRecord>,
    now: Mono,
    out: &mut Vec<Action>,
) {
    let packet = Box::new(state.packet(message, first, now));
    out.push(Action::Send { to, packet });
}
