//! The platform's metadata store, as its page describes it, and the heartbeats of replicas.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{Json, base64, from_base64, quoted};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone)]
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
    /// Every change: revision, key, and the item as it was written.
    log: Vec<(u64, String, Option<Item>)>,
    next_lease: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    /// Replicas: when each last wrote.
    beats: HashMap<String, Instant>,
    /// Replicas that don't reach the store.
    cut: BTreeSet<String>,
}

/// The addresses of replicas as one front sees them: that of a proxy for each.
pub type View = Arc<Mutex<HashMap<String, String>>>;

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.rev += 1;
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item { value, rev, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.log.push((rev, key.to_owned(), Some(item)));
        rev
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.log.push((self.rev, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
        let silent: Vec<String> = self
            .beats
            .iter()
            .filter(|(_, at)| now.duration_since(**at) >= HEARTBEAT * 3)
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            self.beats.remove(&id);
            self.delete(&format!("servers/{id}"));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

fn item_json(view: &View, key: &str, item: &Item) -> String {
    let mut value = item.value.clone();
    if key.starts_with("servers/") {
        for (address, proxy) in view.lock().expect("the lock").iter() {
            let text = String::from_utf8_lossy(&value).replace(address, proxy);
            value = text.into_bytes();
        }
    }
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}",
        quoted(key),
        base64(&value),
        item.rev,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = State { rev: 100, next_lease: 70_000, ..State::default() };
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let serving = store.clone();
        http::listen(listener, move |stream| serving.serve(stream, &View::default()));
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiring.change(State::expire);
            }
        });
        store
    }

    /// Returns the address of the same store for a front that sees replicas by proxies.
    pub fn listen_for(&self, view: View) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let serving = self.clone();
        http::listen(listener, move |stream| serving.serve(stream, &view));
        address
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the lock");
        let rev = state.rev;
        let result = change(&mut state);
        if state.rev != rev {
            changed.notify_all();
        }
        result
    }

    /// Writes as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, value.as_bytes().to_vec(), 0));
    }

    /// Cuts a replica off from the store, or ends that.
    pub fn cut(&self, id: &str, is_cut: bool) {
        self.change(|state| match is_cut {
            true => state.cut.insert(id.to_owned()),
            false => state.cut.remove(id),
        });
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<String> {
        self.change(|state| state.items.get(key).map(|i| String::from_utf8_lossy(&i.value).into()))
    }

    fn serve(&self, mut stream: TcpStream, view: &View) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request, view);
            let headers = [("Content-Type", "application/json")];
            if http::respond(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, view: &View) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let path = request.path().to_owned();
        match (&*request.method, &*path) {
            ("GET", "/kv-key") => {
                let key = request.query("key");
                self.change(|state| match state.items.get(&key) {
                    Some(item) => {
                        let item = item_json(view, &key, item);
                        (200, format!("{item},\"store_revision\":{}}}", state.rev))
                    }
                    None => (404, "{}".into()),
                })
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                self.change(|state| {
                    let items = state.items.iter();
                    let items = items.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                    let items: Vec<String> =
                        items.map(|(k, item)| item_json(view, k, item) + "}").collect();
                    let (items, rev) = (items.join(","), state.rev);
                    (
                        200,
                        format!(
                            "{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{rev}}}"
                        ),
                    )
                })
            }
            ("GET", "/kv-watch") => self.watch(request, view),
            ("POST", "/kv-txn") => self.change(|state| transact(state, &body, view)),
            ("POST", "/kv-lease") => self.change(|state| {
                let ttl = body.get("ttl_ms").number().clamp(1_000, 600_000);
                state.next_lease += 1;
                let (lease, time) = (state.next_lease, Duration::from_millis(ttl));
                state.leases.insert(lease, (Instant::now() + time, time));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }),
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                self.change(|state| match state.leases.get_mut(&lease) {
                    Some((until, time)) => {
                        *until = Instant::now() + *time;
                        (200, format!("{{\"ttl_ms\":{}}}", time.as_millis()))
                    }
                    None => (404, "{}".into()),
                })
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.change(|state| state.end_lease(lease));
                (200, "{}".into())
            }
            // A replica's heartbeat. This call is the stand-ins' own.
            ("POST", path) if path.starts_with("/beat/") => {
                let id = path["/beat/".len()..].to_owned();
                self.change(|state| {
                    if state.cut.contains(&id) {
                        return (503, "{}".into());
                    }
                    state.beats.insert(id.clone(), Instant::now());
                    let key = format!("servers/{id}");
                    if state.items.get(&key).is_none_or(|item| item.value != request.body) {
                        state.put(&key, request.body.clone(), 0);
                    }
                    (200, "{}".into())
                })
            }
            // A replica has left.
            ("DELETE", path) if path.starts_with("/beat/") => {
                let id = path["/beat/".len()..].to_owned();
                self.change(|state| {
                    if !state.cut.contains(&id) {
                        state.beats.remove(&id);
                        state.delete(&format!("servers/{id}"));
                    }
                });
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn watch(&self, request: &Request, view: &View) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the lock");
        loop {
            let start = state.log.partition_point(|(rev, ..)| *rev <= after);
            let events: Vec<String> = state.log[start..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(rev, key, item)| match item {
                    Some(item) => item_json(view, key, item) + "}",
                    None => format!("{{\"key\":{},\"rev\":{rev},\"deleted\":true}}", quoted(key)),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"store_revision\":{}}}", state.rev),
                );
            }
            state = changed.wait_timeout(state, until - now).expect("the lock").0;
        }
    }
}

fn transact(state: &mut State, body: &Json, view: &View) -> (u16, String) {
    let is_met = |row: &Json| {
        let found = state.items.get(row.get("key").text()).map_or(0, |item| item.rev);
        found == row.get("rev").number()
    };
    let expected = body.get("expected").list();
    if !expected.iter().all(is_met) {
        let items = expected.iter().filter_map(|row| {
            let key = row.get("key").text();
            state.items.get(key).map(|item| item_json(view, key, item) + "}")
        });
        let items: Vec<String> = items.collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let puts = body.get("puts").list();
    let has_lease = |put: &Json| {
        let lease = put.get("lease").number();
        lease == 0 || state.leases.contains_key(&lease)
    };
    if !puts.iter().all(has_lease) {
        return (404, "{}".into());
    }
    let mut rev = state.rev;
    for put in puts {
        let value = from_base64(put.get("value").text());
        rev = state.put(put.get("key").text(), value, put.get("lease").number());
    }
    for key in body.get("deletes").list() {
        state.delete(key.text());
        rev = state.rev;
    }
    (200, format!("{{\"rev\":{rev}}}"))
}
