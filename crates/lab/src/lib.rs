//! Stand-ins for the platform, for development and tests.
//!
//! - [`kv`]: [`KvServer`](kv::KvServer), the key-value service, with faults that can be switched.

pub mod kv;

/// The common types of this crate.
pub mod prelude {
    pub use crate::kv::KvFaults;
    pub use crate::kv::KvServer;
}
