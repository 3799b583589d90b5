//! Replay of recorded traces against the gossip protocol of one process.
//!
//! The replay sends ticks to the process under test between the lines of the trace. Other processes
//! are not simulated: the trace states which packets they send and whether they answer probes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;
use base::trace::Step;
use base::trace::StepKind;
use base::trace::Trace;
use serde::Deserialize;

use crate::decide::Action;
use crate::decide::Event;
use crate::decide::decide;
use crate::fact::Fact;
use crate::fact::FactKey;
use crate::packet::Message;
use crate::packet::Packet;
use crate::packet::Update;
use crate::record::Identity;
use crate::record::Instance;
use crate::record::Location;
use crate::record::MemberRecord;
use crate::record::Status;
use crate::settings::Settings;
use crate::settings::TICK;
use crate::state::State;

const SEED: u64 = 1;
const GOSSIP_PORT: u16 = 7946;

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum TraceEvent {
    /// The process under test starts.
    Start { name: NodeId, boot: BootId, incarnation: u64 },
    /// Another process sends a packet.
    #[serde(rename = "hear")]
    Receive {
        from: NodeId,
        boot: BootId,
        incarnation: u64,
        #[serde(default, rename = "says")]
        records: Vec<TraceRecord>,
        #[serde(default)]
        facts: Vec<TraceFact>,
    },
    /// From now on, exactly these processes answer probes.
    Answering(BTreeSet<NodeId>),
    /// The process under test is paused: it gets no ticks until this time.
    PauseUntilMs(u64),
    /// The process under test publishes a fact.
    #[serde(rename = "tell")]
    Publish(TraceFact),
    /// The process under test begins to leave.
    Leave {},
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TraceRecord {
    name: NodeId,
    boot: BootId,
    incarnation: u64,
    status: Status,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TraceFact {
    key: FactKey,
    version: u64,
    lifetime_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Expectation {
    /// The status of another process, and the boot id of its instance if given; a `null` status
    /// means that the process is unknown.
    Member { name: NodeId, status: Option<Status>, boot: Option<BootId> },
    /// The incarnation of the process under test.
    Incarnation(u64),
    /// The version of a fact; `null` means that it is unknown.
    Fact { key: FactKey, version: Option<u64> },
    /// How many times the process detected that it was paused.
    Pauses(usize),
    /// How many times another instance with its name was reported.
    #[serde(rename = "clashes")]
    NameConflicts(usize),
}

struct Replay {
    state: State,
    now: Mono,
    paused_until: Mono,
    answering: BTreeSet<NodeId>,
    instances: BTreeMap<NodeId, Instance>,
    addresses: BTreeMap<NodeId, SocketAddr>,
    log: Vec<Action>,
}

/// Replays `trace`.
///
/// # Errors
///
/// A finding with its line for each malformed line and each unmet expectation.
pub fn replay(trace: &Trace) -> Result<(), Findings> {
    let mut findings = Findings::default();
    let mut replay: Option<Replay> = None;
    for step in &trace.steps {
        if let Some(replay) = &mut replay {
            replay.run_until(step.at);
        }
        match step.kind {
            StepKind::Event => apply_event(&mut replay, step, &mut findings),
            StepKind::Expect => expect(replay.as_ref(), step, &mut findings),
        }
    }
    findings.into_result(())
}

fn apply_event(replay: &mut Option<Replay>, step: &Step, findings: &mut Findings) {
    let Some(event) = step.read::<TraceEvent>(findings) else { return };
    match (event, replay) {
        (TraceEvent::Start { name, boot, incarnation }, replay) => {
            *replay = Some(Replay::new(name, boot, incarnation, step.at));
        }
        (_, None) => findings.add(step.place(), "is before the `start` event"),
        (TraceEvent::Receive { from, boot, incarnation, records, facts }, Some(replay)) => {
            replay.receive_gossip(from, Instance { incarnation, boot }, records, facts);
        }
        (TraceEvent::Answering(names), Some(replay)) => replay.answering = names,
        (TraceEvent::PauseUntilMs(until), Some(replay)) => {
            replay.paused_until = Duration::from_millis(until);
        }
        (TraceEvent::Publish(fact), Some(replay)) => {
            let owner = replay.state.me().name.clone();
            replay.feed(Event::Publish(fact.into_fact(owner)));
        }
        (TraceEvent::Leave {}, Some(replay)) => replay.feed(Event::Leave),
    }
}

fn expect(replay: Option<&Replay>, step: &Step, findings: &mut Findings) {
    let Some(expectation) = step.read::<Expectation>(findings) else { return };
    let Some(replay) = replay else {
        findings.add(step.place(), "is before the `start` event");
        return;
    };
    let path = step.place();
    match expectation {
        Expectation::Member { name, status, boot } => {
            let peer = replay.state.peer(&name);
            let actual = peer.map(|peer| peer.status);
            findings.check(actual == status, &path, || {
                format!("`{name}` has status {actual:?}, expected {status:?}")
            });
            let actual = peer.map(|peer| peer.instance.boot);
            findings.check(boot.is_none() || actual == boot, &path, || {
                format!("`{name}` has boot id {actual:?}, expected {boot:?}")
            });
        }
        Expectation::Incarnation(expected) => {
            let actual = replay.state.me().incarnation;
            findings.check(actual == expected, &path, || {
                format!("incarnation is {actual}, expected {expected}")
            });
        }
        Expectation::Fact { key, version } => {
            let actual = replay.state.fact(&key).map(|fact| fact.version);
            findings.check(actual == version, &path, || {
                format!("{key:?} has version {actual:?}, expected {version:?}")
            });
        }
        Expectation::Pauses(expected) => {
            let actual = replay.count(|action| matches!(action, Action::Paused { .. }));
            findings.check(actual == expected, &path, || {
                format!("{actual} pauses were detected, expected {expected}")
            });
        }
        Expectation::NameConflicts(expected) => {
            let actual = replay.count(|action| matches!(action, Action::NameConflict { .. }));
            findings.check(actual == expected, &path, || {
                format!("{actual} name conflicts were reported, expected {expected}")
            });
        }
    }
}

impl TraceFact {
    fn into_fact(self, owner: NodeId) -> Fact {
        let lifetime = Duration::from_millis(self.lifetime_ms);
        Fact { key: self.key, owner, version: self.version, lifetime, body: Box::default() }
    }
}

impl Replay {
    fn new(name: NodeId, boot: BootId, incarnation: u64, now: Mono) -> Self {
        let mut addresses = BTreeMap::new();
        let location = location_of(&mut addresses, &name);
        let me = Identity { name, boot, incarnation, location };
        Replay {
            state: State::new(Settings::default(), me, Vec::new(), SEED),
            now,
            paused_until: Duration::ZERO,
            answering: BTreeSet::new(),
            instances: BTreeMap::new(),
            addresses,
            log: Vec::new(),
        }
    }

    fn run_until(&mut self, at: Mono) {
        while self.now + TICK <= at {
            self.now += TICK;
            if self.now >= self.paused_until {
                self.feed(Event::Tick);
            }
        }
    }

    fn feed(&mut self, event: Event) {
        for action in decide(&mut self.state, event, self.now) {
            if let Action::Send { packet, .. } = &action {
                self.answer(packet);
            }
            self.log.push(action);
        }
    }

    /// Answers a ping on behalf of its target, if the trace says that the target answers.
    fn answer(&mut self, packet: &Packet) {
        let Message::Ping { seq, target } = &packet.message else { return };
        if self.answering.contains(target)
            && let Some(instance) = self.instances.get(target).copied()
        {
            let message = Message::Ack { seq: *seq, target: target.clone() };
            self.receive(target.clone(), instance, message, Vec::new());
        }
    }

    fn receive_gossip(
        &mut self,
        from: NodeId,
        instance: Instance,
        records: Vec<TraceRecord>,
        facts: Vec<TraceFact>,
    ) {
        self.instances.insert(from.clone(), instance);
        let mut updates = Vec::new();
        for record in records {
            let location = Some(location_of(&mut self.addresses, &record.name));
            let instance = Instance { incarnation: record.incarnation, boot: record.boot };
            let record =
                MemberRecord { name: record.name, instance, status: record.status, location };
            updates.push(Update::Member(record));
        }
        updates.extend(facts.into_iter().map(|fact| Update::Fact(fact.into_fact(from.clone()))));
        self.receive(from, instance, Message::Gossip, updates);
    }

    fn receive(
        &mut self,
        from: NodeId,
        instance: Instance,
        message: Message,
        updates: Vec<Update>,
    ) {
        let location = location_of(&mut self.addresses, &from);
        let address = location.gossip;
        let sender =
            MemberRecord { name: from, instance, status: Status::Alive, location: Some(location) };
        let packet = Box::new(Packet { sender, revision: 0, message, updates });
        self.feed(Event::Received { from: address, packet });
    }

    fn count(&self, is: impl Fn(&Action) -> bool) -> usize {
        self.log.iter().filter(|action| is(action)).count()
    }
}

fn location_of(addresses: &mut BTreeMap<NodeId, SocketAddr>, name: &NodeId) -> Location {
    let next = u8::try_from(addresses.len() % 250).unwrap_or_default();
    let address =
        *addresses.entry(name.clone()).or_insert(SocketAddr::from(([10, 0, 0, next], GOSSIP_PORT)));
    Location { region: "r".into(), failure_domain: "d".into(), gossip: address, peer: address }
}
