//! The planner's commands, and a validity check of a plan.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::cluster::ClusterState;
use crate::cluster::FabricIndex;
use crate::cluster::GroupIndex;
use crate::cluster::Phase;
use crate::cluster::ReplicaIndex;
use crate::cluster::VmIndex;
use crate::cluster::VmState;

/// Why a group is drained or dissolved.
#[key]
pub enum RemovalReason {
    /// Its replica is no longer declared, or has more groups than declared.
    Excess,
    /// A group of a newer version replaces it.
    OldVersion,
    /// Its replica's groups are spread more evenly over the failure domains without it.
    Rebalance,
    /// It is rebuilt in another fabric domain, or its members are more useful when free.
    Rebuild,
}

/// One step of a plan.
#[data]
pub enum Command {
    /// Form a group of free VMs.
    Form {
        /// The replica.
        replica: ReplicaIndex,
        /// The fabric domain.
        fabric: FabricIndex,
        /// The VMs, by rank.
        vms: Vec<VmIndex>,
    },
    /// Replace the missing members of a broken group by free VMs.
    Swap {
        /// The group.
        group: GroupIndex,
        /// The members that leave the group.
        removed: Vec<VmIndex>,
        /// The VMs that take their ranks, in the same order.
        replacements: Vec<VmIndex>,
    },
    /// Replace the missing members of a broken group by members of another one, which is dissolved.
    Merge {
        /// The group that is repaired.
        group: GroupIndex,
        /// The group that is dissolved.
        donor: GroupIndex,
        /// The members that leave the group.
        removed: Vec<VmIndex>,
        /// The VMs that take their ranks, in the same order.
        replacements: Vec<VmIndex>,
    },
    /// Send no new requests to a serving group, and dissolve it once its requests have ended.
    Drain {
        /// The group.
        group: GroupIndex,
        /// The reason.
        reason: RemovalReason,
    },
    /// Dissolve a group that does not serve.
    Dissolve {
        /// The group.
        group: GroupIndex,
        /// The reason.
        reason: RemovalReason,
    },
    /// Record which free VMs of a fabric domain are its spares.
    SetSpares {
        /// The fabric domain.
        fabric: FabricIndex,
        /// Its spares.
        vms: Vec<VmIndex>,
    },
}

/// Returns the reasons for which `commands` are not valid for `cluster`.
pub fn check(cluster: &ClusterState, commands: &[Command]) -> Findings {
    let mut findings = Findings::default();
    let mut used = BTreeSet::new();
    let mut changed = BTreeSet::new();
    for (i, command) in commands.iter().enumerate() {
        let place = format!("$[{i}]");
        for vm in assigned_vms(command) {
            let free = cluster.vms[*vm as usize].group.is_none()
                || matches!(command, Command::Merge { .. });
            findings.check(free, &place, || format!("VM {vm} is in a group"));
            findings.check(used.insert(*vm), &place, || format!("VM {vm} is assigned twice"));
            let up = cluster.vms[*vm as usize].state == VmState::Up;
            findings.check(up, &place, || format!("VM {vm} is not up"));
        }
        for group in affected_groups(command) {
            findings
                .check(changed.insert(group), &place, || format!("group {group} is changed twice"));
        }
        check_phase(cluster, command, &place, &mut findings);
        check_fabric(cluster, command, &place, &mut findings);
    }
    findings
}

fn assigned_vms(command: &Command) -> &[VmIndex] {
    match command {
        Command::Form { vms, .. } => vms,
        Command::Swap { replacements, .. } | Command::Merge { replacements, .. } => replacements,
        _ => &[],
    }
}

fn affected_groups(command: &Command) -> Vec<GroupIndex> {
    match command {
        Command::Swap { group, .. }
        | Command::Drain { group, .. }
        | Command::Dissolve { group, .. } => vec![*group],
        Command::Merge { group, donor, .. } => vec![*group, *donor],
        Command::Form { .. } | Command::SetSpares { .. } => Vec::new(),
    }
}

fn check_phase(cluster: &ClusterState, command: &Command, place: &str, findings: &mut Findings) {
    for group in affected_groups(command) {
        let phase = cluster.groups[group as usize].phase;
        let fits = match command {
            Command::Drain { .. } => phase == Phase::Serving,
            Command::Dissolve { .. } => matches!(phase, Phase::Broken | Phase::Starting),
            _ => phase == Phase::Broken,
        };
        findings.check(fits, place, || {
            format!("the command does not apply to group {group} in phase {phase:?}")
        });
    }
}

/// Checks that a group never spans two fabric domains.
fn check_fabric(cluster: &ClusterState, command: &Command, place: &str, findings: &mut Findings) {
    let fabric = match command {
        Command::Form { fabric, .. } | Command::SetSpares { fabric, .. } => *fabric,
        Command::Swap { group, .. } | Command::Merge { group, .. } => {
            cluster.groups[*group as usize].fabric
        }
        _ => return,
    };
    for vm in assigned_vms(command) {
        findings.check(cluster.vms[*vm as usize].fabric == fabric, place, || {
            format!("VM {vm} is not in fabric domain {fabric}")
        });
    }
}
