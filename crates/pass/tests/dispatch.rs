//! Who goes, who waits, who is refused, on the heaviest patterns.

use std::sync::Arc;

use base::prelude::*;
use pass::dispatch::Decision;
use pass::dispatch::Dispatch;
use pass::dispatch::Refusal;
use pass::dispatch::Wanting;
use pass::places::Demand;
use pass::places::Load;
use pass::prelude::*;

const MODEL: &str = "large";

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn engine() -> form::prelude::EngineSpec {
    let model = form::prelude::ModelSpec {
        name: MODEL.into(),
        size: 4,
        pace: 1.0,
        share: 1.0,
        load: Duration::from_secs(16),
        warm: millis(1_600),
    };
    form::prelude::EngineSpec {
        models: vec![model],
        slots: 4,
        memory_tokens: 1_000_000,
        step: millis(6),
        step_per_request: Duration::from_micros(44),
        step_per_1k_context: Duration::from_micros(8),
        read_per_second: 50_000.0,
        chunk_tokens: 2_048,
        steps_per_pass: 7,
        open: millis(300),
        loads_per_second: 4.5,
        loads_at_once: 6,
        usual_prompt: 1_000.0,
        usual_answer: 100.0,
    }
}

fn place(server: &str) -> Place {
    Place {
        server: server.into(),
        address: ([127, 0, 0, 1], 1).into(),
        service: "assistant".into(),
        group: Some((format!("g-{server}").into(), 1)),
        model: Some(MODEL.into()),
        slots: 4,
        failure_domain: "a".into(),
        born_ms: 1,
    }
}

fn places(servers: &[&str]) -> Places {
    let mut places = Places::default();
    let spec = ServiceSpec { name: "assistant".into(), max_connections: 9, engine: Some(engine()) };
    places.set_services([Arc::new(spec)]);
    places.set(servers.iter().map(|server| place(server)).collect());
    places
}

fn wanting(priority: u8, arrived: Mono) -> Wanting {
    Wanting {
        demand: Demand {
            service: "assistant".into(),
            model: Some(MODEL.into()),
            prompt_tokens: 1_000,
            tried: Vec::new(),
        },
        arrived,
        aim: millis(300),
        deadline: arrived + Duration::from_secs(8),
        priority,
    }
}

#[test]
fn the_place_with_fewer_unread_tokens_is_chosen_also_by_what_others_sent() {
    let mut places = places(&["a", "b"]);
    let now = millis(1_000);
    places.set_others(
        &[("a".into(), Load { requests: 1, unread_tokens: 9_000, ..Load::default() })],
        6,
        now,
    );
    let offer = places.best(&wanting(1, now).demand, now).expect("an offer");
    assert_eq!(&*offer.place.server, "b");
    places.began(&place("b"), 20_000, now);
    let offer = places.best(&wanting(1, now).demand, now).expect("an offer");
    assert_eq!(&*offer.place.server, "a");
}

#[test]
fn without_any_place_a_request_is_refused_at_once_with_a_time_to_come_back() {
    let places = places(&[]);
    let now = millis(1_000);
    let (decision, ticket) = Dispatch::default().ask(wanting(1, now), &places, now);
    let Decision::Refuse { retry_after, reason } = decision else { panic!("{decision:?}") };
    assert_eq!(reason, Refusal::NoPlace);
    assert_eq!(ticket, None);
    assert!(retry_after > Duration::ZERO && retry_after < Duration::from_secs(8) / 3);
}

/// Pattern: a burst fills all slots; urgent requests go first as slots come free.
#[test]
fn a_burst_waits_in_order_of_rank_and_is_refused_before_its_deadline() {
    let mut places = places(&["a"]);
    let mut dispatch = Dispatch::default();
    let now = millis(1_000);
    for _ in 0..4 {
        places.began(&place("a"), 0, now);
        places.heard(&place("a"), now);
    }
    let (decision, later) = dispatch.ask(wanting(2, now), &places, now);
    assert_eq!(decision, Decision::Wait);
    let (_, urgent) = dispatch.ask(wanting(0, now), &places, now);
    assert_eq!(dispatch.poll(&places, now + millis(50)), None);
    places.ended(&place("a"));
    places.heard(&place("a"), now + millis(60));
    let (ticket, _, decision) = dispatch.poll(&places, now + millis(60)).expect("a decision");
    assert!(matches!(decision, Decision::Go(_)));
    assert_eq!(Some(ticket), urgent);
    places.began(&place("a"), 0, now + millis(60));
    places.heard(&place("a"), now + millis(1_400));
    let (ticket, _, decision) = dispatch.poll(&places, now + millis(1_400)).expect("a decision");
    assert_eq!(Some(ticket), later);
    assert!(matches!(decision, Decision::Refuse { reason: Refusal::Busy, .. }));
}

