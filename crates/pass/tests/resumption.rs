//! Which responses and which of their events go on with a stream that has broken off.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_ENCODING;
use http::header::CONTENT_TYPE;
use pass::events::Event;
use pass::events::EventSplitter;
use pass::prelude::*;
use pass::resumption::Mismatch;
use pass::resumption::NextEvent;
use proptest::prelude::*;

fn headers(all: &[(&HeaderName, &str)]) -> HeaderMap {
    let value = |text: &str| HeaderValue::from_str(text).expect("a value");
    all.iter().map(|(name, text)| ((*name).clone(), value(text))).collect()
}

fn check(media: Option<&str>, status: u16, all: &[(&HeaderName, &str)]) -> Result<(), Mismatch> {
    let first: Vec<_> = media.iter().map(|media| (&CONTENT_TYPE, *media)).collect();
    let head = StreamHead::of(&headers(&first));
    let status = StatusCode::from_u16(status).expect("a status");
    head.check(status, &headers(all), Some("a-1"), &HeaderNames::default())
}

fn event(text: &str) -> Event {
    let mut events = EventSplitter::default();
    assert!(events.push(text.as_bytes()));
    events.next_event().expect("a complete event")
}

fn position(texts: &[&str]) -> StreamPosition {
    let mut position = StreamPosition::default();
    texts.iter().for_each(|text| position.advance(&event(text)));
    position
}

// Guards against an error, or a response to another request, that is passed on as the rest of a stream
// (issue 45).
#[test]
fn only_a_signed_event_stream_of_this_attempt_goes_on_with_a_stream() {
    const EVENTS: Option<&str> = Some("text/event-stream");
    let d = HeaderNames::default();
    let media = (&CONTENT_TYPE, "text/event-stream");
    let (id, signature) = ((&d.attempt_id, "a-1"), (&d.signature, "s"));
    let sound = [id, signature, media];
    assert_eq!(check(EVENTS, 200, &sound), Ok(()));
    for status in [101, 201, 202, 204, 205, 206, 302, 304, 400, 404, 421, 429, 500, 503] {
        assert_eq!(check(EVENTS, status, &sound), Err(Mismatch::Status), "{status}");
    }
    assert_eq!(check(EVENTS, 200, &[id, media]), Err(Mismatch::Unsigned));
    assert_eq!(check(EVENTS, 200, &[signature, media]), Err(Mismatch::OtherAttempt));
    let late = [(&d.attempt_id, "a-0"), signature, media];
    assert_eq!(check(EVENTS, 200, &late), Err(Mismatch::OtherAttempt));
    let encoded = [id, signature, media, (&CONTENT_ENCODING, "gzip")];
    assert_eq!(check(EVENTS, 200, &encoded), Err(Mismatch::Encoded));
}

// Guards against a JSON or text body that is passed on as the rest of a stream, and against servers that
// name no media type being excluded.
#[test]
fn the_media_type_is_that_of_the_first_response_or_of_an_event_stream() {
    let d = HeaderNames::default();
    let check = |first: Option<&str>, next: Option<&str>| {
        let mut all = vec![(&d.attempt_id, "a-1"), (&d.signature, "s")];
        all.extend(next.map(|media| (&CONTENT_TYPE, media)));
        check(first, 200, &all)
    };
    for (first, next) in [
        (Some("text/event-stream"), Some("Text/Event-Stream; charset=utf-8")),
        (Some("text/event-stream;charset=utf-8"), Some("text/event-stream")),
        (None, None),
        (None, Some("text/event-stream")),
    ] {
        assert_eq!(check(first, next), Ok(()), "{first:?} {next:?}");
    }
    for (first, next) in [
        (Some("text/event-stream"), Some("application/json")),
        (Some("text/event-stream"), Some("text/plain")),
        (Some("text/event-stream"), Some("text/event-stream-error")),
        (Some("text/event-stream"), None),
        (None, Some("application/json")),
    ] {
        assert_eq!(check(first, next), Err(Mismatch::MediaType), "{first:?} {next:?}");
    }
}

