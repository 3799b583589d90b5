//! Tests of the paths to backend servers: when a process counts as cut off, and when it returns.

use base::prelude::*;
use pass::paths::Check;
use pass::paths::CheckTarget;
use pass::paths::Paths;
use pass::paths::spread_over_domains;
use pass::prelude::*;

const START: Mono = Duration::from_secs(10);
/// Time between two steps of a test, longer than that between any two checks.
const STEP: Duration = Duration::from_millis(600);

fn cut_off() -> Paths {
    let mut paths = Paths::default();
    paths.connect_failed("s1", 1, START);
    assert_eq!(paths.check_ended(0, 3, START), Some(Reach::CutOff));
    paths
}

// Guards against a process that is taken for cut off since one server ended.
#[test]
fn one_failure_is_no_cut_if_others_are_reached() {
    let mut paths = Paths::default();
    paths.connect_failed("s1", 1, START);
    assert_eq!(paths.reach(), Reach::Checking);
    assert_eq!(paths.due_check(Duration::ZERO, START), Some(Check::Full));
    assert_eq!(paths.check_ended(1, 3, START), None);
    assert_eq!(paths.reach(), Reach::Open);
    paths.connect_failed("s2", 1, START + Duration::from_millis(1));
    assert_eq!(paths.reach(), Reach::Open, "a check has just ended");
}

// Guards against a cut that begins just after a check and is noticed only when the next one may be made.
#[test]
fn several_failures_after_a_check_start_another_at_once() {
    let mut paths = Paths::default();
    paths.connect_failed("s1", 1, START);
    assert_eq!(paths.check_ended(3, 3, START), None);
    for server in ["s2", "s3"] {
        assert_eq!(paths.reach(), Reach::Open);
        paths.connect_failed(server, 1, START + Duration::from_millis(1));
    }
    assert_eq!(paths.reach(), Reach::Checking);
}

// Guards against a process that goes back to its own paths while they come and go.
#[test]
fn a_cut_ends_after_two_good_checks_in_a_row() {
    let mut paths = cut_off();
    let mut now = START;
    for (reached, expected) in [(3, None), (1, None), (2, None), (3, Some(Reach::Open))] {
        assert_eq!(paths.due_check(Duration::ZERO, now), None, "{now:?}");
        now += STEP;
        assert_eq!(paths.due_check(Duration::ZERO, now), Some(Check::Full));
        assert_eq!(paths.check_ended(reached, 3, now), expected, "{reached} of 3 reached");
    }
}

// Guards against a process without servers that counts as cut off.
#[test]
fn a_check_without_servers_shows_no_cut() {
    let mut paths = Paths::default();
    paths.suspect(START);
    assert_eq!(paths.check_ended(0, 0, START), None);
    assert_eq!(paths.reach(), Reach::Open);
}

// Guards against a cut that only shows as silence, and against checks without end while one server takes
// its time.
#[test]
fn silence_on_all_connections_is_checked_and_not_over_and_over() {
    let mut paths = Paths::default();
    let silence = Duration::from_millis(250);
    paths.data_received(START);
    assert_eq!(paths.due_check(Duration::ZERO, START), None);
    assert_eq!(paths.due_check(silence, START), Some(Check::Full));
    paths.check_ended(3, 3, START);
    assert_eq!(paths.due_check(silence, START + silence), None);
    assert_eq!(paths.due_check(silence * 3, START + STEP), Some(Check::Full));
}

// Guards against an idle process that learns of a cut from its next caller.
#[test]
fn a_process_without_requests_connects_to_a_server_now_and_then() {
    let mut paths = Paths::default();
    paths.data_received(START);
    assert_eq!(paths.due_check(Duration::ZERO, START + STEP), None);
    assert_eq!(paths.due_check(Duration::ZERO, START + STEP * 2), Some(Check::Idle));
}

// Guards against a crashed server that counts as reached by others, and against a restarted one that counts
// as out of reach.
#[test]
fn a_server_is_unreachable_only_while_others_reach_the_same_instance() {
    let mut paths = Paths::default();
    paths.connect_failed("s1", 1, START);
    paths.check_ended(3, 3, START);
    assert!(!paths.is_unreachable("s1", 1), "it may have ended");
    paths.reached_elsewhere(&["s1".into()]);
    assert!(paths.is_unreachable("s1", 1));
    assert!(!paths.is_unreachable("s1", 2), "another instance");
    paths.connect_failed("s1", 1, START + STEP);
    assert!(paths.is_unreachable("s1", 1));
    paths.connected("s1", START + STEP);
    assert!(!paths.is_unreachable("s1", 1));
}

// Guards against a check that asks only servers which have their failure in common.
#[test]
fn a_check_connects_to_servers_of_different_domains() {
    let target = |number: u16, domain: &str| CheckTarget {
        server: format!("s{number}").into(),
        started_at_ms: 1,
        address: ([127, 0, 0, 1], number).into(),
        failure_domain: domain.into(),
    };
    let servers: Vec<CheckTarget> =
        (0..9).map(|number| target(number, ["a", "b", "c"][usize::from(number) / 3])).collect();
    for draw in 0..9 {
        let chosen = spread_over_domains(servers.clone(), 3, draw);
        let mut domains: Vec<&str> = chosen.iter().map(|target| &*target.failure_domain).collect();
        domains.sort_unstable();
        assert_eq!(domains, ["a", "b", "c"]);
    }
    assert_eq!(spread_over_domains(servers[..1].to_vec(), 3, 7).len(), 1);
}
