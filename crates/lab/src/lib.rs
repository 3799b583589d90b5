//! Stand-ins for the systems around the daemon, a load generator, and measurements.
//!
//! - [`kv`]: [`KvServer`](kv::KvServer), the platform's key-value service.
//! - [`vms`]: the platform's list of VMs.
//! - [`engine`]: [`Engine`](engine::Engine), a model engine.
//! - [`weights`]: the weight store that engines load from.
//! - [`plain`]: a plain service.
//! - [`text`]: the text that a request must produce.
//! - [`sample`]: the sample deployment that demo, load and tests use.
//! - [`caller`]: a caller that checks its answers.
//! - [`direct`]: a caller that talks to an engine without the daemon, as a baseline.
//! - [`load`]: an open-loop load generator.
//! - [`histogram`]: histograms of times.
//! - [`usage`]: processor time and memory of processes and threads.
//! - [`standin`]: the stand-ins as processes of their own.
//! - [`measure`]: named measurements.
//! - [`demo`]: the whole path in one process.

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
