//! Group downtime and stranded accelerators over event traces, by policy.
//!
//! Each trace goes through the real planner, its adapter, the moves of the records and the load
//! schedule; only engines and the passing of time are stood in for. A lost member is detected
//! after [`DETECTION`]; loads share the weight store's rate, and each engine has a rate of its own.
//!
//! - *Group downtime*: declared groups that do not serve, times seconds.
//! - *Stranded accelerators*: accelerators that are held (members of a group that does not serve,
//!   or spares) and whose VM is there, times seconds.
//!
//! The lower bound beside each trace lets every lost group serve again after detection and the
//! load of one member, or after the member's absence if that is shorter.

use std::collections::BTreeMap;
use std::time::Duration;

use plan::prelude::PlanSettings;
use plan::settings::RepairPolicy;
use serde_json::Value;
use serde_json::json;

use self::events::Trace;
use self::outcome::Outcome;

mod deployment;
mod events;

mod outcome;
mod simulation;

/// Time from a member's loss to the record that says so.
pub const DETECTION: Duration = Duration::from_secs(3);
/// Declared groups.
pub const GROUPS: u32 = 55;
/// VMs of each group.
pub const VMS_PER_GROUP: u32 = 8;
/// Accelerators of each VM.
pub const ACCELERATORS_PER_VM: u32 = 1;
/// Failure domains.
pub const DOMAINS: u32 = 3;
/// Fabric domains in each failure domain.
pub const FABRICS_PER_DOMAIN: u32 = 3;
/// VMs of each fabric domain: room for six or seven groups and one to be rebuilt.
pub const VMS_PER_FABRIC: u32 = 60;
/// Weights of a whole group in bytes.
pub const GROUP_BYTES: u64 = 400_000_000_000;
/// Rate of the weight store in bytes a second.
pub const STORE_RATE: u64 = 2_000_000_000;
/// Rate of one engine in bytes a second.
pub const ENGINE_RATE: u64 = 1_000_000_000;
/// Time that an engine needs beside its load.
pub const ENGINE_START: Duration = Duration::from_secs(20);

/// A policy with its name in the output.
struct Policy {
    name: &'static str,
    weight: f64,
    settings: PlanSettings,
}

fn policies() -> Vec<Policy> {
    let ours = |name, weight| Policy { name, weight, settings: PlanSettings::default() };
    let baseline = |name, policy| Policy {
        name,
        weight: 0.5,
        settings: PlanSettings {
            policy,
            max_load_backlog: Duration::MAX,
            ..PlanSettings::default()
        },
    };
    vec![
        ours("weighed_downtime_0.9", 0.9),
        ours("weighed_downtime_0.1", 0.1),
        baseline("always_wait", RepairPolicy::AlwaysWait),
        baseline("always_rebuild", RepairPolicy::AlwaysRebuild),
    ]
}

/// Runs the measurement.
pub fn run() -> Value {
    let rows: Vec<Value> = events::all().iter().map(row).collect();
    json!({
        "what": "group downtime and stranded accelerators by trace and policy",
        "groups": GROUPS,
        "vms_per_group": VMS_PER_GROUP,
        "accelerators_per_vm": ACCELERATORS_PER_VM,
        "vms": DOMAINS * FABRICS_PER_DOMAIN * VMS_PER_FABRIC,
        "detection_s": DETECTION.as_secs_f64(),
        "load_one_s": load_one().as_secs_f64(),
        "load_all_s": load_all().as_secs_f64(),
        "traces": rows,
    })
}

/// Returns the time that one member takes to load alone.
pub(crate) fn load_one() -> Duration {
    let bytes = GROUP_BYTES / u64::from(VMS_PER_GROUP);
    ENGINE_START + Duration::from_secs(bytes / ENGINE_RATE.min(STORE_RATE))
}

/// Returns the time that a whole group takes to load alone.
pub(crate) fn load_all() -> Duration {
    ENGINE_START + Duration::from_secs(GROUP_BYTES / STORE_RATE)
}

fn row(trace: &Trace) -> Value {
    let outcomes: BTreeMap<&str, Outcome> = policies()
        .into_iter()
        .map(|policy| (policy.name, simulation::run(trace, policy.weight, policy.settings)))
        .collect();
    let downtime = |name: &str| outcomes[name].total_downtime();
    let stranded = |name: &str| outcomes[name].stranded;
    let wait_or_rebuild = ["always_wait", "always_rebuild"];
    let best = |measure: &dyn Fn(&str) -> f64| {
        wait_or_rebuild.map(measure).into_iter().fold(f64::MAX, f64::min)
    };
    let worst = |measure: &dyn Fn(&str) -> f64| {
        wait_or_rebuild.map(measure).into_iter().fold(0.0, f64::max)
    };
    let by_policy: BTreeMap<&str, Value> =
        outcomes.iter().map(|(name, outcome)| (*name, outcome.to_json())).collect();
    json!({
        "trace": trace.name,
        "days": trace.length.as_secs_f64() / 86_400.0,
        "losses": trace.events.len(),
        "policies": by_policy,
        "lower_bound_downtime_s": trace.lower_bound(),
        "downtime_at_0.9_over_better_baseline": downtime("weighed_downtime_0.9") / best(&downtime),
        "stranding_at_0.9_over_worse_baseline": stranded("weighed_downtime_0.9") / worst(&stranded),
        "stranding_at_0.1_over_better_baseline": stranded("weighed_downtime_0.1") / best(&stranded),
        "downtime_at_0.1_over_worse_baseline": downtime("weighed_downtime_0.1") / worst(&downtime),
    })
}
