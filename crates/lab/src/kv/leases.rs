//! Leases of the stand-in: a key that was put under a lease is deleted when the lease expires.

use std::collections::BTreeMap;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use kv::store::Store;

use super::service::Service;

/// Period of the check for expired leases.
const EXPIRY_PERIOD: Duration = Duration::from_millis(50);

struct Lease {
    ttl: Duration,
    expires_at: Instant,
    keys: Vec<Box<str>>,
}

/// All leases, by id.
#[derive(Default)]
pub(super) struct Leases {
    next: i64,
    table: BTreeMap<i64, Lease>,
}

impl Leases {
    /// Grants a lease of `ttl` and returns its id; the id is chosen here if `id` is zero.
    pub(super) fn grant(&mut self, id: i64, ttl: Duration, now: Instant) -> i64 {
        self.next += 1;
        let id = if id == 0 { self.next } else { id };
        self.table.insert(id, Lease { ttl, expires_at: now + ttl, keys: Vec::new() });
        id
    }

    /// Renews a lease and returns its time to live, or `None` if there is no such lease.
    pub(super) fn renew(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.table.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Attaches `key` to a lease; returns whether there is such a lease.
    pub(super) fn attach(&mut self, id: i64, key: &str) -> bool {
        let lease = self.table.get_mut(&id);
        lease.is_some_and(|lease| {
            lease.keys.push(key.into());
            true
        })
    }

    /// Ends a lease and returns its keys.
    pub(super) fn revoke(&mut self, id: i64) -> Option<Vec<Box<str>>> {
        self.table.remove(&id).map(|lease| lease.keys)
    }

    /// Removes all leases that expired by `now` and returns their keys.
    pub(super) fn remove_expired(&mut self, now: Instant) -> Vec<Box<str>> {
        let expired = self.table.extract_if(.., |_, lease| lease.expires_at <= now);
        expired.flat_map(|(_, lease)| lease.keys).collect()
    }
}

/// Deletes the keys of expired leases until the service is dropped.
pub(super) async fn expire(service: Weak<Service>) {
    loop {
        tokio::time::sleep(EXPIRY_PERIOD).await;
        let Some(service) = service.upgrade() else { return };
        let keys = service.leases.lock().remove_expired(Instant::now());
        delete_all(&service, &keys).await;
    }
}

/// Deletes keys unconditionally.
pub(super) async fn delete_all(service: &Service, keys: &[Box<str>]) {
    for key in keys {
        if let Ok(Some(current)) = service.store.get(key).await {
            let _ = service.store.delete(key, current.mod_revision).await;
        }
    }
}
