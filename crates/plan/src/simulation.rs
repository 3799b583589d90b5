//! A stand-in for keepers and engines that carries a plan's commands out.
//!
//! Groups serve once their members are there and the load time has passed; draining groups are
//! gone after [`DRAIN_TIME`]. Group rows are rebuilt after each change, in the order of names.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::cluster::ClusterState;
use crate::cluster::Group;
use crate::cluster::GroupIndex;
use crate::cluster::Phase;
use crate::cluster::VmIndex;
use crate::cluster::VmState;
use crate::command::Command;

/// How long a draining group still runs.
pub const DRAIN_TIME: Duration = Duration::from_secs(5);

/// A world whose groups come and go as planned.
#[data]
#[derive(Default)]
pub struct ClusterSimulation {
    /// The world as the planner sees it.
    pub cluster: ClusterState,
    /// When each group that is coming serves, or that is draining is gone, by name.
    due: BTreeMap<GroupId, Mono>,
    formed: u64,
}

impl ClusterSimulation {
    /// Returns the fleet of a world without groups.
    pub fn new(cluster: ClusterState) -> Self {
        ClusterSimulation { cluster, ..ClusterSimulation::default() }
    }

    /// Carries out commands at `now`.
    pub fn apply(&mut self, commands: &[Command], now: Mono) {
        let mut gone: Vec<GroupIndex> = Vec::new();
        let mut formed: Vec<Group> = Vec::new();
        for command in commands {
            match command {
                Command::Form { replica, fabric, vms } => {
                    self.formed += 1;
                    let spec = &self.cluster.replicas[*replica as usize];
                    let name: GroupId = format!("{}.{:06}", spec.name, self.formed).into();
                    self.due.insert(name.clone(), now + spec.group_load_time);
                    formed.push(Group {
                        name,
                        replica: Some(*replica),
                        version: spec.version,
                        fabric: *fabric,
                        phase: Phase::Starting,
                        members: vms.clone(),
                    });
                }
                Command::Swap { group, removed, replacements } => {
                    self.replace_members(*group, removed, replacements, now)
                }
                Command::Merge { group, donor, removed, replacements } => {
                    gone.push(*donor);
                    self.replace_members(*group, removed, replacements, now);
                }
                Command::Drain { group, .. } => {
                    let group = &mut self.cluster.groups[*group as usize];
                    group.phase = Phase::Draining;
                    self.due.insert(group.name.clone(), now + DRAIN_TIME);
                }
                Command::Dissolve { group, .. } => gone.push(*group),
                Command::SetSpares { fabric, vms } => self.set_spares(*fabric, vms),
            }
        }
        self.rebuild_groups(&gone, formed);
    }

    /// Lets groups serve or go whose time has come, and breaks those that miss a member.
    pub fn advance(&mut self, now: Mono) {
        let mut gone = Vec::new();
        for i in 0..self.cluster.groups.len() {
            let whole = self.cluster.missing(&self.cluster.groups[i]).next().is_none();
            let group = &self.cluster.groups[i];
            let due = self.due.get(&group.name).is_none_or(|due| now >= *due);
            let next = match group.phase {
                Phase::Starting if due && whole => Phase::Serving,
                Phase::Starting if !whole => Phase::Broken,
                Phase::Serving if self.has_unresponsive(group) => Phase::Broken,
                Phase::Serving if !whole => Phase::Draining,
                Phase::Broken if whole => Phase::Starting,
                Phase::Draining if due => {
                    gone.push(i as GroupIndex);
                    continue;
                }
                same => same,
            };
            if next == Phase::Draining && group.phase != next {
                self.due.insert(group.name.clone(), now + DRAIN_TIME);
            }
            self.cluster.groups[i].phase = next;
        }
        self.rebuild_groups(&gone, Vec::new());
    }

    fn has_unresponsive(&self, group: &Group) -> bool {
        let state = |vm: VmIndex| self.cluster.vms[vm as usize].state;
        self.cluster.missing(group).any(|vm| matches!(state(vm), VmState::Unresponsive(_)))
    }

    fn replace_members(
        &mut self,
        index: GroupIndex,
        removed: &[VmIndex],
        replacements: &[VmIndex],
        now: Mono,
    ) {
        let group = &mut self.cluster.groups[index as usize];
        group.phase = Phase::Starting;
        for (removed, replacements) in removed.iter().zip(replacements) {
            let member = group.members.iter_mut().find(|member| *member == removed);
            *member.expect("the VM that leaves is a member") = *replacements;
        }
        let load =
            group.replica.map(|replica| self.cluster.replicas[replica as usize].member_load_time);
        self.due.insert(group.name.clone(), now + load.unwrap_or_default() * removed.len() as u32);
    }

    fn set_spares(&mut self, fabric: u32, vms: &[VmIndex]) {
        for (vm, i) in self.cluster.vms.iter_mut().zip(0..) {
            if vm.fabric == fabric {
                vm.spare = vms.contains(&i);
            }
        }
    }

    fn rebuild_groups(&mut self, gone: &[GroupIndex], formed: Vec<Group>) {
        let old = std::mem::take(&mut self.cluster.groups);
        let kept = old.into_iter().zip(0..).filter(|(_, i)| !gone.contains(i));
        let mut groups: Vec<Group> = kept.map(|(group, _)| group).chain(formed).collect();
        groups.sort_by(|a, b| a.name.cmp(&b.name));
        self.cluster.vms.iter_mut().for_each(|vm| vm.group = None);
        for group in groups {
            self.cluster.add_group(group);
        }
        let cluster = &self.cluster;
        self.due.retain(|name, _| cluster.groups.iter().any(|group| group.name == *name));
    }
}
