//! Computes the commands that bring a cluster closer to its declared state.
//!
//! The steps run in a fixed order and visit table rows in index order. Each step marks the VMs and
//! groups that it used, so a plan never names a VM or a group twice:
//!
//! 1. Groups whose replica is no longer declared, and groups beyond the declared count, are
//!    drained or dissolved.
//! 2. Broken groups are repaired, in order of descending downtime weight and then of ascending
//!    number of missing members.
//! 3. Missing groups are formed where enough VMs are free, at most as fast as the weight store can
//!    load them.
//! 4. A roll-out forms one group of the new version beyond the declared count. Step 1 of a later
//!    plan drains a group of the old version once the new one serves.
//! 5. Rebalancing does the same to move a group from the fullest failure domain to the emptiest.
//! 6. Spares are recorded.
//!
//! Invariants: a serving group is drained only if more groups serve than are declared, or, in a
//! roll-out without free VMs for an additional group, if the replica's downtime weight is below
//! [`PlanSettings::in_place_weight_limit`]. Every command brings the cluster closer to the declared
//! state, so without further events the planner becomes idle: it returns no commands.

use base::prelude::*;

use crate::cluster::ClusterState;
use crate::cluster::FabricIndex;
use crate::cluster::Group;
use crate::cluster::GroupIndex;
use crate::cluster::Phase;
use crate::cluster::ReplicaIndex;
use crate::cluster::VmIndex;
use crate::cluster::VmState;
use crate::command::Command;
use crate::command::RemovalReason;
use crate::placement::best_fabric;
use crate::repair;
use crate::repair::BrokenGroup;
use crate::repair::RepairAction;
use crate::scratch::Scratch;
use crate::scratch::reset;
use crate::settings::PlanSettings;

/// Returns the commands for `cluster` at `now`.
///
/// The plan depends on `cluster`, `settings` and `now` alone; `scratch` only avoids allocations.
pub fn plan(
    cluster: &ClusterState,
    settings: &PlanSettings,
    now: Mono,
    scratch: &mut Scratch,
) -> Vec<Command> {
    scratch.fill(cluster);
    let mut builder = PlanBuilder { cluster, settings, now, scratch };
    builder.remove_undeclared();
    for replica in 0..cluster.replicas.len() as ReplicaIndex {
        builder.remove_excess(replica);
    }
    builder.repair_all();
    for replica in 0..cluster.replicas.len() as ReplicaIndex {
        builder.form_missing(replica);
    }
    for replica in 0..cluster.replicas.len() as ReplicaIndex {
        builder.roll_out_or_rebalance(replica);
    }
    builder.record_spares();
    let commands = std::mem::take(&mut scratch.commands);
    debug_assert!(crate::command::check(cluster, &commands).is_empty(), "{commands:?}");
    commands
}

/// The state of one call of [`plan`].
struct PlanBuilder<'a> {
    cluster: &'a ClusterState,
    settings: &'a PlanSettings,
    now: Mono,
    scratch: &'a mut Scratch,
}

