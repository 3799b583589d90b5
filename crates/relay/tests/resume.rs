//! Tests of resuming a request that another process started.

use std::time::Duration;

use engine::prelude::*;
use relay::prelude::*;

fn machine(idempotent: bool) -> RequestMachine {
    let request = RequestParams { idempotent, deadline: Duration::from_secs(10) };
    RequestMachine::resume(request, "g1".into(), 7, 3)
}

#[test]
fn a_resumed_request_continues_at_the_next_piece() {
    let mut machine = machine(false);
    let actions = machine.decide(RequestEvent::Accepted, Duration::ZERO);
    assert_eq!(actions, [Action::Resume { attempt: 7, from: 3 }]);
    let piece = Item::Piece(Piece { attempt: 7, seq: 3, text: "x".into() });
    let actions = machine.decide(RequestEvent::Item(piece), Duration::ZERO);
    assert_eq!(actions, [Action::Deliver { seq: 3, text: "x".into() }]);
}

#[test]
fn a_lost_attempt_is_retried_only_if_the_request_is_idempotent() {
    let mut idempotent = machine(true);
    idempotent.decide(RequestEvent::Accepted, Duration::ZERO);
    let lost = RequestEvent::Refused(RefusalReason::UnknownAttempt);
    let actions = idempotent.decide(lost.clone(), Duration::ZERO);
    assert_eq!(actions, [Action::Pick { exclude: vec![] }]);

    let mut other = machine(false);
    other.decide(RequestEvent::Accepted, Duration::ZERO);
    let actions = other.decide(lost, Duration::ZERO);
    assert_eq!(actions, [Action::Finish(Outcome::Unknown { failure: Failure::Broken })]);
}
