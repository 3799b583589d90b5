//! Which parts of prompts are refused because servers crash before answers to them begin.

use base::clock::Hlc;
use proptest::prelude::*;
use route::prompt_parts::CRASHES_TO_REFUSE;
use route::prompt_parts::MAX_PARTS;
use route::prompt_parts::PartCrash;
use route::prompt_parts::PartHistory;
use route::prompt_parts::PartKey;
use route::prompt_parts::PartQuarantine;
use route::prompt_parts::Source;
use route::prompt_parts::part_key;
use route::quarantine::Crash;

/// The first part of all prompts of a route.
const FIRST: PartKey = 1;
/// Parts that crash servers.
const BAD: PartKey = 10;
const OTHER_BAD: PartKey = 11;
/// A sound part.
const SOUND: PartKey = 20;

const CLUB: Source = 100;
const HARBOUR: Source = 200;

fn at(millis: u64) -> Hlc {
    Hlc { millis, count: 0 }
}

fn crash(server: usize, millis: u64, source: Source) -> PartCrash {
    let group = format!("s{server}").into();
    PartCrash { crash: Crash { at: at(millis), group, generation: 1 }, source }
}

fn is_refused(quarantine: &PartQuarantine, parts: &[PartKey]) -> bool {
    quarantine.refusal(parts, CLUB).is_some()
}

/// Crashes `count` servers, a quarter of a second apart, under prompts with `parts`.
fn crash_servers(quarantine: &mut PartQuarantine, from: u64, count: usize, parts: &[PartKey]) {
    for number in 0..count {
        let millis = from + 250 * number as u64;
        quarantine.record_crash(&crash(number + from as usize, millis, CLUB), parts);
    }
}

// Issue 33: the caller and the first part of the crashing requests are those of sound ones.
#[test]
fn a_part_is_refused_and_what_sound_requests_share_with_it_is_not() {
    let mut quarantine = PartQuarantine::default();
    crash_servers(&mut quarantine, 1_000, CRASHES_TO_REFUSE - 1, &[FIRST, BAD]);
    assert!(!is_refused(&quarantine, &[FIRST, BAD]), "few crashes may be a coincidence");
    crash_servers(&mut quarantine, 2_000, 1, &[FIRST, BAD]);
    let refusal = quarantine.refusal(&[FIRST, BAD], CLUB).expect("a refusal");
    assert_eq!(refusal.part, BAD);
    assert_eq!(refusal.crashes.len(), CRASHES_TO_REFUSE);
    assert!(!is_refused(&quarantine, &[FIRST, SOUND]));
    assert!(!is_refused(&quarantine, &[FIRST]));
}

// What waits beside the crashing requests is another prompt each time.
#[test]
fn parts_that_waited_beside_a_bad_one_are_not_refused() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..6 {
        let one = crash(number, 1_000 + 250 * number as u64, CLUB);
        quarantine.record_crash(&one, &[FIRST, BAD]);
        quarantine.record_crash(&one, &[2, SOUND]);
        quarantine.record_crash(&one, &[3, 30 + number as u64]);
        if number % 2 == 1 {
            quarantine.record_answer(&[2, SOUND], at(1_100 + 250 * number as u64));
        }
    }
    assert!(is_refused(&quarantine, &[FIRST, BAD]));
    for sound in [[2, SOUND], [3, 30], [3, 99], [FIRST, SOUND]] {
        assert!(!is_refused(&quarantine, &sound), "{sound:?}");
    }
}

// A fabric domain goes dark, or many servers are restarted at once, while prompts share a first part.
#[test]
fn servers_that_fail_together_refuse_nothing() {
    let mut quarantine = PartQuarantine::default();
    for server in 0..73 {
        let one = crash(server, 1_000 + server as u64 * 3, CLUB);
        quarantine.record_crash(&one, &[FIRST, 20 + server as u64 % 5]);
    }
    assert!(!is_refused(&quarantine, &[FIRST, 20]));
}

#[test]
fn servers_that_crash_for_their_own_reasons_refuse_nothing_that_is_answered_elsewhere() {
    let mut quarantine = PartQuarantine::default();
    for second in 1..30 {
        quarantine.record_crash(&crash(second as usize, second * 1_000, CLUB), &[FIRST, SOUND]);
        quarantine.record_answer(&[FIRST, SOUND], at(second * 1_000 + 200));
        assert!(!is_refused(&quarantine, &[FIRST, SOUND]));
    }
}

#[test]
fn two_bad_parts_at_once_are_both_refused() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..CRASHES_TO_REFUSE {
        let millis = 1_000 + 300 * number as u64;
        quarantine.record_crash(&crash(number, millis, CLUB), &[FIRST, BAD]);
        quarantine.record_crash(&crash(number + 50, millis + 100, CLUB), &[FIRST, OTHER_BAD]);
        quarantine.record_answer(&[FIRST, SOUND], at(millis + 150));
    }
    assert!(is_refused(&quarantine, &[FIRST, BAD]));
    assert!(is_refused(&quarantine, &[FIRST, OTHER_BAD]));
    assert!(!is_refused(&quarantine, &[FIRST, SOUND]));
}

