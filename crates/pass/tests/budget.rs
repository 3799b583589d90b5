//! The fleet-wide retry budget holds although each process counts only its own requests.

use base::prelude::*;
use pass::budget::BudgetSettings;
use pass::prelude::*;
use proptest::prelude::*;

const SETTINGS: BudgetSettings =
    BudgetSettings { ratio: 0.2, slack: 130.0, window: Duration::from_secs(10) };

#[test]
fn retries_are_earned_by_requests_and_expire_with_the_window() {
    let mut budget = RetryBudget::new(BudgetSettings { slack: 0.0, ..SETTINGS });
    let now = Duration::from_secs(1);
    assert!(!budget.try_take("desk", 6, now));
    for _ in 0..100 {
        budget.record_request("desk", now);
    }
    let taken = (0..100).filter(|_| budget.try_take("desk", 6, now)).count();
    assert_eq!(taken, 14, "0.7 of 0.2 of 100");
    assert!(
        !budget.try_take("desk", 6, Duration::from_secs(13)),
        "the requests are outside the window"
    );
    assert!(!budget.try_take("other", 6, now), "each service has a budget of its own");
}

proptest! {
    #[test]
    fn processes_together_stay_within_the_fleet_wide_budget(
        requests in proptest::collection::vec(0_u32..200, 1..9),
        wanted in 0_u32..400,
    ) {
        let now = Duration::from_secs(1);
        let processes = requests.len();
        let mut taken = 0;
        for count in &requests {
            let mut budget = RetryBudget::new(SETTINGS);
            for _ in 0..*count {
                budget.record_request("desk", now);
            }
            taken += (0..wanted).filter(|_| budget.try_take("desk", processes, now)).count();
        }
        let total: u32 = requests.iter().sum();
        prop_assert!(taken as f64 <= f64::from(total) * SETTINGS.ratio + SETTINGS.slack);
    }
}
