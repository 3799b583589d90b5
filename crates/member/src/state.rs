//! What one process knows of the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::hash;
use base::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::fact::Fact;
use crate::fact::FactKey;
use crate::packet::Message;
use crate::packet::Packet;
use crate::packet::Seq;
use crate::packet::Update;
use crate::queue::BroadcastQueue;
use crate::queue::Offer;
use crate::queue::Subject;
use crate::record::Identity;
use crate::record::Instance;
use crate::record::Location;
use crate::record::MemberRecord;
use crate::record::Status;
use crate::settings::Settings;
use crate::wire;

/// Most processes that are remembered.
pub const MAX_PEERS: usize = 4096;
/// Most facts that are kept.
pub const MAX_FACTS: usize = 4096;

/// What is known of another process.
#[data]
pub struct Peer {
    /// Its life and incarnation.
    pub instance: Instance,
    /// What it is held to be.
    pub status: Status,
    /// Where it stands.
    pub location: Location,
    /// Since when it has the status.
    pub since: Mono,
    /// The highest revision in force that this life reported itself.
    pub revision: Revision,
    /// When it was last probed by this process.
    pub(crate) probed_at: Option<Mono>,
    /// Its place on the ring within its region.
    pub(crate) ring: u64,
}

impl Peer {
    /// Returns the rank of what is known, among claims.
    pub(crate) fn rank(&self) -> (Instance, Status) {
        (self.instance, self.status)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct StoredFact {
    pub(crate) fact: Fact,
    pub(crate) until: Mono,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    Direct,
    Indirect,
}

#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: NodeId,
    pub(crate) instance: Instance,
    pub(crate) sent_at: Mono,
    pub(crate) stage: ProbeStage,
}

#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub(crate) target: NodeId,
    pub(crate) requester: SocketAddr,
    pub(crate) requester_seq: Seq,
    pub(crate) until: Mono,
}

/// When the periodic work is due next.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    pub(crate) probe: Mono,
    pub(crate) dead_probe: Mono,
    pub(crate) exchange: Mono,
    pub(crate) sweep: Mono,
}

/// All that one process knows of the others.
#[derive(Clone, Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) me: Identity,
    pub(crate) status: Status,
    pub(crate) revision: Revision,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) peers: BTreeMap<NodeId, Peer>,
    pub(crate) live: usize,
    pub(crate) facts: BTreeMap<FactKey, StoredFact>,
    pub(crate) queue: BroadcastQueue,
    pub(crate) probes: BTreeMap<Seq, Probe>,
    pub(crate) relays: BTreeMap<Seq, Relay>,
    pub(crate) suspects: BTreeMap<NodeId, Mono>,
    pub(crate) probe_order: Vec<NodeId>,
    pub(crate) round: u64,
    pub(crate) exchanges: u64,
    pub(crate) last_seq: Seq,
    pub(crate) last_tick: Mono,
    pub(crate) timers: Timers,
    pub(crate) has_urgent_update: bool,
    pub(crate) push_credit: u32,
    pub(crate) rng: ChaCha8Rng,
}

impl State {
    /// Returns the state of a process that knows nobody but `seeds`. Draws come from `seed`.
    pub fn new(settings: Settings, me: Identity, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first = settings.probe_period().mul_f64(rng.random());
        State {
            settings,
            me,
            status: Status::Alive,
            revision: 0,
            seeds,
            peers: BTreeMap::new(),
            live: 0,
            facts: BTreeMap::new(),
            queue: BroadcastQueue::default(),
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            suspects: BTreeMap::new(),
            probe_order: Vec::new(),
            round: 0,
            exchanges: 0,
            last_seq: 0,
            last_tick: Duration::ZERO,
            timers: Timers { probe: first, ..Timers::default() },
            has_urgent_update: false,
            push_credit: 0,
            rng,
        }
    }

