//! The reports of all backend servers, and the groups that they show.
//!
//! Algorithm: reports are indexed by the group that they mention. A report that changes affects only
//! the group that the server mentioned before and the one that it mentions now, so only these are
//! reconstructed. The cost of a change follows the size of a group, not the number of servers.
//!
//! A server may say by other ways than its report that it is leaving. Its instance then counts as
//! draining for good, whatever its reports say.
//!
//! An entry that can't be used may stand in the store in place of a server's report. It says nothing of the
//! server, whose last report holds until it writes another, its entry is removed, or it has had the time
//! to write one.
//!
//! Invariant: [`ServerTable::groups`] equals [`ObservedGroups::from_reports`] over the same reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;

use crate::observed_groups::GroupKey;
use crate::observed_groups::ObservedGroups;
use crate::server::Server;
use crate::server::ServerId;
use crate::server::ServerState;

/// How long a server whose report is missing is remembered.
const MISSING_TTL: Duration = Duration::from_secs(60);

/// How long a server's last report holds while an unusable entry stands in its place. A server writes its
/// report more often than this, and may be used for at least this long after it said that it leaves.
pub const OVERWRITTEN_TTL: Duration = Duration::from_secs(2);

/// A server whose report has expired.
#[data]
pub struct MissingServer {
    /// Its last report.
    pub server: Server,
    /// Time since when its report is missing.
    pub since: Mono,
}

/// A group that was reconstructed because a report changed.
#[data]
pub struct ChangedGroup {
    /// Its service.
    pub service: ServiceId,
    /// Its name and epoch.
    pub key: GroupKey,
    /// The head that it had before the change.
    pub old_head: Option<ServerId>,
}

/// The groups of one service.
#[derive(Debug, Default)]
struct ServiceGroups {
    /// The servers whose last report mentions a group, missing reports included.
    mentions: BTreeMap<GroupKey, BTreeSet<ServerId>>,
    observed: ObservedGroups,
}

/// The last reports of all servers.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, Server>,
    missing: BTreeMap<ServerId, MissingServer>,
    groups: BTreeMap<ServiceId, ServiceGroups>,
    /// The start time of the last instance of each server that is known to be leaving.
    leaving: BTreeMap<ServerId, u64>,
    /// The servers with a current report in whose place an unusable entry stands, and since when.
    overwritten: BTreeMap<ServerId, Mono>,
}

impl ServerTable {
    /// Returns the current reports.
    pub fn servers(&self) -> &BTreeMap<ServerId, Server> {
        &self.servers
    }

    /// Returns the last reports of servers whose current reports are missing.
    pub fn missing(&self) -> &BTreeMap<ServerId, MissingServer> {
        &self.missing
    }

    /// Returns the groups of `service`; `None` if no server ever mentioned any.
    pub fn groups(&self, service: &str) -> Option<&ObservedGroups> {
        self.groups.get(service).map(|groups| &groups.observed)
    }

    /// Returns whether a later report of the same server was seen, be it current or missing.
    pub fn is_outdated(&self, server: &Server) -> bool {
        self.last_report(&server.id).is_some_and(|last| server.is_older_than(last))
    }

    /// Returns the last report of a server, be it current or missing.
    pub fn last_report(&self, id: &str) -> Option<&Server> {
        let missing = self.missing.get(id).map(|missing| &missing.server);
        self.servers.get(id).or(missing)
    }

    /// Records a current report, and returns the groups that it changes; `None` if the report says
    /// nothing new.
    pub fn report(&mut self, server: Server) -> Option<Vec<ChangedGroup>> {
        self.overwritten.remove(&server.id);
        self.apply(server)
    }

    fn apply(&mut self, mut server: Server) -> Option<Vec<ChangedGroup>> {
        match self.leaving.get(&server.id) {
            Some(started_at_ms) if *started_at_ms == server.started_at_ms => {
                server.state = ServerState::Draining;
            }
            Some(started_at_ms) if *started_at_ms < server.started_at_ms => {
                self.leaving.remove(&server.id);
            }
            _ => {}
        }
        let missing = self.missing.remove(&server.id).map(|missing| missing.server);
        let old = self.servers.insert(server.id.clone(), server.clone());
        if old.as_ref() == Some(&server) {
            return None;
        }
        let old = old.or(missing);
        if let Some(old) = &old {
            self.forget_mention(old);
        }
        self.note_mention(&server);
        Some(self.rebuild(old.iter().chain([&server])))
    }

