//! One attempt: a request is sent to one backend server, and its answer is passed on.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use pass::prelude::*;
use volo_http::body::Body;
use web::body;
use web::body::BodyError;
use web::prelude::*;

use super::ActiveRequest;
use super::ServerId;
use super::reservation::Reservation;
use super::stream;
use crate::decision_log;
use crate::decision_log::Record;

/// Answers up to this size are read whole before they are passed on, so that one that breaks off
/// can be had elsewhere.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 128 << 10;
/// How long a connection may have been idle for a request that may run at most once.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(500);
/// How long an idempotent call to a plain service may take, as a multiple of its latency aim,
/// before it is tried elsewhere.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// Shortest time that an attempt gets.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request as it is sent on: without what concerned the caller's connection only.
pub(crate) struct OutgoingRequest {
    method: Method,
    target: Box<str>,
    headers: HeaderMap,
    body: Bytes,
}

impl OutgoingRequest {
    /// Reads a caller's request whole.
    pub(crate) async fn read(request: Request, limit: usize) -> Result<Self, BodyError> {
        let target = match &*request.query {
            "" => request.path.clone(),
            query => format!("{}?{query}", request.path).into(),
        };
        let mut headers = request.headers;
        strip_connection_headers(&mut headers);
        let body = body::read(request.body, limit).await?;
        Ok(OutgoingRequest { method: request.method, target, headers, body })
    }
}

fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// An attempt that gave no answer to pass on.
pub(crate) struct FailedAttempt {
    /// Where it went.
    pub(crate) server: ServerId,
    /// What became of it.
    pub(crate) verdict: Verdict,
}

/// One attempt of a request.
pub(crate) struct Attempt<'a> {
    /// The request.
    pub(crate) job: &'a Arc<ActiveRequest>,
    /// The place that it holds.
    pub(crate) held: Reservation,
    /// Its number, from 1.
    pub(crate) number: u32,
}

