//! Handing a request over to another process, and serving one that another process has handed over.
//!
//! A process that can't reach the backend servers of a request sends the whole request to a helper: the
//! caller's headers and body, and in headers of its own what the helper needs to go on as if the caller
//! had come there: the attempts made, the servers tried, the time waited. So the helper's limits, pauses,
//! crash records and retry budget hold for it. The helper's response is passed on like a server's.
//!
//! Invariants:
//! - A request is handed over once: a helper that can't serve it declines it.
//! - A request that is declined has not run, and never will.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use form::prelude::*;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use pass::outcome::promises_not_run;
use web::prelude::*;

use super::ActiveRequest;
use super::State;
use super::attempt::FailedAttempt;
use super::attempt::MAX_IDLE_AT_MOST_ONCE;
use super::attempts::Tries;
use super::outgoing::set;
use super::responses;
use crate::decision_log;
use crate::decision_log::Record;

/// Where a process takes requests over.
pub(crate) const TAKE_OVER_PATH: &str = "/requests";

/// The sender's name.
const FROM: HeaderName = HeaderName::from_static("samphire-from");
/// The method of the caller's request.
const METHOD: HeaderName = HeaderName::from_static("samphire-method");
/// The path and query of the caller's request.
const TARGET: HeaderName = HeaderName::from_static("samphire-target");
/// Number of attempts that may have run.
const ATTEMPTS: HeaderName = HeaderName::from_static("samphire-attempts");
/// The servers that were reached, separated by commas.
const REACHED: HeaderName = HeaderName::from_static("samphire-reached");
/// Milliseconds since the caller's request arrived.
const WAITED_MS: HeaderName = HeaderName::from_static("samphire-waited-ms");
/// The version of the configuration that the sender knows.
const VERSION: HeaderName = HeaderName::from_static("samphire-version");
/// Milliseconds since the caller's request arrived, if it earns retries at the receiver from now on. In responses
/// that decline it: it earns at the receiver again.
const EARNS: HeaderName = HeaderName::from_static("samphire-earns");
/// In responses: the request was declined, and why.
const DECLINED: HeaderName = HeaderName::from_static("samphire-declined");
const OWN_HEADERS: [HeaderName; 8] =
    [FROM, METHOD, TARGET, ATTEMPTS, REACHED, WAITED_MS, VERSION, EARNS];

/// Marks a response that declines a request in the process that generates it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Declined {
    /// Whether the request earns retries again at the process that handed it over.
    pub(super) returns_request: bool,
}

/// Where a request comes from.
#[data]
pub(crate) enum Origin {
    /// Its caller.
    Caller,
    /// Another process.
    Process(Progress),
}

/// What another process has done for a request.
#[data]
pub(crate) struct Progress {
    /// The process.
    from: NodeId,
    /// Its attempts that may have run, and the servers that it reached.
    pub(super) tries: Tries,
    /// Time since the request arrived there.
    pub(super) waited: Duration,
    /// The version of the configuration that it knows.
    version: Revision,
    /// Time since the caller's request arrived, if it earns retries here and no more there.
    pub(super) earning_age: Option<Duration>,
}

/// A request at a helper. Dropping it releases the helper.
pub(crate) struct HandOver {
    state: Arc<State>,
    helper: SocketAddr,
    name: Box<str>,
    pub(super) started_at: Mono,
    /// The time from then to the first event of a stream, once it has come.
    pub(super) first_event_time: Option<Duration>,
}

impl HandOver {
    /// Chooses a helper, if there is one.
    pub(super) fn choose(state: &Arc<State>) -> Option<Self> {
        let now = state.cx.now();
        let helper = state.shared.local.lock().helpers.choose(now)?;
        let name = format!("process {helper}").into();
        Some(HandOver {
            state: state.clone(),
            helper,
            name,
            started_at: now,
            first_event_time: None,
        })
    }

    /// Returns the helper's name in the log.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Records that the helper failed or declined the request.
    pub(super) fn record_failure(&self) {
        self.state.shared.local.lock().helpers.failed(self.helper, self.state.cx.now());
    }

