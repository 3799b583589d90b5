//! A fleet of processes that replicate the rows of a store, without network and in simulated time.
//!
//! Each process runs on a VM with slices of processor time and a link of a given rate. What it asks, sends,
//! believes and follows is decided by [`rows`]. A call takes the time of its bytes on both links and on both
//! processors. Configurations are written; hubs are stopped, killed and replaced, processes stand still, or lose
//! the store.
//!
//! Checked after each step: no process believes its rows younger than they are. Checked for each configuration
//! [`BOUND`] after it was written: each sound process has it, or a later one. A process is sound if it has run
//! undisturbed since [`SETTLING`] before the configuration was written.

mod exchange;
mod following;
mod machine;
mod store;
mod troubles;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use base::prelude::*;
use kv::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rows::prelude::*;

use machine::Machine;
use store::CONFIG;
use store::Store;

/// Time within which a configuration is in force.
const BOUND: Duration = Duration::from_secs(3);
/// Time after which a process that was disturbed is sound again.
const SETTLING: Duration = Duration::from_secs(4);
/// The simulation begins at this time of each process.
const START: Mono = Mono::from_secs(10);
/// How often a process decides whether to follow the store.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time without an answer after which a call to a hub fails.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest and longest time between two calls of a process to a hub, and a hub's time per call.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
const MAX_INTERVAL: Duration = Duration::from_millis(600);
const TIME_PER_EXCHANGE: Duration = Duration::from_millis(4);
/// How long the store waits for a change before it answers, and the pause between two calls.
const WATCH_WAIT: Duration = Duration::from_millis(300);
const WATCH_GAP: Duration = Duration::from_millis(140);
/// Pause after a call to a store that doesn't answer.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Work of putting a configuration into force, relative to that of decoding its bytes.
const CONFIG_WORK: usize = 10;
/// Bytes of a message besides rows.
const MESSAGE_BYTES: usize = 400;
/// How long the lock of a hub that was killed holds, and how long a free one stays so.
const LEASE: Duration = Duration::from_secs(3);
const ELECTION_TIME: Duration = Duration::from_millis(400);
/// Time from the signal to stop until the process ends, and until another one starts.
const STOP_TIME: Duration = Duration::from_millis(2_500);
const REPLACED_AFTER: Duration = Duration::from_millis(700);

/// Something that happens to a fleet.
#[data]
pub(crate) enum Trouble {
    /// The hub of a failure domain is killed, and starts again at its address.
    KillHub(usize),
    /// The hub of a failure domain is stopped, and another process comes at a new address.
    ReplaceHub(usize),
    /// The hub of a failure domain stands still.
    FreezeHub(usize, Duration),
    /// A process stands still.
    Freeze(usize, Duration),
    /// The hub of a failure domain doesn't reach the store.
    CutHub(usize, Duration),
}

/// What a fleet goes through.
#[data]
pub(crate) struct Scenario {
    pub(crate) domains: usize,
    pub(crate) processes_per_domain: usize,
    /// Bytes of the configuration.
    pub(crate) bytes: usize,
    /// The least share of a core, and the slowest link in Mbit/s.
    pub(crate) least_share: f64,
    pub(crate) least_mbps: f64,
    /// When configurations are written.
    pub(crate) writes: Vec<Duration>,
    pub(crate) troubles: Vec<(Duration, Trouble)>,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
}

/// What was seen.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// The most by which a process believed its rows younger than they were.
    pub(crate) too_young: Duration,
    /// The longest time from the writing of a configuration until a sound process had it.
    pub(crate) longest: Duration,
    /// Configurations that a sound process didn't have in time, with the process.
    pub(crate) late: Vec<(u64, usize)>,
    /// Times at which a process began to follow the store.
    pub(crate) followed: usize,
}

struct Process {
    machine: Machine,
    address: SocketAddr,
    domain: usize,
    is_alive: bool,
    is_hub: bool,
    /// Whether it reaches the store from then on.
    cut_until: Mono,
    /// When it was last disturbed.
    disturbed_at: Option<Mono>,
    /// Rises with each start and with each change of what it follows, so that earlier calls end.
    start: u64,
    watch: u64,
    cache: RowCache,
    hub_follower: HubFollower,
    feed: Feed,
    store_follower: StoreFollower,
    interval: Duration,
    clients: BTreeMap<SocketAddr, Mono>,
    /// The last configuration whose arrival was noted.
    noted: u64,
}

