//! Conversion between the planner's dense tables and the records, resources and VM reports that
//! they are built from.
//!
//! [`PlannerBridge::new`] builds the planner's cluster state. [`PlannerBridge::transitions`]
//! converts the planner's commands into transitions of the fabric domains' records, grouped by
//! domain; those of one domain are written by one compare-and-swap. A VM without a report counts
//! as unresponsive since now, so a planner that has just started does not reassign a VM that
//! nobody has probed yet.

use std::collections::BTreeMap;

use base::prelude::*;
use plan::cluster::FabricIndex;
use plan::cluster::GroupIndex;
use plan::cluster::VmIndex;
use plan::prelude::*;
use spec::prelude::*;

use crate::controller::VmStatus;
use crate::record::FabricRecord;
use crate::record::GroupRecord;
use crate::record::GroupState;
use crate::transition::GroupRef;
use crate::transition::GroupSpec;
use crate::transition::Transition;

/// The parameters of weight load times, for the planner's costs.
#[data]
pub struct LoadTimeModel {
    /// Rate at which the weight store delivers to all engines together, in bytes per second.
    pub store_bytes_per_second: u64,
    /// Highest rate at which one engine loads, in bytes per second.
    pub engine_bytes_per_second: u64,
    /// Time that an engine needs to start, in addition to loading.
    pub engine_start: Duration,
}

/// The inputs of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlannerInputs<'a> {
    /// The accepted resources.
    pub catalog: &'a Catalog,
    /// The record of each fabric domain, by name.
    pub records: &'a BTreeMap<FabricId, FabricRecord>,
    /// The last report on each VM.
    pub vms: &'a BTreeMap<VmId, VmStatus>,
    /// The parameters of weight load times.
    pub loads: &'a LoadTimeModel,
}

/// Transitions of one fabric domain's record.
#[data]
pub struct FabricTransitions {
    /// The fabric domain.
    pub fabric: FabricId,
    /// The transitions, in the order in which they apply.
    pub transitions: Vec<Transition>,
}

/// What the groups of a replica serve: model, version, adapters and number of VMs. Groups with
/// different keys have different version numbers in the planner's tables.
type VersionKey<'a> = (&'a str, &'a str, &'a [AdapterId], u32);

/// The planner's cluster state, with the records that its rows were built from.
#[derive(Debug)]
pub struct PlannerBridge<'a> {
    cluster: ClusterState,
    specs: Vec<GroupSpec>,
    groups: Vec<&'a GroupRecord>,
}

impl<'a> PlannerBridge<'a> {
    /// Builds the planner's cluster state from `inputs` at `now`.
    pub fn new(inputs: &PlannerInputs<'a>, now: Mono) -> Self {
        let mut bridge = PlannerBridge {
            cluster: ClusterState::default(),
            specs: Vec::new(),
            groups: Vec::new(),
        };
        bridge.add_vms(inputs, now);
        let mut versions = BTreeMap::new();
        bridge.add_replicas(inputs, &mut versions);
        bridge.add_groups(inputs, &mut versions);
        bridge
    }

    /// Returns the planner's cluster state.
    pub fn cluster(&self) -> &ClusterState {
        &self.cluster
    }

    /// Converts the planner's commands into transitions, grouped by fabric domain.
    pub fn transitions(&self, commands: &[Command]) -> Vec<FabricTransitions> {
        let mut by_fabric: BTreeMap<FabricIndex, Vec<Transition>> = BTreeMap::new();
        for command in commands {
            let (fabric, change) = self.to_transition(command);
            by_fabric.entry(fabric).or_default().push(change);
        }
        let named = |(fabric, transitions)| {
            let fabric = self.cluster.fabrics[fabric as usize].name.clone();
            FabricTransitions { fabric, transitions }
        };
        by_fabric.into_iter().map(named).collect()
    }

