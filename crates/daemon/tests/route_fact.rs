//! Tests of routing's facts in the form in which membership spreads them.

use base::prelude::Hlc;
use daemon::route::fact;
use member::prelude::Fact;
use proptest::prelude::*;
use route::prelude::*;
use route::quarantine::Crash;

fn crash_history() -> impl Strategy<Value = CrashHistory> {
    let crash =
        (1_700_000_000_000u64..1_800_000_000_000, 0u32..9, "[a-z]{1,12}-[0-9]{1,3}", 1u64..99);
    let crash = crash.prop_map(|(millis, count, group, generation)| Crash {
        at: Hlc { millis, count },
        group: group.into(),
        generation,
    });
    (any::<u64>(), proptest::collection::vec(crash, 0..5), 1_700_000_000_000u64..1_800_000_000_000)
        .prop_map(|(fingerprint, crashes, cleared)| {
            let mut history = CrashHistory::new(fingerprint);
            let cleared = Hlc { millis: cleared, count: 0 };
            history.merge(&CrashHistory { fingerprint, crashes, cleared });
            history
        })
}

fn fact_of(history: &CrashHistory) -> Fact {
    fact::from_crash_history(&"n1".into(), history)
}

proptest! {
    #[test]
    fn what_is_known_of_a_request_comes_back_whole_and_fits(known in crash_history()) {
        let fact = fact_of(&known);
        prop_assert!(fact.check().is_empty(), "{}", fact.check());
        prop_assert_eq!(fact::to_crash_history(&fact), Some(known));
    }

    #[test]
    fn joined_knowledge_replaces_its_parts(a in crash_history(), b in crash_history()) {
        let b = CrashHistory { fingerprint: a.fingerprint, ..b };
        let mut joined = a.clone();
        joined.merge(&b);
        for part in [&a, &b] {
            let (joined_fact, part_fact) = (fact_of(&joined), fact_of(part));
            let is_same = joined_fact.body == part_fact.body;
            // At the bound of crashes the earliest are dropped, and only the greatest stamp tells.
            let is_full = part.crashes.len() == 4;
            prop_assert!(is_same || is_full || joined_fact.supersedes(&part_fact));
        }
    }

    #[test]
    fn demand_comes_back_by_process_and_workspace(demand in 0.0f64..1e6) {
        let row = route::share::WorkspaceDemand { workspace: "club".into(), demand };
        let usage = UsageReport { node: "n1".into(), boot: 1, number: 1, rows: vec![row.clone()] };
        let facts: Vec<Fact> = fact::from_usage(&usage, 7).collect();
        prop_assert!(facts[0].check().is_empty());
        prop_assert_eq!(fact::to_usage(&facts[0]), Some(("n1".into(), row)));
    }
}

#[test]
fn a_fact_with_long_names_keeps_its_latest_crashes() {
    let crash = |millis: u64| Crash {
        at: Hlc { millis, count: 0 },
        group: format!("{}-{millis}", "long".repeat(20)).into(),
        generation: 1,
    };
    let known = CrashHistory { crashes: (1..5).map(crash).collect(), ..CrashHistory::new(3) };
    let back = fact::to_crash_history(&fact_of(&known)).unwrap();
    assert_eq!(back.crashes, [crash(3), crash(4)]);
}
