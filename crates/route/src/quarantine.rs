//! Poison requests, which crash the groups that run them: suspects and the quarantine.
//!
//! A crash is identified by a group and its generation. When a group crashes, the requests that it
//! was running become *suspects*. A suspect is tried again in isolation (see
//! [`trial`](crate::trial)). If it is answered, it is cleared. If the group crashes too, the
//! request was running in two crashes and is *quarantined*: all processes refuse it at once until
//! the quarantine expires or an operator lifts it. A quarantined request explains its crashes, so
//! the suspects of which all crashes are explained are cleared.
//!
//! What is known of a fingerprint is a [`CrashHistory`], which is spread by gossip. Its merge is a
//! join: the greatest stamp of each crash, the latest crashes, and the greatest clearing stamp. So
//! histories may arrive late, duplicated and in any order. Stamps are taken from the hybrid logical
//! clock, so the stamp of a clearing is greater than those of all crashes that it has seen.
//!
//! Invariants: at most [`MAX_HISTORIES`] histories are kept, and those of quarantined requests are
//! evicted last; a history without a recent crash has the verdict clear; only an operator or the
//! passage of time ends a quarantine.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::request::Fingerprint;

/// Maximum number of crashes in a history; the latest ones are kept.
const MAX_CRASHES: usize = 4;
/// Number of crashes from which on a request is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Maximum number of histories that one process keeps.
pub const MAX_HISTORIES: usize = 8192;
/// Time after a crash during which the requests that were running are suspects.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);
/// Time after its last crash during which a quarantined request is refused.
pub const QUARANTINE_LIFETIME: Duration = Duration::from_secs(3600);

/// A crash in which a request was running.
#[data]
#[derive(serde::Serialize, serde::Deserialize, Eq, PartialOrd, Ord)]
pub struct Crash {
    /// The stamp of its detection.
    pub at: Hlc,
    /// The group that crashed.
    pub group: GroupId,
    /// The generation of the group.
    pub generation: Generation,
}

impl Crash {
    pub(crate) fn is_same(&self, other: &Crash) -> bool {
        self.group == other.group && self.generation == other.generation
    }
}

/// The crashes in which a request was running, and its clearing.
#[data]
#[derive(serde::Serialize, serde::Deserialize, Eq)]
pub struct CrashHistory {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The latest crashes, oldest first.
    pub crashes: Vec<Crash>,
    /// Crashes up to this stamp are disregarded: since then the request was answered, all its
    /// crashes were explained, or an operator cleared it.
    pub cleared: Hlc,
}

impl CrashHistory {
    /// Returns the history of a request without crashes.
    pub fn new(fingerprint: Fingerprint) -> Self {
        CrashHistory { fingerprint, crashes: Vec::new(), cleared: Hlc::default() }
    }

    /// Joins the history that another process has; returns whether this one changed.
    pub fn merge(&mut self, other: &CrashHistory) -> bool {
        debug_assert_eq!(
            self.fingerprint, other.fingerprint,
            "histories of two requests are merged"
        );
        let before = self.clone();
        self.cleared = self.cleared.max(other.cleared);
        for crash in &other.crashes {
            match self.crashes.iter_mut().find(|known| known.is_same(crash)) {
                Some(known) => known.at = known.at.max(crash.at),
                None => self.crashes.push(crash.clone()),
            }
        }
        self.crashes.sort();
        let surplus = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..surplus);
        *self != before
    }

    /// Returns the verdict at the wall-clock time `millis`, in milliseconds since 1970.
    pub fn verdict(&self, millis: u64) -> Verdict {
        let recent = |lifetime: Duration| {
            let oldest = millis.saturating_sub(lifetime.as_millis() as u64);
            let is_recent = |crash: &&Crash| crash.at > self.cleared && crash.at.millis >= oldest;
            self.crashes.iter().filter(is_recent).count()
        };
        // A quarantine lasts from the last crash, so the first crash may be older than its
        // lifetime.
        if self.uncleared().count() >= CRASHES_TO_QUARANTINE && recent(QUARANTINE_LIFETIME) > 0 {
            return Verdict::Quarantined;
        }
        if recent(SUSPECT_LIFETIME) > 0 { Verdict::Suspect } else { Verdict::Clear }
    }

    /// Returns the crashes since the request was last cleared, oldest first.
    pub fn uncleared(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| crash.at > self.cleared)
    }

    /// Returns the greatest stamp of its crashes and its clearing.
    fn last_stamp(&self) -> Hlc {
        self.crashes.last().map_or(self.cleared, |crash| crash.at.max(self.cleared))
    }
}

/// How a request is treated because of its crashes.
#[key]
pub enum Verdict {
    /// It is routed normally.
    Clear,
    /// It was running in a crash; it is tried again in isolation.
    Suspect,
    /// It was running in at least two crashes; it is refused.
    #[serde(rename = "convicted")]
    Quarantined,
}

/// The crash histories that one process knows.
#[data]
#[derive(Default)]
pub struct Quarantine {
    histories: BTreeMap<Fingerprint, CrashHistory>,
    /// The crashes of quarantined requests.
    explained: Vec<Crash>,
    /// Whether suspects may run at the same group. Then a quarantined request explains nothing, since
    /// the one that caused its crashes may have run beside it in all of them.
    has_no_trials: bool,
}

impl Quarantine {
    /// Creates the quarantine of a process that tries suspects again without trials.
    pub fn without_trials() -> Self {
        Quarantine { has_no_trials: true, ..Quarantine::default() }
    }

    /// Returns the verdict on a request at the wall-clock time `millis`.
    pub fn verdict(&self, fingerprint: Fingerprint, millis: u64) -> Verdict {
        self.histories.get(&fingerprint).map_or(Verdict::Clear, |history| history.verdict(millis))
    }

