//! The flows of requests: what this process sees of each, and what the others report.
//!
//! There are as many flows as services have models, so they are looked up one after the other.

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::RequestClass;
use crate::admission::RetryTimes;
use crate::admission::Shares;
use crate::arrivals::Demand;
use crate::arrivals::Flow;
use crate::arrivals::FlowRates;
use crate::engine_time::RequestSize;
use crate::fair_share::WorkspaceRates;
use crate::fixed_time::FixedTime;

/// Longest time between two reports that is assumed.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

/// What is known of one flow.
#[derive(Debug)]
struct FlowState {
    flow: Flow,
    rates: FlowRates,
    workspaces: WorkspaceRates,
    /// The demand at the other processes, if they report any.
    remote: Option<Demand>,
    outlook: FlowOutlook,
    fixed_time: FixedTime,
}

/// What is expected of a flow until the next report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowOutlook {
    /// The share of the arriving requests that the endpoints can take.
    pub(crate) admitted: f64,
    /// The same by priority.
    pub(crate) shares: Shares,
    /// When callers retry that are rejected since the endpoints are busy.
    pub(crate) retry_times: RetryTimes,
    /// The mean size of a request.
    pub(crate) mean_size: Option<RequestSize>,
}

impl Default for FlowOutlook {
    fn default() -> Self {
        FlowOutlook {
            admitted: 1.0,
            shares: Shares::default(),
            retry_times: RetryTimes::default(),
            mean_size: None,
        }
    }
}

/// All flows.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    states: Vec<FlowState>,
    /// Number of reports from the other processes, and when the last one came.
    reports: u64,
    reported_at: Mono,
    /// About the time between two reports.
    report_interval: Duration,
}

impl Flows {
    /// Records that a request has arrived.
    pub(crate) fn request_arrived(
        &mut self,
        flow: &Flow,
        size: RequestSize,
        class: RequestClass<'_>,
        now: Mono,
    ) {
        let state = self.state_mut(flow);
        state.rates.request_arrived(size, class.priority, now);
        state.workspaces.request_arrived(class, now);
    }

    /// Records that a request is sent to an endpoint.
    pub(crate) fn request_sent(&mut self, flow: &Flow, now: Mono) {
        self.state_mut(flow).rates.request_sent(now);
    }

    /// Records that a first event took the time `seen`, of which the load of the group explains
    /// `explained`.
    pub(crate) fn first_event_seen(
        &mut self,
        flow: &Flow,
        seen: Duration,
        explained: Duration,
        now: Mono,
    ) {
        self.state_mut(flow).fixed_time.record(seen, explained, now);
    }

    /// Returns the part of the time to the first event that doesn't depend on load.
    pub(crate) fn fixed_time(&self, service: &str, model: Option<&str>) -> Duration {
        self.state(service, model).map_or(Duration::ZERO, |state| state.fixed_time.estimate())
    }

    /// Forgets the demand at the other processes, before they report it again.
    pub(crate) fn clear_remote(&mut self) {
        for state in &mut self.states {
            state.remote = None;
        }
    }

    /// Adds a demand at other processes.
    pub(crate) fn add_remote(&mut self, flow: &Flow, demand: Demand) {
        let remote = &mut self.state_mut(flow).remote;
        *remote = Some(remote.unwrap_or_default().combined_with(demand));
    }

    /// Records that the other processes' loads have been reported.
    pub(crate) fn note_report(&mut self, now: Mono) {
        if !self.reported_at.is_zero() {
            let interval = now.saturating_sub(self.reported_at).min(MAX_REPORT_INTERVAL);
            self.report_interval = (self.report_interval + interval) / 2;
        }
        self.reported_at = now;
        self.reports += 1;
    }

    /// Returns when the other processes' loads were last reported.
    pub(crate) fn reported_at(&self) -> Mono {
        self.reported_at
    }

    /// Returns about the time between two reports.
    pub(crate) fn report_interval(&self) -> Duration {
        self.report_interval
    }