    /// Sends the request to the helper and returns its response as soon as its head has arrived. A resumed
    /// stream continues after the event with id `after`.
    ///
    /// # Errors
    ///
    /// [`PoolError::NotSent`] if the helper can't be reached or declines the request.
    pub(super) async fn send(
        &self,
        active: &ActiveRequest,
        number: u32,
        tries: &Tries,
        after: Option<&str>,
    ) -> Result<Response, PoolError> {
        decision_log::write(&Record::HandedOver {
            request: &active.id,
            attempt: number,
            to: self.helper,
            waited_ms: decision_log::millis(active.now().saturating_sub(active.arrived)),
        });
        self.state.metrics.handed_over.inc();
        let earning_age = active.stop_earning();
        let request = self.build(active, tries, after, earning_age);
        let reuse = Reuse::IdleAtMost(MAX_IDLE_AT_MOST_ONCE);
        let sent = self.state.peers.send(self.helper, request, reuse).await;
        let is_returned = match &sent {
            Ok(response) => {
                let headers = response.headers();
                headers.contains_key(&DECLINED) && headers.contains_key(&EARNS)
            }
            Err(error) => matches!(error, PoolError::NotSent { .. }),
        };
        if earning_age.is_some() && is_returned {
            active.earn();
        }
        let response = sent?;
        match response.headers().get(&DECLINED) {
            None => Ok(response),
            Some(reason) => {
                let reason = String::from_utf8_lossy(reason.as_bytes());
                let problem = format!("declined: {reason}").into();
                let cause = NotSentCause::Declined;
                Err(PoolError::NotSent { address: self.helper, problem, cause })
            }
        }
    }

    fn build(
        &self,
        active: &ActiveRequest,
        tries: &Tries,
        after: Option<&str>,
        earning_age: Option<Duration>,
    ) -> http::Request<Bytes> {
        let outgoing = &active.outgoing;
        let mut headers = outgoing.headers.clone();
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::EXPECT);
        let version = self.state.shared.local.lock().routes.version();
        // That of a resumed stream counts from its interruption.
        let waited = match after {
            None => decision_log::millis(active.now().saturating_sub(active.arrived)),
            Some(_) => 0,
        };
        let left = decision_log::millis(active.deadline.saturating_sub(active.now()));
        set(&mut headers, &FROM, self.state.cx.node());
        set(&mut headers, &METHOD, outgoing.method.as_str());
        set(&mut headers, &TARGET, &outgoing.target);
        set(&mut headers, &ATTEMPTS, &tries.may_have_run.to_string());
        set(&mut headers, &REACHED, &tries.reached.join(","));
        set(&mut headers, &WAITED_MS, &waited.to_string());
        set(&mut headers, &VERSION, &version.to_string());
        // A caller's own header must not earn anything.
        headers.remove(&EARNS);
        if let Some(age) = earning_age {
            set(&mut headers, &EARNS, &decision_log::millis(age).to_string());
        }
        let deadline_ms = &self.state.integration.header_names.deadline_ms;
        set(&mut headers, deadline_ms, &left.max(1).to_string());
        if let Some(after) = after {
            set(&mut headers, &HeaderName::from_static("last-event-id"), after);
        }
        let mut request = http::Request::new(outgoing.body.clone());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(TAKE_OVER_PATH);
        *request.headers_mut() = headers;
        request
    }
}

impl Drop for HandOver {
    fn drop(&mut self) {
        self.state.shared.local.lock().helpers.ended(self.helper);
    }
}

/// Serves requests that other processes hand over.
#[derive(Clone)]
pub(crate) struct TakeOver(pub(super) Arc<State>);

