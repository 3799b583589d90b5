//! The receiving side of routing leases: which groups a daemon may route to, and until when.
//!
//! Invariants:
//! - A change is applied only if its number is above those of all changes applied so far for this
//!   instance of its issuer, and above that of the last change for its group. So an older message
//!   never restores a revoked lease.
//! - A heartbeat renews a lease only if the daemon has every change up to the heartbeat's number,
//!   and the lease's own change is among them.
//! - A message of another instance of the issuer is accepted only if its echo is newer than every
//!   echo of the instance known so far.
//! - A message that does not echo a poll of the current instance of the daemon is ignored.
//! - A lease of a lower generation than any received for the group is ignored.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::probe::Load;
use crate::record::GroupState;
use crate::routing_lease::GroupEndpoint;
use crate::routing_lease::LeaseChange;
use crate::routing_lease::LeaseChangeKind;
use crate::routing_lease::LeaseMessage;
use crate::routing_lease::LeasePoll;
use crate::view::GroupTable;
use crate::view::GroupView;

#[derive(Clone, Debug)]
struct Entry {
    number: u64,
    /// `None` once the lease was revoked.
    endpoint: Option<GroupEndpoint>,
    /// The expiry that the change itself carried, before any renewal by heartbeats.
    granted_until: Mono,
    /// Whether heartbeats no longer renew the lease, because another process controls the group.
    expiring: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Heartbeat {
    number: u64,
    until: Mono,
}

impl Heartbeat {
    fn expiry_of(&self, entry: &Entry) -> Mono {
        let covered = !entry.expiring && self.number >= entry.number;
        if covered { entry.granted_until.max(self.until) } else { entry.granted_until }
    }
}

#[derive(Clone, Debug, Default)]
struct IssuerState {
    boot: BootId,
    echo: Mono,
    applied: u64,
    heartbeat: Heartbeat,
    entries: BTreeMap<GroupId, Entry>,
}

#[derive(Clone, Debug, Default)]
struct ReportedLoad {
    load: Load,
    at: Mono,
}

/// The routing leases that a daemon holds.
#[derive(Clone, Debug)]
pub struct RoutingLeaseTable {
    daemon: NodeId,
    boot: BootId,
    issuers: BTreeMap<NodeId, IssuerState>,
    min_generations: BTreeMap<GroupId, Generation>,
    loads: BTreeMap<GroupId, ReportedLoad>,
}

impl RoutingLeaseTable {
    /// Returns the empty table of the instance `boot` of `daemon`.
    pub fn new(daemon: NodeId, boot: BootId) -> Self {
        RoutingLeaseTable {
            daemon,
            boot,
            issuers: BTreeMap::new(),
            min_generations: BTreeMap::new(),
            loads: BTreeMap::new(),
        }
    }

    /// Returns the poll to `issuer` at `now`.
    pub fn poll(&self, issuer: &str, now: Mono) -> LeasePoll {
        let known = self.issuers.get(issuer);
        LeasePoll {
            daemon: self.daemon.clone(),
            daemon_boot: self.boot,
            stamp: now,
            boot: known.map_or(0, |issuer| issuer.boot),
            applied: known.map_or(0, |issuer| issuer.applied),
        }
    }

    /// Applies a message received at `now`.
    pub fn receive(&mut self, message: &LeaseMessage, now: Mono) {
        let Some(echo) = message.echo.filter(|echo| echo.boot == self.boot) else { return };
        let echo = echo.stamp;
        debug_assert!(echo <= now, "the echoed stamp is in the future");
        let issuer = self.issuers.entry(message.issuer.clone()).or_default();
        if issuer.boot != message.boot {
            if issuer.boot != 0 && echo <= issuer.echo {
                return;
            }
            *issuer = IssuerState { boot: message.boot, echo, ..IssuerState::default() };
        }
        issuer.echo = issuer.echo.max(echo);
        for change in &message.changes {
            apply(issuer, &mut self.min_generations, change, echo);
        }
        if message.full && message.number > issuer.applied {
            let in_snapshot = |group: &GroupId| message.changes.iter().any(|c| c.group == *group);
            issuer
                .entries
                .retain(|group, entry| entry.number > message.number || in_snapshot(group));
        }
        if message.after <= issuer.applied {
            issuer.applied = issuer.applied.max(message.number);
        }
        let applied = issuer.applied;
        issuer.entries.retain(|_, entry| entry.endpoint.is_some() || entry.number > applied);
        renew(issuer, message, echo);
        for report in &message.loads {
            let reported = ReportedLoad { load: report.load.clone(), at: now };
            self.loads.insert(report.group.clone(), reported);
        }
    }

