//! Cost of the membership protocol, and propagation time of facts.
//!
//! All members run in this process, with the real codec and authentication. Time is simulated: a
//! priority queue holds ticks and deliveries, so every run sends the same messages. CPU time is
//! measured around each event and includes opening and sealing its datagrams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Instant;

use member::prelude::*;
use member::settings::TICK;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

const SEED: u64 = 20_261_203;
/// Numbers of members, each a run of its own.
const SIZES: [usize; 4] = [8, 32, 128, 512];
/// Number of members to which the slopes are extrapolated.
const TARGET_MEMBERS: usize = 1100;
const REGIONS: usize = 7;
const DOMAINS_PER_REGION: usize = 16;
/// One-way latency between failure domains.
const LATENCY: Duration = Duration::from_micros(1500);
/// Bytes of the IP and UDP headers of one datagram.
const HEADER_BYTES: usize = 28;
/// Longest simulated time for all members to know each other.
const JOIN_LIMIT: Duration = Duration::from_secs(600);
/// Longest simulated time until no update is queued.
const SETTLE_LIMIT: Duration = Duration::from_secs(1800);
/// Length of each cost measurement, and longest wait for one fact.
const WINDOW: Duration = Duration::from_secs(60);
/// Configuration changes per second at the target size: 32,000 a day.
const REVISIONS_PER_SECOND: f64 = 32_000.0 / 86_400.0;
/// Facts whose propagation is timed in each run.
const TIMED_FACTS: usize = 20;
/// Fraction of datagrams dropped in the run with loss.
const LOSS: f64 = 0.05;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum QueuedEvent {
    Tick,
    Datagram { from: SocketAddr, bytes: Vec<u8> },
}

struct Simulation {
    states: Vec<State>,
    seal: Seal,
    queue: BinaryHeap<Reverse<(Mono, u64, usize, QueuedEvent)>>,
    sequence: u64,
    now: Mono,
    loss: f64,
    rng: ChaCha8Rng,
    datagrams: u64,
    bytes: u64,
    cpu_time: Duration,
    /// When each process received the fact under `timed_key`.
    received_at: Vec<Option<Mono>>,
    timed_key: Option<FactKey>,
}

/// Cost of one process per second.
#[derive(Serialize)]
struct Cost {
    datagrams_sent: f64,
    bytes_sent: f64,
    processor_us: f64,
}

fn address(index: usize) -> SocketAddr {
    let (high, low) = (index / 250, index % 250);
    let octet = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
    SocketAddr::from(([10, 0, octet(high), octet(low)], 7946))
}

fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

fn identity(index: usize) -> Identity {
    let location = Location {
        region: format!("region-{}", index % REGIONS).into(),
        failure_domain: format!("domain-{}", index % (REGIONS * DOMAINS_PER_REGION)).into(),
        gossip: address(index),
        peer: address(index),
    };
    let boot = base::hash::stable(&index.to_le_bytes());
    let incarnation = 1_780_000_000_000 + index as u64;
    Identity { name: format!("entry-{index:04}").into(), boot, incarnation, location }
}

impl Simulation {
    fn new(count: usize) -> Self {
        let secrets: [&[u8]; 1] = [b"a secret of the measurement"];
        let mut simulation = Simulation {
            states: Vec::new(),
            seal: Seal::try_from(&secrets[..]).expect("the secret is long enough"),
            queue: BinaryHeap::new(),
            sequence: 0,
            now: Duration::ZERO,
            loss: 0.0,
            rng: ChaCha8Rng::seed_from_u64(SEED),
            datagrams: 0,
            bytes: 0,
            cpu_time: Duration::ZERO,
            received_at: vec![None; count],
            timed_key: None,
        };
        let seeds = vec![address(0), address(1), address(2)];
        for index in 0..count {
            let state =
                State::new(Settings::default(), identity(index), seeds.clone(), index as u64);
            simulation.states.push(state);
            let phase = TICK.mul_f64(index as f64 / count as f64);
            simulation.push(phase, index, QueuedEvent::Tick);
        }
        simulation
    }

