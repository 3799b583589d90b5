//! Large rows as differences: what arrives is what was sent, and it takes little.

use std::net::SocketAddr;

use base::prelude::*;
use kv::prelude::*;
use proptest::prelude::*;
use rows::patch::LARGE_BYTES;
use rows::patch::MAX_BYTES;
use rows::patch::PatchError;
use rows::prelude::*;

const KEY: &str = "config";
/// A link that carries anything.
const LINK_BYTES_PER_SECOND: f64 = 1e9;

fn versioned(value: Vec<u8>, mod_revision: u64) -> Versioned {
    Versioned { value: value.into(), mod_revision }
}

/// A configuration of so many routes, one of which says `changed`.
fn configuration(routes: usize, changed: &str) -> Vec<u8> {
    let route = |at: usize| {
        let what = if at == routes / 2 { changed } else { "" };
        let host = at.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        format!("{{\"name\":\"r{at}{what}\",\"host\":\"h{host:x}.example\",\"kind\":\"safe\"}},")
    };
    (0..routes).map(route).collect::<String>().into_bytes()
}

fn cache(rows: &[(&str, &[u8], u64)]) -> RowCache {
    let mut cache = RowCache::default();
    for (key, value, revision) in rows {
        cache.apply(key, Some(versioned(value.to_vec(), *revision)), *revision);
    }
    cache.mark_current(Mono::ZERO, RowSource::Store);
    cache
}

fn hub() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], 7480))
}

fn changes_request(cache: &RowCache, boot: BootId, number: u64) -> ChangesRequest {
    ChangesRequest { boot, number, large: Some(cache.large_versions()) }
}

// Issue 55: each change of one route was sent whole to every process, 9 MB a version of 314 kB.
#[test]
fn a_changed_route_of_a_large_configuration_takes_a_thousandth_of_it() {
    let old = versioned(configuration(16_000, "a"), 5);
    let new = versioned(configuration(16_000, "b"), 6);
    let patch = Patch::new(KEY, Some(&old), &new).expect("a difference");
    assert!(new.value.len() > 800_000, "{}", new.value.len());
    assert!(patch.size() < new.value.len() / 1_000, "{}", patch.size());
    assert_eq!(patch.apply(Some(&old)), Ok(new.clone()));
    let whole = Patch::new(KEY, None, &new).expect("the whole value");
    assert!(whole.size() < new.value.len() / 3, "{}", whole.size());
    assert_eq!(whole.apply(None), Ok(new));
}

// Guards against a value that was put together from the wrong version, or from damaged bytes.
#[test]
fn a_difference_from_another_version_or_with_other_bytes_is_an_error() {
    let old = versioned(configuration(900, "a"), 5);
    let new = versioned(configuration(900, "b"), 6);
    let patch = Patch::new(KEY, Some(&old), &new).expect("a difference");
    assert_eq!(patch.apply(None), Err(PatchError::NoBase { key: KEY.into() }));
    let other = versioned(configuration(900, "c"), 4);
    assert_eq!(patch.apply(Some(&other)), Err(PatchError::NoBase { key: KEY.into() }));
    let misnamed = versioned(old.value.iter().rev().copied().collect(), 5);
    assert!(matches!(patch.apply(Some(&misnamed)), Err(PatchError::Malformed { .. })));
    for bytes in [new.value.len() - 1, new.value.len() + 1, MAX_BYTES + 1] {
        let other = Patch { bytes, ..patch.clone() };
        assert!(matches!(other.apply(Some(&old)), Err(PatchError::Malformed { .. })), "{bytes}");
    }
    let cut = Patch { frame: patch.frame[..patch.frame.len() / 2].into(), ..patch };
    assert!(matches!(cut.apply(Some(&old)), Err(PatchError::Malformed { .. })));
}

