//! A simulation of group controllers and engines, which executes the planner's commands.
//!
//! A starting group serves once all its members are up and its load time has passed. A draining
//! group is removed after [`DRAIN_TIME`]. The group table is rebuilt after each change, in the
//! order of names.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::cluster::ClusterState;
use crate::cluster::Group;
use crate::cluster::GroupIndex;
use crate::cluster::Phase;
use crate::cluster::VmIndex;
use crate::cluster::VmState;
use crate::command::Command;

/// Time for which a group drains.
pub const DRAIN_TIME: Duration = Duration::from_secs(5);

/// A cluster whose groups change as commanded.
#[data]
#[derive(Default)]
pub struct ClusterSimulation {
    /// The planner's input.
    pub cluster: ClusterState,
    /// The earliest time at which each starting group serves, or draining group is removed, by
    /// name.
    due: BTreeMap<GroupId, Mono>,
    /// The number of groups formed so far, from which group names are made.
    formed: u64,
}

impl ClusterSimulation {
    /// Returns the simulation of a cluster without groups.
    pub fn new(cluster: ClusterState) -> Self {
        ClusterSimulation { cluster, ..ClusterSimulation::default() }
    }

    /// Executes commands at `now`.
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

    /// Advances the phases of groups to `now`: starting groups serve and draining ones are removed
    /// when due, and groups with missing members break or drain.
    pub fn advance(&mut self, now: Mono) {
        let mut gone = Vec::new();
        for i in 0..self.cluster.groups.len() {
            let complete = self.cluster.missing(&self.cluster.groups[i]).next().is_none();
            let group = &self.cluster.groups[i];
            let due = self.due.get(&group.name).is_none_or(|due| now >= *due);
            let next = match group.phase {
                Phase::Starting if due && complete => Phase::Serving,
                Phase::Starting if !complete => Phase::Broken,
                Phase::Serving if self.has_unresponsive(group) => Phase::Broken,
                Phase::Serving if !complete => Phase::Draining,
                Phase::Broken if complete => Phase::Starting,
                Phase::Draining if due => {
                    gone.push(i as GroupIndex);
                    continue;
                }
                unchanged => unchanged,
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
        for (removed, replacement) in removed.iter().zip(replacements) {
            let member = group.members.iter_mut().find(|member| *member == removed);
            *member.expect("the removed VM is a member") = *replacement;
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
