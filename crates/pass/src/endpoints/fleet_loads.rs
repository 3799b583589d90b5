//! The loads that this process reports of the endpoints, and those that others report.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use base::prelude::*;
use form::prelude::*;

use super::Endpoint;
use super::EndpointPool;
use super::flow_of;
use crate::arrivals;
use crate::arrivals::Demand;
use crate::arrivals::Flow;
use crate::arrivals::Level;
use crate::engine_time::RequestSize;
use crate::engine_time::capacity_per_second;
use crate::flows::FlowOutlook;
use crate::load::Load;
use crate::paths::Reach;
use crate::server_limit::RequestRate;

/// Arrivals a second up to which a process doesn't report the demand of a flow.
const MIN_REPORTED_RATE: f64 = 0.01;

/// The demand for a model at all processes.
#[data]
pub struct ModelFleetDemand {
    /// The model.
    pub model: ModelId,
    /// Work that callers request in a second, in seconds of servers.
    pub work: f64,
    /// Number of groups that serve the arriving requests without letting them wait for each other.
    pub required_groups: f64,
}

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

    /// Returns the demand for each model of `service` at all processes; models for which no other
    /// process reports any are left out.
    pub fn fleet_demands(&self, service: &ServiceId, now: Mono) -> Vec<ModelFleetDemand> {
        let Some(engine) = self.engine(service) else { return Vec::new() };
        let models = engine.models.iter();
        models.filter_map(|model| self.fleet_demand(service, engine, model, now)).collect()
    }

    fn fleet_demand(
        &self,
        service: &ServiceId,
        engine: &EngineSpec,
        model: &ModelSpec,
        now: Mono,
    ) -> Option<ModelFleetDemand> {
        let flow = (service.clone(), Some(model.name.clone()));
        let demand = self.flows.reported_demand(&flow, now)?;
        let capacity = capacity_per_second(engine, Some(model), demand.mean_size()?);
        let required_groups = demand.arrivals_per_second / capacity;
        let (read, write) = engine.token_seconds();
        let group_time =
            demand.prompt_tokens_per_second * read + demand.output_tokens_per_second * write;
        let work = group_time * model.time_factor * model.group_size as f64;
        let is_valid = required_groups.is_finite() && work.is_finite() && work >= 0.0;
        is_valid.then(|| ModelFleetDemand { model: model.name.clone(), work, required_groups })
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
        self.warm_ups.set_processes(processes, now);
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
            .filter(|state| self.evacuations.counts_as_capacity(&state.endpoint.failure_domain))
            .filter(|state| !state.is_stalled(now))
            .map(|state| {
                let Endpoint { server, started_at_ms, .. } = &state.endpoint;
                let rate = self.warm_ups.fleet_rate(server, *started_at_ms, now);
                let level = state.level(engine, mean_size, now);
                (server.clone(), level.limited_to(rate.unwrap_or(f64::INFINITY)))
            })
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
