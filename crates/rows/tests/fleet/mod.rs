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

mod machine;
mod store;

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

    fn trouble(&mut self, trouble: &Trouble) {
        let domain = match trouble {
            Trouble::Freeze(at, length) => {
                return self.freeze(*at % self.processes.len(), *length);
            }
            Trouble::KillHub(domain)
            | Trouble::ReplaceHub(domain)
            | Trouble::FreezeHub(domain, _)
            | Trouble::CutHub(domain, _) => *domain % self.scenario.domains,
        };
        let Some(at) = self.hub(domain) else { return };
        let (now, address) = (self.now, self.processes[at].address);
        match trouble {
            Trouble::Freeze(..) => {}
            Trouble::FreezeHub(_, length) => self.freeze(at, *length),
            Trouble::CutHub(_, length) => {
                self.processes[at].cut_until = now + *length;
                self.processes[at].disturbed_at = Some(now + *length);
            }
            Trouble::KillHub(_) => {
                let start = self.processes[at].start;
                self.end(at, start);
                self.after(LEASE, Event::Lapse { domain, address });
                self.after(REPLACED_AFTER, Event::Start { at, is_new: false });
            }
            Trouble::ReplaceHub(_) => {
                let process = &mut self.processes[at];
                process.is_hub = false;
                process.disturbed_at = Some(now);
                let start = process.start;
                self.lapse(domain, address);
                self.after(STOP_TIME, Event::End { at, start });
                self.after(STOP_TIME + REPLACED_AFTER, Event::Start { at, is_new: true });
            }
        }
    }

    fn freeze(&mut self, at: usize, length: Duration) {
        self.processes[at].machine.frozen_until = self.now + length;
        self.processes[at].disturbed_at = Some(self.now + length);
    }

    /// The lock of a hub ends.
    fn lapse(&mut self, domain: usize, address: SocketAddr) {
        let key = format!("hub/{domain}");
        let is_held = |value: &Versioned| *value.value == *address.to_string().as_bytes();
        if self.store.get(&key).is_some_and(is_held) {
            self.store.delete(&key);
            self.after(ELECTION_TIME, Event::Elect(domain));
        }
    }

    fn elect(&mut self, domain: usize) {
        let key = format!("hub/{domain}");
        if self.store.get(&key).is_some() {
            return;
        }
        let now = self.now;
        let is_fit = |process: &&mut Process| {
            process.is_alive
                && process.domain == domain
                && process.cut_until <= now
                && process.machine.frozen_until <= now
                && process.disturbed_at.is_none_or(|at| at + SETTLING < now)
        };
        let fit = self.processes.iter_mut().filter(is_fit);
        let best = fit.max_by(|a, b| a.machine.share.total_cmp(&b.machine.share));
        match best {
            Some(process) => {
                process.is_hub = true;
                self.store.put(&key, process.address.to_string().as_bytes());
            }
            None => self.after(ELECTION_TIME, Event::Elect(domain)),
        }
    }

    fn end(&mut self, at: usize, start: u64) {
        let process = &mut self.processes[at];
        if process.start == start {
            process.is_alive = false;
            process.is_hub = false;
            process.start += 1;
            process.watch += 1;
        }
    }

    fn start(&mut self, at: usize, is_new: bool) {
        let address = if is_new { self.address() } else { self.processes[at].address };
        let old = &self.processes[at];
        let (machine, start, watch) = (old.machine.clone(), old.start + 1, old.watch + 1);
        let mut process = self.process(self.processes[at].domain);
        process.feed = Feed::new(machine.link_bytes_per_second);
        process.disturbed_at = Some(self.now);
        (process.address, process.machine) = (address, machine);
        process.machine.frozen_until = Mono::ZERO;
        (process.start, process.watch) = (start, watch);
        // It has asked the store for the hubs.
        for row in self.store.list().iter().filter(|row| row.key.starts_with("hub/")) {
            process.cache.apply(&row.key, row.value.clone(), row.revision);
        }
        self.processes[at] = process;
        self.begin(at);
    }

    fn check(&mut self, at: usize, start: u64) {
        let now = self.now;
        let process = &mut self.processes[at];
        if process.start != start || !process.is_alive {
            return;
        }
        let situation =
            Situation { is_hub: process.is_hub, interval: process.interval, all_hubs_tried: true };
        match process.store_follower.check(&situation, &process.cache, now) {
            StoreAction::Follow | StoreAction::FollowAsHub => {
                process.watch += 1;
                let watch = process.watch;
                self.report.followed += 1;
                self.after(Duration::ZERO, Event::List { at, watch });
            }
            StoreAction::Leave => process.watch += 1,
            StoreAction::Keep => {}
        }
        self.check_age(at);
        self.after(CHECK_PERIOD, Event::Check { at, start });
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

    fn call(&mut self, at: usize, start: u64, rank: usize) {
        let now = self.now;
        let process = &mut self.processes[at];
        if process.start != start || !process.is_alive {
            return;
        }
        if process.is_hub {
            // A hub asks others only while its own rows are stale.
            if is_fresh(process.cache.age(self.now)) {
                return self.after(MIN_INTERVAL, Event::Call { at, start, rank: 0 });
            }
        }
        let sent_at = process.machine.work(MESSAGE_BYTES, self.now);
        let own = format!("hub/{}", process.domain);
        let rows = process.cache.with_prefix("hub/");
        let mut hubs: Vec<(bool, SocketAddr)> = rows
            .map(|(key, row)| (key != own, String::from_utf8_lossy(&row.value).parse()))
            .filter_map(|(is_other, address)| Some((is_other, address.ok()?)))
            .filter(|(_, address)| *address != process.address)
            .filter(|(_, address)| process.hub_follower.may_call(*address, now))
            .collect();
        hubs.sort();
        let Some((_, hub)) = hubs.get(rank).copied() else {
            let pause = process.interval;
            return self.after(pause, Event::Call { at, start, rank: 0 });
        };
        let ask = process.hub_follower.ask(hub, &process.cache);
        let call = Call { at, start, rank, hub, ask, sent_at };
        self.at(sent_at, Event::Sent { call });
    }

    fn sent(&mut self, call: Call) {
        let target = self.processes.iter().position(|other| other.address == call.hub);
        match target.filter(|hub| self.processes[*hub].is_alive) {
            Some(hub) => {
                let arrives = self.send(call.at, hub, MESSAGE_BYTES, self.now);
                self.at(arrives, Event::Called { hub, call });
            }
            None => self.time_out(call),
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: usize, now: Mono) -> Mono {
        let mut receiver = self.processes[to].machine.clone();
        let arrives = self.processes[from].machine.send(&mut receiver, bytes, now);
        self.processes[to].machine = receiver;
        arrives
    }

    fn called(&mut self, hub: usize, call: Call) {
        let begins = self.processes[hub].machine.work(MESSAGE_BYTES, self.now);
        match begins < call.sent_at + EXCHANGE_TIMEOUT {
            true => self.at(begins, Event::Serve { hub, call }),
            false => self.time_out(call),
        }
    }

    /// Decodes a message, and puts the configurations in it into force; returns when that is done.
    fn decode(&mut self, at: usize, bytes: usize, config_bytes: usize) -> Mono {
        self.processes[at].machine.work(bytes + config_bytes * CONFIG_WORK, self.now)
    }

    fn serve(&mut self, hub: usize, call: Call) {
        let now = self.now;
        if !self.processes[hub].is_alive {
            return self.time_out(call);
        }
        let client = self.processes[call.at].address;
        self.processes[hub].clients.insert(client, now);
        let process = &mut self.processes[hub];
        let answer = match &call.ask {
            Ask::Rows(asked) => Some(process.feed.difference(&process.cache, asked, now)),
            Ask::Changes(asked) => process.feed.changes(&process.cache, asked, now),
        };
        let Some(answer) = answer else {
            return self.after(Duration::ZERO, Event::Answered { call, answer: None });
        };
        let encoded = process.machine.work(bytes_of(&answer), now);
        match encoded < call.sent_at + EXCHANGE_TIMEOUT {
            true => self.at(encoded, Event::Encoded { hub, call, answer }),
            false => self.time_out(call),
        }
    }

    /// The sender of a call gives up waiting for the first byte of its answer.
    fn time_out(&mut self, call: Call) {
        self.at(call.sent_at + EXCHANGE_TIMEOUT, Event::Answered { call, answer: None });
    }

    fn answered(&mut self, call: Call, answer: Option<Answer>) {
        let Call { at, start, rank, hub, sent_at, .. } = call;
        let clients = self.clients_of(hub);
        let process = &mut self.processes[at];
        if process.start != start || !process.is_alive {
            return;
        }
        let Some(answer) = answer else {
            process.hub_follower.failed(hub, self.now);
            // It is not in the list for a while.
            return self.after(Duration::ZERO, Event::Call { at, start, rank });
        };
        let answered = match call.ask {
            Ask::Rows(_) => process.hub_follower.take_rows(&process.cache, hub, &answer, sent_at),
            Ask::Changes(..) => {
                process.hub_follower.take_changes(&process.cache, hub, &answer, sent_at)
            }
        };
        for change in answered.changes {
            process.cache.apply(&change.key, change.value, change.revision);
        }
        if let Some(current_at) = answered.current_at {
            process.cache.mark_current(current_at, RowSource::Process(hub));
        }
        process.interval = (TIME_PER_EXCHANGE * clients).clamp(MIN_INTERVAL, MAX_INTERVAL);
        let pause = process.interval;
        let next = match answered.is_fresh {
            true => Event::Call { at, start, rank: 0 },
            false => Event::Call { at, start, rank: rank + 1 },
        };
        self.check_age(at);
        self.note_config(at);
        self.after(if answered.is_fresh { pause } else { Duration::ZERO }, next);
    }

    fn clients_of(&mut self, hub: SocketAddr) -> u32 {
        let since = self.now.saturating_sub(Duration::from_millis(1_500));
        let Some(hub) = self.processes.iter_mut().find(|process| process.address == hub) else {
            return 1;
        };
        hub.clients.retain(|_, at| *at > since);
        u32::try_from(hub.clients.len()).expect("few clients")
    }

    fn reaches_store(&self, at: usize, watch: u64) -> bool {
        let process = &self.processes[at];
        process.watch == watch && process.is_alive && process.cut_until <= self.now
    }

    /// Tries again later if a call to the store that began at `sent_at` can't reach it.
    fn retry_store(&mut self, at: usize, watch: u64) {
        let process = &mut self.processes[at];
        if process.watch == watch && process.is_alive {
            process.store_follower.interrupted();
            self.after(STORE_RETRY_PAUSE, Event::List { at, watch });
        }
    }

    fn list(&mut self, at: usize, watch: u64) {
        if !self.reaches_store(at, watch) {
            return self.retry_store(at, watch);
        }
        let sent_at = self.processes[at].machine.work(MESSAGE_BYTES, self.now);
        let changes = self.store.list();
        let revision = self.store.revision();
        // The store is read a moment after the call was sent, so this list is at least as old as that.
        let read = Read { changes, revision, sent_at: self.now.min(sent_at), is_list: true };
        self.bring(at, watch, read, sent_at);
    }

    /// Sends what was read to the process.
    fn bring(&mut self, at: usize, watch: u64, read: Read, now: Mono) {
        let (bytes, sent) = self.store.send(&read.changes, read.is_list, now);
        let arrives = self.processes[at].machine.receive(bytes, sent);
        self.at(arrives, Event::Brought { at, watch, read, bytes });
    }

    fn poll(&mut self, at: usize, watch: u64, after: u64) {
        if !self.reaches_store(at, watch) {
            return self.retry_store(at, watch);
        }
        let sent_at = self.processes[at].machine.work(MESSAGE_BYTES, self.now);
        let until = sent_at + WATCH_WAIT;
        self.at(sent_at, Event::Read { at, watch, sent_at, after, until });
    }

    /// The store looks whether it has a change for a call that waits.
    fn read(&mut self, at: usize, watch: u64, sent_at: Mono, after: u64, until: Mono) {
        if !self.reaches_store(at, watch) {
            return self.retry_store(at, watch);
        }
        if self.store.revision() == after && self.now < until {
            let next = (self.now + Duration::from_millis(5)).min(until);
            return self.at(next, Event::Read { at, watch, sent_at, after, until });
        }
        let changes = self.store.changes_since(after);
        let read = Read { changes, revision: self.store.revision(), sent_at, is_list: false };
        self.bring(at, watch, read, self.now);
    }

    fn take(&mut self, at: usize, watch: u64, read: Read) {
        let process = &mut self.processes[at];
        if process.watch != watch || !process.is_alive {
            return;
        }
        for change in read.changes {
            process.cache.apply(&change.key, change.value, change.revision);
        }
        if read.is_list {
            process.store_follower.synced();
        }
        process.cache.mark_current(read.sent_at, RowSource::Store);
        self.check_age(at);
        self.note_config(at);
        self.after(WATCH_GAP, Event::Poll { at, watch, after: read.revision });
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
