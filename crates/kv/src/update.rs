//! One change of one record, brought to a known end where that is possible.
//!
//! [`Update`] decides and [`run`] does the calls. The change reads the record, lets its owner
//! decide on the next body, and writes it by compare-and-swap. A conflict makes it read and decide
//! again, as a new write. A write without a clear answer leaves the change in doubt:
//!
//! - The record is read back. If it has moved on, its history tells whether the write took effect
//!   ([`Record::write_status`]).
//! - If it has not moved on, the write may still be under way and land later. The very same
//!   write, with the same id and the same expected revision, is sent again: at most one of the
//!   two can be carried out, whichever lands first, and its answer or the record then tells.
//! - If the deadline passes in doubt, the outcome is [`Outcome::Unknown`].

use std::future::Future;
use std::time::Instant;

use base::prelude::*;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::record::Record;
use crate::record::Stored;
use crate::record::WriteStatus;
use crate::store::CasResult;
use crate::store::KvError;
use crate::store::Store;

/// Pause before the first repeated call.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause between calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// How a change ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<T> {
    /// It took effect.
    Written {
        /// The record as this change wrote it.
        record: Record<T>,
        /// The record as it stands, on which others may have built since.
        current: Stored<T>,
    },
    /// Its owner decided against a change of this record.
    Declined(Option<Stored<T>>),
    /// It was not written and never will be.
    NotWritten(KvError),
    /// It may have been written, or may yet be.
    Unknown,
}

/// What the next step of a change needs.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<T> {
    /// Read the record; answer with [`Event::Read`].
    Read,
    /// Decide on the next body; answer with [`Event::Decided`].
    Decide(Option<Stored<T>>),
    /// Write the record if `expected` wrote the current one; answer with [`Event::Swapped`].
    Swap {
        /// The expected revision.
        expected: u64,
        /// The record to write.
        record: Record<T>,
    },
    /// Wait; answer with [`Event::WaitElapsed`].
    Wait(Duration),
    /// The change has ended.
    End(Outcome<T>),
}

/// What became of an action.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<T> {
    /// The change begins.
    Started,
    /// The record was read.
    Read(Result<Option<Stored<T>>, KvError>),
    /// The next body, with the id of its write; `None` if there is nothing to change.
    Decided(Option<(WriteId, T)>),
    /// The swap was answered: with its revision, or with what stands instead.
    Swapped(Result<Result<u64, Option<Stored<T>>>, KvError>),
    /// The wait is over.
    WaitElapsed,
}

#[derive(Clone, Debug, PartialEq)]
struct Draft<T> {
    expected: u64,
    record: Record<T>,
}

#[derive(Clone, Debug, PartialEq)]
enum State<T> {
    /// Nothing was written.
    Clear,
    /// The owner decides on what follows this record.
    Deciding(Option<Stored<T>>),
    /// A first write is under way.
    Writing(Draft<T>),
    /// A write had no clear answer, and the record is read back or awaited.
    InDoubt(Draft<T>),
    /// The same write was sent again.
    Rewriting(Draft<T>),
}

/// The state of one change.
#[derive(Clone, Debug)]
pub struct Update<T> {
    deadline: Mono,
    state: State<T>,
    pauses: u32,
}

impl<T: Clone> Update<T> {
    /// Returns a change that must have ended by `deadline`.
    pub fn new(deadline: Mono) -> Self {
        Update { deadline, state: State::Clear, pauses: 0 }
    }

    /// Returns the next action; `draw` is a random number from 0 to 1 that spreads the pauses.
    pub fn decide(&mut self, event: Event<T>, now: Mono, draw: f64) -> Action<T> {
        match event {
            Event::Started => Action::Read,
            Event::WaitElapsed => self.wait_elapsed(now),
            Event::Read(Ok(current)) => self.read(current),
            Event::Decided(next) => self.decided(next),
            Event::Swapped(Ok(Ok(mod_revision))) => self.written(mod_revision),
            Event::Swapped(Ok(Err(current))) => self.conflict(current, now, draw),
            Event::Read(Err(error)) | Event::Swapped(Err(error)) => self.failed(error, now, draw),
        }
    }

