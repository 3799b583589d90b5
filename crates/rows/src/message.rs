//! What processes ask and send each other.

use std::collections::BTreeMap;

use base::prelude::*;
use kv::prelude::*;

use crate::cache::RowChange;
use crate::patch::Patch;

/// Asks a hub whose row cache the sender doesn't know for the rows that the sender lacks.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RowsRequest {
    /// The revision that wrote each row that the sender has.
    pub versions: BTreeMap<Box<str>, u64>,
    /// Whether it takes large rows as differences from these; earlier builds don't.
    #[serde(default)]
    pub takes_patches: bool,
}

/// Asks a hub for what changed in its row cache after a change that the sender has.
#[data]
pub struct ChangesRequest {
    /// Identifies the row cache.
    pub boot: BootId,
    /// The last change that the sender has.
    pub number: u64,
    /// The revision that wrote each large row that the sender has; `None` if it is of an earlier build, which
    /// takes no differences.
    pub large: Option<BTreeMap<Box<str>, u64>>,
}

/// The rows that a hub sends.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// Identifies the hub's row cache.
    pub boot: BootId,
    /// The last change of that cache.
    pub number: u64,
    /// Milliseconds since the hub's rows last matched the store; `None` if they never have, or if not
    /// all of the rows that the sender lacks are in the answer.
    pub age_ms: Option<u64>,
    /// The rows of which the sender has no version, or an older one.
    pub rows: Vec<Row>,
    /// Those of them that are large.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub patches: Vec<Patch>,
    /// If `rows` is the hub's whole cache, the highest revision of the store that it has seen.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub whole_at: Option<u64>,
}

impl Answer {
    /// Returns how long before the answer the hub's rows matched the store, if the answer says so.
    pub fn age(&self) -> Option<Duration> {
        self.age_ms.map(Duration::from_millis)
    }
}

/// A change of a row of the store.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The key.
    pub key: Box<str>,
    /// The revision that wrote the value, and its text; `None` if the key was deleted. A value that isn't
    /// UTF-8 is sent as an empty one: no decoder accepts either.
    pub value: Option<(u64, Box<str>)>,
    /// A revision of the store that includes the change.
    pub revision: u64,
}

impl From<RowChange> for Row {
    fn from(change: RowChange) -> Self {
        let text = |value: &Versioned| std::str::from_utf8(&value.value).unwrap_or_default().into();
        let value = change.value.map(|value| (value.mod_revision, text(&value)));
        Row { key: change.key, value, revision: change.revision }
    }
}

impl From<&Row> for RowChange {
    fn from(row: &Row) -> Self {
        let value = row.value.as_ref().map(|(mod_revision, text)| Versioned {
            value: text.as_bytes().into(),
            mod_revision: *mod_revision,
        });
        RowChange { key: row.key.clone(), value, revision: row.revision }
    }
}
