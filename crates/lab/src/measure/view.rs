//! Replica groups for measurements without network addresses and group controllers.

use std::net::SocketAddr;
use std::time::Duration;

use group::record::GroupState;
use group::view::GroupView;

/// Returns group number `index`: serving and idle, with a routing lease that never expires.
pub fn idle_group(index: usize) -> GroupView {
    GroupView {
        id: format!("g{index}").into(),
        model: "m".into(),
        version: "v".into(),
        adapters: Vec::new(),
        generation: 1,
        state: GroupState::Serving,
        leader: SocketAddr::from(([127, 0, 0, 1], 1)),
        lease_expiry: Duration::MAX,
        queued: 0,
        running: 0,
        reported_at: Duration::ZERO,
    }
}
