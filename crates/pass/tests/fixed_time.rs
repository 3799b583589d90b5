//! The fixed time of a flow, learnt from the times of first events.

use base::prelude::*;
use pass::fixed_time::FixedTime;

const FIXED: Duration = Duration::from_millis(100);
const EXPLAINED: Duration = Duration::from_millis(60);
/// Time between two first events.
const GAP: Duration = Duration::from_millis(200);

/// Records `count` first events that take `beyond` more than the load explains; returns the time of the last.
fn record(fixed: &mut FixedTime, beyond: Duration, count: u32, from: Mono) -> Mono {
    for i in 0..count {
        fixed.record(EXPLAINED + beyond, EXPLAINED, from + GAP * i);
    }
    from + GAP * count
}

// Without the fixed time, forecasts were half of what came, and hopeless requests were sent.
#[test]
fn the_time_beyond_what_load_explains_is_learnt() {
    let mut fixed = FixedTime::default();
    assert_eq!(fixed.estimate(), Duration::ZERO);
    record(&mut fixed, FIXED, 4, Mono::ZERO);
    assert_eq!(fixed.estimate(), FIXED);
}

// Events of groups that are slow or stalled would make all forecasts too long.
#[test]
fn a_minority_of_slow_groups_does_not_count() {
    let mut fixed = FixedTime::default();
    let mut now = record(&mut fixed, FIXED, 1, Mono::ZERO);
    for _ in 0..10 {
        now = record(&mut fixed, FIXED * 8, 1, now);
        now = record(&mut fixed, FIXED, 1, now);
    }
    assert_eq!(fixed.estimate(), FIXED);
}

// An estimate that never falls again would keep requests from a service that became faster.
#[test]
fn a_change_is_followed_within_seconds() {
    let mut fixed = FixedTime::default();
    let now = record(&mut fixed, FIXED * 3, 24, Mono::ZERO);
    record(&mut fixed, FIXED, 8, now);
    assert_eq!(fixed.estimate(), FIXED);
    let now = record(&mut fixed, FIXED * 3, 24, now + GAP * 8);
    assert!(now < Duration::from_secs(13));
    assert_eq!(fixed.estimate(), FIXED * 3);
}

// A first event can come sooner than the load lets expect.
#[test]
fn events_that_come_early_give_no_negative_time() {
    let mut fixed = FixedTime::default();
    fixed.record(EXPLAINED / 2, EXPLAINED, Mono::ZERO);
    assert_eq!(fixed.estimate(), Duration::ZERO);
}
