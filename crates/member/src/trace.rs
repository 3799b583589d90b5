//! Replay of recorded traces through the gossip of one process.
//!
//! The process under test ticks on its own between the lines. The others are only what the trace
//! says of them: what they say, and whether they answer probes.

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
    Hear {
        from: NodeId,
        boot: BootId,
        incarnation: u64,
        #[serde(default)]
        says: Vec<TraceRecord>,
        #[serde(default)]
        facts: Vec<TraceFact>,
    },
    /// From now on these processes answer probes.
    Answering(BTreeSet<NodeId>),
    /// The process under test is paused: no ticks until then.
    PauseUntilMs(u64),
    /// The process under test says a fact.
    Tell(TraceFact),
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
    /// What a process is held to be, at which life; `null` if it is unknown.
    Member { name: NodeId, status: Option<Status>, boot: Option<BootId> },
    /// The incarnation of the process under test.
    Incarnation(u64),
    /// The version of a fact; `null` if it is unknown.
    Fact { key: FactKey, version: Option<u64> },
    /// How often the process noticed that it was paused.
    Pauses(usize),
    /// How often another life with its name was reported.
    Clashes(usize),
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

/// Replays `trace`; every expectation that does not hold is a finding with its line.
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
    let Some(happening) = step.read::<TraceEvent>(findings) else { return };
    match (happening, replay) {
        (TraceEvent::Start { name, boot, incarnation }, replay) => {
            *replay = Some(Replay::new(name, boot, incarnation, step.at));
        }
        (_, None) => findings.add(step.place(), "stands before `start`"),
        (TraceEvent::Hear { from, boot, incarnation, says, facts }, Some(replay)) => {
            replay.hear(from, Instance { incarnation, boot }, says, facts);
        }
        (TraceEvent::Answering(names), Some(replay)) => replay.answering = names,
        (TraceEvent::PauseUntilMs(until), Some(replay)) => {
            replay.paused_until = Duration::from_millis(until);
        }
        (TraceEvent::Tell(told), Some(replay)) => {
            let owner = replay.state.me().name.clone();
            replay.feed(Event::Publish(told.into_fact(owner)));
        }
        (TraceEvent::Leave {}, Some(replay)) => replay.feed(Event::Leave),
    }
}

fn expect(replay: Option<&Replay>, step: &Step, findings: &mut Findings) {
    let Some(outcome) = step.read::<Expectation>(findings) else { return };
    let Some(replay) = replay else {
        findings.add(step.place(), "stands before `start`");
        return;
    };
    let place = step.place();
    match outcome {
        Expectation::Member { name, status, boot } => {
            let peer = replay.state.peer(&name);
            let is = peer.map(|peer| peer.status);
            findings.check(is == status, &place, || {
                format!("`{name}` is held {is:?} and not {status:?}")
            });
            let is = peer.map(|peer| peer.instance.boot);
            findings.check(boot.is_none() || is == boot, &place, || {
                format!("`{name}` is known by boot {is:?} and not {boot:?}")
            });
        }
        Expectation::Incarnation(wanted) => {
            let is = replay.state.me().incarnation;
            findings.check(is == wanted, &place, || format!("incarnation {is} is not {wanted}"));
        }
        Expectation::Fact { key, version } => {
            let is = replay.state.fact(&key).map(|fact| fact.version);
            findings.check(is == version, &place, || {
                format!("{key:?} has version {is:?} and not {version:?}")
            });
        }
        Expectation::Pauses(wanted) => {
            let is = replay.count(|action| matches!(action, Action::Paused { .. }));
            findings.check(is == wanted, &place, || format!("{is} pauses are not {wanted}"));
        }
        Expectation::Clashes(wanted) => {
            let is = replay.count(|action| matches!(action, Action::NameConflict { .. }));
            findings.check(is == wanted, &place, || format!("{is} clashes are not {wanted}"));
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
        let place = location_of(&mut addresses, &name);
        let me = Identity { name, boot, incarnation, location: place };
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

    /// Answers a ping in the name of its target, if that process answers.
    fn answer(&mut self, packet: &Packet) {
        let Message::Ping { seq, target } = &packet.message else { return };
        if self.answering.contains(target)
            && let Some(life) = self.instances.get(target).copied()
        {
            let message = Message::Ack { seq: *seq, target: target.clone() };
            self.receive(target.clone(), life, message, Vec::new());
        }
    }

    fn hear(
        &mut self,
        from: NodeId,
        life: Instance,
        says: Vec<TraceRecord>,
        facts: Vec<TraceFact>,
    ) {
        self.instances.insert(from.clone(), life);
        let mut updates = Vec::new();
        for saying in says {
            let place = Some(location_of(&mut self.addresses, &saying.name));
            let life = Instance { incarnation: saying.incarnation, boot: saying.boot };
            let claim = MemberRecord {
                name: saying.name,
                instance: life,
                status: saying.status,
                location: place,
            };
            updates.push(Update::Member(claim));
        }
        updates.extend(facts.into_iter().map(|told| Update::Fact(told.into_fact(from.clone()))));
        self.receive(from, life, Message::Gossip, updates);
    }

    fn receive(&mut self, from: NodeId, life: Instance, message: Message, updates: Vec<Update>) {
        let place = location_of(&mut self.addresses, &from);
        let address = place.gossip;
        let sender = MemberRecord {
            name: from,
            instance: life,
            status: Status::Alive,
            location: Some(place),
        };
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
