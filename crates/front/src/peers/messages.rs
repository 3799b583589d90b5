//! The messages of the exchange between processes.

use std::collections::BTreeMap;

use base::prelude::*;
use pass::prelude::*;
use rows::prelude::*;

use crate::load_reports::Loads;

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
    /// The revision that wrote each large row that the sender has; `None` if it is of an earlier version, which
    /// takes large rows only whole.
    #[serde(default)]
    pub(super) large: Option<BTreeMap<Box<str>, u64>>,
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
    /// The large ones of the rows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) patches: Vec<Patch>,
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

/// What a hub says of itself and of the fleet.
pub(super) struct HubState {
    /// Whether the hub's rows match the store, and the process has got all of them.
    pub(super) is_fresh: bool,
    /// The load of the fleet without the process's own.
    pub(super) loads: Loads,
    /// The number of processes of the fleet.
    pub(super) processes: usize,
    /// Time until the next call.
    pub(super) pause: Duration,
    /// The retries that the hub grants.
    pub(super) retries: Option<RetryGrant>,
}

impl ExchangeResponse {
    /// Returns what the response says of rows, and of the fleet.
    pub(super) fn split(self) -> (Answer, HubState) {
        let ExchangeResponse { boot, number, age_ms, rows, patches, whole_at, .. } = self;
        let fleet = HubState {
            is_fresh: false,
            loads: self.loads,
            processes: self.processes,
            pause: Duration::from_millis(self.pause_ms),
            retries: self.retries,
        };
        (Answer { boot, number, age_ms, rows, patches, whole_at }, fleet)
    }
}