    fn push(&mut self, at: Mono, to: usize, queued: QueuedEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, to, queued)));
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at < end) {
            let Some(Reverse((at, _, to, queued))) = self.queue.pop() else { break };
            self.now = at;
            match queued {
                QueuedEvent::Tick => {
                    self.push(at + TICK, to, QueuedEvent::Tick);
                    self.handle(to, |_| Some(Event::Tick));
                }
                QueuedEvent::Datagram { from, bytes } => self.handle(to, |seal| {
                    let packet = Box::new(seal.open(&bytes).ok()?);
                    Some(Event::Received { from, packet })
                }),
            }
        }
        self.now = end;
    }

    /// Handles one event; opening it, deciding, and sealing the answers count as CPU time.
    fn handle(&mut self, index: usize, event: impl FnOnce(&mut Seal) -> Option<Event>) {
        let started = Instant::now();
        let Some(event) = event(&mut self.seal) else { return };
        let actions = decide(&mut self.states[index], event, self.now);
        let mut sent = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, packet } => sent.push((to, self.seal.seal(&packet))),
                Action::FactUpdated(fact) if Some(&fact.key) == self.timed_key.as_ref() => {
                    self.received_at[index].get_or_insert(self.now);
                }
                _ => {}
            }
        }
        self.cpu_time += started.elapsed();
        for (to, bytes) in sent {
            self.send(address(index), to, bytes);
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        self.datagrams += 1;
        self.bytes += (bytes.len() + HEADER_BYTES) as u64;
        if index_of(to) < self.states.len() && !self.rng.random_bool(self.loss) {
            self.push(self.now + LATENCY, index_of(to), QueuedEvent::Datagram { from, bytes });
        }
    }

    /// Runs until every process knows all others and returns how long that took; `None` after
    /// [`JOIN_LIMIT`].
    fn join(&mut self) -> Option<Duration> {
        while self.now < JOIN_LIMIT {
            self.run(Duration::from_secs(1));
            if self.states.iter().all(|state| state.members() == self.states.len()) {
                return Some(self.now);
            }
        }
        None
    }

    /// Runs until no update is queued at any process and returns the time; `None` after
    /// [`SETTLE_LIMIT`].
    fn settle(&mut self) -> Option<Duration> {
        let end = self.now + SETTLE_LIMIT;
        while self.now < end {
            self.run(Duration::from_secs(1));
            if self.states.iter().all(|state| state.queued() == 0) {
                return Some(self.now);
            }
        }
        None
    }

    /// Returns the mean cost of one process per second during `work`, which runs for [`WINDOW`].
    fn cost(&mut self, work: impl FnOnce(&mut Simulation)) -> Cost {
        (self.datagrams, self.bytes, self.cpu_time) = (0, 0, Duration::ZERO);
        work(self);
        let process_seconds = self.states.len() as f64 * WINDOW.as_secs_f64();
        Cost {
            datagrams_sent: round(self.datagrams as f64 / process_seconds),
            bytes_sent: round(self.bytes as f64 / process_seconds),
            processor_us: round(self.cpu_time.as_secs_f64() * 1e6 / process_seconds),
        }
    }

    /// Publishes revisions at the target's rate, each from a random process.
    fn run_with_revisions(&mut self) {
        let count = (REVISIONS_PER_SECOND * WINDOW.as_secs_f64()) as u32;
        for number in 0..count {
            let publisher = self.rng.random_range(0..self.states.len());
            let version = self.now.as_millis() as u64 + u64::from(number);
            self.publish(publisher, FactKey::Revision, version);
            self.run(WINDOW / count);
        }
    }

    fn publish(&mut self, publisher: usize, key: FactKey, version: u64) {
        let owner = self.states[publisher].me().name.clone();
        let lifetime = Duration::from_secs(600);
        let body = Box::from(*b"entry-0007");
        let fact = Fact { key, owner, version, lifetime, body };
        self.handle(publisher, |_| Some(Event::Publish(fact)));
    }

    /// Publishes facts one after the other and returns how long each took to reach all processes,
    /// in milliseconds; `None` stands for one that did not within [`WINDOW`].
    fn propagation_times(&mut self, key: impl Fn(u64, NodeId) -> FactKey) -> Vec<Option<u64>> {
        let mut times = Vec::new();
        for number in 0..TIMED_FACTS {
            let publisher = self.rng.random_range(0..self.states.len());
            let key = key(number as u64, self.states[publisher].me().name.clone());
            self.timed_key = Some(key.clone());
            self.received_at = vec![None; self.states.len()];
            let started = self.now;
            self.publish(publisher, key, 1);
            while self.received_at.iter().any(Option::is_none) && self.now < started + WINDOW {
                self.run(TICK);
            }
            let last = self.received_at.iter().copied().collect::<Option<Vec<_>>>();
            let last = last.and_then(|all| all.into_iter().max());
            times.push(last.map(|last| (last - started).as_millis() as u64));
        }
        times
    }
}

fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn distribution(mut times: Vec<Option<u64>>) -> Value {
    let missed = times.iter().filter(|time| time.is_none()).count();
    times.sort_by_key(|time| time.unwrap_or(u64::MAX));
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    json!({
        "facts": times.len(),
        "not_within_a_window": missed,
        "least_ms": at(0.0),
        "median_ms": at(0.5),
        "most_ms": at(1.0),
    })
}

fn measure(count: usize) -> Value {
    let before = resident_bytes();
    let mut simulation = Simulation::new(count);
    let joined = simulation.join();
    let settled = simulation.settle();
    let per_process = resident_bytes().saturating_sub(before) / count as u64;
    let idle = simulation.cost(|simulation| simulation.run(WINDOW));
    let busy = simulation.cost(Simulation::run_with_revisions);
    simulation.settle();
    let urgent = simulation.propagation_times(|number, _| FactKey::Quarantine(number));
    let usage = |number, owner| FactKey::Usage { owner, workspace: format!("w{number}").into() };
    let usage = simulation.propagation_times(usage);
    simulation.loss = LOSS;
    let lossy = simulation.propagation_times(|number, _| FactKey::Quarantine(1000 + number));
    json!({
        "members": count,
        "joined_after_s": joined.map(|joined| joined.as_secs_f64()),
        "settled_after_s": settled.map(|settled| settled.as_secs_f64()),
        "resident_bytes_per_process": per_process,
        "quiet": idle,
        "with_revisions": busy,
        "urgent_facts": distribution(urgent),
        "urgent_facts_with_loss": distribution(lossy),
        "usage_facts": distribution(usage),
    })
}

/// The independent variable of a slope.
enum SlopeAxis {
    Members,
    Doublings,
}

impl SlopeAxis {
    fn of(&self, members: f64) -> f64 {
        match self {
            SlopeAxis::Members => members,
            SlopeAxis::Doublings => members.log2(),
        }
    }

    fn name(&self) -> &'static str {
        match self {
            SlopeAxis::Members => "per_member",
            SlopeAxis::Doublings => "per_doubling",
        }
    }
}

/// Returns a figure's slope, by least squares over the sizes, and its extrapolation to
/// [`TARGET_MEMBERS`].
fn slope(rows: &[Value], part: &str, field: &str, axis: SlopeAxis) -> Value {
    let points: Vec<(f64, f64)> = rows
        .iter()
        .filter_map(|row| {
            let members = row["members"].as_f64()?;
            Some((axis.of(members), row[part][field].as_f64()?))
        })
        .collect();
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let covariance: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    let variance: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    let slope = covariance / variance;
    let at_target = y + slope * (axis.of(TARGET_MEMBERS as f64) - x);
    let slope = (slope * 1000.0).round() / 1000.0;
    json!({ axis.name(): slope, "at_target": round(at_target) })
}

/// Runs the measurement at all sizes.
pub fn run() -> Value {
    let rows: Vec<Value> = SIZES.into_iter().map(measure).collect();
    json!({
        "measurement": "gossip",
        "seed": SEED,
        "latency_us": LATENCY.as_micros() as u64,
        "loss": LOSS,
        "revisions_per_second": round(REVISIONS_PER_SECOND),
        "bytes_sent_quiet": slope(&rows, "quiet", "bytes_sent", SlopeAxis::Doublings),
        "bytes_sent_with_revisions": slope(&rows, "with_revisions", "bytes_sent", SlopeAxis::Doublings),
        "processor_us_quiet": slope(&rows, "quiet", "processor_us", SlopeAxis::Members),
        "processor_us_with_revisions": slope(&rows, "with_revisions", "processor_us", SlopeAxis::Members),
        "sizes": rows,
    })
}
