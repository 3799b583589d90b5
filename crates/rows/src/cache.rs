//! A process's cache of rows of the store, with numbered changes.
//!
//! Rows come from the store or from another process; the newer version wins. Each change gets a
//! number, and another process asks for the changes after the last number that it has. Deleted rows
//! stay as tombstones, so that deletions are passed on as well.
//!
//! Invariant: a row is never replaced by a version that the store wrote earlier.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use kv::prelude::*;

use crate::patch::LARGE_BYTES;

/// Most earlier versions that are kept of a large row, and their bytes.
const MAX_EARLIER: usize = 4;
const MAX_EARLIER_BYTES: usize = 8 << 20;

/// What showed that rows match the store.
#[data]
#[derive(Copy)]
pub enum RowSource {
    /// The store itself.
    Store,
    /// Another process.
    Process(SocketAddr),
}

impl fmt::Display for RowSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RowSource::Store => f.write_str("store"),
            RowSource::Process(address) => write!(f, "{address}"),
        }
    }
}

/// A row or, without a value, the tombstone of one.
#[derive(Clone, Debug)]
struct Row {
    /// The number of its last change in this cache.
    number: u64,
    value: Option<Versioned>,
    /// A revision of the store that includes this change.
    revision: u64,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq)]
pub struct RowChange {
    /// The key.
    pub key: Box<str>,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Versioned>,
    /// A revision of the store that includes this change.
    pub revision: u64,
}

impl RowChange {
    /// Returns roughly how many bytes the change takes in a message.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, |value| value.value.len())
    }
}

/// The cached rows of one process.
#[derive(Debug)]
pub struct RowCache {
    /// Identifies this cache; it differs after each start of the process, and the change numbers of
    /// one cache mean nothing in another.
    pub boot: BootId,
    rows: BTreeMap<Box<str>, Row>,
    /// The last versions of large rows before the current ones, the newest last.
    earlier: BTreeMap<Box<str>, VecDeque<Versioned>>,
    number: u64,
    revision: u64,
    /// When the cache last matched the store, as the store showed.
    confirmed_by_store: Option<Mono>,
    /// When the cache last matched the store, as other processes showed.
    confirmed_by_processes: Option<Mono>,
    /// The last of these processes.
    last_process: Option<SocketAddr>,
}

impl Default for RowCache {
    fn default() -> Self {
        RowCache {
            boot: random_id(),
            rows: BTreeMap::new(),
            earlier: BTreeMap::new(),
            number: 0,
            revision: 0,
            confirmed_by_store: None,
            confirmed_by_processes: None,
            last_process: None,
        }
    }
}

