//! The groups that are reconstructed from the servers' reports.
//!
//! Invariant: a group counts as serving only while its head reports it open, every other member
//! reports this very group and epoch (or did so in its last report before the report went missing),
//! and no member is draining. A missing report does not end a group, because the member may have
//! lost only its connection to the store; a stalled group is detected by [`owner`](crate::owner)
//! instead.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::server::Phase;
use crate::server::Server;
use crate::server::ServerId;
use crate::spec::EngineSpec;

/// Name and epoch of a group.
pub type GroupKey = (GroupId, Generation);

/// A group as the reports of its members show it.
#[data]
pub struct Group {
    /// Name of the group.
    pub name: GroupId,
    /// Epoch of the group.
    pub epoch: Generation,
    /// The model that its members have loaded; `None` if their reports differ.
    pub model: Option<ModelId>,
    /// Its fabric domain.
    pub fabric: Option<FabricId>,
    /// The members that report this group, by rank.
    pub members: BTreeMap<usize, ServerId>,
    /// The phase of the head; `None` if the head doesn't report this group.
    pub head_phase: Option<Phase>,
    /// Whether all reporting members have joined, each under a rank of its own.
    pub all_joined: bool,
    /// Whether any member is draining.
    pub is_draining: bool,
    /// Whether the report of any member is missing.
    pub has_missing_report: bool,
}

impl Group {
    /// Returns the name and epoch of the group.
    pub fn key(&self) -> GroupKey {
        (self.name.clone(), self.epoch)
    }

    /// Returns the head, if it reports this group.
    pub fn head(&self) -> Option<&ServerId> {
        self.members.get(&0)
    }

    /// Returns whether all `size` members report this group.
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

/// All observed groups of one model service.
#[data]
#[derive(Default)]
pub struct ObservedGroups {
    /// The groups by name and epoch.
    pub by_key: BTreeMap<GroupKey, Group>,
}

impl ObservedGroups {
    /// Reconstructs the groups of `service` from the reports of `servers`; `missing` are the last
    /// reports of servers whose current reports are missing.
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

    /// Adds a server whose report is missing as a member, if the head still reports the group open.
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
            // Two servers claim the same rank: the group can't be relied on.
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