impl Attempt<'_> {
    /// Carries the attempt to an answer.
    pub(crate) async fn run(mut self) -> Result<Response, FailedAttempt> {
        let response = self.send(None).await?;
        if self.job.routed.route.streams && response.status().is_success() {
            return self.start_stream(response).await;
        }
        self.relay_response(response).await
    }

    /// Sends the request; a stream goes on after the event `after`.
    pub(crate) async fn send(&mut self, after: Option<&str>) -> Result<Response, FailedAttempt> {
        let job = self.job.clone();
        let request = build(&job, self.held.place(), after);
        let reuse = match job.routed.route.repeat {
            Repeat::AtMostOnce => Reuse::Fresher(MAX_IDLE_AT_MOST_ONCE),
            Repeat::Idempotent | Repeat::Resumable => Reuse::Any,
        };
        let sending = job.state.pool.send(self.held.place().address, request, reuse);
        let sent = match tokio::time::timeout(self.patience(), sending).await {
            Ok(sent) => sent,
            Err(_) => return Err(self.fail(Verdict::Unknown, 0, "no answer in time")),
        };
        let response = match sent {
            Ok(response) => response,
            Err(LinkError::NotSent { problem, .. }) => {
                return Err(self.fail(Verdict::NotSent, 0, &problem));
            }
            Err(LinkError::Broken { problem, .. }) => {
                return Err(self.fail(Verdict::Unknown, 0, &problem));
            }
        };
        let (status, headers) = (response.status(), response.headers());
        let id = job.ask.attempt.as_deref();
        let server = &self.held.place().server;
        match Verdict::of(status, headers, id, server, &job.state.integration.dialect) {
            Verdict::Answered => Ok(response),
            // What it says itself about its failure is passed on if nothing else may follow.
            Verdict::Failed if !Verdict::Failed.may_retry(job.routed.route.repeat) => Ok(response),
            Verdict::Failed if self.number >= job.routed.route.max_attempts => Ok(response),
            verdict => Err(self.fail(verdict, status.as_u16(), "")),
        }
    }

    /// Returns how long the attempt may take to begin its answer.
    fn patience(&self) -> Duration {
        let left = self.job.deadline.saturating_sub(self.job.now());
        let route = &self.job.routed.route;
        let last = self.number >= route.max_attempts;
        match route.repeat {
            Repeat::Idempotent if !last => (route.latency_aim * ATTEMPT_TIMEOUT_FACTOR)
                .clamp(MIN_ATTEMPT_TIMEOUT, left.max(MIN_ATTEMPT_TIMEOUT)),
            Repeat::Resumable if !last => stream::first_event_timeout(self.job).min(left),
            _ => left,
        }
    }

    /// Ends the attempt without an answer.
    pub(crate) fn fail(&mut self, verdict: Verdict, status: u16, problem: &str) -> FailedAttempt {
        self.held.failed(verdict);
        let job = self.job;
        let retries_left = {
            let mut local = job.state.shared.local.lock();
            let processes = local.processes();
            local.retries.left(&job.routed.service.name, processes, job.now())
        };
        decision_log::write(&Record::AttemptFailed {
            request: &job.id,
            attempt: self.number,
            server: &self.held.place().server,
            verdict: &format!("{verdict:?}"),
            status,
            problem,
            after_ms: decision_log::millis(self.held.age()),
            retries_left,
        });
        FailedAttempt { server: self.held.place().server.clone(), verdict }
    }

    /// Passes on an answer that is no stream.
    async fn relay_response(mut self, response: Response) -> Result<Response, FailedAttempt> {
        let (mut parts, mut from) = response.into_parts();
        let read = super::read_up_to(&mut from, MAX_BUFFERED_RESPONSE_BYTES).await;
        let (bytes, is_whole) = match read {
            Ok(read) => read,
            Err(error) => {
                return Err(self.fail(Verdict::Unknown, parts.status.as_u16(), &error.to_string()));
            }
        };
        strip_connection_headers(&mut parts.headers);
        if is_whole {
            self.held.succeeded();
            self.log_answered(parts.status);
            return Ok(Response::from_parts(parts, Body::from(bytes)));
        }
        let rest = stream::relay_rest(bytes, from, self.held);
        Ok(Response::from_parts(parts, rest))
    }

    fn log_answered(&self, status: StatusCode) {
        let age = decision_log::millis(self.job.now().saturating_sub(self.job.arrived));
        decision_log::write(&Record::Answered {
            request: &self.job.id,
            server: &self.held.place().server,
            status: status.as_u16(),
            first_ms: age,
            total_ms: age,
            longest_pause_ms: 0,
            events: 0,
        });
    }

    async fn start_stream(mut self, response: Response) -> Result<Response, FailedAttempt> {
        let (mut parts, from) = response.into_parts();
        strip_connection_headers(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        let patience = self.patience();
        match stream::first_event(self.job, &self.held, from, patience).await {
            Ok((event, source)) => {
                self.held.read();
                let body =
                    stream::relay_events(self.job.clone(), self.held, self.number, event, source);
                Ok(Response::from_parts(parts, body))
            }
            Err(problem) => Err(self.fail(Verdict::Unknown, parts.status.as_u16(), &problem)),
        }
    }
}

/// Returns the request as the backend server gets it.
fn build(job: &ActiveRequest, place: &Place, after: Option<&str>) -> http::Request<Bytes> {
    let dialect = &job.state.integration.dialect;
    let outgoing = &job.request;
    let mut request = http::Request::new(outgoing.body.clone());
    *request.method_mut() = outgoing.method.clone();
    // It was a target of a request before, so it is one now.
    *request.uri_mut() = outgoing.target.parse().unwrap_or_default();
    let mut headers = outgoing.headers.clone();
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(header::AUTHORIZATION);
    headers.remove(&dialect.only_server);
    headers.remove(&dialect.rank);
    headers.remove(&dialect.workspace);
    let left = job.deadline.saturating_sub(job.now());
    set(&mut headers, &dialect.deadline_ms, &decision_log::millis(left).max(1).to_string());
    set(&mut headers, &dialect.only_server, &place.server);
    if let Some(workspace) = &job.routed.workspace {
        set(&mut headers, &dialect.workspace, workspace);
    }
    if let Some(after) = after {
        set(&mut headers, &HeaderName::from_static("last-event-id"), after);
        set(&mut headers, &dialect.rank, "0");
    }
    *request.headers_mut() = headers;
    request
}

fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(error) => log::warn!("header `{name}` was left out: {error}"),
    }
}
