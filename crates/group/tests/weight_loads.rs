//! Tests of the load schedule of a weight store and of the wait for old orders.

use std::collections::BTreeMap;
use std::time::Duration;

use group::fence;
use group::prelude::*;
use group::weight_loads::LOAD_WINDOW;
use proptest::prelude::*;

const RATE: u64 = 1_000_000_000;

fn wish(group: &str, vm: &str, bytes: u64, missing: u32) -> WeightLoadRequest {
    WeightLoadRequest { group: group.into(), vm: vm.into(), bytes, missing }
}

#[test]
fn as_many_loads_run_as_use_the_rate_of_the_store() {
    let mut schedule = WeightLoadScheduler::new(RATE, RATE / 3);
    let whole_window = RATE * LOAD_WINDOW.as_secs();
    for vm in ["a", "b", "c", "d"] {
        schedule.request(wish("g", vm, whole_window, 4), Duration::ZERO);
    }
    assert_eq!(schedule.start(Duration::ZERO).len(), 4);
    schedule.request(wish("g", "e", whole_window, 4), Duration::ZERO);
    assert_eq!(schedule.start(Duration::ZERO).len(), 0);
}

#[test]
fn the_group_nearest_to_serving_loads_first() {
    let mut schedule = WeightLoadScheduler::new(RATE, RATE);
    let whole_window = RATE * LOAD_WINDOW.as_secs();
    schedule.request(wish("far", "a", whole_window, 4), Duration::ZERO);
    schedule.request(wish("near", "b", whole_window, 1), Duration::from_secs(1));
    schedule.request(wish("middle", "c", whole_window, 2), Duration::from_secs(2));
    let mut order = Vec::new();
    for second in 3..6 {
        let begun = schedule.start(Duration::from_secs(second));
        begun.iter().for_each(|vm| schedule.finish(vm));
        order.extend(begun);
    }
    assert_eq!(order, ["b".into(), "c".into(), "a".into()] as [Box<str>; 3]);
}

proptest! {
    #[test]
    fn loads_under_way_stay_within_the_window_and_all_end(
        bytes in prop::collection::vec(1u64..30, 1..40),
    ) {
        let mut schedule = WeightLoadScheduler::new(RATE, RATE);
        for (i, bytes) in bytes.iter().enumerate() {
            let wish = wish("g", &format!("vm{i}"), bytes * RATE, 1);
            schedule.request(wish, Duration::from_millis(i as u64));
        }
        let mut under_way: BTreeMap<Box<str>, u64> = BTreeMap::new();
        let mut ended = 0;
        for second in 1..=bytes.len() as u64 {
            for vm in schedule.start(Duration::from_secs(second)) {
                let i: usize = vm[2..].parse().unwrap();
                under_way.insert(vm, bytes[i]);
            }
            let total: u64 = under_way.values().sum();
            prop_assert!(total <= LOAD_WINDOW.as_secs() || under_way.len() == 1, "{under_way:?}");
            if let Some((vm, _)) = under_way.pop_first() {
                schedule.finish(&vm);
                ended += 1;
            }
        }
        prop_assert_eq!(ended, bytes.len());
    }
}

proptest! {
    /// Orders of two assignments reach an engine in any order that their deadlines allow.
    #[test]
    fn no_old_order_undoes_a_new_one(
        checks_fencing in any::<bool>(),
        confirmed in 0u64..4000,
        seen_after in 0u64..3000,
        left_after in 0u64..3000,
        flight in 0u64..1000,
    ) {
        let settings = ControllerSettings::default();
        let millis = Duration::from_millis;
        // The old keeper read its record, then another wrote the new one and saw it stand.
        let first_seen = millis(confirmed + seen_after);
        let left = millis(confirmed + left_after);
        prop_assume!(left <= fence::order_deadline(millis(confirmed), &settings));
        let old_arrives = left + millis(flight);
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
