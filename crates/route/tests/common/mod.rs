//! Group tables for the tests.

use std::net::SocketAddr;
use std::time::Duration;

use group::record::GroupState;
use group::view::GroupTable;
use group::view::GroupView;

/// Returns a serving group with `running` running requests.
pub(crate) fn view(id: &str, running: u32) -> GroupView {
    GroupView {
        id: id.into(),
        model: "m".into(),
        version: "v".into(),
        adapters: Vec::new(),
        generation: 1,
        state: GroupState::Serving,
        leader: SocketAddr::from(([127, 0, 0, 1], 1)),
        lease_expiry: Duration::MAX,
        queued: 0,
        running,
        reported_at: Duration::ZERO,
    }
}

/// Returns `count` serving groups `g0`, `g1` and so on, with `running` running requests each.
pub(crate) fn table(count: usize, running: u32) -> GroupTable {
    GroupTable { groups: (0..count).map(|i| view(&format!("g{i}"), running)).collect() }
}
