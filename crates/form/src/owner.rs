//! The owner of a service's groups: what it remembers, and the orders that it gives.
//!
//! [`Owner::decide`] looks at what the servers report and returns orders; [`Owner::handle_reply`] takes
//! their answers. What the owner remembers only saves time: an owner that starts from nothing
//! finds all that it must know in the reports.
//!
//! Invariants:
//! - `open` is ordered only after every member was seen joined under that name and epoch.
//! - A server is given a join only if the head of its group can't serve that group any more: the
//!   head has answered an order to leave it, reports a higher epoch, has given it up, or is gone
//!   for good; or this owner formed the group and never ordered it to open. A report of the head
//!   that doesn't mention the group proves nothing: the head may have lost its way to the store.
//! - A group is not opened if its head left an order to join it without an answer: carried out
//!   late, after the head has left the group, that order and a late one to open would bring it back.
//! - A group's name ends with the id and address of its head, so that every owner can ask it, also
//!   one that started after the head's report went missing.
//! - Epochs rise with every group, over all owners: they begin with the owner's fencing number.
//! - A server has at most one order in flight.

mod forming;
mod free;
mod groups;
mod rebalance;
mod stage;
mod stall;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;

use crate::load_limiter::LoadLimiter;
use crate::observed_groups::Group;
use crate::observed_groups::GroupKey;
use crate::observed_groups::ObservedGroups;
use crate::server::InstanceId;
use crate::server::Server;
use crate::server::ServerId;
use crate::spec::EngineSpec;

use forming::FormingGroup;
use rebalance::FabricEvaluation;
use rebalance::Rebalance;
use stall::ProbeRound;

/// Bits of an epoch that count the groups of one owner.
const EPOCH_COUNT_BITS: u32 = 16;
/// How old a report may be before it goes missing: until then a new owner doesn't know whether a
/// server that looks free has joined a group that lacks a member.
const MAX_REPORT_AGE: Duration = Duration::from_secs(4);
/// How long a group that another owner formed, and that is not whole, is left alone.
const INCOMPLETE_GRACE: Duration = Duration::from_millis(1_000);
/// How long a group that another owner formed may have members that join.
const JOINING_GRACE: Duration = Duration::from_secs(4);

/// Number of an order, unique for its owner.
pub type OrderId = u64;

/// An order to a backend server.
#[data]
pub enum Order {
    /// Join a group; the first of `members` is its head.
    Join {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Generation,
        /// Its model.
        model: ModelId,
        /// Its members by rank.
        members: Vec<ServerId>,
    },
    /// Begin to take requests.
    Open {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Generation,
    },
    /// Take no more requests and finish those that run.
    Close {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Generation,
    },
    /// Leave the group at once.
    Leave {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Generation,
    },
    /// Load a model's weights onto the host.
    Stage {
        /// The model.
        model: ModelId,
    },
    /// Answer, and change nothing.
    Probe,
}

/// An order with its receiver.
#[data]
pub struct Command {
    /// Number of the order.
    pub id: OrderId,
    /// The receiver.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The owner's fencing number.
    pub fencing_token: u64,
    /// The order.
    pub order: Order,
}

/// What became of an order.
#[key]
pub enum Reply {
    /// Its effect stands.
    Done,
    /// It has begun.
    Begun,
    /// It doesn't fit the server's state.
    Rejected,
    /// A newer owner or a newer epoch is known there.
    Fenced,
    /// Another server listens there now.
    Elsewhere,
    /// Nothing listens there.
    Refused,
    /// The server doesn't know the order.
    Invalid,
    /// No answer: it may be carried out, also later.
    Unanswered,
}

/// A server that has ceased to report.
#[data]
pub struct MissingServer {
    /// Its last report.
    pub server: Server,
    /// Since when its report is missing.
    pub since: Mono,
}

/// What the owner sees.
pub struct ObservedState<'a> {
    /// The service whose groups it owns.
    pub service: &'a str,
    /// All servers that report.
    pub servers: &'a BTreeMap<ServerId, Server>,
    /// Servers that have ceased to report.
    pub missing: &'a BTreeMap<ServerId, MissingServer>,
    /// The engines' figures.
    pub engine: &'a EngineSpec,
    /// Work that callers bring, by model, as parts of the whole.
    pub demand: &'a BTreeMap<ModelId, f64>,
    /// Heads whose streams have all fallen silent.
    pub stalled_heads: &'a BTreeSet<ServerId>,
    /// Whether no request has come yet, so that loads are quick and not counted.
    pub before_traffic: bool,
    /// Now.
    pub now: Mono,
}

impl ObservedState<'_> {
    /// Returns what server `id` reports, or reported last.
    fn latest_report(&self, id: &str) -> Option<&Server> {
        let departed = self.missing.get(id).map(|departed| &departed.server);
        self.servers.get(id).or(departed)
    }
}

#[derive(Clone, Debug)]
struct InFlight {
    server: ServerId,
    order: Order,
}

