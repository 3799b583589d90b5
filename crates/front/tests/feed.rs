//! Rows from several sources never go back, and deletions are passed on.

use std::collections::BTreeSet;

use base::prelude::*;
use front::feed::Feed;
use kv::prelude::*;
use proptest::prelude::*;

fn value(mod_revision: u64) -> Option<Versioned> {
    Some(Versioned { value: mod_revision.to_string().into_bytes().into(), mod_revision })
}

#[test]
fn an_older_row_changes_nothing() {
    let mut feed = Feed::default();
    assert!(feed.apply("a", value(5), 5));
    assert!(!feed.apply("a", value(4), 9));
    assert!(!feed.apply("a", value(5), 9));
    assert!(!feed.apply("a", None, 4), "the deletion was before");
    assert!(feed.apply("a", None, 7));
    assert!(!feed.apply("a", value(6), 9), "the row had been deleted since");
    assert!(feed.apply("a", value(8), 8));
}

#[test]
fn a_reader_gets_what_it_missed_deletions_too() {
    let mut feed = Feed::default();
    feed.apply("a", value(1), 1);
    feed.apply("b", value(2), 2);
    let number = feed.number();
    feed.apply("a", None, 3);
    feed.apply("c", value(4), 4);
    let changes = feed.since(number);
    let keys: Vec<(&str, bool)> = changes.iter().map(|c| (&*c.key, c.value.is_some())).collect();
    assert_eq!(keys, [("a", false), ("c", true)]);
    assert!(feed.since(feed.number()).is_empty());
}

#[test]
fn rows_that_a_whole_feed_lacks_are_found_unless_they_are_newer() {
    let mut feed = Feed::default();
    feed.apply("old", value(2), 2);
    feed.apply("kept", value(3), 3);
    feed.apply("new", value(9), 9);
    let missing = feed.missing_from(&BTreeSet::from(["kept"]), 5);
    assert_eq!(missing, [Box::from("old")]);
}

#[test]
fn its_age_counts_from_the_last_confirmation() {
    let mut feed = Feed::default();
    assert_eq!(feed.age(Duration::from_secs(9)), None);
    feed.confirm(Duration::from_secs(5));
    feed.confirm(Duration::from_secs(4));
    assert_eq!(feed.age(Duration::from_secs(9)), Some(Duration::from_secs(4)));
}

proptest! {
    /// Two feeds that exchange all changes, in any order, agree.
    #[test]
    fn feeds_converge(writes in proptest::collection::vec((0_usize..4, any::<bool>(), any::<bool>()), 1..40)) {
        let mut feeds = [Feed::default(), Feed::default()];
        for (i, (key, is_deletion, to_second)) in writes.iter().enumerate() {
            let revision = i as u64 + 1;
            let key = format!("k{key}");
            let row = if *is_deletion { None } else { value(revision) };
            feeds[usize::from(*to_second)].apply(&key, row, revision);
        }
        let (first, second) = (feeds[0].since(0), feeds[1].since(0));
        for change in second {
            feeds[0].apply(&change.key, change.value, change.revision);
        }
        for change in first {
            feeds[1].apply(&change.key, change.value, change.revision);
        }
        let rows = |feed: &Feed| -> Vec<(String, u64)> {
            feed.below("").map(|(key, value)| (key.to_owned(), value.mod_revision)).collect()
        };
        prop_assert_eq!(rows(&feeds[0]), rows(&feeds[1]));
    }
}
