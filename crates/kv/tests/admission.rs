//! Admission control: the rate budget and the circuit breaker.

use std::sync::Arc;
use std::time::Duration;

use kv::admission::AdmissionControl;
use kv::admission::CallKind;
use kv::prelude::*;
use proptest::prelude::*;

fn priorities() -> impl Strategy<Value = Priority> {
    prop_oneof![
        Just(Priority::Claim),
        Just(Priority::Group),
        Just(Priority::Config),
        Just(Priority::Background),
    ]
}

/// Gaps between calls, in milliseconds: bursts, with an idle time now and then.
fn gaps() -> impl Strategy<Value = u64> {
    prop_oneof![9 => 0..20u64, 1 => 1_000..5_000u64]
}

proptest! {
    #[test]
    fn calls_stay_within_the_rate_budget(
        calls in proptest::collection::vec((gaps(), priorities(), any::<bool>()), 1..400),
    ) {
        let budget = RateBudget { writes_per_second: 20.0, reads_per_second: 50.0, ..RateBudget::default() };
        let mut admission = AdmissionControl::new(budget);
        let mut now = Duration::ZERO;
        let mut admitted = [Vec::new(), Vec::new()];
        for (gap_ms, priority, is_write) in calls {
            now += Duration::from_millis(gap_ms);
            let kind = if is_write { CallKind::Write } else { CallKind::Read };
            if admission.admit(kind, priority, now).is_ok() {
                admitted[usize::from(is_write)].push(now);
            }
        }
        let rates = [budget.reads_per_second, budget.writes_per_second];
        for (times, rate) in admitted.iter().zip(rates) {
            for (i, first) in times.iter().enumerate() {
                for (count, last) in times[i..].iter().enumerate() {
                    let most = rate * ((*last - *first).as_secs_f64() + budget.burst_seconds);
                    prop_assert!(count as f64 + 1.0 <= most + 0.001, "{count} from {first:?}");
                }
            }
        }
    }
}

#[test]
fn low_priorities_leave_tokens_for_claims() {
    let budget = RateBudget { writes_per_second: 20.0, ..RateBudget::default() };
    let mut admission = AdmissionControl::new(budget);
    let now = Duration::ZERO;
    let mut background = 0;
    while admission.admit(CallKind::Write, Priority::Background, now).is_ok() {
        background += 1;
    }
    let mut claims = 0;
    while admission.admit(CallKind::Write, Priority::Claim, now).is_ok() {
        claims += 1;
    }
    assert_eq!((background, claims), (10, 10));
}

#[test]
fn open_circuit_admits_one_probe_at_a_time_and_closes_after_a_good_one() {
    let mut admission = AdmissionControl::new(RateBudget::default());
    let mut now = Duration::from_secs(1);
    for _ in 0..kv::admission::CIRCUIT_FAILURES {
        admission.admit(CallKind::Read, Priority::Claim, now).expect("closed");
        admission.record(Some(&KvError::Unavailable), Duration::ZERO, now, 1.0);
    }
    assert_eq!(admission.admit(CallKind::Read, Priority::Claim, now), Err(KvError::Unavailable));
    now += Duration::from_millis(250);
    assert_eq!(admission.admit(CallKind::Read, Priority::Claim, now), Ok(()));
    assert_eq!(admission.admit(CallKind::Read, Priority::Claim, now), Err(KvError::Unavailable));
    admission.record(Some(&KvError::Indeterminate), Duration::ZERO, now, 1.0);
    now += Duration::from_millis(499);
    assert_eq!(admission.admit(CallKind::Read, Priority::Claim, now), Err(KvError::Unavailable));
    now += Duration::from_millis(1);
    assert_eq!(admission.admit(CallKind::Read, Priority::Claim, now), Ok(()));
    admission.record(None, Duration::ZERO, now, 1.0);
    assert!(admission.is_closed());
}

#[test]
fn slow_responses_open_the_circuit() {
    let mut admission = AdmissionControl::new(RateBudget::default());
    for _ in 0..kv::admission::CIRCUIT_FAILURES {
        admission.record(None, Duration::from_secs(1), Duration::ZERO, 0.0);
    }
    assert!(!admission.is_closed());
}

#[tokio::test]
async fn calls_are_counted_by_kind() {
    let budget = RateBudget { writes_per_second: 2.0, ..RateBudget::default() };
    let store = BudgetedStore::new(Arc::new(MemoryStore::default()), budget);
    let value: Arc<[u8]> = Arc::from(&b"x"[..]);
    store.compare_and_swap("a", 0, value.clone()).await.expect("written");
    let lost = store.with_priority(Priority::Claim).compare_and_swap("a", 0, value.clone()).await;
    assert!(matches!(lost, Ok(CasResult::Conflict { .. })));
    let refused = store.compare_and_swap("a", 0, value).await;
    assert!(matches!(refused, Err(KvError::RateLimited { .. })), "{refused:?}");
    store.get("a").await.expect("read");
    store.list("a").await.expect("read");
    let counts = store.counts();
    assert_eq!((counts.swaps, counts.conflicts, counts.held_back), (2, 1, 1));
    assert_eq!((counts.gets, counts.lists), (1, 1));
}
