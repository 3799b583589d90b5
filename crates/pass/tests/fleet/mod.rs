//! A fleet of processes that choose among the same groups, each on loads that the others reported
//! some time ago.
//!
//! Time advances by milliseconds. Every process sends its loads to a hub and gets the sum of the
//! others' last reports at every exchange, each at another moment of the interval.

pub(crate) mod engine;

use std::collections::BTreeMap;
use std::sync::Arc;

use base::hash::stable;
use base::prelude::*;
use form::prelude::*;
use pass::dispatch::Decision;
use pass::dispatch::DispatchQueue;
use pass::dispatch::PendingRequest;
use pass::dispatch::Ticket;
use pass::endpoints::EndpointRequirements;
use pass::load::Load;
use pass::prelude::*;

use engine::Engine;
use engine::Job;

/// Resolution of the simulation.
const TICK: Duration = Duration::from_millis(1);
/// Time between two decisions on the waiting requests of a process.
const DISPATCH_PERIOD: Duration = Duration::from_millis(20);
/// Time between two samples of the requests at the groups.
const SAMPLE_PERIOD: Duration = Duration::from_millis(100);
/// Time until the caller gives up.
const DEADLINE: Duration = Duration::from_secs(8);

const SERVICE: &str = "assistant";
const MODEL: &str = "large";

/// What the fleet has to serve, and with what.
#[derive(Clone)]
pub(crate) struct Scenario {
    /// Number of processes.
    pub(crate) processes: usize,
    /// Time between two exchanges of a process with the hub.
    pub(crate) exchange_interval: Duration,
    /// Requests a second over all processes.
    pub(crate) per_second: f64,
    /// Mean number of prompt tokens; a request has a fifth to nine fifths of them.
    pub(crate) prompt_tokens: u64,
    /// Mean number of events of an answer.
    pub(crate) events: u32,
    /// Target of the time to the first event.
    pub(crate) latency_target: Duration,
    /// When each group opens; it stays open.
    pub(crate) opens_at: Vec<Duration>,
    /// The priorities of the requests, in turn.
    pub(crate) priorities: Vec<u8>,
    /// The workspaces of the requests, in turn.
    pub(crate) workspaces: Vec<usize>,
    /// For how long requests arrive.
    pub(crate) length: Duration,
}

/// A request, as its caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// When it arrived.
    pub(crate) arrived_at: Mono,
    /// Time to its first event; `None` if it was refused.
    pub(crate) first_event_after: Option<Duration>,
    /// Its workspace.
    pub(crate) workspace: usize,
    /// Its priority.
    pub(crate) priority: u8,
    prompt_tokens: u64,
    events: u32,
    endpoint: Option<Endpoint>,
}

/// What became of the requests.
pub(crate) struct Outcome {
    /// The requests in the order of their arrival.
    pub(crate) requests: Vec<Request>,
    /// The requests at each open group, sampled every [`SAMPLE_PERIOD`] while requests arrive.
    pub(crate) samples: Vec<(Mono, Vec<f64>)>,
}

impl Outcome {
    /// Returns the mean coefficient of variation between groups from `from` on, relative to that of as many
    /// requests at random groups.
    pub(crate) fn unevenness(&self, from: Duration) -> f64 {
        let samples: Vec<&Vec<f64>> =
            self.samples.iter().filter(|(at, _)| *at >= from).map(|(_, counts)| counts).collect();
        let relative = |counts: &&Vec<f64>| {
            let groups = counts.len() as f64;
            let mean = counts.iter().sum::<f64>() / groups;
            let variance = counts.iter().map(|count| (count - mean).powi(2)).sum::<f64>() / groups;
            variance.sqrt() / mean.sqrt()
        };
        samples.iter().map(relative).sum::<f64>() / samples.len() as f64
    }

    /// Returns the same share of the tenth of the requests with the longest prompts.
    pub(crate) fn share_of_longest_in_time(&self, from: Duration, target: Duration) -> f64 {
        let mut counted: Vec<&Request> =
            self.requests.iter().filter(|request| request.arrived_at >= from).collect();
        counted.sort_by_key(|request| std::cmp::Reverse(request.prompt_tokens));
        counted.truncate(counted.len() / 10);
        share_in_time(&counted, target)
    }

    /// Returns the same share of the requests of one workspace.
    pub(crate) fn share_of_workspace_in_time(&self, workspace: usize, target: Duration) -> f64 {
        let is_counted = |request: &&Request| request.workspace == workspace;
        let counted: Vec<&Request> = self.requests.iter().filter(is_counted).collect();
        share_in_time(&counted, target)
    }

    /// Returns the same share of the requests of one priority.
    pub(crate) fn share_of_priority_in_time(&self, priority: u8, target: Duration) -> f64 {
        let is_counted = |request: &&Request| request.priority == priority;
        let counted: Vec<&Request> = self.requests.iter().filter(is_counted).collect();
        share_in_time(&counted, target)
    }

