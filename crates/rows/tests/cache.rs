//! Row cache: rows from several sources never revert to older versions, and deletions propagate.

use std::collections::BTreeSet;

use base::prelude::*;
use kv::prelude::*;
use proptest::prelude::*;
use rows::prelude::*;

fn value(mod_revision: u64) -> Option<Versioned> {
    Some(Versioned { value: mod_revision.to_string().into_bytes().into(), mod_revision })
}

#[test]
fn older_versions_and_deletions_are_ignored() {
    let mut row_cache = RowCache::default();
    assert!(row_cache.apply("a", value(5), 5));
    assert!(!row_cache.apply("a", value(4), 9));
    assert!(!row_cache.apply("a", value(5), 9));
    assert!(!row_cache.apply("a", None, 4), "the deletion is older than the row");
    assert!(row_cache.apply("a", None, 7));
    assert!(!row_cache.apply("a", value(6), 9), "the row was deleted after this version");
    assert!(row_cache.apply("a", value(8), 8));
}

#[test]
fn changes_since_a_number_include_deletions() {
    let mut row_cache = RowCache::default();
    row_cache.apply("a", value(1), 1);
    row_cache.apply("b", value(2), 2);
    let number = row_cache.last_change();
    row_cache.apply("a", None, 3);
    row_cache.apply("c", value(4), 4);
    let changes = row_cache.changes_since(number);
    let keys: Vec<(&str, bool)> = changes.iter().map(|c| (&*c.key, c.value.is_some())).collect();
    assert_eq!(keys, [("a", false), ("c", true)]);
    assert!(row_cache.changes_since(row_cache.last_change()).is_empty());
}

#[test]
fn rows_missing_from_a_complete_cache_are_found_unless_newer_than_it() {
    let mut row_cache = RowCache::default();
    row_cache.apply("old", value(2), 2);
    row_cache.apply("kept", value(3), 3);
    row_cache.apply("new", value(9), 9);
    let missing = row_cache.missing_from(&BTreeSet::from(["kept"]), 5);
    assert_eq!(missing, [Box::from("old")]);
}

// Issue 20: a process that changed hubs was sent all rows, which filled the link of a small hub.
#[test]
fn the_difference_to_a_cache_holds_only_rows_that_it_lacks() {
    let mut hub = RowCache::default();
    for (key, revision) in [("same", 2), ("changed", 6), ("added", 7), ("deleted", 3)] {
        hub.apply(key, value(revision), revision);
    }
    hub.apply("deleted", None, 8);
    let mut other = RowCache::default();
    for (key, revision) in [("same", 2), ("changed", 4), ("deleted", 3), ("gone", 1), ("newer", 9)]
    {
        other.apply(key, value(revision), revision);
    }
    let keys = |is_fresh: bool| -> Vec<(Box<str>, bool)> {
        let changes = hub.difference(&other.versions(), is_fresh);
        changes.into_iter().map(|change| (change.key, change.value.is_some())).collect()
    };
    let lacking = [("added".into(), true), ("changed".into(), true), ("deleted".into(), false)];
    assert_eq!(keys(false), lacking, "a stale hub may lack rows that were not deleted");
    assert_eq!(keys(true), [lacking.as_slice(), &[("gone".into(), false)]].concat());
}

#[test]
fn age_counts_from_the_latest_match_with_the_store() {
    let mut row_cache = RowCache::default();
    assert_eq!(row_cache.age(Duration::from_secs(9)), None);
    row_cache.mark_current(Duration::from_secs(5), RowSource::Store);
    row_cache.mark_current(Duration::from_secs(4), RowSource::Store);
    assert_eq!(row_cache.age(Duration::from_secs(9)), Some(Duration::from_secs(4)));
}

proptest! {
    /// A cache that gets the difference to a fresh one ends with the rows that it would have after
    /// all changes and the deletion of all rows that are missing.
    #[test]
    fn the_difference_has_the_effect_of_all_rows(
        writes in proptest::collection::vec((0_usize..5, any::<bool>(), 0_u8..3), 1..40),
    ) {
        let mut hub = RowCache::default();
        let mut others = [RowCache::default(), RowCache::default()];
        for (i, (key, is_deletion, reached)) in writes.iter().enumerate() {
            let revision = i as u64 + 1;
            let key = format!("k{key}");
            let row = if *is_deletion { None } else { value(revision) };
            // Some changes reach only the hub, some both, some only the others.
            if *reached != 2 {
                hub.apply(&key, row.clone(), revision);
            }
            if *reached != 0 {
                others.iter_mut().for_each(|other| { other.apply(&key, row.clone(), revision); });
            }
        }
        let [by_difference, by_all_rows] = &mut others;
        for change in hub.difference(&by_difference.versions(), true) {
            by_difference.apply(&change.key, change.value, change.revision);
        }
        let all = hub.changes_since(0);
        let keys = all.iter().map(|change| &*change.key).collect();
        for key in by_all_rows.missing_from(&keys, hub.revision()) {
            by_all_rows.apply(&key, None, hub.revision());
        }
        for change in all {
            by_all_rows.apply(&change.key, change.value, change.revision);
        }
        let rows = |row_cache: &RowCache| -> Vec<(String, u64)> {
            row_cache.with_prefix("").map(|(key, value)| (key.to_owned(), value.mod_revision)).collect()
        };
        prop_assert_eq!(rows(by_difference), rows(by_all_rows));
    }

    /// Two caches that receive disjoint writes and then exchange all changes hold the same rows.
    #[test]
    fn caches_converge(writes in proptest::collection::vec((0_usize..4, any::<bool>(), any::<bool>()), 1..40)) {
        let mut caches = [RowCache::default(), RowCache::default()];
        for (i, (key, is_deletion, to_second)) in writes.iter().enumerate() {
            let revision = i as u64 + 1;
            let key = format!("k{key}");
            let row = if *is_deletion { None } else { value(revision) };
            caches[usize::from(*to_second)].apply(&key, row, revision);
        }
        let (first, second) = (caches[0].changes_since(0), caches[1].changes_since(0));
        for change in second {
            caches[0].apply(&change.key, change.value, change.revision);
        }
        for change in first {
            caches[1].apply(&change.key, change.value, change.revision);
        }
        let rows = |row_cache: &RowCache| -> Vec<(String, u64)> {
            row_cache.with_prefix("").map(|(key, value)| (key.to_owned(), value.mod_revision)).collect()
        };
        prop_assert_eq!(rows(&caches[0]), rows(&caches[1]));
    }
}
