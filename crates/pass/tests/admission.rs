//! How capacity is divided among priorities.

use base::prelude::*;
use pass::admission::RetryTimes;
use pass::admission::Shares;
use pass::arrivals::Demand;
use pass::arrivals::FlowRates;
use pass::engine_time::RequestSize;
use pass::fair_share::fair_shares;
use proptest::prelude::*;

// Guards against the same share for all priorities, by which a low one takes capacity from a high one.
#[test]
fn capacity_goes_to_the_highest_priority_first() {
    let shares = Shares::divide(0.6, [10.0, 10.0, 10.0]);
    assert!(shares.of(0) > 0.99, "{shares:?}");
    assert!(shares.of(1) < shares.of(0) && shares.of(2) < shares.of(1), "{shares:?}");
    assert!((shares.of(2) - 0.15).abs() < 1e-9, "{shares:?}");
    assert_eq!(shares.of(9), shares.of(2));
}

// Guards against other decisions than before where all requests have one priority.
#[test]
fn a_single_priority_gets_exactly_the_mean_share() {
    for arrivals in [[12.0, 0.0, 0.0], [0.0, 12.0, 0.0], [0.0, 0.0, 12.0]] {
        let shares = Shares::divide(0.37, arrivals);
        assert_eq!(shares, Shares::uniform(0.37));
        assert_eq!(shares.smoothed(Shares::default()), shares);
    }
}

fn demand_after(priorities: &[u8]) -> Demand {
    let mut rates = FlowRates::default();
    let mut now = Duration::from_secs(1);
    for priority in priorities.iter().cycle().take(300) {
        now += Duration::from_millis(100);
        let size = RequestSize { prompt_tokens: 1.0, output_tokens: 1.0 };
        rates.request_arrived(size, *priority, now);
    }
    rates.demand(now)
}

// Guards against a rounding error that counts as a second priority, also when the sums of many
// processes are rounded.
#[test]
fn reported_demand_of_one_priority_stays_of_one_priority() {
    for priority in 0..=2 {
        let own = demand_after(&[priority]);
        let json = serde_json::to_string(&own).expect("it is serializable");
        let reported: Demand = serde_json::from_str(&json).expect("it is valid");
        let all = reported.times(90.0).combined_with(own).arrivals_by_priority();
        assert_eq!(all.iter().filter(|rate| **rate > 0.0).count(), 1, "{all:?}");
    }
}

// Guards against reports that other builds can't read, and against long ones.
#[test]
fn demand_without_priorities_counts_as_of_the_middle_priority() {
    let old = r#"{"arrivals_per_second":8.0,"prompt_tokens_per_second":8.0,
        "output_tokens_per_second":8.0,"sends_per_second":2.0}"#;
    let old: Demand = serde_json::from_str(old).expect("the report of an older build");
    assert_eq!(old.arrivals_by_priority(), [0.0, 8.0, 0.0]);
    let plain = serde_json::to_string(&old).expect("it is serializable");
    assert!(!plain.contains("urgent") && !plain.contains("low"), "{plain}");
    let several = serde_json::to_string(&demand_after(&[0, 1, 2])).expect("it is serializable");
    let single = serde_json::to_string(&demand_after(&[1])).expect("it is serializable");
    assert!(several.len() <= single.len() + 50, "{several}");
}

proptest! {
    // Guards against shares that admit more or less than the capacity, or starve a priority.
    #[test]
    fn shares_add_up_to_the_capacity(
        mean in 0.01..1.0f64,
        arrivals in (0.1..1e3f64, 0.1..1e3f64, 0.1..1e3f64),
    ) {
        let arrivals = [arrivals.0, arrivals.1, arrivals.2];
        let shares = Shares::divide(mean, arrivals);
        let sent: f64 = (0..3u8).map(|p| shares.of(p) * arrivals[usize::from(p)]).sum();
        let capacity = mean * arrivals.iter().sum::<f64>();
        prop_assert!((sent / capacity - 1.0).abs() < 1e-6, "{sent} of {capacity}");
        prop_assert!((0..3u8).all(|p| shares.of(p) >= mean * 0.2499));
        prop_assert!(shares.of(0) >= shares.of(1) && shares.of(1) >= shares.of(2));
    }
}

// Guards against rejected callers that all retry at the same time, and against a lower priority that
// retries before a higher one.
#[test]
fn retries_are_spread_by_priority_within_the_time_left() {
    let arrivals = [40.0, 40.0, 40.0];
    let times = RetryTimes::after_overload(0.3, arrivals, Shares::divide(0.3, arrivals));
    let longest = Duration::from_secs(3);
    let spread = |priority| [0.0, 0.5, 1.0].map(|draw| times.retry_after(priority, longest, draw));
    for priority in 0..3 {
        let [first, _, last] = spread(priority);
        assert!(first >= Duration::from_millis(200), "{first:?}");
        assert!(last - first >= Duration::from_millis(400) && last <= longest);
    }
    assert!(spread(0)[1] < spread(1)[1] && spread(1)[1] < spread(2)[1]);
    let short = Duration::from_millis(150);
    let [first, _, last] = [0.0, 0.5, 1.0].map(|draw| times.retry_after(2, short, draw));
    assert!(first <= short / 2 && last == short, "{first:?} to {last:?}");
}

// Guards against shares by which a large workspace takes what small ones want, or that waste capacity.
#[test]
fn capacity_is_divided_evenly_and_unused_parts_go_to_those_that_want_more() {
    let arrivals = [60.0, 10.0, 10.0, 20.0];
    let shares = fair_shares(0.5, &arrivals);
    assert!(shares[1] == 1.0 && shares[2] == 1.0 && shares[0] < shares[3], "{shares:?}");
    let sent: f64 = shares.iter().zip(arrivals).map(|(share, arrivals)| share * arrivals).sum();
    assert!((sent - 50.0).abs() < 1e-9, "{sent}");
    assert!(shares[0] >= 0.125, "{shares:?}");
    assert_eq!(fair_shares(0.37, &[5.0]), [0.37]);
}
