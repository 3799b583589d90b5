//! Groups that are being formed: joins until all members have joined, then the order to open.

use base::prelude::*;

use super::Command;
use super::Joined;
use super::Order;
use super::Owner;
use super::Reply;
use super::View;
use crate::census::Census;
use crate::census::Group;
use crate::server::Life;
use crate::server::Phase;
use crate::server::Server;
use crate::server::ServerState;

/// How often an accepted join is asked after, once it should be done.
const POLL: Duration = Duration::from_millis(200);
/// How long after its expected end a join is given up.
const OVERDUE: Duration = Duration::from_secs(20);

/// How far the join of one member is.
#[data]
pub(super) enum Join {
    /// Not ordered yet, or to be ordered again.
    Due,
    /// Accepted; expected to be done at this time.
    Begun(Mono),
    /// The member has joined.
    Done,
}

/// How far the opening of a group is.
#[data]
pub(super) enum Opening {
    /// Not ordered yet, or to be ordered again.
    Due,
    /// Ordered; the head takes requests soon after this time.
    Begun(Mono),
    /// Not to be ordered at all.
    Never,
}

/// A group that is being formed.
#[data]
pub(super) struct Forming {
    /// Its model.
    pub(super) model: ModelId,
    /// Its epoch.
    pub(super) epoch: Generation,
    /// Its members by rank.
    pub(super) members: Vec<Life>,
    /// How far each member's join is.
    pub(super) joins: Vec<Join>,
    /// How long each member's join takes.
    pub(super) times: Vec<Duration>,
    /// How far the opening is.
    pub(super) opening: Opening,
    /// Whether the group may have been ordered to open.
    pub(super) open_ordered: bool,
    /// When it is given up.
    pub(super) deadline: Mono,
}

impl Forming {
    /// Makes a group whose joins are all due.
    pub(super) fn new(
        model: ModelId,
        epoch: Generation,
        members: Vec<Life>,
        times: Vec<Duration>,
        now: Mono,
    ) -> Self {
        let longest = times.iter().max().copied().unwrap_or_default();
        Forming {
            model,
            epoch,
            joins: vec![Join::Due; members.len()],
            members,
            times,
            opening: Opening::Due,
            open_ordered: false,
            deadline: now + longest * 2 + OVERDUE,
        }
    }

    /// Makes a group of one server that is never opened.
    pub(super) fn solo(
        model: ModelId,
        epoch: Generation,
        member: Life,
        times: Vec<Duration>,
        now: Mono,
    ) -> Self {
        let forming = Forming::new(model, epoch, vec![member], times, now);
        Forming { opening: Opening::Never, ..forming }
    }

    /// Makes a group that another owner has formed and that only needs to be opened.
    pub(super) fn adopted(group: &Group, members: Vec<Life>, now: Mono) -> Self {
        let model = group.model.clone().unwrap_or_default();
        let times = vec![Duration::ZERO; members.len()];
        let mut forming = Forming::new(model, group.epoch, members, times, now);
        forming.joins.fill(Join::Done);
        forming.open_ordered = true;
        forming
    }

    fn is_joined(&self) -> bool {
        self.joins.iter().all(|join| *join == Join::Done)
    }
}

impl Owner {
    /// Goes on with every group that is being formed.
    pub(super) fn drive_forming(
        &mut self,
        view: &View<'_>,
        census: &Census,
        commands: &mut Vec<Command>,
    ) {
        let names: Vec<GroupId> = self.forming.keys().cloned().collect();
        for name in names {
            let Some(mut forming) = self.forming.remove(&name) else { continue };
            let group = census.groups.get(&(name.clone(), forming.epoch));
            if group.is_some_and(|group| group.head_phase == Some(Phase::Open)) {
                continue;
            }
            if view.now >= forming.deadline || !self.members_live(&forming, view) {
                if !forming.open_ordered {
                    self.released.insert((name, forming.epoch));
                }
                continue;
            }
            self.drive_joins(&name, &mut forming, view, commands);
            if forming.is_joined() && forming.opening == Opening::Never {
                continue;
            }
            if forming.is_joined() {
                self.drive_opening(&name, &mut forming, view, commands);
            }
            self.forming.insert(name, forming);
        }
    }

