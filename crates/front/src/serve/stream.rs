//! The events of a response, and long responses that are no stream of events.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use displaydoc::Display;
use http::StatusCode;
use pass::events::Event;
use pass::events::EventKind;
use pass::prelude::*;
use volo_http::body::Body;
use web::body;
use web::body::BodySender;
use web::prelude::*;

use super::ActiveRequest;
use super::carrier::Carrier;
use crate::decision_log;
use crate::decision_log::Record;

/// Why a response is aborted after a part of it has been sent.
#[derive(Debug, Display)]
pub(super) enum BreakOff {
    /// {0}
    // Its source ended, and no other server took it.
    Broken(Box<str>),
    /// the request's deadline passed
    Deadline,
    /// the time to stop was up
    Stop,
}

impl BreakOff {
    /// Returns the cause as a label of metrics.
    pub(super) fn cause(&self) -> &'static str {
        match self {
            BreakOff::Broken(_) => "broken",
            BreakOff::Deadline => "deadline",
            BreakOff::Stop => "stop",
        }
    }
}

/// The problem of a response of which only its connection tells the end, if nothing shows that its server lived on.
pub(super) const MAY_BE_CUT: &str = "the server may have ended within the response";

/// The source of a stream's events: a backend server's response.
pub(super) struct Source {
    from: Body,
    delimiter: Delimiter,
    events: EventSplitter,
}

/// How a stream's source ended.
#[derive(Debug)]
pub(super) enum End {
    Complete,
    /// Its connection ended in order after an event, which is all that tells the end. It is complete if its server lives on.
    Closed,
    /// Truncated or invalid; says what went wrong.
    Broken(Box<str>),
}

impl Source {
    /// Returns the source of the events in the body of a response, whose end `delimiter` tells.
    pub(super) fn new(from: Body, delimiter: Delimiter) -> Self {
        Source { from, delimiter, events: EventSplitter::default() }
    }

    /// Returns the next complete event. Dropping the future loses nothing.
    pub(super) async fn next(&mut self) -> Result<Event, End> {
        loop {
            if let Some(event) = self.events.next_event() {
                return match event.kind() {
                    EventKind::Event | EventKind::Comment => Ok(event),
                    EventKind::Malformed => Err(End::Broken("bytes that are no event".into())),
                };
            }
            match body::next_chunk(&mut self.from).await {
                Some(Ok(chunk)) => {
                    if !self.events.push(&chunk) {
                        return Err(End::Broken("an event exceeds the size limit".into()));
                    }
                }
                Some(Err(error)) => return Err(End::Broken(error.to_string().into())),
                None if self.events.has_partial() => {
                    return Err(End::Broken("the response ended within an event".into()));
                }
                None if self.delimiter.proves_whole() => return Err(End::Complete),
                None => return Err(End::Closed),
            }
        }
    }
}

impl ActiveRequest {
    /// Records that the response is aborted, after `events` events and `silent_for` without data.
    pub(super) fn record_broken_off(
        &self,
        why: &BreakOff,
        server: &str,
        events: u64,
        silent_for: Duration,
    ) {
        let now = self.now();
        self.state.metrics.record_broken_off(why.cause());
        decision_log::write(&Record::BrokenOff {
            request: &self.id,
            server,
            problem: &why.to_string(),
            events,
            after_ms: decision_log::millis(now.saturating_sub(self.arrived)),
            silent_ms: decision_log::millis(silent_for),
            stopping_ms: self.state.stop.elapsed(now).map(decision_log::millis),
        });
    }
}

/// A response that is no stream of events.
pub(super) struct PlainResponse {
    pub(super) status: StatusCode,
    /// What tells its end.
    pub(super) delimiter: Delimiter,
    /// What is still to be read of it.
    pub(super) from: Body,
}

/// Forwards the rest of a long response that is no stream of events; `first` has been read already, in parts.
pub(super) fn relay_rest(
    active: Arc<ActiveRequest>,
    first: Vec<Bytes>,
    mut response: PlainResponse,
    carrier: Carrier,
) -> Body {
    let (tx, body) = body::stream_of_large_chunks();
    let workspace = active.routed.workspace.as_deref().unwrap_or_default();
    let tx = tx.with_lender(active.state.memory.bodies.clone(), workspace);
    tokio::spawn(async move {
        let carrier = carrier;
        for part in first {
            if !tx.send(part).await {
                return;
            }
        }
        let left = active.deadline.saturating_sub(active.now());
        let why = tokio::select! {
            biased;
            () = tx.closed() => return,
            why = relay_chunks(&active, &mut response, &carrier, &tx) => why,
            () = active.state.stop.out_of_time() => Some(BreakOff::Stop),
            () = tokio::time::sleep(left) => Some(BreakOff::Deadline),
        };
        let Some(why) = why else { return tx.finish() };
        active.record_broken_off(&why, carrier.name(), 0, Duration::ZERO);
        // The caller may take long to read what was sent before; the server need not wait for that.
        drop((response, carrier));
        tx.abort(&why.to_string()).await;
    });
    body
}

/// Forwards the chunks of a body; returns why it broke off, if it did.
async fn relay_chunks(
    active: &ActiveRequest,
    response: &mut PlainResponse,
    carrier: &Carrier,
    tx: &BodySender,
) -> Option<BreakOff> {
    loop {
        match body::next_chunk(&mut response.from).await {
            Some(Ok(chunk)) => {
                if !tx.send(chunk).await {
                    return None;
                }
            }
            Some(Err(error)) => {
                carrier.check_end(active).await;
                return Some(BreakOff::Broken(error.to_string().into()));
            }
            None if !response.delimiter.proves_whole() && !carrier.is_whole(active).await => {
                return Some(BreakOff::Broken(MAY_BE_CUT.into()));
            }
            None => {
                carrier.record_response(response.status);
                return None;
            }
        }
    }
}
