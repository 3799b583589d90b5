//! Who goes, who waits, who is refused, on the heaviest patterns.

use std::sync::Arc;

use base::prelude::*;
use pass::dispatch::Decision;
use pass::dispatch::DispatchQueue;
use pass::dispatch::PendingRequest;
use pass::dispatch::Refusal;
use pass::endpoints::EndpointRequirements;
use pass::endpoints::Load;
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

fn place(server: &str) -> Endpoint {
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

fn places(servers: &[&str]) -> EndpointPool {
    let mut places = EndpointPool::default();
    let spec = ServiceSpec { name: "assistant".into(), max_connections: 9, engine: Some(engine()) };
    places.set_services([Arc::new(spec)]);
    places.set_endpoints(servers.iter().map(|server| place(server)).collect());
    places
}

fn wanting(priority: u8, arrived: Mono) -> PendingRequest {
    PendingRequest {
        requirements: EndpointRequirements {
            service: "assistant".into(),
            model: Some(MODEL.into()),
            prompt_tokens: 1_000,
            excluded: Vec::new(),
        },
        arrived,
        latency_target: millis(300),
        deadline: arrived + Duration::from_secs(8),
        priority,
    }
}

#[test]
fn the_place_with_fewer_unread_tokens_is_chosen_also_by_what_others_sent() {
    let mut places = places(&["a", "b"]);
    let now = millis(1_000);
    places.set_remote_loads(
        &[("a".into(), Load { requests: 1, pending_prefill_tokens: 9_000, ..Load::default() })],
        6,
        now,
    );
    let offer = places.choose(&wanting(1, now).requirements, now).expect("an offer");
    assert_eq!(&*offer.endpoint.server, "b");
    places.request_sent(&place("b"), 20_000, now);
    let offer = places.choose(&wanting(1, now).requirements, now).expect("an offer");
    assert_eq!(&*offer.endpoint.server, "a");
}

#[test]
fn without_any_place_a_request_is_refused_at_once_with_a_time_to_come_back() {
    let places = places(&[]);
    let now = millis(1_000);
    let (decision, ticket) = DispatchQueue::default().submit(wanting(1, now), &places, now);
    let Decision::Refuse { retry_after, reason } = decision else { panic!("{decision:?}") };
    assert_eq!(reason, Refusal::NoPlace);
    assert_eq!(ticket, None);
    assert!(retry_after > Duration::ZERO && retry_after < Duration::from_secs(8) / 3);
}

/// Pattern: a burst fills all slots; urgent requests go first as slots come free.
#[test]
fn a_burst_waits_in_order_of_rank_and_is_refused_before_its_deadline() {
    let mut places = places(&["a"]);
    let mut dispatch = DispatchQueue::default();
    let now = millis(1_000);
    for _ in 0..4 {
        places.request_sent(&place("a"), 0, now);
        places.data_received(&place("a"), now);
    }
    let (decision, later) = dispatch.submit(wanting(2, now), &places, now);
    assert_eq!(decision, Decision::Wait);
    let (_, urgent) = dispatch.submit(wanting(0, now), &places, now);
    assert_eq!(dispatch.poll(&places, now + millis(50)), None);
    places.request_ended(&place("a"));
    places.data_received(&place("a"), now + millis(60));
    let (ticket, _, decision) = dispatch.poll(&places, now + millis(60)).expect("a decision");
    assert!(matches!(decision, Decision::Send(_)));
    assert_eq!(Some(ticket), urgent);
    places.request_sent(&place("a"), 0, now + millis(60));
    places.data_received(&place("a"), now + millis(1_400));
    let (ticket, _, decision) = dispatch.poll(&places, now + millis(1_400)).expect("a decision");
    assert_eq!(Some(ticket), later);
    assert!(matches!(decision, Decision::Refuse { reason: Refusal::Busy, .. }));
}

/// Pattern: a member of a group dies; all its streams fall silent at once.
#[test]
fn a_place_that_is_silent_for_all_its_requests_gets_no_more_until_it_is_heard() {
    let mut places = places(&["a"]);
    let now = millis(1_000);
    places.request_sent(&place("a"), 0, now);
    places.request_sent(&place("a"), 0, now);
    assert!(places.choose(&wanting(1, now).requirements, now + millis(300)).is_some());
    assert!(places.choose(&wanting(1, now).requirements, now + millis(600)).is_none());
    assert!(places.is_stalled(&place("a"), now + millis(600)));
    places.data_received(&place("a"), now + millis(610));
    assert!(places.choose(&wanting(1, now).requirements, now + millis(620)).is_some());
}

/// Pattern: the streams of a dead group move on; its owner must still learn of it.
#[test]
fn a_silent_place_is_told_also_after_its_requests_have_left_it() {
    let mut places = places(&["a"]);
    let now = millis(1_000);
    places.request_sent(&place("a"), 0, now);
    places.request_sent(&place("a"), 0, now);
    let later = now + millis(600);
    places.request_failed(&place("a"), later);
    places.request_ended(&place("a"));
    places.request_ended(&place("a"));
    assert!(places.stalled_servers(later + millis(200)).contains("a"));
    let told = places.local_loads(later + millis(200));
    assert_eq!(told[0].1.ms_since_data, Some(800));
    places.data_received(&place("a"), later + millis(300));
    assert!(places.stalled_servers(later + millis(400)).is_empty());
}

/// Pattern: many processes have one request each at a group that stands still.
#[test]
fn a_place_is_silent_if_the_requests_of_all_processes_are() {
    let mut places = places(&["a"]);
    let now = millis(1_000);
    let others = |quiet_ms| {
        [("a".into(), Load { requests: 3, ms_since_data: Some(quiet_ms), ..Load::default() })]
    };
    places.request_sent(&place("a"), 0, now);
    let later = now + millis(600);
    assert!(!places.is_stalled(&place("a"), later), "one request alone may wait");
    places.set_remote_loads(&others(500), 8, later);
    assert!(places.is_stalled(&place("a"), later));
    assert!(places.choose(&wanting(1, later).requirements, later).is_none());
    places.set_remote_loads(&others(40), 8, later);
    assert!(!places.is_stalled(&place("a"), later), "another process hears from it");
}

/// Pattern: a group has been lost while the store is away; its head refuses at once, and looks
/// free.
#[test]
fn a_place_that_keeps_saying_that_it_is_full_gets_ever_less() {
    let mut places = places(&["a"]);
    let mut now = millis(1_000);
    let mut sent = 0;
    while now < millis(5_000) {
        if places.choose(&wanting(1, now).requirements, now).is_some() {
            places.reported_full(&place("a"), now);
            sent += 1;
        }
        now += millis(10);
    }
    assert!(sent <= 9, "{sent} requests in 4 s");
    places.request_succeeded(&place("a"), millis(50));
    places.reported_full(&place("a"), now);
    let soon = now + millis(70);
    assert!(places.choose(&wanting(1, soon).requirements, soon).is_some(), "it was only full");
}

/// Pattern: a group has lost a member while the store is away, and its head says so.
#[test]
fn a_place_that_says_that_it_stands_still_is_silent_for_all() {
    let mut places = places(&["a"]);
    let now = millis(5_000);
    places.request_sent(&place("a"), 0, now);
    places.reported_stalled(&place("a"), now);
    places.request_ended(&place("a"));
    assert!(places.choose(&wanting(1, now).requirements, now).is_none());
    let told = places.local_loads(now);
    assert!(told[0].1.ms_since_data.is_some_and(|quiet| quiet >= 1_000));
    let later = now + millis(3_100);
    assert!(places.choose(&wanting(1, later).requirements, later).is_some(), "it is tried again");
}

#[test]
fn a_place_that_changes_its_group_starts_without_load() {
    let mut places = places(&["a"]);
    let now = millis(1_000);
    for _ in 0..4 {
        places.request_sent(&place("a"), 0, now);
    }
    let next = Endpoint { group: Some(("g-next".into(), 2)), ..place("a") };
    assert!(!places.is_current(&next));
    places.set_endpoints(vec![next.clone()]);
    places.request_ended(&place("a"));
    assert!(places.is_current(&next));
    assert!(places.choose(&wanting(1, now).requirements, now).is_some());
}

/// Pattern: many processes see the same loads late, and choose at the same moment.
#[test]
fn processes_that_see_the_same_loads_spread_over_the_places_that_are_nearly_equal() {
    let servers = ["a", "b", "c", "d", "e", "f"];
    let mut chosen = std::collections::BTreeMap::new();
    let now = millis(1_000);
    for seed in 0..600 {
        let mut places = EndpointPool::with_seed(seed);
        let spec =
            ServiceSpec { name: "assistant".into(), max_connections: 9, engine: Some(engine()) };
        places.set_services([Arc::new(spec)]);
        places.set_endpoints(servers.iter().map(|server| place(server)).collect());
        places.set_remote_loads(
            &[(
                "a".into(),
                Load { requests: 3, pending_prefill_tokens: 20_000, ..Load::default() },
            )],
            80,
            now,
        );
        let offer = places.choose(&wanting(1, now).requirements, now).expect("an offer");
        *chosen.entry(offer.endpoint.server).or_insert(0) += 1;
    }
    assert_eq!(chosen.get("a"), None, "it is clearly worse");
    assert!(chosen.values().all(|count| (80..160).contains(count)), "{chosen:?}");
}
