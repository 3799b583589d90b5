//! Simulation of concurrent operators on a faulty store, and replay of its traces.
//!
//! A [`Simulation`] consists of the acceptors of a few daemons, and a store of one value that loses
//! responses, delays writes and becomes unavailable as the steps demand. Traces and property tests
//! drive the same simulation.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use base::prelude::*;
use base::trace::StepKind;
use base::trace::Trace;
use serde_json::Value;

use crate::accept::Acceptor;
use crate::accept::Action;
use crate::accept::Change;
use crate::accept::Edit;
use crate::accept::Event;
use crate::accept::Outcome;
use crate::accept::Stored;
use crate::accept::Ticket;
use crate::accept::WriteResult;
use crate::manifest::Manifest;
use crate::manifest::RawManifest;
use crate::resource::Kind;

/// Retry delay that the store names when it rejects a call.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How the store handles a call.
#[key]
pub enum Delivery {
    /// The call is executed and answered.
    Normal,
    /// The call is executed, and the response is lost.
    AnswerLost,
    /// The call is lost, so there is no response.
    CallLost,
    /// There is no response, and a write is executed later, by [`Simulation::apply_delayed`].
    Delayed,
    /// The call is rejected without being executed.
    Down,
}

/// A compare-and-swap in flight.
#[derive(Clone, Debug, PartialEq)]
struct Write {
    expected: u64,
    catalog: Arc<crate::catalog::Catalog>,
}

#[derive(Clone, Debug, PartialEq)]
enum Call {
    Read,
    Write(Write),
}

#[derive(Clone, Debug, Default)]
struct Daemon {
    acceptor: Acceptor,
    call: Option<Call>,
}

/// A submitted change and its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmittedChange {
    /// The change.
    pub change: Change,
    /// The outcome; `None` if the change is not answered yet, or if the daemon crashed before.
    pub outcome: Option<Outcome>,
}

/// Acceptors of several daemons, and the store that they share.
#[derive(Clone, Debug, Default)]
pub struct Simulation {
    daemons: Vec<Daemon>,
    stored: Stored,
    /// Every value that the store has held, oldest first.
    history: Vec<Stored>,
    delayed: VecDeque<Write>,
    changes: Vec<SubmittedChange>,
    now: Mono,
}

impl Simulation {
    /// Creates a simulation of `count` daemons and an empty store.
    pub fn new(count: usize) -> Self {
        Simulation { daemons: vec![Daemon::default(); count], ..Simulation::default() }
    }

    /// Returns the value that the store holds.
    pub fn stored(&self) -> &Stored {
        &self.stored
    }

    /// Returns every value that the store has held, oldest first.
    pub fn history(&self) -> &[Stored] {
        &self.history
    }

    /// Returns all changes with their outcomes, in the order in which they were submitted.
    pub fn changes(&self) -> &[SubmittedChange] {
        &self.changes
    }

    /// Returns whether any daemon has an outstanding call or an unanswered change.
    pub fn is_busy(&self) -> bool {
        let busy = |d: &Daemon| d.call.is_some() || d.acceptor.pending_changes() > 0;
        self.daemons.iter().any(busy)
    }

    /// Submits a change to a daemon.
    pub fn submit(&mut self, daemon: usize, change: Change) {
        let ticket = self.changes.len() as Ticket;
        self.changes.push(SubmittedChange { change: change.clone(), outcome: None });
        self.send_event(daemon, Event::Submitted { ticket, change });
    }

    /// Completes the outstanding call of a daemon, if there is one.
    pub fn deliver(&mut self, daemon: usize, delivery: Delivery) {
        let event = match (self.daemons[daemon].call.take(), delivery) {
            (None, _) => return,
            (Some(Call::Read), Delivery::Normal) => Event::Read(self.stored.clone()),
            (Some(Call::Read), _) => Event::ReadFailed { retry_after: RETRY_AFTER },
            (Some(Call::Write(write)), delivery) => {
                Event::WriteCompleted(self.deliver_write(write, delivery))
            }
        };
        self.send_event(daemon, event);
    }

