//! What an entry process holds in memory under load that comes all at once.
//!
//! Each load meets a process of its own. `MEMORY_MB` (160 without it) is what a process may hold, which its
//! settings say unless `MEMORY_SETTING` is 0 (for programs that don't know it). `MEMORY_LOADS` names the
//! loads that are played, separated by commas (all without it).

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::deployment;
use crate::net::Message;
use crate::world::{self, Recorder, Server, World};
use crate::Verdict;

const SERVERS: usize = 12;
/// Length of a long answer.
const ANSWER_BYTES: usize = 16 << 20;
/// Length of an event, and number of events of a stream.
const EVENT_BYTES: usize = 200 << 10;
const EVENTS: usize = 100;
/// Length of an answer that is shorter than what a process reads before it passes an answer on.
const SHORT_ANSWER_BYTES: usize = 120 << 10;
const BODY_BYTES: usize = 4 << 20;
const MESSAGE_BYTES: usize = 8 << 20;
/// Clients of a load with long bodies or answers.
const CLIENTS: usize = 50;
const FOLLOWERS: usize = 30;
const CONFIGS: u64 = 20;
const CONFIG_PERIOD: Duration = Duration::from_millis(350);
const CONFIG_ROUTES: usize = 3_200;
/// Time that a load is kept up, and time after it.
const LOAD_TIME: Duration = Duration::from_secs(3);
const REST_TIME: Duration = Duration::from_secs(3);

/// What clients hold open while a load is kept up.
type Held = Vec<Box<dyn std::any::Any + Send>>;
type Load = fn(&World, usize) -> Held;

const LOADS: [(&str, Load); 12] = [
    ("rest", |_, _| Vec::new()),
    ("200 connections", |world, entry| connections(world, entry, 200, 0)),
    ("2000 connections", |world, entry| connections(world, entry, 2_000, 0)),
    ("2000 unfinished heads", |world, entry| connections(world, entry, 2_000, 14 << 10)),
    ("2000 long heads", |world, entry| connections(world, entry, 2_000, 380 << 10)),
    ("unfinished bodies", unfinished_bodies),
    ("unfinished chunks", unfinished_chunks),
    ("answers not read", |world, entry| answers(world, entry, "answer")),
    ("streams not read", |world, entry| answers(world, entry, "stream")),
    ("unfinished messages", unfinished_messages),
    ("configurations", configurations),
    ("configurations at once", configurations_at_once),
];

pub fn play(world: &mut World) -> Verdict {
    let limit: f64 = variable("MEMORY_MB").and_then(|mb| mb.parse().ok()).unwrap_or(160.0);
    let chosen = variable("MEMORY_LOADS");
    let is_chosen =
        |name: &str| chosen.as_ref().is_none_or(|chosen| chosen.split(',').any(|c| c == name));
    if variable("MEMORY_SETTING").as_deref() != Some("0") {
        world.memory_mb = Some(limit);
    }
    world.store.put("op/config", &config(1, 0));
    let run: world::Run = Arc::new(run);
    for number in 0..SERVERS {
        let id = format!("i-desk{number}");
        Server::start(&world.store, &world.record, "desk", &id, run.clone());
    }
    let mut over = Vec::new();
    println!("{:24} {:>9} {:>9} {:>9} {:>9}", "MB", "before", "peak", "load", "after");
    for (name, load) in LOADS.into_iter().filter(|(name, _)| is_chosen(name)) {
        let entry = world.start_entry(&format!("z{}", name.len()));
        if !world.wait_until_ready(entry) {
            return Verdict::NotRun("an entry process isn't ready".into());
        }
        std::thread::sleep(Duration::from_millis(2_500));
        let process = world.process_id(entry);
        let before = status(process, "VmRSS");
        let held = load(world, entry);
        std::thread::sleep(LOAD_TIME);
        let during = status(process, "VmRSS");
        drop(held);
        std::thread::sleep(REST_TIME);
        let (peak, after) = (status(process, "VmHWM"), status(process, "VmRSS"));
        let line = format!("{name:24} {before:9.1} {peak:9.1} {during:9.1} {after:9.1}");
        world.record.write(&line);
        println!("{line}");
        if peak > limit || after == 0.0 {
            over.push(name);
        }
        world.signal(entry, world::KILL, "SIGKILL");
    }
    match over.is_empty() {
        true => Verdict::Held(format!("no load took more than {limit} MB")),
        false => Verdict::Broken(format!("more than {limit} MB: {}", over.join(", "))),
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Returns a figure of a process's memory in MB; 0 if it has ended.
fn status(process: i32, name: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(name)).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

/// Returns the configuration with a route to streams and `more` further routes.
fn config(version: u64, more: usize) -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"club.example\",\"prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout_ms\":20000,\"target_latency_ms\":3000,\"priority\":1,\
             \"service\":\"desk\",\"max_attempts\":2,\"public\":false}}"
        )
    };
    let mut routes =
        vec![route("orders", "/orders/", "unsafe"), route("news", "/news/", "streaming")];
    routes.extend((0..more).map(|i| {
        route(&format!("more-{i}"), &format!("/a-longer-prefix-of-a-route/{version}/{i}/"), "safe")
    }));
    let start = deployment::CONFIG.find("\"services\"").expect("the configuration has services");
    let rest = &deployment::CONFIG[start..];
    format!("{{\"version\":{version},\"routes\":[{}],{rest}", routes.join(","))
}

