//! Servers that crash while they answer.
//!
//! - [`Crashing::Request`]: the same request comes again and again; the answers have neither a length nor chunks.
//!   The kernel of a crashed server closes its connections in order, after the head of the answer.
//! - [`Crashing::Part`]: requests with the same part in long prompts, no two alike; the answers come in chunks.
//! - [`Crashing::Nothing`]: servers are killed one after the other.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
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
const SERVERS: usize = 12;
/// Servers of a group.
const GROUP_SIZE: u64 = 2;
/// A crashed server is back after this.
const BACK_AFTER: Duration = Duration::from_millis(2_500);
/// `stability_window_ms` of the sheet.
const STABILITY_WINDOW_S: f64 = 3.0;
/// Requests later than that that the rule allows.
const ALLOWED_REQUESTS: usize = 3;
/// Parts of a long prompt before the one that crashes servers: the turns of a conversation.
pub const TURNS: usize = 18;
/// How long clients send requests.
const PLAY: Duration = Duration::from_secs(45);
/// Pause between two times that the crashing request comes.
const CRASHING_PERIOD: Duration = Duration::from_millis(1_500);
/// When all processes are killed, from when clients begin.
const HERD_KILLS: [Duration; 3] =
    [Duration::from_secs(8), Duration::from_secs(20), Duration::from_secs(32)];
/// When they start again after that.
const HERD_DOWN: Duration = Duration::from_secs(2);
/// Time after a start before which the crashing request doesn't come: then all machines are in touch.
const UNTIL_IN_TOUCH: Duration = Duration::from_millis(3_500);
/// Pause between two kills of servers.
const KILL_PERIOD: Duration = Duration::from_secs(4);
/// Pause between two sound requests at one process.
const SOUND_PERIOD: Duration = Duration::from_millis(250);
/// How long all groups may take to open.
const START: Duration = Duration::from_secs(25);
const DEADLINE_MS: &str = "8000";

#[derive(Default)]
struct Seen {
    /// Times of the crashes.
    crashes: Vec<f64>,
    /// Times at which the crashing request reached a server.
    arrivals: Vec<f64>,
    /// The answers that look whole and have too few events: their attempts and numbers of events.
    short: Vec<(String, usize)>,
}

struct Case {
    options: Options,
    record: Arc<Record>,
    seen: Arc<Mutex<Seen>>,
    store: Arc<Store>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
}

/// What crashes servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crashing {
    /// One request.
    Request,
    /// One part of prompts.
    Part,
    /// No request does: servers are killed.
    Nothing,
}

impl Crashing {
    /// Returns after which crash the rule begins to count.
    fn counted_crash(self) -> usize {
        match self {
            Crashing::Request => 3,
            Crashing::Part => 5,
            Crashing::Nothing => usize::MAX,
        }
    }

    /// Returns how many events a stream has.
    fn events(self) -> u64 {
        match self {
            Crashing::Request | Crashing::Part => 5,
            Crashing::Nothing => 40,
        }
    }
}

#[derive(Clone, Copy)]
pub struct Options {
    pub crashing: Crashing,
    /// Parts of each prompt before the crashing one, for [`Crashing::Part`].
    pub turns: usize,
    /// Whether all processes are killed now and then.
    pub has_herd_kills: bool,
    pub has_trouble: bool,
    pub is_chunked: bool,
}

/// Returns whether the rule held; `None` if the case couldn't run.
pub fn run(options: &Options, dir: &Path, record: &Path) -> io::Result<Option<bool>> {
    let mut case = Case::start(options, dir, record)?;
    if !case.wait_for_groups() {
        case.record.write("the groups didn't open in time");
        return Ok(None);
    }
    case.play()?;
    Ok(Some(case.check()))
}

impl Case {
    fn start(options: &Options, dir: &Path, record: &Path) -> io::Result<Self> {
        let record = Arc::new(Record::create(record)?);
        let seen = Arc::<Mutex<Seen>>::default();
        let sink = {
            let (record, seen) = (record.clone(), seen.clone());
            move |run: &Json| {
                let (server, attempt) = (run.get("server").text(), run.get("attempt").text());
                let what = run.get("what").text();
                record.write(&format!("server {server}: {what} of attempt {attempt}"));
                let mut seen = seen.lock().expect("what was seen");
                match what {
                    "crash" => seen.crashes.push(record.seconds()),
                    "crashing request" => seen.arrivals.push(record.seconds()),
                    _ => {}
                }
            }
        };
        let (store, address) = Store::start(Box::new(sink))?;
        store.put("op/config", &config(GROUP_SIZE, replica::LOAD, replica::WARM, replica::FORM));
        let mut servers = Vec::new();
        for i in 0..SERVERS {
            let id = format!("i-{i:02}");
            let mut arguments: Vec<String> = vec!["replica".into()];
            let fabric = format!("d{}", i % 2);
            let own = free_address()?.to_string();
            let events = options.crashing.events().to_string();
            let is_chunked = options.is_chunked.to_string();
            let crashes = options.has_trouble.to_string();
            let values = [
                &*id,
                "assistant",
                ZONES[i % 3],
                &fabric,
                &own,
                &address.to_string(),
                &events,
                &is_chunked,
                &crashes,
            ];
            arguments.extend(values.iter().map(|value| (*value).to_owned()));
            servers.push(Server::start(&id, arguments)?);
        }
        let entries = ZONES.iter().map(|zone| Entry::start(zone, &ZONES, address, dir));
        let entries = entries.collect::<io::Result<Vec<Entry>>>()?;
        record.write(&format!(
            "started: {SERVERS} servers, {} processes; answers {}; the requests of {:?} {}",
            entries.len(),
            if options.is_chunked { "in chunks" } else { "without length or chunks" },
            options.crashing,
            if options.has_trouble { "crash servers" } else { "are sound" },
        ));
        Ok(Case { options: *options, record, seen, store, entries, servers })
    }

