//! Load reports: a hub adds up the loads that its clients and the other hubs report.

use base::prelude::*;
use front::load_reports::LoadReports;
use front::load_reports::Loads;
use pass::endpoints::Load;

fn loads(requests: u32) -> Loads {
    vec![(
        "a".into(),
        Load { requests, pending_prefill_tokens: u64::from(requests) * 10, ms_since_data: None },
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
    assert_eq!(reports.fleet_total(&own, "n1"), (loads(14), 6));
    assert_eq!(reports.fleet_total(&own, "other"), (loads(15), 6));
    assert_eq!(
        reports.domain_total(&own),
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
    assert_eq!(reports.fleet_total(&Vec::new(), "").0[0].1.ms_since_data, Some(900));
    reports.record_client(&"n2".into(), quiet(Some(30)), now);
    assert_eq!(reports.fleet_total(&Vec::new(), "").0[0].1.ms_since_data, Some(30));
}

#[test]
fn reports_that_are_not_renewed_expire() {
    let mut reports = LoadReports::default();
    reports.record_client(&"n1".into(), loads(1), Duration::from_secs(1));
    reports.record_hub(&"h2".into(), loads(4), 3, Duration::from_secs(2));
    reports.expire(Duration::from_secs(3));
    assert_eq!(reports.fleet_total(&Vec::new(), ""), (loads(4), 4));
}
