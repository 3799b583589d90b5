//! Servers in warm-up: the rate that all processes together may send them, and how slow they are.
//!
//! A server that has just started, or has become cold again, reports how long its warm-up lasts. The
//! configuration says how many requests a second all processes together may send it meanwhile.
//!
//! Algorithm: as in [`server_limit`](crate::server_limit), each process takes an equal part of the
//! rate, in permits that lapse. The limit is known before any response, and its end is known. Each
//! process begins with a part of a permit that follows from a hash of the process and the server
//! instance, so that the times of the permits are independent and uniform.
//!
//! Invariant: the probability that `n` processes that know of each other send a server more than
//! `per_second * over + slack` requests in one second is at most [`EXCESS_PROBABILITY`]. In a time
//! `t`, each process has `floor(m)` permits and, with probability `fract(m)`, one more, where `m` is
//! its rate times `t + PERMIT_TTL`. So the count of the fleet is `n * floor(m)` plus a binomial
//! variable, and [`used_rate`] is the largest rate up to `per_second` for which that bound holds.

use std::collections::HashMap;
use std::sync::Arc;

use base::hash::stable;
use base::prelude::*;
use form::prelude::*;
use form::server::MAX_WARM_UP;

use crate::config::ServiceSpec;
use crate::endpoint::Endpoint;
use crate::fleet_size::ASSUMED_PROCESSES;
use crate::fleet_size::FleetSize;
use crate::server_limit::Allowance;
use crate::server_limit::Permits;
use crate::server_limit::RequestRate;

/// How long a permit may be used after it became due. It exceeds the interval at which waiting requests
/// are considered; a longer one lets more permits add up to the same second.
pub const PERMIT_TTL: Duration = Duration::from_millis(100);
/// Probability with which a server may get more requests in one second than it tolerates.
pub const EXCESS_PROBABILITY: f64 = 1e-5;
/// The time to which a server's tolerance applies.
const WINDOW: Duration = Duration::from_secs(1);
/// Expected time of a server at the start of its warm-up, relative to a warm one. It is an assumption,
/// as reports tell only how long the warm-up lasts. A higher one would exclude idle servers by their
/// expected time alone.
const INITIAL_SLOWDOWN: f64 = 1.5;
/// Longest warm-up that is plausible.
pub const MAX_DURATION: Duration = MAX_WARM_UP;
/// Highest plausible rate.
const MAX_RATE: RequestRate = 1e6;
/// Steps of the bisection for the used rate, enough for a thousandth of it.
const BISECTION_STEPS: usize = 16;

/// How servers of a service warm up.
#[data]
#[derive(Copy)]
pub struct WarmUp {
    /// The usual duration from a start.
    pub duration: Duration,
    /// Requests a second that a server in warm-up takes from all processes together; `None` if any
    /// number.
    pub per_second: Option<RequestRate>,
}

/// The values of a [`WarmUp`] as they are configured.
#[data]
#[derive(Copy)]
pub struct RawWarmUp {
    /// Seconds.
    pub duration_s: f64,
    /// Requests a second; 0 stands for no limit.
    pub per_second: f64,
}

impl TryFrom<RawWarmUp> for WarmUp {
    type Error = Findings;

    fn try_from(raw: RawWarmUp) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let longest = MAX_DURATION.as_secs_f64();
        findings.check((0.0..=longest).contains(&raw.duration_s), "warmup_s", || {
            format!("found {}; allowed is a number from 0 to {longest}", raw.duration_s)
        });
        findings.check((0.0..=MAX_RATE).contains(&raw.per_second), "warmup_per_s", || {
            format!("found {}; allowed is a number from 0 to {MAX_RATE}", raw.per_second)
        });
        if !findings.is_empty() {
            return Err(findings);
        }
        Ok(WarmUp {
            duration: Duration::from_secs_f64(raw.duration_s),
            per_second: Some(raw.per_second).filter(|per_second| *per_second > 0.0),
        })
    }
}

/// The requests that a server in warm-up tolerates in a second: `per_second * over + slack`.
#[data]
#[derive(Copy)]
pub struct Tolerance {
    /// Factor of the rate.
    pub over: f64,
    /// Additional requests.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Tolerance { over: 1.5, slack: 5.0 }
    }
}

/// Returns the rate that `processes` use together, so that a server that takes `per_second` doesn't get
/// more than it tolerates.
pub fn used_rate(per_second: RequestRate, tolerance: Tolerance, processes: usize) -> RequestRate {
    let tolerated = (per_second * tolerance.over + tolerance.slack).floor();
    let lasting = (WINDOW + PERMIT_TTL).as_secs_f64();
    let is_safe = |rate: f64| {
        excess_probability(rate * lasting, processes.max(1), tolerated) <= EXCESS_PROBABILITY
    };
    if is_safe(per_second) {
        return per_second;
    }
    let (mut low, mut high) = (0.0, per_second);
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        if is_safe(middle) { low = middle } else { high = middle }
    }
    low
}

