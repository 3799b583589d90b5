//! A process of the simulated fleet: its retry budget, and what it and its hub tell each other.

use std::net::SocketAddr;

use base::prelude::*;
use front::load_reports::LoadReports;
use front::load_reports::Loads;
use pass::budget::BudgetSettings;
use pass::prelude::*;
use rand::Rng;
use rand::rngs::StdRng;

use super::LEASE;

const SERVICE: &str = "drafter";
/// Time between two exchanges of a hub with any of its processes.
const TIME_PER_EXCHANGE: Duration = Duration::from_millis(4);
/// Bounds of the time between two exchanges of a process.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(600));

/// What a process tells a hub.
pub(crate) struct Message {
    name: NodeId,
    hub: SocketAddr,
    retries: RetryReport,
}

impl Message {
    pub(crate) fn name(&self) -> &NodeId {
        &self.name
    }
}

/// What a hub answers.
pub(crate) struct Answer {
    hub: SocketAddr,
    retries: Option<RetryGrant>,
    pause: Duration,
}

/// A process.
pub(crate) struct Process {
    name: NodeId,
    address: SocketAddr,
    domains: usize,
    budget: RetryBudget,
    reports: LoadReports,
    /// What it grants while it is a hub.
    ledger: Option<RetryLedger>,
    /// Whether it is certainly the hub.
    is_hub_certain: bool,
    pause: Duration,
}

impl Process {
    pub(crate) fn start(
        number: usize,
        domains: usize,
        settings: BudgetSettings,
        rng: &mut StdRng,
    ) -> Self {
        Process {
            name: format!("p{number}").into(),
            address: address(number),
            domains,
            budget: RetryBudget::new(settings, rng.random()),
            reports: LoadReports::default(),
            ledger: None,
            is_hub_certain: false,
            pause: PAUSES.0,
        }
    }

    pub(crate) fn name(&self) -> &NodeId {
        &self.name
    }

    pub(crate) fn is_hub(&self) -> bool {
        self.ledger.is_some()
    }

    pub(crate) fn pause(&self) -> Duration {
        self.pause
    }

    pub(crate) fn becomes_hub(&mut self, is_first: bool, now: Mono, rng: &mut StdRng) {
        let settings = self.budget.settings();
        let grants_from = match is_first {
            true => now,
            false => now + RetryLedger::waiting_time(settings, LEASE),
        };
        let ledger = RetryLedger::new(rng.random(), settings, self.domains, grants_from);
        self.ledger = Some(ledger);
    }

    pub(crate) fn set_hub_certain(&mut self, is_certain: bool) {
        self.is_hub_certain = is_certain;
    }

    pub(crate) fn loses_hub(&mut self) {
        self.ledger = None;
    }

    pub(crate) fn message(&mut self, hub: usize, now: Mono) -> Message {
        let hub = address(hub);
        let retries = self.budget.report(hub, [SERVICE.into()].iter(), now);
        Message { name: self.name.clone(), hub, retries }
    }

    pub(crate) fn answer(&mut self, message: &Message, now: Mono) -> Answer {
        self.reports.record_client(&message.name, Loads::new(), now);
        self.reports.expire(now);
        let clients = u32::try_from(self.reports.client_count()).unwrap_or(u32::MAX);
        Answer {
            hub: message.hub,
            retries: self.grant(&message.name, &message.retries, now),
            pause: (TIME_PER_EXCHANGE * clients).clamp(PAUSES.0, PAUSES.1),
        }
    }

    fn grant(&mut self, name: &NodeId, report: &RetryReport, now: Mono) -> Option<RetryGrant> {
        self.ledger.as_mut().filter(|_| self.is_hub_certain)?.report(name, report, now)
    }

    pub(crate) fn apply(&mut self, answer: Answer, sent_at: Mono, now: Mono) {
        if let Some(grant) = &answer.retries {
            self.budget.accept(answer.hub, grant, sent_at, now);
        }
        self.pause = answer.pause;
    }

    pub(crate) fn exchange_with_itself(&mut self, now: Mono) {
        let report = self.budget.report(self.address, [SERVICE.into()].iter(), now);
        if let Some(grant) = self.grant(&self.name.clone(), &report, now) {
            self.budget.accept(self.address, &grant, now, now);
        }
    }

    /// Counts a request that arrived `age` ago, and earns retries here.
    pub(crate) fn record_request(&mut self, age: Duration, now: Mono) {
        self.budget.record_request(SERVICE, age, now);
    }

    /// Hands over a request that arrived `age` ago; returns whether it earns retries at the helper.
    pub(crate) fn hand_over(&mut self, age: Duration, now: Mono) -> bool {
        self.budget.take_back_request(SERVICE, age, now)
    }

    pub(crate) fn try_retry(&mut self, now: Mono) -> Option<RetrySource> {
        self.budget.try_take(SERVICE, now)
    }
}

/// Returns the address of the processes of a slot.
fn address(number: usize) -> SocketAddr {
    let port = u16::try_from(number).expect("there are few processes");
    SocketAddr::from(([127, 0, 0, 1], port))
}
