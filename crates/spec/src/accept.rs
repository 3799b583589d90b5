//! Acceptance of operators' changes: which are accepted, in which order, as which revision.
//!
//! The whole catalog is one value in the key-value service, so the order of compare-and-swaps on
//! it is the order of revisions. A daemon's [`Acceptor`] gathers the changes that wait into a
//! batch, reads the catalog, evaluates the batch on it one change after the other, and writes the
//! result with one compare-and-swap from what it read. It has one call outstanding at any time.
//!
//! Invariants, for every interleaving of writers, lost answers, delayed writes and kills:
//!
//! - A change is applied at most once: every write of it is a compare-and-swap from the same base,
//!   or from one that shows that the earlier write did not happen.
//! - `Accepted` is answered only for a change whose mark was seen in the store's value, or whose
//!   write was confirmed.
//! - `Conflict`, `NotFound`, `Refused` and `NotApplied` are answered only for a change that never
//!   will be applied. While a delayed write of a change may still land, its only answers are
//!   `Accepted` and `Unknown`.
//!
//! A store that shows an older revision than one that was accepted has lost its data or answers from
//! a stale copy. Nothing is accepted on top of it: processes never go back to a lower revision, so
//! what was accepted would never be in force.
//!
//! After an unclear write the batch is settled by reading: a mark in the catalog says that the
//! change was applied, even if others have written since; a higher revision without a mark says
//! that it never will be. If the base still stands, the same batch is written again from it: at
//! most one of the two writes can succeed, and both have the same marks.

mod change;
mod message;

use std::collections::VecDeque;
use std::sync::Arc;

use base::hash::stable;
use base::prelude::*;

pub use self::change::Change;
pub use self::change::Edit;
pub use self::change::Evaluation;
pub use self::change::StaleRevision;
pub use self::change::WorkingCatalog;
pub use self::message::Action;
pub use self::message::Event;
pub use self::message::Outcome;
pub use self::message::Stored;
pub use self::message::Ticket;
pub use self::message::WriteResult;
use crate::catalog::Catalog;
use crate::catalog::WriteStatus;

/// Changes that one compare-and-swap carries at most.
pub const MAX_BATCH_CHANGES: usize = 128;
/// Changes that may wait at one daemon.
pub const MAX_WAITING_CHANGES: usize = 1024;
/// Time after its arrival by which a change is answered.
pub const ANSWER_DEADLINE: Duration = Duration::from_secs(5);
/// Time during which changes are refused at once after a read has failed.
pub const BREAKER_OPEN_PERIOD: Duration = Duration::from_millis(500);
/// Longest first pause after a lost race, or before an unclear write is read back again.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// The pause doubles with each further failure, up to this often.
const MAX_PAUSE_DOUBLINGS: u32 = 6;

#[derive(Clone, Debug)]
struct Pending {
    ticket: Ticket,
    change: Change,
    arrived: Mono,
    /// The revision from which an unclear write of this change was made.
    unclear_from: Option<Revision>,
    /// The answer once the outstanding write is known to stand.
    planned: Option<Outcome>,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Idle,
    Reading,
    Writing { base: Revision, catalog: Arc<Catalog> },
    Pausing { until: Mono },
}

/// Accepts the changes that operators ask of one daemon.
#[derive(Clone, Debug)]
pub struct Acceptor {
    waiting: VecDeque<Pending>,
    batch: Vec<Pending>,
    phase: Phase,
    /// Lost races and unclear answers of the batch so far.
    failures: u32,
    breaker_open_until: Mono,
    /// The highest revision known to have been accepted.
    highest_accepted: Revision,
}

impl Default for Acceptor {
    fn default() -> Self {
        Acceptor {
            waiting: VecDeque::new(),
            batch: Vec::new(),
            phase: Phase::Idle,
            failures: 0,
            breaker_open_until: Mono::ZERO,
            highest_accepted: 0,
        }
    }
}

