//! Tests of the in-memory store.

use std::sync::Arc;

use kv::prelude::*;

async fn write(store: &MemoryStore, key: &str, expected: u64) -> u64 {
    match store.compare_and_swap(key, expected, Arc::from(&b"x"[..])).await {
        Ok(CasResult::Done { mod_revision }) => mod_revision,
        other => panic!("{key} was not written: {other:?}"),
    }
}

#[tokio::test]
async fn watch_from_an_earlier_revision_reports_missed_writes_and_deletions() {
    let store = MemoryStore::default();
    let old = write(&store, "a/1", 0).await;
    let gone = write(&store, "a/2", 0).await;
    let read = store.revision();
    store.delete("a/2", gone).await.expect("deleted");
    write(&store, "b/1", 0).await;
    write(&store, "a/3", 0).await;
    write(&store, "a/1", old).await;
    let mut watch = store.watch("a/", read).await.expect("a watch");
    let mut seen = Vec::new();
    while let Ok(watched) = watch.try_recv() {
        let event = watched.change().expect("only changes");
        seen.push((event.key, event.value.is_some()));
    }
    assert_eq!(seen, [("a/2".into(), false), ("a/3".into(), true), ("a/1".into(), true)]);
}
