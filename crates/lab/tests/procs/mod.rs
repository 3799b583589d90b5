//! Runs stand-ins and daemons as separate processes for end-to-end tests.
//!
//! All processes are killed when their handles are dropped.
#![allow(dead_code, unreachable_pub)]

pub mod proxy;

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use http::HeaderValue;
use http::Method;
use lab::caller::Answer;
use lab::caller::TextCall;
use lab::sample;
use lab::sample::Vm;
use serde_json::Value;
use tokio::task::JoinHandle;
use web::client::Call;
use web::prelude::Client;

/// Timeout of a condition that must become true; far longer than it takes, even on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A running process.
pub struct Proc {
    child: Child,
    listening: Vec<(String, SocketAddr)>,
    settings: Option<PathBuf>,
}

/// Returns the path of a program of this workspace.
pub fn program(name: &str) -> PathBuf {
    let lab = PathBuf::from(env!("CARGO_BIN_EXE_samphire-lab"));
    let path = lab.with_file_name(name);
    assert!(path.exists(), "{name} is not built; run: cargo build --workspace --bins");
    path
}

impl Proc {
    /// Starts a program and reads its addresses from the first `lines` lines of its output.
    pub fn start(command: &mut Command, lines: usize) -> Proc {
        let mut child = command.stdout(Stdio::piped()).spawn().expect("the program starts");
        let mut out = BufReader::new(child.stdout.take().expect("it was piped"));
        let mut listening = Vec::new();
        for _ in 0..lines {
            let mut line = String::new();
            out.read_line(&mut line).expect("the program prints its addresses");
            let value: Value = serde_json::from_str(&line).expect("the line is JSON");
            for entry in value["listening"].as_array().expect("a list") {
                let name = entry["name"].as_str().unwrap().to_owned();
                listening.push((name, entry["address"].as_str().unwrap().parse().unwrap()));
            }
        }
        Proc { child, listening, settings: None }
    }

    /// Starts a stand-in.
    pub fn stand_in(args: &[&str], lines: usize) -> Proc {
        let mut command = Command::new(program("samphire-lab"));
        Proc::start(command.arg("stand-in").args(args), lines)
    }

    /// Starts a daemon with `settings`, given as JSON text.
    pub fn daemon(settings: &str) -> Proc {
        let name = format!("samphired-{}-{:x}.json", std::process::id(), base::ids::random_id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings).unwrap();
        let mut command = Command::new(program("samphired"));
        let mut proc = Proc::start(command.arg("--settings").arg(&path), 1);
        proc.settings = Some(path);
        proc
    }

    /// Returns the address of the listener `name`.
    pub fn at(&self, name: &str) -> SocketAddr {
        let found = self.listening.iter().find(|(listening, _)| listening == name);
        found.unwrap_or_else(|| panic!("nothing named {name} listens")).1
    }

