//! Between the planner's dense tables and the records, resources and VM reports that they come
//! from.
//!
//! [`PlannerBridge::new`] builds the planner's world; [`PlannerBridge::transitions`] turns its commands into moves
//! of the fabric domains' records, gathered by domain, each domain's to be written by one
//! compare-and-swap. A VM of which nothing is known counts as silent since now, so a planner that
//! has just started gives no VM away that nobody probes yet.

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

/// How long loads take, for the planner's prices.
#[data]
pub struct LoadTimeModel {
    /// Bytes a second that the weight store delivers to all.
    pub store_bytes_per_second: u64,
    /// Bytes a second that one engine loads at the most.
    pub engine_bytes_per_second: u64,
    /// Time that an engine needs beside its load.
    pub engine_start: Duration,
}

/// Facts that a plan rests on.
#[derive(Clone, Copy, Debug)]
pub struct PlannerInputs<'a> {
    /// The accepted resources.
    pub catalog: &'a Catalog,
    /// The record of each fabric domain, by name.
    pub records: &'a BTreeMap<FabricId, FabricRecord>,
    /// The last report on each VM.
    pub vms: &'a BTreeMap<VmId, VmStatus>,
    /// How long loads take.
    pub loads: &'a LoadTimeModel,
}

/// The moves of one fabric domain's record.
#[data]
pub struct FabricTransitions {
    /// The fabric domain.
    pub fabric: FabricId,
    /// The moves, in their order.
    pub transitions: Vec<Transition>,
}

/// What the groups of a replica hold; a group that holds something else is of another version.
type VersionKey<'a> = (&'a str, &'a str, &'a [AdapterId], u32);

/// The planner's world with the records that its rows stand for.
#[derive(Debug)]
pub struct PlannerBridge<'a> {
    world: ClusterState,
    specs: Vec<GroupSpec>,
    groups: Vec<&'a GroupRecord>,
}

impl<'a> PlannerBridge<'a> {
    /// Builds the planner's world from `facts` at `now`.
    pub fn new(facts: &PlannerInputs<'a>, now: Mono) -> Self {
        let mut planning =
            PlannerBridge { world: ClusterState::default(), specs: Vec::new(), groups: Vec::new() };
        planning.add_vms(facts, now);
        let mut versions = BTreeMap::new();
        planning.add_replicas(facts, &mut versions);
        planning.add_groups(facts, &mut versions);
        planning
    }

    /// Returns the planner's world.
    pub fn world(&self) -> &ClusterState {
        &self.world
    }

    /// Turns the planner's commands into moves, gathered by fabric domain.
    pub fn transitions(&self, commands: &[Command]) -> Vec<FabricTransitions> {
        let mut by_fabric: BTreeMap<FabricIndex, Vec<Transition>> = BTreeMap::new();
        for command in commands {
            let (fabric, change) = self.to_transition(command);
            by_fabric.entry(fabric).or_default().push(change);
        }
        let named = |(fabric, moves)| {
            let fabric = self.world.fabrics[fabric as usize].name.clone();
            FabricTransitions { fabric, transitions: moves }
        };
        by_fabric.into_iter().map(named).collect()
    }

    fn add_vms(&mut self, facts: &PlannerInputs<'a>, now: Mono) {
        let mut fabrics: BTreeMap<&str, FabricIndex> = BTreeMap::new();
        let servers: BTreeMap<&str, &BackendServer> =
            facts.catalog.backend_servers.iter().collect();
        for server in servers.values() {
            if !fabrics.contains_key(&*server.fabric) {
                let index = self.world.add_fabric(&server.fabric, &server.failure_domain);
                fabrics.insert(&server.fabric, index);
            }
        }
        for (name, server) in &servers {
            let index = self.world.add_vm(name, fabrics[&*server.fabric], server.accelerators);
            self.world.vms[index as usize].state = state_of(server, facts.vms.get(*name), now);
        }
        for (fabric, record) in facts.records {
            let Some(fabric) = fabrics.get(&**fabric) else { continue };
            let members = record.groups.iter().flat_map(|group| &group.members);
            let unknown = members.filter(|member| !servers.contains_key(&*member.vm));
            for member in unknown {
                let index = self.world.add_vm(&member.vm, *fabric, 0);
                self.world.vms[index as usize].state = VmState::Leaving;
            }
        }
    }

