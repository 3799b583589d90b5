//! Splits a stream of chunks into complete events, so that no part of a truncated event is passed
//! on.

use base::prelude::*;
use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an incomplete event; a stream with a larger one is considered malformed.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The fields of events. Clients ignore others, and servers send others only in the first line.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// What a block of lines that ends with a blank one is.
#[key]
pub enum EventKind {
    /// An event.
    Event,
    /// Comments or blank lines only.
    Comment,
    /// No event, or one that other bytes are mixed with, for example the head of a response.
    Malformed,
}

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, with the blank line that ends it.
    pub bytes: Bytes,
    /// The id of the event, if it has one.
    pub id: Option<Box<str>>,
}

impl Event {
    /// Returns what the bytes are.
    pub fn kind(&self) -> EventKind {
        let names = || fields(&self.bytes).map(|(name, _)| name);
        let is_known = |name: &[u8]| FIELDS.contains(&name);
        if names().next().is_none() {
            return EventKind::Comment;
        }
        let ids = names().filter(|name| *name == b"id").count();
        match names().any(is_known) && names().skip(1).all(is_known) && ids <= 1 {
            true => EventKind::Event,
            false => EventKind::Malformed,
        }
    }

    /// Returns the value of the first field `name`.
    pub fn field(&self, name: &[u8]) -> Option<&[u8]> {
        fields(&self.bytes).find(|(n, _)| *n == name).map(|(_, value)| value)
    }
}

/// Returns the names and values of the fields of an event, without comments.
fn fields(bytes: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    lines.filter(|line| !line.is_empty() && !line.starts_with(b":")).map(|line| {
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        let value = value.strip_prefix(b":").unwrap_or_default();
        (name, value.strip_prefix(b" ").unwrap_or(value))
    })
}

/// Splits chunks into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Length of the prefix of the buffer that is known to contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends the next chunk; returns `false` if an event exceeds the maximum size.
    pub fn push(&mut self, chunk: &[u8]) -> bool {
        self.buf.extend_from_slice(chunk);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the bytes of the incomplete event in the buffer.
    pub fn into_partial(self) -> Bytes {
        self.buf.freeze()
    }

    /// Returns the length of the first event, up to and including a blank line with or without
    /// carriage returns.
    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.searched;
        while let Some(found) = self.buf[at..].iter().position(|byte| *byte == b'\n') {
            let newline = at + found;
            let rest = &self.buf[newline + 1..];
            if rest.starts_with(b"\n") {
                return Some(newline + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(newline + 3);
            }
            if rest.len() < 2 {
                self.searched = newline;
                return None;
            }
            at = newline + 1;
        }
        self.searched = self.buf.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<Box<str>> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok().map(|id| id.trim().into())
}
