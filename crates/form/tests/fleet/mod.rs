//! A small model of engines that obey orders, and of the reports that reach the owner.
//!
//! It keeps the truth (what each engine is in) apart from the reports (what the owner sees), so
//! that reports can be late, old or missing. Every join is checked against the truth.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;
use form::owner::MissingServer;
use form::owner::ObservedState;
use form::prelude::*;

/// The service whose groups are formed.
pub(crate) const SERVICE: &str = "assistant";
/// How often the owner looks.
const TICK: Duration = Duration::from_millis(100);
/// Time from the last report of a dead server until its report is missing.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Time after which callers notice that a group stands still.
const SILENCE: Duration = Duration::from_millis(700);
/// Time after which a head whose member is lost gives its group up.
const STALL: Duration = Duration::from_secs(6);

/// One engine, as it is.
pub(crate) struct Engine {
    /// What it would report.
    pub(crate) now: Server,
    /// Whether it runs.
    pub(crate) alive: bool,
    /// Whether its reports reach the store.
    pub(crate) reports: bool,
    /// Whether it listens; one that drains stops before it stops serving.
    pub(crate) listens: bool,
    /// Whether the owner reaches it.
    pub(crate) reachable: bool,
    highest_epoch: u64,
    joining_until: Mono,
    opening_until: Option<Mono>,
    staging: Option<(ModelId, Mono)>,
    members: Vec<ServerId>,
    silent_since: Option<Mono>,
    last_model: Option<ModelId>,
}

/// All engines, the owner's reports of them, and orders that are carried out late.
pub(crate) struct Fleet {
    /// The engines.
    pub(crate) engines: BTreeMap<ServerId, Engine>,
    /// What reaches the owner.
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Servers whose reports are missing.
    pub(crate) departed: BTreeMap<ServerId, MissingServer>,
    /// Whether callers notice groups that stand still.
    pub(crate) has_callers: bool,
    /// The engines' figures.
    pub(crate) spec: EngineSpec,
    /// Now.
    pub(crate) now: Mono,
    /// Violations of a rule.
    pub(crate) broken: Vec<String>,
    /// Parts of orders, in percent, that get no answer and are carried out late.
    pub(crate) late_percent: u64,
    /// Heads that callers call silent though they aren't.
    pub(crate) suspects: BTreeSet<ServerId>,
    late: Vec<(Mono, Command)>,
    dice: u64,
    before_traffic: bool,
}

impl Fleet {
    /// Makes `count` engines in one fabric domain, all cold, before the first request.
    pub(crate) fn new(count: usize) -> Self {
        let mut fleet = Fleet {
            engines: BTreeMap::new(),
            servers: BTreeMap::new(),
            departed: BTreeMap::new(),
            has_callers: true,
            spec: spec(),
            now: Duration::from_secs(1),
            broken: Vec::new(),
            late_percent: 0,
            suspects: BTreeSet::new(),
            late: Vec::new(),
            dice: 1,
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
            engine.now.fabric = Some(format!("f{}", i % domains).into());
        }
    }

    /// Adds a cold engine.
    pub(crate) fn add(&mut self, id: &str) {
        let engine = Engine::new(id, self.engines.len() as u64 + 1);
        self.engines.insert(id.into(), engine);
    }

    /// Ends the time before the first request.
    pub(crate) fn begin_traffic(&mut self) {
        self.before_traffic = false;
    }

    /// Kills an engine; it keeps nothing.
    pub(crate) fn kill(&mut self, id: &str) {
        let now = self.now;
        let engine = self.engines.get_mut(id).expect("an engine");
        engine.alive = false;
        engine.silent_since.get_or_insert(now);
    }

    /// Starts a dead engine again under its id.
    pub(crate) fn restart(&mut self, id: &str) {
        let born = self.now.as_millis() as u64 + 1_000;
        let old = self.engines.remove(id).expect("an engine");
        let mut engine = Engine::new(id, born);
        engine.now.staged_models = old.now.staged_models;
        self.engines.insert(id.into(), engine);
    }

