//! Replicas leave orders unanswered and carry them out late while groups are formed, and the front that gave the orders is
//! stopped as planned: a member is joined to a group of the former owner while the group that the next owner opened serves.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, KEY, ZONES, signal};
use crate::http;

pub const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-s","host":"ficu95.example","prefix":"/stream/","kind":"streaming","timeout_ms":8000,
  "target_latency_ms":300,"priority":1,"service":"assistant","max_attempts":2,"public":false,
  "session_affinity":true,"resumable":true,"gap_aim_ms":300}],
 "services":[{"name":"assistant","health_path":"/health","max_connections":464,"protocol":"h1","tls":false,
  "engine":{"slots":26,"kv_tokens":1590000,"kv_bytes":327680,"bandwidth_mbps":400000.0,"stride":7,
  "models":[{"name":"m0","size":2,"share":1.0,"pace":1.0,"load_s":12.0,"warm_s":1.1}],
  "step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,"read_per_s":50700.0,"pairs_per_m":0.368,
  "chunk":2048,"report_lag_ms":200.0,"loads_per_s":4.5,"loads_at_once":6,"delays":[],
  "usual":{"prompt":1115,"answer":178},"keeps":1,"far_x":4.0,"form_ms":300.0}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

pub const FROM: &str = "some orders are left unanswered from now on, and carried out late";
pub const OVER: &str = "all orders are answered again";

/// The added replicas whose orders come late, and others, whose don't.
const LATE: [&str; 2] = ["i-h1", "i-h2"];
const PROMPT: [&str; 4] = ["i-p1", "i-p2", "i-p3", "i-p4"];
/// Replicas from the start, in domains of two.
const FIRST: usize = 24;

pub fn run(record: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let mut fleet = Fleet::start(record);
    fleet.store.write("op/config", CONFIG);
    let first: Vec<String> = (0..FIRST).map(|i| format!("i-a{i}")).collect();
    for (i, id) in first.iter().enumerate() {
        fleet.add_engine(id, "assistant", ZONES[i % 3], &format!("d{}", i / 2), "m0");
    }
    for zone in ZONES {
        fleet.add_front(zone);
    }
    if !fleet.wait_until_ready()
        || !wait(&fleet, 20, |fleet| {
            first.iter().filter(|id| is_open(fleet, id)).count() == FIRST / 2
        })
    {
        fleet.record.note("driver", "the groups were not opened at the start");
        return 2;
    }
    let (stop, traffic) = send_traffic(&fleet);
    std::thread::sleep(Duration::from_secs(3));
    fleet.record.note("driver", "empty replicas are added");
    for (i, id) in PROMPT.iter().enumerate() {
        fleet.add_engine(id, "assistant", ZONES[i % 3], &format!("p{}", i / 2), "");
    }
    for (i, id) in LATE.iter().enumerate() {
        fleet.add_engine(id, "assistant", ZONES[i + 1], "l0", "");
    }
    // Their hosts are staged after 12 s, and groups are formed then.
    std::thread::sleep(Duration::from_millis(11_700));
    if trouble {
        fleet.record.note("driver", FROM);
        set_trouble(&fleet, true);
    }
    let has_begun =
        wait(&fleet, 15, |fleet| LATE.iter().any(|id| entry(fleet, id).contains("\"rank\"")));
    if !has_begun {
        fleet.record.note("driver", "no group was begun with the added replicas");
        return 2;
    }
    if trouble {
        std::thread::sleep(Duration::from_millis(1_100));
        let owner = fleet.store.get("samphire/owner").unwrap_or_default();
        let Some(at) = fleet.fronts.iter().position(|front| front.name == owner) else { return 2 };
        fleet.record.note("driver", &format!("{owner}, which gives the orders, gets SIGTERM"));
        signal(&fleet.fronts[at].process, "TERM");
        let _ = fleet.fronts[at].process.wait();
        fleet.record.note("driver", &format!("{owner} has ended, and starts again"));
        fleet.restart_front(at);
        set_trouble(&fleet, false);
        fleet.record.note("driver", OVER);
    }
    std::thread::sleep(Duration::from_secs(12));
    stop.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    judge(&fleet, record)
}

/// Sends a stream every 100 ms until it is stopped.
pub fn send_traffic(fleet: &Fleet) -> (Arc<AtomicBool>, JoinHandle<()>) {
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (stop, fronts) =
            (stop.clone(), fleet.fronts.iter().map(|f| f.callers).collect::<Vec<_>>());
        std::thread::spawn(move || {
            let mut n = 0_usize;
            while !stop.load(Ordering::SeqCst) {
                n += 1;
                let (id, key) = (format!("a{n:04}"), format!("Bearer {KEY}"));
                let headers = [
                    ("Host", "ficu95.example"),
                    ("X-Samphireport-Attempt-Id", &*id),
                    ("X-Samphireport-Deadline-Ms", "8000"),
                    ("X-Samphireport-Model", "m0"),
                    ("X-Samphireport-Token-Count", "700,200"),
                    ("X-Samphireport-Prompt-Prefix", "5c1e07a2:40,91bd3f06:660"),
                    ("Authorization", &*key),
                ];
                let front = fronts[n % fronts.len()];
                http::send(front, "POST", "/stream/1", &headers, b"x", Duration::from_secs(2));
                std::thread::sleep(Duration::from_millis(100));
            }
        })
    };
    (stop, traffic)
}

fn set_trouble(fleet: &Fleet, on: bool) {
    for replica in fleet.replicas.iter().filter(|replica| LATE.contains(&&*replica.id)) {
        let target = format!("/stand/trouble?on={}", u8::from(on));
        http::send(replica.address, "POST", &target, &[("Host", "r")], b"", Duration::from_secs(1));
    }
}

pub fn entry(fleet: &Fleet, id: &str) -> String {
    fleet.store.get(&format!("servers/{id}")).unwrap_or_default()
}

pub fn is_open(fleet: &Fleet, id: &str) -> bool {
    entry(fleet, id).contains("\"state\":\"open\"")
}

pub fn wait(fleet: &Fleet, seconds: u64, is_met: impl Fn(&Fleet) -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until {
        if is_met(fleet) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Replays the record: a join of another group, taken while the head of the group that is left is open or closing.
pub fn judge(fleet: &Fleet, path: &str) -> i32 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let mut groups: HashMap<String, (String, String)> = HashMap::new();
    let (mut broken, mut orders, mut late, mut is_on) = (Vec::new(), 0, 0, false);
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        is_on = (is_on || line.ends_with(FROM)) && !line.ends_with(OVER);
        let (Some(who), Some(what)) = (words.get(1), words.get(2)) else { continue };
        let id = who.trim_end_matches(':').to_owned();
        match *what {
            "is" if words.len() == 6 => {
                groups.insert(id, (words[5].to_owned(), words[3].to_owned()));
            }
            "takes" => {
                let left = words[words.len() - 1];
                let head = left.split_once('-').and_then(|(_, rest)| rest.split('@').next());
                let head = head.unwrap_or_default();
                let state = groups.get(head).filter(|(group, _)| group == left);
                if let Some((_, state)) = state.filter(|(_, state)| state == "open") {
                    broken.push(format!("{line}; its head {head} is {state}"));
                }
            }
            "order" | "late" => {
                orders += usize::from(is_on && *what == "order");
                if let Some((_, now)) = line.split_once("; now ") {
                    let mut now = now.split(' ');
                    let group = (now.next().unwrap_or(""), now.next().unwrap_or(""));
                    groups.insert(id, (group.0.to_owned(), group.1.to_owned()));
                }
            }
            "leaves" if line.contains("unanswered") => late += 1,
            _ => {}
        }
    }
    let orders = orders + late;
    let verdict = format!(
        "{orders} orders in that time, {late} of them late; TWO broken {} times",
        broken.len()
    );
    fleet.record.note("driver", &verdict);
    println!("{verdict}");
    for line in &broken {
        println!("{line}");
        fleet.record.note("driver", &format!("TWO: {line}"));
    }
    i32::from(!broken.is_empty())
}
