//! The request rates that backend servers in need name, and this process's share of them.
//!
//! Such a server says in its responses how many requests a second it takes from all processes
//! together, and stops saying so when it needs the limit no more. So the latest response to any
//! process counts; processes report their own observations to each other with their age.
//!
//! Algorithm: each process takes an equal part of the rate, as one of the largest number of processes that it
//! has seen lately ([`fleet_size`](crate::fleet_size)). A permit for one request becomes due at
//! that part of the rate, and lapses if it isn't used within [`PERMIT_TTL`]. In a token bucket, such
//! as `route::bucket`, it would be kept, so that a fleet could send as many requests at once as it has
//! processes, however low the rate is. Processes begin at random times between two permits, or all
//! would be due at once.
//!
//! Invariant: `n` processes that know of each other have sent a server at most
//! `rate * USED_SHARE * (t + PERMIT_TTL) + n` requests in any time `t`, and on average
//! `rate * USED_SHARE * t`.

use std::collections::HashMap;

use base::prelude::*;
use form::prelude::*;

use crate::fleet_size::FleetSize;

/// Requests per second.
pub type RequestRate = f64;

/// How long a permit may be used after it became due.
pub const PERMIT_TTL: Duration = Duration::from_secs(1);
/// Share of a limit that is used. The rest covers what was sent before all processes knew of it, and
/// a number of processes that is known late.
pub const USED_SHARE: f64 = 0.7;
/// Rate at which a server that takes less, or nothing, is still sent requests. Only its responses
/// tell when it takes more again.
pub const MIN_RATE: RequestRate = 0.2;
/// How long it is reported to other processes that a server names no limit any more.
const WITHDRAWAL_TTL: Duration = Duration::from_secs(10);
/// How long the limit of a server that gets no requests is kept.
const UNUSED_TTL: Duration = Duration::from_secs(60);

/// What a response of a server said of its limit, as reported to other processes.
#[data]
#[derive(Copy, serde::Serialize, serde::Deserialize)]
pub struct LimitObservation {
    /// Start of the server instance in Unix milliseconds.
    pub started_at_ms: u64,
    /// The limit; `None` if the server names none any more.
    pub per_second: Option<RequestRate>,
    /// Milliseconds since the response arrived.
    pub age_ms: u64,
}

impl LimitObservation {
    /// Returns the observation that counts: that of the later instance, or else the later one.
    pub fn later(self, other: Self) -> Self {
        let order =
            |observation: &Self| (observation.started_at_ms, std::cmp::Reverse(observation.age_ms));
        if order(&self) >= order(&other) { self } else { other }
    }

    /// Returns the observation as it is after some time.
    pub fn aged(self, by: Duration) -> Self {
        let by = u64::try_from(by.as_millis()).unwrap_or(u64::MAX);
        LimitObservation { age_ms: self.age_ms.saturating_add(by), ..self }
    }
}

/// The permits of this process for one server.
#[data]
pub(crate) struct Permits {
    /// Permits per second.
    rate: f64,
    /// Permits that are due, and the part of the next one; below zero if more were used.
    level: f64,
    updated_at: Mono,
    /// How long a permit may be used after it became due.
    ttl: Duration,
}

/// What a process may send a server.
#[data]
#[derive(Copy)]
pub(crate) struct Allowance {
    /// Permits that are due, and the part of the next one.
    pub(crate) due: f64,
    /// Permits per second.
    pub(crate) rate: f64,
    /// Seconds until the server takes any number of requests; infinite if that isn't known.
    pub(crate) ends_in: f64,
}

impl Allowance {
    /// Returns the allowance at a server with two limits: that with the lower rate, until both end.
    pub(crate) fn stricter(self, other: Allowance) -> Allowance {
        let ends_in = self.ends_in.max(other.ends_in);
        let lower = if self.rate <= other.rate { self } else { other };
        Allowance { due: self.due.min(other.due), ends_in, ..lower }
    }
}

impl Permits {
    /// Returns the permits of a process that begins with the part `phase` of one.
    pub(crate) fn new(rate: f64, phase: f64, ttl: Duration, now: Mono) -> Self {
        Permits { rate, level: phase, updated_at: now, ttl }
    }

