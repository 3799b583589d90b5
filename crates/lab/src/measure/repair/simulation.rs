//! One run of a trace through planner, records and load schedule, in steps of one second.
//!
//! Steps are longer while groups only wait, and skipped while all serve. The planner runs after
//! each change, and at least each [`LONG_STEP`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::prelude::*;
use group::prelude::*;
use plan::prelude::PlanSettings;
use plan::prelude::Scratch;
use plan::prelude::plan;
use spec::prelude::*;

use crate::measure::repair::ACCELERATORS_PER_VM;
use crate::measure::repair::DETECTION;
use crate::measure::repair::ENGINE_RATE;
use crate::measure::repair::ENGINE_START;
use crate::measure::repair::GROUP_BYTES;
use crate::measure::repair::GROUPS;
use crate::measure::repair::STORE_RATE;
use crate::measure::repair::VMS_PER_GROUP;
use crate::measure::repair::deployment;
use crate::measure::repair::events::Trace;
use crate::measure::repair::outcome::Outcome;

/// Time of a step while something happens.
const STEP: Duration = Duration::from_secs(1);
/// Longest step, and longest time between two plans.
const LONG_STEP: Duration = Duration::from_secs(10);

/// A stand-in engine.
#[derive(Clone, Debug, Default)]
struct Engine {
    up: bool,
    silent_since: Duration,
    /// The group, rank and version whose weights it holds.
    weights: Option<(GroupId, u32)>,
    /// Bytes still to load, and when the engine is ready after the last one.
    load: Option<f64>,
    ready_at: Option<Duration>,
}

struct Run {
    now: Duration,
    catalog: Catalog,
    loads: LoadTimeModel,
    settings: PlanSettings,
    scratch: Scratch,
    records: BTreeMap<FabricId, FabricRecord>,
    engines: BTreeMap<VmId, Engine>,
    schedule: WeightLoadScheduler,
    write_id: u64,
    /// Whether anything changed since the last plan.
    changed: bool,
    filling: bool,
    next_plan: Duration,
    /// When each group that does not serve stopped doing so, by replica slot.
    down_since: Vec<Duration>,
    outcome: Outcome,
}

/// Runs `trace` with the given downtime weight and settings.
pub(super) fn run(trace: &Trace, weight: f64, settings: PlanSettings) -> Outcome {
    let mut run = Run::new(weight, settings);
    run.fill();
    let start = run.now;
    run.outcome = Outcome { downtimes: Vec::new(), stranded: 0.0, total: 0.0 };
    let names: Vec<VmId> = run.engines.keys().cloned().collect();
    let mut pending: Vec<(Duration, u32, bool, bool)> = Vec::new();
    for event in &trace.events {
        pending.push((start + event.from, event.vm, false, event.keeps_weights));
        pending.push((start + event.until, event.vm, true, event.keeps_weights));
    }
    pending.sort();
    pending.reverse();
    let mut away: BTreeMap<u32, u32> = BTreeMap::new();
    let end = start + trace.length;
    while run.now < end {
        while let Some((at, vm, back, keeps)) = pending.last().copied() {
            if at > run.now {
                break;
            }
            pending.pop();
            let absences = away.entry(vm).or_default();
            *absences = if back { *absences - 1 } else { *absences + 1 };
            let up = *absences == 0;
            run.set_up(&names[vm as usize], up, keeps);
        }
        if run.is_calm() {
            let next = pending.last().map_or(end, |event| event.0).min(end);
            run.account(next.saturating_sub(run.now).max(STEP));
            run.now = next.max(run.now + STEP);
            continue;
        }
        let next = pending.last().map_or(end, |event| event.0).min(end);
        run.step(next);
    }
    run.finish()
}

impl Run {
    fn new(weight: f64, settings: PlanSettings) -> Self {
        let catalog = deployment::catalog(weight);
        let vms = catalog.backend_servers.iter().map(|(name, _)| name.into());
        let engines = vms.map(|vm| (vm, Engine { up: true, ..Engine::default() })).collect();
        Run {
            now: Duration::ZERO,
            catalog,
            loads: LoadTimeModel {
                store_bytes_per_second: STORE_RATE,
                engine_bytes_per_second: ENGINE_RATE,
                engine_start: ENGINE_START,
            },
            settings,
            scratch: Scratch::default(),
            records: BTreeMap::new(),
            engines,
            schedule: WeightLoadScheduler::new(STORE_RATE, ENGINE_RATE),
            write_id: 0,
            changed: true,
            filling: false,
            next_plan: Duration::ZERO,
            down_since: Vec::new(),
            outcome: Outcome { downtimes: Vec::new(), stranded: 0.0, total: 0.0 },
        }
    }

    /// Runs until all declared groups serve, with loads that take no time.
    fn fill(&mut self) {
        let backlog = std::mem::replace(&mut self.settings.max_load_backlog, Duration::MAX);
        self.filling = true;
        while self.serving() < GROUPS as usize {
            self.step(self.now + STEP);
        }
        self.filling = false;
        self.settings.max_load_backlog = backlog;
    }

