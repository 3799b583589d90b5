//! A hub grants the retries of its pool, each once within a window.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use base::prelude::*;
use pass::budget::BudgetSettings;
use pass::prelude::*;
use pass::retry_ledger::GRANT_TTL;

const WINDOW: Duration = Duration::from_secs(10);
const SETTINGS: BudgetSettings = BudgetSettings { ratio: 0.2, slack: 100.0, window: WINDOW };
/// Retries of the pool of a hub that is alone: seven tenths of the slack.
const POOL: usize = 70;
const HUB: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_000);
const OTHER_HUB: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_001);

fn seconds(seconds: f64) -> Mono {
    Duration::from_secs_f64(seconds)
}

fn ledger(id: u64) -> RetryLedger {
    RetryLedger::new(id, &SETTINGS, 1, Mono::ZERO)
}

fn budget(boot: BootId) -> RetryBudget {
    RetryBudget::new(SETTINGS, boot)
}

fn report(budget: &mut RetryBudget, hub: SocketAddr, now: Mono) -> RetryReport {
    budget.report(hub, ["desk".into()].iter(), now)
}

/// Lets a process report to a hub and take what it grants; returns whether it grants anything.
fn exchange(budget: &mut RetryBudget, ledger: &mut RetryLedger, node: &str, now: Mono) -> bool {
    let report = report(budget, HUB, now);
    let grant = ledger.report(&node.into(), &report, now);
    if let Some(grant) = &grant {
        budget.accept(HUB, grant, now, now);
    }
    grant.is_some()
}

/// Uses retries for as long as a process gets any; returns how many it got.
fn use_all(budget: &mut RetryBudget, ledger: &mut RetryLedger, node: &str, now: Mono) -> usize {
    let mut used = 0;
    loop {
        exchange(budget, ledger, node, now);
        let before = used;
        while budget.try_take("desk", now).is_some() {
            used += 1;
        }
        if used == before {
            return used;
        }
    }
}

// Guards against a pool that is granted twice within a window, and against one that stays used.
#[test]
fn a_pool_is_granted_once_within_a_window() {
    let (mut ledger, mut budget) = (ledger(1), budget(1));
    assert_eq!(use_all(&mut budget, &mut ledger, "a", seconds(1.0)), POOL);
    assert_eq!(use_all(&mut budget, &mut ledger, "a", seconds(11.0)), 0);
    assert_eq!(use_all(&mut budget, &mut ledger, "a", seconds(11.1)), POOL);
}

// Guards against a process that starts again and gets what the earlier one has used.
#[test]
fn a_process_that_starts_again_gets_only_what_is_left() {
    let mut ledger = ledger(1);
    let mut used = 0;
    for boot in 1..=5 {
        used += use_all(&mut budget(boot), &mut ledger, "a", seconds(1.0));
    }
    assert_eq!(used, POOL);
}

// Guards against retries that a process used after it was last heard of.
#[test]
fn what_a_process_held_when_it_was_last_heard_of_counts_as_used() {
    let (mut ledger, mut lost, mut other) = (ledger(1), budget(1), budget(2));
    exchange(&mut lost, &mut ledger, "lost", seconds(1.0));
    let held = lost.account("desk", seconds(1.0)).granted as usize;
    assert_eq!(held, POOL / 2);
    let found_lost_at = seconds(1.0) + GRANT_TTL + seconds(0.1);
    let early = use_all(&mut other, &mut ledger, "other", found_lost_at);
    assert_eq!(early, POOL - held);
    assert_eq!(lost.account("desk", found_lost_at).granted, 0, "they have lapsed");
    let late = found_lost_at + WINDOW + seconds(0.2);
    assert_eq!(use_all(&mut other, &mut ledger, "other", late), POOL);
}

