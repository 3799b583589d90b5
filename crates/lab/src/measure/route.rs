//! Measures group selection policies on a skewed trace of prompts.
//!
//! A discrete-event simulation of several processes in front of groups with continuous batching: a
//! group runs a fixed number of requests at once, prefills their prompts one after the other, and
//! caches the most recently used prefixes. Load reports lag, and two groups are stragglers. Group
//! selection and load estimates are the real ones. All variants see the same arrivals; the main
//! figures are printed with their ratio to the power-of-two-choices baseline.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use base::hash::stable;
use base::prelude::*;
use group::record::GroupState;
use group::view::GroupTable;
use group::view::GroupView;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Zipf;
use route::choose;
use route::hot::HotKeys;
use route::hot::shard_key;
use route::load::LoadTracker;
use route::prelude::*;
use serde_json::Value;
use serde_json::json;

use super::event_queue::EventQueue;

const NODES: usize = 6;
const GROUPS: usize = 16;
/// Groups that are slower than the others.
const STRAGGLERS: usize = 2;
/// Factor by which stragglers take longer.
const STRAGGLER_FACTOR: u32 = 3;
/// Requests that each group runs at once.
const SLOTS: usize = 16;
/// Distinct prefixes of the trace, drawn from a Zipf distribution.
const PREFIXES: u64 = 400;
/// Prefixes that each group caches.
const CACHED_PREFIXES: usize = 40;
const ZIPF_EXPONENT: f64 = 1.1;
/// Prefill time of a prompt whose prefix is not cached.
const PREFILL_MISS: Duration = Duration::from_millis(150);
/// Prefill time of a prompt whose prefix is cached.
const PREFILL_HIT: Duration = Duration::from_millis(15);
const TOKEN_GAP: Duration = Duration::from_millis(30);
const TOKENS: u32 = 60;
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time from a load report to its arrival at all processes.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Time during which requests arrive.
const DURATION: Duration = Duration::from_secs(120);
/// Time at the start that the figures leave out.
const WARM_UP: Duration = Duration::from_secs(20);

/// One measured variant of group selection.
#[derive(Clone, Copy, Debug)]
pub struct RoutingVariant {
    /// The selection policy.
    pub policy: Policy,
    /// Whether hot prefixes are split into shards (S3-TM, section 5.1).
    pub split_hot_prefixes: bool,
    /// Whether a process corrects load reports only by the requests that it sent itself, instead of
    /// also estimating those of its peers.
    pub own_sends_only: bool,
}

struct Job {
    node: usize,
    group: usize,
    prefix: u64,
    sent_at: Duration,
    first_at: Duration,
}

#[derive(Default)]
struct Engine {
    running: usize,
    waiting: VecDeque<usize>,
    prefill_free_at: Duration,
    cached: VecDeque<u64>,
    busy_time: Duration,
}

enum ModelEvent {
    Arrive,
    FirstToken(usize),
    End(usize),
    Report,
    Reported(Vec<GroupView>),
}

struct Model {
    variant: RoutingVariant,
    rate: f64,
    rng: ChaCha8Rng,
    events: EventQueue<ModelEvent>,
    engines: Vec<Engine>,
    loads: Vec<LoadTracker>,
    table: GroupTable,
    jobs: Vec<Job>,
    hot_keys: Vec<HotKeys>,
    first_tokens: Vec<Duration>,
    hits: u32,
    prefills: u32,
}

/// Outcome of one run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// 95th percentile of the time to first token.
    pub first_token_p95: Duration,
    /// Fraction of the prompts whose prefix was cached.
    pub hit_rate: f64,
    /// Slot time in use of the busiest group, divided by the mean over groups.
    pub imbalance: f64,
    /// Fraction of the requests that went to stragglers.
    pub to_stragglers: f64,
}

/// Runs the model at a mean of `rate` requests per second and group.
pub fn simulate(variant: RoutingVariant, rate: f64, seed: u64) -> Outcome {
    let mut model = Model::new(variant, rate, seed);
    while let Some((now, event)) = model.events.pop() {
        model.handle(event, now);
    }
    model.outcome()
}

impl Model {
    fn new(variant: RoutingVariant, rate: f64, seed: u64) -> Self {
        let mut events = EventQueue::default();
        events.push(Duration::ZERO, ModelEvent::Arrive);
        (1..DURATION.as_secs() as u32)
            .for_each(|i| events.push(i * REPORT_PERIOD, ModelEvent::Report));
        let groups = (0..GROUPS).map(|i| group_view(i, 0, 0, Duration::ZERO)).collect();
        let mut loads = LoadTracker::default();
        loads.set_peers(if variant.own_sends_only { 0 } else { NODES - 1 });
        Model {
            variant,
            rate: rate * GROUPS as f64,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events,
            engines: (0..GROUPS).map(|_| Engine::default()).collect(),
            loads: vec![loads; NODES],
            table: GroupTable { groups },
            jobs: Vec::new(),
            hot_keys: vec![HotKeys::default(); NODES],
            first_tokens: Vec::new(),
            hits: 0,
            prefills: 0,
        }
    }

