//! The processes, servers and clients of a case, and its record.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{self, Handler, Message};
use crate::store::Store;

pub const HUP: i32 = 1;
pub const KILL: i32 = 9;
pub const TERM: i32 = 15;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, address: *const u8, len: u32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Recorder {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Recorder {
    pub fn new(path: &std::path::Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Recorder { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// What a case needs. Dropping it ends the processes that it started.
pub struct World {
    pub record: Recorder,
    pub store: Store,
    pub trouble: bool,
    /// What entry processes may hold in memory, if their settings say it.
    pub memory_mb: Option<f64>,
    pub program: PathBuf,
    /// Where the settings and logs of the processes are.
    pub folder: PathBuf,
    entries: Vec<Entry>,
}

/// An entry process.
pub struct Entry {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub log: PathBuf,
    child: Child,
}

/// The settings of an entry process, as `deploy/settings.json.tmpl` gives them.
pub struct Settings<'a> {
    pub name: &'a str,
    pub domain: &'a str,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    pub store: SocketAddr,
    pub first_start: bool,
    pub cores: f64,
    pub link_mbps: f64,
    /// For programs that know it.
    pub memory_mb: Option<f64>,
}

impl Settings<'_> {
    pub fn to_text(&self) -> String {
        let Settings { name, domain, callers, readiness, peers, metrics, store, .. } = self;
        let Settings { first_start, cores, link_mbps, .. } = self;
        let memory = self.memory_mb.map(|mb| format!("\"memory_mb\":{mb:?},")).unwrap_or_default();
        format!(
            "{{\"node\":\"{name}\",\"failure_domain\":\"{domain}\",\"callers\":\"{callers}\",\
             \"readiness\":\"{readiness}\",\"peers\":\"{peers}\",\"metrics\":\"{metrics}\",\
             \"store\":\"{store}\",\"first_start\":{first_start},\"fencing\":true,\
             \"retries\":{{\"ratio\":0.2,\"slack\":130,\"window_ms\":10000}},\
             \"cores\":{cores:?},\"link_mbps\":{link_mbps:?},{memory}\"stop_ms\":8000,\
             \"shortest_lease_ms\":1000}}\n"
        )
    }
}

/// Sends a signal to a process that this one has started and not yet waited for.
pub fn send_signal(process: i32, signal: i32) {
    unsafe { kill(process, signal) };
}

impl World {
    pub fn new(program: PathBuf, folder: PathBuf, record: Recorder, trouble: bool) -> Self {
        let (store, entries) = (Store::start(), Vec::new());
        World { record, store, trouble, memory_mb: None, program, folder, entries }
    }

    /// Starts an entry process in a zone; `deploy/settings.json.tmpl` gives the settings.
    pub fn start_entry(&mut self, zone: &str) -> usize {
        let at = self.entries.len();
        let (callers, readiness) = (net::free_address(), net::free_address());
        let (peers, metrics) = (net::free_address(), net::free_address());
        let name = format!("front-{zone}-{at}");
        let store = self.store.address;
        let settings = Settings {
            name: &name,
            domain: zone,
            callers,
            readiness,
            peers,
            metrics,
            store,
            first_start: true,
            cores: 0.25,
            link_mbps: 1_000.0,
            memory_mb: self.memory_mb,
        };
        let path = self.folder.join(format!("settings-{at}.json"));
        std::fs::write(&path, settings.to_text()).expect("settings can be written");
        let child = self.spawn(&path, &name);
        let log = self.folder.join(format!("{name}.log"));
        self.entries.push(Entry { callers, readiness, peers, log, child });
        at
    }

    fn spawn(&self, settings: &PathBuf, name: &str) -> Child {
        let path = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(path).expect("a log");
        let mut command = Command::new(&self.program);
        command
            .env("SAMPHIREPORT_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log);
        // The process ends with the script, however that ends (PR_SET_PDEATHSIG).
        let ends_with_script = || match unsafe { prctl(1, KILL as u64) } {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        };
        unsafe { command.pre_exec(ends_with_script) };
        command.spawn().expect("the platform program starts")
    }

    pub fn entry(&self, at: usize) -> &Entry {
        &self.entries[at]
    }

    pub fn signal(&self, at: usize, signal: i32, name: &str) {
        self.record.write(&format!("entry process {at} gets {name}"));
        unsafe { kill(self.entries[at].child.id() as i32, signal) };
    }

    /// Returns the id of an entry process.
    pub fn process_id(&self, at: usize) -> i32 {
        self.entries[at].child.id() as i32
    }

    /// Waits until an entry process is ready and serves a request; returns whether it does.
    pub fn wait_until_ready(&self, at: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let answer = exchange(self.entries[at].readiness, "GET /ready", &[], b"");
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            let _ = entry.child.kill();
            let _ = entry.child.wait();
        }
    }
}

/// Lets processes run only at the start of each period, as a quota of processor time does, until the
/// returned value is dropped.
pub struct Quota(Arc<AtomicBool>, Option<std::thread::JoinHandle<()>>);

impl Quota {
    /// `processes` must be children of this process that haven't been waited for.
    pub fn start(processes: Vec<i32>, period: Duration, share: f64) -> Quota {
        let is_over = Arc::new(AtomicBool::new(false));
        let over = is_over.clone();
        let send = move |signal| {
            for process in &processes {
                unsafe { kill(*process, signal) };
            }
        };
        let thread = std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                send(CONT);
                std::thread::sleep(period.mul_f64(share));
                send(STOP);
                std::thread::sleep(period.mul_f64(1.0 - share));
            }
            send(CONT);
        });
        Quota(is_over, Some(thread))
    }
}

