//! Settings of the group controller, and the detection bound that follows from them.
//!
//! A routing lease for a group is valid until `lease_ttl` after the oldest of its members' last
//! answered probes was *sent*. A member that goes missing answers no probe that is sent later, so
//! no daemon routes to its group longer than `lease_ttl` by the controller's clock. The receiving
//! daemon's clock may run slower by `max_clock_drift`, hence
//!
//! ```text
//! detection bound = lease_ttl x (1 + max_clock_drift)
//! ```
//!
//! The bound holds for any message delay, and when any process is frozen or partitioned. In the
//! ordinary case the lease is revoked after `probe_period + probe_timeout` plus one message.

use base::prelude::*;

/// Settings of the group controller.
#[data]
pub struct ControllerSettings {
    /// Longest time between two probes of a member of a group. Each wait is random between half
    /// of it and all of it.
    pub probe_period: Duration,
    /// Longest time between two probes of a VM that is in no group.
    pub idle_probe_period: Duration,
    /// Time after which an unanswered probe counts as failed.
    pub probe_timeout: Duration,
    /// Time from the sending of an answered probe during which it supports a routing lease.
    pub lease_ttl: Duration,
    /// Time between two heartbeats to a daemon.
    pub heartbeat_period: Duration,
    /// Largest relative error between the rates of two processes' clocks.
    pub max_clock_drift: f64,
    /// Time for which a member may be unhealthy before its group is recorded as broken.
    pub break_after: Duration,
    /// Time after the sending of a call that confirmed the record during which orders of that
    /// record may be sent.
    pub order_authority: Duration,
    /// Longest time from the sending of an order to its arrival at the engine.
    pub max_order_delay: Duration,
    /// Time between two attempts of an order that had no effect.
    pub order_retry: Duration,
    /// Longest time between two reads of the record.
    pub record_poll: Duration,
}

impl Default for ControllerSettings {
    fn default() -> Self {
        ControllerSettings {
            probe_period: Duration::from_millis(500),
            idle_probe_period: Duration::from_secs(2),
            probe_timeout: Duration::from_millis(400),
            lease_ttl: Duration::from_millis(1900),
            heartbeat_period: Duration::from_millis(250),
            max_clock_drift: 0.01,
            break_after: Duration::from_secs(1),
            order_authority: Duration::from_secs(2),
            max_order_delay: Duration::from_secs(1),
            order_retry: Duration::from_secs(1),
            record_poll: Duration::from_secs(1),
        }
    }
}

impl ControllerSettings {
    /// Returns the longest time for which any daemon routes to a group after one of its members
    /// went missing.
    pub fn detection_bound(&self) -> Duration {
        self.lease_ttl.mul_f64(1.0 + self.max_clock_drift)
    }

    /// Returns how long orders of earlier assignments may still arrive after a new assignment was
    /// first seen.
    pub fn stale_order_wait(&self) -> Duration {
        (self.order_authority + self.max_order_delay).mul_f64(1.0 + self.max_clock_drift)
    }

    /// Returns everything that makes the settings unusable.
    pub fn verify(&self) -> Findings {
        let mut findings = Findings::default();
        let renewal = self.probe_period + self.probe_timeout + 2 * self.heartbeat_period;
        findings.check(self.lease_ttl > renewal, "$.lease_ttl", || {
            format!("{:?} is not above {renewal:?}, the longest time of a renewal", self.lease_ttl)
        });
        findings.check((0.0..0.5).contains(&self.max_clock_drift), "$.max_clock_drift", || {
            format!("{} is not in 0..0.5", self.max_clock_drift)
        });
        findings.check(!self.probe_period.is_zero(), "$.probe_period", || "is zero".to_owned());
        findings
    }
}
