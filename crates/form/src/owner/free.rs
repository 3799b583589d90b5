//! Which servers are free, and the groups that are formed from them.
//!
//! A ready server is free if no order to it is in flight, it is in no group that is being formed,
//! its failure domain is not being evacuated, it has not failed a probe lately, and the head of the
//! group that it was last in can no longer serve that group. The last report may predate the last
//! join, so the owner's own memory of that join takes precedence. The groups to form are planned by
//! [`compose`](crate::compose). Before the first request, groups are formed only once servers have
//! stopped arriving, and the servers left over are warmed up as spares.

use std::collections::BTreeMap;

use base::prelude::*;

use super::Command;
use super::MAX_REPORT_AGE;
use super::ObservedState;
use super::Order;
use super::Owner;
use super::forming::FormingGroup;
use super::group_name;
use super::head_in_name;
use super::stage::ServedModels;
use crate::compose;
use crate::compose::Candidate;
use crate::compose::ModelDemand;
use crate::compose::PlannedGroup;
use crate::compose::StoreLoads;
use crate::observed_groups::GroupKey;
use crate::server::Membership;
use crate::server::Phase;
use crate::server::Server;
use crate::server::ServerState;
use crate::utility::Requirement;

/// How long no process must have been able to connect to the head of a group, while its report is missing,
/// before it counts as gone for good.
const HEAD_GONE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// At the first start, groups are formed once no new server has arrived for this long, or after
/// [`MAX_SETTLE_TIME`].
const ARRIVAL_SETTLE_TIME: Duration = Duration::from_millis(600);
/// Maximum time that an owner waits at the first start for servers to arrive.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(3);

impl Owner {
    /// Forms as many groups as the `free` servers of each fabric domain allow.
    pub(super) fn form_groups(
        &mut self,
        mut free: BTreeMap<FabricId, Vec<Candidate>>,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        if self.is_awaiting_servers(observed) {
            return;
        }
        free.retain(|fabric, _| !self.rebalances.contains_key(fabric));
        let demands = self.model_demands(observed);
        let loads =
            if observed.before_traffic { StoreLoads::Allowed } else { StoreLoads::Forbidden };
        for (fabric, groups) in compose::plan(observed.engine, &demands, &free, loads) {
            for choice in &groups {
                self.form(choice, observed, loads);
            }
            if observed.before_traffic {
                let is_spare = |c: &&Candidate| !groups.iter().any(|g| g.members.contains(&c.id));
                self.warm_up_spares(free[&fabric].iter().filter(is_spare), observed);
            }
        }
        self.advance_forming(observed, commands);
    }

    /// Returns whether servers are still arriving at the first start, when waiting for a better
    /// choice costs little.
    fn is_awaiting_servers(&self, observed: &ObservedState<'_>) -> bool {
        let waits = observed.now < self.last_arrival + ARRIVAL_SETTLE_TIME
            && observed.now < self.started + MAX_SETTLE_TIME;
        observed.before_traffic && waits
    }

