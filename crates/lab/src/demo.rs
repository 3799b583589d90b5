//! A demo: key-value service, engines, daemons and callers in one process on loopback.
//!
//! It sends requests through both daemons, then crashes the leader of a group under load, checks
//! every answer and prints each step.

use std::net::SocketAddr;
use std::time::Duration;

use config::prelude::*;
use kv::prelude::*;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::prelude::Client;

use crate::caller;
use crate::caller::TextCall;
use crate::caller::Verdict;
use crate::engine::Engine;
use crate::engine::EngineOptions;
use crate::kv::KvServer;
use crate::plain;
use crate::sample;
use crate::sample::Vm;
use crate::weights::WeightStore;

/// Requests of each step.
const REQUESTS: u64 = 40;
/// Rate of the weight store.
const WEIGHTS_BYTES_PER_SECOND: f64 = 1e8;
/// Timeout of a daemon's start, and of the first answer.
const START_TIMEOUT: Duration = Duration::from_secs(20);

static ANNOUNCED: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Runs the demo; the error describes the first failure.
pub async fn run() -> Result<(), Box<str>> {
    println!("samphireport demo: 4 engines in 2 groups, 2 daemons, all in this process");
    let (kv, store) = start_kv().await?;
    let vms_and_engines = start_engines(4).await?;
    let vms: Vec<Vm> = vms_and_engines.iter().map(|(vm, _)| vm.clone()).collect();
    let service = bind().await?;
    let service_at = local(&service)?;
    tokio::spawn(plain::run(service, CancellationToken::new()));
    let mut records = sample::fabric_records(&vms);
    sample::assign_engines(&vms, &mut records).await?;
    let catalog = sample::catalog(&vms, vec![service_at]);
    let seeded = sample::seed(&store, &catalog, &records).await;
    seeded.map_err(|error| error.to_string())?;
    println!("  accepted: revision 1, {} groups", vms.len() / sample::VMS_PER_GROUP);
    let daemons = [start_daemon("demo-1", kv).await?, start_daemon("demo-2", kv).await?];
    println!("  daemons listen on {} and {}", daemons[0], daemons[1]);
    wait_serving(daemons).await?;
    step("streamed and whole answers through both daemons", daemons, 0).await?;
    let mut engines: Vec<Engine> = vms_and_engines.into_iter().map(|(_, engine)| engine).collect();
    let crash = tokio::spawn({
        let engine = engines.swap_remove(0);
        async move {
            tokio::time::sleep(Duration::from_millis(40)).await;
            engine.crash().await;
        }
    });
    step("the same while the first group loses its leader", daemons, 1_000).await?;
    crash.await.map_err(|error| error.to_string())?;
    println!("demo: all answers were whole and right");
    Ok(())
}

async fn bind() -> Result<TcpListener, Box<str>> {
    TcpListener::bind("127.0.0.1:0").await.map_err(|error| error.to_string().into())
}

fn local(listener: &TcpListener) -> Result<SocketAddr, Box<str>> {
    listener.local_addr().map_err(|error| error.to_string().into())
}

async fn start_kv() -> Result<(SocketAddr, MemoryStore), Box<str>> {
    let listener = bind().await?;
    let at = local(&listener)?;
    let server = KvServer::default();
    let store = server.store.clone();
    tokio::spawn(server.serve(listener));
    println!("  key-value stand-in on {at}");
    Ok((at, store))
}

async fn start_engines(count: usize) -> Result<Vec<(Vm, Engine)>, Box<str>> {
    let weights = WeightStore::new(WEIGHTS_BYTES_PER_SECOND);
    let mut engines = Vec::new();
    for index in 0..count {
        let name = format!("vm-{index}");
        let engine = Engine::start(bind().await?, EngineOptions::quick(&name), weights.clone());
        engines.push((Vm { name: name.into(), address: engine.address }, engine));
    }
    Ok(engines)
}

async fn start_daemon(node: &str, kv: SocketAddr) -> Result<SocketAddr, Box<str>> {
    let text = sample::settings(node, kv, &[], None);
    let settings = Settings::try_from(text.as_str()).map_err(|findings| findings.to_string())?;
    let kernel = daemon::run::kernel(settings, |line| ANNOUNCED.lock().push(line.to_owned()));
    tokio::spawn(kernel.run());
    let announced = async {
        loop {
            let found = ANNOUNCED.lock().iter().find_map(|line| caller_address(line, node));
            if let Some(at) = found {
                return at;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(START_TIMEOUT, announced).await;
    waited.map_err(|_| format!("daemon `{node}` did not start within {START_TIMEOUT:?}").into())
}

/// Returns the caller address in the JSON line that daemon `node` prints at its start.
fn caller_address(line: &str, node: &str) -> Option<SocketAddr> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    if line["node"] != node {
        return None;
    }
    let listening = line["listening"].as_array()?;
    let caller = listening.iter().find(|entry| entry["name"] == "caller")?;
    caller["address"].as_str()?.parse().ok()
}

async fn wait_serving(daemons: [SocketAddr; 2]) -> Result<(), Box<str>> {
    let client = Client::pooled(Duration::from_secs(1));
    let serving = async {
        for daemon in daemons {
            let first = TextCall::small("first", 0);
            while !caller::call(&client, daemon, &first).await.ended {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    let waited = tokio::time::timeout(START_TIMEOUT, serving).await;
    waited.map_err(|_| format!("no group served within {START_TIMEOUT:?}").into())
}

/// Sends the requests of one step and checks every answer.
async fn step(what: &str, daemons: [SocketAddr; 2], seed: u64) -> Result<(), Box<str>> {
    let client = Client::pooled(Duration::from_secs(1));
    let mut tasks = Vec::new();
    for index in 0..REQUESTS {
        let mut text = TextCall::small(&format!("race {index}"), seed + index);
        text.stream = index % 4 != 0;
        if index % 3 == 0 {
            text.key = sample::HARBOUR_KEY.into();
        }
        let client = client.clone();
        let daemon = daemons[usize::try_from(index % 2).unwrap_or(0)];
        tasks.push(tokio::spawn(async move {
            let answer = caller::call(&client, daemon, &text).await;
            (answer.verdict(&text), answer)
        }));
    }
    let mut right = 0;
    for task in tasks {
        let (verdict, answer) = task.await.map_err(|error| error.to_string())?;
        if verdict != Verdict::Right {
            return Err(format!("{what}: {verdict:?}: {answer:?}").into());
        }
        right += 1;
    }
    println!("  {what}: {right} of {REQUESTS} answers whole and right");
    Ok(())
}
