//! Requests for text, the stream that answers them, resuming and cancelling.
//!
//! An engine admits an attempt before it sends the status of its answer, so a refusal (409) means
//! that the attempt was not run. Pieces are numbered from 0 without gaps, and the end states their
//! number. For the same version, adapter, prompt and seed an engine produces the same text, so
//! a request can continue at another group from the piece where its stream broke.

use base::prelude::*;
use displaydoc::Display;

/// Further sampling options, passed on to engines unchanged.
pub type SamplingOptions = serde_json::Map<String, serde_json::Value>;

/// A request for text.
#[wire]
pub struct Generate {
    /// The attempt; every item of the answer carries its id.
    pub attempt: AttemptId,
    /// The group that the request is intended for.
    pub group: GroupId,
    /// The generation of the group that the request is intended for.
    pub generation: Generation,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// The prompt.
    pub prompt: Box<str>,
    /// Largest number of tokens of the answer.
    pub max_tokens: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// Priority; a higher one goes first.
    pub priority: u8,
    /// Further sampling options, as given by the caller.
    #[serde(default)]
    pub options: SamplingOptions,
    /// Number of the first piece to send; earlier pieces are generated but not sent.
    #[serde(default)]
    pub skip: u32,
}

/// A request for the rest of an attempt's stream, on another connection.
#[wire]
pub struct Resume {
    /// The attempt.
    pub attempt: AttemptId,
    /// Number of the first piece to send.
    pub from: u32,
}

/// Cancels an attempt whose result is no longer needed.
#[wire]
pub struct Cancel {
    /// The attempt.
    pub attempt: AttemptId,
}

/// One item of a stream.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// The next piece.
    Piece(Piece),
    /// The regular end of the stream.
    End(End),
}

/// A piece of text: one token or a few.
#[wire]
pub struct Piece {
    /// The attempt that it belongs to.
    pub attempt: AttemptId,
    /// Its number in the stream, from 0.
    pub seq: u32,
    /// Its text.
    pub text: Box<str>,
}

/// The regular end of a stream.
#[wire]
pub struct End {
    /// The attempt that it belongs to.
    pub attempt: AttemptId,
    /// Number of pieces of the attempt, including skipped ones.
    pub count: u32,
    /// Why the text ends here.
    pub finish: FinishReason,
}

/// Why a text ends.
#[key]
pub enum FinishReason {
    /// It is complete.
    Stop,
    /// It reached the maximum length.
    Length,
}

impl FinishReason {
    /// Returns the name that client libraries expect.
    pub fn name(self) -> &'static str {
        match self {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        }
    }
}

/// An engine's refusal of an attempt, which it has not run.
#[wire]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
}

/// Why an engine refuses an attempt or a resume. The variants' doc comments are the messages.
#[key]
#[derive(Display)]
pub enum RefusalReason {
    /// the engine belongs to another group or generation
    Fenced,
    /// a member of the group is missing or not ready
    NotReady,
    /// the engine's queue is full
    Full,
    /// the engine takes no new work
    Leaving,
    /// the engine has not loaded the model, version or adapter
    NotLoaded,
    /// the engine does not know the attempt
    UnknownAttempt,
}
