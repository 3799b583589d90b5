//! The clients, which check each answer: whole, each event once and in order, ended properly.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use super::plan::Plan;
use super::script::{event, Numbers, Script};
use crate::engine::MODEL;
use crate::net;
use crate::world::Recorder;

/// Clients leave after so long a silence.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time after SIGTERM for which new connections still come to a process, in seconds.
const ROTATION_LAG_S: f64 = 2.0;
const SLOW_ANSWER_BYTES: (u64, u64) = (1_800_000, 3_000_000);
const SLOW_READ_MS: u64 = 4_500;
const SLOW_BODY_PARTS: u64 = 20;

/// How a request ended at its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Whole,
    /// A complete answer that is no success.
    Answered(u16),
    /// The connection ended without a complete answer.
    Closed(String),
    /// The client left after a silence.
    GaveUp,
    /// The answer isn't what the server made.
    Wrong(String),
}

/// A request at its client. Times are in seconds of the record.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub entry: usize,
    /// How many requests the connection had carried before.
    pub earlier: u32,
    pub script: Script,
    /// When its last byte was sent.
    pub sent: f64,
    pub ended: f64,
    pub events: u32,
    pub last_data: f64,
    pub end: End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Kept,
    New,
    Plain,
    SlowReader,
    SlowSender,
}

/// All clients.
pub struct Crowd {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    plan: Arc<Plan>,
    addresses: Vec<SocketAddr>,
    record: Recorder,
    stopped: Mutex<Vec<Option<f64>>>,
    is_over: AtomicBool,
    /// How many connections couldn't be made.
    refused: AtomicU64,
    outcomes: Mutex<Vec<Outcome>>,
}

impl Crowd {
    pub fn start(plan: &Arc<Plan>, addresses: Vec<SocketAddr>, record: &Recorder) -> Self {
        let shared = Arc::new(Shared {
            plan: plan.clone(),
            stopped: Mutex::new(vec![None; addresses.len()]),
            addresses,
            record: record.clone(),
            is_over: AtomicBool::new(false),
            refused: AtomicU64::new(0),
            outcomes: Mutex::default(),
        });
        let kinds = [
            (Kind::Kept, plan.kept),
            (Kind::New, plan.new),
            (Kind::Plain, plan.plain),
            (Kind::SlowReader, plan.slow_readers),
            (Kind::SlowSender, plan.slow_senders),
        ];
        let kinds = kinds.iter().flat_map(|(kind, count)| (0..*count).map(|_| *kind));
        let threads = kinds.enumerate().map(|(number, kind)| {
            let shared = shared.clone();
            std::thread::spawn(move || Client::new(shared, number as u64, kind).run())
        });
        Crowd { threads: threads.collect(), shared }
    }

    /// A process gets SIGTERM at `at`: new connections go elsewhere soon.
    pub fn stops(&self, entry: usize, at: f64) {
        self.shared.stopped.lock().unwrap()[entry] = Some(at);
    }

    /// New connections come to a process again.
    pub fn returns(&self, entry: usize) {
        self.shared.stopped.lock().unwrap()[entry] = None;
    }

    /// New connections come to a process again once it must have been started anew.
    pub fn returns_after_stop(&self, entry: usize) {
        let shared = self.shared.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs_f64(super::GRACE_S + ROTATION_LAG_S));
            shared.stopped.lock().unwrap()[entry] = None;
        });
    }

    /// Returns how many connections couldn't be made.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Lets all clients finish.
    pub fn end(self) -> Vec<Outcome> {
        self.shared.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut *self.shared.outcomes.lock().unwrap())
    }
}

struct Connection {
    entry: usize,
    reader: BufReader<TcpStream>,
    carried: u32,
}

struct Client {
    shared: Arc<Shared>,
    number: u64,
    kind: Kind,
    numbers: Numbers,
    connection: Option<Connection>,
}

/// What has arrived of an answer.
#[derive(Default)]
struct Progress {
    events: u32,
    last_data: f64,
    closes: bool,
}

impl Client {
    fn new(shared: Arc<Shared>, number: u64, kind: Kind) -> Self {
        let numbers = Numbers::new(shared.plan.seed, number);
        Client { shared, number, kind, numbers, connection: None }
    }

    fn run(mut self) {
        let mut count = 0;
        while !self.shared.is_over.load(Ordering::Relaxed) {
            count += 1;
            if self.request(count).is_none() {
                std::thread::sleep(Duration::from_millis(20));
            }
            let think = self.numbers.within(self.shared.plan.think_ms);
            std::thread::sleep(Duration::from_millis(think));
        }
    }