    fn serving(&self) -> usize {
        let groups = self.records.values().flat_map(|record| &record.groups);
        groups.filter(|group| group.state == GroupState::Serving).count()
    }

    /// Returns whether nothing happens until a VM goes or comes.
    fn is_calm(&self) -> bool {
        let groups = self.records.values().flat_map(|record| &record.groups);
        let whole = |group: &GroupRecord| {
            group.state == GroupState::Serving
                && group.members.iter().all(|member| self.engines[&member.vm].up)
        };
        self.serving() == GROUPS as usize && groups.into_iter().all(whole)
    }

    fn set_up(&mut self, vm: &str, up: bool, keeps_weights: bool) {
        let now = self.now;
        let engine = self.engines.get_mut(vm).expect("the VM is one of the fleet");
        if engine.up && !up {
            engine.silent_since = now;
        }
        engine.up = up;
        self.changed = true;
        if !up && !keeps_weights {
            engine.weights = None;
            engine.load = None;
            engine.ready_at = None;
            self.schedule.finish(vm);
        }
    }

    /// Takes one step, a longer one up to `next` if groups only wait.
    fn step(&mut self, next: Duration) {
        self.move_groups();
        if self.changed || self.now >= self.next_plan {
            self.changed = false;
            self.next_plan = self.now + LONG_STEP;
            self.plan();
        }
        let length = match self.is_busy() {
            true => STEP,
            false => next.saturating_sub(self.now).clamp(STEP, LONG_STEP),
        };
        self.transfer();
        self.account(length);
        self.now += length;
    }

    /// Returns whether a group moves on, or a loss is still to be detected.
    fn is_busy(&self) -> bool {
        let groups = self.records.values().flat_map(|record| &record.groups);
        let moves =
            |group: &GroupRecord| !matches!(group.state, GroupState::Serving | GroupState::Broken);
        let undetected =
            |engine: &Engine| !engine.up && self.now <= engine.silent_since + DETECTION;
        self.changed || groups.into_iter().any(moves) || self.engines.values().any(undetected)
    }

    /// Does what the keepers do, by the same moves.
    fn move_groups(&mut self) {
        let strays = self.strays();
        let fabrics: Vec<FabricId> = self.records.keys().cloned().collect();
        for fabric in fabrics {
            let groups = self.records[&fabric].groups.clone();
            for group in groups {
                if let Some(change) = self.due_move(&group, &strays) {
                    self.apply(&fabric, &change);
                }
            }
        }
    }

    fn due_move(&mut self, group: &GroupRecord, strays: &[VmId]) -> Option<Transition> {
        let target = GroupRef { group: group.id.clone(), generation: group.generation };
        let up = group.members.iter().all(|member| self.engines[&member.vm].up);
        let detected = group.members.iter().any(|member| {
            let engine = &self.engines[&member.vm];
            !engine.up && self.now >= engine.silent_since + DETECTION
        });
        match group.state {
            GroupState::Forming if up => {
                let boot = |member: &Member| MemberBoot { vm: member.vm.clone(), boot: 1 };
                let boots = group.members.iter().map(boot).collect();
                Some(Transition::ConfirmLoading { target, boots })
            }
            GroupState::Loading if up && self.load_members(group) => {
                Some(Transition::Serve { target })
            }
            GroupState::Loading => match self.returned(group, strays) {
                Some((removed, replacement)) => {
                    Some(Transition::Return { target, removed, replacement })
                }
                None => detected.then_some(Transition::Break { target }),
            },
            GroupState::Forming | GroupState::Serving => {
                detected.then_some(Transition::Break { target })
            }
            GroupState::Broken => up.then_some(Transition::Rejoin { target }),
            GroupState::Draining => Some(Transition::Dissolve { target }),
            GroupState::Dissolved => None,
        }
    }

    /// Asks for the loads of members without weights and returns whether all have them.
    fn load_members(&mut self, group: &GroupRecord) -> bool {
        let now = self.now;
        let holds = |engine: &Engine, member: &Member| {
            let same = engine.weights == Some((group.id.clone(), member.rank));
            same && engine.load.is_none() && engine.ready_at.is_none_or(|at| now >= at)
        };
        let waits = group.members.iter().filter(|m| !holds(&self.engines[&m.vm], m));
        let waits: Vec<Member> = waits.cloned().collect();
        for member in &waits {
            let engine = self.engines.get_mut(&member.vm).expect("the VM is one of the fleet");
            let place = Some((group.id.clone(), member.rank));
            if engine.weights == place {
                continue;
            }
            engine.weights = place;
            let bytes = GROUP_BYTES / u64::from(VMS_PER_GROUP);
            engine.ready_at = None;
            engine.load = (!self.filling).then_some(bytes as f64);
            if self.filling {
                continue;
            }
            self.schedule.finish(&member.vm);
            let wish = WeightLoadRequest {
                group: group.id.clone(),
                vm: member.vm.clone(),
                bytes,
                missing: waits.len() as u32,
            };
            self.schedule.request(wish, now);
        }
        waits.is_empty()
    }

