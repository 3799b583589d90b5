//! What a test may switch in a stand-in engine, through `POST /control/faults`.

use base::prelude::*;

/// The faults that are switched on. The default is none.
#[wire]
#[derive(Default)]
#[serde(default)]
pub struct Faults {
    /// Crash when a prompt with this text is run.
    pub crash_on: Option<Box<str>>,
    /// Crash once this many pieces of any one attempt were generated.
    pub crash_after_pieces: Option<u32>,
    /// Break the next streams off after this many pieces; counts down `breaks`.
    pub break_after_pieces: Option<u32>,
    /// Go silent in the next streams after this many pieces; counts down `breaks`.
    pub silent_after_pieces: Option<u32>,
    /// How many streams still break or go silent.
    pub breaks: u32,
    /// Send each piece twice.
    pub double_pieces: bool,
    /// Send a piece of a foreign attempt before each piece.
    pub foreign_pieces: bool,
    /// Leave out each third piece the first time that it is sent.
    pub skip_pieces: bool,
    /// Answer nothing, not even probes.
    pub frozen: bool,
    /// Say in the status that the engine is leaving.
    pub leaving: bool,
    /// Multiplies the time between tokens.
    pub slow_factor: Option<f64>,
    /// Publish only each n-th cache event.
    pub cache_event_gap: Option<u64>,
}
