//! Two concurrent operators change resources through different daemons while the key-value service
//! loses responses and has an outage, one daemon is killed and another is stopped by a signal.
//!
//! All accepted changes must have distinct revisions and be active on all daemons; no daemon's
//! active revision may decrease.

mod procs;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::prelude::*;
use cli::prelude::*;
use cli::servers::Write;
use http::Method;
use lab::sample;
use procs::Proc;
use serde_json::Value;
use serde_json::json;
use spec::api::ChangeView;
use spec::api::ErrorKind;
use spec::api::ListView;
use spec::api::ProcessView;
use spec::api::ResourceView;
use web::prelude::Client;

/// Timeout of the whole test, far longer than it takes, so that a fault cannot make it hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(180);
/// Number of changes per operator; each is retried until it is accepted.
const CHANGES: u32 = 100;
/// Every n-th change is conditional on the revision of a resource that both operators change.
const SHARED_INTERVAL: u32 = 4;
const DAEMONS: usize = 4;
/// Timeout of calls to the key-value service, after which a lost response is noticed.
const KV_TIMEOUT_MS: u64 = 200;
/// Time during which an operator polls the status of an indeterminate write.
const WRITE_STATUS_TIMEOUT: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(8);
const SHARED: &str = "/api/v1/model/shared";

fn start_daemon(number: usize, kv: SocketAddr, seeds: &[SocketAddr]) -> Proc {
    let settings = sample::settings(&format!("node-{number}"), kv, seeds, None);
    let mut settings: Value = serde_json::from_str(&settings).unwrap();
    settings["kv"]["timeout_ms"] = json!(KV_TIMEOUT_MS);
    settings["log"]["level"] = json!("error");
    Proc::daemon(&settings.to_string())
}

fn servers(addresses: &[SocketAddr]) -> Servers {
    let servers = Servers::new(addresses.to_vec(), Some(sample::OPERATOR_TOKEN.into()), TIMEOUT);
    servers.with_poll_timeout(WRITE_STATUS_TIMEOUT)
}

/// The results that one operator got.
#[derive(Default)]
struct OperatorResults {
    /// Revisions of accepted changes, by the brand that each change adds.
    accepted: BTreeMap<String, Revision>,
    /// Brands of changes that were reported as not applied.
    not_applied: Vec<String>,
    /// Brands of changes whose outcome is unknown.
    unknown: Vec<String>,
    conflicts: usize,
}

/// Returns one change: it adds a brand and, if `with_shared`, increments the shared counter.
async fn change(servers: &Servers, name: &str, with_shared: bool) -> Result<Write, Failure> {
    let brand = json!({"kind": "brand", "name": name, "spec": {"display_name": name}});
    let mut manifests = vec![brand];
    if with_shared {
        let shared: ResourceView = servers.read(SHARED).await?;
        let next = shared.spec["max_output_tokens"].as_u64().unwrap() + 1;
        let spec = json!({"max_output_tokens": next});
        let revision = shared.revision;
        manifests
            .push(json!({"kind": "model", "name": "shared", "spec": spec, "revision": revision}));
    }
    Ok(Write {
        method: Method::POST,
        path: "/api/v1/apply".to_owned(),
        body: Value::Array(manifests).to_string(),
        revision: None,
        write_id: random_id(),
    })
}

