//! Groups that are being formed.
//!
//! First every member is ordered to join, and accepted joins are polled until all members have
//! joined; then the head is ordered to open. Forming is given up if a member drains, is evacuated,
//! restarts, goes missing or becomes unresponsive, if a connection for an order is refused, if the
//! head leaves an order to join unanswered, or when the deadline has passed. A group that is given up
//! before it was ordered to open counts as released, so that its members are free at once; otherwise
//! its head must leave it first.

use std::collections::BTreeMap;

use base::prelude::*;

use super::Command;
use super::JoinOrder;
use super::ObservedState;
use super::Order;
use super::Owner;
use super::Reply;
use crate::observed_groups::Group;
use crate::server::InstanceId;
use crate::server::Phase;
use crate::server::Server;
use crate::server::ServerId;
use crate::server::ServerState;

/// Interval at which an accepted join is polled once its expected duration has passed.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time that is added to twice the expected duration of the longest join before a forming group is
/// given up.
const JOIN_GRACE: Duration = Duration::from_secs(20);

/// Progress of the join of one member.
#[data]
pub(super) enum JoinProgress {
    /// Not ordered yet, or to be ordered again.
    Due,
    /// Accepted by the member; expected to be done at this time.
    Begun(Mono),
    /// The member has joined.
    Done,
}

/// Progress of the opening of a group.
#[data]
pub(super) enum OpenProgress {
    /// Not ordered yet, or to be ordered again.
    Due,
    /// Accepted by the head; the order is repeated at this time unless the head reports open
    /// before.
    Begun(Mono),
    /// The group is never opened.
    Never,
}

/// A group that is being formed.
#[data]
pub(super) struct FormingGroup {
    /// Its model.
    pub(super) model: ModelId,
    /// Its epoch.
    pub(super) epoch: Generation,
    /// Its members by rank.
    pub(super) members: Vec<InstanceId>,
    /// Progress of each member's join.
    pub(super) joins: Vec<JoinProgress>,
    /// Expected duration of each member's join.
    pub(super) join_times: Vec<Duration>,
    /// Progress of the opening.
    pub(super) opening: OpenProgress,
    /// Whether the group may have been ordered to open.
    pub(super) open_ordered: bool,
    /// Whether another owner has formed it, so that what its members report shows nothing of this owner's orders.
    pub(super) is_adopted: bool,
    /// Time at which forming the group is given up.
    pub(super) deadline: Mono,
}

impl FormingGroup {
    /// Creates a group whose joins are all due.
    pub(super) fn new(
        model: ModelId,
        epoch: Generation,
        members: Vec<InstanceId>,
        join_times: Vec<Duration>,
        now: Mono,
    ) -> Self {
        let longest = join_times.iter().max().copied().unwrap_or_default();
        FormingGroup {
            model,
            epoch,
            joins: vec![JoinProgress::Due; members.len()],
            members,
            join_times,
            opening: OpenProgress::Due,
            open_ordered: false,
            is_adopted: false,
            deadline: now + longest * 2 + JOIN_GRACE,
        }
    }

    /// Creates a group of a single server that is never opened.
    pub(super) fn warm_spare(
        model: ModelId,
        epoch: Generation,
        member: InstanceId,
        join_times: Vec<Duration>,
        now: Mono,
    ) -> Self {
        let forming = FormingGroup::new(model, epoch, vec![member], join_times, now);
        FormingGroup { opening: OpenProgress::Never, ..forming }
    }

    /// Creates a group that another owner has formed, which may have ordered it to open.
    pub(super) fn adopted(group: &Group, members: Vec<InstanceId>, deadline: Mono) -> Self {
        let model = group.model.clone().unwrap_or_default();
        let join_times = vec![Duration::ZERO; members.len()];
        let forming = FormingGroup::new(model, group.epoch, members, join_times, deadline);
        FormingGroup { open_ordered: true, is_adopted: true, deadline, ..forming }
    }

    fn is_joined(&self) -> bool {
        self.joins.iter().all(|join| *join == JoinProgress::Done)
    }
}

/// The groups that are being formed, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct FormingGroups {
    by_name: BTreeMap<GroupId, FormingGroup>,
    /// The servers that these groups name as members, and how many groups name each.
    members: BTreeMap<ServerId, usize>,
}

impl FormingGroups {
    /// Adds a group, in place of an earlier one of that name.
    pub(super) fn insert(&mut self, name: GroupId, forming: FormingGroup) {
        self.remove(&name);
        for (id, _) in &forming.members {
            *self.members.entry(id.clone()).or_default() += 1;
        }
        self.by_name.insert(name, forming);
    }

    /// Removes a group.
    pub(super) fn remove(&mut self, name: &str) -> Option<FormingGroup> {
        let forming = self.by_name.remove(name)?;
        for (id, _) in &forming.members {
            if let Some(groups) = self.members.get_mut(id) {
                *groups -= 1;
                if *groups == 0 {
                    self.members.remove(id);
                }
            }
        }
        Some(forming)
    }

    /// Returns whether a group of that name is being formed.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// Returns whether any of the groups names `server` as a member.
    pub(super) fn contains_member(&self, server: &str) -> bool {
        self.members.contains_key(server)
    }

    /// Returns the groups.
    pub(super) fn values(&self) -> impl Iterator<Item = &FormingGroup> {
        self.by_name.values()
    }

