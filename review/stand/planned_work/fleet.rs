//! Cases with many entry processes, which are started again whenever they end, within limits like those of
//! small VMs.
//!
//! A case is named `fleet:PART+PART...`; [`scenario`] lists the parts. Environment variables vary it.
//!
//! - `process`: an entry process, its limits, its ends.
//! - `scenario`: what happens, and when.
//! - `configuration`: configurations that are large, or change what streams are using.
//! - `report`: when and where requests were cut.
//! - `versions`: how long configurations take until they are in force.

mod configuration;
mod process;
mod report;
mod scenario;
mod versions;

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::clients::Crowd;
use super::judge;
use super::plan::Act;
use super::servers::Servers;
use crate::world::{exchange, World, HUP, KILL, TERM};
use crate::Verdict;
use process::Process;
use scenario::{Scenario, Step};

/// Failure domains of the processes.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Failure domains of processes that reach no server.
const CUT_OFF_DOMAINS: [&str; 3] = ["x", "y", "z"];
const START_TIME: Duration = Duration::from_secs(40);
/// Time after which the process that replaces a stopped one is started, in milliseconds.
const REPLACED_AFTER: Duration = Duration::from_millis(700);

/// Plays a case, or returns `None` if there is none with this name.
pub fn play(world: &mut World, name: &str) -> Option<Verdict> {
    let scenario = Scenario::of(name.strip_prefix("fleet:")?)?;
    Some(Fleet::start(world, scenario).map_or_else(Verdict::NotRun, Fleet::play))
}

struct Fleet<'a> {
    world: &'a World,
    scenario: Scenario,
    servers: Servers,
    processes: Vec<Arc<Process>>,
}

