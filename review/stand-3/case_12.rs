//! A member of a group crashes, and the head of the group sends an additional answer where that to the order to leave the
//! group is expected; the order itself is left unanswered and carried out late.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::case_11::{CONFIG, FROM, OVER, entry, is_open, judge, send_traffic, wait};
use crate::fleet::{Fleet, ZONES};
use crate::http;

/// The replicas of the domain that is meant: a group of three, and one more.
const MEANT: [&str; 4] = ["i-m1", "i-m2", "i-m3", "i-m4"];

pub fn run(record: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let mut fleet = Fleet::start(record);
    fleet.store.write("op/config", &CONFIG.replace("\"size\":2", "\"size\":3"));
    for (i, id) in MEANT.iter().enumerate() {
        fleet.add_engine(id, "assistant", ZONES[i % 3], "m0", "m0");
    }
    for i in 0..6 {
        let (id, domain) = (format!("i-o{i}"), format!("o{}", i / 3));
        fleet.add_engine(&id, "assistant", ZONES[i % 3], &domain, "m0");
    }
    for zone in ZONES {
        fleet.add_front(zone);
    }
    let is_ready = |fleet: &Fleet| {
        let open = |id: &&str| is_open(fleet, id);
        MEANT.iter().any(|id| open(&id))
            && (0..6).filter(|i| is_open(fleet, &format!("i-o{i}"))).count() == 2
    };
    if !fleet.wait_until_ready() || !wait(&fleet, 20, is_ready) {
        fleet.record.note("driver", "the groups were not opened at the start");
        return 2;
    }
    let (stop, traffic) = send_traffic(&fleet);
    std::thread::sleep(Duration::from_secs(20));
    let group = |id: &str| entry(&fleet, id).split("\"group\":").nth(1).unwrap_or("").to_owned();
    let Some(head) = MEANT.iter().copied().find(|id| is_open(&fleet, id)) else { return 2 };
    let name = group(head).split('"').nth(3).unwrap_or("").to_owned();
    let is_member = |id: &&str| *id != head && group(id).contains(&name);
    let Some(member) = MEANT.iter().copied().rfind(|id| is_member(&id)) else { return 2 };
    if trouble {
        let address = fleet.replicas.iter().find(|r| r.id == head).expect("the head").address;
        http::send(
            address,
            "POST",
            "/stand/trouble?doubles=1",
            &[("Host", "r")],
            b"",
            Duration::from_secs(1),
        );
        fleet.record.note("driver", &format!("{member} crashes, a member of the group of {head}"));
        fleet.record.note("driver", FROM);
        let lost = fleet.replicas.iter_mut().find(|r| r.id == member).expect("the member");
        let _ = lost.process.kill();
    }
    std::thread::sleep(Duration::from_secs(8));
    fleet.record.note("driver", OVER);
    std::thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    let text = std::fs::read_to_string(record).unwrap_or_default();
    let answers = text.lines().filter(|line| line.contains(&format!("{head}: runs"))).count();
    fleet
        .record
        .note("driver", &format!("{head} answered {answers} requests, and one answer came twice"));
    judge(&fleet, record)
}