/// Pattern: a member of a group dies; all its streams fall silent at once.
#[test]
fn a_place_that_is_silent_for_all_its_requests_gets_no_more_until_it_is_heard() {
    let mut places = places(&["a"]);
    let now = millis(1_000);
    places.began(&place("a"), 0, now);
    places.began(&place("a"), 0, now);
    assert!(places.best(&wanting(1, now).demand, now + millis(300)).is_some());
    assert!(places.best(&wanting(1, now).demand, now + millis(600)).is_none());
    assert!(places.is_silent(&place("a"), now + millis(600)));
    places.heard(&place("a"), now + millis(610));
    assert!(places.best(&wanting(1, now).demand, now + millis(620)).is_some());
}

/// Pattern: the streams of a dead group move on; its owner must still learn of it.
#[test]
fn a_silent_place_is_told_also_after_its_requests_have_left_it() {
    let mut places = places(&["a"]);
    let now = millis(1_000);
    places.began(&place("a"), 0, now);
    places.began(&place("a"), 0, now);
    let later = now + millis(600);
    places.failed(&place("a"), later);
    places.ended(&place("a"));
    places.ended(&place("a"));
    assert!(places.silent(later + millis(200)).contains("a"));
    let told = places.own_loads(later + millis(200));
    assert_eq!(told[0].1.quiet_ms, Some(800));
    places.heard(&place("a"), later + millis(300));
    assert!(places.silent(later + millis(400)).is_empty());
}

/// Pattern: many processes have one request each at a group that stands still.
#[test]
fn a_place_is_silent_if_the_requests_of_all_processes_are() {
    let mut places = places(&["a"]);
    let now = millis(1_000);
    let others = |quiet_ms| {
        [("a".into(), Load { requests: 3, quiet_ms: Some(quiet_ms), ..Load::default() })]
    };
    places.began(&place("a"), 0, now);
    let later = now + millis(600);
    assert!(!places.is_silent(&place("a"), later), "one request alone may wait");
    places.set_others(&others(500), 8, later);
    assert!(places.is_silent(&place("a"), later));
    assert!(places.best(&wanting(1, later).demand, later).is_none());
    places.set_others(&others(40), 8, later);
    assert!(!places.is_silent(&place("a"), later), "another process hears from it");
}

/// Pattern: a group has been lost while the store is away; its head refuses at once, and looks
/// free.
#[test]
fn a_place_that_keeps_saying_that_it_is_full_gets_ever_less() {
    let mut places = places(&["a"]);
    let mut now = millis(1_000);
    let mut sent = 0;
    while now < millis(5_000) {
        if places.best(&wanting(1, now).demand, now).is_some() {
            places.full(&place("a"), now);
            sent += 1;
        }
        now += millis(10);
    }
    assert!(sent <= 9, "{sent} requests in 4 s");
    places.succeeded(&place("a"), millis(50));
    places.full(&place("a"), now);
    let soon = now + millis(70);
    assert!(places.best(&wanting(1, soon).demand, soon).is_some(), "it was only full");
}

/// Pattern: a group has lost a member while the store is away, and its head says so.
#[test]
fn a_place_that_says_that_it_stands_still_is_silent_for_all() {
    let mut places = places(&["a"]);
    let now = millis(5_000);
    places.began(&place("a"), 0, now);
    places.broken(&place("a"), now);
    places.ended(&place("a"));
    assert!(places.best(&wanting(1, now).demand, now).is_none());
    let told = places.own_loads(now);
    assert!(told[0].1.quiet_ms.is_some_and(|quiet| quiet >= 1_000));
    let later = now + millis(3_100);
    assert!(places.best(&wanting(1, later).demand, later).is_some(), "it is tried again");
}

#[test]
fn a_place_that_changes_its_group_starts_without_load() {
    let mut places = places(&["a"]);
    let now = millis(1_000);
    for _ in 0..4 {
        places.began(&place("a"), 0, now);
    }
    let next = Place { group: Some(("g-next".into(), 2)), ..place("a") };
    assert!(!places.still_stands(&next));
    places.set(vec![next.clone()]);
    places.ended(&place("a"));
    assert!(places.still_stands(&next));
    assert!(places.best(&wanting(1, now).demand, now).is_some());
}

/// Pattern: many processes see the same loads late, and choose at the same moment.
#[test]
fn processes_that_see_the_same_loads_spread_over_the_places_that_are_nearly_equal() {
    let servers = ["a", "b", "c", "d", "e", "f"];
    let mut chosen = std::collections::BTreeMap::new();
    let now = millis(1_000);
    for seed in 0..600 {
        let mut places = Places::seeded(seed);
        let spec =
            ServiceSpec { name: "assistant".into(), max_connections: 9, engine: Some(engine()) };
        places.set_services([Arc::new(spec)]);
        places.set(servers.iter().map(|server| place(server)).collect());
        places.set_others(
            &[("a".into(), Load { requests: 3, unread_tokens: 20_000, ..Load::default() })],
            80,
            now,
        );
        let offer = places.best(&wanting(1, now).demand, now).expect("an offer");
        *chosen.entry(offer.place.server).or_insert(0) += 1;
    }
    assert_eq!(chosen.get("a"), None, "it is clearly worse");
    assert!(chosen.values().all(|count| (80..160).contains(count)), "{chosen:?}");
}
