//! Named measurements; `samphire-lab measure NAME` runs one and prints JSON.

pub mod claims;
pub mod kv;
pub mod load;
pub mod plan;
pub mod repair;

use clap::ValueEnum;
use serde_json::Value;

/// The measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measure {
    /// Claims of request keys: key-value writes and added latency, against two other ways.
    Claims,
    /// Calls to the key-value service by kind, through an outage and after it.
    Kv,
    /// The planner's time after the loss of a failure domain, by number of groups.
    Plan,
    /// Group downtime and stranded accelerators over event traces, by policy.
    Repair,
}

/// Runs a measurement.
pub async fn run(measure: Measure) -> Value {
    match measure {
        Measure::Claims => claims::run().await,
        Measure::Kv => kv::run().await,
        Measure::Plan => plan::run(),
        Measure::Repair => repair::run(),
    }
}
