//! Finds out whether a backend server ended while it may have been running a request, which is evidence against the request.
//! Whether an answer is whole is another question, with another safe answer in doubt: see [`life`](super::life).
//!
//! A connection that breaks, or ends a body of which it alone tells the end, doesn't tell: the
//! network may have reset it, or the server may have given up the request. That new connections are
//! refused doesn't either: the path from here to the server may be cut. So other processes are
//! asked, and a server that one of them reaches has not ended. A server that was leaving doesn't
//! count, since it ends anyway, nor does one in a failure domain that is being evacuated, which may
//! be shut down at any time.
//!
//! The crash is recorded against the request, so that a request that crashes each server that runs it
//! is refused from some crash on ([`crate::crash_reports`]), and against the parts of its prompt, unless
//! its answer had begun.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use kernel::prelude::*;
use parking_lot::Mutex;
use pass::prelude::*;
use web::pool::Probe;
use web::pool::probe_settled;

use super::ActiveRequest;
use super::reservation::Reservation;
use crate::clock::wall_millis;
use crate::decision_log;
use crate::decision_log::Record;

/// How long a server may take to accept or refuse a connection; one that takes longer counts as
/// running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a connection must last that shows that the server lives: one that is ending closes what it has one by one.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Shortest time between two connections to one server to find out whether it has ended.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Most parts of a prompt in a record.
const MAX_LOGGED_PARTS: usize = 16;
/// Number of addresses from which on those that nothing waits for are forgotten.
const MAX_ADDRESSES: usize = 1_024;

/// The connections that show whether servers have ended. Answers of one server that end at the same time share them,
/// so that a server whose answers have no length gets few.
#[derive(Default)]
pub(super) struct EndProbes {
    /// The last one of each address. Locked while a connection is made.
    by_address: Mutex<HashMap<SocketAddr, Arc<LastProbe>>>,
}

/// The last connection to an address: when it began, and what it showed.
type LastProbe = tokio::sync::Mutex<Option<(Mono, Probe)>>;

impl EndProbes {
    /// Returns what a connection to `address` shows that begins after this moment.
    async fn probe(&self, address: SocketAddr, cx: &Context) -> Probe {
        let asked_at = cx.now();
        let slot = self.slot(address);
        let mut last = slot.lock().await;
        if let Some((began, shown)) = *last {
            if began > asked_at {
                return shown;
            }
            let left = (began + PROBE_INTERVAL).saturating_sub(cx.now());
            if !left.is_zero() {
                cx.timer().after(left).tick().await;
            }
        }
        let began = cx.now();
        let shown = probe_settled(address, PROBE_TIMEOUT, SETTLE_TIME).await;
        *last = Some((began, shown));
        shown
    }

    fn slot(&self, address: SocketAddr) -> Arc<LastProbe> {
        let mut by_address = self.by_address.lock();
        if by_address.len() >= MAX_ADDRESSES {
            by_address.retain(|_, last| Arc::strong_count(last) > 1);
        }
        by_address.entry(address).or_default().clone()
    }
}

/// Looks whether the server of a reservation has ended, after a connection to it ended with the request on it. An end is recorded
/// against the request. In doubt there is none, so nothing else may be concluded from that.
pub(super) async fn check(active: &ActiveRequest, reservation: &Reservation) {
    let endpoint = reservation.endpoint();
    if !is_serving(active, endpoint) {
        return;
    }
    let shown = active.state.end_probes.probe(endpoint.address, &active.state.cx).await;
    if matches!(shown, Probe::Refused | Probe::NoAnswer) {
        active.state.shared.connect_failed(endpoint, active.now());
    }
    if shown != Probe::Refused {
        return;
    }
    if is_reached_elsewhere(active, endpoint).await {
        let (request, server) = (&*active.id, &*endpoint.server);
        return decision_log::write(&Record::EndUnconfirmed { request, server });
    }
    record(active, reservation);
}

/// Records that the server of a reservation ended while it may have been running the request.
fn record(active: &ActiveRequest, reservation: &Reservation) {
    let endpoint = reservation.endpoint();
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
    let parts = &active.metadata.shared_parts;
    decision_log::write(&Record::ServerEnded {
        request: &active.id,
        fingerprint: active.fingerprint,
        server,
        born_ms: started_at_ms,
        after_ms: decision_log::millis(active.now().saturating_sub(active.arrived)),
        parts: &parts[parts.len().saturating_sub(MAX_LOGGED_PARTS)..],
        shared_parts: parts.len(),
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