    pub(crate) fn allowance(&self, now: Mono) -> Allowance {
        Allowance { due: self.level(now), rate: self.rate, ends_in: f64::INFINITY }
    }

    fn level(&self, now: Mono) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let level = self.level + self.rate * elapsed;
        let lasting = self.rate * self.ttl.as_secs_f64();
        // Permits beyond those of the last `ttl` have lapsed; the part of the next one hasn't.
        if level < 1.0 + lasting { level } else { lasting + (level - lasting).fract() }
    }

    pub(crate) fn set_rate(&mut self, rate: f64, now: Mono) {
        self.level = self.level(now);
        self.updated_at = self.updated_at.max(now);
        self.rate = rate;
    }

    pub(crate) fn take(&mut self, now: Mono) {
        self.level = self.level(now) - 1.0;
        self.updated_at = now;
    }
}

/// What is known of the limit of one server instance.
#[data]
struct ServerLimit {
    started_at_ms: u64,
    /// The limit, if there is one.
    per_second: Option<RequestRate>,
    /// When the last response arrived that said so, at whichever process.
    observed_at: Mono,
    /// Whether it arrived at this process.
    is_own: bool,
    /// When the limit last changed.
    changed_at: Mono,
    permits: Permits,
}

/// The limits of the servers that have named one.
#[derive(Debug, Default)]
pub struct ServerLimits {
    rows: HashMap<ServerId, ServerLimit>,
    /// The processes that share the limits.
    fleet: FleetSize,
}

impl ServerLimits {
    /// Records the number of processes that are alive, this one included, and drops limits that are not
    /// needed any more.
    pub fn set_processes(&mut self, processes: usize, now: Mono) {
        self.fleet.record(processes, now);
        let processes = self.fleet.largest();
        self.rows.retain(|_, row| {
            let is_withdrawn = row.per_second.is_none() && now >= row.changed_at + WITHDRAWAL_TTL;
            !is_withdrawn && now < row.observed_at + UNUSED_TTL
        });
        for row in self.rows.values_mut() {
            row.permits.set_rate(own_rate(row.per_second, processes), now);
        }
    }

    /// Records what a response to this process said. `phase`, from 0 to 1, is the part of a permit
    /// that the process begins with. Returns whether the limit changed.
    pub fn observe(
        &mut self,
        server: &str,
        started_at_ms: u64,
        per_second: Option<RequestRate>,
        phase: f64,
        now: Mono,
    ) -> bool {
        let is_known = self.row(server, started_at_ms).is_some();
        if !is_known && per_second.is_none() {
            return false;
        }
        self.set(
            server,
            LimitObservation { started_at_ms, per_second, age_ms: 0 },
            phase,
            now,
            true,
        )
    }

    /// Records what a response to another process said, unless a later one is known. Returns whether
    /// the limit changed.
    pub fn merge(
        &mut self,
        server: &str,
        observation: LimitObservation,
        phase: f64,
        now: Mono,
    ) -> bool {
        let observed_at = now.saturating_sub(Duration::from_millis(observation.age_ms));
        let is_outdated = self.rows.get(server).is_some_and(|row| {
            (row.started_at_ms, row.observed_at) >= (observation.started_at_ms, observed_at)
        });
        let is_unknown = !self.rows.contains_key(server);
        if is_outdated || (is_unknown && observation.per_second.is_none()) {
            return false;
        }
        self.set(server, observation, phase, now, false)
    }

    fn set(
        &mut self,
        server: &str,
        observation: LimitObservation,
        phase: f64,
        now: Mono,
        is_own: bool,
    ) -> bool {
        let LimitObservation { started_at_ms, per_second, age_ms } = observation;
        let rate = own_rate(per_second, self.fleet.largest());
        let known = self.row(server, started_at_ms);
        let is_same = known.is_some_and(|row| row.per_second == per_second);
        let changed_at = known.filter(|_| is_same).map_or(now, |row| row.changed_at);
        let limited = known.filter(|row| row.per_second.is_some());
        let mut permits = limited
            .map_or_else(|| Permits::new(rate, phase, PERMIT_TTL, now), |row| row.permits.clone());
        permits.set_rate(rate, now);
        let observed_at = now.saturating_sub(Duration::from_millis(age_ms));
        let row =
            ServerLimit { started_at_ms, per_second, observed_at, is_own, changed_at, permits };
        self.rows.insert(server.into(), row);
        !is_same
    }

