//! Staging: weights are loaded onto hosts before they are needed, so that repairs are fast.
//!
//! The weight store is the bottleneck: beyond a few concurrent loads, all of them slow down. So
//! free servers without any model are staged first; only when none of them waits are other hosts
//! given the model that they lack. Before the first request loads are fast, and every host is
//! staged.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use base::prelude::*;

use super::Command;
use super::ObservedState;
use super::Order;
use super::Owner;
use crate::compose::ModelDemand;
use crate::observed_groups::ObservedGroups;
use crate::server::Server;
use crate::server::ServerState;
use crate::spec::ModelSpec;

/// Timeout of a staging, as a multiple of its expected duration; after it the staging is ordered
/// again.
const STAGING_TIMEOUT_FACTOR: f64 = 2.0;
/// Share of the concurrent loads that may stage a further model on servers that already hold one.
const SECOND_MODEL_SHARE: f64 = 0.34;

impl Owner {
    /// Orders the stagings that speed up future repairs most.
    pub(super) fn stage_models(
        &mut self,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let service = observed.service;
        let servers = || {
            let ready = observed.servers.values().filter(|s| s.state == ServerState::Ready);
            ready.filter(|server| &*server.service == service && !observed.is_evacuated(server))
        };
        let max_loads = observed.engine.max_concurrent_loads;
        let max_second_models = (max_loads as f64 * SECOND_MODEL_SHARE) as usize;
        if !observed.before_traffic {
            while self.stage_for_best_group(max_loads, observed, commands) {}
        }
        let served = ServedModels::new(observed.groups);
        let cold: Vec<&Server> = servers().filter(|server| is_cold(server)).collect();
        let free = match cold.is_empty() {
            true => BTreeMap::new(),
            false => self.free_servers(observed),
        };
        for server in cold {
            if self.may_stage(server, max_loads, observed)
                && let Some(model) = self.most_needed(server, observed, &free, &served)
            {
                self.order_stage(server, model, observed, commands);
            }
        }
        for server in servers().filter(|server| !is_cold(server)) {
            if self.may_stage(server, max_second_models, observed)
                && let Some(model) = served.most_served_near(server, observed)
                && !server.staged_models.contains(&model.name)
            {
                self.order_stage(server, model, observed, commands);
            }
        }
    }

    /// Stages one host for the group with the highest value per time of the loads that it still
    /// needs.
    fn stage_for_best_group(
        &mut self,
        max_loads: usize,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) -> bool {
        if self.staging.len() >= max_loads {
            return false;
        }
        let demands = self.model_demands(observed);
        let mut best: Option<(f64, &ModelSpec, &Server)> = None;
        for free in self.free_servers(observed).values() {
            for (model, demand) in observed.engine.models.iter().zip(&demands) {
                let Some((missing, server)) = self.next_host(free, model) else { continue };
                let time = missing as f64 * model.store_load_time.as_secs_f64();
                let score = demand.marginal_gain() / time.max(f64::MIN_POSITIVE);
                if best.as_ref().is_none_or(|(highest, ..)| score > *highest) {
                    best = Some((score, model, server));
                }
            }
        }
        best.is_some_and(|(_, model, server)| self.order_stage(server, model, observed, commands))
    }

