//! The sending side of vouchers: one process's list of the groups that it vouches for.

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

/// Changes that are kept for daemons that lag; one further behind gets the whole list.
const MAX_LOGGED_CHANGES: usize = 1024;
/// Load reports that a message may carry.
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

/// One process's list of the groups that it vouches for.
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
    /// Returns the empty list of the life `boot` of `node`.
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

    /// Vouches for a group whose oldest probe was sent at `oldest_probe_sent_at`.
    pub fn grant(&mut self, facts: GroupEndpoint, oldest_probe_sent_at: Mono) {
        let (group, generation) = (facts.id.clone(), facts.generation);
        let change = self.push(
            group.clone(),
            generation,
            LoggedKind::Granted { endpoint: facts, oldest_probe_sent_at },
        );
        self.granted.insert(group, change);
    }

    /// Withdraws the voucher for a group.
    pub fn revoke(&mut self, group: &GroupId, generation: Generation) {
        self.granted.remove(group);
        self.loads.remove(group);
        self.push(group.clone(), generation, LoggedKind::Revoked);
    }

    /// Lets the voucher for a group run out, since another process keeps it now.
    pub fn let_expire(&mut self, group: &GroupId) {
        self.loads.remove(group);
        if let Some(change) = self.granted.remove(group) {
            self.push(group.clone(), change.generation, LoggedKind::Expiring);
        }
    }

    /// Notes the load of a group, for the next messages.
    pub fn report_load(&mut self, group: &GroupId, load: Load) {
        if self.granted.contains_key(group) {
            self.loads.insert(group.clone(), load);
        }
    }

    /// Notes what a daemon polled with. A reordered poll of the same life is ignored.
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

    /// Forgets a daemon that is gone.
    pub fn remove_daemon(&mut self, daemon: &str) {
        self.daemons.remove(daemon);
    }

    /// Returns the message to `daemon`, given when the oldest probe behind the list was sent.
    pub fn message(&self, daemon: &str, oldest_probe: Option<Mono>, now: Mono) -> LeaseMessage {
        let known = self.daemons.get(daemon);
        let after = known.map_or(0, |daemon| daemon.applied);
        let full = self.log.front().is_some_and(|first| after + 1 < first.number);
        let ttl = self.ttl;
        let changes = if full {
            self.granted.values().map(|kept| kept.to_change(ttl, now)).collect()
        } else {
            let newer = self.log.iter().filter(|kept| kept.number > after);
            newer.map(|kept| kept.to_change(ttl, now)).collect()
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

    /// Returns the daemons that polled, for messages that go out at once.
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
        let turned = self.loads.iter().skip(start).chain(self.loads.iter().take(start));
        turned
            .take(MAX_LOADS_PER_MESSAGE)
            .map(|(group, load)| LoadReport { group: group.clone(), load: load.clone() })
            .collect()
    }
}
