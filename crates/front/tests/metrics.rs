//! The metrics of a process.

use front::metrics::Metrics;
use pass::admission::Shares;
use pass::prelude::*;

// Guards against shares of flows that are gone, and against a gauge that hides the priority.
#[test]
fn admitted_shares_are_shown_by_flow_and_priority() {
    let metrics = Metrics::new();
    let flow = ("assistant".into(), Some("large".into()));
    let shares = Shares::divide(0.5, [10.0, 0.0, 10.0]);
    metrics.set_admitted_shares([(&flow, &shares)].into_iter());
    let text = metrics.text();
    let line = r#"samphire_admitted_share{model="large",priority="0",service="assistant"} "#;
    assert!(text.contains(line) && text.contains(r#"priority="2""#), "{text}");
    metrics.set_admitted_shares(std::iter::empty());
    assert!(!metrics.text().contains("samphire_admitted_share{"));
}

// Guards against retries that can't be added up over the fleet.
#[test]
fn retries_are_counted_by_service_and_by_what_pays_for_them() {
    let metrics = Metrics::new();
    for source in [Some(RetrySource::Requests), Some(RetrySource::Grant), None] {
        metrics.record_retry("assistant", source);
    }
    let text = metrics.text();
    for state in ["earned", "granted", "denied"] {
        let line = format!(r#"samphire_retries_total{{service="assistant",state="{state}"}} 1"#);
        assert!(text.contains(&line), "{text}");
    }
}
