//! Reads an engine's response: a stream of items, or a refusal.

use engine::prelude::*;
use relay::prelude::*;
use web::body;
use web::prelude::Response;
use web::sse;

/// Maximum size of a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 4_096;

/// Reads a refusal. A response that is not a valid refusal counts as a broken connection.
pub(super) async fn refusal(response: Response) -> RequestEvent {
    let bytes = body::read(response.into_body(), MAX_REFUSAL_BYTES).await;
    let refusal = bytes.ok().and_then(|bytes| serde_json::from_slice::<Refusal>(&bytes).ok());
    match refusal {
        Some(refusal) => RequestEvent::Refused(refusal.reason),
        None => RequestEvent::Broken,
    }
}

/// The items of an engine's stream.
pub(super) struct ItemStream {
    response: Response,
    reader: sse::Reader,
}

impl ItemStream {
    /// Returns the stream of the items in `response`.
    pub(super) fn new(response: Response) -> Self {
        ItemStream { response, reader: sse::Reader::default() }
    }

    /// Returns the next item; `None` if the stream has ended, has broken or is malformed.
    pub(super) async fn next(&mut self) -> Option<Item> {
        loop {
            while let Some(line) = self.reader.next_line() {
                if let sse::Line::Data(data) = line {
                    return serde_json::from_str(&data).ok();
                }
            }
            let chunk = body::next_chunk(self.response.body_mut()).await?.ok()?;
            if !self.reader.push(&chunk) {
                return None;
            }
        }
    }
}
