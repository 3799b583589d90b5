//! The owner of a service's groups: its memory and the orders that it issues.
//!
//! [`Owner::decide`] derives orders from the servers' reports; [`Owner::handle_reply`] processes
//! the replies. The owner's memory only saves time: an owner that starts without any finds all that
//! it needs in the reports.
//!
//! Invariants:
//! - A group is ordered to open only after every member was observed as joined under its name and
//!   epoch.
//! - A server is ordered to join only if the head of its current group can no longer serve that
//!   group: the head has acknowledged an order to leave it, reports a higher epoch, has given the
//!   group up, or is gone for good; or this owner formed the group and never ordered it to open. A
//!   report of the head that doesn't mention the group proves nothing, since the head may have lost
//!   its connection to the store. Nor does an order that it leaves unanswered: it is gone once its report is
//!   missing and no process has been able to connect to it for some time.
//! - A group is not opened if an order to join went unanswered by its head: if that order and a
//!   late order to open were carried out after the head has left the group, they would revive it.
//! - A group is ordered to open only if no order that its members may still carry out, of a former owner or of this one, can
//!   take one of them away or bring the head back once it has left (see `outstanding`). So each member has replied to this owner's
//!   order to join the group, or reports that it carried it out.
//! - A new owner takes a server for free only if that is still true once its orders are the only ones that the server accepts.
//! - The name of a group ends with the id and address of its head, so that every owner can reach
//!   the head, including one that started after the head's report went missing.
//! - Epochs increase with every group, across all owners: they start from the owner's fencing
//!   token.
//! - A server has at most one order in flight.

mod forming;
mod free;
mod groups;
mod outstanding;
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
use crate::server::EPOCH_LIMIT;
use crate::server::InstanceId;
use crate::server::Server;
use crate::server::ServerId;
use crate::server_table::MissingServer;
use crate::spec::EngineSpec;
use crate::utility::Requirement;

use forming::FormingGroups;
use outstanding::OutstandingOrders;
use rebalance::FabricEvaluation;
use rebalance::Rebalance;
use stall::ProbeRound;

/// Low bits of an epoch that count the groups of one owner; the fencing token takes the bits above.
const EPOCH_COUNT_BITS: u32 = 16;
/// Reported epochs from here on were given out by no owner. Exceeding them would leave no room below
/// [`EPOCH_LIMIT`].
const MAX_RELIED_EPOCH: Generation = EPOCH_LIMIT / 2;
/// Maximum age of a report before it goes missing: until this has passed, a new owner can't tell
/// whether a server that looks free has joined a group that lacks a member.
const MAX_REPORT_AGE: Duration = Duration::from_secs(4);
/// How long an incomplete group that another owner formed is left as it is.
const INCOMPLETE_GRACE: Duration = Duration::from_millis(1_000);
/// How long a group that another owner formed may have members that are still joining.
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
    /// Start to take requests.
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
    /// Reply, without any effect.
    Probe,
    /// Reply, without any effect, unless the server is in another group than this one. From then on it refuses the orders of
    /// former owners.
    Confirm {
        /// The group in the server's report, if any.
        group: Option<GroupKey>,
    },
}

/// An order with its recipient.
#[data]
pub struct Command {
    /// Number of the order.
    pub id: OrderId,
    /// The recipient.
    pub server: ServerId,
    /// The address on which the recipient listens.
    pub address: SocketAddr,
    /// The owner's fencing token.
    pub fencing_token: u64,
    /// The order.
    pub order: Order,
}

/// Outcome of an order.
#[key]
pub enum Reply {
    /// The order has taken effect.
    Done,
    /// The server is carrying out the order.
    Begun,
    /// The order doesn't fit the server's state.
    Rejected,
    /// The server has seen a newer owner or a newer epoch.
    Fenced,
    /// Another server listens on that address now.
    Elsewhere,
    /// The connection was refused: nothing listens on that address.
    Refused,
    /// The server doesn't understand the order.
    Invalid,
    /// No reply: the order may be carried out, possibly later.
    Unanswered(Sight),
}

