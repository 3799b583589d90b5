//! A discrete-event simulation of real routers, one per process, that exchange group tables and
//! facts with random delays, in front of groups that crash when they run the poison request.
//!
//! Without quarantine the routers grant each trial locally and a crash is reported to them as a
//! request that was not sent, so that only the number of attempts limits the crashes.

use std::collections::BTreeMap;

use base::hash::owner;
use base::prelude::*;
use group::record::GroupState;
use group::view::GroupTable;
use group::view::GroupView;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::prelude::*;
use route::trial::TrialRequest;
use route::trial::coordinator_key;

use super::Options;
use super::Outcome;
use super::SERVICE;
use crate::measure::event_queue::EventQueue;
use crate::measure::view::idle_group;

const MS: Duration = Duration::from_millis(1);
/// One-way latency between a caller and a process, or between two processes.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(2);
/// Time from the start of the poison request to the crash of its group.
const CRASH_AFTER: Duration = Duration::from_millis(300);
/// Time from a crash until the group serves again.
const REPAIR_AFTER: Duration = Duration::from_secs(60);
/// Time during which background requests arrive.
const DURATION: Duration = Duration::from_secs(90);
/// When the poison request is first sent.
const POISON_AT: Duration = Duration::from_secs(10);
/// Attempts of each request without quarantine.
const BASELINE_ATTEMPTS: u32 = 3;

struct Job {
    spec: RequestSpec,
    node: usize,
    is_poison: bool,
    /// The group that runs it.
    group: Option<GroupId>,
    /// When a group first crashed under it; kept for background requests only.
    crashed_at: Option<Duration>,
    /// Number of the current attempt; events of earlier attempts are ignored.
    attempt: u64,
}

enum SimulationEvent {
    Send { body: u64, is_poison: bool, node: usize },
    End { request: u64, attempt: u64 },
    Crash { request: u64, attempt: u64 },
    Repair(usize),
    UpdateGroups { node: usize, table: GroupTable },
    Deliver { node: usize, event: RouteEvent },
    RequestTrial { node: usize, from: usize, request: u64, trial_request: TrialRequest },
    Tick,
}

struct Simulation {
    options: Options,
    rng: ChaCha8Rng,
    events: EventQueue<SimulationEvent>,
    routers: Vec<Router>,
    table: GroupTable,
    jobs: BTreeMap<u64, Job>,
    /// By correlation id, the process and the request that a trial was requested for.
    pending_trials: BTreeMap<u64, (usize, u64)>,
    last_id: u64,
    poison_sends: u32,
    outcome: Outcome,
}

/// Runs the simulation once.
pub fn simulate(options: Options, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(options, seed);
    while let Some((now, event)) = simulation.events.pop() {
        if now > DURATION + 120 * SERVICE {
            break;
        }
        simulation.handle(event, now);
    }
    simulation.outcome.background_lost +=
        simulation.jobs.values().filter(|job| !job.is_poison).count() as u32;
    simulation.outcome
}

impl Simulation {
    fn new(options: Options, seed: u64) -> Self {
        let groups = (0..options.groups).map(idle_group).collect();
        let table = GroupTable { groups };
        let name = |i: usize| -> NodeId { format!("n{i}").into() };
        let mut routers: Vec<Router> =
            (0..options.nodes).map(|i| Router::new(name(i), RouteSettings::default())).collect();
        for router in &mut routers {
            router.decide(RouteEvent::Groups(table.clone()), Duration::ZERO, 0);
        }
        let mut simulation = Simulation {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: EventQueue::default(),
            routers,
            table,
            jobs: BTreeMap::new(),
            pending_trials: BTreeMap::new(),
            last_id: 0,
            poison_sends: 1,
            outcome: Outcome::default(),
        };
        simulation.schedule_callers();
        simulation
    }

    fn schedule_callers(&mut self) {
        let node = self.rng.random_range(0..self.options.nodes);
        self.events.push(POISON_AT, SimulationEvent::Send { body: 0, is_poison: true, node });
        if let Some(gap) = self.options.resend_interval {
            for resend in 1..self.options.sends {
                let node = self.rng.random_range(0..self.options.nodes);
                let send = SimulationEvent::Send { body: 0, is_poison: true, node };
                self.events.push(POISON_AT + resend * gap, send);
            }
            self.poison_sends = self.options.sends;
        }
        let mut at = Duration::ZERO;
        for body in 1.. {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.options.background_rate;
            at += Duration::from_secs_f64(gap);
            if at > DURATION {
                break;
            }
            let node = self.rng.random_range(0..self.options.nodes);
            self.outcome.background_requests += 1;
            self.events.push(at, SimulationEvent::Send { body, is_poison: false, node });
        }
        for tick in 0..DURATION.as_millis() as u32 / 50 {
            self.events.push(tick * 50 * MS, SimulationEvent::Tick);
        }
    }

