//! An update of one record that ends with a known outcome wherever possible.
//!
//! [`Update`] is the state machine; [`run`] makes the calls. An update reads the record, lets its
//! caller decide on the next body, and writes that by compare-and-swap. On a conflict it reads and
//! decides again, as a new write with a new id. A write with an indeterminate outcome leaves the
//! update in doubt:
//!
//! - The record is read back. If it has changed, its history shows whether the write took effect
//!   ([`Record::write_status`]).
//! - If it has not changed, the write may still be in flight and be applied later. The same write,
//!   with the same id and the same expected revision, is sent again: at most one of the two can
//!   take effect, whichever arrives first, and the response or the record then shows the outcome.
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

/// Pause before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// Longest pause between retries.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// How an update ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<T> {
    /// It took effect.
    Written {
        /// The record as this update wrote it.
        record: Record<T>,
        /// The record as last read, which may include later writes of others.
        current: Stored<T>,
    },
    /// The caller decided against a change of this record.
    Declined(Option<Stored<T>>),
    /// It was not written and never will be.
    NotWritten(KvError),
    /// It may have been written, or may yet be.
    Unknown,
}

/// The next step of an update.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<T> {
    /// Read the record; answer with [`Event::Read`].
    Read,
    /// Decide on the next body; answer with [`Event::Decided`].
    Decide(Option<Stored<T>>),
    /// Write the record by compare-and-swap; answer with [`Event::Swapped`].
    Swap {
        /// The store revision that the current record must have; 0 if there must be none.
        expected: u64,
        /// The record to write.
        record: Record<T>,
    },
    /// Wait; answer with [`Event::WaitElapsed`].
    Wait(Duration),
    /// The update has ended.
    End(Outcome<T>),
}

/// The result of an action.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<T> {
    /// The update starts.
    Started,
    /// The record was read.
    Read(Result<Option<Stored<T>>, KvError>),
    /// The next body, with the id of its write; `None` if there is nothing to change.
    Decided(Option<(WriteId, T)>),
    /// The compare-and-swap was answered: with its store revision, or with the current record.
    Swapped(Result<Result<u64, Option<Stored<T>>>, KvError>),
    /// The wait is over.
    WaitElapsed,
}

#[derive(Clone, Debug, PartialEq)]
struct PendingWrite<T> {
    expected: u64,
    record: Record<T>,
}

#[derive(Clone, Debug, PartialEq)]
enum State<T> {
    /// No write is in flight or in doubt.
    Idle,
    /// The caller decides on the successor of this record.
    Deciding(Option<Stored<T>>),
    /// A write was sent for the first time.
    Writing(PendingWrite<T>),
    /// A write has an indeterminate outcome. The record is being read back, or that is awaited.
    InDoubt(PendingWrite<T>),
    /// The same write was sent again, after an indeterminate outcome.
    Resending(PendingWrite<T>),
}

/// The state machine of one update.
#[derive(Clone, Debug)]
pub struct Update<T> {
    deadline: Mono,
    state: State<T>,
    retries: u32,
}

impl<T: Clone> Update<T> {
    /// Returns an update that must end by `deadline`.
    pub fn new(deadline: Mono) -> Self {
        Update { deadline, state: State::Idle, retries: 0 }
    }

    /// Returns the next action. `jitter`, a random number from 0 to 1, randomizes the pauses.
    pub fn decide(&mut self, event: Event<T>, now: Mono, jitter: f64) -> Action<T> {
        match event {
            Event::Started => Action::Read,
            Event::WaitElapsed => self.wait_elapsed(now),
            Event::Read(Ok(current)) => self.read(current),
            Event::Decided(next) => self.decided(next),
            Event::Swapped(Ok(Ok(mod_revision))) => self.written(mod_revision),
            Event::Swapped(Ok(Err(current))) => self.conflict(current, now, jitter),
            Event::Read(Err(error)) | Event::Swapped(Err(error)) => self.failed(error, now, jitter),
        }
    }

    fn wait_elapsed(&self, now: Mono) -> Action<T> {
        if now < self.deadline {
            return Action::Read;
        }
        match self.state {
            State::Idle | State::Deciding(_) => Action::End(Outcome::NotWritten(self.limited())),
            _ => Action::End(Outcome::Unknown),
        }
    }

    fn limited(&self) -> KvError {
        KvError::RateLimited { retry_after: MAX_BACKOFF }
    }

    fn read(&mut self, current: Option<Stored<T>>) -> Action<T> {
        match &self.state {
            State::InDoubt(pending) => {
                let pending = pending.clone();
                self.resolve(pending, current)
            }
            _ => self.request_decision(current),
        }
    }

