//! Tests of the conversion of crash histories and usage reports to and from facts.

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
    fn crash_history_survives_encoding_within_the_size_limit(known in crash_history()) {
        let fact = fact_of(&known);
        prop_assert!(fact.check().is_empty(), "{}", fact.check());
        prop_assert_eq!(fact::to_crash_history(&fact), Some(known));
    }

    #[test]
    fn merged_history_supersedes_its_parts(a in crash_history(), b in crash_history()) {
        let b = CrashHistory { fingerprint: a.fingerprint, ..b };
        let mut merged = a.clone();
        merged.merge(&b);
        for part in [&a, &b] {
            let (merged_fact, part_fact) = (fact_of(&merged), fact_of(part));
            let is_same = merged_fact.body == part_fact.body;
            // A full history drops its earliest crashes in a merge, so the merge may have the same
            // number of crashes, and only its latest timestamp orders the versions.
            let is_full = part.crashes.len() == 4;
            prop_assert!(is_same || is_full || merged_fact.supersedes(&part_fact));
        }
    }

    #[test]
    fn demand_survives_encoding_with_its_process_and_workspace(demand in 0.0f64..1e6) {
        let row = route::share::WorkspaceDemand { workspace: "club".into(), demand };
        let usage = UsageReport { node: "n1".into(), boot: 1, number: 1, rows: vec![row.clone()] };
        let facts: Vec<Fact> = fact::from_usage(&usage, 7).collect();
        prop_assert!(facts[0].check().is_empty());
        prop_assert_eq!(fact::to_usage(&facts[0]), Some(("n1".into(), row)));
    }
}

#[test]
fn fact_over_the_size_limit_drops_the_oldest_crashes() {
    let crash = |millis: u64| Crash {
        at: Hlc { millis, count: 0 },
        group: format!("{}-{millis}", "long".repeat(20)).into(),
        generation: 1,
    };
    let known = CrashHistory { crashes: (1..5).map(crash).collect(), ..CrashHistory::new(3) };
    let back = fact::to_crash_history(&fact_of(&known)).unwrap();
    assert_eq!(back.crashes, [crash(3), crash(4)]);
}
