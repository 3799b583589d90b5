//! Which backend servers this process can connect to.
//!
//! A connection that fails shows the state of a path, not that of the server: the server may have ended,
//! or the path from here to it may be cut. So the process tries others before it concludes anything.
//!
//! Algorithm: a failed connection, or silence on all connections, starts a check: the process connects to
//! a few servers of different failure domains. If it reaches none, it is cut off. It stays so until two
//! checks in a row reach most of their servers, so that paths that come and go don't move its requests to
//! and fro. While it isn't cut off, single paths can still fail: a server that other processes reach meanwhile
//! is *unreachable* from here until a connection succeeds.
//!
//! Invariant: only a connection that was established ends a failure. Data on older connections doesn't:
//! these may live on while no new one succeeds.

use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;
use form::prelude::*;

/// Number of servers that a check connects to.
pub const SERVERS_PER_CHECK: usize = 3;
/// Number of good checks in a row that end a cut.
const CHECKS_TO_RETURN: u32 = 2;
/// Number of servers to which connections failed from which on a request isn't tried at others from here.
const FAILURES_TO_LEAVE: usize = 2;
/// Shortest time between two checks of a process that isn't cut off.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks of a process that is cut off.
const CUT_OFF_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without data from any server, while requests wait for some, after which a check is due. Answers
/// that are on time have shorter pauses.
const SILENCE: Duration = Duration::from_millis(200);
/// Shortest time between two checks because of silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without any sign of a server after which a process without requests connects to one, so that its
/// next caller doesn't pay for a cut.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// For how long others are asked of a server after a connection to it failed.
const QUESTION_TIME: Duration = Duration::from_millis(600);
/// Longest time for which a failed path is remembered without a further failure.
const FAILURE_RETENTION: Duration = Duration::from_secs(10);

/// Whether this process reaches backend servers.
#[key]
pub enum Reach {
    /// It does, as far as is known.
    Open,
    /// Something failed; whether others can be reached is being checked.
    Checking,
    /// It reaches none of those that it tried.
    CutOff,
}

/// A check that is due.
#[key]
pub enum Check {
    /// Connects to one server, to learn of a cut before a request does.
    Idle,
    /// Connects to [`SERVERS_PER_CHECK`] servers.
    Full,
}

/// A server that a check connects to.
#[data]
pub struct CheckTarget {
    /// Its id.
    pub server: ServerId,
    /// Start time of the instance in Unix milliseconds.
    pub started_at_ms: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
}

#[derive(Debug)]
struct FailedPath {
    started_at_ms: u64,
    failed_at: Mono,
    /// Whether another process reaches the server.
    is_reached_elsewhere: bool,
}

/// The paths from this process to the backend servers.
#[derive(Debug)]
pub struct Paths {
    reach: Reach,
    checked_at: Mono,
    good_checks: u32,
    /// Whether another process was seen to reach servers since this one is cut off.
    is_cut_confirmed: bool,
    /// When something last showed that a server can be reached.
    contact_at: Mono,
    failed: HashMap<ServerId, FailedPath>,
}

impl Default for Paths {
    fn default() -> Self {
        Paths {
            reach: Reach::Open,
            checked_at: Mono::ZERO,
            good_checks: 0,
            is_cut_confirmed: false,
            contact_at: Mono::ZERO,
            failed: HashMap::new(),
        }
    }
}

impl Paths {
    /// Returns whether this process reaches servers.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Returns when something last showed that a server can be reached.
    pub fn contact_at(&self) -> Mono {
        self.contact_at
    }

    /// Records that data came from a server.
    pub fn data_received(&mut self, now: Mono) {
        self.contact_at = now;
    }

    /// Records that no connection to a server instance could be made for a request, and starts a check
    /// unless one has just ended.
    pub fn connect_failed(&mut self, server: &str, started_at_ms: u64, now: Mono) {
        self.record_failure(server, started_at_ms, now);
        let since_check = self.failed.values().filter(|path| path.failed_at > self.checked_at);
        // More than one failure is news, however soon after a check.
        if since_check.count() >= FAILURES_TO_LEAVE && self.reach == Reach::Open {
            self.reach = Reach::Checking;
        }
        self.suspect(now);
    }

    /// Records that no connection to a server instance could be made.
    pub fn record_failure(&mut self, server: &str, started_at_ms: u64, now: Mono) {
        self.failed.retain(|_, path| now < path.failed_at + FAILURE_RETENTION);
        let path = self.failed.entry(server.into()).or_insert(FailedPath {
            started_at_ms,
            failed_at: now,
            is_reached_elsewhere: false,
        });
        path.is_reached_elsewhere &= path.started_at_ms == started_at_ms;
        path.started_at_ms = started_at_ms;
        path.failed_at = now;
    }

    /// Records that a connection to a server was made.
    pub fn connected(&mut self, server: &str, now: Mono) {
        self.contact_at = now;
        self.failed.remove(server);
    }

