//! Tests of limits and of their fractions over processes.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::bucket::Bucket;
use route::limits::LimitExceeded;
use route::limits::LimitTable;
use route::limits::WorkspaceLimits;
use route::prelude::UsageReport;
use route::share::CapacityDemand;
use route::share::LimitShares;
use route::share::PROPAGATION_BOUND;
use route::share::PUBLISH_PERIOD;
use route::share::fair_shares;
use spec::resource::Limits;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(20);
const RATE: f64 = 100.0;
const BURST: u32 = 20;
/// Steps after which membership finds that some processes are cut off.
const FOUND_AT: usize = 200;
/// Steps by which those find out later.
const FOUND_LATER: usize = 25;

fn limits(share: f64) -> Limits {
    Limits {
        requests_per_second: RATE,
        burst: BURST,
        concurrent: 1_000_000,
        tokens_per_second: 1e9,
        share,
    }
}

fn only(limits: Limits) -> WorkspaceLimits {
    BTreeMap::from([("w".into(), limits)])
}

/// Processes that exchange their usage with random delays up to the spread bound.
struct Fleet {
    nodes: Vec<(LimitShares, LimitTable)>,
    heads: Vec<f64>,
    mail: Vec<(Duration, usize, UsageReport)>,
    rng: ChaCha8Rng,
    now: Duration,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let name = |i: usize| -> Box<str> { format!("n{i}").into() };
        let node = |i: usize| {
            let mut shares = LimitShares::new(name(i), 1);
            shares.set_live_peers((0..count).filter(|j| *j != i).map(name).collect(), count - 1);
            let mut table = LimitTable::default();
            table.set(&only(limits(1.0)), Duration::ZERO);
            table.refresh(&shares, None, Duration::ZERO);
            (shares, table)
        };
        Fleet {
            nodes: (0..count).map(node).collect(),
            heads: vec![0.0; count],
            mail: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
        }
    }

    /// Lets one step pass in which each process's callers bring `rates` requests a second.
    ///
    /// Processes for which `cut` holds neither send nor receive. Returns what was admitted.
    fn step(&mut self, rates: &[f64], cut: impl Fn(usize) -> bool) -> u32 {
        self.now += STEP;
        let now = self.now;
        let due = self.mail.extract_if(.., |(at, _, _)| *at <= now).collect::<Vec<_>>();
        for (_, to, report) in due.into_iter().filter(|(_, to, _)| !cut(*to)) {
            self.nodes[to].0.merge(&report);
        }
        let mut admitted = 0;
        for (i, rate) in rates.iter().enumerate() {
            if self.nodes[i].0.is_due(now, PUBLISH_PERIOD) {
                let report = self.nodes[i].0.publish(now);
                self.post(i, &report, &cut);
            }
            let (shares, table) = &mut self.nodes[i];
            table.refresh(shares, None, now);
            self.heads[i] += rate * STEP.as_secs_f64();
            while self.heads[i] >= 1.0 {
                self.heads[i] -= 1.0;
                shares.record_arrival("w");
                admitted += u32::from(table.admit("w", 1, now).is_ok());
            }
        }
        admitted
    }

    /// Lets the processes for which `live` holds see just each other as live, of all known ones.
    fn set_live_peers(&mut self, live: impl Fn(usize) -> bool) {
        for i in (0..self.nodes.len()).filter(|i| live(*i)) {
            let others = (0..self.nodes.len()).filter(|j| live(*j) && *j != i);
            let others = others.map(|j| format!("n{j}").into()).collect();
            let known = self.nodes.len() - 1;
            self.nodes[i].0.set_live_peers(others, known);
        }
    }

    /// Lets the process see no other one as live.
    fn set_alone(&mut self, node: usize) {
        let known = self.nodes.len() - 1;
        self.nodes[node].0.set_live_peers(Vec::new(), known);
    }

    fn post(&mut self, from: usize, report: &UsageReport, cut: &impl Fn(usize) -> bool) {
        for to in (0..self.nodes.len()).filter(|to| *to != from && !cut(from) && !cut(*to)) {
            let delay = PROPAGATION_BOUND.mul_f64(self.rng.random_range(0.0..0.99));
            self.mail.push((self.now + delay, to, report.clone()));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// The bound of the module's page in every window.
    #[test]
    fn a_fleet_admits_at_most_the_stated_bound(
        nodes in 2usize..9,
        seed: u64,
        phases in proptest::collection::vec(proptest::collection::vec(0.0f64..300.0, 9), 4),
        cut_off in 0usize..4,
    ) {
        let mut fleet = Fleet::new(nodes, seed);
        let cut_off = cut_off.min((nodes - 1) / 2);
        let mut admitted = vec![0.0f64];
        for (phase, rates) in phases.iter().enumerate() {
            fleet.set_live_peers(|_| true);
            for step in 0..400 {
                if phase == 2 && step == FOUND_AT {
                    fleet.set_live_peers(|i| i >= cut_off);
                }
                if phase == 2 && step == FOUND_AT + FOUND_LATER {
                    (0..cut_off).for_each(|i| fleet.set_alone(i));
                }
                let some = fleet.step(&rates[..nodes], |i| phase == 2 && i < cut_off);
                admitted.push(admitted.last().unwrap() + f64::from(some));
            }
        }
        let excess = greatest_excess(&admitted, 1.0 + cut_off as f64 / nodes as f64);
        let slack = f64::from(BURST) + nodes as f64 + later();
        prop_assert!(excess <= slack + 1e-6, "{excess} above {slack}");
    }
}

/// Returns what is admitted twice while the processes that are cut off have not found out.
fn later() -> f64 {
    RATE * STEP.as_secs_f64() * FOUND_LATER as f64
}

/// Returns the most that any window admitted above `RATE * factor`, given the running totals.
fn greatest_excess(admitted: &[f64], factor: f64) -> f64 {
    let line = |i: usize| RATE * factor * STEP.as_secs_f64() * i as f64;
    let mut least = f64::INFINITY;
    let mut greatest = 0.0f64;
    for (i, total) in admitted.iter().enumerate() {
        least = least.min(total - line(i));
        greatest = greatest.max(total - line(i) - least);
    }
    greatest
}

#[test]
fn a_process_that_is_cut_off_with_most_of_the_demand_keeps_to_the_bound() {
    let rates = [300.0, 20.0, 20.0, 20.0, 20.0];
    for seed in 0..20 {
        let mut fleet = Fleet::new(5, seed);
        let mut admitted = vec![0.0f64];
        for step in 0..1600 {
            let is_cut = (500..1200).contains(&step);
            match step {
                700 => fleet.set_live_peers(|i| i > 0),
                725 => fleet.set_alone(0),
                1200 => fleet.set_live_peers(|_| true),
                _ => {}
            }
            let some = fleet.step(&rates, |i| is_cut && i == 0);
            admitted.push(admitted.last().unwrap() + f64::from(some));
            if step == 1100 {
                let fraction = fleet.nodes[0].0.fraction("w", fleet.now);
                assert_eq!(fraction, 0.2, "a process that is cut off takes its even part");
            }
        }
        let excess = greatest_excess(&admitted, 1.0 + 1.0 / 5.0);
        let slack = f64::from(BURST) + 5.0 + later();
        assert!(excess <= slack, "{excess} above {slack} with seed {seed}");
    }
}

#[test]
fn uneven_callers_get_the_whole_limit_and_a_lost_process_returns_its_share() {
    let mut fleet = Fleet::new(8, 1);
    let mut rates = [10.0; 8];
    rates[0] = 400.0;
    rates[1] = 200.0;
    let seconds = |rates: &[f64; 8], fleet: &mut Fleet, count: u32| -> f64 {
        let steps = count * 50;
        let total: u32 = (0..steps).map(|_| fleet.step(rates, |i| i == 1 && rates[1] == 0.0)).sum();
        f64::from(total) / f64::from(count)
    };
    seconds(&rates, &mut fleet, 10);
    let settled = seconds(&rates, &mut fleet, 10);
    assert!((95.0..=102.0).contains(&settled), "{settled} of {RATE} a second");
    rates[1] = 0.0;
    let lost = seconds(&rates, &mut fleet, 3);
    assert!(lost >= 60.0, "only the lost process's share is missing: {lost}");
    fleet.set_live_peers(|i| i != 1);
    seconds(&rates, &mut fleet, 3);
    let after = seconds(&rates, &mut fleet, 10);
    assert!((95.0..=102.0).contains(&after), "{after} of {RATE} a second");
}

#[test]
fn a_raised_rate_does_not_count_for_the_time_before() {
    let mut bucket = Bucket::new(1.0, 100.0, Duration::ZERO);
    assert!(bucket.try_take(100.0, Duration::ZERO));
    bucket.resize(50.0, 100.0, Duration::from_secs(2));
    assert!(!bucket.has(2.5, Duration::from_secs(2)), "two seconds at one a second are two");
    assert!(bucket.has(52.0, Duration::from_secs(3)));
}

#[test]
fn each_limit_refuses_with_a_time_to_come_back_and_a_refusal_leaves_no_charge() {
    let now = Duration::from_secs(1);
    let mut table = LimitTable::default();
    let few = Limits { concurrent: 1, burst: 2, ..limits(1.0) };
    table.set(&only(few), now);
    assert_eq!(table.admit("w", 1, now), Ok(()));
    assert!(matches!(table.admit("w", 1, now), Err(LimitExceeded::Concurrency(_))));
    table.record_end("w", 1, 1, now);
    assert_eq!(table.admit("w", 1, now), Ok(()), "the refusal took no request of the burst");
    table.record_end("w", 1, 1, now);
    assert!(matches!(table.admit("w", 1, now), Err(LimitExceeded::Rate(after)) if after <= STEP));
    let slow = Limits { tokens_per_second: 10.0, ..limits(1.0) };
    let mut table = LimitTable::default();
    table.set(&only(slow), now);
    assert_eq!(table.admit("w", 200, now), Ok(()), "a bucket may go into debt once");
    let exceeded = table.admit("w", 1, now);
    assert_eq!(
        exceeded,
        Err(LimitExceeded::Tokens(Duration::from_secs(10))),
        "100 tokens at 10 a second"
    );
    table.record_end("w", 200, 50, now);
    assert_eq!(table.admit("w", 1, now), Ok(()), "tokens that were not generated come back");
}

proptest! {
    #[test]
    fn free_capacity_goes_by_weight_and_none_is_left_while_a_demand_is_unmet(
        claims in proptest::collection::vec((0.0f64..100.0, 0.0f64..50.0, 0.1f64..5.0), 1..8),
        capacity in 0.0f64..400.0,
    ) {
        let claims: Vec<CapacityDemand> = claims
            .into_iter()
            .map(|(demand, guaranteed, share)| CapacityDemand { demand, guaranteed, share })
            .collect();
        let given = fair_shares(capacity, &claims);
        let total: f64 = given.iter().sum();
        let asked: f64 = claims.iter().map(|claim| claim.demand).sum();
        prop_assert!((total - asked.min(capacity)).abs() < 1e-6, "{total} of {capacity}");
        let floor: f64 = claims.iter().map(|claim| claim.demand.min(claim.guaranteed)).sum();
        for (claim, given) in claims.iter().zip(&given) {
            prop_assert!(*given <= claim.demand + 1e-9);
            let least = claim.demand.min(claim.guaranteed);
            prop_assert!(floor > capacity || *given >= least - 1e-9);
        }
        let extra = |i: usize| given[i] - claims[i].demand.min(claims[i].guaranteed);
        for i in 0..claims.len() {
            for j in 0..claims.len() {
                let unmet = given[i] < claims[i].demand - 1e-6 && floor < capacity;
                let more = extra(j) / claims[j].share - extra(i) / claims[i].share;
                prop_assert!(!unmet || more < 1e-6, "{j} got more by weight than {i}");
            }
        }
    }
}