enum Event {
    Write,
    Trouble(Trouble),
    Judge {
        revision: u64,
        written_at: Mono,
    },
    Elect(usize),
    Lapse {
        domain: usize,
        address: SocketAddr,
    },
    End {
        at: usize,
        start: u64,
    },
    Start {
        at: usize,
        is_new: bool,
    },
    Check {
        at: usize,
        start: u64,
    },
    Checked {
        at: usize,
        start: u64,
    },
    /// A process calls the hub of this rank in its list.
    Call {
        at: usize,
        start: u64,
        rank: usize,
    },
    Sent {
        call: Call,
    },
    Called {
        hub: usize,
        call: Call,
    },
    Serve {
        hub: usize,
        call: Call,
    },
    Encoded {
        hub: usize,
        call: Call,
        answer: Answer,
    },
    Arrived {
        call: Call,
        answer: Answer,
    },
    Answered {
        call: Call,
        answer: Option<Answer>,
    },
    /// A process lists the store.
    List {
        at: usize,
        watch: u64,
    },
    ListSent {
        at: usize,
        watch: u64,
    },
    Poll {
        at: usize,
        watch: u64,
        after: u64,
    },
    Read {
        at: usize,
        watch: u64,
        sent_at: Mono,
        after: u64,
        until: Mono,
    },
    Brought {
        at: usize,
        watch: u64,
        read: Read,
        bytes: usize,
    },
    Take {
        at: usize,
        watch: u64,
        read: Read,
    },
}

/// A call of a process to a hub.
#[data]
struct Call {
    at: usize,
    start: u64,
    rank: usize,
    hub: SocketAddr,
    ask: Ask,
    sent_at: Mono,
}

/// What a process has read of the store.
struct Read {
    changes: Vec<RowChange>,
    revision: u64,
    sent_at: Mono,
    is_list: bool,
}

/// Plays a scenario.
pub(crate) fn play(scenario: &Scenario) -> Report {
    let mut fleet = Fleet::new(scenario);
    while let Some(((at, _), event)) = fleet.queue.pop_first() {
        if at > START + scenario.length {
            break;
        }
        fleet.now = at;
        fleet.happen(event);
    }
    fleet.report
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    now: Mono,
    queue: BTreeMap<(Mono, u64), Event>,
    sequence: u64,
    store: Store,
    /// When each configuration was written, by its revision.
    written: BTreeMap<u64, Mono>,
    processes: Vec<Process>,
    next_address: u16,
    report: Report,
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut fleet = Fleet {
            scenario,
            rng: StdRng::seed_from_u64(scenario.seed),
            now: START,
            queue: BTreeMap::new(),
            sequence: 0,
            store: Store::default(),
            written: BTreeMap::new(),
            processes: Vec::new(),
            next_address: 1,
            report: Report::default(),
        };
        for at in 0..scenario.domains * scenario.processes_per_domain {
            let process = fleet.process(at % scenario.domains);
            fleet.processes.push(process);
        }
        fleet.write();
        for domain in 0..scenario.domains {
            fleet.elect(domain);
        }
        for at in 0..fleet.processes.len() {
            let rows = fleet.store.list();
            let process = &mut fleet.processes[at];
            for row in rows {
                process.cache.apply(&row.key, row.value, row.revision);
            }
            process.cache.mark_current(START, RowSource::Store);
            fleet.begin(at);
        }
        for at in &scenario.writes {
            fleet.after(*at, Event::Write);
        }
        for (at, trouble) in &scenario.troubles {
            fleet.after(*at, Event::Trouble(trouble.clone()));
        }
        fleet
    }

    fn address(&mut self) -> SocketAddr {
        self.next_address += 1;
        SocketAddr::from(([10, 1, 0, 1], self.next_address))
    }

    fn process(&mut self, domain: usize) -> Process {
        let share = self.rng.random_range(self.scenario.least_share..=0.5);
        let mbps = self.rng.random_range(self.scenario.least_mbps..=200.0);
        let link = mbps * 125_000.0;
        Process {
            machine: Machine::new(share, self.rng.random(), link),
            address: self.address(),
            domain,
            is_alive: true,
            is_hub: false,
            cut_until: Mono::ZERO,
            disturbed_at: None,
            start: 0,
            watch: 0,
            cache: RowCache::default(),
            hub_follower: HubFollower::default(),
            feed: Feed::new(link),
            store_follower: StoreFollower::default(),
            interval: MIN_INTERVAL,
            clients: BTreeMap::new(),
            noted: 0,
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn at(&mut self, time: Mono, event: Event) {
        self.sequence += 1;
        self.queue.insert((time.max(self.now), self.sequence), event);
    }

    /// Schedules the first events of a process that starts.
    fn begin(&mut self, at: usize) {
        let start = self.processes[at].start;
        let delay = MIN_INTERVAL.mul_f64(self.rng.random());
        self.after(delay, Event::Check { at, start });
        self.after(delay, Event::Call { at, start, rank: 0 });
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Write => self.write(),
            Event::Trouble(trouble) => self.trouble(&trouble),
            Event::Judge { revision, written_at } => self.judge(revision, written_at),
            Event::Elect(domain) => self.elect(domain),
            Event::Lapse { domain, address } => self.lapse(domain, address),
            Event::End { at, start } => self.end(at, start),
            Event::Start { at, is_new } => self.start(at, is_new),
            Event::Check { at, start } => {
                let runs = self.processes[at].machine.work(0, self.now);
                self.at(runs, Event::Checked { at, start });
            }
            Event::Checked { at, start } => self.check(at, start),
            Event::Call { at, start, rank } => self.call(at, start, rank),
            Event::Sent { call } => self.sent(call),
            Event::Called { hub, call } => self.called(hub, call),
            Event::Serve { hub, call } => self.serve(hub, call),
            Event::Encoded { hub, call, answer } => {
                let arrives = self.send(hub, call.at, bytes_of(&answer), self.now);
                self.at(arrives, Event::Arrived { call, answer });
            }
            Event::Arrived { call, answer } => {
                let decoded = self.decode(call.at, bytes_of(&answer), config_bytes(&answer));
                self.at(decoded, Event::Answered { call, answer: Some(answer) });
            }
            Event::Answered { call, answer } => self.answered(call, answer),
            Event::List { at, watch } => self.list(at, watch),
            Event::ListSent { at, watch } => self.list_sent(at, watch),
            Event::Poll { at, watch, after } => self.poll(at, watch, after),
            Event::Read { at, watch, sent_at, after, until } => {
                self.read(at, watch, sent_at, after, until)
            }
            Event::Brought { at, watch, read, bytes } => {
                let decoded = self.decode(at, bytes, written_bytes(&read.changes));
                self.at(decoded, Event::Take { at, watch, read });
            }
            Event::Take { at, watch, read } => self.take(at, watch, read),
        }
    }

    fn write(&mut self) {
        let text = configuration(self.written.len(), self.scenario.bytes);
        let revision = self.store.put(CONFIG, text.as_bytes());
        self.written.insert(revision, self.now);
        self.after(BOUND, Event::Judge { revision, written_at: self.now });
    }

    fn judge(&mut self, revision: u64, written_at: Mono) {
        for (at, process) in self.processes.iter().enumerate() {
            if is_sound(process, written_at) && config_revision(process) < revision {
                self.report.late.push((revision, at));
            }
        }
    }

    fn hub(&self, domain: usize) -> Option<usize> {
        let process = |process: &Process| process.is_hub && process.domain == domain;
        self.processes.iter().position(process)
    }

    /// Checks that a process doesn't believe its rows younger than they are.
    fn check_age(&mut self, at: usize) {
        let process = &self.processes[at];
        let Some(age) = process.cache.age(self.now) else { return };
        let missed = self.written.range(config_revision(process) + 1..).next();
        if let Some((_, missed_at)) = missed {
            let too_young = (self.now - age).saturating_sub(*missed_at);
            self.report.too_young = self.report.too_young.max(too_young);
        }
    }

    /// Notes how long the configurations that a sound process has got were on their way.
    fn note_config(&mut self, at: usize) {
        let process = &mut self.processes[at];
        let revision = config_revision(process).max(process.noted);
        let news = (Bound::Excluded(process.noted), Bound::Included(revision));
        let news = self.written.range(news);
        process.noted = revision;
        for (_, written_at) in news {
            if is_sound(process, *written_at) {
                self.report.longest = self.report.longest.max(self.now - *written_at);
            }
        }
    }
}

