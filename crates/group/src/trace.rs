//! Replays of recorded traces through the keeper, with stated outcomes.
//!
//! The first event sets up a [`Simulation`]; each further one is a fault, its end, or a
//! planner's move. An expectation is checked at its time. Whatever a trace expects, its end also
//! checks that the world saw no breach: no daemon routed to a group with a missing member beyond
//! the detection bound, and every written record was sound.

use base::prelude::*;
use base::trace::StepKind;
use base::trace::Trace;

use crate::record::GroupState;
use crate::trace::simulation::KvMode;
use crate::trace::simulation::Simulation;
use crate::transition::GroupRef;
use crate::transition::GroupSpec;
use crate::transition::Transition;

pub mod engine;
pub mod simulation;

/// What happens in a trace.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum TraceEvent {
    /// The world begins.
    Setup {
        /// Its VMs.
        vms: Vec<VmId>,
        /// Whether its engines check fencing numbers.
        checks_fencing: bool,
        /// Processes that may keep the domain; the first owns it.
        #[serde(rename = "seats")]
        processes: usize,
        /// Daemons that route.
        daemons: usize,
        /// How long an engine takes to load.
        load_ms: u64,
    },
    /// A planner forms a group.
    Form {
        /// The replica, by which the trace names the group.
        replica: Box<str>,
        /// Its VMs.
        vms: Vec<VmId>,
    },
    /// A planner puts a free VM in the place of a member of a broken group.
    Swap {
        /// The replica.
        replica: Box<str>,
        /// The VM that leaves.
        out: VmId,
        /// The VM that takes its place.
        into: VmId,
    },
    /// Engines end.
    Kill(Vec<VmId>),
    /// An engine starts a new life.
    Restart(VmId),
    /// An engine starts a new life and believes in the assignment of the one before.
    RestartRemembering(VmId),
    /// An engine freezes.
    Pause(VmId),
    /// An engine goes on.
    Resume(VmId),
    /// An engine asks to be left.
    Leave(VmId),
    /// An operator drains a VM.
    Drain(VmId),
    /// An engine has this many requests.
    Running(VmId, u32),
    /// A process gains the keeping.
    Own(usize),
    /// A process loses the keeping.
    Lose(usize),
    /// A process freezes.
    Freeze(usize),
    /// A process goes on.
    Thaw(usize),
    /// A process no longer reaches these VMs.
    Cut(usize, Vec<VmId>),
    /// A process reaches these VMs again.
    Reach(usize, Vec<VmId>),
    /// A process no longer reaches the daemons.
    CutDaemons(usize),
    /// A process no longer reaches the key-value service.
    CutKv(usize),
    /// A process reaches everything again.
    Heal(usize),
    /// The key-value service changes its behaviour.
    Kv(KvMode),
}

/// What must hold in a trace.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum TraceExpect {
    /// The group's state in the key-value service; `dissolved` if there is none.
    State(Box<str>, GroupState),
    /// How many daemons route to the group.
    Routable(Box<str>, usize),
    /// Whether a VM is a member of the group.
    Member(Box<str>, VmId, bool),
    /// The group's generation.
    Generation(Box<str>, Generation),
    /// Whether an engine holds an assignment.
    Holds(VmId, bool),
}

/// Replays a trace and returns everything that did not come out as stated.
pub fn replay(trace: &Trace) -> Result<(), Findings> {
    let mut findings = Findings::default();
    let mut world: Option<Simulation> = None;
    for step in &trace.steps {
        if let Some(world) = &mut world {
            world.run_until(step.at);
        }
        let place = step.place();
        match step.kind {
            StepKind::Event => {
                let Some(event) = step.read::<TraceEvent>(&mut findings) else { continue };
                handle_event(&mut world, event, &place, &mut findings);
            }
            StepKind::Expect => {
                let Some(expect) = step.read::<TraceExpect>(&mut findings) else { continue };
                let seen = world.as_ref().map(|world| compare(world, &expect));
                if let Some(Err(problem)) = seen {
                    findings.add(place, problem);
                }
            }
        }
    }
    match world {
        Some(world) => findings.merge(world.violations),
        None => findings.add("$", "no event sets up the world"),
    }
    findings.into_result(())
}

