//! A model server: it joins groups on order, and its head answers with a stream of events, or as its case
//! says.

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::net::{self, Handler, Json, Message};
use crate::store::Store;
use crate::world::Recorder;

pub const SERVICE: &str = "llm";
pub const MODEL: &str = "large";
pub const GROUP_SIZE: usize = 2;
const JOIN_TIME: Duration = Duration::from_millis(200);
const FORM_TIME: Duration = Duration::from_millis(300);
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(60);
const EVENT_PAUSE: Duration = Duration::from_millis(20);
const EVENTS: usize = 5;

/// How the head of a group answers a request: returns false to break the connection off.
pub type Run = Arc<dyn Fn(&Engine, &Message, &mut TcpStream) -> bool + Send + Sync>;

#[derive(Clone)]
struct Membership {
    group: String,
    epoch: u64,
    rank: usize,
    state: &'static str,
}

#[derive(Default)]
struct State {
    membership: Option<Membership>,
    epoch: u64,
    fence: u64,
    sequence: u64,
    is_staged: bool,
    /// When it crashed, in seconds of the record.
    crashed_at: Option<f64>,
    begun: Vec<String>,
}

/// A model server. Clones are the same server.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    address: std::net::SocketAddr,
    domain: String,
    born: u128,
    store: Store,
    record: Recorder,
    state: Arc<Mutex<State>>,
    end: Arc<Mutex<net::End>>,
}

impl Engine {
    /// Starts a server that a request with the part `deadly` in its prompt crashes.
    pub fn start(store: &Store, record: &Recorder, id: &str, domain: &str, deadly: &str) -> Engine {
        let deadly = deadly.to_owned();
        let run: Run =
            Arc::new(move |engine, request, stream| engine.run(request, stream, &deadly));
        Engine::start_with(store, record, id, domain, run)
    }

