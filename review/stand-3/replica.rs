//! A replica of a plain service, in a process of its own.
//!
//! It writes a heartbeat to the store, answers requests, and says on its standard output what it runs. Its answers
//! have neither a length nor chunks and end with their connection, where the request's path asks for that.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::chaos::{Random, body_of};
use crate::http::{self, Request};
use crate::store::HEARTBEAT;

/// How long a replica that leaves serves on once the store has accepted its report: `drain_ms` and a little longer.
const DRAIN: Duration = Duration::from_millis(2_000);
const A_LITTLE_LONGER: Duration = Duration::from_millis(300);

pub struct Replica {
    id: String,
    service: String,
    zone: String,
    store: SocketAddr,
    address: SocketAddr,
    born: u128,
    draining: AtomicBool,
    out: Mutex<()>,
    /// Where it behaves at random.
    chaos: Option<Mutex<Random>>,
}

/// Runs a replica: ID SERVICE ZONE STORE PORT.
pub fn run(args: &[String]) {
    let listener = TcpListener::bind(format!("127.0.0.1:{}", args[4])).expect("the port");
    let replica = Arc::new(Replica {
        id: args[0].clone(),
        service: args[1].clone(),
        zone: args[2].clone(),
        store: args[3].parse().expect("an address"),
        address: listener.local_addr().expect("an address"),
        born: SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis(),
        draining: AtomicBool::new(false),
        out: Mutex::new(()),
        chaos: std::env::var("CHAOS").ok().map(|seed| {
            let seed = seed.parse::<u64>().unwrap_or(1) * 65_537 + u64::from(std::process::id());
            Mutex::new(Random(seed))
        }),
    });
    replica.say(&format!("listens {}", replica.address));
    let serving = replica.clone();
    http::listen(listener, move |stream| serving.serve(stream));
    loop {
        replica.beat();
        std::thread::sleep(HEARTBEAT);
    }
}

impl Replica {
    fn say(&self, what: &str) {
        let _guard = self.out.lock();
        println!("{what}");
        let _ = std::io::stdout().flush();
    }

