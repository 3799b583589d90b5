//! A fleet of processes that retry failed requests, without network and in simulated time.
//!
//! Each failure domain has a lock whose holder is its hub. The other processes exchange messages with
//! the hubs, their own domain's first, and some messages are lost. A process that starts again has the
//! address of the earlier one, or a new one in its place; an address answers whether its process is a
//! hub or not. Time advances by [`TICK`].

mod process;

use base::prelude::*;
use pass::budget::BudgetSettings;
use pass::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use process::Answer;
use process::Message;
use process::Process;

/// Resolution of the simulation.
pub(crate) const TICK: Duration = Duration::from_millis(10);
/// How long a lock outlives a holder that didn't release it.
const LEASE: Duration = Duration::from_secs(3);
/// How long a holder relies on its lock after the last renewal.
const SAFE_LEASE: Duration = Duration::from_millis(2_400);
/// Longest time until a free lock is taken.
const ELECTION_TIME: Duration = Duration::from_millis(1_500);
/// Longest time that a message takes, one way.
const LATENCY: Duration = Duration::from_millis(60);
/// Share of the answers that are lost.
const LOSS: f64 = 0.02;
/// Time after which a sender gives up.
const TIMEOUT: Duration = Duration::from_millis(400);
/// How long a stream may take.
const LONGEST_STREAM: Duration = Duration::from_secs(30);
/// Most attempts of a request beyond the first.
const MAX_RETRIES: u32 = 2;

/// Something that happens to a fleet.
#[data]
pub(crate) enum Event {
    /// A share of the processes is killed; others start at their addresses.
    Kill { share: f64 },
    /// A share of the processes is stopped, releases its locks, and is replaced at other addresses.
    Replace { share: f64 },
    /// All hubs are killed.
    KillHubs,
    /// A share of the processes reaches no server for a while, and hands requests over.
    CutFromServers { share: f64, length: Duration },
    /// A share of the processes reaches no other process for a while.
    CutFromProcesses { share: f64, length: Duration },
    /// The store doesn't respond for a while, and then has forgotten the locks or hasn't.
    StoreAway { length: Duration, forgets: bool },
}

/// What a fleet goes through.
#[data]
pub(crate) struct Scenario {
    pub(crate) domains: usize,
    pub(crate) processes_per_domain: usize,
    pub(crate) settings: BudgetSettings,
    /// Requests a second from callers, at all processes together.
    pub(crate) per_second: f64,
    /// Share of the attempts that fail.
    pub(crate) failing: f64,
    /// When the first request arrives.
    pub(crate) traffic_from: Duration,
    pub(crate) length: Duration,
    pub(crate) events: Vec<(Duration, Event)>,
    pub(crate) seed: u64,
}

/// When requests and retries were sent, in order.
#[derive(Debug, Default)]
pub(crate) struct Record {
    requests: Vec<Mono>,
    retries: Vec<Mono>,
    /// Those of the retries that hubs had granted.
    granted: Vec<Mono>,
}

impl Record {
    pub(crate) fn retry_count(&self) -> usize {
        self.retries.len()
    }

    /// Returns the most granted retries in a window.
    pub(crate) fn most_granted(&self, window: Duration) -> usize {
        let windows = self.granted.iter().map(|end| count(&self.granted, *end, window));
        windows.max().unwrap_or_default()
    }

    /// Returns the window that has the most retries beyond those that it allows: its end, its retries, and
    /// how many are allowed.
    pub(crate) fn worst_window(&self, settings: &BudgetSettings) -> Option<(Mono, usize, f64)> {
        let window = settings.window;
        let windows = self.retries.iter().map(|end| {
            let retries = count(&self.retries, *end, window);
            let earlier = |by: Duration| {
                end.checked_sub(by).map_or(0, |end| count(&self.requests, end, window))
            };
            let ends = [Duration::ZERO, window / 2, window];
            let requests = ends.into_iter().map(earlier).max().unwrap_or_default();
            (*end, retries, settings.ratio * requests as f64 + settings.slack)
        });
        windows.max_by(|a, b| (a.1 as f64 - a.2).total_cmp(&(b.1 as f64 - b.2)))
    }
}

/// Returns how many of `times` lie in the window that ends at `end`, and includes it.
fn count(times: &[Mono], end: Mono, window: Duration) -> usize {
    let until = times.partition_point(|at| *at <= end);
    let from = end.checked_sub(window).map_or(0, |from| times.partition_point(|at| *at <= from));
    until - from
}

