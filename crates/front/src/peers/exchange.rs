//! Calls of a process to a hub, for rows and loads.
//!
//! Algorithm: a process asks a hub whose row cache it doesn't know for the rows that it lacks, by
//! the versions of those that it has. From then on it asks for the changes after the last one that
//! it has. It knows a row cache from when the hub's rows were fresh until a call to the hub fails, or
//! until the hub can't send all of the rows.
//!
//! Invariant: rows that the process has are not sent again, whichever hub it asks.

use std::net::SocketAddr;

use base::prelude::*;
use http::Method;
use http::StatusCode;
use pass::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::prelude::*;

use super::EXCHANGE_TIMEOUT;
use super::State;
use super::is_fresh;
use super::messages::ExchangeRequest;
use super::messages::ExchangeResponse;
use super::messages::Row;
use super::messages::RowsRequest;
use super::messages::RowsResponse;
use crate::decision_log;
use crate::decision_log::Record;
use crate::load_reports::Loads;
use crate::row_cache::RowChange;
use crate::store_sync;

/// What a hub says of itself and of the fleet.
pub(super) struct HubState {
    /// Whether the hub's rows match the store, and the process has got all of them.
    pub(super) is_fresh: bool,
    /// The load of the fleet without the process's own.
    pub(super) loads: Loads,
    /// The number of processes of the fleet.
    pub(super) processes: usize,
    /// Time until the next call.
    pub(super) pause: Duration,
    /// The retries that the hub grants.
    pub(super) retries: Option<RetryGrant>,
}

/// Sends loads to the hub at `address`, without asking for rows.
pub(super) async fn report(
    state: &State,
    address: SocketAddr,
    mut request: ExchangeRequest,
) -> Result<HubState, ClientError> {
    request.have = None;
    let response: ExchangeResponse = call(state, address, "/exchange", &request).await?;
    Ok(hub_state(&response, false))
}

/// Sends loads to the hub at `address`, and applies the rows that this process lacks.
pub(super) async fn exchange(
    state: &State,
    address: SocketAddr,
    mut request: ExchangeRequest,
) -> Result<HubState, ClientError> {
    if state.last_change_of(address).is_none() {
        fetch_missing_rows(state, address).await?;
    }
    request.have = state.last_change_of(address);
    let Some((known_boot, _)) = request.have else { return report(state, address, request).await };
    let response: ExchangeResponse = call(state, address, "/exchange", &request).await?;
    let is_known = response.boot == known_boot || response.whole_at.is_some();
    if is_known && response.age_ms.is_some() {
        state.known.lock().insert(address, (response.boot, response.number));
    } else {
        state.known.lock().remove(&address);
    }
    if let Some(revision) = response.whole_at {
        drop_missing(state, &response, revision);
    }
    apply_rows(state, &response.rows, response.age_ms);
    Ok(hub_state(&response, is_fresh(response.age_ms.map(Duration::from_millis))))
}

/// Gets the rows that this process lacks from a hub whose row cache it doesn't know.
async fn fetch_missing_rows(state: &State, address: SocketAddr) -> Result<(), ClientError> {
    let versions = state.shared.local.lock().row_cache.versions();
    let response: RowsResponse =
        match call(state, address, "/rows", &RowsRequest { versions }).await {
            Ok(response) => response,
            Err(ClientError::Status { status, .. }) if status == StatusCode::NOT_FOUND.as_u16() => {
                // A process of an earlier version sends its whole cache instead.
                state.known.lock().insert(address, (0, 0));
                return Ok(());
            }
            Err(error) => return Err(error),
        };
    // The changes of a hub that is still filling its cache are mostly rows that this process has.
    if is_fresh(response.age_ms.map(Duration::from_millis)) {
        state.known.lock().insert(address, (response.boot, response.number));
    }
    apply_rows(state, &response.rows, response.age_ms);
    Ok(())
}

async fn call<A: Serialize, B: DeserializeOwned>(
    state: &State,
    address: SocketAddr,
    path: &str,
    message: &A,
) -> Result<B, ClientError> {
    let called = call_hub(state, address, path, message, EXCHANGE_TIMEOUT).await;
    called.inspect_err(|_| {
        state.known.lock().remove(&address);
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

fn hub_state(response: &ExchangeResponse, is_fresh: bool) -> HubState {
    HubState {
        is_fresh,
        loads: response.loads.clone(),
        processes: response.processes,
        pause: Duration::from_millis(response.pause_ms),
        retries: response.retries.clone(),
    }
}

/// Deletes the rows that are missing from a hub's whole cache, if that cache is fresh.
fn drop_missing(state: &State, response: &ExchangeResponse, revision: u64) {
    if !is_fresh(response.age_ms.map(Duration::from_millis)) {
        return;
    }
    let all_keys = response.rows.iter().map(|row| &*row.key).collect();
    let missing = state.shared.local.lock().row_cache.missing_from(&all_keys, revision);
    for key in missing {
        let change = RowChange { key, value: None, revision };
        store_sync::apply(&state.integration, &state.shared, change, state.cx.now());
    }
}

fn apply_rows(state: &State, rows: &[Row], age_ms: Option<u64>) {
    let now = state.cx.now();
    for row in rows {
        store_sync::apply(&state.integration, &state.shared, row.into(), now);
    }
    if let Some(age) = age_ms {
        let at = now.saturating_sub(Duration::from_millis(age));
        state.shared.local.lock().row_cache.mark_current(at);
    }
    if !rows.is_empty() {
        state.shared.dispatch_queued(now);
        state.shared.servers_changed.notify_one();
    }
}
