//! Checks with generated schedules of faults that each key runs at most once.

use std::time::Duration;

use once::segment::RequestOutcome;
use once::simulation::MAX_OWNERS;
use once::simulation::Simulation;
use once::trace::Fault;
use once::trace::Step;
use proptest::prelude::*;

const SUBMISSIONS: u64 = 5;
/// Issue time of each key. The slots of the first two share a record of the ring.
const ISSUED_MS: [u64; 3] = [0, 3_000, 1_000];

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        5 => Just(Fault::None),
        1 => Just(Fault::AnswerLost),
        1 => Just(Fault::AppliedLate),
        1 => Just(Fault::Down),
    ]
}

fn ends() -> impl Strategy<Value = RequestOutcome> {
    prop_oneof![
        Just(RequestOutcome::Done { digest: 7 }),
        Just(RequestOutcome::Failed),
        Just(RequestOutcome::Unknown),
    ]
}

fn steps() -> impl Strategy<Value = Step> {
    let submission = 0..SUBMISSIONS;
    let owner = 0..MAX_OWNERS;
    let key = prop_oneof![6 => Just(0usize), 1 => Just(1), 1 => Just(2)];
    let body = prop_oneof![9 => Just(1u64), 1 => Just(2)];
    prop_oneof![
        3 => (submission.clone(), key, body).prop_map(|(submission, key, body)| Step::Begin {
            submission,
            key: key as u64,
            issued_ms: ISSUED_MS[key],
            body,
        }),
        5 => (submission.clone(), owner.clone())
            .prop_map(|(submission, owner)| Step::DeliverClaim { submission, owner }),
        1 => submission.clone().prop_map(|submission| Step::LoseClaim { submission }),
        8 => (owner.clone(), faults()).prop_map(|(owner, fault)| Step::Call { owner, fault }),
        2 => Just(Step::ApplyDelayedWrite),
        5 => submission.clone().prop_map(|submission| Step::DeliverAnswer { submission }),
        1 => submission.clone().prop_map(|submission| Step::Deadline { submission }),
        1 => (submission.clone(), ends())
            .prop_map(|(submission, end)| Step::End { submission, end }),
        1 => submission.clone().prop_map(|submission| Step::Refuse { submission }),
        3 => (submission, owner.clone())
            .prop_map(|(submission, owner)| Step::DeliverReport { submission, owner }),
        1 => owner.clone().prop_map(|owner| Step::Restart { owner }),
        1 => (owner, prop_oneof![Just(0u64), Just(1_500)])
            .prop_map(|(owner, behind_ms)| Step::Clock { owner, behind_ms }),
    ]
}

/// Milliseconds between steps. Some gaps are long enough for a slot to pass.
fn gaps() -> impl Strategy<Value = u64> {
    prop_oneof![30 => 0..10u64, 2 => 100..400u64, 1 => 500..1_500u64]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(6_000))]

    #[test]
    fn key_runs_at_most_once(
        schedule in proptest::collection::vec((gaps(), steps()), 20..140),
    ) {
        let mut simulation = Simulation::default();
        let mut now = Duration::ZERO;
        for (gap_ms, step) in schedule {
            now += Duration::from_millis(gap_ms);
            simulation.step(now, step);
        }
        prop_assert!(simulation.findings().is_empty(), "{}", simulation.findings());
    }
}
