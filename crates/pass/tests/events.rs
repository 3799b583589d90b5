//! Streams are split into complete events, wherever their chunks end.

use pass::events::Event;
use pass::events::EventKind;
use pass::events::EventSplitter;
use proptest::prelude::*;

/// The bytes of an event, and its id.
type Found = (Vec<u8>, Option<String>);

fn split(text: &[u8], ends: &[usize]) -> (Vec<Found>, Vec<u8>) {
    let mut events = EventSplitter::default();
    let mut found = Vec::new();
    let mut at = 0;
    for end in ends.iter().copied().chain([text.len()]) {
        let end = end.clamp(at, text.len());
        assert!(events.push(&text[at..end]));
        at = end;
        while let Some(event) = events.next_event() {
            found.push((event.bytes.to_vec(), event.id.map(String::from)));
        }
    }
    (found, events.into_partial().to_vec())
}

#[test]
fn an_incomplete_event_is_held_back() {
    let (found, rest) = split(b"id: 1\ndata: a\n\nid: 2\ndata: b", &[]);
    assert_eq!(found, [(b"id: 1\ndata: a\n\n".to_vec(), Some("1".to_owned()))]);
    assert_eq!(rest, b"id: 2\ndata: b");
}

#[test]
fn events_with_carriage_returns_are_split() {
    let (found, rest) = split(b"id: 7\r\ndata: a\r\n\r\ndata: b\n\n", &[]);
    assert_eq!(found.len(), 2);
    assert_eq!(found[0].1.as_deref(), Some("7"));
    assert_eq!(found[1].1, None);
    assert!(rest.is_empty());
}

proptest! {
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        pieces in proptest::collection::vec("[a-z]{0,9}", 1..8),
        ends in proptest::collection::vec(0_usize..120, 0..12),
    ) {
        let text: String = pieces
            .iter()
            .enumerate()
            .map(|(i, piece)| format!("id: {i}\ndata: {piece}\n\n"))
            .collect();
        let mut ends = ends;
        ends.sort_unstable();
        let (found, rest) = split(text.as_bytes(), &ends);
        prop_assert_eq!(found.len(), pieces.len());
        prop_assert!(rest.is_empty());
        let joined: Vec<u8> = found.iter().flat_map(|(bytes, _)| bytes.clone()).collect();
        prop_assert_eq!(joined, text.into_bytes());
        let ids = found.iter().map(|(_, id)| id.clone().expect("an id"));
        prop_assert!(ids.eq((0..pieces.len()).map(|i| i.to_string())));
    }
}

// Guards against memory that grows with a stream whose event never ends.
#[test]
fn an_event_without_end_is_refused_within_bounds() {
    const LARGEST_EVENT_BYTES: usize = 256 << 10;
    let mut events = EventSplitter::default();
    let chunk = [b'x'; 4_096];
    let mut pushed = 0;
    while events.push(&chunk) {
        assert!(events.next_event().is_none());
        pushed += chunk.len();
        assert!(pushed <= LARGEST_EVENT_BYTES, "{pushed} bytes without an event");
    }
}

fn kind(text: &str) -> EventKind {
    Event { bytes: text.to_owned().into(), id: None }.kind()
}

// Guards against another response in the body of a stream being taken for an event.
#[test]
fn bytes_that_are_no_event_are_told_apart() {
    for text in [
        "id: 1\ndata: a\n\n",
        "data\n\n",
        "\nid: 1\n\n",
        ": note\nevent: piece\r\ndata: a\r\nretry: 5\r\n\r\n",
        "version: 2\nid: 1\ndata: a\n\n",
        "id: 1\ndata: HTTP/1.1 503 Service Unavailable\n\n",
    ] {
        assert_eq!(kind(text), EventKind::Event, "{text:?}");
    }
    for text in ["\n\n", "\r\n\r\n", ": note\n\n", ":\n: more\n\n"] {
        assert_eq!(kind(text), EventKind::Comment, "{text:?}");
    }
    for text in [
        "HTTP/1.1 503 Service Unavailable\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRetry-After: 1\r\nretry-after: 1\r\n\r\n",
        "id: 3\ndaHTTP/1.1 503 Service Unavailable\r\n\r\n",
        "id: 3\ndata: aHTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "{\"problem\": \"x\"}\n\n",
        "<html>\n</html>\n\n",
        "id: 3\nid: 4\ndata: a\n\n",
    ] {
        assert_eq!(kind(text), EventKind::Malformed, "{text:?}");
    }
}
