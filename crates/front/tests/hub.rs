//! A hub sums up what its processes and the other hubs tell.

use base::prelude::*;
use front::hub::Hub;
use front::hub::Loads;
use pass::places::Load;

fn loads(requests: u32) -> Loads {
    vec![("a".into(), Load { requests, unread_tokens: u64::from(requests) * 10, quiet_ms: None })]
}

#[test]
fn each_process_is_told_what_all_others_have() {
    let mut hub = Hub::default();
    let now = Duration::from_secs(1);
    hub.client(&"n1".into(), loads(1), now);
    hub.client(&"n2".into(), loads(2), now);
    hub.hub(&"h2".into(), loads(4), 3, now);
    let own = loads(8);
    assert_eq!(hub.fleet(&own, "n1"), (loads(14), 6));
    assert_eq!(hub.fleet(&own, "other"), (loads(15), 6));
    assert_eq!(hub.domain(&own), (loads(11), 3), "without the other hubs");
}

#[test]
fn a_place_is_as_quiet_as_the_process_that_heard_it_last() {
    let mut hub = Hub::default();
    let now = Duration::from_secs(1);
    let quiet = |quiet_ms| -> Loads {
        vec![("a".into(), Load { requests: 1, quiet_ms, ..Load::default() })]
    };
    hub.client(&"n1".into(), quiet(Some(900)), now);
    hub.hub(&"h2".into(), quiet(None), 3, now);
    assert_eq!(hub.fleet(&Vec::new(), "").0[0].1.quiet_ms, Some(900));
    hub.client(&"n2".into(), quiet(Some(30)), now);
    assert_eq!(hub.fleet(&Vec::new(), "").0[0].1.quiet_ms, Some(30));
}

#[test]
fn what_is_not_told_again_is_forgotten() {
    let mut hub = Hub::default();
    hub.client(&"n1".into(), loads(1), Duration::from_secs(1));
    hub.hub(&"h2".into(), loads(4), 3, Duration::from_secs(2));
    hub.expire(Duration::from_secs(3));
    assert_eq!(hub.fleet(&Vec::new(), ""), (loads(4), 4));
}
