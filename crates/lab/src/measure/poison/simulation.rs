//! The model: routers that exchange views and facts with random delays, and groups that crash.

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
/// One way between a caller and a process, or between two processes.
const ONE_WAY: Duration = Duration::from_millis(2);
const CRASH_AFTER: Duration = Duration::from_millis(300);
const REPAIR_AFTER: Duration = Duration::from_secs(60);
const LENGTH: Duration = Duration::from_secs(90);
const POISON_AT: Duration = Duration::from_secs(10);
const BASELINE_ATTEMPTS: u32 = 3;

struct Job {
    need: RequestSpec,
    node: usize,
    is_poison: bool,
    group: Option<GroupId>,
    crashed_at: Option<Duration>,
    attempt: u64,
}

enum Happening {
    Send { body: u64, is_poison: bool, node: usize },
    End { request: u64, attempt: u64 },
    Crash { request: u64, attempt: u64 },
    Repair(usize),
    View { node: usize, table: GroupTable },
    Tell { node: usize, event: RouteEvent },
    Ask { node: usize, from: usize, request: u64, ask: TrialRequest },
    Tick,
}

struct Fleet {
    options: Options,
    rng: ChaCha8Rng,
    agenda: EventQueue<Happening>,
    routers: Vec<Router>,
    table: GroupTable,
    jobs: BTreeMap<u64, Job>,
    asks: BTreeMap<u64, (usize, u64)>,
    ids: u64,
    poison_sends: u32,
    outcome: Outcome,
}

/// Runs the model once.
pub fn simulate(options: Options, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(options, seed);
    while let Some((now, happening)) = fleet.agenda.pop() {
        if now > LENGTH + 120 * SERVICE {
            break;
        }
        fleet.happen(happening, now);
    }
    fleet.outcome.background_lost +=
        fleet.jobs.values().filter(|job| !job.is_poison).count() as u32;
    fleet.outcome
}

impl Fleet {
    fn new(options: Options, seed: u64) -> Self {
        let groups = (0..options.groups).map(idle_group).collect();
        let table = GroupTable { groups };
        let name = |i: usize| -> NodeId { format!("n{i}").into() };
        let mut routers: Vec<Router> =
            (0..options.nodes).map(|i| Router::new(name(i), RouteSettings::default())).collect();
        for router in &mut routers {
            router.decide(RouteEvent::Groups(table.clone()), Duration::ZERO, 0);
        }
        let mut fleet = Fleet {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            agenda: EventQueue::default(),
            routers,
            table,
            jobs: BTreeMap::new(),
            asks: BTreeMap::new(),
            ids: 0,
            poison_sends: 1,
            outcome: Outcome::default(),
        };
        fleet.schedule_callers();
        fleet
    }

    fn schedule_callers(&mut self) {
        let node = self.rng.random_range(0..self.options.nodes);
        self.agenda.push(POISON_AT, Happening::Send { body: 0, is_poison: true, node });
        if let Some(gap) = self.options.resend_interval {
            for again in 1..self.options.sends {
                let node = self.rng.random_range(0..self.options.nodes);
                let send = Happening::Send { body: 0, is_poison: true, node };
                self.agenda.push(POISON_AT + again * gap, send);
            }
            self.poison_sends = self.options.sends;
        }
        let mut at = Duration::ZERO;
        for body in 1.. {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.options.background_rate;
            at += Duration::from_secs_f64(gap);
            if at > LENGTH {
                break;
            }
            let node = self.rng.random_range(0..self.options.nodes);
            self.outcome.innocents += 1;
            self.agenda.push(at, Happening::Send { body, is_poison: false, node });
        }
        for tick in 0..LENGTH.as_millis() as u32 / 50 {
            self.agenda.push(tick * 50 * MS, Happening::Tick);
        }
    }

    fn happen(&mut self, happening: Happening, now: Duration) {
        match happening {
            Happening::Send { body, is_poison, node } => self.accept(body, is_poison, node, now),
            Happening::End { request, attempt } => self.end(request, attempt, now),
            Happening::Crash { request, attempt } => self.crash(request, attempt, now),
            Happening::Repair(group) => {
                self.table.groups[group].state = GroupState::Serving;
                self.table.groups[group].generation += 1;
                self.spread_view(now);
            }
            Happening::View { node, table } => self.decide(node, RouteEvent::Groups(table), now),
            Happening::Tell { node, event } => self.decide(node, event, now),
            Happening::Ask { node, from, request, ask } => {
                self.ids += 1;
                self.asks.insert(self.ids, (from, request));
                self.decide(
                    node,
                    RouteEvent::TrialRequested { correlation_id: self.ids, trial_request: ask },
                    now,
                );
            }
            Happening::Tick => {
                (0..self.routers.len()).for_each(|node| self.decide(node, RouteEvent::Tick, now));
            }
        }
    }

    fn accept(&mut self, body: u64, is_poison: bool, node: usize, now: Duration) {
        self.ids += 1;
        let text = format!("body {body}");
        let mut need = RequestSpec::new(self.ids, "w", "m", "v", text.as_bytes());
        need.deadline = now + Duration::from_secs(60);
        need.tokens = 20;
        let job = Job { need, node, is_poison, group: None, crashed_at: None, attempt: 0 };
        let ask = RouteEvent::Submit(job.need.clone());
        self.jobs.insert(self.ids, job);
        self.decide(node, ask, now);
    }

