//! The loads that this process reports of the endpoints, and those that others report.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use base::prelude::*;
use form::prelude::*;

use super::EndpointPool;
use super::flow_of;
use crate::arrivals;
use crate::arrivals::Demand;
use crate::arrivals::Flow;
use crate::arrivals::Level;
use crate::engine_time::RequestSize;
use crate::flows::FlowOutlook;
use crate::load::Load;
use crate::paths::Reach;
use crate::server_limit::RequestRate;

/// Arrivals a second up to which a process doesn't report the demand of a flow.
const MIN_REPORTED_RATE: f64 = 0.01;

impl EndpointPool {
    /// Returns the load from this process at each endpoint that has any, with the demand of each flow at
    /// one of its endpoints.
    pub fn local_loads(&self, now: Mono) -> Vec<(ServerId, Load)> {
        let carried: HashMap<&str, Demand> = self
            .flows
            .own_demands(now)
            .filter(|(_, demand)| demand.arrivals_per_second > MIN_REPORTED_RATE)
            .filter_map(|((service, model), demand)| {
                let carrier = self.candidates(service, model.as_deref()).next()?;
                Some((&*carrier.endpoint.server, demand))
            })
            .collect();
        let loads = self.states.iter().map(|(id, state)| {
            let limit = self.limits.own_observation(id, now);
            let demand = carried.get(&**id).copied();
            let load = match self.paths.reach() {
                Reach::Open => state.local_load(now),
                // That no data comes shows nothing of the servers.
                Reach::Checking | Reach::CutOff => state.local,
            };
            (id.clone(), Load { limit, demand, ..load })
        });
        loads.filter(|(_, load)| *load != Load::default()).collect()
    }

    /// Returns the servers that are stalled for this process or for all processes together.
    pub fn stalled_servers(&self, now: Mono) -> BTreeSet<ServerId> {
        let stalled = self.states.iter().filter(|(_, state)| state.is_stalled(now));
        stalled.map(|(id, _)| id.clone()).collect()
    }

    /// Sets the loads from all other processes; endpoints that are not listed have none.
    ///
    /// `processes` is the number of processes that choose among these endpoints, including this
    /// one. Returns the servers whose limit changed with it, and their limits.
    pub fn set_remote_loads(
        &mut self,
        loads: &[(ServerId, Load)],
        processes: usize,
        now: Mono,
    ) -> Vec<(ServerId, Option<RequestRate>)> {
        self.processes = processes;
        self.limits.set_processes(processes, now);
        let mut changed = Vec::new();
        for state in self.states.values_mut() {
            state.remote = (Load::default(), now);
        }
        self.flows.clear_remote();
        for (server, load) in loads {
            if let Some(state) = self.states.get_mut(server) {
                state.remote = (*load, now);
                if let Some(demand) = load.demand {
                    self.flows.add_remote(&flow_of(&state.endpoint), demand);
                }
            }
            let phase = self.random_fraction();
            if let Some(limit) = load.limit
                && self.limits.merge(server, limit, phase, now)
            {
                changed.push((server.clone(), limit.per_second));
            }
        }
        self.flows.note_report(now);
        self.update_outlooks();
        changed
    }

    /// Updates what the other processes are expected to send to all groups.
    pub(super) fn update_outlooks(&mut self) {
        let groups = self.states.values().filter(|state| state.endpoint.group.is_some());
        let flows: HashSet<Flow> = groups.map(|state| flow_of(&state.endpoint)).collect();
        for flow in flows {
            self.update_outlook(&flow);
        }
    }

    /// Updates what the other processes are expected to send to the groups of a flow.
    pub(super) fn update_outlook(&mut self, flow: &Flow) {
        let (service, model) = flow;
        let Some(engine) = self.engine(service) else { return };
        let now = self.flows.reported_at();
        let demand = self.flows.demand(flow, self.processes, now);
        let mean_size = demand.mean_size().unwrap_or(RequestSize {
            prompt_tokens: engine.mean_prompt_tokens,
            output_tokens: engine.mean_output_tokens,
        });
        let states = self.candidates(service, model.as_deref());
        let (servers, levels): (Vec<ServerId>, Vec<Level>) = states
            .filter(|state| !state.is_stalled(now))
            .map(|state| (state.endpoint.server.clone(), state.level(engine, mean_size, now)))
            .unzip();
        let interval = self.flows.report_interval();
        let outlook = arrivals::outlook(&levels, demand, self.processes, interval);
        for (server, drift) in servers.iter().zip(outlook.drifts) {
            if let Some(state) = self.states.get_mut(server) {
                state.drift = drift;
            }
        }
        let outlook = FlowOutlook {
            admitted: outlook.admitted,
            shares: outlook.shares,
            retry_times: outlook.retry_times,
            mean_size: Some(mean_size),
        };
        self.flows.set_outlook(flow, outlook);
    }
}
