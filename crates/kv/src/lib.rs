//! The client side of the platform's key-value service.
//!
//! - [`store`]: [`Store`](store::Store), the trait at the process's edge, and its errors.
//! - [`memory`]: [`MemoryStore`](memory::MemoryStore), a store in memory for tests.
//! - [`etcd`]: [`EtcdStore`](etcd::EtcdStore), the store reached over the network.

pub mod etcd;
mod etcd_watch;
pub mod memory;
pub mod store;

/// The common types of this crate.
pub mod prelude {
    pub use crate::etcd::EtcdSettings;
    pub use crate::etcd::EtcdStore;
    pub use crate::memory::MemoryStore;
    pub use crate::store::KvError;
    pub use crate::store::Store;
    pub use crate::store::Swap;
    pub use crate::store::Versioned;
    pub use crate::store::WatchEvent;
}
