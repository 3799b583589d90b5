//! The fleet-wide retry budget holds although each process counts only its own requests.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use base::prelude::*;
use pass::budget::BudgetSettings;
use pass::prelude::*;
use proptest::prelude::*;

const SETTINGS: BudgetSettings =
    BudgetSettings { ratio: 0.2, slack: 130.0, window: Duration::from_secs(10) };

const HUB: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_000);

#[test]
fn retries_are_earned_by_requests_and_expire_with_the_window() {
    let mut budget = RetryBudget::new(BudgetSettings { slack: 0.0, ..SETTINGS }, 1);
    let now = Duration::from_secs(1);
    assert_eq!(budget.try_take("desk", now), None);
    for _ in 0..100 {
        budget.record_request("desk", Duration::ZERO, now);
    }
    let taken = (0..100).filter(|_| budget.try_take("desk", now).is_some()).count();
    assert_eq!(taken, 14, "0.7 of 0.2 of 100");
    let later = Duration::from_secs(13);
    assert_eq!(budget.try_take("desk", later), None, "the requests are outside the window");
    assert_eq!(budget.try_take("other", now), None, "each service has a budget of its own");
}

/// Lets a process report to a hub and take what it grants.
fn exchange(budget: &mut RetryBudget, ledger: &mut RetryLedger, node: &str, now: Mono) {
    let report = budget.report(HUB, ["desk".into()].iter(), now);
    if let Some(grant) = ledger.report(&node.into(), &report, now) {
        budget.accept(HUB, &grant, now, now);
    }
}

proptest! {
    #[test]
    fn processes_together_stay_within_the_fleet_wide_budget(
        requests in proptest::collection::vec(0_u32..200, 1..9),
        wanted in 0_u32..400,
    ) {
        let now = Duration::from_secs(1);
        let mut ledger = RetryLedger::new(1, &SETTINGS, 1, Duration::ZERO);
        let mut taken = 0;
        for (number, count) in (1..).zip(&requests) {
            let mut budget = RetryBudget::new(SETTINGS, number);
            for _ in 0..*count {
                budget.record_request("desk", Duration::ZERO, now);
            }
            for _ in 0..wanted {
                taken += usize::from(budget.try_take("desk", now).is_some());
                exchange(&mut budget, &mut ledger, &format!("n{number}"), now);
            }
        }
        let total: u32 = requests.iter().sum();
        prop_assert!(taken as f64 <= f64::from(total) * SETTINGS.ratio + SETTINGS.slack);
    }
}

// Guards against streams that are resumed elsewhere and earn retries long after their requests arrived.
#[test]
fn a_request_that_is_handed_over_earns_until_it_leaves_the_window() {
    let (mut first, mut helper) = (RetryBudget::new(SETTINGS, 1), RetryBudget::new(SETTINGS, 2));
    let earned = |budget: &mut RetryBudget, now| budget.account("desk", now).earned;
    let arrived_at = Duration::from_secs(20);
    for _ in 0..100 {
        first.record_request("desk", Duration::ZERO, arrived_at);
    }
    let age = Duration::from_secs(6);
    for _ in 0..60 {
        assert!(first.take_back_request("desk", age, arrived_at + age));
        helper.record_request("desk", age, arrived_at + age);
    }
    let shares = (earned(&mut first, arrived_at + age), earned(&mut helper, arrived_at + age));
    assert!((shares.0 - 5.6).abs() < 1e-9 && (shares.1 - 8.4).abs() < 1e-9, "{shares:?}");
    let late = arrived_at + Duration::from_secs(12);
    assert_eq!((earned(&mut first, late), earned(&mut helper, late)), (0.0, 0.0));
    assert!(!first.take_back_request("desk", Duration::from_secs(12), late));
}

// Guards against a request that earns a retry at one process, which uses it, and another one at its helper.
#[test]
fn a_request_whose_retry_was_used_earns_nothing_elsewhere() {
    let mut budget = RetryBudget::new(SETTINGS, 1);
    let now = Duration::from_secs(20);
    for _ in 0..100 {
        budget.record_request("desk", Duration::ZERO, now);
    }
    for _ in 0..13 {
        assert_eq!(budget.try_take("desk", now), Some(RetrySource::Requests));
    }
    let moved = (0..100).filter(|_| budget.take_back_request("desk", Duration::ZERO, now)).count();
    assert_eq!(moved, 7, "one of 14 retries is left, for seven of the requests");
}
