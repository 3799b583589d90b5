//! A simulation of engines that execute orders, and of the reports that reach the owner.
//!
//! The ground truth (the actual state of each engine) is kept apart from the reports (what the
//! owner observes), so that reports can be late, stale or missing. Every join is checked against
//! the ground truth.

mod engine;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use base::prelude::*;
use form::observed_groups::GroupKey;
use form::owner::ObservedState;
use form::prelude::*;

pub(crate) use engine::Engine;

/// The service whose groups are formed.
pub(crate) const SERVICE: &str = "assistant";
/// Interval between two decisions of the owner.
const TICK: Duration = Duration::from_millis(100);
/// Time from the last report of a dead server until its report goes missing.
const REPORT_TTL: Duration = Duration::from_millis(3_600);
/// Time after which callers notice that a group is stalled.
const STALL_DETECTION: Duration = Duration::from_millis(700);
/// Time after which a head that lost a member gives up its group.
const MEMBER_LOSS_TIMEOUT: Duration = Duration::from_secs(6);

/// All engines, the reports that the owner observes, and orders that are executed late.
pub(crate) struct Fleet {
    /// The engines.
    pub(crate) engines: BTreeMap<ServerId, Engine>,
    /// The reports that reach the owner.
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Servers whose reports are missing.
    pub(crate) missing: BTreeMap<ServerId, MissingServer>,
    /// Whether callers notice stalled groups.
    pub(crate) has_callers: bool,
    /// Performance figures of the engines.
    pub(crate) spec: EngineSpec,
    /// The groups that each model requires, as reported.
    pub(crate) required_groups: BTreeMap<ModelId, f64>,
    /// Current time.
    pub(crate) now: Mono,
    /// Violations of an invariant.
    pub(crate) violations: Vec<String>,
    /// Percentage of orders that go unanswered and are executed late.
    pub(crate) delayed_percent: u64,
    /// Heads that callers report as stalled although they are not.
    pub(crate) false_stalls: BTreeSet<ServerId>,
    /// Processor time of each decision of the owner.
    pub(crate) decide_times: Vec<Duration>,
    delayed_orders: Vec<(Mono, Command)>,
    /// The engines that were ordered to leave a group.
    pub(crate) leave_orders: Vec<ServerId>,
    /// How long reports take to reach the owner.
    pub(crate) report_lag: Duration,
    /// Reports on their way to the owner, and when they arrive.
    reports_in_transit: Vec<(Mono, Server)>,
    /// The members that have been ready in each group.
    ready_members: BTreeSet<(GroupKey, ServerId)>,
    rng_state: u64,
    /// The failure domains that operators evacuate.
    pub(crate) evacuated: BTreeSet<FailureDomainId>,
    before_traffic: bool,
}

/// Returns a fleet of `count` engines whose groups have formed, and their owner.
pub(crate) fn formed_fleet(count: usize) -> (Fleet, Owner) {
    let mut fleet = Fleet::new(count);
    let mut owner = Owner::new(1, fleet.now);
    fleet.run(&mut owner, Duration::from_secs(8));
    fleet.begin_traffic();
    (fleet, owner)
}

impl Fleet {
    /// Creates `count` engines in one fabric domain, all without weights, before the first request.
    pub(crate) fn new(count: usize) -> Self {
        let mut fleet = Fleet {
            engines: BTreeMap::new(),
            servers: BTreeMap::new(),
            missing: BTreeMap::new(),
            has_callers: true,
            spec: spec(),
            required_groups: BTreeMap::new(),
            now: Duration::from_secs(1),
            violations: Vec::new(),
            delayed_percent: 0,
            false_stalls: BTreeSet::new(),
            decide_times: Vec::new(),
            delayed_orders: Vec::new(),
            leave_orders: Vec::new(),
            report_lag: Duration::ZERO,
            reports_in_transit: Vec::new(),
            ready_members: BTreeSet::new(),
            rng_state: 1,
            evacuated: BTreeSet::new(),
            before_traffic: true,
        };
        for i in 0..count {
            fleet.add(&format!("e{i}"));
        }
        fleet
    }

    /// Spreads the engines over `domains` fabric domains.
    pub(crate) fn spread(&mut self, domains: usize) {
        for (i, engine) in self.engines.values_mut().enumerate() {
            engine.server.fabric = Some(format!("f{}", i % domains).into());
        }
    }

