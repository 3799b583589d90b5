//! The platform's store, as PROTOCOL.md describes it, and what the backend servers of a case write.
//!
//! How servers write isn't on the pages, so they use calls of the stand-ins: `/stand/beat` and
//! `/stand/run`.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json::Json;
use crate::json::base64;
use crate::json::from_base64;
use crate::json::object;

/// Time between two heartbeats of a server.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Intervals of silence after which the entry of a server is removed.
const MISSED_HEARTBEATS: u32 = 3;
/// Most items of a page.
const PAGE: usize = 500;

struct Item {
    value: String,
    rev: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// The revision and key of every change.
    log: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// The last heartbeat of each server.
    beats: BTreeMap<String, Instant>,
}

/// Takes what a server says of a run.
pub type RunSink = Box<dyn Fn(&Json) + Send + Sync>;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    runs: RunSink,
}

impl State {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        self.rev += 1;
        match value {
            Some((value, lease)) => {
                let item = Item { value, rev: self.rev, lease };
                self.items.insert(key.into(), item);
            }
            None => {
                self.items.remove(key);
            }
        }
        self.log.push((self.rev, key.into()));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease && lease != 0);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.write(key, None));
    }

    fn expire(&mut self) {
        let ended = self.leases.iter().filter(|(_, (ttl, at))| at.elapsed() > *ttl);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
        let limit = HEARTBEAT * MISSED_HEARTBEATS;
        let silent = self.beats.iter().filter(|(_, at)| at.elapsed() > limit);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            self.beats.remove(&id);
            self.write(&format!("servers/{id}"), None);
        }
    }

    fn show(&self, key: &str, item: &Item) -> Json {
        object([
            ("key", key.into()),
            ("value", item.value.as_str().into()),
            ("rev", item.rev.into()),
            ("created", item.rev.into()),
            ("lease", item.lease.into()),
        ])
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Json> {
        let changes = self.log.iter().filter(|(rev, key)| *rev > after && key.starts_with(prefix));
        let event = |(rev, key): &(u64, String)| match self.items.get(key) {
            Some(item) if item.rev == *rev => self.show(key, item),
            _ => object([
                ("key", key.as_str().into()),
                ("rev", (*rev).into()),
                ("deleted", true.into()),
            ]),
        };
        changes.map(event).collect()
    }

    fn transact(&mut self, body: &Json) -> (u16, Json) {
        for row in body.get("expected").list() {
            let key = row.get("key").text();
            let found = self.items.get(key);
            if found.map_or(0, |item| item.rev) != row.get("rev").number().unwrap_or(0) {
                let items: Vec<Json> = found.map(|item| self.show(key, item)).into_iter().collect();
                return (412, object([("items", items.into())]));
            }
        }
        let puts = body.get("puts").list();
        let lease = |put: &Json| put.get("lease").number().unwrap_or(0);
        if puts.iter().any(|put| lease(put) != 0 && !self.leases.contains_key(&lease(put))) {
            return (404, Json::Null);
        }
        for put in puts {
            let value = put.get("value").text().to_owned();
            self.write(put.get("key").text(), Some((value, lease(put))));
        }
        body.get("deletes").list().iter().for_each(|key| self.write(key.text(), None));
        (200, object([("rev", self.rev.into())]))
    }
}

