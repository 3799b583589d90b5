//! The daemon `samphired`: the services of one entry VM, run on the micro-kernel.
//!
//! The decisions are made by state machines in the other crates. The services here connect them to
//! sockets, timers and the key-value service. Services find each other in the kernel's registry by
//! name, and communicate by mailboxes and published views.
//!
//! - [`names`]: the names under which services are registered.
//! - [`run`](run()): starts all services for checked settings.
//! - [`entry`]: the caller API.
//! - [`exec`]: executes requests: attempts, resumes and outcomes.
//! - [`route`]: selects a replica group for each attempt.
//! - [`keeper`]: group control: which replica groups are healthy and may receive requests.
//! - [`planner`]: plans the placement and the repair of replica groups.
//! - [`vm_list`]: the VMs that are leaving, according to the platform's list of VMs.
//! - [`catalog`]: the accepted configuration that is active in this process.
//! - [`member`]: the membership of the processes.
//! - [`member_seeds`]: seed addresses of the membership in the key-value service.
//! - [`peer`]: calls between the processes.
//! - [`store`]: the connection to the key-value service.
//! - [`accept`]: accepts operators' changes.
//! - [`once`]: claims of request keys, so that non-idempotent requests run at most once.
//! - [`operator`]: the operator API, health, metrics and the timeline.
//! - [`announce`]: prints on standard output where the process listens.
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
