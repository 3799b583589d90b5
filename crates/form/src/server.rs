//! The report of a backend server.

use std::net::SocketAddr;

use base::prelude::*;

/// Epochs of groups are below this; those that owners give out, from revisions of the store, are far
/// below.
pub const EPOCH_LIMIT: Generation = 1 << 53;

/// Id of a backend server. A restarted server may keep its id; see [`InstanceId`].
pub type ServerId = Box<str>;

/// One instance of a backend server, from its start to its end: the server's id and the start time
/// in Unix milliseconds.
///
/// A restarted server has lost all its state, so knowledge of an earlier instance doesn't apply to
/// it.
pub type InstanceId = (ServerId, u64);

/// Whether a backend server takes new work.
#[key]
pub enum ServerState {
    /// The server takes work.
    Ready,
    /// The server finishes the work that it has and will leave.
    Draining,
}

/// Progress of a member in its group.
#[key]
pub enum Phase {
    /// The member loads weights or connects to the others.
    Joining,
    /// The member has joined; the head is not open.
    Ready,
    /// The head takes requests.
    Open,
    /// The head takes no new requests and finishes those that run.
    Closing,
    /// The head has given up the group.
    Broken,
}

/// The membership of a backend server in a group.
#[data]
pub struct Membership {
    /// Name of the group.
    pub group: GroupId,
    /// Epoch of the group: a server refuses a join with an epoch below the highest it has seen.
    pub epoch: Generation,
    /// The server's rank; the head has rank 0.
    pub rank: usize,
    /// Progress of the server.
    pub phase: Phase,
}

/// The last report of a backend server.
#[data]
pub struct Server {
    /// The server's id.
    pub id: ServerId,
    /// Start time of this instance in Unix milliseconds; zero if the server doesn't report it.
    pub started_at_ms: u64,
    /// Number of orders that this instance has accepted.
    pub accepted_orders: u64,
    /// The service that the server belongs to.
    pub service: ServiceId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Its fabric domain; `None` if it belongs to no model service.
    pub fabric: Option<FabricId>,
    /// Requests that it runs concurrently.
    pub slots: usize,
    /// Whether it takes work.
    pub state: ServerState,
    /// How much longer it stays slow after its start.
    pub warmup_remaining: Duration,
    /// The model whose weights are loaded in its accelerators.
    pub model: Option<ModelId>,
    /// Models whose weights are staged on its host.
    pub staged_models: Vec<ModelId>,
    /// The group that it is in, if any.
    pub membership: Option<Membership>,
}

impl Server {
    /// Returns the instance that made this report.
    pub fn instance_id(&self) -> InstanceId {
        (self.id.clone(), self.started_at_ms)
    }

    /// Returns whether this report was made before `other`, a report of the same server.
    pub fn is_older_than(&self, other: &Server) -> bool {
        (self.started_at_ms, self.accepted_orders) < (other.started_at_ms, other.accepted_orders)
    }

    /// Returns the server's membership if it is in `group` at `epoch`.
    pub fn membership_in(&self, group: &str, epoch: Generation) -> Option<&Membership> {
        self.membership.as_ref().filter(|m| &*m.group == group && m.epoch == epoch)
    }
}
