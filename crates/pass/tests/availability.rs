//! Tests of when an endpoint may get a request again.

use base::prelude::*;
use pass::availability::Backoffs;
use pass::availability::Pauses;

const SECOND: Duration = Duration::from_secs(1);

// Guards against a pause that ends with a later, shorter one, or that a restarted server inherits.
#[test]
fn a_pause_holds_to_its_end_for_the_instance_that_asked() {
    let mut pauses = Pauses::default();
    pauses.record("s1", 7, 4 * SECOND, SECOND);
    pauses.record("s1", 7, SECOND, 2 * SECOND);
    assert_eq!(pauses.until("s1", 7), 5 * SECOND);
    assert_eq!(pauses.until("s1", 8), Mono::ZERO, "a restarted server hasn't asked");
    assert_eq!(pauses.until("s2", 7), Mono::ZERO);
}

// Guards against memory that grows with every server that ever asked for a pause.
#[test]
fn ended_pauses_are_forgotten() {
    let mut pauses = Pauses::default();
    for i in 0..5_000_u32 {
        pauses.record(&format!("s{i}"), 1, SECOND, SECOND * i);
    }
    let text = format!("{pauses:?}");
    assert!(text.matches("until").count() <= 1_025, "they are kept");
}

// Guards against an endpoint that fails for long being tried as often as one that failed once.
#[test]
fn backoffs_double_up_to_their_maximum_and_end_with_a_success() {
    let mut backoffs = Backoffs::default();
    let mut waits = Vec::new();
    for _ in 0..40 {
        backoffs.request_failed(SECOND);
        waits.push(backoffs.until() - SECOND);
    }
    assert!(waits[1] == waits[0] * 2 && waits[39] == 4 * SECOND, "{waits:?}");
    backoffs.request_succeeded();
    backoffs.request_failed(SECOND);
    assert_eq!(backoffs.until() - SECOND, waits[0]);
}
