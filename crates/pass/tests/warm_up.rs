//! Tests of the rate of servers in warm-up.

use std::sync::Arc;

use base::hash::stable;
use base::prelude::*;
use pass::endpoints::EndpointRequirements;
use pass::fleet_size::SETTLE_TIME;
use pass::prelude::*;
use pass::warm_up::RawWarmUp;
use pass::warm_up::Tolerance;
use pass::warm_up::WarmUp;
use pass::warm_up::WarmUps;
use pass::warm_up::used_rate;

/// The server in warm-up, and its start.
const SERVER: (&str, u64) = ("s1", 7);
/// Time between two steps of a simulation.
const STEP: Duration = Duration::from_millis(20);
/// Steps in the second to which a server's tolerance applies.
const WINDOW_STEPS: usize = 50;

fn seconds(seconds: f64) -> Mono {
    Duration::from_secs_f64(seconds)
}

/// Returns a service whose servers take `per_second` requests in warm-up.
fn service(per_second: f64) -> Arc<ServiceSpec> {
    let warm_up = WarmUp::try_from(RawWarmUp { duration_s: 60.0, per_second }).unwrap();
    let (name, warm_up) = ("llm".into(), Some(warm_up));
    Arc::new(ServiceSpec { name, max_connections: 9, engine: None, warm_up })
}

/// Returns a process of a settled fleet, before it learns of any warm-up.
fn process(seed: u64, processes: usize, per_second: f64) -> WarmUps {
    let mut warm_ups = WarmUps::with_seed(seed);
    warm_ups.set_services([service(per_second)].iter());
    warm_ups.set_processes(processes, Duration::ZERO);
    warm_ups.set_processes(processes, SETTLE_TIME);
    warm_ups
}

fn report(warm_ups: &mut WarmUps, left: f64, now: Mono) {
    warm_ups.report(&"llm".into(), &SERVER.0.into(), SERVER.1, seconds(left), now);
}

/// Sends whatever a process has permits for at `now`, and returns how much that is.
fn send(warm_ups: &mut WarmUps, now: Mono) -> usize {
    let mut sent = 0;
    while warm_ups.has_permit(SERVER.0, SERVER.1, now) && sent < 1_000 {
        warm_ups.take(SERVER.0, SERVER.1, now);
        sent += 1;
    }
    sent
}

fn most_in_a_second(sent: &[usize]) -> usize {
    sent.windows(WINDOW_STEPS).map(|window| window.iter().sum()).max().unwrap_or(0)
}

// Guards against a fleet that crashes a server in warm-up: by requests saved up while the server wasn't
// needed, by clocks and phases that coincide, or by processes that were suspended and resume. Guards as
// well against a limit of which most stays unused.
#[test]
fn a_fleet_of_any_size_keeps_the_rate_of_a_server_in_warm_up() {
    let tolerance = Tolerance::default();
    for case in 0..30_u64 {
        let draw = |what: &str| stable(format!("{case} {what}").as_bytes());
        let processes = 6 + (draw("processes") % 295) as usize;
        let per_second = 1.0 + (draw("rate") % 400) as f64 / 10.0;
        let allowed = per_second * tolerance.over + tolerance.slack;
        let clocks: Vec<Duration> = (0..processes)
            .map(|number| {
                SETTLE_TIME + seconds((draw(&format!("clock {number}")) % 100_000) as f64)
            })
            .collect();
        let late = |number: usize| seconds((draw(&format!("late {number}")) % 300) as f64 / 1e3);
        let suspended = |number: usize, at: Duration| {
            number.is_multiple_of(5) && (20.0..28.0).contains(&at.as_secs_f64())
        };
        let mut fleet: Vec<WarmUps> = (0..processes)
            .map(|number| {
                let mut warm_ups = process(draw(&format!("seed {number}")), processes, per_second);
                report(&mut warm_ups, 100.0, clocks[number] + late(number));
                warm_ups
            })
            .collect();
        let mut sent = Vec::new();
        let mut at = seconds(0.3);
        while at < seconds(60.0) {
            let is_wanted = at.as_secs() % 10 > 2;
            let of_all = fleet.iter_mut().enumerate();
            let senders = of_all.filter(|(number, _)| is_wanted && !suspended(*number, at));
            sent.push(senders.map(|(number, warm_ups)| send(warm_ups, clocks[number] + at)).sum());
            at += STEP;
        }
        let most = most_in_a_second(&sent);
        let place = format!("case {case}: {processes} processes, {per_second} a second");
        assert!(most as f64 <= allowed, "{place}: {most} in a second, {allowed} allowed");
        let wanted_time = sent.len() as f64 * STEP.as_secs_f64() * 0.7;
        let mean = sent.iter().sum::<usize>() as f64 / wanted_time;
        let used = used_rate(per_second, tolerance, processes);
        assert!(mean > 0.8 * used, "{place}: {mean} a second sent, {used} intended");
    }
}