// Guards against a hub that sends a large row whole, or again, to processes that have it or the version before.
#[test]
fn a_hub_sends_large_rows_as_differences_from_what_the_receiver_has() {
    let (old, new) = (configuration(900, "a"), configuration(900, "b"));
    let mut hub_cache = cache(&[(KEY, &old, 5)]);
    let follower_cache = cache(&[(KEY, &old, 5)]);
    let number = hub_cache.last_change();
    hub_cache.apply(KEY, Some(versioned(new.clone(), 6)), 6);
    let mut feed = Feed::new(LINK_BYTES_PER_SECOND);
    let asked = changes_request(&follower_cache, hub_cache.boot, number);
    let answer = feed.changes(&hub_cache, &asked, Mono::ZERO).expect("an answer");
    let bases: Vec<Option<u64>> = answer.patches.iter().map(|patch| patch.base).collect();
    assert_eq!((answer.rows.len(), bases), (0, vec![Some(5)]));
    let up_to_date = changes_request(&hub_cache, hub_cache.boot, number);
    let answer = feed.changes(&hub_cache, &up_to_date, Mono::ZERO).expect("an answer");
    assert_eq!((answer.rows.len(), answer.patches.len()), (0, 0));
    let earlier_build = ChangesRequest { large: None, ..asked };
    let answer = feed.changes(&hub_cache, &earlier_build, Mono::ZERO).expect("an answer");
    assert_eq!((answer.rows.len(), answer.patches.len()), (1, 0));
}

// Guards against a process that takes its rows for current, or goes on after them, though a large one can't be read.
#[test]
fn an_answer_with_a_row_that_can_not_be_read_makes_nothing_current() {
    let mut hub_cache = cache(&[(KEY, &configuration(900, "a"), 5)]);
    hub_cache.apply(KEY, Some(versioned(configuration(900, "b"), 6)), 6);
    let mut follower = HubFollower::default();
    let own = RowCache::default();
    let asked = RowsRequest { versions: [(KEY.into(), 5)].into(), takes_patches: true };
    let answer = Feed::new(LINK_BYTES_PER_SECOND).difference(&hub_cache, &asked, Mono::ZERO);
    let answered = follower.take_rows(&own, hub(), &answer, Mono::ZERO);
    assert_eq!((answered.current_at, answered.is_fresh), (None, false));
    assert_eq!(answered.failed, [PatchError::NoBase { key: KEY.into() }]);
    assert!(matches!(follower.ask(hub(), &own), Ask::Rows(_)), "it asks for what it lacks");
}

// Found by the simulated fleet: the whole cache of a hub that has started again came with its large rows as differences,
// and these were taken for deleted.
#[test]
fn a_large_row_of_a_whole_cache_is_not_taken_for_deleted() {
    let hub_cache = cache(&[(KEY, &configuration(900, "a"), 5), ("hub/0", b"x", 6)]);
    let own = cache(&[(KEY, &configuration(900, "a"), 5)]);
    let mut follower = HubFollower::default();
    follower.set_earlier_build(hub());
    let asked = changes_request(&own, 0, 0);
    let answer = Feed::new(LINK_BYTES_PER_SECOND).changes(&hub_cache, &asked, Mono::ZERO);
    let answer = answer.expect("an answer");
    assert_eq!(answer.whole_at, Some(6));
    let answered = follower.take_changes(&own, hub(), &answer, Mono::ZERO);
    let deleted = answered.changes.iter().filter(|change| change.value.is_none()).count();
    assert_eq!((deleted, answered.failed.len()), (0, 0));
}

proptest! {
    // Guards against values that arrive changed, whatever they and the versions before them are.
    #[test]
    fn a_process_gets_what_its_hub_has(
        versions in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..8),
        repeats in 1..200_usize,
        has in 0..9_usize,
    ) {
        let (mut hub_cache, mut own) = (RowCache::default(), RowCache::default());
        for (at, version) in versions.iter().enumerate() {
            let value = versioned(version.repeat(repeats), at as u64 + 1);
            if at < has {
                own.apply(KEY, Some(value.clone()), value.mod_revision);
            }
            hub_cache.apply(KEY, Some(value.clone()), value.mod_revision);
        }
        hub_cache.mark_current(Mono::ZERO, RowSource::Store);
        let asked = RowsRequest { versions: own.versions(), takes_patches: true };
        let answer = Feed::new(LINK_BYTES_PER_SECOND).difference(&hub_cache, &asked, Mono::ZERO);
        let is_large = |value: &Versioned| value.value.len() >= LARGE_BYTES;
        let answered = HubFollower::default().take_rows(&own, hub(), &answer, Mono::ZERO);
        for change in answered.changes {
            own.apply(&change.key, change.value, change.revision);
        }
        let held = hub_cache.get(KEY).expect("a value");
        if is_large(held) {
            prop_assert_eq!(own.get(KEY), Some(held));
        }
    }
}