    /// Returns the history of a request, empty if none is known.
    pub fn history(&self, fingerprint: Fingerprint) -> CrashHistory {
        self.histories.get(&fingerprint).cloned().unwrap_or_else(|| CrashHistory::new(fingerprint))
    }

    /// Records that a group crashed while it was running the requests; returns the changed
    /// histories, which have to be published.
    pub fn record_crash(&mut self, crash: &Crash, running: &[Fingerprint]) -> Vec<CrashHistory> {
        let mut changed = Vec::new();
        for &fingerprint in running {
            let history = self.history(fingerprint);
            if history.crashes.iter().any(|known| known.is_same(crash)) {
                continue;
            }
            let crashes = vec![crash.clone()];
            changed.extend(self.merge(&CrashHistory { crashes, ..history }, crash.at.millis));
        }
        changed
    }

    /// Records that a request was answered; returns its history if that cleared a suspect.
    ///
    /// `at` must be greater than all stamps seen so far.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, at: Hlc) -> Option<CrashHistory> {
        let history = self.histories.get_mut(&fingerprint)?;
        if history.verdict(at.millis) != Verdict::Suspect {
            return None;
        }
        history.cleared = history.cleared.max(at);
        Some(history.clone())
    }

    /// Clears a quarantined request or a suspect for an operator; returns its changed history.
    ///
    /// `at` must be greater than all stamps seen so far.
    pub fn lift(&mut self, fingerprint: Fingerprint, at: Hlc) -> Option<CrashHistory> {
        let history = self.histories.get_mut(&fingerprint)?;
        if history.verdict(at.millis) == Verdict::Clear {
            return None;
        }
        history.cleared = history.cleared.max(at);
        Some(history.clone())
    }

    /// Joins a history; returns all histories that changed, including those of suspects that it
    /// clears.
    pub fn merge(&mut self, history: &CrashHistory, millis: u64) -> Vec<CrashHistory> {
        let fingerprint = history.fingerprint;
        let known =
            self.histories.entry(fingerprint).or_insert_with(|| CrashHistory::new(fingerprint));
        if !known.merge(history) {
            return Vec::new();
        }
        let mut changed = vec![known.clone()];
        changed.extend(self.clear_explained_suspects(fingerprint, millis));
        self.evict_excess(millis);
        changed
    }

    /// Drops histories and crashes older than [`QUARANTINE_LIFETIME`].
    pub fn expire(&mut self, millis: u64) {
        let oldest = millis.saturating_sub(QUARANTINE_LIFETIME.as_millis() as u64);
        self.histories.retain(|_, history| history.last_stamp().millis >= oldest);
        self.explained.retain(|crash| crash.at.millis >= oldest);
    }

    /// Returns the histories of all suspects and quarantined requests with their verdicts.
    pub fn list(&self, millis: u64) -> Vec<(CrashHistory, Verdict)> {
        let histories =
            self.histories.values().map(|history| (history.clone(), history.verdict(millis)));
        histories.filter(|(_, verdict)| *verdict != Verdict::Clear).collect()
    }

    /// Returns all histories.
    pub fn histories(&self) -> impl Iterator<Item = &CrashHistory> {
        self.histories.values()
    }

    /// Returns the number of histories.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Returns whether no history is known.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Clears the suspects whose crashes are all explained, after the history of `changed` changed.
    fn clear_explained_suspects(&mut self, changed: Fingerprint, millis: u64) -> Vec<CrashHistory> {
        if self.has_no_trials {
            return Vec::new();
        }
        let Some(history) = self.histories.get(&changed) else { return Vec::new() };
        match history.verdict(millis) {
            Verdict::Clear => Vec::new(),
            Verdict::Suspect => self.clear_if_explained(changed).into_iter().collect(),
            Verdict::Quarantined => {
                for crash in &history.crashes {
                    self.explained.retain(|known| !known.is_same(crash));
                    self.explained.push(crash.clone());
                }
                let histories = self.histories.values();
                let suspects =
                    histories.filter(|history| history.verdict(millis) == Verdict::Suspect);
                let suspects: Vec<Fingerprint> =
                    suspects.map(|history| history.fingerprint).collect();
                suspects
                    .into_iter()
                    .filter_map(|suspect| self.clear_if_explained(suspect))
                    .collect()
            }
        }
    }

    /// Clears a suspect if all its uncleared crashes are explained.
    fn clear_if_explained(&mut self, suspect: Fingerprint) -> Option<CrashHistory> {
        let explained = &self.explained;
        let is_explained = |crash: &Crash| explained.iter().any(|other| other.is_same(crash));
        let history = self.histories.get_mut(&suspect)?;
        let uncleared = history.crashes.iter().filter(|crash| crash.at > history.cleared);
        if !uncleared.clone().all(is_explained) {
            return None;
        }
        history.cleared = uncleared.map(|crash| crash.at).max().unwrap_or(history.cleared);
        Some(history.clone())
    }

    /// Evicts an eighth of the histories when there are too many: clear ones first, then suspects,
    /// then quarantined ones, and older ones first among equals.
    fn evict_excess(&mut self, millis: u64) {
        if self.histories.len() <= MAX_HISTORIES {
            return;
        }
        let rank = |history: &CrashHistory| {
            (history.verdict(millis), history.last_stamp(), history.fingerprint)
        };
        let mut ranked: Vec<_> = self.histories.values().map(rank).collect();
        ranked.sort_unstable();
        for (_, _, fingerprint) in &ranked[..MAX_HISTORIES / 8] {
            self.histories.remove(fingerprint);
        }
    }
}