    /// Returns the share of the requests that arrived at `from` or later whose first event came
    /// within `target`.
    pub(crate) fn share_in_time(&self, from: Duration, target: Duration) -> f64 {
        let counted: Vec<&Request> =
            self.requests.iter().filter(|request| request.arrived_at >= from).collect();
        share_in_time(&counted, target)
    }
}

fn share_in_time(requests: &[&Request], target: Duration) -> f64 {
    let is_in_time =
        |request: &&&Request| request.first_event_after.is_some_and(|after| after <= target);
    requests.iter().filter(is_in_time).count() as f64 / requests.len() as f64
}

struct Process {
    endpoints: EndpointPool,
    dispatch: DispatchQueue,
    /// The numbers of the requests that wait.
    waiting: BTreeMap<Ticket, usize>,
    /// What it last told the hub.
    reported: Vec<(ServerId, Load)>,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    processes: Vec<Process>,
    groups: BTreeMap<ServerId, Engine>,
    requests: Vec<Request>,
    samples: Vec<(Mono, Vec<f64>)>,
    random_state: u64,
}

/// Returns the figures of an engine like those of the users' sheets.
pub(crate) fn engine_spec() -> EngineSpec {
    let model = ModelSpec {
        name: MODEL.into(),
        group_size: 16,
        time_factor: 1.0,
        initial_demand_share: 1.0,
        store_load_time: Duration::from_secs(16),
        host_load_time: Duration::from_millis(1_600),
    };
    EngineSpec {
        models: vec![model],
        slots: 30,
        kv_cache_tokens: 1_590_000,
        step_time: Duration::from_micros(5_950),
        step_time_per_request: Duration::from_micros(44),
        step_time_per_1k_context: Duration::from_micros(8),
        prefill_tokens_per_second: 50_700.0,
        prefill_chunk_tokens: 2_048,
        steps_per_flush: 7,
        open_time: Duration::from_millis(300),
        max_loads_per_second: 4.5,
        max_concurrent_loads: 6,
        mean_prompt_tokens: 1_600.0,
        mean_output_tokens: 120.0,
    }
}

/// Plays a scenario; the same seed gives the same outcome.
pub(crate) fn play(scenario: &Scenario, seed: u64) -> Outcome {
    let process = |index: usize| {
        let mut endpoints =
            EndpointPool::with_seed(stable(&(seed, index).0.to_be_bytes()) + index as u64);
        let engine = Some(engine_spec());
        let spec =
            ServiceSpec { name: SERVICE.into(), max_connections: 690, engine, warm_up: None };
        endpoints.set_services([Arc::new(spec)]);
        Process {
            endpoints,
            dispatch: DispatchQueue::default(),
            waiting: BTreeMap::new(),
            reported: Vec::new(),
        }
    };
    let mut fleet = Fleet {
        scenario,
        processes: (0..scenario.processes).map(process).collect(),
        groups: BTreeMap::new(),
        requests: Vec::new(),
        samples: Vec::new(),
        random_state: seed,
    };
    let mut now = Duration::from_secs(1);
    let end = now + scenario.length + DEADLINE;
    while now < end {
        fleet.tick(now);
        now += TICK;
    }
    Outcome { requests: fleet.requests, samples: fleet.samples }
}

