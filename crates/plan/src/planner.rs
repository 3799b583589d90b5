//! From a world to commands.
//!
//! The passes run in a fixed order over rows in the order of their indices, each marking the VMs
//! and groups that it used, so a plan never names a VM or a group twice:
//!
//! 1. groups whose replica is not declared go, and groups beyond the declared count;
//! 2. broken groups are repaired, those that weigh most and lack least first;
//! 3. missing groups are formed where there is room, as fast as the weight store can load them;
//! 4. a roll-out forms one group of the new version beyond the count, and the excess pass of a
//!    later plan drains one of the old version once the new one serves;
//! 5. a rebalancing does the same from the fullest failure domain to the emptiest;
//! 6. spares are recorded.
//!
//! A serving group is drained only if more groups serve than are declared, or, in a roll-out
//! without room, if the operator's weight allows it. Each command brings the world nearer to
//! what is declared, so without further events the planner falls silent.

use base::prelude::*;

use crate::command::Command;
use crate::command::Reason;
use crate::place::place;
use crate::repair;
use crate::repair::Case;
use crate::repair::Way;
use crate::scratch::Scratch;
use crate::scratch::reset;
use crate::settings::PlanSettings;
use crate::world::FabricIndex;
use crate::world::Group;
use crate::world::GroupIndex;
use crate::world::Phase;
use crate::world::ReplicaIndex;
use crate::world::VmIndex;
use crate::world::VmState;
use crate::world::World;

/// Returns what should be done in `world` at `now`.
///
/// The plan depends on the arguments alone; `scratch` only spares allocations.
pub fn plan(
    world: &World,
    settings: &PlanSettings,
    now: Mono,
    scratch: &mut Scratch,
) -> Vec<Command> {
    scratch.fill(world);
    let mut pass = Pass { world, settings, now, scratch };
    pass.drop_undeclared();
    for replica in 0..world.replicas.len() as ReplicaIndex {
        pass.drop_excess(replica);
    }
    pass.repair_all();
    for replica in 0..world.replicas.len() as ReplicaIndex {
        pass.form_missing(replica);
    }
    for replica in 0..world.replicas.len() as ReplicaIndex {
        pass.move_on(replica);
    }
    pass.record_spares();
    let commands = std::mem::take(&mut scratch.commands);
    debug_assert!(crate::command::check(world, &commands).is_empty(), "{commands:?}");
    commands
}

/// One plan in the making.
struct Pass<'a> {
    world: &'a World,
    settings: &'a PlanSettings,
    now: Mono,
    scratch: &'a mut Scratch,
}

