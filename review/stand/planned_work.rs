//! Looks for requests that are lost around planned work: entry processes are stopped, get SIGHUP and new
//! configurations while clients send stream after stream.
//!
//! `SEED` and `SILENCE_MS` vary a case, `KEEP=1` keeps the logs of the processes.
//!
//! - `plan`: what happens in each case, and when.
//! - `script`: what a client asks a server to play, sent as the body of its request.
//! - `servers`: the servers, and a journal of what they have run.
//! - `clients`: the clients, which check each answer.
//! - `fleet`: cases with many processes, which are started again when they end.
//! - `judge`: which requests are lost, and for which cause.

mod clients;
mod fleet;
mod judge;
mod plan;
mod script;
mod servers;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::world::{Quota, World, HUP, KILL, TERM};
use crate::Verdict;
use plan::{Act, Plan};
use servers::Servers;

/// Time after SIGTERM at which a process is killed, in seconds.
const GRACE_S: f64 = 8.0;
const ENTRIES: usize = 2;
/// How processes with a quota of processor time run.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
const QUOTA_SHARE: f64 = 0.25;

/// Plays the case `name`, or returns `None` if it isn't one of these.
pub fn play(world: &mut World, name: &str) -> Option<Verdict> {
    if name.starts_with("fleet:") {
        return fleet::play(world, name);
    }
    let plan = Arc::new(Plan::of(name)?);
    Some(play_plan(world, plan))
}

fn play_plan(world: &mut World, plan: Arc<Plan>) -> Verdict {
    world.record.write(&format!("{plan:?}"));
    world.store.put("op/config", &plan::config(7, &plan));
    let servers = Servers::start(world, &plan);
    let entries: Vec<usize> =
        (0..ENTRIES).map(|at| world.start_entry(["a", "b"][at % 2])).collect();
    let until = Instant::now() + Duration::from_secs(30);
    while !servers.are_open() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(100));
    }
    if !entries.iter().all(|at| world.wait_until_ready(*at)) || !servers.are_open() {
        return Verdict::NotRun("the groups aren't open, or a process isn't ready".into());
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let addresses = entries.iter().map(|at| world.entry(*at).callers).collect();
    let processes = entries.iter().map(|at| world.process_id(*at)).collect();
    let quota = plan.has_quota.then(|| Quota::start(processes, QUOTA_PERIOD, QUOTA_SHARE));
    let crowd = clients::Crowd::start(&plan, addresses, &world.record);
    let started = world.record.now();
    servers.begin(started);
    let mut times = Vec::new();
    for (after, act) in plan.schedule() {
        let left = started + after - world.record.now();
        std::thread::sleep(Duration::from_secs_f64(left.max(0.0)));
        let at = world.record.now();
        match &act {
            _ if !world.trouble => continue,
            Act::Stop(entry) => {
                crowd.stops(*entry, at);
                world.signal(*entry, TERM, "SIGTERM");
            }
            Act::Kill(entry) | Act::Crash(entry) => world.signal(*entry, KILL, "SIGKILL"),
            Act::Hup(entry) => world.signal(*entry, HUP, "SIGHUP"),
            Act::Configure(version) => {
                world.record.write(&format!("configuration {version} is written"));
                world.store.put("op/config", &plan::config(*version, &plan));
            }
        }
        times.push((at, act));
    }
    let left = started + plan.duration_s - world.record.now();
    std::thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    let outcomes = crowd.end();
    drop(quota);
    let logs = entries.iter().map(|at| world.entry(*at).log.clone()).collect();
    judge::judge(&world.record, &outcomes, &servers.journal(), &times, logs)
}
