//! The settings of routing.

use base::prelude::*;

use crate::choose::Policy;
use crate::retry::RETRY_FRACTION;
use crate::shed::ShedPolicy;

/// Fill level of the queue above which load is shed.
const SHED_ABOVE: f64 = 0.5;

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
    /// Retries that each first attempt pays for.
    pub retry_fraction: f64,
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
            shed: ShedPolicy::Threshold { above: SHED_ABOVE },
            queue_capacity: 1024,
            group_slots: 32,
            retry_fraction: RETRY_FRACTION,
            token_capacity: None,
            wall_millis_at_start: 0,
            boot: 0,
        }
    }
}
