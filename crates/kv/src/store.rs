//! The trait of key-value stores, and its errors.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use displaydoc::Display;
use tokio::sync::mpsc;

/// The boxed future that a call to a store returns.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, KvError>> + Send + 'a>>;

/// A value and the store revision of the write that stored it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The value.
    pub value: Arc<[u8]>,
    /// The store revision of the write; a later write of any key has a higher one.
    pub mod_revision: u64,
}

/// All keys that begin with a prefix, and the revision from which a watch can continue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListResult {
    /// The keys in order, with their values.
    pub rows: Vec<(Box<str>, Versioned)>,
    /// A store revision not later than the read: a watch from here misses no change of these keys.
    pub revision: u64,
}

/// Outcome of a compare-and-swap or a conditional deletion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasResult {
    /// The value was written or deleted.
    Done {
        /// The store revision of the write.
        mod_revision: u64,
    },
    /// The key held a value of another revision, or none. Nothing was written.
    Conflict {
        /// The value that the key held.
        current: Option<Versioned>,
    },
}

/// Why a call to the key-value service failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum KvError {
    /// the key-value service is down; the call was not carried out
    Unavailable,
    /// the call was refused by the rate limit and not carried out; retry after {retry_after:?}
    RateLimited {
        /// Time after which the call may be retried.
        retry_after: Duration,
    },
    /// no clear answer from the key-value service; a write may have happened
    Indeterminate,
    /// key `{key}`: {problem}
    Malformed {
        /// The key.
        key: Box<str>,
        /// What was wrong with the value or the response.
        problem: Box<str>,
    },
}

impl std::error::Error for KvError {}

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// The key.
    pub key: Box<str>,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Versioned>,
}

/// What a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// A change.
    Change(WatchEvent),
    /// All changes until `asked_at` have been reported. A store that isn't asked again and again reports
    /// none.
    Current {
        /// When the store was asked for them.
        asked_at: Instant,
    },
}

impl Watched {
    /// Returns the change, if this is one.
    pub fn change(self) -> Option<WatchEvent> {
        match self {
            Watched::Change(event) => Some(event),
            Watched::Current { .. } => None,
        }
    }
}

/// A key-value store.
///
/// Every call counts against the rate limits of the service. A watch ends (its channel closes)
/// whenever it may have missed a change; the caller then reads again and watches from there.
pub trait Store: Send + Sync + 'static {
    /// Reads `key`.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Versioned>>;

    /// Reads all keys that begin with `prefix`, in order.
    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, ListResult>;

    /// Writes `value` if the last write of `key` has the revision `expected` (0: the key has no
    /// value).
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Arc<[u8]>,
    ) -> StoreFuture<'a, CasResult>;

    /// Deletes `key` if its last write has the revision `expected`.
    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> StoreFuture<'a, CasResult>;

    /// Watches all keys that begin with `prefix`, for changes after the store revision `after`.
    fn watch<'a>(&'a self, prefix: &'a str, after: u64)
    -> StoreFuture<'a, mpsc::Receiver<Watched>>;
}
