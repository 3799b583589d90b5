//! Leases: keys that go away by themselves when their holder stops renewing them.
//!
//! A lease runs from the arrival of the call that grants or renews it. Its holder therefore counts
//! from before it sent that call, and on a clock that goes on while the VM is suspended.

use std::sync::Arc;
use std::time::Duration;

use crate::store::CasResult;
use crate::store::Store;
use crate::store::StoreFuture;

/// Id of a lease, given by the store; never zero.
pub type LeaseId = u64;

/// A lease as the store granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// How long it runs without renewal.
    pub ttl: Duration,
}

/// A store that grants leases.
pub trait LeaseStore: Store {
    /// Asks for a lease of `ttl`.
    fn grant<'a>(&'a self, ttl: Duration) -> StoreFuture<'a, Lease>;

    /// Renews the lease; `false` if it has ended.
    fn renew<'a>(&'a self, lease: LeaseId) -> StoreFuture<'a, bool>;

    /// Ends the lease; its keys go at once.
    fn revoke<'a>(&'a self, lease: LeaseId) -> StoreFuture<'a, ()>;

    /// Writes like [`Store::swap`], with the key bound to `lease`.
    ///
    /// `Ok(None)` means that the lease has ended and nothing was written.
    fn compare_and_swap_leased<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Arc<[u8]>,
        lease: LeaseId,
    ) -> StoreFuture<'a, Option<CasResult>>;
}
