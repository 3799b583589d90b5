//! One request that crashes its groups, sent 20 times over eight processes.

use std::time::Duration;

use lab::measure::poison::Options;
use lab::measure::poison::simulate;

#[test]
fn twenty_sends_over_eight_processes_crash_two_groups_and_lose_no_innocent() {
    for seed in 0..8 {
        let outcome = simulate(Options::default(), seed);
        assert!(outcome.crashes <= 2, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.quarantine_refusals, 20, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.background_lost, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn two_crashes_at_most_also_while_facts_and_views_take_seconds() {
    for seed in 0..8 {
        let spread = Duration::from_secs(3);
        let outcome =
            simulate(Options { max_propagation_delay: spread, ..Options::default() }, seed);
        assert!(outcome.crashes <= 2, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.background_lost, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn a_caller_that_comes_back_for_a_minute_crashes_two_groups() {
    for seed in 0..4 {
        let impatience = Some(Duration::from_secs(3));
        let outcome = simulate(Options { resend_interval: impatience, ..Options::default() }, seed);
        assert!(outcome.crashes <= 2, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.background_lost, 0, "seed {seed}: {outcome:?}");
    }
}
