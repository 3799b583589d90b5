//! Whom a process asks for rows.

use std::net::SocketAddr;

use base::prelude::*;
use rows::prelude::*;

fn hub(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], number))
}

// Guards against a process that calls a hub that stands still, or answers without end, again and again, and comes to the
// others too late.
#[test]
fn a_hub_that_did_not_answer_is_left_alone_for_a_while() {
    let mut follower = HubFollower::default();
    let at = Duration::from_secs(3);
    follower.failed(hub(1), at);
    assert!(!follower.may_call(hub(1), at + Duration::from_millis(400)));
    assert!(follower.may_call(hub(2), at));
    assert!(follower.may_call(hub(1), at + Duration::from_millis(500)));
    follower.declined(hub(2));
    assert!(follower.may_call(hub(2), at), "it is there");
}