impl Acceptor {
    /// Takes in one event and returns what is to be done.
    pub fn decide(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Submitted { ticket, change } => self.submit(ticket, change, now, &mut actions),
            Event::Read(stored) => {
                debug_assert_eq!(self.phase, Phase::Reading);
                self.settle(&stored, now, &mut actions);
            }
            Event::ReadFailed { retry_after } => {
                self.breaker_open_until = now + BREAKER_OPEN_PERIOD;
                self.failures += 1;
                self.give_up_unwritten(retry_after, "the key-value service is down", &mut actions);
                self.pause(now);
            }
            Event::WriteCompleted(written) => self.written(written, now, &mut actions),
            Event::Tick => {}
        }
        self.expire(now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    /// Notes that a revision is in force, so it was accepted.
    pub fn note_accepted(&mut self, revision: Revision) {
        self.highest_accepted = self.highest_accepted.max(revision);
    }

    /// Returns the number of changes that have no answer yet.
    pub fn pending_changes(&self) -> usize {
        self.waiting.len() + self.batch.len()
    }

    fn submit(&mut self, ticket: Ticket, change: Change, now: Mono, actions: &mut Vec<Action>) {
        let reason = if now < self.breaker_open_until {
            "the key-value service is down"
        } else if self.waiting.len() >= MAX_WAITING_CHANGES {
            "too many changes wait"
        } else {
            let pending =
                Pending { ticket, change, arrived: now, unclear_from: None, planned: None };
            self.waiting.push_back(pending);
            return;
        };
        let retry_after = self.breaker_open_until.saturating_sub(now).max(BREAKER_OPEN_PERIOD);
        let outcome = Outcome::NotApplied { retry_after, reason };
        actions.push(Action::Answer { ticket, outcome });
    }

    /// Answers what the stored catalog tells about the batch, and writes the rest on top of it.
    fn settle(&mut self, stored: &Stored, now: Mono, actions: &mut Vec<Action>) {
        if stored.catalog.revision < self.highest_accepted {
            let reason = "the key-value service holds an older revision than the one in force";
            self.failures += 1;
            self.give_up_unwritten(BREAKER_OPEN_PERIOD, reason, actions);
            self.pause(now);
            return;
        }
        self.highest_accepted = stored.catalog.revision;
        actions.push(Action::Committed(Arc::clone(&stored.catalog)));
        let mut working = WorkingCatalog::new(&stored.catalog);
        let mut left = Vec::new();
        for mut pending in std::mem::take(&mut self.batch) {
            match settle_one(&mut pending, &stored.catalog, &mut working) {
                Some(outcome) => {
                    actions.push(Action::Answer { ticket: pending.ticket, outcome });
                }
                None => left.push(pending),
            }
        }
        self.batch = left;
        if working.is_changed() {
            let catalog = Arc::new(working.into_catalog());
            let expected = stored.mod_revision;
            actions.push(Action::Write { expected, catalog: Arc::clone(&catalog) });
            self.phase = Phase::Writing { base: stored.catalog.revision, catalog };
        } else {
            debug_assert!(self.batch.is_empty(), "only a write may hold back an answer");
            self.phase = Phase::Idle;
        }
    }

    fn written(&mut self, written: WriteResult, now: Mono, actions: &mut Vec<Action>) {
        let Phase::Writing { base, catalog } = std::mem::replace(&mut self.phase, Phase::Idle)
        else {
            debug_assert!(false, "no write was outstanding");
            return;
        };
        match written {
            WriteResult::Committed => {
                self.note_accepted(catalog.revision);
                actions.push(Action::Committed(catalog));
                self.answer_batch(actions, |pending| pending.planned.clone());
            }
            WriteResult::Conflict { current } => {
                self.failures += 1;
                if self.failures == 1 {
                    self.settle(&current, now, actions);
                } else {
                    self.pause(now);
                }
            }
            WriteResult::NotApplied { retry_after } => {
                self.failures += 1;
                self.give_up_unwritten(retry_after, "the write was not carried out", actions);
                self.pause(now);
            }
            WriteResult::TooLarge { bytes } => self.refuse_too_large(bytes, actions),
            WriteResult::Indeterminate => {
                for pending in self.batch.iter_mut().filter(|pending| pending.is_written()) {
                    pending.unclear_from = Some(base);
                }
                self.failures += 1;
                self.phase = Phase::Reading;
                actions.push(Action::Read);
            }
        }
    }

    fn refuse_too_large(&mut self, bytes: usize, actions: &mut Vec<Action>) {
        let mut findings = Findings::default();
        findings.add("$", format!("the configuration would have {bytes} bytes, more than a value of the key-value service may have"));
        self.answer_batch(actions, |pending| {
            let refused = || Outcome::Refused { findings: findings.clone() };
            Some(pending.unknown().unwrap_or_else(refused))
        });
    }

    /// Answers the changes of the batch of which no unclear write was made.
    fn give_up_unwritten(
        &mut self,
        retry_after: Duration,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) {
        self.answer_batch(actions, |pending| {
            pending.unclear_from.is_none().then_some(Outcome::NotApplied { retry_after, reason })
        });
    }

    fn answer_batch(
        &mut self,
        actions: &mut Vec<Action>,
        answer: impl Fn(&Pending) -> Option<Outcome>,
    ) {
        self.batch.retain(|pending| match answer(pending) {
            Some(outcome) => {
                actions.push(Action::Answer { ticket: pending.ticket, outcome });
                false
            }
            None => true,
        });
    }

    fn pause(&mut self, now: Mono) {
        if self.batch.is_empty() {
            self.phase = Phase::Idle;
            return;
        }
        let seed = self.batch[0].change.write_id ^ u64::from(self.failures);
        let longest = RETRY_PAUSE * (1 << self.failures.min(MAX_PAUSE_DOUBLINGS));
        let until = now + longest.mul_f64(0.5 + 0.5 * fraction(seed));
        self.phase = Phase::Pausing { until };
    }

    /// Answers changes past their deadline; the batch as a whole, since its writes are one.
    fn expire(&mut self, now: Mono, actions: &mut Vec<Action>) {
        let late = |pending: &Pending| now >= pending.arrived + ANSWER_DEADLINE;
        let reason = "the deadline passed before the change could be written";
        let not_applied = || Outcome::NotApplied { retry_after: BREAKER_OPEN_PERIOD, reason };
        while self.waiting.front().is_some_and(late) {
            let Some(pending) = self.waiting.pop_front() else { break };
            let ticket = pending.ticket;
            actions.push(Action::Answer { ticket, outcome: not_applied() });
        }
        let pausing = matches!(self.phase, Phase::Pausing { .. });
        if pausing && self.batch.iter().any(late) {
            self.answer_batch(actions, |pending| {
                Some(pending.unknown().unwrap_or_else(not_applied))
            });
            self.phase = Phase::Idle;
        }
    }

    fn advance(&mut self, now: Mono, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Idle if !self.waiting.is_empty() => {
                let count = self.waiting.len().min(MAX_BATCH_CHANGES);
                self.batch.extend(self.waiting.drain(..count));
                self.failures = 0;
                self.phase = Phase::Reading;
                actions.push(Action::Read);
            }
            Phase::Pausing { until } if now >= until => {
                self.phase = Phase::Reading;
                actions.push(Action::Read);
            }
            Phase::Pausing { until } => actions.push(Action::Wake(until)),
            _ => {}
        }
    }
}

