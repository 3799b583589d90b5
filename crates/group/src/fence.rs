//! Fencing: which orders may still take effect, and from when on orders of an earlier assignment
//! no longer can.
//!
//! A controller sends an order only within `order_authority` after it *sent* the call to the
//! key-value service that confirmed the assignment as current. So if another controller has seen
//! a newer assignment at time `t`, the older one was last confirmed by a call sent before `t`.
//! Its orders are sent before `t + order_authority`, and arrive before
//! `t + order_authority + max_order_delay`.
//!
//! An engine that checks fencing tokens (generations) needs no wait, because it refuses older
//! orders. For an engine that ignores them, new orders are held back until [`stale_orders_end`],
//! after which no older order can undo them. Probes still compare the assignment, and a mismatch
//! counts as a missing member.

use base::prelude::*;

use crate::settings::ControllerSettings;

/// Returns the deadline for sending orders of a record, given when the call that confirmed the
/// record was sent.
pub fn order_deadline(confirmed: Mono, settings: &ControllerSettings) -> Mono {
    confirmed + settings.order_authority
}

/// Returns from when on no order of an earlier assignment can arrive, given when the current
/// assignment was first seen.
pub fn stale_orders_end(first_seen: Mono, settings: &ControllerSettings) -> Mono {
    first_seen + settings.stale_order_wait()
}

/// Returns from when on a VM may be sent the orders of an assignment first seen at `first_seen`.
pub fn orders_allowed_from(
    first_seen: Mono,
    checks_fencing: bool,
    settings: &ControllerSettings,
) -> Mono {
    if checks_fencing { first_seen } else { stale_orders_end(first_seen, settings) }
}

/// Returns whether an engine that accepted an order of generation `held` accepts one of
/// generation `offered`.
pub fn engine_accepts(held: Generation, offered: Generation, checks_fencing: bool) -> bool {
    !checks_fencing || offered >= held
}
