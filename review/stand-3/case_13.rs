//! A replica of a plain service leaves as planned, and exits in the middle of streams that have neither a length nor
//! chunks.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, KEY, Record, ZONES};
use crate::http::{self, Answer};

const PIECES: u64 = 80;
const GAP_MS: u64 = 60;

pub const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-stream","host":"ficu95.example","prefix":"/stream/","kind":"streaming","timeout_ms":8000,
  "target_latency_ms":300,"priority":1,"service":"desk","max_attempts":2,"public":false,
  "resumable":true,"gap_aim_ms":300}],
 "services":[{"name":"desk","health_path":"/health","max_connections":464,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

pub fn run(record: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let form = std::env::var("FORM").unwrap_or_else(|_| "leave".into());
    let mut fleet = Fleet::start(record);
    fleet.store.write("op/config", CONFIG);
    for (i, zone) in ZONES.iter().enumerate() {
        fleet.add_replica(&format!("i-{i}a"), "desk", zone, 0);
    }
    for zone in ZONES {
        fleet.add_front(zone);
    }
    if !fleet.wait_until_ready() {
        fleet.record.note("driver", "the fronts didn't get ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(2));
    let answers: Arc<Mutex<Vec<(String, u64, Answer)>>> = Arc::default();
    let began = Instant::now();
    let (mut sent, mut threads, mut has_left) = (0, Vec::new(), false);
    // One stream every 200 ms for 10 s; the replica is told to leave after 3 s.
    while began.elapsed() < Duration::from_secs(10) {
        if trouble && !has_left && began.elapsed() >= Duration::from_secs(3) {
            has_left = true;
            disturb(&mut fleet, &form);
        }
        sent += 1;
        let id = format!("a{sent:04}");
        let front = fleet.fronts[sent % fleet.fronts.len()].callers;
        let (answers, record) = (answers.clone(), fleet.record.clone());
        threads.push(std::thread::spawn(move || {
            let target = format!("/stream/{id}?pieces={PIECES}&gap={GAP_MS}");
            let key = format!("Bearer {KEY}");
            let headers = [
                ("Host", "ficu95.example"),
                ("X-Samphireport-Attempt-Id", &*id),
                ("X-Samphireport-Deadline-Ms", "8000"),
                ("Authorization", &*key),
            ];
            let answer = http::send(front, "POST", &target, &headers, b"x", Duration::from_secs(9));
            record.note(
                "client",
                &format!(
                    "{id}: status {}, complete {}, {} bytes, signature {:?}, after {:?}",
                    answer.status,
                    answer.is_whole,
                    answer.body.len(),
                    answer.header("X-Samphireport-Response-Signature"),
                    answer.after
                ),
            );
            answers.lock().expect("the lock").push((id, PIECES, answer));
        }));
        std::thread::sleep(Duration::from_millis(200));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let answers = answers.lock().expect("the lock");
    verdict(&fleet.record, &answers)
}

/// Notes what was seen, and returns the exit code.
pub fn verdict(record: &Record, answers: &[(String, u64, Answer)]) -> i32 {
    let served = answers.iter().filter(|(_, _, a)| a.status == 200 && a.is_whole).count();
    let short: Vec<&str> = answers
        .iter()
        .filter(|(id, pieces, answer)| {
            answer.status == 200 && answer.is_whole && answer.body != whole(id, *pieces)
        })
        .map(|(id, ..)| &**id)
        .collect();
    let broken_off = answers.iter().filter(|(_, _, a)| a.status == 200 && !a.is_whole).count();
    let verdict = format!(
        "{} streams, {served} complete, {broken_off} broken off, {} look complete and lack pieces: {short:?}",
        answers.len(),
        short.len()
    );
    record.note("driver", &verdict);
    println!("{verdict}");
    if served * 2 < answers.len() {
        return 2;
    }
    i32::from(!short.is_empty())
}

fn disturb(fleet: &mut Fleet, form: &str) {
    let replica = &fleet.replicas[0];
    let (address, id) = (replica.address, replica.id.clone());
    let headers = [("Host", "replica")];
    match form {
        // The planned exit.
        "leave" => {
            fleet.record.note("driver", &format!("{id} is told to leave"));
            http::send(address, "POST", "/stand/leave", &headers, b"", Duration::from_secs(2));
        }
        // It doesn't reach the store, its entry is removed, and it crashes behind the cut.
        _ => {
            fleet.record.note("driver", &format!("{id} is cut off from the store"));
            fleet.store.cut(&id, true);
            let (store, record) = (fleet.store.clone(), fleet.record.clone());
            let pid = replica.process.id().to_string();
            std::thread::spawn(move || {
                while store.get(&format!("servers/{id}")).is_some() {
                    std::thread::sleep(Duration::from_millis(10));
                }
                record.note("driver", &format!("the entry of {id} is removed"));
                std::thread::sleep(Duration::from_millis(1_000));
                record.note("driver", &format!("{id} crashes"));
                let _ = std::process::Command::new("kill").args(["-KILL", &pid]).status();
            });
        }
    }
}

fn whole(id: &str, pieces: u64) -> Vec<u8> {
    let pieces = (1..=pieces).map(|n| format!("id: {n}\ndata: {id}-{n}\n\n"));
    pieces.collect::<String>().into_bytes()
}
