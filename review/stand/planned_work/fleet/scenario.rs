//! What happens in a case, from the parts of its name and from environment variables.
//!
//! Parts: `quiet`, `configure`, `engine` and `routes` (configurations that change the engines' figures, or take
//! routes and services away), `hubs` (the hubs are stopped one after the other), `hubs-at-once`,
//! `replace` (hubs are stopped, and others come at new addresses), `kill-hubs`, `roll` (all processes
//! are stopped in turn), `herd` (all are killed at once), `hup`, `lapse` (the entries of all servers).
//!
//! Variables: ENTRIES, DOMAINS, CUT_OFF, STREAMS, NEW, PLAIN, SLOW_READERS, SLOW_SENDERS, CHUNKS, SLOTS, FIRST_EVENT_MS, SECONDS, CORES_PERCENT,
//! LINK_MBPS, FDS, MEMORY_MB, ADDRESS_SPACE_MB, LOG_KB, QUOTA_PERCENT, QUOTA_MS, QUOTA_SPREAD, CONFIG_MS, ROUTES, ROUTE_BYTES,
//! STEP_MS, SEED, SILENT (0 never, 1 events, 2 heads, 3 servers), SILENCE_MS.

use std::time::Duration;

use super::super::plan::{variable, Plan, Silent};
use super::process::{Limits, Quota};

/// When the first step is taken, in seconds after the traffic has begun.
const FIRST_STEP_S: f64 = 3.0;
/// The last configurations come so long before the end, in seconds.
const QUIET_END_S: f64 = 3.0;

/// What is done to the processes.
#[derive(Clone, Debug)]
pub enum Step {
    Configure(u64),
    /// SIGTERM to a process.
    Stop(usize),
    /// SIGTERM to the hub of a failure domain.
    StopHub(usize),
    /// SIGTERM to the hub of a failure domain, for which a spare process comes.
    ReplaceHub(usize, usize),
    KillHub(usize),
    Crash(usize),
    Hup(usize),
    /// The entries of all servers lapse; the servers write them again.
    Lapse,
}

/// A case.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub plan: Plan,
    pub entries: usize,
    /// Failure domains, 3 at most.
    pub domains: usize,
    /// How many of the last processes reach no server.
    pub cut_off: usize,
    /// Processes that are started only when they replace another one.
    pub spares: usize,
    pub limits: Limits,
    pub quota: Option<Quota>,
    pub steps: Vec<(f64, Step)>,
    /// Whether configurations change the figures of engines.
    pub changes_engines: bool,
    /// Whether configurations take away routes and services, and bring them back.
    pub changes_routes: bool,
    /// Further routes of each configuration, and the bytes of the prefix of each.
    pub routes: u64,
    pub route_bytes: u64,
}

impl Scenario {
    /// Reads the parts of a case's name, or returns `None` if one isn't known.
    pub fn of(parts: &str) -> Option<Scenario> {
        let entries = variable("ENTRIES", 6) as usize;
        let plan = plan();
        let mut scenario = Scenario {
            domains: variable("DOMAINS", 3).clamp(1, 3) as usize,
            cut_off: (variable("CUT_OFF", 0) as usize).min(entries),
            spares: 0,
            limits: Limits {
                cores: variable("CORES_PERCENT", 25) as f64 / 100.0,
                link_mbps: variable("LINK_MBPS", 1_000) as f64,
                descriptors: variable("FDS", 0),
                memory_mb: variable("MEMORY_MB", 0),
                log_kb: variable("LOG_KB", 0),
                address_space_mb: variable("ADDRESS_SPACE_MB", 0),
            },
            quota: quota(),
            steps: Vec::new(),
            changes_engines: false,
            changes_routes: false,
            routes: variable("ROUTES", 0),
            route_bytes: variable("ROUTE_BYTES", 20),
            entries,
            plan,
        };
        for part in parts.split('+') {
            scenario.add(part)?;
        }
        scenario.steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        Some(scenario)
    }

    fn add(&mut self, part: &str) -> Option<()> {
        let pause = variable("STEP_MS", 1_500) as f64 / 1e3;
        let last = self.plan.duration_s - QUIET_END_S;
        let each = |count: usize, step: &dyn Fn(usize) -> Step| -> Vec<(f64, Step)> {
            (0..count).map(|i| (FIRST_STEP_S + 0.1 + i as f64 * pause, step(i))).collect()
        };
        match part {
            "quiet" => {}
            "configure" | "engine" | "routes" => {
                self.changes_engines |= part == "engine";
                self.changes_routes |= part == "routes";
                let pause = variable("CONFIG_MS", 350) as f64 / 1e3;
                let count = ((last - FIRST_STEP_S) / pause) as u64;
                let configure = |i| (FIRST_STEP_S + i as f64 * pause, Step::Configure(8 + 3 * i));
                self.steps.extend((0..count).map(configure));
            }
            "hubs" => self.steps.extend(each(6, &|i| Step::StopHub(i % 3))),
            "hubs-at-once" => {
                let step = |i: usize| (FIRST_STEP_S + (i / 3) as f64 * 5.0, Step::StopHub(i % 3));
                self.steps.extend((0..6).map(step));
            }
            "replace" => {
                self.spares = 6;
                let entries = self.entries;
                self.steps.extend(each(6, &|i| Step::ReplaceHub(i % 3, entries + i)));
            }
            "kill-hubs" => self.steps.extend(each(6, &|i| Step::KillHub(i % 3))),
            "roll" => self.steps.extend(each(self.entries, &Step::Stop)),
            "herd" => {
                let crashes = (0..self.entries).map(|at| (FIRST_STEP_S, Step::Crash(at)));
                self.steps.extend(crashes);
            }
            "lapse" => self.steps.extend(each(6, &|_| Step::Lapse)),
            "hup" => {
                let entries = self.entries;
                self.steps.extend(each(8, &|i| Step::Hup(i % entries)));
            }
            _ => return None,
        }
        Some(())
    }
}

fn plan() -> Plan {
    let base = Plan::of("none").expect("a case of that name");
    Plan {
        duration_s: variable("SECONDS", 15) as f64,
        length_ms: (variable("SHORTEST_MS", 300), variable("LONGEST_MS", 3_000)),
        silent: match variable("SILENT", 0) {
            0 => Silent::Never,
            1 => Silent::Events,
            2 => Silent::Head,
            _ => Silent::Servers,
        },
        slots: variable("SLOTS", 40),
        kept: variable("STREAMS", 80),
        new: variable("NEW", 40),
        plain: variable("PLAIN", 20),
        slow_readers: variable("SLOW_READERS", 0),
        slow_senders: variable("SLOW_SENDERS", 0),
        first_event_ms: variable("FIRST_EVENT_MS", 40),
        has_chunks: variable("CHUNKS", 1) > 0,
        ..base
    }
}

fn quota() -> Option<Quota> {
    let percent = variable("QUOTA_PERCENT", 0);
    let quota = Quota {
        period: Duration::from_millis(variable("QUOTA_MS", 100)),
        share: percent as f64 / 100.0,
        is_spread: variable("QUOTA_SPREAD", 0) > 0,
    };
    (percent > 0).then_some(quota)
}
