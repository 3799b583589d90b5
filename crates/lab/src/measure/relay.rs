//! Latency that the relay adds to a direct engine call, and the daemon's CPU time.
//!
//! Engines, daemon and load generator run in this process, each on a runtime of its own. The
//! daemon's threads are named, so that their CPU time can be told from that of the others. The
//! same load is driven first directly to the engines and then through the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::Generation;
use config::prelude::*;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;

use crate::direct::EngineTarget;
use crate::engine::Engine;
use crate::engine::EngineOptions;
use crate::kv::KvServer;
use crate::load;
use crate::load::Destination;
use crate::load::LoadOptions;
use crate::load::Report;
use crate::sample;
use crate::sample::Vm;
use crate::usage;
use crate::weights::WeightStore;

/// Requests per second of one node at the target size.
const REQUESTS_PER_SECOND: f64 = 110.0;
/// Token limit of each request; answers have three quarters of it on average, 355.
const MAX_TOKENS: u32 = 474;
/// Time between two tokens of an engine.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
/// Groups that share the load.
const GROUPS: usize = 8;
/// Time during which requests arrive in each of the two runs.
const DURATION: Duration = Duration::from_secs(20);
/// Threads of each runtime.
const THREADS: usize = 4;
/// Name of the daemon's threads.
const DAEMON_THREADS: &str = "daemon";
/// Rate of the weight store in bytes per second.
const WEIGHTS_BYTES_PER_SECOND: f64 = 1e10;

/// Runs the measurement.
pub async fn run() -> Value {
    let engines = runtime("engines");
    let daemon = runtime(DAEMON_THREADS);
    let started = engines.spawn(start_engines()).await;
    let (vms, _engines) = started.expect("the engines start");
    let started = engines.spawn(start_kv(vms.clone())).await;
    let (kv, generations) = started.expect("the stand-in starts");
    let address = start_daemon(&daemon, kv).await;
    let targets = engine_targets(&vms, &generations);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let direct = drive(Destination::Engines(targets)).await;
    let before = usage::of_threads(DAEMON_THREADS);
    let relayed = drive(Destination::Daemons(vec![address])).await;
    let cpu = usage::of_threads(DAEMON_THREADS) - before;
    let figures = figures(&direct, &relayed, cpu);
    daemon.shutdown_background();
    engines.shutdown_background();
    figures
}

fn runtime(name: &str) -> Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let built = builder.worker_threads(THREADS).thread_name(name).enable_all().build();
    built.expect("the runtime starts")
}

async fn start_engines() -> (Vec<Vm>, Vec<Engine>) {
    let weights = WeightStore::new(WEIGHTS_BYTES_PER_SECOND);
    let mut vms = Vec::new();
    let mut engines = Vec::new();
    for index in 0..GROUPS * sample::VMS_PER_GROUP {
        let options = EngineOptions {
            slots: 1_024,
            token_interval: TOKEN_INTERVAL,
            ..EngineOptions::quick(&format!("vm-{index}"))
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let engine = Engine::start(listener, options, weights.clone());
        vms.push(Vm { name: format!("vm-{index}").into(), address: engine.address });
        engines.push(engine);
    }
    (vms, engines)
}

/// Starts the key-value stand-in with the deployment; returns its address and the groups'
/// generations.
async fn start_kv(vms: Vec<Vm>) -> (SocketAddr, Vec<Generation>) {
    let mut records = sample::fabric_records(&vms);
    sample::assign_engines(&vms, &mut records).await.expect("the engines take orders");
    let server = KvServer::default();
    let catalog = sample::catalog(&vms, Vec::new());
    sample::seed(&server.store, &catalog, &records).await.expect("the store is in memory");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(server.serve(listener));
    let groups = records.iter().flat_map(|record| &record.groups);
    (address, groups.map(|group| group.generation).collect())
}

/// Starts a daemon on `runtime` and returns the address of its caller API.
async fn start_daemon(runtime: &Runtime, kv: SocketAddr) -> SocketAddr {
    let text = sample::settings("measured", kv, &[], None);
    let settings = Settings::try_from(text.as_str()).expect("the sample settings are valid");
    let kernel = daemon::run::kernel(settings, |_| {});
    let addresses: daemon::announce::Addresses =
        kernel.registry().lookup(daemon::names::PROCESS).expect("the kernel offers it");
    let (tx, rx) = oneshot::channel();
    runtime.spawn(kernel.run());
    tokio::spawn(async move {
        loop {
            let found = addresses.list().into_iter().find(|entry| entry.name == "caller");
            if let Some(found) = found {
                // `rx` is awaited below, so the send does not fail.
                let _ = tx.send(found.address);
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    rx.await.expect("the daemon announces itself")
}

/// Returns each group's target for direct calls, the engine of its rank 0.
fn engine_targets(vms: &[Vm], generations: &[Generation]) -> Vec<EngineTarget> {
    let groups = vms.chunks_exact(sample::VMS_PER_GROUP).zip(generations).enumerate();
    groups
        .map(|(index, (members, generation))| EngineTarget {
            leader: members[0].address,
            group: format!("main-{index}").into(),
            generation: *generation,
        })
        .collect()
}

async fn drive(destination: Destination) -> Report {
    let load = LoadOptions {
        destination,
        rate: REQUESTS_PER_SECOND,
        duration: DURATION,
        max_tokens: MAX_TOKENS,
        streamed: 1.0,
        high_priority: 0.0,
        seed: 1,
        timeout: Duration::from_secs(60),
        resend: false,
    };
    load::drive(&load).await.report()
}

fn figures(direct: &Report, relayed: &Report, cpu: Duration) -> Value {
    let seconds = DURATION.as_secs_f64();
    json!({
        "offered": {
            "requests_per_second": REQUESTS_PER_SECOND,
            "tokens_per_second": relayed.tokens as f64 / seconds,
            "seconds": seconds,
        },
        "direct": direct,
        "relayed": relayed,
        "added_p95_ms": {
            "first_token": relayed.first_token.p95_ms - direct.first_token.p95_ms,
            "between_tokens": relayed.between_tokens.p95_ms - direct.between_tokens.p95_ms,
        },
        "daemon_cpu": {
            "seconds": cpu.as_secs_f64(),
            "cores": cpu.as_secs_f64() / seconds,
            "micros_per_token": cpu.as_secs_f64() * 1e6 / relayed.tokens.max(1) as f64,
        },
    })
}
