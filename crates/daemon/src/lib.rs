//! The daemon `samphired`: services of one entry VM, on the micro-kernel.
//!
//! - [`names`]: the names by which services find each other.
//! - [`run`](run()): starts all services for checked settings.
//! - [`entry`]: the caller API.
//! - [`exec`]: carries out the actions of a request's life.
//! - [`route`]: picks a replica group for an attempt.
//! - [`keeper`]: keeps the replica groups and tells routing which of them are whole.
//! - [`planner`]: plans where replica groups go and how they are repaired.
//! - [`vm_list`]: the platform's list of VMs, as far as it says who is leaving.
//! - [`catalog`]: the accepted configuration in force in this process.
//! - [`member`]: the membership of the processes.
//! - [`member_seeds`]: seeds of the membership in the key-value service.
//! - [`peer`]: calls between the processes.
//! - [`store`]: the connection to the key-value service.
//! - [`accept`]: accepts operators' changes.
//! - [`once`]: claims of request keys, so that non-idempotent requests run at most once.
//! - [`operator`]: the operator API, health, metrics and the time line.
//! - [`announce`]: tells on standard output where the process listens.
//! - [`logging`]: logs as JSON lines.

pub mod accept;
pub mod announce;
pub mod catalog;
mod config_sync;
pub mod entry;
pub mod exec;
pub mod keeper;
pub mod logging;
pub mod member;
pub mod member_seeds;
pub mod metrics;
pub mod names;
pub mod once;
pub mod operator;
pub mod peer;
pub mod planner;
pub mod route;
pub mod run;
pub mod store;
pub mod vm_list;

pub use run::run;
