//! The trait at the process's edge, and its errors.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use tokio::sync::mpsc;

/// A boxed future of a store's answer.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, KvError>> + Send + 'a>>;

/// A value and the store's revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The value.
    pub value: Arc<[u8]>,
    /// The store's revision of the write; a later write of any key has a higher one.
    pub mod_revision: u64,
}

/// All keys below a prefix, and from where a watch goes on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListResult {
    /// The keys in order, with their values.
    pub rows: Vec<(Box<str>, Versioned)>,
    /// A store revision not after the read: a watch from here misses no change of these keys.
    pub revision: u64,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasResult {
    /// The value was written, with this revision.
    Done {
        /// The store's revision of the write.
        mod_revision: u64,
    },
    /// Another value stood there, or none.
    Conflict {
        /// What stood there.
        current: Option<Versioned>,
    },
}

/// Why the key-value service gave no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum KvError {
    /// the key-value service is down; the call was not carried out
    Unavailable,
    /// the call was refused by the rate limit and not carried out; retry after {retry_after:?}
    RateLimited {
        /// When to come back.
        retry_after: Duration,
    },
    /// no clear answer from the key-value service; a write may have happened
    Indeterminate,
    /// key `{key}`: {problem}
    Malformed {
        /// The key.
        key: Box<str>,
        /// What was wrong with the value or answer.
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

/// The key-value service.
///
/// Every call counts against the service's rate. A watch ends (its channel closes) whenever it
/// may have missed a change; the caller reads again and watches from there.
pub trait Store: Send + Sync + 'static {
    /// Reads `key`.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Versioned>>;

    /// Reads all keys that begin with `prefix`, in order.
    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, ListResult>;

    /// Writes `value` if the value of `key` was last written by `expected` (0: no value stands).
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Arc<[u8]>,
    ) -> StoreFuture<'a, CasResult>;

    /// Deletes `key` if its value was last written by `expected`.
    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> StoreFuture<'a, CasResult>;

    /// Watches all keys that begin with `prefix`, for changes after `after` (a store revision).
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> StoreFuture<'a, mpsc::Receiver<WatchEvent>>;
}
