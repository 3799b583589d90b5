//! A backend server of a model service, a process of its own: it carries out orders and streams events.
//!
//! Its streams have neither a length nor chunks and end with their connections, as PROTOCOL's news allow.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Request;
use crate::json::Json;
use crate::json::object;
use crate::store::HEARTBEAT;

/// Time of a join if the model is staged on the host, and of a load from the weight store.
pub const WARM: Duration = Duration::from_millis(300);
pub const LOAD: Duration = Duration::from_millis(1_000);
/// Time of a join to a group of the model of the last group.
const REJOIN: Duration = Duration::from_millis(200);
/// Time from the order to open until the head serves.
pub const FORM: Duration = Duration::from_millis(100);
/// Time until the first event of a stream, and between two.
const STEP: Duration = Duration::from_millis(20);
/// What the body of a request contains that crashes each server that begins to answer it.
pub const CRASHING: &str = "crash";
/// The part of prompts that crashes each server that begins to answer one with it.
pub const CRASHING_PART: &str = "dead01";
/// Time after which an order that gets no answer is carried out.
const LATE_ORDER: Duration = Duration::from_secs(8);

#[derive(Clone)]
struct Group {
    name: String,
    epoch: u64,
    rank: usize,
    members: Vec<String>,
    state: &'static str,
    /// When it leaves the state by itself.
    until: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: u64,
    epoch: u64,
    sequence: u64,
    model: String,
    staged: Vec<String>,
    staging: Option<(String, Instant)>,
    group: Option<Group>,
}

pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub domain: String,
    pub address: SocketAddr,
    pub store: SocketAddr,
    /// Events of a stream.
    pub events: u64,
    /// Whether it delimits its streams by chunks.
    pub is_chunked: bool,
    /// Whether requests that crash servers crash it.
    pub crashes: bool,
}

/// What disturbs a server.
#[derive(Default)]
struct Trouble {
    /// It has no path to the store.
    is_cut_from_store: bool,
    /// Its orders get no answer, and are carried out late.
    answers_no_orders: bool,
}

struct Replica {
    settings: Settings,
    born: u64,
    state: Mutex<State>,
    trouble: Mutex<Trouble>,
}