    fn end(&mut self, request: u64, attempt: u64, now: Duration) {
        if self.jobs.get(&request).is_none_or(|job| job.attempt != attempt) {
            return;
        }
        let Some(job) = self.jobs.remove(&request) else { return };
        if let Some(crashed_at) = job.crashed_at {
            let took = now - crashed_at;
            self.outcome.longest_time_to_answer = self.outcome.longest_time_to_answer.max(took);
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
        self.agenda.push(now + REPAIR_AFTER, Happening::Repair(index));
        self.spread_view(now);
        let here = self.jobs.iter().filter(|(_, job)| job.group.as_ref() == Some(&group));
        let running: Vec<u64> = here.map(|(request, _)| *request).collect();
        for request in running {
            self.fail(request, &group, now + MS);
        }
    }

    fn fail(&mut self, request: u64, group: &GroupId, now: Duration) {
        let quarantine = self.options.quarantine;
        let Some(job) = self.jobs.get_mut(&request) else { return };
        job.group = None;
        job.attempt += 1;
        job.need.attempts += 1;
        job.need.excluded.push(group.clone());
        if !job.is_poison && job.crashed_at.is_none() {
            job.crashed_at = Some(now);
            self.outcome.background_in_crash += 1;
        }
        let (node, need) = (job.node, job.need.clone());
        let failure = if quarantine { Failure::Crashed } else { Failure::NotSent };
        self.decide(node, RouteEvent::Failed(request, failure), now);
        if !quarantine && need.attempts >= BASELINE_ATTEMPTS {
            self.decide(node, RouteEvent::Abandoned(request), now);
            return self.answer(request, None, now);
        }
        self.decide(node, RouteEvent::Submit(need), now);
    }

    fn decide(&mut self, node: usize, event: RouteEvent, now: Duration) {
        let draw = self.rng.random();
        for action in self.routers[node].decide(event, now, draw) {
            self.act(node, action, now);
        }
    }

    fn act(&mut self, node: usize, action: RouteAction, now: Duration) {
        match action {
            RouteAction::Send { request, group, wait, .. } => {
                self.send(request, group, now + wait);
            }
            RouteAction::Refuse { request, refusal } => {
                if refusal.reason == RefusalReason::Quarantined {
                    self.outcome.quarantine_refusals += 1;
                }
                self.answer(request, refusal.retry_after, now);
            }
            RouteAction::RequestTrial { request, trial_request: ask } => {
                if !self.options.quarantine {
                    let grant = TrialDecision::Run { group: None };
                    return self.decide(node, RouteEvent::TrialDecided(request, grant), now);
                }
                let coordinator = self.coordinator(&ask.model, &ask.version);
                let ask = Happening::Ask { node: coordinator, from: node, request, ask };
                self.agenda.push(now + ONE_WAY, ask);
            }
            RouteAction::AnswerTrial { correlation_id: ask_id, decision: grant } => {
                let Some((from, request)) = self.asks.remove(&ask_id) else { return };
                let event = RouteEvent::TrialDecided(request, grant);
                self.agenda.push(now + ONE_WAY, Happening::Tell { node: from, event });
            }
            RouteAction::ReleaseTrial { model, version, history: fact } => {
                let node = self.coordinator(&model, &version);
                let event = RouteEvent::TrialReleased(fact);
                self.agenda.push(now + ONE_WAY, Happening::Tell { node, event });
            }
            RouteAction::PublishCrashHistory(fact) => {
                for other in (0..self.routers.len()).filter(|other| *other != node) {
                    let event = RouteEvent::PeerCrashHistory(fact.clone());
                    let at = now + self.delay();
                    self.agenda.push(at, Happening::Tell { node: other, event });
                }
            }
            RouteAction::Queued { .. } | RouteAction::PublishUsage(_) | RouteAction::Record(_) => {}
        }
    }

    /// Sends an attempt; a group that is gone refuses the connection.
    fn send(&mut self, request: u64, group: GroupId, now: Duration) {
        let serves = |view: &&GroupView| view.id == group && view.state == GroupState::Serving;
        let is_there = self.table.groups.iter().any(|view| serves(&view));
        let Some(job) = self.jobs.get_mut(&request) else { return };
        if !is_there {
            job.need.attempts += 1;
            job.need.excluded.push(group);
            let (node, need) = (job.node, job.need.clone());
            self.decide(node, RouteEvent::Failed(request, Failure::NotSent), now);
            return self.decide(node, RouteEvent::Submit(need), now);
        }
        job.group = Some(group);
        job.attempt += 1;
        let attempt = job.attempt;
        if job.is_poison {
            self.agenda.push(now + CRASH_AFTER, Happening::Crash { request, attempt });
        } else {
            self.agenda.push(now + SERVICE, Happening::End { request, attempt });
        }
    }

    /// Answers a caller with a refusal; it comes back when it is told to.
    fn answer(&mut self, request: u64, retry_after: Option<Duration>, now: Duration) {
        let Some(job) = self.jobs.remove(&request) else { return };
        let node = self.rng.random_range(0..self.options.nodes);
        if job.is_poison {
            // This caller never waits for as long as it is told.
            if self.poison_sends < self.options.sends {
                self.poison_sends += 1;
                let again = Happening::Send { body: 0, is_poison: true, node };
                self.agenda.push(now + 2 * ONE_WAY, again);
            }
            return;
        }
        let Some(retry_after) = retry_after else {
            self.outcome.background_lost += 1;
            return;
        };
        let again = Happening::Send { body: 1_000_000 + request, is_poison: false, node };
        self.agenda.push(now + retry_after, again);
    }

    fn spread_view(&mut self, now: Duration) {
        for node in 0..self.routers.len() {
            let at = now + self.delay();
            self.agenda.push(at, Happening::View { node, table: self.table.clone() });
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
