//! Replay of recorded traces of claims in a [`Simulation`].
//!
//! Each event of a trace is a [`Step`], and each expectation is an [`Expect`].

use base::prelude::*;
use base::trace::StepKind;
use base::trace::Trace;

use crate::segment::RequestOutcome;
use crate::simulation::Simulation;

/// Fault of one call to the key-value service.
#[key]
pub enum Fault {
    /// No fault.
    None,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call gets no answer. If it is a write, it takes effect later, at
    /// [`Step::ApplyDelayedWrite`].
    #[serde(rename = "lands_late")]
    AppliedLate,
    /// The service is down and rejects the call.
    Down,
}

/// One step of a schedule.
#[wire]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// A submission of a key begins.
    Begin {
        /// The submission.
        #[serde(rename = "send")]
        submission: u64,
        /// The key.
        key: u64,
        /// The key's issue time, in milliseconds since the start of the trace.
        issued_ms: u64,
        /// The request's fingerprint.
        body: u64,
    },
    /// The submission's claim request reaches an owner.
    #[serde(rename = "ask")]
    DeliverClaim {
        /// The submission.
        #[serde(rename = "send")]
        submission: u64,
        /// The owner.
        owner: usize,
    },
    /// The submission considers its claim request lost. An owner may have received it.
    #[serde(rename = "lose_ask")]
    LoseClaim {
        /// The submission.
        #[serde(rename = "send")]
        submission: u64,
    },
    /// The owner makes its next call to the key-value service.
    Call {
        /// The owner.
        owner: usize,
        /// The fault of the call.
        fault: Fault,
    },
    /// The oldest delayed write takes effect.
    #[serde(rename = "land")]
    ApplyDelayedWrite,
    /// The owner's answer reaches the submission.
    #[serde(rename = "answer")]
    DeliverAnswer {
        /// The submission.
        #[serde(rename = "send")]
        submission: u64,
    },
    /// The submission's time limit for its claim passes.
    Deadline {
        /// The submission.
        #[serde(rename = "send")]
        submission: u64,
    },
    /// The submission's dispatched request ends.
    End {
        /// The submission.
        #[serde(rename = "send")]
        submission: u64,
        /// The outcome.
        end: RequestOutcome,
    },
    /// The submission's dispatch is definitely refused.
    Refuse {
        /// The submission.
        #[serde(rename = "send")]
        submission: u64,
    },
    /// The submission's report reaches an owner.
    #[serde(rename = "report")]
    DeliverReport {
        /// The submission.
        #[serde(rename = "send")]
        submission: u64,
        /// The owner.
        owner: usize,
    },
    /// Sets how far the owner's clock is behind.
    Clock {
        /// The owner.
        owner: usize,
        /// The difference in milliseconds.
        behind_ms: u64,
    },
    /// The owner's process is restarted and loses its queue and its write in flight.
    Restart {
        /// The owner.
        owner: usize,
    },
}

/// Kind of a reply to a submission, without its details.
#[key]
pub enum ObservedReply {
    /// This submission was not run.
    NotRun,
    /// No submission of the key was ever run.
    KeyNotRun,
    /// The key-value service is down, and this submission was not run.
    KvDown,
    /// The recorded outcome is done.
    Done,
    /// The recorded outcome is failed.
    Failed,
    /// It is unknown whether the key's request ran.
    Unknown,
    /// The key's outcome is no longer kept.
    Expired,
    /// The key was used for a different request.
    Mismatch,
}

/// An expectation.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The submissions of a key that were dispatched and not refused.
    Ran {
        /// The key.
        key: u64,
        /// The submissions.
        #[serde(rename = "sends")]
        submissions: Vec<u64>,
    },
    /// The reply to a submission.
    #[serde(rename = "told")]
    Reply {
        /// The submission.
        #[serde(rename = "send")]
        submission: u64,
        /// The reply; `None` if there is none so far.
        #[serde(rename = "told")]
        reply: Option<ObservedReply>,
    },
}

/// Replays a trace.
///
/// # Errors
///
/// A finding for each violated guarantee, malformed line and unmet expectation.
pub fn replay(trace: &Trace) -> Result<(), Findings> {
    let mut findings = Findings::default();
    let mut simulation = Simulation::default();
    findings.check(&*trace.area == "once", "line 1", || {
        format!("the area is {}, expected once", trace.area)
    });
    for line in &trace.steps {
        match line.kind {
            StepKind::Event => {
                if let Some(step) = line.read::<Step>(&mut findings) {
                    simulation.step(line.at, step);
                }
            }
            StepKind::Expect => {
                if let Some(expect) = line.read::<Expect>(&mut findings) {
                    compare(&simulation, expect, &line.place(), &mut findings);
                }
            }
        }
    }
    findings.merge(simulation.findings().clone());
    findings.into_result(())
}

fn compare(simulation: &Simulation, expect: Expect, path: &str, findings: &mut Findings) {
    match expect {
        Expect::Ran { key, submissions } => {
            let ran = simulation.ran(key);
            findings.check(ran == submissions, path, || {
                format!("key {key} ran in submissions {ran:?}, expected {submissions:?}")
            });
        }
        Expect::Reply { submission, reply } => {
            let actual = simulation.reply_to(submission);
            findings.check(actual == reply, path, || {
                format!("the reply to submission {submission} is {actual:?}, expected {reply:?}")
            });
        }
    }
}
