//! The names by which services find each other.

use kernel::prelude::ServiceName;

/// The connection to the key-value service.
pub const STORE: ServiceName = "store";
/// The accepted configuration in force.
pub const CATALOG: ServiceName = "catalog";
/// What is known of the replica groups.
pub const GROUPS: ServiceName = "groups";
/// Picks a replica group for an attempt.
pub const ROUTE: ServiceName = "route";
/// Exchanges facts with the other processes.
pub const PEERS: ServiceName = "peers";
/// Claims of request keys.
pub const ONCE: ServiceName = "once";
/// The caller API.
pub const ENTRY: ServiceName = "entry";
/// The operator API.
pub const OPERATOR: ServiceName = "operator";
/// Tells where the process listens.
pub const ANNOUNCE: ServiceName = "announce";
/// What is shared by all services without being one: settings and metrics.
pub const PROCESS: ServiceName = "process";