/// Returns how many requests a process sends to a server in warm-up from `from` on for a minute.
fn sent_in_a_minute(warm_ups: &mut WarmUps, from: Mono) -> usize {
    report(warm_ups, 600.0, from);
    let steps = 0..60 * WINDOW_STEPS as u32;
    steps.map(|step| send(warm_ups, from + STEP * step)).sum()
}

// Guards against a process that has just started, or is alone behind a partition, and takes the whole
// rate for itself; and against a fleet whose halves each take the whole rate.
#[test]
fn a_process_divides_the_rate_by_the_largest_fleet_that_it_may_be_part_of() {
    let mut unaware = WarmUps::with_seed(1);
    unaware.set_services([service(30.0)].iter());
    assert!(sent_in_a_minute(&mut unaware, seconds(0.0)) <= 7, "30 a second for 300 processes");
    let mut alone = process(1, 1, 30.0);
    alone.set_processes(1, seconds(3.0));
    assert!(sent_in_a_minute(&mut alone, seconds(3.0)) <= 7, "it may be cut off");
    let mut halved = process(1, 60, 30.0);
    halved.set_processes(30, seconds(3.0));
    assert!(sent_in_a_minute(&mut halved, seconds(3.0)) <= 31, "half a request a second");
}

// Guards against a limit that outlasts the warm-up, or that a later one of the same instance doesn't
// renew; and against begins and ends that are missing in the log.
#[test]
fn a_server_is_limited_while_it_warms_up_and_again_if_it_becomes_cold() {
    let mut warm_ups = process(1, 60, 10.0);
    let may_send = |warm_ups: &WarmUps, at, born| warm_ups.has_permit(SERVER.0, born, seconds(at));
    report(&mut warm_ups, 5.0, seconds(10.0));
    assert!(!may_send(&warm_ups, 10.0, SERVER.1), "the limit is known before any response");
    assert!(may_send(&warm_ups, 10.0, SERVER.1 + 1), "another instance");
    let begun = warm_ups.take_changes(seconds(10.0));
    assert_eq!((begun.len(), begun[0].left), (1, Some(seconds(5.0))));
    assert_eq!(warm_ups.len(seconds(14.9)), 1);
    assert!(may_send(&warm_ups, 15.0, SERVER.1));
    let ended = warm_ups.take_changes(seconds(15.0));
    assert_eq!((ended.len(), ended[0].left), (1, None));
    report(&mut warm_ups, 5.0, seconds(30.0));
    assert!(!may_send(&warm_ups, 30.0, SERVER.1));
    report(&mut warm_ups, 0.0, seconds(31.0));
    assert!(may_send(&warm_ups, 31.0, SERVER.1));
}

// Guards against a service whose configuration asks for nothing being limited by its servers' reports.
#[test]
fn without_a_configured_rate_nothing_is_limited() {
    let mut warm_ups = process(1, 60, 0.0);
    report(&mut warm_ups, 50.0, seconds(10.0));
    assert!(warm_ups.has_permit(SERVER.0, SERVER.1, seconds(10.0)));
    assert_eq!(warm_ups.len(seconds(10.0)), 1, "it is in warm-up, however");
    warm_ups.set_services([].iter());
    assert_eq!(warm_ups.len(seconds(10.0)), 0);
}

