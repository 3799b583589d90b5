//! Forwards callers' requests to backend servers.
//!
//! A request is routed, waits in the queue until an endpoint is free for it, and is sent there. An
//! attempt that fails is repeated at another endpoint if the route and the retry budget allow it.
//!
//! - `attempts`: the attempts of one request, until one gives the final response.
//! - `race`: attempts that run side by side.
//! - `choice`: chooses what carries an attempt.
//! - `silence`: when a server counts as silent for an attempt.
//! - `attempt`: one attempt of a request.
//! - `outgoing`: what is sent to a backend server.
//! - `carrier`: what carries an attempt, a connection of this process or another process.
//! - `hand_over`: handing a request over to another process, and taking one over.
//! - `stream`: the events of a response, and long responses that have none.
//! - `relay`: forwards a stream event by event, and resumes it at another backend server where that is
//!   allowed.
//! - `resumption`: an attempt to go on with a stream at another backend server.
//! - `server_end`: finds out whether a backend server ended while it ran a request.
//! - `stop`: how far a stop of the process has got.
//! - `reservation`: what a request holds while it waits or runs.
//! - `responses`: the responses that this process generates itself.
//!
//! The decisions are in [`pass`].
//!
//! A caller that disconnects drops the future of its request, and with it the connection to the
//! backend server and the request's reservation.

mod attempt;
mod attempts;
mod carrier;
mod choice;
mod hand_over;
mod life;
mod outgoing;
mod race;
mod relay;
mod reservation;
mod responses;
mod resumption;
mod server_end;
mod silence;
mod stop;
mod stream;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

use base::prelude::*;
use bytes::Bytes;
use futures::FutureExt;
use kernel::prelude::*;
use parking_lot::Mutex;
use pass::prelude::*;
use pass::routes::RouteError;
use pass::routes::RouteMatch;
use route::prelude::Fingerprint;
use route::prompt_parts::part_key;
use route::prompt_parts::source;
use tokio_util::sync::CancellationToken;
use web::body;
use web::body::BodyError;
use web::prelude::*;

use crate::connections;
use crate::crash_reports::TrackedParts;
use crate::decision_log;
use crate::decision_log::Record;
use crate::descriptors::DescriptorShares;
use crate::integration::Integration;
use crate::local_state::SharedState;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::names;
use crate::peers::PeerOpinions;
use crate::run::lame_duck;
use crate::settings::Settings;

use attempts::AttemptCount;
use hand_over::Origin;
pub(crate) use hand_over::TAKE_OVER_PATH;
pub(crate) use hand_over::TakeOver;
use life::LifeWatches;
use server_end::EndProbes;
use stop::StopState;

/// One of so many connections of callers is opened only to refuse a request.
const SURPLUS_PART: usize = 8;
/// Retry-After of requests on such connections.
const SURPLUS_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Timeout of connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of connecting to another process.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a connection to a backend server or another process is kept idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two decisions on waiting requests when nothing else triggers one.
const DISPATCH_PERIOD: Duration = Duration::from_millis(20);
/// Retry-After of requests that come before this process has a configuration, or while it has none of their
/// service.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-After of requests for which this process knows no route or key while it may lack a configuration.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Share of the time within which a configuration must be in force up to which rows are young enough to say that a
/// route or key isn't there.
const DENIAL_AGE_SHARE: f64 = 2.0 / 3.0;
/// Retry-After of requests that a stopping process can't finish; other processes can take them.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Returns the service that serves callers.
pub fn service() -> Service {
    Service::new(names::SERVE, &[names::STORE_SYNC, names::PEERS], run)
}

/// The state that all requests share.
pub(crate) struct State {
    cx: Context,
    integration: Integration,
    shared: Arc<SharedState>,
    pool: Pool,
    /// Connections to the other processes.
    peers: Pool,
    /// What the other processes see of the servers.
    opinions: PeerOpinions,
    /// Connections that show whether servers have ended.
    end_probes: EndProbes,
    /// Connections that show whether servers live on after their answers.
    life_watches: LifeWatches,
    /// The requests that this process has taken over from others.
    taken_over: Drain,
    /// How far a stop of the process has got.
    stop: StopState,
    metrics: Metrics,
    /// What requests and responses may hold.
    memory: Memory,
    /// Age of the rows of the store up to which a route or key that they lack isn't there.
    max_denial_age: Duration,
}

