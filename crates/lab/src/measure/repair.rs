//! Group downtime and stranded accelerators over event traces, by repair policy.
//!
//! Each trace runs through the real planner, planner bridge, record transitions and weight load
//! scheduler; only engines and time are simulated. A lost member is detected after [`DETECTION`].
//! Concurrent loads share the weight store's rate, and each engine has a rate limit of its own.
//!
//! - *Group downtime*: declared groups that do not serve, times seconds.
//! - *Stranded accelerators*: accelerators on present VMs that are held without serving (by members
//!   of a group that does not serve, or by spares), times seconds.
//!
//! The lower bound printed with each trace assumes that every group that loses a member serves
//! again after detection and the load of one member, or after the member's absence if that is
//! shorter and the VM keeps its weights.

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

/// Time from a member's loss until the group's record reflects it.
pub const DETECTION: Duration = Duration::from_secs(3);
/// Number of declared groups.
pub const GROUPS: u32 = 55;
/// VMs of each group.
pub const VMS_PER_GROUP: u32 = 8;
/// Accelerators of each VM.
pub const ACCELERATORS_PER_VM: u32 = 1;
/// Number of failure domains.
pub const DOMAINS: u32 = 3;
/// Fabric domains in each failure domain.
pub const FABRICS_PER_DOMAIN: u32 = 3;
/// VMs of each fabric domain: enough for six or seven groups and one that is rebuilt.
pub const VMS_PER_FABRIC: u32 = 60;
/// Size of the weights of one group, in bytes.
pub const GROUP_BYTES: u64 = 400_000_000_000;
/// Rate of the weight store in bytes per second.
pub const STORE_RATE: u64 = 2_000_000_000;
/// Load rate limit of one engine in bytes per second.
pub const ENGINE_RATE: u64 = 1_000_000_000;
/// Time that an engine needs to start, in addition to its load.
pub const ENGINE_START: Duration = Duration::from_secs(20);

/// A repair policy, its settings, and its name in the output.
struct Policy {
    name: &'static str,
    downtime_weight: f64,
    settings: PlanSettings,
}

fn policies() -> Vec<Policy> {
    let cost_based =
        |name, downtime_weight| Policy { name, downtime_weight, settings: PlanSettings::default() };
    let baseline = |name, policy| Policy {
        name,
        downtime_weight: 0.5,
        settings: PlanSettings {
            policy,
            max_load_backlog: Duration::MAX,
            ..PlanSettings::default()
        },
    };
    vec![
        cost_based("weighed_downtime_0.9", 0.9),
        cost_based("weighed_downtime_0.1", 0.1),
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
        "load_one_s": member_load_time().as_secs_f64(),
        "load_all_s": group_load_time().as_secs_f64(),
        "traces": rows,
    })
}

/// Returns the load time of one member when no other member loads.
pub(crate) fn member_load_time() -> Duration {
    let bytes = GROUP_BYTES / u64::from(VMS_PER_GROUP);
    ENGINE_START + Duration::from_secs(bytes / ENGINE_RATE.min(STORE_RATE))
}

/// Returns the load time of all members of a group when no other group loads.
pub(crate) fn group_load_time() -> Duration {
    ENGINE_START + Duration::from_secs(GROUP_BYTES / STORE_RATE)
}

fn row(trace: &Trace) -> Value {
    let outcomes: BTreeMap<&str, Outcome> = policies()
        .into_iter()
        .map(|policy| {
            (policy.name, simulation::run(trace, policy.downtime_weight, policy.settings))
        })
        .collect();
    let downtime = |name: &str| outcomes[name].total_downtime();
    let stranded = |name: &str| outcomes[name].stranded_accelerator_seconds;
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
