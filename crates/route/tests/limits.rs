//! Tests of workspace limits and of their fractions over processes.

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
/// Step at which the majority detects that some processes are partitioned.
const DETECTED_AT: usize = 200;
/// Number of steps by which the partitioned processes detect it later.
const DETECTION_DELAY: usize = 25;

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

/// Processes that exchange usage reports with random delays up to the propagation bound.
struct Cluster {
    nodes: Vec<(LimitShares, LimitTable)>,
    /// Due requests of the callers of each process, including a fraction of the next one.
    backlogs: Vec<f64>,
    /// Reports in transit: arrival time, receiver, report.
    in_transit: Vec<(Duration, usize, UsageReport)>,
    rng: ChaCha8Rng,
    now: Duration,
}

impl Cluster {
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
        Cluster {
            nodes: (0..count).map(node).collect(),
            backlogs: vec![0.0; count],
            in_transit: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
        }
    }

    /// Simulates one step in which the callers of each process send `rates` requests per second.
    ///
    /// Processes for which `is_partitioned` holds neither send nor receive reports. Returns the
    /// number of admitted requests.
    fn step(&mut self, rates: &[f64], is_partitioned: impl Fn(usize) -> bool) -> u32 {
        self.now += STEP;
        let now = self.now;
        let due = self.in_transit.extract_if(.., |(at, _, _)| *at <= now).collect::<Vec<_>>();
        for (_, to, report) in due.into_iter().filter(|(_, to, _)| !is_partitioned(*to)) {
            self.nodes[to].0.merge(&report);
        }
        let mut admitted = 0;
        for (i, rate) in rates.iter().enumerate() {
            if self.nodes[i].0.is_due(now, PUBLISH_PERIOD) {
                let report = self.nodes[i].0.publish(now);
                self.send_report(i, &report, &is_partitioned);
            }
            let (shares, table) = &mut self.nodes[i];
            table.refresh(shares, None, now);
            self.backlogs[i] += rate * STEP.as_secs_f64();
            while self.backlogs[i] >= 1.0 {
                self.backlogs[i] -= 1.0;
                shares.record_arrival("w");
                admitted += u32::from(table.admit("w", 1, now).is_ok());
            }
        }
        admitted
    }

    /// Makes the processes for which `live` holds see exactly each other as live.
    fn set_live(&mut self, live: impl Fn(usize) -> bool) {
        for i in (0..self.nodes.len()).filter(|i| live(*i)) {
            let others = (0..self.nodes.len()).filter(|j| live(*j) && *j != i);
            let others = others.map(|j| format!("n{j}").into()).collect();
            let known = self.nodes.len() - 1;
            self.nodes[i].0.set_live_peers(others, known);
        }
    }

    /// Makes the process see no other one as live.
    fn set_partitioned(&mut self, node: usize) {
        let known = self.nodes.len() - 1;
        self.nodes[node].0.set_live_peers(Vec::new(), known);
    }

    fn send_report(
        &mut self,
        from: usize,
        report: &UsageReport,
        is_partitioned: &impl Fn(usize) -> bool,
    ) {
        for to in (0..self.nodes.len())
            .filter(|to| *to != from && !is_partitioned(from) && !is_partitioned(*to))
        {
            let delay = PROPAGATION_BOUND.mul_f64(self.rng.random_range(0.0..0.99));
            self.in_transit.push((self.now + delay, to, report.clone()));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Checks the error bound of the page of `route::share` for every window.
    #[test]
    fn all_processes_together_admit_at_most_the_stated_bound(
        nodes in 2usize..9,
        seed: u64,
        phases in proptest::collection::vec(proptest::collection::vec(0.0f64..300.0, 9), 4),
        partitioned in 0usize..4,
    ) {
        let mut cluster = Cluster::new(nodes, seed);
        let partitioned = partitioned.min((nodes - 1) / 2);
        let mut admitted = vec![0.0f64];
        for (phase, rates) in phases.iter().enumerate() {
            cluster.set_live(|_| true);
            for step in 0..400 {
                if phase == 2 && step == DETECTED_AT {
                    cluster.set_live(|i| i >= partitioned);
                }
                if phase == 2 && step == DETECTED_AT + DETECTION_DELAY {
                    (0..partitioned).for_each(|i| cluster.set_partitioned(i));
                }
                let some = cluster.step(&rates[..nodes], |i| phase == 2 && i < partitioned);
                admitted.push(admitted.last().unwrap() + f64::from(some));
            }
        }
        let excess = greatest_excess(&admitted, 1.0 + partitioned as f64 / nodes as f64);
        let slack = f64::from(BURST) + nodes as f64 + detection_slack();
        prop_assert!(excess <= slack + 1e-6, "{excess} above {slack}");
    }
}

/// Returns how much is admitted twice until the partitioned processes detect the partition.
fn detection_slack() -> f64 {
    RATE * STEP.as_secs_f64() * DETECTION_DELAY as f64
}

/// Returns the most requests that any window admitted above `RATE * factor`, given the running
/// totals.
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
fn a_partitioned_process_with_most_of_the_demand_stays_within_the_bound() {
    let rates = [300.0, 20.0, 20.0, 20.0, 20.0];
    for seed in 0..20 {
        let mut cluster = Cluster::new(5, seed);
        let mut admitted = vec![0.0f64];
        for step in 0..1600 {
            let in_partition = (500..1200).contains(&step);
            match step {
                700 => cluster.set_live(|i| i > 0),
                725 => cluster.set_partitioned(0),
                1200 => cluster.set_live(|_| true),
                _ => {}
            }
            let some = cluster.step(&rates, |i| in_partition && i == 0);
            admitted.push(admitted.last().unwrap() + f64::from(some));
            if step == 1100 {
                let fraction = cluster.nodes[0].0.fraction("w", cluster.now);
                assert_eq!(fraction, 0.2, "a partitioned process takes an equal fraction");
            }
        }
        let excess = greatest_excess(&admitted, 1.0 + 1.0 / 5.0);
        let slack = f64::from(BURST) + 5.0 + detection_slack();
        assert!(excess <= slack, "{excess} above {slack} with seed {seed}");
    }
}

#[test]
fn uneven_demand_gets_the_whole_limit_and_the_share_of_a_lost_process_is_reassigned() {
    let mut cluster = Cluster::new(8, 1);
    let mut rates = [10.0; 8];
    rates[0] = 400.0;
    rates[1] = 200.0;
    let seconds = |rates: &[f64; 8], cluster: &mut Cluster, count: u32| -> f64 {
        let steps = count * 50;
        let total: u32 =
            (0..steps).map(|_| cluster.step(rates, |i| i == 1 && rates[1] == 0.0)).sum();
        f64::from(total) / f64::from(count)
    };
    seconds(&rates, &mut cluster, 10);
    let settled = seconds(&rates, &mut cluster, 10);
    assert!((95.0..=102.0).contains(&settled), "{settled} of {RATE} requests per second");
    rates[1] = 0.0;
    let lost = seconds(&rates, &mut cluster, 3);
    assert!(lost >= 60.0, "more than the share of the lost process is missing: {lost}");
    cluster.set_live(|i| i != 1);
    seconds(&rates, &mut cluster, 3);
    let after = seconds(&rates, &mut cluster, 10);
    assert!((95.0..=102.0).contains(&after), "{after} of {RATE} requests per second");
}

#[test]
fn a_raised_rate_is_not_credited_for_earlier_time() {
    let mut bucket = Bucket::new(1.0, 100.0, Duration::ZERO);
    assert!(bucket.try_take(100.0, Duration::ZERO));
    bucket.resize(50.0, 100.0, Duration::from_secs(2));
    assert!(
        !bucket.has(2.5, Duration::from_secs(2)),
        "two seconds at one token per second give two tokens"
    );
    assert!(bucket.has(52.0, Duration::from_secs(3)));
}

#[test]
fn each_limit_refuses_with_a_retry_time_and_a_refusal_is_not_charged() {
    let now = Duration::from_secs(1);
    let mut table = LimitTable::default();
    let few = Limits { concurrent: 1, burst: 2, ..limits(1.0) };
    table.set(&only(few), now);
    assert_eq!(table.admit("w", 1, now), Ok(()));
    assert!(matches!(table.admit("w", 1, now), Err(LimitExceeded::Concurrency(_))));
    table.record_end("w", 1, 1, now);
    assert_eq!(table.admit("w", 1, now), Ok(()), "the refusal is not charged to the burst");
    table.record_end("w", 1, 1, now);
    assert!(matches!(table.admit("w", 1, now), Err(LimitExceeded::Rate(after)) if after <= STEP));
    let slow = Limits { tokens_per_second: 10.0, ..limits(1.0) };
    let mut table = LimitTable::default();
    table.set(&only(slow), now);
    assert_eq!(table.admit("w", 200, now), Ok(()), "the level may become negative once");
    let exceeded = table.admit("w", 1, now);
    assert_eq!(
        exceeded,
        Err(LimitExceeded::Tokens(Duration::from_secs(10))),
        "100 tokens at 10 per second"
    );
    table.record_end("w", 200, 50, now);
    assert_eq!(table.admit("w", 1, now), Ok(()), "tokens that were not generated are returned");
}

proptest! {
    #[test]
    fn unused_capacity_is_shared_by_weight_and_none_is_left_while_a_demand_is_unmet(
        demands in proptest::collection::vec((0.0f64..100.0, 0.0f64..50.0, 0.1f64..5.0), 1..8),
        capacity in 0.0f64..400.0,
    ) {
        let demands: Vec<CapacityDemand> = demands
            .into_iter()
            .map(|(demand, guaranteed, weight)| CapacityDemand { demand, guaranteed, weight })
            .collect();
        let given = fair_shares(capacity, &demands);
        let total: f64 = given.iter().sum();
        let demanded: f64 = demands.iter().map(|entry| entry.demand).sum();
        prop_assert!((total - demanded.min(capacity)).abs() < 1e-6, "{total} of {capacity}");
        let floor: f64 = demands.iter().map(|entry| entry.demand.min(entry.guaranteed)).sum();
        for (entry, given) in demands.iter().zip(&given) {
            prop_assert!(*given <= entry.demand + 1e-9);
            let least = entry.demand.min(entry.guaranteed);
            prop_assert!(floor > capacity || *given >= least - 1e-9);
        }
        let extra = |i: usize| given[i] - demands[i].demand.min(demands[i].guaranteed);
        for i in 0..demands.len() {
            for j in 0..demands.len() {
                let unmet = given[i] < demands[i].demand - 1e-6 && floor < capacity;
                let more = extra(j) / demands[j].weight - extra(i) / demands[i].weight;
                prop_assert!(!unmet || more < 1e-6, "{j} got more than {i} relative to its weight");
            }
        }
    }
}

// Guards against capacity that is left while a demand is unmet: the first step used exactly half of
// it, which was taken for the end.
#[test]
fn capacity_is_shared_out_when_the_first_demand_is_met_with_half_of_it() {
    let demand = |demand| CapacityDemand { demand, guaranteed: 0.0, weight: 1.0 };
    assert_eq!(fair_shares(2.0, &[demand(0.5), demand(3.0)]), [0.5, 1.5]);
}