/// A request that is being served.
pub(crate) struct ActiveRequest {
    state: Arc<State>,
    /// The id that the caller gave it.
    id: Box<str>,
    routed: RouteMatch,
    metadata: RequestMetadata,
    outgoing: outgoing::OutgoingRequest,
    /// Identifies the request when its caller sends it again.
    fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    parts: TrackedParts,
    origin: Origin,
    arrived: Mono,
    /// The earlier of the caller's deadline and the route's timeout.
    deadline: Mono,
    /// How many attempts have begun.
    attempts: Mutex<AttemptCount>,
    /// Whether it earns retries at this process.
    earns: AtomicBool,
    /// The backend server that the last attempt was sent to.
    current_server: Mutex<Option<ServerId>>,
}

async fn run(cx: Context) -> Result<(), ServiceError> {
    let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
    let shares: DescriptorShares = cx.registry().lookup(names::PROCESS)?;
    let pool_settings =
        PoolSettings { connect_timeout: CONNECT_TIMEOUT, idle_timeout: IDLE_TIMEOUT };
    let pool = Pool::bounded(pool_settings, shares.servers);
    let state = Arc::new(State {
        cx: cx.clone(),
        integration: cx.registry().lookup(names::PROCESS)?,
        shared: cx.registry().lookup(names::PROCESS)?,
        peers: pool.with_connect_timeout(PEER_CONNECT_TIMEOUT),
        pool,
        opinions: cx.registry().lookup(names::PEERS)?,
        end_probes: EndProbes::default(),
        life_watches: LifeWatches::default(),
        taken_over: Drain::default(),
        stop: StopState::new(settings.stop),
        metrics: cx.registry().lookup(names::PROCESS)?,
        memory: cx.registry().lookup(names::PROCESS)?,
        max_denial_age: settings.config.mul_f64(DENIAL_AGE_SHARE),
    });
    let listener = bind(settings.callers);
    let listener =
        listener.map_err(|error| ServiceError::new(settings.callers.to_string(), error))?;
    let stop = CancellationToken::new();
    let drain = Drain::default();
    let dispatch_queued = cx.spawn("dispatch", dispatch_queued_periodically(state.clone()));
    let handler = {
        let state = state.clone();
        Arc::new(move |request| handle(state.clone(), request).boxed())
    };
    let observer = connections::observer(&state.integration.header_names, &state.metrics);
    let serving = serve_observed(
        listener,
        limits(shares),
        handler,
        drain.clone(),
        stop.clone(),
        Some(observer),
    );
    cx.registry().register(names::SERVE, TakeOver(state.clone()));
    cx.registry().register(names::SERVE, drain.clone());
    cx.ready();
    let serving = async {
        let ended = serving.await;
        state.taken_over.idle().await;
        ended
    };
    let stopping = async {
        cx.process_stopping().await;
        state.stop.requested(cx.now());
        // The load balancer opens connections here until it notices that the process isn't ready.
        tokio::time::sleep(lame_duck(settings.stop)).await;
        stop.cancel();
        state.stop.listener_closed();
        state.log_stop("closed", &drain);
        tokio::time::sleep(state.stop.time_left(cx.now())).await;
        state.log_stop("time is up", &drain);
        state.stop.time_is_up();
        tokio::time::sleep(state.stop.answer_time()).await;
    };
    let ended = tokio::select! {
        ended = serving => ended,
        () = stopping => Ok(()),
    };
    dispatch_queued.abort();
    ended.map_err(|problem| ServiceError::new(settings.callers.to_string(), problem))
}

impl State {
    /// Logs how far the stop of the process has got.
    fn log_stop(&self, state: &str, drain: &Drain) {
        decision_log::write(&Record::Stopping {
            state,
            in_flight: drain.count() + self.taken_over.count(),
            unsent: drain.unsent(),
            stopping_ms: self.stop.elapsed(self.cx.now()).map_or(0, decision_log::millis),
        });
    }
}

fn limits(shares: DescriptorShares) -> ServerLimits {
    let max_surplus = (shares.callers / SURPLUS_PART).max(1);
    let limits = Limits::default();
    ServerLimits {
        max_header_bytes: limits.max_header_bytes * 2,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
        max_connections: shares.callers - max_surplus,
        max_surplus,
    }
}

async fn dispatch_queued_periodically(state: Arc<State>) {
    let mut ticks = state.cx.every(DISPATCH_PERIOD);
    loop {
        ticks.tick().await;
        let is_waiting = {
            let mut local = state.shared.local.lock();
            local.update_evacuations(state.cx.now());
            !local.dispatch.is_empty()
        };
        if is_waiting {
            state.shared.dispatch_queued(state.cx.now());
        }
    }
}