    fn wait_elapsed(&self, now: Mono) -> Action<T> {
        if now < self.deadline {
            return Action::Read;
        }
        match self.state {
            State::Clear | State::Deciding(_) => Action::End(Outcome::NotWritten(self.limited())),
            _ => Action::End(Outcome::Unknown),
        }
    }

    fn limited(&self) -> KvError {
        KvError::RateLimited { retry_after: LONGEST_PAUSE }
    }

    fn read(&mut self, current: Option<Stored<T>>) -> Action<T> {
        match &self.state {
            State::InDoubt(draft) => {
                let draft = draft.clone();
                self.weigh(draft, current)
            }
            _ => self.ask(current),
        }
    }

    fn ask(&mut self, current: Option<Stored<T>>) -> Action<T> {
        self.state = State::Deciding(current.clone());
        Action::Decide(current)
    }

    /// Weighs what was read back against the write in doubt.
    fn weigh(&mut self, draft: Draft<T>, current: Option<Stored<T>>) -> Action<T> {
        if stands_at(&current) == draft.expected {
            let (expected, record) = (draft.expected, draft.record.clone());
            self.state = State::Rewriting(draft);
            return Action::Swap { expected, record };
        }
        let Some(current) = current else { return Action::End(Outcome::Unknown) };
        let write = draft.record.writes.last().copied().unwrap_or_default();
        match current.record.write_status(draft.record.number, write) {
            WriteStatus::Applied => Action::End(Outcome::Written { record: draft.record, current }),
            WriteStatus::Superseded => self.ask(Some(current)),
            WriteStatus::Pending | WriteStatus::Unknown => Action::End(Outcome::Unknown),
        }
    }

    fn decided(&mut self, next: Option<(WriteId, T)>) -> Action<T> {
        let State::Deciding(current) = std::mem::replace(&mut self.state, State::Clear) else {
            return Action::Read;
        };
        let Some((write, body)) = next else { return Action::End(Outcome::Declined(current)) };
        let expected = stands_at(&current);
        let record =
            Record::successor(current.as_ref().map(|current| &current.record), write, body);
        self.state = State::Writing(Draft { expected, record: record.clone() });
        Action::Swap { expected, record }
    }

    fn written(&mut self, mod_revision: u64) -> Action<T> {
        match std::mem::replace(&mut self.state, State::Clear) {
            State::Writing(draft) | State::Rewriting(draft) => {
                let current = Stored { mod_revision, record: draft.record.clone() };
                Action::End(Outcome::Written { record: draft.record, current })
            }
            _ => Action::Read,
        }
    }

    fn conflict(&mut self, current: Option<Stored<T>>, now: Mono, draw: f64) -> Action<T> {
        match std::mem::replace(&mut self.state, State::Clear) {
            State::Rewriting(draft) if stands_at(&current) != draft.expected => {
                self.weigh(draft, current)
            }
            // What was said to stand was not readable; the record is read again.
            State::Rewriting(draft) => {
                self.state = State::InDoubt(draft);
                self.pause(now, draw)
            }
            // The first conflict tells what stands; later ones mean that many write.
            _ if self.pauses == 0 && current.is_some() => {
                self.pauses = 1;
                self.ask(current)
            }
            _ => self.pause(now, draw),
        }
    }

    fn failed(&mut self, error: KvError, now: Mono, draw: f64) -> Action<T> {
        self.state = match std::mem::replace(&mut self.state, State::Clear) {
            State::Writing(draft) if error == KvError::Indeterminate => State::InDoubt(draft),
            State::Writing(_) | State::Clear | State::Deciding(_) => State::Clear,
            State::InDoubt(draft) | State::Rewriting(draft) => State::InDoubt(draft),
        };
        let waits = matches!(error, KvError::RateLimited { .. });
        if self.state_is_clear() && !waits {
            return Action::End(Outcome::NotWritten(error));
        }
        self.pause(now, draw)
    }