async fn operate(
    name: char,
    addresses: Vec<SocketAddr>,
    done: Arc<AtomicUsize>,
) -> OperatorResults {
    let servers = servers(&addresses);
    let mut results = OperatorResults::default();
    for number in 0..CHANGES {
        for attempt in 0.. {
            let brand = format!("{name}-{number}-{attempt}");
            let outcome = match change(&servers, &brand, number % SHARED_INTERVAL == 0).await {
                Ok(write) => servers.write(&write).await,
                Err(_) => continue,
            };
            match outcome {
                Ok(ChangeView { revision, .. }) => {
                    results.accepted.insert(brand, revision);
                    break;
                }
                Err(Failure::Unknown { .. }) => results.unknown.push(brand),
                Err(Failure::Refused(answer)) => {
                    assert_eq!(answer.0.error, ErrorKind::Conflict, "{answer}");
                    results.conflicts += 1;
                    results.not_applied.push(brand);
                }
                Err(_) => {
                    results.not_applied.push(brand);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        done.fetch_add(1, Ordering::SeqCst);
    }
    results
}

/// Polls one daemon until `stop` is set; panics when its active revision or counter decreases.
async fn sample_daemon(address: SocketAddr, stop: Arc<AtomicBool>) -> usize {
    let servers = servers(&[address]);
    let (mut revision, mut shared, mut samples) = (0, 0, 0);
    while !stop.load(Ordering::SeqCst) {
        if let Ok(view) = servers.read::<ProcessView>("/api/v1/status").await {
            assert!(view.revision >= revision, "{address}: {} after {revision}", view.revision);
            revision = view.revision;
            samples += 1;
        }
        if let Ok(view) = servers.read::<ResourceView>(SHARED).await {
            let now = view.spec["max_output_tokens"].as_u64().unwrap();
            assert!(now >= shared, "{address}: shared {now} after {shared}");
            shared = now;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    samples
}

async fn set_faults(control: SocketAddr, faults: Value) {
    let client = Client::unpooled(TIMEOUT);
    // The response has no body, so its decoding error is ignored.
    let _ = client
        .json::<_, Value>(control, Method::POST, "/control/faults", Some(&faults), TIMEOUT)
        .await;
}

async fn wait_for_changes(done: &AtomicUsize, count: usize) {
    while done.load(Ordering::SeqCst) < count {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns a daemon's active revision, its brands and the shared counter.
async fn active_state(address: SocketAddr) -> (Revision, Vec<String>, u64) {
    let servers = servers(&[address]);
    let list: ListView = servers.read("/api/v1/brand").await.unwrap();
    let shared: ResourceView = servers.read(SHARED).await.unwrap();
    let names = list.items.iter().map(|item| item.name.to_string()).collect();
    (list.revision, names, shared.spec["max_output_tokens"].as_u64().unwrap())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_operators_get_one_order_of_changes_on_all_daemons() {
    let result = tokio::time::timeout(TEST_TIMEOUT, run_concurrent_operators()).await;
    assert!(result.is_ok(), "the test did not finish within {TEST_TIMEOUT:?}");
}

async fn run_concurrent_operators() {
    let kv = Proc::stand_in(&["kv"], 2);
    let (kv_at, control) = (kv.at("kv"), kv.at("kv-control"));
    let mut daemons: Vec<Proc> = Vec::new();
    for number in 0..DAEMONS {
        // Each daemon has all earlier ones as seeds, so the killed one is not its only seed.
        let seeds: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.at("gossip")).collect();
        daemons.push(start_daemon(number, kv_at, &seeds));
    }
    let at: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.at("operator")).collect();
    let first = json!({"kind": "model", "name": "shared", "spec": {"max_output_tokens": 1}});
    let write = Write {
        method: Method::POST,
        path: "/api/v1/apply".to_owned(),
        body: first.to_string(),
        revision: None,
        write_id: random_id(),
    };
    servers(&at).write(&write).await.unwrap();

    let stop = Arc::new(AtomicBool::new(false));
    let samplers: Vec<_> =
        at.iter().map(|at| tokio::spawn(sample_daemon(*at, stop.clone()))).collect();
    let done = Arc::new(AtomicUsize::new(0));
    set_faults(control, json!({"lose_share": 0.2})).await;
    let a = tokio::spawn(operate('a', vec![at[0], at[1]], done.clone()));
    let b = tokio::spawn(operate('b', vec![at[2], at[3]], done.clone()));
    wait_for_changes(&done, 50).await;
    set_faults(control, json!({"outage": "reset"})).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    set_faults(control, json!({"outage": "none"})).await;
    wait_for_changes(&done, 100).await;
    daemons[0].kill();
    wait_for_changes(&done, 130).await;
    daemons[3].signal("STOP");
    tokio::time::sleep(Duration::from_millis(700)).await;
    daemons[3].signal("CONT");
    let (a, b) = (a.await.unwrap(), b.await.unwrap());
    set_faults(control, json!({"lose_share": 0.0})).await;

    let accepted: BTreeMap<_, _> = a.accepted.iter().chain(&b.accepted).collect();
    let mut revisions: Vec<Revision> = accepted.values().map(|revision| **revision).collect();
    revisions.sort_unstable();
    revisions.dedup();
    assert_eq!(revisions.len(), 2 * CHANGES as usize, "two changes have the same revision");
    let highest = *revisions.last().unwrap();
    let mut states = Vec::new();
    for at in &at[1..] {
        while active_state(*at).await.0 < highest {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        states.push(active_state(*at).await);
    }
    stop.store(true, Ordering::SeqCst);
    let mut samples = 0;
    for sampler in samplers {
        samples += sampler.await.unwrap();
    }
    for state in &states {
        assert_eq!(state, &states[0], "the daemons differ");
    }
    let (_, names, shared) = &states[0];
    for brand in accepted.keys() {
        assert!(names.contains(brand), "accepted {brand} is not active");
    }
    for brand in a.not_applied.iter().chain(&b.not_applied) {
        assert!(!names.contains(brand), "{brand} is active, but was reported as not applied");
    }
    let increments = 2 * CHANGES.div_ceil(SHARED_INTERVAL);
    let unknown = a.unknown.len() + b.unknown.len();
    let extra = shared - 1 - u64::from(increments);
    assert!(
        extra <= unknown as u64,
        "shared counter: {extra} extra increments, {unknown} changes with unknown outcome"
    );
    println!(
        "accepted {}, conflicts {}, not applied {}, unknown {unknown}, samples {samples}",
        accepted.len(),
        a.conflicts + b.conflicts,
        a.not_applied.len() + b.not_applied.len(),
    );
}
