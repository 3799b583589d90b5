//! Tables that a plan needs beside the world's own.

use base::prelude::*;

use crate::cluster::ClusterState;
use crate::cluster::DomainIndex;
use crate::cluster::FabricIndex;
use crate::cluster::GroupIndex;
use crate::cluster::Phase;
use crate::cluster::VmIndex;
use crate::cluster::VmState;
use crate::command::Command;

/// Tables that a plan needs, kept between plans to spare their allocation.
#[derive(Clone, Debug, Default)]
pub struct Scratch {
    /// Free VMs of each fabric domain that answer and are no spares, last one first.
    pub(crate) free: Vec<Vec<VmIndex>>,
    /// Spares of each fabric domain that answer, last one first.
    pub(crate) spares: Vec<Vec<VmIndex>>,
    /// Spares that each fabric domain should have.
    pub(crate) wanted_spares: Vec<u32>,
    /// Groups of each replica.
    pub(crate) by_replica: Vec<Vec<GroupIndex>>,
    /// Broken groups of each fabric domain.
    pub(crate) broken: Vec<Vec<GroupIndex>>,
    /// Groups that a command of this plan changes.
    pub(crate) changed: Vec<bool>,
    /// Groups in each failure domain, of the replica in focus.
    pub(crate) domain_count: Vec<u32>,
    /// Groups in each fabric domain, of the replica in focus.
    pub(crate) fabric_count: Vec<u32>,
    /// Time of the weight store that groups which are coming ask for.
    pub(crate) load_backlog: Duration,
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
    /// Returns how many VMs of `fabric` a new group may take.
    pub(crate) fn available(&self, fabric: FabricIndex) -> usize {
        let fabric = fabric as usize;
        let free = self.free[fabric].len();
        let beyond =
            (free + self.spares[fabric].len()).saturating_sub(self.wanted_spares[fabric] as usize);
        free.min(beyond)
    }

    /// Returns how many groups of the replica in focus stand in `domain`.
    pub(crate) fn groups_in_domain(&self, domain: DomainIndex) -> u32 {
        self.domain_count[domain as usize]
    }

    /// Returns how many groups of the replica in focus stand in `fabric`.
    pub(crate) fn groups_in_fabric(&self, fabric: FabricIndex) -> u32 {
        self.fabric_count[fabric as usize]
    }

    /// Fills all tables from `world`.
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