/// A process, or the place of one that has ended.
struct Slot {
    domain: usize,
    process: Option<Process>,
    /// Number of processes that this place has had.
    incarnation: u64,
    starts_at: Mono,
    cut_from_servers_until: Mono,
    cut_from_processes_until: Mono,
    next_exchange: Mono,
    call: Option<Call>,
    /// When the requests arrived that earn retries at its process.
    arrivals: Vec<Mono>,
}

/// A message of a process to a hub, and its answer.
struct Call {
    sent_at: Mono,
    /// The hubs that are still to be asked, the one that is being asked first.
    hubs: Vec<usize>,
    message: Message,
    /// When the message, or its answer, arrives.
    arrives_at: Mono,
    answer: Option<Answer>,
    is_lost: bool,
}

/// The lock of a failure domain.
#[derive(Default)]
struct HubLock {
    /// The holder's slot and incarnation.
    holder: Option<(usize, u64)>,
    /// Whether a process has held it before.
    has_been_held: bool,
    /// A holder of whom the store doesn't know any more, and until when it relies on its lock.
    forgotten: Option<(usize, u64)>,
    relied_on_until: Mono,
    /// When the holder's lease ends, if the holder has.
    expires_at: Option<Mono>,
    /// When a process takes it, if it is free.
    taken_at: Mono,
}

/// The simulation.
pub(crate) struct Fleet {
    scenario: Scenario,
    rng: StdRng,
    now: Mono,
    slots: Vec<Slot>,
    locks: Vec<HubLock>,
    store_back_at: Mono,
    store_away_since: Mono,
    store_forgets: bool,
    record: Record,
}

impl Fleet {
    /// Plays a scenario to its end.
    pub(crate) fn play(scenario: Scenario) -> Record {
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let mut slots = Vec::new();
        for number in 0..scenario.domains * scenario.processes_per_domain {
            slots.push(Slot {
                domain: number % scenario.domains,
                process: None,
                incarnation: 0,
                starts_at: rng.random_range(Duration::ZERO..Duration::from_millis(300)),
                cut_from_servers_until: Mono::ZERO,
                cut_from_processes_until: Mono::ZERO,
                next_exchange: Mono::ZERO,
                call: None,
                arrivals: Vec::new(),
            });
        }
        let locks = (0..scenario.domains).map(|_| HubLock::default()).collect();
        let mut fleet = Fleet {
            scenario,
            rng,
            now: Mono::ZERO,
            slots,
            locks,
            store_back_at: Mono::ZERO,
            store_away_since: Mono::ZERO,
            store_forgets: false,
            record: Record::default(),
        };
        while fleet.now < fleet.scenario.length {
            fleet.advance();
        }
        fleet.record
    }

    fn advance(&mut self) {
        self.now += TICK;
        let now = self.now;
        let due = |(at, _): &&(Duration, Event)| *at <= now && now < *at + TICK;
        let events: Vec<Event> =
            self.scenario.events.iter().filter(due).map(|(_, event)| event.clone()).collect();
        for event in events {
            self.happens(event);
        }
        self.start_processes();
        for domain in 0..self.locks.len() {
            self.update_lock(domain);
        }
        for number in 0..self.slots.len() {
            self.exchange(number);
        }
        self.send_requests();
    }