    /// Returns how many hosts must still load before `free` can form a group of `model`, and the
    /// first of them; `None` if `free` is too small, or all the loads needed are already in
    /// progress.
    fn next_host<'a>(&self, free: &[&'a Server], model: &ModelSpec) -> Option<(usize, &'a Server)> {
        let staging =
            |server: &Server| self.staging.get(&server.instance_id()).map(|(name, _)| name);
        let holds = |server: &Server| {
            server.model.as_ref() == Some(&model.name) || server.staged_models.contains(&model.name)
        };
        let loads = free.iter().filter(|s| !holds(s) && staging(s) == Some(&model.name)).count();
        let holders = free.iter().filter(|s| holds(s)).count();
        let missing =
            model.group_size.checked_sub(holders + loads).filter(|missing| *missing > 0)?;
        let mut idle: Vec<&Server> = free
            .iter()
            .copied()
            .filter(|s| !holds(s) && staging(s).is_none() && self.accepts_orders(&s.id))
            .collect();
        idle.sort_by_key(|server| !is_cold(server));
        let first = *idle.first()?;
        (idle.len() >= missing).then_some((missing, first))
    }

    /// Returns whether `server` may load a model onto its host now, besides at most `max_loads`
    /// others.
    fn may_stage(&self, server: &Server, max_loads: usize, observed: &ObservedState<'_>) -> bool {
        (self.staging.len() < max_loads || observed.before_traffic)
            && self.accepts_orders(&server.id)
            && !self.staging.contains_key(&server.instance_id())
            && !self.is_in_forming(&server.id)
    }

    fn order_stage(
        &mut self,
        server: &Server,
        model: &ModelSpec,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) -> bool {
        // The permit must not be taken for an order that isn't sent.
        if !self.accepts_orders(&server.id) {
            return false;
        }
        if !observed.before_traffic
            && !self.load_limiter.try_take(observed.engine.max_loads_per_second, observed.now)
        {
            return false;
        }
        let order = Order::Stage { model: model.name.clone() };
        let ordered = self.send_order(server, order, commands);
        if ordered {
            let until = observed.now + model.store_load_time.mul_f64(STAGING_TIMEOUT_FACTOR);
            self.staging.insert(server.instance_id(), (model.name.clone(), until));
        }
        ordered
    }

    /// Returns the model that is worth most on a cold server: by the value of one more group, relative
    /// to the loads that the `free` servers of its fabric domain still need for it. Before the first
    /// request, it is the model of which the server completes a group soonest. Among equals, it is
    /// the one that most groups nearby serve.
    fn most_needed<'a>(
        &self,
        server: &Server,
        observed: &ObservedState<'a>,
        free: &BTreeMap<FabricId, Vec<&Server>>,
        served: &ServedModels,
    ) -> Option<&'a ModelSpec> {
        let fabric = server.fabric.as_ref()?;
        let nearby = free.get(fabric).map(Vec::as_slice).unwrap_or_default();
        let holds = |other: &Server, model: &ModelSpec| {
            let staging = self.staging.get(&other.instance_id());
            other.model.as_ref() == Some(&model.name)
                || other.staged_models.contains(&model.name)
                || staging.is_some_and(|(staging, _)| *staging == model.name)
        };
        let missing = |model: &ModelSpec| {
            let ready = nearby.iter().filter(|other| holds(other, model)).count();
            model.group_size - (ready % model.group_size.max(1))
        };
        let models = observed.engine.models.iter();
        let nearby_groups = |model: &ModelSpec| served.servers(fabric, &model.name);
        if observed.before_traffic {
            return models.min_by_key(|model| (missing(model), Reverse(nearby_groups(model))));
        }
        let demands = self.model_demands(observed);
        let value = |model: &ModelSpec, demand: &ModelDemand| {
            demand.marginal_gain() / missing(model).max(1) as f64
        };
        let valued = models.zip(&demands).map(|(model, demand)| (value(model, demand), model));
        let best = valued.max_by(|a, b| {
            a.0.total_cmp(&b.0).then_with(|| nearby_groups(a.1).cmp(&nearby_groups(b.1)))
        });
        best.map(|(_, model)| model)
    }
}

/// How many servers of each fabric domain are in groups of each model.
pub(super) struct ServedModels<'a>(BTreeMap<(&'a str, &'a str), usize>);

impl<'a> ServedModels<'a> {
    /// Counts the members of the groups.
    pub(super) fn new(groups: &'a ObservedGroups) -> Self {
        let mut servers = BTreeMap::new();
        for group in groups.by_key.values() {
            if let (Some(fabric), Some(model)) = (&group.fabric, &group.model) {
                *servers.entry((&**fabric, &**model)).or_default() += group.members.len();
            }
        }
        ServedModels(servers)
    }

    fn servers(&self, fabric: &str, model: &str) -> usize {
        self.0.get(&(fabric, model)).copied().unwrap_or(0)
    }

    /// Returns the model that most servers of the server's fabric domain serve, other than the one
    /// that it has loaded.
    pub(super) fn most_served_near<'m>(
        &self,
        server: &Server,
        observed: &ObservedState<'m>,
    ) -> Option<&'m ModelSpec> {
        let fabric = server.fabric.as_ref()?;
        let models = observed.engine.models.iter();
        let others = models.filter(|model| server.model.as_ref() != Some(&model.name));
        others.max_by_key(|model| self.servers(fabric, &model.name))
    }
}

fn is_cold(server: &Server) -> bool {
    server.model.is_none() && server.staged_models.is_empty()
}
