//! An entry process, which is started again when it has ended.
//!
//! Limits: descriptors by the kernel's limit; memory by samples of its resident set, and SIGKILL above the
//! limit; processor time by SIGSTOP for a part of each period.

use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::net;
use crate::planned_work::GRACE_S;
use crate::world::{self, Recorder, Settings, World, CONT, KILL, STOP};

const SAMPLE_PAUSE: Duration = Duration::from_millis(20);
const RESTARTED_AFTER: Duration = Duration::from_millis(700);
/// Resource number of the limit on open descriptors (RLIMIT_NOFILE).
const DESCRIPTORS: i32 = 7;
/// Resource number of the limit on the address space (RLIMIT_AS).
const ADDRESS_SPACE: i32 = 9;
/// Resource number of the limit on the size of written files (RLIMIT_FSIZE).
const FILE_SIZE: i32 = 1;
/// Last lines of the log and the error output that are recorded when a process ends by itself.
const SHOWN_LINES: usize = 6;
/// Most bytes of a recorded line.
const SHOWN_BYTES: usize = 400;

extern "C" {
    fn setrlimit(resource: i32, limits: *const [u64; 2]) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// What a process may use, and is told that it may use.
#[derive(Clone, Debug)]
pub struct Limits {
    pub cores: f64,
    pub link_mbps: f64,
    /// No limit of its own if 0.
    pub descriptors: u64,
    /// No limit if 0.
    pub memory_mb: u64,
    /// The limit on the address space; none if 0.
    pub address_space_mb: u64,
    /// The limit on the size of the log; none if 0.
    pub log_kb: u64,
}

/// Processor time: the share of each period in which a process runs.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    pub period: Duration,
    pub share: f64,
    /// Whether the processes' periods begin at different times.
    pub is_spread: bool,
}

/// Something that happens to an entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    Started,
    Signaled,
    Ended,
}

/// An entry process.
pub struct Process {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub log: PathBuf,
    /// Whether it isn't started again.
    pub is_removed: AtomicBool,
    pub peak_kb: AtomicU64,
    /// What happened to it, and when, in seconds of the record.
    pub events: Mutex<Vec<(f64, ProcessEvent)>>,
    /// When it ended by itself, in seconds of the record.
    pub own_ends: Mutex<Vec<f64>>,
    metrics: SocketAddr,
    store: SocketAddr,
    domain: String,
    errors: PathBuf,
    settings: PathBuf,
    program: PathBuf,
    limits: Limits,
    record: Recorder,
    running: Mutex<Running>,
    is_over: AtomicBool,
    starts: AtomicU64,
}

#[derive(Default)]
struct Running {
    child: Option<Child>,
    /// Whether a signal of the case ends it.
    is_ended: bool,
    killed_at: Option<Instant>,
}

impl Process {
    pub fn new(world: &World, at: usize, domain: &str, store: SocketAddr, limits: &Limits) -> Self {
        let name = format!("front-{domain}-{at}");
        let file = |suffix| world.folder.join(format!("{name}{suffix}"));
        Process {
            callers: net::free_address(),
            readiness: net::free_address(),
            peers: net::free_address(),
            metrics: net::free_address(),
            store,
            domain: domain.into(),
            log: file(".log"),
            errors: file(".err"),
            settings: file(".json"),
            program: world.program.clone(),
            is_removed: AtomicBool::new(false),
            peak_kb: AtomicU64::new(0),
            events: Mutex::default(),
            own_ends: Mutex::default(),
            limits: limits.clone(),
            record: world.record.clone(),
            running: Mutex::default(),
            is_over: AtomicBool::new(false),
            starts: AtomicU64::new(0),
            name,
        }
    }

    /// Starts the process, and starts it again whenever it has ended.
    pub fn run(self: &Arc<Self>) {
        let process = self.clone();
        std::thread::spawn(move || {
            let mut first_start = true;
            while !process.is_over.load(Ordering::Relaxed) {
                process.spawn(first_start);
                process.watch();
                if process.is_removed.load(Ordering::Relaxed) {
                    return;
                }
                first_start = false;
                std::thread::sleep(RESTARTED_AFTER);
            }
        });
    }

    fn note(&self, event: ProcessEvent) {
        self.events.lock().unwrap().push((self.record.now(), event));
    }

