//! An in-memory store, for tests and the simulated key-value service.
//!
//! Revisions count writes of all keys. A watch receives every change after it was opened; a watch
//! whose channel is full is closed. A watch from an earlier revision first receives the values
//! that were written since, and the deletions that are still kept, in order of revision.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::store::CasResult;
use crate::store::ListResult;
use crate::store::Store;
use crate::store::StoreFuture;
use crate::store::Versioned;
use crate::store::WatchEvent;
use crate::store::Watched;

/// Capacity of a watch's channel; a watch that falls further behind is closed.
const WATCH_DEPTH_CHANGES: usize = 1024;

/// Number of past deletions that are kept for watches from an earlier revision.
const DELETIONS_KEPT: usize = 4096;

struct Watch {
    prefix: Box<str>,
    tx: mpsc::Sender<Watched>,
}

#[derive(Default)]
struct State {
    revision: u64,
    values: BTreeMap<Box<str>, Versioned>,
    deletions: VecDeque<(u64, Box<str>)>,
    watches: Vec<Watch>,
}

impl State {
    /// Returns the changes below `prefix` after the revision `after`, in order.
    fn missed(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        let is_missed = |key: &str, revision| revision > after && key.starts_with(prefix);
        let written = self.values.iter().filter(|(key, value)| is_missed(key, value.mod_revision));
        let mut missed: Vec<(u64, WatchEvent)> = written
            .map(|(key, value)| {
                let event = WatchEvent { key: key.clone(), value: Some(value.clone()) };
                (value.mod_revision, event)
            })
            .collect();
        let deleted = self.deletions.iter().filter(|(revision, key)| is_missed(key, *revision));
        missed.extend(
            deleted
                .map(|(revision, key)| (*revision, WatchEvent { key: key.clone(), value: None })),
        );
        missed.sort_by_key(|(revision, _)| *revision);
        missed.into_iter().map(|(_, event)| event).collect()
    }
}

/// An in-memory store. Clones share the same values.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
}

impl MemoryStore {
    /// Returns the revision of the last write of any key.
    pub fn revision(&self) -> u64 {
        self.state.lock().revision
    }

    /// Closes all watches, as a failure of the service would.
    pub fn close_watches(&self) {
        self.state.lock().watches.clear();
    }

    fn change(&self, key: &str, expected: u64, value: Option<Arc<[u8]>>) -> CasResult {
        let mut state = self.state.lock();
        let current = state.values.get(key).cloned();
        if current.as_ref().map_or(0, |current| current.mod_revision) != expected {
            return CasResult::Conflict { current };
        }
        state.revision += 1;
        let mod_revision = state.revision;
        let versioned = value.map(|value| Versioned { value, mod_revision });
        match &versioned {
            Some(versioned) => state.values.insert(key.into(), versioned.clone()),
            None => state.values.remove(key),
        };
        if versioned.is_none() {
            state.deletions.push_back((mod_revision, key.into()));
            if state.deletions.len() > DELETIONS_KEPT {
                state.deletions.pop_front();
            }
        }
        let event = Watched::Change(WatchEvent { key: key.into(), value: versioned });
        state.watches.retain(|watch| {
            !key.starts_with(&*watch.prefix) || watch.tx.try_send(event.clone()).is_ok()
        });
        CasResult::Done { mod_revision }
    }

    fn open_watch(&self, prefix: &str, after: u64) -> mpsc::Receiver<Watched> {
        let (tx, rx) = mpsc::channel(WATCH_DEPTH_CHANGES);
        let mut state = self.state.lock();
        for event in state.missed(prefix, after) {
            // The channel is new and empty. If the changes exceed its capacity, the watch closes.
            if tx.try_send(Watched::Change(event)).is_err() {
                return rx;
            }
        }
        state.watches.push(Watch { prefix: prefix.into(), tx });
        rx
    }
}

impl Store for MemoryStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Versioned>> {
        Box::pin(async move { Ok(self.state.lock().values.get(key).cloned()) })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, ListResult> {
        Box::pin(async move {
            let state = self.state.lock();
            let rows = state.values.range(Box::from(prefix)..);
            let rows = rows.take_while(|(key, _)| key.starts_with(prefix));
            let rows = rows.map(|(key, value)| (key.clone(), value.clone())).collect();
            Ok(ListResult { rows, revision: state.revision })
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Arc<[u8]>,
    ) -> StoreFuture<'a, CasResult> {
        Box::pin(async move { Ok(self.change(key, expected, Some(value))) })
    }

    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> StoreFuture<'a, CasResult> {
        Box::pin(async move { Ok(self.change(key, expected, None)) })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> StoreFuture<'a, mpsc::Receiver<Watched>> {
        Box::pin(async move { Ok(self.open_watch(prefix, after)) })
    }
}
