//! Simulated network: a queue of deliveries ordered by time, with loss, delay, duplication, blocked
//! links and paused processes.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use member::prelude::*;
use member::settings::TICK;
use member::wire;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Maximum number of datagrams buffered for a paused process. Further ones are dropped.
const SOCKET_BUFFER_DATAGRAMS: usize = 200;

/// A process, running or crashed.
pub(crate) struct Node {
    pub(crate) state: State,
    pub(crate) is_up: bool,
    pub(crate) is_paused: bool,
    /// All actions except sends, with their times.
    pub(crate) log: Vec<(Mono, Action)>,
    started: Mono,
    receive_buffer: Vec<(SocketAddr, Vec<u8>)>,
}

/// Probabilities of loss and duplication, and the maximum delay, of all links.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkFaults {
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    pub(crate) max_delay: Duration,
}

type Delivery = Reverse<(Mono, u64, usize, SocketAddr, Vec<u8>)>;

/// Processes that gossip over a faulty network.
pub(crate) struct Net {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Mono,
    pub(crate) link_faults: LinkFaults,
    /// Pairs of processes; datagrams from the first to the second are dropped.
    pub(crate) blocked_links: BTreeSet<(usize, usize)>,
    pub(crate) bytes: u64,
    /// Targets of all pings sent, with their times.
    pub(crate) pings: Vec<(Mono, NodeId)>,
    heap: BinaryHeap<Delivery>,
    count: u64,
    rng: ChaCha8Rng,
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7946))
}

pub(crate) fn name(index: usize) -> NodeId {
    format!("node-{index}").into()
}

fn identity(index: usize, boot: BootId, incarnation: u64) -> Identity {
    let location = Location {
        region: format!("r{}", index % 2).into(),
        failure_domain: format!("d{}", index % 3).into(),
        gossip: address(index),
        peer: address(index),
    };
    Identity { name: name(index), boot, incarnation, location }
}