    fn deliver_write(&mut self, write: Write, delivery: Delivery) -> WriteResult {
        match delivery {
            Delivery::Normal => match self.apply(write) {
                true => WriteResult::Committed,
                false => WriteResult::Conflict { current: self.stored.clone() },
            },
            Delivery::AnswerLost => {
                self.apply(write);
                WriteResult::Indeterminate
            }
            Delivery::CallLost => WriteResult::Indeterminate,
            Delivery::Delayed => {
                self.delayed.push_back(write);
                WriteResult::Indeterminate
            }
            Delivery::Down => WriteResult::NotApplied { retry_after: RETRY_AFTER },
        }
    }

    /// Executes the oldest delayed write.
    pub fn apply_delayed(&mut self) {
        if let Some(write) = self.delayed.pop_front() {
            self.apply(write);
        }
    }

    /// Crashes a daemon and starts it without state. Its write in flight may take effect later.
    pub fn restart(&mut self, daemon: usize) {
        let crashed = std::mem::take(&mut self.daemons[daemon]);
        if let Some(Call::Write(write)) = crashed.call {
            self.delayed.push_back(write);
        }
    }

    /// Restores the value that the store held `back` writes ago, as after a loss of its data.
    pub fn restore(&mut self, back: usize) {
        let last = self.history.len().saturating_sub(1);
        let old = self.history.get(last.saturating_sub(back)).cloned().unwrap_or_default();
        let mod_revision = self.stored.mod_revision + 1;
        self.stored = Stored { catalog: old.catalog, mod_revision };
    }

    /// Advances the time of all daemons.
    pub fn advance_time(&mut self, time: Duration) {
        self.now += time;
        for daemon in 0..self.daemons.len() {
            self.send_event(daemon, Event::Tick);
        }
    }

    fn apply(&mut self, write: Write) -> bool {
        if write.expected != self.stored.mod_revision {
            return false;
        }
        let mod_revision = self.stored.mod_revision + 1;
        self.stored = Stored { catalog: write.catalog, mod_revision };
        self.history.push(self.stored.clone());
        true
    }

    fn send_event(&mut self, daemon: usize, event: Event) {
        let now = self.now;
        for action in self.daemons[daemon].acceptor.decide(event, now) {
            match action {
                Action::Read => self.call(daemon, Call::Read),
                Action::Write { expected, catalog } => {
                    self.call(daemon, Call::Write(Write { expected, catalog }));
                }
                Action::Answer { ticket, outcome } => {
                    let submitted = &mut self.changes[ticket as usize];
                    debug_assert!(submitted.outcome.is_none(), "a change is answered only once");
                    submitted.outcome = Some(outcome);
                }
                Action::Committed(_) | Action::Wake(_) => {}
            }
        }
    }

    fn call(&mut self, daemon: usize, call: Call) {
        let before = self.daemons[daemon].call.replace(call);
        debug_assert!(before.is_none(), "a daemon has at most one outstanding call");
    }
}

/// An event of a trace.
#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum TraceEvent {
    /// Starts over with this number of daemons.
    Daemons(usize),
    /// Submits a change.
    Submit {
        daemon: usize,
        write_id: WriteId,
        #[serde(default)]
        apply: Vec<RawManifest>,
        #[serde(default)]
        delete: Vec<DeleteTarget>,
    },
    /// Completes the outstanding call of a daemon.
    Deliver { daemon: usize, how: Delivery },
    /// Executes the oldest delayed write.
    Land,
    /// Crashes and restarts a daemon.
    Kill(usize),
    /// Restores the value of this number of writes ago.
    Restore(usize),
}

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct DeleteTarget {
    kind: Kind,
    name: Box<str>,
    #[serde(default)]
    revision: Option<Revision>,
}

/// An expectation of a trace.
#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Expectation {
    /// The outcome of a change; `null` if it is not answered yet.
    Answer {
        write_id: WriteId,
        outcome: Option<Box<str>>,
        #[serde(default)]
        revision: Option<Revision>,
        /// A text that the findings, or the debug form of another outcome, must contain.
        #[serde(default)]
        says: Box<str>,
    },
    /// The revision of the stored catalog.
    Revision(Revision),
    /// The spec in the stored catalog; `null` if the resource does not exist.
    Spec { kind: Kind, name: Box<str>, spec: Value },
}

