//! Which requests are sent, queued or refused, under the most demanding patterns of load and
//! failure.

use std::sync::Arc;

use base::prelude::*;
use pass::arrivals::Demand;
use pass::dispatch::Decision;
use pass::dispatch::DispatchQueue;
use pass::dispatch::PendingRequest;
use pass::dispatch::Refusal;
use pass::endpoints::EndpointRequirements;
use pass::load::Load;
use pass::prelude::*;

const MODEL: &str = "large";

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn engine() -> form::prelude::EngineSpec {
    let model = form::prelude::ModelSpec {
        name: MODEL.into(),
        group_size: 4,
        time_factor: 1.0,
        initial_demand_share: 1.0,
        store_load_time: Duration::from_secs(16),
        host_load_time: millis(1_600),
    };
    form::prelude::EngineSpec {
        models: vec![model],
        slots: 4,
        kv_cache_tokens: 1_000_000,
        step_time: millis(6),
        step_time_per_request: Duration::from_micros(44),
        step_time_per_1k_context: Duration::from_micros(8),
        prefill_tokens_per_second: 50_000.0,
        prefill_chunk_tokens: 2_048,
        steps_per_flush: 7,
        open_time: millis(300),
        max_loads_per_second: 4.5,
        max_concurrent_loads: 6,
        mean_prompt_tokens: 1_000.0,
        mean_output_tokens: 100.0,
    }
}

fn endpoint(server: &str) -> Endpoint {
    Endpoint {
        server: server.into(),
        address: ([127, 0, 0, 1], 1).into(),
        service: "assistant".into(),
        group: Some((format!("g-{server}").into(), 1)),
        model: Some(MODEL.into()),
        slots: 4,
        failure_domain: "a".into(),
        started_at_ms: 1,
    }
}

fn endpoints(servers: &[&str]) -> EndpointPool {
    let mut endpoints = EndpointPool::default();
    let spec = ServiceSpec {
        name: "assistant".into(),
        max_connections: 9,
        engine: Some(engine()),
        warm_up: None,
    };
    endpoints.set_services([Arc::new(spec)]);
    endpoints.set_endpoints(servers.iter().map(|server| endpoint(server)).collect());
    endpoints
}

fn pending(priority: u8, arrived_at: Mono) -> PendingRequest {
    PendingRequest {
        requirements: EndpointRequirements {
            service: "assistant".into(),
            model: Some(MODEL.into()),
            prompt_tokens: 1_000,
            output_tokens: 100,
            excluded: Vec::new(),
        },
        arrived_at,
        latency_target: millis(300),
        deadline: arrived_at + Duration::from_secs(8),
        priority,
        workspace: None,
        may_hand_over: false,
    }
}

#[test]
fn the_endpoint_with_fewer_pending_tokens_is_chosen_counting_other_processes() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = millis(1_000);
    endpoints.set_remote_loads(
        &[("a".into(), Load { requests: 1, pending_prefill_tokens: 9_000, ..Load::default() })],
        6,
        now,
    );
    let choice = endpoints.choose(&pending(1, now).requirements, now).expect("a choice");
    assert_eq!(&*choice.endpoint.server, "b");
    endpoints.request_sent(&endpoint("b"), 20_000, now);
    let choice = endpoints.choose(&pending(1, now).requirements, now).expect("a choice");
    assert_eq!(&*choice.endpoint.server, "a");
}

// A caller may claim any number of tokens; what it claims must not keep others' requests out.
#[test]
fn a_request_that_claims_a_huge_prompt_does_not_hold_others_back() {
    let mut endpoints = endpoints(&["a", "b"]);
    let mut dispatch = DispatchQueue::default();
    let start = millis(1_000);
    for number in 0..40 {
        let now = start + millis(number * 50);
        let mut pending = pending(1, now);
        if number % 10 == 0 {
            pending.requirements.prompt_tokens = u64::MAX;
            pending.requirements.output_tokens = u64::MAX;
        }
        endpoints.request_arrived(&pending.requirements, pending.class(), now);
    }
    let now = start + millis(2_000);
    endpoints.set_remote_loads(&[], 8, now);
    endpoints.set_remote_loads(&[], 8, now + millis(50));
    let now = now + millis(60);
    let (decision, _) = dispatch.submit(pending(1, now), &endpoints, now);
    assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
}