/// What was seen of a server that left an order unanswered.
#[key]
pub enum Sight {
    /// Nothing: it wasn't looked for.
    NotLooked,
    /// It accepts connections.
    Listening,
    /// Neither the owner nor another process can connect to it.
    Unreachable,
}

/// The input of a decision.
pub struct ObservedState<'a> {
    /// The service whose groups are owned.
    pub service: &'a str,
    /// All servers with a current report.
    pub servers: &'a BTreeMap<ServerId, Server>,
    /// Servers whose reports are missing.
    pub missing: &'a BTreeMap<ServerId, MissingServer>,
    /// The groups of the service that these reports show.
    pub groups: &'a ObservedGroups,
    /// Performance figures of the engines.
    pub engine: &'a EngineSpec,
    /// Share of each model in the total work that callers request.
    pub demand: &'a BTreeMap<ModelId, f64>,
    /// Groups of each model at which the requests of all callers meet their target, where reported.
    pub required_groups: &'a BTreeMap<ModelId, f64>,
    /// Heads of groups that are stalled for all their requests.
    pub stalled_heads: &'a BTreeSet<ServerId>,
    /// The failure domains that operators evacuate.
    pub evacuated: &'a BTreeSet<FailureDomainId>,
    /// Whether no request has arrived yet, so that loads are fast and not counted by the platform.
    pub before_traffic: bool,
    /// Current time.
    pub now: Mono,
}

impl ObservedState<'_> {
    /// Returns whether the failure domain of `server` is being evacuated, so that it must not join, open
    /// or stage anything.
    fn is_evacuated(&self, server: &Server) -> bool {
        self.evacuated.contains(&server.failure_domain)
    }

    /// Returns whether a member of `group` is in a failure domain that is being evacuated, so that the
    /// group gets no requests and is no supply.
    fn is_group_evacuated(&self, group: &Group) -> bool {
        let mut members = group.members.values().filter_map(|id| self.latest_report(id));
        !self.evacuated.is_empty() && members.any(|server| self.is_evacuated(server))
    }

    /// Returns the current report of server `id`, or its last one if that is missing.
    fn latest_report(&self, id: &str) -> Option<&Server> {
        let missing = self.missing.get(id).map(|missing| &missing.server);
        self.servers.get(id).or(missing)
    }
}

#[derive(Clone, Debug)]
struct InFlight {
    server: ServerId,
    /// The instance that the order is meant for; `None` if only the server's id and address are known.
    instance: Option<InstanceId>,
    order: Order,
}

/// An order to join that was sent to a server.
#[derive(Clone, Debug)]
struct JoinOrder {
    key: GroupKey,
    /// Whether the server acknowledged the order.
    accepted: bool,
}

/// A head that left orders unanswered, and has answered none since.
#[derive(Clone, Copy, Debug, Default)]
struct UnansweredOrders {
    /// Since when it can't be reached, and when that was last seen; `None` once a connection has shown that it listens.
    unreached: Option<(Mono, Mono)>,
}

