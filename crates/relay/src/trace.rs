//! Replays recorded traces through the state machine of one request.
//!
//! The first event is `request`; each later one is an event of the state machine. An expectation
//! states the actions that the preceding event caused, or the text delivered so far.

use base::finding::Findings;
use base::prelude::*;
use base::trace::Step;
use base::trace::StepKind;
use base::trace::Trace;
use engine::prelude::*;

use crate::outcome::Failure;
use crate::outcome::Outcome;
use crate::request::Action;
use crate::request::RequestEvent;
use crate::request::RequestMachine;
use crate::request::RequestParams;

#[wire]
#[serde(rename_all = "snake_case")]
enum Input {
    Request { idempotent: bool, deadline_ms: u64 },
    Accepted,
    Picked { group: GroupId, attempt: AttemptId },
    NotPicked { failure: Failure, retry_after_ms: Option<u64> },
    NotSent,
    Refused(RefusalReason),
    Piece { attempt: AttemptId, seq: u32, text: Box<str> },
    End { attempt: AttemptId, count: u32 },
    Broken,
    DeadlinePassed,
    CallerGone,
}

#[wire]
#[serde(rename_all = "snake_case")]
enum Expectation {
    /// The actions of the last event, by name.
    Actions(Vec<Box<str>>),
    /// All text delivered so far.
    Delivered(Box<str>),
}

#[derive(Default)]
struct Replayer {
    machine: Option<RequestMachine>,
    last: Vec<Box<str>>,
    delivered: String,
}

/// Replays a trace.
///
/// # Errors
///
/// Returns all expectations that were not met, and all lines that cannot be replayed.
pub fn replay(trace: &Trace) -> Result<(), Findings> {
    let mut findings = Findings::default();
    let mut player = Replayer::default();
    for step in &trace.steps {
        match step.kind {
            StepKind::Event => player.play(step, &mut findings),
            StepKind::Expect => player.expect(step, &mut findings),
        }
    }
    findings.into_result(())
}

impl Replayer {
    fn play(&mut self, step: &Step, findings: &mut Findings) {
        let Some(input) = step.read::<Input>(findings) else { return };
        if let Input::Request { idempotent, deadline_ms } = input {
            let deadline = Duration::from_millis(deadline_ms);
            self.machine = Some(RequestMachine::new(RequestParams { idempotent, deadline }));
            return;
        }
        let Some(machine) = &mut self.machine else {
            findings.add(step.place(), "the first event must be `request`");
            return;
        };
        let actions = machine.decide(event(input), step.at);
        self.last = actions.iter().map(name).collect();
        for action in actions {
            if let Action::Deliver { text, .. } = action {
                self.delivered.push_str(&text);
            }
        }
    }

    fn expect(&self, step: &Step, findings: &mut Findings) {
        match step.read::<Expectation>(findings) {
            Some(Expectation::Actions(wanted)) => {
                findings.check(self.last == wanted, &step.place(), || {
                    format!("the actions were {:?}, not {wanted:?}", self.last)
                });
            }
            Some(Expectation::Delivered(wanted)) => {
                findings.check(*self.delivered == *wanted, &step.place(), || {
                    format!("delivered was {:?}, not {wanted:?}", self.delivered)
                });
            }
            None => {}
        }
    }
}

fn event(input: Input) -> RequestEvent {
    match input {
        Input::Request { .. } | Input::Accepted => RequestEvent::Accepted,
        Input::Picked { group, attempt } => RequestEvent::Picked { group, attempt },
        Input::NotPicked { failure, retry_after_ms } => RequestEvent::NotPicked {
            failure,
            retry_after: retry_after_ms.map(Duration::from_millis),
        },
        Input::NotSent => RequestEvent::NotSent,
        Input::Refused(reason) => RequestEvent::Refused(reason),
        Input::Piece { attempt, seq, text } => {
            RequestEvent::Item(Item::Piece(Piece { attempt, seq, text }))
        }
        Input::End { attempt, count } => {
            RequestEvent::Item(Item::End(End { attempt, count, finish: FinishReason::Stop }))
        }
        Input::Broken => RequestEvent::Broken,
        Input::DeadlinePassed => RequestEvent::DeadlinePassed,
        Input::CallerGone => RequestEvent::CallerGone,
    }
}

/// Returns the text form of an action in traces: its name and its main fields.
fn name(action: &Action) -> Box<str> {
    match action {
        Action::Pick { exclude } => format!("pick without {exclude:?}"),
        Action::PickAfterDelay => "pick later".to_owned(),
        Action::Send { attempt, group, skip } => format!("send {attempt} to {group} from {skip}"),
        Action::Resume { attempt, from } => format!("resume {attempt} from {from}"),
        Action::Cancel { attempt } => format!("cancel {attempt}"),
        Action::Deliver { seq, .. } => format!("deliver {seq}"),
        Action::ReportCrash { group } => format!("crash of {group}"),
        Action::Finish(outcome) => finish_name(outcome),
    }
    .into()
}

fn finish_name(outcome: &Outcome) -> String {
    match outcome.failure() {
        Some(failure) => format!("finish {}: {failure}", outcome.name()),
        None => format!("finish {}", outcome.name()),
    }
}
