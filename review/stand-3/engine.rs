//! A model replica, in a process of its own: groups, orders and streams as the page describes them.
//!
//! It may leave orders unanswered and carry them out late, as its arguments say.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::json::{Json, quoted};
use crate::store::HEARTBEAT;

/// Times of the model: a load onto the host, a join of a staged model, and one of the last group's model.
const LOAD: Duration = Duration::from_secs(12);
const WARM: Duration = Duration::from_millis(1_100);
const HOT: Duration = Duration::from_millis(200);
const FORM: Duration = Duration::from_millis(300);

#[derive(Clone)]
struct Group {
    name: String,
    epoch: u64,
    members: Vec<String>,
    rank: usize,
    state: &'static str,
}

#[derive(Default)]
struct State {
    group: Option<Group>,
    /// The model of the last group since the start.
    model: Option<String>,
    staged: Vec<String>,
    staging: bool,
    sequence: u64,
    fence: u64,
    epoch: u64,
    /// Joins that came, late ones included.
    joins: usize,
    was_head: bool,
    /// Whether orders may be left unanswered now.
    troubled: bool,
    /// Whether the next order to leave an open group meets an additional answer, and is carried out late.
    doubles: bool,
}

struct Engine {
    id: String,
    service: String,
    zone: String,
    domain: String,
    store: SocketAddr,
    address: SocketAddr,
    born: u128,
    state: Mutex<State>,
    out: Mutex<()>,
}

/// Runs a replica: ID SERVICE ZONE STORE DOMAIN STAGED.
pub fn run(args: &[String]) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let staged = args[5].split(',').filter(|m| !m.is_empty()).map(str::to_owned).collect();
    let engine = Arc::new(Engine {
        id: args[0].clone(),
        service: args[1].clone(),
        zone: args[2].clone(),
        store: args[3].parse().expect("an address"),
        domain: args[4].clone(),
        address: listener.local_addr().expect("an address"),
        born: SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis(),
        state: Mutex::new(State { staged, ..State::default() }),
        out: Mutex::new(()),
    });
    engine.say(&format!("listens {}", engine.address));
    let serving = engine.clone();
    http::listen(listener, move |stream| serving.serve(stream));
    loop {
        engine.beat();
        std::thread::sleep(HEARTBEAT);
    }
}

impl Engine {
    fn say(&self, what: &str) {
        let _guard = self.out.lock();
        println!("{what}");
        let _ = std::io::stdout().flush();
    }

