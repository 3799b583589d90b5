//! Load reports: a hub adds up the loads that its clients and the other hubs report.

use base::prelude::*;
use front::load_reports::LoadReports;
use front::load_reports::Loads;
use pass::load::Load;
use pass::server_limit::LimitObservation;

fn loads(requests: u32) -> Loads {
    vec![(
        "a".into(),
        Load { requests, pending_prefill_tokens: u64::from(requests) * 10, ..Load::default() },
    )]
}

#[test]
fn fleet_total_leaves_out_the_asking_client() {
    let mut reports = LoadReports::default();
    let now = Duration::from_secs(1);
    reports.record_client(&"n1".into(), loads(1), now);
    reports.record_client(&"n2".into(), loads(2), now);
    reports.record_hub(&"h2".into(), loads(4), 3, now);
    let own = loads(8);
    assert_eq!(reports.fleet_total(&own, "n1", now), (loads(14), 6));
    assert_eq!(reports.fleet_total(&own, "other", now), (loads(15), 6));
    assert_eq!(
        reports.domain_total(&own, now),
        (loads(11), 3),
        "the domain total leaves out other hubs"
    );
}

#[test]
fn time_without_progress_is_the_minimum_over_all_processes() {
    let mut reports = LoadReports::default();
    let now = Duration::from_secs(1);
    let quiet = |quiet_ms| -> Loads {
        vec![("a".into(), Load { requests: 1, ms_since_data: quiet_ms, ..Load::default() })]
    };
    reports.record_client(&"n1".into(), quiet(Some(900)), now);
    reports.record_hub(&"h2".into(), quiet(None), 3, now);
    assert_eq!(reports.fleet_total(&Vec::new(), "", now).0[0].1.ms_since_data, Some(900));
    reports.record_client(&"n2".into(), quiet(Some(30)), now);
    assert_eq!(reports.fleet_total(&Vec::new(), "", now).0[0].1.ms_since_data, Some(30));
}

#[test]
fn reports_that_are_not_renewed_expire() {
    let mut reports = LoadReports::default();
    reports.record_client(&"n1".into(), loads(1), Duration::from_secs(1));
    reports.record_hub(&"h2".into(), loads(4), 3, Duration::from_secs(2));
    reports.expire(Duration::from_secs(3));
    let now = Duration::from_secs(3);
    assert_eq!(reports.fleet_total(&Vec::new(), "", now), (loads(4), 4));
}

// Guards against a limit that a server has withdrawn coming back with an old report.
#[test]
fn the_latest_observation_of_a_limit_counts_and_ages_with_its_report() {
    let mut reports = LoadReports::default();
    let limited = |per_second, age_ms| -> Loads {
        let limit = Some(LimitObservation { started_at_ms: 1, per_second, age_ms });
        vec![("a".into(), Load { limit, ..Load::default() })]
    };
    let at = Duration::from_millis;
    reports.record_client(&"n1".into(), limited(Some(2.0), 0), at(1_000));
    reports.record_client(&"n2".into(), limited(None, 50), at(1_300));
    let total = reports.fleet_total(&Vec::new(), "", at(1_400)).0;
    assert_eq!(total, limited(None, 150));
    assert_eq!(reports.fleet_total(&Vec::new(), "n2", at(1_400)).0, limited(Some(2.0), 400));
}
