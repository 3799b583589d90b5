//! The replica groups as routing sees them.

use std::net::SocketAddr;

use base::prelude::*;

use crate::record::GroupState;

/// One replica group as routing sees it.
#[data]
pub struct GroupView {
    /// The name of the group.
    pub id: GroupId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapters that are loaded.
    pub adapters: Vec<AdapterId>,
    /// The fencing token.
    pub generation: Generation,
    /// Its state.
    pub state: GroupState,
    /// The address at which rank 0 listens.
    pub leader: SocketAddr,
    /// When its routing lease expires, on this process's monotonic clock.
    pub lease_expiry: Mono,
    /// Queued requests at its engine, as last reported.
    pub queued: u32,
    /// Running requests at its engine, as last reported.
    pub running: u32,
    /// When that report was received, on this process's monotonic clock.
    pub reported_at: Mono,
}

impl GroupView {
    /// Returns whether new requests may be sent to the group at `now`.
    pub fn is_routable(&self, now: Mono) -> bool {
        self.state == GroupState::Serving && now < self.lease_expiry
    }
}

/// All groups known to routing, ordered by name.
#[data]
#[derive(Default)]
pub struct GroupTable {
    /// The groups.
    pub groups: Vec<GroupView>,
}
