//! A front stands still while a replica crashes and is back at its address: answers that have neither a length nor chunks
//! are cut, and the front learns of the cut after the restart.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, KEY, ZONES, signal};
use crate::http::{self, Answer};

const PIECES: u64 = 60;
const GAP_MS: u64 = 60;
/// How long the front stands still; clients wait 2.4 s for the next piece (eight times a pause of 300 ms).
const FREEZE: Duration = Duration::from_millis(2_200);
/// How long the replica is down.
const DOWN: Duration = Duration::from_millis(1_500);

pub fn run(record: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let mut fleet = Fleet::start(record);
    fleet.store.write("op/config", crate::case_13::CONFIG);
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
    let (mut sent, mut threads, mut is_done) = (0, Vec::new(), false);
    while began.elapsed() < Duration::from_secs(10) {
        if trouble && !is_done && began.elapsed() >= Duration::from_secs(4) {
            is_done = true;
            disturb(&mut fleet);
        }
        sent += 1;
        let id = format!("a{sent:04}");
        // Half of the clients are at the first front.
        let front = fleet.fronts[[0, 1, 0, 2][sent % 4]].callers;
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
            answers.lock().expect("the lock").push((id, PIECES, answer));
        }));
        std::thread::sleep(Duration::from_millis(130));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let answers = answers.lock().expect("the lock");
    crate::case_13::verdict(&fleet.record, &answers)
}

fn disturb(fleet: &mut Fleet) {
    let (record, began) = (fleet.record.clone(), Instant::now());
    record.note("driver", "front 1 stands still");
    signal(&fleet.fronts[0].process, "STOP");
    std::thread::sleep(Duration::from_millis(100));
    record.note("driver", "i-0a crashes");
    let port = fleet.replicas[0].address.port();
    let _ = fleet.replicas[0].process.kill();
    let _ = fleet.replicas[0].process.wait();
    std::thread::sleep(DOWN);
    fleet.add_replica("i-0b", "desk", ZONES[0], port);
    record.note("driver", "i-0b has started at the address of i-0a");
    std::thread::sleep(FREEZE.saturating_sub(began.elapsed()));
    signal(&fleet.fronts[0].process, "CONT");
    record.note("driver", "front 1 goes on");
}
