//! Which servers get new requests while failure domains are evacuated and return.

use base::prelude::*;
use pass::evacuation::EvacuationState;
use pass::evacuation::Evacuations;

const BOUND: Duration = Duration::from_secs(5);
const FRESH: Option<Duration> = Some(Duration::from_millis(200));
const SERVERS: usize = 1_000;

fn at(millis: u64) -> Mono {
    Mono::ZERO + Duration::from_secs(100) + Duration::from_millis(millis)
}

fn table() -> Evacuations {
    let mut table = Evacuations::with_seed(7);
    table.set_bound(BOUND);
    table
}

/// Returns the share of servers of `domain` that get new requests.
fn share(table: &mut Evacuations, domain: &str, now: Mono) -> f64 {
    table.update(now);
    let allowed = (0..SERVERS).filter(|i| table.allows(domain, &format!("s{i}")));
    allowed.count() as f64 / SERVERS as f64
}

fn assert_near(found: f64, expected: f64) {
    assert!((found - expected).abs() < 0.06, "{found} instead of {expected}");
}

// Guards against requests that reach a domain after the bound, and against a sudden loss of capacity
// while there is time.
#[test]
fn requests_stop_linearly_within_two_fifths_of_the_bound_if_rows_were_fresh() {
    let mut table = table();
    table.request("a", 5, FRESH, at(0));
    assert_near(share(&mut table, "a", at(0)), 1.0);
    assert_near(share(&mut table, "a", at(500)), 0.75);
    assert_near(share(&mut table, "a", at(1_500)), 0.25);
    assert_eq!(share(&mut table, "a", at(2_000)), 0.0);
    assert_eq!(share(&mut table, "a", at(900_000)), 0.0);
    assert_eq!(share(&mut table, "b", at(2_000)), 1.0);
}

// Guards against a process that learns late, or has just started, and takes its time on top.
#[test]
fn requests_stop_at_once_if_rows_were_old_or_none_or_no_bound_is_set() {
    for age in [None, Some(Duration::from_millis(1_000))] {
        let mut table = table();
        table.request("a", 5, age, at(0));
        assert_eq!(share(&mut table, "a", at(0)), 0.0);
    }
    let mut unbounded = Evacuations::with_seed(7);
    unbounded.request("a", 5, FRESH, at(0));
    assert_eq!(share(&mut unbounded, "a", at(0)), 0.0);
}

// Guards against a jump of requests to servers that may be cold, and against a canceled evacuation that
// stays in effect.
#[test]
fn requests_return_linearly_within_a_second_from_any_share() {
    let mut table = table();
    table.request("a", 5, FRESH, at(0));
    table.cancel("a", 6, at(1_000));
    assert_near(share(&mut table, "a", at(1_000)), 0.5);
    assert_near(share(&mut table, "a", at(1_250)), 0.75);
    table.request("a", 7, FRESH, at(1_250));
    assert_near(share(&mut table, "a", at(2_250)), 0.375);
    assert_eq!(share(&mut table, "a", at(3_250)), 0.0);
    table.cancel("a", 8, at(4_000));
    assert_near(share(&mut table, "a", at(4_300)), 0.3);
    assert_eq!(share(&mut table, "a", at(5_000)), 1.0);
}

// Guards against a repeated row that starts the ramp anew, and against the cancellation of another
// domain's evacuation.
#[test]
fn domains_are_independent_and_a_repeated_request_changes_no_time() {
    let mut table = table();
    table.request("a", 5, FRESH, at(0));
    table.request("b", 6, FRESH, at(1_000));
    table.request("a", 7, FRESH, at(1_900));
    assert_eq!(share(&mut table, "a", at(2_000)), 0.0);
    assert_near(share(&mut table, "b", at(2_000)), 0.5);
    table.cancel("b", 8, at(2_000));
    table.cancel("none", 9, at(2_000));
    assert_eq!(share(&mut table, "a", at(9_000)), 0.0);
    assert_eq!(share(&mut table, "b", at(9_000)), 1.0);
    assert!(table.is_evacuating("a") && !table.is_evacuating("b"));
}

// Guards against log records that are missing or repeated, and against domains that are never forgotten.
#[test]
fn each_change_of_state_is_returned_once() {
    let mut table = table();
    let mut seen = Vec::new();
    for millis in (0..10_000).step_by(100) {
        match millis {
            0 => table.request("a", 5, FRESH, at(millis)),
            5_000 => table.cancel("a", 6, at(millis)),
            _ => table.update(at(millis)),
        }
        seen.extend(table.take_changes().into_iter().map(|c| (millis, c.state, c.revision)));
    }
    let expected = [
        (0, EvacuationState::Leaving, 5),
        (2_000, EvacuationState::Evacuated, 5),
        (5_000, EvacuationState::Returning, 6),
        (6_000, EvacuationState::Open, 6),
    ];
    assert_eq!(seen, expected);
    assert!(table.is_empty());
}