async fn handle(state: Arc<State>, request: Request) -> Response {
    let started = Instant::now();
    let mut response = if request.is_surplus {
        refuse_surplus(&state, &request)
    } else {
        respond(&state, request, Origin::Caller).await
    };
    if state.cx.is_process_stopping() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    state.metrics.record_response(response.status(), started.elapsed());
    response
}

/// Refuses a request since the process has as many connections as it serves.
fn refuse_surplus(state: &State, request: &Request) -> Response {
    let id = request.header(state.integration.header_names.attempt_id.as_str());
    let response = responses::refused(SURPLUS_RETRY_AFTER);
    log_failed(id.unwrap_or_default(), &response, "all connections are in use", Duration::ZERO);
    response
}

async fn respond(state: &Arc<State>, request: Request, origin: Origin) -> Response {
    let now = state.cx.now();
    let arrived = match &origin {
        Origin::Caller => now,
        Origin::Process(progress) => now.saturating_sub(progress.waited),
    };
    let metadata = RequestMetadata::from_headers(&request.headers, &state.integration.header_names);
    let id: Box<str> = metadata.attempt_id.clone().unwrap_or_default();
    let routed = match route(state, &request, &metadata) {
        Ok(routed) => routed,
        Err(response) => return *response,
    };
    let limit = state.shared.local.lock().routes.limits().max_body_bytes;
    let grant = state.memory.bodies.grant(routed.workspace.as_deref().unwrap_or_default());
    let time = metadata.deadline.min(routed.route.timeout);
    let read = outgoing::OutgoingRequest::read(request, limit, grant);
    let outgoing = match tokio::time::timeout(time, read).await {
        Ok(Ok(outgoing)) => outgoing,
        Ok(Err(error)) => {
            let response = responses::bad_body(&error);
            log_failed(&id, &response, &error.to_string(), state.cx.now().saturating_sub(arrived));
            return response;
        }
        Err(_) => {
            let response = responses::late_body();
            log_failed(&id, &response, "the body was not whole by the deadline", time);
            return response;
        }
    };
    let deadline = now + time;
    if !state.stop.can_finish(deadline) {
        let response = responses::refused(STOPPING_RETRY_AFTER);
        let waited = state.cx.now().saturating_sub(arrived);
        log_failed(&id, &response, "its deadline is after the end of the stop", waited);
        return response;
    }
    let fingerprint = outgoing.fingerprint(routed.workspace.as_deref().unwrap_or_default());
    let parts = tracked_parts(&routed, &metadata);
    let attempts = match &origin {
        Origin::Caller => AttemptCount::default(),
        Origin::Process(progress) => AttemptCount::after(progress.tries.may_have_run),
    };
    let active = Arc::new(ActiveRequest {
        state: state.clone(),
        id,
        routed,
        metadata,
        outgoing,
        fingerprint,
        parts,
        origin,
        arrived,
        deadline,
        attempts: Mutex::new(attempts),
        earns: AtomicBool::new(false),
        current_server: Mutex::default(),
    });
    let departure = DepartureGuard::new(active.clone());
    let left = deadline.saturating_sub(state.cx.now());
    let response = tokio::select! {
        // A process that runs late passes a ready response on, even if the deadline has passed meanwhile.
        biased;
        response = active.clone().serve() => response,
        () = tokio::time::sleep(left) => {
            active.end(responses::timed_out(), "the request's deadline passed")
        }
        () = state.stop.out_of_time() => active.end_at_stop(),
    };
    departure.disarm();
    response
}

fn log_failed(request: &str, response: &Response, reason: &str, after: Duration) {
    let status = response.status().as_u16();
    decision_log::write(&Record::Failed {
        request,
        status,
        reason,
        after_ms: decision_log::millis(after),
    });
}

/// Returns the route of a request, or the response to one that has none.
///
/// What isn't known here may be in a configuration that this process lacks. So a route or key is denied only while the
/// rows are so young that every configuration that must be in force is among them; else the caller may come back.
fn route(
    state: &State,
    request: &Request,
    metadata: &RequestMetadata,
) -> Result<RouteMatch, Box<Response>> {
    let (table, rows_age, source) = {
        let local = state.shared.local.lock();
        let age = local.row_cache.age(state.cx.now());
        (local.routes.clone(), age, local.row_cache.source())
    };
    let id = metadata.attempt_id.as_deref().unwrap_or_default();
    if table.version() == 0 {
        return Err(Box::new(responses::refused(UNCONFIGURED_RETRY_AFTER)));
    }
    let host = request.header("host").unwrap_or_default();
    let found = table.find(host, &request.path, metadata.api_key.as_deref(), id.as_bytes());
    found.map_err(|problem| {
        let is_current = rows_age.is_some_and(|age| age <= state.max_denial_age);
        let response = match problem {
            _ if !is_current => responses::refused(OUTDATED_RETRY_AFTER),
            RouteError::Unknown => responses::not_found(),
            RouteError::Unauthorized => responses::unauthorized(),
            RouteError::NoService => responses::refused(UNCONFIGURED_RETRY_AFTER),
        };
        decision_log::write(&Record::Unrouted {
            request: id,
            host,
            path: &request.path,
            version: table.version(),
            status: response.status().as_u16(),
            rows_age_ms: rows_age.map(decision_log::millis),
            source: &source.map_or_else(String::new, |source| source.to_string()),
        });
        Box::new(response)
    })
}

