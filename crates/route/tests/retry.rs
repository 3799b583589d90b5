//! Tests of the retry budget.

use proptest::prelude::*;
use route::prelude::*;
use route::retry::RETRY_FRACTION;
use route::retry::RETRY_RESERVE;
use route::retry::RetryBudget;
use route::retry::RetryDenied;
use route::retry::backoff;

const SERVICE: Duration = Duration::from_millis(100);

fn spec(workspace: &str) -> RequestSpec {
    let mut spec = RequestSpec::new(1, workspace, "m", "v", b"prompt");
    spec.attempts = 1;
    spec
}

proptest! {
    #[test]
    fn retries_stay_below_the_fraction_of_first_attempts_plus_the_reserve(
        steps in proptest::collection::vec((any::<bool>(), 0usize..3), 1..600),
    ) {
        let mut budget = RetryBudget::new(RETRY_FRACTION);
        let (mut firsts, mut retries) = (0.0, 0.0);
        for (is_first, workspace) in steps {
            let workspace = ["a", "b", "c"][workspace];
            if is_first {
                budget.first_attempt(workspace);
                firsts += 1.0;
            } else if budget.retry(&spec(workspace), SERVICE, Duration::ZERO, 0).is_ok() {
                retries += 1.0;
            }
            prop_assert!(retries <= RETRY_RESERVE + RETRY_FRACTION * firsts + 1e-6);
        }
    }

    #[test]
    fn backoff_stays_below_its_doubling_bound(attempts in 1u32..40, random: u64) {
        let bound = Duration::from_millis(20) * 2u32.pow((attempts - 1).min(10));
        prop_assert!(backoff(attempts, random) <= bound.min(Duration::from_secs(2)));
    }
}

#[test]
fn one_workspace_cannot_spend_the_retry_budget_of_another() {
    let mut budget = RetryBudget::new(RETRY_FRACTION);
    for _ in 0..400 {
        budget.first_attempt("healthy");
        budget.first_attempt("failing");
        let _ = budget.retry(&spec("failing"), SERVICE, Duration::ZERO, 0);
    }
    let refused = budget.retry(&spec("failing"), SERVICE, Duration::ZERO, 0);
    assert_eq!(refused, Err(RetryDenied::WorkspaceBudget));
    assert!(budget.retry(&spec("healthy"), SERVICE, Duration::ZERO, 0).is_ok());
}

#[test]
fn retries_that_are_unsafe_or_cannot_finish_in_time_are_denied() {
    let mut budget = RetryBudget::new(RETRY_FRACTION);
    let mut request = spec("w");
    request.repeatable = false;
    assert_eq!(budget.retry(&request, SERVICE, Duration::ZERO, 0), Err(RetryDenied::Unsafe));
    let mut request = spec("w");
    request.deadline = Duration::from_millis(150);
    let now = Duration::from_millis(60);
    assert_eq!(budget.retry(&request, SERVICE, now, 0), Err(RetryDenied::DeadlineTooClose));
    assert_eq!(budget.retry(&request, SERVICE, Duration::from_millis(50), 0), Ok(Duration::ZERO));
}
