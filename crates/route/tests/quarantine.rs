//! Tests of suspects, the quarantine, the merge of crash histories, and trial permits.

use base::clock::Hlc;
use proptest::prelude::*;
use route::prelude::*;
use route::quarantine::Crash;
use route::quarantine::MAX_HISTORIES;
use route::quarantine::QUARANTINE_LIFETIME;
use route::quarantine::SUSPECT_LIFETIME;
use route::trial::TrialTarget;
use route::trial::Trials;

fn crash(group: &str, millis: u64) -> Crash {
    Crash { at: Hlc { millis, count: 0 }, group: group.into(), generation: 1 }
}

fn at(millis: u64) -> Hlc {
    Hlc { millis, count: 0 }
}

#[test]
fn the_request_in_both_crashes_is_quarantined_and_the_others_are_cleared() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(&crash("g1", 1000), &[1, 2, 3]);
    assert_eq!(quarantine.verdict(2, 1000), Verdict::Suspect);
    let changed = quarantine.record_crash(&crash("g2", 2000), &[2, 4]);
    assert_eq!(quarantine.verdict(2, 2000), Verdict::Quarantined);
    for innocent in [1, 3, 4] {
        assert_eq!(quarantine.verdict(innocent, 2000), Verdict::Clear, "{innocent}");
    }
    assert!(changed.iter().any(|history| history.fingerprint == 3), "the clearing is published");
    // The history of another innocent request at the second group arrives late.
    let mut late = CrashHistory::new(9);
    late.crashes = vec![crash("g2", 2050)];
    quarantine.merge(&late, 2100);
    assert_eq!(quarantine.verdict(9, 2100), Verdict::Clear);
}

#[test]
fn an_answer_clears_a_suspect_but_only_time_or_an_operator_ends_a_quarantine() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(&crash("g1", 1000), &[1, 2]);
    assert!(quarantine.record_answer(1, at(1500)).is_some());
    assert_eq!(quarantine.verdict(1, 1500), Verdict::Clear);
    quarantine.record_crash(&crash("g2", 2000), &[2]);
    assert_eq!(quarantine.record_answer(2, at(2500)), None);
    assert_eq!(quarantine.verdict(2, 2500), Verdict::Quarantined);
    let mut lifted = quarantine.clone();
    assert!(lifted.lift(2, at(3000)).is_some());
    assert_eq!(lifted.verdict(2, 3000), Verdict::Clear);
    assert!(lifted.list(3000).is_empty());
    let expiry = 2001 + QUARANTINE_LIFETIME.as_millis() as u64;
    assert_eq!(quarantine.verdict(2, expiry - 2), Verdict::Quarantined);
    assert_eq!(quarantine.verdict(2, expiry), Verdict::Clear);
    quarantine.expire(expiry);
    assert!(quarantine.is_empty());
}

#[test]
fn a_suspect_is_cleared_after_its_lifetime() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(&crash("g1", 1000), &[1]);
    let expiry = 1001 + SUSPECT_LIFETIME.as_millis() as u64;
    assert_eq!(quarantine.verdict(1, expiry), Verdict::Clear);
}

#[test]
fn the_number_of_histories_is_bounded_and_quarantined_ones_are_kept() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(&crash("g1", 1), &[7]);
    quarantine.record_crash(&crash("g2", 2), &[7]);
    let many: Vec<u64> = (100..100 + MAX_HISTORIES as u64 + 50).collect();
    quarantine.record_crash(&crash("g3", 3), &many);
    assert!(quarantine.len() <= MAX_HISTORIES, "{} histories", quarantine.len());
    assert_eq!(quarantine.verdict(7, 4), Verdict::Quarantined);
}

#[test]
fn at_most_one_trial_runs_per_fingerprint_and_one_suspect_per_group() {
    let mut trials = Trials::default();
    let target = |group: &str| TrialTarget { group: group.into(), generation: 1 };
    let targets = || [target("g1"), target("g2")];
    let time_to_deadline = Duration::from_secs(10);
    let mut start = |id: u64, secs: u64| {
        trials.start_suspect(
            id,
            "n1".into(),
            targets(),
            time_to_deadline,
            Duration::from_secs(secs),
        )
    };
    assert_eq!(start(1, 0), TrialDecision::Run { group: Some("g1".into()) });
    assert!(
        matches!(start(1, 1), TrialDecision::Wait { .. }),
        "a trial of the same request is running"
    );
    assert_eq!(start(2, 1), TrialDecision::Run { group: Some("g2".into()) });
    assert!(matches!(start(3, 1), TrialDecision::Wait { .. }), "each group has a suspect");
    assert_eq!(
        start(3, 10),
        TrialDecision::Run { group: Some("g1".into()) },
        "the first trial has passed its deadline"
    );
}

fn history() -> impl Strategy<Value = CrashHistory> {
    let crash = (0u64..40, 0usize..6)
        .prop_map(|(millis, group)| crash(["g1", "g2", "g3", "g4", "g5", "g6"][group], millis));
    (proptest::collection::vec(crash, 0..6), 0u64..40).prop_map(|(crashes, cleared)| {
        let mut history = CrashHistory::new(1);
        history.merge(&CrashHistory { fingerprint: 1, crashes, cleared: at(cleared) });
        history
    })
}

fn join(a: &CrashHistory, b: &CrashHistory) -> CrashHistory {
    let mut joined = a.clone();
    joined.merge(b);
    joined
}

proptest! {
    #[test]
    fn merge_is_commutative_associative_and_idempotent(a in history(), b in history(), c in history()) {
        prop_assert_eq!(join(&a, &b), join(&b, &a));
        prop_assert_eq!(join(&join(&a, &b), &c), join(&a, &join(&b, &c)));
        prop_assert_eq!(join(&a, &a), a.clone());
        prop_assert_eq!(join(&join(&a, &b), &b), join(&a, &b));
    }
}