/// The owner of one service's groups.
#[derive(Clone, Debug)]
pub struct Owner {
    fencing_token: u64,
    started: Mono,
    next_group: u64,
    /// The epoch of the last group.
    last_epoch: Generation,
    next_order: OrderId,
    load_limiter: LoadLimiter,
    forming: FormingGroups,
    in_flight: BTreeMap<OrderId, InFlight>,
    /// The servers to which an order is in flight.
    busy: BTreeSet<ServerId>,
    /// Groups whose head can no longer serve them.
    released: BTreeSet<GroupKey>,
    /// Groups whose head leaves orders unanswered.
    unanswered: BTreeMap<GroupKey, UnansweredOrders>,
    /// The last order to join sent to each server, whose report may be older than the order.
    last_joins: BTreeMap<InstanceId, JoinOrder>,
    outstanding: OutstandingOrders,
    /// Since when a group that another owner formed is being adopted.
    adopting_since: BTreeMap<GroupKey, Mono>,
    /// When an incomplete group was first observed as such.
    incomplete_since: BTreeMap<GroupKey, Mono>,
    /// Groups that are being retired for others.
    retiring_groups: BTreeSet<GroupKey>,
    /// Rebalances in progress, by fabric domain.
    rebalances: BTreeMap<FabricId, Rebalance>,
    /// The last evaluation of each fabric domain for a rebalance.
    evaluations: BTreeMap<FabricId, FabricEvaluation>,
    /// The groups that each model requires, where reported.
    requirements: BTreeMap<ModelId, Requirement>,
    /// When a group was first ordered to close.
    closed_at: BTreeMap<GroupKey, Mono>,
    /// Models that are being staged, and the timeout of each staging.
    staging: BTreeMap<InstanceId, (ModelId, Mono)>,
    /// When a server was last observed for the first time.
    last_arrival: Mono,
    /// The start time of the last observed instance of each server.
    known: BTreeMap<ServerId, u64>,
    /// Probes to the members of stalled groups.
    probe_rounds: BTreeMap<GroupKey, ProbeRound>,
    /// Server instances that failed a probe, and until when they join no group.
    unresponsive_until: BTreeMap<InstanceId, Mono>,
    /// When the next order may be sent to a server.
    retry_at: BTreeMap<ServerId, Mono>,
    fenced: bool,
}

impl Owner {
    /// Creates an owner that holds the fencing token `fencing_token` since `now`.
    pub fn new(fencing_token: u64, now: Mono) -> Self {
        Owner {
            fencing_token,
            started: now,
            next_group: 0,
            last_epoch: 0,
            next_order: 0,
            load_limiter: LoadLimiter::new(now),
            forming: FormingGroups::default(),
            in_flight: BTreeMap::new(),
            busy: BTreeSet::new(),
            released: BTreeSet::new(),
            unanswered: BTreeMap::new(),
            last_joins: BTreeMap::new(),
            outstanding: OutstandingOrders::default(),
            adopting_since: BTreeMap::new(),
            incomplete_since: BTreeMap::new(),
            retiring_groups: BTreeSet::new(),
            rebalances: BTreeMap::new(),
            evaluations: BTreeMap::new(),
            requirements: BTreeMap::new(),
            closed_at: BTreeMap::new(),
            staging: BTreeMap::new(),
            last_arrival: now,
            known: BTreeMap::new(),
            probe_rounds: BTreeMap::new(),
            unresponsive_until: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            fenced: false,
        }
    }

    /// Returns whether a server has obeyed a newer owner, so that this one must step down.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the orders that the observed state requires.
    pub fn decide(&mut self, observed: &ObservedState<'_>) -> Vec<Command> {
        self.update_memory(observed);
        self.update_requirements(observed);
        let mut commands = Vec::new();
        self.advance_forming(observed, &mut commands);
        self.maintain_groups(observed, &mut commands);
        self.check_stalled_groups(observed, &mut commands);
        self.confirm_free(observed, &mut commands);
        let free = self.free_by_fabric(observed);
        self.rebalance(&free, observed);
        self.form_groups(free, observed, &mut commands);
        self.stage_models(observed, &mut commands);
        commands
    }

