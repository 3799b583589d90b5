//! Named measurements; `samphire-lab measure NAME` runs one and prints JSON.

pub mod claims;
pub mod event_queue;
pub mod gossip;
pub mod kv;
pub mod load;
pub mod overload;
pub mod plan;
pub mod poison;
pub mod propagate;
pub mod relay;
pub mod repair;
pub mod retries;
pub mod route;
pub mod slopes;
pub mod view;

use clap::ValueEnum;
use serde_json::Value;

/// The measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measure {
    /// What the relay adds to a direct call, and the daemon's processor time.
    Relay,
    /// Claims of request keys: key-value writes and added latency, against two other ways.
    Claims,
    /// The membership: bytes, processor time, memory, and how fast facts spread.
    Gossip,
    /// Calls to the key-value service by kind, through an outage and after it.
    Kv,
    /// The planner's time after the loss of a failure domain, by number of groups.
    Plan,
    /// Group downtime and stranded accelerators over event traces, by policy.
    Repair,
    /// Accepted changes: time until in force at all daemons, bytes, calls, sizes.
    Propagate,
    /// Goodput before, during and after a spike of load, for each way to shed.
    Overload,
    /// What a request that crashes its groups costs when its caller sends it 20 times.
    Poison,
    /// Retry traffic while half of the groups refuse every request.
    Retries,
    /// Ways to choose a group on a skewed trace of prompts.
    Route,
    /// All slopes that the page of capacity uses.
    Slopes,
}

/// Runs a measurement.
pub async fn run(measure: Measure) -> Value {
    match measure {
        Measure::Relay => relay::run().await,
        Measure::Claims => claims::run().await,
        Measure::Gossip => gossip::run(),
        Measure::Kv => kv::run().await,
        Measure::Plan => plan::run(),
        Measure::Repair => repair::run(),
        Measure::Propagate => propagate::run().await,
        Measure::Overload => overload::run(),
        Measure::Poison => poison::run(),
        Measure::Retries => retries::run(),
        Measure::Route => route::run(),
        Measure::Slopes => slopes::run().await,
    }
}