/// Answers with a long body, or a stream of long events.
fn run(server: &Server, request: &Message, stream: &mut TcpStream) -> bool {
    let id = request.header("x-samphireport-attempt-id").unwrap_or("");
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Samphireport-Attempt-Id: {id}\r\n\
         X-Samphireport-Response-Signature: sig.{}.{id}\r\nTransfer-Encoding: chunked\r\n",
        server.id
    );
    let chunk = |bytes: &[u8]| [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
    let is_stream = request.path().starts_with("/news/");
    let (media, part, count) = match (is_stream, request.path().ends_with("answer")) {
        (true, _) => ("text/event-stream", event(), EVENTS),
        (false, true) => ("text/plain", vec![b'a'; 64 << 10], ANSWER_BYTES / (64 << 10)),
        (false, false) => ("text/plain", vec![b'a'; SHORT_ANSWER_BYTES], 1),
    };
    let mut write = |bytes: &[u8]| stream.write_all(bytes).is_ok();
    write(format!("{head}Content-Type: {media}\r\n\r\n").as_bytes())
        && (0..count).all(|_| write(&chunk(&part)))
        && write(b"0\r\n\r\n")
}

fn event() -> Vec<u8> {
    [b"id: 1\ndata: ", &vec![b'a'; EVENT_BYTES][..], b"\n\n"].concat()
}

fn connections(world: &World, entry: usize, count: usize, head_bytes: usize) -> Held {
    let address = world.entry(entry).callers;
    let connect = |_| -> Box<dyn std::any::Any + Send> {
        let mut stream = TcpStream::connect(address).expect("a connection");
        if head_bytes > 0 {
            let head = format!("GET /orders/1 HTTP/1.1\r\nX-Long: {}", "a".repeat(head_bytes));
            // A process may close it.
            let _ = stream.write_all(head.as_bytes());
        }
        Box::new(stream)
    };
    (0..count).map(connect).collect()
}

/// Writes a request whose last byte is missing, in a thread for each client; holds the connections.
fn unfinished(address: SocketAddr, line: &'static str, bytes: usize, record: &Recorder) -> Held {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(address).expect("a connection");
                stream.set_write_timeout(Some(Duration::from_secs(5))).expect("a socket");
                let id = format!("body{client:012x}");
                let mut head = format!("{line} HTTP/1.1\r\nContent-Length: {bytes}\r\n");
                for (name, value) in deployment::headers(&id, "20000") {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                let body = vec![b'a'; bytes - 1];
                let sent = stream.write_all(format!("{head}\r\n").as_bytes());
                let sent = sent.and_then(|()| stream.write_all(&body));
                record.write(&format!("client {client} sent its body but for a byte: {sent:?}"));
                stream
            })
        })
        .collect();
    let held = clients.into_iter().filter_map(|client| client.join().ok());
    held.map(|stream| -> Box<dyn std::any::Any + Send> { Box::new(stream) }).collect()
}

fn unfinished_bodies(world: &World, entry: usize) -> Held {
    unfinished(world.entry(entry).callers, "POST /orders/1", BODY_BYTES, &world.record)
}

