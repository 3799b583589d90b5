//! How responses are classified, and which outcomes may be retried.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use pass::outcome::promises_not_run;
use pass::prelude::*;

fn classify(status: u16, headers: &[(&HeaderName, &str)]) -> AttemptOutcome {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert((*name).clone(), HeaderValue::from_str(value).expect("a value"));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    AttemptOutcome::classify(status, &map, Some("a-1"), "s-1", &HeaderNames::default())
}

#[test]
fn a_success_needs_the_request_id_and_a_signature() {
    let d = HeaderNames::default();
    let complete = [(&d.attempt_id, "a-1"), (&d.signature, "s")];
    assert_eq!(classify(200, &complete), AttemptOutcome::Answered);
    assert_eq!(
        classify(200, &[(&d.attempt_id, "a-2"), (&d.signature, "s")]),
        AttemptOutcome::Unknown
    );
    assert_eq!(classify(200, &[(&d.attempt_id, "a-1")]), AttemptOutcome::Unknown);
    let encoding = http::header::CONTENT_ENCODING;
    let encoded = [complete[0], complete[1], (&encoding, "gzip")];
    assert_eq!(classify(200, &encoded), AttemptOutcome::Unknown);
}

#[test]
fn only_a_marked_response_means_not_run() {
    let d = HeaderNames::default();
    assert_eq!(classify(503, &[(&d.attempt_id, "a-1"), (&d.not_run, "1")]), AttemptOutcome::Full);
    assert_eq!(classify(421, &[]), AttemptOutcome::Misdirected);
    assert_eq!(classify(503, &[(&d.attempt_id, "a-1")]), AttemptOutcome::Failed);
    assert_eq!(
        classify(500, &[(&d.attempt_id, "a-1"), (&d.signature, "s")]),
        AttemptOutcome::Failed
    );
    assert_eq!(
        classify(404, &[(&d.attempt_id, "a-1"), (&d.signature, "s")]),
        AttemptOutcome::Answered
    );
}

// Guards against a status that promises callers "not run" being passed on although its server doesn't
// say so.
#[test]
fn a_status_that_promises_not_run_without_the_mark_is_a_failure() {
    let d = HeaderNames::default();
    for status in [408, 429, 503] {
        let own = [(&d.attempt_id, "a-1"), (&d.signature, "s")];
        assert_eq!(classify(status, &own), AttemptOutcome::Failed, "{status}");
        assert!(promises_not_run(StatusCode::from_u16(status).expect("a status")), "{status}");
        let marked = [own[0], (&d.not_run, "1")];
        assert_eq!(classify(status, &marked), AttemptOutcome::Full, "{status}");
    }
    for status in [200, 400, 404, 500, 502, 504] {
        let status = StatusCode::from_u16(status).expect("a status");
        assert!(!promises_not_run(status), "{status}");
    }
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_its_policy_allows() {
    for outcome in [AttemptOutcome::Unknown, AttemptOutcome::Failed] {
        assert!(!outcome.may_retry(ExecutionPolicy::AtMostOnce));
        assert!(outcome.may_retry(ExecutionPolicy::Idempotent));
        assert!(outcome.may_retry(ExecutionPolicy::Resumable));
        assert!(!outcome.is_not_run());
    }
    for outcome in [AttemptOutcome::NotSent, AttemptOutcome::Full, AttemptOutcome::Misdirected] {
        assert!(outcome.may_retry(ExecutionPolicy::AtMostOnce));
        assert!(outcome.is_not_run());
    }
}

#[test]
fn a_refusal_because_of_another_server_means_a_stalled_group() {
    let d = HeaderNames::default();
    let refused = (&d.not_run, "1");
    assert_eq!(classify(503, &[refused]), AttemptOutcome::Full);
    assert_eq!(classify(503, &[refused, (&d.fault_server, "s-1")]), AttemptOutcome::Full);
    assert_eq!(classify(503, &[refused, (&d.fault_server, "s-2")]), AttemptOutcome::Broken);
}