#[test]
fn without_any_endpoint_a_request_is_refused_at_once_with_a_retry_after_time() {
    let endpoints = endpoints(&[]);
    let now = millis(1_000);
    let (decision, ticket) = DispatchQueue::default().submit(pending(1, now), &endpoints, now);
    let Decision::Refuse { retry_after, reason } = decision else { panic!("{decision:?}") };
    assert_eq!(reason, Refusal::NoPlace);
    assert_eq!(ticket, None);
    assert!(retry_after > Duration::ZERO && retry_after < Duration::from_secs(8) / 3);
}

/// A burst fills all slots; urgent requests go first as slots become free.
#[test]
fn a_burst_waits_in_order_of_priority_and_is_refused_before_its_deadline() {
    let mut endpoints = endpoints(&["a"]);
    let mut dispatch = DispatchQueue::default();
    let now = millis(1_000);
    for _ in 0..4 {
        endpoints.request_sent(&endpoint("a"), 0, now);
        endpoints.data_received(&endpoint("a"), now);
    }
    let (decision, later) = dispatch.submit(pending(2, now), &endpoints, now);
    assert_eq!(decision, Decision::Wait);
    let (_, urgent) = dispatch.submit(pending(0, now), &endpoints, now);
    assert_eq!(dispatch.poll(&endpoints, now + millis(50)), None);
    endpoints.request_ended(&endpoint("a"));
    endpoints.data_received(&endpoint("a"), now + millis(60));
    let (ticket, _, decision) = dispatch.poll(&endpoints, now + millis(60)).expect("a decision");
    assert!(matches!(decision, Decision::Send(_)));
    assert_eq!(Some(ticket), urgent);
    endpoints.request_sent(&endpoint("a"), 0, now + millis(60));
    endpoints.data_received(&endpoint("a"), now + millis(1_400));
    let (ticket, _, decision) = dispatch.poll(&endpoints, now + millis(1_400)).expect("a decision");
    assert_eq!(Some(ticket), later);
    assert!(matches!(decision, Decision::Refuse { reason: Refusal::Busy, .. }));
}

/// A member of a group dies, and all streams of the group stop at once.
#[test]
fn a_stalled_endpoint_gets_no_requests_until_data_arrives() {
    let mut endpoints = endpoints(&["a"]);
    let now = millis(1_000);
    endpoints.request_sent(&endpoint("a"), 0, now);
    endpoints.request_sent(&endpoint("a"), 0, now);
    assert!(endpoints.choose(&pending(1, now).requirements, now + millis(300)).is_some());
    assert!(endpoints.choose(&pending(1, now).requirements, now + millis(600)).is_none());
    assert!(endpoints.is_stalled(&endpoint("a"), now + millis(600)));
    endpoints.data_received(&endpoint("a"), now + millis(610));
    assert!(endpoints.choose(&pending(1, now).requirements, now + millis(620)).is_some());
}

/// The streams of a dead group move to other endpoints; the group's owner must still learn of the
/// stall.
#[test]
fn a_stalled_endpoint_is_reported_after_its_requests_were_moved() {
    let mut endpoints = endpoints(&["a"]);
    let now = millis(1_000);
    endpoints.request_sent(&endpoint("a"), 0, now);
    endpoints.request_sent(&endpoint("a"), 0, now);
    let later = now + millis(600);
    endpoints.request_failed(&endpoint("a"), later);
    endpoints.request_ended(&endpoint("a"));
    endpoints.request_ended(&endpoint("a"));
    assert!(endpoints.stalled_servers(later + millis(200)).contains("a"));
    let reported = endpoints.local_loads(later + millis(200));
    assert_eq!(reported[0].1.idle_ms(), Some(800));
    endpoints.data_received(&endpoint("a"), later + millis(300));
    assert!(endpoints.stalled_servers(later + millis(400)).is_empty());
}