    fn request_decision(&mut self, current: Option<Stored<T>>) -> Action<T> {
        self.state = State::Deciding(current.clone());
        Action::Decide(current)
    }

    /// Resolves a write in doubt by the current record, or sends it again.
    fn resolve(&mut self, pending: PendingWrite<T>, current: Option<Stored<T>>) -> Action<T> {
        if revision_of(&current) == pending.expected {
            let (expected, record) = (pending.expected, pending.record.clone());
            self.state = State::Resending(pending);
            return Action::Swap { expected, record };
        }
        let Some(current) = current else { return Action::End(Outcome::Unknown) };
        let write = pending.record.writes.last().copied().unwrap_or_default();
        match current.record.write_status(pending.record.number, write) {
            WriteStatus::Applied => {
                Action::End(Outcome::Written { record: pending.record, current })
            }
            WriteStatus::Superseded => self.request_decision(Some(current)),
            WriteStatus::Pending | WriteStatus::Unknown => Action::End(Outcome::Unknown),
        }
    }

    fn decided(&mut self, next: Option<(WriteId, T)>) -> Action<T> {
        let State::Deciding(current) = std::mem::replace(&mut self.state, State::Idle) else {
            return Action::Read;
        };
        let Some((write, body)) = next else { return Action::End(Outcome::Declined(current)) };
        let expected = revision_of(&current);
        let record =
            Record::successor(current.as_ref().map(|current| &current.record), write, body);
        self.state = State::Writing(PendingWrite { expected, record: record.clone() });
        Action::Swap { expected, record }
    }

    fn written(&mut self, mod_revision: u64) -> Action<T> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Writing(pending) | State::Resending(pending) => {
                let current = Stored { mod_revision, record: pending.record.clone() };
                Action::End(Outcome::Written { record: pending.record, current })
            }
            _ => Action::Read,
        }
    }

    fn conflict(&mut self, current: Option<Stored<T>>, now: Mono, jitter: f64) -> Action<T> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Resending(pending) if revision_of(&current) != pending.expected => {
                self.resolve(pending, current)
            }
            // The conflict reported no readable record; the record is read again.
            State::Resending(pending) => {
                self.state = State::InDoubt(pending);
                self.back_off(now, jitter)
            }
            // The first conflict is answered at once, from the record that it reported. Later ones
            // mean contention, so the update backs off.
            _ if self.retries == 0 && current.is_some() => {
                self.retries = 1;
                self.request_decision(current)
            }
            _ => self.back_off(now, jitter),
        }
    }

    fn failed(&mut self, error: KvError, now: Mono, jitter: f64) -> Action<T> {
        self.state = match std::mem::replace(&mut self.state, State::Idle) {
            State::Writing(pending) if error == KvError::Indeterminate => State::InDoubt(pending),
            State::Writing(_) | State::Idle | State::Deciding(_) => State::Idle,
            State::InDoubt(pending) | State::Resending(pending) => State::InDoubt(pending),
        };
        let is_limited = matches!(error, KvError::RateLimited { .. });
        if self.is_idle() && !is_limited {
            return Action::End(Outcome::NotWritten(error));
        }
        self.back_off(now, jitter)
    }

    fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle)
    }

    fn back_off(&mut self, now: Mono, jitter: f64) -> Action<T> {
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.retries.min(10)).min(MAX_BACKOFF);
        self.retries += 1;
        let pause = backoff.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
        Action::Wait(pause.min(self.deadline.saturating_sub(now)))
    }
}

/// Returns the store revision of the record, or 0 if there is none.
fn revision_of<T>(current: &Option<Stored<T>>) -> u64 {
    current.as_ref().map_or(0, |current| current.mod_revision)
}

/// Updates the record of `key`, within `limit`.
///
/// `next` is given the current record and returns the next body, or `None` if there is nothing to
/// change. It is called again whenever another writer came first.
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

/// Updates a record as [`run`] does, without a read before the first write if `known` is given.
///
/// If `known` is outdated, the write meets a conflict, and the update continues from the record
/// that the conflict reports. An update that is declined may have been decided on an outdated
/// `known`.
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
    let started = Instant::now();
    let mut update = Update::new(limit);
    loop {
        let jitter = rand::rng().random_range(0.0..1.0);
        event = match update.decide(event, started.elapsed(), jitter) {
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
    response: impl Future<Output = Result<Option<crate::store::Versioned>, KvError>>,
) -> Result<Option<Stored<T>>, KvError> {
    response.await?.map(|versioned| Stored::decode(key, &versioned)).transpose()
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
            // The write was certainly not carried out. If the current record can't be decoded, the
            // next read reports the error.
            Ok(Err(current.unwrap_or(None)))
        }
    }
}
