//! Tests of load estimates, hot prefixes and the choice of a group.

mod common;

use std::collections::BTreeSet;

use common::table;
use common::view;
use group::view::GroupTable;
use proptest::prelude::*;
use route::choose::Policy;
use route::choose::candidates;
use route::choose::choose;
use route::hot::HotKeys;
use route::hot::shard_key;
use route::load::LoadTracker;
use route::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn pick(
    groups: &GroupTable,
    loads: &LoadTracker,
    spec: &RequestSpec,
    now: Duration,
) -> Option<Box<str>> {
    let open = candidates(groups, loads, spec, now);
    choose(Policy::default(), &open, spec.affinity_key(), 0)
        .map(|chosen| open[chosen].view.id.clone())
}

#[test]
fn a_load_estimate_adds_local_sends_and_ends_since_the_report() {
    let mut loads = LoadTracker::default();
    let mut group = view("g1", 5);
    group.reported_at = SECOND;
    loads.record_send("g1", SECOND / 2);
    loads.record_send("g1", 2 * SECOND);
    loads.record_send("g1", 3 * SECOND);
    loads.record_end("g1", 4 * SECOND);
    assert_eq!(loads.estimated_load(&group), 6, "5 reported, 2 sent and 1 ended since the report");
    group.running = 0;
    assert_eq!(
        loads.estimated_load(&group),
        2,
        "never below the requests that this process has in progress"
    );
}

#[test]
fn local_sends_are_extrapolated_to_the_other_processes() {
    let mut loads = LoadTracker::default();
    loads.set_peers(4);
    loads.record_send("g1", SECOND);
    loads.record_send("g1", SECOND);
    assert_eq!(
        loads.estimated_load(&view("g1", 5)),
        11,
        "5 reported, and 2 local sends three times"
    );
    loads.set_peers(1000);
    assert_eq!(loads.estimated_load(&view("g1", 5)), 21, "at most eight times the local sends");
}

#[test]
fn a_hot_prefix_is_split_so_that_no_shard_has_more_than_half_a_fair_share() {
    let mut hot = HotKeys::default();
    for i in 0..4000u64 {
        hot.count(if i % 4 == 0 { 1 } else { 1000 + i }, Duration::ZERO);
    }
    assert_eq!(hot.shards(1, 8), 4, "a quarter of all requests is two fair shares of eight");
    assert_eq!(hot.shards(3999, 8), 1, "a key that was counted once is not split");
    let keys = (0..4000).map(|fingerprint| shard_key(1, fingerprint, 4));
    let keys: BTreeSet<u64> = keys.collect();
    assert_eq!(keys.len(), 4);
    assert!(keys.contains(&1), "one shard keeps the key of the prefix");
}

#[test]
fn the_loss_of_a_group_moves_only_the_prefixes_of_that_group() {
    let groups = table(8, 0);
    let loads = LoadTracker::default();
    let mut fewer = groups.clone();
    let lost = fewer.groups.remove(3).id;
    for i in 0..200 {
        let spec = RequestSpec::new(i, "w", "m", "v", format!("prompt {i}").as_bytes());
        let before = pick(&groups, &loads, &spec, SECOND).unwrap();
        let after = pick(&fewer, &loads, &spec, SECOND).unwrap();
        assert!(before == after || before == lost, "prefix {i} moved from {before} to {after}");
    }
}

#[test]
fn an_overloaded_first_choice_is_passed_over_for_a_group_within_the_load_bound() {
    let mut groups = table(4, 2);
    let spec = RequestSpec::new(1, "w", "m", "v", b"one prompt");
    let first_choice = pick(&groups, &LoadTracker::default(), &spec, SECOND).unwrap();
    let loaded = groups.groups.iter_mut().find(|group| group.id == first_choice).unwrap();
    loaded.running = 40;
    let other = pick(&groups, &LoadTracker::default(), &spec, SECOND).unwrap();
    assert_ne!(first_choice, other);
}

#[test]
fn a_straggler_gets_no_requests_until_its_samples_expire() {
    let groups = table(4, 8);
    let mut loads = LoadTracker::default();
    for step in 0..20 {
        for (i, group) in groups.groups.iter().enumerate() {
            let gap = Duration::from_millis(if i == 0 { 120 } else { 30 });
            loads.record_token_gap(&group.id, gap, step * SECOND / 10);
        }
    }
    let share = |now: Duration| {
        let homes = (0..400u64).filter(|i| {
            let spec = RequestSpec::new(*i, "w", "m", "v", format!("prompt {i}").as_bytes());
            pick(&groups, &loads, &spec, now).as_deref() == Some("g0")
        });
        homes.count()
    };
    assert_eq!(share(2 * SECOND), 0, "g0 is as loaded as the others but four times slower");
    assert!(share(60 * SECOND) > 50, "g0 counts as normal once its samples have expired");
}

proptest! {
    #[test]
    fn only_routable_groups_of_the_right_version_that_are_not_excluded_are_chosen(
        expired in proptest::collection::btree_set(0usize..6, 0..4),
        wrong_version in proptest::collection::btree_set(0usize..6, 0..4),
        excluded in proptest::collection::btree_set(0usize..6, 0..4),
        running in proptest::collection::vec(0u32..60, 6),
        policy in 0usize..3,
        random: u64,
    ) {
        let mut groups = table(6, 0);
        for (i, group) in groups.groups.iter_mut().enumerate() {
            group.running = running[i];
            if expired.contains(&i) {
                group.lease_expiry = SECOND;
            }
            if wrong_version.contains(&i) {
                group.version = "w".into();
            }
        }
        let mut spec = RequestSpec::new(1, "w", "m", "v", b"prompt");
        spec.excluded = excluded.iter().map(|i| groups.groups[*i].id.clone()).collect();
        let policy = [Policy::default(), Policy::TwoChoices, Policy::Random][policy];
        let open = candidates(&groups, &LoadTracker::default(), &spec, SECOND);
        let allowed: BTreeSet<usize> = (0..6)
            .filter(|i| !expired.contains(i) && !wrong_version.contains(i) && !excluded.contains(i))
            .collect();
        let chosen = choose(policy, &open, spec.affinity_key(), random).map(|i| &open[i].view.id);
        match chosen {
            None => prop_assert!(allowed.is_empty()),
            Some(id) => {
                let index = groups.groups.iter().position(|group| group.id == *id).unwrap();
                prop_assert!(allowed.contains(&index), "chose {id}");
            }
        }
    }

    #[test]
    fn two_prompts_share_as_many_prefix_hashes_as_complete_leading_blocks(
        shared in 0usize..1200, a in 1usize..600, b in 1usize..600,
    ) {
        let block = route::request::PREFIX_BLOCK_BYTES;
        let prompt = |fill: u8, rest: usize| {
            let mut prompt = vec![7u8; shared];
            prompt.extend(std::iter::repeat_n(fill, rest));
            prompt
        };
        let one = route::request::prefix_hashes(&prompt(1, a));
        let two = route::request::prefix_hashes(&prompt(2, b));
        let common = one.iter().zip(&two).take_while(|(one, two)| one == two).count();
        let complete = (shared / block).min(one.len()).min(two.len());
        prop_assert_eq!(common, complete);
    }
}
