//! The names under which services are registered and find each other.

use kernel::prelude::ServiceName;

/// The connection to the key-value service.
pub const STORE: ServiceName = "store";
/// Calls between the processes.
pub const PEER: ServiceName = "peer";
/// The membership of the processes.
pub const MEMBER: ServiceName = "member";
/// Seed addresses of the membership in the key-value service.
pub const SEEDS: ServiceName = "seeds";
/// The accepted configuration that is active.
pub const CATALOG: ServiceName = "catalog";
/// The VMs that are leaving, according to the platform's list of VMs.
pub const VM_LIST: ServiceName = "vm_list";
/// Plans the placement and the repair of replica groups.
pub const PLANNER: ServiceName = "planner";
/// Controls the replica groups and publishes their state.
pub const GROUPS: ServiceName = "groups";
/// Selects a replica group for each attempt.
pub const ROUTE: ServiceName = "route";
/// Claims of request keys.
pub const ONCE: ServiceName = "once";
/// Exchanges crash histories, usage reports and trial permits with the other processes.
pub const ROUTE_EXCHANGE: ServiceName = "route_exchange";
/// The caller API.
pub const ENTRY: ServiceName = "entry";
/// Accepts operators' changes.
pub const ACCEPT: ServiceName = "accept";
/// The operator API.
pub const OPERATOR: ServiceName = "operator";
/// Prints where the process listens.
pub const ANNOUNCE: ServiceName = "announce";
/// Objects that all services share and that belong to no service: settings, metrics and listening
/// addresses.
pub const PROCESS: ServiceName = "process";
