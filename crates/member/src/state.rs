//! Protocol state of one process: the member table, the fact table, and the work in progress.

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

/// Maximum number of other processes in the member table, including dead and left ones.
pub const MAX_PEERS: usize = 4096;
/// Maximum number of facts in the fact table.
pub const MAX_FACTS: usize = 4096;

/// What this process knows of another one.
#[data]
pub struct Peer {
    /// Its instance, at the highest known incarnation.
    pub instance: Instance,
    /// Its status.
    pub status: Status,
    /// Its region, failure domain and addresses.
    pub location: Location,
    /// When it entered the status.
    pub since: Mono,
    /// The highest configuration revision that this instance itself reported as in force.
    pub revision: Revision,
    /// When this process last probed it.
    pub(crate) probed_at: Option<Mono>,
    /// Its position on the probe ring within its region.
    pub(crate) ring: u64,
}

impl Peer {
    /// Returns the rank of the peer's record among all records about it.
    pub(crate) fn rank(&self) -> (Instance, Status) {
        (self.instance, self.status)
    }
}

/// A fact with its local expiry time.
#[derive(Clone, Debug)]
pub(crate) struct StoredFact {
    pub(crate) fact: Fact,
    pub(crate) expires_at: Mono,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// Only pinged directly so far.
    Direct,
    /// Pinged again, directly and through other members.
    Indirect,
}

/// A probe by this process that has not been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: NodeId,
    pub(crate) instance: Instance,
    pub(crate) sent_at: Mono,
    pub(crate) stage: ProbeStage,
}

/// A probe on behalf of another member that has not been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub(crate) target: NodeId,
    pub(crate) requester: SocketAddr,
    pub(crate) requester_seq: Seq,
    pub(crate) expires_at: Mono,
}

/// When each kind of periodic work is due next.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    pub(crate) probe: Mono,
    pub(crate) dead_probe: Mono,
    pub(crate) exchange: Mono,
    pub(crate) sweep: Mono,
}

/// Protocol state of one process.
#[derive(Clone, Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) me: Identity,
    pub(crate) status: Status,
    pub(crate) revision: Revision,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) peers: BTreeMap<NodeId, Peer>,
    /// Number of `peers` that are live.
    pub(crate) live: usize,
    pub(crate) facts: BTreeMap<FactKey, StoredFact>,
    pub(crate) queue: BroadcastQueue,
    pub(crate) probes: BTreeMap<Seq, Probe>,
    pub(crate) relays: BTreeMap<Seq, Relay>,
    /// Suspected members, with the time at which each is declared dead.
    pub(crate) suspects: BTreeMap<NodeId, Mono>,
    /// Rest of the current random probe order; the last one is probed next.
    pub(crate) probe_order: Vec<NodeId>,
    /// Number of probe rounds begun.
    pub(crate) round: u64,
    /// Number of anti-entropy exchanges begun.
    pub(crate) exchanges: u64,
    pub(crate) last_seq: Seq,
    pub(crate) last_tick: Mono,
    pub(crate) timers: Timers,
    /// Whether an urgent update has not been pushed yet: a fact, a refutation by this process, or a
    /// new revision in force.
    pub(crate) has_urgent_update: bool,
    /// Eager pushes that may be sent before the credit is refilled.
    pub(crate) push_credit: u32,
    pub(crate) rng: ChaCha8Rng,
}

impl State {
    /// Returns the initial state of a process that knows only the gossip addresses `seeds`. `seed`
    /// initializes the random number generator.
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

    /// Returns the identity of this process, with its current incarnation.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns the protocol settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the entry of `name` in the member table.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns all other processes in the member table, including dead and left ones.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeId, &Peer)> {
        self.peers.iter()
    }

    /// Returns the number of live members, including this process.
    pub fn members(&self) -> usize {
        self.live + 1
    }

    /// Returns the stored fact of `key`.
    pub fn fact(&self, key: &FactKey) -> Option<&Fact> {
        self.facts.get(key).map(|stored| &stored.fact)
    }

    /// Returns all stored facts in the order of their priority.
    pub fn facts(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values().map(|stored| &stored.fact)
    }

    /// Returns the number of updates that wait to be sent.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the record of this process.
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

    /// Returns the record of `name`. It carries the location only if the member is alive.
    pub(crate) fn record(&self, name: &NodeId) -> Option<MemberRecord> {
        record_of(&self.peers, name)
    }

    pub(crate) fn next_seq(&mut self) -> Seq {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    /// Picks up to `count` random live members other than `except`.
    pub(crate) fn sample_live(&mut self, count: usize, except: &str) -> Vec<(NodeId, SocketAddr)> {
        let live = self.peers.iter().filter(|(_, peer)| peer.status.is_live());
        let others = live.filter(|(name, _)| &***name != except);
        let drawn = others.choose_multiple(&mut self.rng, count);
        drawn.into_iter().map(|(name, peer)| (name.clone(), peer.location.gossip)).collect()
    }

    /// Returns a packet with `message`, on which queued updates are piggybacked up to
    /// `settings.update_bytes`.
    ///
    /// `first` goes before all others: a record that the receiver must refute.
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
    /// Returns the fact with its remaining lifetime, or `None` if it has expired.
    pub(crate) fn at(&self, now: Mono) -> Option<Fact> {
        let lifetime = self.expires_at.checked_sub(now).filter(|left| *left >= MIN_LIFETIME)?;
        Some(Fact { lifetime, ..self.fact.clone() })
    }
}

/// Shortest remaining lifetime of a fact that is sent; packets encode it in milliseconds.
const MIN_LIFETIME: Duration = Duration::from_millis(1);

/// Returns the position of `name` on the probe ring within its region.
pub(crate) fn ring_position(name: &str) -> u64 {
    hash::stable(name.as_bytes())
}

fn record_of(peers: &BTreeMap<NodeId, Peer>, name: &NodeId) -> Option<MemberRecord> {
    let peer = peers.get(name)?;
    let location = (peer.status == Status::Alive).then(|| peer.location.clone());
    Some(MemberRecord {
        name: name.clone(),
        instance: peer.instance,
        status: peer.status,
        location,
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
        // Every packet carries its sender's record already.
        Subject::Member(name) if *name == own.name => None,
        Subject::Member(name) => record_of(peers, name).map(Update::Member),
        Subject::Fact(key) => facts.get(key).and_then(|stored| stored.at(now)).map(Update::Fact),
    }
}
