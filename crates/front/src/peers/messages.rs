//! The messages of the exchange between processes.

use std::collections::BTreeMap;

use base::prelude::*;
use kv::prelude::*;
use pass::prelude::*;

use crate::load_reports::Loads;
use crate::row_cache::RowChange;

/// A message from a process to a hub.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct ExchangeRequest {
    pub(super) node: NodeId,
    /// The sender's load; that of its whole domain if it is a hub.
    pub(super) loads: Loads,
    /// The number of processes of the sender's domain if it is a hub.
    pub(super) domain_processes: Option<usize>,
    /// The row cache that the sender knows, and the last change of it that it has; `None` asks for
    /// no rows.
    pub(super) have: Option<(BootId, u64)>,
    /// The granted retries that the sender holds; `None` if it is a hub, or of an earlier version.
    #[serde(default)]
    pub(super) retries: Option<RetryReport>,
}

/// A hub's response.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct ExchangeResponse {
    /// Identifies the hub's row cache.
    pub(super) boot: BootId,
    /// The last change of that cache.
    pub(super) number: u64,
    /// Milliseconds since the hub's rows last matched the store; `None` if they never have, or if not
    /// all of the rows that the sender lacks are in the response.
    pub(super) age_ms: Option<u64>,
    pub(super) rows: Vec<Row>,
    /// If `rows` is the hub's whole cache, the highest revision of the store that it has seen.
    pub(super) whole_at: Option<u64>,
    /// The load of the fleet without the sender's.
    pub(super) loads: Loads,
    /// The number of processes of the fleet.
    pub(super) processes: usize,
    /// Time until the sender should call again.
    pub(super) pause_ms: u64,
    /// The retries that the hub grants the sender.
    #[serde(default)]
    pub(super) retries: Option<RetryGrant>,
}

/// Asks a hub whose row cache the sender doesn't know for the rows that the sender lacks.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct RowsRequest {
    /// The revision that wrote each row that the sender has.
    pub(super) versions: BTreeMap<Box<str>, u64>,
}

/// A hub's response to a [`RowsRequest`].
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct RowsResponse {
    /// Identifies the hub's row cache.
    pub(super) boot: BootId,
    /// The last change of that cache.
    pub(super) number: u64,
    /// Milliseconds since the hub's rows last matched the store; `None` if they never have, or if not
    /// all of the rows that the sender lacks are in the response.
    pub(super) age_ms: Option<u64>,
    /// The rows of which the sender has no version, or an older one.
    pub(super) rows: Vec<Row>,
}

/// A change of a row of the store.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Row {
    pub(super) key: Box<str>,
    /// The revision that wrote the value, and its text; `None` if the key was deleted. A value that isn't
    /// UTF-8 is sent as an empty one: no decoder accepts either.
    pub(super) value: Option<(u64, Box<str>)>,
    /// A revision of the store that includes the change.
    pub(super) revision: u64,
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
