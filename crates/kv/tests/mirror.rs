//! The mirror reports every change in order, and detects what it missed between two watches.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use kv::mirror;
use kv::mirror::Rows;
use kv::prelude::*;
use tokio::sync::mpsc;

/// Longest pause between attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

fn bytes(text: &str) -> Arc<[u8]> {
    text.as_bytes().into()
}

async fn next(rx: &mut mpsc::Receiver<MirrorEvent>) -> MirrorEvent {
    let change = tokio::time::timeout(Duration::from_secs(20), rx.recv()).await;
    change.expect("a change comes").expect("the mirror runs")
}

async fn next_row(rx: &mut mpsc::Receiver<MirrorEvent>) -> (Box<str>, bool) {
    loop {
        if let MirrorEvent::Row { key, value } = next(rx).await {
            return (key, value.is_some());
        }
    }
}

#[test]
fn common_prefix_is_the_longest_shared_one() {
    assert_eq!(mirror::common_prefix(&["own/a/", "own/b"]), "own/");
    assert_eq!(mirror::common_prefix(&["a", "b"]), "");
    assert_eq!(mirror::common_prefix(&["servers/"]), "servers/");
}

#[tokio::test]
async fn changes_are_reported_in_order_and_deletions_between_watches_are_detected() {
    let store = MemoryStore::default();
    let Ok(CasResult::Done { mod_revision: first }) =
        store.compare_and_swap("s/1", 0, bytes("one")).await
    else {
        panic!("not written");
    };
    store.compare_and_swap("other/1", 0, bytes("x")).await.expect("written");
    let began = Instant::now();
    let (tx, mut rx) = mpsc::channel(16);
    let gone = Versioned { value: bytes("old"), mod_revision: 0 };
    let known: Rows = [(Box::from("s/0"), gone)].into_iter().collect();
    tokio::spawn(mirror::run(Arc::new(store.clone()), vec!["s/".into()], known, MAX_BACKOFF, tx));
    assert_eq!(next_row(&mut rx).await, ("s/0".into(), false), "deleted before it started");
    assert_eq!(next_row(&mut rx).await, ("s/1".into(), true));
    assert_eq!(next(&mut rx).await, MirrorEvent::Synced);
    let MirrorEvent::Current { asked_at } = next(&mut rx).await else { panic!("not current") };
    assert!(asked_at >= began, "the copy holds what was written before");
    store.compare_and_swap("s/2", 0, bytes("two")).await.expect("written");
    assert_eq!(next_row(&mut rx).await, ("s/2".into(), true));
    store.close_watches();
    assert_eq!(next(&mut rx).await, MirrorEvent::WatchEnded);
    store.delete("s/1", first).await.expect("deleted");
    assert_eq!(next_row(&mut rx).await, ("s/1".into(), false));
}
