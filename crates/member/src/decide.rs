//! The gossip protocol as a state machine: how a process reacts to each event.
//!
//! The protocol is SWIM: failure detection by direct and indirect probes, a suspicion that its
//! target can refute with a higher incarnation number, and updates piggybacked on the probes. It is
//! extended as follows:
//!
//! - Every second probe goes to a successor on a ring of all live members, which bounds the time
//!   until a dead member is probed. The other probes visit all members in random order (module
//!   `probe`).
//! - A process that learns of an urgent update pushes it within a tick to a few random members,
//!   without waiting for the next probe. A credit limits the rate of these pushes.
//! - Anti-entropy: random pairs of members compare digests and exchange what differs, so states
//!   converge even if every packet with some update was lost (module `anti_entropy`).
//! - Dead members stay in the member table for a time and are probed occasionally, so that a healed
//!   partition is detected. A process that receives a record that declares it dead refutes it.
//! - A process that observes a long gap between two ticks was paused itself. It drops its open
//!   probes and extends the deadlines of all suspicions by the gap, since missing answers say
//!   nothing about the other members.
//!
//! Invariants:
//!
//! - Membership records and facts are only replaced by greater ones in their total orders.
//! - This process considers itself alive until it leaves.
//! - The code reads no clock and draws random numbers only from the generator in the state.

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

/// Eager pushes that may be sent in a burst after a time without any.
const PUSH_BURST_ROUNDS: u32 = 10;
/// Members to which a process that leaves sends its last record.
const LEAVE_FANOUT: usize = 8;

/// An input of the state machine.
#[data]
pub enum Event {
    /// Time has passed. Sent every [`crate::settings::TICK`].
    Tick,
    /// A packet was received and authenticated.
    Received {
        /// Source address of the datagram.
        from: SocketAddr,
        /// The packet.
        packet: Box<Packet>,
    },
    /// This process publishes a fact.
    Publish(Fact),
    /// A configuration revision came into force in this process.
    InForce(Revision),
    /// The seed addresses were replaced.
    Seeds(Vec<SocketAddr>),
    /// This process leaves the membership.
    Leave,
}

/// An output of the state machine, to be carried out by the caller.
#[data]
pub enum Action {
    /// Send a packet.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The packet.
        packet: Box<Packet>,
    },
    /// The status or the instance of another process changed.
    Member {
        /// Its new record.
        record: MemberRecord,
    },
    /// A fact was added or replaced. It is within the bounds and supersedes the stored one.
    FactUpdated(Fact),
    /// This process was paused: the gap between two ticks exceeded
    /// [`Settings::pause_threshold`](crate::settings::Settings::pause_threshold).
    Paused {
        /// Time between the two ticks.
        gap: Duration,
    },
    /// Another instance with the name of this process is considered live: an earlier instance that
    /// was not yet declared dead, or a second process that was given the same name.
    NameConflict {
        /// Boot id of the other instance.
        boot: BootId,
    },
}

/// Applies `event` at `now` and returns the actions to carry out, in order.
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
        "the counter of live peers is out of date",
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

/// Records the revision in force and schedules an eager push: each packet carries it.
fn in_force(state: &mut State, revision: Revision) {
    state.has_urgent_update |= revision > state.revision;
    state.revision = state.revision.max(revision);
}

/// Returns the time of the next round. Missed rounds are skipped.
fn next_due(due: Mono, period: Duration, now: Mono) -> Mono {
    if due + period > now { due + period } else { now + period }
}

/// Compensates for a pause of this process, so that no member is suspected or declared dead for
/// answers that this process could not receive.
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

/// Removes expired entries (dead and left members, facts, relayed probes) and refills the credit
/// for eager pushes.
fn sweep(state: &mut State, now: Mono) {
    state.timers.sweep = now + state.settings.probe_period();
    state.push_credit = (state.push_credit + 2).min(PUSH_BURST_ROUNDS);
    let forget_after = state.settings.forget_after();
    state.peers.retain(|_, peer| peer.status.is_live() || now < peer.since + forget_after);
    state.facts.retain(|_, stored| stored.at(now).is_some());
    state.relays.retain(|_, relay| now < relay.expires_at);
}

/// Pushes urgent updates to random members, without waiting for the next probe.
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
            Update::Member(record) => merge(state, record, source, now, out),
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
        // The ping is meant for another process, which had this address before.
        Message::Ping { .. } => {}
        Message::Ack { seq, target } => probe::on_ack(state, *seq, target, now, out),
        Message::PingRequest { seq, target, address } => {
            probe::relay(state, from, *seq, target, *address, now, out);
        }
        Message::Compare { digest } => {
            anti_entropy::compare(state, from, digest, now, out);
            correct(state, from, correction, now, out);
        }
        Message::Entries { salt, complete, reply } => {
            anti_entropy::follow_up(state, now);
            if *reply {
                anti_entropy::reply(state, from, *salt, *complete, &packet.updates, now, out);
            }
        }
        Message::Gossip => correct(state, from, correction, now, out),
    }
}