    /// Returns the age of the last report. It was half an interval old on average when it came.
    pub(crate) fn report_age(&self, now: Mono) -> Duration {
        now.saturating_sub(self.reported_at) + self.report_interval / 2
    }

    /// Returns the demand of each flow at this process.
    pub(crate) fn own_demands(&self, now: Mono) -> impl Iterator<Item = (&Flow, Demand)> {
        self.states.iter().map(move |state| (&state.flow, state.rates.demand(now)))
    }

    /// Returns the demand of a flow at all `processes`. What others don't report is assumed to be as at
    /// this one.
    pub(crate) fn demand(&self, flow: &Flow, processes: usize, now: Mono) -> Demand {
        let Some(state) = self.state(&flow.0, flow.1.as_deref()) else { return Demand::default() };
        let own = state.rates.demand(now);
        match state.remote {
            Some(remote) => remote.combined_with(own),
            None => own.times(processes as f64),
        }
    }

    /// Returns the demand of a flow at all processes, if the others report any.
    pub(crate) fn reported_demand(&self, flow: &Flow, now: Mono) -> Option<Demand> {
        let state = self.state(&flow.0, flow.1.as_deref())?;
        Some(state.remote?.combined_with(state.rates.demand(now)))
    }

    /// Sets what is expected of a flow until the next report.
    pub(crate) fn set_outlook(&mut self, flow: &Flow, outlook: FlowOutlook) {
        let reported_at = self.reported_at;
        let state = self.state_mut(flow);
        let shares = outlook.shares.smoothed(state.outlook.shares);
        state.outlook = FlowOutlook { shares, ..outlook };
        state.workspaces.divide(&shares, reported_at);
    }

    /// Returns what is expected of a flow until the next report.
    pub(crate) fn outlook(&self, service: &str, model: Option<&str>) -> FlowOutlook {
        self.state(service, model).map_or(FlowOutlook::default(), |state| state.outlook)
    }

    /// Returns the admitted shares of each flow by priority.
    pub(crate) fn shares(&self) -> impl Iterator<Item = (&Flow, &Shares)> {
        self.states.iter().map(|state| (&state.flow, &state.outlook.shares))
    }

    /// Returns the admitted share of requests of a priority and workspace.
    pub(crate) fn share(&self, service: &str, model: Option<&str>, class: RequestClass<'_>) -> f64 {
        let Some(state) = self.state(service, model) else { return 1.0 };
        let of_workspace = state.workspaces.share(class);
        of_workspace.unwrap_or_else(|| state.outlook.shares.of(class.priority))
    }

    /// Returns whether a request that arrived at `arrived_at` belongs to the `share` of its kind that
    /// is sent until the next report. The answer doesn't change until then.
    pub(crate) fn admits(&self, share: f64, arrived_at: Mono) -> bool {
        if share >= 1.0 {
            return true;
        }
        let mut bytes = [0; 24];
        bytes[..16].copy_from_slice(&arrived_at.as_nanos().to_be_bytes());
        bytes[16..].copy_from_slice(&self.reports.to_be_bytes());
        let draw = xxh3_64(&bytes) as f64 / u64::MAX as f64;
        draw < share
    }

    fn state(&self, service: &str, model: Option<&str>) -> Option<&FlowState> {
        self.states
            .iter()
            .find(|state| &*state.flow.0 == service && state.flow.1.as_deref() == model)
    }

    fn state_mut(&mut self, flow: &Flow) -> &mut FlowState {
        let index = match self.states.iter().position(|state| state.flow == *flow) {
            Some(index) => index,
            None => {
                self.states.push(FlowState {
                    flow: flow.clone(),
                    rates: FlowRates::default(),
                    workspaces: WorkspaceRates::default(),
                    remote: None,
                    outlook: FlowOutlook::default(),
                    fixed_time: FixedTime::default(),
                });
                self.states.len() - 1
            }
        };
        &mut self.states[index]
    }
}