impl<'a> Fleet<'a> {
    fn start(world: &'a World, scenario: Scenario) -> Result<Self, String> {
        world.record.write(&format!("{scenario:?}"));
        world.store.put("op/config", &configuration::text(configuration::FIRST_VERSION, &scenario));
        let servers = Servers::start(world, &scenario.plan);
        let all = scenario.entries + scenario.spares;
        let cut_off = world.store.start_view(without_paths);
        let new = |at: usize| {
            let is_cut_off = (scenario.entries - scenario.cut_off..scenario.entries).contains(&at);
            let (domain, store) = match is_cut_off {
                // As the hub of its own failure domain it gets no rows from others.
                true => (CUT_OFF_DOMAINS[at % 3], cut_off),
                false => (DOMAINS[at % scenario.domains], world.store.address),
            };
            Arc::new(Process::new(world, at, domain, store, &scenario.limits))
        };
        let processes: Vec<Arc<Process>> = (0..all).map(new).collect();
        processes[..scenario.entries].iter().for_each(Process::run);
        let fleet = Fleet { world, scenario, servers, processes };
        let until = Instant::now() + START_TIME;
        while !fleet.is_ready() {
            if Instant::now() > until {
                return Err("the groups aren't open, or a process isn't ready".into());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(Duration::from_millis(1_500));
        Ok(fleet)
    }

    fn is_ready(&self) -> bool {
        let is_ready = |process: &Arc<Process>| {
            let answer = exchange(process.readiness, "GET /ready", &[], b"");
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        self.servers.are_open() && self.processes[..self.scenario.entries].iter().all(is_ready)
    }

    fn play(self) -> Verdict {
        let (record, scenario) = (&self.world.record, &self.scenario);
        let addresses = self.processes.iter().map(|process| process.callers).collect();
        let plan = Arc::new(scenario.plan.clone());
        let quotas = self.processes.iter().enumerate().filter_map(|(at, process)| {
            scenario.quota.map(|quota| process.limit_time(quota, at, self.processes.len()))
        });
        let quotas: Vec<_> = quotas.collect();
        let crowd = Crowd::start(&plan, addresses, record);
        for spare in scenario.entries..self.processes.len() {
            crowd.stops(spare, f64::NEG_INFINITY);
        }
        let started = record.now();
        self.servers.begin(started);
        let mut times = Vec::new();
        for (after, step) in scenario.steps.iter().filter(|_| self.world.trouble) {
            sleep_until(started + after, || record.now());
            self.take(step, &crowd, &mut times);
        }
        sleep_until(started + plan.duration_s, || record.now());
        let refused = crowd.refused();
        let outcomes = crowd.end();
        drop(quotas);
        let late = versions::judge(record, &self.processes, &times);
        self.processes.iter().for_each(|process| process.end());
        report::write(record, &outcomes, &self.processes, refused, started);
        let logs = self.processes.iter().map(|process| process.log.clone()).collect();
        let verdict = judge::judge(record, &outcomes, &self.servers.journal(), &times, logs);
        match verdict {
            Verdict::Held(text) if late > 0 => {
                Verdict::Broken(format!("CONFIG {late} late: {text}"))
            }
            verdict => verdict,
        }
    }

    /// Takes a step, and notes what it was for the judge.
    fn take(&self, step: &Step, crowd: &Crowd, times: &mut Vec<(f64, Act)>) {
        let record = &self.world.record;
        let now = record.now();
        match step {
            Step::Configure(version) => {
                let text = configuration::text(*version, &self.scenario);
                record.write(&format!("configuration {version} of {} bytes", text.len()));
                self.world.store.put("op/config", &text);
                times.push((now, Act::Configure(*version)));
            }
            Step::Stop(at) => self.stop(*at, crowd, times),
            Step::StopHub(domain) => {
                if let Some(at) = self.hub(DOMAINS[*domain]) {
                    self.stop(at, crowd, times);
                }
            }
            Step::ReplaceHub(domain, spare) => {
                if let Some(at) = self.hub(DOMAINS[*domain]) {
                    self.processes[at].is_removed.store(true, std::sync::atomic::Ordering::Relaxed);
                    self.stop(at, crowd, times);
                    let process = self.processes[*spare].clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(REPLACED_AFTER);
                        process.run();
                    });
                    crowd.returns(*spare);
                }
            }
            Step::KillHub(domain) => {
                if let Some(at) = self.hub(DOMAINS[*domain]) {
                    self.processes[at].signal(KILL, "SIGKILL");
                    times.push((now, Act::Crash(at)));
                }
            }
            Step::Crash(at) => {
                self.processes[*at].signal(KILL, "SIGKILL");
                times.push((now, Act::Crash(*at)));
            }
            Step::Lapse => {
                record.write("the entries of all servers lapse");
                let rows = self.world.store.rows("servers/");
                rows.iter().for_each(|(key, _)| self.world.store.delete(key));
            }
            Step::Hup(at) => {
                self.processes[*at].signal(HUP, "SIGHUP");
                times.push((now, Act::Hup(*at)));
            }
        }
    }

    fn stop(&self, at: usize, crowd: &Crowd, times: &mut Vec<(f64, Act)>) {
        let now = self.world.record.now();
        crowd.stops(at, now);
        self.processes[at].stop(TERM);
        times.push((now, Act::Stop(at)));
        if !self.processes[at].is_removed.load(std::sync::atomic::Ordering::Relaxed) {
            crowd.returns_after_stop(at);
        }
    }

    /// Returns the process that is the hub of a failure domain.
    fn hub(&self, domain: &str) -> Option<usize> {
        let rows = self.world.store.rows("hub/");
        let (_, value) = rows.iter().find(|(key, _)| key.ends_with(&format!("hub/{domain}")))?;
        let value = String::from_utf8_lossy(value).into_owned();
        let is_named = |process: &Arc<Process>| value.contains(&format!("\"{}\"", process.peers));
        self.processes.iter().position(is_named)
    }
}

/// Returns an entry of a server with an address on which nothing listens; other values as they are.
fn without_paths(value: String) -> String {
    const ADDRESS: &str = "\"address\":\"127.0.0.1:";
    let Some(from) = value.find(ADDRESS).filter(|_| value.contains("\"warmup_left_ms\"")) else {
        return value;
    };
    let rest = value[from + ADDRESS.len()..].trim_start_matches(|c: char| c.is_ascii_digit());
    format!("{}{ADDRESS}1{rest}", &value[..from])
}

fn sleep_until(at: f64, now: impl Fn() -> f64) {
    std::thread::sleep(Duration::from_secs_f64((at - now()).max(0.0)));
}