    /// Starts a server whose answers `run` writes.
    pub fn start_with(
        store: &Store,
        record: &Recorder,
        id: &str,
        domain: &str,
        run: Run,
    ) -> Engine {
        let (listener, address) = net::listener();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        let engine = Engine {
            id: id.into(),
            address,
            domain: domain.into(),
            born: since.as_millis(),
            store: store.clone(),
            record: record.clone(),
            state: Arc::default(),
            end: Arc::default(),
        };
        let (served, reporting) = (engine.clone(), engine.clone());
        let handler: Handler =
            Arc::new(move |request, stream| served.answer(&request, stream, &run));
        *engine.end.lock().unwrap() = net::serve(listener, handler);
        std::thread::spawn(move || {
            while reporting.report() {
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
        engine
    }

    /// Writes its entry; returns false once it has ended.
    fn report(&self) -> bool {
        let state = self.state.lock().unwrap();
        if state.crashed_at.is_some() {
            return false;
        }
        let Engine { id, address, domain, born, .. } = self;
        let models = match &state.membership {
            Some(_) => format!("{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}"),
            None => String::new(),
        };
        let staged = if state.is_staged { format!("\"{MODEL}\"") } else { String::new() };
        let group = state.membership.as_ref().map_or("null".into(), |membership| {
            let Membership { group, epoch, rank, state } = membership;
            format!(
                "{{\"name\":\"{group}\",\"epoch\":{epoch},\"rank\":{rank},\"state\":\"{state}\"}}"
            )
        });
        self.store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"a\",\
                 \"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"warmup_left_ms\":0,\
                 \"sequence\":{},\"born\":{born},\"domain\":\"{domain}\",\"models\":[{models}],\
                 \"staged\":[{staged}],\"group\":{group}}}",
                state.sequence
            ),
        );
        true
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream, run: &Run) -> bool {
        let expected = request.header("x-samphireport-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return net::respond(stream, "421 Misdirected Request", &[], b"").is_ok();
        }
        if request.path() == "/order" {
            let status = self.order(&Json::parse(&request.body));
            return net::respond(stream, status, &[], b"{}").is_ok();
        }
        let is_head = self.state.lock().unwrap().membership.as_ref().is_some_and(is_open);
        if !is_head {
            return net::respond(stream, "421 Misdirected Request", &[], b"").is_ok();
        }
        run(self, request, stream)
    }

    fn run(&self, request: &Message, stream: &mut TcpStream, deadly: &str) -> bool {
        let id = request.header("x-samphireport-attempt-id").unwrap_or("").to_owned();
        let prompt = request.header("x-samphireport-prompt-prefix").unwrap_or("");
        std::thread::sleep(FIRST_TOKEN_TIME);
        self.record.write(&format!("{} begins {id}", self.id));
        self.state.lock().unwrap().begun.push(id.clone());
        if prompt.contains(deadly) {
            self.crash();
            return false;
        }
        self.stream(&id, stream).is_ok()
    }

    fn stream(&self, id: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        use std::io::Write;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Samphireport-Attempt-Id: {id}\r\n\
             X-Samphireport-Response-Signature: sig.{}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: word {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            std::thread::sleep(EVENT_PAUSE);
        }
        stream.write_all(b"0\r\n\r\n")
    }

    /// Ends at once, without a word to the store.
    fn crash(&self) {
        self.record.write(&format!("{} crashes", self.id));
        self.state.lock().unwrap().crashed_at = Some(self.record.now());
        self.end.lock().unwrap().end(self.address);
        // Its entry lapses after three heartbeats.
        let (store, key) = (self.store.clone(), format!("servers/{}", self.id));
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(3_600));
            store.delete(&key);
        });
    }

    /// Returns when it crashed, in seconds of the record.
    pub fn crashed_at(&self) -> Option<f64> {
        self.state.lock().unwrap().crashed_at
    }

    pub fn is_open(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.crashed_at.is_none() && state.membership.as_ref().is_some_and(is_open)
    }

    /// Returns the requests that it has begun to answer.
    pub fn begun(&self) -> Vec<String> {
        self.state.lock().unwrap().begun.clone()
    }

    fn order(&self, order: &Json) -> &'static str {
        const BEGUN: &str = "202 Accepted";
        const DONE: &str = "200 OK";
        const UNFIT: &str = "409 Conflict";
        const FENCED: &str = "412 Precondition Failed";
        let (group, epoch) = (order.get("group").text().to_owned(), order.get("epoch").number());
        let mut state = self.state.lock().unwrap();
        let fence = order.get("fence").number();
        if fence < state.fence {
            return FENCED;
        }
        state.fence = fence;
        let own = state.membership.clone().filter(|m| m.group == group && m.epoch == epoch);
        let answer = match order.get("op").text() {
            "join" if epoch < state.epoch => return FENCED,
            "join" => match own.map(|m| m.state) {
                Some("joining") => return BEGUN,
                Some(_) => return DONE,
                None => {
                    let members = order.get("members").list();
                    let rank = members.iter().position(|m| m.text() == self.id).unwrap_or(0);
                    state.epoch = epoch;
                    let (group, state_name) = (group.clone(), "joining");
                    state.membership = Some(Membership { group, epoch, rank, state: state_name });
                    state.is_staged = true;
                    self.later(JOIN_TIME, epoch, "joining", "ready");
                    BEGUN
                }
            },
            "open" => match own.map(|m| (m.rank, m.state)) {
                Some((0, "ready")) => {
                    self.later(FORM_TIME, epoch, "ready", "open");
                    BEGUN
                }
                Some((0, "open")) => return DONE,
                _ => return UNFIT,
            },
            "close" => match own.map(|m| m.state) {
                Some("open") => {
                    state.membership.as_mut().expect("it is a member").state = "ready";
                    BEGUN
                }
                Some("ready") => return DONE,
                _ => return UNFIT,
            },
            "leave" if own.is_some() => {
                state.membership = None;
                BEGUN
            }
            "leave" => return DONE,
            "stage" if state.is_staged => return DONE,
            "stage" => {
                state.is_staged = true;
                BEGUN
            }
            _ => return "400 Bad Request",
        };
        state.sequence += 1;
        drop(state);
        self.report();
        answer
    }

    /// Moves the membership of an epoch on after some time.
    fn later(&self, time: Duration, epoch: u64, from: &'static str, to: &'static str) {
        let engine = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(time);
            {
                let mut state = engine.state.lock().unwrap();
                let own = state.membership.as_mut().filter(|m| m.epoch == epoch && m.state == from);
                let Some(own) = own else { return };
                own.state = to;
            }
            engine.report();
        });
    }
}

fn is_open(membership: &Membership) -> bool {
    membership.rank == 0 && membership.state == "open"
}
