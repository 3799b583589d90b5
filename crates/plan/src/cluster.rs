//! All that the planner knows, in dense tables keyed by index.
//!
//! Indices are stable within one world. The caller adds rows in the order of their names, so the
//! same facts always give the same tables and the same plan.

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

/// What is known of a VM's being there.
#[key]
pub enum VmState {
    /// It answers.
    Up,
    /// It has not answered since the given time.
    #[serde(rename = "silent")]
    Unresponsive(Mono),
    /// It is to be emptied.
    Leaving,
}

/// A VM.
#[data]
pub struct Vm {
    /// Its name.
    pub name: VmId,
    /// Its fabric domain.
    pub fabric: FabricIndex,
    /// Its accelerators.
    pub accelerators: u32,
    /// Whether it is there.
    pub state: VmState,
    /// The group that it is a member of.
    pub group: Option<GroupIndex>,
    /// Whether it is recorded as a spare.
    pub spare: bool,
}

/// A declared replica, as far as placement needs it.
#[data]
pub struct ReplicaSpec {
    /// Its name.
    pub name: Box<str>,
    /// How many groups.
    pub count: u32,
    /// How many VMs each group spans.
    pub vms: u32,
    /// A number that stands for the version that is wanted.
    pub version: u32,
    /// VMs to keep free in each fabric domain that holds a group of it.
    pub spares: u32,
    /// Weight of group downtime against stranded accelerators, 0 to 1.
    pub downtime_weight: f64,
    /// The fabric domains that may hold its groups; any if empty.
    pub fabrics: Vec<FabricIndex>,
    /// How long one member takes to load.
    pub member_load_time: Duration,
    /// How long a whole group takes to load.
    pub group_load_time: Duration,
    /// How long the weight store is busy with a whole group.
    pub weight_store_time: Duration,
}

impl ReplicaSpec {
    /// Returns the need for `count` groups of `vms` VMs each, with both measures weighed alike.
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
    /// Its members are assigned or load.
    #[serde(rename = "coming")]
    Starting,
    /// It serves.
    Serving,
    /// It finishes what runs.
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
    /// The number of the version that it holds.
    pub version: u32,
    /// Its fabric domain.
    pub fabric: FabricIndex,
    /// Its phase.
    pub phase: Phase,
    /// Its members, by rank.
    pub members: Vec<VmIndex>,
}

/// All that the planner knows.
#[data]
#[derive(Default)]
pub struct ClusterState {
    /// Failure domains, by name.
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

    /// Adds a VM that answers and belongs to no group.
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

    /// Returns the members of a group that are not there.
    pub fn missing<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = VmIndex> + 'a {
        group.members.iter().copied().filter(|vm| self.vms[*vm as usize].state != VmState::Up)
    }
}
