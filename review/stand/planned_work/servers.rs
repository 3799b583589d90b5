//! The servers, and a journal of what they have run.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::plan::{Plan, Silent, TurnAway};
use super::script::{event, Script};
use crate::engine::{Engine, GROUP_SIZE};
use crate::net::{self, Message};
use crate::world::{Recorder, Server, World};

const ENGINES: usize = 12;
/// Servers fall silent one after the other, so many seconds apart.
const SILENCES_APART_S: f64 = 0.5;

/// Bytes of a chunk of a plain answer; longer answers are sent in chunks.
const CHUNK: usize = 64 << 10;

/// A run of a request at a server. Times are in seconds of the record.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub begun: f64,
    pub last_write: f64,
    /// The last event that was written.
    pub event: u32,
    pub end: &'static str,
}

/// What the servers have run, by the id of the request.
pub type Journal = HashMap<String, Vec<Run>>;

/// The servers of a case.
pub struct Servers {
    engines: Vec<Engine>,
    stage: Arc<Stage>,
}

/// What the servers share.
struct Stage {
    record: Recorder,
    plan: Plan,
    /// When the traffic began, in seconds of the record.
    began: Mutex<Option<f64>>,
    journal: Mutex<Journal>,
}

impl Servers {
    pub fn start(world: &World, plan: &Plan) -> Self {
        let stage = Arc::new(Stage {
            record: world.record.clone(),
            plan: plan.clone(),
            began: Mutex::default(),
            journal: Mutex::default(),
        });
        let start_engine = |number: usize| {
            let stage = stage.clone();
            let id = format!("i-llm{number}");
            let domain = format!("f{}", number % 2);
            let run =
                Arc::new(move |engine: &Engine, request: &Message, stream: &mut TcpStream| {
                    stage.stream(number, &engine.id, request, stream)
                });
            Engine::start_with(&world.store, &world.record, &id, &domain, run)
        };
        let engines = (0..ENGINES).map(start_engine).collect();
        for (service, number) in [("desk", 0), ("desk", 1), ("desk", 2), ("copy", 3), ("copy", 4)] {
            let stage = stage.clone();
            let run =
                Arc::new(move |server: &Server, request: &Message, stream: &mut TcpStream| {
                    stage.plain(server, request, stream)
                });
            Server::start(&world.store, &world.record, service, &format!("i-plain{number}"), run);
        }
        Servers { engines, stage }
    }

    /// Begins the silences of servers; the traffic began at `at`.
    pub fn begin(&self, at: f64) {
        *self.stage.began.lock().unwrap() = Some(at);
    }

    pub fn are_open(&self) -> bool {
        self.engines.iter().filter(|engine| engine.is_open()).count() >= ENGINES / GROUP_SIZE
    }

    pub fn journal(&self) -> Journal {
        self.stage.journal.lock().unwrap().clone()
    }
}

impl Stage {
    /// Plays a stream; one that is resumed goes on after its `Last-Event-Id`.
    fn stream(
        &self,
        number: usize,
        server: &str,
        request: &Message,
        stream: &mut TcpStream,
    ) -> bool {
        let id = request.header("x-samphireport-attempt-id").unwrap_or("");
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let script = Script::parse(&request.body);
        if after > 0 && self.plan.turn_away == TurnAway::Resumed {
            let headers = [("X-Samphireport-Attempt-Id", id), ("X-Samphireport-Not-Executed", "1")];
            return net::respond(stream, "503 Service Unavailable", &headers, b"").is_ok();
        }
        std::thread::sleep(Duration::from_millis(self.plan.first_event_ms));
        let run = self.begin(id, server);
        let end = self.play_stream(number, server, id, after, script, stream, run);
        self.update(id, run, |run| run.end = if end.is_ok() { "whole" } else { "connection gone" });
        end.is_ok()
    }

    #[allow(clippy::too_many_arguments)]
    fn play_stream(
        &self,
        number: usize,
        server: &str,
        id: &str,
        after: u32,
        script: Script,
        stream: &mut TcpStream,
        run: usize,
    ) -> std::io::Result<()> {
        let silence = Duration::from_millis(script.silent_ms);
        let is_first = run == 0 && after == 0;
        if script.silent_after == 0 && is_first {
            std::thread::sleep(silence);
        }
        self.wait_while_silent(number);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Samphireport-Attempt-Id: {id}\r\n\
             X-Samphireport-Response-Signature: sig.{server}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number_of_event in after + 1..=script.events {
            self.wait_while_silent(number);
            let text = event(number_of_event);
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            let now = self.record.now();
            self.update(id, run, |run| (run.event, run.last_write) = (number_of_event, now));
            std::thread::sleep(Duration::from_millis(script.pause_ms));
            if number_of_event == script.silent_after && is_first {
                std::thread::sleep(silence);
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn plain(&self, server: &Server, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("x-samphireport-attempt-id").unwrap_or("");
        let script = Script::parse(&request.body);
        let run = self.begin(id, &server.id);
        std::thread::sleep(Duration::from_millis(script.pause_ms));
        let end = match script.bytes > CHUNK {
            true => send_chunked(&server.id, id, script.bytes, stream).is_ok(),
            false => server.succeed(request, stream, &vec![b'a'; script.bytes]),
        };
        let now = self.record.now();
        self.update(id, run, |run| {
            run.last_write = now;
            run.end = if end { "whole" } else { "connection gone" };
        });
        end
    }

    /// Waits while the server is silent on all its requests.
    fn wait_while_silent(&self, number: usize) {
        if self.plan.silent != Silent::Servers {
            return;
        }
        let Some(began) = *self.began.lock().unwrap() else { return };
        let length = self.plan.silent_ms as f64 / 1e3;
        let period = SILENCES_APART_S * ENGINES as f64;
        let phase =
            (self.record.now() - began - number as f64 * SILENCES_APART_S).rem_euclid(period);
        if phase < length {
            std::thread::sleep(Duration::from_secs_f64(length - phase));
        }
    }

    fn begin(&self, id: &str, server: &str) -> usize {
        let now = self.record.now();
        let mut journal = self.journal.lock().unwrap();
        let runs = journal.entry(id.to_owned()).or_default();
        let server = server.to_owned();
        runs.push(Run { server, begun: now, last_write: now, event: 0, end: "at work" });
        runs.len() - 1
    }

    fn update(&self, id: &str, run: usize, change: impl FnOnce(&mut Run)) {
        if let Some(runs) = self.journal.lock().unwrap().get_mut(id) {
            change(&mut runs[run]);
        }
    }
}

fn send_chunked(
    server: &str,
    id: &str,
    length: usize,
    stream: &mut TcpStream,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Samphireport-Attempt-Id: {id}\r\n\
         X-Samphireport-Response-Signature: sig.{server}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut left = length;
    while left > 0 {
        let size = left.min(CHUNK);
        stream.write_all(format!("{size:x}\r\n{}\r\n", "a".repeat(size)).as_bytes())?;
        left -= size;
    }
    stream.write_all(b"0\r\n\r\n")
}
