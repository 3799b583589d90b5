//! Random faults of replicas and processes, with checks of what clients and replicas see. For search, not a case.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, KEY, ZONES, signal};
use crate::http::{self, Answer};

pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 11) % n
    }
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(1000) < percent * 10
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-s","host":"ficu95.example","prefix":"/stream/","kind":"streaming","timeout_ms":8000,"target_latency_ms":300,"priority":1,"service":"desk","max_attempts":2,"public":false,"resumable":true,"gap_aim_ms":300},
 {"name":"r-o","host":"ficu95.example","prefix":"/once/","kind":"streaming","timeout_ms":8000,"target_latency_ms":300,"priority":1,"service":"desk","max_attempts":2,"public":false,"resumable":false,"gap_aim_ms":300},
 {"name":"r-u","host":"ficu95.example","prefix":"/unsafe/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":false},
 {"name":"r-g","host":"ficu95.example","prefix":"/safe/","kind":"safe","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":false}],
 "services":[{"name":"desk","health_path":"/health","max_connections":464,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

pub fn body_of(id: &str, len: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(len);
    while out.len() < len {
        out.extend(id.as_bytes());
    }
    out.truncate(len);
    out
}

pub fn run(args: &[String]) -> i32 {
    let seed: u64 = args[0].parse().unwrap_or(1);
    let seconds: u64 = args[1].parse().unwrap_or(60);
    let processes = args.get(2).is_none_or(|a| a != "calm");
    let mut fleet = Fleet::start(&args[3]);
    fleet.store.write("op/config", CONFIG);
    for i in 0..6 {
        fleet.add_replica(&format!("i-{i}"), "desk", ZONES[i % 3], 0);
    }
    for zone in [ZONES[0], ZONES[1], ZONES[2], ZONES[0]] {
        fleet.add_front(zone);
    }
    if !fleet.wait_until_ready() {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(2));
    let answers: Arc<Mutex<HashMap<String, Answer>>> = Arc::default();
    let fronts: Arc<Vec<SocketAddr>> = Arc::new(fleet.fronts.iter().map(|f| f.callers).collect());
    let stop = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for c in 0..40u64 {
        let (answers, fronts, stop, count) =
            (answers.clone(), fronts.clone(), stop.clone(), count.clone());
        threads.push(std::thread::spawn(move || client(c, seed, &fronts, &answers, &stop, &count)));
    }
    let mut random = Random(seed * 7919 + 13);
    let began = Instant::now();
    let mut next_replica = 100;
    while began.elapsed() < Duration::from_secs(seconds) {
        std::thread::sleep(Duration::from_millis(400 + random.below(1200)));
        if !processes {
            continue;
        }
        let f = random.below(4) as usize;
        let r = random.below(6) as usize;
        let action = match args[2].as_str() {
            "term" => 3,
            "crash" => 5,
            "leave" => 7,
            "freeze" => 0,
            _ => random.below(9),
        };
        match action {
            0 | 1 => {
                fleet.record.note("driver", &format!("front {f} stands still"));
                signal(&fleet.fronts[f].process, "STOP");
                std::thread::sleep(Duration::from_millis(300 + random.below(2500)));
                signal(&fleet.fronts[f].process, "CONT");
                fleet.record.note("driver", &format!("front {f} goes on"));
            }
            2 => {
                fleet.record.note("driver", &format!("front {f} is killed"));
                let _ = fleet.fronts[f].process.kill();
                let _ = fleet.fronts[f].process.wait();
                std::thread::sleep(Duration::from_millis(500));
                fleet.restart_front(f);
            }
            3 | 4 => {
                fleet.record.note("driver", &format!("front {f} is terminated"));
                signal(&fleet.fronts[f].process, "TERM");
                let _ = fleet.fronts[f].process.wait();
                fleet.record.note("driver", &format!("front {f} has ended"));
                fleet.restart_front(f);
            }
            5 | 6 => {
                let id = fleet.replicas[r].id.clone();
                fleet.record.note("driver", &format!("{id} crashes"));
                let port = fleet.replicas[r].address.port();
                let _ = fleet.replicas[r].process.kill();
                let _ = fleet.replicas[r].process.wait();
                std::thread::sleep(Duration::from_millis(500 + random.below(3000)));
                next_replica += 1;
                let port = if random.chance(50) { port } else { 0 };
                fleet.add_replica(&format!("i-{next_replica}"), "desk", ZONES[r % 3], port);
                let new = fleet.replicas.pop().expect("just added");
                fleet.replicas[r] = new;
            }
            7 => {
                let (address, id) = (fleet.replicas[r].address, fleet.replicas[r].id.clone());
                fleet.record.note("driver", &format!("{id} is told to leave"));
                next_replica += 1;
                fleet.add_replica(&format!("i-{next_replica}"), "desk", ZONES[r % 3], 0);
                let new = fleet.replicas.pop().expect("just added");
                std::thread::sleep(Duration::from_millis(300));
                http::send(
                    address,
                    "POST",
                    "/stand/leave",
                    &[("Host", "r")],
                    b"",
                    Duration::from_secs(2),
                );
                let mut old = std::mem::replace(&mut fleet.replicas[r], new);
                std::thread::spawn(move || old.process.wait());
            }
            _ => {
                let id = fleet.replicas[r].id.clone();
                fleet.record.note("driver", &format!("{id} is cut from the store"));
                fleet.store.cut(&id, true);
                std::thread::sleep(Duration::from_millis(random.below(6000)));
                fleet.store.cut(&id, false);
                fleet.record.note("driver", &format!("{id} reaches the store"));
            }
        }
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    std::thread::sleep(Duration::from_millis(500));
    let exited: Vec<usize> =
        (0..4).filter(|i| matches!(fleet.fronts[*i].process.try_wait(), Ok(Some(_)))).collect();
    judge(&fleet, &answers.lock().expect("the lock"), &exited, &args[3])
}

fn client(
    c: u64,
    seed: u64,
    fronts: &[SocketAddr],
    answers: &Mutex<HashMap<String, Answer>>,
    stop: &AtomicBool,
    count: &AtomicU64,
) {
    let mut random = Random(seed * 1_000_003 + c * 97 + 5);
    let mut kept: Option<(TcpStream, BufReader<TcpStream>)> = None;
    while !stop.load(Ordering::SeqCst) {
        let n = count.fetch_add(1, Ordering::SeqCst);
        let route = ["stream", "once", "unsafe", "unsafe", "safe"][random.below(5) as usize];
        let id = format!("{}{n:06}", &route[..2]);
        let method = if route == "safe" { "GET" } else { "POST" };
        let len = match random.below(10) {
            _ if method == "GET" => 0,
            0 => 100_000 + random.below(200_000) as usize,
            _ => random.below(2_000) as usize,
        };
        let (pieces, gap) = match route {
            "stream" | "once" => (5 + random.below(30), 20 + random.below(60)),
            _ => (1 + random.below(5), random.below(40)),
        };
        let forms = if std::env::var("NOEND").is_ok() { 2 } else { 3 };
        let form = ["length", "chunks", "end"][random.below(forms) as usize];
        let target = format!("/{route}/{id}?pieces={pieces}&gap={gap}&len={len}&form={form}");
        let time = Duration::from_millis(if pieces > 5 { 8_000 } else { 1_500 });
        let front = fronts[random.below(fronts.len() as u64) as usize];
        if kept.is_none() || random.chance(30) {
            kept = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok().and_then(|s| {
                let _ = s.set_nodelay(true);
                Some((s.try_clone().ok()?, BufReader::new(s)))
            });
        }
        let Some((mut stream, mut reader)) = kept.take() else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = stream.set_read_timeout(Some(time));
        let mut head = format!(
            "{method} {target} HTTP/1.1\r\nHost: ficu95.example\r\nX-Samphireport-Attempt-Id: {id}\r\n\
             X-Samphireport-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n",
            time.as_millis()
        );
        let body = body_of(&id, len);
        if method != "GET" {
            head.push_str(&format!("Content-Length: {len}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend(&body);
        let began = Instant::now();
        let mut answer = Answer::default();
        if random.chance(4) {
            // Leaves soon.
            let _ = stream.write_all(&bytes);
            std::thread::sleep(Duration::from_millis(random.below(150)));
            continue;
        }
        let sent =
            stream.write_all(&bytes).and_then(|()| http::read_answer(&mut reader, &mut answer));
        answer.after = began.elapsed();
        let closes = answer.header("connection").eq_ignore_ascii_case("close");
        if sent.is_ok() && answer.is_whole && !closes {
            kept = Some((stream, reader));
        }
        answers.lock().expect("the lock").insert(format!("{id} {target}"), answer);
        std::thread::sleep(Duration::from_millis(random.below(120)));
    }
}

fn judge(fleet: &Fleet, answers: &HashMap<String, Answer>, exited: &[usize], path: &str) -> i32 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let mut runs: HashMap<&str, Vec<&str>> = HashMap::new();
    let mut bad = Vec::new();
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        if words.get(2) == Some(&"runs") {
            runs.entry(words[3]).or_default().push(words[1]);
        }
        if words.get(2) == Some(&"WRONG") {
            bad.push(format!("UNASKED {line}"));
        }
    }
    for (id, at) in &runs {
        if (id.starts_with("un") || id.starts_with("on")) && at.len() > 1 {
            bad.push(format!("TWICE {id} at {at:?}"));
        }
    }
    let mut tally: HashMap<u16, u64> = HashMap::new();
    let (mut broken, mut none) = (0, 0);
    for (key, answer) in answers {
        let (id, target) = key.split_once(' ').expect("a space");
        *tally.entry(answer.status).or_default() += 1;
        none += u64::from(answer.status == 0);
        if answer.status == 0 || !answer.is_whole {
            fleet.record.note(
                "judge",
                &format!(
                    "LOST? {key} status {} after {:?} runs {:?}",
                    answer.status,
                    answer.after,
                    runs.get(id)
                ),
            );
        }
        broken += u64::from(answer.status != 0 && !answer.is_whole);
        let has_run = runs.contains_key(id);
        let promises = [408, 421, 429, 503].contains(&answer.status);
        if promises && has_run && (id.starts_with("un") || id.starts_with("on")) {
            bad.push(format!("REFUSED {id} {} {:?}", answer.status, runs[id]));
        }
        if answer.status / 100 == 2 && answer.is_whole {
            let pieces: u64 = target
                .split("pieces=")
                .nth(1)
                .and_then(|t| t.split('&').next()?.parse().ok())
                .unwrap_or(0);
            let whole = crate::replica::body(id, target.split('?').next().unwrap_or(""), pieces);
            if answer.body != whole.as_bytes() {
                bad.push(format!("MIXED {key} has {} of {} bytes", answer.body.len(), whole.len()));
            }
            if !answer.header("X-Samphireport-Response-Signature").ends_with(id) {
                bad.push(format!("MIXED signature {key}"));
            }
        }
        if [400, 401, 404].contains(&answer.status) && !has_run {
            bad.push(format!("DENIED {key} {}", answer.status));
        }
    }
    println!(
        "{} answers {tally:?}, {broken} broken off, {none} none, ended {exited:?}",
        answers.len()
    );
    bad.sort();
    for line in &bad {
        println!("{line}");
        fleet.record.note("judge", line);
    }
    i32::from(!bad.is_empty())
}
