//! The names under which services register with the kernel.

use kernel::prelude::ServiceName;

/// The process itself: settings, integration, local state, metrics.
pub const PROCESS: ServiceName = "process";
/// The synchronization with the store.
pub const STORE_SYNC: ServiceName = "follow";
/// The control of the replica groups.
pub const OWNER: ServiceName = "owner";
/// The listener for callers.
pub const SERVE: ServiceName = "serve";
/// Readiness.
pub const READY: ServiceName = "ready";
/// Metrics.
pub const METRICS: ServiceName = "metrics";
/// The exchange with other processes.
pub const PEERS: ServiceName = "peers";
/// The measurement of the event loop's delay.
pub const LOOP_DELAY: ServiceName = "loop_delay";
