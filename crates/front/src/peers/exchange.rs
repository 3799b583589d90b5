//! Calls of a process to a hub, for rows and loads.

use std::net::SocketAddr;

use base::prelude::*;
use http::Method;
use http::StatusCode;
use rows::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::prelude::*;

use super::EXCHANGE_TIMEOUT;
use super::State;
use super::messages::ExchangeRequest;
use super::messages::ExchangeResponse;
use super::messages::HubState;
use crate::decision_log;
use crate::decision_log::Record;

/// Sends loads to the hub at `address`, without asking for rows.
pub(super) async fn report(
    state: &State,
    address: SocketAddr,
    mut request: ExchangeRequest,
) -> Result<HubState, ClientError> {
    request.have = None;
    let response: ExchangeResponse = call(state, address, "/exchange", &request).await?;
    Ok(response.split().1)
}

/// Sends loads to the hub at `address`, and applies the rows that this process lacks.
pub(super) async fn exchange(
    state: &State,
    address: SocketAddr,
    mut request: ExchangeRequest,
) -> Result<HubState, ClientError> {
    if let Ask::Rows(asked) = ask(state, address) {
        fetch_missing_rows(state, address, &asked).await?;
    }
    let Ask::Changes(asked) = ask(state, address) else {
        return report(state, address, request).await;
    };
    request.have = Some((asked.boot, asked.number));
    request.large = asked.large;
    let asked_at = state.cx.now();
    let response: ExchangeResponse = call(state, address, "/exchange", &request).await?;
    let (answer, mut hub) = response.split();
    let answered = {
        let local = state.shared.local.lock();
        state.hub_follower.lock().take_changes(&local.row_cache, address, &answer, asked_at)
    };
    hub.is_fresh = answered.is_fresh;
    take(state, address, answered);
    Ok(hub)
}

fn ask(state: &State, address: SocketAddr) -> Ask {
    let local = state.shared.local.lock();
    state.hub_follower.lock().ask(address, &local.row_cache)
}

/// Gets the rows that this process lacks from a hub whose row cache it doesn't know.
async fn fetch_missing_rows(
    state: &State,
    address: SocketAddr,
    asked: &RowsRequest,
) -> Result<(), ClientError> {
    let asked_at = state.cx.now();
    let answer: Answer = match call(state, address, "/rows", asked).await {
        Ok(answer) => answer,
        Err(ClientError::Status { status, .. }) if status == StatusCode::NOT_FOUND.as_u16() => {
            state.hub_follower.lock().set_earlier_build(address);
            return Ok(());
        }
        Err(error) => return Err(error),
    };
    let answered = {
        let local = state.shared.local.lock();
        state.hub_follower.lock().take_rows(&local.row_cache, address, &answer, asked_at)
    };
    take(state, address, answered);
    Ok(())
}

async fn call<A: Serialize, B: DeserializeOwned>(
    state: &State,
    address: SocketAddr,
    path: &str,
    message: &A,
) -> Result<B, ClientError> {
    let called = call_hub(state, address, path, message, EXCHANGE_TIMEOUT).await;
    called.inspect_err(|error| match error {
        ClientError::NotSent { .. } | ClientError::Incomplete { .. } => {
            state.hub_follower.lock().failed(address, state.cx.now());
        }
        ClientError::Status { .. } => state.hub_follower.lock().declined(address),
    })
}

/// Calls the hub at `address`; `timeout` is the time without any data after which the call fails.
pub(super) async fn call_hub<A: Serialize, B: DeserializeOwned>(
    state: &State,
    address: SocketAddr,
    path: &str,
    message: &A,
    timeout: Duration,
) -> Result<B, ClientError> {
    let sent_at = state.cx.now();
    let called = state
        .client
        .json_with_idle_timeout(address, Method::POST, path, Some(message), timeout)
        .await;
    called.inspect_err(|error| {
        state.metrics.failed_exchanges.inc();
        decision_log::write(&Record::ExchangeFailed {
            hub: address,
            problem: &error.to_string(),
            after_ms: decision_log::millis(state.cx.now().saturating_sub(sent_at)),
        });
    })
}

/// Applies what the hub at `address` answered.
fn take(state: &State, address: SocketAddr, answered: Answered) {
    let now = state.cx.now();
    for error in &answered.failed {
        log::warn!("{address} sent a row that can't be read: {error}");
    }
    let has_changes = !answered.changes.is_empty();
    let writer = state.writer(RowSource::Process(address));
    for change in answered.changes {
        writer.apply(change, now);
    }
    if let Some(at) = answered.current_at {
        state.shared.local.lock().row_cache.mark_current(at, writer.source);
    }
    if has_changes {
        state.shared.dispatch_queued(now);
        state.shared.servers_changed.notify_one();
    }
}
