//! The services of a pass-through process, which forwards callers' requests to backend servers.
//!
//! The services run on the micro-kernel ([`kernel`]). Everything that depends on the hosting
//! platform is behind the traits of [`integration`].
//!
//! - [`run`](run()): starts all services from validated settings and an [`integration`].
//! - [`settings`]: the settings with their defaults and bounds.
//! - [`descriptors`]: divides the file descriptors of the process among their uses.
//! - [`integration`]: what a deployment provides: store, decoders, order sender, header names.
//! - [`left_out`]: logs each unusable entry of the store once.
//! - [`local_state`]: what this process knows of the system, shared by its services.
//! - [`store_sync`]: keeps the local state up to date by watching the store while needed.
//! - [`peers`]: exchanges rows and loads with the other processes, through one hub per failure
//!   domain.
//! - [`load_reports`]: the loads that other processes have reported to this one.
//! - [`crash_reports`]: requests, and parts of prompts, that crash the backend servers that run them.
//! - [`change_log`]: numbers changes, so that another process gets those that it lacks.
//! - [`owner`]: controls the replica groups, in one process at a time.
//! - `evacuations`: shows operators the evacuations that this process knows.
//! - [`serve`]: forwards requests: routing, admission, attempts, streams.
//! - [`ready`]: readiness and metrics endpoints.
//! - `connections`: records of callers' connections.
//! - `resources`: what the process uses of descriptors and memory.
//! - [`logging`]: non-blocking log output.
//! - [`loop_delay`]: measures how late the process runs its tasks.

pub mod change_log;
pub mod clock;
mod connections;
pub mod crash_reports;
mod decision_log;
pub mod descriptors;
mod evacuations;
pub mod integration;
mod lease_lock;
pub mod left_out;
pub mod load_reports;
pub mod local_state;
pub mod logging;
pub mod loop_delay;
mod memory;
pub mod metrics;
pub mod names;
pub mod owner;
pub mod peers;
pub mod ready;
mod resources;
pub mod run;
pub mod serve;
pub mod settings;
pub mod store_sync;

pub use run::run;
