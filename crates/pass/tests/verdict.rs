//! What an answer means, and what may follow.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use pass::prelude::*;

fn weigh(status: u16, headers: &[(&HeaderName, &str)]) -> Verdict {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert((*name).clone(), HeaderValue::from_str(value).expect("a value"));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    Verdict::of(status, &map, Some("a-1"), "s-1", &Dialect::default())
}

#[test]
fn a_success_counts_only_with_the_own_id_and_a_signature() {
    let d = Dialect::default();
    let whole = [(&d.attempt, "a-1"), (&d.signature, "s")];
    assert_eq!(weigh(200, &whole), Verdict::Answered);
    assert_eq!(weigh(200, &[(&d.attempt, "a-2"), (&d.signature, "s")]), Verdict::Unknown);
    assert_eq!(weigh(200, &[(&d.attempt, "a-1")]), Verdict::Unknown);
    let encoding = http::header::CONTENT_ENCODING;
    let encoded = [whole[0], whole[1], (&encoding, "gzip")];
    assert_eq!(weigh(200, &encoded), Verdict::Unknown);
}

#[test]
fn only_what_says_so_was_not_run() {
    let d = Dialect::default();
    assert_eq!(weigh(503, &[(&d.attempt, "a-1"), (&d.not_run, "1")]), Verdict::Full);
    assert_eq!(weigh(421, &[]), Verdict::Misdirected);
    assert_eq!(weigh(503, &[(&d.attempt, "a-1")]), Verdict::Failed);
    assert_eq!(weigh(500, &[(&d.attempt, "a-1"), (&d.signature, "s")]), Verdict::Failed);
    assert_eq!(weigh(404, &[(&d.attempt, "a-1"), (&d.signature, "s")]), Verdict::Answered);
}

#[test]
fn what_may_have_run_is_not_sent_again_unless_it_may_be_repeated() {
    for verdict in [Verdict::Unknown, Verdict::Failed] {
        assert!(!verdict.may_retry(Repeat::AtMostOnce));
        assert!(verdict.may_retry(Repeat::Idempotent));
        assert!(verdict.may_retry(Repeat::Resumable));
        assert!(!verdict.is_not_run());
    }
    for verdict in [Verdict::NotSent, Verdict::Full, Verdict::Misdirected] {
        assert!(verdict.may_retry(Repeat::AtMostOnce));
        assert!(verdict.is_not_run());
    }
}

#[test]
fn a_refusal_for_the_sake_of_another_server_tells_that_the_group_stands_still() {
    let d = Dialect::default();
    let refused = (&d.not_run, "1");
    assert_eq!(weigh(503, &[refused]), Verdict::Full);
    assert_eq!(weigh(503, &[refused, (&d.fault_server, "s-1")]), Verdict::Full);
    assert_eq!(weigh(503, &[refused, (&d.fault_server, "s-2")]), Verdict::Broken);
}