impl Pass<'_> {
    fn emit(&mut self, command: Command) {
        self.scratch.commands.push(command);
    }

    fn touch(&mut self, group: GroupIndex) {
        self.scratch.touched[group as usize] = true;
    }

    /// Drains the group if it serves, dissolves it otherwise.
    fn drop_group(&mut self, index: GroupIndex, reason: Reason) {
        match self.world.groups[index as usize].phase {
            Phase::Serving => self.emit(Command::Drain { group: index, reason }),
            Phase::Coming | Phase::Broken => self.emit(Command::Dissolve { group: index, reason }),
            Phase::Draining => return,
        }
        self.touch(index);
    }

    fn drop_undeclared(&mut self) {
        for (group, i) in self.world.groups.iter().zip(0..) {
            if group.replica.is_none() {
                self.drop_group(i, Reason::Excess);
            }
        }
    }

    /// Returns the groups of `replica` that are neither draining nor changed by this plan.
    fn live(&self, replica: ReplicaIndex) -> impl Iterator<Item = (GroupIndex, &Group)> {
        let all = self.scratch.by_replica[replica as usize].iter();
        all.map(|i| (*i, &self.world.groups[*i as usize])).filter(|(i, group)| {
            group.phase != Phase::Draining && !self.scratch.touched[*i as usize]
        })
    }

    fn serving(&self, replica: ReplicaIndex) -> usize {
        self.live(replica).filter(|(_, group)| group.phase == Phase::Serving).count()
    }

    /// Counts the groups of `replica` in each domain, for [`place`] and the choice of victims.
    fn focus(&mut self, replica: ReplicaIndex) {
        reset(&mut self.scratch.domain_count, self.world.domains.len());
        reset(&mut self.scratch.fabric_count, self.world.fabrics.len());
        for i in 0..self.scratch.by_replica[replica as usize].len() {
            let index = self.scratch.by_replica[replica as usize][i];
            let group = &self.world.groups[index as usize];
            if group.phase != Phase::Draining && !self.scratch.touched[index as usize] {
                self.count_in(group.fabric);
            }
        }
    }

    fn count_in(&mut self, fabric: FabricIndex) {
        let domain = self.world.fabrics[fabric as usize].domain;
        self.scratch.domain_count[domain as usize] += 1;
        self.scratch.fabric_count[fabric as usize] += 1;
    }

    fn drop_excess(&mut self, replica: ReplicaIndex) {
        let need = &self.world.replicas[replica as usize];
        let mut excess = self.live(replica).count().saturating_sub(need.count as usize);
        if excess == 0 {
            return;
        }
        while excess > 0 {
            self.focus(replica);
            let Some((victim, reason)) = self.excess_victim(replica) else { return };
            self.drop_group(victim, reason);
            excess -= 1;
        }
    }

    /// Returns the group that `replica` misses least, if it can spare one.
    fn excess_victim(&self, replica: ReplicaIndex) -> Option<(GroupIndex, Reason)> {
        let need = &self.world.replicas[replica as usize];
        let broken = self.live(replica).find(|(_, group)| group.phase == Phase::Broken);
        if let Some((index, _)) = broken {
            return Some((index, Reason::Excess));
        }
        if self.serving(replica) <= need.count as usize {
            return None;
        }
        let serving = self.live(replica).filter(|(_, group)| group.phase == Phase::Serving);
        let (index, group) = serving.max_by_key(|(index, group)| {
            let domain = self.world.fabrics[group.fabric as usize].domain;
            (group.version != need.version, self.scratch.in_domain(domain), *index)
        })?;
        let old = group.version != need.version;
        Some((index, if old { Reason::OldVersion } else { Reason::Excess }))
    }

    fn repair_all(&mut self) {
        let mut broken: Vec<GroupIndex> = self.scratch.broken.iter().flatten().copied().collect();
        broken.retain(|index| !self.scratch.touched[*index as usize]);
        broken.sort_by(|a, b| {
            let (a, b) = (self.case(*a), self.case(*b));
            b.weight.total_cmp(&a.weight).then(a.missing.cmp(&b.missing))
        });
        for index in broken {
            if !self.scratch.touched[index as usize] {
                self.repair(index);
            }
        }
    }

    /// Describes a broken group, without the ways that need other rows.
    fn case(&self, index: GroupIndex) -> Case {
        let group = &self.world.groups[index as usize];
        let need = group.replica.map(|replica| &self.world.replicas[replica as usize]);
        let silent = |vm: VmIndex| match self.world.vms[vm as usize].state {
            VmState::Up => Duration::ZERO,
            VmState::Silent(since) => self.now.saturating_sub(since),
            // A leaving VM does not come back.
            VmState::Leaving => Duration::from_secs(86_400),
        };
        Case {
            weight: need.map_or(0.0, |need| need.downtime_weight),
            members: group.members.len() as u32,
            missing: self.world.missing(group).count() as u32,
            silent: self.world.missing(group).map(silent).max().unwrap_or_default(),
            load_one: need.map_or(Duration::ZERO, |need| need.load_one),
            load_all: need.map_or(Duration::ZERO, |need| need.load_all),
            may_swap: false,
            merge_price: None,
            may_rebuild: false,
        }
    }

    fn repair(&mut self, index: GroupIndex) {
        let group = &self.world.groups[index as usize];
        let Some(replica) = group.replica else { return };
        let mut case = self.case(index);
        if case.missing == 0 {
            // All members are there again: the keeper lets the group rejoin.
            return;
        }
        self.focus(replica);
        let fabric = group.fabric as usize;
        let free = self.scratch.free[fabric].len() + self.scratch.spares[fabric].len();
        case.may_swap = free >= case.missing as usize;
        let giver = self.cheapest_giver(index, case.missing);
        case.merge_price = giver.map(|(_, price)| price);
        let room = place(self.world, self.scratch, replica, Some(group.fabric));
        case.may_rebuild = room.is_some();
        match repair::choose(&case, self.settings) {
            Way::Swap => self.swap(index),
            Way::Merge => {
                if let Some((from, _)) = giver {
                    self.merge(index, from);
                }
            }
            Way::Rebuild | Way::Release => {
                self.emit(Command::Dissolve { group: index, reason: Reason::Rebuild });
                self.touch(index);
            }
            Way::Wait => {}
        }
    }

    /// Returns the broken group of the same fabric domain whose members cost least to take.
    fn cheapest_giver(&self, index: GroupIndex, wanted: u32) -> Option<(GroupIndex, f64)> {
        let group = &self.world.groups[index as usize];
        let weight = self.case(index).weight;
        let candidates = self.scratch.broken[group.fabric as usize].iter().copied();
        candidates
            .filter(|other| *other != index && !self.scratch.touched[*other as usize])
            .map(|other| (other, self.case(other)))
            .filter(|(_, case)| {
                let there = case.members - case.missing;
                case.missing > 0 && there >= wanted && case.weight <= weight
            })
            .map(|(other, case)| (other, repair::giver_price(&case, self.settings)))
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)))
    }

    fn swap(&mut self, index: GroupIndex) {
        let group = &self.world.groups[index as usize];
        let fabric = group.fabric as usize;
        let out: Vec<VmIndex> = self.world.missing(group).collect();
        let into = out.iter().filter_map(|_| {
            self.scratch.free[fabric].pop().or_else(|| self.scratch.spares[fabric].pop())
        });
        let into = into.collect();
        self.touch(index);
        self.emit(Command::Swap { group: index, out, into });
    }

    fn merge(&mut self, index: GroupIndex, from: GroupIndex) {
        let out: Vec<VmIndex> = self.world.missing(&self.world.groups[index as usize]).collect();
        let giver = &self.world.groups[from as usize];
        let there = |vm: &VmIndex| self.world.vms[*vm as usize].state == VmState::Up;
        let into = giver.members.iter().copied().filter(there).take(out.len()).collect();
        self.touch(index);
        self.touch(from);
        self.emit(Command::Merge { group: index, from, out, into });
    }

    fn form_missing(&mut self, replica: ReplicaIndex) {
        let need = &self.world.replicas[replica as usize];
        // A group that was repaired by this plan is touched and still counts.
        let changed = |index: &&GroupIndex| self.scratch.touched[**index as usize];
        let repaired = self.scratch.by_replica[replica as usize]
            .iter()
            .filter(changed)
            .filter(|index| self.is_repaired(**index))
            .count();
        let live = self.live(replica).count() + repaired;
        if live >= need.count as usize {
            return;
        }
        self.focus(replica);
        for _ in live..need.count as usize {
            if !self.form(replica) {
                return;
            }
        }
    }

    fn is_repaired(&self, index: GroupIndex) -> bool {
        self.scratch.commands.iter().any(|command| match command {
            Command::Swap { group, .. } | Command::Merge { group, .. } => *group == index,
            _ => false,
        })
    }

    /// Forms a group of `replica`, which is in focus, and returns whether there was room.
    fn form(&mut self, replica: ReplicaIndex) -> bool {
        if self.scratch.backlog >= self.settings.form_backlog {
            return false;
        }
        let Some(fabric) = place(self.world, self.scratch, replica, None) else { return false };
        let need = &self.world.replicas[replica as usize];
        self.scratch.backlog += need.store_time;
        let count = need.vms as usize;
        let free = &mut self.scratch.free[fabric as usize];
        let vms = (0..count).filter_map(|_| free.pop()).collect();
        self.count_in(fabric);
        self.emit(Command::Form { replica, fabric, vms });
        true
    }

    /// Rolls out a version, or evens out failure domains, one group at a time.
    fn move_on(&mut self, replica: ReplicaIndex) {
        let need = &self.world.replicas[replica as usize];
        let all = self.scratch.by_replica[replica as usize].len();
        let count = need.count as usize;
        if count == 0 || all != count || self.serving(replica) != count {
            return;
        }
        let old = self.live(replica).find(|(_, group)| group.version != need.version);
        if let Some((index, _)) = old {
            self.focus(replica);
            let in_place = count > 1 && need.downtime_weight < self.settings.in_place_below;
            if !self.form(replica) && in_place {
                self.drop_group(index, Reason::OldVersion);
            }
            return;
        }
        self.focus(replica);
        let fullest = self.scratch.domain_count.iter().max().copied().unwrap_or(0);
        let Some(best) = place(self.world, self.scratch, replica, None) else { return };
        let domain = self.world.fabrics[best as usize].domain;
        if self.scratch.in_domain(domain) + 2 <= fullest {
            self.form(replica);
        }
    }

    /// Records the spares of each fabric domain whose recorded ones are not those that it needs.
    fn record_spares(&mut self) {
        let mut recorded: Vec<Vec<VmIndex>> = vec![Vec::new(); self.world.fabrics.len()];
        for (vm, i) in self.world.vms.iter().zip(0..) {
            if vm.spare {
                recorded[vm.fabric as usize].push(i);
            }
        }
        for (fabric, recorded) in recorded.iter().enumerate() {
            let wanted = self.scratch.reserve[fabric] as usize;
            let mut vms: Vec<VmIndex> = self.scratch.spares[fabric].iter().rev().copied().collect();
            vms.truncate(wanted);
            let free = self.scratch.free[fabric].iter().rev().copied();
            vms.extend(free.take(wanted - vms.len()));
            vms.sort_unstable();
            if *recorded != vms {
                self.emit(Command::SetSpares { fabric: fabric as FabricIndex, vms });
            }
        }
    }
}