/// Many processes have one request each at a stalled group.
#[test]
fn an_endpoint_is_stalled_if_no_process_receives_data() {
    let mut endpoints = endpoints(&["a"]);
    let now = millis(1_000);
    let remote = |ms_since_data| {
        [("a".into(), Load { requests: 3, ms_since_data: Some(ms_since_data), ..Load::default() })]
    };
    endpoints.request_sent(&endpoint("a"), 0, now);
    let later = now + millis(600);
    assert!(!endpoints.is_stalled(&endpoint("a"), later), "a single request may pause");
    endpoints.set_remote_loads(&remote(500), 8, later);
    assert!(endpoints.is_stalled(&endpoint("a"), later));
    assert!(endpoints.choose(&pending(1, later).requirements, later).is_none());
    endpoints.set_remote_loads(&remote(40), 8, later);
    assert!(!endpoints.is_stalled(&endpoint("a"), later), "another process receives data");
}

// Issue 33: a head that had gone dark got requests for seconds, since each new one counted as data.
#[test]
fn requests_that_keep_coming_do_not_hide_that_a_group_is_stalled() {
    let now = millis(5_000);
    let pool = || endpoints(&["a"]);
    let mut waiting = pool();
    waiting.request_sent(&endpoint("a"), 0, now - millis(600));
    waiting.request_sent(&endpoint("a"), 0, now - millis(600));
    let mut new = pool();
    new.request_sent(&endpoint("a"), 0, now - millis(10));
    let load = |endpoints: &EndpointPool| endpoints.local_loads(now)[0].1;
    let loads = [("a".into(), load(&waiting).combined_with(&load(&new)))];
    let mut other = pool();
    other.set_remote_loads(&loads, 8, now);
    assert!(other.is_stalled(&endpoint("a"), now));
    new.data_received(&endpoint("a"), now);
    let loads = [("a".into(), load(&waiting).combined_with(&load(&new)))];
    other.set_remote_loads(&loads, 8, now);
    assert!(!other.is_stalled(&endpoint("a"), now), "another process gets data");
}

/// A group is lost while the store is unavailable: its head refuses every request at once, and
/// looks idle.
#[test]
fn an_endpoint_that_keeps_reporting_itself_full_is_backed_off_exponentially() {
    let mut endpoints = endpoints(&["a"]);
    let mut now = millis(1_000);
    let mut sent = 0;
    while now < millis(5_000) {
        if endpoints.choose(&pending(1, now).requirements, now).is_some() {
            endpoints.reported_full(&endpoint("a"), now);
            sent += 1;
        }
        now += millis(10);
    }
    assert!(sent <= 9, "{sent} requests in 4 s");
    endpoints.request_succeeded(&endpoint("a"), millis(50), Mono::ZERO);
    endpoints.reported_full(&endpoint("a"), now);
    let soon = now + millis(70);
    assert!(
        endpoints.choose(&pending(1, soon).requirements, soon).is_some(),
        "the backoff starts anew after a success"
    );
}

/// A group loses a member while the store is unavailable, and its head reports that.
#[test]
fn an_endpoint_that_reports_itself_stalled_is_stalled_for_all_processes() {
    let mut endpoints = endpoints(&["a"]);
    let now = millis(5_000);
    endpoints.request_sent(&endpoint("a"), 0, now);
    endpoints.reported_stalled(&endpoint("a"), now);
    endpoints.request_ended(&endpoint("a"));
    assert!(endpoints.choose(&pending(1, now).requirements, now).is_none());
    let reported = endpoints.local_loads(now);
    assert!(reported[0].1.idle_ms().is_some_and(|idle| idle >= 1_000));
    let later = now + millis(3_100);
    assert!(
        endpoints.choose(&pending(1, later).requirements, later).is_some(),
        "the endpoint is tried again"
    );
}

