//! What a process asks of a hub, and what an answer tells it.
//!
//! Algorithm: a process asks a hub whose row cache it doesn't know for the rows that it lacks, by
//! the versions of those that it has. From then on it asks for the changes after the last one that
//! it has. It knows a row cache from when the hub's rows were fresh until a call to the hub fails, or
//! until the hub can't send all of the rows.
//!
//! Invariants:
//! - Rows that the process has are not sent again, whichever hub it asks.
//! - The age of rows counts from when they were asked for, so it never falls short by the time that they were on
//!   their way.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::cache::RowCache;
use crate::cache::RowChange;
use crate::hub::is_fresh;
use crate::message::Answer;
use crate::message::ChangesRequest;
use crate::message::RowsRequest;
use crate::patch::PatchError;

/// How long a hub that could not be asked is left alone, so that one that stands still, or answers without end, takes
/// little of the time and of the link that the others need.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// What a process asks of a hub.
#[data]
pub enum Ask {
    /// The rows that it lacks.
    Rows(RowsRequest),
    /// What changed in its cache.
    Changes(ChangesRequest),
}

/// What an answer tells a process.
#[data]
pub struct Answered {
    /// What changes in its rows, in this order.
    pub changes: Vec<RowChange>,
    /// Once these changes are applied, its rows match the store as of then.
    pub current_at: Option<Mono>,
    /// Whether the hub's rows count as the current content of the store, and the process has got all of them.
    pub is_fresh: bool,
    /// The large rows that can't be read, so that the process hasn't got all.
    pub failed: Vec<PatchError>,
}

/// What a process knows of the row caches of hubs.
#[derive(Debug, Default)]
pub struct HubFollower {
    /// By hub: the id of its row cache, and the last change received from it.
    known: HashMap<SocketAddr, (BootId, u64)>,
    /// When calls to hubs last failed.
    failed_at: HashMap<SocketAddr, Mono>,
}

impl HubFollower {
    /// Returns what to ask of `hub`.
    pub fn ask(&self, hub: SocketAddr, cache: &RowCache) -> Ask {
        match self.known.get(&hub) {
            Some((boot, number)) => Ask::Changes(ChangesRequest {
                boot: *boot,
                number: *number,
                large: Some(cache.large_versions()),
            }),
            None => Ask::Rows(RowsRequest { versions: cache.versions(), takes_patches: true }),
        }
    }

    /// Records that a call to `hub` got no answer.
    pub fn failed(&mut self, hub: SocketAddr, now: Mono) {
        self.known.remove(&hub);
        self.failed_at.retain(|_, at| now < *at + FAILURE_PAUSE);
        self.failed_at.insert(hub, now);
    }

    /// Records that `hub` declined a call.
    pub fn declined(&mut self, hub: SocketAddr) {
        self.known.remove(&hub);
    }

    /// Returns whether `hub` may be called, since the last call to it that failed is long ago.
    pub fn may_call(&self, hub: SocketAddr, now: Mono) -> bool {
        self.failed_at.get(&hub).is_none_or(|at| now >= *at + FAILURE_PAUSE)
    }

    /// Records that `hub` is of an earlier build, which sends its whole cache to those who don't know it.
    pub fn set_earlier_build(&mut self, hub: SocketAddr) {
        self.known.insert(hub, (0, 0));
    }

    /// Takes the answer of `hub` to [`Ask::Rows`], which was asked at `asked_at`.
    pub fn take_rows(
        &mut self,
        cache: &RowCache,
        hub: SocketAddr,
        answer: &Answer,
        asked_at: Mono,
    ) -> Answered {
        let age = answer.age();
        // The changes of a hub that is still filling its cache are mostly rows that this process has.
        if is_fresh(age) {
            self.known.insert(hub, (answer.boot, answer.number));
        }
        self.answered(cache, hub, Vec::new(), answer, asked_at)
    }

    /// Takes the answer of `hub` to [`Ask::Changes`], which was asked at `asked_at`.
    pub fn take_changes(
        &mut self,
        cache: &RowCache,
        hub: SocketAddr,
        answer: &Answer,
        asked_at: Mono,
    ) -> Answered {
        let known = self.known.get(&hub).map(|(boot, _)| *boot);
        let is_known = known == Some(answer.boot) || answer.whole_at.is_some();
        if is_known && answer.age_ms.is_some() {
            self.known.insert(hub, (answer.boot, answer.number));
        } else {
            self.known.remove(&hub);
        }
        self.answered(cache, hub, missing(cache, answer), answer, asked_at)
    }

    fn answered(
        &mut self,
        cache: &RowCache,
        hub: SocketAddr,
        mut changes: Vec<RowChange>,
        answer: &Answer,
        asked_at: Mono,
    ) -> Answered {
        changes.extend(answer.rows.iter().map(RowChange::from));
        let mut failed = Vec::new();
        for patch in &answer.patches {
            let base = patch.base.and_then(|base| cache.version(&patch.key, base));
            match patch.apply(base) {
                Ok(value) => changes.push(RowChange {
                    key: patch.key.clone(),
                    value: Some(value),
                    revision: patch.revision,
                }),
                Err(error) => failed.push(error),
            }
        }
        if !failed.is_empty() {
            self.known.remove(&hub);
        }
        let age = answer.age().filter(|_| failed.is_empty());
        Answered {
            changes,
            current_at: age.map(|age| asked_at.saturating_sub(age)),
            is_fresh: is_fresh(age),
            failed,
        }
    }
}

/// Returns the deletion of the rows that are missing from a hub's whole cache, if that cache is fresh.
fn missing(cache: &RowCache, answer: &Answer) -> Vec<RowChange> {
    let Some(revision) = answer.whole_at else { return Vec::new() };
    if !is_fresh(answer.age()) {
        return Vec::new();
    }
    let rows = answer.rows.iter().map(|row| &*row.key);
    let all_keys: BTreeSet<&str> =
        rows.chain(answer.patches.iter().map(|patch| &*patch.key)).collect();
    let missing = cache.missing_from(&all_keys, revision).into_iter();
    missing.map(|key| RowChange { key, value: None, revision }).collect()
}
