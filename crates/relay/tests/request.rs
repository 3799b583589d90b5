//! Property tests of the state machine of one request, and replays of its traces.

use std::collections::BTreeMap;
use std::time::Duration;

use base::trace::Trace;
use engine::prelude::*;
use proptest::prelude::*;
use relay::prelude::*;

/// The fault that the simulated engine or network causes at the next step.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    NotSent,
    Refuse,
    BreakBefore,
    BreakAfterAdmission,
    Drop,
    Duplicate,
    Skip,
    OtherAttempt,
    Crash,
    NoGroup,
    Deadline,
    DeadlineAfterAdmission,
    CallerGone,
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    use Fault::*;
    let one = prop_oneof![
        6 => Just(None),
        1 => Just(NotSent),
        1 => Just(Refuse),
        1 => Just(BreakBefore),
        4 => Just(BreakAfterAdmission),
        1 => Just(Drop),
        1 => Just(Duplicate),
        1 => Just(Skip),
        1 => Just(OtherAttempt),
        1 => Just(Crash),
        2 => Just(NoGroup),
        1 => Just(Deadline),
        1 => Just(DeadlineAfterAdmission),
        1 => Just(CallerGone),
    ];
    proptest::collection::vec(one, 0..40)
}

/// A simulated engine and network, which count how often each attempt was admitted.
struct Simulation {
    faults: std::vec::IntoIter<Fault>,
    text: Vec<&'static str>,
    admitted: BTreeMap<u64, u32>,
    next_attempt: u64,
    delivered: String,
    outcome: Option<Outcome>,
}

impl Simulation {
    fn new(faults: Vec<Fault>) -> Self {
        Simulation {
            faults: faults.into_iter(),
            text: vec!["a", "b", "c", "d"],
            admitted: BTreeMap::new(),
            next_attempt: 1,
            delivered: String::new(),
            outcome: None,
        }
    }

    fn next_fault(&mut self) -> Fault {
        self.faults.next().unwrap_or(Fault::None)
    }

    /// Executes an action and returns the events that follow.
    fn execute(&mut self, action: Action) -> Vec<RequestEvent> {
        match action {
            Action::Pick { exclude } => self.pick(exclude.len()),
            Action::PickAfterDelay => self.pick(0),
            Action::Send { attempt, skip, .. } => self.call(attempt, skip, false),
            Action::Resume { attempt, from } => self.call(attempt, from, true),
            Action::Deliver { text, .. } => {
                self.delivered.push_str(&text);
                Vec::new()
            }
            Action::Finish(outcome) => {
                assert!(self.outcome.replace(outcome).is_none(), "finished twice");
                Vec::new()
            }
            Action::Cancel { .. } | Action::ReportCrash { .. } => Vec::new(),
        }
    }

    fn pick(&mut self, failed: usize) -> Vec<RequestEvent> {
        match self.next_fault() {
            Fault::NoGroup => {
                vec![RequestEvent::NotPicked { failure: Failure::NoGroup, retry_after: None }]
            }
            Fault::Deadline => vec![RequestEvent::DeadlinePassed],
            Fault::CallerGone => vec![RequestEvent::CallerGone],
            _ => {
                let attempt = self.next_attempt;
                self.next_attempt += 1;
                vec![RequestEvent::Picked { group: format!("g{failed}").into(), attempt }]
            }
        }
    }

    fn call(&mut self, attempt: u64, from: u32, resume: bool) -> Vec<RequestEvent> {
        let fault = self.next_fault();
        match fault {
            Fault::NotSent => return vec![RequestEvent::NotSent],
            Fault::Refuse => return vec![RequestEvent::Refused(RefusalReason::Full)],
            Fault::BreakBefore => return vec![RequestEvent::Broken],
            Fault::Deadline => return vec![RequestEvent::DeadlinePassed],
            Fault::CallerGone => return vec![RequestEvent::CallerGone],
            _ if resume && !self.admitted.contains_key(&attempt) => {
                return vec![RequestEvent::Refused(RefusalReason::UnknownAttempt)];
            }
            _ if !resume => *self.admitted.entry(attempt).or_default() += 1,
            _ => {}
        }
        if matches!(fault, Fault::DeadlineAfterAdmission) {
            return vec![RequestEvent::DeadlinePassed];
        }
        if matches!(fault, Fault::BreakAfterAdmission | Fault::Crash) {
            return vec![RequestEvent::Broken];
        }
        self.stream(attempt, from)
    }