/// Returns the probability that `processes` with independent phases have more than `tolerated` permits,
/// of which `mean` are expected.
fn excess_probability(mean: f64, processes: usize, tolerated: f64) -> f64 {
    let (count, each) = (processes as f64, mean / processes as f64);
    let (certain, chance) = (count * each.floor(), each.fract());
    let left = tolerated - certain;
    if left < 0.0 {
        return 1.0;
    }
    if chance == 0.0 {
        return 0.0;
    }
    let odds = (chance / (1.0 - chance)).ln();
    // Logarithms, since the probability of no success may be smaller than any `f64`.
    let mut log_probability = count * (1.0 - chance).ln();
    let mut sum = 0.0;
    for successes in 1..=processes {
        let successes = successes as f64;
        log_probability += ((count - successes + 1.0) / successes).ln() + odds;
        if successes > left {
            sum += log_probability.exp();
        }
    }
    sum
}

/// A server instance in warm-up.
#[derive(Debug)]
struct WarmingServer {
    started_at_ms: u64,
    service: ServiceId,
    until: Mono,
    permits: Permits,
    /// Whether [`WarmUps::take_changes`] has returned it.
    is_announced: bool,
}

/// The beginning or the end of a warm-up.
#[data]
pub struct WarmUpChange {
    /// The server.
    pub server: ServerId,
    /// Time left; `None` if the warm-up has ended.
    pub left: Option<Duration>,
    /// The rate from all processes together, if it is limited.
    pub per_second: Option<RequestRate>,
}

/// The rates of a service.
#[derive(Debug)]
struct Rates {
    warm_up: WarmUp,
    /// See [`used_rate`]; `None` if there is no limit.
    used: Option<RequestRate>,
}

/// The servers in warm-up, and the permits of this process for them.
#[derive(Debug, Default)]
pub struct WarmUps {
    /// Identifies this process in the hash from which the starting phases follow.
    seed: u64,
    tolerance: Tolerance,
    fleet: FleetSize,
    /// When the fleet was last reported.
    seen_at: Mono,
    /// The number of processes by which the rates are divided now.
    processes: usize,
    /// The services that have a warm-up.
    services: HashMap<ServiceId, Rates>,
    servers: HashMap<ServerId, WarmingServer>,
    /// The members of each group, by its head.
    members: HashMap<ServerId, Vec<ServerId>>,
}

impl WarmUps {
    /// Returns the table of a process with a random `seed`.
    pub fn with_seed(seed: u64) -> Self {
        WarmUps { seed, processes: ASSUMED_PROCESSES, ..WarmUps::default() }
    }