    /// Adds an engine without weights.
    pub(crate) fn add(&mut self, id: &str) {
        let engine = Engine::new(id, self.engines.len() as u64 + 1);
        self.engines.insert(id.into(), engine);
    }

    /// Ends the period before the first request.
    pub(crate) fn begin_traffic(&mut self) {
        self.before_traffic = false;
    }

    /// Kills an engine; it loses all its state.
    pub(crate) fn kill(&mut self, id: &str) {
        let now = self.now;
        let engine = self.engines.get_mut(id).expect("an engine");
        engine.alive = false;
        engine.unreported_since.get_or_insert(now);
    }

    /// Restarts a dead engine under its id; the weights staged on its host are kept.
    pub(crate) fn restart(&mut self, id: &str) {
        let started_at_ms = self.now.as_millis() as u64 + 1_000;
        let old = self.engines.remove(id).expect("an engine");
        let mut engine = Engine::new(id, started_at_ms);
        engine.server.staged_models = old.server.staged_models;
        self.engines.insert(id.into(), engine);
    }

    /// Disconnects an engine from the store, or reconnects it.
    pub(crate) fn set_reports(&mut self, id: &str, reports: bool) {
        let now = self.now;
        let engine = self.engines.get_mut(id).expect("an engine");
        engine.reports = reports;
        engine.unreported_since =
            if reports { None } else { engine.unreported_since.or(Some(now)) };
    }

