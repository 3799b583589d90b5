//! Measures what one request that crashes its groups costs when its caller sends it 20 times.
//!
//! The baseline tries each request at up to three groups and knows no quarantine. All times are of
//! the model in [`simulation`]; the routers are the real ones.

pub mod simulation;

use base::prelude::*;
use serde_json::Value;
use serde_json::json;

pub use simulation::simulate;

const MS: Duration = Duration::from_millis(1);
/// How long an answer takes.
const SERVICE: Duration = Duration::from_secs(1);

/// The size of the model.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Processes.
    pub nodes: usize,
    /// Groups.
    pub groups: usize,
    /// How often the caller sends the request that kills.
    pub sends: u32,
    /// The longest time that a view or fact takes to reach a process.
    pub max_propagation_delay: Duration,
    /// Requests a second of all other callers.
    pub background_rate: f64,
    /// Whether the routers hold suspects and convicts.
    pub quarantine: bool,
    /// Time between sends of a caller that does not wait for answers.
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

/// What came of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Groups that crashed.
    pub crashes: u32,
    /// Sends of the request that kills which were refused at once and finally.
    pub quarantine_refusals: u32,
    /// Requests of other callers.
    pub innocents: u32,
    /// Those that were running in a crash.
    pub background_in_crash: u32,
    /// Those that were refused for good, or never answered.
    pub background_lost: u32,
    /// The longest time from a crash to the answer of a request that shared it.
    pub longest_time_to_answer: Duration,
}

/// Runs of each case, with the seeds from 0 on.
const RUNS: u64 = 20;

/// Runs the measurement over several seeds, with and without quarantine.
pub fn run() -> Value {
    let default = Options::default();
    let slow = Options { max_propagation_delay: 3000 * MS, ..default };
    let busy = Options { background_rate: 600.0, ..default };
    let impatient = Options { resend_interval: Some(50 * MS), ..default };
    json!({
        "processes": default.nodes,
        "groups": default.groups,
        "sends": default.sends,
        "runs": RUNS,
        "service_ms": SERVICE.as_millis() as u64,
        "quarantine": {
            "spread_500_ms": report(default),
            "spread_3000_ms": report(slow),
            "ten_times_the_load": report(busy),
            "caller_sends_every_50_ms": report(impatient),
        },
        "baseline_three_attempts": {
            "spread_500_ms": report(Options { quarantine: false, ..default }),
            "caller_sends_every_50_ms": report(Options { quarantine: false, ..impatient }),
        },
    })
}

fn report(options: Options) -> Value {
    let runs: Vec<Outcome> = (0..RUNS).map(|seed| simulate(options, seed)).collect();
    let total = |part: fn(&Outcome) -> u32| -> u32 { runs.iter().map(part).sum() };
    let longest = runs.iter().map(|run| run.longest_time_to_answer).max().unwrap_or_default();
    json!({
        "crashes_most": runs.iter().map(|run| run.crashes).max(),
        "crashes_mean": f64::from(total(|run| run.crashes)) / RUNS as f64,
        "refused_finally_mean": f64::from(total(|run| run.quarantine_refusals)) / RUNS as f64,
        "innocents": total(|run| run.innocents),
        "innocents_that_shared_a_crash": total(|run| run.background_in_crash),
        "innocents_lost": total(|run| run.background_lost),
        "longest_from_crash_to_answer_ms": longest.as_millis() as u64,
    })
}
