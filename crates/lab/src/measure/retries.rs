//! Measures retry traffic while half of the groups refuse every request.
//!
//! A model of one router whose view of the groups is never corrected, which is the worst case; the
//! router is the real one. The baseline makes up to three further attempts for each request.

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
const GAP: Duration = Duration::from_millis(10);
const BASELINE_RETRIES: u32 = 3;

/// What came of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// First attempts.
    pub first_attempts: u32,
    /// Further attempts.
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
    let mut need = RequestSpec::new(id, workspace, "m", "v", &id.to_le_bytes());
    need.deadline = now + Duration::from_secs(60);
    need
}

/// Runs the router with its retry budget.
pub fn simulate_retry_budget(failure: Failure, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut router = Router::new("n1".into(), RouteSettings::default());
    router.decide(RouteEvent::Groups(table()), Duration::ZERO, 0);
    let mut outcome = Outcome::default();
    let mut now = Duration::ZERO;
    for id in 1..=REQUESTS {
        now += GAP;
        router.decide(RouteEvent::Tick, now, 0);
        let mut need = request(id, now);
        outcome.first_attempts += 1;
        while let Some(group) = sent_to(&mut router, &need, now, &mut rng) {
            outcome.retries += u32::from(need.attempts > 0);
            if !refuses(&group) {
                outcome.answered += 1;
                router.decide(RouteEvent::Finished(id), now, 0);
                break;
            }
            router.decide(RouteEvent::Failed(id, failure), now, 0);
            need.attempts += 1;
            need.excluded.push(group);
        }
    }
    outcome
}

/// Asks for an attempt and returns the group, or `None` if the request is refused.
fn sent_to(
    router: &mut Router,
    need: &RequestSpec,
    now: Duration,
    rng: &mut ChaCha8Rng,
) -> Option<GroupId> {
    let mut events = vec![RouteEvent::Submit(need.clone())];
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

/// Runs the baseline: a number of retries for each request.
pub fn simulate_fixed_retries(seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (groups, loads) = (table(), LoadTracker::default());
    let mut outcome = Outcome::default();
    for id in 1..=REQUESTS {
        let mut need = request(id, Duration::ZERO);
        outcome.first_attempts += 1;
        for attempt in 0..=BASELINE_RETRIES {
            outcome.retries += u32::from(attempt > 0);
            let open = choose::candidates(&groups, &loads, &need, Duration::ZERO);
            let chosen = choose::choose(Policy::Random, &open, need.affinity_key(), rng.random());
            let Some(group) = chosen.map(|chosen| open[chosen].view.id.clone()) else { break };
            if !refuses(&group) {
                outcome.answered += 1;
                break;
            }
            need.excluded.push(group);
        }
    }
    outcome
}

fn report(outcome: &Outcome) -> Value {
    let ratio =
        |part: u32| (f64::from(part) / f64::from(outcome.first_attempts) * 1e4).round() / 1e4;
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