impl TakeOver {
    /// Serves a request as if its caller had come here, or declines it.
    pub(crate) async fn serve(&self, request: Request) -> Response {
        let state = &self.0;
        let (request, progress) = match read(request) {
            Ok(read) => read,
            Err(findings) => {
                return reply::text(StatusCode::BAD_REQUEST, findings.to_string());
            }
        };
        let header_names = &state.integration.header_names;
        let id = request.headers.get(&header_names.attempt_id).and_then(|id| id.to_str().ok());
        let id: Box<str> = id.unwrap_or_default().into();
        let from = progress.from.clone();
        if let Some(reason) = self.reason_to_decline(&progress) {
            return decline(&id, &from, reason, true);
        }
        state.metrics.taken_over.inc();
        decision_log::write(&Record::TakenOver {
            request: &id,
            from: &from,
            attempts: progress.tries.may_have_run,
            waited_ms: decision_log::millis(progress.waited),
        });
        let in_flight = state.taken_over.begin();
        let may_have_run = progress.tries.may_have_run > 0;
        let mut response = super::respond(state, request, Origin::Process(progress)).await;
        if let Some(Declined { returns_request }) = response.extensions().get() {
            return decline(&id, &from, "no server can be reached", *returns_request);
        }
        if may_have_run && promises_not_run(response.status()) {
            response = responses::failed(&FailedAttempt::ELSEWHERE);
        }
        // Only this process itself may decline.
        response.headers_mut().remove(&DECLINED);
        response.headers_mut().remove(&EARNS);
        response.extensions_mut().insert(AlsoInFlight::from(in_flight));
        response
    }

    fn reason_to_decline(&self, progress: &Progress) -> Option<&'static str> {
        if self.0.cx.is_process_stopping() {
            return Some("stopping");
        }
        let is_older = self.0.shared.local.lock().routes.version() < progress.version;
        is_older.then_some("older configuration")
    }
}

/// Returns the response that declines a request. `returns_request` says whether it earns retries again at the
/// process that handed it over.
fn decline(request: &str, from: &str, reason: &'static str, returns_request: bool) -> Response {
    decision_log::write(&Record::Declined { request, from, reason });
    let mut response = reply::empty(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(DECLINED, HeaderValue::from_static(reason));
    if returns_request {
        response.headers_mut().insert(EARNS, HeaderValue::from_static("0"));
    }
    response
}

/// Returns the caller's request in a message of another process, and what that has done for it.
fn read(mut message: Request) -> Result<(Request, Progress), Findings> {
    let mut findings = Findings::default();
    let headers = &message.headers;
    let method: Method = parsed(headers, &METHOD, &mut findings).unwrap_or_default();
    let target: http::Uri = parsed(headers, &TARGET, &mut findings).unwrap_or_default();
    let may_have_run = parsed(headers, &ATTEMPTS, &mut findings).unwrap_or_default();
    let waited = parsed(headers, &WAITED_MS, &mut findings).unwrap_or_default();
    let version = parsed(headers, &VERSION, &mut findings).unwrap_or_default();
    let reached: String = parsed(headers, &REACHED, &mut findings).unwrap_or_default();
    let from: String = parsed(headers, &FROM, &mut findings).unwrap_or_default();
    let has_age = headers.contains_key(&EARNS);
    let earning_age = has_age.then(|| parsed(headers, &EARNS, &mut findings)).flatten();
    let reached = reached.split(',').filter(|id| !id.is_empty()).map(Into::into);
    let reached: Vec<ServerId> = reached.collect();
    let progress = Progress {
        from: from.into(),
        tries: Tries { may_have_run, servers: reached.clone(), reached },
        waited: Duration::from_millis(waited),
        version,
        earning_age: earning_age.map(Duration::from_millis),
    };
    for name in OWN_HEADERS {
        message.headers.remove(name);
    }
    message.method = method;
    message.path = target.path().into();
    message.query = target.query().unwrap_or_default().into();
    findings.into_result((message, progress))
}

fn parsed<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    findings: &mut Findings,
) -> Option<T> {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    let value = text.and_then(|text| text.parse().ok());
    if value.is_none() {
        findings.add(name.as_str(), format!("missing or invalid: {text:?}"));
    }
    value
}
