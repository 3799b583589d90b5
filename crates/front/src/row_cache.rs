//! The rows of the store that a process knows, and what has changed among them.
//!
//! Rows come from the store or from another process; whichever is newer stands. Each change gets a
//! number, by which another process asks for what it has missed. Deleted rows stay as tombstones,
//! so that a deletion is passed on as well.
//!
//! Invariant: a row is never replaced by one that the store wrote earlier.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;
use kv::prelude::*;

/// A row with its last change.
#[derive(Clone, Debug)]
struct Row {
    number: u64,
    value: Option<Versioned>,
    /// The store's revision that is known to include this.
    revision: u64,
}

/// A change to pass on.
#[derive(Clone, Debug, PartialEq)]
pub struct RowChange {
    /// The key.
    pub key: Box<str>,
    /// The value; `None` if the key was deleted.
    pub value: Option<Versioned>,
    /// The store's revision that is known to include this.
    pub revision: u64,
}

/// The rows that a process knows.
#[derive(Debug)]
pub struct RowCache {
    /// Names this feed; another life of the process has another.
    pub boot: BootId,
    rows: BTreeMap<Box<str>, Row>,
    number: u64,
    revision: u64,
    confirmed_at: Option<Mono>,
}

impl Default for RowCache {
    fn default() -> Self {
        RowCache {
            boot: draw_id(),
            rows: BTreeMap::new(),
            number: 0,
            revision: 0,
            confirmed_at: None,
        }
    }
}

impl RowCache {
    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.number
    }

    /// Returns whether `key` has a value.
    pub fn contains(&self, key: &str) -> bool {
        self.rows.get(key).is_some_and(|row| row.value.is_some())
    }

    /// Returns the values below `prefix`.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Versioned)> {
        let rows = self.rows.range(Box::from(prefix)..);
        let rows = rows.take_while(move |(key, _)| key.starts_with(prefix));
        rows.filter_map(|(key, row)| Some((&**key, row.value.as_ref()?)))
    }

    /// Returns all rows that have a value.
    pub fn rows(&self) -> kv::mirror::Rows {
        let rows = self.rows.iter();
        rows.filter_map(|(key, row)| Some((key.clone(), row.value.clone()?))).collect()
    }

    /// Returns the keys that are not in `whole`, all rows of another feed at `revision`, and that
    /// the store wrote before.
    pub fn missing_from(&self, whole: &BTreeSet<&str>, revision: u64) -> Vec<Box<str>> {
        let rows = self.rows.iter().filter(|(_, row)| row.value.is_some());
        let old = rows.filter(|(key, row)| row.revision <= revision && !whole.contains(&***key));
        old.map(|(key, _)| key.clone()).collect()
    }

    /// Notes that the rows were as the store holds them at `now`.
    pub fn mark_current(&mut self, now: Mono) {
        self.confirmed_at = Some(self.confirmed_at.map_or(now, |at| at.max(now)));
    }

    /// Returns how long ago the rows were as the store held them; `None` if never.
    pub fn age(&self, now: Mono) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Takes a row; returns whether it says something new.
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
            self.rows.insert(key.into(), Row { number: self.number, value, revision });
        }
        is_new
    }

    /// Returns the highest revision of the store that is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all changes after `number`.
    pub fn changes_since(&self, number: u64) -> Vec<RowChange> {
        let rows = self.rows.iter().filter(|(_, row)| row.number > number);
        rows.map(|(key, row)| RowChange {
            key: key.clone(),
            value: row.value.clone(),
            revision: row.revision,
        })
        .collect()
    }
}