    fn state_is_clear(&self) -> bool {
        matches!(self.state, State::Clear)
    }

    fn pause(&mut self, now: Mono, draw: f64) -> Action<T> {
        let longest = FIRST_PAUSE.saturating_mul(1 << self.pauses.min(10)).min(LONGEST_PAUSE);
        self.pauses += 1;
        let pause = longest.mul_f64(0.5 + draw.clamp(0.0, 1.0) / 2.0);
        Action::Wait(pause.min(self.deadline.saturating_sub(now)))
    }
}

/// Returns the revision that wrote what stands, or 0 if nothing does.
fn stands_at<T>(current: &Option<Stored<T>>) -> u64 {
    current.as_ref().map_or(0, |current| current.mod_revision)
}

/// Makes one change of the record under `key`, within `limit`.
///
/// `next` is given what stands and returns the next body, or `None` if there is nothing to
/// change. It is asked again whenever another writer came first.
pub async fn run<T>(
    store: &dyn Store,
    key: &str,
    limit: Duration,
    mut next: impl FnMut(Option<&Stored<T>>) -> Option<T>,
) -> Outcome<T>
where
    T: Clone + Serialize + for<'de> Deserialize<'de>,
{
    run_event(store, key, limit, Event::Started, &mut next).await
}

/// Makes one change as [`run`] does, without a read before the first write if `known` is given.
///
/// If `known` no longer stands, the write meets a conflict, and the change goes on from there. A
/// change that is declined was decided on `known` as it was.
pub async fn run_from<T>(
    store: &dyn Store,
    key: &str,
    limit: Duration,
    known: Option<Stored<T>>,
    mut next: impl FnMut(Option<&Stored<T>>) -> Option<T>,
) -> Outcome<T>
where
    T: Clone + Serialize + for<'de> Deserialize<'de>,
{
    let event = known.map_or(Event::Started, |known| Event::Read(Ok(Some(known))));
    run_event(store, key, limit, event, &mut next).await
}

async fn run_event<T>(
    store: &dyn Store,
    key: &str,
    limit: Duration,
    mut event: Event<T>,
    next: &mut impl FnMut(Option<&Stored<T>>) -> Option<T>,
) -> Outcome<T>
where
    T: Clone + Serialize + for<'de> Deserialize<'de>,
{
    let begun = Instant::now();
    let mut update = Update::new(limit);
    loop {
        let draw = rand::rng().random_range(0.0..1.0);
        event = match update.decide(event, begun.elapsed(), draw) {
            Action::Read => Event::Read(read(key, store.get(key)).await),
            Action::Decide(current) => {
                Event::Decided(next(current.as_ref()).map(|body| (random_id(), body)))
            }
            Action::Swap { expected, record } => {
                Event::Swapped(swap(store, key, expected, &record).await)
            }
            Action::Wait(pause) => {
                tokio::time::sleep(pause).await;
                Event::WaitElapsed
            }
            Action::End(outcome) => return outcome,
        };
    }
}

async fn read<T: for<'de> Deserialize<'de>>(
    key: &str,
    answer: impl Future<Output = Result<Option<crate::store::Versioned>, KvError>>,
) -> Result<Option<Stored<T>>, KvError> {
    answer.await?.map(|versioned| Stored::decode(key, &versioned)).transpose()
}

async fn swap<T: Serialize + for<'de> Deserialize<'de>>(
    store: &dyn Store,
    key: &str,
    expected: u64,
    record: &Record<T>,
) -> Result<Result<u64, Option<Stored<T>>>, KvError> {
    let value = serde_json::to_vec(record).map_err(|error| KvError::Malformed {
        key: key.into(),
        problem: error.to_string().into(),
    })?;
    match store.compare_and_swap(key, expected, value.into()).await? {
        CasResult::Done { mod_revision } => Ok(Ok(mod_revision)),
        CasResult::Conflict { current } => {
            let current = current.map(|versioned| Stored::decode(key, &versioned)).transpose();
            // The swap surely lost; a record that can't be read is met by the next read.
            Ok(Err(current.unwrap_or(None)))
        }
    }
}