/// Returns whether a process has run undisturbed since long before `at`.
fn is_sound(process: &Process, at: Mono) -> bool {
    process.is_alive && process.disturbed_at.is_none_or(|disturbed_at| disturbed_at + SETTLING < at)
}

fn config_revision(process: &Process) -> u64 {
    process.cache.get(CONFIG).map_or(0, |row| row.mod_revision)
}

/// Returns the bytes of the configurations in an answer.
fn config_bytes(answer: &Answer) -> usize {
    let rows = answer.rows.iter().filter(|row| &*row.key == CONFIG);
    let whole: usize = rows.filter_map(|row| Some(row.value.as_ref()?.1.len())).sum();
    whole + answer.patches.iter().map(|patch| patch.bytes).sum::<usize>()
}

/// Returns the bytes of the configurations in what was read of the store.
fn written_bytes(changes: &[RowChange]) -> usize {
    let configs = changes.iter().filter(|change| &*change.key == CONFIG);
    configs.map(RowChange::size).sum()
}

/// Returns how many bytes an answer takes.
fn bytes_of(answer: &Answer) -> usize {
    let value = |row: &Row| row.value.as_ref().map_or(0, |(_, text)| text.len());
    let patches: usize = answer.patches.iter().map(Patch::size).sum();
    MESSAGE_BYTES
        + patches
        + answer.rows.iter().map(|row| row.key.len() + value(row) + 20).sum::<usize>()
}

/// Returns a configuration of about so many bytes, which differs in one route from the version before.
fn configuration(version: usize, bytes: usize) -> String {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    let mut number = 0_u64;
    while text.len() < bytes {
        let hash = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let changed = if number == version as u64 * 7 % 50 { version } else { 0 };
        text.push_str(&format!(
            "{{\"name\":\"r{number}\",\"host\":\"h{:x}.example\",\"prefix\":\"/p{changed}/{:x}/\",\
             \"kind\":\"safe\",\"timeout_ms\":8000,\"service\":\"desk\",\"max_attempts\":2}},",
            hash >> 44,
            hash & 0xff_ffff,
        ));
        number += 1;
    }
    text.push_str("]}");
    text
}
