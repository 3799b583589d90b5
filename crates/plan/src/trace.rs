//! Replays of recorded traces through the planner.
//!
//! In each [`STEP`] the simulated cluster advances, and the planner's commands are checked and
//! executed. A trace's expectations state how many groups of a replica are in a given state.

use base::prelude::*;
use base::trace::StepKind;
use base::trace::Trace;

use crate::cluster::Group;
use crate::cluster::Phase;
use crate::cluster::ReplicaSpec;
use crate::cluster::Vm;
use crate::cluster::VmState;
use crate::command::Command;
use crate::command::check;
use crate::planner::plan;
use crate::scratch::Scratch;
use crate::settings::PlanSettings;
use crate::simulation::ClusterSimulation;

/// Time between two calls of the planner.
pub const STEP: Duration = Duration::from_secs(1);

/// What happens in a trace.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum TraceEvent {
    /// A fabric domain is added with its VMs.
    Fabric {
        /// Its name.
        name: Box<str>,
        /// Its failure domain.
        failure_domain: Box<str>,
        /// Its VMs.
        vms: Vec<VmId>,
    },
    /// A replica is declared.
    Replica {
        /// Its name.
        name: Box<str>,
        /// The number of groups.
        count: u32,
        /// The number of VMs in each group.
        vms: u32,
        /// The number of spares in each fabric domain that holds a group of it.
        spares: u32,
        /// The downtime weight.
        downtime_weight: f64,
    },
    /// A replica's declared count changes.
    Count(Box<str>, u32),
    /// A replica's declared version changes to this number.
    Version(Box<str>, u32),
    /// VMs become unresponsive.
    Silent(Vec<VmId>),
    /// VMs respond again, with their state or after a restart.
    Up(Vec<VmId>),
    /// VMs are to be vacated.
    Leaving(Vec<VmId>),
}

/// An expectation of a trace.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum TraceExpect {
    /// How many groups of the replica serve.
    Serving(Box<str>, usize),
    /// How many groups of the replica are broken.
    Broken(Box<str>, usize),
    /// How many groups the replica has, in any phase.
    Groups(Box<str>, usize),
    /// How many of its serving groups are of this version.
    OnVersion(Box<str>, u32, usize),
    /// How many of its serving groups are in the failure domain.
    InDomain(Box<str>, Box<str>, usize),
    /// At least this many of its groups served at every step since the last such expectation.
    ServedAtLeast(Box<str>, usize),
    /// Whether the VM is in no group.
    Free(VmId, bool),
    /// The planner has returned no commands for at least this many steps.
    SilentFor(u32),
}

#[derive(Default)]
struct Replay {
    simulation: ClusterSimulation,
    scratch: Scratch,
    now: Mono,
    idle_steps: u32,
    least_serving: Vec<usize>,
    findings: Findings,
}

/// Replays a trace.
///
/// # Errors
///
/// Returns the expectations that did not hold and the commands that were not valid.
pub fn replay(trace: &Trace) -> Result<(), Findings> {
    let mut replay = Replay::default();
    for step in &trace.steps {
        while replay.now < step.at {
            replay.step(&step.place());
        }
        match step.kind {
            StepKind::Event => {
                if let Some(event) = step.read::<TraceEvent>(&mut replay.findings) {
                    replay.apply_event(event);
                }
            }
            StepKind::Expect => {
                if let Some(expect) = step.read::<TraceExpect>(&mut replay.findings) {
                    replay.check_expectation(&expect, &step.place());
                }
            }
        }
    }
    replay.findings.into_result(())
}

impl Replay {
    fn step(&mut self, place: &str) {
        self.now += STEP;
        self.simulation.advance(self.now);
        let settings = PlanSettings::default();
        let commands: Vec<Command> =
            plan(&self.simulation.cluster, &settings, self.now, &mut self.scratch);
        for finding in check(&self.simulation.cluster, &commands).iter() {
            self.findings.add(place, finding.to_string());
        }
        self.idle_steps = if commands.is_empty() { self.idle_steps + 1 } else { 0 };
        self.simulation.apply(&commands, self.now);
        for replica in 0..self.least_serving.len() {
            let serving = self.count(replica, |_, phase| phase == Phase::Serving);
            self.least_serving[replica] = self.least_serving[replica].min(serving);
        }
    }