    fn open_groups(&self) -> usize {
        let servers = self.store.values("servers/");
        let is_open = |entry: &Json| entry.get("group").get("state").text() == "open";
        servers.iter().filter(|(_, entry)| is_open(entry)).count()
    }

    fn wait_for_groups(&self) -> bool {
        let began = Instant::now();
        while began.elapsed() < START {
            let is_ready = self.entries.iter().all(Entry::is_ready);
            if is_ready && self.open_groups() >= SERVERS / 2 {
                // Until all processes know of the groups, and all machines are in touch.
                std::thread::sleep(Duration::from_secs(4));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn play(&mut self) -> io::Result<()> {
        let options = self.options;
        let ended = Arc::new(AtomicBool::new(false));
        let number = Arc::new(AtomicU64::new(1));
        let is_in_touch = Arc::new(AtomicBool::new(true));
        let mut threads = Vec::new();
        for entry in &self.entries {
            let (address, zone) = (entry.callers, entry.zone.clone());
            let (record, ended, number) = (self.record.clone(), ended.clone(), number.clone());
            let seen = self.seen.clone();
            threads.push(std::thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    let body = format!("a sound letter {}", number.load(Ordering::Relaxed));
                    let parts = parts(options, false, &body);
                    let whole = send(&record, address, &zone, &number, &body, &parts);
                    if let Some((id, events)) = whole
                        && (events as u64) < options.crashing.events()
                    {
                        seen.lock().expect("what was seen").short.push((id, events));
                    }
                    std::thread::sleep(SOUND_PERIOD);
                }
            }));
        }
        let crashing_requests = {
            let entries: Vec<_> =
                self.entries.iter().map(|e| (e.callers, e.zone.clone())).collect();
            let (record, ended, number) = (self.record.clone(), ended.clone(), number.clone());
            let is_in_touch = is_in_touch.clone();
            std::thread::spawn(move || {
                for (address, zone) in entries.iter().cycle() {
                    if ended.load(Ordering::Relaxed) || options.crashing == Crashing::Nothing {
                        break;
                    }
                    if !is_in_touch.load(Ordering::Relaxed) {
                        std::thread::sleep(Duration::from_millis(50));
                        continue;
                    }
                    let body = match options.crashing {
                        // The same path, caller and body each time, under a new id.
                        Crashing::Request => replica::CRASHING.to_owned(),
                        _ => format!("letter {}", number.load(Ordering::Relaxed)),
                    };
                    send(&record, *address, zone, &number, &body, &parts(options, true, &body));
                    std::thread::sleep(CRASHING_PERIOD);
                }
            })
        };
        let began = Instant::now();
        let mut kill_at = KILL_PERIOD;
        let mut herd_kills = HERD_KILLS.iter().filter(|_| options.has_herd_kills).peekable();
        let (mut restart_at, mut touch_at) = (None, None);
        while began.elapsed() < PLAY {
            if began.elapsed() >= kill_at {
                kill_at += KILL_PERIOD;
                if options.crashing == Crashing::Nothing && options.has_trouble {
                    self.kill_head()?;
                }
            }
            if herd_kills.next_if(|at| began.elapsed() >= **at).is_some() {
                is_in_touch.store(false, Ordering::Relaxed);
                self.entries.iter_mut().try_for_each(Entry::kill)?;
                self.record.write("all processes are killed");
                restart_at = Some(Instant::now() + HERD_DOWN);
            }
            if restart_at.take_if(|at| Instant::now() >= *at).is_some() {
                self.entries.iter_mut().try_for_each(Entry::restart)?;
                self.record.write("all processes start again");
                touch_at = Some(Instant::now() + UNTIL_IN_TOUCH);
            }
            if touch_at.take_if(|at| Instant::now() >= *at).is_some() {
                self.record.write("all machines are in touch");
                is_in_touch.store(true, Ordering::Relaxed);
            }
            for server in &mut self.servers {
                if server.restart_after(BACK_AFTER)? {
                    self.record.write(&format!("server {} is back", server.id));
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        ended.store(true, Ordering::Relaxed);
        for thread in threads.into_iter().chain([crashing_requests]) {
            let _ = thread.join();
        }
        Ok(())
    }

    /// Kills the head of an open group.
    fn kill_head(&mut self) -> io::Result<()> {
        let entries = self.store.values("servers/");
        let is_open = |entry: &Json| entry.get("group").get("state").text() == "open";
        let heads: Vec<String> = entries
            .iter()
            .filter(|(_, entry)| is_open(entry))
            .filter_map(|(key, _)| key.strip_prefix("servers/").map(str::to_owned))
            .collect();
        // Another one each time.
        let at = self.record.seconds() as usize / KILL_PERIOD.as_secs() as usize;
        let Some(head) = heads.get(at % heads.len().max(1)) else { return Ok(()) };
        if let Some(server) = self.servers.iter_mut().find(|server| server.id == *head) {
            server.kill()?;
            self.record.write(&format!("server {head} is killed"));
        }
        Ok(())
    }

    fn check(&self) -> bool {
        let seen = self.seen.lock().expect("what was seen");
        if self.options.crashing == Crashing::Nothing {
            for (id, events) in &seen.short {
                let all = self.options.crashing.events();
                self.record.write(&format!(
                    "attempt {id}: the stream ended as complete after {events} of {all} events"
                ));
            }
            let holds = seen.short.is_empty();
            self.record.write(&format!(
                "{} streams ended as complete before their last piece: the rule {}",
                seen.short.len(),
                if holds { "held" } else { "was broken" },
            ));
            return holds;
        }
        let counted = self.options.crashing.counted_crash();
        let Some(last) = seen.crashes.get(counted - 1) else {
            self.record.write(&format!("{} crashes: the rule held", seen.crashes.len()));
            return true;
        };
        let from = last + STABILITY_WINDOW_S;
        let late = seen.arrivals.iter().filter(|at| **at > from).count();
        let holds = late <= ALLOWED_REQUESTS;
        self.record.write(&format!(
            "{} crashes, number {counted} at {last:.3} s; {late} arrivals of crashing requests later than \
             {from:.3} s, allowed are {ALLOWED_REQUESTS}: the rule {}",
            seen.crashes.len(),
            if holds { "held" } else { "was broken" },
        ));
        holds
    }
}

/// Returns the parts of a prompt. All share the first ones; the last one is the prompt's own.
fn parts(options: Options, has_crashing_part: bool, body: &str) -> String {
    let own: u64 = body.bytes().fold(7, |hash, byte| hash.wrapping_mul(31) + u64::from(byte));
    let mut parts: Vec<String> = match options.crashing {
        Crashing::Request | Crashing::Nothing => vec!["aa01:600".into()],
        Crashing::Part => (0..options.turns).map(|turn| format!("aa{turn:02x}:50")).collect(),
    };
    if options.crashing == Crashing::Part && has_crashing_part {
        parts.push(format!("{}:50", replica::CRASHING_PART));
    }
    parts.push(format!("{own:x}:50"));
    parts.join(",")
}

/// Sends a request to a process, and records the answer. Returns its id and the number of events of a success
/// that looks whole.
fn send(
    record: &Record,
    address: std::net::SocketAddr,
    zone: &str,
    number: &AtomicU64,
    body: &str,
    parts: &str,
) -> Option<(String, usize)> {
    let id = format!("{:016x}", number.fetch_add(1, Ordering::Relaxed));
    let headers = [
        ("Host", "club.example"),
        ("Authorization", "Bearer key-1"),
        ("X-Samphireport-Attempt-Id", &*id),
        ("X-Samphireport-Deadline-Ms", DEADLINE_MS),
        ("X-Samphireport-Model", "m0"),
        ("X-Samphireport-Token-Count", "1000,100"),
        ("X-Samphireport-Prompt-Prefix", parts),
    ];
    let timeout = Duration::from_secs(9);
    record.write(&format!("client: attempt {id} ({body}) sent to {zone}"));
    let answered = http::call(address, "POST", "/letters/2f", &headers, body, timeout);
    let response = match answered {
        Ok(response) => response,
        Err(error) => {
            record.write(&format!("client: attempt {id} got no answer: {error}"));
            return None;
        }
    };
    let body = response.body.as_ref().map(|body| String::from_utf8_lossy(body).into_owned());
    let events = body.map(|body| body.matches("id: ").count());
    let retry_after = response.header("retry-after").unwrap_or("none");
    let (status, is_whole) = (response.status, events.is_some());
    record.write(&format!(
        "client: attempt {id} got {status}, whole {is_whole}, events {events:?}, Retry-After {retry_after}"
    ));
    events.filter(|_| status == 200).map(|events| (id, events))
}
