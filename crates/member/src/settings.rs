//! Periods and multipliers of the gossip protocol, and the time bounds that follow from them.
//!
//! Every second probe round targets one of the [`RING_NEIGHBOURS`] successors on a ring of all live
//! members: the one that was probed least recently. Each member is therefore probed by its ring
//! predecessors at least once in `2 * RING_NEIGHBOURS` periods, regardless of the number of
//! members.

use base::prelude::*;

/// Number of ring successors that a process probes in turn.
pub const RING_NEIGHBOURS: usize = 4;
/// Period at which the caller sends [`Event::Tick`](crate::decide::Event::Tick).
pub const TICK: Duration = Duration::from_millis(100);
/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Periods and multipliers of the gossip protocol.
#[wire]
#[serde(default)]
pub struct Settings {
    /// Milliseconds between two probes.
    pub probe_period_ms: u64,
    /// Milliseconds after which a direct probe counts as unanswered.
    pub probe_timeout_ms: u64,
    /// Number of members that are asked to probe a target that did not answer directly.
    pub indirect_probes: usize,
    /// Suspicion timeout, in units of the probe period times the decimal logarithm of the number of
    /// members.
    pub suspicion_multiplier: u32,
    /// Number of transmissions of an update, in units of the binary logarithm of the number of
    /// members.
    pub retransmit_multiplier: u32,
    /// Number of members to which an urgent update is pushed.
    pub fanout: usize,
    /// Milliseconds between two anti-entropy exchanges while digests agree.
    pub exchange_period_ms: u64,
    /// Milliseconds between two probes of dead members.
    pub dead_probe_period_ms: u64,
    /// Milliseconds after which a dead or left member is forgotten.
    pub forget_after_ms: u64,
    /// Maximum size of the updates piggybacked on one packet, in bytes.
    pub update_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            probe_period_ms: 1000,
            probe_timeout_ms: 500,
            indirect_probes: 3,
            suspicion_multiplier: 4,
            retransmit_multiplier: 3,
            fanout: 3,
            exchange_period_ms: 10_000,
            dead_probe_period_ms: 5000,
            forget_after_ms: 3_600_000,
            update_bytes: 400,
        }
    }
}

impl Settings {
    /// Returns a finding for each value that is out of range.
    pub fn check(&self) -> Findings {
        let mut findings = Findings::default();
        let positive = [
            ("probe_period_ms", self.probe_period_ms),
            ("probe_timeout_ms", self.probe_timeout_ms),
            ("exchange_period_ms", self.exchange_period_ms),
            ("dead_probe_period_ms", self.dead_probe_period_ms),
            ("forget_after_ms", self.forget_after_ms),
            ("suspicion_multiplier", self.suspicion_multiplier.into()),
            ("retransmit_multiplier", self.retransmit_multiplier.into()),
        ];
        for (name, value) in positive {
            findings.check(value > 0, &format!("$.{name}"), || "must be above 0".to_owned());
        }
        findings.check(self.probe_timeout_ms < self.probe_period_ms, "$.probe_timeout_ms", || {
            format!("{} must be below probe_period_ms", self.probe_timeout_ms)
        });
        findings.check((100..=700).contains(&self.update_bytes), "$.update_bytes", || {
            format!("{} is not from 100 to 700", self.update_bytes)
        });
        findings
    }

    /// Returns the time between two probes.
    pub fn probe_period(&self) -> Duration {
        Duration::from_millis(self.probe_period_ms)
    }

    /// Returns the time after which a direct probe counts as unanswered.
    pub fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.probe_timeout_ms)
    }

    /// Returns the time between two anti-entropy exchanges while digests agree.
    pub fn exchange_period(&self) -> Duration {
        Duration::from_millis(self.exchange_period_ms)
    }

    /// Returns the time between two anti-entropy exchanges after digests differed.
    pub fn repair_period(&self) -> Duration {
        (self.probe_period() * 2).min(self.exchange_period())
    }

    /// Returns the time between two probes of dead members.
    pub fn dead_probe_period(&self) -> Duration {
        Duration::from_millis(self.dead_probe_period_ms)
    }

    /// Returns the time after which a dead or left member is forgotten.
    pub fn forget_after(&self) -> Duration {
        Duration::from_millis(self.forget_after_ms)
    }

    /// Returns the longest gap between two ticks that is not taken for a pause of this process.
    pub fn pause_threshold(&self) -> Duration {
        self.probe_period() * 3
    }

    /// Returns how long a suspected member has to refute the suspicion, among `members` live
    /// members.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        self.probe_period() * self.suspicion_multiplier * ceil_log(members, 10)
    }

    /// Returns how many times a process sends an update, among `members` live members.
    pub fn transmit_limit(&self, members: usize) -> u32 {
        self.retransmit_multiplier * ceil_log(members, 2)
    }

    /// Returns the time within which some member declares a crashed member dead, provided that one
    /// of the crashed member's predecessors on the ring is running.
    ///
    /// It is the sum of one turn through the ring successors, the direct and indirect stages of the
    /// probe, the suspicion timeout, and one probe period for the granularity of the ticks.
    pub fn detection_bound(&self, members: usize) -> Duration {
        let turn = self.probe_period() * u32::try_from(2 * RING_NEIGHBOURS).unwrap_or(u32::MAX);
        let probe = self.probe_timeout() + self.probe_period();
        turn + probe + self.suspicion_timeout(members) + self.probe_period()
    }

    /// Returns the time within which all reachable members consider a crashed member dead.
    pub fn dissemination_bound(&self, members: usize) -> Duration {
        self.detection_bound(members) + self.probe_period() * self.transmit_limit(members)
    }
}

/// Returns the logarithm of `members + 1` to `base`, rounded up and at least 1.
fn ceil_log(members: usize, base: usize) -> u32 {
    let mut power = base;
    let mut log = 1;
    while power < members + 1 {
        power = power.saturating_mul(base);
        log += 1;
    }
    log
}
