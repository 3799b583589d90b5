//! Tests of the choice among the servers of a plain service.

use std::sync::Arc;

use base::prelude::*;
use pass::endpoints::EndpointRequirements;
use pass::prelude::*;

/// Requests come at this interval.
const INTERVAL: Duration = Duration::from_millis(10);
/// Time within which a server that was left out gets a request again.
const RETURN_TIME: Duration = Duration::from_secs(5);

fn endpoint(server: &str) -> Endpoint {
    Endpoint {
        server: server.into(),
        address: ([127, 0, 0, 1], 1).into(),
        service: "desk".into(),
        group: None,
        model: None,
        slots: 8,
        failure_domain: "a".into(),
        started_at_ms: 1,
    }
}

fn endpoints(servers: &[&str]) -> EndpointPool {
    let mut endpoints = EndpointPool::with_seed(1);
    let spec = ServiceSpec { name: "desk".into(), max_connections: 9, engine: None, warm_up: None };
    endpoints.set_services([Arc::new(spec)]);
    endpoints.set_endpoints(servers.iter().map(|server| endpoint(server)).collect());
    // Few processes choose, so only a server that is hardly slower than the best gets requests.
    endpoints.set_remote_loads(&[], 2, Duration::from_secs(1));
    endpoints
}

fn requirements() -> EndpointRequirements {
    EndpointRequirements {
        service: "desk".into(),
        model: None,
        prompt_tokens: 0,
        output_tokens: 0,
        excluded: Vec::new(),
    }
}

/// Sends requests one at a time until `until`; a server takes the time that `time_of` says. Returns how
/// many each server gets.
fn send_steadily(
    endpoints: &mut EndpointPool,
    from: Mono,
    until: Mono,
    time_of: impl Fn(&str) -> Duration,
) -> [usize; 2] {
    let mut sent = [0; 2];
    let mut now = from;
    while now < until {
        let choice = endpoints.choose(&requirements(), now).expect("an endpoint");
        let server = choice.endpoint.server.clone();
        sent[usize::from(&*server == "b")] += 1;
        endpoints.request_sent(&choice.endpoint, 0, now);
        endpoints.request_succeeded(&choice.endpoint, time_of(&server), now + INTERVAL / 2);
        endpoints.request_ended(&choice.endpoint);
        now += INTERVAL;
    }
    sent
}

// Load: one server was slow, and is as fast as the other since. Guards against a server that gets no request
// for good because its calls once took longer.
#[test]
fn a_server_that_was_slow_is_tried_again() {
    let mut endpoints = endpoints(&["a", "b"]);
    let start = Duration::from_secs(2);
    let slow = |server: &str| Duration::from_millis(if server == "a" { 400 } else { 2 });
    send_steadily(&mut endpoints, start, start + RETURN_TIME, slow);
    let later = start + RETURN_TIME;
    let fast = |_: &str| Duration::from_millis(2);
    let sent = send_steadily(&mut endpoints, later, later + RETURN_TIME * 2, fast);
    assert!(sent[0] >= sent[1] / 4, "requests to each server: {sent:?}");
}

// Load: one server is slow for long. Guards against trying it so often that callers notice.
#[test]
fn a_server_that_stays_slow_is_tried_rarely() {
    let mut endpoints = endpoints(&["a", "b"]);
    let start = Duration::from_secs(2);
    let slow = |server: &str| Duration::from_millis(if server == "a" { 400 } else { 2 });
    let sent = send_steadily(&mut endpoints, start, start + RETURN_TIME * 4, slow);
    assert!(sent[0] >= 2 && sent[0] <= sent[1] / 100, "requests to each server: {sent:?}");
}

// Load: all servers ask for a pause at once, and requests wait for its end. Guards against a wave of requests
// that finds the servers as busy as before.
#[test]
fn after_a_pause_one_request_finds_out_before_others_follow() {
    let mut endpoints = endpoints(&["a", "b"]);
    let start = Duration::from_secs(2);
    let pause = Duration::from_secs(3);
    for server in ["a", "b"] {
        endpoints.pause_requested(&endpoint(server), pause, start);
    }
    let now = start + pause;
    assert!(endpoints.choose(&requirements(), now - INTERVAL).is_none());
    let mut first = Vec::new();
    while let Some(choice) = endpoints.choose(&requirements(), now) {
        endpoints.request_sent(&choice.endpoint, 0, now);
        first.push(choice.endpoint);
        assert!(first.len() <= 2, "more than one request to a server: {first:?}");
    }
    endpoints.pause_requested(&first[0], pause, now + INTERVAL);
    endpoints.request_succeeded(&first[1], INTERVAL, now + INTERVAL);
    for _ in 0..5 {
        let choice = endpoints.choose(&requirements(), now + INTERVAL).expect("the second is back");
        assert_eq!(choice.endpoint.server, first[1].server);
        endpoints.request_sent(&choice.endpoint, 0, now + INTERVAL);
    }
}

// Guards against a server that is lost since the first request after its pause got no answer.
#[test]
fn a_first_request_without_an_answer_does_not_keep_others_back_for_good() {
    let mut endpoints = endpoints(&["a"]);
    let start = Duration::from_secs(2);
    endpoints.pause_requested(&endpoint("a"), Duration::from_secs(3), start);
    let end = start + Duration::from_secs(3);
    endpoints.request_sent(&endpoint("a"), 0, end);
    assert!(endpoints.choose(&requirements(), end + INTERVAL).is_none());
    assert!(endpoints.choose(&requirements(), end + Duration::from_secs(2)).is_some());
}
