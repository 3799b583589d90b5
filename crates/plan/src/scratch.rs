//! Reusable tables that one planner call derives from the cluster state.

use base::prelude::*;

use crate::cluster::ClusterState;
use crate::cluster::DomainIndex;
use crate::cluster::FabricIndex;
use crate::cluster::GroupIndex;
use crate::cluster::Phase;
use crate::cluster::VmIndex;
use crate::cluster::VmState;
use crate::command::Command;

/// Tables that the planner fills from the cluster state, kept between calls to avoid allocations.
#[derive(Clone, Debug, Default)]
pub struct Scratch {
    /// The VMs of each fabric domain that are up, in no group and not spares, in descending order.
    pub(crate) free: Vec<Vec<VmIndex>>,
    /// The spares of each fabric domain that are up and in no group, in descending order.
    pub(crate) spares: Vec<Vec<VmIndex>>,
    /// The number of spares that each fabric domain should have.
    pub(crate) wanted_spares: Vec<u32>,
    /// The groups of each replica.
    pub(crate) by_replica: Vec<Vec<GroupIndex>>,
    /// The broken groups of each fabric domain.
    pub(crate) broken: Vec<Vec<GroupIndex>>,
    /// Whether a command of this plan changes each group.
    pub(crate) changed: Vec<bool>,
    /// The number of groups of the counted replica in each failure domain.
    pub(crate) domain_count: Vec<u32>,
    /// The number of groups of the counted replica in each fabric domain.
    pub(crate) fabric_count: Vec<u32>,
    /// Time for which starting groups keep the weight store busy.
    pub(crate) load_backlog: Duration,
    /// The commands so far.
    pub(crate) commands: Vec<Command>,
}

pub(crate) fn reset<T: Clone + Default>(table: &mut Vec<T>, len: usize) {
    table.clear();
    table.resize(len, T::default());
}

fn reset_lists(table: &mut Vec<Vec<u32>>, len: usize) {
    table.iter_mut().for_each(Vec::clear);
    table.resize(len, Vec::new());
}

impl Scratch {
    /// Returns how many VMs of `fabric` a new group may take while its wanted spares stay free.
    pub(crate) fn available(&self, fabric: FabricIndex) -> usize {
        let fabric = fabric as usize;
        let free = self.free[fabric].len();
        let beyond =
            (free + self.spares[fabric].len()).saturating_sub(self.wanted_spares[fabric] as usize);
        free.min(beyond)
    }

    /// Returns how many groups of the counted replica are in `domain`.
    pub(crate) fn groups_in_domain(&self, domain: DomainIndex) -> u32 {
        self.domain_count[domain as usize]
    }

    /// Returns how many groups of the counted replica are in `fabric`.
    pub(crate) fn groups_in_fabric(&self, fabric: FabricIndex) -> u32 {
        self.fabric_count[fabric as usize]
    }

    /// Fills all tables from `cluster`.
    pub(crate) fn fill(&mut self, cluster: &ClusterState) {
        let fabrics = cluster.fabrics.len();
        reset_lists(&mut self.free, fabrics);
        reset_lists(&mut self.spares, fabrics);
        reset_lists(&mut self.broken, fabrics);
        reset_lists(&mut self.by_replica, cluster.replicas.len());
        reset(&mut self.wanted_spares, fabrics);
        reset(&mut self.changed, cluster.groups.len());
        self.commands.clear();
        self.load_backlog = Duration::ZERO;
        for (i, vm) in cluster.vms.iter().enumerate().rev() {
            if vm.group.is_none() && vm.state == VmState::Up {
                let list = if vm.spare { &mut self.spares } else { &mut self.free };
                list[vm.fabric as usize].push(i as VmIndex);
            }
        }
        for (group, i) in cluster.groups.iter().zip(0..) {
            if group.phase == Phase::Broken {
                self.broken[group.fabric as usize].push(i);
            }
            if let Some(replica) = group.replica {
                self.by_replica[replica as usize].push(i);
                let spec = &cluster.replicas[replica as usize];
                if group.phase == Phase::Starting {
                    self.load_backlog += spec.weight_store_time;
                }
                let spares = spec.spares;
                let wanted_spares = &mut self.wanted_spares[group.fabric as usize];
                *wanted_spares = spares.max(*wanted_spares);
            }
        }
    }
}