    fn add_replicas(
        &mut self,
        facts: &PlannerInputs<'a>,
        versions: &mut BTreeMap<VersionKey<'a>, u32>,
    ) {
        for (name, replica) in facts.catalog.replicas.iter() {
            let next = versions.len() as u32;
            let holding = (&*replica.model, &*replica.version, &*replica.adapters, replica.vms);
            let version = *versions.entry(holding).or_insert(next);
            let fabric = |fabric: &FabricId| {
                self.world.fabrics.iter().position(|row| row.name == *fabric).map(|i| i as u32)
            };
            let times = LoadTimes::new(facts, replica);
            // A named fabric domain without VMs is no reason to use all others.
            let mut fabrics: Vec<u32> = replica.fabrics.iter().filter_map(fabric).collect();
            if fabrics.is_empty() && !replica.fabrics.is_empty() {
                fabrics.push(u32::MAX);
            }
            self.world.add_replica(ReplicaSpec {
                version,
                spares: replica.spares,
                downtime_weight: replica.downtime_weight,
                fabrics,
                member_load_time: times.one,
                group_load_time: times.all,
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
        facts: &PlannerInputs<'a>,
        versions: &mut BTreeMap<VersionKey<'a>, u32>,
    ) {
        let names = self.world.vms.iter().zip(0..);
        let vms: BTreeMap<VmId, VmIndex> = names.map(|(vm, i)| (vm.name.clone(), i)).collect();
        let replicas: BTreeMap<&str, u32> =
            facts.catalog.replicas.iter().zip(0..).map(|((name, _), i)| (name, i)).collect();
        for (fabric, record) in facts.records {
            let Some(fabric) = self.world.fabrics.iter().position(|row| row.name == *fabric) else {
                continue;
            };
            for group in &record.groups {
                let next = versions.len() as u32;
                let size = group.members.len() as u32;
                let holding = (&*group.model, &*group.version, &*group.adapters, size);
                self.world.add_group(Group {
                    name: group.id.clone(),
                    replica: replicas.get(&*group.replica).copied(),
                    version: *versions.entry(holding).or_insert(next),
                    fabric: fabric as u32,
                    phase: phase_of(group.state),
                    members: group.members.iter().map(|member| vms[&member.vm]).collect(),
                });
                self.groups.push(group);
            }
            for spare in record.spares.iter().filter_map(|vm| vms.get(vm)) {
                self.world.vms[*spare as usize].spare = true;
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
        vms.iter().map(|vm| self.world.vms[*vm as usize].name.clone()).collect()
    }

    fn fabric(&self, group: GroupIndex) -> FabricIndex {
        self.world.groups[group as usize].fabric
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

/// How long the loads of a replica's groups take.
struct LoadTimes {
    one: Duration,
    all: Duration,
    store: Duration,
}

impl LoadTimes {
    fn new(facts: &PlannerInputs<'_>, replica: &Replica) -> Self {
        let version = facts.catalog.versions.get(&replica.version);
        let adapters = replica.adapters.iter().filter_map(|id| facts.catalog.adapters.get(id));
        let bytes = version.map_or(0, |version| version.weight_bytes)
            + adapters.map(|adapter| adapter.weight_bytes).sum::<u64>();
        let model = facts.loads;
        let share = bytes / u64::from(replica.vms.max(1));
        let seconds = |bytes: u64, rate: u64| bytes as f64 / rate.max(1) as f64;
        let engine = seconds(share, model.engine_bytes_per_second);
        let store = seconds(bytes, model.store_bytes_per_second);
        let one = engine.max(seconds(share, model.store_bytes_per_second));
        LoadTimes {
            one: model.engine_start + Duration::from_secs_f64(one),
            all: model.engine_start + Duration::from_secs_f64(engine.max(store)),
            store: Duration::from_secs_f64(store),
        }
    }
}
