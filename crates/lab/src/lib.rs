//! Stand-ins for the systems around the daemon, a load generator, and measurements.
//!
//! - [`kv`]: [`KvServer`](kv::KvServer), the platform's key-value service.
//! - [`engine`]: [`Engine`](engine::Engine), a model engine.
//! - [`weights`]: the weight store that engines load from.
//! - [`text`]: the text that a request must produce.

pub mod engine;
pub mod kv;
pub mod text;
pub mod weights;

/// The common types of this crate.
pub mod prelude {
    pub use crate::engine::Engine;
    pub use crate::engine::EngineOptions;
    pub use crate::kv::KvFaults;
    pub use crate::kv::KvServer;
    pub use crate::weights::WeightStore;
}
