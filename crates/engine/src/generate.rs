//! Requests for text, the stream that answers them, resuming and cancelling.
//!
//! An engine admits an attempt before it sends the status of its answer: a refusal (409) means
//! that the attempt was not run. Pieces are numbered from 0 without gaps, and the end says how
//! many there were. For the same version, adapter, prompt and seed an engine gives the same text,
//! so a request can go on at another group from the piece where it broke off.

use base::prelude::*;
use displaydoc::Display;

/// Options of the sampling that engines read and the system passes on.
pub type SamplingOptions = serde_json::Map<String, serde_json::Value>;

/// Asks an engine for text.
#[wire]
pub struct Generate {
    /// The attempt; every item of the answer carries it.
    pub attempt: AttemptId,
    /// The group that the sender means.
    pub group: GroupId,
    /// The generation that the sender means.
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
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// Priority; a higher one goes first.
    pub priority: u8,
    /// Further options of the sampling, as the caller gave them.
    #[serde(default)]
    pub options: SamplingOptions,
    /// Number of the first piece to send; the ones before are generated and not sent.
    #[serde(default)]
    pub skip: u32,
}

/// Asks for the rest of an attempt's stream on another connection.
#[wire]
pub struct Resume {
    /// The attempt.
    pub attempt: AttemptId,
    /// Number of the first piece to send.
    pub from: u32,
}

/// Tells an engine that nobody waits for an attempt any more.
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
    /// The regular end.
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
    /// How many pieces there were, counting skipped ones.
    pub count: u32,
    /// Why the text ends here.
    pub finish: FinishReason,
}

/// Why a text ends.
#[key]
pub enum FinishReason {
    /// It is complete.
    Stop,
    /// It reached its longest allowed length.
    Length,
}

impl FinishReason {
    /// Returns the name that callers' libraries expect.
    pub fn name(self) -> &'static str {
        match self {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        }
    }
}

/// An engine's word that it has not run an attempt.
#[wire]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
}

/// Why an engine refuses.
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
