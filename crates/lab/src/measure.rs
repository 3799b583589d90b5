//! Named measurements; `samphire-lab measure NAME` runs one and prints JSON.

pub mod claims;
pub mod kv;
pub mod load;
pub mod propagate;
pub mod relay;

use clap::ValueEnum;
use serde_json::Value;

/// The measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measure {
    /// What the relay adds to a direct call, and the daemon's processor time.
    Relay,
    /// Claims of request keys: key-value writes and added latency, against two other ways.
    Claims,
    /// Calls to the key-value service by kind, through an outage and after it.
    Kv,
    /// Accepted changes: time until in force at all daemons, bytes, calls, sizes.
    Propagate,
}

/// Runs a measurement.
pub async fn run(measure: Measure) -> Value {
    match measure {
        Measure::Relay => relay::run().await,
        Measure::Claims => claims::run().await,
        Measure::Kv => kv::run().await,
        Measure::Propagate => propagate::run().await,
    }
}
