//! Settings of the keeping of groups, and the detection bound that follows from them.
//!
//! A voucher for a group holds until `vouch_ttl` after the oldest of its members' last answered
//! probes was *sent*. A member that goes missing answers no probe that is sent later, so no
//! daemon routes to its group longer than `vouch_ttl` by the keeper's clock. The receiving
//! daemon's clock may run slower by `clock_error`, hence
//!
//! ```text
//! detection bound = vouch_ttl x (1 + clock_error)
//! ```
//!
//! The bound holds however messages are delayed and whoever is frozen or cut off. In the
//! ordinary case the withdrawal is there after `probe_period + probe_timeout` and one message.

use base::prelude::*;

/// Settings of the keeping of groups.
#[data]
pub struct ControllerSettings {
    /// Longest time between two probes of a member of a group; each wait is drawn from its
    /// upper half.
    pub probe_period: Duration,
    /// The same for a VM outside any group.
    pub idle_probe_period: Duration,
    /// How long an answer to a probe is awaited.
    pub probe_timeout: Duration,
    /// How long after its sending an answered probe supports a voucher.
    pub lease_ttl: Duration,
    /// Time between two heartbeats to a daemon.
    pub heartbeat_period: Duration,
    /// Largest relative error between the rates of two processes' clocks.
    pub max_clock_drift: f64,
    /// How long a doubt about a member lasts before its group is recorded as broken.
    pub break_after: Duration,
    /// How long after its sending a confirmed read of the record gives the right to order.
    pub order_authority: Duration,
    /// The longest time that an order may be under way.
    pub max_order_delay: Duration,
    /// Time between two tries of an order that had no effect.
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
    /// Returns the longest time that any daemon routes to a group after a member went missing.
    pub fn detection_bound(&self) -> Duration {
        self.lease_ttl.mul_f64(1.0 + self.max_clock_drift)
    }

    /// Returns how long after a new assignment was seen the orders of earlier ones may arrive.
    pub fn stale_order_wait(&self) -> Duration {
        (self.order_authority + self.max_order_delay).mul_f64(1.0 + self.max_clock_drift)
    }

    /// Returns what makes the settings unfit for use.
    pub fn verify(&self) -> Findings {
        let mut findings = Findings::default();
        let renewal = self.probe_period + self.probe_timeout + 2 * self.heartbeat_period;
        findings.check(self.lease_ttl > renewal, "$.vouch_ttl", || {
            format!("{:?} is not above {renewal:?}, the time that a renewal takes", self.lease_ttl)
        });
        findings.check((0.0..0.5).contains(&self.max_clock_drift), "$.clock_error", || {
            format!("{} is not in 0..0.5", self.max_clock_drift)
        });
        findings.check(!self.probe_period.is_zero(), "$.probe_period", || "is zero".to_owned());
        findings
    }
}