// The part that all prompts of a route begin with may be the one that is at fault.
#[test]
fn a_first_part_is_refused_if_servers_crash_under_it_whatever_follows() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..6 {
        let one = crash(number, 1_000 + 250 * number as u64, CLUB);
        quarantine.record_crash(&one, &[FIRST, 20 + number as u64]);
    }
    assert!(is_refused(&quarantine, &[FIRST, 99]));
}

#[test]
fn a_part_that_is_sound_again_is_sent_again() {
    let mut quarantine = PartQuarantine::default();
    crash_servers(&mut quarantine, 1_000, CRASHES_TO_REFUSE, &[FIRST, BAD]);
    assert!(is_refused(&quarantine, &[FIRST, BAD]));
    let changed = quarantine.record_answer(&[FIRST, BAD], at(200_000));
    assert!(!is_refused(&quarantine, &[FIRST, BAD]));
    let mut other = PartQuarantine::default();
    crash_servers(&mut other, 1_000, CRASHES_TO_REFUSE, &[FIRST, BAD]);
    for history in &changed {
        other.merge(history);
    }
    assert!(!is_refused(&other, &[FIRST, BAD]), "the clearing is published");
}

// A caller might name a part of others' prompts in requests that crash servers.
#[test]
fn one_workspace_makes_a_part_refused_only_for_itself() {
    let mut quarantine = PartQuarantine::default();
    crash_servers(&mut quarantine, 1_000, 6, &[FIRST, BAD]);
    assert!(quarantine.refusal(&[FIRST, BAD], CLUB).is_some());
    assert!(quarantine.refusal(&[FIRST, BAD], HARBOUR).is_none());
    quarantine.record_crash(&crash(90, 4_000, HARBOUR), &[FIRST, BAD]);
    assert!(quarantine.refusal(&[FIRST, BAD], HARBOUR).is_some());
    assert!(quarantine.refusal(&[FIRST, BAD], 300).is_some(), "two workspaces count for all");
}

#[test]
fn a_part_may_harm_one_model_only() {
    assert_ne!(part_key("assistant", "large", "5c1e"), part_key("assistant", "small", "5c1e"));
    assert_ne!(part_key("assistant", "large", "5c1e"), part_key("assistantl", "arge", "5c1e"));
}

// Callers may send new parts without end.
#[test]
fn memory_is_bounded_and_keeps_the_parts_with_the_most_crashes() {
    let mut quarantine = PartQuarantine::default();
    crash_servers(&mut quarantine, 1_000, CRASHES_TO_REFUSE, &[FIRST, BAD]);
    for number in 0..3 * MAX_PARTS as u64 {
        quarantine.record_crash(&crash(500, 3_000 + number, HARBOUR), &[1_000 + number]);
    }
    let kept = (0..3 * MAX_PARTS as u64).filter(|n| quarantine.history(1_000 + n).is_some());
    assert!(kept.count() <= MAX_PARTS);
    assert!(is_refused(&quarantine, &[FIRST, BAD]));
}

/// What a process sees: a crash, or an answer that began.
#[derive(Clone, Debug)]
enum Seen {
    Crash { server: usize, parts: Vec<PartKey>, source: Source },
    Answer { parts: Vec<PartKey> },
}

fn seen() -> impl Strategy<Value = Seen> {
    let parts = || proptest::collection::vec(0..6u64, 1..4);
    prop_oneof![
        3 => (0..8usize, parts(), 1..3u64)
            .prop_map(|(server, parts, source)| Seen::Crash { server, parts, source }),
        1 => parts().prop_map(|parts| Seen::Answer { parts }),
    ]
}

proptest! {
    // Processes get histories late, twice and in any order, and agree all the same.
    #[test]
    fn histories_join_in_any_order(all in proptest::collection::vec(seen(), 1..40), order in any::<u64>()) {
        let mut source = PartQuarantine::default();
        let mut published: Vec<PartHistory> = Vec::new();
        for (number, seen) in all.iter().enumerate() {
            let millis = 1_000 + 100 * number as u64;
            published.extend(match seen {
                Seen::Crash { server, parts, source: from } => {
                    source.record_crash(&crash(*server, millis, *from), parts)
                }
                Seen::Answer { parts } => source.record_answer(parts, at(millis)),
            });
        }
        let mut other = PartQuarantine::default();
        let mut left = published.clone();
        left.extend(published.clone());
        let mut state = order;
        while !left.is_empty() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let index = (state >> 33) as usize % left.len();
            other.merge(&left.swap_remove(index));
        }
        for part in 0..6 {
            prop_assert_eq!(source.history(part), other.history(part));
            for from in 1..3 {
                let refused = source.refusal(&[part], from).is_some();
                prop_assert_eq!(refused, other.refusal(&[part], from).is_some());
            }
        }
    }
}
