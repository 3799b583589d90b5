//! Records of callers' connections: those that end while a request has no complete response, and
//! connections that can't be accepted.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use base::prelude::*;
use http::StatusCode;
use parking_lot::Mutex;
use pass::prelude::*;
use web::causes::IoCause;
use web::prelude::*;

use crate::decision_log;
use crate::decision_log::Record;
use crate::metrics::Metrics;
use crate::resources;

/// Shortest time between two records of connections that can't be accepted.
const LIMIT_RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the observer of the listener for callers.
pub(crate) fn observer(header_names: &HeaderNames, metrics: &Metrics) -> Observer {
    let metrics = metrics.clone();
    let last_limit_record = Mutex::new(None);
    let report = move |event: ConnectionEvent<'_>| match event {
        ConnectionEvent::Opened => metrics.caller_connections.inc(),
        ConnectionEvent::Closed => metrics.caller_connections.dec(),
        ConnectionEvent::Lost(lost) => record_lost(&metrics, lost),
        ConnectionEvent::HandlerPanicked { request, after } => {
            decision_log::write(&Record::Failed {
                request,
                status: StatusCode::INTERNAL_SERVER_ERROR.as_u16(),
                reason: "its handler panicked",
                after_ms: decision_log::millis(after),
            });
        }
        ConnectionEvent::AcceptFailed(error) => {
            if is_due(&last_limit_record) {
                record_accept_failure(error);
            }
        }
    };
    Observer { id_header: header_names.attempt_id.clone(), report: Arc::new(report) }
}

fn record_lost(metrics: &Metrics, lost: &LostConnection) {
    let cause = lost.cause.to_string();
    metrics.record_lost_connection(&cause);
    decision_log::write(&Record::ConnectionLost {
        request: &lost.request,
        peer: lost.peer,
        cause: &cause,
        problem: &lost.problem,
        unsent: lost.is_unsent,
        after_ms: decision_log::millis(lost.after),
    });
}

fn record_accept_failure(error: &io::Error) {
    let limit = resources::descriptor_limit().unwrap_or_default();
    let name = match IoCause::from(error) {
        IoCause::NoDescriptor => "descriptors",
        IoCause::NoMemory => "memory",
        _ => "accept",
    };
    decision_log::write(&Record::Limit {
        name,
        state: "reached",
        limit,
        problem: &error.to_string(),
    });
}

/// Returns whether a record is due, and if so, notes that it is written.
fn is_due(last: &Mutex<Option<Instant>>) -> bool {
    let mut last = last.lock();
    let is_due = last.is_none_or(|at| at.elapsed() >= LIMIT_RECORD_INTERVAL);
    if is_due {
        *last = Some(Instant::now());
    }
    is_due
}
