//! Whether a response and its events go on with a stream that has broken off.
//!
//! A caller sees one stream, with the head of the first response. The response of another server may
//! only add events that follow the last one that was forwarded; whatever isn't shown to do so adds no
//! byte.
//!
//! Invariants:
//! - A stream is resumed only after an event whose id is a number above those of all events before.
//! - The ids of all events that later servers add increase. They need not be successive.
//! - An empty response doesn't show that a stream is complete.

use base::prelude::*;
use displaydoc::Display;
use http::HeaderMap;
use http::StatusCode;
use http::header;

use crate::events::Event;
use crate::events::EventKind;
use crate::header_names::HeaderNames;

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// The type of events that report a failure.
const ERROR_EVENT: &[u8] = b"error";

/// Why a response or an event doesn't go on with a stream.
#[derive(Display)]
#[key]
pub enum Mismatch {
    /// the status isn't 200
    Status,
    /// the response has no signature
    Unsigned,
    /// the response belongs to another attempt
    OtherAttempt,
    /// the response has an encoding
    Encoded,
    /// the response has another media type
    MediaType,
    /// bytes that are no event
    NoEvent,
    /// an event that reports an error
    Error,
    /// an event without a number as its id
    NoId,
    /// an event that doesn't follow the last one
    NotNext,
}

/// What later responses must have in common with the first response of a stream.
#[data]
pub struct StreamHead {
    media_type: Option<Box<str>>,
}

impl StreamHead {
    /// Takes it from the headers of the first response.
    pub fn of(headers: &HeaderMap) -> Self {
        StreamHead { media_type: media_type(headers) }
    }

    /// Checks whether a response to the attempt `attempt` may go on with the stream.
    ///
    /// # Errors
    ///
    /// What excludes that.
    pub fn check(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt: Option<&str>,
        header_names: &HeaderNames,
    ) -> Result<(), Mismatch> {
        let echoed = headers.get(&header_names.attempt_id).map(|id| id.as_bytes());
        if status != StatusCode::OK {
            return Err(Mismatch::Status);
        }
        if !headers.contains_key(&header_names.signature) {
            return Err(Mismatch::Unsigned);
        }
        if echoed.is_none() || echoed != attempt.map(str::as_bytes) {
            return Err(Mismatch::OtherAttempt);
        }
        if headers.contains_key(header::CONTENT_ENCODING) {
            return Err(Mismatch::Encoded);
        }
        let media_type = media_type(headers);
        if media_type != self.media_type && media_type.as_deref() != Some(EVENT_STREAM) {
            return Err(Mismatch::MediaType);
        }
        Ok(())
    }
}

/// Returns the media type of a body in lower case, without parameters.
fn media_type(headers: &HeaderMap) -> Option<Box<str>> {
    let value = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let essence = value.split(';').next().unwrap_or_default();
    Some(essence.trim().to_ascii_lowercase().into())
}

/// What happens to an event of a resumed stream.
#[key]
pub enum NextEvent {
    /// It is the next event.
    Forward,
    /// It is a comment, which is left out.
    LeaveOut,
}

/// How far a stream has been forwarded.
#[data]
#[derive(Default)]
pub struct StreamPosition {
    /// The greatest id so far.
    highest: Option<u64>,
    /// The id of the last event, if a stream can be resumed after it.
    last_id: Option<Box<str>>,
}

impl StreamPosition {
    /// Records that `event` is forwarded.
    pub fn advance(&mut self, event: &Event) {
        if event.kind() == EventKind::Comment {
            return;
        }
        let number = id_number(event);
        let increases = number.is_some() && number > self.highest;
        self.last_id = event.id.clone().filter(|_| increases);
        self.highest = self.highest.max(number);
    }

    /// Returns the id of the event after which the stream can be resumed. `None` if it can't be: the last
    /// event has no id, or one that doesn't tell it from all events before.
    pub fn resume_after(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Checks whether `event`, of a response that resumes the stream, is the next one.
    ///
    /// # Errors
    ///
    /// Why it isn't. No byte of its response may follow.
    pub fn check(&self, event: &Event) -> Result<NextEvent, Mismatch> {
        match event.kind() {
            EventKind::Comment => return Ok(NextEvent::LeaveOut),
            EventKind::Malformed => return Err(Mismatch::NoEvent),
            EventKind::Event => {}
        }
        if event.field(b"event") == Some(ERROR_EVENT) {
            return Err(Mismatch::Error);
        }
        let Some(number) = id_number(event) else { return Err(Mismatch::NoId) };
        match Some(number) > self.highest {
            true => Ok(NextEvent::Forward),
            false => Err(Mismatch::NotNext),
        }
    }
}

fn id_number(event: &Event) -> Option<u64> {
    let id = event.id.as_deref()?;
    let is_number = id.bytes().all(|byte| byte.is_ascii_digit());
    id.parse().ok().filter(|_| is_number)
}
