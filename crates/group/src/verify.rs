//! The verifier of a fabric domain's record.
//!
//! It runs on each record that was read and on each that is about to be written. It never stops
//! at the first problem: all findings are reported, each with its place in the record.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;

use crate::record::FabricRecord;
use crate::record::GroupRecord;
use crate::record::GroupState;
use crate::record::Role;

/// Where each VM of the record was first seen.
type PathsByVm<'a> = BTreeMap<&'a str, String>;

impl FabricRecord {
    /// Returns everything that is wrong with the record.
    pub fn verify(&self) -> Findings {
        let mut findings = Findings::default();
        findings.check(!self.fabric.is_empty(), "$.fabric", || "the name is empty".to_owned());
        let mut ids = BTreeSet::new();
        let mut generations = BTreeSet::new();
        let mut places = PathsByVm::new();
        for (i, group) in self.groups.iter().enumerate() {
            let place = format!("$.groups[{i}]");
            findings.check(ids.insert(&group.id), &format!("{place}.id"), || {
                format!("group `{}` stands in the record twice", group.id)
            });
            findings.check(
                generations.insert(group.generation),
                &format!("{place}.generation"),
                || format!("generation {} is another group's", group.generation),
            );
            self.verify_generation(group, &place, &mut findings);
            verify_members(group, &place, &mut findings);
            for (j, member) in group.members.iter().enumerate() {
                check_listed_once(
                    &mut places,
                    &member.vm,
                    format!("{place}.members[{j}].vm"),
                    &mut findings,
                );
            }
        }
        for (i, vm) in self.spares.iter().enumerate() {
            check_listed_once(&mut places, vm, format!("$.spares[{i}]"), &mut findings);
        }
        findings
    }

    fn verify_generation(&self, group: &GroupRecord, place: &str, findings: &mut Findings) {
        let last = self.last_generation;
        findings.check(
            (1..=last).contains(&group.generation),
            &format!("{place}.generation"),
            || format!("generation {} is not in 1..={last}", group.generation),
        );
    }
}

fn check_listed_once<'a>(
    places: &mut PathsByVm<'a>,
    vm: &'a str,
    place: String,
    findings: &mut Findings,
) {
    match places.get(vm) {
        Some(first) => findings.add(place, format!("VM `{vm}` already stands at {first}")),
        None => {
            places.insert(vm, place);
        }
    }
}

fn verify_members(group: &GroupRecord, place: &str, findings: &mut Findings) {
    let state = group.state;
    findings.check(state != GroupState::Dissolved, &format!("{place}.state"), || {
        "a dissolved group does not stand in the record".to_owned()
    });
    findings.check(!group.members.is_empty(), &format!("{place}.members"), || {
        "the group has no members".to_owned()
    });
    let needs_boots =
        matches!(state, GroupState::Loading | GroupState::Serving | GroupState::Draining);
    for (j, member) in group.members.iter().enumerate() {
        let place = format!("{place}.members[{j}]");
        findings.check(member.rank as usize == j, &format!("{place}.rank"), || {
            format!("rank {} stands where rank {j} is due", member.rank)
        });
        let role = if j == 0 { Role::Leader } else { Role::Worker };
        findings.check(member.role == role, &format!("{place}.role"), || {
            format!("role {:?} stands where {role:?} is due", member.role)
        });
        findings.check(member.boot != 0 || !needs_boots, &format!("{place}.boot"), || {
            format!("the boot id is unknown in state `{}`", state.name())
        });
    }
}
