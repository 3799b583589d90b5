//! Requests that crash the backend servers that run them, as far as this process knows.
//!
//! [`route::quarantine`] keeps the crashes and decides which requests are quarantined. Here a backend
//! server takes the place of a group, and its start time that of a generation. Unlike in
//! [`route::router`] there are no trials: a request that crashed one server is sent again as usual,
//! and one that crashed two, one after the other, is refused, with all that ran beside it in both.
//! Servers that fail together count as one crash, since a request that many callers send runs on
//! several of them. Nobody can lift a quarantine, so after [`RETRIAL_TIME`] the request may be sent
//! again. If it succeeds, it is cleared; if it crashes another server, it is refused again at once,
//! and for longer.
//!
//! Changes are numbered, so that another process gets those that it lacks ([`crate::peers`]). A row of the store holds the
//! crashes that nothing has cleared ([`route::crash_row`]), so that they outlast all processes.
//!
//! - `parts`: the same for parts of prompts, which requests share.

mod parts;

use base::prelude::*;
use route::crash_row::CrashRow;
use route::prelude::*;
use route::prompt_parts::PartKey;
use route::prompt_parts::PartQuarantine;
use route::quarantine::Crash;

use crate::change_log::ChangeLog;
pub use crate::change_log::ChangeNumber;
use crate::decision_log;
use crate::decision_log::Record;

pub use parts::TrackedParts;

/// Shortest time since its last crash after which a quarantined request may be sent again.
pub const RETRIAL_TIME: Duration = Duration::from_secs(120);
/// Most histories in one message, which keeps it small beside callers' requests.
pub const MAX_HISTORIES_PER_MESSAGE: usize = 64;

/// The key of the row of crashes, below the prefix of the system's own keys.
pub const ROW_KEY: &str = "crashes";

/// The time that a call waits at a hub for a change, for each process of the fleet. The calls without
/// a change are few at any size of the fleet then.
const WAIT_PER_PROCESS: Duration = Duration::from_millis(10);
/// Shortest and longest time that a call waits for a change. A hub that falls silent is noticed at the
/// end of it.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));
/// Crashes within this time of each other count as one, in milliseconds.
const SIMULTANEOUS_MILLIS: u64 = 40;
/// Number of crashes from which on a request is refused.
const CRASHES_TO_REFUSE: usize = 2;
/// A quarantined request may be sent again when so many times the time that its crashes span has
/// passed, so that one that goes on crashing servers does so ever more rarely.
const RETRIAL_SPANS: u64 = 2;
/// How far a stamp in the row may be ahead of the wall-clock time, as clocks differ, in milliseconds.
const MAX_AHEAD_MILLIS: u64 = 60_000;
/// Time between two removals of histories that are too old, in milliseconds.
const EXPIRY_PERIOD_MILLIS: u64 = 10_000;

/// What a change is of.
#[key]
enum Changed {
    /// The history of a whole request.
    Request(Fingerprint),
    /// The history of a part of prompts.
    Part(PartKey),
}

/// Whom changes are for.
#[key]
pub enum Audience {
    /// A hub, which joins what all processes have seen: it gets every change.
    Hub,
    /// Another process, which gets only requests that crashed more than one server. All others are
    /// sent as usual.
    Client,
}

/// Returns how long a call waits for a change at a hub, in a fleet of `processes`.
pub fn wait_time(processes: usize) -> Duration {
    let processes = u32::try_from(processes).unwrap_or(u32::MAX);
    WAIT_PER_PROCESS.saturating_mul(processes).clamp(WAIT_BOUNDS.0, WAIT_BOUNDS.1)
}

/// The crash histories that this process knows.
#[derive(Debug)]
pub struct CrashReports {
    /// Identifies this instance, and so what its change numbers mean.
    pub boot: BootId,
    quarantine: Quarantine,
    parts: PartQuarantine,
    clock: HlcClock,
    /// The changes of histories.
    changes: ChangeLog<Changed>,
    /// Wall-clock time of the next removal of histories that are too old.
    expiry_at_millis: u64,
}

impl CrashReports {
    /// Creates the reports of a process that knows of no crash.
    pub fn new(boot: BootId) -> Self {
        CrashReports {
            boot,
            quarantine: Quarantine::without_trials(),
            parts: PartQuarantine::default(),
            clock: HlcClock::default(),
            changes: ChangeLog::default(),
            expiry_at_millis: 0,
        }
    }

    /// Returns for how long a request is refused, if it is, at the wall-clock time `millis`, in
    /// milliseconds since 1970.
    pub fn refused_for(&self, fingerprint: Fingerprint, millis: u64) -> Option<Duration> {
        if self.quarantine.verdict(fingerprint, millis) != Verdict::Quarantined {
            return None;
        }
        let history = self.quarantine.history(fingerprint);
        if successive_crashes(&history) < CRASHES_TO_REFUSE {
            return None;
        }
        time_to_retrial(history.uncleared(), millis)
    }

