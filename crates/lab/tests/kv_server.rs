//! The etcd client (`EtcdStore`) against the stand-in service and its faults.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use kv::prelude::*;
use lab::kv::KvFaultUpdate;
use lab::kv::Outage;
use lab::prelude::*;
use tokio::net::TcpListener;

const CALL_TIMEOUT: Duration = Duration::from_millis(400);

struct TestBed {
    store: Arc<EtcdStore>,
    server: KvServer,
}

async fn start() -> TestBed {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = format!("http://{}", listener.local_addr().expect("an address"));
    let server = KvServer::default();
    tokio::spawn(server.clone().serve(listener));
    let mut settings = EtcdSettings::new(vec![address.into()]);
    settings.call_timeout = CALL_TIMEOUT;
    let store = Arc::new(EtcdStore::new(settings).expect("settings"));
    TestBed { store, server }
}

fn bytes(text: &str) -> Arc<[u8]> {
    Arc::from(text.as_bytes())
}

fn outage_update(outage: Outage) -> KvFaultUpdate {
    KvFaultUpdate { outage: Some(outage), ..KvFaultUpdate::default() }
}

async fn write(store: &EtcdStore, key: &str, expected: u64, text: &str) -> u64 {
    match store.compare_and_swap(key, expected, bytes(text)).await {
        Ok(CasResult::Done { mod_revision }) => mod_revision,
        other => panic!("{key} was not written: {other:?}"),
    }
}

#[tokio::test]
async fn reads_conditional_writes_and_deletes_work_over_the_network() {
    let TestBed { store, server } = start().await;
    assert_eq!(store.get("a/1").await, Ok(None));
    let first = write(&store, "a/1", 0, "one").await;
    let conflict = store.compare_and_swap("a/1", 0, bytes("other")).await;
    let current = Some(Versioned { value: bytes("one"), mod_revision: first });
    assert_eq!(conflict, Ok(CasResult::Conflict { current }));
    let second = write(&store, "a/1", first, "two").await;
    assert!(second > first);
    write(&store, "a/2", 0, "three").await;
    write(&store, "b/1", 0, "four").await;
    let rows = store.list("a/").await.expect("rows").rows;
    let keys: Vec<&str> = rows.iter().map(|(key, _)| &**key).collect();
    assert_eq!(keys, ["a/1", "a/2"]);
    assert!(matches!(store.delete("a/1", second).await, Ok(CasResult::Done { .. })));
    assert_eq!(store.get("a/1").await, Ok(None));
    assert_eq!(server.faults.counts().written, 5);
}

#[tokio::test]
async fn watch_delivers_each_change_after_a_revision() {
    let TestBed { store, server } = start().await;
    let first = write(&store, "w/1", 0, "one").await;
    let second = write(&store, "w/1", first, "two").await;
    let mut watch = store.watch("w/", first).await.expect("a watch");
    let event = watch.recv().await.and_then(Watched::change).expect("an event");
    assert_eq!(event.value.map(|value| value.mod_revision), Some(second));
    store.delete("w/1", second).await.expect("deleted");
    let event = watch.recv().await.and_then(Watched::change).expect("an event");
    assert_eq!((&*event.key, event.value), ("w/1", None));
    server.faults.apply(KvFaultUpdate { cut_watches: true, ..KvFaultUpdate::default() });
    assert_eq!(watch.recv().await, None);
}

#[tokio::test]
async fn write_with_a_lost_response_is_indeterminate_and_applied() {
    let TestBed { store, server } = start().await;
    server.faults.apply(KvFaultUpdate { lose_answers: Some(1), ..KvFaultUpdate::default() });
    assert_eq!(store.compare_and_swap("k", 0, bytes("mine")).await, Err(KvError::Indeterminate));
    let current = store.get("k").await.expect("an answer").expect("a value");
    assert_eq!(current.value, bytes("mine"));
}

#[tokio::test]
async fn outage_is_reported_as_unavailable_until_it_ends() {
    let TestBed { store, server } = start().await;
    write(&store, "k", 0, "one").await;
    server.faults.apply(outage_update(Outage::NoLeader));
    assert_eq!(store.compare_and_swap("k2", 0, bytes("two")).await, Err(KvError::Unavailable));
    server.faults.apply(outage_update(Outage::Reset));
    // The first call may still be sent and fail by the reset of its connection; later ones are
    // not sent.
    let _ = store.compare_and_swap("k2", 0, bytes("two")).await;
    assert_eq!(store.compare_and_swap("k2", 0, bytes("two")).await, Err(KvError::Unavailable));
    server.faults.apply(outage_update(Outage::None));
    let deadline = Instant::now() + Duration::from_secs(20);
    while store.get("k").await.is_err() && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(store.get("k2").await, Ok(None));
    write(&store, "k2", 0, "two").await;
}

#[tokio::test]
async fn silent_connection_times_out_and_is_replaced() {
    let TestBed { store, server } = start().await;
    write(&store, "k", 0, "one").await;
    server.faults.apply(KvFaultUpdate { silence_connections: true, ..KvFaultUpdate::default() });
    assert_eq!(store.compare_and_swap("k2", 0, bytes("two")).await, Err(KvError::Indeterminate));
    // The client has opened a new connection; the silent one never responds.
    write(&store, "k3", 0, "three").await;
    assert_eq!(store.get("k2").await, Ok(None));
}

#[tokio::test]
async fn write_to_an_unresponsive_service_is_unavailable() {
    let TestBed { store, server } = start().await;
    server.faults.apply(outage_update(Outage::Silent));
    assert_eq!(store.compare_and_swap("k", 0, bytes("one")).await, Err(KvError::Unavailable));
}

#[tokio::test]
async fn rate_limited_write_is_not_executed() {
    let TestBed { store, server } = start().await;
    server.faults.apply(KvFaultUpdate { writes_per_second: Some(1), ..KvFaultUpdate::default() });
    write(&store, "k1", 0, "one").await;
    let limited = store.compare_and_swap("k2", 0, bytes("two")).await;
    assert!(matches!(limited, Err(KvError::RateLimited { .. })), "{limited:?}");
    assert_eq!(store.get("k2").await, Ok(None));
}

#[test]
fn unknown_fault_is_rejected() {
    let faults = KvFaults::default();
    let findings = faults.apply_json(&serde_json::json!({"outage": "flood"})).unwrap_err();
    assert!(findings.to_string().contains("unknown variant `flood`"), "{findings}");
    faults.apply_json(&serde_json::json!({"outage": "no_leader"})).expect("a fault update");
}
