//! Finds out whether a backend server ended while it may have been running a request.
//!
//! A connection that breaks doesn't tell: the network may have reset it, or the server may have
//! given up the request. That new connections are refused doesn't either: the path from here to the
//! server may be cut. So other processes are asked, and a server that one of them reaches has not ended.
//! A server that was leaving doesn't count, since it ends anyway, nor does one in a failure domain that is
//! being evacuated, which may be shut down at any time.
//!
//! The crash is recorded against the request, so that a request that crashes each server that runs it
//! is refused from some crash on ([`crate::crash_reports`]), and against the parts of its prompt, unless
//! its answer had begun.

use base::prelude::*;
use pass::prelude::*;
use web::pool::Probe;
use web::pool::probe;

use super::ActiveRequest;
use super::reservation::Reservation;
use crate::clock::wall_millis;
use crate::decision_log;
use crate::decision_log::Record;

/// How long a server may take to accept or refuse a connection; one that takes longer counts as
/// running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Checks whether the server of a reservation has ended, after a connection to it broke with the
/// request on it.
pub(super) async fn check(active: &ActiveRequest, reservation: &Reservation) {
    let endpoint = reservation.endpoint();
    if !is_serving(active, endpoint) {
        return;
    }
    match probe(endpoint.address, PROBE_TIMEOUT).await {
        Probe::Accepted | Probe::NotTried => return,
        Probe::NoAnswer => return active.state.shared.connect_failed(endpoint, active.now()),
        Probe::Refused => active.state.shared.connect_failed(endpoint, active.now()),
    }
    if is_reached_elsewhere(active, endpoint).await {
        let (request, server) = (&*active.id, &*endpoint.server);
        return decision_log::write(&Record::EndUnconfirmed { request, server });
    }
    let (server, started_at_ms, millis) = (&endpoint.server, endpoint.started_at_ms, wall_millis());
    {
        let reports = &mut active.state.shared.local.lock().crash_reports;
        reports.record_crash(active.fingerprint, server, started_at_ms, millis);
        if !reservation.has_begun() {
            reports.record_part_crash(reservation.parts(), server, started_at_ms, millis);
        }
    }
    active.state.shared.notify_of_crash_report();
    active.state.metrics.server_ends.inc();
    decision_log::write(&Record::ServerEnded {
        request: &active.id,
        fingerprint: active.fingerprint,
        server,
        born_ms: started_at_ms,
        after_ms: decision_log::millis(active.now().saturating_sub(active.arrived)),
        parts: &active.metadata.shared_parts,
        has_begun: reservation.has_begun(),
    });
}

/// Returns whether another process reaches the server, so that refused connections don't show its end.
async fn is_reached_elsewhere(active: &ActiveRequest, endpoint: &Endpoint) -> bool {
    // The check tells whether this process reaches servers at all, which decides whom it asks.
    active.state.shared.checked_reach().await;
    active.state.opinions.is_reached(&endpoint.server).await
}

/// Returns whether the server's last report says that it takes requests.
fn is_serving(active: &ActiveRequest, endpoint: &Endpoint) -> bool {
    let local = active.state.shared.local.lock();
    let server = local.reports().servers().get(&endpoint.server);
    server.is_some_and(|server| {
        local.may_be_checked(server) && server.started_at_ms == endpoint.started_at_ms
    })
}