    fn handle(&mut self, event: ModelEvent, now: Duration) {
        match event {
            ModelEvent::Arrive => self.arrive(now),
            ModelEvent::FirstToken(job) => self.first_token(job, now),
            ModelEvent::End(job) => self.end(job, now),
            ModelEvent::Report => {
                let engines = self.engines.iter().enumerate();
                let report = engines.map(|(i, e)| group_view(i, e.waiting.len(), e.running, now));
                let report = report.collect();
                self.events.push(now + REPORT_LAG, ModelEvent::Reported(report));
            }
            ModelEvent::Reported(groups) => self.table = GroupTable { groups },
        }
    }

    fn arrive(&mut self, now: Duration) {
        if now >= DURATION {
            return;
        }
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
        self.events.push(now + Duration::from_secs_f64(gap), ModelEvent::Arrive);
        let zipf = Zipf::new(PREFIXES as f64, ZIPF_EXPONENT).expect("the exponent is positive");
        let prefix = zipf.sample(&mut self.rng) as u64;
        let node = self.rng.random_range(0..NODES);
        let (body, draw): (u64, u64) = (self.rng.random(), self.rng.random());
        let mut spec = RequestSpec::new(self.jobs.len() as u64, "w", "m", "v", &body.to_le_bytes());
        spec.prefix = vec![stable(&prefix.to_le_bytes())];
        let key = spec.affinity_key();
        self.hot_keys[node].count(key, now);
        let shards = if self.variant.split_hot_prefixes {
            self.hot_keys[node].shards(key, GROUPS)
        } else {
            1
        };
        let key = shard_key(key, spec.fingerprint, shards);
        let candidates = choose::candidates(&self.table, &self.loads[node], &spec, now);
        let Some(chosen) = choose::choose(self.variant.policy, &candidates, key, draw) else {
            return;
        };
        let id = candidates[chosen].view.id.clone();
        let group = self.table.groups.iter().position(|view| view.id == id).unwrap_or(0);
        self.loads[node].record_send(&id, now);
        self.jobs.push(Job { node, group, prefix, sent_at: now, first_at: Duration::ZERO });
        self.engines[group].waiting.push_back(self.jobs.len() - 1);
        self.start(group, now);
    }

    /// Starts waiting requests while the group has free slots.
    fn start(&mut self, group: usize, now: Duration) {
        while self.engines[group].running < SLOTS
            && let Some(job) = self.engines[group].waiting.pop_front()
        {
            let is_hit = self.engines[group].touch(self.jobs[job].prefix);
            let engine = &mut self.engines[group];
            engine.running += 1;
            let prefill = if is_hit { PREFILL_HIT } else { PREFILL_MISS } * slowdown(group);
            engine.prefill_free_at = engine.prefill_free_at.max(now) + prefill;
            if now > WARM_UP {
                self.prefills += 1;
                self.hits += u32::from(is_hit);
            }
            self.events.push(engine.prefill_free_at, ModelEvent::FirstToken(job));
        }
    }

    fn first_token(&mut self, job: usize, now: Duration) {
        let Job { node, group, sent_at, .. } = self.jobs[job];
        self.jobs[job].first_at = now;
        self.loads[node].record_first_token(&group_id(group), now - sent_at);
        if sent_at > WARM_UP {
            self.first_tokens.push(now - sent_at);
        }
        self.events.push(now + TOKEN_GAP * TOKENS * slowdown(group), ModelEvent::End(job));
    }

    fn end(&mut self, job: usize, now: Duration) {
        let Job { node, group, first_at, .. } = self.jobs[job];
        self.loads[node].record_token_gap(&group_id(group), (now - first_at) / TOKENS, now);
        self.loads[node].record_end(&group_id(group), now);
        self.engines[group].running -= 1;
        self.engines[group].busy_time += now - first_at;
        self.start(group, now);
    }

    fn outcome(mut self) -> Outcome {
        self.first_tokens.sort();
        let busy_time: Vec<f64> =
            self.engines.iter().map(|engine| engine.busy_time.as_secs_f64()).collect();
        let mean = busy_time.iter().sum::<f64>() / GROUPS as f64;
        let slow = self.jobs.iter().filter(|job| job.group < STRAGGLERS).count();
        Outcome {
            first_token_p95: self.first_tokens[self.first_tokens.len() * 95 / 100],
            hit_rate: f64::from(self.hits) / f64::from(self.prefills),
            imbalance: busy_time.iter().copied().fold(0.0, f64::max) / mean,
            to_stragglers: slow as f64 / self.jobs.len() as f64,
        }
    }
}