    /// Returns who this process is, at its present incarnation.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns what is known of `name`.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns all other processes that are remembered, dead and left ones too.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeId, &Peer)> {
        self.peers.iter()
    }

    /// Returns the number of live members, with this process.
    pub fn members(&self) -> usize {
        self.live + 1
    }

    /// Returns the fact of `key`.
    pub fn fact(&self, key: &FactKey) -> Option<&Fact> {
        self.facts.get(key).map(|held| &held.fact)
    }

    /// Returns all facts, by priority.
    pub fn facts(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values().map(|held| &held.fact)
    }

    /// Returns how many updates wait to be passed on.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the claim of this process about itself.
    pub(crate) fn own_record(&self) -> MemberRecord {
        MemberRecord {
            name: self.me.name.clone(),
            instance: self.instance(),
            status: self.status,
            location: Some(self.me.location.clone()),
        }
    }

    pub(crate) fn instance(&self) -> Instance {
        Instance { incarnation: self.me.incarnation, boot: self.me.boot }
    }

    /// Returns what is known of `name` as a claim. Only claims of live members carry the place.
    pub(crate) fn record(&self, name: &NodeId) -> Option<MemberRecord> {
        record_of(&self.peers, name)
    }

    pub(crate) fn next_seq(&mut self) -> Seq {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    /// Draws up to `count` live members other than `except`.
    pub(crate) fn sample_live(&mut self, count: usize, except: &str) -> Vec<(NodeId, SocketAddr)> {
        let live = self.peers.iter().filter(|(_, peer)| peer.status.is_live());
        let others = live.filter(|(name, _)| &***name != except);
        let drawn = others.choose_multiple(&mut self.rng, count);
        drawn.into_iter().map(|(name, peer)| (name.clone(), peer.location.gossip)).collect()
    }

    /// Returns a packet with `message`, filled with the updates that wait.
    ///
    /// `first` goes before all others: what the receiver must hear about itself.
    pub(crate) fn packet(
        &mut self,
        message: Message,
        first: Option<MemberRecord>,
        now: Mono,
    ) -> Packet {
        let mut updates: Vec<Update> = first.map(Update::Member).into_iter().collect();
        let mut used: usize = updates.iter().map(wire::update_len).sum();
        let budget = self.settings.update_bytes;
        let limit = self.settings.transmit_limit(self.members());
        let own = self.own_record();
        let (peers, facts) = (&self.peers, &self.facts);
        self.queue.drain_into(limit, |subject| {
            let Some(update) = update_of(subject, &own, peers, facts, now) else {
                return Offer::Gone;
            };
            let len = wire::update_len(&update);
            if used > 0 && used + len > budget {
                return Offer::Full;
            }
            used += len;
            updates.push(update);
            Offer::Taken
        });
        Packet { sender: own, revision: self.revision, message, updates }
    }
}

impl StoredFact {
    /// Returns the fact with what is left of its lifetime; `None` once that is over.
    pub(crate) fn at(&self, now: Mono) -> Option<Fact> {
        let lifetime = self.until.checked_sub(now).filter(|left| *left >= LEAST_LIFETIME)?;
        Some(Fact { lifetime, ..self.fact.clone() })
    }
}

/// What is left of a fact's lifetime travels in milliseconds.
const LEAST_LIFETIME: Duration = Duration::from_millis(1);

/// Returns the place of `name` on the ring of its region.
pub(crate) fn ring_position(name: &str) -> u64 {
    hash::stable(name.as_bytes())
}

fn record_of(peers: &BTreeMap<NodeId, Peer>, name: &NodeId) -> Option<MemberRecord> {
    let peer = peers.get(name)?;
    let place = (peer.status == Status::Alive).then(|| peer.location.clone());
    Some(MemberRecord {
        name: name.clone(),
        instance: peer.instance,
        status: peer.status,
        location: place,
    })
}

fn update_of(
    subject: &Subject,
    own: &MemberRecord,
    peers: &BTreeMap<NodeId, Peer>,
    facts: &BTreeMap<FactKey, StoredFact>,
    now: Mono,
) -> Option<Update> {
    match subject {
        // Every packet carries the sender's claim, so a second one would tell nothing.
        Subject::Member(name) if *name == own.name => None,
        Subject::Member(name) => record_of(peers, name).map(Update::Member),
        Subject::Fact(key) => facts.get(key).and_then(|held| held.at(now)).map(Update::Fact),
    }
}
