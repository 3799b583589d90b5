//! Tests of what backend servers say of themselves in the headers of a response.

use base::prelude::*;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header::RETRY_AFTER;
use pass::prelude::*;
use pass::server_notice::MAX_PAUSE;
use pass::server_notice::ServerNotice;

/// Reads a response with one header; returns the notice, and whether there was a finding.
fn read(status: StatusCode, name: &HeaderName, value: &'static str) -> (ServerNotice, bool) {
    let headers: HeaderMap =
        [(name.clone(), HeaderValue::from_static(value))].into_iter().collect();
    let mut findings = Findings::default();
    let notice = ServerNotice::read(status, &headers, &HeaderNames::default(), &mut findings);
    (notice, !findings.is_empty())
}

fn limit(value: &'static str) -> (Option<f64>, bool) {
    let (notice, invalid) = read(StatusCode::OK, &HeaderNames::default().server_limit, value);
    (notice.limit, invalid)
}

fn leaving(value: &'static str) -> (bool, bool) {
    let (notice, invalid) = read(StatusCode::OK, &HeaderNames::default().leaving, value);
    (notice.is_leaving, invalid)
}

fn pause(value: &'static str) -> (Option<Duration>, bool) {
    let (notice, invalid) = read(StatusCode::SERVICE_UNAVAILABLE, &RETRY_AFTER, value);
    (notice.pause, invalid)
}

#[test]
fn a_response_without_these_headers_says_nothing() {
    let (headers, names) = (HeaderMap::new(), HeaderNames::default());
    let mut findings = Findings::default();
    let notice = ServerNotice::read(StatusCode::OK, &headers, &names, &mut findings);
    assert_eq!(notice, ServerNotice::default());
    assert!(findings.is_empty());
}

// Guards against an unreadable limit being taken as none, or as zero.
#[test]
fn a_limit_that_is_no_rate_is_a_finding() {
    for (text, expected) in [("2.2", 2.2), (" 40 ", 40.0), ("0", 0.0)] {
        assert_eq!(limit(text), (Some(expected), false), "{text}");
    }
    for text in ["", "many", "-1", "NaN", "inf", "2,2"] {
        assert_eq!(limit(text), (None, true), "{text}");
    }
}

// Guards against a server being given up for a header that doesn't say that it leaves.
#[test]
fn only_the_value_one_says_that_a_server_is_leaving() {
    for (text, expected) in [("1", (true, false)), (" 1 ", (true, false)), ("0", (false, false))] {
        assert_eq!(leaving(text), expected, "{text}");
    }
    for text in ["", "yes", "2", "-1", "NaN", "1, 1"] {
        assert_eq!(leaving(text), (false, true), "{text}");
    }
}

// Guards against a pause that is misread: a short one as none, a huge one as an overflow, or a date as
// a number of seconds.
#[test]
fn a_pause_is_read_in_seconds_and_bounded() {
    for (text, seconds) in [("2", 2.0), ("0.25", 0.25), (" 7 ", 7.0), ("1e1", 10.0)] {
        assert_eq!(pause(text), (Some(Duration::from_secs_f64(seconds)), false), "{text}");
    }
    assert_eq!(pause("0"), (None, false), "no pause");
    for text in ["7200", "1e300", "99999999999999999999"] {
        assert_eq!(pause(text), (Some(MAX_PAUSE), false), "{text}");
    }
    for text in ["", "-3", "soon", "inf", "NaN", "Wed, 21 Oct 2015 07:28:00 GMT", "1, 2"] {
        assert_eq!(pause(text), (None, true), "{text}");
    }
    assert_eq!(read(StatusCode::OK, &RETRY_AFTER, "2").0.pause, None, "only a 503 asks for one");
}
