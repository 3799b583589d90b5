//! Tests of a fabric domain's record: its verifier, its transitions and its size.

use group::prelude::*;
use group::record::ALL_STATES;
use group::size;
use proptest::prelude::*;

fn spec() -> GroupSpec {
    GroupSpec { replica: "r".into(), model: "m".into(), version: "v".into(), adapters: vec![] }
}

fn vm(number: u8) -> Box<str> {
    format!("vm{number}").into()
}

fn target(record: &FabricRecord, pick: usize) -> GroupRef {
    match record.groups.get(pick % record.groups.len().max(1)) {
        Some(group) => GroupRef { group: group.id.clone(), generation: group.generation },
        None => GroupRef { group: "none".into(), generation: 1 },
    }
}

fn boots(record: &FabricRecord, target: &GroupRef) -> Vec<MemberBoot> {
    let members = record.group(&target.group).map_or(&[][..], |group| &group.members);
    members.iter().map(|member| MemberBoot { vm: member.vm.clone(), boot: 9 }).collect()
}

fn change(record: &FabricRecord, (kind, pick, a, b): (u8, usize, u8, u8)) -> Transition {
    let target = target(record, pick);
    match kind {
        0 => Transition::Form { spec: spec(), vms: vec![vm(a), vm(b)] },
        1 => Transition::ConfirmLoading { boots: boots(record, &target), target },
        2 => Transition::Serve { target },
        3 => Transition::Break { target },
        4 => Transition::Swap { target, removed: vec![vm(a)], replacements: vec![vm(b)] },
        10 => Transition::Return { target, removed: vm(a), replacement: vm(b) },
        5 => {
            let from = self::target(record, pick + 1);
            Transition::Merge {
                target,
                donor: from,
                removed: vec![vm(a)],
                replacements: vec![vm(b)],
            }
        }
        6 => Transition::Rejoin { target },
        7 => Transition::Drain { target },
        8 => Transition::Dissolve { target },
        _ => Transition::SetSpares { spares: vec![vm(a)] },
    }
}

/// Checks that all states of `next` may follow those of `record`, and that a group whose members
/// changed, or which rejoined, has a new generation.
fn check_step(record: &FabricRecord, next: &FabricRecord) {
    assert!(next.verify().is_empty(), "{}", next.verify());
    assert!(next.last_generation >= record.last_generation);
    let members = next.groups.iter().flat_map(|group| &group.members);
    let mut vms: Vec<_> = members.map(|member| &member.vm).chain(&next.spares).collect();
    vms.sort();
    assert!(vms.windows(2).all(|pair| pair[0] != pair[1]), "a VM is listed twice: {vms:?}");
    for before in &record.groups {
        let after = next.group(&before.id);
        let state = after.map_or(GroupState::Dissolved, |group| group.state);
        assert!(
            state == before.state || before.state.can_transition_to(state),
            "{:?} became {state:?}",
            before.state
        );
        let Some(after) = after else { continue };
        let vms = |group: &GroupRecord| -> Vec<Box<str>> {
            group.members.iter().map(|member| member.vm.clone()).collect()
        };
        if vms(before) != vms(after)
            || (before.state, state) == (GroupState::Broken, GroupState::Forming)
        {
            assert!(after.generation > record.last_generation, "the generation was not raised");
        }
    }
}

proptest! {
    #[test]
    fn no_transition_leaves_the_state_table_or_assigns_a_vm_to_two_groups(
        steps in prop::collection::vec((0u8..12, 0usize..4, 0u8..6, 0u8..6), 1..60),
    ) {
        let mut record = FabricRecord::empty("f".into());
        for (i, step) in steps.into_iter().enumerate() {
            if let Ok(next) = apply(&record, &change(&record, step), i as u64 + 1) {
                check_step(&record, &next);
                let read = FabricRecord::try_from(&*next.to_text()).unwrap();
                prop_assert_eq!(&read, &next);
                record = next;
            }
        }
    }
}

#[test]
fn dissolved_is_final_and_only_loading_leads_to_serving() {
    for state in ALL_STATES {
        assert!(!GroupState::Dissolved.can_transition_to(state));
        assert_eq!(state.can_transition_to(GroupState::Serving), state == GroupState::Loading);
    }
}

#[test]
fn the_verifier_reports_every_finding_with_its_path() {
    let text =
        br#"{"fabric": "f", "write_id": 1, "last_generation": 3, "spares": ["a"], "groups": [
        {"id": "g", "replica": "r", "model": "m", "version": "v", "adapters": [], "generation": 3,
         "state": "serving", "members": [
            {"vm": "a", "boot": 0, "rank": 0, "role": "leader"},
            {"vm": "b", "boot": 5, "rank": 2, "role": "worker"}]},
        {"id": "g", "replica": "r", "model": "m", "version": "v", "adapters": [], "generation": 4,
         "state": "broken", "members": [{"vm": "b", "boot": 0, "rank": 0, "role": "worker"}]},
        {"id": "h", "replica": "r", "model": "m", "version": "v", "adapters": [], "generation": 3,
         "state": "dissolved", "members": []}]}"#;
    let findings = FabricRecord::try_from(&text[..]).unwrap_err();
    let paths: Vec<_> = findings.iter().map(|finding| &*finding.place).collect();
    assert_eq!(
        paths,
        [
            "$.groups[0].members[0].boot",
            "$.groups[0].members[1].rank",
            "$.groups[1].id",
            "$.groups[1].generation",
            "$.groups[1].members[0].role",
            "$.groups[1].members[0].vm",
            "$.groups[2].generation",
            "$.groups[2].state",
            "$.groups[2].members",
            "$.spares[0]",
        ]
    );
}

#[test]
fn a_transition_for_another_generation_is_refused() {
    let record = FabricRecord::empty("f".into());
    let record = apply(&record, &Transition::Form { spec: spec(), vms: vec![vm(0)] }, 1).unwrap();
    let stale = GroupRef { group: record.groups[0].id.clone(), generation: 7 };
    assert!(apply(&record, &Transition::Break { target: stale }, 2).is_err());
}

#[test]
fn records_of_the_largest_supported_domains_fit_the_value_limit() {
    // 10,000 replicas in 112 failure domains are 90 per domain, of at most 16 VMs each.
    let bytes = size::largest_record(90, 16, 32).to_text().len();
    println!("90 groups of 16 VMs: {bytes} bytes");
    assert!(bytes < size::SPLIT_RECORD_BYTES);
    // A domain ten times as large is split into cells, and no cell's record exceeds the largest
    // value.
    let cells = size::cells_needed(900, 16, 320);
    let mut fill = vec![0usize; cells as usize];
    for vm in 0..900 * 16 {
        fill[size::cell_of(&format!("vm-{vm}"), cells) as usize] += 1;
    }
    let groups = fill.iter().max().unwrap().div_ceil(16);
    let bytes = size::largest_record(groups, 16, 320).to_text().len();
    println!("{cells} cells, fullest {groups} groups: {bytes} bytes");
    assert!(bytes < size::MAX_RECORD_BYTES);
}
