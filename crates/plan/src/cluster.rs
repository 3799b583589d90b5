//! The planner's input, in dense tables that are keyed by index.
//!
//! Indices are stable within one [`ClusterState`]. The caller adds rows in the order of their
//! names, so that the same facts always give the same tables and therefore the same plan.

use base::prelude::*;

/// Index of a fabric domain.
pub type FabricIndex = u32;
/// Index of a failure domain.
pub type DomainIndex = u32;
/// Index of a VM.
pub type VmIndex = u32;
/// Index of a declared replica.
pub type ReplicaIndex = u32;
/// Index of a group.
pub type GroupIndex = u32;

/// A fabric domain.
#[data]
pub struct Fabric {
    /// Its name.
    pub name: FabricId,
    /// Its failure domain.
    pub domain: DomainIndex,
}

/// Whether a VM is available.
#[key]
pub enum VmState {
    /// It responds.
    Up,
    /// It has not responded since the given time.
    #[serde(rename = "silent")]
    Unresponsive(Mono),
    /// It is to be vacated: its groups move to other VMs.
    Leaving,
}

/// A VM.
#[data]
pub struct Vm {
    /// Its name.
    pub name: VmId,
    /// Its fabric domain.
    pub fabric: FabricIndex,
    /// The number of its accelerators.
    pub accelerators: u32,
    /// Whether it is available.
    pub state: VmState,
    /// The group that it is a member of, if any.
    pub group: Option<GroupIndex>,
    /// Whether it is recorded as a spare.
    pub spare: bool,
}

/// The parts of a declared replica that placement depends on.
#[data]
pub struct ReplicaSpec {
    /// Its name.
    pub name: Box<str>,
    /// The number of groups.
    pub count: u32,
    /// The number of VMs that each group spans.
    pub vms: u32,
    /// A number that stands for the declared version.
    pub version: u32,
    /// The number of VMs to keep free in each fabric domain that holds a group of it.
    pub spares: u32,
    /// Weight of group downtime against stranded accelerators, 0 to 1.
    pub downtime_weight: f64,
    /// The fabric domains that may hold its groups; any if empty.
    pub fabrics: Vec<FabricIndex>,
    /// Time in which one member loads its weights.
    pub member_load_time: Duration,
    /// Time in which a whole group loads its weights.
    pub group_load_time: Duration,
    /// Time for which the weight store is busy with the load of a whole group.
    pub weight_store_time: Duration,
}

impl ReplicaSpec {
    /// Returns a replica of `count` groups of `vms` VMs each, with a downtime weight of 0.5.
    pub fn new(name: &str, count: u32, vms: u32) -> Self {
        ReplicaSpec {
            name: name.into(),
            count,
            vms,
            version: 1,
            spares: 0,
            downtime_weight: 0.5,
            fabrics: Vec::new(),
            member_load_time: Duration::from_secs(30),
            group_load_time: Duration::from_secs(120),
            weight_store_time: Duration::ZERO,
        }
    }
}

/// The phase of a group.
#[key]
pub enum Phase {
    /// Its members are assigned, or load weights.
    #[serde(rename = "coming")]
    Starting,
    /// It serves.
    Serving,
    /// It finishes its running requests and gets no new ones.
    Draining,
    /// A member is missing.
    Broken,
}

/// A group.
#[data]
pub struct Group {
    /// Its name.
    pub name: GroupId,
    /// The replica that it belongs to; `None` if that is no longer declared.
    pub replica: Option<ReplicaIndex>,
    /// The number of its version.
    pub version: u32,
    /// Its fabric domain.
    pub fabric: FabricIndex,
    /// Its phase.
    pub phase: Phase,
    /// Its members, by rank.
    pub members: Vec<VmIndex>,
}

/// The planner's input.
#[data]
#[derive(Default)]
pub struct ClusterState {
    /// The names of the failure domains.
    pub domains: Vec<FailureDomainId>,
    /// Fabric domains.
    pub fabrics: Vec<Fabric>,
    /// VMs.
    pub vms: Vec<Vm>,
    /// Declared replicas.
    pub replicas: Vec<ReplicaSpec>,
    /// Groups.
    pub groups: Vec<Group>,
}

impl ClusterState {
    /// Adds a fabric domain.
    pub fn add_fabric(&mut self, name: &str, domain: &str) -> FabricIndex {
        let known = self.domains.iter().position(|known| &**known == domain);
        let domain = known.unwrap_or_else(|| {
            self.domains.push(domain.into());
            self.domains.len() - 1
        });
        self.fabrics.push(Fabric { name: name.into(), domain: domain as DomainIndex });
        self.fabrics.len() as FabricIndex - 1
    }

    /// Adds a VM that is up and in no group.
    pub fn add_vm(&mut self, name: &str, fabric: FabricIndex, accelerators: u32) -> VmIndex {
        let state = VmState::Up;
        self.vms.push(Vm {
            name: name.into(),
            fabric,
            accelerators,
            state,
            group: None,
            spare: false,
        });
        self.vms.len() as VmIndex - 1
    }

    /// Adds a declared replica.
    pub fn add_replica(&mut self, spec: ReplicaSpec) -> ReplicaIndex {
        self.replicas.push(spec);
        self.replicas.len() as ReplicaIndex - 1
    }

    /// Adds a group and assigns its members to it.
    pub fn add_group(&mut self, group: Group) -> GroupIndex {
        let index = self.groups.len() as GroupIndex;
        for vm in &group.members {
            self.vms[*vm as usize].group = Some(index);
            self.vms[*vm as usize].spare = false;
        }
        self.groups.push(group);
        index
    }

    /// Returns the members of `group` that are not up.
    pub fn missing<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = VmIndex> + 'a {
        group.members.iter().copied().filter(|vm| self.vms[*vm as usize].state != VmState::Up)
    }
}
