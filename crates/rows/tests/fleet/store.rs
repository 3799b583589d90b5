//! The simulated store: rows, and what changed since a revision.

use std::collections::BTreeMap;

use base::prelude::*;
use kv::prelude::*;
use rows::prelude::*;

/// The key of the configuration.
pub(crate) const CONFIG: &str = "config";
/// Bytes of the rows of servers, which each list holds.
const SERVER_BYTES: usize = 80_000;
/// What the store's link carries.
const LINK_BYTES_PER_SECOND: f64 = 125e6;

/// A store.
#[derive(Default)]
pub(crate) struct Store {
    rows: BTreeMap<Box<str>, Versioned>,
    changes: Vec<RowChange>,
    sends_at: Mono,
}

impl Store {
    pub(crate) fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    pub(crate) fn put(&mut self, key: &str, value: &[u8]) -> u64 {
        let revision = self.revision() + 1;
        let value = Versioned { value: value.into(), mod_revision: revision };
        self.rows.insert(key.into(), value.clone());
        self.changes.push(RowChange { key: key.into(), value: Some(value), revision });
        revision
    }

    pub(crate) fn delete(&mut self, key: &str) {
        let revision = self.revision() + 1;
        if self.rows.remove(key).is_some() {
            self.changes.push(RowChange { key: key.into(), value: None, revision });
        }
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Versioned> {
        self.rows.get(key)
    }

    /// Returns all rows as changes.
    pub(crate) fn list(&self) -> Vec<RowChange> {
        let rows = self.rows.iter().map(|(key, value)| RowChange {
            key: key.clone(),
            value: Some(value.clone()),
            revision: self.revision(),
        });
        rows.collect()
    }

    pub(crate) fn changes_since(&self, revision: u64) -> Vec<RowChange> {
        self.changes[revision as usize..].to_vec()
    }

    /// Sends rows; returns how many bytes, and when the last one has left.
    pub(crate) fn send(&mut self, rows: &[RowChange], is_list: bool, now: Mono) -> (usize, Mono) {
        let text: usize = rows.iter().map(RowChange::size).sum();
        // Values are Base64.
        let bytes = text / 3 * 4 + if is_list { SERVER_BYTES } else { 200 };
        let took = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_SECOND);
        self.sends_at = self.sends_at.max(now) + took;
        (bytes, self.sends_at)
    }
}
