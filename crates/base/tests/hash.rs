//! Tests of rendezvous hashing.

use base::hash;
use proptest::prelude::*;

proptest! {
    #[test]
    fn removing_a_candidate_reassigns_only_its_own_keys(
        names in proptest::collection::btree_set("[a-z]{1,6}", 2..12),
        key in "[a-z]{0,8}",
        gone in any::<prop::sample::Index>(),
    ) {
        let names: Vec<String> = names.into_iter().collect();
        let gone = &names[gone.index(names.len())];
        let before = hash::owner(&key, names.iter().map(String::as_str)).unwrap();
        let rest = names.iter().map(String::as_str).filter(|name| name != gone);
        let after = hash::owner(&key, rest).unwrap();
        prop_assert!(before == gone || before == after);
    }
}