// Guards against a stream that is resumed where events come twice or are missing (ORDER).
#[test]
fn a_stream_is_resumed_only_after_an_event_that_its_id_tells_from_all_before() {
    for (texts, after) in [
        (&["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"][..], Some("2")),
        (&["id: 2\ndata: a\n\n", "id: 10\ndata: b\n\n"], Some("10")),
        (&["id: 1\ndata: a\n\n", ": still here\n\n"], Some("1")),
        (&["id: 1\ndata: a\n\n", "data: b\n\n", "id: 3\ndata: c\n\n"], Some("3")),
        (&[], None),
        (&["data: a\n\n"], None),
        (&["id: 1\ndata: a\n\n", "data: b\n\n"], None),
        (&["id: 2\ndata: a\n\n", "id: 1\ndata: b\n\n"], None),
        (&["id: 2\ndata: a\n\n", "id: 2\ndata: b\n\n"], None),
        (&["id: x1\ndata: a\n\n"], None),
        (&["id: +1\ndata: a\n\n"], None),
        (&["id: 1\u{1}\ndata: a\n\n"], None),
        (&["id:\ndata: a\n\n"], None),
        (&["id: 99999999999999999999\ndata: a\n\n"], None),
    ] {
        assert_eq!(position(texts).resume_after(), after, "{texts:?}");
    }
}

// Guards against events of another run, or bytes that are none, in a stream (ORDER).
#[test]
fn an_event_goes_on_only_if_its_id_is_above_all_before() {
    let position = position(&["id: 9\ndata: a\n\n", "id: 10\ndata: b\n\n"]);
    let check = |text| position.check(&event(text));
    assert_eq!(check("id: 11\ndata: c\n\n"), Ok(NextEvent::Forward));
    assert_eq!(check("id: 15\ndata: c\n\n"), Ok(NextEvent::Forward));
    assert_eq!(check("version: 2\nid: 11\ndata: c\n\n"), Ok(NextEvent::Forward));
    assert_eq!(check(": hello\n\n"), Ok(NextEvent::LeaveOut));
    assert_eq!(check("\n\n"), Ok(NextEvent::LeaveOut));
    for text in ["id: 1\ndata: c\n\n", "id: 9\ndata: c\n\n", "id: 10\ndata: c\n\n"] {
        assert_eq!(check(text), Err(Mismatch::NotNext), "{text:?}");
    }
    for text in ["data: c\n\n", "id: c\ndata: c\n\n", "id:\ndata: c\n\n", "id: -11\ndata: c\n\n"] {
        assert_eq!(check(text), Err(Mismatch::NoId), "{text:?}");
    }
    for text in ["event: error\ndata: c\n\n", "id: 11\nevent:error\r\ndata: c\n\n"] {
        assert_eq!(check(text), Err(Mismatch::Error), "{text:?}");
    }
    for text in ["HTTP/1.1 503 Unavailable\r\nid: 11\r\nX: 1\r\n\r\n", "{\"problem\": 1}\n\n"] {
        assert_eq!(check(text), Err(Mismatch::NoEvent), "{text:?}");
    }
}

proptest! {
    // Guards against a piece that comes twice or out of order, whatever later servers send (ORDER).
    #[test]
    fn the_ids_of_a_resumed_stream_increase(sent in proptest::collection::vec(0_u64..30, 0..40)) {
        let mut position = position(&["id: 3\ndata: a\n\n"]);
        let mut last = 3;
        for id in sent {
            let event = event(&format!("id: {id}\ndata: a\n\n"));
            let next = position.check(&event);
            prop_assert_eq!(next.is_ok(), id > last);
            if next.is_ok() {
                position.advance(&event);
                last = id;
            }
            let after = last.to_string();
            prop_assert_eq!(position.resume_after(), Some(after.as_str()));
        }
    }
}
