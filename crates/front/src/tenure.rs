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
    /// Returns whether the key is surely still held, also if the store doesn't answer.
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
    let mut standing = Standing::None;
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
        tell_change(&claim, held.or(next), &mut standing, Standing::of(next));
        if next != held {
            tx.send_replace(next);
        }
        let mut tick = cx.timer().after(period);
        tokio::select! {
            () = cx.process_stopping() => break,
            () = resign.notified() => give_up(&*store, &claim, &tx, &mut standing).await,
            () = tick.tick() => {}
        }
    }
    give_up(&*store, &claim, &tx, &mut standing).await;
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
    let was_sure = tenure.is_valid();
    if !was_sure {
        match store.get(&claim.key).await {
            Ok(Some(held)) if held.mod_revision == tenure.revision => {}
            Ok(_) => return None,
            Err(error) => return not_renewed(claim, &error, Some(tenure)),
        }
    }
    let asked = clock::since_boot();
    match store.renew(tenure.lease).await {
        Ok(true) => Some(Tenure { until: asked + claim.lease.mul_f64(SAFE_PART), ..tenure }),
        Ok(false) => None,
        Err(error) => not_renewed(claim, &error, was_sure.then_some(tenure)),
    }
}

fn not_renewed(claim: &Claim, error: &KvError, left: Option<Tenure>) -> Option<Tenure> {
    log::warn!("{} was not renewed: {error}", claim.name);
    left
}

async fn give_up(
    store: &dyn LeaseStore,
    claim: &Claim,
    tx: &watch::Sender<Option<Tenure>>,
    standing: &mut Standing,
) {
    let Some(tenure) = tx.send_replace(None) else { return };
    tell_change(claim, Some(tenure), standing, Standing::None);
    if let Err(error) = store.end(tenure.lease).await {
        log::warn!("{} ends by itself, since it was not given back: {error}", claim.name);
    }
}

/// What a process may rely on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    /// It doesn't hold the key.
    None,
    /// It held the key, and can't tell whether it still does.
    Unsure,
    /// It holds the key.
    Sure,
}

impl Standing {
    fn of(tenure: Option<Tenure>) -> Self {
        match tenure {
            None => Standing::None,
            Some(tenure) if tenure.is_valid() => Standing::Sure,
            Some(_) => Standing::Unsure,
        }
    }
}

fn tell_change(claim: &Claim, tenure: Option<Tenure>, standing: &mut Standing, next: Standing) {
    let old = std::mem::replace(standing, next);
    let state = match (old, next) {
        _ if old == next => return,
        (_, Standing::None) => "lost",
        (_, Standing::Unsure) => "unsure",
        (Standing::None, Standing::Sure) => "taken",
        (_, Standing::Sure) => "sure again",
    };
    let revision = tenure.map_or(0, |tenure| tenure.revision);
    report::write(&Line::Tenure { name: claim.name, revision, state });
}