    /// Returns the id of the process.
    pub fn id(&self) -> i32 {
        i32::try_from(self.child.id()).expect("process ids are positive")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &id]).status().unwrap();
        assert!(sent.success(), "signal {signal} to {id}");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits and returns its exit code.
    pub async fn wait(&mut self) -> Option<i32> {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(tokio::time::Instant::now() < deadline, "the process did not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        self.kill();
        if let Some(path) = &self.settings {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// Stand-ins with the sample deployment, and daemons.
pub struct Deployment {
    pub kv: Proc,
    pub plain: Proc,
    pub vm_list: Proc,
    pub engines: Vec<Proc>,
    pub vms: Vec<Vm>,
    pub daemons: Vec<Proc>,
}

impl Deployment {
    /// Starts the stand-ins with `vms` engines, and `daemons` daemons, and waits until each daemon
    /// serves a request.
    pub async fn start(vms: usize, daemons: usize, engine_args: &[&str]) -> Deployment {
        let kv = Proc::stand_in(&["kv"], 2);
        let plain = Proc::stand_in(&["plain"], 1);
        let vm_list = Proc::stand_in(&["vms"], 1);
        let mut deployment =
            Deployment { kv, plain, vm_list, engines: vec![], vms: vec![], daemons: vec![] };
        for index in 0..vms {
            let name = format!("vm-{index}");
            let args: Vec<&str> =
                ["engine", "--vm", &name].iter().chain(engine_args).copied().collect();
            let engine = Proc::stand_in(&args, 1);
            let address = engine.at("engine");
            deployment.vms.push(Vm { name: name.into(), address });
            deployment.engines.push(engine);
        }
        deployment.seed().await;
        for index in 0..daemons {
            deployment.start_daemon(&format!("node-{index}"));
        }
        deployment.wait_serving().await;
        deployment
    }

    async fn seed(&self) {
        let mut records = sample::fabric_records(&self.vms);
        sample::assign_engines(&self.vms, &mut records).await.unwrap();
        let catalog = sample::catalog(&self.vms, vec![self.plain.at("plain")]);
        sample::seed(&self.store(), &catalog, &records).await.unwrap();
    }

    /// Returns a connection to the key-value stand-in.
    pub fn store(&self) -> kv::etcd::EtcdStore {
        Deployment::store_at(self.kv.at("kv"))
    }

    /// Returns a connection to the key-value stand-in at `address`.
    pub fn store_at(address: SocketAddr) -> kv::etcd::EtcdStore {
        let endpoint = format!("http://{address}").into();
        kv::etcd::EtcdStore::new(kv::etcd::EtcdSettings::new(vec![endpoint])).unwrap()
    }

    /// Starts one more daemon, which joins the first one's membership.
    pub fn start_daemon(&mut self, node: &str) {
        let gossip = |proc: &Proc| {
            proc.listening.iter().find(|(name, _)| name == "gossip").map(|(_, at)| *at)
        };
        let seeds: Vec<SocketAddr> = self.daemons.iter().filter_map(gossip).collect();
        let vm_list = Some(self.vm_list.at("vms"));
        let settings = sample::settings(node, self.kv.at("kv"), &seeds, vm_list);
        self.daemons.push(Proc::daemon(&settings));
    }

    /// Returns the caller address of each daemon.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.at("caller")).collect()
    }

    async fn wait_serving(&self) {
        for at in self.callers() {
            wait_serving(at).await;
        }
    }
}

/// Waits until the daemon with this caller address serves a request.
pub async fn wait_serving(caller: SocketAddr) {
    let client = Client::pooled(Duration::from_secs(5));
    wait_until("a daemon serves", || async {
        let first = TextCall::small("first", 0);
        lab::caller::call(&client, caller, &first).await.ended
    })
    .await;
}

/// Sends one request to the operator API as an operator; returns status and JSON body.
pub async fn operate(
    operator: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> (u16, Value) {
    let mut call = Call::new(method, path);
    let bearer = format!("Bearer {}", sample::OPERATOR_TOKEN);
    call.headers.insert("authorization", HeaderValue::from_str(&bearer).unwrap());
    call.body = body.map(Value::to_string).unwrap_or_default().into();
    let client = Client::unpooled(WAIT_TIMEOUT);
    let response = client.send(operator, call, WAIT_TIMEOUT).await.unwrap();
    let status = response.status().as_u16();
    let bytes = web::body::read(response.into_body(), 64 << 20).await.unwrap();
    (status, serde_json::from_slice(&bytes).unwrap_or(Value::Null))
}

/// Applies a brand through a daemon, and retries until the daemon accepts it.
pub async fn apply_brand(operator: SocketAddr, name: &str) {
    let manifest = serde_json::json!({
        "kind": "brand",
        "name": name,
        "spec": {"display_name": name},
    });
    let path = format!("/api/v1/brand/{name}");
    wait_until("the brand is accepted", || async {
        operate(operator, Method::PUT, &path, Some(&manifest)).await.0 == 200
    })
    .await;
}

/// Returns whether a brand is in a daemon's active catalog.
pub async fn has_brand(operator: SocketAddr, name: &str) -> bool {
    operate(operator, Method::GET, &format!("/api/v1/brand/{name}"), None).await.0 == 200
}

/// Waits until `holds` returns true; fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(tokio::time::Instant::now() < deadline, "timeout waiting until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts a streamed call and returns once its first piece has arrived.
pub async fn start_stream(at: SocketAddr, call: &TextCall) -> JoinHandle<Answer> {
    let (tx, mut rx) = tokio::sync::watch::channel(0);
    let call = call.clone();
    let task = tokio::spawn(async move {
        let note = |answer: &Answer| {
            tx.send_replace(answer.text.len());
            false
        };
        lab::caller::call_with(&Client::pooled(WAIT_TIMEOUT), at, &call, None, note).await
    });
    rx.wait_for(|arrived| *arrived > 0).await.expect("the first piece arrives");
    task
}
