//! Requests that crash the groups that run them: suspects, convictions and the quarantine.
//!
//! A crash is one group at one generation. When a group crashes, the requests that it ran become
//! *suspects*. A suspect is tried again alone (see [`trial`](crate::trial)): if it is answered it
//! is cleared; if the group crashes too, the request is in the intersection of two crashes' sets
//! and is *convicted*: all processes refuse it at once until its quarantine expires or an operator
//! lifts it. A conviction explains its crashes, so the other suspects of those are cleared.
//!
//! What is known of a fingerprint is a [`CrashHistory`], spread by gossip. Its merge is a join: the
//! greatest stamp of each crash, the latest crashes, and the greatest clearing stamp. So facts
//! may arrive late, doubled and in any order. Stamps are of the hybrid logical clock, so a
//! clearing that saw a crash is greater than it.
//!
//! Invariants: at most [`MAX_HISTORIES`] facts, convictions are dropped last; a fact without a live
//! crash is clear; nobody but an operator or time ends a conviction.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::request::Fingerprint;

/// Crashes that one fact keeps, the latest ones.
const MAX_CRASHES: usize = 4;
/// Crashes that convict.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Facts that one process keeps.
pub const MAX_HISTORIES: usize = 8192;
/// Time after a crash during which its requests are suspects.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);
/// Time after its last crash during which a convicted request is refused.
pub const QUARANTINE_LIFETIME: Duration = Duration::from_secs(3600);

/// One crash that a request was in.
#[wire]
#[derive(Eq, PartialOrd, Ord)]
pub struct Crash {
    /// When it was noticed.
    pub at: Hlc,
    /// The group that crashed.
    pub group: GroupId,
    /// Its generation.
    pub generation: Generation,
}

impl Crash {
    fn is_same(&self, other: &Crash) -> bool {
        self.group == other.group && self.generation == other.generation
    }
}

/// What is known of one fingerprint.
#[wire]
#[derive(Eq)]
pub struct CrashHistory {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The latest crashes that it was in, oldest first.
    pub crashes: Vec<Crash>,
    /// Crashes up to this stamp say nothing: it was answered since, or an operator lifted it.
    pub cleared: Hlc,
}

impl CrashHistory {
    /// Returns the fact of a request that was in no crash.
    pub fn new(fingerprint: Fingerprint) -> Self {
        CrashHistory { fingerprint, crashes: Vec::new(), cleared: Hlc::default() }
    }

    /// Joins what another process knows; returns whether that was news.
    pub fn merge(&mut self, other: &CrashHistory) -> bool {
        debug_assert_eq!(self.fingerprint, other.fingerprint, "facts of two requests");
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

    /// Returns the verdict at the wall-clock time `millis`.
    pub fn verdict(&self, millis: u64) -> Verdict {
        let recent = |lifetime: Duration| {
            let oldest = millis.saturating_sub(lifetime.as_millis() as u64);
            let is_recent = |crash: &&Crash| crash.at > self.cleared && crash.at.millis >= oldest;
            self.crashes.iter().filter(is_recent).count()
        };
        // A conviction lasts from the last crash, so its first crash may be older than that.
        let uncleared = self.crashes.iter().filter(|crash| crash.at > self.cleared).count();
        if uncleared >= CRASHES_TO_QUARANTINE && recent(QUARANTINE_LIFETIME) > 0 {
            return Verdict::Quarantined;
        }
        if recent(SUSPECT_LIFETIME) > 0 { Verdict::Suspect } else { Verdict::Clear }
    }

    fn last_stamp(&self) -> Hlc {
        self.crashes.last().map_or(self.cleared, |crash| crash.at.max(self.cleared))
    }
}

/// How a request is held.
#[key]
pub enum Verdict {
    /// Nothing is held against it.
    Clear,
    /// It was running when a group crashed; it is tried again alone.
    Suspect,
    /// It was running in two crashes; it is refused.
    #[serde(rename = "convicted")]
    Quarantined,
}

/// What one process knows of all fingerprints.
#[data]
#[derive(Default)]
pub struct Quarantine {
    histories: BTreeMap<Fingerprint, CrashHistory>,
    /// Crashes of convicted requests.
    explained: Vec<Crash>,
}

impl Quarantine {
    /// Returns the verdict on a request.
    pub fn verdict(&self, fingerprint: Fingerprint, millis: u64) -> Verdict {
        self.histories.get(&fingerprint).map_or(Verdict::Clear, |history| history.verdict(millis))
    }

    /// Returns what is known of a request.
    pub fn history(&self, fingerprint: Fingerprint) -> CrashHistory {
        self.histories.get(&fingerprint).cloned().unwrap_or_else(|| CrashHistory::new(fingerprint))
    }

    /// Notes that a group crashed while it ran the requests; returns what has to be spread.
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

    /// Notes that a request was answered, with a stamp above all seen.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, at: Hlc) -> Option<CrashHistory> {
        let history = self.histories.get_mut(&fingerprint)?;
        if history.verdict(at.millis) != Verdict::Suspect {
            return None;
        }
        history.cleared = history.cleared.max(at);
        Some(history.clone())
    }

    /// Ends a quarantine or suspicion by an operator's order, with a stamp above all seen.
    pub fn lift(&mut self, fingerprint: Fingerprint, at: Hlc) -> Option<CrashHistory> {
        let history = self.histories.get_mut(&fingerprint)?;
        if history.verdict(at.millis) == Verdict::Clear {
            return None;
        }
        history.cleared = history.cleared.max(at);
        Some(history.clone())
    }

    /// Joins a fact; returns all facts that changed by it, also those that it clears.
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

    /// Drops facts that say nothing any more.
    pub fn expire(&mut self, millis: u64) {
        let oldest = millis.saturating_sub(QUARANTINE_LIFETIME.as_millis() as u64);
        self.histories.retain(|_, history| history.last_stamp().millis >= oldest);
        self.explained.retain(|crash| crash.at.millis >= oldest);
    }

    /// Returns all suspects and convicts with their verdict.
    pub fn list(&self, millis: u64) -> Vec<(CrashHistory, Verdict)> {
        let histories =
            self.histories.values().map(|history| (history.clone(), history.verdict(millis)));
        histories.filter(|(_, verdict)| *verdict != Verdict::Clear).collect()
    }

    /// Returns the number of facts.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Clears the suspects whose crashes are all explained, after `changed` took over a fact.
    fn clear_explained_suspects(&mut self, changed: Fingerprint, millis: u64) -> Vec<CrashHistory> {
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

    /// Drops the facts that matter least, an eighth at once, when there are too many.
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
