//! What the planner wants done, and the check of a plan.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::world::FabricIndex;
use crate::world::GroupIndex;
use crate::world::Phase;
use crate::world::ReplicaIndex;
use crate::world::VmIndex;
use crate::world::VmState;
use crate::world::World;

/// Why a group is drained or dissolved.
#[key]
pub enum Reason {
    /// Its replica is no longer declared, or has more groups than declared.
    Excess,
    /// A group of a newer version serves in its stead.
    OldVersion,
    /// Its replica's groups stand more evenly without it.
    Rebalance,
    /// It is rebuilt elsewhere, or its members are of more use when free.
    Rebuild,
}

/// One step that the planner wants done.
#[data]
pub enum Command {
    /// Make a group of free VMs, by rank.
    Form {
        /// The replica.
        replica: ReplicaIndex,
        /// The fabric domain.
        fabric: FabricIndex,
        /// The VMs.
        vms: Vec<VmIndex>,
    },
    /// Put free VMs in the place of missing members of a broken group.
    Swap {
        /// The group.
        group: GroupIndex,
        /// The members that leave.
        out: Vec<VmIndex>,
        /// The VMs that take their ranks.
        into: Vec<VmIndex>,
    },
    /// Put members of another broken group in the place of missing ones, and dissolve that group.
    Merge {
        /// The group that becomes whole.
        group: GroupIndex,
        /// The group that is dissolved.
        from: GroupIndex,
        /// The members that leave.
        out: Vec<VmIndex>,
        /// The VMs that take their ranks.
        into: Vec<VmIndex>,
    },
    /// Give a serving group no new work; it is dissolved once nothing runs.
    Drain {
        /// The group.
        group: GroupIndex,
        /// Why.
        reason: Reason,
    },
    /// Dissolve a group that does not serve.
    Dissolve {
        /// The group.
        group: GroupIndex,
        /// Why.
        reason: Reason,
    },
    /// Record which free VMs of a fabric domain are its spares.
    SetSpares {
        /// The fabric domain.
        fabric: FabricIndex,
        /// Its spares.
        vms: Vec<VmIndex>,
    },
}

/// Returns what makes `commands` unfit for `world`.
pub fn check(world: &World, commands: &[Command]) -> Findings {
    let mut findings = Findings::default();
    let mut used = BTreeSet::new();
    let mut touched = BTreeSet::new();
    for (i, command) in commands.iter().enumerate() {
        let place = format!("$[{i}]");
        for vm in taken(command) {
            let free =
                world.vms[*vm as usize].group.is_none() || matches!(command, Command::Merge { .. });
            findings.check(free, &place, || format!("VM {vm} is in a group"));
            findings.check(used.insert(*vm), &place, || format!("VM {vm} is given twice"));
            let up = world.vms[*vm as usize].state == VmState::Up;
            findings.check(up, &place, || format!("VM {vm} is not there"));
        }
        for group in groups(command) {
            findings
                .check(touched.insert(group), &place, || format!("group {group} is changed twice"));
        }
        check_phase(world, command, &place, &mut findings);
        check_fabric(world, command, &place, &mut findings);
    }
    findings
}

fn taken(command: &Command) -> &[VmIndex] {
    match command {
        Command::Form { vms, .. } => vms,
        Command::Swap { into, .. } | Command::Merge { into, .. } => into,
        _ => &[],
    }
}

fn groups(command: &Command) -> Vec<GroupIndex> {
    match command {
        Command::Swap { group, .. }
        | Command::Drain { group, .. }
        | Command::Dissolve { group, .. } => vec![*group],
        Command::Merge { group, from, .. } => vec![*group, *from],
        Command::Form { .. } | Command::SetSpares { .. } => Vec::new(),
    }
}

fn check_phase(world: &World, command: &Command, place: &str, findings: &mut Findings) {
    for group in groups(command) {
        let phase = world.groups[group as usize].phase;
        let fits = match command {
            Command::Drain { .. } => phase == Phase::Serving,
            Command::Dissolve { .. } => matches!(phase, Phase::Broken | Phase::Coming),
            _ => phase == Phase::Broken,
        };
        findings.check(fits, place, || format!("group {group} is {phase:?}"));
    }
}

/// Checks that a group never spans two fabric domains.
fn check_fabric(world: &World, command: &Command, place: &str, findings: &mut Findings) {
    let fabric = match command {
        Command::Form { fabric, .. } | Command::SetSpares { fabric, .. } => *fabric,
        Command::Swap { group, .. } | Command::Merge { group, .. } => {
            world.groups[*group as usize].fabric
        }
        _ => return,
    };
    for vm in taken(command) {
        findings.check(world.vms[*vm as usize].fabric == fabric, place, || {
            format!("VM {vm} is not in fabric domain {fabric}")
        });
    }
}