    /// Records that the server `server`, which started at `started_at_ms`, ended while it ran a
    /// request.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        server: &str,
        started_at_ms: u64,
        millis: u64,
    ) {
        let at = self.clock.tick(millis);
        let crash = Crash { at, group: server.into(), generation: started_at_ms };
        let changed = self.quarantine.record_crash(&crash, &[fingerprint]);
        self.number(&changed, millis);
    }

    /// Records that a request succeeded, which clears it unless it is refused: a response to what
    /// was sent before the last crash says nothing. Returns whether anything changed.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, millis: u64) -> bool {
        if self.refused_for(fingerprint, millis).is_some() {
            return false;
        }
        let at = self.clock.tick(millis);
        let Some(changed) = self.quarantine.lift(fingerprint, at) else { return false };
        self.number(&[changed], millis);
        true
    }

    /// Joins histories from another process; returns whether anything changed.
    pub fn merge(&mut self, histories: &[CrashHistory], millis: u64) -> bool {
        let mut any = false;
        for history in histories {
            let stamps = history.crashes.iter().map(|crash| crash.at).chain([history.cleared]);
            stamps.for_each(|stamp| self.clock.observe(stamp));
            let changed = self.quarantine.merge(history, millis);
            any |= !changed.is_empty();
            self.number(&changed, millis);
        }
        any
    }

    /// Returns the row of crashes that the store should hold.
    pub fn row(&self) -> CrashRow {
        CrashRow::of(self.quarantine.histories(), self.parts.uncleared())
    }

    /// Joins the row of crashes that the store holds. All other processes get that row as well, so what it changes here
    /// isn't numbered. Stamps that are far ahead come from another writer: the clock must not follow them. Returns the number of requests that are refused because of it.
    pub fn merge_row(&mut self, row: &CrashRow, millis: u64) -> usize {
        let mut refused = 0;
        let until = millis.saturating_add(MAX_AHEAD_MILLIS);
        for history in row.histories().filter(|h| h.crashes.iter().all(|c| c.at.millis <= until)) {
            history.crashes.iter().for_each(|crash| self.clock.observe(crash.at));
            let was_refused = self.refused_for(history.fingerprint, millis).is_some();
            self.quarantine.merge(&history, millis);
            let is_refused = self.refused_for(history.fingerprint, millis).is_some();
            refused += usize::from(is_refused && !was_refused);
        }
        for history in row.parts() {
            let mut stamps = history.crashes.iter().map(|crash| crash.crash.at);
            if stamps.all(|at| at.millis <= until) && history.cleared.millis <= until {
                self.merge_part_history(history);
            }
        }
        self.expire_if_due(millis);
        refused
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> ChangeNumber {
        self.changes.last()
    }

    /// Returns the histories that changed after the change `after`, as many as fit into a message,
    /// and the last change that was considered.
    pub fn changes_since(
        &self,
        after: ChangeNumber,
        audience: Audience,
    ) -> (Vec<CrashHistory>, ChangeNumber) {
        let (mut histories, mut last) = (Vec::new(), after);
        for (number, changed) in self.changes.since(after) {
            if histories.len() == MAX_HISTORIES_PER_MESSAGE {
                break;
            }
            last = number;
            let Changed::Request(fingerprint) = changed else { continue };
            let history = self.quarantine.history(fingerprint);
            if audience == Audience::Hub || history.crashes.len() > 1 {
                histories.push(history);
            }
        }
        (histories, last)
    }

    /// Numbers the changed histories.
    fn number(&mut self, changed: &[CrashHistory], millis: u64) {
        for history in changed {
            self.changes.record(Changed::Request(history.fingerprint));
            log_change(history, millis);
        }
        self.expire_if_due(millis);
    }

    fn expire_if_due(&mut self, millis: u64) {
        if millis >= self.expiry_at_millis {
            self.expiry_at_millis = millis + EXPIRY_PERIOD_MILLIS;
            self.expire(millis);
        }
    }

    /// Drops histories that are too old, and the numbers of those that the quarantine has dropped.
    fn expire(&mut self, millis: u64) {
        self.quarantine.expire(millis);
        self.parts.expire(millis);
        let quarantine = &self.quarantine;
        let parts = &self.parts;
        self.changes.retain(|changed| match changed {
            Changed::Request(fingerprint) => !quarantine.history(fingerprint).crashes.is_empty(),
            Changed::Part(part) => parts.contains(part),
        });
    }
}

/// Returns the time until what caused `crashes`, oldest first, may be sent again; `None` if it may.
fn time_to_retrial<'a>(crashes: impl Iterator<Item = &'a Crash>, millis: u64) -> Option<Duration> {
    let stamps: Vec<u64> = crashes.map(|crash| crash.at.millis).collect();
    let (first, last) = (stamps.first()?, stamps.last()?);
    let span = last.saturating_sub(*first);
    let pause = Duration::from_millis(span.saturating_mul(RETRIAL_SPANS)).max(RETRIAL_TIME);
    let passed = Duration::from_millis(millis.saturating_sub(*last));
    Some(pause.saturating_sub(passed)).filter(|left| !left.is_zero())
}

/// Returns the number of crashes since the request was last cleared; those at the same time count as
/// one.
fn successive_crashes(history: &CrashHistory) -> usize {
    let (mut count, mut last) = (0, 0);
    for crash in history.uncleared() {
        if crash.at.millis >= last + SIMULTANEOUS_MILLIS {
            count += 1;
            last = crash.at.millis;
        }
    }
    count
}

/// Logs a change of a request that crashed more than one server.
fn log_change(history: &CrashHistory, millis: u64) {
    if history.crashes.len() < 2 {
        return;
    }
    let servers: Vec<&str> = history.crashes.iter().map(|crash| &*crash.group).collect();
    decision_log::write(&Record::Quarantine {
        fingerprint: history.fingerprint,
        state: match history.verdict(millis) {
            Verdict::Quarantined if successive_crashes(history) >= CRASHES_TO_REFUSE => {
                "quarantined"
            }
            Verdict::Quarantined | Verdict::Suspect => "suspect",
            Verdict::Clear => "cleared",
        },
        servers: &servers,
    });
}
