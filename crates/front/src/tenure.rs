//! Holding a key of the store under a lease.
//!
//! The revision that wrote the key rises with each holder, so it serves as a fencing number. A
//! holder counts its lease from before it asked, on a clock that goes on while the VM is suspended,
//! and doesn't rely on the last part of it.

use std::sync::Arc;

use base::prelude::*;
use kernel::prelude::*;
use kv::prelude::*;
use rand::Rng;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock;
use crate::report;
use crate::report::Line;

/// Part of the lease after which the holder stops by itself.
const SAFE_PART: f64 = 0.8;
/// Renewals in the time of a lease.
const RENEWALS: u32 = 4;

/// A key that one process at a time holds.
pub(crate) struct Claim {
    /// What it stands for, in the log.
    pub(crate) name: &'static str,
    /// The key.
    pub(crate) key: Box<str>,
    /// What the holder writes there.
    pub(crate) value: Arc<[u8]>,
    /// How long it is held without renewal.
    pub(crate) lease: Duration,
    /// How long a free key is left to others first.
    pub(crate) head_start: Duration,
    /// Whether it is kept while the store gives no answer: for roles that two may have at once.
    pub(crate) outlasts_store: bool,
}

/// A key that this process holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Tenure {
    /// The revision that wrote the key.
    pub(crate) revision: u64,
    lease: LeaseId,
    /// On the clock that goes on in suspension.
    until: Duration,
}

impl Tenure {
    /// Returns whether the key is surely still held.
    pub(crate) fn is_valid(&self) -> bool {
        clock::since_boot() < self.until
    }
}

/// Takes and renews the key of `claim` whenever it is `free`, until the process stops.
///
/// `tx` tells what is held; `resign` gives it up.
pub(crate) async fn keep(
    cx: Context,
    store: Arc<dyn LeaseStore>,
    claim: Claim,
    free: impl Fn() -> bool + Send,
    resign: Arc<Notify>,
    tx: watch::Sender<Option<Tenure>>,
) {
    let period = claim.lease / RENEWALS;
    loop {
        let held = *tx.borrow();
        let next = match held {
            Some(tenure) => renew(&*store, &claim, tenure).await,
            None if free() => {
                // All that find it free would ask at once.
                let jitter = rand::rng().random_range(0.0..0.3);
                tokio::time::sleep(claim.head_start + period.mul_f64(jitter)).await;
                if free() { take(&*store, &claim).await } else { None }
            }
            None => None,
        };
        tell_change(&claim, held, next);
        if next != held {
            tx.send_replace(next);
        }
        let mut tick = cx.timer().after(period);
        tokio::select! {
            () = cx.process_stopping() => break,
            () = resign.notified() => give_up(&*store, &claim, &tx).await,
            () = tick.tick() => {}
        }
    }
    give_up(&*store, &claim, &tx).await;
}

async fn take(store: &dyn LeaseStore, claim: &Claim) -> Option<Tenure> {
    let asked = clock::since_boot();
    let taken = async {
        let lease = store.grant(claim.lease).await?.id;
        // Without an answer it may have been written; the lease then ends it soon.
        let swap = store.swap_leased(&claim.key, 0, claim.value.clone(), lease).await?;
        Ok::<_, KvError>((lease, swap))
    };
    match taken.await {
        Ok((lease, Some(Swap::Done { mod_revision: revision }))) => {
            Some(Tenure { revision, lease, until: asked + claim.lease.mul_f64(SAFE_PART) })
        }
        Ok(_) => None,
        Err(error) => {
            log::warn!("{} was not taken: {error}", claim.name);
            None
        }
    }
}

async fn renew(store: &dyn LeaseStore, claim: &Claim, tenure: Tenure) -> Option<Tenure> {
    let asked = clock::since_boot();
    match store.renew(tenure.lease).await {
        Ok(true) => Some(Tenure { until: asked + claim.lease.mul_f64(SAFE_PART), ..tenure }),
        Ok(false) => None,
        Err(error) => {
            log::warn!("{} was not renewed: {error}", claim.name);
            (claim.outlasts_store || tenure.is_valid()).then_some(tenure)
        }
    }
}

async fn give_up(store: &dyn LeaseStore, claim: &Claim, tx: &watch::Sender<Option<Tenure>>) {
    let Some(tenure) = tx.send_replace(None) else { return };
    tell_change(claim, Some(tenure), None);
    if let Err(error) = store.end(tenure.lease).await {
        log::warn!("{} ends by itself, since it was not given back: {error}", claim.name);
    }
}

fn tell_change(claim: &Claim, held: Option<Tenure>, next: Option<Tenure>) {
    let (revision, state) = match (held, next) {
        (None, Some(tenure)) => (tenure.revision, "taken"),
        (Some(tenure), None) => (tenure.revision, "lost"),
        _ => return,
    };
    report::write(&Line::Tenure { name: claim.name, revision, state });
}
