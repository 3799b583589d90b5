//! A poison request, which crashes each group that runs it, sent 20 times through eight processes.

use std::time::Duration;

use lab::measure::poison::Options;
use lab::measure::poison::simulate;

#[test]
fn poison_request_crashes_at_most_two_groups_and_fails_no_other_request() {
    for seed in 0..8 {
        let outcome = simulate(Options::default(), seed);
        assert!(outcome.crashes <= 2, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.quarantine_refusals, 20, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.background_lost, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn poison_request_crashes_at_most_two_groups_while_gossip_takes_seconds() {
    for seed in 0..8 {
        let max_propagation_delay = Duration::from_secs(3);
        let outcome = simulate(Options { max_propagation_delay, ..Options::default() }, seed);
        assert!(outcome.crashes <= 2, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.background_lost, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn poison_request_resent_for_a_minute_crashes_at_most_two_groups() {
    for seed in 0..4 {
        let resend_interval = Some(Duration::from_secs(3));
        let outcome = simulate(Options { resend_interval, ..Options::default() }, seed);
        assert!(outcome.crashes <= 2, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.background_lost, 0, "seed {seed}: {outcome:?}");
    }
}
