//! A store wrapper that counts calls by kind and keeps them within a rate budget.

use std::future::Future;
use std::sync::Arc;
use std::time::Instant;

use base::prelude::*;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::mpsc;

use crate::admission::AdmissionControl;
use crate::admission::CallKind;
use crate::admission::Priority;
use crate::admission::RateBudget;
use crate::store::CasResult;
use crate::store::KvError;
use crate::store::ListResult;
use crate::store::Store;
use crate::store::StoreFuture;
use crate::store::Versioned;
use crate::store::Watched;

/// Calls by kind and outcome.
#[wire]
#[derive(Copy, Default)]
pub struct CallCounts {
    /// Reads of one key that were sent.
    pub gets: u64,
    /// Reads of a prefix that were sent.
    pub lists: u64,
    /// Compare-and-swaps that were sent.
    pub swaps: u64,
    /// Deletions that were sent.
    pub deletes: u64,
    /// Watches that were opened.
    pub watches: u64,
    /// Compare-and-swaps and deletions that found another revision than expected.
    pub conflicts: u64,
    /// Writes with an indeterminate outcome.
    pub unclear: u64,
    /// Calls that failed because the service was unavailable.
    pub down: u64,
    /// Calls that the service refused because of its rate limit.
    pub limited: u64,
    /// Calls that the rate budget or the open circuit refused and that were never sent.
    pub held_back: u64,
}

struct Shared {
    store: Arc<dyn Store>,
    started: Instant,
    admission: Mutex<AdmissionControl>,
    counts: Mutex<CallCounts>,
}

/// A store within a rate budget. Clones share the budget and the counters.
#[derive(Clone)]
pub struct BudgetedStore {
    shared: Arc<Shared>,
    priority: Priority,
}

impl BudgetedStore {
    /// Wraps `store`. Calls have the priority of claims; see [`BudgetedStore::with_priority`].
    pub fn new(store: Arc<dyn Store>, budget: RateBudget) -> Self {
        let shared = Shared {
            store,
            started: Instant::now(),
            admission: Mutex::new(AdmissionControl::new(budget)),
            counts: Mutex::default(),
        };
        BudgetedStore { shared: Arc::new(shared), priority: Priority::Claim }
    }

    /// Returns the same store with calls of another priority.
    pub fn with_priority(&self, priority: Priority) -> Self {
        BudgetedStore { shared: self.shared.clone(), priority }
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> CallCounts {
        *self.shared.counts.lock()
    }

    /// Returns whether the service is believed to be up.
    pub fn is_up(&self) -> bool {
        self.shared.admission.lock().is_closed()
    }

    async fn execute<T>(
        &self,
        kind: CallKind,
        count: impl FnOnce(&mut CallCounts),
        call: impl Future<Output = Result<T, KvError>>,
    ) -> Result<T, KvError> {
        let shared = &self.shared;
        let admitted = shared.admission.lock().admit(kind, self.priority, shared.started.elapsed());
        if let Err(error) = admitted {
            shared.counts.lock().held_back += 1;
            return Err(error);
        }
        count(&mut shared.counts.lock());
        let sent = Instant::now();
        let result = call.await;
        let jitter = rand::rng().random_range(0.0..1.0);
        let error = result.as_ref().err();
        shared.admission.lock().record(error, sent.elapsed(), shared.started.elapsed(), jitter);
        let mut counts = shared.counts.lock();
        match error {
            Some(KvError::Unavailable) => counts.down += 1,
            Some(KvError::RateLimited { .. }) => counts.limited += 1,
            Some(KvError::Indeterminate) => counts.unclear += 1,
            Some(KvError::Malformed { .. }) | None => {}
        }
        result
    }

    fn count_conflict(&self, result: &Result<CasResult, KvError>) {
        if matches!(result, Ok(CasResult::Conflict { .. })) {
            self.shared.counts.lock().conflicts += 1;
        }
    }
}

impl Store for BudgetedStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Versioned>> {
        let call = self.shared.store.get(key);
        Box::pin(self.execute(CallKind::Read, |counts| counts.gets += 1, call))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, ListResult> {
        let call = self.shared.store.list(prefix);
        Box::pin(self.execute(CallKind::Read, |counts| counts.lists += 1, call))
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Arc<[u8]>,
    ) -> StoreFuture<'a, CasResult> {
        Box::pin(async move {
            let call = self.shared.store.compare_and_swap(key, expected, value);
            let result = self.execute(CallKind::Write, |counts| counts.swaps += 1, call).await;
            self.count_conflict(&result);
            result
        })
    }

    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> StoreFuture<'a, CasResult> {
        Box::pin(async move {
            let call = self.shared.store.delete(key, expected);
            let result = self.execute(CallKind::Write, |counts| counts.deletes += 1, call).await;
            self.count_conflict(&result);
            result
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> StoreFuture<'a, mpsc::Receiver<Watched>> {
        let call = self.shared.store.watch(prefix, after);
        Box::pin(self.execute(CallKind::Read, |counts| counts.watches += 1, call))
    }
}