impl Pending {
    fn is_written(&self) -> bool {
        matches!(self.planned, Some(Outcome::Accepted { changed: true, .. }))
    }

    fn unknown(&self) -> Option<Outcome> {
        let write_id = self.change.write_id;
        self.unclear_from.map(|base| Outcome::Unknown { write_id, base })
    }
}

/// Returns a fraction from 0 to 1 that is spread evenly over seeds.
fn fraction(seed: u64) -> f64 {
    stable(&seed.to_le_bytes()) as f64 / u64::MAX as f64
}

/// Settles one change on the stored catalog: an answer, or `None` if it waits for the write.
fn settle_one(
    pending: &mut Pending,
    stored: &Catalog,
    working: &mut WorkingCatalog,
) -> Option<Outcome> {
    let write_id = pending.change.write_id;
    let base = pending.unclear_from.unwrap_or(stored.revision);
    match stored.write_status(write_id, base) {
        WriteStatus::Applied { revision } => {
            return Some(Outcome::Accepted { revision, changed: true });
        }
        WriteStatus::Forgotten => return pending.unknown(),
        WriteStatus::NeverApplied => pending.unclear_from = None,
        WriteStatus::Indeterminate => {}
    }
    let settled_now = !working.is_changed();
    let outcome = match working.evaluate(&pending.change) {
        Evaluation::Changed { revision } => {
            pending.planned = Some(Outcome::Accepted { revision, changed: true });
            return None;
        }
        Evaluation::Unchanged { revision } => Outcome::Accepted { revision, changed: false },
        Evaluation::Checked { changed } => Outcome::Checked { revision: stored.revision, changed },
        Evaluation::Conflict { stale } => Outcome::Conflict { stale },
        Evaluation::NotFound { kind, name } => Outcome::NotFound { kind, name },
        Evaluation::Refused { findings } => Outcome::Refused { findings },
    };
    // The base of an unclear write still stands, so its evaluation ends as it did before.
    debug_assert!(pending.unclear_from.is_none(), "a change that may still land was refused");
    if settled_now {
        return Some(outcome);
    }
    // The verdict rests on changes of the same batch, so it waits for their write.
    pending.planned = Some(outcome);
    None
}