    fn happens(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Kill { share } => {
                for number in self.draw(share) {
                    self.end(number, false);
                }
            }
            Event::Replace { share } => {
                for number in self.draw(share) {
                    self.end(number, true);
                }
            }
            Event::KillHubs => {
                let hubs: Vec<usize> =
                    self.locks.iter().filter_map(|lock| Some(lock.holder?.0)).collect();
                for number in hubs {
                    self.end(number, false);
                }
            }
            Event::CutFromServers { share, length } => {
                for number in self.draw(share) {
                    self.slots[number].cut_from_servers_until = now + length;
                    self.hand_over_streams(number);
                }
            }
            Event::CutFromProcesses { share, length } => {
                for number in self.draw(share) {
                    self.slots[number].cut_from_processes_until = now + length;
                }
            }
            Event::StoreAway { length, forgets } => {
                if now >= self.store_back_at {
                    self.store_away_since = now;
                }
                self.store_back_at = self.store_back_at.max(now + length);
                self.store_forgets = forgets;
            }
        }
    }

    fn draw(&mut self, share: f64) -> Vec<usize> {
        (0..self.slots.len()).filter(|_| self.rng.random_bool(share)).collect()
    }

    fn end(&mut self, number: usize, is_planned: bool) {
        let slot = &mut self.slots[number];
        if slot.process.take().is_none() {
            return;
        }
        slot.call = None;
        slot.arrivals.clear();
        let pause = self.rng.random_range(Duration::from_millis(200)..Duration::from_millis(1_000));
        slot.starts_at = self.now + pause;
        let lock = &mut self.locks[slot.domain];
        if lock.holder == Some((number, slot.incarnation)) {
            let age = self.rng.random_range(Duration::ZERO..LEASE / 4);
            let rest = if is_planned { Duration::ZERO } else { LEASE - age };
            lock.expires_at = Some(self.now + rest);
        }
    }

    fn start_processes(&mut self) {
        let now = self.now;
        for (number, slot) in self.slots.iter_mut().enumerate() {
            if slot.process.is_none() && now >= slot.starts_at {
                slot.incarnation += 1;
                let Scenario { domains, settings, .. } = self.scenario;
                slot.process = Some(Process::start(number, domains, settings, &mut self.rng));
                slot.next_exchange = now;
            }
        }
    }

    /// Lets a lock expire, and a process take it.
    fn update_lock(&mut self, domain: usize) {
        let now = self.now;
        let is_away = now < self.store_back_at;
        let lock = &mut self.locks[domain];
        if is_away {
            // Its holder can't renew it.
            let is_safe = now < self.store_away_since + SAFE_LEASE;
            self.set_hub_certain(domain, is_safe);
            return;
        }
        if let Some((number, incarnation)) = lock.forgotten.take_if(|_| now >= lock.relied_on_until)
            && let Some(process) = self.process_of(number, incarnation)
        {
            process.loses_hub();
        }
        let lock = &mut self.locks[domain];
        if self.store_forgets && now < self.store_back_at + TICK && lock.holder.is_some() {
            lock.expires_at.get_or_insert(now);
            lock.forgotten = lock.holder;
            lock.relied_on_until = now + SAFE_LEASE;
        }
        if lock.expires_at.is_some_and(|at| now >= at) {
            let elected_after = self.rng.random_range(Duration::ZERO..ELECTION_TIME);
            lock.holder = None;
            lock.expires_at = None;
            lock.taken_at = now + elected_after;
            return;
        }
        self.set_hub_certain(domain, true);
        let lock = &mut self.locks[domain];
        if lock.holder.is_some() || now < lock.taken_at {
            return;
        }
        let in_domain = |slot: &Slot| slot.domain == domain && slot.process.is_some();
        let candidates: Vec<usize> =
            (0..self.slots.len()).filter(|number| in_domain(&self.slots[*number])).collect();
        if candidates.is_empty() {
            return;
        }
        let number = candidates[self.rng.random_range(0..candidates.len())];
        let lock = &mut self.locks[domain];
        lock.holder = Some((number, self.slots[number].incarnation));
        let is_first = !std::mem::replace(&mut lock.has_been_held, true);
        if let Some(process) = &mut self.slots[number].process {
            process.becomes_hub(is_first, now, &mut self.rng);
        }
    }

    fn set_hub_certain(&mut self, domain: usize, is_certain: bool) {
        if let Some((number, incarnation)) = self.locks[domain].holder
            && let Some(process) = self.process_of(number, incarnation)
        {
            process.set_hub_certain(is_certain);
        }
    }

    fn process_of(&mut self, number: usize, incarnation: u64) -> Option<&mut Process> {
        let slot = &mut self.slots[number];
        slot.process.as_mut().filter(|_| slot.incarnation == incarnation)
    }

    /// Returns the addresses of the hubs, that of `domain` first.
    fn hubs(&self, domain: usize) -> Vec<usize> {
        let mut hubs: Vec<(bool, usize)> = self
            .locks
            .iter()
            .enumerate()
            .filter_map(|(of, lock)| Some((of != domain, lock.holder?.0)))
            .collect();
        hubs.sort();
        hubs.into_iter().map(|(_, number)| number).collect()
    }

    fn is_cut(&self, number: usize) -> bool {
        self.now < self.slots[number].cut_from_processes_until
    }

    /// Sends the messages of a process that are due, and delivers what has arrived.
    fn exchange(&mut self, number: usize) {
        let now = self.now;
        let slot = &mut self.slots[number];
        let Some(process) = &mut slot.process else { return };
        let Some(mut call) = slot.call.take() else {
            if now < slot.next_exchange {
                return;
            }
            slot.next_exchange = now + process.pause();
            let domain = slot.domain;
            if process.is_hub() {
                process.exchange_with_itself(now);
                return;
            }
            let hubs = self.hubs(domain);
            self.call(number, hubs);
            return;
        };
        if now < call.arrives_at {
            slot.call = Some(call);
            return;
        }
        if let Some(answer) = call.answer.take() {
            process.apply(answer, call.sent_at, now);
            return;
        }
        let hub = call.hubs[0];
        let is_answered = !call.is_lost && !self.is_cut(number) && !self.is_cut(hub);
        let answer = match &mut self.slots[hub].process {
            Some(hub) if hub.name() != call.message.name() => {
                let answer = hub.answer(&call.message, now);
                is_answered.then_some(answer)
            }
            _ => None,
        };
        if answer.is_none() {
            return self.call(number, call.hubs.split_off(1));
        }
        call.answer = answer;
        call.arrives_at = now + self.rng.random_range(TICK..LATENCY);
        self.slots[number].call = Some(call);
    }

    fn call(&mut self, number: usize, hubs: Vec<usize>) {
        let Some(hub) = hubs.first() else { return };
        let now = self.now;
        let is_lost = self.rng.random_bool(LOSS);
        let is_refused = self.slots[*hub].process.is_none();
        let is_cut = self.is_cut(number) || self.is_cut(*hub);
        let takes = match (is_cut || is_lost, is_refused) {
            (true, _) => TIMEOUT,
            (false, true) => TICK,
            (false, false) => self.rng.random_range(TICK..LATENCY),
        };
        // What is lost is lost with the answer or with the message.
        let arrives_at = now + takes;
        let Some(process) = &mut self.slots[number].process else { return };
        let message = process.message(*hub, now);
        self.slots[number].call =
            Some(Call { sent_at: now, hubs, message, arrives_at, answer: None, is_lost });
    }

    /// Sends the requests that arrive in this tick, and retries those that fail.
    fn send_requests(&mut self) {
        let now = self.now;
        if now < self.scenario.traffic_from {
            return;
        }
        let mean = self.scenario.per_second * TICK.as_secs_f64();
        let rest = self.rng.random_bool(mean.fract());
        for _ in 0..mean as usize + usize::from(rest) {
            self.record.requests.push(now);
            let alive: Vec<usize> =
                (0..self.slots.len()).filter(|n| self.slots[*n].process.is_some()).collect();
            if alive.is_empty() {
                continue;
            }
            let entry = alive[self.rng.random_range(0..alive.len())];
            if let Some(process) = &mut self.slots[entry].process {
                process.record_request(Duration::ZERO, now);
            }
            let is_cut = |number: &&usize| now < self.slots[**number].cut_from_servers_until;
            let server_of = match is_cut(&&entry) {
                false => {
                    self.slots[entry].arrivals.push(now);
                    entry
                }
                true => {
                    let helpers: Vec<usize> =
                        alive.iter().filter(|number| !is_cut(number)).copied().collect();
                    if helpers.is_empty() {
                        continue;
                    }
                    let helper = helpers[self.rng.random_range(0..helpers.len())];
                    self.hand_over(entry, helper, Duration::ZERO);
                    helper
                }
            };
            self.attempt(server_of);
        }
    }

    fn hand_over(&mut self, from: usize, to: usize, age: Duration) {
        let now = self.now;
        let process = self.slots[from].process.as_mut();
        let earns_there = process.is_some_and(|process| process.hand_over(age, now));
        let earner = if earns_there { to } else { from };
        if let Some(helper) = self.slots[to].process.as_mut().filter(|_| earns_there) {
            helper.record_request(age, now);
        }
        self.slots[earner].arrivals.push(now - age);
    }

    /// Hands over the streams of a process that goes on elsewhere with them, each to another process, where
    /// they are resumed.
    fn hand_over_streams(&mut self, from: usize) {
        let now = self.now;
        for arrived_at in std::mem::take(&mut self.slots[from].arrivals) {
            let to = self.rng.random_range(0..self.slots.len());
            if to == from || self.slots[to].process.is_none() || now > arrived_at + LONGEST_STREAM {
                continue;
            }
            self.hand_over(from, to, now - arrived_at);
            self.attempt(to);
        }
    }

    fn attempt(&mut self, number: usize) {
        let now = self.now;
        for _ in 0..MAX_RETRIES {
            if !self.rng.random_bool(self.scenario.failing) {
                return;
            }
            let Some(process) = &mut self.slots[number].process else { return };
            match process.try_retry(now) {
                None => return,
                Some(RetrySource::Requests) => {}
                Some(RetrySource::Grant) => self.record.granted.push(now),
            }
            self.record.retries.push(now);
        }
    }
}
