//! The names by which services find each other.

use kernel::prelude::ServiceName;

/// The connection to the key-value service.
pub const STORE: ServiceName = "store";
/// Calls between the processes.
pub const PEER: ServiceName = "peer";
/// The membership of the processes.
pub const MEMBER: ServiceName = "member";
/// Seeds of the membership in the key-value service.
pub const SEEDS: ServiceName = "seeds";
/// The accepted configuration in force.
pub const CATALOG: ServiceName = "catalog";
/// The platform's list of VMs, as far as it says who is leaving.
pub const VM_LIST: ServiceName = "vm_list";
/// Plans where replica groups go and how they are repaired.
pub const PLANNER: ServiceName = "planner";
/// Keeps the replica groups and tells what is known of them.
pub const GROUPS: ServiceName = "groups";
/// Picks a replica group for an attempt.
pub const ROUTE: ServiceName = "route";
/// Claims of request keys.
pub const ONCE: ServiceName = "once";
/// Exchanges routing's facts and trial permissions with the other processes.
pub const ROUTE_EXCHANGE: ServiceName = "route_exchange";
/// The caller API.
pub const ENTRY: ServiceName = "entry";
/// Accepts operators' changes.
pub const ACCEPT: ServiceName = "accept";
/// The operator API.
pub const OPERATOR: ServiceName = "operator";
/// Tells where the process listens.
pub const ANNOUNCE: ServiceName = "announce";
/// What is shared by all services without being one: settings and metrics.
pub const PROCESS: ServiceName = "process";