/// Writes requests whose bodies say no length, and whose last chunk is missing.
fn unfinished_chunks(world: &World, entry: usize) -> Held {
    let address = world.entry(entry).callers;
    let client = move |client| {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_write_timeout(Some(Duration::from_secs(5))).expect("a socket");
        let id = format!("chunk{client:011x}");
        let mut bytes = b"POST /orders/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n".to_vec();
        for (name, value) in deployment::headers(&id, "20000") {
            bytes.extend(format!("{name}: {value}\r\n").bytes());
        }
        bytes.extend(format!("\r\n{:x}\r\n", BODY_BYTES - 1).bytes());
        bytes.resize(bytes.len() + BODY_BYTES - 1, b'a');
        // The process may refuse it and close the connection.
        let _ = stream.write_all(&bytes);
        stream
    };
    let clients: Vec<_> = (0..CLIENTS).map(|i| std::thread::spawn(move || client(i))).collect();
    let held = clients.into_iter().filter_map(|client| client.join().ok());
    held.map(|stream| -> Box<dyn std::any::Any + Send> { Box::new(stream) }).collect()
}

fn unfinished_messages(world: &World, entry: usize) -> Held {
    unfinished(world.entry(entry).peers, "POST /exchange", MESSAGE_BYTES, &world.record)
}

/// Sends requests and doesn't read the answers.
fn answers(world: &World, entry: usize, kind: &str) -> Held {
    let address = world.entry(entry).callers;
    let prefix = if kind == "stream" { "news" } else { "orders" };
    let ask = |client| -> Box<dyn std::any::Any + Send> {
        let mut stream = world::connect_narrow(address).expect("a connection");
        let id = format!("slow{client:012x}");
        let headers = deployment::headers(&id, "20000");
        let line = format!("POST /{prefix}/{kind}");
        world::send(&mut stream, &line, &headers, b"two tickets").expect("a request");
        Box::new(stream)
    };
    (0..CLIENTS).map(ask).collect()
}

/// Writes configurations, while other processes ask the entry process for its rows.
fn configurations(world: &World, entry: usize) -> Held {
    let is_over = Arc::new(AtomicBool::new(false));
    let address = world.entry(entry).peers;
    let followers: Vec<_> = (0..FOLLOWERS)
        .map(|number| {
            let is_over = is_over.clone();
            std::thread::spawn(move || follow(address, number, &is_over))
        })
        .collect();
    for version in 2..2 + CONFIGS {
        world.store.put("op/config", &config(version, CONFIG_ROUTES));
        std::thread::sleep(CONFIG_PERIOD);
    }
    is_over.store(true, Ordering::Relaxed);
    let got: usize = followers.into_iter().map(|follower| follower.join().unwrap_or(0)).sum();
    let size = config(2, CONFIG_ROUTES).len();
    world.record.write(&format!("configurations of {size} bytes; followers got {got} bytes"));
    Vec::new()
}

/// Writes configurations faster than the entry process reads them.
fn configurations_at_once(world: &World, _: usize) -> Held {
    let texts: Vec<String> = (0..CONFIGS).map(|i| config(100 + i, CONFIG_ROUTES)).collect();
    texts.iter().for_each(|text| world.store.put("op/config", text));
    Vec::new()
}

/// Asks a hub for its changes as another process does, and returns the bytes that came.
fn follow(address: SocketAddr, number: usize, is_over: &AtomicBool) -> usize {
    let mut known: Option<(u64, u64)> = None;
    let mut got = 0;
    while !is_over.load(Ordering::Relaxed) {
        let began = Instant::now();
        let (line, body) = match known {
            None => ("POST /rows", "{\"versions\":{}}".to_owned()),
            Some((boot, change)) => (
                "POST /exchange",
                format!(
                    "{{\"node\":\"n{number}\",\"loads\":[],\"domain_processes\":null,\
                     \"have\":[{boot},{change}]}}"
                ),
            ),
        };
        if let Ok(answer) = world::exchange(address, line, &[], body.as_bytes()) {
            got += answer.body.len();
            let next = (whole_number(&answer.body, "boot"), whole_number(&answer.body, "number"));
            known = (answer.status() == 200 && next.0 > 0).then_some(next);
        }
        std::thread::sleep(Duration::from_millis(130).saturating_sub(began.elapsed()));
    }
    got
}

/// Returns the first field `name` of a JSON object, a whole number with all its digits; 0 without it.
fn whole_number(text: &[u8], name: &str) -> u64 {
    let name = format!("\"{name}\":");
    let found = text.windows(name.len()).position(|part| part == name.as_bytes());
    let Some(start) = found.map(|at| at + name.len()) else { return 0 };
    let digits = text[start..].iter().take_while(|byte| byte.is_ascii_digit());
    digits.fold(0, |number: u64, digit| number.wrapping_mul(10) + u64::from(digit - b'0'))
}
