//! Server-sent events, both ways: writing `data:` lines, and reading them from a stream of chunks.

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes that an unfinished line may have before the stream is held to be malformed.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Returns the event whose data is `data`, which must have no line break.
pub fn event(data: &str) -> Bytes {
    debug_assert!(!data.contains('\n'), "a line break would end the event");
    Bytes::from(format!("data: {data}\n\n"))
}

/// Returns a comment, which clients skip.
pub fn comment(text: &str) -> Bytes {
    debug_assert!(!text.contains('\n'), "a line break would end the comment");
    Bytes::from(format!(": {text}\n\n"))
}

/// One line of a stream of events that means something to the reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// The data of an event.
    Data(Box<str>),
    /// A comment.
    Comment(Box<str>),
}

/// Cuts chunks into lines.
#[derive(Debug, Default)]
pub struct Reader {
    buf: BytesMut,
}

impl Reader {
    /// Takes the next chunk; `false` if a line grew past its bound.
    pub fn push(&mut self, chunk: &[u8]) -> bool {
        self.buf.extend_from_slice(chunk);
        self.buf.len() <= MAX_LINE_BYTES
    }

    /// Returns the next whole line, if one is there.
    pub fn next_line(&mut self) -> Option<Line> {
        loop {
            let end = self.buf.iter().position(|byte| *byte == b'\n')?;
            let line = self.buf.split_to(end + 1);
            let text = String::from_utf8_lossy(&line);
            let text = text.trim_end_matches(['\r', '\n']);
            if let Some(data) = text.strip_prefix("data:") {
                return Some(Line::Data(data.trim_start_matches(' ').into()));
            }
            if let Some(comment) = text.strip_prefix(':') {
                return Some(Line::Comment(comment.trim_start_matches(' ').into()));
            }
        }
    }
}
