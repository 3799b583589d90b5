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
use crate::routing_lease::Poll;
use crate::view::GroupTable;
use crate::view::GroupView;

#[derive(Clone, Debug)]
struct Entry {
    number: u64,
    /// `None` once the voucher was withdrawn.
    facts: Option<GroupEndpoint>,
    own_until: Mono,
    released: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Beat {
    number: u64,
    until: Mono,
}

impl Beat {
    fn until_of(&self, entry: &Entry) -> Mono {
        let covered = !entry.released && self.number >= entry.number;
        if covered { entry.own_until.max(self.until) } else { entry.own_until }
    }
}

#[derive(Clone, Debug, Default)]
struct Keeper {
    boot: BootId,
    echo: Mono,
    applied: u64,
    beat: Beat,
    entries: BTreeMap<GroupId, Entry>,
}

#[derive(Clone, Debug, Default)]
struct Reported {
    load: Load,
    at: Mono,
}

/// The vouchers that a daemon holds.
#[derive(Clone, Debug)]
pub struct RoutingLeaseTable {
    daemon: NodeId,
    boot: BootId,
    keepers: BTreeMap<NodeId, Keeper>,
    floors: BTreeMap<GroupId, Generation>,
    loads: BTreeMap<GroupId, Reported>,
}

impl RoutingLeaseTable {
    /// Returns the empty table of the life `boot` of `daemon`.
    pub fn new(daemon: NodeId, boot: BootId) -> Self {
        RoutingLeaseTable {
            daemon,
            boot,
            keepers: BTreeMap::new(),
            floors: BTreeMap::new(),
            loads: BTreeMap::new(),
        }
    }

    /// Returns the poll to `keeper` at `now`.
    pub fn poll(&self, keeper: &str, now: Mono) -> Poll {
        let known = self.keepers.get(keeper);
        Poll {
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
        let keeper = self.keepers.entry(message.keeper.clone()).or_default();
        if keeper.boot != message.boot {
            if keeper.boot != 0 && echo <= keeper.echo {
                return;
            }
            *keeper = Keeper { boot: message.boot, echo, ..Keeper::default() };
        }
        keeper.echo = keeper.echo.max(echo);
        for change in &message.changes {
            apply(keeper, &mut self.floors, change, echo);
        }
        if message.full && message.number > keeper.applied {
            let listed = |group: &GroupId| message.changes.iter().any(|c| c.group == *group);
            keeper.entries.retain(|group, entry| entry.number > message.number || listed(group));
        }
        if message.after <= keeper.applied {
            keeper.applied = keeper.applied.max(message.number);
        }
        let applied = keeper.applied;
        keeper.entries.retain(|_, entry| entry.facts.is_some() || entry.number > applied);
        extend(keeper, message, echo);
        for report in &message.loads {
            let reported = Reported { load: report.load.clone(), at: now };
            self.loads.insert(report.group.clone(), reported);
        }
    }

    /// Returns until when `group` is vouched for; zero if it is not.
    pub fn lease_expiry(&self, group: &str) -> Mono {
        self.best(group).map_or(Mono::ZERO, |(_, until)| until)
    }

    /// Returns whether `group` may get new work at `now`.
    pub fn is_routable(&self, group: &str, now: Mono) -> bool {
        now < self.lease_expiry(group)
    }

    /// Drops vouchers that ran out and keepers that were not heard of since `before`.
    pub fn prune(&mut self, before: Mono) {
        for keeper in self.keepers.values_mut() {
            let beat = keeper.beat;
            keeper.entries.retain(|_, entry| !entry.released || beat.until_of(entry) >= before);
        }
        self.keepers.retain(|_, keeper| keeper.echo >= before);
        let keepers = &self.keepers;
        let held = |group: &GroupId| keepers.values().any(|k| k.entries.contains_key(group));
        self.floors.retain(|group, _| held(group));
        self.loads.retain(|group, _| held(group));
    }

    /// Returns what routing knows of all groups with a voucher, also one that ran out.
    pub fn views(&self) -> GroupTable {
        let mut ids: Vec<&GroupId> = self.keepers.values().flat_map(|k| k.entries.keys()).collect();
        ids.sort();
        ids.dedup();
        let view = |id: &GroupId| {
            let (facts, until) = self.best(id)?;
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
            vouched_until,
            queued: reported.load.queued,
            running: reported.load.running,
            reported_at: reported.at,
        }
    }

    /// Returns the voucher for `group` that holds longest among those of its last generation.
    fn best(&self, group: &str) -> Option<(&GroupEndpoint, Mono)> {
        let floor = self.floors.get(group).copied().unwrap_or(0);
        let mut best: Option<(&GroupEndpoint, Mono)> = None;
        for keeper in self.keepers.values() {
            let Some(entry) = keeper.entries.get(group) else { continue };
            let Some(facts) = &entry.facts else { continue };
            let until = keeper.beat.until_of(entry);
            if facts.generation >= floor && best.is_none_or(|(_, longest)| until > longest) {
                best = Some((facts, until));
            }
        }
        best
    }
}

fn apply(
    keeper: &mut Keeper,
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
        LeaseChangeKind::Up { facts, valid_for } => Entry {
            number: change.number,
            facts: Some(facts.clone()),
            own_until: echo + *valid_for,
            released: false,
        },
        LeaseChangeKind::Down => {
            Entry { number: change.number, facts: None, own_until: Mono::ZERO, released: false }
        }
        LeaseChangeKind::Released => {
            let Some(last) = last else { return };
            Entry {
                number: change.number,
                own_until: keeper.beat.until_of(last),
                released: true,
                ..last.clone()
            }
        }
    };
    keeper.entries.insert(change.group.clone(), entry);
}

/// Lets a heartbeat extend the vouchers that it covers.
fn extend(keeper: &mut Keeper, message: &LeaseMessage, echo: Mono) {
    if message.number != keeper.applied || message.number < keeper.beat.number {
        return;
    }
    let until = echo + message.valid_for;
    let longest = if message.number == keeper.beat.number { keeper.beat.until } else { Mono::ZERO };
    keeper.beat = Beat { number: message.number, until: until.max(longest) };
}