    /// Returns when the lease of `group` expires; zero without a lease.
    pub fn lease_expiry(&self, group: &str) -> Mono {
        self.longest_lease(group).map_or(Mono::ZERO, |(_, until)| until)
    }

    /// Returns whether new requests may be sent to `group` at `now`.
    pub fn is_routable(&self, group: &str, now: Mono) -> bool {
        now < self.lease_expiry(group)
    }

    /// Drops leases that are no longer renewed and expired before `before`, and issuers whose last
    /// message echoes a poll from before that time.
    pub fn prune(&mut self, before: Mono) {
        for issuer in self.issuers.values_mut() {
            let heartbeat = issuer.heartbeat;
            issuer
                .entries
                .retain(|_, entry| !entry.expiring || heartbeat.expiry_of(entry) >= before);
        }
        self.issuers.retain(|_, issuer| issuer.echo >= before);
        let issuers = &self.issuers;
        let has_entry =
            |group: &GroupId| issuers.values().any(|issuer| issuer.entries.contains_key(group));
        self.min_generations.retain(|group, _| has_entry(group));
        self.loads.retain(|group, _| has_entry(group));
    }

    /// Returns all groups with a lease, including expired ones, as routing sees them.
    pub fn views(&self) -> GroupTable {
        let mut ids: Vec<&GroupId> =
            self.issuers.values().flat_map(|issuer| issuer.entries.keys()).collect();
        ids.sort();
        ids.dedup();
        let view = |id: &GroupId| {
            let (endpoint, until) = self.longest_lease(id)?;
            Some(self.view(endpoint, until))
        };
        GroupTable { groups: ids.into_iter().filter_map(view).collect() }
    }

    fn view(&self, endpoint: &GroupEndpoint, lease_expiry: Mono) -> GroupView {
        let reported = self.loads.get(&endpoint.id).cloned().unwrap_or_default();
        GroupView {
            id: endpoint.id.clone(),
            model: endpoint.model.clone(),
            version: endpoint.version.clone(),
            adapters: endpoint.adapters.clone(),
            generation: endpoint.generation,
            state: GroupState::Serving,
            leader: endpoint.leader,
            lease_expiry,
            queued: reported.load.queued,
            running: reported.load.running,
            reported_at: reported.at,
        }
    }

    /// Returns the lease of `group` that expires last, among those of its highest generation, with
    /// its expiry.
    fn longest_lease(&self, group: &str) -> Option<(&GroupEndpoint, Mono)> {
        let min_generation = self.min_generations.get(group).copied().unwrap_or(0);
        let mut best: Option<(&GroupEndpoint, Mono)> = None;
        for issuer in self.issuers.values() {
            let Some(entry) = issuer.entries.get(group) else { continue };
            let Some(endpoint) = &entry.endpoint else { continue };
            let until = issuer.heartbeat.expiry_of(entry);
            if endpoint.generation >= min_generation
                && best.is_none_or(|(_, longest)| until > longest)
            {
                best = Some((endpoint, until));
            }
        }
        best
    }
}

fn apply(
    issuer: &mut IssuerState,
    min_generations: &mut BTreeMap<GroupId, Generation>,
    change: &LeaseChange,
    echo: Mono,
) {
    let last = issuer.entries.get(&change.group);
    let known = last.map_or(0, |entry| entry.number);
    if change.number <= issuer.applied.max(known) {
        return;
    }
    let min_generation = min_generations.entry(change.group.clone()).or_default();
    *min_generation = change.generation.max(*min_generation);
    let entry = match &change.change {
        LeaseChangeKind::Granted { endpoint, valid_for } => Entry {
            number: change.number,
            endpoint: Some(endpoint.clone()),
            granted_until: echo + *valid_for,
            expiring: false,
        },
        LeaseChangeKind::Revoked => Entry {
            number: change.number,
            endpoint: None,
            granted_until: Mono::ZERO,
            expiring: false,
        },
        LeaseChangeKind::Expiring => {
            let Some(last) = last else { return };
            Entry {
                number: change.number,
                granted_until: issuer.heartbeat.expiry_of(last),
                expiring: true,
                ..last.clone()
            }
        }
    };
    issuer.entries.insert(change.group.clone(), entry);
}

/// Lets a heartbeat renew the leases that it covers.
fn renew(issuer: &mut IssuerState, message: &LeaseMessage, echo: Mono) {
    if message.number != issuer.applied || message.number < issuer.heartbeat.number {
        return;
    }
    let until = echo + message.valid_for;
    let current =
        if message.number == issuer.heartbeat.number { issuer.heartbeat.until } else { Mono::ZERO };
    issuer.heartbeat = Heartbeat { number: message.number, until: until.max(current) };
}
