//! Staging: weights are put on hosts before they are needed, so that repairs are quick.
//!
//! A server that is in a group can go back into a group of the same model at once, and into one of
//! the model on its host soon. So its host holds the model that it doesn't serve and that callers
//! need most; a free server's host holds the model that most groups around it serve.

use super::Command;
use super::Order;
use super::Owner;
use super::View;
use crate::census::Census;
use crate::server::Server;
use crate::server::ServerState;
use crate::spec::ModelSpec;

/// Orders to stage that may be in flight at once.
const STAGES_AT_ONCE: usize = 4;
/// How much longer than expected a staging may take before it is ordered again.
const STAGING_SLACK: f64 = 2.0;

impl Owner {
    /// Orders the staging that helps the next repairs most.
    pub(super) fn stage_models(
        &mut self,
        view: &View<'_>,
        census: &Census,
        commands: &mut Vec<Command>,
    ) {
        if self.forming.values().any(|forming| forming.is_loading()) {
            return;
        }
        let service = view.service;
        let mut servers: Vec<&Server> = view
            .servers
            .values()
            .filter(|server| &*server.service == service && server.state == ServerState::Ready)
            .collect();
        // Free servers first: they have nothing to fall back on.
        servers.sort_by_key(|server| server.membership.is_some());
        for server in servers {
            if self.staging.len() >= self.stages_at_once(view) {
                return;
            }
            self.stage_on(server, view, census, commands);
        }
    }

    fn stages_at_once(&self, view: &View<'_>) -> usize {
        if view.before_traffic { usize::MAX } else { STAGES_AT_ONCE }
    }

    fn stage_on(
        &mut self,
        server: &Server,
        view: &View<'_>,
        census: &Census,
        commands: &mut Vec<Command>,
    ) {
        if self.staging.contains_key(&server.life()) || self.has_order(&server.id) {
            return;
        }
        let Some(model) = wanted(server, view, census) else { return };
        if server.staged.contains(&model.name) {
            return;
        }
        if !view.before_traffic && !self.loads.take(view.engine.loads_per_second, view.now) {
            return;
        }
        let order = Order::Stage { model: model.name.clone() };
        if self.order(server, order, commands) {
            let until = view.now + model.load.mul_f64(STAGING_SLACK);
            self.staging.insert(server.life(), (model.name.clone(), until));
        }
    }
}

/// Returns the model that the host of `server` shall hold.
fn wanted<'a>(server: &Server, view: &View<'a>, census: &Census) -> Option<&'a ModelSpec> {
    let around = |model: &ModelSpec| {
        let groups = census.groups.values();
        let served = groups.filter(|group| {
            group.fabric == server.fabric && group.model.as_ref() == Some(&model.name)
        });
        served.count() * model.size
    };
    let others =
        view.engine.models.iter().filter(|model| server.model.as_ref() != Some(&model.name));
    others.max_by_key(|model| around(model))
}