/// Records the revision in force at the sender, if the packet is from the known instance.
fn note_revision(state: &mut State, packet: &Packet) {
    if let Some(peer) = state.peers.get_mut(&packet.sender.name)
        && peer.instance.boot == packet.sender.instance.boot
    {
        peer.revision = peer.revision.max(packet.revision);
    }
}

/// Returns the record that `sender` must refute: one that supersedes its own and either is not
/// alive or belongs to another instance.
fn correction(state: &State, sender: &MemberRecord) -> Option<MemberRecord> {
    let known = state.record(&sender.name)?;
    let is_behind = known.rank() > sender.rank() && sender.status == Status::Alive;
    let needs_refutation =
        known.status != Status::Alive || known.instance.boot != sender.instance.boot;
    (is_behind && needs_refutation).then_some(known)
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

/// Origin of a membership record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// Sent by the process that it is about.
    Direct,
    /// Piggybacked by a third process.
    Gossip,
    /// Received in an anti-entropy exchange.
    Exchange,
    /// Result of this process's own probes.
    Own,
}

/// Merges `record` into the member table: it is added, or replaces a smaller one.
pub(crate) fn merge(
    state: &mut State,
    record: &MemberRecord,
    source: Source,
    now: Mono,
    out: &mut Vec<Action>,
) {
    if record.name == state.me.name {
        return refute(state, record, out);
    }
    match state.peers.get(&record.name) {
        None => add(state, record, source, now, out),
        Some(peer) if record.rank() > peer.rank() => replace(state, record, now, out),
        Some(peer) if record.rank() == peer.rank() && source == Source::Gossip => {
            let limit = state.settings.transmit_limit(state.members());
            state.queue.note_duplicate(&Subject::Member(record.name.clone()), limit);
        }
        Some(_) => {}
    }
}

fn add(state: &mut State, record: &MemberRecord, source: Source, now: Mono, out: &mut Vec<Action>) {
    let Some(location) = record.location.clone() else { return };
    if !record.status.is_live() || state.peers.len() >= MAX_PEERS {
        return;
    }
    let peer = Peer {
        instance: record.instance,
        status: record.status,
        location,
        since: now,
        revision: 0,
        probed_at: None,
        ring: ring_position(&record.name),
    };
    state.peers.insert(record.name.clone(), peer);
    state.live += 1;
    // A record received in an anti-entropy exchange is already known to others.
    if source != Source::Exchange {
        state.queue.push(Subject::Member(record.name.clone()));
    }
    note_suspicion(state, record, now);
    out.push(Action::Member { record: record.clone() });
}

fn replace(state: &mut State, record: &MemberRecord, now: Mono, out: &mut Vec<Action>) {
    let Some(peer) = state.peers.get_mut(&record.name) else { return };
    let is_new_instance = record.instance.boot != peer.instance.boot;
    if is_new_instance && record.location.is_none() && record.status.is_live() {
        // The new instance may have another location, and only its own packets and anti-entropy
        // exchanges carry it.
        return;
    }
    let has_changed = is_new_instance || record.status != peer.status;
    state.live += usize::from(record.status.is_live());
    state.live -= usize::from(peer.status.is_live());
    if record.status != peer.status {
        peer.since = now;
    }
    if is_new_instance {
        peer.revision = 0;
        peer.probed_at = None;
    }
    if let Some(location) = &record.location {
        peer.location = location.clone();
    }
    peer.instance = record.instance;
    peer.status = record.status;
    state.queue.push(Subject::Member(record.name.clone()));
    note_suspicion(state, record, now);
    if has_changed {
        out.push(Action::Member { record: record.clone() });
    }
}

fn note_suspicion(state: &mut State, record: &MemberRecord, now: Mono) {
    if record.status == Status::Suspect {
        let deadline = now + state.settings.suspicion_timeout(state.members());
        state.suspects.insert(record.name.clone(), deadline);
    } else {
        state.suspects.remove(&record.name);
    }
}

/// Refutes a record about this process that supersedes its own, by raising the incarnation above
/// it.
fn refute(state: &mut State, record: &MemberRecord, out: &mut Vec<Action>) {
    if state.status == Status::Left || record.rank() <= (state.instance(), state.status) {
        return;
    }
    if record.instance.boot != state.me.boot && record.status.is_live() {
        out.push(Action::NameConflict { boot: record.instance.boot });
    }
    state.me.incarnation = record.instance.incarnation + 1;
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
