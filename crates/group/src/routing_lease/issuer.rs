//! The sending side of routing leases: one process's list of the leases that it grants.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::prelude::*;

use crate::probe::Load;
use crate::routing_lease::Echo;
use crate::routing_lease::GroupEndpoint;
use crate::routing_lease::LeaseChange;
use crate::routing_lease::LeaseChangeKind;
use crate::routing_lease::LeaseMessage;
use crate::routing_lease::LeasePoll;
use crate::routing_lease::LoadReport;

/// Number of changes kept for daemons that lag; a daemon further behind gets a snapshot.
const MAX_LOGGED_CHANGES: usize = 1024;
/// Largest number of load reports in a message.
pub const MAX_LOADS_PER_MESSAGE: usize = 32;

#[derive(Clone, Debug)]
enum LoggedKind {
    Granted { endpoint: GroupEndpoint, oldest_probe_sent_at: Mono },
    Revoked,
    Expiring,
}

#[derive(Clone, Debug)]
struct LoggedChange {
    number: u64,
    group: GroupId,
    generation: Generation,
    kind: LoggedKind,
}

impl LoggedChange {
    fn to_change(&self, ttl: Duration, now: Mono) -> LeaseChange {
        let change = match &self.kind {
            LoggedKind::Granted { endpoint, oldest_probe_sent_at } => LeaseChangeKind::Granted {
                endpoint: endpoint.clone(),
                valid_for: (*oldest_probe_sent_at + ttl).saturating_sub(now),
            },
            LoggedKind::Revoked => LeaseChangeKind::Revoked,
            LoggedKind::Expiring => LeaseChangeKind::Expiring,
        };
        LeaseChange {
            number: self.number,
            group: self.group.clone(),
            generation: self.generation,
            change,
        }
    }
}

#[derive(Clone, Debug)]
struct DaemonState {
    echo: Echo,
    applied: u64,
}

/// One process's list of the routing leases that it grants.
#[derive(Clone, Debug)]
pub struct LeaseIssuer {
    node: NodeId,
    boot: BootId,
    ttl: Duration,
    number: u64,
    log: VecDeque<LoggedChange>,
    granted: BTreeMap<GroupId, LoggedChange>,
    daemons: BTreeMap<NodeId, DaemonState>,
    loads: BTreeMap<GroupId, Load>,
}

impl LeaseIssuer {
    /// Returns the empty list of the instance `boot` of `node`.
    pub fn new(node: NodeId, boot: BootId, ttl: Duration) -> Self {
        LeaseIssuer {
            node,
            boot,
            ttl,
            number: 0,
            log: VecDeque::new(),
            granted: BTreeMap::new(),
            daemons: BTreeMap::new(),
            loads: BTreeMap::new(),
        }
    }

    /// Grants a lease for a group whose oldest supporting probe was sent at
    /// `oldest_probe_sent_at`.
    pub fn grant(&mut self, endpoint: GroupEndpoint, oldest_probe_sent_at: Mono) {
        let (group, generation) = (endpoint.id.clone(), endpoint.generation);
        let change = self.push(
            group.clone(),
            generation,
            LoggedKind::Granted { endpoint, oldest_probe_sent_at },
        );
        self.granted.insert(group, change);
    }

    /// Revokes the lease of a group.
    pub fn revoke(&mut self, group: &GroupId, generation: Generation) {
        self.granted.remove(group);
        self.loads.remove(group);
        self.push(group.clone(), generation, LoggedKind::Revoked);
    }

    /// Stops renewing the lease of a group that another process controls now, so that it expires.
    pub fn let_expire(&mut self, group: &GroupId) {
        self.loads.remove(group);
        if let Some(change) = self.granted.remove(group) {
            self.push(group.clone(), change.generation, LoggedKind::Expiring);
        }
    }

    /// Records the load of a group, for the next messages.
    pub fn report_load(&mut self, group: &GroupId, load: Load) {
        if self.granted.contains_key(group) {
            self.loads.insert(group.clone(), load);
        }
    }

    /// Records a daemon's poll. A reordered poll of the same daemon instance is ignored.
    pub fn poll(&mut self, poll: &LeasePoll) {
        let applied = if poll.boot == self.boot { poll.applied } else { 0 };
        let echo = Echo { boot: poll.daemon_boot, stamp: poll.stamp };
        let known = self.daemons.get(&poll.daemon);
        let older = known
            .is_some_and(|known| known.echo.boot == echo.boot && known.echo.stamp > echo.stamp);
        if !older {
            self.daemons.insert(poll.daemon.clone(), DaemonState { echo, applied });
        }
    }

    /// Removes a daemon that no longer exists.
    pub fn remove_daemon(&mut self, daemon: &str) {
        self.daemons.remove(daemon);
    }

    /// Returns the message to `daemon`, given when the oldest probe that supports the list was
    /// sent.
    pub fn message(&self, daemon: &str, oldest_probe: Option<Mono>, now: Mono) -> LeaseMessage {
        let known = self.daemons.get(daemon);
        let after = known.map_or(0, |daemon| daemon.applied);
        let full = self.log.front().is_some_and(|first| after + 1 < first.number);
        let ttl = self.ttl;
        let changes = if full {
            self.granted.values().map(|change| change.to_change(ttl, now)).collect()
        } else {
            let newer = self.log.iter().filter(|change| change.number > after);
            newer.map(|change| change.to_change(ttl, now)).collect()
        };
        LeaseMessage {
            issuer: self.node.clone(),
            boot: self.boot,
            echo: known.map(|daemon| daemon.echo),
            number: self.number,
            valid_for: (oldest_probe.unwrap_or(now) + ttl).saturating_sub(now),
            after: if full { 0 } else { after },
            full,
            changes,
            loads: self.loads_for_message(),
        }
    }

    /// Returns the daemons that have polled, to which messages can be sent at once.
    pub fn daemons(&self) -> impl Iterator<Item = &NodeId> {
        self.daemons.keys()
    }

    fn push(&mut self, group: GroupId, generation: Generation, kind: LoggedKind) -> LoggedChange {
        self.number += 1;
        let change = LoggedChange { number: self.number, group, generation, kind };
        self.log.push_back(change.clone());
        if self.log.len() > MAX_LOGGED_CHANGES {
            self.log.pop_front();
        }
        change
    }

    fn loads_for_message(&self) -> Vec<LoadReport> {
        let start = (self.number as usize * MAX_LOADS_PER_MESSAGE) % self.loads.len().max(1);
        let rotated = self.loads.iter().skip(start).chain(self.loads.iter().take(start));
        rotated
            .take(MAX_LOADS_PER_MESSAGE)
            .map(|(group, load)| LoadReport { group: group.clone(), load: load.clone() })
            .collect()
    }
}