    /// Sets what servers tolerate.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
        self.update_rates();
    }

    /// Replaces the services; those without a warm-up are of no interest.
    pub fn set_services<'a>(&mut self, services: impl Iterator<Item = &'a Arc<ServiceSpec>>) {
        let rates = |spec: &'a Arc<ServiceSpec>| {
            let warm_up = spec.warm_up?;
            Some((spec.name.clone(), Rates { warm_up, used: None }))
        };
        self.services = services.filter_map(rates).collect();
        self.update_rates();
    }

    /// Records the number of processes that are alive, this one included.
    pub fn set_processes(&mut self, processes: usize, now: Mono) {
        self.seen_at = now;
        self.fleet.record(processes.max(1), now);
        let largest = self.fleet.settled(now);
        if largest != self.processes {
            self.processes = largest;
            self.update_rates();
        }
    }

    fn update_rates(&mut self) {
        for rates in self.services.values_mut() {
            let used = |per_second| used_rate(per_second, self.tolerance, self.processes);
            rates.used = rates.warm_up.per_second.map(used);
        }
        for server in self.servers.values_mut() {
            let used = self.services.get(&server.service).and_then(|rates| rates.used);
            server.permits.set_rate(used.unwrap_or(0.0) / self.processes as f64, self.seen_at);
        }
    }

    /// Records that a server instance said that its warm-up takes so much longer.
    pub fn report(
        &mut self,
        service: &ServiceId,
        server: &ServerId,
        started_at_ms: u64,
        left: Duration,
        now: Mono,
    ) {
        let until = now + left.min(MAX_DURATION);
        if let Some(known) = self.servers.get_mut(server)
            && known.started_at_ms == started_at_ms
        {
            known.until = until;
            return;
        }
        if self.servers.get(server).is_some_and(|known| known.started_at_ms > started_at_ms) {
            // A late response of an earlier instance.
            return;
        }
        if left.is_zero() {
            // An earlier instance has ended.
            if let Some(known) = self.servers.get_mut(server) {
                known.until = now;
            }
            return;
        }
        let used = self.services.get(service).and_then(|rates| rates.used).unwrap_or(0.0);
        let phase = self.phase(server, started_at_ms);
        let permits = Permits::new(used / self.processes as f64, phase, PERMIT_TTL, now);
        let known = self.servers.get(server).is_some_and(|known| known.is_announced);
        let row = WarmingServer {
            started_at_ms,
            service: service.clone(),
            until,
            permits,
            is_announced: known,
        };
        self.servers.insert(server.clone(), row);
    }

    /// Returns the part of a permit with which this process begins, from 0 to 1.
    fn phase(&self, server: &str, started_at_ms: u64) -> f64 {
        let key = [&self.seed.to_be_bytes(), server.as_bytes(), &started_at_ms.to_be_bytes()];
        stable(&key.concat()) as f64 / u64::MAX as f64
    }

    /// Sets the members of the group with a head.
    pub fn set_members(&mut self, head: &ServerId, members: Vec<ServerId>) {
        self.members.insert(head.clone(), members);
    }

    /// Returns the warm-ups that have begun or ended since the last call, and forgets the latter.
    pub fn take_changes(&mut self, now: Mono) -> Vec<WarmUpChange> {
        let mut changes = Vec::new();
        let services = &self.services;
        self.servers.retain(|id, server| {
            let rates = services.get(&server.service);
            let is_over = now >= server.until;
            if server.is_announced == is_over && (is_over || rates.is_some()) {
                server.is_announced = !is_over;
                changes.push(WarmUpChange {
                    server: id.clone(),
                    left: (!is_over).then(|| server.until.saturating_sub(now)),
                    per_second: rates.and_then(|rates| rates.warm_up.per_second),
                });
            }
            !is_over
        });
        changes
    }

    /// Returns the number of servers in warm-up.
    pub fn len(&self, now: Mono) -> usize {
        self.servers.values().filter(|server| self.rates(server, now).is_some()).count()
    }

    /// Returns whether a server instance may be sent a request.
    pub fn has_permit(&self, server: &str, started_at_ms: u64, now: Mono) -> bool {
        let allowance = self.allowance(server, started_at_ms, now);
        allowance.is_none_or(|allowance| allowance.due >= 1.0)
    }

    /// Counts a request that is sent to a server instance.
    pub fn take(&mut self, server: &str, started_at_ms: u64, now: Mono) {
        if let Some(warming) = self.servers.get_mut(server)
            && warming.started_at_ms == started_at_ms
        {
            warming.permits.take(now);
        }
    }

    /// Returns the permits of this process for a server instance; `None` if it takes any number of
    /// requests.
    pub(crate) fn allowance(
        &self,
        server: &str,
        started_at_ms: u64,
        now: Mono,
    ) -> Option<Allowance> {
        let warming = self.warming(server, started_at_ms, now)?;
        self.rates(warming, now)?.used?;
        let left = warming.until.saturating_sub(now);
        Some(Allowance { ends_in: left.as_secs_f64(), ..warming.permits.allowance(now) })
    }

    /// Returns the rate at which all processes together send to a server instance in warm-up; `None` if
    /// it isn't limited.
    pub fn fleet_rate(&self, server: &str, started_at_ms: u64, now: Mono) -> Option<RequestRate> {
        self.rates(self.warming(server, started_at_ms, now)?, now)?.used
    }

    /// Returns the time that an endpoint is expected to take, relative to that when it is warm. A group
    /// is as slow as its slowest member.
    pub(crate) fn slowdown(&self, endpoint: &Endpoint, now: Mono) -> f64 {
        if self.servers.is_empty() {
            return 1.0;
        }
        let own = std::slice::from_ref(&endpoint.server);
        let members = self.members.get(&endpoint.server).filter(|_| endpoint.group.is_some());
        let members = members.map_or(own, Vec::as_slice);
        let warming = members.iter().filter_map(|member| self.servers.get(member));
        warming.map(|server| self.server_slowdown(server, now)).fold(1.0, f64::max)
    }

    fn server_slowdown(&self, server: &WarmingServer, now: Mono) -> f64 {
        let Some(rates) = self.rates(server, now) else { return 1.0 };
        let left = server.until.saturating_sub(now).as_secs_f64();
        let duration = rates.warm_up.duration.as_secs_f64();
        let part = if left < duration { left / duration } else { 1.0 };
        1.0 + (INITIAL_SLOWDOWN - 1.0) * part
    }

    fn warming(&self, server: &str, started_at_ms: u64, now: Mono) -> Option<&WarmingServer> {
        let warming = self.servers.get(server)?;
        (warming.started_at_ms == started_at_ms && now < warming.until).then_some(warming)
    }

    /// Returns the rates that apply to a server, if it is still in warm-up.
    fn rates(&self, server: &WarmingServer, now: Mono) -> Option<&Rates> {
        self.services.get(&server.service).filter(|_| now < server.until)
    }
}
