//! The receiving side of vouchers: which groups a daemon may route to, and until when.
//!
//! Invariants:
//! - A change counts only if its number is above all that were applied of its keeper's life and
//!   above the last one for its group, so an older message never revives a withdrawn group.
//! - A heartbeat extends a voucher only if the daemon has every change up to the heartbeat's
//!   number, and the voucher's own change is among them.
//! - A message of another life of the keeper counts only if its echo is newer than every echo of
//!   the life known so far.
//! - A message that echoes no poll of this very life of the daemon does not count.
//! - A voucher of a lower generation than any heard of for the group does not count.

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
    /// `None` once the voucher was withdrawn.
    endpoint: Option<GroupEndpoint>,
    granted_until: Mono,
    released: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Heartbeat {
    number: u64,
    until: Mono,
}

impl Heartbeat {
    fn expiry_of(&self, entry: &Entry) -> Mono {
        let covered = !entry.released && self.number >= entry.number;
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

/// The vouchers that a daemon holds.
#[derive(Clone, Debug)]
pub struct RoutingLeaseTable {
    daemon: NodeId,
    boot: BootId,
    issuers: BTreeMap<NodeId, IssuerState>,
    min_generations: BTreeMap<GroupId, Generation>,
    loads: BTreeMap<GroupId, ReportedLoad>,
}

impl RoutingLeaseTable {
    /// Returns the empty table of the life `boot` of `daemon`.
    pub fn new(daemon: NodeId, boot: BootId) -> Self {
        RoutingLeaseTable {
            daemon,
            boot,
            issuers: BTreeMap::new(),
            min_generations: BTreeMap::new(),
            loads: BTreeMap::new(),
        }
    }

    /// Returns the poll to `keeper` at `now`.
    pub fn poll(&self, keeper: &str, now: Mono) -> LeasePoll {
        let known = self.issuers.get(keeper);
        LeasePoll {
            daemon: self.daemon.clone(),
            daemon_boot: self.boot,
            stamp: now,
            boot: known.map_or(0, |keeper| keeper.boot),
            applied: known.map_or(0, |keeper| keeper.applied),
        }
    }

    /// Takes in a message received at `now`.
    pub fn receive(&mut self, message: &LeaseMessage, now: Mono) {
        let Some(echo) = message.echo.filter(|echo| echo.boot == self.boot) else { return };
        let echo = echo.stamp;
        debug_assert!(echo <= now, "a stamp of the future was echoed");
        let keeper = self.issuers.entry(message.issuer.clone()).or_default();
        if keeper.boot != message.boot {
            if keeper.boot != 0 && echo <= keeper.echo {
                return;
            }
            *keeper = IssuerState { boot: message.boot, echo, ..IssuerState::default() };
        }
        keeper.echo = keeper.echo.max(echo);
        for change in &message.changes {
            apply(keeper, &mut self.min_generations, change, echo);
        }
        if message.full && message.number > keeper.applied {
            let listed = |group: &GroupId| message.changes.iter().any(|c| c.group == *group);
            keeper.entries.retain(|group, entry| entry.number > message.number || listed(group));
        }
        if message.after <= keeper.applied {
            keeper.applied = keeper.applied.max(message.number);
        }
        let applied = keeper.applied;
        keeper.entries.retain(|_, entry| entry.endpoint.is_some() || entry.number > applied);
        extend(keeper, message, echo);
        for report in &message.loads {
            let reported = ReportedLoad { load: report.load.clone(), at: now };
            self.loads.insert(report.group.clone(), reported);
        }
    }

    /// Returns until when `group` is vouched for; zero if it is not.
    pub fn lease_expiry(&self, group: &str) -> Mono {
        self.longest_lease(group).map_or(Mono::ZERO, |(_, until)| until)
    }

    /// Returns whether `group` may get new work at `now`.
    pub fn is_routable(&self, group: &str, now: Mono) -> bool {
        now < self.lease_expiry(group)
    }

    /// Drops vouchers that ran out and keepers that were not heard of since `before`.
    pub fn prune(&mut self, before: Mono) {
        for keeper in self.issuers.values_mut() {
            let beat = keeper.heartbeat;
            keeper.entries.retain(|_, entry| !entry.released || beat.expiry_of(entry) >= before);
        }
        self.issuers.retain(|_, keeper| keeper.echo >= before);
        let keepers = &self.issuers;
        let held = |group: &GroupId| keepers.values().any(|k| k.entries.contains_key(group));
        self.min_generations.retain(|group, _| held(group));
        self.loads.retain(|group, _| held(group));
    }

    /// Returns what routing knows of all groups with a voucher, also one that ran out.
    pub fn views(&self) -> GroupTable {
        let mut ids: Vec<&GroupId> = self.issuers.values().flat_map(|k| k.entries.keys()).collect();
        ids.sort();
        ids.dedup();
        let view = |id: &GroupId| {
            let (facts, until) = self.longest_lease(id)?;
            Some(self.view(facts, until))
        };
        GroupTable { groups: ids.into_iter().filter_map(view).collect() }
    }

    fn view(&self, facts: &GroupEndpoint, vouched_until: Mono) -> GroupView {
        let reported = self.loads.get(&facts.id).cloned().unwrap_or_default();
        GroupView {
            id: facts.id.clone(),
            model: facts.model.clone(),
            version: facts.version.clone(),
            adapters: facts.adapters.clone(),
            generation: facts.generation,
            state: GroupState::Serving,
            leader: facts.leader,
            lease_expiry: vouched_until,
            queued: reported.load.queued,
            running: reported.load.running,
            reported_at: reported.at,
        }
    }

    /// Returns the voucher for `group` that holds longest among those of its last generation.
    fn longest_lease(&self, group: &str) -> Option<(&GroupEndpoint, Mono)> {
        let floor = self.min_generations.get(group).copied().unwrap_or(0);
        let mut best: Option<(&GroupEndpoint, Mono)> = None;
        for keeper in self.issuers.values() {
            let Some(entry) = keeper.entries.get(group) else { continue };
            let Some(facts) = &entry.endpoint else { continue };
            let until = keeper.heartbeat.expiry_of(entry);
            if facts.generation >= floor && best.is_none_or(|(_, longest)| until > longest) {
                best = Some((facts, until));
            }
        }
        best
    }
}

fn apply(
    keeper: &mut IssuerState,
    floors: &mut BTreeMap<GroupId, Generation>,
    change: &LeaseChange,
    echo: Mono,
) {
    let last = keeper.entries.get(&change.group);
    let known = last.map_or(0, |entry| entry.number);
    if change.number <= keeper.applied.max(known) {
        return;
    }
    let floor = floors.entry(change.group.clone()).or_default();
    *floor = change.generation.max(*floor);
    let entry = match &change.change {
        LeaseChangeKind::Granted { endpoint: facts, valid_for } => Entry {
            number: change.number,
            endpoint: Some(facts.clone()),
            granted_until: echo + *valid_for,
            released: false,
        },
        LeaseChangeKind::Revoked => Entry {
            number: change.number,
            endpoint: None,
            granted_until: Mono::ZERO,
            released: false,
        },
        LeaseChangeKind::Expiring => {
            let Some(last) = last else { return };
            Entry {
                number: change.number,
                granted_until: keeper.heartbeat.expiry_of(last),
                released: true,
                ..last.clone()
            }
        }
    };
    keeper.entries.insert(change.group.clone(), entry);
}

/// Lets a heartbeat extend the vouchers that it covers.
fn extend(keeper: &mut IssuerState, message: &LeaseMessage, echo: Mono) {
    if message.number != keeper.applied || message.number < keeper.heartbeat.number {
        return;
    }
    let until = echo + message.valid_for;
    let longest =
        if message.number == keeper.heartbeat.number { keeper.heartbeat.until } else { Mono::ZERO };
    keeper.heartbeat = Heartbeat { number: message.number, until: until.max(longest) };
}
