//! The settings of routing.

use base::prelude::*;

use crate::choose::Policy;
use crate::retry::RETRY_FRACTION;
use crate::shed::ShedPolicy;

/// Default fill level of the queue above which load is shed.
const SHED_ABOVE: f64 = 0.5;

/// Settings of routing at one process.
#[wire]
#[serde(default)]
pub struct RouteSettings {
    /// The policy by which a group is chosen.
    pub policy: Policy,
    /// The policy by which load is shed before the queue is full.
    pub shed: ShedPolicy,
    /// Maximum number of queued requests.
    pub queue_capacity: usize,
    /// Maximum estimated number of requests at one group, queued or running.
    pub group_slots: u32,
    /// Number of retries that each first attempt adds to the retry budgets.
    pub retry_fraction: f64,
    /// Token rate of all groups together, if known. Its unused part is shared by weight.
    pub token_capacity: Option<f64>,
    /// The wall-clock time at the zero of the monotonic clock, in milliseconds since 1970.
    #[serde(skip)]
    pub wall_millis_at_start: u64,
    /// The boot id of this process instance.
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
