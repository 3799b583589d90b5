//! Tests of the JSON form of timeline events.

use base::prelude::*;

#[test]
fn every_event_reads_back_from_its_json_form() {
    let text = || Box::<str>::from("text");
    let events = [
        Event::Started { boot: 1 },
        Event::Stopping { streams: 2 },
        Event::Group { group: text(), generation: 3, state: text(), reason: text() },
        Event::Order { vm: text(), group: text(), generation: 4, order: text(), outcome: text() },
        Event::Request { request: 5, workspace: text(), stage: text(), detail: text() },
        Event::Attempt { request: 6, attempt: 7, group: text(), outcome: text() },
        Event::Claim { key: text(), outcome: text() },
        Event::Accepted { revision: 8, operator: text() },
        Event::InForce { revision: 9, source: text() },
        Event::Member { member: text(), state: text() },
        Event::Quarantine { fingerprint: 10, state: text() },
        Event::Leaving { vm: text(), source: text() },
        Event::Kv { state: text() },
    ];
    for event in events {
        let at = Hlc { millis: 11, count: 12 };
        let stamped = StampedEvent { at, node: "node".into(), number: 13, event };
        let json = serde_json::to_string(&stamped).unwrap();
        assert_eq!(serde_json::from_str::<StampedEvent>(&json).unwrap(), stamped, "{json}");
    }
}
