//! Parts of prompts that crash the backend servers that begin to answer them.
//!
//! Requests share parts of their prompts. A part that crashes servers does so in each request that
//! has it, so no two of these requests need be alike. A *crash* is a server that ended while a request
//! waited there for its answer to begin: every part of that request is a suspect, since none is known
//! to be sound there. What speaks against a part is that an answer to a prompt with it begins.
//!
//! A part is refused when at least [`CRASHES_TO_REFUSE`] servers crashed since an answer last began,
//! over at least [`MIN_CRASH_SPAN`], so that servers that fail together refuse nothing. Of parts with
//! the same crashes only one is refused: that with the most crashes, else that which stands deepest in
//! the prompts, which is the most specific one. So the first part of all prompts of a route stays
//! usable when a later one is at fault. If it is at fault itself, its crashes go on without the
//! deeper part, and soon outnumber those of any other.
//!
//! Callers name the parts of their prompts, so a caller might crash servers in the name of a part that
//! others use. Crashes count for the workspace that caused them; those of two workspaces count for
//! all.
//!
//! What is known of a part is a [`PartHistory`]; its merge is a join, as that of a
//! [`CrashHistory`](crate::quarantine::CrashHistory). Invariants: at most [`MAX_PARTS`] are kept, of
//! which those with the fewest crashes are evicted first; only time or an answer clears a part.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::hash::stable;
use base::prelude::*;

use crate::quarantine::Crash;
use crate::quarantine::QUARANTINE_LIFETIME;

/// Number of servers that must have crashed before a part is refused.
pub const CRASHES_TO_REFUSE: usize = 3;
/// Shortest time between the first and the last of these crashes.
pub const MIN_CRASH_SPAN: Duration = Duration::from_millis(300);
/// Maximum number of parts that one process keeps.
pub const MAX_PARTS: usize = 1024;
/// Maximum number of crashes in a history; the latest ones are kept.
const MAX_CRASHES: usize = 12;

/// Identifies a part of prompts for a model of a service.
pub type PartKey = u64;

/// Identifies a workspace.
pub type Source = u64;

/// Returns the key of the part `id` in prompts for a model of a service.
///
/// A part may harm one model only, so each model has its own.
pub fn part_key(service: &str, model: &str, id: &str) -> PartKey {
    stable(format!("{service}\0{model}\0{id}").as_bytes())
}

/// Returns the identifier of a workspace.
pub fn source(workspace: &str) -> Source {
    stable(workspace.as_bytes())
}

/// A crash in which an answer to a prompt with a part had not begun.
#[data]
#[derive(serde::Serialize, serde::Deserialize, Eq, PartialOrd, Ord)]
pub struct PartCrash {
    /// The crash.
    pub crash: Crash,
    /// The workspace of the request.
    pub source: Source,
}

impl PartCrash {
    fn is_same(&self, other: &PartCrash) -> bool {
        self.source == other.source && self.crash.is_same(&other.crash)
    }
}

/// The crashes of a part, and its clearing.
#[data]
#[derive(serde::Serialize, serde::Deserialize, Eq)]
pub struct PartHistory {
    /// The part.
    pub part: PartKey,
    /// Its position in the prompts; the first is 0.
    pub depth: u8,
    /// The latest crashes, oldest first.
    pub crashes: Vec<PartCrash>,
    /// Crashes up to this stamp are disregarded: since then an answer has begun.
    pub cleared: Hlc,
}

impl PartHistory {
    fn new(part: PartKey, depth: u8) -> Self {
        PartHistory { part, depth, crashes: Vec::new(), cleared: Hlc::default() }
    }

    /// Joins the history that another process has; returns whether this one changed.
    fn merge(&mut self, other: &PartHistory) -> bool {
        let before = self.clone();
        self.cleared = self.cleared.max(other.cleared);
        self.depth = self.depth.max(other.depth);
        for crash in &other.crashes {
            match self.crashes.iter_mut().find(|known| known.is_same(crash)) {
                Some(known) => known.crash.at = known.crash.at.max(crash.crash.at),
                None => self.crashes.push(crash.clone()),
            }
        }
        self.crashes.sort();
        let surplus = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..surplus);
        *self != before
    }

    /// Returns the crashes since an answer last began that count for a workspace, oldest first.
    fn counted(&self, source: Source) -> Vec<&Crash> {
        let open: Vec<&PartCrash> =
            self.crashes.iter().filter(|crash| crash.crash.at > self.cleared).collect();
        let sources: BTreeSet<Source> = open.iter().map(|crash| crash.source).collect();
        if sources.len() < 2 && !sources.contains(&source) {
            return Vec::new();
        }
        let mut counted: Vec<&Crash> = Vec::new();
        for crash in open {
            if !counted.iter().any(|other| other.is_same(&crash.crash)) {
                counted.push(&crash.crash);
            }
        }
        counted
    }

    fn last_stamp(&self) -> Hlc {
        self.crashes.last().map_or(self.cleared, |crash| crash.crash.at.max(self.cleared))
    }
}

