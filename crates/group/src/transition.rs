//! The transitions of a fabric domain's record, each to be written by one compare-and-swap.
//!
//! [`apply`] is a pure function from a record and a [`Transition`] to the next record, or to all
//! findings that forbid the transition. A transition names the generation that its author saw, so
//! one that was decided on an older record is refused even if its names still match.
//!
//! Every change of members, and every rejoin of a broken group, takes a new generation from
//! `last_generation`, which only grows. So an order of an earlier assignment of a VM always
//! carries a lower fencing token than the orders of its current one.

use base::prelude::*;

use crate::record::FabricRecord;
use crate::record::GroupRecord;
use crate::record::GroupState;
use crate::record::Member;

/// The boot id that a member reported in its probe answer.
#[wire]
pub struct MemberBoot {
    /// The VM.
    pub vm: VmId,
    /// The boot id of its engine instance.
    pub boot: BootId,
}

/// What a group serves: a declared replica's model, version and adapters.
#[wire]
pub struct GroupSpec {
    /// The declared replica.
    pub replica: Box<str>,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapters.
    pub adapters: Vec<AdapterId>,
}

/// A group and the generation at which a transition was decided.
#[wire]
pub struct GroupRef {
    /// The group.
    pub group: GroupId,
    /// The generation that the author of the transition saw.
    pub generation: Generation,
}

/// One change of a fabric domain's record.
#[wire]
#[serde(tag = "move", rename_all = "snake_case")]
pub enum Transition {
    /// Form a new group from free VMs, in the order of their ranks.
    Form {
        /// What it serves.
        #[serde(rename = "purpose")]
        spec: GroupSpec,
        /// Its VMs.
        vms: Vec<VmId>,
    },
    /// All members answered: record their boot ids and start loading.
    ConfirmLoading {
        /// The group.
        target: GroupRef,
        /// The boot id of each member.
        boots: Vec<MemberBoot>,
    },
    /// All members are ready: the group serves.
    Serve {
        /// The group.
        target: GroupRef,
    },
    /// A member is missing or unhealthy: the group is broken.
    Break {
        /// The group.
        target: GroupRef,
    },
    /// Replace members of a broken group by free VMs or spares.
    Swap {
        /// The group.
        target: GroupRef,
        /// The members to replace.
        #[serde(rename = "out")]
        removed: Vec<VmId>,
        /// The VMs that take their ranks, in the same order.
        #[serde(rename = "into")]
        replacements: Vec<VmId>,
    },
    /// Restore a replaced member that came back with its weights before its replacement loaded.
    Return {
        /// The group.
        target: GroupRef,
        /// The replacement, which has not loaded.
        #[serde(rename = "out")]
        removed: VmId,
        /// The earlier member, which takes its rank back.
        #[serde(rename = "into")]
        replacement: VmId,
    },
    /// Replace members of a broken group by members of another broken group, and dissolve that.
    Merge {
        /// The group that is completed.
        target: GroupRef,
        /// The group that is dissolved.
        #[serde(rename = "from")]
        donor: GroupRef,
        /// The members to replace.
        #[serde(rename = "out")]
        removed: Vec<VmId>,
        /// The members of the dissolved group that take their ranks, in the same order.
        #[serde(rename = "into")]
        replacements: Vec<VmId>,
    },
    /// All members of a broken group answer again: form the group anew with the same members.
    Rejoin {
        /// The group.
        target: GroupRef,
    },
    /// Stop sending new requests to the group.
    Drain {
        /// The group.
        target: GroupRef,
    },
    /// Remove the group; its members become free.
    Dissolve {
        /// The group.
        target: GroupRef,
    },
    /// Replace the list of VMs that are kept free as spares.
    SetSpares {
        /// All spares of the domain.
        spares: Vec<VmId>,
    },
}

/// Returns the record after `change`, with the given `write_id`, or everything that forbids the
/// change.
///
/// A result always passes [`FabricRecord::verify`].
pub fn apply(
    record: &FabricRecord,
    change: &Transition,
    write_id: WriteId,
) -> Result<FabricRecord, Findings> {
    let mut next = FabricRecord { write_id, ..record.clone() };
    let mut findings = Findings::default();
    match change {
        Transition::Form { spec, vms } => form(&mut next, spec, vms, &mut findings),
        Transition::ConfirmLoading { target, boots } => {
            confirm(&mut next, target, boots, &mut findings);
        }
        Transition::Serve { target } => {
            set_state(&mut next, target, GroupState::Serving, &mut findings)
        }
        Transition::Break { target } => {
            set_state(&mut next, target, GroupState::Broken, &mut findings)
        }
        Transition::Swap { target, removed, replacements } => {
            require_state(&next, target, GroupState::Broken, &mut findings);
            replace_members(&mut next, target, removed, replacements, &mut findings);
        }
        Transition::Return { target, removed, replacement } => {
            require_state(&next, target, GroupState::Loading, &mut findings);
            let (removed, replacements) =
                (std::slice::from_ref(removed), std::slice::from_ref(replacement));
            replace_members(&mut next, target, removed, replacements, &mut findings);
        }
        Transition::Merge { target, donor, removed, replacements } => {
            require_state(&next, target, GroupState::Broken, &mut findings);
            require_state(&next, donor, GroupState::Broken, &mut findings);
            merge(&mut next, target, donor, removed, replacements, &mut findings);
        }
        Transition::Rejoin { target } => {
            require_state(&next, target, GroupState::Broken, &mut findings);
            replace_members(&mut next, target, &[], &[], &mut findings);
        }
        Transition::Drain { target } => {
            set_state(&mut next, target, GroupState::Draining, &mut findings)
        }
        Transition::Dissolve { target } => dissolve(&mut next, target, &mut findings),
        Transition::SetSpares { spares } => next.spares = spares.clone(),
    }
    findings.merge(next.verify());
    findings.into_result(next)
}