/// An order to join that a server got.
#[derive(Clone, Debug)]
struct JoinOrder {
    key: GroupKey,
    /// Whether the server said that it joins.
    accepted: bool,
}

/// A head that left orders without an answer, and has answered none since.
#[derive(Clone, Copy, Debug)]
struct UnansweredOrders {
    /// When the first of them had no answer.
    first: Mono,
    /// When the last of them had none.
    last: Mono,
}

/// The owner of one service's groups.
#[derive(Clone, Debug)]
pub struct Owner {
    fencing_token: u64,
    started: Mono,
    next_group: u64,
    next_order: OrderId,
    load_limiter: LoadLimiter,
    forming: BTreeMap<GroupId, FormingGroup>,
    in_flight: BTreeMap<OrderId, InFlight>,
    /// Groups whose head can't serve them any more.
    released: BTreeSet<GroupKey>,
    /// Groups whose head gives no answer.
    unanswered: BTreeMap<GroupKey, UnansweredOrders>,
    /// The last order to join that each server got: its report may be older.
    last_joins: BTreeMap<InstanceId, JoinOrder>,
    /// When a group that is not whole was first seen so.
    incomplete_since: BTreeMap<GroupKey, Mono>,
    /// Groups that are given up for others.
    retiring_groups: BTreeSet<GroupKey>,
    /// Moves under way, by fabric domain.
    rebalances: BTreeMap<FabricId, Rebalance>,
    /// When each fabric domain was weighed.
    evaluations: BTreeMap<FabricId, FabricEvaluation>,
    /// When a group was first ordered to close.
    closed_at: BTreeMap<GroupKey, Mono>,
    /// Models that are being staged, and until when.
    staging: BTreeMap<InstanceId, (ModelId, Mono)>,
    /// When the last new server was seen.
    last_arrival: Mono,
    /// Servers that were seen.
    known: BTreeSet<InstanceId>,
    /// Questions to the members of silent groups.
    probe_rounds: BTreeMap<GroupKey, ProbeRound>,
    /// Servers that gave no sign of life, and until when they get no group.
    unresponsive_until: BTreeMap<InstanceId, Mono>,
    /// When an order to a server may be repeated.
    retry_at: BTreeMap<ServerId, Mono>,
    fenced: bool,
}

impl Owner {
    /// Makes an owner that holds the fencing number `fence` since `now`.
    pub fn new(fence: u64, now: Mono) -> Self {
        Owner {
            fencing_token: fence,
            started: now,
            next_group: 0,
            next_order: 0,
            load_limiter: LoadLimiter::new(now),
            forming: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            released: BTreeSet::new(),
            unanswered: BTreeMap::new(),
            last_joins: BTreeMap::new(),
            incomplete_since: BTreeMap::new(),
            retiring_groups: BTreeSet::new(),
            rebalances: BTreeMap::new(),
            evaluations: BTreeMap::new(),
            closed_at: BTreeMap::new(),
            staging: BTreeMap::new(),
            last_arrival: now,
            known: BTreeSet::new(),
            probe_rounds: BTreeMap::new(),
            unresponsive_until: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            fenced: false,
        }
    }

    /// Returns whether a server has obeyed a newer owner, so that this one must give up.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the orders that the situation asks for.
    pub fn decide(&mut self, observed: &ObservedState<'_>) -> Vec<Command> {
        let departed = observed.missing.values().map(|departed| &departed.server);
        let observed_groups =
            ObservedGroups::from_reports(observed.service, observed.servers.values(), departed);
        self.update_memory(observed, &observed_groups);
        let mut commands = Vec::new();
        self.advance_forming(observed, &observed_groups, &mut commands);
        self.maintain_groups(observed, &observed_groups, &mut commands);
        self.check_stalled_groups(observed, &observed_groups, &mut commands);
        self.rebalance(observed, &observed_groups);
        self.form_groups(observed, &observed_groups, &mut commands);
        self.stage_models(observed, &observed_groups, &mut commands);
        commands
    }

    /// Takes the answer of order `id`; returns the order, for the log.
    pub fn handle_reply(&mut self, id: OrderId, reply: Reply, now: Mono) -> Option<Order> {
        let InFlight { server, order } = self.in_flight.remove(&id)?;
        let repeats = matches!(order, Order::Close { .. });
        let failed =
            matches!(reply, Reply::Rejected | Reply::Unanswered | Reply::Invalid | Reply::Refused);
        if order != Order::Probe && (repeats || failed) {
            self.retry_at.insert(server.clone(), now + retry_pause(&order));
        }
        if !matches!(reply, Reply::Unanswered | Reply::Refused | Reply::Elsewhere) {
            self.unanswered.retain(|key, _| !is_head(&server, key));
        }
        match (&order, reply) {
            (_, Reply::Fenced) => self.fenced = true,
            (Order::Probe, _) => self.handle_probe_reply(&server, reply, now),
            (Order::Join { group, .. }, _) => self.handle_join_reply(group, &server, reply, now),
            (Order::Open { group, .. }, _) => self.handle_open_reply(group, reply, now),
            (Order::Leave { group, epoch }, Reply::Done | Reply::Begun) => {
                self.last_joins.retain(|(id, _), _| *id != server);
                self.released.insert((group.clone(), *epoch));
            }
            // A head that drains stops listening before it stops serving, so a refused connection
            // says nothing.
            (Order::Leave { group, epoch }, Reply::Elsewhere) => {
                self.released.insert((group.clone(), *epoch));
            }
            (Order::Leave { group, epoch }, _) => {
                self.note_unanswered((group.clone(), *epoch), now);
            }
            (Order::Stage { .. }, Reply::Done | Reply::Begun) => {}
            (Order::Stage { .. }, _) => self.staging.retain(|(id, _), _| *id != server),
            _ => {}
        }
        Some(order)
    }

