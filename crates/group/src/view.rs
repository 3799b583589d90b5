//! What routing knows of the replica groups.

use std::net::SocketAddr;

use base::prelude::*;

use crate::record::GroupState;

/// What routing knows of one group.
#[data]
pub struct GroupView {
    /// Its name.
    pub id: GroupId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapters that are loaded.
    pub adapters: Vec<AdapterId>,
    /// The fencing number.
    pub generation: Generation,
    /// Its state.
    pub state: GroupState,
    /// Where rank 0 listens.
    pub leader: SocketAddr,
    /// Until when a keeper vouches for it, on this process's monotonic clock.
    pub lease_expiry: Mono,
    /// Requests that wait at its engine, as last reported.
    pub queued: u32,
    /// Requests that run at its engine, as last reported.
    pub running: u32,
    /// When that report was made, on this process's monotonic clock.
    pub reported_at: Mono,
}

impl GroupView {
    /// Returns whether the group may get new work at `now`.
    pub fn is_routable(&self, now: Mono) -> bool {
        self.state == GroupState::Serving && now < self.lease_expiry
    }
}

/// All groups that routing knows, in the order of their names.
#[data]
#[derive(Default)]
pub struct GroupTable {
    /// The groups.
    pub groups: Vec<GroupView>,
}