    fn handle(&mut self, event: SimulationEvent, now: Duration) {
        match event {
            SimulationEvent::Send { body, is_poison, node } => {
                self.accept(body, is_poison, node, now)
            }
            SimulationEvent::End { request, attempt } => self.end(request, attempt, now),
            SimulationEvent::Crash { request, attempt } => self.crash(request, attempt, now),
            SimulationEvent::Repair(group) => {
                self.table.groups[group].state = GroupState::Serving;
                self.table.groups[group].generation += 1;
                self.broadcast_groups(now);
            }
            SimulationEvent::UpdateGroups { node, table } => {
                self.decide(node, RouteEvent::Groups(table), now)
            }
            SimulationEvent::Deliver { node, event } => self.decide(node, event, now),
            SimulationEvent::RequestTrial { node, from, request, trial_request } => {
                self.last_id += 1;
                self.pending_trials.insert(self.last_id, (from, request));
                self.decide(
                    node,
                    RouteEvent::TrialRequested { correlation_id: self.last_id, trial_request },
                    now,
                );
            }
            SimulationEvent::Tick => {
                (0..self.routers.len()).for_each(|node| self.decide(node, RouteEvent::Tick, now));
            }
        }
    }

    fn accept(&mut self, body: u64, is_poison: bool, node: usize, now: Duration) {
        self.last_id += 1;
        let text = format!("body {body}");
        let mut spec = RequestSpec::new(self.last_id, "w", "m", "v", text.as_bytes());
        spec.deadline = now + Duration::from_secs(60);
        spec.tokens = 20;
        let job = Job { spec, node, is_poison, group: None, crashed_at: None, attempt: 0 };
        let submit = RouteEvent::Submit(job.spec.clone());
        self.jobs.insert(self.last_id, job);
        self.decide(node, submit, now);
    }

    fn end(&mut self, request: u64, attempt: u64, now: Duration) {
        if self.jobs.get(&request).is_none_or(|job| job.attempt != attempt) {
            return;
        }
        let Some(job) = self.jobs.remove(&request) else { return };
        if let Some(crashed_at) = job.crashed_at {
            let elapsed = now - crashed_at;
            self.outcome.longest_time_to_answer = self.outcome.longest_time_to_answer.max(elapsed);
        }
        self.decide(job.node, RouteEvent::Finished(request), now);
    }

    fn crash(&mut self, request: u64, attempt: u64, now: Duration) {
        let Some(job) = self.jobs.get(&request).filter(|job| job.attempt == attempt) else {
            return;
        };
        let Some(group) = job.group.clone() else { return };
        self.outcome.crashes += 1;
        let index = self.table.groups.iter().position(|view| view.id == group).unwrap_or(0);
        self.table.groups[index].state = GroupState::Broken;
        self.events.push(now + REPAIR_AFTER, SimulationEvent::Repair(index));
        self.broadcast_groups(now);
        let in_group = self.jobs.iter().filter(|(_, job)| job.group.as_ref() == Some(&group));
        let running: Vec<u64> = in_group.map(|(request, _)| *request).collect();
        for request in running {
            self.fail(request, &group, now + MS);
        }
    }

    fn fail(&mut self, request: u64, group: &GroupId, now: Duration) {
        let quarantine = self.options.quarantine;
        let Some(job) = self.jobs.get_mut(&request) else { return };
        job.group = None;
        job.attempt += 1;
        job.spec.attempts += 1;
        job.spec.excluded.push(group.clone());
        if !job.is_poison && job.crashed_at.is_none() {
            job.crashed_at = Some(now);
            self.outcome.background_in_crash += 1;
        }
        let (node, spec) = (job.node, job.spec.clone());
        let failure = if quarantine { Failure::Crashed } else { Failure::NotSent };
        self.decide(node, RouteEvent::Failed(request, failure), now);
        if !quarantine && spec.attempts >= BASELINE_ATTEMPTS {
            self.decide(node, RouteEvent::Abandoned(request), now);
            return self.refuse(request, None, now);
        }
        self.decide(node, RouteEvent::Submit(spec), now);
    }

    fn decide(&mut self, node: usize, event: RouteEvent, now: Duration) {
        let draw = self.rng.random();
        for action in self.routers[node].decide(event, now, draw) {
            self.perform(node, action, now);
        }
    }

