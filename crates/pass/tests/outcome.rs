//! What an answer means, and what may follow.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use pass::prelude::*;

fn weigh(status: u16, headers: &[(&HeaderName, &str)]) -> AttemptOutcome {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert((*name).clone(), HeaderValue::from_str(value).expect("a value"));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    AttemptOutcome::classify(status, &map, Some("a-1"), "s-1", &HeaderNames::default())
}

#[test]
fn a_success_counts_only_with_the_own_id_and_a_signature() {
    let d = HeaderNames::default();
    let whole = [(&d.attempt_id, "a-1"), (&d.signature, "s")];
    assert_eq!(weigh(200, &whole), AttemptOutcome::Answered);
    assert_eq!(weigh(200, &[(&d.attempt_id, "a-2"), (&d.signature, "s")]), AttemptOutcome::Unknown);
    assert_eq!(weigh(200, &[(&d.attempt_id, "a-1")]), AttemptOutcome::Unknown);
    let encoding = http::header::CONTENT_ENCODING;
    let encoded = [whole[0], whole[1], (&encoding, "gzip")];
    assert_eq!(weigh(200, &encoded), AttemptOutcome::Unknown);
}

#[test]
fn only_what_says_so_was_not_run() {
    let d = HeaderNames::default();
    assert_eq!(weigh(503, &[(&d.attempt_id, "a-1"), (&d.not_run, "1")]), AttemptOutcome::Full);
    assert_eq!(weigh(421, &[]), AttemptOutcome::Misdirected);
    assert_eq!(weigh(503, &[(&d.attempt_id, "a-1")]), AttemptOutcome::Failed);
    assert_eq!(weigh(500, &[(&d.attempt_id, "a-1"), (&d.signature, "s")]), AttemptOutcome::Failed);
    assert_eq!(
        weigh(404, &[(&d.attempt_id, "a-1"), (&d.signature, "s")]),
        AttemptOutcome::Answered
    );
}

#[test]
fn what_may_have_run_is_not_sent_again_unless_it_may_be_repeated() {
    for verdict in [AttemptOutcome::Unknown, AttemptOutcome::Failed] {
        assert!(!verdict.may_retry(ExecutionPolicy::AtMostOnce));
        assert!(verdict.may_retry(ExecutionPolicy::Idempotent));
        assert!(verdict.may_retry(ExecutionPolicy::Resumable));
        assert!(!verdict.is_not_run());
    }
    for verdict in [AttemptOutcome::NotSent, AttemptOutcome::Full, AttemptOutcome::Misdirected] {
        assert!(verdict.may_retry(ExecutionPolicy::AtMostOnce));
        assert!(verdict.is_not_run());
    }
}

#[test]
fn a_refusal_for_the_sake_of_another_server_tells_that_the_group_stands_still() {
    let d = HeaderNames::default();
    let refused = (&d.not_run, "1");
    assert_eq!(weigh(503, &[refused]), AttemptOutcome::Full);
    assert_eq!(weigh(503, &[refused, (&d.fault_server, "s-1")]), AttemptOutcome::Full);
    assert_eq!(weigh(503, &[refused, (&d.fault_server, "s-2")]), AttemptOutcome::Broken);
}