impl Fleet<'_> {
    fn tick(&mut self, now: Mono) {
        self.open_groups(now);
        for index in 0..self.processes.len() {
            if is_due(index, self.processes.len(), self.scenario.exchange_interval, now) {
                self.exchange(index, now);
            }
            if is_due(index, self.processes.len(), DISPATCH_PERIOD, now) {
                self.dispatch_waiting(index, now);
            }
        }
        let starts_at = Duration::from_secs(1);
        if now < starts_at + self.scenario.length {
            let expected = self.scenario.per_second * TICK.as_secs_f64();
            if self.random() < expected {
                self.arrive(now);
            }
            if now.as_millis().is_multiple_of(SAMPLE_PERIOD.as_millis()) {
                let counts = self.groups.values().map(|group| group.len() as f64).collect();
                self.samples.push((now, counts));
            }
        }
        self.advance_groups(now);
    }

    fn open_groups(&mut self, now: Mono) {
        let open: Vec<usize> = (0..self.scenario.opens_at.len())
            .filter(|group| now >= self.scenario.opens_at[*group])
            .collect();
        if open.len() == self.groups.len() {
            return;
        }
        for group in &open {
            let server = endpoint(*group).server;
            self.groups.entry(server).or_insert_with(|| Engine::new(engine_spec()));
        }
        for process in &mut self.processes {
            process.endpoints.set_endpoints(open.iter().map(|group| endpoint(*group)).collect());
        }
    }

    fn arrive(&mut self, now: Mono) {
        let index = (self.random() * self.processes.len() as f64) as usize;
        let prompt_tokens =
            (self.scenario.prompt_tokens as f64 * (0.2 + 1.6 * self.random())) as u64;
        let events = 1 + (2.0 * self.random() * f64::from(self.scenario.events - 1)) as u32;
        let number = self.requests.len();
        let workspace = self.scenario.workspaces[number % self.scenario.workspaces.len()];
        let priority = self.scenario.priorities[number % self.scenario.priorities.len()];
        self.requests.push(Request {
            arrived_at: now,
            first_event_after: None,
            workspace,
            priority,
            prompt_tokens,
            events,
            endpoint: None,
        });
        let pending = PendingRequest {
            requirements: EndpointRequirements {
                service: SERVICE.into(),
                model: Some(MODEL.into()),
                prompt_tokens,
                output_tokens: u64::from(events * engine_spec().steps_per_flush),
                excluded: Vec::new(),
            },
            arrived_at: now,
            latency_target: self.scenario.latency_target,
            deadline: now + DEADLINE,
            priority,
            workspace: Some(format!("w{workspace}").into()),
            may_hand_over: false,
        };
        let process = &mut self.processes[index];

        process.endpoints.request_arrived(&pending.requirements, pending.class(), now);
        let (decision, ticket) = process.dispatch.submit(pending, &process.endpoints, now);
        match ticket {
            Some(ticket) => {
                process.waiting.insert(ticket, number);
            }
            None => self.carry_out(index, number, decision, now),
        }
    }

    fn dispatch_waiting(&mut self, index: usize, now: Mono) {
        loop {
            let process = &mut self.processes[index];
            let Some((ticket, _, decision)) = process.dispatch.poll(&process.endpoints, now) else {
                return;
            };
            let number = process.waiting.remove(&ticket).expect("it waits");
            self.carry_out(index, number, decision, now);
        }
    }

    fn carry_out(&mut self, index: usize, number: usize, decision: Decision, now: Mono) {
        let Decision::Send(choice) = decision else { return };
        let request = &mut self.requests[number];
        let endpoints = &mut self.processes[index].endpoints;
        endpoints.request_sent(&choice.endpoint, request.prompt_tokens, now);
        let group = self.groups.get_mut(&choice.endpoint.server).expect("it is open");
        group.push(Job {
            process: index,
            number,
            unread: request.prompt_tokens,
            events_left: request.events,
            has_begun: false,
        });
        request.endpoint = Some(choice.endpoint);
    }

    fn advance_groups(&mut self, now: Mono) {
        let mut progress = Vec::new();
        for group in self.groups.values_mut() {
            progress.extend(group.advance(now));
        }
        for progress in progress {
            let job = progress.job;
            let request = &mut self.requests[job.number];
            let endpoint = request.endpoint.clone().expect("it was sent");
            let endpoints = &mut self.processes[job.process].endpoints;
            endpoints.data_received(&endpoint, now);
            if progress.is_first {
                request.first_event_after = Some(now - request.arrived_at);
                endpoints.prefill_done(&endpoint, request.prompt_tokens);
            }
            if job.events_left == 0 {
                endpoints.request_succeeded(&endpoint, now - request.arrived_at, now);
                endpoints.request_ended(&endpoint);
            }
        }
    }

    fn exchange(&mut self, index: usize, now: Mono) {
        self.processes[index].reported = self.processes[index].endpoints.local_loads(now);
        let mut sums: BTreeMap<ServerId, Load> = BTreeMap::new();
        for (other, process) in self.processes.iter().enumerate().filter(|(i, _)| *i != index) {
            debug_assert_ne!(other, index);
            for (server, load) in &process.reported {
                let sum = sums.entry(server.clone()).or_default();
                *sum = sum.combined_with(load);
            }
        }
        let sums: Vec<(ServerId, Load)> = sums.into_iter().collect();
        let processes = self.processes.len();
        self.processes[index].endpoints.set_remote_loads(&sums, processes, now);
    }

    /// Returns a pseudo-random number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.random_state = stable(&self.random_state.to_be_bytes());
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Returns whether the process `index` of `count` does now what all do every `period`, each at its own
/// moment.
fn is_due(index: usize, count: usize, period: Duration, now: Mono) -> bool {
    let period = period.as_millis();
    let offset = period * index as u128 / count as u128;
    now.as_millis() % period == offset
}

fn endpoint(group: usize) -> Endpoint {
    Endpoint {
        server: format!("head-{group}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        service: SERVICE.into(),
        group: Some((format!("g-{group}").into(), 1)),
        model: Some(MODEL.into()),
        slots: engine_spec().slots,
        failure_domain: "a".into(),
        started_at_ms: 1,
    }
}