    fn beat(&self) {
        let entry = {
            let state = self.state.lock().expect("the lock");
            let group = state.group.as_ref().map_or("null".into(), |group| {
                format!(
                    "{{\"name\":{},\"epoch\":{},\"rank\":{},\"state\":\"{}\"}}",
                    quoted(&group.name),
                    group.epoch,
                    group.rank,
                    group.state
                )
            });
            let models: Vec<String> = state
                .model
                .iter()
                .map(|model| {
                    format!("{{\"name\":{},\"version\":1,\"adapters\":[]}}", quoted(model))
                })
                .collect();
            let staged: Vec<String> = state.staged.iter().map(|model| quoted(model)).collect();
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":26,\
                 \"state\":\"ready\",\"warmup_left_ms\":0,\"stage\":\"both\",\"models\":[{}],\"staged\":[{}],\
                 \"domain\":\"{}\",\"group\":{group},\"sequence\":{},\"born\":{}}}",
                self.service,
                self.address,
                self.zone,
                models.join(","),
                staged.join(","),
                self.domain,
                state.sequence,
                self.born
            )
        };
        let target = format!("/beat/{}", self.id);
        let time = Duration::from_secs(1);
        http::send(self.store, "POST", &target, &[("Host", "store")], entry.as_bytes(), time);
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        // Orders that were answered on this connection.
        let mut answered = 0;
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.answer(&mut stream, &request, &mut answered).is_err() {
                return;
            }
        }
    }

    fn answer(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        request: &Request,
        answered: &mut usize,
    ) -> std::io::Result<()> {
        let own = ("X-Samphireport-Replica-Id", &*self.id);
        match request.path() {
            "/health" => return http::respond(stream, 200, &[own], b""),
            "/stand/trouble" => {
                let mut state = self.state.lock().expect("the lock");
                state.troubled = request.query("on") == "1";
                state.doubles = request.query("doubles") == "1";
                drop(state);
                return http::respond(stream, 200, &[], b"");
            }
            _ => {}
        }
        let expected = request.header("X-Samphireport-Expect-Instance");
        if !expected.is_empty() && expected != self.id {
            return http::respond(stream, 421, &[own], b"");
        }
        if request.path() == "/order" {
            let text = String::from_utf8_lossy(&request.body);
            if *answered > 0 && self.doubles_answer(&text) {
                // The answer to the last order once more, where that to this one is expected.
                http::respond(stream, 200, &[], b"")?;
                self.leave_unanswered(&text, Duration::from_secs(8));
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            *answered += 1;
            return self.take_order(stream, &text);
        }
        let attempt = request.header("X-Samphireport-Attempt-Id").to_owned();
        let is_open = {
            let state = self.state.lock().expect("the lock");
            state.group.as_ref().is_some_and(|g| g.rank == 0 && g.state == "open")
        };
        let echo = ("X-Samphireport-Attempt-Id", &*attempt);
        if !is_open {
            return http::respond(stream, 421, &[own, echo, ("At-Server", &*self.id)], b"");
        }
        self.say(&format!("runs {attempt}"));
        let mut body = String::new();
        for n in 1..=5 {
            body.push_str(&format!("id: {n}\ndata: {attempt}-{n}\n\n"));
        }
        std::thread::sleep(Duration::from_millis(60));
        let headers = [
            echo,
            ("X-Samphireport-Response-Signature", "sig"),
            ("Content-Type", "text/event-stream"),
        ];
        http::respond(stream, 200, &headers, body.as_bytes())
    }

    /// Returns whether an order is to leave the open group of this head, and gets an additional answer.
    fn doubles_answer(&self, text: &str) -> bool {
        let order = Json::parse(text).unwrap_or(Json::Null);
        let mut state = self.state.lock().expect("the lock");
        let name = order.get("group").text();
        let is_open = state.group.as_ref().is_some_and(|g| g.name == name && g.state == "open");
        let doubles = state.doubles && is_open && order.get("op").text() == "leave";
        state.doubles &= !doubles;
        doubles
    }

    /// Carries an order out after the time `late`, and leaves it unanswered.
    fn leave_unanswered(self: &Arc<Self>, text: &str, late: Duration) {
        self.say(&format!("leaves unanswered for {late:?}: {text}"));
        let (engine, order) = (self.clone(), Json::parse(text).unwrap_or(Json::Null));
        std::thread::spawn(move || {
            std::thread::sleep(late);
            engine.apply(&order, "late ");
        });
        // The answer never comes.
        std::thread::sleep(Duration::from_secs(3));
    }

    /// Answers an order, or leaves it unanswered and carries it out late.
    fn take_order(self: &Arc<Self>, stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
        let order = Json::parse(text).unwrap_or(Json::Null);
        match self.lateness(&order) {
            None => {
                let status = self.apply(&order, "");
                http::respond(stream, status, &[], b"")
            }
            Some(late) => {
                self.leave_unanswered(text, late);
                Err(std::io::ErrorKind::TimedOut.into())
            }
        }
    }

    /// Returns how late an order is carried out, if it is left unanswered: 2 to 12 s.
    fn lateness(&self, order: &Json) -> Option<Duration> {
        let mut state = self.state.lock().expect("the lock");
        if !state.troubled || order.get("op").text() != "join" {
            return None;
        }
        state.joins += 1;
        let is_head = order.get("members").list().first().is_some_and(|m| m.text() == self.id);
        if state.joins == 1 {
            state.was_head = is_head;
        }
        match (state.joins, state.was_head) {
            (1, true) => Some(Duration::from_millis(2_000)),
            (1, false) => None,
            _ => Some(Duration::from_millis(8_000)),
        }
    }

    fn apply(self: &Arc<Self>, order: &Json, how: &str) -> u16 {
        let (op, name) = (order.get("op").text(), order.get("group").text());
        let (epoch, fence) = (order.get("epoch").number(), order.get("fence").number());
        let (status, follow) = self.applied(order);
        let after = {
            let state = self.state.lock().expect("the lock");
            state.group.as_ref().map_or("no group".into(), |g| format!("{} {}", g.name, g.state))
        };
        self.say(&format!(
            "{how}order {op} {name} epoch {epoch} fence {fence}: {status}; now {after}"
        ));
        let follow = match op == "stage" && status == 202 {
            true => Some((LOAD, "staged")),
            false => follow,
        };
        if let Some((time, then)) = follow {
            let subject = if op == "stage" { order.get("model").text() } else { name };
            let (engine, key) = (self.clone(), (subject.to_owned(), epoch));
            std::thread::spawn(move || {
                std::thread::sleep(time);
                engine.then(&key, then);
            });
        }
        self.beat();
        status
    }

    /// Carries out what an order began.
    fn then(&self, (name, epoch): &(String, u64), then: &'static str) {
        {
            let mut state = self.state.lock().expect("the lock");
            if then == "staged" {
                state.staging = false;
                state.staged = vec![name.clone()];
            } else if let Some(group) = &mut state.group
                && group.name == *name
                && group.epoch == *epoch
            {
                group.state = then;
            } else {
                return;
            }
        }
        self.say(&format!("is {then} in {name}"));
        self.beat();
    }

    /// Returns the status, and what follows after which time.
    fn applied(&self, order: &Json) -> (u16, Option<(Duration, &'static str)>) {
        let mut state = self.state.lock().expect("the lock");
        let (name, epoch) = (order.get("group").text(), order.get("epoch").number());
        let fence = order.get("fence").number();
        if fence < state.fence {
            return (412, None);
        }
        state.fence = fence;
        let is_own = state.group.as_ref().is_some_and(|g| g.name == name && g.epoch == epoch);
        match order.get("op").text() {
            "join" => {
                let members: Vec<String> =
                    order.get("members").list().iter().map(|m| m.text().to_owned()).collect();
                if epoch < state.epoch {
                    return (412, None);
                }
                if is_own {
                    let group = state.group.as_ref().expect("its group");
                    return match (group.members == members, group.state) {
                        (false, _) => (412, None),
                        (_, "joining") => (202, None),
                        _ => (200, None),
                    };
                }
                let Some(rank) = members.iter().position(|m| *m == self.id) else {
                    return (409, None);
                };
                let model = order.get("model").text().to_owned();
                let time = if state.model.as_ref() == Some(&model) {
                    HOT
                } else if state.staged.contains(&model) {
                    WARM
                } else {
                    LOAD
                };
                // What the rule TWO is about: the group that it leaves by this.
                if let Some(old) = &state.group {
                    self.say(&format!("takes a join of {name} while in {}", old.name));
                }
                state.epoch = epoch;
                state.sequence += 1;
                state.model = Some(model);
                let name = name.to_owned();
                state.group = Some(Group { name, epoch, members, rank, state: "joining" });
                (202, Some((time, "ready")))
            }
            "open" => match &mut state.group {
                Some(group) if is_own && group.state == "open" => (200, None),
                Some(group) if is_own && group.rank == 0 && group.state == "ready" => {
                    state.sequence += 1;
                    (202, Some((FORM, "open")))
                }
                _ => (409, None),
            },
            "close" => match &mut state.group {
                Some(group) if is_own && group.state == "open" => {
                    group.state = "ready";
                    state.sequence += 1;
                    (202, None)
                }
                Some(_) if is_own => (200, None),
                _ => (409, None),
            },
            "leave" => {
                if is_own {
                    state.group = None;
                    state.sequence += 1;
                }
                (200, None)
            }
            "stage" => {
                let model = order.get("model").text().to_owned();
                if state.staged.contains(&model) {
                    return (200, None);
                }
                if state.staging {
                    return (409, None);
                }
                state.staging = true;
                state.sequence += 1;
                (202, None)
            }
            _ => (400, None),
        }
    }
}