/// Replays a trace of operators' changes.
///
/// # Errors
///
/// A finding for each step that cannot be read and for each expectation that does not hold.
pub fn replay(trace: &Trace) -> Result<(), Findings> {
    let mut findings = Findings::default();
    let mut simulation = Simulation::new(2);
    for step in &trace.steps {
        let now = simulation.now;
        simulation.advance_time(step.at.saturating_sub(now));
        match step.kind {
            StepKind::Event => {
                if let Some(event) = step.read::<TraceEvent>(&mut findings) {
                    run_event(&mut simulation, event, &step.place(), &mut findings);
                }
            }
            StepKind::Expect => {
                if let Some(expectation) = step.read::<Expectation>(&mut findings) {
                    expect(&simulation, expectation, &step.place(), &mut findings);
                }
            }
        }
    }
    findings.into_result(())
}

fn run_event(simulation: &mut Simulation, event: TraceEvent, place: &str, findings: &mut Findings) {
    match event {
        TraceEvent::Daemons(count) => *simulation = Simulation::new(count),
        TraceEvent::Submit { daemon, write_id, apply, delete } => {
            let mut edits = Vec::new();
            for raw in apply {
                match Manifest::try_from(raw) {
                    Ok(manifest) => edits.push(Edit::Apply(manifest)),
                    Err(findings_of_manifest) => {
                        findings.add(place, findings_of_manifest.to_string())
                    }
                }
            }
            edits.extend(delete.into_iter().map(|target| Edit::Delete {
                kind: target.kind,
                name: target.name,
                revision: target.revision,
            }));
            let change = Change { write_id, operator: "trace".into(), edits, dry_run: false };
            simulation.submit(daemon, change);
        }
        TraceEvent::Deliver { daemon, how } => simulation.deliver(daemon, how),
        TraceEvent::Land => simulation.apply_delayed(),
        TraceEvent::Kill(daemon) => simulation.restart(daemon),
        TraceEvent::Restore(back) => simulation.restore(back),
    }
}

fn expect(simulation: &Simulation, expectation: Expectation, place: &str, findings: &mut Findings) {
    match expectation {
        Expectation::Answer { write_id, outcome, revision, says } => {
            let mut changes = BTreeMap::new();
            for submitted in simulation.changes() {
                changes.insert(submitted.change.write_id, submitted.outcome.as_ref());
            }
            let found = changes.get(&write_id).copied().flatten();
            let name = found.map(name_of);
            findings.check(name == outcome.as_deref(), place, || {
                format!("the outcome of {write_id} is {found:?}, not {outcome:?}")
            });
            let got = match found {
                Some(Outcome::Accepted { revision, .. }) => Some(*revision),
                _ => None,
            };
            findings.check(revision.is_none() || got == revision, place, || {
                format!("{write_id} was accepted as {got:?}, not {revision:?}")
            });
            let text = match found {
                Some(Outcome::Refused { findings }) => findings.to_string(),
                other => format!("{other:?}"),
            };
            findings.check(text.contains(&*says), place, || format!("`{says}` is not in: {text}"));
        }
        Expectation::Revision(revision) => {
            let found = simulation.stored().catalog.revision;
            findings.check(found == revision, place, || {
                format!("the store holds revision {found}, not {revision}")
            });
        }
        Expectation::Spec { kind, name, spec } => {
            let entry = simulation.stored().catalog.find(kind, &name);
            let found = entry.map_or(Value::Null, |entry| entry.resource.to_json());
            findings.check(found == spec, place, || format!("{kind} `{name}` is {found}"));
        }
    }
}

/// Returns the name of an outcome in traces.
fn name_of(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Accepted { .. } => "accepted",
        Outcome::Checked { .. } => "checked",
        Outcome::Conflict { .. } => "conflict",
        Outcome::NotFound { .. } => "not_found",
        Outcome::Refused { .. } => "refused",
        Outcome::NotApplied { .. } => "not_applied",
        Outcome::Unknown { .. } => "unknown",
    }
}
