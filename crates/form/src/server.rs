//! What a backend server says of itself.

use std::net::SocketAddr;

use base::prelude::*;

/// Id of a backend server. A restarted server may keep its id; see [`InstanceId`].
pub type ServerId = Box<str>;

/// One life of a backend server: its id and when it started, in Unix milliseconds.
///
/// A server that starts again knows nothing of before, so what was learned of an earlier life
/// says nothing about it.
pub type InstanceId = (ServerId, u64);

/// Whether a backend server takes new work.
#[key]
pub enum ServerState {
    /// It takes work.
    Ready,
    /// It finishes what it has and will leave.
    Draining,
}

/// How far a member of a group is.
#[key]
pub enum Phase {
    /// It loads or connects.
    Joining,
    /// It has joined; the head isn't open.
    Ready,
    /// The head takes requests.
    Open,
    /// The head finishes what it has.
    Closing,
    /// The head has given the group up.
    Broken,
}

/// The group that a backend server is in.
#[data]
pub struct Membership {
    /// Name of the group.
    pub group: GroupId,
    /// Its epoch: a join to a lower one is refused.
    pub epoch: Generation,
    /// The server's rank; the head has rank 0.
    pub rank: usize,
    /// How far the server is.
    pub phase: Phase,
}

/// A backend server as it last reported.
#[data]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// When this life started, in Unix milliseconds; zero if it doesn't say.
    pub started_at_ms: u64,
    /// Orders that it has accepted in this life.
    pub accepted_orders: u64,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Its fabric domain; none if it belongs to no model service.
    pub fabric: Option<FabricId>,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Whether it takes work.
    pub state: ServerState,
    /// How much longer it stays slow after its start.
    pub warmup_remaining: Duration,
    /// The model whose weights it holds in its accelerators.
    pub model: Option<ModelId>,
    /// Models whose weights lie on its host.
    pub staged_models: Vec<ModelId>,
    /// The group that it is in.
    pub membership: Option<Membership>,
}

impl Server {
    /// Returns the life that reported this.
    pub fn instance_id(&self) -> InstanceId {
        (self.id.clone(), self.started_at_ms)
    }

    /// Returns whether this report was made before `other`, of the same server.
    pub fn is_older_than(&self, other: &Server) -> bool {
        (self.started_at_ms, self.accepted_orders) < (other.started_at_ms, other.accepted_orders)
    }

    /// Returns its membership if it is in `group` at `epoch`.
    pub fn membership_in(&self, group: &str, epoch: Generation) -> Option<&Membership> {
        self.membership.as_ref().filter(|m| &*m.group == group && m.epoch == epoch)
    }
}
