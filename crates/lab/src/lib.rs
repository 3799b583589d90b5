//! Test environment of the daemon: stand-ins, a load generator and measurements.
//!
//! A stand-in is a fake of one system that the daemon talks to. It speaks that system's protocol
//! and has faults that a test switches while it runs. Stand-ins run inside a test's process or as
//! processes of their own.
//!
//! Stand-ins:
//!
//! - [`kv`]: [`KvServer`](kv::KvServer), the platform's key-value service.
//! - [`vms`]: the platform's list of VMs.
//! - [`engine`]: [`Engine`](engine::Engine), a model engine.
//! - [`weights`]: the weight store that engines load from.
//! - [`plain`]: a plain service.
//! - [`standin`]: the command that runs one stand-in as a process.
//!
//! Clients and checks:
//!
//! - [`text`]: the text that an engine generates for a request, as a pure function of the request.
//! - [`sample`]: the sample deployment that the demo, the load generator and the tests use.
//! - [`caller`]: a client that compares each answer with the expected text.
//! - [`direct`]: a client that calls an engine without the daemon, as a baseline.
//! - [`load`]: an open-loop load generator.
//! - [`histogram`]: latency histograms.
//! - [`usage`]: CPU time and memory of processes and threads.
//! - [`measure`]: named measurements.
//! - [`demo`]: key-value service, engines, daemons and callers in one process.

pub mod caller;
pub mod demo;
pub mod direct;
pub mod engine;
pub mod histogram;
pub mod kv;
pub mod load;
pub mod measure;
pub mod plain;
pub mod sample;
pub mod standin;
pub mod text;
pub mod usage;
pub mod vms;
pub mod weights;

/// The common types of this crate.
pub mod prelude {
    pub use crate::engine::Engine;
    pub use crate::engine::EngineOptions;
    pub use crate::kv::KvFaults;
    pub use crate::kv::KvServer;
    pub use crate::weights::WeightStore;
}
