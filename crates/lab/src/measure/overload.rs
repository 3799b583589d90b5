//! Measures goodput before, during and after a load spike, for each shedding policy.
//!
//! A discrete-event simulation of one real router in front of groups that each run a fixed number
//! of requests at once. The baseline is an unbounded queue without deadlines or shedding. Goodput
//! is the rate of requests answered by their deadline, as a fraction of the groups' capacity.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::prelude::*;
use group::view::GroupTable;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::prelude::*;
use route::shed::ShedPolicy;
use serde_json::Value;
use serde_json::json;

use super::event_queue::EventQueue;

use crate::measure::view::idle_group;

const MS: Duration = Duration::from_millis(1);
const GROUPS: usize = 8;
/// Requests that each group runs at once.
const SLOTS: u32 = 8;
/// Time that a group takes to answer a request.
const SERVICE_TIME: Duration = Duration::from_millis(500);
/// Time from the start of a request to its first token.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(50);
/// Tokens of each answer.
const TOKENS: u32 = 10;
/// Requests per second that the groups can answer.
const CAPACITY: f64 = GROUPS as f64 * SLOTS as f64 * 2.0;
/// Time from a request's arrival to its deadline.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Seconds of the spike.
const SPIKE_SECONDS: std::ops::Range<usize> = 10..30;
const LENGTH_SECONDS: usize = 50;
/// Load outside the spike, as a fraction of the capacity.
const BASE_LOAD: f64 = 0.7;
/// Fraction of requests with high priority.
const HIGH_FRACTION: f64 = 0.1;
/// Fraction of requests with low priority.
const LOW_FRACTION: f64 = 0.3;

/// How load above the capacity is handled.
#[derive(Clone, Copy, Debug)]
pub enum OverloadControl {
    /// An unbounded queue in order of arrival that ignores deadlines.
    Unbounded,
    /// The router with this shedding policy.
    Router(ShedPolicy),
}

/// Counts of one second.
#[derive(Clone, Debug, Default)]
pub struct SecondStats {
    /// Requests that arrived.
    pub offered: u32,
    /// Requests that arrived in this second and were answered by their deadline.
    pub in_time: u32,
    /// Requests answered by their deadline in this second.
    pub completed: u32,
    /// Requests of high priority that arrived.
    pub high: u32,
    /// Requests of high priority that arrived and were answered by their deadline.
    pub high_in_time: u32,
    /// Sum of the latencies of the requests counted in `in_time`.
    pub total_latency: Duration,
}

enum ModelEvent {
    Arrive,
    FirstToken(u64),
    End(u64),
    Tick,
}

struct Arrival {
    at: Duration,
    priority: Priority,
}

struct Model {
    control: OverloadControl,
    spike: f64,
    rng: ChaCha8Rng,
    events: EventQueue<ModelEvent>,
    router: Router,
    waiting: VecDeque<u64>,
    free_slots: usize,
    outstanding: BTreeMap<u64, Arrival>,
    last_id: u64,
    curve: Vec<SecondStats>,
}

/// Runs the model with a spike of `spike` times the capacity and returns the counts by second.
pub fn simulate(control: OverloadControl, spike: f64, seed: u64) -> Vec<SecondStats> {
    let mut model = Model::new(control, spike, seed);
    while let Some((now, event)) = model.events.pop() {
        model.handle(event, now);
    }
    model.curve
}

impl Model {
    fn new(control: OverloadControl, spike: f64, seed: u64) -> Self {
        let shed = match control {
            OverloadControl::Unbounded => ShedPolicy::Off,
            OverloadControl::Router(shed) => shed,
        };
        let settings =
            RouteSettings { shed, group_slots: SLOTS, queue_capacity: 512, ..Default::default() };
        let mut router = Router::new("n1".into(), settings);
        let groups = (0..GROUPS).map(idle_group).collect();
        router.decide(RouteEvent::Groups(GroupTable { groups }), Duration::ZERO, 0);
        let mut events = EventQueue::default();
        events.push(Duration::ZERO, ModelEvent::Arrive);
        (0..LENGTH_SECONDS as u32 * 20).for_each(|i| events.push(i * 50 * MS, ModelEvent::Tick));
        Model {
            control,
            spike,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events,
            router,
            waiting: VecDeque::new(),
            free_slots: GROUPS * SLOTS as usize,
            outstanding: BTreeMap::new(),
            last_id: 0,
            curve: vec![SecondStats::default(); LENGTH_SECONDS],
        }
    }

    fn handle(&mut self, event: ModelEvent, now: Duration) {
        match event {
            ModelEvent::Arrive => self.arrive(now),
            ModelEvent::FirstToken(id) => self.decide(RouteEvent::FirstToken(id), now),
            ModelEvent::End(id) => self.end(id, now),
            ModelEvent::Tick => self.decide(RouteEvent::Tick, now),
        }
    }