/// Returns the name of the group that the domain's next `Form` creates, unique in the deployment.
pub fn next_group_id(record: &FabricRecord, replica: &str) -> GroupId {
    format!("{replica}.{}.{}", record.fabric, record.last_generation + 1).into()
}

fn next_generation(record: &mut FabricRecord) -> Generation {
    record.last_generation += 1;
    record.last_generation
}

fn form(record: &mut FabricRecord, purpose: &GroupSpec, vms: &[VmId], findings: &mut Findings) {
    for vm in vms {
        findings.check(!record.spares.contains(vm), "$.vms", || {
            format!("VM `{vm}` is kept as a spare")
        });
    }
    let id = next_group_id(record, &purpose.replica);
    let generation = next_generation(record);
    let members = vms.iter().zip(0..).map(|(vm, rank)| Member::new(vm.clone(), rank)).collect();
    record.groups.push(GroupRecord {
        id,
        replica: purpose.replica.clone(),
        model: purpose.model.clone(),
        version: purpose.version.clone(),
        adapters: purpose.adapters.clone(),
        generation,
        state: GroupState::Forming,
        members,
    });
}

/// Finds the group and checks that a transition to `next` is allowed; adds findings otherwise.
fn find_for_transition<'a>(
    record: &'a mut FabricRecord,
    target: &GroupRef,
    next: GroupState,
    findings: &mut Findings,
) -> Option<&'a mut GroupRecord> {
    let Some(group) = record.groups.iter_mut().find(|group| group.id == target.group) else {
        findings.add("$.groups", format!("group `{}` is not in the record", target.group));
        return None;
    };
    let path = format!("$.groups[{}]", group.id);
    findings.check(group.generation == target.generation, &path, || {
        format!("generation is {}, the transition is for {}", group.generation, target.generation)
    });
    findings.check(group.state.can_transition_to(next), &path, || {
        format!("state `{}` has no transition to `{}`", group.state.name(), next.name())
    });
    Some(group)
}

/// Checks that the group is in `state`, for transitions with a stricter condition than
/// [`LEGAL_TRANSITIONS`].
///
/// [`LEGAL_TRANSITIONS`]: crate::record::LEGAL_TRANSITIONS
fn require_state(
    record: &FabricRecord,
    target: &GroupRef,
    state: GroupState,
    findings: &mut Findings,
) {
    let found = record.group(&target.group).map(|group| group.state);
    findings.check(found == Some(state), &format!("$.groups[{}]", target.group), || {
        format!("the transition requires state `{}`", state.name())
    });
}

fn set_state(
    record: &mut FabricRecord,
    target: &GroupRef,
    next: GroupState,
    findings: &mut Findings,
) {
    if let Some(group) = find_for_transition(record, target, next, findings) {
        group.state = next;
    }
}

fn confirm(
    record: &mut FabricRecord,
    target: &GroupRef,
    boots: &[MemberBoot],
    findings: &mut Findings,
) {
    let Some(group) = find_for_transition(record, target, GroupState::Loading, findings) else {
        return;
    };
    group.state = GroupState::Loading;
    for member in &mut group.members {
        match boots.iter().find(|boot| boot.vm == member.vm) {
            Some(boot) => member.boot = boot.boot,
            None => findings.add("$.boots", format!("VM `{}` has no boot id", member.vm)),
        }
    }
}

/// Puts `replacements` in the ranks of `removed`, clears all boot ids and takes a new generation.
fn replace_members(
    record: &mut FabricRecord,
    target: &GroupRef,
    removed: &[VmId],
    replacements: &[VmId],
    findings: &mut Findings,
) {
    record.spares.retain(|spare| !replacements.contains(spare));
    let generation = next_generation(record);
    let Some(group) = find_for_transition(record, target, GroupState::Forming, findings) else {
        return;
    };
    group.state = GroupState::Forming;
    group.generation = generation;
    findings.check(removed.len() == replacements.len(), "$.into", || {
        format!("{} VMs are removed, but {} replace them", removed.len(), replacements.len())
    });
    for (removed, replacement) in removed.iter().zip(replacements) {
        match group.members.iter_mut().find(|member| member.vm == *removed) {
            Some(member) => member.vm = replacement.clone(),
            None => findings.add("$.out", format!("VM `{removed}` is not a member of the group")),
        }
    }
    for member in &mut group.members {
        member.boot = 0;
    }
}

fn merge(
    record: &mut FabricRecord,
    target: &GroupRef,
    donor: &GroupRef,
    removed: &[VmId],
    replacements: &[VmId],
    findings: &mut Findings,
) {
    let donor_group = record.group(&donor.group);
    findings.check(
        replacements.iter().all(|vm| donor_group.is_some_and(|group| group.member(vm).is_some())),
        "$.into",
        || format!("a VM is not a member of group `{}`", donor.group),
    );
    dissolve(record, donor, findings);
    replace_members(record, target, removed, replacements, findings);
}

fn dissolve(record: &mut FabricRecord, target: &GroupRef, findings: &mut Findings) {
    if find_for_transition(record, target, GroupState::Dissolved, findings).is_some() {
        record.groups.retain(|group| group.id != target.group);
    }
}