    fn add_vms(&mut self, inputs: &PlannerInputs<'a>, now: Mono) {
        let mut fabrics: BTreeMap<&str, FabricIndex> = BTreeMap::new();
        let servers: BTreeMap<&str, &BackendServer> =
            inputs.catalog.backend_servers.iter().collect();
        for server in servers.values() {
            if !fabrics.contains_key(&*server.fabric) {
                let index = self.cluster.add_fabric(&server.fabric, &server.failure_domain);
                fabrics.insert(&server.fabric, index);
            }
        }
        for (name, server) in &servers {
            let index = self.cluster.add_vm(name, fabrics[&*server.fabric], server.accelerators);
            self.cluster.vms[index as usize].state = state_of(server, inputs.vms.get(*name), now);
        }
        for (fabric, record) in inputs.records {
            let Some(fabric) = fabrics.get(&**fabric) else { continue };
            let members = record.groups.iter().flat_map(|group| &group.members);
            let unknown = members.filter(|member| !servers.contains_key(&*member.vm));
            for member in unknown {
                let index = self.cluster.add_vm(&member.vm, *fabric, 0);
                self.cluster.vms[index as usize].state = VmState::Leaving;
            }
        }
    }

    fn add_replicas(
        &mut self,
        inputs: &PlannerInputs<'a>,
        versions: &mut BTreeMap<VersionKey<'a>, u32>,
    ) {
        for (name, replica) in inputs.catalog.replicas.iter() {
            let next = versions.len() as u32;
            let key = (&*replica.model, &*replica.version, &*replica.adapters, replica.vms);
            let version = *versions.entry(key).or_insert(next);
            let fabric = |fabric: &FabricId| {
                self.cluster.fabrics.iter().position(|row| row.name == *fabric).map(|i| i as u32)
            };
            let times = LoadTimes::new(inputs, replica);
            // An empty list allows all fabric domains. A replica whose named domains are all
            // unknown must not get that, so it names a domain that does not exist.
            let mut fabrics: Vec<u32> = replica.fabrics.iter().filter_map(fabric).collect();
            if fabrics.is_empty() && !replica.fabrics.is_empty() {
                fabrics.push(u32::MAX);
            }
            self.cluster.add_replica(ReplicaSpec {
                version,
                spares: replica.spares,
                downtime_weight: replica.downtime_weight,
                fabrics,
                member_load_time: times.member,
                group_load_time: times.group,
                weight_store_time: times.store,
                ..ReplicaSpec::new(name, replica.count, replica.vms)
            });
            self.specs.push(GroupSpec {
                replica: name.into(),
                model: replica.model.clone(),
                version: replica.version.clone(),
                adapters: replica.adapters.clone(),
            });
        }
    }

    fn add_groups(
        &mut self,
        inputs: &PlannerInputs<'a>,
        versions: &mut BTreeMap<VersionKey<'a>, u32>,
    ) {
        let names = self.cluster.vms.iter().zip(0..);
        let vms: BTreeMap<VmId, VmIndex> = names.map(|(vm, i)| (vm.name.clone(), i)).collect();
        let replicas: BTreeMap<&str, u32> =
            inputs.catalog.replicas.iter().zip(0..).map(|((name, _), i)| (name, i)).collect();
        for (fabric, record) in inputs.records {
            let Some(fabric) = self.cluster.fabrics.iter().position(|row| row.name == *fabric)
            else {
                continue;
            };
            for group in &record.groups {
                let next = versions.len() as u32;
                let size = group.members.len() as u32;
                let key = (&*group.model, &*group.version, &*group.adapters, size);
                self.cluster.add_group(Group {
                    name: group.id.clone(),
                    replica: replicas.get(&*group.replica).copied(),
                    version: *versions.entry(key).or_insert(next),
                    fabric: fabric as u32,
                    phase: phase_of(group.state),
                    members: group.members.iter().map(|member| vms[&member.vm]).collect(),
                });
                self.groups.push(group);
            }
            for spare in record.spares.iter().filter_map(|vm| vms.get(vm)) {
                self.cluster.vms[*spare as usize].spare = true;
            }
        }
    }

