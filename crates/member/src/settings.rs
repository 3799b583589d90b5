//! Periods and multipliers of the gossip, and the bounds that follow from them.
//!
//! Every second round probes one of [`RING_NEIGHBOURS`] successors on a ring of all live members,
//! the one that was probed longest ago. So each member is probed by its predecessors at least once
//! in `2 * RING_NEIGHBOURS` periods, however many members there are.

use base::prelude::*;

/// Successors on the ring that a process probes in turn.
pub const RING_NEIGHBOURS: usize = 4;
/// Period at which the shell sends ticks.
pub const TICK: Duration = Duration::from_millis(100);
/// Largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Periods and multipliers of the gossip.
#[wire]
#[serde(default)]
pub struct Settings {
    /// Milliseconds between two probes.
    pub probe_period_ms: u64,
    /// Milliseconds until a direct probe counts as unanswered.
    pub probe_timeout_ms: u64,
    /// Members that are asked to probe in our place.
    pub indirect_probes: usize,
    /// Multiplies the probe period and the decimal logarithm of the members: how long a suspected
    /// member has to refute.
    pub suspicion_multiplier: u32,
    /// Multiplies the binary logarithm of the members: how often an update is passed on.
    pub retransmit_multiplier: u32,
    /// Members that a new urgent fact is passed to at once.
    pub fanout: usize,
    /// Milliseconds between two exchanges of digests while they agree.
    pub exchange_period_ms: u64,
    /// Milliseconds between two probes of dead members.
    pub dead_probe_period_ms: u64,
    /// Milliseconds after which a dead or left member is forgotten.
    pub forget_after_ms: u64,
    /// Bytes of updates that a probe or its answer carries.
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
    /// Collects every value that is out of its range.
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
            findings.check(value > 0, &format!("$.{name}"), || "0 is not above 0".to_owned());
        }
        findings.check(self.probe_timeout_ms < self.probe_period_ms, "$.probe_timeout_ms", || {
            format!("{} is not below probe_period_ms", self.probe_timeout_ms)
        });
        findings.check((100..=700).contains(&self.update_bytes), "$.update_bytes", || {
            format!("{} is outside 100 to 700", self.update_bytes)
        });
        findings
    }

    /// Returns the time between two probes.
    pub fn probe_period(&self) -> Duration {
        Duration::from_millis(self.probe_period_ms)
    }

    /// Returns the time until a direct probe counts as unanswered.
    pub fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.probe_timeout_ms)
    }

    /// Returns the time between two exchanges of digests while they agree.
    pub fn exchange_period(&self) -> Duration {
        Duration::from_millis(self.exchange_period_ms)
    }

    /// Returns the time between two exchanges after digests differed.
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

    /// Returns the gap between two ticks that shows that this process was paused.
    pub fn pause_threshold(&self) -> Duration {
        self.probe_period() * 3
    }

    /// Returns how long a suspected member has to refute, among `members`.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        self.probe_period() * self.suspicion_multiplier * ceil_log(members, 10)
    }

    /// Returns how often an update is passed on, among `members`.
    pub fn transmit_limit(&self, members: usize) -> u32 {
        self.retransmit_multiplier * ceil_log(members, 2)
    }

    /// Returns the time within which some member holds a dead one to be dead, while one of the
    /// dead one's predecessors on the ring lives.
    ///
    /// That is a turn of the ring, the probe itself with its indirect part, the suspicion, and one
    /// period for the grain of the ticks.
    pub fn detection_bound(&self, members: usize) -> Duration {
        let turn = self.probe_period() * u32::try_from(2 * RING_NEIGHBOURS).unwrap_or(u32::MAX);
        let probe = self.probe_timeout() + self.probe_period();
        turn + probe + self.suspicion_timeout(members) + self.probe_period()
    }

    /// Returns the time within which all reachable members hold a dead one to be dead.
    pub fn dissemination_bound(&self, members: usize) -> Duration {
        self.detection_bound(members) + self.probe_period() * self.transmit_limit(members)
    }
}

/// Returns the logarithm of `members + 1`, rounded up, and at least one.
fn ceil_log(members: usize, base: usize) -> u32 {
    let mut power = base;
    let mut log = 1;
    while power < members + 1 {
        power = power.saturating_mul(base);
        log += 1;
    }
    log
}
