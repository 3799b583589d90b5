//! Cuts a stream of chunks into whole events, so that nothing of a broken event is passed on.

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes that an unfinished event may have before the stream is held to be malformed.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<Box<str>>,
}

/// Cuts chunks into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of the buffer that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Takes the next chunk; `false` if an event grew past its bound.
    pub fn push(&mut self, chunk: &[u8]) -> bool {
        self.buf.extend_from_slice(chunk);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next whole event, if one is there.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether bytes of an unfinished event are held.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns what is held of an unfinished event.
    pub fn into_partial(self) -> Bytes {
        self.buf.freeze()
    }

    /// Returns the length of the first event: up to a blank line, with or without carriage returns.
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
