//! Checks the order and completeness of an attempt's stream.
//!
//! Invariant: the delivered pieces are a prefix of the attempt's text. The answer counts as
//! complete only when the count in the stream's end equals the number of delivered pieces. Late
//! and duplicate pieces and items of another attempt are dropped; a gap requires a resume.

use base::prelude::*;
use engine::prelude::*;

/// What to do with an item of a stream.
#[data]
pub enum Verdict {
    /// Deliver this text.
    Deliver(Box<str>),
    /// The answer is complete.
    Complete {
        /// Why the text ends.
        finish: FinishReason,
    },
    /// The piece was delivered before: drop it.
    Duplicate,
    /// The item belongs to another attempt: drop it.
    OtherAttempt,
    /// Pieces are missing before this item: resume from `next`.
    Gap {
        /// The number of the next piece to deliver.
        next: u32,
    },
}

/// The position in the stream of one attempt.
#[data]
pub struct Assembler {
    attempt: AttemptId,
    next: u32,
}

impl Assembler {
    /// Returns the state for the stream of `attempt`, of which `next` pieces were delivered before.
    pub fn new(attempt: AttemptId, next: u32) -> Self {
        Assembler { attempt, next }
    }

    /// Returns the number of the next piece to deliver, which is the count of delivered pieces.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Checks the next item that arrived, and advances if it is to be delivered.
    pub fn accept(&mut self, item: Item) -> Verdict {
        match item {
            Item::Piece(piece) if piece.attempt != self.attempt => Verdict::OtherAttempt,
            Item::End(end) if end.attempt != self.attempt => Verdict::OtherAttempt,
            Item::Piece(piece) if piece.seq < self.next => Verdict::Duplicate,
            Item::Piece(piece) if piece.seq > self.next => Verdict::Gap { next: self.next },
            Item::Piece(piece) => {
                self.next += 1;
                Verdict::Deliver(piece.text)
            }
            Item::End(end) if end.count == self.next => Verdict::Complete { finish: end.finish },
            Item::End(_) => Verdict::Gap { next: self.next },
        }
    }
}
