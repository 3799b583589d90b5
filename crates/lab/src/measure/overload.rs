//! Measures goodput before, during and after a spike of load, for each way to shed.
//!
//! A model of one router before groups that run a fixed number of requests at once; the router is
//! the real one. The baseline is a queue without bound, deadlines or shedding. Goodput is what is
//! answered by its deadline, as a fraction of the groups' capacity.

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
const SLOTS: u32 = 8;
const SERVICE: Duration = Duration::from_millis(500);
const FIRST_TOKEN: Duration = Duration::from_millis(50);
const TOKENS: u32 = 10;
/// Requests a second that the groups can answer.
const CAPACITY: f64 = GROUPS as f64 * SLOTS as f64 * 2.0;
const PATIENCE: Duration = Duration::from_secs(3);
const SPIKE_SECONDS: std::ops::Range<usize> = 10..30;
const LENGTH_SECONDS: usize = 50;
const CALM_LOAD: f64 = 0.7;
const HIGH_PART: f64 = 0.1;
const LOW_PART: f64 = 0.3;

/// What is done with load above the capacity.
#[derive(Clone, Copy, Debug)]
pub enum OverloadControl {
    /// A queue without bound, in order of arrival, whatever the deadlines.
    Unbounded,
    /// The router, with this way to shed.
    Router(ShedPolicy),
}

/// One second of the curve.
#[derive(Clone, Debug, Default)]
pub struct SecondStats {
    /// Requests that arrived.
    pub offered: u32,
    /// Those of them that were answered by their deadline.
    pub good: u32,
    /// Requests answered by their deadline in this second.
    pub completed: u32,
    /// Requests of the high class that arrived.
    pub high: u32,
    /// Those of them that were answered by their deadline.
    pub high_good: u32,
    /// Sum of the times from arrival to the end of those that were answered by their deadline.
    pub total_latency: Duration,
}

enum Happening {
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
    agenda: EventQueue<Happening>,
    router: Router,
    waiting: VecDeque<u64>,
    free: usize,
    open: BTreeMap<u64, Arrival>,
    ids: u64,
    curve: Vec<SecondStats>,
}

