//! All measured slopes that docs/CAPACITY.md uses, in one run.

use serde_json::Value;
use serde_json::json;

use crate::measure::gossip;
use crate::measure::plan;
use crate::measure::propagate;
use crate::measure::relay;

/// Runs the measurements whose slopes docs/CAPACITY.md uses.
pub async fn run() -> Value {
    json!({
        "request_and_token": relay::run().await,
        "change_and_resource": propagate::run().await,
        "peer": gossip::run(),
        "group": plan::run(),
    })
}