    /// Sends one request; `None` if it couldn't be sent.
    fn request(&mut self, count: u32) -> Option<()> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect()?,
        };
        let (path, script) = self.next_request();
        let id = format!("c{:03}{count:05}s{:03}", self.number, self.shared.plan.seed % 1_000);
        let written = self.write(&mut connection, &path, &id, script);
        let sent = self.shared.record.now();
        let mut progress = Progress { last_data: sent, ..Progress::default() };
        let end = match written {
            // The process may have answered or closed before it had read the whole request.
            Err(_) => return None,
            Ok(()) => self.read(&mut connection, script, &mut progress),
        };
        let whole = matches!(end, End::Whole | End::Answered(_));
        let outcome = Outcome {
            id,
            entry: connection.entry,
            earlier: connection.carried,
            script,
            sent,
            ended: self.shared.record.now(),
            events: progress.events,
            last_data: progress.last_data,
            end,
        };
        self.shared.outcomes.lock().unwrap().push(outcome);
        if whole && !progress.closes && self.kind != Kind::New {
            connection.carried += 1;
            self.connection = Some(connection);
        }
        Some(())
    }

    fn next_request(&mut self) -> (String, Script) {
        let numbers = &mut self.numbers;
        let route = if numbers.next().is_multiple_of(2) { "orders" } else { "sheets" };
        let plain = |pause_ms, bytes| Script { pause_ms, bytes, ..Script::default() };
        match self.kind {
            Kind::Kept | Kind::New => {
                (format!("/letters/{}", self.number), self.shared.plan.stream(numbers))
            }
            // Safe requests that take longer than twice their latency target are repeated elsewhere.
            Kind::Plain => {
                (format!("/{route}/{}", self.number), plain(numbers.within((5, 400)), 400))
            }
            Kind::SlowReader => {
                let bytes = numbers.within(SLOW_ANSWER_BYTES) as usize;
                (format!("/orders/{}", self.number), plain(5, bytes))
            }
            Kind::SlowSender => (format!("/orders/{}", self.number), plain(20, 400)),
        }
    }

    fn connect(&mut self) -> Option<Connection> {
        let now = self.shared.record.now();
        let stopped = self.shared.stopped.lock().unwrap().clone();
        let open: Vec<usize> = (0..stopped.len())
            .filter(|at| stopped[*at].is_none_or(|stopped| now < stopped + ROTATION_LAG_S))
            .collect();
        let open = if open.is_empty() { (0..stopped.len()).collect() } else { open };
        let entry = open[self.numbers.next() as usize % open.len()];
        let address = self.shared.addresses[entry];
        let stream = match self.kind {
            Kind::SlowReader => crate::world::connect_narrow(address),
            _ => TcpStream::connect_timeout(&address, Duration::from_secs(1)),
        };
        if stream.is_err() {
            self.shared.refused.fetch_add(1, Ordering::Relaxed);
        }
        let stream = stream.ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        Some(Connection { entry, reader: BufReader::new(stream), carried: 0 })
    }

    fn write(
        &mut self,
        connection: &mut Connection,
        path: &str,
        id: &str,
        script: Script,
    ) -> std::io::Result<()> {
        let mut body = script.to_text().into_bytes();
        let is_slow = self.kind == Kind::SlowSender;
        let is_stream = path.starts_with("/letters/");
        let in_chunks =
            self.shared.plan.has_chunks && is_stream && self.numbers.next().is_multiple_of(2);
        if is_slow {
            body.resize(200_000, b' ');
        }
        let mut head = format!(
            "POST {path} HTTP/1.1\r\nHost: club.example\r\nAuthorization: Bearer key-1\r\n\
             X-Samphireport-Attempt-Id: {id}\r\nX-Samphireport-Deadline-Ms: 8000\r\n{}\r\n",
            match in_chunks {
                true => "Transfer-Encoding: chunked".to_owned(),
                false => format!("Content-Length: {}", body.len()),
            }
        );
        if is_stream {
            let own_part = self.numbers.next() & 0xff_ffff;
            head.push_str(&format!(
                "X-Samphireport-Model: {MODEL}\r\nX-Samphireport-Token-Count: 420,30\r\n\
                 X-Samphireport-Prompt-Prefix: aaaa0001:40,dddd{:04x}:300,ee{own_part:06x}:20\r\n",
                self.number
            ));
        }
        head.push_str("\r\n");
        let stream = connection.reader.get_mut();
        if !is_slow {
            let mut bytes = head.into_bytes();
            if in_chunks {
                bytes.extend(format!("{:x}\r\n", body.len()).into_bytes());
                body.extend(b"\r\n0\r\n\r\n");
            }
            bytes.extend(body);
            return stream.write_all(&bytes);
        }
        stream.write_all(head.as_bytes())?;
        let pause = Duration::from_millis(self.numbers.within((10, 120)));
        for part in body.chunks(body.len() / SLOW_BODY_PARTS as usize) {
            std::thread::sleep(pause);
            stream.write_all(part)?;
        }
        Ok(())
    }

    fn read(&self, connection: &mut Connection, script: Script, progress: &mut Progress) -> End {
        match self.read_answer(connection, script, progress) {
            Ok(end) => end,
            Err(error) => match error.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => End::GaveUp,
                std::io::ErrorKind::InvalidData => End::Wrong(error.to_string()),
                _ => End::Closed(error.to_string()),
            },
        }
    }

    fn read_answer(
        &self,
        connection: &mut Connection,
        script: Script,
        progress: &mut Progress,
    ) -> std::io::Result<End> {
        let reader = &mut connection.reader;
        let Some(mut head) = net::read_head(reader)? else {
            return Ok(End::Closed("closed before an answer".into()));
        };
        progress.last_data = self.shared.record.now();
        progress.closes = head.header("connection").is_some_and(|value| value.contains("close"));
        if head.status() != 200 {
            net::read_body(reader, &mut head, true)?;
            return Ok(End::Answered(head.status()));
        }
        if head.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            if script.events > 0 {
                return self.read_events(reader, script, progress);
            }
        }
        if self.kind == Kind::SlowReader {
            return self.read_slowly(reader, &head, script, progress);
        }
        net::read_body(reader, &mut head, false)?;
        match head.body.len() == script.bytes {
            true => Ok(End::Whole),
            false => Ok(End::Wrong(format!("{} bytes for {}", head.body.len(), script.bytes))),
        }
    }

    fn read_events(
        &self,
        reader: &mut BufReader<TcpStream>,
        script: Script,
        progress: &mut Progress,
    ) -> std::io::Result<End> {
        let mut pending = String::new();
        while let Some(chunk) = read_chunk(reader)? {
            progress.last_data = self.shared.record.now();
            pending.push_str(&String::from_utf8_lossy(&chunk));
            loop {
                let expected = event(progress.events + 1);
                if let Some(rest) = pending.strip_prefix(&expected) {
                    pending = rest.to_owned();
                    progress.events += 1;
                    continue;
                }
                if !expected.starts_with(&pending) {
                    let after = progress.events;
                    return Ok(End::Wrong(format!("after event {after}: {pending:?}")));
                }
                break;
            }
        }
        match progress.events == script.events {
            true => Ok(End::Whole),
            false => {
                Ok(End::Wrong(format!("ended after {} of {}", progress.events, script.events)))
            }
        }
    }

    fn read_slowly(
        &self,
        reader: &mut BufReader<TcpStream>,
        head: &net::Message,
        script: Script,
        progress: &mut Progress,
    ) -> std::io::Result<End> {
        let started = self.shared.record.now();
        let is_chunked = head.header("transfer-encoding").is_some();
        let (mut got, mut part) = (0, vec![0; 8 << 10]);
        while got < script.bytes || is_chunked {
            let due = started + got as f64 / script.bytes as f64 * SLOW_READ_MS as f64 / 1e3;
            let ahead = due - self.shared.record.now();
            std::thread::sleep(Duration::from_secs_f64(ahead.max(0.0)));
            let count = match is_chunked {
                true => match read_chunk(reader)? {
                    None => break,
                    Some(chunk) => chunk.len(),
                },
                false => reader.read(&mut part)?,
            };
            if count == 0 {
                return Ok(End::Closed(format!("closed after {got} of {} bytes", script.bytes)));
            }
            got += count;
            progress.last_data = self.shared.record.now();
        }
        match got == script.bytes {
            true => Ok(End::Whole),
            false => Ok(End::Wrong(format!("{got} bytes for {}", script.bytes))),
        }
    }
}

/// Reads a chunk; `None` after the last one.
fn read_chunk(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
        let what = match line.ends_with('\n') {
            true => std::io::ErrorKind::InvalidData,
            false => std::io::ErrorKind::UnexpectedEof,
        };
        return Err(std::io::Error::new(what, format!("not a chunk: {line:?}")));
    };
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}