    /// Cuts an engine off from the store, or mends the cut.
    pub(crate) fn set_reports(&mut self, id: &str, reports: bool) {
        let now = self.now;
        let engine = self.engines.get_mut(id).expect("an engine");
        engine.reports = reports;
        engine.silent_since = if reports { None } else { engine.silent_since.or(Some(now)) };
    }

    /// Runs `owner` for `time`.
    pub(crate) fn run(&mut self, owner: &mut Owner, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.advance();
            self.report();
            for command in self.decide(owner) {
                self.deliver(owner, command);
            }
        }
    }

    fn decide(&mut self, owner: &mut Owner) -> Vec<Command> {
        let models = self.spec.models.iter();
        let demand = models.map(|model| (model.name.clone(), model.initial_demand_share)).collect();
        owner.decide(&ObservedState {
            service: SERVICE,
            servers: &self.servers,
            missing: &self.departed,
            engine: &self.spec,
            demand: &demand,
            stalled_heads: &self.silent(),
            before_traffic: self.before_traffic,
            now: self.now,
        })
    }

    /// Returns the heads that callers call silent.
    fn silent(&self) -> BTreeSet<ServerId> {
        let stand_still = self
            .engines
            .values()
            .filter(|engine| self.has_callers && self.has_lost(engine, SILENCE));
        let heads = stand_still.map(|engine| engine.now.id.clone());
        heads.chain(self.suspects.iter().cloned()).collect()
    }

    fn deliver(&mut self, owner: &mut Owner, command: Command) {
        let id = command.id;
        if !self.engines[&command.server].reachable || !self.engines[&command.server].alive {
            owner.handle_reply(id, Reply::Unanswered, self.now);
            return;
        }
        if !self.engines[&command.server].listens {
            owner.handle_reply(id, Reply::Refused, self.now);
            return;
        }
        if self.draw(100) < self.late_percent {
            let delay = Duration::from_millis(2_000 + self.draw(10_000));
            self.late.push((self.now + delay, command));
            owner.handle_reply(id, Reply::Unanswered, self.now);
            return;
        }
        let reply = self.carry_out(&command);
        owner.handle_reply(id, reply, self.now);
    }

    /// Returns a number below `below` from a fixed sequence.
    pub(crate) fn draw(&mut self, below: u64) -> u64 {
        self.dice = self.dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_041);
        (self.dice >> 33) % below
    }

    /// Sets where the sequence of numbers begins.
    pub(crate) fn seed(&mut self, seed: u64) {
        self.dice = seed.wrapping_mul(2) + 1;
    }

    fn advance(&mut self) {
        let now = self.now;
        let due: Vec<Command> =
            self.late.iter().filter(|(at, _)| *at <= now).map(|(_, c)| c.clone()).collect();
        self.late.retain(|(at, _)| *at > now);
        for command in due {
            if self.engines[&command.server].alive {
                self.carry_out(&command);
            }
        }
        for engine in self.engines.values_mut().filter(|engine| engine.alive) {
            engine.advance(now);
        }
        let stuck: Vec<ServerId> = self.engines.values().filter_map(|e| self.stuck(e)).collect();
        for id in stuck {
            let engine = self.engines.get_mut(&id).expect("an engine");
            engine.set_phase(Phase::Broken);
        }
    }

    /// Returns the id of an open head that has lost a member for longer than the stall.
    fn stuck(&self, engine: &Engine) -> Option<ServerId> {
        (engine.alive && self.has_lost(engine, STALL)).then(|| engine.now.id.clone())
    }

    /// Returns whether `engine` is an open head that has lost a member for longer than `time`.
    fn has_lost(&self, engine: &Engine, time: Duration) -> bool {
        let open = engine.phase() == Some(Phase::Open);
        let mut members = engine.members.iter().filter_map(|id| self.engines.get(id));
        open && members.any(|member| {
            !member.alive && member.silent_since.is_some_and(|at| self.now > at + time)
        })
    }

    fn report(&mut self) {
        let now = self.now;
        for (id, engine) in &self.engines {
            if engine.alive && engine.reports {
                self.servers.insert(id.clone(), engine.now.clone());
                self.departed.remove(id);
                continue;
            }
            let lapsed = engine.silent_since.is_some_and(|at| now >= at + LAPSE);
            if let Some(server) = lapsed.then(|| self.servers.remove(id)).flatten() {
                self.departed.insert(id.clone(), MissingServer { server, since: now });
            }
        }
    }

    fn carry_out(&mut self, command: &Command) -> Reply {
        if let Order::Join { group, epoch, .. } = &command.order {
            self.check_join(&command.server, group, *epoch);
        }
        if let Order::Open { group, .. } = &command.order {
            self.check_open(&command.server, group);
        }
        let (now, spec) = (self.now, self.spec.clone());
        let quick = self.before_traffic;
        let engine = self.engines.get_mut(&command.server).expect("an engine");
        engine.obey(&command.order, &spec, quick, now)
    }

    /// A member must not be joined elsewhere while the head of its group may serve it.
    fn check_join(&mut self, id: &str, group: &str, epoch: u64) {
        let Some(membership) = self.engines[id].now.membership.clone() else { return };
        if &*membership.group == group || epoch < self.engines[id].highest_epoch {
            return;
        }
        let serving = self.engines.values().find(|head| {
            let within = head.now.membership_in(&membership.group, membership.epoch);
            let open = within
                .is_some_and(|m| m.rank == 0 && matches!(m.phase, Phase::Open | Phase::Closing));
            head.alive && open
        });
        if let Some(head) = serving {
            let now = self.now;
            let problem = format!("{now:?}: {id} joins {group}, but {} is open", head.now.id);
            self.broken.push(problem);
        }
    }

    /// A group must not open unless every member has been ready in it.
    fn check_open(&mut self, id: &str, group: &str) {
        let head = &self.engines[id];
        let Some(membership) = head.now.membership.as_ref().filter(|m| &*m.group == group) else {
            return;
        };
        if membership.phase != Phase::Ready {
            return;
        }
        let unready = head.members.iter().find(|member| {
            let member = &self.engines[&**member];
            let within = member.now.membership_in(group, membership.epoch);
            member.alive && within.is_some_and(|m| m.phase == Phase::Joining)
        });
        if let Some(member) = unready {
            self.broken.push(format!("{:?}: {group} opens without {member}", self.now));
        }
    }

    /// Returns how many groups serve, by the truth.
    pub(crate) fn serving(&self) -> usize {
        let groups = ObservedGroups::from_reports(
            SERVICE,
            self.engines.values().filter(|e| e.alive).map(|e| &e.now),
            [],
        );
        groups.by_key.values().filter(|group| group.is_serving(&self.spec)).count()
    }

    /// Returns how many groups of `model` serve, by the truth.
    pub(crate) fn serving_model(&self, model: &str) -> usize {
        let groups = ObservedGroups::from_reports(
            SERVICE,
            self.engines.values().filter(|e| e.alive).map(|e| &e.now),
            [],
        );
        let serving = groups.by_key.values().filter(|group| group.is_serving(&self.spec));
        serving.filter(|group| group.model.as_deref() == Some(model)).count()
    }

    /// Returns the members of the first group that serves, the head first.
    pub(crate) fn first_group(&self) -> Vec<ServerId> {
        self.first_group_that(|_| true)
    }

    /// Returns the members of the first group of `model` that serves, the head first.
    pub(crate) fn first_group_of(&self, model: &str) -> Vec<ServerId> {
        self.first_group_that(|group| group.model.as_deref() == Some(model))
    }

    fn first_group_that(&self, fits: impl Fn(&Group) -> bool) -> Vec<ServerId> {
        let groups = ObservedGroups::from_reports(
            SERVICE,
            self.engines.values().map(|engine| &engine.now),
            [],
        );
        let mut serving = groups.by_key.values().filter(|group| group.is_serving(&self.spec));
        let group = serving.find(|group| fits(group));
        group.map(|group| group.members.values().cloned().collect()).unwrap_or_default()
    }
}