#[test]
fn an_endpoint_that_changes_its_group_starts_without_load() {
    let mut endpoints = endpoints(&["a"]);
    let now = millis(1_000);
    for _ in 0..4 {
        endpoints.request_sent(&endpoint("a"), 0, now);
    }
    let next = Endpoint { group: Some(("g-next".into(), 2)), ..endpoint("a") };
    assert!(!endpoints.is_current(&next));
    endpoints.set_endpoints(vec![next.clone()]);
    endpoints.request_ended(&endpoint("a"));
    assert!(endpoints.is_current(&next));
    assert!(endpoints.choose(&pending(1, now).requirements, now).is_some());
}

/// Many processes see the same outdated loads, and choose at the same time.
#[test]
fn processes_that_see_the_same_loads_spread_over_nearly_equal_endpoints() {
    let servers = ["a", "b", "c", "d", "e", "f"];
    let mut chosen = std::collections::BTreeMap::new();
    let now = millis(1_000);
    for seed in 0..600 {
        let mut endpoints = EndpointPool::with_seed(seed);
        let spec = ServiceSpec {
            name: "assistant".into(),
            max_connections: 9,
            engine: Some(engine()),
            warm_up: None,
        };
        endpoints.set_services([Arc::new(spec)]);
        endpoints.set_endpoints(servers.iter().map(|server| endpoint(server)).collect());
        endpoints.set_remote_loads(
            &[(
                "a".into(),
                Load { requests: 3, pending_prefill_tokens: 20_000, ..Load::default() },
            )],
            80,
            now,
        );
        let choice = endpoints.choose(&pending(1, now).requirements, now).expect("a choice");
        *chosen.entry(choice.endpoint.server).or_insert(0) += 1;
    }
    assert_eq!(chosen.get("a"), None, "`a` is clearly worse");
    assert!(chosen.values().all(|count| (80..160).contains(count)), "{chosen:?}");
}

// Guards against requests that wait until they are late for servers whose limits are used up, and
// against callers that aren't told when there is capacity.
#[test]
fn requests_beyond_the_limits_of_all_endpoints_are_refused_at_once() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Duration::from_secs(1);
    for server in ["a", "b"] {
        endpoints.limit_observed(&endpoint(server), Some(1.0), now);
    }
    let mut queue = DispatchQueue::default();
    // Each server's next permit is at most two seconds away; the request may wait for 0.75 s.
    let soon = now + Duration::from_secs(2);
    let submitted = |queue: &mut DispatchQueue, endpoints: &EndpointPool, at| {
        queue.submit(pending(1, at), endpoints, at).0
    };
    let mut sent = 0;
    while let Decision::Send(choice) = submitted(&mut queue, &endpoints, soon) {
        endpoints.request_sent(&choice.endpoint, 1_000, soon);
        sent += 1;
    }
    assert!(sent <= 2, "{sent} requests at once");
    let decisions: Vec<Decision> =
        (0..4).map(|_| submitted(&mut queue, &endpoints, soon)).collect();
    let Some(Decision::Refuse { retry_after, reason }) = decisions.last() else {
        panic!("the last of several requests doesn't wait: {decisions:?}")
    };
    assert_eq!(*reason, Refusal::Limited);
    assert!(*retry_after > millis(500), "{retry_after:?}");
}

// Guards against one server without a limit being left out because the others have one.
#[test]
fn an_endpoint_without_a_limit_takes_what_limited_ones_may_not() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Duration::from_secs(1);
    endpoints.limit_observed(&endpoint("a"), Some(0.0), now);
    for _ in 0..3 {
        let (decision, _) = DispatchQueue::default().submit(pending(1, now), &endpoints, now);
        let Decision::Send(choice) = decision else { panic!("{decision:?}") };
        assert_eq!(&*choice.endpoint.server, "b");
        endpoints.request_sent(&choice.endpoint, 1_000, now);
    }
}

