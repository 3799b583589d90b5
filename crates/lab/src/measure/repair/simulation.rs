//! Simulates one trace with the real planner, record transitions and weight load scheduler.
//!
//! A step is one second, up to [`LONG_STEP`] while no group changes state, and while all groups
//! serve time advances directly to the next event. The planner runs after each change, and at least
//! every [`LONG_STEP`].

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

/// Length of a step while groups change.
const STEP: Duration = Duration::from_secs(1);
/// Longest step, and longest time between two runs of the planner.
const LONG_STEP: Duration = Duration::from_secs(10);

/// A simulated engine.
#[derive(Clone, Debug, Default)]
struct Engine {
    up: bool,
    unresponsive_since: Duration,
    /// The group and rank whose weights it holds or loads.
    weights: Option<(GroupId, u32)>,
    /// Bytes still to load.
    load: Option<f64>,
    /// When the engine is ready after its load.
    ready_at: Option<Duration>,
}

struct Simulation {
    now: Duration,
    catalog: Catalog,
    loads: LoadTimeModel,
    settings: PlanSettings,
    scratch: Scratch,
    records: BTreeMap<FabricId, FabricRecord>,
    engines: BTreeMap<VmId, Engine>,
    schedule: WeightLoadScheduler,
    write_id: u64,
    /// Whether anything changed since the planner last ran.
    changed: bool,
    /// Whether loads take no time, as while the declared groups first form.
    instant_loads: bool,
    /// When the planner runs next without a change.
    next_plan: Duration,
    /// When each ongoing downtime of a group started, oldest first. A downtime that ends is taken
    /// to be the oldest, whichever group serves again.
    down_since: Vec<Duration>,
    outcome: Outcome,
}

/// Runs `trace` with the given downtime weight and settings.
pub(super) fn run(trace: &Trace, downtime_weight: f64, settings: PlanSettings) -> Outcome {
    let mut simulation = Simulation::new(downtime_weight, settings);
    simulation.form_declared_groups();
    let start = simulation.now;
    simulation.outcome = Outcome {
        downtimes: Vec::new(),
        stranded_accelerator_seconds: 0.0,
        downtime_group_seconds: 0.0,
    };
    let names: Vec<VmId> = simulation.engines.keys().cloned().collect();
    let mut pending: Vec<(Duration, u32, bool, bool)> = Vec::new();
    for event in &trace.events {
        pending.push((start + event.from, event.vm, false, event.keeps_weights));
        pending.push((start + event.until, event.vm, true, event.keeps_weights));
    }
    pending.sort();
    pending.reverse();
    let mut absences: BTreeMap<u32, u32> = BTreeMap::new();
    let end = start + trace.length;
    while simulation.now < end {
        while let Some((at, vm, back, keeps_weights)) = pending.last().copied() {
            if at > simulation.now {
                break;
            }
            pending.pop();
            let count = absences.entry(vm).or_default();
            *count = if back { *count - 1 } else { *count + 1 };
            let up = *count == 0;
            simulation.set_vm_up(&names[vm as usize], up, keeps_weights);
        }
        if simulation.is_quiescent() {
            let next = pending.last().map_or(end, |event| event.0).min(end);
            simulation.accumulate_costs(next.saturating_sub(simulation.now).max(STEP));
            simulation.now = next.max(simulation.now + STEP);
            continue;
        }
        let next = pending.last().map_or(end, |event| event.0).min(end);
        simulation.step(next);
    }
    simulation.finish()
}

impl Simulation {
    fn new(downtime_weight: f64, settings: PlanSettings) -> Self {
        let catalog = deployment::catalog(downtime_weight);
        let vms = catalog.backend_servers.iter().map(|(name, _)| name.into());
        let engines = vms.map(|vm| (vm, Engine { up: true, ..Engine::default() })).collect();
        Simulation {
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
            instant_loads: false,
            next_plan: Duration::ZERO,
            down_since: Vec::new(),
            outcome: Outcome {
                downtimes: Vec::new(),
                stranded_accelerator_seconds: 0.0,
                downtime_group_seconds: 0.0,
            },
        }
    }

    /// Runs until all declared groups serve, with loads that take no time.
    fn form_declared_groups(&mut self) {
        let backlog = std::mem::replace(&mut self.settings.max_load_backlog, Duration::MAX);
        self.instant_loads = true;
        while self.serving() < GROUPS as usize {
            self.step(self.now + STEP);
        }
        self.instant_loads = false;
        self.settings.max_load_backlog = backlog;
    }

