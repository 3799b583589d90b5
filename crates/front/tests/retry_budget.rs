//! The fleet stays within its retry budget, whatever its processes know of each other.

mod retry_fleet;

use base::prelude::*;
use pass::budget::BudgetSettings;
use proptest::prelude::*;
use retry_fleet::Event;
use retry_fleet::Fleet;
use retry_fleet::Scenario;
use retry_fleet::TICK;

/// Part of the slack that hubs grant.
const SLACK_USED: f64 = 0.7;

fn settings(slack: f64) -> BudgetSettings {
    BudgetSettings { ratio: 0.2, slack, window: Duration::from_secs(10) }
}

fn seconds(range: std::ops::Range<f64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_secs_f64)
}

fn share() -> impl Strategy<Value = f64> {
    prop_oneof![0.1..1.0, Just(1.0)]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        share().prop_map(|share| Event::Kill { share }),
        share().prop_map(|share| Event::Replace { share }),
        Just(Event::KillHubs),
        (share(), seconds(1.0..10.0))
            .prop_map(|(share, length)| Event::CutFromServers { share, length }),
        (share(), seconds(1.0..10.0))
            .prop_map(|(share, length)| Event::CutFromProcesses { share, length }),
        (seconds(1.0..10.0), any::<bool>())
            .prop_map(|(length, forgets)| Event::StoreAway { length, forgets }),
    ]
}

prop_compose! {
    fn scenario()(
        domains in 1_usize..4,
        processes_per_domain in 2_usize..20,
        slack in 50.0..400.0,
        per_second in 20.0..400.0,
        failing in prop_oneof![0.3..1.0, Just(1.0)],
        traffic_from in seconds(0.0..14.0),
        events in proptest::collection::vec((seconds(0.0..24.0), event()), 0..10),
        seed in any::<u64>(),
    ) -> Scenario {
        Scenario {
            domains,
            processes_per_domain,
            settings: settings(slack),
            per_second,
            failing,
            traffic_from,
            length: Duration::from_secs(28),
            events,
            seed,
        }
    }
}

fn check(scenario: Scenario) -> Result<(), TestCaseError> {
    let settings = scenario.settings;
    let record = Fleet::play(scenario);
    let (granted, pools) = (record.most_granted(settings.window), settings.slack * SLACK_USED);
    prop_assert!(granted as f64 <= pools, "{granted} granted retries, {pools} in all pools");
    if let Some((end, retries, allowed)) = record.worst_window(&settings) {
        prop_assert!(
            retries as f64 <= allowed,
            "{retries} retries in the window to {end:?}, allowed {allowed:.0}"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    // Guards against retries beyond the allowance of the fleet while its processes start, stop, are cut off,
    // hand requests over and lose their hubs.
    #[test]
    fn a_fleet_stays_within_its_retry_budget_whatever_happens_to_its_processes(
        scenario in scenario(),
    ) {
        check(scenario)?;
    }
}

fn quiet(traffic_from: f64) -> Scenario {
    Scenario {
        domains: 3,
        processes_per_domain: 27,
        settings: settings(346.0),
        per_second: 350.0,
        failing: 1.0,
        traffic_from: Duration::from_secs_f64(traffic_from),
        length: Duration::from_secs(24),
        events: Vec::new(),
        seed: 52,
    }
}

// Guards against a budget that holds because hardly anything is retried.
#[test]
fn a_fleet_in_calm_uses_more_than_half_of_its_retry_budget() {
    let scenario = quiet(14.0);
    let settings = scenario.settings;
    let record = Fleet::play(scenario);
    let (_, retries, allowed) = record.worst_window(&settings).expect("there are retries");
    assert!(retries as f64 > allowed / 2.0, "{retries} retries, allowed {allowed:.0}");
    assert!(record.retry_count() > 0);
}

// Guards against processes that share the slack only with those that a new hub has heard of.
#[test]
fn a_fleet_that_loses_its_hubs_again_and_again_stays_within_its_retry_budget()
-> Result<(), TestCaseError> {
    let losses = [14.2, 17.4, 20.6].map(|at| (Duration::from_secs_f64(at), Event::KillHubs));
    check(Scenario { events: losses.to_vec(), ..quiet(14.0) })
}

// Guards against processes that have the whole slack until they hear of others.
#[test]
fn a_fleet_that_starts_while_no_process_reaches_another_stays_within_its_retry_budget()
-> Result<(), TestCaseError> {
    let cut = Event::CutFromProcesses { share: 1.0, length: Duration::from_secs(8) };
    check(Scenario { events: vec![(TICK, cut)], ..quiet(0.5) })
}

// Guards against an account of retries that ends with its process.
#[test]
fn a_fleet_whose_processes_start_again_and_again_stays_within_its_retry_budget()
-> Result<(), TestCaseError> {
    let kills = [15.0, 17.0, 19.0, 21.0];
    let events = kills.map(|at| (Duration::from_secs_f64(at), Event::Kill { share: 0.9 }));
    check(Scenario { events: events.to_vec(), ..quiet(14.0) })
}

// Guards against requests that earn retries at two processes.
#[test]
fn a_fleet_that_hands_requests_over_stays_within_its_retry_budget() -> Result<(), TestCaseError> {
    let cut = Event::CutFromServers { share: 0.8, length: Duration::from_secs(9) };
    check(Scenario {
        settings: settings(0.0),
        per_second: 3_000.0,
        events: vec![(Duration::from_secs(14), cut)],
        ..quiet(14.0)
    })
}
