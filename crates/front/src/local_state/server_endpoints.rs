//! The endpoints that follow from the reports of the servers and from the configured services.

use form::prelude::*;
use form::server_table::ChangedGroup;
use pass::prelude::*;

use super::LocalState;
use super::log_report;

impl LocalState {
    /// Derives all endpoints from the servers and the configured services.
    pub(super) fn refresh_endpoints(&mut self) {
        let mut endpoints = Vec::new();
        for spec in self.routes.services() {
            match &spec.engine {
                Some(engine) => {
                    let groups = self.reports.groups(&spec.name);
                    let groups = groups.into_iter().flat_map(|groups| groups.by_key.values());
                    endpoints.extend(groups.filter_map(|group| self.group_endpoint(group, engine)));
                }
                None => {
                    let servers = self.reports.servers().values();
                    let servers = servers.filter(|server| server.service == spec.name);
                    endpoints.extend(servers.filter_map(plain_endpoint));
                }
            }
        }
        self.endpoints.set_endpoints(endpoints);
    }

    /// Updates the endpoints after the report of server `id` changed, and with it some groups; returns
    /// whether an endpoint changed.
    pub(super) fn update_endpoints(&mut self, id: &str, changed: &[ChangedGroup]) -> bool {
        let mut any = false;
        for group in changed {
            any |= self.update_group_endpoint(id, group);
        }
        let is_plain = |server: &&Server| {
            self.routes.service(&server.service).is_some_and(|spec| spec.engine.is_none())
        };
        let server = self.reports.servers().get(id).filter(is_plain);
        match server.and_then(plain_endpoint) {
            Some(endpoint) => any | self.set_endpoint(endpoint),
            None => any | self.endpoints.remove_endpoint(id, None),
        }
    }

    /// Adds or replaces an endpoint; returns whether it is new or has changed.
    fn set_endpoint(&mut self, endpoint: Endpoint) -> bool {
        let is_new = !self.endpoints.is_current(&endpoint);
        self.endpoints.set_endpoint(endpoint);
        is_new
    }

    fn update_group_endpoint(&mut self, id: &str, changed: &ChangedGroup) -> bool {
        self.update_group_members(changed);
        let engine =
            self.routes.service(&changed.service).and_then(|service| service.engine.as_ref());
        let groups = self.reports.groups(&changed.service);
        let group = groups.and_then(|groups| groups.by_key.get(&changed.key));
        let endpoint =
            group.zip(engine).and_then(|(group, engine)| self.group_endpoint(group, engine));
        let head = endpoint.as_ref().map(|endpoint| endpoint.server.clone());
        let old = changed.old_head.as_ref().filter(|old| Some(*old) != head.as_ref());
        let is_gone =
            old.is_some_and(|old| self.endpoints.remove_endpoint(old, Some(&changed.key)));
        let is_new = endpoint.is_some_and(|endpoint| self.set_endpoint(endpoint));
        // `samphire explain` shows what this process knew of the server that it chose.
        if is_new
            && !self.logs_all_servers()
            && let Some(head) = head.filter(|head| **head != *id)
            && let Some(head) = self.reports.servers().get(&head)
        {
            log_report(head);
        }
        is_gone || is_new
    }

    /// Records which servers a group consists of, as it is as slow as its slowest member.
    fn update_group_members(&mut self, changed: &ChangedGroup) {
        let groups = self.reports.groups(&changed.service);
        let group = groups.and_then(|groups| groups.by_key.get(&changed.key));
        if let Some((group, head)) = group.and_then(|group| Some((group, group.head()?))) {
            let members = group.members.values().cloned().collect();
            self.endpoints.warm_ups.set_members(head, members);
        }
    }

    /// Returns the endpoint of a group, if the group takes requests.
    fn group_endpoint(&self, group: &Group, engine: &EngineSpec) -> Option<Endpoint> {
        let head = group.head().filter(|_| group.is_serving(engine))?;
        let head = self.reports.servers().get(head)?;
        let (name, model) = (Some((group.name.clone(), group.epoch)), group.model.clone());
        Some(Endpoint { group: name, model, slots: engine.slots, ..endpoint(head) })
    }
}

/// Returns the endpoint of a server of a plain service, if the server takes requests.
fn plain_endpoint(server: &Server) -> Option<Endpoint> {
    (server.state == ServerState::Ready).then(|| endpoint(server))
}

fn endpoint(server: &Server) -> Endpoint {
    Endpoint {
        server: server.id.clone(),
        address: server.address,
        service: server.service.clone(),
        group: None,
        model: None,
        slots: server.slots,
        failure_domain: server.failure_domain.clone(),
        started_at_ms: server.started_at_ms,
    }
}
