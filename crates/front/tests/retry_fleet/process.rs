//! A process of the simulated fleet: its retry budget, and what it and its hub tell each other.

use base::prelude::*;
use front::load_reports::LoadReports;
use front::load_reports::Loads;
use pass::budget::BudgetSettings;
use pass::prelude::*;
use rand::rngs::StdRng;

const SERVICE: &str = "drafter";
/// Time between two exchanges of a hub with any of its processes.
const TIME_PER_EXCHANGE: Duration = Duration::from_millis(4);

/// What a process tells a hub.
pub(crate) struct Message {
    name: NodeId,
}

impl Message {
    pub(crate) fn name(&self) -> &NodeId {
        &self.name
    }
}

/// What a hub answers.
pub(crate) struct Answer {
    processes: usize,
    pause: Duration,
}

/// A process.
pub(crate) struct Process {
    name: NodeId,
    budget: RetryBudget,
    reports: LoadReports,
    processes: usize,
    is_hub: bool,
    pause: Duration,
}

impl Process {
    pub(crate) fn start(
        name: NodeId,
        _domains: usize,
        settings: BudgetSettings,
        _rng: &mut StdRng,
    ) -> Self {
        Process {
            name,
            budget: RetryBudget::new(settings),
            reports: LoadReports::default(),
            processes: 1,
            is_hub: false,
            pause: Duration::from_millis(50),
        }
    }

    pub(crate) fn name(&self) -> &NodeId {
        &self.name
    }

    pub(crate) fn is_hub(&self) -> bool {
        self.is_hub
    }

    pub(crate) fn pause(&self) -> Duration {
        self.pause
    }

    pub(crate) fn becomes_hub(&mut self, _is_first: bool, _now: Mono) {
        self.is_hub = true;
    }

    pub(crate) fn set_hub_certain(&mut self, _is_certain: bool) {}

    pub(crate) fn loses_hub(&mut self) {
        self.is_hub = false;
    }

    pub(crate) fn message(&mut self, _now: Mono) -> Message {
        Message { name: self.name.clone() }
    }

    pub(crate) fn answer(&mut self, message: &Message, now: Mono) -> Option<Answer> {
        self.reports.record_client(&message.name, Loads::new(), now);
        self.reports.expire(now);
        let (_, processes) = self.reports.fleet_total(&Loads::new(), &message.name, now);
        let clients = u32::try_from(self.reports.client_count()).unwrap_or(u32::MAX);
        let pause = TIME_PER_EXCHANGE * clients;
        Some(Answer {
            processes,
            pause: pause.clamp(Duration::from_millis(50), Duration::from_millis(600)),
        })
    }

    pub(crate) fn apply(&mut self, answer: Answer, _sent_at: Mono, _now: Mono) {
        self.processes = answer.processes;
        self.pause = answer.pause;
    }

    pub(crate) fn exchange_with_itself(&mut self, now: Mono) {
        self.reports.expire(now);
        self.processes = self.reports.fleet_total(&Loads::new(), "", now).1;
    }

    pub(crate) fn domain_total(&mut self, now: Mono) -> usize {
        self.reports.expire(now);
        self.reports.domain_total(&Loads::new(), now).1
    }

    pub(crate) fn hear_hub(&mut self, name: &NodeId, processes: usize, now: Mono) {
        self.reports.record_hub(name, Loads::new(), processes, now);
    }

    pub(crate) fn record_request(&mut self, now: Mono) {
        self.budget.record_request(SERVICE, now);
    }

    pub(crate) fn hand_over(&mut self, _now: Mono) {}

    pub(crate) fn try_retry(&mut self, now: Mono) -> bool {
        self.budget.try_take(SERVICE, self.processes, now)
    }
}