/// Submits a request every 50 ms for `time`, while `a` has a limit of one request a second and so many
/// prompt tokens to prefill; returns whether any request was sent there.
fn uses_a_limited_endpoint(pending_prefill_tokens: u64, time: Duration) -> bool {
    let mut endpoints = endpoints(&["a", "b"]);
    let start = Duration::from_secs(1);
    endpoints.limit_observed(&endpoint("a"), Some(1.0), start);
    let load = Load { requests: 1, pending_prefill_tokens, ..Load::default() };
    let mut is_used = false;
    for at in (0..time.as_millis() as u64).step_by(50).map(|step| start + millis(step)) {
        endpoints.set_remote_loads(&[("a".into(), load)], 1, at);
        let (decision, _) = DispatchQueue::default().submit(pending(1, at), &endpoints, at);
        let Decision::Send(choice) = decision else { panic!("`b` is free: {decision:?}") };
        is_used |= &*choice.endpoint.server == "a";
    }
    is_used
}

// Guards against a server that is left alone once its limit is known, so that nobody learns when the
// limit ends.
#[test]
fn a_permit_is_used_though_another_endpoint_is_faster() {
    assert!(uses_a_limited_endpoint(0, millis(1_900)), "hardly slower");
    assert!(uses_a_limited_endpoint(3_000, millis(4_000)), "slower, and the limit is old");
}

// Guards against requests that wait for, or are sent to, a slow server only because it has a permit.
#[test]
fn a_permit_of_an_endpoint_that_would_be_late_is_not_used() {
    assert!(!uses_a_limited_endpoint(100_000, millis(4_000)));
}

fn from_caller(arrived_at: Mono) -> PendingRequest {
    PendingRequest { may_hand_over: true, ..pending(1, arrived_at) }
}

fn is_cut_off(decision: &Decision) -> bool {
    matches!(decision, Decision::Refuse { reason: Refusal::CutOff, .. })
}

// Load: all servers are out of reach from here, and other processes reach them.
#[test]
fn requests_of_a_process_that_is_cut_off_go_to_others_at_once() {
    let mut endpoints = endpoints(&["a", "b", "c"]);
    let mut dispatch = DispatchQueue::default();
    let now = millis(1_000);
    endpoints.paths.connect_failed("a", 1, now);
    let (decision, ticket) = dispatch.submit(from_caller(now), &endpoints, now);
    assert_eq!(decision, Decision::Wait, "a check is under way");
    endpoints.paths.check_ended(0, 3, now);
    let polled = dispatch.poll(&endpoints, now).expect("a decision");
    assert_eq!((Some(polled.0), polled.2), (ticket, Decision::HandOver));
    assert_eq!(dispatch.submit(from_caller(now), &endpoints, now).0, Decision::HandOver);
    // One that comes from another process doesn't go on from here.
    assert!(is_cut_off(&dispatch.submit(pending(1, now), &endpoints, now).0));
}

// Load: some servers are out of reach from here, and the others are full.
#[test]
fn requests_go_to_a_process_that_reaches_more_servers_when_those_left_are_full() {
    let mut endpoints = endpoints(&["a", "b"]);
    let mut dispatch = DispatchQueue::default();
    let now = millis(1_000);
    endpoints.paths.connect_failed("a", 1, now);
    endpoints.paths.check_ended(3, 3, now);
    endpoints.paths.reached_elsewhere(&["a".into()]);
    for _ in 0..4 {
        let (decision, _) = dispatch.submit(from_caller(now), &endpoints, now);
        let Decision::Send(choice) = decision else { panic!("{decision:?}") };
        assert_eq!(&*choice.endpoint.server, "b");
        endpoints.request_sent(&choice.endpoint, 1_000, now);
    }
    assert_eq!(dispatch.submit(from_caller(now), &endpoints, now).0, Decision::HandOver);
    assert!(is_cut_off(&dispatch.submit(pending(1, now), &endpoints, now).0));
}