    /// Starts a check, unless one has just ended; returns whether one is due.
    pub fn suspect(&mut self, now: Mono) -> bool {
        if self.reach == Reach::Open && now >= self.checked_at + MIN_CHECK_INTERVAL {
            self.reach = Reach::Checking;
        }
        self.reach == Reach::Checking
    }

    /// Returns the check that is due, if one is. Requests have waited for data for the time `silent_for`,
    /// without any from any server.
    pub fn due_check(&mut self, silent_for: Duration, now: Mono) -> Option<Check> {
        let since_check = now.saturating_sub(self.checked_at);
        if silent_for >= SILENCE && since_check >= SILENCE_CHECK_INTERVAL {
            self.suspect(now);
        }
        match self.reach {
            Reach::Checking => Some(Check::Full),
            Reach::CutOff => (since_check >= CUT_OFF_CHECK_INTERVAL).then_some(Check::Full),
            Reach::Open => {
                let last_sign = self.contact_at.max(self.checked_at);
                (now >= last_sign + IDLE_CHECK_INTERVAL).then_some(Check::Idle)
            }
        }
    }

    /// Records the outcome of a check, which reached `reached` of the `tried` servers. Returns whether the
    /// process can reach servers, if that has changed.
    pub fn check_ended(&mut self, reached: usize, tried: usize, now: Mono) -> Option<Reach> {
        self.checked_at = now;
        let was = self.reach;
        self.reach = match was {
            Reach::Open | Reach::Checking if tried > 0 && reached == 0 => Reach::CutOff,
            Reach::Open | Reach::Checking => Reach::Open,
            Reach::CutOff => self.reach_after_good_checks(reached * 2 > tried),
        };
        self.is_cut_confirmed &= self.reach == Reach::CutOff;
        let was_open = was != Reach::CutOff;
        let is_open = self.reach != Reach::CutOff;
        (was_open != is_open).then_some(self.reach)
    }

    fn reach_after_good_checks(&mut self, is_good: bool) -> Reach {
        self.good_checks = if is_good { self.good_checks + 1 } else { 0 };
        if self.good_checks < CHECKS_TO_RETURN {
            return Reach::CutOff;
        }
        self.good_checks = 0;
        Reach::Open
    }

    /// Records that another process reaches a server that this one doesn't.
    pub fn confirm_cut(&mut self) {
        self.is_cut_confirmed = self.reach == Reach::CutOff;
    }

    /// Returns whether this process reaches no server although another one does.
    pub fn is_cut_confirmed(&self) -> bool {
        self.is_cut_confirmed
    }

    /// Records which servers another process reaches.
    pub fn reached_elsewhere(&mut self, servers: &[ServerId]) {
        for server in servers {
            if let Some(path) = self.failed.get_mut(server) {
                path.is_reached_elsewhere = true;
            }
        }
    }

    /// Returns whether a server instance can't be reached from here though another process reaches it.
    pub fn is_unreachable(&self, server: &str, started_at_ms: u64) -> bool {
        self.failed
            .get(server)
            .is_some_and(|path| path.is_reached_elsewhere && path.started_at_ms == started_at_ms)
    }

    /// Returns whether connections to all of `servers` have failed, so many that others are likely to fail as
    /// well.
    pub fn have_all_failed(&self, servers: &[ServerId]) -> bool {
        servers.len() >= FAILURES_TO_LEAVE
            && servers.iter().all(|server| self.failed.contains_key(server))
    }

    /// Returns whether no connection to a server could be made.
    pub fn has_failed(&self, server: &str) -> bool {
        self.failed.contains_key(server)
    }

    /// Returns the servers to which connections have just failed, and of which nobody has said that they can
    /// be reached.
    pub fn unexplained_failures(&self, now: Mono) -> impl Iterator<Item = &ServerId> {
        let recent = move |path: &FailedPath| now < path.failed_at + QUESTION_TIME;
        let unexplained =
            self.failed.iter().filter(move |(_, path)| !path.is_reached_elsewhere && recent(path));
        unexplained.map(|(server, _)| server)
    }

    /// Returns the servers that other processes reach and this one doesn't.
    pub fn unreachable_servers(&self) -> impl Iterator<Item = &ServerId> {
        let unreachable = self.failed.iter().filter(|(_, path)| path.is_reached_elsewhere);
        unreachable.map(|(server, _)| server)
    }
}

/// Returns up to `count` of `servers`, from as many failure domains as possible; `draw` varies the choice.
pub fn spread_over_domains(
    mut servers: Vec<CheckTarget>,
    count: usize,
    draw: usize,
) -> Vec<CheckTarget> {
    if servers.is_empty() {
        return servers;
    }
    let start = draw % servers.len();
    servers.rotate_left(start);
    let mut chosen: Vec<CheckTarget> = Vec::new();
    while chosen.len() < count && !servers.is_empty() {
        let is_new = |server: &CheckTarget| {
            chosen.iter().all(|other| other.failure_domain != server.failure_domain)
        };
        let next = servers.iter().position(is_new).unwrap_or(0);
        chosen.push(servers.remove(next));
    }
    chosen
}