    /// Returns the free VMs that hold the weights of a place in a group.
    fn strays(&self) -> Vec<VmId> {
        let groups = self.records.values().flat_map(|record| &record.groups);
        let members: BTreeSet<&VmId> =
            groups.flat_map(|group| &group.members).map(|member| &member.vm).collect();
        let holds =
            |engine: &Engine| engine.up && engine.weights.is_some() && engine.load.is_none();
        let strays =
            self.engines.iter().filter(|(vm, engine)| holds(engine) && !members.contains(vm));
        strays.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns a member whose load has not ended and the free VM that still holds its weights.
    fn returned(&self, group: &GroupRecord, strays: &[VmId]) -> Option<(VmId, VmId)> {
        strays.iter().find_map(|vm| {
            let (id, rank) = self.engines[vm].weights.as_ref()?;
            let member = group.members.get(*rank as usize).filter(|_| *id == group.id)?;
            let loading = self.engines[&member.vm].load.is_some();
            loading.then(|| (member.vm.clone(), vm.clone()))
        })
    }

    /// Moves weights for one step: started loads share the store's rate.
    fn transfer(&mut self) {
        self.schedule.start(self.now);
        let started = self.engines.iter().filter(|(vm, engine)| {
            engine.load.is_some() && engine.up && self.schedule.is_started(vm)
        });
        let started: Vec<VmId> = started.map(|(vm, _)| vm.clone()).collect();
        let share = STORE_RATE as f64 / started.len().max(1) as f64;
        let bytes = share.min(ENGINE_RATE as f64) * STEP.as_secs_f64();
        for vm in started {
            let engine = self.engines.get_mut(&vm).expect("the VM is one of the fleet");
            let left = engine.load.unwrap_or(0.0) - bytes;
            engine.load = (left > 0.0).then_some(left);
            if engine.load.is_none() {
                engine.ready_at = Some(self.now + STEP + ENGINE_START);
                self.schedule.finish(&vm);
            }
        }
    }

    fn plan(&mut self) {
        let status = |(vm, engine): (&VmId, &Engine)| {
            let silent_for = match engine.up {
                true => Duration::ZERO,
                false => self.now.saturating_sub(engine.silent_since),
            };
            let detected = !engine.up && silent_for >= DETECTION;
            let status = VmStatus {
                vm: vm.clone(),
                is_up: !detected,
                leaving: false,
                boot: 1,
                unresponsive_for: silent_for,
            };
            (vm.clone(), status)
        };
        let vms: BTreeMap<VmId, VmStatus> = self.engines.iter().map(status).collect();
        let facts = PlannerInputs {
            catalog: &self.catalog,
            records: &self.records,
            vms: &vms,
            loads: &self.loads,
        };
        let planning = PlannerBridge::new(&facts, self.now);
        let commands = plan(planning.cluster(), &self.settings, self.now, &mut self.scratch);
        for changes in planning.transitions(&commands) {
            for change in &changes.transitions {
                self.apply(&changes.fabric, change);
            }
        }
    }

    fn apply(&mut self, fabric: &FabricId, change: &Transition) {
        self.write_id += 1;
        self.changed = true;
        let empty = || FabricRecord::empty(fabric.clone());
        let record = self.records.entry(fabric.clone()).or_insert_with(empty);
        match apply(record, change, self.write_id) {
            Ok(next) => *record = next,
            Err(findings) => panic!("{change:?}: {findings}"),
        }
    }

    /// Counts what the state of now costs for `time`.
    fn account(&mut self, time: Duration) {
        let mut serving = 0;
        for group in self.records.values().flat_map(|record| &record.groups) {
            let up = group.members.iter().filter(|member| self.engines[&member.vm].up).count();
            if group.state == GroupState::Serving && up == group.members.len() {
                serving += 1;
            } else {
                let held = up as f64 * f64::from(ACCELERATORS_PER_VM);
                self.outcome.stranded += held * time.as_secs_f64();
            }
        }
        let spares = self.records.values().map(|record| record.spares.len()).sum::<usize>();
        self.outcome.stranded +=
            spares as f64 * f64::from(ACCELERATORS_PER_VM) * time.as_secs_f64();
        let down = (GROUPS as usize).saturating_sub(serving);
        self.outcome.total += down as f64 * time.as_secs_f64();
        while self.down_since.len() < down {
            self.down_since.push(self.now);
        }
        while self.down_since.len() > down {
            let since = self.down_since.remove(0);
            self.outcome.downtimes.push((self.now - since).as_secs_f64());
        }
    }

    fn finish(mut self) -> Outcome {
        for since in std::mem::take(&mut self.down_since) {
            self.outcome.downtimes.push((self.now - since).as_secs_f64());
        }
        self.outcome
    }
}