/// Runs a server until the process ends.
pub fn run(settings: Settings) -> io::Result<()> {
    let listener = TcpListener::bind(settings.address)?;
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let born = since.as_millis() as u64;
    let (state, trouble) = (Mutex::default(), Mutex::default());
    let replica = Arc::new(Replica { settings, born, state, trouble });
    let served = replica.clone();
    http::serve(listener, Arc::new(move |request, to| served.clone().answer(request, to)));
    let mut reported = String::new();
    let mut reported_at = None::<Instant>;
    loop {
        // A change is reported at once, and the same entry with each heartbeat.
        let entry = replica.entry().to_string();
        let is_due = entry != reported || reported_at.is_none_or(|at| at.elapsed() >= HEARTBEAT);
        let is_cut = replica.trouble.lock().expect("the trouble").is_cut_from_store;
        if is_due && !is_cut {
            let target = format!("/stand/beat?id={}", replica.settings.id);
            let timeout = Duration::from_secs(1);
            let sent = http::call(replica.settings.store, "POST", &target, &[], &entry, timeout);
            if sent.is_err() {
                // The case has ended.
                return Ok(());
            }
            (reported, reported_at) = (entry, Some(Instant::now()));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

impl State {
    /// Brings joins, openings and stagings up to now.
    fn update(&mut self) {
        let now = Instant::now();
        if let Some(group) = &mut self.group
            && group.until.is_some_and(|until| now >= until)
        {
            group.until = None;
            group.state = if group.state == "joining" { "ready" } else { "open" };
        }
        if self.staging.as_ref().is_some_and(|(_, until)| now >= *until) {
            self.staged = self.staging.take().map(|(model, _)| model).into_iter().collect();
        }
    }

    fn join_time(&self, model: &str) -> Duration {
        if self.model == model {
            return REJOIN;
        }
        if self.staged.iter().any(|staged| staged == model) { WARM } else { LOAD }
    }

    fn order(&mut self, id: &str, order: &Json) -> u16 {
        self.update();
        let fence = order.get("fence").number().unwrap_or(0);
        if fence < self.fence {
            return 412;
        }
        self.fence = fence;
        let (name, epoch) = (order.get("group").text(), order.get("epoch").number().unwrap_or(0));
        let is_own = self.group.as_ref().is_some_and(|g| g.name == name && g.epoch == epoch);
        let status = match order.get("op").text() {
            "join" => {
                let members = order.get("members").list().iter();
                let members: Vec<String> = members.map(|id| id.text().to_owned()).collect();
                if epoch < self.epoch {
                    return 412;
                }
                if let Some(group) = self.group.as_ref().filter(|_| is_own) {
                    return if group.members == members { 200 } else { 412 };
                }
                let Some(rank) = members.iter().position(|member| member == id) else { return 409 };
                let model = order.get("model").text();
                let until = Some(Instant::now() + self.join_time(model));
                self.epoch = epoch;
                self.model = model.into();
                self.staged = vec![model.into()];
                let name = name.into();
                self.group = Some(Group { name, epoch, rank, members, state: "joining", until });
                202
            }
            "open" => match self.group.as_mut().filter(|g| is_own && g.rank == 0) {
                Some(group) if group.state == "open" => 200,
                Some(group) if group.state == "ready" => {
                    group.until.get_or_insert(Instant::now() + FORM);
                    202
                }
                _ => 409,
            },
            "close" => match self.group.as_mut().filter(|g| is_own && g.state == "open") {
                Some(group) => {
                    group.state = "ready";
                    202
                }
                None => 200,
            },
            "leave" => {
                if is_own {
                    self.group = None;
                }
                200
            }
            "stage" => {
                let model = order.get("model").text();
                if self.staged.iter().any(|staged| staged == model) {
                    return 200;
                }
                self.staging = Some((model.into(), Instant::now() + LOAD));
                202
            }
            _ => 400,
        };
        if status == 202 {
            self.sequence += 1;
        }
        status
    }
}

impl Replica {
    fn entry(&self) -> Json {
        let mut state = self.state.lock().expect("the state");
        state.update();
        let model = |name: &String| {
            object([
                ("name", name.as_str().into()),
                ("version", 1_u64.into()),
                ("adapters", Vec::<Json>::new().into()),
            ])
        };
        let models: Vec<Json> =
            (!state.model.is_empty()).then(|| model(&state.model)).into_iter().collect();
        let staged: Vec<Json> = state.staged.iter().map(|name| name.as_str().into()).collect();
        let settings = &self.settings;
        let mut entry = object([
            ("service", settings.service.as_str().into()),
            ("address", settings.address.to_string().into()),
            ("zone", settings.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 26_u64.into()),
            ("state", "ready".into()),
            ("warmup_left_ms", 0_u64.into()),
            ("born", self.born.into()),
            ("sequence", state.sequence.into()),
            ("stage", "both".into()),
            ("domain", settings.domain.as_str().into()),
            ("models", models.into()),
            ("staged", staged.into()),
        ]);
        if let (Json::Object(fields), Some(group)) = (&mut entry, &state.group) {
            let group = object([
                ("name", group.name.as_str().into()),
                ("epoch", group.epoch.into()),
                ("rank", (group.rank as u64).into()),
                ("state", group.state.into()),
            ]);
            fields.insert("group".into(), group);
        }
        entry
    }

    /// Carries out an order, and tells the case of an accepted join.
    fn carry_out(&self, order: &Json) -> u16 {
        let mut state = self.state.lock().expect("the state");
        let before = state.group.as_ref().map_or(String::new(), |group| group.name.clone());
        let status = state.order(&self.settings.id, order);
        drop(state);
        let group = order.get("group").text();
        if order.get("op").text() == "join" && status == 202 {
            self.record("", &format!("join {group} after {before}"));
        }
        status
    }

    fn control(&self, request: &Request) {
        let mut trouble = self.trouble.lock().expect("the trouble");
        let is_on = |name: &str| request.query(name).as_deref() == Some("1");
        trouble.is_cut_from_store = is_on("cut");
        trouble.answers_no_orders = is_on("late");
    }

    fn answer(self: Arc<Self>, request: &Request, to: &mut TcpStream) -> io::Result<bool> {
        let id = &*self.settings.id;
        let expected = request.header("x-samphireport-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            return http::respond(to, 421, &[("X-Samphireport-Replica-Id", id)], "");
        }
        match request.path() {
            "/order" => {
                let order = Json::read(&String::from_utf8_lossy(&request.body));
                let order = order.unwrap_or(Json::Null);
                let has_no_answer = self.trouble.lock().expect("the trouble").answers_no_orders;
                if has_no_answer && self.is_open() {
                    self.record("", &format!("leaves unanswered: {}", order.get("op").text()));
                    std::thread::sleep(LATE_ORDER);
                    self.carry_out(&order);
                    return Ok(false);
                }
                self.record("", &format!("answers: {}", order.get("op").text()));
                let status = self.carry_out(&order);
                http::respond(to, status, &[], "{}")
            }
            "/stand/control" => {
                self.control(request);
                http::respond(to, 200, &[], "")
            }
            "/report" => http::respond(to, 200, &[], &self.entry().to_string()),
            "/health" => http::respond(to, 200, &[("X-Samphireport-Replica-Id", id)], ""),
            _ => self.stream(request, to),
        }
    }

    fn is_open(&self) -> bool {
        let mut state = self.state.lock().expect("the state");
        state.update();
        state.group.as_ref().is_some_and(|group| group.state == "open")
    }

    /// Tells the case of a run.
    fn record(&self, attempt: &str, what: &str) {
        let run = object([
            ("server", self.settings.id.as_str().into()),
            ("born", self.born.into()),
            ("attempt", attempt.into()),
            ("what", what.into()),
        ]);
        let timeout = Duration::from_secs(1);
        let _ =
            http::call(self.settings.store, "POST", "/stand/run", &[], &run.to_string(), timeout);
    }

    fn stream(&self, request: &Request, to: &mut TcpStream) -> io::Result<bool> {
        let attempt = request.header("x-samphireport-attempt-id").unwrap_or_default();
        if !self.is_open() {
            return http::respond(to, 421, &[("At-Server", &self.settings.id)], "");
        }
        let parts = request.header("x-samphireport-prompt-prefix").unwrap_or_default();
        let is_crashing = String::from_utf8_lossy(&request.body).contains(CRASHING)
            || parts.contains(CRASHING_PART);
        self.record(attempt, if is_crashing { "crashing request" } else { "sound request" });
        let framing = match self.settings.is_chunked {
            true => "Transfer-Encoding: chunked",
            false => "Connection: close",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             X-Samphireport-Attempt-Id: {attempt}\r\nX-Samphireport-Response-Signature: {}\r\n\
             X-Samphireport-Weight-Versions: 1\r\n{framing}\r\n\r\n",
            self.settings.id,
        );
        to.write_all(head.as_bytes())?;
        std::thread::sleep(STEP);
        if is_crashing && self.settings.crashes {
            self.record(attempt, "crash");
            // The kernel closes its sockets, as with any process that ends.
            std::process::abort();
        }
        let first = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for number in first + 1..=self.settings.events {
            let event = format!("id: {number}\ndata: token {number}\n\n");
            match self.settings.is_chunked {
                true => write!(to, "{:x}\r\n{event}\r\n", event.len())?,
                false => to.write_all(event.as_bytes())?,
            }
            std::thread::sleep(STEP);
        }
        if self.settings.is_chunked {
            to.write_all(b"0\r\n\r\n")?;
        }
        Ok(self.settings.is_chunked)
    }
}
