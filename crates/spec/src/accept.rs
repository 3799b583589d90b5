//! Acceptance of operators' changes: which are accepted, in which order, as which revision.
//!
//! The whole catalog is one value in the key-value service, so the order of successful
//! compare-and-swaps of that value is the order of revisions. Each daemon has an [`Acceptor`]. It
//! collects waiting changes into a batch, reads the catalog, evaluates the batch on it one change
//! after the other, and writes the result with one compare-and-swap that expects the value that was
//! read. It has at most one call to the key-value service outstanding.
//!
//! A write is indeterminate when its response was lost: it may have taken effect, or a delayed copy
//! of it may still do so. The batch is then resolved by reading the catalog back:
//!
//! - A write record of the change in the catalog shows that it was applied, even if others have
//!   written since.
//! - A higher revision without such a record shows that it never will be applied.
//! - An unchanged revision decides nothing. The same batch is written again from the same base: at
//!   most one of the two writes can succeed, and both carry the same write records.
//!
//! Invariants, for every interleaving of writers, lost responses, delayed writes and process
//! crashes:
//!
//! - A change is applied at most once: every write of it is a compare-and-swap from the same base,
//!   or from a base that shows that the earlier write did not take effect.
//! - `Accepted` is answered only for a change whose write record was seen in the stored catalog, or
//!   whose write was confirmed.
//! - `Conflict`, `NotFound`, `Refused` and `NotApplied` are answered only for a change that never
//!   will be applied. While a delayed write of a change may still take effect, its only answers are
//!   `Accepted` and `Unknown`.
//!
//! A store that returns an older revision than one that was accepted has lost data or was read from
//! a stale replica. Nothing is accepted on top of it: processes never go back to a lower revision,
//! so changes accepted there would never become active.

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

/// Maximum number of changes in one compare-and-swap.
pub const MAX_BATCH_CHANGES: usize = 128;
/// Maximum number of changes that wait at one daemon.
pub const MAX_WAITING_CHANGES: usize = 1024;
/// Time from the arrival of a change until it must be answered.
pub const ANSWER_DEADLINE: Duration = Duration::from_secs(5);
/// Time for which changes are rejected immediately after a read has failed.
pub const BREAKER_OPEN_PERIOD: Duration = Duration::from_millis(500);
/// Base of the exponential backoff after failed reads and writes: the upper bound of the delay after
/// `n` failures is this times 2 to the power of `n`.
const BACKOFF_BASE: Duration = Duration::from_millis(5);
/// Maximum exponent of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

#[derive(Clone, Debug)]
struct Pending {
    ticket: Ticket,
    change: Change,
    arrived: Mono,
    /// Base revision of an indeterminate write of this change, if there is one.
    indeterminate_base: Option<Revision>,
    /// The answer to give once the outstanding write is confirmed.
    deferred_outcome: Option<Outcome>,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Idle,
    Reading,
    Writing { base: Revision, catalog: Arc<Catalog> },
    BackingOff { until: Mono },
}