    /// Processes the reply to order `id`; returns the order, for the log.
    pub fn handle_reply(&mut self, id: OrderId, reply: Reply, now: Mono) -> Option<Order> {
        let InFlight { server, instance, order } = self.in_flight.remove(&id)?;
        self.busy.remove(&server);
        let is_repeated = matches!(order, Order::Close { .. });
        let failed = match reply {
            Reply::Rejected | Reply::Invalid => true,
            Reply::Unanswered(_) | Reply::Refused => true,
            Reply::Done | Reply::Begun | Reply::Fenced | Reply::Elsewhere => false,
        };
        if order != Order::Probe && (is_repeated || failed) {
            self.retry_at.insert(server.clone(), now + retry_pause(&order));
        }
        match reply {
            // An order without a reply shows nothing.
            Reply::Unanswered(Sight::NotLooked | Sight::Unreachable) => {}
            Reply::Unanswered(Sight::Listening) => self.note_listening(&server),
            Reply::Refused | Reply::Elsewhere => {}
            _ => self.unanswered.retain(|key, _| !is_head(&server, key)),
        }
        match (&order, reply) {
            (_, Reply::Fenced) => self.fenced = true,
            (Order::Probe, _) => self.handle_probe_reply(&server, reply),
            (Order::Confirm { .. }, Reply::Done | Reply::Begun) => {
                if let Some(instance) = instance {
                    self.outstanding.note_confirmed(instance);
                }
            }
            (Order::Join { group, .. }, _) => self.handle_join_reply(group, &server, reply, now),
            (Order::Open { group, .. }, _) => self.handle_open_reply(group, reply, now),
            (Order::Leave { group, epoch }, Reply::Done | Reply::Begun) => {
                self.last_joins.retain(|(id, _), _| *id != server);
                self.released.insert((group.clone(), *epoch));
            }
            (Order::Leave { group, epoch }, Reply::Elsewhere) => {
                self.released.insert((group.clone(), *epoch));
            }
            // One refused connection proves nothing: a draining head stops listening before it stops
            // serving.
            (
                Order::Leave { group, epoch },
                Reply::Unanswered(Sight::Unreachable) | Reply::Refused,
            ) => {
                self.note_unreached((group.clone(), *epoch), now);
            }
            (Order::Leave { group, epoch }, _) => {
                self.unanswered.entry((group.clone(), *epoch)).or_default();
            }
            (Order::Stage { .. }, Reply::Done | Reply::Begun) => {}
            (Order::Stage { .. }, _) => self.staging.retain(|(id, _), _| *id != server),
            _ => {}
        }
        Some(order)
    }

    /// Records new servers, and drops the memory of what no report mentions any more.
    fn update_memory(&mut self, observed: &ObservedState<'_>) {
        let is_observed = |key: &GroupKey| observed.groups.by_key.contains_key(key);
        self.last_joins.retain(|instance, _| {
            observed
                .servers
                .get(&instance.0)
                .is_some_and(|server| server.instance_id() == *instance)
        });
        let joined: BTreeSet<&GroupKey> =
            self.last_joins.values().map(|joined| &joined.key).collect();
        self.released.retain(|key| is_observed(key) || joined.contains(key));
        self.unanswered.retain(|key, _| is_observed(key) || joined.contains(key));
        self.retiring_groups.retain(is_observed);
        self.closed_at.retain(|key, _| is_observed(key));
        self.incomplete_since.retain(|key, _| is_observed(key));
        self.adopting_since.retain(|key, _| is_observed(key));
        self.outstanding.forget(observed);
        let now = observed.now;
        self.staging.retain(|instance, (model, until)| {
            let server = observed
                .servers
                .get(&instance.0)
                .filter(|server| server.instance_id() == *instance);
            server.is_some_and(|server| !server.staged_models.contains(model)) && *until > now
        });
        self.retry_at.retain(|_, at| *at > now);
        for server in
            observed.servers.values().filter(|server| &*server.service == observed.service)
        {
            if self.known.get(&server.id) != Some(&server.started_at_ms) {
                self.known.insert(server.id.clone(), server.started_at_ms);
                self.last_arrival = now;
            }
        }
    }

    /// Sends `order` to `server`, unless an order is in flight there or it must wait before the
    /// next.
    fn send_order(&mut self, server: &Server, order: Order, commands: &mut Vec<Command>) -> bool {
        let recipient =
            InFlight { server: server.id.clone(), instance: Some(server.instance_id()), order };
        self.send(recipient, server.address, commands)
    }

    /// Sends `order` to the server `id` at `address`, as [`Owner::send_order`] does.
    fn send_order_to(
        &mut self,
        server: &str,
        address: SocketAddr,
        order: Order,
        commands: &mut Vec<Command>,
    ) -> bool {
        let recipient = InFlight { server: server.into(), instance: None, order };
        self.send(recipient, address, commands)
    }

