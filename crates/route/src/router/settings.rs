//! The settings of routing.

use base::prelude::*;

use crate::choose::Policy;
use crate::shed::ShedPolicy;

/// Settings of routing at one process.
#[wire]
#[serde(default)]
pub struct RouteSettings {
    /// How a group is chosen.
    pub policy: Policy,
    /// How load is shed before the queue is full.
    pub shed: ShedPolicy,
    /// Requests that may wait here for a group.
    pub queue_capacity: usize,
    /// Requests that may be at one group, waiting or running.
    pub group_slots: u32,
    /// Token rate of all groups together, if known; shared by weight as far as it is free.
    pub token_capacity: Option<f64>,
    /// The wall clock when this process's monotonic clock was zero, in milliseconds since 1970.
    #[serde(skip)]
    pub wall_millis_at_start: u64,
    /// The life of this process.
    #[serde(skip)]
    pub boot: BootId,
}

impl Default for RouteSettings {
    fn default() -> Self {
        RouteSettings {
            policy: Policy::default(),
            shed: ShedPolicy::Off,
            queue_capacity: 1024,
            group_slots: 32,
            token_capacity: None,
            wall_millis_at_start: 0,
            boot: 0,
        }
    }
}