    /// Runs `owner` for `time`.
    pub(crate) fn run(&mut self, owner: &mut Owner, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.advance();
            self.update_reports();
            self.receive_reports();
            for command in self.decide(owner) {
                self.deliver(owner, command);
            }
        }
    }

    fn decide(&mut self, owner: &mut Owner) -> Vec<Command> {
        let models = self.spec.models.iter();
        let demand = models.map(|model| (model.name.clone(), model.initial_demand_share)).collect();
        let missing = self.missing.values().map(|missing| &missing.server);
        let groups = ObservedGroups::from_reports(SERVICE, self.servers.values(), missing);
        let observed = ObservedState {
            service: SERVICE,
            servers: &self.servers,
            missing: &self.missing,
            groups: &groups,
            engine: &self.spec,
            demand: &demand,
            required_groups: &self.required_groups,
            stalled_heads: &self.stalled_heads(),
            evacuated: &self.evacuated,
            before_traffic: self.before_traffic,
            now: self.now,
        };
        let start = Instant::now();
        let commands = owner.decide(&observed);
        self.decide_times.push(start.elapsed());
        commands
    }

    /// Returns the heads that callers report as stalled.
    fn stalled_heads(&self) -> BTreeSet<ServerId> {
        let stalled = self
            .engines
            .values()
            .filter(|engine| self.has_callers && self.has_lost_member(engine, STALL_DETECTION));
        let heads = stalled.map(|engine| engine.server.id.clone());
        heads.chain(self.false_stalls.iter().cloned()).collect()
    }

    fn deliver(&mut self, owner: &mut Owner, command: Command) {
        let id = command.id;
        if matches!(command.order, Order::Leave { .. }) {
            self.leave_orders.push(command.server.clone());
        }
        let is_work =
            matches!(command.order, Order::Join { .. } | Order::Open { .. } | Order::Stage { .. });
        if is_work && self.evacuated.contains(&self.engines[&command.server].server.failure_domain)
        {
            self.violations.push(format!("{command:?} was sent to an evacuated domain"));
        }
        if !self.engines[&command.server].reachable || !self.engines[&command.server].alive {
            let reply = Reply::Unanswered(self.seen_after(&command, Sight::Unreachable));
            owner.handle_reply(id, reply, self.now);
            return;
        }
        if !self.engines[&command.server].listens {
            owner.handle_reply(id, Reply::Refused, self.now);
            return;
        }
        let is_delayed = self.random_below(100) < self.delayed_percent;
        let order_delay = self.engines[&command.server].order_delay;
        if is_delayed || order_delay.is_some() {
            let delay = order_delay
                .unwrap_or_else(|| Duration::from_millis(2_000 + self.random_below(10_000)));
            let reply = Reply::Unanswered(self.seen_after(&command, Sight::Listening));
            self.delayed_orders.push((self.now + delay, command));
            owner.handle_reply(id, reply, self.now);
            return;
        }
        let reply = self.execute_order(&command);
        owner.handle_reply(id, reply, self.now);
    }

    /// Returns what is seen of the server of an unanswered order, if it shows `sight`: only the heads that are to leave are
    /// looked for.
    fn seen_after(&self, command: &Command, sight: Sight) -> Sight {
        match command.order {
            Order::Leave { .. } => sight,
            _ => Sight::NotLooked,
        }
    }

    /// Returns a pseudo-random number below `below`.
    pub(crate) fn random_below(&mut self, below: u64) -> u64 {
        self.rng_state =
            self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_041);
        (self.rng_state >> 33) % below
    }

    /// Seeds the pseudo-random numbers.
    pub(crate) fn seed(&mut self, seed: u64) {
        self.rng_state = seed.wrapping_mul(2) + 1;
    }

    fn advance(&mut self) {
        let now = self.now;
        let due: Vec<Command> = self
            .delayed_orders
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, c)| c.clone())
            .collect();
        self.delayed_orders.retain(|(at, _)| *at > now);
        for command in due {
            if self.engines[&command.server].alive {
                self.execute_order(&command);
            }
        }
        for engine in self.engines.values_mut().filter(|engine| engine.alive) {
            engine.advance(now);
        }
        let stalled: Vec<ServerId> =
            self.engines.values().filter_map(|e| self.stalled_head(e)).collect();
        for id in stalled {
            let engine = self.engines.get_mut(&id).expect("an engine");
            engine.set_phase(Phase::Broken);
        }
        self.check_open_groups();
    }

    /// Checks that each open group has only members that have been ready in it.
    fn check_open_groups(&mut self) {
        let alive = || self.engines.values().filter(|engine| engine.alive);
        for engine in alive() {
            if let (Some(key), Some(Phase::Ready | Phase::Open)) =
                (engine.group_key(), engine.phase())
            {
                self.ready_members.insert((key, engine.server.id.clone()));
            }
        }
        for engine in alive().filter(|engine| engine.phase() == Some(Phase::Open)) {
            let Some(key) = engine.group_key() else { continue };
            let mut members = engine.members.iter();
            let never_ready =
                members.find(|id| !self.ready_members.contains(&(key.clone(), (*id).clone())));
            if let Some(id) = never_ready {
                let problem = format!("{:?}: {} is open, but {id} never joined", self.now, key.0);
                self.violations.push(problem);
            }
        }
    }

    /// Returns the id of `engine` if it is an open head that must give up its group, since it lost
    /// a member.
    fn stalled_head(&self, engine: &Engine) -> Option<ServerId> {
        (engine.alive && self.has_lost_member(engine, MEMBER_LOSS_TIMEOUT))
            .then(|| engine.server.id.clone())
    }

    /// Returns whether `engine` is an open head that has lost a member for longer than `time`.
    fn has_lost_member(&self, engine: &Engine, time: Duration) -> bool {
        let open = engine.phase() == Some(Phase::Open);
        let mut members = engine.members.iter().filter_map(|id| self.engines.get(id));
        open && members.any(|member| {
            !member.alive && member.unreported_since.is_some_and(|at| self.now > at + time)
        })
    }

    fn update_reports(&mut self) {
        let now = self.now;
        for (id, engine) in &self.engines {
            if engine.alive && engine.reports {
                let mut before = self.reports_in_transit.iter().filter(|(_, s)| s.id == *id);
                let arrives = before.next_back().map_or(now, |(at, _)| *at);
                let report = engine.server.clone();
                self.reports_in_transit.push((arrives.max(now + self.report_lag), report));
                continue;
            }
            let expired = engine.unreported_since.is_some_and(|at| now >= at + REPORT_TTL);
            if let Some(server) = expired.then(|| self.servers.remove(id)).flatten() {
                self.missing.insert(id.clone(), MissingServer { server, since: now });
            }
        }
    }

    /// Records the reports that have arrived.
    fn receive_reports(&mut self) {
        let now = self.now;
        for (_, report) in self.reports_in_transit.extract_if(.., |(at, _)| *at <= now) {
            let last = self.servers.get(&report.id);
            if last.is_none_or(|last| !report.is_older_than(last)) {
                self.missing.remove(&report.id);
                self.servers.insert(report.id.clone(), report);
            }
        }
    }

    fn execute_order(&mut self, command: &Command) -> Reply {
        if let Order::Join { group, epoch, .. } = &command.order {
            self.check_join(&command.server, group, *epoch, command.fencing_token);
        }
        if let Order::Open { group, .. } = &command.order {
            self.check_open(&command.server, group);
        }
        let (now, spec) = (self.now, self.spec.clone());
        let before_traffic = self.before_traffic;
        let engine = self.engines.get_mut(&command.server).expect("an engine");
        engine.take_order(command, &spec, before_traffic, now)
    }

    /// Checks that no member joins another group while the head of its current group may serve that
    /// one.
    fn check_join(&mut self, id: &str, group: &str, epoch: u64, fencing_token: u64) {
        let Some(membership) = self.engines[id].server.membership.clone() else { return };
        let engine = &self.engines[id];
        let is_refused =
            fencing_token < engine.highest_fencing_token || epoch < engine.highest_epoch;
        if &*membership.group == group || is_refused {
            return;
        }
        let serving = self.engines.values().find(|head| {
            let within = head.server.membership_in(&membership.group, membership.epoch);
            let open = within
                .is_some_and(|m| m.rank == 0 && matches!(m.phase, Phase::Open | Phase::Closing));
            head.alive && open
        });
        if let Some(head) = serving {
            let now = self.now;
            let problem = format!("{now:?}: {id} joins {group}, but {} is open", head.server.id);
            self.violations.push(problem);
        }
    }

    /// Checks that no group opens while a member is still joining it.
    fn check_open(&mut self, id: &str, group: &str) {
        let head = &self.engines[id];
        let Some(membership) = head.server.membership.as_ref().filter(|m| &*m.group == group)
        else {
            return;
        };
        if membership.phase != Phase::Ready {
            return;
        }
        let unready = head.members.iter().find(|member| {
            let member = &self.engines[&**member];
            let within = member.server.membership_in(group, membership.epoch);
            member.alive && within.is_some_and(|m| m.phase == Phase::Joining)
        });
        if let Some(member) = unready {
            self.violations.push(format!("{:?}: {group} opens without {member}", self.now));
        }
    }

    /// Returns how many groups actually serve.
    pub(crate) fn serving(&self) -> usize {
        let groups = ObservedGroups::from_reports(
            SERVICE,
            self.engines.values().filter(|e| e.alive).map(|e| &e.server),
            [],
        );
        groups.by_key.values().filter(|group| group.is_serving(&self.spec)).count()
    }

    /// Returns how many groups of `model` actually serve.
    pub(crate) fn serving_model(&self, model: &str) -> usize {
        let groups = ObservedGroups::from_reports(
            SERVICE,
            self.engines.values().filter(|e| e.alive).map(|e| &e.server),
            [],
        );
        let serving = groups.by_key.values().filter(|group| group.is_serving(&self.spec));
        serving.filter(|group| group.model.as_deref() == Some(model)).count()
    }

    /// Returns the members of the first serving group, the head first.
    pub(crate) fn first_group(&self) -> Vec<ServerId> {
        self.first_group_where(|_| true)
    }

    /// Returns the members of the first serving group of `model`, the head first.
    pub(crate) fn first_group_of(&self, model: &str) -> Vec<ServerId> {
        self.first_group_where(|group| group.model.as_deref() == Some(model))
    }

    fn first_group_where(&self, fits: impl Fn(&Group) -> bool) -> Vec<ServerId> {
        let groups = ObservedGroups::from_reports(
            SERVICE,
            self.engines.values().map(|engine| &engine.server),
            [],
        );
        let mut serving = groups.by_key.values().filter(|group| group.is_serving(&self.spec));
        let group = serving.find(|group| fits(group));
        group.map(|group| group.members.values().cloned().collect()).unwrap_or_default()
    }
}

fn spec() -> EngineSpec {
    let model = |name: &str, group_size, initial_demand_share, load: u64, host_load| ModelSpec {
        name: name.into(),
        group_size,
        time_factor: 1.0,
        initial_demand_share,
        store_load_time: Duration::from_secs(load),
        host_load_time: Duration::from_millis(host_load),
    };
    EngineSpec {
        models: vec![model("large", 4, 0.6, 16, 1_600), model("small", 3, 0.4, 12, 1_100)],
        slots: 26,
        kv_cache_tokens: 1_590_000,
        step_time: Duration::from_millis(6),
        step_time_per_request: Duration::from_micros(44),
        step_time_per_1k_context: Duration::from_micros(8),
        prefill_tokens_per_second: 50_000.0,
        prefill_chunk_tokens: 2_048,
        steps_per_flush: 7,
        open_time: Duration::from_millis(300),
        max_loads_per_second: 4.5,
        max_concurrent_loads: 6,
        mean_prompt_tokens: 1_115.0,
        mean_output_tokens: 178.0,
    }
}
