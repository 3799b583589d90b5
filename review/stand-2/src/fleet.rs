//! The processes of a case: those of the project, and the backend servers.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::json::object;

/// The program that the users deploy, as `deploy/system.toml` names it.
const PROGRAM: &str = "target/release/samphire-platform";

/// The ports that [`free_address`] chooses from: the system takes those of connections from above them.
const PORTS: std::ops::Range<u32> = 20_000..32_000;

/// Returns an address on which nothing listens, each time another one.
pub fn free_address() -> io::Result<SocketAddr> {
    static CHOSEN: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(101);
    loop {
        let number = first.wrapping_add(CHOSEN.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr();
        }
    }
}

/// A child process, which is killed when it is dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// One entry process of the project.
pub struct Entry {
    pub zone: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: Json,
    file: PathBuf,
    log: PathBuf,
    process: Process,
}

impl Entry {
    /// Starts it as the deploy file says, with settings as its template renders them.
    pub fn start(zone: &str, zones: &[&str], store: SocketAddr, dir: &Path) -> io::Result<Self> {
        let (callers, readiness) = (free_address()?, free_address()?);
        let name = format!("front-{zone}-1");
        let settings = object([
            ("node", name.as_str().into()),
            ("failure_domain", zone.into()),
            ("failure_domains", zones.to_vec().into()),
            ("callers", callers.to_string().into()),
            ("readiness", readiness.to_string().into()),
            ("peers", free_address()?.to_string().into()),
            ("metrics", free_address()?.to_string().into()),
            ("store", store.to_string().into()),
            ("first_start", true.into()),
            ("fencing", true.into()),
            (
                "retries",
                object([
                    ("ratio", 0.2.into()),
                    ("slack", 130_u64.into()),
                    ("window_ms", 10_000_u64.into()),
                ]),
            ),
            ("cores", 0.25.into()),
            ("link_mbps", 1000.0.into()),
            ("max_descriptors", 4_200_u64.into()),
            ("memory_mb", 260_u64.into()),
            ("config_ms", 2_000_u64.into()),
            ("stop_ms", 8_000_u64.into()),
            ("shortest_lease_ms", 1_000_u64.into()),
        ]);
        let (file, log) = (dir.join(format!("{name}.json")), dir.join(format!("{name}.log")));
        let process = Entry::spawn(&settings, &file, &log)?;
        Ok(Entry { zone: zone.into(), callers, readiness, settings, file, log, process })
    }

    fn spawn(settings: &Json, file: &Path, log: &Path) -> io::Result<Process> {
        std::fs::write(file, settings.to_string())?;
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(PROGRAM);
        let command = command.env("SAMPHIREPORT_NODE_FILE", file);
        command.stdin(Stdio::null()).stdout(log).spawn().map(Process)
    }

    /// Kills it.
    pub fn kill(&mut self) -> io::Result<()> {
        self.process.0.kill()
    }

    /// Starts it again. The system has started before.
    pub fn restart(&mut self) -> io::Result<()> {
        if let Json::Object(fields) = &mut self.settings {
            fields.insert("first_start".into(), false.into());
        }
        self.process = Entry::spawn(&self.settings, &self.file, &self.log)?;
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let asked = http::call(self.readiness, "GET", "/ready", &[], "", Duration::from_secs(1));
        asked.is_ok_and(|response| response.status == 200)
    }
}

/// A backend server, a process of this program.
pub struct Server {
    pub id: String,
    arguments: Vec<String>,
    process: Process,
    /// When it ended.
    ended_at: Option<Instant>,
}

impl Server {
    pub fn start(id: &str, arguments: Vec<String>) -> io::Result<Self> {
        let process = Server::spawn(&arguments)?;
        Ok(Server { id: id.into(), arguments, process, ended_at: None })
    }

    fn spawn(arguments: &[String]) -> io::Result<Process> {
        let program: PathBuf = std::env::current_exe()?;
        let null = (Stdio::null(), Stdio::null());
        let child = Command::new(program).args(arguments).stdin(null.0).stderr(null.1).spawn()?;
        Ok(Process(child))
    }

    /// Kills it.
    pub fn kill(&mut self) -> io::Result<()> {
        self.process.0.kill()
    }

    /// Starts it again if it ended `pause` ago; returns whether it did.
    pub fn restart_after(&mut self, pause: Duration) -> io::Result<bool> {
        if self.ended_at.is_none() && self.process.0.try_wait()?.is_some() {
            self.ended_at = Some(Instant::now());
        }
        if self.ended_at.is_none_or(|at| at.elapsed() < pause) {
            return Ok(false);
        }
        self.process = Server::spawn(&self.arguments)?;
        self.ended_at = None;
        Ok(true)
    }
}

/// Returns a configuration with one model service, in groups of `size`, and one resumable streaming route.
pub fn config(size: u64, load: Duration, warm: Duration, form: Duration) -> Json {
    let seconds = |time: Duration| Json::from(time.as_secs_f64());
    let route = object([
        ("name", "letters".into()),
        ("host", "club.example".into()),
        ("prefix", "/letters/".into()),
        ("kind", "streaming".into()),
        ("timeout_ms", 8_000_u64.into()),
        ("target_latency_ms", 300_u64.into()),
        ("priority", 1_u64.into()),
        ("service", "assistant".into()),
        ("max_attempts", 2_u64.into()),
        ("public", false.into()),
        ("session_affinity", true.into()),
        ("resumable", true.into()),
        ("gap_aim_ms", 300_u64.into()),
    ]);
    let model = object([
        ("name", "m0".into()),
        ("size", size.into()),
        ("share", 1.0.into()),
        ("pace", 1.0.into()),
        ("load_s", seconds(load)),
        ("warm_s", seconds(warm)),
    ]);
    let engine = object([
        ("slots", 26_u64.into()),
        ("kv_tokens", 1_590_000_u64.into()),
        ("stride", 7_u64.into()),
        ("models", vec![model].into()),
        ("step_ms", 5.95.into()),
        ("per_seq_ms", 0.0445.into()),
        ("context_per_k", 0.00813.into()),
        ("read_per_s", 50_700.0.into()),
        ("chunk", 2_048_u64.into()),
        ("report_lag_ms", 200.0.into()),
        ("loads_per_s", 4.5.into()),
        ("loads_at_once", 6_u64.into()),
        ("usual", object([("prompt", 1_115_u64.into()), ("answer", 178_u64.into())])),
        ("keeps", 1_u64.into()),
        ("form_ms", (form.as_secs_f64() * 1_000.0).into()),
    ]);
    let service = object([
        ("name", "assistant".into()),
        ("health_path", "/health".into()),
        ("max_connections", 464_u64.into()),
        ("engine", engine),
    ]);
    let tenant = object([("name", "north".into()), ("api_keys", vec!["key-1"].into())]);
    object([
        ("version", 7_u64.into()),
        ("routes", vec![route].into()),
        ("services", vec![service].into()),
        ("tenants", vec![tenant].into()),
        (
            "limits",
            object([
                ("max_header_bytes", 16_384_u64.into()),
                ("max_body_bytes", 4_194_304_u64.into()),
                ("header_timeout_ms", 3_000_u64.into()),
                ("idle_timeout_ms", 15_000_u64.into()),
            ]),
        ),
    ])
}
