//! Fencing: which orders may still take effect, and from when on none of an earlier assignment
//! can.
//!
//! A keeper sends an order only within `order_right` after it *sent* the call to the key-value
//! service that showed the assignment as standing. So once another keeper has seen a newer
//! assignment at time `t`, the older one was confirmed last by a call sent before `t`, its
//! orders leave before `t + order_right`, and arrive before `t + order_right + order_flight`.
//!
//! An engine that checks fencing numbers needs no wait: older orders bounce. For one that
//! ignores them, the new orders are held back until [`stale_orders_end`]; then nothing older can undo
//! them. Probes go on comparing all the same, and a mismatch counts as a missing member.

use base::prelude::*;

use crate::settings::ControllerSettings;

/// Returns until when orders of a record may leave, given when the call that confirmed it was sent.
pub fn order_deadline(confirmed: Mono, settings: &ControllerSettings) -> Mono {
    confirmed + settings.order_authority
}

/// Returns from when on no order of an earlier assignment can arrive, given when the present one
/// was first seen.
pub fn stale_orders_end(first_seen: Mono, settings: &ControllerSettings) -> Mono {
    first_seen + settings.stale_order_wait()
}

/// Returns from when on a VM may get the orders of an assignment first seen at `first_seen`.
pub fn orders_allowed_from(
    first_seen: Mono,
    checks_fencing: bool,
    settings: &ControllerSettings,
) -> Mono {
    if checks_fencing { first_seen } else { stale_orders_end(first_seen, settings) }
}

/// Returns whether an engine that took an order of generation `held` takes one of `offered`.
pub fn engine_accepts(held: Generation, offered: Generation, checks_fencing: bool) -> bool {
    !checks_fencing || offered >= held
}
