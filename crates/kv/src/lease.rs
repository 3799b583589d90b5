//! Leases: keys bound to a lease are deleted when its holder stops renewing it.
//!
//! The service counts the lifetime of a lease from the arrival of the call that grants or renews it.
//! To be safe, the holder must therefore count from before it sent that call, and on a clock that
//! keeps running while the VM is suspended.

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
    /// Lifetime after a grant or a renewal.
    pub ttl: Duration,
}

/// A store that grants leases.
pub trait LeaseStore: Store {
    /// Grants a lease of `ttl`; the store may choose another lifetime, which it returns.
    fn grant<'a>(&'a self, ttl: Duration) -> StoreFuture<'a, Lease>;

    /// Renews the lease; `false` if it has expired or was revoked.
    fn renew<'a>(&'a self, lease: LeaseId) -> StoreFuture<'a, bool>;

    /// Revokes the lease; its keys are deleted at once.
    fn revoke<'a>(&'a self, lease: LeaseId) -> StoreFuture<'a, ()>;

    /// Writes like [`Store::compare_and_swap`], with the key bound to `lease`.
    ///
    /// `Ok(None)` means that the lease no longer exists and nothing was written.
    fn compare_and_swap_leased<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Arc<[u8]>,
        lease: LeaseId,
    ) -> StoreFuture<'a, Option<CasResult>>;
}