    /// Returns what the last response of a server said, if it was one to this process.
    pub fn own_observation(&self, server: &str, now: Mono) -> Option<LimitObservation> {
        let row = self.rows.get(server).filter(|row| row.is_own)?;
        let age = now.saturating_sub(row.observed_at);
        let seen = LimitObservation {
            started_at_ms: row.started_at_ms,
            per_second: row.per_second,
            age_ms: 0,
        };
        Some(seen.aged(age))
    }

    /// Returns whether no limits are known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the time since a response, to any process, last named the limit of a server instance;
    /// `None` if there is no limit.
    pub fn limit_age(&self, server: &str, started_at_ms: u64, now: Mono) -> Option<Duration> {
        let row = self.limited(server, started_at_ms)?;
        Some(now.saturating_sub(row.observed_at))
    }

    /// Returns whether a server instance may be sent a request.
    pub fn has_permit(&self, server: &str, started_at_ms: u64, now: Mono) -> bool {
        self.limited(server, started_at_ms).is_none_or(|row| row.permits.level(now) >= 1.0)
    }

    /// Counts a request that is sent to a server instance.
    pub fn take(&mut self, server: &str, started_at_ms: u64, now: Mono) {
        if let Some(row) = self.rows.get_mut(server)
            && row.started_at_ms == started_at_ms
        {
            row.permits.take(now);
        }
    }

    /// Returns about how long it takes until `count` requests may be sent to the server instances;
    /// `None` if there are none, or any of them has no limit.
    pub fn time_to_permits<'a>(
        &self,
        servers: impl Iterator<Item = (&'a str, u64)>,
        count: usize,
        now: Mono,
    ) -> Option<Duration> {
        let allowances =
            servers.map(|(server, started_at_ms)| self.allowance(server, started_at_ms, now));
        time_to_permits(allowances, count)
    }

    /// Returns the permits of this process for a server instance; `None` if it has no limit.
    pub(crate) fn allowance(
        &self,
        server: &str,
        started_at_ms: u64,
        now: Mono,
    ) -> Option<Allowance> {
        Some(self.limited(server, started_at_ms)?.permits.allowance(now))
    }

    fn row(&self, server: &str, started_at_ms: u64) -> Option<&ServerLimit> {
        self.rows.get(server).filter(|row| row.started_at_ms == started_at_ms)
    }

    fn limited(&self, server: &str, started_at_ms: u64) -> Option<&ServerLimit> {
        self.row(server, started_at_ms).filter(|row| row.per_second.is_some())
    }
}

/// Returns the permits per second of each of `processes` processes.
fn own_rate(per_second: Option<RequestRate>, processes: usize) -> f64 {
    per_second.unwrap_or(0.0).max(MIN_RATE) * USED_SHARE / processes.max(1) as f64
}

/// Returns about how long it takes until `count` requests may be sent to servers; `None` if there are
/// none, or any of them has no limit.
pub(crate) fn time_to_permits(
    allowances: impl Iterator<Item = Option<Allowance>>,
    count: usize,
) -> Option<Duration> {
    let (mut level, mut rate) = (0.0, 0.0);
    let (mut first, mut first_end) = (f64::INFINITY, f64::INFINITY);
    for allowance in allowances {
        let Allowance { due, rate: own_rate, ends_in } = allowance?;
        level += due;
        rate += own_rate;
        first = f64::min(first, ((1.0 - due) / own_rate).max(0.0));
        first_end = f64::min(first_end, ends_in);
    }
    let all = ((count as f64 - level) / rate).max(0.0);
    // Without servers, the time is infinite.
    Duration::try_from_secs_f64(all.max(first).min(first_end)).ok()
}