impl Store {
    /// Starts the store; returns it and its address.
    pub fn start(runs: RunSink) -> io::Result<(Arc<Self>, SocketAddr)> {
        let state = State { rev: 100, ..State::default() };
        let store = Arc::new(Store { state: Mutex::new(state), changed: Condvar::new(), runs });
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let served = store.clone();
        http::serve(listener, Arc::new(move |request, to| served.answer(request, to)));
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiring.state.lock().expect("the store").expire();
                expiring.changed.notify_all();
            }
        });
        Ok((store, address))
    }

    /// Writes a key, as the operator does.
    pub fn put(&self, key: &str, value: &Json) {
        let value = base64(value.to_string().as_bytes());
        self.state.lock().expect("the store").write(key, Some((value, 0)));
        self.changed.notify_all();
    }

    /// Returns the values below `prefix`.
    pub fn values(&self, prefix: &str) -> Vec<(String, Json)> {
        let state = self.state.lock().expect("the store");
        let below = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let read = |value: &str| {
            Json::read(&String::from_utf8_lossy(&from_base64(value))).unwrap_or(Json::Null)
        };
        below.map(|(key, item)| (key.clone(), read(&item.value))).collect()
    }

    fn beat(&self, id: &str, entry: &str) {
        let (key, value) = (format!("servers/{id}"), base64(entry.as_bytes()));
        let mut state = self.state.lock().expect("the store");
        state.beats.insert(id.into(), Instant::now());
        if state.items.get(&key).is_none_or(|item| item.value != value) {
            state.write(&key, Some((value, 0)));
        }
        drop(state);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request, to: &mut TcpStream) -> io::Result<bool> {
        let text = String::from_utf8_lossy(&request.body);
        let (status, body) = match request.path() {
            "/stand/beat" => {
                self.beat(&request.query("id").unwrap_or_default(), &text);
                (200, Json::Null)
            }
            "/stand/run" => {
                (self.runs)(&Json::read(&text).unwrap_or(Json::Null));
                (200, Json::Null)
            }
            "/kv-watch" => self.watch(request),
            path => self.call(path, request, &Json::read(&text).unwrap_or(Json::Null)),
        };
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        http::respond(to, status, &headers, &body.to_string())
    }

    fn watch(&self, request: &Request) -> (u16, Json) {
        let number = |name: &str| request.query(name).and_then(|n| n.parse::<u64>().ok());
        let (prefix, after) = (request.query("prefix").unwrap_or_default(), number("after"));
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().expect("the store");
        loop {
            let events = state.events(&prefix, after.unwrap_or(0));
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.rev.into();
                return (200, object([("events", events.into()), ("store_revision", revision)]));
            }
            state = self.changed.wait_timeout(state, left).expect("the store").0;
        }
    }

    fn call(&self, path: &str, request: &Request, body: &Json) -> (u16, Json) {
        let mut state = self.state.lock().expect("the store");
        let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let answered = match path {
            "/kv-key" => {
                let key = request.query("key").unwrap_or_default();
                match state.items.get(&key).map(|item| state.show(&key, item)) {
                    Some(Json::Object(mut fields)) => {
                        fields.insert("store_revision".into(), state.rev.into());
                        (200, Json::Object(fields))
                    }
                    _ => (404, Json::Null),
                }
            }
            "/kv-range" => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let below = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let rest: Vec<_> = below.filter(|(key, _)| **key > after).collect();
                let items = rest.iter().take(PAGE).map(|(key, item)| state.show(key, item));
                let items: Vec<Json> = items.collect();
                let has_more = rest.len() > PAGE;
                let fields = [
                    ("items", items.into()),
                    ("has_more", has_more.into()),
                    ("store_revision", state.rev.into()),
                ];
                (200, object(fields))
            }
            "/kv-txn" => state.transact(body),
            "/kv-lease" => {
                let ttl = body.get("ttl_ms").number().unwrap_or(1_000);
                state.rev += 1;
                let lease = state.rev;
                state.leases.insert(lease, (Duration::from_millis(ttl), Instant::now()));
                (200, object([("lease", lease.into()), ("ttl_ms", ttl.into())]))
            }
            _ if path.starts_with("/kv-keep/") => match state.leases.get_mut(&lease) {
                Some((ttl, at)) => {
                    *at = Instant::now();
                    (200, object([("ttl_ms", (ttl.as_millis() as u64).into())]))
                }
                None => (404, Json::Null),
            },
            _ if path.starts_with("/kv-lease-end/") => {
                state.end_lease(lease);
                (200, Json::Null)
            }
            _ => (404, Json::Null),
        };
        drop(state);
        self.changed.notify_all();
        answered
    }
}