    /// Lets each spare server join a group of its own, which is never opened, so that it has a
    /// model loaded in its accelerators when it is needed.
    fn warm_up_spares<'a>(
        &mut self,
        spare: impl Iterator<Item = &'a Candidate>,
        observed: &ObservedState<'_>,
    ) {
        let served = ServedModels::new(observed.groups);
        for candidate in spare.filter(|candidate| candidate.loaded_model.is_none()) {
            let server = &observed.servers[&candidate.id];
            let Some(model) = served.most_served_near(server, observed) else { continue };
            let epoch = self.next_epoch(observed.groups);
            let times = vec![candidate.time_to_join(model, StoreLoads::Allowed)];
            let name = model.name.clone();
            let forming =
                FormingGroup::warm_spare(name, epoch, server.instance_id(), times, observed.now);
            self.forming.insert(group_name(self.fencing_token, epoch, server), forming);
        }
    }

    fn form(&mut self, choice: &PlannedGroup, observed: &ObservedState<'_>, loads: StoreLoads) {
        let epoch = self.next_epoch(observed.groups);
        let name = group_name(self.fencing_token, epoch, &observed.servers[&choice.members[0]]);
        let model = &observed.engine.models[choice.model_index];
        let servers = || choice.members.iter().map(|id| &observed.servers[id]);
        let instances = servers().map(Server::instance_id).collect();
        let times = servers().map(|server| candidate(server).time_to_join(model, loads)).collect();
        let forming = FormingGroup::new(model.name.clone(), epoch, instances, times, observed.now);
        self.forming.insert(name, forming);
    }

    pub(super) fn model_demands(&self, observed: &ObservedState<'_>) -> Vec<ModelDemand> {
        let supply = |model: &str| {
            let serving = observed.groups.by_key.iter().filter(|(key, group)| {
                group.model.as_deref() == Some(model)
                    && group.is_serving(observed.engine)
                    && !observed.is_group_evacuated(group)
                    && !self.forming.contains(&group.name)
                    && !self.retiring_groups.contains(*key)
            });
            let forming = self.forming.values().filter(|forming| &*forming.model == model);
            serving.count() + forming.count()
        };
        let planned = |index: usize| {
            let models = self.rebalances.values().flat_map(|m| &m.planned_models);
            models.filter(|planned| **planned == index).count()
        };
        let is_overloaded = self.is_overloaded();
        let required = |model: &str| {
            let known = self.requirements.get(model).filter(|_| is_overloaded);
            known.map(Requirement::required_groups)
        };
        let models = observed.engine.models.iter().enumerate();
        models
            .map(|(index, model)| ModelDemand {
                demand: observed.demand.get(&model.name).copied().unwrap_or(0.0),
                supply: (supply(&model.name) + planned(index)) as f64,
                required: required(&model.name),
            })
            .collect()
    }

    /// Returns whether any model is overloaded.
    pub(super) fn is_overloaded(&self) -> bool {
        self.requirements.values().any(Requirement::is_overloaded)
    }

    /// Returns the models whose groups have been observed against the demand, whether each is
    /// overloaded, and the mean number of groups that it requires.
    pub fn model_loads(&self) -> impl Iterator<Item = (&ModelId, bool, f64)> {
        let loads = self.requirements.iter();
        loads.map(|(model, load)| (model, load.is_overloaded(), load.required_groups()))
    }

    /// Updates the groups that each model requires from what is reported.
    pub(super) fn update_requirements(&mut self, observed: &ObservedState<'_>) {
        let now = observed.now;
        self.requirements.retain(|_, requirement| requirement.is_current(now));
        let demands = self.model_demands(observed);
        for (model, demand) in observed.engine.models.iter().zip(demands) {
            let Some(required) = observed.required_groups.get(&model.name) else { continue };
            self.requirements
                .entry(model.name.clone())
                .or_insert_with(|| Requirement::new(*required, now))
                .observe(*required, demand.supply, now);
        }
    }

    pub(super) fn free_by_fabric(
        &self,
        observed: &ObservedState<'_>,
    ) -> BTreeMap<FabricId, Vec<Candidate>> {
        let free = self.free_servers(observed).into_iter();
        free.map(|(fabric, servers)| (fabric, servers.into_iter().map(candidate).collect()))
            .collect()
    }

    /// Returns the free servers of each fabric domain.
    pub(super) fn free_servers<'a>(
        &self,
        observed: &ObservedState<'a>,
    ) -> BTreeMap<FabricId, Vec<&'a Server>> {
        let mut free: BTreeMap<FabricId, Vec<&Server>> = BTreeMap::new();
        for server in
            observed.servers.values().filter(|server| &*server.service == observed.service)
        {
            let Some(fabric) = &server.fabric else { continue };
            if self.is_free(server, observed) {
                free.entry(fabric.clone()).or_default().push(server);
            }
        }
        free
    }

    /// Returns whether `server` may be ordered to join a group.
    pub(super) fn is_free(&self, server: &Server, observed: &ObservedState<'_>) -> bool {
        self.seems_free(server, observed) && !self.needs_confirmation(server, observed)
    }

    /// Returns whether `server` may be ordered to join a group if its report is current.
    fn seems_free(&self, server: &Server, observed: &ObservedState<'_>) -> bool {
        if server.state != ServerState::Ready || self.is_in_forming(&server.id) {
            return false;
        }
        if observed.is_evacuated(server) {
            return false;
        }
        let instance = server.instance_id();
        if self.has_order_in_flight(&server.id) || self.unresponsive_until.contains_key(&instance) {
            return false;
        }
        let reported = server.membership.as_ref();
        let joined = self.last_joins.get(&instance);
        if let Some(joined) = joined.filter(|j| reported.is_none_or(|m| m.epoch < j.key.1)) {
            // The report is from before the join: a group that includes this server can't be
            // observed to serve.
            let key = &joined.key;
            return !joined.accepted
                && (self.released.contains(key) || self.cannot_serve_again(key, observed));
        }
        let Some(membership) = reported else { return true };
        let key = (membership.group.clone(), membership.epoch);
        if self.released.contains(&key) {
            return true;
        }
        let Some(group) = observed.groups.by_key.get(&key) else { return true };
        let is_head = membership.rank == 0;
        match group.head_phase {
            Some(Phase::Broken) => true,
            Some(Phase::Open | Phase::Closing) => false,
            // The head can't serve its group any more once it has joined another.
            Some(Phase::Joining | Phase::Ready) => {
                is_head && group.members.len() < 2 && !self.outstanding.is_opened(&key)
            }
            None => self.is_head_gone(&key, observed),
        }
    }

    /// Returns whether the group that a server was ordered to join, after its last report, can
    /// never serve again.
    fn cannot_serve_again(&self, key: &GroupKey, observed: &ObservedState<'_>) -> bool {
        match observed.groups.by_key.get(key).map(|group| group.head_phase) {
            Some(Some(Phase::Broken)) => true,
            Some(Some(_)) => false,
            Some(None) | None => self.is_head_gone(key, observed),
        }
    }

    /// Returns whether an order of a former owner may have changed `server` since its report, or may still open its group.
    ///
    /// Reports go missing once they are too old, so an owner that has seen them for long enough relies on them, but for the
    /// heads of groups that it hasn't formed.
    fn needs_confirmation(&self, server: &Server, observed: &ObservedState<'_>) -> bool {
        let is_recent = observed.now <= self.started + MAX_REPORT_AGE && !observed.before_traffic;
        let led = server.membership.as_ref().filter(|membership| membership.rank == 0);
        let is_own = |m: &Membership| self.outstanding.has_formed(&(m.group.clone(), m.epoch));
        (is_recent || led.is_some_and(|m| !is_own(m))) && !self.outstanding.is_confirmed(server)
    }

    /// Orders the servers that seem free to confirm their reports, where that is needed.
    pub(super) fn confirm_free(
        &mut self,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let servers = observed.servers.values().filter(|s| &*s.service == observed.service);
        for server in servers.filter(|server| server.fabric.is_some()) {
            if self.needs_confirmation(server, observed) && self.seems_free(server, observed) {
                self.confirm(server, commands);
            }
        }
    }

    /// Orders `server` to confirm its report.
    fn confirm(&mut self, server: &Server, commands: &mut Vec<Command>) {
        let membership = server.membership.as_ref();
        let group = membership.map(|membership| (membership.group.clone(), membership.epoch));
        self.send_order(server, Order::Confirm { group }, commands);
    }

    pub(super) fn is_in_forming(&self, server: &str) -> bool {
        self.forming.contains_member(server)
    }

    /// Returns whether the head of group `key`, which doesn't report this group, can no longer
    /// serve it.
    pub(super) fn is_head_gone(&self, key: &GroupKey, observed: &ObservedState<'_>) -> bool {
        let Some((head, _)) = head_in_name(&key.0) else {
            // The group was not formed by an owner of this system.
            return observed.now >= self.started + HEAD_GONE_TIMEOUT * 2;
        };
        if let Some(server) = observed.servers.get(head) {
            return server.membership.as_ref().is_some_and(|m| m.epoch > key.1);
        }
        // A cut that ended long before the report went missing proves nothing.
        let missing = observed.missing.get(head).map_or(self.started, |missing| missing.since);
        let unreached = self.unanswered.get(key).and_then(|unanswered| unanswered.unreached);
        unreached.is_some_and(|(since, last)| {
            observed.now >= since + HEAD_GONE_TIMEOUT && last >= missing
        })
    }
}

/// Returns a server as a candidate for a group.
pub(super) fn candidate(server: &Server) -> Candidate {
    Candidate {
        id: server.id.clone(),
        loaded_model: server.model.clone(),
        staged_models: server.staged_models.clone(),
    }
}
