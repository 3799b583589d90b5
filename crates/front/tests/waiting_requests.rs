//! Requests that wait for an endpoint, and callers that disconnect meanwhile.

use std::sync::Arc;

use base::prelude::*;
use front::local_state::SharedState;
use futures::FutureExt;
use pass::budget::BudgetSettings;
use pass::dispatch::Decision;
use pass::dispatch::PendingRequest;
use pass::endpoints::EndpointRequirements;
use pass::prelude::*;

/// Requests that the endpoint runs at once.
const SLOTS: usize = 2;

fn shared_state() -> Arc<SharedState> {
    let window = Duration::from_secs(10);
    let shared = SharedState::new(BudgetSettings { ratio: 0.2, slack: 10.0, window });
    let endpoint = Endpoint {
        server: "d0".into(),
        address: ([127, 0, 0, 1], 1).into(),
        service: "desk".into(),
        group: None,
        model: None,
        slots: SLOTS,
        failure_domain: "a".into(),
        started_at_ms: 1,
    };
    let spec = ServiceSpec { name: "desk".into(), max_connections: 9, engine: None, warm_up: None };
    let mut local = shared.local.lock();
    local.endpoints.set_services([Arc::new(spec)]);
    local.endpoints.set_endpoints(vec![endpoint]);
    drop(local);
    Arc::new(shared)
}

fn pending() -> PendingRequest {
    PendingRequest {
        requirements: EndpointRequirements {
            service: "desk".into(),
            model: None,
            prompt_tokens: 100,
            output_tokens: 0,
            excluded: Vec::new(),
        },
        arrived_at: Duration::ZERO,
        latency_target: Duration::from_millis(200),
        deadline: Duration::from_secs(5),
        priority: 1,
        workspace: None,
        may_hand_over: false,
    }
}

// Issue 20: the place of a request whose caller left between its decision and its sending stayed
// taken for good.
#[test]
fn a_caller_that_leaves_as_its_request_is_assigned_frees_the_endpoint() {
    let shared = shared_state();
    let mut running = Vec::new();
    let waiting = loop {
        match shared.submit(pending(), Duration::ZERO) {
            Ok(Decision::Send(choice)) => running.push(choice),
            Ok(other) => panic!("unexpected {other:?}"),
            Err(waiting) => break waiting,
        }
    };
    let choice = running.first().expect("a running request").clone();
    for _ in &running {
        let mut local = shared.local.lock();
        local.endpoints.prefill_done(&choice.endpoint, 100);
        local.endpoints.request_ended(&choice.endpoint);
    }
    shared.dispatch_queued(Duration::ZERO);
    let loads = || shared.local.lock().endpoints.local_loads(Duration::ZERO);
    assert_eq!(loads().first().map(|(_, load)| load.requests), Some(1), "it was assigned");
    drop(waiting);
    assert_eq!(loads(), Vec::new(), "the endpoint is free");
}

#[test]
fn a_waiting_request_gets_its_decision() {
    let shared = shared_state();
    let mut waiting = None;
    let mut choice = None;
    while waiting.is_none() {
        match shared.submit(pending(), Duration::ZERO) {
            Ok(Decision::Send(sent)) => choice = Some(sent),
            Ok(other) => panic!("unexpected {other:?}"),
            Err(request) => waiting = Some(request),
        }
    }
    let mut decision = Box::pin(waiting.expect("a request").decision());
    assert_eq!((&mut decision).now_or_never(), None, "it waits");
    shared.local.lock().endpoints.request_ended(&choice.expect("a request").endpoint);
    shared.dispatch_queued(Duration::ZERO);
    assert!(matches!(decision.now_or_never(), Some(Decision::Send(_))));
}