    fn perform(&mut self, node: usize, action: RouteAction, now: Duration) {
        match action {
            RouteAction::Send { request, group, wait, .. } => {
                self.send(request, group, now + wait);
            }
            RouteAction::Refuse { request, refusal } => {
                if refusal.reason == RefusalReason::Quarantined {
                    self.outcome.quarantine_refusals += 1;
                }
                self.refuse(request, refusal.retry_after, now);
            }
            RouteAction::RequestTrial { request, trial_request } => {
                if !self.options.quarantine {
                    let decision = TrialDecision::Run { group: None };
                    return self.decide(node, RouteEvent::TrialDecided(request, decision), now);
                }
                let coordinator = self.coordinator(&trial_request.model, &trial_request.version);
                let event = SimulationEvent::RequestTrial {
                    node: coordinator,
                    from: node,
                    request,
                    trial_request,
                };
                self.events.push(now + ONE_WAY_LATENCY, event);
            }
            RouteAction::AnswerTrial { correlation_id, decision } => {
                let Some((from, request)) = self.pending_trials.remove(&correlation_id) else {
                    return;
                };
                let event = RouteEvent::TrialDecided(request, decision);
                self.events
                    .push(now + ONE_WAY_LATENCY, SimulationEvent::Deliver { node: from, event });
            }
            RouteAction::ReleaseTrial { model, version, history } => {
                let node = self.coordinator(&model, &version);
                let event = RouteEvent::TrialReleased(history);
                self.events.push(now + ONE_WAY_LATENCY, SimulationEvent::Deliver { node, event });
            }
            RouteAction::PublishCrashHistory(history) => {
                for other in (0..self.routers.len()).filter(|other| *other != node) {
                    let event = RouteEvent::PeerCrashHistory(history.clone());
                    let at = now + self.delay();
                    self.events.push(at, SimulationEvent::Deliver { node: other, event });
                }
            }
            RouteAction::Queued { .. } | RouteAction::PublishUsage(_) | RouteAction::Record(_) => {}
        }
    }

    /// Sends an attempt; a group that does not serve refuses the connection.
    fn send(&mut self, request: u64, group: GroupId, now: Duration) {
        let serves = |view: &&GroupView| view.id == group && view.state == GroupState::Serving;
        let is_serving = self.table.groups.iter().any(|view| serves(&view));
        let Some(job) = self.jobs.get_mut(&request) else { return };
        if !is_serving {
            job.spec.attempts += 1;
            job.spec.excluded.push(group);
            let (node, spec) = (job.node, job.spec.clone());
            self.decide(node, RouteEvent::Failed(request, Failure::NotSent), now);
            return self.decide(node, RouteEvent::Submit(spec), now);
        }
        job.group = Some(group);
        job.attempt += 1;
        let attempt = job.attempt;
        if job.is_poison {
            self.events.push(now + CRASH_AFTER, SimulationEvent::Crash { request, attempt });
        } else {
            self.events.push(now + SERVICE, SimulationEvent::End { request, attempt });
        }
    }

    /// Answers a caller with a refusal; callers of background requests resend after `retry_after`.
    fn refuse(&mut self, request: u64, retry_after: Option<Duration>, now: Duration) {
        let Some(job) = self.jobs.remove(&request) else { return };
        let node = self.rng.random_range(0..self.options.nodes);
        if job.is_poison {
            // The caller of the poison request ignores `retry_after` and resends at once.
            if self.poison_sends < self.options.sends {
                self.poison_sends += 1;
                let resend = SimulationEvent::Send { body: 0, is_poison: true, node };
                self.events.push(now + 2 * ONE_WAY_LATENCY, resend);
            }
            return;
        }
        let Some(retry_after) = retry_after else {
            self.outcome.background_lost += 1;
            return;
        };
        let resend = SimulationEvent::Send { body: 1_000_000 + request, is_poison: false, node };
        self.events.push(now + retry_after, resend);
    }

    fn broadcast_groups(&mut self, now: Duration) {
        for node in 0..self.routers.len() {
            let at = now + self.delay();
            self.events.push(at, SimulationEvent::UpdateGroups { node, table: self.table.clone() });
        }
    }

    fn coordinator(&self, model: &str, version: &str) -> usize {
        let names: Vec<String> = (0..self.routers.len()).map(|i| format!("n{i}")).collect();
        let key = coordinator_key(model, version);
        let owner = owner(&key, names.iter().map(String::as_str));
        names.iter().position(|name| Some(name.as_str()) == owner).unwrap_or(0)
    }

    fn delay(&mut self) -> Duration {
        self.options.max_propagation_delay.mul_f64(self.rng.random_range(0.1..1.0))
    }
}