impl PlanBuilder<'_> {
    fn emit(&mut self, command: Command) {
        self.scratch.commands.push(command);
    }

    fn mark_changed(&mut self, group: GroupIndex) {
        self.scratch.changed[group as usize] = true;
    }

    /// Drains the group if it serves and dissolves it otherwise.
    fn remove_group(&mut self, index: GroupIndex, reason: RemovalReason) {
        match self.cluster.groups[index as usize].phase {
            Phase::Serving => self.emit(Command::Drain { group: index, reason }),
            Phase::Starting | Phase::Broken => {
                self.emit(Command::Dissolve { group: index, reason })
            }
            Phase::Draining => return,
        }
        self.mark_changed(index);
    }

    fn remove_undeclared(&mut self) {
        for (group, i) in self.cluster.groups.iter().zip(0..) {
            if group.replica.is_none() {
                self.remove_group(i, RemovalReason::Excess);
            }
        }
    }

    /// Returns the groups of `replica` that neither drain nor are changed by this plan.
    fn active(&self, replica: ReplicaIndex) -> impl Iterator<Item = (GroupIndex, &Group)> {
        let all = self.scratch.by_replica[replica as usize].iter();
        all.map(|i| (*i, &self.cluster.groups[*i as usize])).filter(|(i, group)| {
            group.phase != Phase::Draining && !self.scratch.changed[*i as usize]
        })
    }

    fn serving(&self, replica: ReplicaIndex) -> usize {
        self.active(replica).filter(|(_, group)| group.phase == Phase::Serving).count()
    }

    /// Makes `replica` the counted one: counts its active groups in each domain, for
    /// [`best_fabric`] and [`Self::excess_victim`].
    fn count_by_domain(&mut self, replica: ReplicaIndex) {
        reset(&mut self.scratch.domain_count, self.cluster.domains.len());
        reset(&mut self.scratch.fabric_count, self.cluster.fabrics.len());
        for i in 0..self.scratch.by_replica[replica as usize].len() {
            let index = self.scratch.by_replica[replica as usize][i];
            let group = &self.cluster.groups[index as usize];
            if group.phase != Phase::Draining && !self.scratch.changed[index as usize] {
                self.count_group_in(group.fabric);
            }
        }
    }

    fn count_group_in(&mut self, fabric: FabricIndex) {
        let domain = self.cluster.fabrics[fabric as usize].domain;
        self.scratch.domain_count[domain as usize] += 1;
        self.scratch.fabric_count[fabric as usize] += 1;
    }

    fn remove_excess(&mut self, replica: ReplicaIndex) {
        let spec = &self.cluster.replicas[replica as usize];
        let mut excess = self.active(replica).count().saturating_sub(spec.count as usize);
        if excess == 0 {
            return;
        }
        while excess > 0 {
            self.count_by_domain(replica);
            let Some((victim, reason)) = self.excess_victim(replica) else { return };
            self.remove_group(victim, reason);
            excess -= 1;
        }
    }

    /// Returns the group whose removal costs `replica` least, if one may be removed.
    ///
    /// That is a broken group, else, if more groups serve than are declared, a serving one:
    /// groups of an old version first, then those in the fullest failure domain.
    fn excess_victim(&self, replica: ReplicaIndex) -> Option<(GroupIndex, RemovalReason)> {
        let spec = &self.cluster.replicas[replica as usize];
        let broken = self.active(replica).find(|(_, group)| group.phase == Phase::Broken);
        if let Some((index, _)) = broken {
            return Some((index, RemovalReason::Excess));
        }
        if self.serving(replica) <= spec.count as usize {
            return None;
        }
        let serving = self.active(replica).filter(|(_, group)| group.phase == Phase::Serving);
        let (index, group) = serving.max_by_key(|(index, group)| {
            let domain = self.cluster.fabrics[group.fabric as usize].domain;
            (group.version != spec.version, self.scratch.groups_in_domain(domain), *index)
        })?;
        let old = group.version != spec.version;
        Some((index, if old { RemovalReason::OldVersion } else { RemovalReason::Excess }))
    }

    fn repair_all(&mut self) {
        let mut broken: Vec<GroupIndex> = self.scratch.broken.iter().flatten().copied().collect();
        broken.retain(|index| !self.scratch.changed[*index as usize]);
        broken.sort_by(|a, b| {
            let (a, b) = (self.broken_group(*a), self.broken_group(*b));
            b.downtime_weight.total_cmp(&a.downtime_weight).then(a.missing.cmp(&b.missing))
        });
        for index in broken {
            if !self.scratch.changed[index as usize] {
                self.repair(index);
            }
        }
    }

    /// Describes a broken group, without the repair actions that depend on other groups and VMs.
    fn broken_group(&self, index: GroupIndex) -> BrokenGroup {
        let group = &self.cluster.groups[index as usize];
        let spec = group.replica.map(|replica| &self.cluster.replicas[replica as usize]);
        let unresponsive_for = |vm: VmIndex| match self.cluster.vms[vm as usize].state {
            VmState::Up => Duration::ZERO,
            VmState::Unresponsive(since) => self.now.saturating_sub(since),
            // A leaving VM does not come back.
            VmState::Leaving => Duration::from_secs(86_400),
        };
        BrokenGroup {
            downtime_weight: spec.map_or(0.0, |spec| spec.downtime_weight),
            members: group.members.len() as u32,
            missing: self.cluster.missing(group).count() as u32,
            unresponsive_for: self
                .cluster
                .missing(group)
                .map(unresponsive_for)
                .max()
                .unwrap_or_default(),
            member_load_time: spec.map_or(Duration::ZERO, |spec| spec.member_load_time),
            group_load_time: spec.map_or(Duration::ZERO, |spec| spec.group_load_time),
            can_swap: false,
            merge_cost: None,
            can_rebuild: false,
        }
    }

    fn repair(&mut self, index: GroupIndex) {
        let group = &self.cluster.groups[index as usize];
        let Some(replica) = group.replica else { return };
        let mut broken = self.broken_group(index);
        if broken.missing == 0 {
            // All members are back: the group controller lets the group rejoin.
            return;
        }
        self.count_by_domain(replica);
        let fabric = group.fabric as usize;
        let free = self.scratch.free[fabric].len() + self.scratch.spares[fabric].len();
        broken.can_swap = free >= broken.missing as usize;
        let donor = self.cheapest_donor(index, broken.missing);
        broken.merge_cost = donor.map(|(_, cost)| cost);
        let alternative = best_fabric(self.cluster, self.scratch, replica, Some(group.fabric));
        broken.can_rebuild = alternative.is_some();
        match repair::choose(&broken, self.settings) {
            RepairAction::Swap => self.swap(index),
            RepairAction::Merge => {
                if let Some((donor, _)) = donor {
                    self.merge(index, donor);
                }
            }
            RepairAction::Rebuild | RepairAction::Release => {
                self.emit(Command::Dissolve { group: index, reason: RemovalReason::Rebuild });
                self.mark_changed(index);
            }
            RepairAction::Wait => {}
        }
    }

    /// Returns the broken group of the same fabric domain whose members are cheapest to take, with
    /// the cost.
    ///
    /// Only groups of the same or a lower downtime weight are donors.
    fn cheapest_donor(&self, index: GroupIndex, wanted: u32) -> Option<(GroupIndex, f64)> {
        let group = &self.cluster.groups[index as usize];
        let weight = self.broken_group(index).downtime_weight;
        let candidates = self.scratch.broken[group.fabric as usize].iter().copied();
        candidates
            .filter(|other| *other != index && !self.scratch.changed[*other as usize])
            .map(|other| (other, self.broken_group(other)))
            .filter(|(_, broken)| {
                let present = broken.members - broken.missing;
                broken.missing > 0 && present >= wanted && broken.downtime_weight <= weight
            })
            .map(|(other, broken)| (other, repair::donor_cost(&broken, self.settings)))
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)))
    }

    fn swap(&mut self, index: GroupIndex) {
        let group = &self.cluster.groups[index as usize];
        let fabric = group.fabric as usize;
        let removed: Vec<VmIndex> = self.cluster.missing(group).collect();
        let replacements = removed.iter().filter_map(|_| {
            self.scratch.free[fabric].pop().or_else(|| self.scratch.spares[fabric].pop())
        });
        let replacements = replacements.collect();
        self.mark_changed(index);
        self.emit(Command::Swap { group: index, removed, replacements });
    }

    fn merge(&mut self, index: GroupIndex, donor: GroupIndex) {
        let removed: Vec<VmIndex> =
            self.cluster.missing(&self.cluster.groups[index as usize]).collect();
        let donor_group = &self.cluster.groups[donor as usize];
        let is_present = |vm: &VmIndex| self.cluster.vms[*vm as usize].state == VmState::Up;
        let replacements =
            donor_group.members.iter().copied().filter(is_present).take(removed.len()).collect();
        self.mark_changed(index);
        self.mark_changed(donor);
        self.emit(Command::Merge { group: index, donor, removed, replacements });
    }

    fn form_missing(&mut self, replica: ReplicaIndex) {
        let spec = &self.cluster.replicas[replica as usize];
        // A group that this plan repairs is marked as changed, but still counts.
        let changed = |index: &&GroupIndex| self.scratch.changed[**index as usize];
        let repaired = self.scratch.by_replica[replica as usize]
            .iter()
            .filter(changed)
            .filter(|index| self.is_repaired(**index))
            .count();
        let active = self.active(replica).count() + repaired;
        if active >= spec.count as usize {
            return;
        }
        self.count_by_domain(replica);
        for _ in active..spec.count as usize {
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

    /// Forms a group of `replica`, which must be the counted one.
    ///
    /// Returns `false` if no fabric domain has enough free VMs or the weight store is busy for too
    /// long already.
    fn form(&mut self, replica: ReplicaIndex) -> bool {
        if self.scratch.load_backlog >= self.settings.max_load_backlog {
            return false;
        }
        let Some(fabric) = best_fabric(self.cluster, self.scratch, replica, None) else {
            return false;
        };
        let spec = &self.cluster.replicas[replica as usize];
        self.scratch.load_backlog += spec.weight_store_time;
        let count = spec.vms as usize;
        let free = &mut self.scratch.free[fabric as usize];
        let vms = (0..count).filter_map(|_| free.pop()).collect();
        self.count_group_in(fabric);
        self.emit(Command::Form { replica, fabric, vms });
        true
    }

    /// Takes the next step of a roll-out, or else of rebalancing failure domains, one group at a
    /// time.
    ///
    /// Does nothing unless exactly the declared number of groups exists and all of them serve.
    fn roll_out_or_rebalance(&mut self, replica: ReplicaIndex) {
        let spec = &self.cluster.replicas[replica as usize];
        let all = self.scratch.by_replica[replica as usize].len();
        let count = spec.count as usize;
        if count == 0 || all != count || self.serving(replica) != count {
            return;
        }
        let old = self.active(replica).find(|(_, group)| group.version != spec.version);
        if let Some((index, _)) = old {
            self.count_by_domain(replica);
            let in_place = count > 1 && spec.downtime_weight < self.settings.in_place_weight_limit;
            if !self.form(replica) && in_place {
                self.remove_group(index, RemovalReason::OldVersion);
            }
            return;
        }
        self.count_by_domain(replica);
        let fullest = self.scratch.domain_count.iter().max().copied().unwrap_or(0);
        let Some(best) = best_fabric(self.cluster, self.scratch, replica, None) else { return };
        let domain = self.cluster.fabrics[best as usize].domain;
        if self.scratch.groups_in_domain(domain) + 2 <= fullest {
            self.form(replica);
        }
    }

    /// Records the spares of each fabric domain whose recorded spares differ from the wanted ones.
    fn record_spares(&mut self) {
        let mut recorded: Vec<Vec<VmIndex>> = vec![Vec::new(); self.cluster.fabrics.len()];
        for (vm, i) in self.cluster.vms.iter().zip(0..) {
            if vm.spare {
                recorded[vm.fabric as usize].push(i);
            }
        }
        for (fabric, recorded) in recorded.iter().enumerate() {
            let wanted = self.scratch.wanted_spares[fabric] as usize;
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