/// Why a part is refused.
#[data]
pub struct PartRefusal {
    /// The part.
    pub part: PartKey,
    /// The crashes that count, oldest first.
    pub crashes: Vec<Crash>,
}

/// The histories of the parts that one process knows.
#[data]
#[derive(Default)]
pub struct PartQuarantine {
    histories: BTreeMap<PartKey, PartHistory>,
}

impl PartQuarantine {
    /// Returns why prompts of a workspace with one of `parts` are refused, if they are.
    pub fn refusal(&self, parts: &[PartKey], source: Source) -> Option<PartRefusal> {
        parts.iter().find_map(|part| self.part_refusal(*part, source))
    }

    fn part_refusal(&self, part: PartKey, source: Source) -> Option<PartRefusal> {
        let history = self.histories.get(&part)?;
        let counted = history.counted(source);
        if !are_enough(&counted) {
            return None;
        }
        let rank = |history: &PartHistory, counted: &[&Crash]| {
            (counted.len(), history.depth, history.part)
        };
        let own_rank = rank(history, &counted);
        let mut unexplained = counted.clone();
        for other in self.histories.values() {
            let explained = other.counted(source);
            if are_enough(&explained) && rank(other, &explained) > own_rank {
                unexplained.retain(|crash| !explained.iter().any(|other| other.is_same(crash)));
            }
        }
        let crashes = counted.into_iter().cloned().collect();
        are_enough(&unexplained).then_some(PartRefusal { part, crashes })
    }

    /// Records that a server crashed before an answer to a prompt with `parts`, in their order, began;
    /// returns the changed histories, which have to be published.
    pub fn record_crash(&mut self, crash: &PartCrash, parts: &[PartKey]) -> Vec<PartHistory> {
        let mut changed = Vec::new();
        for (depth, part) in parts.iter().enumerate() {
            let depth = u8::try_from(depth).unwrap_or(u8::MAX);
            let new =
                PartHistory { crashes: vec![crash.clone()], ..PartHistory::new(*part, depth) };
            changed.extend(self.merge(&new));
        }
        changed
    }

    /// Records that an answer to a prompt with `parts` has begun; returns the histories that it
    /// cleared.
    ///
    /// `at` must be greater than all stamps seen so far.
    pub fn record_answer(&mut self, parts: &[PartKey], at: Hlc) -> Vec<PartHistory> {
        let mut changed = Vec::new();
        for part in parts {
            let Some(history) = self.histories.get_mut(part) else { continue };
            if history.crashes.iter().any(|crash| crash.crash.at > history.cleared) {
                history.cleared = history.cleared.max(at);
                changed.push(history.clone());
            }
        }
        changed
    }

    /// Joins a history; returns it if that changed it.
    pub fn merge(&mut self, history: &PartHistory) -> Option<PartHistory> {
        let known = self.histories.entry(history.part);
        let known = known.or_insert_with(|| PartHistory::new(history.part, history.depth));
        let changed = known.merge(history).then(|| known.clone());
        self.evict_excess();
        changed
    }

    /// Returns the history of a part, if it has any.
    pub fn history(&self, part: PartKey) -> Option<&PartHistory> {
        self.histories.get(&part)
    }

    /// Drops histories whose last change is too old.
    pub fn expire(&mut self, millis: u64) {
        let oldest = millis.saturating_sub(QUARANTINE_LIFETIME.as_millis() as u64);
        self.histories.retain(|_, history| history.last_stamp().millis >= oldest);
    }

    /// Evicts an eighth of the histories when there are too many: those with the fewest crashes since
    /// they were cleared first, and older ones first among equals.
    fn evict_excess(&mut self) {
        if self.histories.len() <= MAX_PARTS {
            return;
        }
        let rank = |history: &PartHistory| {
            let open = history.crashes.iter().filter(|crash| crash.crash.at > history.cleared);
            (open.count(), history.last_stamp(), history.part)
        };
        let mut ranked: Vec<_> = self.histories.values().map(rank).collect();
        ranked.sort_unstable();
        for (_, _, part) in &ranked[..MAX_PARTS / 8] {
            self.histories.remove(part);
        }
    }
}

/// Returns whether so many crashes are no coincidence.
fn are_enough(crashes: &[&Crash]) -> bool {
    let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else { return false };
    let span = last.at.millis.saturating_sub(first.at.millis);
    crashes.len() >= CRASHES_TO_REFUSE && u128::from(span) >= MIN_CRASH_SPAN.as_millis()
}
