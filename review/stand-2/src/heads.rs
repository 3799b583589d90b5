//! Heads of open groups lose their path to the store, and one of them leaves some orders unanswered meanwhile.

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
/// Servers, in fabric domains of nine: two groups of four and a spare in each.
const SERVERS: usize = 27;
const DOMAINS: usize = 3;
const GROUP_SIZE: u64 = 4;
const GROUPS: usize = 6;
/// Heads that lose their path to the store, one in each domain: 0.11 of the servers; `srv_cut` cuts 0.22 at most.
const CUT_HEADS: usize = DOMAINS;
/// The largest `x` of `applied_late` in the site file.
const MAX_UNANSWERED_SHARE: f64 = 0.35;
/// How long all groups may take to open.
const START: Duration = Duration::from_secs(30);
/// How long heads have no path to the store: `for_s` of `srv_cut`.
const CUT: Duration = Duration::from_secs(10);
/// How long one of them leaves orders unanswered, from when its entry is gone; `applied_late` lasts 5.5 s at most.
const UNANSWERED: Duration = Duration::from_secs(5);
/// How long the case goes on after that.
const AFTER: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(20);

/// An order that a server received.
struct Order {
    at: f64,
    is_answered: bool,
}

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
    /// The fabric domain.
    domain: String,
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
    let orders = Arc::<Mutex<Vec<Order>>>::default();
    let sink = {
        let (record, joins, orders) = (record.clone(), joins.clone(), orders.clone());
        move |run: &Json| {
            let (server, what) = (run.get("server").text(), run.get("what").text());
            record.write(&format!("server {server}: {what}"));
            let is_answered = what.starts_with("answers: ");
            if is_answered || what.starts_with("leaves unanswered: ") {
                let order = Order { at: record.seconds(), is_answered };
                orders.lock().expect("the orders").push(order);
            }
            let words: Vec<&str> = what.split(' ').collect();
            if let ["join", group, "after", before] = words.as_slice() {
                let (group, before) = ((*group).to_owned(), (*before).to_owned());
                let join = Join { at: record.seconds(), server: server.into(), before, group };
                joins.lock().expect("the joins").push(join);
            }
        }
    };
    let (store, address) = Store::start(Box::new(sink))?;
    store.put("op/config", &config(GROUP_SIZE, replica::LOAD, replica::WARM, replica::FORM));
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let id = format!("i-{i:02}");
        let (fabric, own) = (format!("d{}", i % DOMAINS), free_address()?.to_string());
        let store = address.to_string();
        let values = [
            "replica",
            &id,
            "assistant",
            ZONES[i / DOMAINS % ZONES.len()],
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
    let heads = one_of_each_domain(open_heads(&store));
    let [head, ..] = heads.as_slice() else { return Ok(None) };
    if heads.len() != CUT_HEADS {
        return Ok(None);
    }
    record.write(&format!("the head {} of {} is open", head.id, head.group));
    let from = record.seconds();
    let cut_at = Instant::now();
    if has_trouble {
        for head in &heads {
            control(head, true, false)?;
            record.write(&format!("{} has no path to the store from now on", head.id));
        }
    }
    let is_listed = || store.values("servers/").iter().any(|(key, _)| key.ends_with(&head.id));
    while has_trouble && is_listed() {
        std::thread::sleep(POLL);
    }
    let late_from = record.seconds();
    let mut unanswered_until = None;
    if has_trouble && leaves_orders {
        control(head, true, true)?;
        record.write(&format!("the entry of {} is gone; it leaves orders unanswered", head.id));
        unanswered_until = Some(Instant::now() + UNANSWERED);
    }
    // The times at which the head was seen to be open.
    let mut open_at = Vec::new();
    let mut is_cut = has_trouble;
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
            control(head, is_cut, false)?;
            record.write(&format!("{} answers orders again", head.id));
        }
        if is_cut && cut_at.elapsed() >= CUT {
            is_cut = false;
            for (i, other) in heads.iter().enumerate() {
                control(other, false, i == 0 && unanswered_until.is_some())?;
            }
            record.write("all have their path to the store again");
        }
        std::thread::sleep(POLL);
    }
    if has_trouble && leaves_orders {
        let until = late_from + UNANSWERED.as_secs_f64();
        let orders = orders.lock().expect("the orders");
        let count = |is_counted: fn(&Order) -> bool| {
            let in_time = |order: &&Order| (late_from..until).contains(&order.at);
            orders.iter().filter(in_time).filter(|order| is_counted(order)).count()
        };
        let (unanswered, all) = (count(|order| !order.is_answered), count(|_| true));
        record
            .write(&format!("{unanswered} of the {all} orders of that time were left unanswered"));
        if unanswered as f64 > MAX_UNANSWERED_SHARE * all as f64 {
            record.write("more than the disruption may");
            return Ok(None);
        }
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
            domain: entry.get("domain").text().into(),
        })
    });
    heads.collect()
}

/// Returns the first of `heads` in each domain.
fn one_of_each_domain(heads: Vec<Head>) -> Vec<Head> {
    let mut chosen: Vec<Head> = Vec::new();
    for head in heads {
        if chosen.iter().all(|other| other.domain != head.domain) {
            chosen.push(head);
        }
    }
    chosen
}

/// Sets what disturbs a head.
fn control(head: &Head, is_cut: bool, is_late: bool) -> io::Result<()> {
    let target = format!("/stand/control?cut={}&late={}", u8::from(is_cut), u8::from(is_late));
    http::call(head.address, "POST", &target, &[], "", Duration::from_secs(1)).map(|_| ())
}
