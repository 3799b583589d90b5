//! The table of reports: its groups are those that all reports show, at a cost that follows the
//! change.

use std::collections::BTreeMap;

use base::prelude::*;
use form::prelude::*;
use form::server_table::OVERWRITTEN_TTL;
use proptest::prelude::*;

const SERVICE: &str = "assistant";

fn server(id: &str, report_number: u64, membership: Option<Membership>) -> Server {
    Server {
        id: id.into(),
        started_at_ms: 1,
        report_number,
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".into(),
        fabric: Some("f".into()),
        slots: 4,
        state: ServerState::Ready,
        warmup_remaining: Duration::ZERO,
        model: Some("large".into()),
        staged_models: Vec::new(),
        membership,
    }
}

fn member(group: &str, rank: usize, phase: Phase) -> Option<Membership> {
    Some(Membership { group: group.into(), epoch: 1, rank, phase })
}

/// A change of one server's report.
#[derive(Clone, Debug)]
enum Change {
    Report { server: u8, group: Option<u8>, rank: usize, phase: Phase, draining: bool },
    Missing { server: u8 },
    Wait { seconds: u64 },
}

fn change() -> impl Strategy<Value = Change> {
    let phase = prop_oneof![Just(Phase::Joining), Just(Phase::Ready), Just(Phase::Open)];
    let report = (0..8_u8, prop::option::of(0..3_u8), 0..3_usize, phase, any::<bool>());
    prop_oneof![
        6 => report.prop_map(|(server, group, rank, phase, draining)| Change::Report {
            server, group, rank, phase, draining,
        }),
        3 => (0..8_u8).prop_map(|server| Change::Missing { server }),
        1 => (1..90_u64).prop_map(|seconds| Change::Wait { seconds }),
    ]
}

proptest! {
    // Guards against groups that differ from what the reports show, after any series of changes.
    #[test]
    fn the_groups_equal_those_reconstructed_from_all_reports(
        changes in prop::collection::vec(change(), 1..60),
    ) {
        let mut table = ServerTable::default();
        let mut now = Duration::ZERO;
        for (order, change) in changes.into_iter().enumerate() {
            match change {
                Change::Report { server: id, group, rank, phase, draining } => {
                    let membership =
                        group.and_then(|group| member(&format!("g{group}"), rank, phase));
                    let mut report = server(&format!("s{id}"), order as u64, membership);
                    if draining {
                        report.state = ServerState::Draining;
                    }
                    table.report(report);
                }
                Change::Missing { server } => {
                    table.report_missing(&format!("s{server}"), now);
                }
                Change::Wait { seconds } => now += Duration::from_secs(seconds),
            }
            let missing = table.missing().values().map(|missing| &missing.server);
            let expected =
                ObservedGroups::from_reports(SERVICE, table.servers().values(), missing);
            let groups = table.groups(SERVICE).cloned().unwrap_or_default();
            prop_assert_eq!(groups, expected);
        }
    }
}

#[test]
fn a_report_that_says_nothing_new_changes_no_group() {
    let mut table = ServerTable::default();
    let report = server("s0", 1, member("g0", 0, Phase::Ready));
    assert_eq!(table.report(report.clone()).map(|changed| changed.len()), Some(1));
    assert_eq!(table.report(report), None);
}

#[test]
fn a_server_that_changes_its_group_changes_both() {
    let mut table = ServerTable::default();
    table.report(server("s0", 1, member("g0", 0, Phase::Open)));
    let changed = table.report(server("s0", 2, member("g1", 0, Phase::Ready)));
    let heads: BTreeMap<GroupId, Option<ServerId>> = changed
        .expect("news")
        .into_iter()
        .map(|changed| (changed.key.0, changed.old_head))
        .collect();
    let expected = BTreeMap::from([("g0".into(), Some("s0".into())), ("g1".into(), None)]);
    assert_eq!(heads, expected);
}

// Pattern: a fabric domain goes dark in a large fleet, so that many rows change at once. Rebuilding
// all groups for each row stopped a small VM for seconds.
#[test]
fn a_dark_fabric_domain_reconstructs_only_the_groups_of_its_servers() {
    const SERVERS: usize = 1_095;
    const DOMAIN: usize = 73;
    const GROUP_SIZE: usize = 32;
    let mut table = ServerTable::default();
    for i in 0..SERVERS {
        let membership = member(&format!("g{}", i / GROUP_SIZE), i % GROUP_SIZE, Phase::Open);
        table.report(server(&format!("s{i:04}"), 1, membership));
    }
    for i in 0..DOMAIN {
        let changed = table.report_missing(&format!("s{i:04}"), Duration::ZERO);
        let groups: Vec<GroupId> = changed.into_iter().flatten().map(|group| group.key.0).collect();
        assert_eq!(groups, [format!("g{}", i / GROUP_SIZE).into()]);
    }
}

// Guards against a leaving server that gets work again because a report of the same instance still
// says that it is ready.
#[test]
fn a_leaving_server_counts_as_draining_until_its_next_start() {
    let mut table = ServerTable::default();
    table.report(server("s0", 1, member("g0", 0, Phase::Open)));
    let changed = table.set_leaving("s0", 1).expect("news");
    assert_eq!(changed.len(), 1, "its group is reconstructed");
    assert_eq!(table.set_leaving("s0", 1), None, "no news");
    let state = |table: &ServerTable| table.servers()["s0"].state;
    assert_eq!(state(&table), ServerState::Draining);
    table.report(server("s0", 2, member("g0", 0, Phase::Open)));
    assert_eq!(state(&table), ServerState::Draining);
    table.report_missing("s0", Duration::ZERO);
    table.report(server("s0", 3, None));
    assert_eq!(state(&table), ServerState::Draining, "its report had only lapsed");
    table.report(Server { started_at_ms: 9, ..server("s0", 0, None) });
    assert_eq!(state(&table), ServerState::Ready, "a new instance");
    assert_eq!(table.set_leaving("s0", 1), None, "no news of the instance that reports now");
    assert_eq!(state(&table), ServerState::Ready, "an earlier instance had left");
}

// Guards against an unusable entry of another writer that replaces what a server said, or keeps or brings
// back one that has left.
#[test]
fn an_overwritten_report_holds_for_a_while() {
    let mut table = ServerTable::default();
    let at = |millis: u64| Duration::from_millis(millis);
    let ttl = OVERWRITTEN_TTL.as_millis() as u64;
    table.report(server("s1", 0, None));
    table.report_overwritten("s1", at(0));
    table.report_overwritten("s1", at(ttl - 1));
    assert!(table.servers().contains_key("s1"), "the last report holds");
    assert!(table.overwritten_for_long(at(ttl - 1)).is_empty());
    assert_eq!(table.overwritten_for_long(at(ttl)), ["s1".into()], "since the first entry");
    // That it leaves is no report.
    table.set_leaving("s1", 1);
    assert_eq!(table.overwritten_for_long(at(ttl)), ["s1".into()]);
    table.report(server("s1", 0, None));
    assert!(table.overwritten_for_long(at(2 * ttl)).is_empty(), "it reported again");
    table.report_missing("s1", at(ttl));
    table.report_overwritten("s1", at(ttl));
    assert!(!table.servers().contains_key("s1"), "an entry brings no server back");
    assert!(table.overwritten_for_long(at(3 * ttl)).is_empty());
}
