//! Named measurements; `samphire-lab measure NAME` runs one and prints its results as JSON.

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
    /// Latency that the relay adds to a direct engine call, and the daemon's CPU time.
    Relay,
    /// Claims of request keys: key-value writes and added latency, against two alternatives.
    Claims,
    /// Membership: bandwidth, CPU time, memory, and propagation time of facts.
    Gossip,
    /// Calls to the key-value service by kind, before, during and after an outage.
    Kv,
    /// Planning time after the loss of a failure domain, by number of groups.
    Plan,
    /// Group downtime and stranded accelerators over event traces, by policy.
    Repair,
    /// Accepted configuration changes: time until active at all daemons, bytes, calls, sizes.
    Propagate,
    /// Goodput before, during and after a load spike, for each shedding policy.
    Overload,
    /// Crashes and lost requests when a poison request is sent 20 times.
    Poison,
    /// Retry traffic while half of the groups refuse every request.
    Retries,
    /// Group selection policies on a skewed trace of prompts.
    Route,
    /// All slopes that docs/CAPACITY.md uses.
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