/// Returns the model that a request is for, if its service has models.
fn model(routed: &RouteMatch, metadata: &RequestMetadata) -> Option<ModelId> {
    let engine = routed.service.engine.as_ref()?;
    let requested = metadata.generation.as_ref().map(|generation| generation.model.clone());
    requested.or_else(|| engine.models.first().map(|model| model.name.clone()))
}

/// Returns the parts of a request's prompt that other requests may share.
fn tracked_parts(routed: &RouteMatch, metadata: &RequestMetadata) -> TrackedParts {
    let Some(model) = model(routed, metadata) else { return TrackedParts::default() };
    let ids = metadata.shared_parts.iter();
    TrackedParts {
        keys: ids.map(|id| part_key(&routed.service.name, &model, id)).collect(),
        source: source(routed.workspace.as_deref().unwrap_or_default()),
    }
}

impl ActiveRequest {
    fn now(&self) -> Mono {
        self.state.cx.now()
    }

    /// Logs why the request ends with `response`, and returns it.
    fn end(&self, response: Response, reason: &str) -> Response {
        log_failed(&self.id, &response, reason, self.now().saturating_sub(self.arrived));
        response
    }

    /// Returns the response to the request if it is in progress as the process ends.
    fn end_at_stop(&self) -> Response {
        let response = match self.may_run() {
            0 => responses::refused(STOPPING_RETRY_AFTER),
            _ => responses::interrupted(),
        };
        self.end(response, "the time to stop was up")
    }

    fn model(&self) -> Option<ModelId> {
        model(&self.routed, &self.metadata)
    }

    fn prompt_tokens(&self) -> u64 {
        self.metadata.generation.as_ref().map_or(0, |generation| generation.prompt_tokens)
    }

    /// Returns how many tokens the answer is expected to have.
    fn output_tokens(&self) -> u64 {
        self.metadata.generation.as_ref().map_or(0, GenerationRequest::likely_output_tokens)
    }
}

/// Logs that the caller of a request disconnected before its response began, unless disarmed.
struct DepartureGuard {
    active: Option<Arc<ActiveRequest>>,
}

impl DepartureGuard {
    fn new(active: Arc<ActiveRequest>) -> Self {
        DepartureGuard { active: Some(active) }
    }

    fn disarm(mut self) {
        self.active = None;
    }
}

impl Drop for DepartureGuard {
    fn drop(&mut self) {
        let Some(active) = self.active.take() else { return };
        let server = active.current_server.lock();
        decision_log::write(&Record::CallerGone {
            request: &active.id,
            server: server.as_deref().unwrap_or_default(),
            after_ms: decision_log::millis(active.now().saturating_sub(active.arrived)),
        });
    }
}

/// The id of a backend server.
type ServerId = form::server::ServerId;

/// What was read of a body.
enum ReadBody {
    /// All of it.
    Whole(Bytes),
    /// Its first bytes, in parts.
    Start(Vec<Bytes>),
}

/// Reads a body up to `limit` bytes.
///
/// The bytes are taken with `grant`. If there is no memory for a chunk, or if the bytes exceed `limit`, that
/// chunk is the last one.
async fn read_up_to(
    response_body: &mut volo_http::body::Body,
    limit: usize,
    grant: Grant,
) -> Result<ReadBody, BodyError> {
    let mut buf = Buffer::new(grant);
    while let Some(chunk) = body::next_chunk(response_body).await {
        let chunk = chunk?;
        if buf.push(&chunk).is_err() {
            return Ok(ReadBody::Start(vec![buf.freeze(), chunk]));
        }
        if buf.len() > limit {
            return Ok(ReadBody::Start(vec![buf.freeze()]));
        }
    }
    Ok(ReadBody::Whole(buf.freeze()))
}
