//! What a process, mostly a hub, answers to other processes.

use base::prelude::*;
use http::Method;
use http::StatusCode;
use rows::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::body;
use web::prelude::*;

use super::MAX_EXCHANGE_INTERVAL;
use super::MIN_EXCHANGE_INTERVAL;
use super::State;
use super::crashes;
use super::helpers;
use super::messages::ExchangeRequest;
use super::messages::ExchangeResponse;
use crate::decision_log;
use crate::names;
use crate::serve::TAKE_OVER_PATH;
use crate::serve::TakeOver;

/// Time between two exchanges of a hub with any of its processes. The interval of each process is
/// this times the number of processes that share the hub, so that a hub's work doesn't grow with them.
const HUB_TIME_PER_EXCHANGE: Duration = Duration::from_millis(4);
/// How long another process may take to send a message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest accepted exchange message.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Answers a request of another process.
pub(super) async fn respond(state: &State, request: Request) -> Response {
    let peer = request.peer.map_or_else(String::new, |peer| peer.ip().to_string());
    let grant = || state.memory.messages.grant(&peer);
    match (&request.method, &*request.path) {
        (&Method::POST, "/exchange") => match read(request, grant()).await {
            Ok(exchange) => match exchange_response(state, exchange) {
                Some(response) => json_response(state, grant(), &response),
                None => busy(),
            },
            Err(refused) => *refused,
        },
        (&Method::POST, "/rows") => match read(request, grant()).await {
            Ok(asked) => json_response(state, grant(), &rows_answer(state, &asked)),
            Err(refused) => *refused,
        },
        (&Method::POST, "/crashes") => match read(request, grant()).await {
            Ok(asked) => json_response(state, grant(), &crashes::respond(state, asked).await),
            Err(refused) => *refused,
        },
        (&Method::POST, "/helpers") => match read(request, grant()).await {
            Ok(asked) => json_response(state, grant(), &helpers::respond(state, asked)),
            Err(refused) => *refused,
        },
        (&Method::POST, "/paths") => match read(request, grant()).await {
            Ok(asked) => json_response(state, grant(), &helpers::respond_paths(state, asked).await),
            Err(refused) => *refused,
        },
        (&Method::POST, TAKE_OVER_PATH) => take_over(state, request).await,
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

/// Serves a request that another process has handed over.
async fn take_over(state: &State, request: Request) -> Response {
    match state.cx.registry().lookup::<TakeOver>(names::SERVE) {
        Ok(take_over) => take_over.serve(request).await,
        Err(error) => reply::text(StatusCode::NOT_FOUND, error.to_string()),
    }
}

/// Reads a JSON message; returns the response that refuses it if that fails.
async fn read<M: DeserializeOwned>(request: Request, grant: Grant) -> Result<M, Box<Response>> {
    let refused = |status, problem: String| Box::new(reply::text(status, problem));
    let reading = body::read_granted(request.body, MAX_MESSAGE_BYTES, grant);
    let bytes = match tokio::time::timeout(MESSAGE_TIMEOUT, reading).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(GrantedBodyError::OutOfMemory)) => return Err(Box::new(busy())),
        Ok(Err(error)) => return Err(refused(StatusCode::BAD_REQUEST, error.to_string())),
        Err(_) => return Err(refused(StatusCode::REQUEST_TIMEOUT, "the body is late".into())),
    };
    let message = serde_json::from_slice(&bytes);
    message.map_err(|error| refused(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Returns the response to a message that this process can't answer now.
fn busy() -> Response {
    reply::text(StatusCode::SERVICE_UNAVAILABLE, "the process is busy")
}

/// Returns a response with a JSON message, and counts its bytes; they are taken with `grant`.
fn json_response<M: Serialize>(state: &State, grant: Grant, message: &M) -> Response {
    let json = match serde_json::to_vec(message) {
        Ok(json) => json,
        Err(error) => return reply::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    };
    let Ok(body) = grant.cover(json) else { return busy() };
    state.metrics.exchange_bytes.inc_by(body.len() as u64);
    reply::with_type(StatusCode::OK, "application/json", body)
}

/// Returns the response to an exchange; `None` if it asks for the whole row cache and the link can't
/// take that now.
fn exchange_response(state: &State, exchange: ExchangeRequest) -> Option<ExchangeResponse> {
    let now = state.cx.now();
    let mut local = state.shared.local.lock();
    match exchange.domain_processes {
        Some(processes) => {
            local.load_reports.record_hub(&exchange.node, exchange.loads, processes, now)
        }
        None => local.load_reports.record_client(&exchange.node, exchange.loads, now),
    }
    local.load_reports.expire(now);
    let retries = match (&exchange.retries, exchange.domain_processes) {
        (Some(report), _) => local.grant_retries(&exchange.node, report),
        (None, Some(_)) => None,
        (None, None) => {
            local.note_without_report(&exchange.node);
            None
        }
    };
    let own = local.own_loads(now);
    let (loads, processes) = local.load_reports.fleet_total(&own, &exchange.node, now);
    let answer = match exchange.have {
        None => Feed::nothing(&local.row_cache, now),
        Some((boot, number)) => {
            let asked = ChangesRequest { boot, number, large: exchange.large };
            state.feed.lock().changes(&local.row_cache, &asked, now)?
        }
    };
    if answer.whole_at.is_some() {
        state.metrics.whole_exchanges.inc();
    }
    Some(ExchangeResponse {
        boot: answer.boot,
        number: answer.number,
        age_ms: answer.age_ms,
        rows: answer.rows,
        patches: answer.patches,
        whole_at: answer.whole_at,
        loads,
        processes,
        pause_ms: decision_log::millis(exchange_interval(local.load_reports.client_count())),
        retries,
    })
}

fn rows_answer(state: &State, asked: &RowsRequest) -> Answer {
    let local = state.shared.local.lock();
    state.feed.lock().difference(&local.row_cache, asked, state.cx.now())
}

/// Returns the time between two exchanges of each of a hub's `clients`.
fn exchange_interval(clients: usize) -> Duration {
    let clients = u32::try_from(clients).unwrap_or(u32::MAX);
    HUB_TIME_PER_EXCHANGE
        .saturating_mul(clients)
        .clamp(MIN_EXCHANGE_INTERVAL, MAX_EXCHANGE_INTERVAL)
}
