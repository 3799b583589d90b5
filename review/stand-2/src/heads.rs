//! The head of an open group loses its path to the store, and leaves some orders unanswered meanwhile.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Entry;
use crate::fleet::Server;
use crate::fleet::config;
use crate::fleet::free_address;
use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::replica;
use crate::store::Store;

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// Servers, in two fabric domains: three groups of two and a spare in each.
const SERVERS: usize = 14;
const GROUPS: usize = 6;
/// How long all groups may take to open.
const START: Duration = Duration::from_secs(30);
/// How long a head has no path to the store: `for_s` of `srv_cut`.
const CUT: Duration = Duration::from_secs(10);
/// How long it leaves orders unanswered, from when its entry is gone.
const UNANSWERED: Duration = Duration::from_secs(5);
/// How long the case goes on after that.
const AFTER: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(20);

struct Join {
    at: f64,
    server: String,
    /// The group that it was in, and the one that it joined.
    before: String,
    group: String,
}

/// A head as it was seen.
struct Head {
    id: String,
    address: SocketAddr,
    group: String,
}

/// Returns whether the rule held; `None` if the case couldn't run.
pub fn run(
    has_trouble: bool,
    leaves_orders: bool,
    dir: &Path,
    record: &Path,
) -> io::Result<Option<bool>> {
    let record = Arc::new(Record::create(record)?);
    let joins = Arc::<Mutex<Vec<Join>>>::default();
    let sink = {
        let (record, joins) = (record.clone(), joins.clone());
        move |run: &Json| {
            let (server, what) = (run.get("server").text(), run.get("what").text());
            record.write(&format!("server {server}: {what}"));
            let words: Vec<&str> = what.split(' ').collect();
            if let ["join", group, "after", before] = words.as_slice() {
                let (group, before) = ((*group).to_owned(), (*before).to_owned());
                let join = Join { at: record.seconds(), server: server.into(), before, group };
                joins.lock().expect("the joins").push(join);
            }
        }
    };
    let (store, address) = Store::start(Box::new(sink))?;
    store.put("op/config", &config(replica::LOAD, replica::WARM, replica::FORM));
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let id = format!("i-{i:02}");
        let (fabric, own) = (format!("d{}", i % 2), free_address()?.to_string());
        let store = address.to_string();
        let values = [
            "replica",
            &id,
            "assistant",
            ZONES[i % 3],
            &fabric,
            &own,
            &store,
            "5",
            "true",
            "false",
        ];
        servers.push(Server::start(&id, values.iter().map(|v| (*v).to_owned()).collect())?);
    }
    let entries = ZONES.iter().map(|zone| Entry::start(zone, &ZONES, address, dir));
    let _entries = entries.collect::<io::Result<Vec<Entry>>>()?;
    record.write(&format!("started: {SERVERS} servers, {} processes", ZONES.len()));
    let began = Instant::now();
    while open_heads(&store).len() < GROUPS {
        if began.elapsed() > START {
            record.write("the groups didn't open in time");
            return Ok(None);
        }
        std::thread::sleep(POLL);
    }
    // All machines are in touch after that.
    std::thread::sleep(Duration::from_secs(4));
    let Some(head) = open_heads(&store).into_iter().next() else { return Ok(None) };
    record.write(&format!("the head {} of {} is open", head.id, head.group));
    let from = record.seconds();
    let cut_at = Instant::now();
    if has_trouble {
        control(&head, true, false)?;
        record.write(&format!("{} has no path to the store from now on", head.id));
    }
    let is_listed = || store.values("servers/").iter().any(|(key, _)| key.ends_with(&head.id));
    while has_trouble && is_listed() {
        std::thread::sleep(POLL);
    }
    let mut unanswered_until = None;
    if has_trouble && leaves_orders {
        control(&head, true, true)?;
        record.write(&format!("the entry of {} is gone; it leaves orders unanswered", head.id));
        unanswered_until = Some(Instant::now() + UNANSWERED);
    }
    // The times at which the head was seen to be open.
    let mut open_at = Vec::new();
    while cut_at.elapsed() < CUT + AFTER {
        let report = http::call(head.address, "GET", "/report", &[], "", Duration::from_secs(1));
        let report = report.ok().and_then(|response| response.body);
        let report = Json::read(&String::from_utf8_lossy(&report.unwrap_or_default()));
        let group = report.unwrap_or(Json::Null).get("group").clone();
        if group.get("name").text() == head.group && group.get("state").text() == "open" {
            open_at.push(record.seconds());
        }
        if unanswered_until.is_some_and(|until| Instant::now() >= until) {
            unanswered_until = None;
            control(&head, cut_at.elapsed() < CUT, false)?;
            record.write(&format!("{} answers orders again", head.id));
        }
        if has_trouble && cut_at.elapsed() >= CUT {
            control(&head, false, unanswered_until.is_some())?;
        }
        std::thread::sleep(POLL);
    }
    let joins = joins.lock().expect("the joins");
    let is_open_around = |at: f64| {
        open_at.iter().any(|seen| *seen <= at && at - seen < 0.5)
            && open_at.iter().any(|seen| *seen > at)
    };
    let broken = joins.iter().filter(|join| {
        let is_other = join.before == head.group && join.group != head.group;
        join.at > from && is_other && join.server != head.id && is_open_around(join.at)
    });
    let broken: Vec<&Join> = broken.collect();
    for Join { at, server, before, group } in &broken {
        record.write(&format!(
            "at {at:.3} s the member {server} of {before} took a join of {group}, while the head {} was open, as seen \
             before and after",
            head.id,
        ));
    }
    record.write(&format!(
        "{} such joins: the rule {}",
        broken.len(),
        if broken.is_empty() { "held" } else { "was broken" }
    ));
    Ok(Some(broken.is_empty()))
}

/// Returns the heads that report their groups open.
fn open_heads(store: &Store) -> Vec<Head> {
    let servers = store.values("servers/");
    let open = servers.iter().filter(|(_, e)| e.get("group").get("state").text() == "open");
    let heads = open.filter_map(|(key, entry)| {
        Some(Head {
            id: key.strip_prefix("servers/")?.into(),
            address: entry.get("address").text().parse().ok()?,
            group: entry.get("group").get("name").text().into(),
        })
    });
    heads.collect()
}

/// Sets what disturbs a head.
fn control(head: &Head, is_cut: bool, is_late: bool) -> io::Result<()> {
    let target = format!("/stand/control?cut={}&late={}", u8::from(is_cut), u8::from(is_late));
    http::call(head.address, "POST", &target, &[], "", Duration::from_secs(1)).map(|_| ())
}