impl Engine {
    fn new(id: &str, born_ms: u64) -> Self {
        let now = Server {
            id: id.into(),
            started_at_ms: born_ms,
            accepted_orders: 0,
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "a".into(),
            fabric: Some("f".into()),
            slots: 26,
            state: ServerState::Ready,
            warmup_remaining: Duration::ZERO,
            model: None,
            staged_models: Vec::new(),
            membership: None,
        };
        Engine {
            now,
            alive: true,
            reports: true,
            reachable: true,
            listens: true,
            highest_epoch: 0,
            joining_until: Duration::ZERO,
            opening_until: None,
            staging: None,
            members: Vec::new(),
            silent_since: None,
            last_model: None,
        }
    }

    fn set_phase(&mut self, phase: Phase) {
        if let Some(membership) = &mut self.now.membership {
            membership.phase = phase;
        }
    }

    fn phase(&self) -> Option<Phase> {
        self.now.membership.as_ref().map(|membership| membership.phase)
    }

    fn advance(&mut self, now: Mono) {
        if let Some((model, _)) = self.staging.take_if(|(_, until)| *until <= now) {
            self.now.staged_models = vec![model];
        }
        if self.phase() == Some(Phase::Joining) && now >= self.joining_until {
            self.set_phase(Phase::Ready);
            self.now.model.clone_from(&self.last_model);
        }
        if self.opening_until.take_if(|until| *until <= now).is_some() {
            self.set_phase(Phase::Open);
        }
    }

