//! Tests of the queue and of load shedding.

use proptest::prelude::*;
use route::prelude::*;
use route::queue::Queue;
use route::queue::QueuedRequest;
use route::shed::ShedPolicy;

fn queued_request(request: u64, priority: Priority, deadline_ms: u64) -> QueuedRequest {
    let mut spec = RequestSpec::new(request, "w", "m", "v", b"prompt");
    spec.priority = priority;
    spec.deadline = Duration::from_millis(deadline_ms);
    QueuedRequest { spec, service_time: Duration::from_millis(10) }
}

fn priority() -> impl Strategy<Value = Priority> {
    prop_oneof![Just(Priority::Low), Just(Priority::Normal), Just(Priority::High)]
}

proptest! {
    #[test]
    fn a_full_queue_keeps_the_first_requests_and_serves_them_in_order(
        entries in proptest::collection::vec((priority(), 0u64..1000), 1..60),
        capacity in 1usize..20,
    ) {
        let mut queue = Queue::new(capacity);
        for (i, (priority, deadline)) in entries.iter().enumerate() {
            queue.push(queued_request(i as u64, *priority, *deadline));
            prop_assert!(queue.len() <= capacity);
        }
        let mut best: Vec<(Priority, u64, u64)> = entries
            .iter()
            .enumerate()
            .map(|(i, (priority, deadline))| (*priority, *deadline, i as u64))
            .collect();
        best.sort_by_key(|(priority, deadline, i)| (std::cmp::Reverse(*priority), *deadline, *i));
        best.truncate(capacity);
        let served: Vec<u64> = std::iter::from_fn(|| queue.pop(|_| true))
            .map(|queued| queued.spec.request)
            .collect();
        prop_assert_eq!(served, best.iter().map(|(_, _, i)| *i).collect::<Vec<_>>());
    }

    #[test]
    fn requests_that_cannot_finish_in_time_are_dropped_at_once(
        deadlines in proptest::collection::vec(0u64..200, 1..40), now in 0u64..200,
    ) {
        let mut queue = Queue::new(100);
        for (i, deadline) in deadlines.iter().enumerate() {
            queue.push(queued_request(i as u64, Priority::Normal, *deadline));
        }
        let late = queue.expire(Duration::from_millis(now));
        let expected = deadlines.iter().filter(|deadline| now + 10 > **deadline).count();
        prop_assert_eq!(late.len(), expected);
        prop_assert_eq!(queue.len(), deadlines.len() - expected);
    }
}

#[test]
fn all_but_the_high_class_are_shed_above_the_threshold() {
    let shed = ShedPolicy::Threshold { above: 0.5 };
    for class in [Priority::Low, Priority::Normal] {
        assert!(shed.refuses(class, 0.51));
        assert!(!shed.refuses(class, 0.5));
    }
    assert!(!shed.refuses(Priority::High, 1.0));
    assert!(!ShedPolicy::Off.refuses(Priority::Low, 1.0));
}