// Guards against a new hub that grants what its predecessor has granted within the window.
#[test]
fn a_hub_with_a_predecessor_waits_until_its_grants_have_left_the_window() {
    let lease = seconds(3.0);
    let waiting_time = RetryLedger::waiting_time(&SETTINGS, lease);
    assert!(waiting_time >= WINDOW + GRANT_TTL + lease);
    let mut ledger = RetryLedger::new(2, &SETTINGS, 1, waiting_time);
    let mut budget = budget(1);
    assert!(!exchange(&mut budget, &mut ledger, "a", waiting_time - seconds(0.1)));
    assert!(exchange(&mut budget, &mut ledger, "a", waiting_time));
}

// Guards against a message that arrives late and is answered with retries that nobody will report.
#[test]
fn a_report_that_arrives_after_a_later_one_is_granted_nothing() {
    let (mut ledger, mut budget) = (ledger(1), budget(1));
    let now = seconds(1.0);
    let early = report(&mut budget, HUB, now);
    assert!(exchange(&mut budget, &mut ledger, "a", now));
    assert_eq!(ledger.report(&"a".into(), &early, now), None);
}

// Guards against retries that are used twice, once out of each of two hubs' pools.
#[test]
fn a_process_asks_no_other_hub_while_its_grants_are_valid() {
    let (mut ledger, mut budget) = (ledger(1), budget(1));
    exchange(&mut budget, &mut ledger, "a", seconds(1.0));
    assert!(report(&mut budget, OTHER_HUB, seconds(1.1)).services.is_empty());
    let lapsed = seconds(1.1) + GRANT_TTL;
    assert_eq!(report(&mut budget, OTHER_HUB, lapsed).services.len(), 1);
}

// Guards against a lost answer, whose retries nobody has.
#[test]
fn retries_whose_grant_was_lost_are_granted_again() {
    let (mut ledger, mut budget) = (ledger(1), budget(1));
    let lost = report(&mut budget, HUB, seconds(1.0));
    assert!(ledger.report(&"a".into(), &lost, seconds(1.0)).is_some());
    assert_eq!(use_all(&mut budget, &mut ledger, "a", seconds(1.2)), POOL);
}

// Guards against uses that the hub dates before they happened, as they were paid for by another hub.
#[test]
fn what_another_hub_granted_is_not_charged_to_the_new_one() {
    let (mut old, mut new, mut budget) = (ledger(1), ledger(2), budget(1));
    exchange(&mut budget, &mut old, "a", seconds(1.0));
    let lapsed = seconds(1.1) + GRANT_TTL;
    let reported = report(&mut budget, HUB, lapsed);
    assert_eq!(reported.ledger, 0);
    let grant = new.report(&"a".into(), &reported, lapsed).expect("a grant");
    budget.accept(HUB, &grant, lapsed, lapsed);
    assert_eq!(use_all(&mut budget, &mut new, "a", lapsed), POOL);
}

// Guards against processes of an earlier version, which take a share of the slack without a grant.
#[test]
fn processes_that_send_no_reports_keep_their_part_of_the_pool() {
    let (mut ledger, mut budget) = (ledger(1), budget(1));
    ledger.note_without_report(&"earlier".into(), seconds(1.0));
    assert_eq!(use_all(&mut budget, &mut ledger, "a", seconds(1.0)), POOL / 2);
}

// Guards against a budget that a crowd of processes can't use, since each holds a part of it.
#[test]
fn what_most_processes_hold_shrinks_as_others_come() {
    let mut ledger = ledger(1);
    let mut budgets: Vec<RetryBudget> = (1..=20).map(budget).collect();
    for round in 0..3 {
        for (number, budget) in budgets.iter_mut().enumerate() {
            let now = seconds(1.0 + f64::from(round) * 0.1);
            exchange(budget, &mut ledger, &format!("n{number}"), now);
        }
    }
    let held = |budget: &mut RetryBudget| budget.account("desk", seconds(1.2)).granted;
    assert!(budgets.iter_mut().all(|budget| (1..=2).contains(&held(budget))));
}
