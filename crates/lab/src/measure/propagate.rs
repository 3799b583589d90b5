//! Accepted configuration changes: the time until they are active at all daemons, and their cost.
//!
//! Complete daemons of one failure domain run in this process against one key-value stand-in; two
//! of them watch it, the others pull from peers. Changes are submitted through one daemon's
//! operator API, in a burst through several. The time runs from the answer that accepts a change
//! until that revision is active at the last daemon. Sizes are those of catalogs with the
//! proportions of the users' deployments.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::prelude::random_id;
use cli::servers::Servers;
use cli::servers::Write;
use config::prelude::Settings;
use daemon::announce::Addresses;
use daemon::member::MembershipView;
use daemon::names;
use http::Method;
use serde_json::Value;
use serde_json::json;
use spec::accept::Change;
use spec::accept::Edit;
use spec::accept::WorkingCatalog;
use spec::catalog::MAX_RETAINED_DELETIONS;
use spec::catalog::MAX_RETAINED_WRITES;
use spec::delta::update_since;
use spec::prelude::*;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::kv::KvCounts;
use crate::measure::load::Latencies;
use crate::measure::load::LoopbackKv;
use crate::sample;

/// Response time of the key-value service.
const KV_DELAY_MS: u64 = 2;
/// Numbers of daemons, each a run of its own.
const DAEMONS: [usize; 6] = [1, 2, 4, 8, 16, 32];
/// Daemons whose gossip addresses the later ones join through.
const SEEDS: usize = 3;
/// Changes of one run.
const CHANGES: u32 = 60;
/// Pause between two changes, so that their propagation does not overlap.
const CHANGE_PAUSE: Duration = Duration::from_millis(20);
/// Changes per second in a burst at the target size.
const BURST_PER_SECOND: u32 = 50;
/// Length of a burst.
const BURST: Duration = Duration::from_secs(4);
/// Numbers of daemons that accept the changes of a burst, each a run of its own.
const BURST_DAEMONS: [usize; 3] = [1, 4, 8];
/// Replicas of the measured catalogs: today's number, doubled up to the target's.
const REPLICAS: [u32; 5] = [55, 110, 220, 440, 880];
/// VMs of each replica in these catalogs.
const VMS_PER_REPLICA: u32 = 8;
/// Largest value that the key-value service stores, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Longest wait for one change.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the measurement.
pub async fn run() -> Value {
    let mut propagation = Vec::new();
    for count in DAEMONS {
        propagation.push(measure_propagation(count).await);
    }
    let mut bursts = Vec::new();
    for count in BURST_DAEMONS {
        bursts.push(measure_burst(count).await);
    }
    let sizes: Vec<Value> = REPLICAS.into_iter().map(measure_size).collect();
    json!({
        "in_force_at_all": propagation,
        "bursts": bursts,
        "sizes": sizes,
        "limit": value_size_limit(),
    })
}

struct DaemonCluster {
    kv: LoopbackKv,
    operators: Vec<SocketAddr>,
    seeds: Vec<SocketAddr>,
    catalogs: Vec<watch::Receiver<Arc<Catalog>>>,
    stops: Vec<CancellationToken>,
}

impl DaemonCluster {
    async fn start(count: usize) -> DaemonCluster {
        let kv = LoopbackKv::start(KV_DELAY_MS).await;
        let mut cluster =
            DaemonCluster { kv, operators: vec![], seeds: vec![], catalogs: vec![], stops: vec![] };
        let mut members = Vec::new();
        for number in 0..count {
            let node = format!("node-{number}");
            let text = sample::settings(&node, cluster.kv.address, &cluster.seeds, None);
            let settings = Settings::try_from(&*text).expect("the sample's settings are valid");
            let kernel = daemon::run::kernel(settings, |_| {});
            let registry = kernel.registry().clone();
            cluster.stops.push(kernel.stop_handle());
            tokio::spawn(kernel.run());
            let addresses: Addresses =
                registry.lookup(names::PROCESS).expect("the kernel offers the addresses");
            cluster.operators.push(address_of(&addresses, "operator").await);
            if cluster.seeds.len() < SEEDS {
                cluster.seeds.push(address_of(&addresses, "gossip").await);
            }
            cluster
                .catalogs
                .push(registry.subscribe(names::CATALOG).expect("the service is ready"));
            members.push(
                registry.subscribe::<MembershipView>(names::MEMBER).expect("the service is ready"),
            );
        }
        for member in &mut members {
            let knows_all = member.wait_for(|view| view.live().count() + 1 == count);
            tokio::time::timeout(TIMEOUT, knows_all).await.expect("all join").expect("they run");
        }
        cluster
    }

