//! Starts the store, replicas and the project's own program as the deploy file does, and ends all that it started.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

pub const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn note(&self, who: &str, what: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {who}: {what}\n");
        let _ = self.file.lock().expect("the lock").write_all(line.as_bytes());
    }
}

pub struct Front {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    pub process: Child,
}

pub struct ReplicaProcess {
    pub id: String,
    pub address: SocketAddr,
    pub process: Child,
}

pub struct Fleet {
    pub store: Store,
    pub record: Record,
    pub fronts: Vec<Front>,
    pub replicas: Vec<ReplicaProcess>,
    folder: PathBuf,
}

/// Returns a port that nothing listens on, and that is returned once: below the range from which the system takes ports by
/// itself, and from another place in it for each script that runs at the same time.
pub fn free_port() -> u16 {
    static CHOSEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id()
            .wrapping_mul(211)
            .wrapping_add(CHOSEN.fetch_add(1, Ordering::Relaxed));
        let port = 12_000 + (number % 7_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub fn signal(process: &Child, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(process.id().to_string()).status();
}

impl Fleet {
    pub fn start(record: &str) -> Fleet {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Fleet {
            store: Store::start(),
            record: Record::new(record),
            fronts: Vec::new(),
            replicas: Vec::new(),
            folder,
        }
    }

    pub fn add_replica(&mut self, id: &str, service: &str, zone: &str, port: u16) {
        let store = self.store.address.to_string();
        self.add(id, &["replica", id, service, zone, &store, &port.to_string()]);
    }

    /// Adds a model replica with the models `staged` on its host.
    pub fn add_engine(&mut self, id: &str, service: &str, zone: &str, domain: &str, staged: &str) {
        let store = self.store.address.to_string();
        self.add(id, &["engine", id, service, zone, &store, domain, staged]);
    }

    fn add(&mut self, id: &str, args: &[&str]) {
        let program = std::env::current_exe().expect("this program");
        let mut process = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a replica starts");
        let mut lines = BufReader::new(process.stdout.take().expect("its output"));
        let mut first = String::new();
        lines.read_line(&mut first).expect("its first line");
        let address = first.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
        let (record, name) = (self.record.clone(), id.to_owned());
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                record.note(&name, &line);
            }
            record.note(&name, "has ended");
        });
        let address = address.expect("its address");
        self.replicas.push(ReplicaProcess { id: id.to_owned(), address, process });
    }

    /// Starts a front with the command of the deploy file and settings as its template renders them.
    pub fn add_front(&mut self, zone: &str) {
        self.add_front_at(zone, self.store.address);
    }

    /// Does that for a front that reaches the store at `store`.
    pub fn add_front_at(&mut self, zone: &str, store: SocketAddr) {
        let n = self.fronts.len() + 1;
        let name = format!("front-{zone}-{n}");
        let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (callers, readiness, peers, metrics) = (address(), address(), address(), address());
        let zones = ZONES.map(|zone| format!("\"{zone}\"")).join(",");
        let settings = format!(
            "{{\"node\":\"{name}\",\"failure_domain\":\"{zone}\",\"failure_domains\":[{zones}],\
             \"callers\":\"{callers}\",\"readiness\":\"{readiness}\",\"peers\":\"{peers}\",\
             \"metrics\":\"{metrics}\",\"store\":\"{}\",\"first_start\":true,\"fencing\":true,\
             \"retries\":{{\"ratio\":0.2,\"slack\":130,\"window_ms\":10000}},\"cores\":0.25,\
             \"link_mbps\":1000.0,\"max_descriptors\":4200,\"memory_mb\":260,\"config_ms\":2000,\
             \"stop_ms\":8000,\"shortest_lease_ms\":1000}}",
            store
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings can be written");
        let process = start_front(&path, &self.folder.join(format!("{name}.log")));
        self.fronts.push(Front { name, callers, readiness, settings: path, process });
    }

    /// Starts a front again that has ended.
    pub fn restart_front(&mut self, i: usize) {
        let log = self.folder.join(format!("{}.{}.log", self.fronts[i].name, free_port()));
        let path = &self.fronts[i].settings;
        // Only the first start of the whole system is one.
        let settings = fs::read_to_string(path).expect("its settings");
        let settings = settings.replace("\"first_start\":true", "\"first_start\":false");
        fs::write(path, settings).expect("the settings can be written");
        self.fronts[i].process = start_front(&self.fronts[i].settings, &log);
    }

    /// Waits until all fronts are ready; returns whether they are.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let is_ready = |front: &Front| {
                let headers = [("Host", "front")];
                let time = Duration::from_secs(1);
                http::send(front.readiness, "GET", "/ready", &headers, b"", time).status == 200
            };
            if self.fronts.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

fn start_front(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = File::create(log).expect("the log can be written");
    let errors = log.try_clone().expect("the log");
    Command::new("target/release/samphire-platform")
        .env("SAMPHIREPORT_NODE_FILE", settings)
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("a front starts")
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for front in &mut self.fronts {
            let _ = front.process.kill();
            let _ = front.process.wait();
        }
        for replica in &mut self.replicas {
            let _ = replica.process.kill();
            let _ = replica.process.wait();
        }
        match std::env::var("KEEP_LOGS") {
            Ok(_) => eprintln!("logs: {}", self.folder.display()),
            Err(_) => {
                let _ = fs::remove_dir_all(&self.folder);
            }
        }
    }
}