impl RowCache {
    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.number
    }

    /// Returns whether `key` is present and not deleted.
    pub fn contains(&self, key: &str) -> bool {
        self.rows.get(key).is_some_and(|row| row.value.is_some())
    }

    /// Returns the value of `key`, if it is present and not deleted.
    pub fn get(&self, key: &str) -> Option<&Versioned> {
        self.rows.get(key).and_then(|row| row.value.as_ref())
    }

    /// Returns the keys that begin with `prefix`, and their values.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Versioned)> {
        let rows = self.rows.range(Box::from(prefix)..);
        let rows = rows.take_while(move |(key, _)| key.starts_with(prefix));
        rows.filter_map(|(key, row)| Some((&**key, row.value.as_ref()?)))
    }

    /// Returns all rows that are not deleted.
    pub fn rows(&self) -> kv::mirror::Rows {
        let rows = self.rows.iter();
        rows.filter_map(|(key, row)| Some((key.clone(), row.value.clone()?))).collect()
    }

    /// Returns the revision that wrote each row that is not deleted.
    pub fn versions(&self) -> BTreeMap<Box<str>, u64> {
        let rows = self.rows.iter();
        rows.filter_map(|(key, row)| Some((key.clone(), row.value.as_ref()?.mod_revision)))
            .collect()
    }

    /// Returns what another cache lacks that holds `versions` of rows. If this cache `is_fresh`, it
    /// lacks the deletion of all rows that aren't in this cache.
    pub fn difference(&self, versions: &BTreeMap<Box<str>, u64>, is_fresh: bool) -> Vec<RowChange> {
        let newer = self.rows.iter().filter(|(key, row)| match (versions.get(*key), &row.value) {
            (None, value) => value.is_some(),
            (Some(version), Some(value)) => value.mod_revision > *version,
            (Some(version), None) => row.revision >= *version,
        });
        let mut changes: Vec<RowChange> =
            newer.map(|(key, row)| row_change(key, row.value.clone(), row.revision)).collect();
        if is_fresh {
            let unknown = versions.iter().filter(|(key, version)| {
                !self.rows.contains_key(*key) && **version <= self.revision
            });
            changes.extend(unknown.map(|(key, _)| row_change(key, None, self.revision)));
        }
        changes
    }

    /// Returns the keys that were deleted according to another cache.
    ///
    /// `all_keys` are all keys of that cache at `revision` of the store. A row that the store wrote
    /// later than that is not returned: the other cache may not have it yet.
    pub fn missing_from(&self, all_keys: &BTreeSet<&str>, revision: u64) -> Vec<Box<str>> {
        let rows = self.rows.iter().filter(|(_, row)| row.value.is_some());
        let old = rows.filter(|(key, row)| row.revision <= revision && !all_keys.contains(&***key));
        old.map(|(key, _)| key.clone()).collect()
    }

    /// Records that `source` showed that the cache matched the store at time `at`.
    pub fn mark_current(&mut self, at: Mono, source: RowSource) {
        let confirmed = match source {
            RowSource::Store => &mut self.confirmed_by_store,
            RowSource::Process(address) => {
                if self.confirmed_by_processes.is_none_or(|last| last <= at) {
                    self.last_process = Some(address);
                }
                &mut self.confirmed_by_processes
            }
        };
        *confirmed = (*confirmed).max(Some(at));
    }

    /// Returns how long ago the cache last matched the store; `None` if it never has.
    pub fn age(&self, now: Mono) -> Option<Duration> {
        let confirmed = self.confirmed_by_store.max(self.confirmed_by_processes);
        confirmed.map(|at| now.saturating_sub(at))
    }

    /// Returns how long ago the cache last matched the store, as far as other processes show.
    pub fn age_by_processes(&self, now: Mono) -> Option<Duration> {
        self.confirmed_by_processes.map(|at| now.saturating_sub(at))
    }

    /// Returns what showed last that the cache matches the store.
    pub fn source(&self) -> Option<RowSource> {
        if self.confirmed_by_store > self.confirmed_by_processes {
            return Some(RowSource::Store);
        }
        self.last_process.map(RowSource::Process)
    }

    /// Applies a new version of a row, or its deletion; returns whether it changed the cache.
    ///
    /// `revision` is a revision of the store that includes the change.
    pub fn apply(&mut self, key: &str, value: Option<Versioned>, revision: u64) -> bool {
        let revision = value.as_ref().map_or(revision, |value| value.mod_revision.max(revision));
        self.revision = self.revision.max(revision);
        let held = self.rows.get(key);
        let is_new = match (held, &value) {
            (None, value) => value.is_some(),
            (Some(held), None) => held.value.is_some() && revision >= held.revision,
            (Some(held), Some(value)) => match &held.value {
                Some(old) => value.mod_revision > old.mod_revision,
                None => value.mod_revision > held.revision,
            },
        };
        if is_new {
            self.number += 1;
            let revision = match &value {
                Some(value) => value.mod_revision,
                None => revision,
            };
            let replaced =
                self.rows.insert(key.into(), Row { number: self.number, value, revision });
            if let Some(value) = replaced.and_then(|row| row.value) {
                self.keep_earlier(key, value);
            }
        }
        is_new
    }

    /// Keeps an earlier version of a row, if it is large.
    fn keep_earlier(&mut self, key: &str, value: Versioned) {
        if value.value.len() < LARGE_BYTES {
            return;
        }
        let earlier = self.earlier.entry(key.into()).or_default();
        earlier.push_back(value);
        let bytes = |earlier: &VecDeque<Versioned>| -> usize {
            earlier.iter().map(|value| value.value.len()).sum()
        };
        while earlier.len() > MAX_EARLIER || bytes(earlier) > MAX_EARLIER_BYTES {
            earlier.pop_front();
        }
    }

    /// Returns the version of `key` that `mod_revision` wrote, if it is the current one, or a large one that is
    /// still kept.
    pub fn version(&self, key: &str, mod_revision: u64) -> Option<&Versioned> {
        let earlier = self.earlier.get(key).into_iter().flatten();
        self.get(key).into_iter().chain(earlier).find(|value| value.mod_revision == mod_revision)
    }

    /// Returns the revision that wrote each large row.
    pub fn large_versions(&self) -> BTreeMap<Box<str>, u64> {
        let values = self.rows.iter().filter_map(|(key, row)| Some((key, row.value.as_ref()?)));
        let large = values.filter(|(_, value)| value.value.len() >= LARGE_BYTES);
        large.map(|(key, value)| (key.clone(), value.mod_revision)).collect()
    }

    /// Returns the highest revision of the store that the cache has seen.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the last change of every row that changed after change `number`, deletions included.
    pub fn changes_since(&self, number: u64) -> Vec<RowChange> {
        let rows = self.rows.iter().filter(|(_, row)| row.number > number);
        rows.map(|(key, row)| row_change(key, row.value.clone(), row.revision)).collect()
    }
}

fn row_change(key: &str, value: Option<Versioned>, revision: u64) -> RowChange {
    RowChange { key: key.into(), value, revision }
}