impl Drop for Quota {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        if let Some(thread) = self.1.take() {
            let _ = thread.join();
        }
    }
}

/// Sends one request on a connection of its own, and reads the answer.
pub fn exchange(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    send(&mut stream, line, headers, body)?;
    let mut reader = BufReader::new(stream);
    let head = net::read_head(&mut reader)?;
    let mut answer = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    net::read_body(&mut reader, &mut answer, true)?;
    Ok(answer)
}

/// Writes a request.
pub fn send(
    stream: &mut TcpStream,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !line.starts_with("GET") {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Connects as a client with a small receive buffer on a link with packets of 1,460 bytes.
pub fn connect_narrow(address: SocketAddr) -> std::io::Result<TcpStream> {
    let SocketAddr::V4(v4) = address else { return Err(std::io::ErrorKind::Unsupported.into()) };
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let (receive, segment) = (16 << 10, 1_460);
        setsockopt(fd, 1, 8, &receive, 4); // SOL_SOCKET, SO_RCVBUF
        setsockopt(fd, 6, 2, &segment, 4); // IPPROTO_TCP, TCP_MAXSEG
        let mut raw = [0_u8; 16];
        raw[..2].copy_from_slice(&2_u16.to_ne_bytes());
        raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
        raw[4..8].copy_from_slice(&v4.ip().octets());
        if connect(fd, raw.as_ptr(), 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// How a plain server answers a request that it runs: returns false to break the connection off.
pub type Run = Arc<dyn Fn(&Server, &Message, &mut TcpStream) -> bool + Send + Sync>;

/// A server of a plain service. Clones are the same server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub born: u64,
    pub record: Recorder,
    /// How often each request has run.
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl Server {
    /// Starts a server, which writes its entry in the store every 1.2 s.
    pub fn start(store: &Store, record: &Recorder, service: &str, id: &str, run: Run) -> Server {
        let (listener, address) = net::listener();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        let server = Server {
            id: id.into(),
            address,
            service: service.into(),
            born: since.as_millis() as u64,
            record: record.clone(),
            runs: Arc::default(),
        };
        let (served, reporting, store) = (server.clone(), server.clone(), store.clone());
        let handler: Handler = Arc::new(move |request, stream| {
            let expected = request.header("x-samphireport-expect-instance");
            if expected.is_some_and(|expected| expected != served.id) {
                let headers = [("X-Samphireport-Replica-Id", served.id.as_str())];
                return net::respond(stream, "421 Misdirected Request", &headers, b"").is_ok();
            }
            if request.path() == "/health" {
                let headers = [("X-Samphireport-Replica-Id", served.id.as_str())];
                return net::respond(stream, "200 OK", &headers, b"").is_ok();
            }
            let id = request.header("x-samphireport-attempt-id").unwrap_or("").to_owned();
            *served.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            served.record.write(&format!("{} runs {id}", served.id));
            run(&served, &request, stream)
        });
        net::serve(listener, handler);
        std::thread::spawn(move || loop {
            reporting.report(&store);
            std::thread::sleep(Duration::from_millis(1_200));
        });
        server
    }

    /// Writes its entry.
    fn report(&self, store: &Store) {
        let Server { id, address, service, born, .. } = self;
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\
                 \"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"warmup_left_ms\":0,\
                 \"sequence\":0,\"born\":{born}}}"
            ),
        );
    }

    /// Answers with success, as a sound server does.
    pub fn succeed(&self, request: &Message, stream: &mut TcpStream, body: &[u8]) -> bool {
        let id = request.header("x-samphireport-attempt-id").unwrap_or("");
        let signature = format!("sig.{}.{id}", self.id);
        let headers = [
            ("X-Samphireport-Attempt-Id", id),
            ("X-Samphireport-Response-Signature", signature.as_str()),
        ];
        net::respond(stream, "200 OK", &headers, body).is_ok()
    }

    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.lock().unwrap().clone()
    }
}
