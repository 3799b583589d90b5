//! Tests that stamped events read back from their JSON form.

use base::prelude::*;

fn all_events() -> Vec<Event> {
    let (group, vm): (GroupId, VmId) = ("g".into(), "v".into());
    let text = || Box::<str>::from("x");
    vec![
        Event::Started { boot: 1 },
        Event::Stopping { streams: 1 },
        Event::Group { group: group.clone(), generation: 1, state: text(), reason: text() },
        Event::Order {
            vm: vm.clone(),
            group: group.clone(),
            generation: 1,
            order: text(),
            outcome: text(),
        },
        Event::Request { request: 1, workspace: text(), stage: text(), detail: text() },
        Event::Attempt { request: 1, attempt: 1, group, outcome: text() },
        Event::Claim { key: text(), outcome: text() },
        Event::Accepted { revision: 1, operator: text() },
        Event::InForce { revision: 1, source: text() },
        Event::Member { node: text(), state: text() },
        Event::Quarantine { fingerprint: 1, state: text() },
        Event::Leaving { vm, source: text() },
        Event::Kv { state: text() },
    ]
}

#[test]
fn every_stamped_event_reads_back() {
    for event in all_events() {
        let at = Hlc { millis: 1, count: 0 };
        let stamped = Stamped { at, node: "a".into(), number: 1, event };
        let text = serde_json::to_string(&stamped).unwrap();
        assert_eq!(serde_json::from_str::<Stamped>(&text).unwrap(), stamped, "{text}");
    }
}