/// State machine that accepts the changes submitted to one daemon.
#[derive(Clone, Debug)]
pub struct Acceptor {
    waiting: VecDeque<Pending>,
    batch: Vec<Pending>,
    phase: Phase,
    /// Failed reads and writes of the current batch.
    failures: u32,
    breaker_open_until: Mono,
    /// Highest revision known to be accepted; a catalog below it is never built upon.
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
    /// Processes one event and returns the actions that the caller must carry out, in order.
    pub fn decide(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Submitted { ticket, change } => self.submit(ticket, change, now, &mut actions),
            Event::Read(stored) => {
                debug_assert_eq!(self.phase, Phase::Reading);
                self.resolve_batch(&stored, now, &mut actions);
            }
            Event::ReadFailed { retry_after } => {
                self.breaker_open_until = now + BREAKER_OPEN_PERIOD;
                self.failures += 1;
                self.answer_not_applied(retry_after, "the key-value service is down", &mut actions);
                self.back_off(now);
            }
            Event::WriteCompleted(result) => self.write_completed(result, now, &mut actions),
            Event::Tick => {}
        }
        self.expire(now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    /// Records that `revision` is active in this process, which shows that it was accepted.
    pub fn note_accepted(&mut self, revision: Revision) {
        self.highest_accepted = self.highest_accepted.max(revision);
    }

    /// Returns the number of changes that are not answered yet.
    pub fn pending_changes(&self) -> usize {
        self.waiting.len() + self.batch.len()
    }

    fn submit(&mut self, ticket: Ticket, change: Change, now: Mono, actions: &mut Vec<Action>) {
        let reason = if now < self.breaker_open_until {
            "the key-value service is down"
        } else if self.waiting.len() >= MAX_WAITING_CHANGES {
            "too many changes are waiting"
        } else {
            let pending = Pending {
                ticket,
                change,
                arrived: now,
                indeterminate_base: None,
                deferred_outcome: None,
            };
            self.waiting.push_back(pending);
            return;
        };
        let retry_after = self.breaker_open_until.saturating_sub(now).max(BREAKER_OPEN_PERIOD);
        let outcome = Outcome::NotApplied { retry_after, reason };
        actions.push(Action::Answer { ticket, outcome });
    }

    /// Answers the changes of the batch that the stored catalog decides, and writes the others on
    /// top of it.
    fn resolve_batch(&mut self, stored: &Stored, now: Mono, actions: &mut Vec<Action>) {
        if stored.catalog.revision < self.highest_accepted {
            let reason = "the key-value service holds an older revision than the active one";
            self.failures += 1;
            self.answer_not_applied(BREAKER_OPEN_PERIOD, reason, actions);
            self.back_off(now);
            return;
        }
        self.highest_accepted = stored.catalog.revision;
        actions.push(Action::Committed(Arc::clone(&stored.catalog)));
        let mut working = WorkingCatalog::new(&stored.catalog);
        let mut remaining = Vec::new();
        for mut pending in std::mem::take(&mut self.batch) {
            match evaluate_pending(&mut pending, &stored.catalog, &mut working) {
                Some(outcome) => {
                    actions.push(Action::Answer { ticket: pending.ticket, outcome });
                }
                None => remaining.push(pending),
            }
        }
        self.batch = remaining;
        if working.is_changed() {
            let catalog = Arc::new(working.into_catalog());
            let expected = stored.mod_revision;
            actions.push(Action::Write { expected, catalog: Arc::clone(&catalog) });
            self.phase = Phase::Writing { base: stored.catalog.revision, catalog };
        } else {
            debug_assert!(self.batch.is_empty(), "an answer is deferred only until a write ends");
            self.phase = Phase::Idle;
        }
    }

    fn write_completed(&mut self, result: WriteResult, now: Mono, actions: &mut Vec<Action>) {
        let Phase::Writing { base, catalog } = std::mem::replace(&mut self.phase, Phase::Idle)
        else {
            debug_assert!(false, "no write was outstanding");
            return;
        };
        match result {
            WriteResult::Committed => {
                self.note_accepted(catalog.revision);
                actions.push(Action::Committed(catalog));
                self.answer_batch(actions, |pending| pending.deferred_outcome.clone());
            }
            WriteResult::Conflict { current } => {
                self.failures += 1;
                if self.failures == 1 {
                    self.resolve_batch(&current, now, actions);
                } else {
                    self.back_off(now);
                }
            }
            WriteResult::NotApplied { retry_after } => {
                self.failures += 1;
                self.answer_not_applied(retry_after, "the write was not carried out", actions);
                self.back_off(now);
            }
            WriteResult::TooLarge { bytes } => self.refuse_too_large(bytes, actions),
            WriteResult::Indeterminate => {
                for pending in self.batch.iter_mut().filter(|pending| pending.is_in_write()) {
                    pending.indeterminate_base = Some(base);
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

    /// Answers `NotApplied` to the changes of the batch that have no indeterminate write.
    fn answer_not_applied(
        &mut self,
        retry_after: Duration,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) {
        self.answer_batch(actions, |pending| {
            pending
                .indeterminate_base
                .is_none()
                .then_some(Outcome::NotApplied { retry_after, reason })
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

    fn back_off(&mut self, now: Mono) {
        if self.batch.is_empty() {
            self.phase = Phase::Idle;
            return;
        }
        let seed = self.batch[0].change.write_id ^ u64::from(self.failures);
        let max_backoff = BACKOFF_BASE * (1 << self.failures.min(MAX_BACKOFF_DOUBLINGS));
        let until = now + max_backoff.mul_f64(0.5 + 0.5 * fraction(seed));
        self.phase = Phase::BackingOff { until };
    }

    /// Answers changes whose deadline has passed.
    ///
    /// The batch is answered as a whole, because it is written as a whole.
    fn expire(&mut self, now: Mono, actions: &mut Vec<Action>) {
        let overdue = |pending: &Pending| now >= pending.arrived + ANSWER_DEADLINE;
        let reason = "the deadline passed before the change could be written";
        let not_applied = || Outcome::NotApplied { retry_after: BREAKER_OPEN_PERIOD, reason };
        while self.waiting.front().is_some_and(overdue) {
            let Some(pending) = self.waiting.pop_front() else { break };
            let ticket = pending.ticket;
            actions.push(Action::Answer { ticket, outcome: not_applied() });
        }
        let backing_off = matches!(self.phase, Phase::BackingOff { .. });
        if backing_off && self.batch.iter().any(overdue) {
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
            Phase::BackingOff { until } if now >= until => {
                self.phase = Phase::Reading;
                actions.push(Action::Read);
            }
            Phase::BackingOff { until } => actions.push(Action::Wake(until)),
            _ => {}
        }
    }
}

impl Pending {
    fn is_in_write(&self) -> bool {
        matches!(self.deferred_outcome, Some(Outcome::Accepted { changed: true, .. }))
    }

    fn unknown(&self) -> Option<Outcome> {
        let write_id = self.change.write_id;
        self.indeterminate_base.map(|base| Outcome::Unknown { write_id, base })
    }
}

/// Returns a pseudo-random fraction from 0 to 1, uniformly distributed over seeds.
fn fraction(seed: u64) -> f64 {
    stable(&seed.to_le_bytes()) as f64 / u64::MAX as f64
}

/// Evaluates one change on the stored catalog; returns `None` if its answer depends on the write.
fn evaluate_pending(
    pending: &mut Pending,
    stored: &Catalog,
    working: &mut WorkingCatalog,
) -> Option<Outcome> {
    let write_id = pending.change.write_id;
    let base = pending.indeterminate_base.unwrap_or(stored.revision);
    match stored.write_status(write_id, base) {
        WriteStatus::Applied { revision } => {
            return Some(Outcome::Accepted { revision, changed: true });
        }
        WriteStatus::Forgotten => return pending.unknown(),
        WriteStatus::NeverApplied => pending.indeterminate_base = None,
        WriteStatus::Indeterminate => {}
    }
    let independent = !working.is_changed();
    let outcome = match working.evaluate(&pending.change) {
        Evaluation::Changed { revision } => {
            pending.deferred_outcome = Some(Outcome::Accepted { revision, changed: true });
            return None;
        }
        Evaluation::Unchanged { revision } => Outcome::Accepted { revision, changed: false },
        Evaluation::Checked { changed } => Outcome::Checked { revision: stored.revision, changed },
        Evaluation::Conflict { stale } => Outcome::Conflict { stale },
        Evaluation::NotFound { kind, name } => Outcome::NotFound { kind, name },
        Evaluation::Refused { findings } => Outcome::Refused { findings },
    };
    // The base of an indeterminate write is unchanged, so the change is evaluated as before.
    debug_assert!(
        pending.indeterminate_base.is_none(),
        "a change that may still take effect was refused"
    );
    if independent {
        return Some(outcome);
    }
    // The result depends on earlier changes of the batch, so it is deferred until their write ends.
    pending.deferred_outcome = Some(outcome);
    None
}