    /// Writes its entry; returns whether the store has accepted it.
    fn beat(&self) -> bool {
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":26,\
             \"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":0,\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        let target = format!("/beat/{}", self.id);
        let headers = [("Host", "store")];
        let time = Duration::from_secs(1);
        http::send(self.store, "POST", &target, &headers, entry.as_bytes(), time).status == 200
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            match self.answer(&mut stream, &request) {
                Ok(true) => {}
                _ => {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        request: &Request,
    ) -> std::io::Result<bool> {
        let draining = self.draining.load(Ordering::SeqCst);
        match request.path() {
            "/health" => {
                let status = if draining { 503 } else { 200 };
                let headers = [("X-Samphireport-Replica-Id", &*self.id)];
                http::respond(stream, status, &headers, b"")?;
                return Ok(true);
            }
            // An order of the driver: report that it leaves, and leave.
            "/stand/leave" => {
                self.draining.store(true, Ordering::SeqCst);
                let accepted = self.beat();
                self.say(&format!("leaves, the store has accepted it: {accepted}"));
                let leaving = self.clone();
                std::thread::spawn(move || leaving.leave());
                http::respond(stream, 200, &[], b"")?;
                return Ok(true);
            }
            _ => {}
        }
        let expected = request.header("X-Samphireport-Expect-Instance");
        if !expected.is_empty() && expected != self.id {
            let headers = [("X-Samphireport-Replica-Id", &*self.id)];
            http::respond(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        let attempt = request.header("X-Samphireport-Attempt-Id").to_owned();
        let after: u64 = request.header("Last-Event-Id").parse().unwrap_or(0);
        let mut odd = 1_000;
        if let Some(random) = &self.chaos {
            odd = random.lock().expect("the lock").below(1_000);
            let len = request.query("len").parse().unwrap_or(0);
            if request.body != body_of(&attempt, len) || !request.header("authorization").is_empty()
            {
                self.say(&format!("WRONG {attempt} {} {}", request.target, request.body.len()));
            }
        }
        match odd {
            0..30 => {
                let headers = [
                    ("X-Samphireport-Attempt-Id", &*attempt),
                    ("X-Samphireport-Not-Executed", "1"),
                ];
                http::respond(stream, 503, &headers, b"")?;
                return Ok(true);
            }
            // Before it has read it, as far as its caller knows.
            30..35 => return Ok(false),
            _ => {}
        }
        self.say(&format!("runs {attempt} {} after {after}", request.target));
        let echo = [("X-Samphireport-Attempt-Id", &*attempt)];
        let slow = |random: &Mutex<Random>| random.lock().expect("the lock").below(1_000);
        match (odd, &self.chaos) {
            (35..50, _) => {
                let status = [500, 503, 429, 408, 404][odd as usize % 5];
                http::respond(stream, status, &echo, b"no")?;
                return Ok(true);
            }
            (50..55, _) => return Ok(false),
            (55..60, _) => {
                std::thread::sleep(Duration::from_secs(10));
                return Ok(false);
            }
            (60..90, Some(random)) => std::thread::sleep(Duration::from_millis(slow(random))),
            _ => {}
        }
        let signature = format!("sig.{}.{attempt}", self.id);
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nX-Samphireport-Attempt-Id: {attempt}\r\n\
             X-Samphireport-Response-Signature: {signature}\r\n"
        );
        let is_stream = is_stream(request.path());
        if is_stream {
            head.push_str("Content-Type: text/event-stream\r\n");
        }
        let form = request.query("form");
        let unframed = form.is_empty() || form == "end";
        let has_length = form == "length" && !is_stream;
        let pieces: u64 = request.query("pieces").parse().unwrap_or(10);
        let gap = Duration::from_millis(request.query("gap").parse().unwrap_or(50));
        let piece = |n: u64| piece(&attempt, is_stream, n);
        if has_length {
            let all: usize = (after + 1..=pieces).map(|n| piece(n).len()).sum();
            head.push_str(&format!("Content-Length: {all}\r\n\r\n"));
        } else {
            head.push_str(match unframed {
                true => "Connection: close\r\n\r\n",
                false => "Transfer-Encoding: chunked\r\n\r\n",
            });
        }
        stream.write_all(head.as_bytes())?;
        for n in after + 1..=pieces {
            std::thread::sleep(gap);
            let piece = piece(n);
            if (90..120).contains(&odd) && !unframed && n == pieces / 2 + 1 {
                // It breaks off.
                return Ok(false);
            }
            match unframed || has_length {
                true => stream.write_all(piece.as_bytes())?,
                false => {
                    stream.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes())?
                }
            }
        }
        self.say(&format!("done {attempt}"));
        if !unframed && !has_length {
            stream.write_all(b"0\r\n\r\n")?;
        }
        if (120..160).contains(&odd) && !unframed {
            // A second answer.
            if odd >= 140 {
                std::thread::sleep(Duration::from_millis((odd - 139) * 8));
            }
            http::respond(
                stream,
                200,
                &[echo[0], ("X-Samphireport-Response-Signature", &signature)],
                b"again",
            )?;
        }
        Ok(!unframed)
    }

    /// Serves on for the time that the page names, and exits.
    fn leave(&self) {
        std::thread::sleep(DRAIN + A_LITTLE_LONGER);
        let target = format!("/beat/{}", self.id);
        let time = Duration::from_secs(1);
        http::send(self.store, "DELETE", &target, &[("Host", "store")], b"", time);
        self.say("exits");
        std::process::exit(0);
    }
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/stream/") || path.starts_with("/once/")
}

fn piece(id: &str, is_stream: bool, n: u64) -> String {
    match is_stream {
        true => format!("id: {n}\ndata: {id}-{n}\n\n"),
        false => format!("[{id}-{n}]"),
    }
}

/// Returns the whole body of an answer.
pub fn body(id: &str, path: &str, pieces: u64) -> String {
    (1..=pieces).map(|n| piece(id, is_stream(path), n)).collect()
}
