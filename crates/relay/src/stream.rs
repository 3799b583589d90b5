//! Lets only the next piece of the right attempt through.
//!
//! Invariant: what is delivered is, piece by piece, a prefix of the attempt's text; it is called
//! whole only when the end's count equals the number of delivered pieces. Everything else is
//! dropped or asks for a resume: late or doubled pieces, pieces of another attempt, gaps.

use base::prelude::*;
use engine::prelude::*;

/// What to do with an item of a stream.
#[data]
pub enum Verdict {
    /// Deliver this text.
    Deliver(Box<str>),
    /// The answer is whole.
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

/// Checks the stream of one attempt.
#[data]
pub struct Assembler {
    attempt: AttemptId,
    next: u32,
}

impl Assembler {
    /// Expects the stream of `attempt`, of whose text `next` pieces were delivered before.
    pub fn new(attempt: AttemptId, next: u32) -> Self {
        Assembler { attempt, next }
    }

    /// Returns the number of the next piece to deliver: the count of those delivered.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Judges the next item that arrived.
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
