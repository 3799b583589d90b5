//! The client side of the platform's key-value service.
//!
//! - [`store`]: [`Store`](store::Store), the trait at the process's edge, and its errors.
//! - [`memory`]: [`MemoryStore`](memory::MemoryStore), a store in memory for tests.

pub mod memory;
pub mod store;

/// The common types of this crate.
pub mod prelude {
    pub use crate::memory::MemoryStore;
    pub use crate::store::KvError;
    pub use crate::store::Store;
    pub use crate::store::Swap;
    pub use crate::store::Versioned;
    pub use crate::store::WatchEvent;
}
