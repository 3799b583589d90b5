//! The groups that the servers' reports add up to.
//!
//! Invariant: a group takes requests only while its head reports that, and every other member
//! reports this very group and epoch, or did so when its report went missing, and none of them is
//! leaving. A member may have lost only its way to the store: that a report is missing ends no
//! group, silence does.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::server::Phase;
use crate::server::Server;
use crate::server::ServerId;
use crate::spec::EngineSpec;

/// A group's name and epoch.
pub type GroupKey = (GroupId, Generation);

/// A group as the reports of its members show it.
#[data]
pub struct Group {
    /// Its name.
    pub name: GroupId,
    /// Its epoch.
    pub epoch: Generation,
    /// The model that its members hold, if they agree.
    pub model: Option<ModelId>,
    /// Its fabric domain.
    pub fabric: Option<FabricId>,
    /// The members that report it, by rank.
    pub members: BTreeMap<usize, ServerId>,
    /// The phase of the head; none if the head doesn't report the group.
    pub head_phase: Option<Phase>,
    /// Whether every member has joined.
    pub all_joined: bool,
    /// Whether a member is leaving.
    pub is_draining: bool,
    /// Whether the report of a member is missing.
    pub has_missing_report: bool,
}

impl Group {
    /// Returns its name and epoch.
    pub fn key(&self) -> GroupKey {
        (self.name.clone(), self.epoch)
    }

    /// Returns the head, if it reports the group.
    pub fn head(&self) -> Option<&ServerId> {
        self.members.get(&0)
    }

    /// Returns whether all `size` members report the group.
    pub fn is_complete(&self, size: usize) -> bool {
        self.members.len() == size && self.members.keys().copied().eq(0..size)
    }

    /// Returns whether the group takes requests.
    pub fn is_serving(&self, engine: &EngineSpec) -> bool {
        let size =
            self.model.as_deref().and_then(|model| engine.model(model)).map(|m| m.group_size);
        self.head_phase == Some(Phase::Open)
            && self.all_joined
            && !self.is_draining
            && size.is_some_and(|size| self.is_complete(size))
    }
}

/// All groups of one model service.
#[data]
#[derive(Default)]
pub struct ObservedGroups {
    /// The groups by name and epoch.
    pub by_key: BTreeMap<GroupKey, Group>,
}

impl ObservedGroups {
    /// Counts the groups that `servers` of `service` report; `missing` are the last reports of
    /// servers whose reports are missing.
    pub fn from_reports<'a>(
        service: &str,
        servers: impl IntoIterator<Item = &'a Server>,
        missing: impl IntoIterator<Item = &'a Server>,
    ) -> Self {
        let mut groups = ObservedGroups::default();
        for server in servers.into_iter().filter(|server| &*server.service == service) {
            groups.add_member(server);
        }
        for server in missing.into_iter().filter(|server| &*server.service == service) {
            groups.add_missing_member(server);
        }
        groups
    }

    /// Counts a server whose report is missing as a member, if the head still serves the group.
    fn add_missing_member(&mut self, server: &Server) {
        let Some(membership) = &server.membership else { return };
        let key = (membership.group.clone(), membership.epoch);
        let Some(group) = self.by_key.get_mut(&key) else { return };
        if group.head_phase != Some(Phase::Open) || group.members.contains_key(&membership.rank) {
            return;
        }
        group.has_missing_report = true;
        self.add_member(server);
    }

    fn add_member(&mut self, server: &Server) {
        let Some(membership) = &server.membership else { return };
        let key = (membership.group.clone(), membership.epoch);
        let group = self.by_key.entry(key).or_insert_with(|| Group {
            name: membership.group.clone(),
            epoch: membership.epoch,
            model: server.model.clone(),
            fabric: server.fabric.clone(),
            members: BTreeMap::new(),
            head_phase: None,
            all_joined: true,
            is_draining: false,
            has_missing_report: false,
        });
        if group.members.insert(membership.rank, server.id.clone()).is_some() {
            // Two servers claim one rank: the group can't be relied on.
            group.all_joined = false;
        }
        group.all_joined &= membership.phase != Phase::Joining && membership.phase != Phase::Broken;
        group.is_draining |= server.state == crate::server::ServerState::Draining;
        if group.model != server.model {
            group.model = None;
        }
        if membership.rank == 0 {
            group.head_phase = Some(membership.phase);
        }
    }
}
