//! Replays of recorded traces through the group controller, with expected outcomes.
//!
//! The first event sets up a [`Simulation`]. Each later event is a fault, the end of a fault, or a
//! transition made by a planner. An expectation is checked at its time. In addition, every replay
//! ends with a check that the simulation saw no violation: no daemon routed to a group with a
//! missing member beyond the detection bound, and every written record was valid.

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

/// An event of a trace.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum TraceEvent {
    /// Set up the simulation.
    Setup {
        /// Its VMs.
        vms: Vec<VmId>,
        /// Whether its engines check fencing tokens.
        checks_fencing: bool,
        /// Number of processes with a controller; the first owns the domain.
        #[serde(rename = "seats")]
        processes: usize,
        /// Number of daemons that route.
        daemons: usize,
        /// Time that an engine takes to load, in milliseconds.
        load_ms: u64,
    },
    /// A planner forms a group.
    Form {
        /// The replica; the trace refers to the group by it.
        replica: Box<str>,
        /// Its VMs.
        vms: Vec<VmId>,
    },
    /// A planner replaces a member of a broken group by a free VM.
    Swap {
        /// The replica.
        replica: Box<str>,
        /// The member to replace.
        out: VmId,
        /// Its replacement.
        into: VmId,
    },
    /// Engines end.
    Kill(Vec<VmId>),
    /// An engine restarts, without an assignment.
    Restart(VmId),
    /// An engine restarts and still claims the assignment of its earlier instance.
    RestartRemembering(VmId),
    /// An engine is paused.
    Pause(VmId),
    /// A paused engine resumes.
    Resume(VmId),
    /// An engine announces that it is leaving.
    Leave(VmId),
    /// An operator drains a VM.
    Drain(VmId),
    /// An engine has this many running requests.
    Running(VmId, u32),
    /// A process becomes owner of the domain.
    Own(usize),
    /// A process loses ownership of the domain.
    Lose(usize),
    /// A process is paused.
    Freeze(usize),
    /// A paused process resumes.
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

/// An expectation of a trace.
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

/// Replays a trace.
///
/// # Errors
///
/// Returns all expectations that were not met, events that could not be applied, and violations
/// seen by the simulation.
pub fn replay(trace: &Trace) -> Result<(), Findings> {
    let mut findings = Findings::default();
    let mut simulation: Option<Simulation> = None;
    for step in &trace.steps {
        if let Some(simulation) = &mut simulation {
            simulation.run_until(step.at);
        }
        let place = step.place();
        match step.kind {
            StepKind::Event => {
                let Some(event) = step.read::<TraceEvent>(&mut findings) else { continue };
                handle_event(&mut simulation, event, &place, &mut findings);
            }
            StepKind::Expect => {
                let Some(expect) = step.read::<TraceExpect>(&mut findings) else { continue };
                let outcome = simulation.as_ref().map(|simulation| compare(simulation, &expect));
                if let Some(Err(problem)) = outcome {
                    findings.add(place, problem);
                }
            }
        }
    }
    match simulation {
        Some(simulation) => findings.merge(simulation.violations),
        None => findings.add("$", "no `setup` event"),
    }
    findings.into_result(())
}

fn handle_event(
    simulation: &mut Option<Simulation>,
    event: TraceEvent,
    place: &str,
    findings: &mut Findings,
) {
    if let TraceEvent::Setup { vms, checks_fencing, processes, daemons, load_ms } = event {
        let mut new = Simulation::new(&vms, checks_fencing, processes, daemons);
        new.load_time = Duration::from_millis(load_ms);
        new.set_owner(0, true);
        *simulation = Some(new);
        return;
    }
    let Some(simulation) = simulation else {
        findings.add(place, "the first event must be `setup`");
        return;
    };
    match as_transition(simulation, &event) {
        Some(change) => {
            if let Err(refused) = simulation.apply_transition(&change) {
                findings.add(place, refused.to_string());
            }
        }
        None => inject_fault(simulation, event),
    }
}

fn as_transition(simulation: &Simulation, event: &TraceEvent) -> Option<Transition> {
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
            let group = simulation.group(replica)?;
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

fn inject_fault(simulation: &mut Simulation, event: TraceEvent) {
    match event {
        TraceEvent::Kill(vms) => {
            for vm in &vms {
                with_engine(simulation, vm, |engine| engine.alive = false);
            }
        }
        TraceEvent::Restart(vm) => with_engine(simulation, &vm, engine::Engine::restart),
        TraceEvent::RestartRemembering(vm) => {
            with_engine(simulation, &vm, engine::Engine::restart_remembering);
        }
        TraceEvent::Pause(vm) => with_engine(simulation, &vm, |engine| engine.paused = true),
        TraceEvent::Resume(vm) => with_engine(simulation, &vm, |engine| engine.paused = false),
        TraceEvent::Leave(vm) => with_engine(simulation, &vm, |engine| engine.leaving = true),
        TraceEvent::Running(vm, count) => {
            with_engine(simulation, &vm, |engine| engine.running = count);
        }
        TraceEvent::Drain(vm) => simulation.drain(&vm),
        TraceEvent::Own(process) => simulation.set_owner(process, true),
        TraceEvent::Lose(process) => simulation.set_owner(process, false),
        TraceEvent::Freeze(process) => simulation.set_paused(process, true),
        TraceEvent::Thaw(process) => simulation.set_paused(process, false),
        TraceEvent::Cut(process, vms) => simulation.processes[process].unreachable_vms.extend(vms),
        TraceEvent::Reach(process, vms) => {
            simulation.processes[process].unreachable_vms.retain(|vm| !vms.contains(vm));
        }
        TraceEvent::CutDaemons(process) => simulation.processes[process].daemons_unreachable = true,
        TraceEvent::CutKv(process) => simulation.processes[process].kv_unreachable = true,
        TraceEvent::Heal(process) => {
            let process = &mut simulation.processes[process];
            process.unreachable_vms.clear();
            process.daemons_unreachable = false;
            process.kv_unreachable = false;
        }
        TraceEvent::Kv(mode) => simulation.kv_mode = mode,
        TraceEvent::Setup { .. } | TraceEvent::Form { .. } | TraceEvent::Swap { .. } => {}
    }
}

fn with_engine(simulation: &mut Simulation, vm: &str, change: impl FnOnce(&mut engine::Engine)) {
    if let Some(engine) = simulation.engines.get_mut(vm) {
        change(engine);
    }
}

fn compare(simulation: &Simulation, expect: &TraceExpect) -> Result<(), String> {
    let (wanted, found) = match expect {
        TraceExpect::State(replica, state) => {
            let found =
                simulation.group(replica).map_or(GroupState::Dissolved, |group| group.state);
            (format!("{state:?}"), format!("{found:?}"))
        }
        TraceExpect::Routable(replica, daemons) => (
            format!("{daemons} routing"),
            format!("{} routing", simulation.routing_daemons(replica)),
        ),
        TraceExpect::Member(replica, vm, member) => {
            let found = simulation.group(replica).is_some_and(|group| group.member(vm).is_some());
            (format!("member {member}"), format!("member {found}"))
        }
        TraceExpect::Generation(replica, generation) => {
            let found = simulation.group(replica).map_or(0, |group| group.generation);
            (format!("generation {generation}"), format!("generation {found}"))
        }
        TraceExpect::Holds(vm, holds) => {
            let found = simulation.engines.get(vm).is_some_and(|engine| engine.held.is_some());
            (format!("assigned {holds}"), format!("assigned {found}"))
        }
    };
    if wanted == found { Ok(()) } else { Err(format!("expected {wanted}, found {found}")) }
}
