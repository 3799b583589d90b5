//! Tests of parsing traces.

use base::trace::Trace;

#[test]
fn all_errors_of_a_trace_are_reported_with_their_lines() {
    let text = r#"{"trace": "group", "about": "faults"}
{"at_ms": 5, "event": 1}
{"at_ms": 4, "event": 1}
{"at_ms": 6}
{"at_ms": 7, "expect": 1, "other": 2}"#;
    let findings = Trace::try_from(text).unwrap_err();
    let places: Vec<_> = findings.iter().map(|finding| &*finding.place).collect();
    assert_eq!(places, ["line 3", "line 4", "line 5"]);
}
