//! Two racing operators through different daemons, as separate processes, while the key-value
//! service loses answers and goes away for a while, one daemon is killed and another is frozen.

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

/// Far above what the race takes, so that a fault fails the test and does not hang it.
const RACE_PATIENCE: Duration = Duration::from_secs(180);
/// Changes that each operator makes until they are accepted.
const CHANGES: u32 = 100;
/// Each of so many changes is conditional on a resource that both operators change.
const SHARED_INTERVAL: u32 = 4;
const DAEMONS: usize = 4;
/// Time after which a lost answer of the key-value service is noticed.
const KV_TIMEOUT_MS: u64 = 200;
/// How long the fate of an unclear write is asked for.
const ASK_PERIOD: Duration = Duration::from_secs(2);
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
    servers.with_poll_timeout(ASK_PERIOD)
}

/// What one operator was told.
#[derive(Default)]
struct Told {
    /// Revisions of accepted changes by the brand that each adds.
    accepted: BTreeMap<String, Revision>,
    /// Brands of changes that were surely not applied.
    not_applied: Vec<String>,
    /// Brands of changes whose outcome is unknown.
    unknown: Vec<String>,
    conflicts: usize,
}

/// Returns one change: a brand of its own and, at times, one more in the shared counter.
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

async fn operate(name: char, addresses: Vec<SocketAddr>, done: Arc<AtomicUsize>) -> Told {
    let servers = servers(&addresses);
    let mut told = Told::default();
    for number in 0..CHANGES {
        for attempt in 0.. {
            let brand = format!("{name}-{number}-{attempt}");
            let outcome = match change(&servers, &brand, number % SHARED_INTERVAL == 0).await {
                Ok(write) => servers.write(&write).await,
                Err(_) => continue,
            };
            match outcome {
                Ok(ChangeView { revision, .. }) => {
                    told.accepted.insert(brand, revision);
                    break;
                }
                Err(Failure::Unknown { .. }) => told.unknown.push(brand),
                Err(Failure::Refused(answer)) => {
                    assert_eq!(answer.0.error, ErrorKind::Conflict, "{answer}");
                    told.conflicts += 1;
                    told.not_applied.push(brand);
                }
                Err(_) => {
                    told.not_applied.push(brand);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        done.fetch_add(1, Ordering::SeqCst);
    }
    told
}

/// Samples one daemon until told to stop; panics when something in force goes back.
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

async fn switch(control: SocketAddr, faults: Value) {
    let client = Client::unpooled(TIMEOUT);
    // The answer has no body, so only its arrival counts.
    let _ = client
        .json::<_, Value>(control, Method::POST, "/control/faults", Some(&faults), TIMEOUT)
        .await;
}

async fn reach(done: &AtomicUsize, count: usize) {
    while done.load(Ordering::SeqCst) < count {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the brands in force at a daemon, and its revision.
async fn in_force(address: SocketAddr) -> (Revision, Vec<String>, u64) {
    let servers = servers(&[address]);
    let list: ListView = servers.read("/api/v1/brand").await.unwrap();
    let shared: ResourceView = servers.read(SHARED).await.unwrap();
    let names = list.items.iter().map(|item| item.name.to_string()).collect();
    (list.revision, names, shared.spec["max_output_tokens"].as_u64().unwrap())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_operators_end_in_one_order_that_is_in_force_everywhere() {
    let raced = tokio::time::timeout(RACE_PATIENCE, race()).await;
    assert!(raced.is_ok(), "the race did not end within {RACE_PATIENCE:?}");
}

async fn race() {
    let kv = Proc::stand_in(&["kv"], 2);
    let (kv_at, control) = (kv.at("kv"), kv.at("kv-control"));
    let mut daemons: Vec<Proc> = Vec::new();
    for number in 0..DAEMONS {
        // Each joins all before it, so that the killed one is not the only way in.
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
    switch(control, json!({"lose_share": 0.2})).await;
    let a = tokio::spawn(operate('a', vec![at[0], at[1]], done.clone()));
    let b = tokio::spawn(operate('b', vec![at[2], at[3]], done.clone()));
    reach(&done, 50).await;
    switch(control, json!({"outage": "reset"})).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    switch(control, json!({"outage": "none"})).await;
    reach(&done, 100).await;
    daemons[0].kill();
    reach(&done, 130).await;
    daemons[3].signal("STOP");
    tokio::time::sleep(Duration::from_millis(700)).await;
    daemons[3].signal("CONT");
    let (a, b) = (a.await.unwrap(), b.await.unwrap());
    switch(control, json!({"lose_share": 0.0})).await;

    let accepted: BTreeMap<_, _> = a.accepted.iter().chain(&b.accepted).collect();
    let mut revisions: Vec<Revision> = accepted.values().map(|revision| **revision).collect();
    revisions.sort_unstable();
    revisions.dedup();
    assert_eq!(revisions.len(), 2 * CHANGES as usize, "two changes have one revision");
    let highest = *revisions.last().unwrap();
    let mut states = Vec::new();
    for at in &at[1..] {
        while in_force(*at).await.0 < highest {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        states.push(in_force(*at).await);
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
        assert!(names.contains(brand), "accepted {brand} is not in force");
    }
    for brand in a.not_applied.iter().chain(&b.not_applied) {
        assert!(!names.contains(brand), "{brand} is in force, but was told as not applied");
    }
    let increments = 2 * CHANGES.div_ceil(SHARED_INTERVAL);
    let unknown = a.unknown.len() + b.unknown.len();
    let extra = shared - 1 - u64::from(increments);
    assert!(extra <= unknown as u64, "shared has {extra} more, with {unknown} unknown");
    println!(
        "accepted {}, conflicts {}, not applied {}, unknown {unknown}, samples {samples}",
        accepted.len(),
        a.conflicts + b.conflicts,
        a.not_applied.len() + b.not_applied.len(),
    );
}
