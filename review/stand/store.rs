//! A stand-in of the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{self, Json, Message};

struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    log: Vec<(u64, String, Option<Vec<u8>>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// The store. Clones share one.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let (listener, address) = net::listener();
        let state = State { rev: 10, next_lease: 1_000, ..State::default() };
        let store = Store { state: Arc::new(Mutex::new(state)), changed: Arc::default(), address };
        let served = store.clone();
        let answer = move |request: Message, stream: &mut TcpStream| {
            let (status, body) = served.response(&request);
            respond(stream, status, &body)
        };
        net::serve(listener, Arc::new(answer));
        store
    }

    /// Serves the store once more, with `change` applied to all values; returns the address.
    pub fn start_view(&self, change: fn(String) -> String) -> SocketAddr {
        let (listener, address) = net::listener();
        let served = self.clone();
        let answer = move |request: Message, stream: &mut TcpStream| {
            let (status, body) = served.response(&request);
            respond(stream, status, &change_values(&body, change))
        };
        net::serve(listener, Arc::new(answer));
        address
    }

    /// Writes a key, as the operator and the servers do.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().write(key, Some((value.as_bytes().to_vec(), 0)));
        self.changed.notify_all();
    }

    /// Removes a key, as the platform does when a server has left.
    pub fn delete(&self, key: &str) {
        self.state.lock().unwrap().write(key, None);
        self.changed.notify_all();
    }

    /// Returns the keys that contain `part`, with their values.
    pub fn rows(&self, part: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.state.lock().unwrap();
        let rows = state.items.iter().filter(|(key, _)| key.contains(part));
        rows.map(|(key, item)| (key.clone(), item.value.clone())).collect()
    }

    fn response(&self, request: &Message) -> (&'static str, String) {
        self.state.lock().unwrap().expire();
        match request.path() {
            "/kv-key" => self.read_key(request),
            "/kv-range" => self.read_range(request),
            "/kv-watch" => self.watch(request),
            _ => self.write(request),
        }
    }

    fn read_key(&self, request: &Message) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let key = request.query("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => ("200 OK", show(&key, item, Some(state.rev))),
            None => ("404 Not Found", "{}".into()),
        }
    }

    fn read_range(&self, request: &Message) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let rows = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let rows: Vec<String> = rows.map(|(key, item)| show(key, item, None)).collect();
        let items = rows.join(",");
        let rev = state.rev;
        ("200 OK", format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{rev}}}"))
    }

    fn watch(&self, request: &Message) -> (&'static str, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.state.lock().unwrap();
        if after > state.rev {
            return ("410 Gone", "{}".into());
        }
        loop {
            state.expire();
            let events = state.events(&prefix, after);
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, rev) = (events.join(","), state.rev);
                return ("200 OK", format!("{{\"events\":[{events}],\"store_revision\":{rev}}}"));
            }
            let pause = (until - now).min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, pause).unwrap().0;
        }
    }

    fn write(&self, request: &Message) -> (&'static str, String) {
        let body = Json::parse(&request.body);
        let id = request.path().rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let answer = match request.path() {
            "/kv-txn" => state.transact(&body),
            "/kv-lease" => {
                let ttl = body.get("ttl_ms").number().max(1_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Duration::from_millis(ttl), Instant::now()));
                ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            path if path.starts_with("/kv-keep/") => match state.leases.get_mut(&id) {
                None => ("404 Not Found", "{}".into()),
                Some((ttl, at)) => {
                    *at = Instant::now();
                    ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                }
            },
            path if path.starts_with("/kv-lease-end/") => {
                state.end_lease(id);
                ("200 OK", "{}".into())
            }
            _ => ("404 Not Found", "{}".into()),
        };
        drop(state);
        self.changed.notify_all();
        answer
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<(Vec<u8>, u64)>) {
        self.rev += 1;
        let rev = self.rev;
        match value {
            Some((value, lease)) => {
                let created = self.items.get(key).map_or(rev, |item| item.created);
                self.log.push((rev, key.to_owned(), Some(value.clone())));
                self.items.insert(key.to_owned(), Item { value, rev, created, lease });
            }
            None => {
                if self.items.remove(key).is_some() {
                    self.log.push((rev, key.to_owned(), None));
                }
            }
        }
    }

    fn transact(&mut self, body: &Json) -> (&'static str, String) {
        let expected = body.get("expected").list();
        let rev_of = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.rev);
        let fits = |row: &Json| rev_of(self, row.get("key").text()) == row.get("rev").number();
        if !expected.iter().all(fits) {
            let keys = expected.iter().map(|row| row.get("key").text());
            let found = keys.filter_map(|key| Some(show(key, self.items.get(key)?, None)));
            let items: Vec<String> = found.collect();
            return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        let has_lease = |put: &Json| match put.get("lease").number() {
            0 => true,
            lease => self.leases.contains_key(&lease),
        };
        if !puts.iter().all(has_lease) {
            return ("404 Not Found", "{}".into());
        }
        for put in puts {
            let value = net::decode(put.get("value").text());
            self.write(put.get("key").text(), Some((value, put.get("lease").number())));
        }
        for key in body.get("deletes").list() {
            self.write(key.text(), None);
        }
        ("200 OK", format!("{{\"rev\":{}}}", self.rev))
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let changes =
            self.log.iter().filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
        let shown = changes.map(|(rev, key, value)| match value {
            Some(value) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{rev},\"created\":{rev},\"lease\":0}}",
                net::encode(value)
            ),
            None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"deleted\":true}}"),
        });
        shown.collect()
    }

    fn expire(&mut self) {
        let ended = self.leases.iter().filter(|(_, (ttl, at))| at.elapsed() > *ttl);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| lease != 0 && item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.write(&key, None);
        }
    }
}

fn respond(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    let headers = [("Content-Type", "application/json")];
    net::respond(stream, status, &headers, body.as_bytes()).is_ok()
}

/// Applies `change` to all values in the body of a response.
fn change_values(body: &str, change: fn(String) -> String) -> String {
    const FIELD: &str = "\"value\":\"";
    let mut parts = body.split(FIELD);
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (value, rest) = part.split_once('"').unwrap_or((part, ""));
        let value = change(String::from_utf8_lossy(&net::decode(value)).into_owned());
        out.push_str(&format!("{FIELD}{}\"{rest}", net::encode(value.as_bytes())));
    }
    out
}

fn show(key: &str, item: &Item, store_revision: Option<u64>) -> String {
    let Item { value, rev, created, lease } = item;
    let value = net::encode(value);
    let revision = store_revision.map_or(String::new(), |r| format!(",\"store_revision\":{r}"));
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{created},\
         \"lease\":{lease}{revision}}}"
    )
}
