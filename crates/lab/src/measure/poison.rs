//! Measures crashes and lost requests when a poison request is sent 20 times.
//!
//! The baseline tries each request at up to three groups and has no quarantine. All times are
//! simulated by [`simulation`]; the routers are the real ones.

pub mod simulation;

use base::prelude::*;
use serde_json::Value;
use serde_json::json;

pub use simulation::simulate;

const MS: Duration = Duration::from_millis(1);
/// Time that a group takes to answer a request.
const SERVICE: Duration = Duration::from_secs(1);

/// Size and load of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of processes, each with a router.
    pub nodes: usize,
    /// Number of groups.
    pub groups: usize,
    /// How often the caller sends the poison request.
    pub sends: u32,
    /// Longest time that a group table or a fact takes to reach a process.
    pub max_propagation_delay: Duration,
    /// Requests per second of all other callers.
    pub background_rate: f64,
    /// Whether the routers run suspects only in trials and quarantine poison requests.
    pub quarantine: bool,
    /// Time between submissions of a caller that does not wait for answers; `None` if it waits.
    pub resend_interval: Option<Duration>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            nodes: 8,
            groups: 16,
            sends: 20,
            max_propagation_delay: 500 * MS,
            background_rate: 60.0,
            quarantine: true,
            resend_interval: None,
        }
    }
}

/// Outcome of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Groups that crashed.
    pub crashes: u32,
    /// Submissions of the poison request that were refused because it is quarantined.
    pub quarantine_refusals: u32,
    /// Background requests, those of other callers.
    pub background_requests: u32,
    /// Background requests that were running in a group when it crashed.
    pub background_in_crash: u32,
    /// Background requests that were refused without a retry time, or never answered.
    pub background_lost: u32,
    /// Longest time from a crash to the answer of a background request that it interrupted.
    pub longest_time_to_answer: Duration,
}

/// Runs of each case, with seeds from 0 on.
const RUNS: u64 = 20;

/// Runs the measurement over several seeds, with and without quarantine.
pub fn run() -> Value {
    let default = Options::default();
    let slow_propagation = Options { max_propagation_delay: 3000 * MS, ..default };
    let high_load = Options { background_rate: 600.0, ..default };
    let frequent_resends = Options { resend_interval: Some(50 * MS), ..default };
    json!({
        "processes": default.nodes,
        "groups": default.groups,
        "sends": default.sends,
        "runs": RUNS,
        "service_ms": SERVICE.as_millis() as u64,
        "quarantine": {
            "spread_500_ms": report(default),
            "spread_3000_ms": report(slow_propagation),
            "ten_times_the_load": report(high_load),
            "caller_sends_every_50_ms": report(frequent_resends),
        },
        "baseline_three_attempts": {
            "spread_500_ms": report(Options { quarantine: false, ..default }),
            "caller_sends_every_50_ms": report(Options { quarantine: false, ..frequent_resends }),
        },
    })
}

fn report(options: Options) -> Value {
    let runs: Vec<Outcome> = (0..RUNS).map(|seed| simulate(options, seed)).collect();
    let total = |count: fn(&Outcome) -> u32| -> u32 { runs.iter().map(count).sum() };
    let longest = runs.iter().map(|run| run.longest_time_to_answer).max().unwrap_or_default();
    json!({
        "crashes_most": runs.iter().map(|run| run.crashes).max(),
        "crashes_mean": f64::from(total(|run| run.crashes)) / RUNS as f64,
        "refused_finally_mean": f64::from(total(|run| run.quarantine_refusals)) / RUNS as f64,
        "innocents": total(|run| run.background_requests),
        "innocents_that_shared_a_crash": total(|run| run.background_in_crash),
        "innocents_lost": total(|run| run.background_lost),
        "longest_from_crash_to_answer_ms": longest.as_millis() as u64,
    })
}