    fn apply_event(&mut self, event: TraceEvent) {
        let cluster = &mut self.simulation.cluster;
        match event {
            TraceEvent::Fabric { name, failure_domain, vms } => {
                let fabric = cluster.add_fabric(&name, &failure_domain);
                for vm in &vms {
                    cluster.add_vm(vm, fabric, 8);
                }
            }
            TraceEvent::Replica { name, count, vms, spares, downtime_weight } => {
                let spec = ReplicaSpec::new(&name, count, vms);
                cluster.add_replica(ReplicaSpec { spares, downtime_weight, ..spec });
                self.least_serving.push(usize::MAX);
            }
            TraceEvent::Count(name, count) => self.with_spec(&name, |spec| spec.count = count),
            TraceEvent::Version(name, version) => {
                self.with_spec(&name, |spec| spec.version = version);
            }
            TraceEvent::Silent(vms) => self.set_state(&vms, VmState::Unresponsive(self.now)),
            TraceEvent::Up(vms) => self.set_state(&vms, VmState::Up),
            TraceEvent::Leaving(vms) => self.set_state(&vms, VmState::Leaving),
        }
    }

    fn with_spec(&mut self, name: &str, change: impl FnOnce(&mut ReplicaSpec)) {
        let replica = self.replica(name);
        if let Some(spec) = self.simulation.cluster.replicas.get_mut(replica) {
            change(spec);
        }
    }

    fn set_state(&mut self, vms: &[VmId], state: VmState) {
        for vm in self.simulation.cluster.vms.iter_mut().filter(|vm| vms.contains(&vm.name)) {
            vm.state = state;
        }
    }

    fn replica(&self, name: &str) -> usize {
        let position = self.simulation.cluster.replicas.iter().position(|spec| &*spec.name == name);
        position.unwrap_or(usize::MAX)
    }

    fn count(&self, replica: usize, matches: impl Fn(&Group, Phase) -> bool) -> usize {
        let of_replica = |group: &&Group| group.replica == Some(replica as u32);
        let groups = self.simulation.cluster.groups.iter().filter(of_replica);
        groups.filter(|group| matches(group, group.phase)).count()
    }

    fn check_expectation(&mut self, expect: &TraceExpect, place: &str) {
        let serving = |phase| phase == Phase::Serving;
        let (wanted, found) = match expect {
            TraceExpect::Serving(name, wanted) => {
                (*wanted, self.count(self.replica(name), |_, phase| serving(phase)))
            }
            TraceExpect::Broken(name, wanted) => {
                (*wanted, self.count(self.replica(name), |_, phase| phase == Phase::Broken))
            }
            TraceExpect::Groups(name, wanted) => {
                (*wanted, self.count(self.replica(name), |_, _| true))
            }
            TraceExpect::OnVersion(name, version, wanted) => {
                let on = |group: &Group, phase| serving(phase) && group.version == *version;
                (*wanted, self.count(self.replica(name), on))
            }
            TraceExpect::InDomain(name, domain, wanted) => {
                let cluster = &self.simulation.cluster;
                let inside = |group: &Group, phase| {
                    let at = cluster.fabrics[group.fabric as usize].domain;
                    serving(phase) && cluster.domains[at as usize] == *domain
                };
                (*wanted, self.count(self.replica(name), inside))
            }
            TraceExpect::ServedAtLeast(name, wanted) => {
                let replica = self.replica(name);
                let least = std::mem::replace(&mut self.least_serving[replica], usize::MAX);
                (*wanted, least.min(*wanted))
            }
            TraceExpect::Free(vm, wanted) => {
                let free = |row: &Vm| row.name == *vm && row.group.is_none();
                (usize::from(*wanted), usize::from(self.simulation.cluster.vms.iter().any(free)))
            }
            TraceExpect::SilentFor(steps) => {
                (*steps as usize, self.idle_steps.min(*steps) as usize)
            }
        };
        self.findings
            .check(wanted == found, place, || format!("expected {expect:?}, found {found}"));
    }
}
