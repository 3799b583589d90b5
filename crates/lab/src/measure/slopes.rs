//! All measured slopes that docs/CAPACITY.md works with, in one run.

use serde_json::Value;
use serde_json::json;

use crate::measure::gossip;
use crate::measure::plan;
use crate::measure::propagate;
use crate::measure::relay;

/// Runs the measurements whose slopes the page of capacity uses.
pub async fn run() -> Value {
    json!({
        "request_and_token": relay::run().await,
        "change_and_resource": propagate::run().await,
        "peer": gossip::run(),
        "group": plan::run(),
    })
}
