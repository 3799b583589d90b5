//! Measurements, each a function that returns its figures as JSON.
//!
//! - [`gossip`]: bytes, processor time and memory of the membership, and how fast facts spread.

use clap::ValueEnum;
use serde_json::Value;

pub mod gossip;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// The membership: bytes, processor time, memory, and how fast facts spread.
    Gossip,
}

/// Runs a measurement and returns its figures.
pub async fn run(measurement: Measurement) -> Value {
    match measurement {
        Measurement::Gossip => gossip::run(),
    }
}