impl Engine {
    /// Returns whether the prefix is cached, and makes it the most recently used one.
    fn touch(&mut self, prefix: u64) -> bool {
        let position = self.cached.iter().position(|cached| *cached == prefix);
        if let Some(position) = position {
            self.cached.remove(position);
        }
        self.cached.push_back(prefix);
        if self.cached.len() > CACHED_PREFIXES {
            self.cached.pop_front();
        }
        position.is_some()
    }
}

fn slowdown(group: usize) -> u32 {
    if group < STRAGGLERS { STRAGGLER_FACTOR } else { 1 }
}

fn group_id(group: usize) -> GroupId {
    format!("g{group}").into()
}

fn group_view(group: usize, queued: usize, running: usize, at: Duration) -> GroupView {
    GroupView {
        id: group_id(group),
        model: "m".into(),
        version: "v".into(),
        adapters: Vec::new(),
        generation: 1,
        state: GroupState::Serving,
        leader: SocketAddr::from(([127, 0, 0, 1], 1)),
        lease_expiry: Duration::MAX,
        queued: queued as u32,
        running: running as u32,
        reported_at: at,
    }
}

fn report(outcome: &Outcome, baseline: &Outcome) -> Value {
    let p95 = outcome.first_token_p95.as_secs_f64();
    let round = |value: f64| (value * 1000.0).round() / 1000.0;
    json!({
        "first_token_p95_ms": (p95 * 1000.0).round(),
        "first_token_p95_ratio": round(p95 / baseline.first_token_p95.as_secs_f64()),
        "prefix_hit_rate": round(outcome.hit_rate),
        "prefix_hit_ratio": round(outcome.hit_rate / baseline.hit_rate),
        "busiest_to_mean_group": round(outcome.imbalance),
        "part_to_stragglers": round(outcome.to_stragglers),
    })
}

/// Returns the time that the router takes per request with `groups` groups, in microseconds.
fn decision_micros(groups: usize) -> f64 {
    const REQUESTS: u64 = 20_000;
    let mut router = Router::new("n1".into(), RouteSettings::default());
    let table =
        GroupTable { groups: (0..groups).map(|i| group_view(i, 0, 0, Duration::ZERO)).collect() };
    router.decide(RouteEvent::Groups(table), Duration::ZERO, 0);
    let started = Instant::now();
    for id in 0..REQUESTS {
        let now = Duration::from_millis(id);
        let mut spec = RequestSpec::new(id, "w", "m", "v", &(id % 100).to_le_bytes());
        spec.deadline = now + WARM_UP;
        router.decide(RouteEvent::Submit(spec), now, id);
        let (first_token, streaming) = (PREFILL_HIT, TOKEN_GAP * TOKENS);
        let measured = RouteEvent::Measured { request: id, first_token, tokens: TOKENS, streaming };
        router.decide(measured, now, id);
        router.decide(RouteEvent::Finished(id), now, id);
    }
    (started.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64 * 10.0).round() / 10.0
}

/// Runs the measurement at two request rates.
pub fn run() -> Value {
    let variant = |policy, split_hot_prefixes, own_sends_only| RoutingVariant {
        policy,
        split_hot_prefixes,
        own_sends_only,
    };
    let affinity = |load_bound| Policy::Affinity { load_bound };
    let variants = [
        ("two_choices_baseline", variant(Policy::TwoChoices, false, true)),
        ("random_baseline", variant(Policy::Random, false, true)),
        ("affinity", variant(Policy::default(), true, false)),
        ("affinity_no_split", variant(Policy::default(), false, false)),
        ("affinity_own_sends_only", variant(Policy::default(), true, true)),
        ("affinity_neither", variant(Policy::default(), false, true)),
        ("affinity_bound_1", variant(affinity(1.0), true, false)),
        ("affinity_bound_2", variant(affinity(2.0), true, false)),
        ("two_choices_all_sends", variant(Policy::TwoChoices, false, false)),
    ];
    let at = |rate: f64| -> Value {
        let baseline = simulate(variants[0].1, rate, 1);
        let rows = variants.iter().map(|(name, variant)| {
            (name.to_string(), report(&simulate(*variant, rate, 1), &baseline))
        });
        rows.collect()
    };
    json!({
        "groups": GROUPS,
        "stragglers": STRAGGLERS,
        "processes": NODES,
        "prefixes": PREFIXES,
        "prefixes_cached_by_group": CACHED_PREFIXES,
        "zipf_exponent": ZIPF_EXPONENT,
        "decision_micros_by_groups": {
            "55": decision_micros(55),
            "220": decision_micros(220),
            "880": decision_micros(880),
        },
        "requests_a_second_and_group_3": at(3.0),
        "requests_a_second_and_group_5": at(5.0),
    })
}
