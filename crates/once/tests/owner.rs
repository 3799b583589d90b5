//! Tests of shard ownership.

use once::owner::owner;

const SHARDS: u32 = 64;

#[test]
fn losing_a_process_moves_only_its_own_shards() {
    let names = ["a", "b", "c", "d"];
    for shard in 0..SHARDS {
        // Each process knows all others, so all choose the same owner.
        let chosen_by =
            |me: &'static str| owner(shard, me, names.into_iter().filter(move |name| *name != me));
        let owners: Vec<&str> = names.into_iter().map(chosen_by).collect();
        assert!(owners.iter().all(|owner| *owner == owners[0]), "{shard}: {owners:?}");
        let without_d = owner(shard, "a", ["b", "c"]);
        assert!(owners[0] == "d" || owners[0] == without_d);
    }
    assert_eq!(owner(0, "a", []), "a");
}