    fn spawn(&self, first_start: bool) {
        self.note(ProcessEvent::Started);
        let settings = Settings {
            name: &self.name,
            domain: &self.domain,
            callers: self.callers,
            readiness: self.readiness,
            peers: self.peers,
            metrics: self.metrics,
            store: self.store,
            first_start,
            cores: self.limits.cores,
            link_mbps: self.limits.link_mbps,
            memory_mb: None,
        };
        std::fs::write(&self.settings, settings.to_text()).expect("settings can be written");
        if self.limits.log_kb > 0 {
            // Its limit holds for the log of each start.
            let starts = self.starts.fetch_add(1, Ordering::Relaxed);
            let _ = std::fs::rename(&self.log, self.log.with_extension(format!("{starts}.log")));
        }
        let open = |path| File::options().create(true).append(true).open(path).expect("a log");
        let mut command = Command::new(&self.program);
        command
            .env("SAMPHIREPORT_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(open(&self.log))
            .stderr(open(&self.errors));
        let limits = [
            (DESCRIPTORS, [self.limits.descriptors; 2]),
            (ADDRESS_SPACE, [self.limits.address_space_mb << 20; 2]),
            (FILE_SIZE, [self.limits.log_kb << 10; 2]),
        ];
        let prepare = move || {
            // The process ends with the thread that watches it (PR_SET_PDEATHSIG).
            let mut failed = unsafe { prctl(1, KILL as u64) };
            for (resource, limit) in limits.iter().filter(|(_, limit)| limit[0] > 0) {
                failed |= unsafe { setrlimit(*resource, limit) };
            }
            match failed {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            }
        };
        unsafe { command.pre_exec(prepare) };
        let mut running = self.running.lock().unwrap();
        // The case may have ended meanwhile.
        if !self.is_over.load(Ordering::Relaxed) {
            let child = Some(command.spawn().expect("the platform program starts"));
            *running = Running { child, ..Running::default() };
        }
    }

    /// Waits until the process has ended, and keeps it within its memory and its time to stop.
    fn watch(&self) {
        loop {
            std::thread::sleep(SAMPLE_PAUSE);
            let mut running = self.running.lock().unwrap();
            let Some(child) = &mut running.child else { return };
            let id = child.id() as i32;
            if let Ok(Some(status)) = child.try_wait() {
                running.child = None;
                self.note(ProcessEvent::Ended);
                if !running.is_ended {
                    self.record_own_end(status);
                }
                return;
            }
            let resident_kb = resident_kb(id);
            self.peak_kb.fetch_max(resident_kb, Ordering::Relaxed);
            if self.limits.memory_mb > 0 && resident_kb > self.limits.memory_mb << 10 {
                self.record.write(&format!("{} has {resident_kb} KB: SIGKILL", self.name));
                world::send_signal(id, KILL);
            }
            if running.killed_at.is_some_and(|at| Instant::now() >= at) {
                self.record.write(&format!("{} still runs after its time to stop", self.name));
                running.killed_at = None;
                world::send_signal(id, KILL);
            }
        }
    }

    fn record_own_end(&self, status: std::process::ExitStatus) {
        self.own_ends.lock().unwrap().push(self.record.now());
        let (code, signal) = (status.code(), status.signal());
        let name = &self.name;
        self.record
            .write(&format!("{name} ended by itself: exit code {code:?}, signal {signal:?}"));
        for path in [&self.log, &self.errors] {
            let text = std::fs::read(path).unwrap_or_default();
            let text = String::from_utf8_lossy(&text).into_owned();
            let lines: Vec<&str> = text.lines().collect();
            for line in &lines[lines.len().saturating_sub(SHOWN_LINES)..] {
                let line: String = line.chars().take(SHOWN_BYTES).collect();
                self.record.write(&format!("    {line}"));
            }
        }
    }

    /// Returns the lines of the error output, such as those of panics.
    pub fn error_lines(&self) -> Vec<String> {
        let text = std::fs::read(&self.errors).unwrap_or_default();
        String::from_utf8_lossy(&text).lines().map(str::to_owned).collect()
    }

    /// Sends a signal that doesn't end the process, or one that ends it at once.
    pub fn signal(&self, signal: i32, name: &str) {
        self.record.write(&format!("{} gets {name}", self.name));
        self.note(ProcessEvent::Signaled);
        let mut running = self.running.lock().unwrap();
        running.is_ended |= signal == KILL;
        if let Some(child) = &running.child {
            world::send_signal(child.id() as i32, signal);
        }
    }

    /// Stops the process: it gets SIGKILL if it still runs after its time to stop.
    pub fn stop(&self, signal: i32) {
        self.signal(signal, "the signal to stop");
        let mut running = self.running.lock().unwrap();
        running.is_ended = true;
        running.killed_at = Some(Instant::now() + Duration::from_secs_f64(GRACE_S));
    }

    /// Ends the process for good.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.signal(KILL, "SIGKILL at the end of the case");
    }

    /// Lets the process run only for its share of processor time, until the returned value is dropped.
    pub fn limit_time(self: &Arc<Self>, quota: Quota, at: usize, count: usize) -> TimeLimit {
        let process = self.clone();
        let is_over = Arc::new(AtomicBool::new(false));
        let over = is_over.clone();
        let thread = std::thread::spawn(move || {
            if quota.is_spread {
                std::thread::sleep(quota.period.mul_f64(at as f64 / count as f64));
            }
            while !over.load(Ordering::Relaxed) {
                process.send(CONT);
                std::thread::sleep(quota.period.mul_f64(quota.share));
                process.send(STOP);
                std::thread::sleep(quota.period.mul_f64(1.0 - quota.share));
            }
            process.send(CONT);
        });
        TimeLimit(is_over, Some(thread))
    }

    fn send(&self, signal: i32) {
        if let Some(child) = &self.running.lock().unwrap().child {
            world::send_signal(child.id() as i32, signal);
        }
    }
}

/// Limits a process's processor time; dropping it ends the limit.
pub struct TimeLimit(Arc<AtomicBool>, Option<JoinHandle<()>>);

impl Drop for TimeLimit {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        if let Some(thread) = self.1.take() {
            let _ = thread.join();
        }
    }
}

/// Returns the resident set of a process, in KB; 0 if it has ended.
fn resident_kb(id: i32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
