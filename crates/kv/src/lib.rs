//! Client of the platform's key-value service.
//!
//! - [`store`]: [`Store`](store::Store), the trait of key-value stores, and its errors.
//! - [`etcd`]: [`EtcdStore`](etcd::EtcdStore), a store reached through the etcd v3 protocol.
//! - [`lease`]: leases, and the trait of stores that grant them.
//! - [`mirror`]: a local copy of some prefixes, kept up to date by one watch.
//! - [`memory`]: [`MemoryStore`](memory::MemoryStore), an in-memory store for tests.
//! - [`admission`] and [`budgeted`]: a rate budget and a circuit breaker for the calls of
//!   one process.
//! - [`record`] and [`update`]: records that show whether a write took effect, and updates of them
//!   that end with a known outcome wherever possible.
//!
//! ```
//! use kv::prelude::*;
//! use std::time::Duration;
//!
//! let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
//! runtime.block_on(async {
//!     let store = MemoryStore::default();
//!     let count = |current: Option<&Stored<u64>>| Some(current.map_or(0, |c| c.record.body) + 1);
//!     let outcome = kv::update::run(&store, "count", Duration::from_secs(1), count).await;
//!     assert!(matches!(outcome, Outcome::Written { record, .. } if record.body == 1));
//! });
//! ```

pub mod admission;
pub mod budgeted;
pub mod etcd;
mod etcd_watch;
pub mod lease;
pub mod memory;
pub mod mirror;
pub mod record;
pub mod store;
pub mod update;

/// The common types of this crate.
pub mod prelude {
    pub use crate::admission::Priority;
    pub use crate::admission::RateBudget;
    pub use crate::budgeted::BudgetedStore;
    pub use crate::budgeted::CallCounts;
    pub use crate::etcd::EtcdSettings;
    pub use crate::etcd::EtcdStore;
    pub use crate::lease::Lease;
    pub use crate::lease::LeaseId;
    pub use crate::lease::LeaseStore;
    pub use crate::memory::MemoryStore;
    pub use crate::mirror::MirrorEvent;
    pub use crate::record::Record;
    pub use crate::record::Stored;
    pub use crate::store::CasResult;
    pub use crate::store::KvError;
    pub use crate::store::ListResult;
    pub use crate::store::Store;
    pub use crate::store::Versioned;
    pub use crate::store::WatchEvent;
    pub use crate::store::Watched;
    pub use crate::update::Outcome;
}