fn handle_event(
    world: &mut Option<Simulation>,
    event: TraceEvent,
    place: &str,
    findings: &mut Findings,
) {
    if let TraceEvent::Setup { vms, checks_fencing, processes, daemons, load_ms } = event {
        let mut new = Simulation::new(&vms, checks_fencing, processes, daemons);
        new.load_time = Duration::from_millis(load_ms);
        new.set_owner(0, true);
        *world = Some(new);
        return;
    }
    let Some(world) = world else {
        findings.add(place, "the world is not set up yet");
        return;
    };
    match as_transition(world, &event) {
        Some(change) => {
            if let Err(refused) = world.apply_transition(&change) {
                findings.add(place, refused.to_string());
            }
        }
        None => inject_fault(world, event),
    }
}

fn as_transition(world: &Simulation, event: &TraceEvent) -> Option<Transition> {
    match event {
        TraceEvent::Form { replica, vms } => {
            let purpose = GroupSpec {
                replica: replica.clone(),
                model: "m".into(),
                version: "v".into(),
                adapters: vec![],
            };
            Some(Transition::Form { spec: purpose, vms: vms.clone() })
        }
        TraceEvent::Swap { replica, out, into } => {
            let group = world.group(replica)?;
            let target = GroupRef { group: group.id.clone(), generation: group.generation };
            Some(Transition::Swap {
                target,
                removed: vec![out.clone()],
                replacements: vec![into.clone()],
            })
        }
        _ => None,
    }
}

fn inject_fault(world: &mut Simulation, event: TraceEvent) {
    match event {
        TraceEvent::Kill(vms) => {
            for vm in &vms {
                with_engine(world, vm, |engine| engine.alive = false);
            }
        }
        TraceEvent::Restart(vm) => with_engine(world, &vm, engine::Engine::restart),
        TraceEvent::RestartRemembering(vm) => {
            with_engine(world, &vm, engine::Engine::restart_remembering);
        }
        TraceEvent::Pause(vm) => with_engine(world, &vm, |engine| engine.paused = true),
        TraceEvent::Resume(vm) => with_engine(world, &vm, |engine| engine.paused = false),
        TraceEvent::Leave(vm) => with_engine(world, &vm, |engine| engine.leaving = true),
        TraceEvent::Running(vm, count) => {
            with_engine(world, &vm, |engine| engine.running = count);
        }
        TraceEvent::Drain(vm) => world.drain(&vm),
        TraceEvent::Own(process) => world.set_owner(process, true),
        TraceEvent::Lose(process) => world.set_owner(process, false),
        TraceEvent::Freeze(process) => world.freeze(process, true),
        TraceEvent::Thaw(process) => world.freeze(process, false),
        TraceEvent::Cut(process, vms) => world.processes[process].cut_vms.extend(vms),
        TraceEvent::Reach(process, vms) => {
            world.processes[process].cut_vms.retain(|vm| !vms.contains(vm));
        }
        TraceEvent::CutDaemons(process) => world.processes[process].cut_daemons = true,
        TraceEvent::CutKv(process) => world.processes[process].cut_kv = true,
        TraceEvent::Heal(process) => {
            let process = &mut world.processes[process];
            process.cut_vms.clear();
            process.cut_daemons = false;
            process.cut_kv = false;
        }
        TraceEvent::Kv(mode) => world.kv_mode = mode,
        TraceEvent::Setup { .. } | TraceEvent::Form { .. } | TraceEvent::Swap { .. } => {}
    }
}

fn with_engine(world: &mut Simulation, vm: &str, change: impl FnOnce(&mut engine::Engine)) {
    if let Some(engine) = world.engines.get_mut(vm) {
        change(engine);
    }
}

fn compare(world: &Simulation, expect: &TraceExpect) -> Result<(), String> {
    let (wanted, found) = match expect {
        TraceExpect::State(replica, state) => {
            let found = world.group(replica).map_or(GroupState::Dissolved, |group| group.state);
            (format!("{state:?}"), format!("{found:?}"))
        }
        TraceExpect::Routable(replica, daemons) => {
            (format!("{daemons} routing"), format!("{} routing", world.routing_daemons(replica)))
        }
        TraceExpect::Member(replica, vm, member) => {
            let found = world.group(replica).is_some_and(|group| group.member(vm).is_some());
            (format!("member {member}"), format!("member {found}"))
        }
        TraceExpect::Generation(replica, generation) => {
            let found = world.group(replica).map_or(0, |group| group.generation);
            (format!("generation {generation}"), format!("generation {found}"))
        }
        TraceExpect::Holds(vm, holds) => {
            let found = world.engines.get(vm).is_some_and(|engine| engine.held.is_some());
            (format!("assigned {holds}"), format!("assigned {found}"))
        }
    };
    if wanted == found { Ok(()) } else { Err(format!("expected {wanted}, found {found}")) }
}
