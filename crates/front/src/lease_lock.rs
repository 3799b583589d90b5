//! A lock on a key of the store, held under a lease by one process at a time.
//!
//! The revision that wrote the key rises with each holder, so it serves as a fencing token. A
//! holder measures its lease from before it sent the request, on a clock that keeps running while
//! the VM is suspended, and doesn't rely on the last part of the lease.
//!
//! While the store doesn't respond, a holder keeps trying to renew, because the store may not count
//! down leases during its own outage. If a renewal succeeds in the end, no other process has held
//! the key in between. A holder whose safe part of the lease has passed reads the key first, renews
//! only if that read succeeded, and gives up if the renewal gets no response. Otherwise a holder
//! whose requests arrive but whose responses are lost would renew the lease forever, and keep the
//! key from all others.

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

/// Fraction of the lease after which the holder stops relying on it.
const SAFE_FRACTION: f64 = 0.8;
/// How often a process that waits before it takes a lock looks whether it may take it at once.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Renewals per lease duration.
const RENEWALS_PER_LEASE: u32 = 4;

/// A lock that a process wants to hold.
pub(crate) struct LockSpec {
    /// Its name in the log.
    pub(crate) name: &'static str,
    /// The key of the store.
    pub(crate) key: Box<str>,
    /// The value that the holder writes.
    pub(crate) value: Arc<[u8]>,
    /// The lease duration: how long the lock is held without renewal.
    pub(crate) lease: Duration,
    /// How long this process waits before it takes a free lock, so that others come first.
    pub(crate) acquire_delay: Duration,
}

/// Whether a process may take a lock, as far as it knows.
#[key]
pub(crate) enum LockState {
    /// No process holds it.
    Free,
    /// An earlier instance of this process held it; `revision` wrote the key.
    OwnEarlier {
        /// See [`LockState::OwnEarlier`].
        revision: u64,
    },
    /// Another process holds it, or this one must not take it now.
    Taken,
}

/// A lock that this process holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HeldLock {
    /// The revision that wrote the key: the fencing token.
    pub(crate) revision: u64,
    lease: LeaseId,
    /// End of the safe part of the lease, as [`clock::since_boot`].
    safe_until: Duration,
}

impl HeldLock {
    /// Returns whether the lock is certainly still held, even if the store doesn't respond.
    pub(crate) fn is_valid(&self) -> bool {
        clock::since_boot() < self.safe_until
    }
}

/// Acquires and renews the lock of `spec` until the process stops, then releases it.
///
/// It is acquired only while `state` allows it. `tx` publishes the held lock; a notification
/// of `resign` releases it.
pub(crate) async fn run(
    cx: Context,
    store: Arc<dyn LeaseStore>,
    spec: LockSpec,
    state: impl Fn() -> LockState + Send,
    resign: Arc<Notify>,
    tx: watch::Sender<Option<HeldLock>>,
) {
    let period = spec.lease / RENEWALS_PER_LEASE;
    let mut status = LockStatus::NotHeld;
    // A key that this instance may have written is left to its lease: requests that arrive while their
    // responses are lost would keep it from all others.
    let mut may_have_written = false;
    loop {
        let held = *tx.borrow();
        let next = match held {
            Some(lock) => renew(&*store, &spec, lock).await,
            None => {
                // Without jitter, all processes that see the lock free would ask at once.
                let jitter = rand::rng().random_range(0.0..0.3);
                let delay = spec.acquire_delay + period.mul_f64(jitter);
                let expected = match wait_for_turn(&state, delay).await {
                    LockState::Free => Some(0),
                    LockState::OwnEarlier { revision } if !may_have_written => Some(revision),
                    LockState::OwnEarlier { .. } | LockState::Taken => None,
                };
                match expected {
                    Some(expected) => {
                        let acquired = acquire(&*store, &spec, expected).await;
                        may_have_written |= acquired != Acquisition::Refused;
                        acquired.lock()
                    }
                    None => None,
                }
            }
        };
        log_transition(&spec, held.or(next), &mut status, LockStatus::of(next));
        if next != held {
            tx.send_replace(next);
        }
        let mut tick = cx.timer().after(period);
        tokio::select! {
            () = cx.process_stopping() => break,
            () = resign.notified() => release(&*store, &spec, &tx, &mut status).await,
            () = tick.tick() => {}
        }
    }
    release(&*store, &spec, &tx, &mut status).await;
}

