//! What a hub answers to other processes.

use base::prelude::*;
use http::Method;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::body;
use web::prelude::*;

use super::MAX_EXCHANGE_INTERVAL;
use super::MAX_FRESH_AGE;
use super::MIN_EXCHANGE_INTERVAL;
use super::State;
use super::messages::ExchangeRequest;
use super::messages::ExchangeResponse;
use super::messages::Row;
use super::messages::RowsRequest;
use super::messages::RowsResponse;
use crate::decision_log;

/// Time that a hub needs for each exchange. The interval of each process grows with the number of
/// processes that share the hub.
const HUB_TIME_PER_EXCHANGE: Duration = Duration::from_millis(12);
/// Largest accepted exchange message.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Answers a request of another process.
pub(super) async fn respond(state: &State, request: Request) -> Response {
    match (&request.method, &*request.path) {
        (&Method::POST, "/exchange") => match read(request).await {
            Ok(exchange) => reply(state, &exchange_response(state, exchange)),
            Err(refused) => *refused,
        },
        (&Method::POST, "/rows") => match read(request).await {
            Ok(asked) => reply(state, &rows_response(state, &asked)),
            Err(refused) => *refused,
        },
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

async fn read<M: DeserializeOwned>(request: Request) -> Result<M, Box<Response>> {
    let refused = |problem: String| Box::new(reply::text(StatusCode::BAD_REQUEST, problem));
    let bytes = body::read(request.body, MAX_MESSAGE_BYTES).await;
    let bytes = bytes.map_err(|error| refused(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| refused(error.to_string()))
}

fn reply<M: Serialize>(state: &State, message: &M) -> Response {
    match serde_json::to_vec(message) {
        Ok(body) => {
            state.metrics.exchange_bytes.inc_by(body.len() as u64);
            reply::with_type(StatusCode::OK, "application/json", body)
        }
        Err(error) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn exchange_response(state: &State, exchange: ExchangeRequest) -> ExchangeResponse {
    let now = state.cx.now();
    let mut local = state.shared.local.lock();
    match exchange.domain_processes {
        Some(processes) => {
            local.load_reports.record_hub(&exchange.node, exchange.loads, processes, now)
        }
        None => local.load_reports.record_client(&exchange.node, exchange.loads, now),
    }
    local.load_reports.expire(now);
    let known = exchange.have.filter(|(boot, _)| *boot == local.row_cache.boot);
    let own = local.endpoints.local_loads(now);
    let (loads, processes) = local.load_reports.fleet_total(&own, &exchange.node);
    let rows = match exchange.have {
        None => Vec::new(),
        Some(_) => local.row_cache.changes_since(known.map_or(0, |(_, number)| number)),
    };
    let is_whole = exchange.have.is_some() && known.is_none();
    if is_whole {
        state.metrics.whole_exchanges.inc();
    }
    ExchangeResponse {
        boot: local.row_cache.boot,
        number: local.row_cache.last_change(),
        age_ms: local.row_cache.age(now).map(decision_log::millis),
        rows: rows.into_iter().map(Row::from).collect(),
        whole_at: is_whole.then(|| local.row_cache.revision()),
        loads,
        processes,
        pause_ms: decision_log::millis(exchange_interval(local.load_reports.client_count())),
    }
}

fn rows_response(state: &State, asked: &RowsRequest) -> RowsResponse {
    let now = state.cx.now();
    let local = state.shared.local.lock();
    let age = local.row_cache.age(now);
    let is_fresh = age.is_some_and(|age| age < MAX_FRESH_AGE);
    let rows = local.row_cache.difference(&asked.versions, is_fresh);
    RowsResponse {
        boot: local.row_cache.boot,
        number: local.row_cache.last_change(),
        age_ms: age.map(decision_log::millis),
        rows: rows.into_iter().map(Row::from).collect(),
    }
}

/// Returns the time between two exchanges of each of a hub's `clients`.
fn exchange_interval(clients: usize) -> Duration {
    let clients = u32::try_from(clients).unwrap_or(u32::MAX);
    HUB_TIME_PER_EXCHANGE
        .saturating_mul(clients)
        .clamp(MIN_EXCHANGE_INTERVAL, MAX_EXCHANGE_INTERVAL)
}
