//! Tests of the weight load scheduler, and of the wait for orders of earlier assignments.

use std::collections::BTreeMap;
use std::time::Duration;

use group::fence;
use group::prelude::*;
use group::weight_loads::LOAD_WINDOW;
use proptest::prelude::*;

const RATE: u64 = 1_000_000_000;

fn request(group: &str, vm: &str, bytes: u64, missing: u32) -> WeightLoadRequest {
    WeightLoadRequest { group: group.into(), vm: vm.into(), bytes, missing }
}

#[test]
fn enough_loads_run_to_use_the_rate_of_the_store() {
    let mut scheduler = WeightLoadScheduler::new(RATE, RATE / 3);
    let window_bytes = RATE * LOAD_WINDOW.as_secs();
    for vm in ["a", "b", "c", "d"] {
        scheduler.request(request("g", vm, window_bytes, 4), Duration::ZERO);
    }
    assert_eq!(scheduler.start(Duration::ZERO).len(), 4);
    scheduler.request(request("g", "e", window_bytes, 4), Duration::ZERO);
    assert_eq!(scheduler.start(Duration::ZERO).len(), 0);
}

#[test]
fn the_group_nearest_to_serving_loads_first() {
    let mut scheduler = WeightLoadScheduler::new(RATE, RATE);
    let window_bytes = RATE * LOAD_WINDOW.as_secs();
    scheduler.request(request("far", "a", window_bytes, 4), Duration::ZERO);
    scheduler.request(request("near", "b", window_bytes, 1), Duration::from_secs(1));
    scheduler.request(request("middle", "c", window_bytes, 2), Duration::from_secs(2));
    let mut order = Vec::new();
    for second in 3..6 {
        let started = scheduler.start(Duration::from_secs(second));
        started.iter().for_each(|vm| scheduler.finish(vm));
        order.extend(started);
    }
    assert_eq!(order, ["b".into(), "c".into(), "a".into()] as [Box<str>; 3]);
}

proptest! {
    #[test]
    fn outstanding_loads_stay_within_the_window_and_all_finish(
        bytes in prop::collection::vec(1u64..30, 1..40),
    ) {
        let mut scheduler = WeightLoadScheduler::new(RATE, RATE);
        for (i, bytes) in bytes.iter().enumerate() {
            let load = request("g", &format!("vm{i}"), bytes * RATE, 1);
            scheduler.request(load, Duration::from_millis(i as u64));
        }
        let mut outstanding: BTreeMap<Box<str>, u64> = BTreeMap::new();
        let mut finished = 0;
        for second in 1..=bytes.len() as u64 {
            for vm in scheduler.start(Duration::from_secs(second)) {
                let i: usize = vm[2..].parse().unwrap();
                outstanding.insert(vm, bytes[i]);
            }
            let total: u64 = outstanding.values().sum();
            prop_assert!(total <= LOAD_WINDOW.as_secs() || outstanding.len() == 1, "{outstanding:?}");
            if let Some((vm, _)) = outstanding.pop_first() {
                scheduler.finish(&vm);
                finished += 1;
            }
        }
        prop_assert_eq!(finished, bytes.len());
    }
}

proptest! {
    /// Orders of two assignments arrive at an engine in any order that their deadlines allow.
    /// The engine, whether or not it checks fencing tokens, must end with the later assignment.
    #[test]
    fn no_order_of_an_earlier_assignment_undoes_a_later_one(
        checks_fencing in any::<bool>(),
        confirmed in 0u64..4000,
        seen_after in 0u64..3000,
        sent_after in 0u64..3000,
        flight in 0u64..1000,
    ) {
        let settings = ControllerSettings::default();
        let millis = Duration::from_millis;
        // The earlier owner confirmed its record; then another controller wrote a new record and
        // saw it stored.
        let first_seen = millis(confirmed + seen_after);
        let sent = millis(confirmed + sent_after);
        prop_assume!(sent <= fence::order_deadline(millis(confirmed), &settings));
        let old_arrives = sent + millis(flight);
        let new_arrives = fence::orders_allowed_from(first_seen, checks_fencing, &settings);
        let mut orders = [(old_arrives, 1), (new_arrives, 2)];
        orders.sort();
        let mut held = 0;
        for (_, generation) in orders {
            if fence::engine_accepts(held, generation, checks_fencing) {
                held = generation;
            }
        }
        prop_assert_eq!(held, 2);
    }
}
