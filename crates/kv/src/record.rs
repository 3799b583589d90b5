//! Records that show whether a write took effect.
//!
//! A write whose response was lost may have taken effect, and other writers may have built on it
//! since. A record therefore counts its writes and keeps the random ids of the last
//! [`HISTORY_WRITES`]. A write that was to be number `n` took effect if and only if number `n` in
//! the record carries its id, since a compare-and-swap lets exactly one write become number `n`.
//! Once number `n` has left the history, the result is [`WriteStatus::Unknown`], and never
//! [`WriteStatus::Superseded`].
//!
//! Invariant: such a record is never deleted while a writer may be in doubt about its write.

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::store::KvError;
use crate::store::Versioned;

/// Number of write ids that a record keeps.
pub const HISTORY_WRITES: usize = 16;

/// Whether a write took effect, as far as the record shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// It took effect.
    Applied,
    /// Another write took its number, so it did not take effect and never will.
    Superseded,
    /// Its number has not been written yet: the write may still be in flight.
    Pending,
    /// Its number is no longer in the history.
    Unknown,
}

/// A value with the history of its writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record<T> {
    /// Number of writes so far, this one included.
    pub number: u64,
    /// Ids of the last writes, oldest first; the last one is the id of write `number`.
    pub writes: Vec<WriteId>,
    /// The value.
    pub body: T,
}

impl<T> Record<T> {
    /// Returns the record that `write` stores over `current`, with the value `body`.
    pub fn successor(current: Option<&Record<T>>, write: WriteId, body: T) -> Self {
        let mut writes = current.map_or(Vec::new(), |current| current.writes.clone());
        if writes.len() >= HISTORY_WRITES {
            writes.drain(..=writes.len() - HISTORY_WRITES);
        }
        writes.push(write);
        Record { number: current.map_or(0, |current| current.number) + 1, writes, body }
    }

    /// Returns whether `write` became write number `number` of this record.
    pub fn write_status(&self, number: u64, write: WriteId) -> WriteStatus {
        if number > self.number {
            return WriteStatus::Pending;
        }
        let back = (self.number - number) as usize;
        match self.writes.iter().rev().nth(back) {
            Some(&written) if written == write => WriteStatus::Applied,
            Some(_) => WriteStatus::Superseded,
            None => WriteStatus::Unknown,
        }
    }

    /// Checks the history and adds every problem to `findings`, with paths below `place`.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        let kept = self.writes.len();
        findings.check(kept > 0, &format!("{place}.writes"), || "is empty".to_owned());
        findings.check(kept as u64 <= self.number, &format!("{place}.number"), || {
            format!("{} is less than the number of write ids, {kept}", self.number)
        });
        for (i, write) in self.writes.iter().enumerate() {
            let place = format!("{place}.writes[{i}]");
            findings.check(*write != 0, &place, || "0 is not a write id".to_owned());
            findings.check(!self.writes[..i].contains(write), &place, || {
                format!("{write} occurs twice")
            });
        }
    }
}

/// A record as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored<T> {
    /// The store revision of its last write.
    pub mod_revision: u64,
    /// The record.
    pub record: Record<T>,
}

impl<T: for<'de> Deserialize<'de>> Stored<T> {
    /// Decodes the value of `key`.
    ///
    /// # Errors
    ///
    /// [`KvError::Malformed`] if the value is not a record, or with all findings of its history.
    pub fn decode(key: &str, versioned: &Versioned) -> Result<Self, KvError> {
        let malformed =
            |problem: String| KvError::Malformed { key: key.into(), problem: problem.into() };
        let record: Record<T> = serde_json::from_slice(&versioned.value)
            .map_err(|error| malformed(error.to_string()))?;
        let mut findings = Findings::default();
        record.check("$", &mut findings);
        findings.into_result(()).map_err(|findings| malformed(findings.to_string()))?;
        Ok(Stored { mod_revision: versioned.mod_revision, record })
    }
}