    fn serving(&self) -> usize {
        let groups = self.records.values().flat_map(|record| &record.groups);
        groups.filter(|group| group.state == GroupState::Serving).count()
    }

    /// Returns whether no state changes until a VM leaves or comes back.
    fn is_quiescent(&self) -> bool {
        let groups = self.records.values().flat_map(|record| &record.groups);
        let healthy = |group: &GroupRecord| {
            group.state == GroupState::Serving
                && group.members.iter().all(|member| self.engines[&member.vm].up)
        };
        self.serving() == GROUPS as usize && groups.into_iter().all(healthy)
    }

    fn set_vm_up(&mut self, vm: &str, up: bool, keeps_weights: bool) {
        let now = self.now;
        let engine = self.engines.get_mut(vm).expect("the deployment has the VM");
        if engine.up && !up {
            engine.unresponsive_since = now;
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

    /// Takes one step; if no group changes, a longer one that does not pass `next`.
    fn step(&mut self, next: Duration) {
        self.advance_groups();
        if self.changed || self.now >= self.next_plan {
            self.changed = false;
            self.next_plan = self.now + LONG_STEP;
            self.plan();
        }
        let length = match self.is_busy() {
            true => STEP,
            false => next.saturating_sub(self.now).clamp(STEP, LONG_STEP),
        };
        self.transfer_weights();
        self.accumulate_costs(length);
        self.now += length;
    }

    /// Returns whether a group is changing state, or a loss is not yet detected.
    fn is_busy(&self) -> bool {
        let groups = self.records.values().flat_map(|record| &record.groups);
        let is_changing =
            |group: &GroupRecord| !matches!(group.state, GroupState::Serving | GroupState::Broken);
        let undetected =
            |engine: &Engine| !engine.up && self.now <= engine.unresponsive_since + DETECTION;
        self.changed || groups.into_iter().any(is_changing) || self.engines.values().any(undetected)
    }

    /// Applies the transitions that the group controllers would.
    fn advance_groups(&mut self) {
        let unassigned_holders = self.unassigned_holders();
        let fabrics: Vec<FabricId> = self.records.keys().cloned().collect();
        for fabric in fabrics {
            let groups = self.records[&fabric].groups.clone();
            for group in groups {
                if let Some(transition) = self.next_transition(&group, &unassigned_holders) {
                    self.apply(&fabric, &transition);
                }
            }
        }
    }

    fn next_transition(
        &mut self,
        group: &GroupRecord,
        unassigned_holders: &[VmId],
    ) -> Option<Transition> {
        let target = GroupRef { group: group.id.clone(), generation: group.generation };
        let up = group.members.iter().all(|member| self.engines[&member.vm].up);
        let detected = group.members.iter().any(|member| {
            let engine = &self.engines[&member.vm];
            !engine.up && self.now >= engine.unresponsive_since + DETECTION
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
            GroupState::Loading => match self.returning_member(group, unassigned_holders) {
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

    /// Requests loads for the members without weights and returns whether all members are loaded.
    fn load_members(&mut self, group: &GroupRecord) -> bool {
        let now = self.now;
        let holds = |engine: &Engine, member: &Member| {
            let same = engine.weights == Some((group.id.clone(), member.rank));
            same && engine.load.is_none() && engine.ready_at.is_none_or(|at| now >= at)
        };
        let loading = group.members.iter().filter(|m| !holds(&self.engines[&m.vm], m));
        let loading: Vec<Member> = loading.cloned().collect();
        for member in &loading {
            let engine = self.engines.get_mut(&member.vm).expect("the deployment has the VM");
            let assignment = Some((group.id.clone(), member.rank));
            if engine.weights == assignment {
                continue;
            }
            engine.weights = assignment;
            let bytes = GROUP_BYTES / u64::from(VMS_PER_GROUP);
            engine.ready_at = None;
            engine.load = (!self.instant_loads).then_some(bytes as f64);
            if self.instant_loads {
                continue;
            }
            self.schedule.finish(&member.vm);
            let request = WeightLoadRequest {
                group: group.id.clone(),
                vm: member.vm.clone(),
                bytes,
                missing: loading.len() as u32,
            };
            self.schedule.request(request, now);
        }
        loading.is_empty()
    }

    /// Returns the free VMs that hold the complete weights of a group's rank.
    fn unassigned_holders(&self) -> Vec<VmId> {
        let groups = self.records.values().flat_map(|record| &record.groups);
        let members: BTreeSet<&VmId> =
            groups.flat_map(|group| &group.members).map(|member| &member.vm).collect();
        let holds =
            |engine: &Engine| engine.up && engine.weights.is_some() && engine.load.is_none();
        let unassigned_holders =
            self.engines.iter().filter(|(vm, engine)| holds(engine) && !members.contains(vm));
        unassigned_holders.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns a member that is still loading and a free VM that holds the same weights, as when
    /// the earlier member is back before its replacement has loaded.
    fn returning_member(
        &self,
        group: &GroupRecord,
        unassigned_holders: &[VmId],
    ) -> Option<(VmId, VmId)> {
        unassigned_holders.iter().find_map(|vm| {
            let (id, rank) = self.engines[vm].weights.as_ref()?;
            let member = group.members.get(*rank as usize).filter(|_| *id == group.id)?;
            let loading = self.engines[&member.vm].load.is_some();
            loading.then(|| (member.vm.clone(), vm.clone()))
        })
    }

    /// Transfers weights for one step: started loads share the store's rate, each up to the
    /// engine's.
    fn transfer_weights(&mut self) {
        self.schedule.start(self.now);
        let started = self.engines.iter().filter(|(vm, engine)| {
            engine.load.is_some() && engine.up && self.schedule.is_started(vm)
        });
        let started: Vec<VmId> = started.map(|(vm, _)| vm.clone()).collect();
        let share = STORE_RATE as f64 / started.len().max(1) as f64;
        let bytes = share.min(ENGINE_RATE as f64) * STEP.as_secs_f64();
        for vm in started {
            let engine = self.engines.get_mut(&vm).expect("the deployment has the VM");
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
            let unresponsive_for = match engine.up {
                true => Duration::ZERO,
                false => self.now.saturating_sub(engine.unresponsive_since),
            };
            let detected = !engine.up && unresponsive_for >= DETECTION;
            let status = VmStatus {
                vm: vm.clone(),
                is_up: !detected,
                leaving: false,
                boot: 1,
                unresponsive_for,
            };
            (vm.clone(), status)
        };
        let vms: BTreeMap<VmId, VmStatus> = self.engines.iter().map(status).collect();
        let inputs = PlannerInputs {
            catalog: &self.catalog,
            records: &self.records,
            vms: &vms,
            loads: &self.loads,
        };
        let bridge = PlannerBridge::new(&inputs, self.now);
        let commands = plan(bridge.cluster(), &self.settings, self.now, &mut self.scratch);
        for changes in bridge.transitions(&commands) {
            for transition in &changes.transitions {
                self.apply(&changes.fabric, transition);
            }
        }
    }

    fn apply(&mut self, fabric: &FabricId, transition: &Transition) {
        self.write_id += 1;
        self.changed = true;
        let empty = || FabricRecord::empty(fabric.clone());
        let record = self.records.entry(fabric.clone()).or_insert_with(empty);
        match apply(record, transition, self.write_id) {
            Ok(next) => *record = next,
            Err(findings) => panic!("invalid transition {transition:?}: {findings}"),
        }
    }

    /// Adds downtime and stranded accelerators of the current state over `time`.
    fn accumulate_costs(&mut self, time: Duration) {
        let mut serving = 0;
        for group in self.records.values().flat_map(|record| &record.groups) {
            let up = group.members.iter().filter(|member| self.engines[&member.vm].up).count();
            if group.state == GroupState::Serving && up == group.members.len() {
                serving += 1;
            } else {
                let held = up as f64 * f64::from(ACCELERATORS_PER_VM);
                self.outcome.stranded_accelerator_seconds += held * time.as_secs_f64();
            }
        }
        let spares = self.records.values().map(|record| record.spares.len()).sum::<usize>();
        self.outcome.stranded_accelerator_seconds +=
            spares as f64 * f64::from(ACCELERATORS_PER_VM) * time.as_secs_f64();
        let down = (GROUPS as usize).saturating_sub(serving);
        self.outcome.downtime_group_seconds += down as f64 * time.as_secs_f64();
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
