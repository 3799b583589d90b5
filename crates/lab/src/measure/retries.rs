//! Measures retry traffic while half of the groups refuse every request.
//!
//! A simulation of one real router whose view of the groups is never corrected, which is the worst
//! case. The baseline makes up to three retries for each request.

use std::collections::BTreeMap;

use base::prelude::*;
use group::view::GroupTable;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::choose;
use route::load::LoadTracker;
use route::prelude::*;
use route::retry::RETRY_FRACTION;
use route::retry::RETRY_RESERVE;
use serde_json::Value;
use serde_json::json;

use crate::measure::view::idle_group;

const GROUPS: usize = 8;
const REQUESTS: u64 = 20_000;
/// Time between two requests.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(10);
/// Most retries of each request in the baseline.
const BASELINE_RETRIES: u32 = 3;

/// Outcome of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// First attempts, one for each request.
    pub first_attempts: u32,
    /// Attempts after the first one.
    pub retries: u32,
    /// Requests that were answered.
    pub answered: u32,
}

fn table() -> GroupTable {
    GroupTable { groups: (0..GROUPS).map(idle_group).collect() }
}

fn refuses(group: &str) -> bool {
    group.trim_start_matches('g').parse::<usize>().is_ok_and(|index| index < GROUPS / 2)
}

fn request(id: u64, now: Duration) -> RequestSpec {
    let workspace = ["a", "b", "c", "d"][(id % 4) as usize];
    let mut spec = RequestSpec::new(id, workspace, "m", "v", &id.to_le_bytes());
    spec.deadline = now + Duration::from_secs(60);
    spec
}

/// Runs the router with its retry budget.
pub fn simulate_retry_budget(failure: Failure, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut router = Router::new("n1".into(), RouteSettings::default());
    router.decide(RouteEvent::Groups(table()), Duration::ZERO, 0);
    let mut outcome = Outcome::default();
    let mut now = Duration::ZERO;
    for id in 1..=REQUESTS {
        now += ARRIVAL_INTERVAL;
        router.decide(RouteEvent::Tick, now, 0);
        let mut spec = request(id, now);
        outcome.first_attempts += 1;
        while let Some(group) = next_attempt(&mut router, &spec, now, &mut rng) {
            outcome.retries += u32::from(spec.attempts > 0);
            if !refuses(&group) {
                outcome.answered += 1;
                router.decide(RouteEvent::Finished(id), now, 0);
                break;
            }
            router.decide(RouteEvent::Failed(id, failure), now, 0);
            spec.attempts += 1;
            spec.excluded.push(group);
        }
    }
    outcome
}

/// Submits an attempt and returns the group that it is sent to, or `None` if the router refuses it.
fn next_attempt(
    router: &mut Router,
    spec: &RequestSpec,
    now: Duration,
    rng: &mut ChaCha8Rng,
) -> Option<GroupId> {
    let mut events = vec![RouteEvent::Submit(spec.clone())];
    while let Some(event) = events.pop() {
        for action in router.decide(event, now, rng.random()) {
            match action {
                RouteAction::Send { group, .. } => return Some(group),
                RouteAction::RequestTrial { request, .. } => {
                    events.push(RouteEvent::TrialDecided(
                        request,
                        TrialDecision::Run { group: None },
                    ));
                }
                _ => {}
            }
        }
    }
    None
}

/// Runs the baseline: up to three retries for each request, without a budget.
pub fn simulate_fixed_retries(seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (groups, loads) = (table(), LoadTracker::default());
    let mut outcome = Outcome::default();
    for id in 1..=REQUESTS {
        let mut spec = request(id, Duration::ZERO);
        outcome.first_attempts += 1;
        for attempt in 0..=BASELINE_RETRIES {
            outcome.retries += u32::from(attempt > 0);
            let candidates = choose::candidates(&groups, &loads, &spec, Duration::ZERO);
            let chosen =
                choose::choose(Policy::Random, &candidates, spec.affinity_key(), rng.random());
            let Some(group) = chosen.map(|chosen| candidates[chosen].view.id.clone()) else {
                break;
            };
            if !refuses(&group) {
                outcome.answered += 1;
                break;
            }
            spec.excluded.push(group);
        }
    }
    outcome
}

fn report(outcome: &Outcome) -> Value {
    let ratio =
        |count: u32| (f64::from(count) / f64::from(outcome.first_attempts) * 1e4).round() / 1e4;
    json!({
        "first_attempts": outcome.first_attempts,
        "retries": outcome.retries,
        "retries_per_first_attempt": ratio(outcome.retries),
        "answered": ratio(outcome.answered),
    })
}

/// Runs the measurement.
pub fn run() -> Value {
    let budget = RETRY_FRACTION * REQUESTS as f64 + RETRY_RESERVE;
    let cases: BTreeMap<&str, Value> = BTreeMap::from([
        ("budget_groups_refuse", report(&simulate_retry_budget(Failure::Refused, 1))),
        ("budget_no_connection", report(&simulate_retry_budget(Failure::NotSent, 1))),
        ("baseline_three_retries_each", report(&simulate_fixed_retries(1))),
    ]);
    json!({ "groups": GROUPS, "groups_down": GROUPS / 2, "budget_in_retries": budget, "cases": cases })
}