    fn names(&self) -> Vec<GroupId> {
        self.by_name.keys().cloned().collect()
    }

    fn get_mut(&mut self, name: &str) -> Option<&mut FormingGroup> {
        self.by_name.get_mut(name)
    }
}

impl Owner {
    /// Advances every group that is being formed.
    pub(super) fn advance_forming(
        &mut self,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        for name in self.forming.names() {
            let Some(mut forming) = self.forming.remove(&name) else { continue };
            let group = observed.groups.by_key.get(&(name.clone(), forming.epoch));
            if group.is_some_and(|group| group.head_phase == Some(Phase::Open)) {
                continue;
            }
            if observed.now >= forming.deadline || !self.all_members_available(&forming, observed) {
                if !forming.open_ordered {
                    self.released.insert((name, forming.epoch));
                }
                continue;
            }
            self.advance_joins(&name, &mut forming, observed, commands);
            if forming.is_joined() && forming.opening == OpenProgress::Never {
                continue;
            }
            if forming.is_joined() {
                self.advance_opening(&name, &mut forming, observed, commands);
            }
            self.forming.insert(name, forming);
        }
    }

    fn all_members_available(&self, forming: &FormingGroup, observed: &ObservedState<'_>) -> bool {
        forming.members.iter().all(|instance| {
            let server = observed.servers.get(&instance.0);
            let is_ready = server
                .is_some_and(|s| s.instance_id() == *instance && s.state == ServerState::Ready);
            is_ready
                && !self.unresponsive_until.contains_key(instance)
                && !server.is_some_and(|server| observed.is_evacuated(server))
        })
    }

    fn advance_joins(
        &mut self,
        name: &GroupId,
        forming: &mut FormingGroup,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        for i in 0..forming.members.len() {
            let server = &observed.servers[&forming.members[i].0];
            if !forming.is_adopted && has_joined(server, name, forming.epoch) {
                forming.joins[i] = JoinProgress::Done;
            }
            let due = match forming.joins[i] {
                JoinProgress::Due => true,
                JoinProgress::Begun(done_at) => observed.now >= done_at,
                JoinProgress::Done => false,
            };
            if !due {
                continue;
            }
            let members = forming.members.iter().map(|(id, _)| id.clone()).collect();
            let (group, epoch, model) = (name.clone(), forming.epoch, forming.model.clone());
            self.send_order(server, Order::Join { group, epoch, model, members }, commands);
        }
    }

    fn advance_opening(
        &mut self,
        name: &GroupId,
        forming: &mut FormingGroup,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let due = match forming.opening {
            OpenProgress::Due => true,
            OpenProgress::Begun(done_at) => observed.now >= done_at,
            OpenProgress::Never => false,
        };
        if due {
            let head = &observed.servers[&forming.members[0].0];
            let order = Order::Open { group: name.clone(), epoch: forming.epoch };
            forming.open_ordered |= self.send_order(head, order, commands);
        }
    }

    /// Processes the reply to an order to join.
    pub(super) fn handle_join_reply(
        &mut self,
        group: &GroupId,
        server: &str,
        reply: Reply,
        now: Mono,
    ) {
        let Some(forming) = self.forming.get_mut(group) else { return };
        let Some(i) = forming.members.iter().position(|(id, _)| &**id == server) else { return };
        let accepted = matches!(reply, Reply::Done | Reply::Begun);
        if matches!(reply, Reply::Unanswered(_)) {
            self.outstanding.note_unanswered_join(server, (group.clone(), forming.epoch));
        }
        if accepted || matches!(reply, Reply::Unanswered(_)) {
            let joined = JoinOrder { key: (group.clone(), forming.epoch), accepted };
            self.last_joins.insert(forming.members[i].clone(), joined);
        }
        match reply {
            Reply::Done => forming.joins[i] = JoinProgress::Done,
            Reply::Begun if matches!(forming.joins[i], JoinProgress::Begun(_)) => {
                forming.joins[i] = JoinProgress::Begun(now + POLL_INTERVAL);
            }
            Reply::Begun => forming.joins[i] = JoinProgress::Begun(now + forming.join_times[i]),
            // The order may be carried out late. A replacement group has a new epoch, which fences
            // the old one.
            Reply::Unanswered(_) if i == 0 => forming.deadline = now,
            // Either the order is being carried out, or it will be sent again.
            Reply::Rejected | Reply::Unanswered(_) | Reply::Invalid => {}
            Reply::Fenced | Reply::Elsewhere | Reply::Refused => forming.deadline = now,
        }
    }

    /// Processes the reply to an order to open.
    pub(super) fn handle_open_reply(&mut self, group: &GroupId, reply: Reply, now: Mono) {
        let Some(forming) = self.forming.get_mut(group) else { return };
        match reply {
            Reply::Done | Reply::Begun => {
                forming.opening = OpenProgress::Begun(now + POLL_INTERVAL * 5)
            }
            Reply::Rejected | Reply::Unanswered(_) | Reply::Invalid => {}
            Reply::Fenced | Reply::Elsewhere | Reply::Refused => forming.deadline = now,
        }
    }
}

/// Returns whether `server` reports that it has joined the group.
fn has_joined(server: &Server, group: &str, epoch: Generation) -> bool {
    server
        .membership_in(group, epoch)
        .is_some_and(|m| matches!(m.phase, Phase::Ready | Phase::Open))
}
