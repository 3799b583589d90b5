//! A front is partitioned from all replicas, its open connections live on, and a replica crashes meanwhile: answers that have
//! neither a length nor chunks are cut.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, KEY, ZONES};
use crate::http::{self, Answer};
use crate::proxy::Proxy;
use crate::store::View;

const GAP_MS: u64 = 60;
const LONG: u64 = 80;
const SHORT: u64 = 12;

pub fn run(record: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let mut fleet = Fleet::start(record);
    fleet.store.write("op/config", crate::case_13::CONFIG);
    let view = View::default();
    let mut proxies = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        fleet.add_replica(&format!("i-{i}a"), "desk", zone, 0);
        let address = fleet.replicas[i].address;
        let proxy = Proxy::start(address);
        let key = format!("\"{address}\"");
        view.lock().expect("the lock").insert(key, format!("\"{}\"", proxy.address));
        proxies.push(proxy);
    }
    let store = fleet.store.listen_for(view);
    fleet.add_front_at(ZONES[0], store);
    fleet.add_front(ZONES[1]);
    fleet.add_front(ZONES[2]);
    if !fleet.wait_until_ready() {
        fleet.record.note("driver", "the fronts didn't get ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(3));
    let answers: Arc<Mutex<Vec<(String, u64, Answer)>>> = Arc::default();
    let began = Instant::now();
    let (mut sent, mut threads, mut stage) = (0_usize, Vec::new(), 0);
    while began.elapsed() < Duration::from_secs(9) {
        if trouble && stage == 0 && began.elapsed() >= Duration::from_secs(5) {
            stage = 1;
            fleet.record.note(
                "driver",
                "front 1 is partitioned from all replicas; open connections live on",
            );
            proxies.iter().for_each(Proxy::refuse);
        }
        if trouble && stage == 1 && began.elapsed() >= Duration::from_millis(6_500) {
            stage = 2;
            fleet.record.note("driver", "i-0a crashes");
            let _ = fleet.replicas[0].process.kill();
        }
        sent += 1;
        let id = format!("a{sent:04}");
        let pieces = if sent % 2 == 0 { LONG } else { SHORT };
        // Two thirds of the clients are at the first front.
        let front = fleet.fronts[[0, 0, 1, 0, 0, 2][sent % 6]].callers;
        let (answers, record) = (answers.clone(), fleet.record.clone());
        threads.push(std::thread::spawn(move || {
            let target = format!("/stream/{id}?pieces={pieces}&gap={GAP_MS}");
            let key = format!("Bearer {KEY}");
            let headers = [
                ("Host", "ficu95.example"),
                ("X-Samphireport-Attempt-Id", &*id),
                ("X-Samphireport-Deadline-Ms", "8000"),
                ("Authorization", &*key),
            ];
            let time = Duration::from_millis(2_400);
            let answer = http::send(front, "POST", &target, &headers, b"x", time);
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
            answers.lock().expect("the lock").push((id, pieces, answer));
        }));
        std::thread::sleep(Duration::from_millis(150));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let answers = answers.lock().expect("the lock");
    crate::case_13::verdict(&fleet.record, &answers)
}
