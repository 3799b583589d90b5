//! The decision log: one typed record for each decision.
//!
//! A decision is one that concerns a request or changes what the process knows. Its record holds
//! the request's id, the inputs that decided, their age or version, and the outcome. `samphire
//! explain` reads these records, so the names of events and fields are stable.

use std::net::SocketAddr;

use base::prelude::*;
use pass::server_limit::RequestRate;
use route::prelude::Fingerprint;
use route::prompt_parts::PartKey;
use serde::Serialize;
use serde::Serializer;

/// A record of the decision log.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum Record<'a> {
    /// No route matches a request, or its key is missing or unknown.
    ///
    /// The rows of the store that this process has matched it `rows_age_ms` before, as `source` showed.
    Unrouted {
        request: &'a str,
        host: &'a str,
        path: &'a str,
        version: Revision,
        status: u16,
        rows_age_ms: Option<u64>,
        source: &'a str,
    },
    /// A request was refused and has not run.
    Refused {
        request: &'a str,
        service: &'a str,
        model: &'a str,
        reason: &'a str,
        waited_ms: u64,
        waiting: usize,
        priority: u8,
        /// The share of such requests that was admitted.
        admitted: f64,
        retry_after_ms: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        because: Option<PartRefusalRecord<'a>>,
    },
    /// An attempt of a request was sent to a backend server.
    Sent {
        request: &'a str,
        attempt: u32,
        server: &'a str,
        group: &'a str,
        expected_ms: u64,
        fill: f64,
        load_age_ms: Option<u64>,
        waited_ms: u64,
    },
    /// An attempt of a request was handed over to another process, since no endpoint can be reached from
    /// here.
    HandedOver { request: &'a str, attempt: u32, to: SocketAddr, waited_ms: u64 },
    /// This process serves a request that another one has handed over.
    TakenOver { request: &'a str, from: &'a str, attempts: u32, waited_ms: u64 },
    /// This process declined a request that another one wanted to hand over.
    Declined { request: &'a str, from: &'a str, reason: &'a str },
    /// An attempt ended without a response that can be forwarded.
    AttemptFailed {
        request: &'a str,
        #[serde(serialize_with = "hexadecimal")]
        fingerprint: Fingerprint,
        attempt: u32,
        server: &'a str,
        verdict: &'a str,
        status: u16,
        problem: &'a str,
        after_ms: u64,
        retries_left: f64,
    },
    /// An attempt beyond the first of a request was paid for or denied. Within the window, `requests` for the
    /// service earned this process `earned` retries, of which it sent `sent`; besides, `granted` ones are left
    /// that its hub granted.
    Retry {
        request: &'a str,
        service: &'a str,
        state: &'a str,
        requests: i64,
        sent: i64,
        earned: f64,
        granted: u32,
        processes: usize,
    },
    /// A server has sent nothing for an attempt for longer than expected; `events` had come before, and
    /// `because` says what made it count as silent.
    Silent {
        request: &'a str,
        attempt: u32,
        server: &'a str,
        events: u64,
        because: &'a str,
        silent_ms: u64,
    },
    /// A backend server ended while it may have been running a request: the connection broke, and a
    /// new one was refused.
    ServerEnded {
        request: &'a str,
        #[serde(serialize_with = "hexadecimal")]
        fingerprint: Fingerprint,
        server: &'a str,
        born_ms: u64,
        after_ms: u64,
        /// The deepest parts of the prompt that others may share, of so many.
        parts: &'a [Box<str>],
        shared_parts: usize,
        has_begun: bool,
    },
    /// A connection to a server broke under a request and new ones are refused here, but another process
    /// reaches the server, so it has not ended.
    EndUnconfirmed { request: &'a str, server: &'a str },
    /// This process can or can't reach backend servers, after a check that reached `reached` of `tried`.
    Reach { state: &'a str, reached: usize, tried: usize, helpers: usize },
    /// A server can't be reached from here though another process reaches it, or can be again.
    Path { server: &'a str, state: &'a str },
    /// A request under which several servers ended is quarantined, suspect (they failed together), or
    /// cleared; `servers` are the last of them.
    Quarantine {
        #[serde(serialize_with = "hexadecimal")]
        fingerprint: Fingerprint,
        state: &'a str,
        servers: &'a [&'a str],
    },
    /// The row of crashes was read, and `refused` requests are refused here because of it, or this process has
    /// written it.
    CrashRow { state: &'a str, requests: usize, refused: usize },
    /// Several servers ended before answers to prompts with a part and `others` began: they are suspect, or cleared by
    /// an answer that began. `servers` are those since they were last cleared.
    SuspectPart {
        #[serde(serialize_with = "hexadecimal")]
        part: PartKey,
        others: usize,
        state: &'a str,
        servers: &'a [&'a str],
    },
    /// A response named another limit of its server's request rate than was known, or none. `request`
    /// is empty if another process got the response.
    ServerLimit { request: &'a str, server: &'a str, per_second: Option<RequestRate> },
    /// A server turned a request away and wants no others from this process for a while.
    ServerPause { request: &'a str, server: &'a str, for_ms: u64 },
    /// A server said in a response that it is leaving. `request` is empty if another process got the
    /// response.
    ServerLeaving { request: &'a str, server: &'a str, born_ms: u64 },
    /// The warm-up of a server has begun or ended; `per_second` is the rate that it takes meanwhile.
    WarmUp { server: &'a str, state: &'a str, left_ms: u64, per_second: Option<RequestRate> },
    /// A server that had been silent goes on with a stream.
    HeardAgain { request: &'a str, attempt: u32, server: &'a str, silent_ms: u64 },
    /// An attempt was ended since another one has gone on.
    Superseded { request: &'a str, attempt: u32, server: &'a str },
    /// A stream is asked for at another backend server, from the event after the last one on.
    Resuming { request: &'a str, attempt: u32, server: &'a str, after_event: &'a str },
    /// A stream continues at another backend server.
    Resumed { request: &'a str, server: &'a str, after_event: &'a str },
    /// A request got its complete response. `expected_ms` is the forecast of its last attempt, and
    /// `first_event_ms` what came of it.
    Answered {
        request: &'a str,
        server: &'a str,
        status: u16,
        expected_ms: u64,
        first_event_ms: u64,
        first_ms: u64,
        total_ms: u64,
        longest_pause_ms: u64,
        events: u64,
    },
    /// A request ended with an error response that this process generated.
    Failed { request: &'a str, status: u16, reason: &'a str, after_ms: u64 },
    /// A request's response was aborted after a part of it had been sent. `silent_ms` is the time since
    /// the server's last data, and `stopping_ms` that since the process was asked to stop, if it was.
    BrokenOff {
        request: &'a str,
        server: &'a str,
        problem: &'a str,
        events: u64,
        after_ms: u64,
        silent_ms: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
    },
    /// The caller disconnected before the end of the response. `server` is empty if the request had
    /// not been sent to a backend server.
    CallerGone { request: &'a str, server: &'a str, after_ms: u64 },
    /// How many file descriptors the process may open, and how many connections each use may have.
    Descriptors { limit: usize, callers: usize, servers: usize, peers: usize },
    /// A new configuration took effect; it has `bytes` in the store, and applying it took `took_ms`. It came
    /// from `source`, and was written at most `delay_ms` before.
    InForce {
        version: Revision,
        routes: usize,
        bytes: usize,
        took_ms: u64,
        delay_ms: Option<u64>,
        source: &'a str,
    },
    /// The process began to follow the store itself, or leaves that to a hub, while its rows were so old.
    Store { state: &'a str, rows_age_ms: Option<u64> },
    /// A value of the store, or what a server says of itself, or invalid parts of it, were ignored.
    LeftOut { key: &'a str, findings: &'a Findings },
    /// The known state of a backend server changed.
    Server {
        server: &'a str,
        state: &'a str,
        fabric: &'a str,
        group: &'a str,
        phase: &'a str,
        model: &'a str,
        staged: &'a [ModelId],
    },
    /// A failure domain is being evacuated, is evacuated, returns, or is open again. `revision` is
    /// that of the store at which the evacuation was requested or canceled.
    Evacuation { domain: &'a str, state: &'a str, revision: Revision },
    /// A report was ignored because a later one had been seen.
    Outdated { server: &'a str, born_ms: u64, orders: u64 },
    /// A model of a service became overloaded, is no longer, or its demand is no longer reported.
    /// `required_groups` is the mean number of groups at which its requests meet their target.
    Overload { service: &'a str, model: &'a str, state: &'a str, required_groups: f64 },
    /// An order was sent.
    Ordered { server: &'a str, order: u64, what: &'a str, group: &'a str, epoch: u64 },
    /// The outcome of an order.
    OrderAnswered { server: &'a str, order: u64, what: &'a str, reply: &'a str, after_ms: u64 },
    /// This process acquired or lost a lease lock, or no longer knows whether it holds it.
    #[serde(rename = "tenure")]
    Lock { name: &'a str, revision: u64, state: &'a str },
    /// A dependency became unavailable or available, or this process started or stopped using it.
    Dependency { name: &'a str, state: &'a str, problem: &'a str },
    /// An exchange with a hub failed.
    ExchangeFailed { hub: SocketAddr, problem: &'a str, after_ms: u64 },
    /// The process ran its tasks late: `times` times since the last such line, by `by_ms` at most and by
    /// `total_ms` together.
    RanLate { by_ms: u64, times: u32, total_ms: u64 },
    /// A caller's connection ended while a request on it had no complete response. `request` is empty if
    /// its headers had not arrived; `unsent` means that the whole response had been made.
    ConnectionLost {
        request: &'a str,
        peer: SocketAddr,
        cause: &'a str,
        problem: &'a str,
        unsent: bool,
        after_ms: u64,
    },
    /// The process has reached a limit of the operating system; `limit` is how many descriptors it may have.
    Limit { name: &'a str, state: &'a str, limit: u64, problem: &'a str },
    /// A thread panicked.
    Panic { thread: &'a str, place: &'a str, message: &'a str },
    /// The process stops: it accepts no new connections any more (`closed`), or the time for open
    /// requests is up (`time is up`). `in_flight` responses have not been sent completely; `unsent` of
    /// them are complete, but their callers haven't read enough yet.
    Stopping { state: &'a str, in_flight: usize, unsent: usize, stopping_ms: u64 },
    /// The process starts, begins to stop, or has stopped; `detail` says why.
    Process { node: &'a str, state: &'a str, detail: &'a str },
}

/// The part of a prompt for which a request was refused, and the servers that ended under it.
#[derive(Debug, Serialize)]
pub(crate) struct PartRefusalRecord<'a> {
    /// The id of the part, as the caller named it.
    pub(crate) part_id: &'a str,
    /// Its key in other records.
    #[serde(serialize_with = "hexadecimal")]
    pub(crate) part: PartKey,
    /// Number of the parts that were there in each of the crashes, of which it stands deepest in the prompt.
    pub(crate) suspects: usize,
    /// The servers, and the wall-clock times of their crashes in milliseconds since 1970.
    pub(crate) crashes: Vec<(&'a str, u64)>,
}

/// Writes a record to the log.
pub(crate) fn write(record: &Record<'_>) {
    let level = match record {
        Record::Panic { .. } => log::Level::Error,
        _ => log::Level::Info,
    };
    match serde_json::to_string(record) {
        Ok(text) => log::log!(target: "decision", level, "{text}"),
        Err(error) => log::error!("could not serialize a record of the decision log: {error}"),
    }
}

/// Returns `time` in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn hexadecimal<S: Serializer>(fingerprint: &Fingerprint, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{fingerprint:016x}"))
}