// Load: a request meets servers out of reach, one after the other, before anybody knows more of them.
#[test]
fn a_request_that_could_not_reach_two_servers_is_not_tried_at_a_third() {
    let mut endpoints = endpoints(&["a", "b", "c"]);
    let mut dispatch = DispatchQueue::default();
    let now = millis(1_000);
    for server in ["a", "b"] {
        endpoints.paths.connect_failed(server, 1, now);
        endpoints.paths.check_ended(1, 3, now);
    }
    let mut request = from_caller(now);
    request.requirements.excluded = vec!["a".into()];
    let (decision, _) = dispatch.submit(request.clone(), &endpoints, now);
    assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
    request.requirements.excluded.push("b".into());
    assert_eq!(dispatch.submit(request, &endpoints, now).0, Decision::HandOver);
}

// Load: a process that is cut off has requests that wait at servers, and others have none there.
#[test]
fn a_process_that_is_cut_off_reports_no_group_as_stalled() {
    let mut endpoints = endpoints(&["a"]);
    let now = millis(1_000);
    endpoints.request_sent(&endpoint("a"), 1_000, now);
    endpoints.request_sent(&endpoint("a"), 1_000, now);
    let later = now + millis(700);
    assert!(endpoints.local_loads(later)[0].1.ms_waiting.is_some());
    assert!(endpoints.silent_for(later) >= millis(700));
    endpoints.paths.connect_failed("a", 1, later);
    endpoints.paths.check_ended(0, 3, later);
    let (_, load) = endpoints.local_loads(later)[0].clone();
    assert_eq!((load.requests, load.ms_waiting, load.ms_since_data), (2, None, None));
}

// Guards against requests that wait for servers that they must not be sent to, and against retries that
// go there.
#[test]
fn a_request_is_refused_at_once_while_all_its_endpoints_are_evacuated() {
    let mut endpoints = endpoints(&["a", "b"]);
    let start = millis(1_000);
    for number in 0..400 {
        let pending = pending(1, start);
        let at = start + millis(number * 5);
        endpoints.request_arrived(&pending.requirements, pending.class(), at);
    }
    let now = start + millis(2_000);
    endpoints.evacuations.request("a", 5, None, now);
    endpoints.update_evacuations(now);
    endpoints.set_remote_loads(&[], 8, now);
    endpoints.set_remote_loads(&[], 8, now + millis(50));
    let now = now + millis(60);
    let mut retry = pending(1, now);
    retry.requirements.excluded = vec!["a".into()];
    for pending in [pending(1, now), retry] {
        let (decision, ticket) = DispatchQueue::default().submit(pending, &endpoints, now);
        let Decision::Refuse { retry_after, reason } = decision else { panic!("{decision:?}") };
        assert_eq!((reason, ticket), (Refusal::NoPlace, None));
        assert!(!retry_after.is_zero());
    }
    endpoints.evacuations.cancel("a", 6, now);
    endpoints.update_evacuations(now + millis(1_000));
    assert!(endpoints.has_endpoint("assistant", Some(MODEL)));
}

// Guards against a request that is sent to an evacuated domain because its servers are the least loaded.
#[test]
fn requests_go_to_busy_endpoints_rather_than_to_evacuated_ones() {
    let mut endpoints = endpoints(&["a", "b"]);
    let mut elsewhere = endpoint("c");
    elsewhere.failure_domain = "other".into();
    endpoints.set_endpoint(elsewhere.clone());
    let now = millis(1_000);
    let load = Load { requests: 1, pending_prefill_tokens: 9_000, ..Load::default() };
    endpoints.set_remote_loads(&[("c".into(), load)], 6, now);
    endpoints.evacuations.request("a", 5, None, now);
    for _ in 0..3 {
        let choice = endpoints.choose(&pending(1, now).requirements, now).expect("a choice");
        assert_eq!(&*choice.endpoint.server, "c");
        endpoints.request_sent(&choice.endpoint, 1_000, now);
    }
    assert_eq!((endpoints.requests_in("a"), endpoints.requests_in("other")), (0, 3));
}

