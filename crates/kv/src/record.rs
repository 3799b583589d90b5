//! Records that tell whether a write took effect.
//!
//! A write whose answer was lost may have taken effect, and other writers may have built on it
//! since. So a record counts its writes and keeps the random ids of the last
//! [`HISTORY_WRITES`]. A write that was to be number `n` took effect if and only if number `n` in
//! the record carries its id, since a compare-and-swap lets exactly one write become number `n`.
//! Once number `n` has left the history, the answer is unknown, and never "no".
//!
//! A record under this scheme is never deleted while a writer may be in doubt about it.

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::store::KvError;
use crate::store::Versioned;

/// Write ids that a record keeps.
pub const HISTORY_WRITES: usize = 16;

/// Whether a write took effect, as far as a record tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// It took effect.
    Applied,
    /// Another write took its place, so it did not and never will.
    Superseded,
    /// Its number has not been written yet: it may still be under way.
    Pending,
    /// Its number has left the history.
    Unknown,
}

/// A value with the history of its writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record<T> {
    /// Number of writes so far, this one included.
    pub number: u64,
    /// Ids of the last writes, oldest first; the last one is this write's.
    pub writes: Vec<WriteId>,
    /// The value.
    pub body: T,
}

impl<T> Record<T> {
    /// Returns the record that `write` makes of `current`.
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
            Some(&stands) if stands == write => WriteStatus::Applied,
            Some(_) => WriteStatus::Superseded,
            None => WriteStatus::Unknown,
        }
    }

    /// Checks the history, and reports every problem with its place below `place`.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        let kept = self.writes.len();
        findings.check(kept > 0, &format!("{place}.writes"), || "is empty".to_owned());
        findings.check(kept as u64 <= self.number, &format!("{place}.number"), || {
            format!("{} writes are fewer than the {kept} ids kept", self.number)
        });
        for (i, write) in self.writes.iter().enumerate() {
            let place = format!("{place}.writes[{i}]");
            findings.check(*write != 0, &place, || "0 is no write id".to_owned());
            findings.check(!self.writes[..i].contains(write), &place, || {
                format!("{write} stands twice")
            });
        }
    }
}

/// A record as it stands in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored<T> {
    /// The store's revision of its last write.
    pub mod_revision: u64,
    /// The record.
    pub record: Record<T>,
}

impl<T: for<'de> Deserialize<'de>> Stored<T> {
    /// Reads what stands under `key`.
    ///
    /// # Errors
    ///
    /// [`KvError::Malformed`] with all findings of the record's history.
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
