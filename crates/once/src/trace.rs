//! Recorded traces of claims, and their replay in a [`Simulation`].
//!
//! An event of a trace is a [`Step`], and an expectation an [`Expect`].

use base::prelude::*;
use base::trace::StepKind;
use base::trace::Trace;

use crate::segment::RequestOutcome;
use crate::simulation::Simulation;

/// What the network and the service do to one call.
#[key]
pub enum Fault {
    /// Nothing.
    None,
    /// The answer is lost, after the call took effect.
    AnswerLost,
    /// There is no answer, and a write takes effect later, at [`Step::Land`].
    LandsLate,
    /// The service is down and says so.
    Down,
}

/// One thing that happens.
#[wire]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// A send of a key begins.
    Begin {
        /// The send.
        send: u64,
        /// The key.
        key: u64,
        /// The key's issue time in milliseconds of the trace.
        issued_ms: u64,
        /// The request's fingerprint.
        body: u64,
    },
    /// The send's ask reaches an owner.
    Ask {
        /// The send.
        send: u64,
        /// The owner.
        owner: usize,
    },
    /// The send's ask got no answer, as far as the send can tell.
    LoseAsk {
        /// The send.
        send: u64,
    },
    /// The owner makes its next call to the key-value service.
    Call {
        /// The owner.
        owner: usize,
        /// What happens to the call.
        fault: Fault,
    },
    /// A write that had no answer takes effect.
    Land,
    /// The owner's answer reaches the send.
    Answer {
        /// The send.
        send: u64,
    },
    /// The send's time for its claim is over.
    Deadline {
        /// The send.
        send: u64,
    },
    /// The send's dispatched request ends.
    End {
        /// The send.
        send: u64,
        /// How.
        end: RequestOutcome,
    },
    /// The send's dispatch is surely refused.
    Refuse {
        /// The send.
        send: u64,
    },
    /// The send's report reaches an owner.
    Report {
        /// The send.
        send: u64,
        /// The owner.
        owner: usize,
    },
    /// The owner's clock is behind by this much from now on.
    Clock {
        /// The owner.
        owner: usize,
        /// How far, in milliseconds.
        behind_ms: u64,
    },
    /// The owner's process is replaced, and forgets all that it was asked.
    Restart {
        /// The owner.
        owner: usize,
    },
}

/// What a send was told, without numbers.
#[key]
pub enum ObservedReply {
    /// This send was not run.
    NotRun,
    /// No send of the key was ever run.
    KeyNotRun,
    /// The key-value service is down, and this send was not run.
    KvDown,
    /// The recorded end is done.
    Done,
    /// The recorded end is failed.
    Failed,
    /// Nobody can say whether the key ran.
    Unknown,
    /// The key's outcome is no longer kept.
    Expired,
    /// The key belongs to another request.
    Mismatch,
}

/// What must hold.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The sends whose dispatched requests were not refused, for a key.
    Ran {
        /// The key.
        key: u64,
        /// The sends.
        sends: Vec<u64>,
    },
    /// What a send was told; `None` if nothing so far.
    Told {
        /// The send.
        send: u64,
        /// What.
        told: Option<ObservedReply>,
    },
}

/// Replays a trace.
///
/// # Errors
///
/// All breaches of promises and all unmet expectations, with their lines.
pub fn replay(trace: &Trace) -> Result<(), Findings> {
    let mut findings = Findings::default();
    let mut world = Simulation::default();
    findings.check(&*trace.area == "once", "line 1", || format!("{} is not once", trace.area));
    for line in &trace.steps {
        match line.kind {
            StepKind::Event => {
                if let Some(step) = line.read::<Step>(&mut findings) {
                    world.step(line.at, step);
                }
            }
            StepKind::Expect => {
                if let Some(expect) = line.read::<Expect>(&mut findings) {
                    compare(&world, expect, &line.place(), &mut findings);
                }
            }
        }
    }
    findings.merge(world.findings().clone());
    findings.into_result(())
}

fn compare(world: &Simulation, expect: Expect, place: &str, findings: &mut Findings) {
    match expect {
        Expect::Ran { key, sends } => {
            let ran = world.ran(key);
            findings.check(ran == sends, place, || format!("key {key} ran in sends {ran:?}"));
        }
        Expect::Told { send, told } => {
            let is = world.reply_to(send);
            findings.check(is == told, place, || format!("send {send} was told {is:?}"));
        }
    }
}