impl Net {
    /// Starts `count` processes whose seeds are the first two.
    pub(crate) fn new(count: usize, link_faults: LinkFaults, seed: u64) -> Self {
        let mut net = Net {
            nodes: Vec::new(),
            now: Duration::ZERO,
            link_faults,
            blocked_links: BTreeSet::new(),
            bytes: 0,
            pings: Vec::new(),
            heap: BinaryHeap::new(),
            count: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..count {
            let boot = net.rng.random();
            let node = net.start(index, boot, 1000);
            net.nodes.push(node);
        }
        net
    }

    fn start(&mut self, index: usize, boot: BootId, incarnation: u64) -> Node {
        let seeds = vec![address(0), address(1)];
        let me = identity(index, boot, incarnation);
        let state = State::new(Settings::default(), me, seeds, self.rng.random());
        let (log, receive_buffer) = (Vec::new(), Vec::new());
        Node { state, is_up: true, is_paused: false, log, started: self.now, receive_buffer }
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.nodes[index].is_up = false;
    }

    /// Replaces process `index` by a new instance.
    pub(crate) fn restart(&mut self, index: usize, boot: BootId, incarnation: u64) {
        self.nodes[index] = self.start(index, boot, incarnation);
    }

    /// Blocks all links between the two sides, in both directions.
    pub(crate) fn partition(&mut self, side: &[bool]) {
        for a in 0..side.len() {
            for b in (0..side.len()).filter(|b| side[*b] != side[a]) {
                self.blocked_links.insert((a, b));
            }
        }
    }

    pub(crate) fn pause(&mut self, index: usize) {
        self.nodes[index].is_paused = true;
    }

    /// Resumes a paused process. It processes its first tick before or after the buffered
    /// datagrams, at random.
    pub(crate) fn resume(&mut self, index: usize) {
        self.nodes[index].is_paused = false;
        if self.rng.random() {
            self.event(index, Event::Tick);
        }
        for (from, bytes) in std::mem::take(&mut self.nodes[index].receive_buffer) {
            self.deliver(index, from, bytes);
        }
    }

    /// Runs for `span` in steps of one tick, and calls `check` after each step.
    pub(crate) fn run_with(&mut self, span: Duration, mut check: impl FnMut(&Net)) {
        let end = self.now + span;
        while self.now < end {
            let next = self.now + TICK;
            while self.heap.peek().is_some_and(|Reverse((at, ..))| *at <= next) {
                let Some(Reverse((at, _, to, from, bytes))) = self.heap.pop() else { break };
                self.now = at;
                self.deliver(to, from, bytes);
            }
            self.now = next;
            for index in 0..self.nodes.len() {
                if self.nodes[index].is_up && !self.nodes[index].is_paused {
                    self.event(index, Event::Tick);
                }
            }
            check(self);
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        self.run_with(span, |_| {});
    }

    /// Applies an event to process `index` and carries out the resulting actions.
    pub(crate) fn event(&mut self, index: usize, event: Event) {
        let now = self.now - self.nodes[index].started;
        for action in decide(&mut self.nodes[index].state, event, now) {
            match action {
                Action::Send { to, packet } => self.send(index, to, &packet),
                other => self.nodes[index].log.push((self.now, other)),
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: &Packet) {
        let bytes = wire::encode(packet);
        self.bytes += bytes.len() as u64;
        if let Message::Ping { target, .. } = &packet.message {
            self.pings.push((self.now, target.clone()));
        }
        let Some(to) = (0..self.nodes.len()).find(|index| address(*index) == to) else { return };
        if self.blocked_links.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.link_faults.duplicates));
        for _ in 0..copies {
            if self.rng.random_bool(self.link_faults.loss) {
                continue;
            }
            let delay = self.link_faults.max_delay.mul_f64(self.rng.random());
            self.count += 1;
            let entry = (self.now + delay, self.count, to, address(from), bytes.clone());
            self.heap.push(Reverse(entry));
        }
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        let node = &mut self.nodes[to];
        if !node.is_up {
            return;
        }
        if node.is_paused {
            if node.receive_buffer.len() < SOCKET_BUFFER_DATAGRAMS {
                node.receive_buffer.push((from, bytes));
            }
            return;
        }
        let packet = Box::new(wire::decode(&bytes).expect("sent packets are valid"));
        self.event(to, Event::Received { from, packet });
    }

    /// Returns the status of `of` in the member table of `by`.
    pub(crate) fn status_seen_by(&self, by: usize, of: usize) -> Option<Status> {
        self.nodes[by].state.peer(&name(of)).map(|peer| peer.status)
    }

    /// Returns all pairs of running processes where the first does not have the second as alive at
    /// its current instance and incarnation.
    pub(crate) fn disagreements(&self) -> Vec<String> {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|i| self.nodes[*i].is_up).collect();
        let mut found = Vec::new();
        for by in &up {
            for of in up.iter().filter(|of| *of != by) {
                let me = self.nodes[*of].state.me();
                let instance = Instance { incarnation: me.incarnation, boot: me.boot };
                let peer = self.nodes[*by].state.peer(&name(*of));
                if peer.is_none_or(|peer| peer.status != Status::Alive || peer.instance != instance)
                {
                    found.push(format!("{by} has {of} as {peer:?}, but it is at {instance:?}"));
                }
            }
        }
        found
    }

    /// Returns the versions of the facts stored by each running process.
    pub(crate) fn facts(&self) -> Vec<BTreeMap<FactKey, u64>> {
        let up = self.nodes.iter().filter(|node| node.is_up);
        up.map(|node| node.state.facts().map(|fact| (fact.key.clone(), fact.version)).collect())
            .collect()
    }
}

/// Returns the fact that a replica group is down.
pub(crate) fn group_down(group: &str, version: u64) -> Fact {
    Fact {
        key: FactKey::GroupDown(group.into()),
        owner: "node-0".into(),
        version,
        lifetime: Duration::from_secs(600),
        body: Box::from(*b"member lost"),
    }
}
