//! When a process follows the store itself, and when its rows count as current.

use std::net::SocketAddr;

use base::prelude::*;
use rows::prelude::*;

const INTERVAL: Duration = Duration::from_millis(100);

fn seconds(seconds: f64) -> Mono {
    Duration::from_secs_f64(seconds)
}

fn hub() -> RowSource {
    RowSource::Process(SocketAddr::from(([10, 1, 0, 1], 7480)))
}

fn situation() -> Situation {
    Situation { is_hub: false, interval: INTERVAL, all_hubs_tried: true }
}

// Issue 55: a process that had left the store read from the queue that it was up to date there, took its rows for
// current from then on, and didn't follow the store again for 3.6 s, although no hub fed it.
#[test]
fn a_process_that_left_the_store_follows_it_again_although_news_of_it_was_queued() {
    let (mut source, mut cache) = (StoreFollower::default(), RowCache::default());
    cache.mark_current(seconds(10.0), hub());
    assert_eq!(source.check(&situation(), &cache, seconds(12.0)), StoreAction::Follow);
    cache.mark_current(seconds(12.05), hub());
    assert_eq!(source.check(&situation(), &cache, seconds(12.1)), StoreAction::Leave);
    source.synced();
    assert_eq!(source.check(&situation(), &cache, seconds(12.2)), StoreAction::Keep);
    assert_eq!(cache.age(seconds(14.0)), Some(seconds(1.95)), "nothing showed that they match");
    assert_eq!(source.check(&situation(), &cache, seconds(14.0)), StoreAction::Follow);
}

// Guards against a process that follows the store and takes its rows for current though the store doesn't answer.
#[test]
fn rows_grow_old_while_the_store_that_is_followed_says_nothing() {
    let (mut source, mut cache) = (StoreFollower::default(), RowCache::default());
    let hub = Situation { is_hub: true, ..situation() };
    assert_eq!(source.check(&hub, &cache, seconds(1.0)), StoreAction::Follow);
    source.synced();
    cache.mark_current(seconds(1.0), RowSource::Store);
    assert_eq!(source.check(&hub, &cache, seconds(4.0)), StoreAction::Keep);
    assert_eq!(cache.age(seconds(4.0)), Some(seconds(3.0)));
}