// Guards against rates and times that would stop a server for good or limit nothing.
#[test]
fn invalid_values_are_found() {
    let valid = RawWarmUp { duration_s: 60.0, per_second: 5.0 };
    assert!(WarmUp::try_from(valid).is_ok());
    for invalid in [-1.0, f64::NAN, f64::INFINITY, 1e9] {
        assert!(WarmUp::try_from(RawWarmUp { per_second: invalid, ..valid }).is_err());
        assert!(WarmUp::try_from(RawWarmUp { duration_s: invalid, ..valid }).is_err());
    }
}

fn endpoint(server: &str) -> Endpoint {
    Endpoint {
        server: server.into(),
        address: ([127, 0, 0, 1], 1).into(),
        service: "llm".into(),
        group: None,
        model: None,
        slots: 8,
        failure_domain: "hall".into(),
        started_at_ms: SERVER.1,
    }
}

fn wants() -> EndpointRequirements {
    EndpointRequirements {
        service: "llm".into(),
        model: None,
        prompt_tokens: 1,
        output_tokens: 1,
        excluded: Vec::new(),
    }
}

/// Returns a pool of two groups headed by [`SERVER`] and `s2`, of which `warming` are in warm-up.
fn pool_of_groups(warming: &[&str], now: Mono) -> EndpointPool {
    let mut pool = EndpointPool::with_seed(1);
    pool.set_services([service(0.0)]);
    let group = |head: &str| Endpoint { group: Some((head.into(), 1)), ..endpoint(head) };
    pool.set_endpoints(vec![group(SERVER.0), group("s2")]);
    pool.warm_ups.set_members(&SERVER.0.into(), vec![SERVER.0.into(), "s3".into()]);
    pool.warm_ups.set_members(&"s2".into(), vec!["s2".into(), "s4".into()]);
    for server in warming {
        let left = seconds(60.0);
        pool.warm_ups.report(&"llm".into(), &(*server).into(), SERVER.1, left, now);
    }
    pool
}

// Guards against a group that seems as fast as others while its slowest member warms up, and against
// requests that are refused as late because all groups are in warm-up.
#[test]
fn a_group_is_as_slow_as_its_slowest_member_unless_all_are() {
    let now = seconds(10.0);
    let warm = pool_of_groups(&[], now).choose(&wants(), now).unwrap().expected_time;
    let one = pool_of_groups(&["s3"], now);
    assert_eq!(&*one.choose(&wants(), now).unwrap().endpoint.server, "s2");
    let excluded = EndpointRequirements { excluded: vec!["s2".into()], ..wants() };
    assert_eq!(one.choose(&excluded, now).unwrap().expected_time, warm, "no other is left");
    let all = pool_of_groups(&["s3", "s2"], now);
    assert_eq!(all.choose(&wants(), now).unwrap().expected_time, warm);
}

// Guards against a request that is sent to a server in warm-up without a permit, isn't sent to another
// one, or isn't held while all are in warm-up; and against a lower limit that is passed over for one that
// the server names itself.
#[test]
fn requests_pass_over_servers_in_warm_up_without_a_permit() {
    let now = seconds(10.0);
    let mut pool = EndpointPool::with_seed(1);
    pool.set_services([service(0.1)]);
    pool.set_endpoints(vec![endpoint(SERVER.0), endpoint("s2")]);
    let wants = wants();
    let warm_up = |pool: &mut EndpointPool, server: &str| {
        pool.warm_ups.report(&"llm".into(), &server.into(), SERVER.1, seconds(60.0), now);
    };
    warm_up(&mut pool, SERVER.0);
    for _ in 0..20 {
        assert_eq!(&*pool.choose(&wants, now).unwrap().endpoint.server, "s2");
    }
    assert_eq!(pool.time_to_permits(&wants, 1, now), None, "s2 is free");
    warm_up(&mut pool, "s2");
    assert_eq!(pool.choose(&wants, now), None);
    assert_eq!(pool.time_to_permits(&wants, 1, now), Some(seconds(60.0)), "then both are warm");
    pool.limit_observed(&endpoint(SERVER.0), Some(50.0), now);
    pool.limit_observed(&endpoint("s2"), Some(50.0), now);
    assert_eq!(pool.choose(&wants, now), None, "the lower rate applies");
}