// Guards against a low-priority request that takes the slot for which a more urgent one waits.
#[test]
fn what_gets_free_is_left_to_a_more_urgent_request_until_it_is_late() {
    let mut endpoints = endpoints(&["a"]);
    let mut dispatch = DispatchQueue::default();
    let now = millis(1_000);
    for _ in 0..4 {
        endpoints.request_sent(&endpoint("a"), 0, now);
        endpoints.data_received(&endpoint("a"), now);
    }
    let (_, low) = dispatch.submit(pending(2, now), &endpoints, now);
    let mut urgent = pending(1, now);
    urgent.latency_target = millis(100);
    urgent.requirements.prompt_tokens = 6_000;
    dispatch.submit(urgent, &endpoints, now);
    endpoints.request_ended(&endpoint("a"));
    assert_eq!(dispatch.poll(&endpoints, now + millis(50)), None);
    let sent = dispatch.poll(&endpoints, now + millis(110)).expect("a decision");
    assert_eq!((Some(sent.0), matches!(sent.2, Decision::Send(_))), (low, true));
}

/// Returns the decisions on a request of each priority at a full endpoint, while 100 requests a second
/// arrive over the fleet, of them so many of the highest and of the lowest priority.
fn decisions_under_overload(urgent: f64, low: f64) -> [Decision; 3] {
    let mut endpoints = endpoints(&["a"]);
    let mut now = millis(1_000);
    let demand = Demand {
        arrivals_per_second: 100.0,
        prompt_tokens_per_second: 100_000.0,
        output_tokens_per_second: 10_000.0,
        sends_per_second: 20.0,
        urgent_per_second: urgent,
        low_per_second: low,
    };
    let load = Load { requests: 4, demand: Some(demand), ..Load::default() };
    for _ in 0..8 {
        now += millis(300);
        endpoints.set_remote_loads(&[("a".into(), load)], 80, now);
    }
    [0, 1, 2]
        .map(|priority| DispatchQueue::default().submit(pending(priority, now), &endpoints, now).0)
}

// Guards against low-priority requests that wait for capacity that higher ones take, and against such
// rejections where there is a single priority.
#[test]
fn a_request_whose_share_is_used_up_is_refused_at_once_only_beside_other_priorities() {
    let [urgent, _, low] = decisions_under_overload(1.0, 99.0);
    assert_eq!(urgent, Decision::Wait);
    assert!(matches!(low, Decision::Refuse { reason: Refusal::Busy, .. }), "{low:?}");
    for (urgent, low) in [(0.0, 0.0), (100.0, 0.0), (0.0, 100.0)] {
        let decisions = decisions_under_overload(urgent, low);
        assert_eq!(decisions, [Decision::Wait, Decision::Wait, Decision::Wait]);
    }
}

// Guards against other attempts of slow requests taking the places that new requests wait for.
#[test]
fn another_attempt_takes_a_place_only_if_no_other_request_waits_for_it() {
    let now = millis(1_000);
    let mut endpoints = endpoints(&["a"]);
    let mut queue = DispatchQueue::default();
    let another = pending(1, now);
    assert!(matches!(queue.decide_at_once(&another, &endpoints, now), Decision::Send(_)));
    for _ in 0..4 {
        endpoints.request_sent(&endpoint("a"), 1_000, now);
    }
    let full = queue.decide_at_once(&another, &endpoints, now);
    assert!(!matches!(full, Decision::Send(_)), "no place is free: {full:?}");
    let (decision, ticket) = queue.submit(pending(1, now), &endpoints, now);
    assert_eq!((decision, ticket.is_some()), (Decision::Wait, true));
    endpoints.request_ended(&endpoint("a"));
    endpoints.prefill_done(&endpoint("a"), 4_000);
    assert_eq!(queue.decide_at_once(&another, &endpoints, now), Decision::Wait);
    let next = queue.poll(&endpoints, now).expect("the waiting request gets the place");
    assert!(matches!(next.2, Decision::Send(_)));
}
