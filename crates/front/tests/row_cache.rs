//! Rows from several sources never go back, and deletions are passed on.

use std::collections::BTreeSet;

use base::prelude::*;
use front::row_cache::RowCache;
use kv::prelude::*;
use proptest::prelude::*;

fn value(mod_revision: u64) -> Option<Versioned> {
    Some(Versioned { value: mod_revision.to_string().into_bytes().into(), mod_revision })
}

#[test]
fn an_older_row_changes_nothing() {
    let mut row_cache = RowCache::default();
    assert!(row_cache.apply("a", value(5), 5));
    assert!(!row_cache.apply("a", value(4), 9));
    assert!(!row_cache.apply("a", value(5), 9));
    assert!(!row_cache.apply("a", None, 4), "the deletion was before");
    assert!(row_cache.apply("a", None, 7));
    assert!(!row_cache.apply("a", value(6), 9), "the row had been deleted since");
    assert!(row_cache.apply("a", value(8), 8));
}

#[test]
fn a_reader_gets_what_it_missed_deletions_too() {
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
fn rows_that_a_whole_feed_lacks_are_found_unless_they_are_newer() {
    let mut row_cache = RowCache::default();
    row_cache.apply("old", value(2), 2);
    row_cache.apply("kept", value(3), 3);
    row_cache.apply("new", value(9), 9);
    let missing = row_cache.missing_from(&BTreeSet::from(["kept"]), 5);
    assert_eq!(missing, [Box::from("old")]);
}

#[test]
fn its_age_counts_from_the_last_confirmation() {
    let mut row_cache = RowCache::default();
    assert_eq!(row_cache.age(Duration::from_secs(9)), None);
    row_cache.mark_current(Duration::from_secs(5));
    row_cache.mark_current(Duration::from_secs(4));
    assert_eq!(row_cache.age(Duration::from_secs(9)), Some(Duration::from_secs(4)));
}

proptest! {
    /// Two feeds that exchange all changes, in any order, agree.
    #[test]
    fn feeds_converge(writes in proptest::collection::vec((0_usize..4, any::<bool>(), any::<bool>()), 1..40)) {
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
