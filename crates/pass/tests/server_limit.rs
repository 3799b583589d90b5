//! Tests of the request rates that backend servers name.

use base::hash::stable;
use base::prelude::*;
use pass::server_limit::LimitObservation;
use pass::server_limit::MIN_RATE;
use pass::server_limit::ServerLimits;
use pass::server_limit::USED_SHARE;
use proptest::prelude::*;

/// The server that names a limit, and its start.
const SERVER: (&str, u64) = ("s1", 7);
/// Time between two steps of a simulation.
const STEP: Duration = Duration::from_millis(50);
/// Any span of this length counts, by the platform's rule.
const WINDOW: Duration = Duration::from_secs(4);

fn seconds(seconds: u64) -> Mono {
    Duration::from_secs(seconds)
}

/// Returns a process of a fleet of `processes`, to which the server has named `limit`.
fn limited(processes: usize, limit: f64, phase: f64) -> ServerLimits {
    let mut limits = ServerLimits::default();
    limits.set_processes(processes, Duration::ZERO);
    limits.observe(SERVER.0, SERVER.1, Some(limit), phase, Duration::ZERO);
    limits
}

fn observation(per_second: Option<f64>, age_ms: u64) -> LimitObservation {
    LimitObservation { started_at_ms: SERVER.1, per_second, age_ms }
}

/// Sends a request wherever a process has a permit, while `has_demand`; returns the most requests of
/// a window.
fn most_in_a_window(
    fleet: &mut [ServerLimits],
    time: Duration,
    has_demand: impl Fn(Mono) -> bool,
) -> usize {
    let mut sent: Vec<Mono> = Vec::new();
    let mut now = Duration::ZERO;
    while now < time {
        for limits in fleet.iter_mut().filter(|_| has_demand(now)) {
            while limits.has_permit(SERVER.0, SERVER.1, now) {
                limits.take(SERVER.0, SERVER.1, now);
                sent.push(now);
            }
        }
        now += STEP;
    }
    let until = |first: Mono| sent.partition_point(|at| *at < first + WINDOW);
    sent.iter().enumerate().map(|(i, first)| until(*first) - i).max().unwrap_or(0)
}

/// Returns a fleet whose processes learn of the limit at random times between two permits.
fn random_fleet(processes: usize, limit: f64, seed: u64) -> Vec<ServerLimits> {
    let phase = |number| {
        let hash = stable(format!("{seed} {number}").as_bytes());
        hash as f64 / u64::MAX as f64
    };
    (0..processes).map(|number| limited(processes, limit, phase(number))).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    // Guards against processes that each keep a request in reserve while the server isn't needed, and
    // then all send it at once: a large fleet would exceed a low limit many times over.
    #[test]
    fn a_fleet_keeps_a_limit_whether_it_sends_steadily_or_at_once(
        processes in 1..200_usize,
        limit in 0.5..20.0_f64,
        idle in 0..30_u64,
        seed: u64,
    ) {
        let mut fleet = random_fleet(processes, limit, seed);
        let most = most_in_a_window(&mut fleet, seconds(60), |now| {
            now >= seconds(idle) && now.as_secs() % 20 < 12
        });
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        prop_assert!(most as f64 <= allowed, "{} requests, {} allowed", most, allowed);
    }
}

// Guards against a limit of which most stays unused.
#[test]
fn a_busy_fleet_uses_its_share_of_a_limit() {
    let mut fleet: Vec<ServerLimits> =
        (0..8).map(|number| limited(8, 10.0, f64::from(number) / 8.0)).collect();
    let most = most_in_a_window(&mut fleet, seconds(20), |_| true);
    let share = (10.0 * USED_SHARE * WINDOW.as_secs_f64()) as usize;
    assert!((share - 1..=share + 8).contains(&most), "{most} requests, {share} expected");
}