/// Runs the model with a spike of `spike` times the capacity and returns its curve.
pub fn simulate(control: OverloadControl, spike: f64, seed: u64) -> Vec<SecondStats> {
    let mut model = Model::new(control, spike, seed);
    while let Some((now, happening)) = model.agenda.pop() {
        model.happen(happening, now);
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
        let mut agenda = EventQueue::default();
        agenda.push(Duration::ZERO, Happening::Arrive);
        (0..LENGTH_SECONDS as u32 * 20).for_each(|i| agenda.push(i * 50 * MS, Happening::Tick));
        Model {
            control,
            spike,
            rng: ChaCha8Rng::seed_from_u64(seed),
            agenda,
            router,
            waiting: VecDeque::new(),
            free: GROUPS * SLOTS as usize,
            open: BTreeMap::new(),
            ids: 0,
            curve: vec![SecondStats::default(); LENGTH_SECONDS],
        }
    }

    fn happen(&mut self, happening: Happening, now: Duration) {
        match happening {
            Happening::Arrive => self.arrive(now),
            Happening::FirstToken(id) => self.decide(RouteEvent::FirstToken(id), now),
            Happening::End(id) => self.end(id, now),
            Happening::Tick => self.decide(RouteEvent::Tick, now),
        }
    }

    fn arrive(&mut self, now: Duration) {
        let second = now.as_secs() as usize;
        if second >= LENGTH_SECONDS {
            return;
        }
        let load = if SPIKE_SECONDS.contains(&second) { self.spike } else { CALM_LOAD };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / (load * CAPACITY);
        self.agenda.push(now + Duration::from_secs_f64(gap), Happening::Arrive);
        self.ids += 1;
        let class: f64 = self.rng.random();
        let priority = match class {
            class if class < HIGH_PART => Priority::High,
            class if class < HIGH_PART + LOW_PART => Priority::Low,
            _ => Priority::Normal,
        };
        self.curve[second].offered += 1;
        self.curve[second].high += u32::from(priority == Priority::High);
        self.open.insert(self.ids, Arrival { at: now, priority });
        match self.control {
            OverloadControl::Unbounded => {
                self.waiting.push_back(self.ids);
                self.start_waiting(now);
            }
            OverloadControl::Router(_) => {
                let body = self.ids.to_le_bytes();
                let mut need = RequestSpec::new(self.ids, "w", "m", "v", &body);
                need.priority = priority;
                need.deadline = now + PATIENCE;
                need.tokens = TOKENS;
                self.decide(RouteEvent::Submit(need), now);
            }
        }
    }

    fn start_waiting(&mut self, now: Duration) {
        while self.free > 0
            && let Some(id) = self.waiting.pop_front()
        {
            self.free -= 1;
            self.agenda.push(now + SERVICE, Happening::End(id));
        }
    }

    fn end(&mut self, id: u64, now: Duration) {
        if let Some(arrival) = self.open.remove(&id) {
            self.count(&arrival, now);
        }
        match self.control {
            OverloadControl::Unbounded => {
                self.free += 1;
                self.start_waiting(now);
            }
            OverloadControl::Router(_) => {
                self.decide(RouteEvent::Tokens(id, TOKENS - 1), now);
                self.decide(RouteEvent::Finished(id), now);
            }
        }
    }

    fn count(&mut self, arrival: &Arrival, now: Duration) {
        let took = now - arrival.at;
        if took > PATIENCE {
            return;
        }
        let second = &mut self.curve[arrival.at.as_secs() as usize];
        second.good += 1;
        second.high_good += u32::from(arrival.priority == Priority::High);
        second.total_latency += took;
        if let Some(second) = self.curve.get_mut(now.as_secs() as usize) {
            second.completed += 1;
        }
    }

    fn decide(&mut self, event: RouteEvent, now: Duration) {
        let draw = self.rng.random();
        for action in self.router.decide(event, now, draw) {
            match action {
                RouteAction::Send { request, .. } => {
                    self.agenda.push(now + FIRST_TOKEN, Happening::FirstToken(request));
                    self.agenda.push(now + SERVICE, Happening::End(request));
                }
                RouteAction::Refuse { request, .. } => {
                    self.open.remove(&request);
                }
                _ => {}
            }
        }
    }
}

fn report(control: OverloadControl, spike: f64) -> Value {
    let curve = simulate(control, spike, 1);
    let spiked = &curve[SPIKE_SECONDS];
    let total = |part: fn(&SecondStats) -> u32| -> u32 { spiked.iter().map(part).sum() };
    let seconds = SPIKE_SECONDS.len() as f64;
    let goodput = f64::from(total(|second| second.completed)) / seconds / CAPACITY;
    let high = f64::from(total(|second| second.high_good)) / f64::from(total(|second| second.high));
    let waited: Duration = spiked.iter().map(|second| second.total_latency).sum();
    let mean = waited / total(|second| second.good).max(1);
    let after = curve[SPIKE_SECONDS.end..].iter();
    let is_well = |second: &SecondStats| f64::from(second.good) >= 0.99 * f64::from(second.offered);
    let ill = after.clone().rposition(|second| !is_well(second)).map_or(0, |last| last + 1);
    let per_second: Vec<f64> = curve
        .iter()
        .map(|second| (f64::from(second.completed) / CAPACITY * 100.0).round())
        .collect();
    json!({
        "goodput_of_capacity": round(goodput),
        "high_class_answered": round(high),
        "mean_time_to_answer_ms": mean.as_millis() as u64,
        "seconds_to_recover": ill,
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
        "calm_load": CALM_LOAD,
        "spike_from_second": SPIKE_SECONDS.start,
        "spike_to_second": SPIKE_SECONDS.end,
        "patience_ms": PATIENCE.as_millis() as u64,
        "service_ms": SERVICE.as_millis() as u64,
        "spike_2x": at(2.0),
        "spike_10x": at(10.0),
    })
}
