//! What all processes together are expected to send to endpoints until the next report.

use base::prelude::*;
use pass::arrivals::Demand;
use pass::arrivals::EventRate;
use pass::arrivals::Level;
use pass::arrivals::outlook;
use proptest::prelude::*;

const INTERVAL: Duration = Duration::from_millis(300);

fn level(requests: f64) -> Level {
    Level {
        requests,
        remote_requests: requests,
        slots: 30.0,
        starts_per_second: 20.0,
        capacity_per_second: 20.0,
    }
}

fn demand(per_second: f64) -> Demand {
    Demand {
        arrivals_per_second: per_second,
        prompt_tokens_per_second: 1_000.0 * per_second,
        output_tokens_per_second: 100.0 * per_second,
        sends_per_second: per_second,
        ..Demand::default()
    }
}

fn sends(levels: &[Level], per_second: f64) -> Vec<f64> {
    let outlook = outlook(levels, demand(per_second), 77, INTERVAL);
    outlook.drifts.iter().map(|drift| drift.sends_per_second).collect()
}

#[test]
fn equal_endpoints_get_equal_shares() {
    let sends = sends(&[level(10.0), level(10.0), level(10.0)], 30.0);
    assert!(sends.iter().all(|sends| (sends - 10.0).abs() < 0.1), "{sends:?}");
}

// A group that has just opened can't read the prompts of all requests that arrive.
#[test]
fn an_empty_endpoint_gets_most_but_no_more_than_it_can_begin() {
    let sends = sends(&[level(25.0), level(25.0), level(0.0)], 60.0);
    assert!((sends[2] - 20.0).abs() < 0.1 && sends[0] <= 20.1 && sends[0] > 5.0, "{sends:?}");
}

#[test]
fn requests_are_held_back_only_if_they_exceed_what_endpoints_can_take() {
    // A tenth of the slots is left free.
    let full = [level(27.0), level(27.0)];
    let lighter = Demand { sends_per_second: 20.0, ..demand(40.0) };
    let held = outlook(&full, lighter, 77, INTERVAL).admitted;
    assert!((held - 0.5).abs() < 0.01, "{held}");
    assert_eq!(outlook(&[level(10.0), level(10.0)], demand(30.0), 77, INTERVAL).admitted, 1.0);
}

#[test]
fn without_endpoints_or_arrivals_nothing_is_expected() {
    assert_eq!(outlook(&[], demand(30.0), 77, INTERVAL).drifts, []);
    let idle = outlook(&[level(0.0)], Demand::default(), 77, Duration::ZERO);
    assert_eq!(idle.admitted, 1.0);
    assert!(idle.drifts[0].growth_per_second.is_finite());
}

#[test]
fn a_rate_follows_its_events_and_forgets_them() {
    let mut rate = EventRate::default();
    assert_eq!(rate.per_second(INTERVAL), 0.0);
    let mut now = Duration::from_secs(1);
    while now < Duration::from_secs(31) {
        rate.record(2.0, now);
        now += Duration::from_millis(100);
    }
    assert!((rate.per_second(now) - 20.0).abs() < 1.0, "{}", rate.per_second(now));
    assert!(rate.per_second(now + Duration::from_secs(60)) < 0.1);
}

proptest! {
    // Whatever is reported, the figures stay usable: no endpoint gets more than it can begin, all
    // together no more than arrive, and loads neither grow nor fall without bound.
    #[test]
    fn outlooks_are_bounded(
        loads in proptest::collection::vec((0u32..200, 0u32..200, 1u32..64, 0.0..1e4f64), 0..40),
        arrivals in 0.0..1e5f64,
        sends in 0.0..1e5f64,
        processes in 0usize..2_000,
        interval_ms in 0u64..2_000,
    ) {
        let levels: Vec<Level> = loads
            .iter()
            .map(|(local, remote, slots, starts)| Level {
                requests: f64::from(local + remote),
                remote_requests: f64::from(*remote),
                slots: f64::from(*slots),
                starts_per_second: *starts,
                capacity_per_second: *starts,
            })
            .collect();
        let demand = Demand {
            arrivals_per_second: arrivals,
            prompt_tokens_per_second: 0.0,
            output_tokens_per_second: 0.0,
            sends_per_second: sends,
            ..Demand::default()
        };
        let outlook = outlook(&levels, demand, processes, Duration::from_millis(interval_ms));
        prop_assert!((0.0..=1.0).contains(&outlook.admitted));
        prop_assert_eq!(outlook.drifts.len(), levels.len());
        for (level, drift) in levels.iter().zip(&outlook.drifts) {
            prop_assert!(drift.sends_per_second >= 0.0);
            prop_assert!(drift.sends_per_second <= level.starts_per_second * 1.001);
            prop_assert!(drift.growth_per_second.is_finite());
        }
        let total: f64 = outlook.drifts.iter().map(|drift| drift.sends_per_second).sum();
        let most = arrivals.max(10.0);
        prop_assert!(total <= most * 1.01, "{total} of {arrivals}");
    }
}
