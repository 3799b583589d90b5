//! The event traces of the repair measurement, drawn with fixed seeds.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::measure::repair::DETECTION;
use crate::measure::repair::DOMAINS;
use crate::measure::repair::FABRICS_PER_DOMAIN;
use crate::measure::repair::GROUPS;
use crate::measure::repair::VMS_PER_FABRIC;
use crate::measure::repair::VMS_PER_GROUP;
use crate::measure::repair::member_load_time;

/// Seed of the traces; the trace of pauses uses the next one.
const SEED: u64 = 20_261_203;
/// Seconds of a day.
const DAY_S: f64 = 86_400.0;
/// Groups at the target size, to which the users' rates of failures and restarts refer.
const TARGET_GROUPS: f64 = 10_000.0;
/// VMs that fail per day at the target size.
const TARGET_FAILURES: f64 = 170.0;
/// VMs that are restarted or replaced per day at the target size.
const TARGET_RESTARTS: f64 = 2_100.0;
/// Mean absence of a failed VM, in seconds.
const FAILURE_MEAN_S: f64 = 7_200.0;
/// Mean absence of a restarted VM, in seconds.
const RESTART_MEAN_S: f64 = 180.0;
/// Mean absence of a paused VM, in seconds.
const PAUSE_MEAN_S: f64 = 30.0;
/// Length of the trace of ordinary operation, in days.
const ORDINARY_DAYS: f64 = 10.0;
/// Pauses per day in the trace of pauses.
const PAUSES: f64 = 200.0;
/// VMs per rack.
const RACK_VMS: u32 = 10;

/// A period during which a VM is absent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Absence {
    /// The number of the VM.
    pub(super) vm: u32,
    /// When the VM leaves.
    pub(super) from: Duration,
    /// When the VM is back.
    pub(super) until: Duration,
    /// Whether the VM still holds its weights when it is back.
    pub(super) keeps_weights: bool,
}

/// An event trace.
#[derive(Clone, Debug)]
pub(super) struct Trace {
    /// Its name in the output.
    pub(super) name: &'static str,
    /// The absences, ordered by their starts.
    pub(super) events: Vec<Absence>,
    /// Its length.
    pub(super) length: Duration,
}

impl Trace {
    /// Returns a lower bound of the group downtime, in group-seconds: each loss of a member of a
    /// healthy group costs at least detection and one load, or the absence if that is shorter and
    /// the VM keeps its weights.
    pub(super) fn lower_bound(&self) -> f64 {
        let shortest = |event: &Absence| {
            let load = DETECTION + member_load_time();
            let absence = event.until - event.from;
            load.min(if event.keeps_weights { absence } else { load }).as_secs_f64()
        };
        // Members of one group that leave at the same time are counted once; VMs of consecutive
        // numbers stand for a group here. Losing a free VM costs nothing, so the sum is scaled by
        // the share of VMs that are members.
        let mut counted = std::collections::BTreeSet::new();
        let share = f64::from(GROUPS * VMS_PER_GROUP)
            / f64::from(DOMAINS * FABRICS_PER_DOMAIN * VMS_PER_FABRIC);
        let losses = self
            .events
            .iter()
            .filter(|event| counted.insert((event.from, event.vm / VMS_PER_GROUP)));
        losses.map(shortest).sum::<f64>() * share
    }
}

/// Returns all traces.
pub(super) fn all() -> Vec<Trace> {
    let hour = Duration::from_secs(3600);
    let half_hour = Duration::from_secs(1800);
    vec![
        ordinary(),
        simultaneous_absences("rack", 2, RACK_VMS, hour),
        simultaneous_absences("fabric_domain", VMS_PER_FABRIC, VMS_PER_FABRIC, half_hour),
        simultaneous_absences("failure_domain", 0, VMS_PER_FABRIC * FABRICS_PER_DOMAIN, half_hour),
        pauses(),
    ]
}

/// Draws absences of random VMs: a Poisson process of `per_day` starts a day, with exponential
/// lengths of `mean_s` and one second more.
fn random_absences(
    rng: &mut ChaCha8Rng,
    days: f64,
    per_day: f64,
    mean_s: f64,
    keeps_weights: bool,
) -> Vec<Absence> {
    let vms = DOMAINS * FABRICS_PER_DOMAIN * VMS_PER_FABRIC;
    let mut events = Vec::new();
    let mut at = 0.0;
    loop {
        at -= rng.random::<f64>().max(f64::MIN_POSITIVE).ln() * DAY_S / per_day;
        if at >= days * DAY_S {
            return events;
        }
        let away = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() * mean_s + 1.0;
        let from = Duration::from_secs_f64(at);
        let until = from + Duration::from_secs_f64(away);
        events.push(Absence { vm: rng.random_range(0..vms), from, until, keeps_weights });
    }
}

/// Returns failures and restarts at the target's rates, scaled down to [`GROUPS`] groups.
fn ordinary() -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let scale = f64::from(GROUPS) / TARGET_GROUPS;
    let restarts = TARGET_RESTARTS * scale;
    let mut events =
        random_absences(&mut rng, ORDINARY_DAYS, TARGET_FAILURES * scale, FAILURE_MEAN_S, false);
    events.extend(random_absences(&mut rng, ORDINARY_DAYS, restarts, RESTART_MEAN_S, false));
    finish("ordinary_days", events, ORDINARY_DAYS)
}

fn pauses() -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED + 1);
    finish("pauses", random_absences(&mut rng, 1.0, PAUSES, PAUSE_MEAN_S, true), 1.0)
}

/// Returns a trace in which the `count` VMs from `first` on are absent at the same time.
fn simultaneous_absences(name: &'static str, first: u32, count: u32, away: Duration) -> Trace {
    let from = Duration::from_secs(60);
    let absence = |vm| Absence { vm, from, until: from + away, keeps_weights: false };
    finish(name, (first..first + count).map(absence).collect(), 0.25)
}

fn finish(name: &'static str, mut events: Vec<Absence>, days: f64) -> Trace {
    events.sort_by(|a, b| a.from.cmp(&b.from).then(a.vm.cmp(&b.vm)));
    Trace { name, events, length: Duration::from_secs_f64(days * DAY_S) }
}