    /// Records that an instance of a server is leaving, and returns the groups that this changes;
    /// `None` if it is no news.
    pub fn set_leaving(&mut self, id: &str, started_at_ms: u64) -> Option<Vec<ChangedGroup>> {
        let is_known = self.leaving.get(id).is_some_and(|known| *known >= started_at_ms);
        let has_restarted =
            self.servers.get(id).is_some_and(|server| server.started_at_ms > started_at_ms);
        if is_known || has_restarted {
            return None;
        }
        self.leaving.insert(id.into(), started_at_ms);
        let server = self.servers.get(id).filter(|server| server.started_at_ms == started_at_ms);
        let server = server.cloned();
        Some(server.and_then(|server| self.apply(server)).unwrap_or_default())
    }

    /// Records that an unusable entry stands in place of a server's report.
    pub fn report_overwritten(&mut self, id: &str, now: Mono) {
        if self.servers.contains_key(id) {
            self.overwritten.entry(id.into()).or_insert(now);
        }
    }

    /// Returns the servers whose last reports don't hold any more, since unusable entries have stood in
    /// their places for too long.
    pub fn overwritten_for_long(&self, now: Mono) -> Vec<ServerId> {
        let due = self.overwritten.iter().filter(|(_, since)| now >= **since + OVERWRITTEN_TTL);
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Records that a server's report is missing, and returns the groups that this changes; `None`
    /// if the server had no current report.
    pub fn report_missing(&mut self, id: &str, now: Mono) -> Option<Vec<ChangedGroup>> {
        let server = self.servers.remove(id)?;
        self.overwritten.remove(id);
        let mut affected = self.expire(now);
        self.missing.insert(id.into(), MissingServer { server: server.clone(), since: now });
        affected.push(server);
        Some(self.rebuild(affected.iter()))
    }

    /// Forgets the servers that have been missing for too long, and returns their last reports.
    fn expire(&mut self, now: Mono) -> Vec<Server> {
        let expired = self.missing.extract_if(.., |_, missing| now >= missing.since + MISSING_TTL);
        let expired: Vec<Server> = expired.map(|(_, missing)| missing.server).collect();
        for server in &expired {
            self.forget_mention(server);
            self.leaving.remove(&server.id);
        }
        expired
    }

    fn note_mention(&mut self, server: &Server) {
        let Some(key) = mentioned_group(server) else { return };
        let groups = self.groups.entry(server.service.clone()).or_default();
        groups.mentions.entry(key).or_default().insert(server.id.clone());
    }

    fn forget_mention(&mut self, server: &Server) {
        let Some(key) = mentioned_group(server) else { return };
        let Some(groups) = self.groups.get_mut(&server.service) else { return };
        let Some(ids) = groups.mentions.get_mut(&key) else { return };
        ids.remove(&server.id);
        if ids.is_empty() {
            groups.mentions.remove(&key);
        }
    }

    /// Reconstructs the groups that `reports` mention.
    fn rebuild<'a>(&mut self, reports: impl Iterator<Item = &'a Server>) -> Vec<ChangedGroup> {
        let mentioned = |server: &Server| Some((server.service.clone(), mentioned_group(server)?));
        let affected: BTreeSet<(ServiceId, GroupKey)> = reports.filter_map(mentioned).collect();
        let rebuilt = affected.into_iter().map(|(service, key)| self.rebuild_group(service, key));
        rebuilt.collect()
    }

    fn rebuild_group(&mut self, service: ServiceId, key: GroupKey) -> ChangedGroup {
        let groups = self.groups.entry(service.clone()).or_default();
        let ids = groups.mentions.get(&key);
        let ids = || ids.into_iter().flatten();
        let current = ids().filter_map(|id| self.servers.get(id));
        let missing = ids().filter_map(|id| self.missing.get(id)).map(|missing| &missing.server);
        let mut rebuilt = ObservedGroups::from_reports(&service, current, missing);
        let old = match rebuilt.by_key.remove(&key) {
            Some(group) => groups.observed.by_key.insert(key.clone(), group),
            None => groups.observed.by_key.remove(&key),
        };
        ChangedGroup { service, key, old_head: old.and_then(|old| old.head().cloned()) }
    }
}

fn mentioned_group(server: &Server) -> Option<GroupKey> {
    server.membership.as_ref().map(|membership| (membership.group.clone(), membership.epoch))
}