    fn send(
        &mut self,
        in_flight: InFlight,
        address: SocketAddr,
        commands: &mut Vec<Command>,
    ) -> bool {
        if !self.accepts_orders(&in_flight.server) {
            return false;
        }
        let (server, order) = (in_flight.server.clone(), in_flight.order.clone());
        match &order {
            Order::Join { group, epoch, .. } => {
                self.outstanding.note_join(&server, &(group.clone(), *epoch));
            }
            Order::Open { group, epoch } => self.outstanding.note_open((group.clone(), *epoch)),
            _ => {}
        }
        self.next_order += 1;
        let id = self.next_order;
        self.busy.insert(server.clone());
        self.in_flight.insert(id, in_flight);
        commands.push(Command { id, server, address, fencing_token: self.fencing_token, order });
        true
    }

    /// Notes that the head of a group can't be reached.
    fn note_unreached(&mut self, key: GroupKey, now: Mono) {
        let unanswered = self.unanswered.entry(key).or_default();
        let since = unanswered.unreached.map_or(now, |(since, _)| since);
        unanswered.unreached = Some((since, now));
    }

    /// Notes that a server listens, though it has left an order unanswered.
    fn note_listening(&mut self, server: &str) {
        let of_server = self.unanswered.iter_mut().filter(|(key, _)| is_head(server, key));
        of_server.for_each(|(_, unanswered)| unanswered.unreached = None);
    }

    fn has_order_in_flight(&self, server: &str) -> bool {
        self.busy.contains(server)
    }

    /// Returns whether `server` may get an order now: none is in flight, and it need not wait after a
    /// failed one.
    fn accepts_orders(&self, server: &str) -> bool {
        !self.has_order_in_flight(server) && !self.retry_at.contains_key(server)
    }

    fn next_epoch(&mut self, groups: &ObservedGroups) -> Generation {
        self.next_group += 1;
        let own = (self.fencing_token << EPOCH_COUNT_BITS) + self.next_group;
        let epochs = groups.by_key.keys().map(|(_, epoch)| *epoch);
        let seen = epochs.filter(|epoch| *epoch < MAX_RELIED_EPOCH).max().unwrap_or(0);
        // An epoch that was seen may be out of sight again, with orders outstanding that carry it.
        self.last_epoch = own.max(seen + 1).max(self.last_epoch + 1);
        self.last_epoch
    }

    fn is_released(&self, group: &Group) -> bool {
        self.released.contains(&group.key())
    }
}

/// Returns the pause after `order` before the server gets another order.
fn retry_pause(order: &Order) -> Duration {
    match order {
        Order::Open { .. } | Order::Leave { .. } | Order::Probe => Duration::from_millis(100),
        Order::Join { .. } | Order::Close { .. } => Duration::from_millis(250),
        Order::Confirm { .. } => Duration::from_millis(300),
        Order::Stage { .. } => Duration::from_secs(1),
    }
}

/// Returns the name of a group with `head` at `epoch`, formed by the owner with `fencing_token`.
fn group_name(fencing_token: u64, epoch: Generation, head: &Server) -> GroupId {
    // An epoch that was seen may be followed by the same one of another owner.
    let is_own_epoch = epoch >> EPOCH_COUNT_BITS == fencing_token;
    let owner = if is_own_epoch { String::new() } else { format!("o{fencing_token}") };
    format!("g{epoch}{owner}-{}@{}", head.id, head.address).into()
}

/// Returns whether `server` is the head of the group `key`.
fn is_head(server: &str, key: &GroupKey) -> bool {
    head_in_name(&key.0).is_some_and(|(head, _)| head == server)
}

/// Returns the id and address of the head, as encoded in the name of a group.
fn head_in_name(group: &str) -> Option<(&str, SocketAddr)> {
    let (id, address) = group.split_once('-')?.1.rsplit_once('@')?;
    Some((id, address.parse().ok()?))
}
