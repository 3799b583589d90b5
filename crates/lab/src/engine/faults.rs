//! The faults of a stand-in engine that a test switches through `POST /control/faults`.

use base::prelude::*;

/// The faults that are on; none by default.
#[wire]
#[derive(Default)]
#[serde(default)]
pub struct Faults {
    /// Crash when a prompt that contains this text is run.
    pub crash_on: Option<Box<str>>,
    /// Crash once any attempt has generated this many pieces.
    pub crash_after_pieces: Option<u32>,
    /// Close the next streams without an end after this many pieces; decrements `breaks`.
    pub break_after_pieces: Option<u32>,
    /// Stall the next streams, with open connections, after this many pieces; decrements `breaks`.
    pub silent_after_pieces: Option<u32>,
    /// Number of streams that will still be closed or stall.
    pub breaks: u32,
    /// Send each piece twice.
    pub double_pieces: bool,
    /// Send a piece of another attempt before each piece.
    pub foreign_pieces: bool,
    /// Omit the next piece whose index is 2 modulo 3, then switch this fault off.
    pub skip_pieces: bool,
    /// Respond to no request, not even to probes.
    pub frozen: bool,
    /// Report in the status that the engine is leaving.
    pub leaving: bool,
    /// Factor by which the time between tokens is multiplied.
    pub slow_factor: Option<f64>,
    /// Report only each n-th cache event.
    pub cache_event_gap: Option<u64>,
}
