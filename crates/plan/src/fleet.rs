//! A stand-in for keepers and engines that carries a plan's commands out.
//!
//! Groups serve once their members are there and the load time has passed; draining groups are
//! gone after [`DRAIN_TIME`]. Group rows are rebuilt after each change, in the order of names.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::command::Command;
use crate::world::Group;
use crate::world::GroupIndex;
use crate::world::Phase;
use crate::world::VmIndex;
use crate::world::VmState;
use crate::world::World;

/// How long a draining group still runs.
pub const DRAIN_TIME: Duration = Duration::from_secs(5);

/// A world whose groups come and go as planned.
#[data]
#[derive(Default)]
pub struct Fleet {
    /// The world as the planner sees it.
    pub world: World,
    /// When each group that is coming serves, or that is draining is gone, by name.
    due: BTreeMap<GroupId, Mono>,
    formed: u64,
}

impl Fleet {
    /// Returns the fleet of a world without groups.
    pub fn new(world: World) -> Self {
        Fleet { world, ..Fleet::default() }
    }

    /// Carries out commands at `now`.
    pub fn carry_out(&mut self, commands: &[Command], now: Mono) {
        let mut gone: Vec<GroupIndex> = Vec::new();
        let mut formed: Vec<Group> = Vec::new();
        for command in commands {
            match command {
                Command::Form { replica, fabric, vms } => {
                    self.formed += 1;
                    let need = &self.world.replicas[*replica as usize];
                    let name: GroupId = format!("{}.{:06}", need.name, self.formed).into();
                    self.due.insert(name.clone(), now + need.load_all);
                    formed.push(Group {
                        name,
                        replica: Some(*replica),
                        version: need.version,
                        fabric: *fabric,
                        phase: Phase::Coming,
                        members: vms.clone(),
                    });
                }
                Command::Swap { group, out, into } => self.reform(*group, out, into, now),
                Command::Merge { group, from, out, into } => {
                    gone.push(*from);
                    self.reform(*group, out, into, now);
                }
                Command::Drain { group, .. } => {
                    let group = &mut self.world.groups[*group as usize];
                    group.phase = Phase::Draining;
                    self.due.insert(group.name.clone(), now + DRAIN_TIME);
                }
                Command::Dissolve { group, .. } => gone.push(*group),
                Command::SetSpares { fabric, vms } => self.set_spares(*fabric, vms),
            }
        }
        self.rebuild(&gone, formed);
    }

    /// Lets groups serve or go whose time has come, and breaks those that miss a member.
    pub fn settle(&mut self, now: Mono) {
        let mut gone = Vec::new();
        for i in 0..self.world.groups.len() {
            let whole = self.world.missing(&self.world.groups[i]).next().is_none();
            let group = &self.world.groups[i];
            let due = self.due.get(&group.name).is_none_or(|due| now >= *due);
            let next = match group.phase {
                Phase::Coming if due && whole => Phase::Serving,
                Phase::Coming if !whole => Phase::Broken,
                Phase::Serving if self.has_silent(group) => Phase::Broken,
                Phase::Serving if !whole => Phase::Draining,
                Phase::Broken if whole => Phase::Coming,
                Phase::Draining if due => {
                    gone.push(i as GroupIndex);
                    continue;
                }
                same => same,
            };
            if next == Phase::Draining && group.phase != next {
                self.due.insert(group.name.clone(), now + DRAIN_TIME);
            }
            self.world.groups[i].phase = next;
        }
        self.rebuild(&gone, Vec::new());
    }

    fn has_silent(&self, group: &Group) -> bool {
        let state = |vm: VmIndex| self.world.vms[vm as usize].state;
        self.world.missing(group).any(|vm| matches!(state(vm), VmState::Silent(_)))
    }

    fn reform(&mut self, index: GroupIndex, out: &[VmIndex], into: &[VmIndex], now: Mono) {
        let group = &mut self.world.groups[index as usize];
        group.phase = Phase::Coming;
        for (out, into) in out.iter().zip(into) {
            let member = group.members.iter_mut().find(|member| *member == out);
            *member.expect("the VM that leaves is a member") = *into;
        }
        let load = group.replica.map(|replica| self.world.replicas[replica as usize].load_one);
        self.due.insert(group.name.clone(), now + load.unwrap_or_default() * out.len() as u32);
    }

    fn set_spares(&mut self, fabric: u32, vms: &[VmIndex]) {
        for (vm, i) in self.world.vms.iter_mut().zip(0..) {
            if vm.fabric == fabric {
                vm.spare = vms.contains(&i);
            }
        }
    }

    fn rebuild(&mut self, gone: &[GroupIndex], formed: Vec<Group>) {
        let old = std::mem::take(&mut self.world.groups);
        let kept = old.into_iter().zip(0..).filter(|(_, i)| !gone.contains(i));
        let mut groups: Vec<Group> = kept.map(|(group, _)| group).chain(formed).collect();
        groups.sort_by(|a, b| a.name.cmp(&b.name));
        self.world.vms.iter_mut().for_each(|vm| vm.group = None);
        for group in groups {
            self.world.add_group(group);
        }
        let world = &self.world;
        self.due.retain(|name, _| world.groups.iter().any(|group| group.name == *name));
    }
}
