//! The daemon `samphired`: services of one entry VM, on the micro-kernel.
//!
//! - [`names`]: the names by which services find each other.
//! - [`run`](run()): starts all services for checked settings.
//! - [`entry`]: the caller API.
//! - [`exec`]: carries out the actions of a request's life.
//! - [`route`]: picks a replica group for an attempt.
//! - [`groups`]: what is known of the replica groups.
//! - [`catalog`]: the accepted configuration in force in this process.
//! - [`store`]: the connection to the key-value service.
//! - [`once`]: claims of request keys, so that non-idempotent requests run at most once.
//! - [`operator`]: the operator API, health, metrics and the time line.
//! - [`announce`]: tells on standard output where the process listens.
//! - [`logging`]: logs as JSON lines.

pub mod announce;
pub mod catalog;
pub mod entry;
pub mod exec;
pub mod groups;
pub mod logging;
pub mod metrics;
pub mod names;
pub mod once;
pub mod operator;
pub mod route;
pub mod run;
pub mod store;

pub use run::run;