    fn members_live(&self, forming: &Forming, view: &View<'_>) -> bool {
        forming.members.iter().all(|life| {
            let server = view.servers.get(&life.0);
            let is_ready =
                server.is_some_and(|s| s.life() == *life && s.state == ServerState::Ready);
            is_ready && !self.left_alone.contains_key(life)
        })
    }

    fn drive_joins(
        &mut self,
        name: &GroupId,
        forming: &mut Forming,
        view: &View<'_>,
        commands: &mut Vec<Command>,
    ) {
        for i in 0..forming.members.len() {
            let server = &view.servers[&forming.members[i].0];
            if has_joined(server, name, forming.epoch) {
                forming.joins[i] = Join::Done;
            }
            let due = match forming.joins[i] {
                Join::Due => true,
                Join::Begun(done_at) => view.now >= done_at,
                Join::Done => false,
            };
            if !due {
                continue;
            }
            let members = forming.members.iter().map(|(id, _)| id.clone()).collect();
            let (group, epoch, model) = (name.clone(), forming.epoch, forming.model.clone());
            self.order(server, Order::Join { group, epoch, model, members }, commands);
        }
    }

    fn drive_opening(
        &mut self,
        name: &GroupId,
        forming: &mut Forming,
        view: &View<'_>,
        commands: &mut Vec<Command>,
    ) {
        let due = match forming.opening {
            Opening::Due => true,
            Opening::Begun(done_at) => view.now >= done_at,
            Opening::Never => false,
        };
        if due {
            let head = &view.servers[&forming.members[0].0];
            let order = Order::Open { group: name.clone(), epoch: forming.epoch };
            forming.open_ordered |= self.order(head, order, commands);
        }
    }

    /// Takes the answer to an order to join.
    pub(super) fn join_answered(&mut self, group: &GroupId, server: &str, reply: Reply, now: Mono) {
        let Some(forming) = self.forming.get_mut(group) else { return };
        let Some(i) = forming.members.iter().position(|(id, _)| &**id == server) else { return };
        let accepted = matches!(reply, Reply::Done | Reply::Begun);
        if accepted || reply == Reply::Unanswered {
            let joined = Joined { key: (group.clone(), forming.epoch), accepted };
            self.joined.insert(forming.members[i].clone(), joined);
        }
        match reply {
            Reply::Done => forming.joins[i] = Join::Done,
            Reply::Begun if matches!(forming.joins[i], Join::Begun(_)) => {
                forming.joins[i] = Join::Begun(now + POLL);
            }
            Reply::Begun => forming.joins[i] = Join::Begun(now + forming.times[i]),
            // It may be carried out late: a new group has a new epoch, which rules that out.
            Reply::Unanswered if i == 0 => forming.deadline = now,
            // It is being carried out, or the order comes again.
            Reply::Rejected | Reply::Unanswered | Reply::Invalid => {}
            Reply::Fenced | Reply::Elsewhere | Reply::Refused => forming.deadline = now,
        }
    }

    pub(super) fn opened(&mut self, group: &GroupId, reply: Reply, now: Mono) {
        let Some(forming) = self.forming.get_mut(group) else { return };
        match reply {
            Reply::Done | Reply::Begun => forming.opening = Opening::Begun(now + POLL * 5),
            Reply::Rejected | Reply::Unanswered | Reply::Invalid => {}
            Reply::Fenced | Reply::Elsewhere | Reply::Refused => forming.deadline = now,
        }
    }
}

/// Returns whether `server` reports that it has joined the group.
fn has_joined(server: &Server, group: &str, epoch: Generation) -> bool {
    server.within(group, epoch).is_some_and(|m| matches!(m.phase, Phase::Ready | Phase::Open))
}
