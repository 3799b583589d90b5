//! The retry budget of this process and, while it is a hub, the retries that it grants to others.
//!
//! Times are those since the VM started, suspensions included: a process that stood still must not use
//! what lapsed meanwhile.

use std::net::SocketAddr;

use base::prelude::*;
use pass::budget::RetryAccount;
use pass::prelude::*;

use super::LocalState;
use crate::clock;
use crate::lease_lock::HeldLock;
use crate::peers::HUB_LEASE;
use crate::settings::Settings;

/// What a hub grants, and the lock that makes it the hub.
pub(super) struct HubGrants {
    lock: HeldLock,
    ledger: RetryLedger,
}

impl LocalState {
    /// Sets the lock that makes this process the hub of its failure domain, if it holds one; `is_first` if
    /// certainly no other process has held that lock before.
    pub(crate) fn set_hub_lock(
        &mut self,
        lock: Option<HeldLock>,
        is_first: bool,
        settings: &Settings,
    ) {
        self.is_hub = lock.is_some();
        let known = self.hub_grants.take();
        self.hub_grants = lock.map(|lock| {
            let kept = known.filter(|known| known.lock.revision == lock.revision);
            let ledger = kept.map(|kept| kept.ledger);
            HubGrants { lock, ledger: ledger.unwrap_or_else(|| new_ledger(is_first, settings)) }
        });
    }

    /// Returns the retries that this process grants another one for its report; `None` if it isn't
    /// certainly the hub of its failure domain, or grants nothing yet.
    pub(crate) fn grant_retries(
        &mut self,
        node: &NodeId,
        report: &RetryReport,
    ) -> Option<RetryGrant> {
        let grants = self.hub_grants.as_mut().filter(|grants| grants.lock.is_valid())?;
        grants.ledger.report(node, report, clock::since_boot())
    }

    /// Records a call of a process of an earlier version, which takes a share of the budget by itself.
    pub(crate) fn note_without_report(&mut self, node: &NodeId) {
        if let Some(grants) = &mut self.hub_grants {
            grants.ledger.note_without_report(node, clock::since_boot());
        }
    }

    /// Returns the report of this process to the hub at `hub`.
    pub(crate) fn report_retries(&mut self, hub: SocketAddr, reported_at: Mono) -> RetryReport {
        let services = self.routes.services().map(|spec| &spec.name);
        self.retries.report(hub, services, reported_at)
    }

    /// Takes what the hub at `hub` grants in answer to the report that was made at `reported_at`.
    pub(crate) fn accept_retries(
        &mut self,
        hub: SocketAddr,
        grant: &RetryGrant,
        reported_at: Mono,
    ) {
        self.retries.accept(hub, grant, reported_at, clock::since_boot());
    }

    /// Counts a request for `service` that arrived `age` ago, at this process or another one, and earns retries
    /// here from now on.
    pub(crate) fn count_request(&mut self, service: &str, age: Duration) {
        self.retries.record_request(service, age, clock::since_boot());
    }

    /// Takes back a request that arrived `age` ago, and earns retries at another process from now on; returns
    /// false if it earns nothing any more.
    pub(crate) fn take_back_request(&mut self, service: &str, age: Duration) -> bool {
        self.retries.take_back_request(service, age, clock::since_boot())
    }

    /// Takes one retry at `service`; returns what pays for it, or `None` if none is left.
    pub(crate) fn take_retry(&mut self, service: &str) -> Option<RetrySource> {
        self.retries.try_take(service, clock::since_boot())
    }

    /// Returns what this process has done and may do at `service`.
    pub(crate) fn retry_account(&mut self, service: &str) -> RetryAccount {
        self.retries.account(service, clock::since_boot())
    }
}

/// Returns the ledger of a process that has just become the hub of its failure domain.
fn new_ledger(is_first: bool, settings: &Settings) -> RetryLedger {
    let lease = HUB_LEASE.max(settings.shortest_lease);
    let waiting_time = match is_first {
        true => Duration::ZERO,
        false => RetryLedger::waiting_time(&settings.retries, lease),
    };
    let grants_from = clock::since_boot() + waiting_time;
    let domains = settings.failure_domains.len();
    RetryLedger::new(random_id(), &settings.retries, domains, grants_from)
}