/// Outcome of an attempt to take a lock.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Acquisition {
    Held(HeldLock),
    /// The key has another revision than expected; nothing was written.
    Refused,
    /// The store didn't respond; the key may have been written.
    Unknown,
}

impl Acquisition {
    fn lock(self) -> Option<HeldLock> {
        match self {
            Acquisition::Held(lock) => Some(lock),
            Acquisition::Refused | Acquisition::Unknown => None,
        }
    }
}

/// Returns the state of a lock that stays free for `delay`; of one that doesn't, as soon as that is known.
async fn wait_for_turn(state: &impl Fn() -> LockState, delay: Duration) -> LockState {
    let mut left = delay;
    while state() == LockState::Free && !left.is_zero() {
        let pause = left.min(CHECK_PERIOD);
        tokio::time::sleep(pause).await;
        left -= pause;
    }
    state()
}

/// Takes a lock whose key was written by revision `expected`; zero stands for no key.
async fn acquire(store: &dyn LeaseStore, spec: &LockSpec, expected: u64) -> Acquisition {
    let sent_at = clock::since_boot();
    let acquired = async {
        let lease = store.grant(spec.lease).await?.id;
        // If the response is lost, the key may have been written; it then expires with the lease.
        let value = spec.value.clone();
        let swap = store.compare_and_swap_leased(&spec.key, expected, value, lease).await?;
        Ok::<_, KvError>((lease, swap))
    };
    match acquired.await {
        Ok((lease, Some(CasResult::Done { mod_revision: revision }))) => {
            Acquisition::Held(HeldLock {
                revision,
                lease,
                safe_until: sent_at + spec.lease.mul_f64(SAFE_FRACTION),
            })
        }
        Ok(_) => Acquisition::Refused,
        Err(error) => {
            log::warn!("could not acquire the lock `{}`: {error}", spec.name);
            Acquisition::Unknown
        }
    }
}

async fn renew(store: &dyn LeaseStore, spec: &LockSpec, lock: HeldLock) -> Option<HeldLock> {
    let was_valid = lock.is_valid();
    if !was_valid {
        match store.get(&spec.key).await {
            Ok(Some(held)) if held.mod_revision == lock.revision => {}
            Ok(_) => return None,
            Err(error) => return log_renewal_failure(spec, &error, Some(lock)),
        }
    }
    let sent_at = clock::since_boot();
    match store.renew(lock.lease).await {
        Ok(true) => {
            Some(HeldLock { safe_until: sent_at + spec.lease.mul_f64(SAFE_FRACTION), ..lock })
        }
        Ok(false) => None,
        Err(error) => log_renewal_failure(spec, &error, was_valid.then_some(lock)),
    }
}

fn log_renewal_failure(
    spec: &LockSpec,
    error: &KvError,
    kept: Option<HeldLock>,
) -> Option<HeldLock> {
    log::warn!("could not renew the lock `{}`: {error}", spec.name);
    kept
}

async fn release(
    store: &dyn LeaseStore,
    spec: &LockSpec,
    tx: &watch::Sender<Option<HeldLock>>,
    status: &mut LockStatus,
) {
    let Some(lock) = tx.send_replace(None) else { return };
    log_transition(spec, Some(lock), status, LockStatus::NotHeld);
    if let Err(error) = store.revoke(lock.lease).await {
        log::warn!(
            "could not release the lock `{}`, it expires with its lease: {error}",
            spec.name
        );
    }
}

/// Whether this process holds a lock.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LockStatus {
    NotHeld,
    /// The safe part of the lease has passed, and no response of the store tells whether the lock
    /// is still held.
    Uncertain,
    Held,
}

impl LockStatus {
    fn of(lock: Option<HeldLock>) -> Self {
        match lock {
            None => LockStatus::NotHeld,
            Some(lock) if lock.is_valid() => LockStatus::Held,
            Some(_) => LockStatus::Uncertain,
        }
    }
}

fn log_transition(
    spec: &LockSpec,
    lock: Option<HeldLock>,
    status: &mut LockStatus,
    next: LockStatus,
) {
    let old = std::mem::replace(status, next);
    let state = match (old, next) {
        _ if old == next => return,
        (_, LockStatus::NotHeld) => "lost",
        (_, LockStatus::Uncertain) => "unsure",
        (LockStatus::NotHeld, LockStatus::Held) => "taken",
        (_, LockStatus::Held) => "sure again",
    };
    let revision = lock.map_or(0, |lock| lock.revision);
    decision_log::write(&Record::Lock { name: spec.name, revision, state });
}