// Guards against a server that takes nothing never being asked again, so that nobody learns when it
// does.
#[test]
fn a_server_that_takes_nothing_gets_a_request_now_and_then() {
    let mut fleet = [limited(1, 0.0, 0.0)];
    let period = Duration::from_secs_f64(1.0 / (MIN_RATE * USED_SHARE));
    assert_eq!(most_in_a_window(&mut fleet, period * 3, |_| true), 1);
}

// Guards against processes that stay at a limit that a server has withdrawn, or forget one that it
// still names, after a message that was on its way for longer.
#[test]
fn the_latest_observation_of_any_process_counts() {
    let mut limits = limited(4, 1.0, 0.0);
    assert!(!limits.merge(SERVER.0, observation(None, 3_000), 0.0, seconds(2)), "an older one");
    assert!(!limits.has_permit(SERVER.0, SERVER.1, seconds(2)));
    assert!(limits.merge(SERVER.0, observation(None, 500), 0.0, seconds(2)));
    assert!(limits.has_permit(SERVER.0, SERVER.1, seconds(2)));
    assert_eq!(limits.own_observation(SERVER.0, seconds(2)), None, "the other process reports it");
    assert!(limits.observe(SERVER.0, SERVER.1, Some(1.0), 0.0, seconds(3)));
    assert_eq!(limits.own_observation(SERVER.0, seconds(4)), Some(observation(Some(1.0), 1_000)));
}

// Guards against a server that starts again being held to the limit of its last life.
#[test]
fn a_new_instance_of_a_server_has_no_limit() {
    let mut limits = limited(4, 1.0, 0.0);
    assert!(limits.has_permit(SERVER.0, SERVER.1 + 1, seconds(1)));
    let newer = LimitObservation { started_at_ms: SERVER.1 + 1, ..observation(Some(3.0), 0) };
    assert!(limits.merge(SERVER.0, newer, 0.0, seconds(1)));
    assert!(!limits.merge(SERVER.0, observation(Some(1.0), 0), 0.0, seconds(2)), "an old life");
}

// Guards against requests that wait for servers that can't take them in time.
#[test]
fn the_time_to_a_number_of_permits_is_known_if_all_servers_are_limited() {
    let limits = limited(1, 1.0 / USED_SHARE, 0.0);
    let wait = |servers: &[(&str, u64)], count| {
        limits.time_to_permits(servers.iter().copied(), count, Duration::ZERO)
    };
    assert_eq!(wait(&[SERVER], 1), Some(seconds(1)));
    assert_eq!(wait(&[SERVER], 5), Some(seconds(5)));
    assert_eq!(wait(&[SERVER, ("s2", 7)], 1), None);
    assert_eq!(wait(&[], 1), None);
}

/// Returns the requests that a process sends a server that takes `limit` a second, in ten seconds from
/// `from` on.
fn sent_in_ten_seconds(limits: &mut ServerLimits, limit: f64, from: Mono) -> usize {
    limits.observe("a", 1, Some(limit), 0.0, from);
    let steps = (0..1_000).map(|step| from + Duration::from_millis(10) * step);
    let send = |now: Mono| {
        let has_permit = limits.has_permit("a", 1, now);
        if has_permit {
            limits.take("a", 1, now);
        }
        has_permit
    };
    steps.map(send).filter(|is_sent| *is_sent).count()
}

// Guards against a process that takes a larger part of a limit when a hub that has just begun, or is cut off
// from the others, knows only a few processes.
#[test]
fn a_new_hub_that_knows_few_processes_does_not_enlarge_the_part_of_any() {
    let mut limits = ServerLimits::default();
    limits.set_processes(80, seconds(1));
    limits.set_processes(2, seconds(2));
    assert!(sent_in_ten_seconds(&mut limits, 40.0, seconds(2)) <= 4, "0.35 a second");
}

// Guards against a process that takes the whole limit before it has heard of the others.
#[test]
fn a_process_that_knows_no_others_yet_assumes_many() {
    let mut limits = ServerLimits::default();
    assert!(sent_in_ten_seconds(&mut limits, 40.0, seconds(1)) <= 2, "0.1 a second");
}