    fn obey(&mut self, order: &Order, spec: &EngineSpec, quick: bool, now: Mono) -> Reply {
        match order {
            Order::Join { group, epoch, model, members } => {
                self.join(group, *epoch, model, members, spec, quick, now)
            }
            Order::Open { group, epoch } => self.open(group, *epoch, spec, now),
            Order::Close { group, epoch } if self.now.membership_in(group, *epoch).is_some() => {
                self.opening_until = None;
                self.set_phase(Phase::Ready);
                Reply::Done
            }
            Order::Leave { group, epoch } if self.now.membership_in(group, *epoch).is_some() => {
                self.opening_until = None;
                self.now.membership = None;
                Reply::Done
            }
            Order::Close { .. } | Order::Leave { .. } | Order::Probe => Reply::Done,
            Order::Stage { model } => {
                let load = spec.model(model).expect("a model").store_load_time;
                let load = if quick { load / 10 } else { load };
                self.staging = Some((model.clone(), now + load));
                Reply::Begun
            }
        }
    }

    fn open(&mut self, group: &str, epoch: u64, spec: &EngineSpec, now: Mono) -> Reply {
        let Some(membership) = self.now.membership_in(group, epoch) else { return Reply::Rejected };
        match membership.phase {
            Phase::Open => Reply::Done,
            Phase::Ready if membership.rank == 0 => {
                self.opening_until = Some(now + spec.open_time);
                Reply::Begun
            }
            _ => Reply::Rejected,
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one order")]
    fn join(
        &mut self,
        group: &str,
        epoch: u64,
        model: &ModelId,
        members: &[ServerId],
        spec: &EngineSpec,
        quick: bool,
        now: Mono,
    ) -> Reply {
        if epoch < self.highest_epoch {
            return Reply::Fenced;
        }
        if let Some(membership) = self.now.membership_in(group, epoch) {
            let joined = membership.phase != Phase::Joining;
            return if joined { Reply::Done } else { Reply::Begun };
        }
        let spec = spec.model(model).expect("a model");
        let time =
            match (self.last_model.as_ref() == Some(model), self.now.staged_models.contains(model))
            {
                (true, _) => Duration::from_millis(200),
                (_, true) => spec.host_load_time,
                _ if quick => spec.store_load_time / 10,
                _ => spec.store_load_time,
            };
        self.highest_epoch = epoch;
        self.opening_until = None;
        self.joining_until = now + time;
        self.last_model = Some(model.clone());
        self.members = members.to_vec();
        let rank = members.iter().position(|id| *id == self.now.id).expect("a member");
        let group = group.into();
        self.now.membership = Some(Membership { group, epoch, rank, phase: Phase::Joining });
        Reply::Begun
    }
}

fn spec() -> EngineSpec {
    let model = |name: &str, size, share, load: u64, warm| ModelSpec {
        name: name.into(),
        group_size: size,
        time_factor: 1.0,
        initial_demand_share: share,
        store_load_time: Duration::from_secs(load),
        host_load_time: Duration::from_millis(warm),
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
