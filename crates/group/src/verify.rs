//! The verifier of a fabric domain's record.
//!
//! It runs on each record that was read and on each that is about to be written. It does not stop
//! at the first problem: all findings are reported, each with its path in the record.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;

use crate::record::FabricRecord;
use crate::record::GroupRecord;
use crate::record::GroupState;
use crate::record::Role;

/// For each VM of the record, the path where it is first listed.
type PathsByVm<'a> = BTreeMap<&'a str, String>;

impl FabricRecord {
    /// Returns all violations of the record's invariants.
    pub fn verify(&self) -> Findings {
        let mut findings = Findings::default();
        findings.check(!self.fabric.is_empty(), "$.fabric", || "the name is empty".to_owned());
        let mut ids = BTreeSet::new();
        let mut generations = BTreeSet::new();
        let mut paths = PathsByVm::new();
        for (i, group) in self.groups.iter().enumerate() {
            let path = format!("$.groups[{i}]");
            findings.check(ids.insert(&group.id), &format!("{path}.id"), || {
                format!("group `{}` is in the record twice", group.id)
            });
            findings.check(
                generations.insert(group.generation),
                &format!("{path}.generation"),
                || format!("generation {} belongs to another group too", group.generation),
            );
            self.verify_generation(group, &path, &mut findings);
            verify_members(group, &path, &mut findings);
            for (j, member) in group.members.iter().enumerate() {
                check_listed_once(
                    &mut paths,
                    &member.vm,
                    format!("{path}.members[{j}].vm"),
                    &mut findings,
                );
            }
        }
        for (i, vm) in self.spares.iter().enumerate() {
            check_listed_once(&mut paths, vm, format!("$.spares[{i}]"), &mut findings);
        }
        findings
    }

    fn verify_generation(&self, group: &GroupRecord, path: &str, findings: &mut Findings) {
        let last = self.last_generation;
        findings.check(
            (1..=last).contains(&group.generation),
            &format!("{path}.generation"),
            || format!("generation {} is not in 1..={last}", group.generation),
        );
    }
}

fn check_listed_once<'a>(
    paths: &mut PathsByVm<'a>,
    vm: &'a str,
    path: String,
    findings: &mut Findings,
) {
    match paths.get(vm) {
        Some(first) => findings.add(path, format!("VM `{vm}` is already listed at {first}")),
        None => {
            paths.insert(vm, path);
        }
    }
}

fn verify_members(group: &GroupRecord, path: &str, findings: &mut Findings) {
    let state = group.state;
    findings.check(state != GroupState::Dissolved, &format!("{path}.state"), || {
        "a dissolved group must not be in the record".to_owned()
    });
    findings.check(!group.members.is_empty(), &format!("{path}.members"), || {
        "the group has no members".to_owned()
    });
    let needs_boots =
        matches!(state, GroupState::Loading | GroupState::Serving | GroupState::Draining);
    for (j, member) in group.members.iter().enumerate() {
        let path = format!("{path}.members[{j}]");
        findings.check(member.rank as usize == j, &format!("{path}.rank"), || {
            format!("found rank {}, expected rank {j}", member.rank)
        });
        let role = if j == 0 { Role::Leader } else { Role::Worker };
        findings.check(member.role == role, &format!("{path}.role"), || {
            format!("found role {:?}, expected {role:?}", member.role)
        });
        findings.check(member.boot != 0 || !needs_boots, &format!("{path}.boot"), || {
            format!("the boot id is unknown in state `{}`", state.name())
        });
    }
}
