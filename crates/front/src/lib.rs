//! The daemon's pass-through services: everything between callers and backend servers, on the
//! micro-kernel, with its edges as traits.
//!
//! - [`run`](run()): starts all services for checked settings over given edges.
//! - [`settings`]: the settings, declared once.
//! - [`edges`]: what a deployment plugs in: store, decoders, orders, header names.
//! - [`world`]: what this process believes, shared by its services.
//! - [`feed`]: the rows of the store that a process knows, and what has changed among them.
//! - [`follow`]: keeps the world up to date from the store, or from a hub.
//! - [`hub`]: what a hub knows of the other processes.
//! - [`owner`]: owns the replica groups, one process at a time.
//! - [`serve`]: one request's way through the process.
//! - [`ready`]: readiness and metrics.
//! - [`peers`]: what the processes tell each other.
//! - [`logging`]: log lines that never block.

pub mod clock;
pub mod edges;
pub mod feed;
pub mod follow;
pub mod hub;
pub mod logging;
pub mod metrics;
pub mod names;
pub mod owner;
pub mod peers;
pub mod ready;
mod report;
pub mod run;
pub mod serve;
pub mod settings;
mod tenure;
pub mod world;

pub use run::run;