    fn servers(&self, number: usize) -> Servers {
        let token = Some(sample::OPERATOR_TOKEN.into());
        Servers::new(vec![self.operators[number]], token, TIMEOUT)
    }

    async fn wait_for_revision(&mut self, revision: u64) {
        for catalog in &mut self.catalogs {
            let reached = catalog.wait_for(|catalog| catalog.revision >= revision);
            let _ = tokio::time::timeout(TIMEOUT, reached).await;
        }
    }

    fn stop(self) {
        for stop in self.stops {
            stop.cancel();
        }
    }
}

async fn address_of(addresses: &Addresses, name: &str) -> SocketAddr {
    loop {
        if let Some(entry) = addresses.list().iter().find(|entry| entry.name == name) {
            return entry.address;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn write(name: &str, value: u32) -> Write {
    let spec = json!({"max_output_tokens": value});
    Write {
        method: Method::POST,
        path: "/api/v1/apply".to_owned(),
        body: json!({"kind": "model", "name": name, "spec": spec}).to_string(),
        revision: None,
        write_id: random_id(),
    }
}

async fn measure_propagation(count: usize) -> Value {
    let mut cluster = DaemonCluster::start(count).await;
    let servers = cluster.servers(0);
    let (mut accepted, mut active_everywhere) = (Latencies::default(), Latencies::default());
    let before = cluster.kv.server.faults.counts();
    for value in 1..=CHANGES {
        let started = Instant::now();
        let answer = servers.write(&write("m", value)).await.expect("the stand-in is up");
        let answered = Instant::now();
        accepted.record(answered - started);
        cluster.wait_for_revision(answer.revision).await;
        active_everywhere.record(answered.elapsed());
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    let calls = calls(before, cluster.kv.server.faults.counts(), CHANGES);
    cluster.stop();
    json!({
        "daemons": count,
        "accepted": accepted.summary(),
        "in_force_after_accepted": active_everywhere.summary(),
        "kv": calls,
    })
}

fn calls(before: KvCounts, after: KvCounts, changes: u32) -> Value {
    let changes = f64::from(changes);
    json!({
        "reads_per_change": (after.reads - before.reads) as f64 / changes,
        "writes_per_change": (after.writes - before.writes) as f64 / changes,
        "watching": after.watching,
        "limited": after.limited - before.limited,
    })
}

async fn measure_burst(count: usize) -> Value {
    let mut cluster = DaemonCluster::start(count).await;
    let before = cluster.kv.server.faults.counts();
    let total = BURST_PER_SECOND * u32::try_from(BURST.as_secs()).unwrap_or(1);
    let started = Instant::now();
    let mut changes = tokio::task::JoinSet::new();
    for number in 0..total {
        let servers = cluster.servers(number as usize % count);
        changes.spawn(async move {
            let due = Duration::from_secs_f64(f64::from(number) / f64::from(BURST_PER_SECOND));
            tokio::time::sleep_until((started + due).into()).await;
            let sent = Instant::now();
            let answer = servers.write(&write(&format!("m{}", number % 20), number + 1)).await;
            (sent.elapsed(), answer.map(|answer| answer.revision).ok())
        });
    }
    let (mut accepted, mut failed, mut highest) = (Latencies::default(), 0, 0);
    while let Some(Ok((latency, revision))) = changes.join_next().await {
        match revision {
            Some(revision) => {
                accepted.record(latency);
                highest = highest.max(revision);
            }
            None => failed += 1,
        }
    }
    cluster.wait_for_revision(highest).await;
    let calls = calls(before, cluster.kv.server.faults.counts(), total);
    cluster.stop();
    json!({
        "daemons": count,
        "changes_per_second": BURST_PER_SECOND,
        "accepted": accepted.summary(),
        "not_accepted": failed,
        "kv": calls,
    })
}

/// Returns a catalog with the proportions of a user's deployment: ten workspaces, and one backend
/// server per VM.
fn catalog_of(replicas: u32) -> Catalog {
    let mut working = WorkingCatalog::new(&Catalog::default());
    let mut edits = Vec::new();
    let mut put = |name: String, resource: Resource| {
        edits.push(Edit::Apply(Manifest { name: name.into(), resource, revision: None }));
    };
    for kind in [Kind::Model, Kind::Version, Kind::Adapter, Kind::Brand, Kind::Limits] {
        put(kind.to_string(), Resource::example(kind));
    }
    put("service".to_owned(), Resource::example(Kind::Service));
    for number in 0..10 {
        if let Resource::Workspace(mut workspace) = Resource::example(Kind::Workspace) {
            workspace.key_hashes = vec![format!("{number:064x}").into()];
            put(format!("workspace-{number}"), Resource::Workspace(workspace));
        }
    }
    for number in 0..replicas {
        put(format!("replica-{number}"), Resource::example(Kind::Replica));
    }
    for number in 0..replicas * VMS_PER_REPLICA {
        if let Resource::BackendServer(mut server) = Resource::example(Kind::BackendServer) {
            server.address = ([10, 0, (number >> 8) as u8, number as u8], 7000).into();
            put(format!("vm-{number}"), Resource::BackendServer(server));
        }
    }
    working.evaluate(&change(1, edits));
    working.into_catalog()
}

fn change(write_id: u64, edits: Vec<Edit>) -> Change {
    Change { write_id, operator: "measure".into(), edits, dry_run: false }
}

fn bytes(catalog: &Catalog) -> usize {
    serde_json::to_vec(catalog).map_or(0, |bytes| bytes.len())
}

fn measure_size(replicas: u32) -> Value {
    let before = catalog_of(replicas);
    let started = Instant::now();
    let mut working = WorkingCatalog::new(&before);
    let prepared = started.elapsed();
    let drained = match before.find(Kind::BackendServer, "vm-1").map(|held| held.resource) {
        Some(Resource::BackendServer(server)) => BackendServer { drain: true, ..server },
        _ => return Value::Null,
    };
    let resource = Resource::BackendServer(drained);
    let manifest = Manifest { name: "vm-1".into(), resource, revision: None };
    let started = Instant::now();
    working.evaluate(&change(2, vec![Edit::Apply(manifest)]));
    let evaluated = started.elapsed();
    let after = Arc::new(working.into_catalog());
    let update = update_since(&after, before.revision).encode();
    let started = Instant::now();
    let _ = spec::delta::Update::decode(&update).map(|update| update.apply(&before));
    json!({
        "replicas": replicas,
        "resources": after.len(),
        "value_bytes": bytes(&after),
        "bytes_per_resource": bytes(&after) as f64 / after.len() as f64,
        "delta_bytes_of_one_change": update.len(),
        "prepare_ms": prepared.as_secs_f64() * 1e3,
        "evaluate_ms": evaluated.as_secs_f64() * 1e3,
        "apply_delta_ms": started.elapsed().as_secs_f64() * 1e3,
    })
}

/// Returns how many resources fit into one value of the key-value service, beside full lists of
/// retained writes and deletions.
fn value_size_limit() -> Value {
    let catalog = catalog_of(REPLICAS[0]);
    let per_resource = bytes(&catalog) as f64 / catalog.len() as f64;
    let mut retained = Catalog::default();
    for _ in 0..MAX_RETAINED_WRITES {
        retained.record_write(random_id());
    }
    for number in 0..MAX_RETAINED_DELETIONS {
        let name = format!("vm-{number}");
        retained.set(&name, Resource::example(Kind::BackendServer), 1);
        retained.delete(Kind::BackendServer, &name, 1_000_000);
    }
    let retained_bytes = bytes(&retained);
    let room = MAX_VALUE_BYTES.saturating_sub(retained_bytes) as f64;
    json!({
        "max_value_bytes": MAX_VALUE_BYTES,
        "marks_and_deletions_bytes": retained_bytes,
        "resources_that_fit": (room / per_resource).floor(),
    })
}
