//! The daemon's pass-through services: everything between callers and backend servers, on the
//! micro-kernel, with its edges as traits.
//!
//! - [`run`](run()): starts all services for checked settings over given edges.
//! - [`settings`]: the settings, declared once.
//! - [`integration`]: what a deployment plugs in: store, decoders, orders, header names.
//! - [`local_state`]: what this process believes, shared by its services.
//! - [`row_cache`]: the rows of the store that a process knows, and what has changed among them.
//! - [`store_sync`]: keeps the world up to date from the store, or from a hub.
//! - [`load_reports`]: what a hub knows of the other processes.
//! - [`owner`]: owns the replica groups, one process at a time.
//! - [`serve`]: one request's way through the process.
//! - [`ready`]: readiness and metrics.
//! - [`peers`]: what the processes tell each other.
//! - [`logging`]: log lines that never block.

pub mod clock;
mod decision_log;
pub mod integration;
mod lease_lock;
pub mod load_reports;
pub mod local_state;
pub mod logging;
pub mod metrics;
pub mod names;
pub mod owner;
pub mod peers;
pub mod ready;
pub mod row_cache;
pub mod run;
pub mod serve;
pub mod settings;
pub mod store_sync;

pub use run::run;