    fn arrive(&mut self, now: Duration) {
        let second = now.as_secs() as usize;
        if second >= LENGTH_SECONDS {
            return;
        }
        let load = if SPIKE_SECONDS.contains(&second) { self.spike } else { BASE_LOAD };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / (load * CAPACITY);
        self.events.push(now + Duration::from_secs_f64(gap), ModelEvent::Arrive);
        self.last_id += 1;
        let class: f64 = self.rng.random();
        let priority = match class {
            class if class < HIGH_FRACTION => Priority::High,
            class if class < HIGH_FRACTION + LOW_FRACTION => Priority::Low,
            _ => Priority::Normal,
        };
        self.curve[second].offered += 1;
        self.curve[second].high += u32::from(priority == Priority::High);
        self.outstanding.insert(self.last_id, Arrival { at: now, priority });
        match self.control {
            OverloadControl::Unbounded => {
                self.waiting.push_back(self.last_id);
                self.start_waiting(now);
            }
            OverloadControl::Router(_) => {
                let body = self.last_id.to_le_bytes();
                let mut spec = RequestSpec::new(self.last_id, "w", "m", "v", &body);
                spec.priority = priority;
                spec.deadline = now + TIMEOUT;
                spec.tokens = TOKENS;
                self.decide(RouteEvent::Submit(spec), now);
            }
        }
    }

    fn start_waiting(&mut self, now: Duration) {
        while self.free_slots > 0
            && let Some(id) = self.waiting.pop_front()
        {
            self.free_slots -= 1;
            self.events.push(now + SERVICE_TIME, ModelEvent::End(id));
        }
    }

    fn end(&mut self, id: u64, now: Duration) {
        if let Some(arrival) = self.outstanding.remove(&id) {
            self.count(&arrival, now);
        }
        match self.control {
            OverloadControl::Unbounded => {
                self.free_slots += 1;
                self.start_waiting(now);
            }
            OverloadControl::Router(_) => {
                self.decide(RouteEvent::Tokens(id, TOKENS - 1), now);
                self.decide(RouteEvent::Finished(id), now);
            }
        }
    }

    fn count(&mut self, arrival: &Arrival, now: Duration) {
        let latency = now - arrival.at;
        if latency > TIMEOUT {
            return;
        }
        let second = &mut self.curve[arrival.at.as_secs() as usize];
        second.in_time += 1;
        second.high_in_time += u32::from(arrival.priority == Priority::High);
        second.total_latency += latency;
        if let Some(second) = self.curve.get_mut(now.as_secs() as usize) {
            second.completed += 1;
        }
    }

    fn decide(&mut self, event: RouteEvent, now: Duration) {
        let draw = self.rng.random();
        for action in self.router.decide(event, now, draw) {
            match action {
                RouteAction::Send { request, .. } => {
                    self.events.push(now + FIRST_TOKEN_TIME, ModelEvent::FirstToken(request));
                    self.events.push(now + SERVICE_TIME, ModelEvent::End(request));
                }
                RouteAction::Refuse { request, .. } => {
                    self.outstanding.remove(&request);
                }
                _ => {}
            }
        }
    }
}

fn report(control: OverloadControl, spike: f64) -> Value {
    let curve = simulate(control, spike, 1);
    let during_spike = &curve[SPIKE_SECONDS];
    let total = |count: fn(&SecondStats) -> u32| -> u32 { during_spike.iter().map(count).sum() };
    let seconds = SPIKE_SECONDS.len() as f64;
    let goodput = f64::from(total(|second| second.completed)) / seconds / CAPACITY;
    let high =
        f64::from(total(|second| second.high_in_time)) / f64::from(total(|second| second.high));
    let total_latency: Duration = during_spike.iter().map(|second| second.total_latency).sum();
    let mean = total_latency / total(|second| second.in_time).max(1);
    let after = curve[SPIKE_SECONDS.end..].iter();
    let is_recovered =
        |second: &SecondStats| f64::from(second.in_time) >= 0.99 * f64::from(second.offered);
    let seconds_to_recover =
        after.clone().rposition(|second| !is_recovered(second)).map_or(0, |last| last + 1);
    let per_second: Vec<f64> = curve
        .iter()
        .map(|second| (f64::from(second.completed) / CAPACITY * 100.0).round())
        .collect();
    json!({
        "goodput_of_capacity": round(goodput),
        "high_class_answered": round(high),
        "mean_time_to_answer_ms": mean.as_millis() as u64,
        "seconds_to_recover": seconds_to_recover,
        "goodput_percent_by_second": per_second,
    })
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// Runs the measurement for spikes of 2 and 10 times the capacity.
pub fn run() -> Value {
    let cases = [
        ("unbounded_baseline", OverloadControl::Unbounded),
        ("router_no_shedding", OverloadControl::Router(ShedPolicy::Off)),
        ("router", OverloadControl::Router(RouteSettings::default().shed)),
    ];
    let at = |spike: f64| -> Value {
        cases.iter().map(|(name, control)| (name.to_string(), report(*control, spike))).collect()
    };
    json!({
        "capacity_per_second": CAPACITY,
        "calm_load": BASE_LOAD,
        "spike_from_second": SPIKE_SECONDS.start,
        "spike_to_second": SPIKE_SECONDS.end,
        "patience_ms": TIMEOUT.as_millis() as u64,
        "service_ms": SERVICE_TIME.as_millis() as u64,
        "spike_2x": at(2.0),
        "spike_10x": at(10.0),
    })
}
