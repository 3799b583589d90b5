//! Server-sent events: writing `data:` lines, and reading them from a stream of chunks.

use bytes::Bytes;
use bytes::BytesMut;

/// Most bytes that may be buffered without a complete line before the stream counts as malformed.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Returns an event with the data `data`, which must not contain a line break.
pub fn event(data: &str) -> Bytes {
    debug_assert!(!data.contains('\n'), "a line break would end the event");
    Bytes::from(format!("data: {data}\n\n"))
}

/// Returns a comment, which clients ignore. `text` must not contain a line break.
pub fn comment(text: &str) -> Bytes {
    debug_assert!(!text.contains('\n'), "a line break would end the comment");
    Bytes::from(format!(": {text}\n\n"))
}

/// A line of an event stream that is relevant to the reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// The data of an event.
    Data(Box<str>),
    /// A comment.
    Comment(Box<str>),
}

/// Splits chunks into lines.
#[derive(Debug, Default)]
pub struct Reader {
    buf: BytesMut,
}

impl Reader {
    /// Appends the next chunk. Returns `false` if more than 1 MiB is buffered, which only a malformed
    /// stream leads to if the caller takes all lines after each chunk.
    pub fn push(&mut self, chunk: &[u8]) -> bool {
        self.buf.extend_from_slice(chunk);
        self.buf.len() <= MAX_LINE_BYTES
    }

    /// Returns the next complete line with data or a comment, if there is one. Other fields and empty
    /// lines are skipped.
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