    fn to_transition(&self, command: &Command) -> (FabricIndex, Transition) {
        match command {
            Command::Form { replica, fabric, vms } => {
                let spec = self.specs[*replica as usize].clone();
                (*fabric, Transition::Form { spec, vms: self.names(vms) })
            }
            Command::Swap { group, removed, replacements } => {
                let (removed, replacements) = (self.names(removed), self.names(replacements));
                (
                    self.fabric(*group),
                    Transition::Swap { target: self.target(*group), removed, replacements },
                )
            }
            Command::Merge { group, donor, removed, replacements } => {
                let (removed, replacements) = (self.names(removed), self.names(replacements));
                let (target, donor) = (self.target(*group), self.target(*donor));
                (self.fabric(*group), Transition::Merge { target, donor, removed, replacements })
            }
            Command::Drain { group, .. } => {
                (self.fabric(*group), Transition::Drain { target: self.target(*group) })
            }
            Command::Dissolve { group, .. } => {
                (self.fabric(*group), Transition::Dissolve { target: self.target(*group) })
            }
            Command::SetSpares { fabric, vms } => {
                (*fabric, Transition::SetSpares { spares: self.names(vms) })
            }
        }
    }

    fn names(&self, vms: &[VmIndex]) -> Vec<VmId> {
        vms.iter().map(|vm| self.cluster.vms[*vm as usize].name.clone()).collect()
    }

    fn fabric(&self, group: GroupIndex) -> FabricIndex {
        self.cluster.groups[group as usize].fabric
    }

    fn target(&self, group: GroupIndex) -> GroupRef {
        let group = self.groups[group as usize];
        GroupRef { group: group.id.clone(), generation: group.generation }
    }
}

fn state_of(server: &BackendServer, status: Option<&VmStatus>, now: Mono) -> VmState {
    match status {
        _ if server.drain => VmState::Leaving,
        Some(status) if status.leaving => VmState::Leaving,
        Some(status) if status.is_up => VmState::Up,
        Some(status) => VmState::Unresponsive(now.saturating_sub(status.unresponsive_for)),
        None => VmState::Unresponsive(now),
    }
}

fn phase_of(state: GroupState) -> Phase {
    match state {
        GroupState::Forming | GroupState::Loading => Phase::Starting,
        GroupState::Serving => Phase::Serving,
        GroupState::Draining => Phase::Draining,
        GroupState::Broken | GroupState::Dissolved => Phase::Broken,
    }
}

/// The weight load times of a replica's group: of one member alone, of all members at once, and
/// the part of the latter that the weight store is busy.
struct LoadTimes {
    member: Duration,
    group: Duration,
    store: Duration,
}

impl LoadTimes {
    fn new(inputs: &PlannerInputs<'_>, replica: &Replica) -> Self {
        let version = inputs.catalog.versions.get(&replica.version);
        let adapters = replica.adapters.iter().filter_map(|id| inputs.catalog.adapters.get(id));
        let bytes = version.map_or(0, |version| version.weight_bytes)
            + adapters.map(|adapter| adapter.weight_bytes).sum::<u64>();
        let model = inputs.loads;
        let share = bytes / u64::from(replica.vms.max(1));
        let seconds = |bytes: u64, rate: u64| bytes as f64 / rate.max(1) as f64;
        let engine = seconds(share, model.engine_bytes_per_second);
        let store = seconds(bytes, model.store_bytes_per_second);
        let member = engine.max(seconds(share, model.store_bytes_per_second));
        LoadTimes {
            member: model.engine_start + Duration::from_secs_f64(member),
            group: model.engine_start + Duration::from_secs_f64(engine.max(store)),
            store: Duration::from_secs_f64(store),
        }
    }
}
