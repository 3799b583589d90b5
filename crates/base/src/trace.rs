//! Recorded traces: timed events and the outcomes expected of them.
//!
//! A trace is a file of JSON lines. The first line names the area (the crate) whose decision logic
//! is replayed and says what the trace is about. Each further line is an event, or an expectation
//! that must hold once all lines before it have been replayed:
//!
//! ```text
//! {"trace": "group", "about": "a member restarts and is a missing member"}
//! {"at_ms": 0, "event": {"assigned": {"group": "g1", "vms": ["a", "b"]}}}
//! {"at_ms": 900, "expect": {"group": "g1", "state": "broken"}}
//! ```
//!
//! The crate of each area has a function `trace::replay`, which reads the events as the crate's own
//! types.

use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::finding::Findings;

/// Kind of a trace step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepKind {
    /// An event to replay.
    Event,
    /// An expectation to check.
    Expect,
}

/// One line of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Line number in the file, from 1.
    pub line: usize,
    /// Time since the start of the trace.
    pub at: Duration,
    /// Event or expectation.
    pub kind: StepKind,
    /// The event or expectation, in the JSON form that the area's crate defines.
    pub body: Value,
}

impl Step {
    /// Returns the location of this step, as findings state it.
    pub fn place(&self) -> String {
        format!("line {}", self.line)
    }

    /// Deserializes the body as the area's type `T`; a mismatch is added to `findings`.
    pub fn read<T: DeserializeOwned>(&self, findings: &mut Findings) -> Option<T> {
        match T::deserialize(&self.body) {
            Ok(body) => Some(body),
            Err(error) => {
                findings.add(self.place(), error.to_string());
                None
            }
        }
    }
}

/// A recorded trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The area whose decision logic is replayed: the name of a crate.
    pub area: Box<str>,
    /// What the trace is about.
    pub about: Box<str>,
    /// The steps, in order of time.
    pub steps: Vec<Step>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    trace: Box<str>,
    about: Box<str>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_ms: u64,
    event: Option<Value>,
    expect: Option<Value>,
}

impl TryFrom<&str> for Trace {
    type Error = Findings;

    fn try_from(text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut header = None;
        let mut steps: Vec<Step> = Vec::new();
        let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
        for (index, line) in lines {
            let place = format!("line {}", index + 1);
            if header.is_none() {
                header = Some(serde_json::from_str::<Header>(line));
                continue;
            }
            match read_step(index + 1, line) {
                Ok(step) => {
                    let last = steps.last().map_or(Duration::ZERO, |step| step.at);
                    findings.check(step.at >= last, &place, || {
                        format!("{:?} is before the previous step, at {last:?}", step.at)
                    });
                    steps.push(step);
                }
                Err(problem) => findings.add(place, problem),
            }
        }
        match header {
            Some(Ok(header)) => {
                findings.into_result(Trace { area: header.trace, about: header.about, steps })
            }
            Some(Err(error)) => {
                findings.add("line 1", error.to_string());
                Err(findings)
            }
            None => {
                findings.add("line 1", "the trace is empty");
                Err(findings)
            }
        }
    }
}

fn read_step(line: usize, text: &str) -> Result<Step, String> {
    let read: Line = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let at = Duration::from_millis(read.at_ms);
    match (read.event, read.expect) {
        (Some(body), None) => Ok(Step { line, at, kind: StepKind::Event, body }),
        (None, Some(body)) => Ok(Step { line, at, kind: StepKind::Expect, body }),
        _ => Err("exactly one of `event` and `expect` must be given".to_owned()),
    }
}
