//! Spreads crash reports between processes.
//!
//! Algorithm: a process keeps one call to its hub waiting, and a hub one to each other hub. The hub
//! answers it as soon as it has a change that the caller lacks, or after [`wait_time`]. A process that
//! records a change sends it to its hub in a call of its own, which doesn't wait. So a change reaches
//! all processes within a few round trips, and without changes the calls are few.
//!
//! Invariant: a change that a call may not have delivered is sent again by the next one.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use route::prelude::CrashHistory;
use route::prompt_parts::PartHistory;
use web::prelude::*;

use super::EXCHANGE_TIMEOUT;
use super::State;
use super::exchange;
use super::hubs;
use crate::clock::wall_millis;
use crate::crash_reports::Audience;
use crate::crash_reports::ChangeNumber;
use crate::crash_reports::wait_time;

/// How long a hub isn't called after a call failed.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// A process's call to a hub.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct CrashRequest {
    /// Whether the sender is a hub.
    is_hub: bool,
    /// Changes that the receiver may lack.
    histories: Vec<CrashHistory>,
    /// Those of parts of prompts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    parts: Vec<PartHistory>,
    /// The instance and number of the receiver's last change that the sender has.
    have: Option<(BootId, ChangeNumber)>,
    /// How long the response may wait for a change that the sender lacks.
    wait_ms: u64,
}

/// A hub's response.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct CrashResponse {
    /// Identifies the instance that numbers the changes.
    boot: BootId,
    /// The last change that the sender has after this response.
    number: ChangeNumber,
    /// Changes that the sender lacks.
    histories: Vec<CrashHistory>,
    /// Those of parts of prompts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    parts: Vec<PartHistory>,
}

/// What a process knows of its calls to a hub.
#[data]
#[derive(Default)]
pub(super) struct HubProgress {
    /// The last own change that the hub has.
    sent: ChangeNumber,
    /// The last change of the hub that this process has.
    received: Option<(BootId, ChangeNumber)>,
    /// Whether a call waits.
    is_waiting: bool,
    failed_at: Option<Mono>,
}

/// Lets a call wait at each hub that this process gets crash reports from, if none does.
pub(super) fn keep_waiting(state: &Arc<State>) {
    for address in sources(state) {
        let was_waiting = {
            let mut progress = state.crash_progress.lock();
            std::mem::replace(&mut progress.entry(address).or_default().is_waiting, true)
        };
        if !was_waiting {
            state.cx.spawn("crash reports of a hub", wait_repeatedly(state.clone(), address));
        }
    }
}

async fn wait_repeatedly(state: Arc<State>, address: SocketAddr) {
    loop {
        let wait = wait_time(state.shared.local.lock().processes());
        if call(&state, address, wait).await.is_err() || !sources(&state).contains(&address) {
            break;
        }
    }
    state.crash_progress.lock().entry(address).or_default().is_waiting = false;
}

/// Sends the changes that this process records to its hub. The other hubs' calls wait at a hub, so it
/// needn't send them any.
pub(super) async fn send_recorded(state: Arc<State>) {
    loop {
        state.shared.crash_recorded.notified().await;
        if !state.shared.local.lock().is_hub {
            for address in sources(&state) {
                // The next call sends what this one could not.
                let _ = call(&state, address, Duration::ZERO).await;
            }
        }
    }
}

/// Returns the hubs from which this process gets crash reports, of those that haven't just failed to
/// respond: all others for a hub, else the first.
fn sources(state: &State) -> Vec<SocketAddr> {
    let mut sources = hubs(state);
    let now = state.cx.now();
    let progress = state.crash_progress.lock();
    let has_failed = |address: &SocketAddr| {
        let failed_at = progress.get(address).and_then(|progress| progress.failed_at);
        failed_at.is_some_and(|at| now < at + FAILURE_BACKOFF)
    };
    // A process that is no hub any more may still be listed as one.
    sources.retain(|address| *address != state.settings.peers && !has_failed(address));
    if !state.shared.local.lock().is_hub {
        sources.truncate(1);
    }
    sources
}

/// Exchanges changes with the hub at `address`, which may wait for one.
async fn call(state: &State, address: SocketAddr, wait: Duration) -> Result<(), ClientError> {
    let (request, sent) = request(state, address, wait);
    let timeout = wait + EXCHANGE_TIMEOUT;
    let called = exchange::call_hub(state, address, "/crashes", &request, timeout).await;
    let response: CrashResponse = called.inspect_err(|_| {
        let mut progress = state.crash_progress.lock();
        progress.entry(address).or_default().failed_at = Some(state.cx.now());
    })?;
    {
        let mut progress = state.crash_progress.lock();
        let progress = progress.entry(address).or_default();
        // A hub that has started again has lost what it was sent.
        let has_restarted = progress.received.is_some_and(|(boot, _)| boot != response.boot);
        progress.sent = if has_restarted { 0 } else { progress.sent.max(sent) };
        progress.received = Some((response.boot, response.number));
        progress.failed_at = None;
    }
    merge(state, &response.histories, &response.parts);
    Ok(())
}

/// Returns a request, and the last own change that it includes.
fn request(state: &State, address: SocketAddr, wait: Duration) -> (CrashRequest, ChangeNumber) {
    let progress = state.crash_progress.lock().get(&address).cloned().unwrap_or_default();
    let local = state.shared.local.lock();
    let reports = &local.crash_reports;
    let (histories, sent) = reports.changes_since(progress.sent, Audience::Hub);
    let request = CrashRequest {
        is_hub: local.is_hub,
        histories,
        parts: reports.part_changes(progress.sent, sent, Audience::Hub),
        have: progress.received,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(0),
    };
    (request, sent)
}

/// Answers a call as soon as there is a change that the sender lacks, or when it has waited long
/// enough.
pub(super) async fn respond(state: &State, request: CrashRequest) -> CrashResponse {
    merge(state, &request.histories, &request.parts);
    let until = state.cx.now() + Duration::from_millis(request.wait_ms);
    let audience = if request.is_hub { Audience::Hub } else { Audience::Client };
    let boot = state.shared.local.lock().crash_reports.boot;
    let known = request.have.filter(|(known_boot, _)| *known_boot == boot);
    let mut after = known.map_or(0, |(_, number)| number);
    loop {
        let mut changed = std::pin::pin!(state.shared.crash_reports_changed.notified());
        changed.as_mut().enable();
        let (histories, parts, number) = {
            let local = state.shared.local.lock();
            let (histories, number) = local.crash_reports.changes_since(after, audience);
            let parts = local.crash_reports.part_changes(after, number, audience);
            (histories, parts, number)
        };
        let left = until.saturating_sub(state.cx.now());
        if !histories.is_empty() || !parts.is_empty() || left.is_zero() {
            return CrashResponse { boot, number, histories, parts };
        }
        after = number;
        // Whether it changed or the time is over, the next round decides.
        let _ = tokio::time::timeout(left, changed).await;
    }
}

fn merge(state: &State, histories: &[CrashHistory], parts: &[PartHistory]) {
    let mut local = state.shared.local.lock();
    let any = local.crash_reports.merge(histories, wall_millis());
    if local.crash_reports.merge_parts(parts, wall_millis()) || any {
        state.shared.crash_reports_changed.notify_waiters();
    }
}