    /// Notes reports, and forgets what no report mentions any more.
    fn update_memory(&mut self, observed: &ObservedState<'_>, observed_groups: &ObservedGroups) {
        let census_has = |key: &GroupKey| observed_groups.by_key.contains_key(key);
        self.last_joins.retain(|life, _| {
            observed.servers.get(&life.0).is_some_and(|server| server.instance_id() == *life)
        });
        let joined: BTreeSet<&GroupKey> =
            self.last_joins.values().map(|joined| &joined.key).collect();
        self.released.retain(|key| census_has(key) || joined.contains(key));
        self.unanswered.retain(|key, _| census_has(key) || joined.contains(key));
        self.retiring_groups.retain(census_has);
        self.closed_at.retain(|key, _| census_has(key));
        self.incomplete_since.retain(|key, _| census_has(key));
        let now = observed.now;
        self.staging.retain(|life, (model, until)| {
            let server =
                observed.servers.get(&life.0).filter(|server| server.instance_id() == *life);
            server.is_some_and(|server| !server.staged_models.contains(model)) && *until > now
        });
        self.retry_at.retain(|_, at| *at > now);
        for server in
            observed.servers.values().filter(|server| &*server.service == observed.service)
        {
            if self.known.insert(server.instance_id()) {
                self.last_arrival = now;
            }
        }
    }

    /// Gives `order` to `server`, unless one is in flight there or it must wait.
    fn send_order(&mut self, server: &Server, order: Order, commands: &mut Vec<Command>) -> bool {
        self.send_order_to(&server.id, server.address, order, commands)
    }

    /// Gives `order` to the server `id` at `address`, as [`Owner::send_order`] does.
    fn send_order_to(
        &mut self,
        server: &str,
        address: SocketAddr,
        order: Order,
        commands: &mut Vec<Command>,
    ) -> bool {
        if self.has_order_in_flight(server) || self.retry_at.contains_key(server) {
            return false;
        }
        self.next_order += 1;
        let id = self.next_order;
        let server: ServerId = server.into();
        self.in_flight.insert(id, InFlight { server: server.clone(), order: order.clone() });
        commands.push(Command { id, server, address, fencing_token: self.fencing_token, order });
        true
    }

    fn note_unanswered(&mut self, key: GroupKey, now: Mono) {
        let unanswered = self.unanswered.entry(key);
        unanswered.or_insert(UnansweredOrders { first: now, last: now }).last = now;
    }

    fn has_order_in_flight(&self, server: &str) -> bool {
        self.in_flight.values().any(|in_flight| &*in_flight.server == server)
    }

    fn next_epoch(&mut self, observed_groups: &ObservedGroups) -> Generation {
        self.next_group += 1;
        let own = (self.fencing_token << EPOCH_COUNT_BITS) + self.next_group;
        let seen = observed_groups.by_key.keys().map(|(_, epoch)| *epoch).max().unwrap_or(0);
        own.max(seen + 1)
    }

    fn is_released(&self, group: &Group) -> bool {
        self.released.contains(&group.key())
    }
}

/// How long to wait before an order is given again.
fn retry_pause(order: &Order) -> Duration {
    match order {
        Order::Open { .. } | Order::Leave { .. } | Order::Probe => Duration::from_millis(100),
        Order::Join { .. } | Order::Close { .. } => Duration::from_millis(250),
        Order::Stage { .. } => Duration::from_secs(1),
    }
}

/// Returns the name of a group of `head` at `epoch`.
fn group_name(epoch: Generation, head: &Server) -> GroupId {
    format!("g{epoch}-{}@{}", head.id, head.address).into()
}

/// Returns whether `server` is the head of the group `key`.
fn is_head(server: &str, key: &GroupKey) -> bool {
    head_in_name(&key.0).is_some_and(|(head, _)| head == server)
}

/// Returns the id and address of the head that a group's name tells.
fn head_in_name(group: &str) -> Option<(&str, SocketAddr)> {
    let (id, address) = group.split_once('-')?.1.rsplit_once('@')?;
    Some((id, address.parse().ok()?))
}
