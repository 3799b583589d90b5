//! Holding a key of the store under a lease.
//!
//! The revision that wrote the key rises with each holder, so it serves as a fencing number. A
//! holder counts its lease from before it asked, on a clock that goes on while the VM is suspended,
//! and doesn't rely on the last part of it.
//!
//! While the store gives no answer, a holder goes on asking: leases may stand still with the store.
//! If one was renewed in the end, no other has held the key in between. But a holder that is no
//! longer sure reads its key first, renews only after an answer, and gives up if the renewal has
//! none: otherwise one that hears nothing would keep the key from all others.

use std::sync::Arc;

use base::prelude::*;
use kernel::prelude::*;
use kv::prelude::*;
use rand::Rng;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock;
use crate::decision_log;
use crate::decision_log::Record;

/// Part of the lease after which the holder stops by itself.
const SAFE_FRACTION: f64 = 0.8;
/// Renewals in the time of a lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// A key that one process at a time holds.
pub(crate) struct LockSpec {
    /// What it stands for, in the log.
    pub(crate) name: &'static str,
    /// The key.
    pub(crate) key: Box<str>,
    /// What the holder writes there.
    pub(crate) value: Arc<[u8]>,
    /// How long it is held without renewal.
    pub(crate) lease: Duration,
    /// How long a free key is left to others first.
    pub(crate) acquire_delay: Duration,
}

/// A key that this process holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HeldLock {
    /// The revision that wrote the key.
    pub(crate) revision: u64,
    lease: LeaseId,
    /// On the clock that goes on in suspension.
    until: Duration,
}

impl HeldLock {
    /// Returns whether the key is surely still held, also if the store doesn't answer.
    pub(crate) fn is_valid(&self) -> bool {
        clock::since_boot() < self.until
    }
}

/// Takes and renews the key of `spec` whenever it is `free`, until the process stops.
///
/// `tx` tells what is held; `resign` gives it up.
pub(crate) async fn keep(
    cx: Context,
    store: Arc<dyn LeaseStore>,
    spec: LockSpec,
    free: impl Fn() -> bool + Send,
    resign: Arc<Notify>,
    tx: watch::Sender<Option<HeldLock>>,
) {
    let period = spec.lease / RENEWALS_PER_LEASE;
    let mut lock_status = LockStatus::None;
    loop {
        let held = *tx.borrow();
        let next = match held {
            Some(lock) => renew(&*store, &spec, lock).await,
            None if free() => {
                // All that find it free would ask at once.
                let jitter = rand::rng().random_range(0.0..0.3);
                tokio::time::sleep(spec.acquire_delay + period.mul_f64(jitter)).await;
                if free() { take(&*store, &spec).await } else { None }
            }
            None => None,
        };
        log_transition(&spec, held.or(next), &mut lock_status, LockStatus::of(next));
        if next != held {
            tx.send_replace(next);
        }
        let mut tick = cx.timer().after(period);
        tokio::select! {
            () = cx.process_stopping() => break,
            () = resign.notified() => release(&*store, &spec, &tx, &mut lock_status).await,
            () = tick.tick() => {}
        }
    }
    release(&*store, &spec, &tx, &mut lock_status).await;
}

async fn take(store: &dyn LeaseStore, spec: &LockSpec) -> Option<HeldLock> {
    let asked = clock::since_boot();
    let taken = async {
        let lease = store.grant(spec.lease).await?.id;
        // Without an answer it may have been written; the lease then ends it soon.
        let swap = store.swap_leased(&spec.key, 0, spec.value.clone(), lease).await?;
        Ok::<_, KvError>((lease, swap))
    };
    match taken.await {
        Ok((lease, Some(Swap::Done { mod_revision: revision }))) => {
            Some(HeldLock { revision, lease, until: asked + spec.lease.mul_f64(SAFE_FRACTION) })
        }
        Ok(_) => None,
        Err(error) => {
            log::warn!("{} was not taken: {error}", spec.name);
            None
        }
    }
}

async fn renew(store: &dyn LeaseStore, spec: &LockSpec, lock: HeldLock) -> Option<HeldLock> {
    let was_sure = lock.is_valid();
    if !was_sure {
        match store.get(&spec.key).await {
            Ok(Some(held)) if held.mod_revision == lock.revision => {}
            Ok(_) => return None,
            Err(error) => return log_renewal_failure(spec, &error, Some(lock)),
        }
    }
    let asked = clock::since_boot();
    match store.renew(lock.lease).await {
        Ok(true) => Some(HeldLock { until: asked + spec.lease.mul_f64(SAFE_FRACTION), ..lock }),
        Ok(false) => None,
        Err(error) => log_renewal_failure(spec, &error, was_sure.then_some(lock)),
    }
}

fn log_renewal_failure(
    spec: &LockSpec,
    error: &KvError,
    left: Option<HeldLock>,
) -> Option<HeldLock> {
    log::warn!("{} was not renewed: {error}", spec.name);
    left
}

async fn release(
    store: &dyn LeaseStore,
    spec: &LockSpec,
    tx: &watch::Sender<Option<HeldLock>>,
    lock_status: &mut LockStatus,
) {
    let Some(lock) = tx.send_replace(None) else { return };
    log_transition(spec, Some(lock), lock_status, LockStatus::None);
    if let Err(error) = store.end(lock.lease).await {
        log::warn!("{} ends by itself, since it was not given back: {error}", spec.name);
    }
}

/// What a process may rely on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LockStatus {
    /// It doesn't hold the key.
    None,
    /// It held the key, and can't tell whether it still does.
    Unsure,
    /// It holds the key.
    Sure,
}

impl LockStatus {
    fn of(lock: Option<HeldLock>) -> Self {
        match lock {
            None => LockStatus::None,
            Some(lock) if lock.is_valid() => LockStatus::Sure,
            Some(_) => LockStatus::Unsure,
        }
    }
}

fn log_transition(
    spec: &LockSpec,
    lock: Option<HeldLock>,
    lock_status: &mut LockStatus,
    next: LockStatus,
) {
    let old = std::mem::replace(lock_status, next);
    let state = match (old, next) {
        _ if old == next => return,
        (_, LockStatus::None) => "lost",
        (_, LockStatus::Unsure) => "unsure",
        (LockStatus::None, LockStatus::Sure) => "taken",
        (_, LockStatus::Sure) => "sure again",
    };
    let revision = lock.map_or(0, |lock| lock.revision);
    decision_log::write(&Record::Lock { name: spec.name, revision, state });
}
