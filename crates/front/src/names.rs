//! The names by which services find each other.

use kernel::prelude::ServiceName;

/// The process itself: settings, edges, world.
pub const PROCESS: ServiceName = "process";
/// The copy of the store's keys.
pub const STORE_SYNC: ServiceName = "follow";
/// The owner of the replica groups.
pub const OWNER: ServiceName = "owner";
/// The listener for callers.
pub const SERVE: ServiceName = "serve";
/// Readiness.
pub const READY: ServiceName = "ready";
/// Metrics.
pub const METRICS: ServiceName = "metrics";
/// What the processes tell each other.
pub const PEERS: ServiceName = "peers";
