//! Planning time after the loss of a failure domain, by number of groups.
//!
//! Each size has eight VMs per group, three failure domains of six fabric domains each, and room
//! for a twelfth more groups. The planner runs with all VMs of one failure domain unresponsive; its
//! time on one core is the minimum over several runs of the same call.

use std::time::Duration;
use std::time::Instant;

use plan::cluster::VmIndex;
use plan::prelude::*;
use plan::simulation::ClusterSimulation;
use serde_json::Value;
use serde_json::json;

/// Numbers of groups, each a run of its own.
const SIZES: [u32; 5] = [500, 1000, 1500, 2000, 4000];
/// VMs that each group spans.
const VMS_PER_GROUP: u32 = 8;
/// Number of failure domains.
const DOMAINS: u32 = 3;
/// Fabric domains in each failure domain.
const FABRICS_PER_DOMAIN: u32 = 6;
/// Number of declared replicas.
const REPLICAS: u32 = 55;
/// Runs of each timed call.
const RUNS: u32 = 7;
/// How long the VMs have been unresponsive when the planner runs.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(300);

/// Runs the measurement.
pub fn run() -> Value {
    let rows: Vec<Value> = SIZES.iter().map(|groups| measure(*groups)).collect();
    json!({
        "what": "one plan after the loss of one of three failure domains, one core",
        "vms_per_group": VMS_PER_GROUP,
        "fabric_domains": DOMAINS * FABRICS_PER_DOMAIN,
        "replicas": REPLICAS,
        "rows": rows,
    })
}

fn measure(groups: u32) -> Value {
    let mut simulation = ClusterSimulation::new(cluster_of(groups));
    let mut scratch = Scratch::default();
    let settings = PlanSettings::default();
    let mut now = Duration::ZERO;
    let mut formed = 0;
    while formed < groups as usize {
        now += Duration::from_secs(200);
        simulation.advance(now);
        let commands = plan(&simulation.cluster, &settings, now, &mut scratch);
        simulation.apply(&commands, now);
        let before = std::mem::replace(&mut formed, simulation.cluster.groups.len());
        assert!(
            formed > before,
            "the simulated cluster has no room for {groups} groups: {formed} formed"
        );
    }
    now += Duration::from_secs(200);
    simulation.advance(now);
    let idle_time = plan_time(&simulation.cluster, &settings, now, &mut scratch);
    lose_first_domain(&mut simulation.cluster, now);
    now += UNRESPONSIVE_FOR;
    simulation.advance(now);
    let loss_time = plan_time(&simulation.cluster, &settings, now, &mut scratch);
    let commands = plan(&simulation.cluster, &settings, now, &mut scratch);
    json!({
        "groups": groups,
        "vms": simulation.cluster.vms.len(),
        "accelerators": groups * VMS_PER_GROUP,
        "broken": simulation.cluster.groups.iter().filter(|g| g.phase == Phase::Broken).count(),
        "commands": commands.len(),
        "plan_ms": loss_time.as_secs_f64() * 1e3,
        "plan_ms_without_loss": idle_time.as_secs_f64() * 1e3,
    })
}

fn plan_time(
    cluster: &ClusterState,
    settings: &PlanSettings,
    now: Duration,
    scratch: &mut Scratch,
) -> Duration {
    let run = |_| {
        let started = Instant::now();
        std::hint::black_box(plan(cluster, settings, now, scratch));
        started.elapsed()
    };
    (0..RUNS).map(run).min().unwrap_or_default()
}

fn cluster_of(groups: u32) -> ClusterState {
    let mut cluster = ClusterState::default();
    let fabrics = DOMAINS * FABRICS_PER_DOMAIN;
    // Room for a twelfth more groups, rounded up to whole groups per fabric domain.
    let groups_per_fabric = groups.div_ceil(fabrics) + groups.div_ceil(fabrics).div_ceil(12);
    for fabric in 0..fabrics {
        let domain = fabric / FABRICS_PER_DOMAIN;
        let index = cluster.add_fabric(&format!("f{fabric:02}"), &format!("d{domain}"));
        for vm in 0..groups_per_fabric * VMS_PER_GROUP {
            cluster.add_vm(&format!("f{fabric:02}-{vm:05}"), index, 1);
        }
    }
    for replica in 0..REPLICAS {
        let count = groups / REPLICAS + u32::from(replica < groups % REPLICAS);
        let spec = ReplicaSpec::new(&format!("r{replica:02}"), count, VMS_PER_GROUP);
        let downtime_weight = f64::from(replica % 10) / 10.0;
        cluster.add_replica(ReplicaSpec { downtime_weight, ..spec });
    }
    cluster
}

fn lose_first_domain(cluster: &mut ClusterState, now: Duration) {
    for vm in 0..cluster.vms.len() as VmIndex {
        let vm = &mut cluster.vms[vm as usize];
        if cluster.fabrics[vm.fabric as usize].domain == 0 {
            vm.state = VmState::Unresponsive(now);
        }
    }
}