    fn stream(&mut self, attempt: u64, from: u32) -> Vec<RequestEvent> {
        let mut events = Vec::new();
        for seq in from..u32::try_from(self.text.len()).unwrap() {
            let text = self.text[seq as usize];
            let item = |attempt, text: &str| {
                RequestEvent::Item(Item::Piece(Piece { attempt, seq, text: text.into() }))
            };
            let piece = |attempt| item(attempt, text);
            match self.next_fault() {
                Fault::Drop => {}
                Fault::Duplicate => events.extend([piece(attempt), piece(attempt)]),
                Fault::OtherAttempt => {
                    events.extend([item(attempt + 1000, "other attempt"), piece(attempt)])
                }
                Fault::Skip => break,
                Fault::Crash | Fault::BreakAfterAdmission => {
                    events.push(RequestEvent::Broken);
                    return events;
                }
                _ => events.push(piece(attempt)),
            }
        }
        let count = u32::try_from(self.text.len()).unwrap();
        events.push(RequestEvent::Item(Item::End(End {
            attempt,
            count,
            finish: FinishReason::Stop,
        })));
        events
    }
}

fn run(idempotent: bool, faults: Vec<Fault>) -> Simulation {
    let mut simulation = Simulation::new(faults);
    let mut machine =
        RequestMachine::new(RequestParams { idempotent, deadline: Duration::from_secs(60) });
    let mut events = std::collections::VecDeque::from([RequestEvent::Accepted]);
    for step in 0..10_000u64 {
        let Some(event) = events.pop_front() else { break };
        let actions = machine.decide(event, Duration::from_millis(step));
        let starts_call = |action: &Action| {
            matches!(
                action,
                Action::Send { .. }
                    | Action::Resume { .. }
                    | Action::Pick { .. }
                    | Action::PickAfterDelay
            )
        };
        if actions.iter().any(starts_call) {
            // A new call replaces the stream of the previous one.
            events.clear();
        }
        for action in actions {
            events.extend(simulation.execute(action));
        }
    }
    simulation
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn the_answer_is_complete_or_a_prefix_and_the_request_always_ends(
        faults in faults(),
        idempotent in any::<bool>(),
    ) {
        let simulation = run(idempotent, faults);
        let outcome = simulation.outcome.expect("the request has ended");
        prop_assert!("abcd".starts_with(&simulation.delivered), "{}", simulation.delivered);
        if matches!(outcome, Outcome::Done { .. }) {
            prop_assert_eq!(simulation.delivered, "abcd");
        }
    }

    #[test]
    fn a_request_reported_as_not_run_was_never_admitted(
        faults in faults(),
        idempotent in any::<bool>(),
    ) {
        let simulation = run(idempotent, faults);
        if let Some(Outcome::NotRun { .. }) = simulation.outcome {
            prop_assert!(simulation.admitted.is_empty(), "{:?}", simulation.admitted);
        }
    }

    #[test]
    fn a_non_idempotent_request_is_admitted_at_most_once(faults in faults()) {
        let simulation = run(false, faults);
        let total: u32 = simulation.admitted.values().sum();
        prop_assert!(total <= 1, "{:?}", simulation.admitted);
    }
}

#[test]
fn relay_traces_meet_their_expectations() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces/relay");
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let trace = Trace::try_from(text.as_str()).unwrap();
        if let Err(findings) = relay::trace::replay(&trace) {
            panic!("{}:\n{findings}", path.display());
        }
    }
}
