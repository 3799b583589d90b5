//! Parts of prompts that crash the backend servers that begin to answer them.
//!
//! Requests share parts of their prompts. A part that crashes servers does so in each request that
//! has it, so no two of these requests need be alike. A *crash* is a server that ended while a request
//! waited there for its answer to begin: every part of that request is a suspect, since none is known
//! to be sound there. What speaks against a part is that an answer to a prompt with it begins: that
//! clears it of all crashes before.
//!
//! What the crashes of a part show is that some part is at fault that was there in each of them. The
//! suspects of these crashes are all such parts. A prompt that holds all of them holds the one at
//! fault, and is refused after [`CRASHES_TO_REFUSE`] crashes over at least [`MIN_CRASH_SPAN`], so that
//! servers that fail together refuse nothing. A prompt that lacks one of them is sent: its answer clears
//! the parts that it has, or its crash leaves only these. So sound requests clear the parts that they share with the
//! crashing ones, and whichever part is at fault is left, wherever it stands in the prompts.
//!
//! A refusal may be wrong: two parts may be at fault at once under a sound one that all prompts share, or
//! servers may fail for other reasons. So a prompt isn't refused for crashes that a part explains that it lacks. And what is
//! refused is tried after a pause ([`Evidence::pause`]), which grows with the crashes, since only an answer can clear it; it
//! is short while there is doubt. Up to five crashes cost the rule nothing.
//!
//! Callers name the parts of their prompts, so a caller might crash servers in the name of a part that
//! others use. Crashes count for the workspace that caused them; those of two workspaces count for
//! all.
//!
//! Parts with the same crashes are passed on as one [`PartHistory`], however many they are. Its merge is a join for each
//! part, as that of a [`CrashHistory`](crate::quarantine::CrashHistory). Invariants: at most [`MAX_PARTS`] are kept, of
//! which those with the fewest crashes are evicted first; only time or an answer clears a part.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use base::hash::stable;
use base::prelude::*;

use crate::part_evidence::Evidence;
use crate::part_evidence::Held;
use crate::quarantine::Crash;
use crate::quarantine::QUARANTINE_LIFETIME;

/// Number of servers that must have crashed before a part is refused.
pub const CRASHES_TO_REFUSE: usize = 3;
/// Shortest time between the first and the last of these crashes.
pub const MIN_CRASH_SPAN: Duration = Duration::from_millis(300);
/// Maximum number of parts that one process keeps. A prompt has a few thousand at most, as many as a head has room for.
pub const MAX_PARTS: usize = 1 << 15;
/// Maximum number of crashes in a history; the latest ones are kept.
const MAX_CRASHES: usize = 12;
/// Number of crashes from which on a part that has them is a suspect.
const CRASHES_TO_SUSPECT: usize = 2;

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

/// The crashes of parts that have the same ones, and their clearing.
#[data]
#[derive(serde::Serialize, serde::Deserialize, Eq)]
pub struct PartHistory {
    /// The one of the parts that stands deepest in the prompts. An earlier build knows only this one.
    pub part: PartKey,
    /// Its position in the prompts; the first is 0.
    pub depth: u8,
    /// The latest crashes, oldest first.
    pub crashes: Vec<PartCrash>,
    /// Crashes up to this stamp are disregarded: since then an answer has begun.
    pub cleared: Hlc,
    /// The other parts, with their positions.
    #[serde(default, skip_serializing_if = "Vec::is_empty", with = "hex_parts")]
    pub others: Vec<(u8, PartKey)>,
}

impl PartHistory {
    /// Returns the parts.
    pub fn parts(&self) -> impl Iterator<Item = PartKey> + '_ {
        self.with_depths().map(|(_, part)| part)
    }

    /// Returns the parts and their positions.
    fn with_depths(&self) -> impl Iterator<Item = (u8, PartKey)> + '_ {
        std::iter::once((self.depth, self.part)).chain(self.others.iter().copied())
    }

    /// Returns the crashes since an answer last began, oldest first.
    pub fn uncleared(&self) -> impl Iterator<Item = &PartCrash> {
        self.crashes.iter().filter(|crash| crash.crash.at > self.cleared)
    }
}

/// Parts in JSON: a string with two hexadecimal digits for the position of each and 16 for its key.
mod hex_parts {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    use super::PartKey;

    /// Digits of a position, and of a part.
    const DEPTH_DIGITS: usize = 2;
    const DIGITS: usize = DEPTH_DIGITS + 16;

    pub(super) fn serialize<S: Serializer>(
        parts: &[(u8, PartKey)],
        to: S,
    ) -> Result<S::Ok, S::Error> {
        let text: String =
            parts.iter().map(|(depth, key)| format!("{depth:02x}{key:016x}")).collect();
        to.serialize_str(&text)
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(
        from: D,
    ) -> Result<Vec<(u8, PartKey)>, D::Error> {
        let text = <std::borrow::Cow<'_, str>>::deserialize(from)?;
        let parts = text.as_bytes().chunks(DIGITS).map(part);
        let parts: Option<Vec<(u8, PartKey)>> = parts.collect();
        parts.ok_or_else(|| D::Error::custom("a part has 18 hexadecimal digits"))
    }

    fn part(digits: &[u8]) -> Option<(u8, PartKey)> {
        let digits = std::str::from_utf8(digits).ok().filter(|digits| digits.len() == DIGITS)?;
        let (depth, key) = digits.split_at_checked(DEPTH_DIGITS)?;
        Some((u8::from_str_radix(depth, 16).ok()?, PartKey::from_str_radix(key, 16).ok()?))
    }
}

/// What is known of one part.
#[data]
#[derive(Default)]
struct Part {
    depth: u8,
    /// The latest crashes, oldest first. Parts of one prompt share them.
    crashes: Vec<Arc<PartCrash>>,
    cleared: Hlc,
}

impl Part {
    /// Joins what another process knows of the part; returns whether this changed.
    fn merge(&mut self, depth: u8, crashes: &[Arc<PartCrash>], cleared: Hlc) -> bool {
        let before = self.clone();
        self.cleared = self.cleared.max(cleared);
        self.depth = self.depth.max(depth);
        for crash in crashes {
            match self.crashes.iter_mut().find(|known| known.is_same(crash)) {
                Some(known) if crash.crash.at > known.crash.at => *known = crash.clone(),
                Some(_) => {}
                None => self.crashes.push(crash.clone()),
            }
        }
        self.crashes.sort();
        let surplus = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..surplus);
        *self != before
    }

    /// Returns the crashes since an answer last began, oldest first.
    fn uncleared(&self) -> impl Iterator<Item = &PartCrash> {
        self.crashes.iter().map(|crash| &**crash).filter(|crash| crash.crash.at > self.cleared)
    }

    /// Returns the crashes since an answer last began that count for a workspace, oldest first.
    fn counted(&self, source: Source) -> Vec<&Crash> {
        let sources: BTreeSet<Source> = self.uncleared().map(|crash| crash.source).collect();
        if sources.len() < 2 && !sources.contains(&source) {
            return Vec::new();
        }
        let mut counted: Vec<&Crash> = Vec::new();
        for crash in self.uncleared() {
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

/// Why a prompt is refused.
#[data]
pub struct PartRefusal {
    /// The suspect that stands deepest in the prompt.
    pub part: PartKey,
    /// Number of the suspects, of which the prompt holds all or some.
    pub suspects: usize,
    /// The crashes that count, oldest first.
    pub crashes: Vec<Crash>,
    /// How long prompts of this kind are still refused.
    pub left: Duration,
}

/// The parts that were there in each of some crashes.
struct Suspects {
    parts: BTreeSet<PartKey>,
    /// The one that stands deepest, and its position.
    deepest: Option<(u8, PartKey)>,
    /// Whether answers to prompts with each of them have begun before these crashes.
    were_answered: bool,
    /// The largest number of these crashes in which another part was there: more than one part may be at fault.
    rival: usize,
    /// The same of the parts that a prompt lacks.
    lacked_rival: usize,
}

impl Suspects {
    /// Returns which of them a prompt holds.
    fn held(&self, prompt: &BTreeSet<PartKey>) -> Held {
        let count = self.parts.intersection(prompt).count();
        if count == self.parts.len() {
            return Held::All;
        }
        if count * count <= self.parts.len() {
            return Held::Few;
        }
        match self.deepest.is_some_and(|(_, key)| prompt.contains(&key)) {
            true => Held::Deepest,
            false => Held::Others,
        }
    }
}

/// The crashes of a part, and its clearing.
type KnownOfPart<'a> = (&'a [Arc<PartCrash>], Hlc);

/// The histories of the parts that one process knows.
#[data]
#[derive(Default)]
pub struct PartQuarantine {
    parts: BTreeMap<PartKey, Part>,
}

impl PartQuarantine {
    /// Returns why prompts of a workspace with `parts`, in their order, are refused at the wall-clock time `millis`, in
    /// milliseconds since 1970, if they are.
    pub fn refusal(&self, parts: &[PartKey], source: Source, millis: u64) -> Option<PartRefusal> {
        if self.parts.is_empty() {
            return None;
        }
        let prompt: BTreeSet<PartKey> = parts.iter().copied().collect();
        let known = prompt.iter().filter_map(|key| self.parts.get(key));
        let counted = known.map(|part| part.counted(source));
        // Parts with the same crashes have the same suspects.
        let mut cases: Vec<Vec<&Crash>> = Vec::new();
        for crashes in counted.filter(|crashes| are_enough(crashes)) {
            if !cases.iter().any(|case| are_same(case, &crashes)) {
                cases.push(crashes);
            }
        }
        let refusals = cases.iter().filter_map(|crashes| {
            let suspects = self.suspects(crashes, source, &prompt);
            let evidence = Evidence {
                crashes: crashes.len(),
                unexplained: crashes.len() - suspects.lacked_rival,
                held: suspects.held(&prompt),
                is_doubtful: suspects.were_answered || suspects.rival >= CRASHES_TO_SUSPECT,
            };
            let last = crashes.iter().map(|crash| crash.at.millis).max()?;
            let passed = Duration::from_millis(millis.saturating_sub(last));
            Some(PartRefusal {
                part: *parts.iter().rev().find(|key| suspects.parts.contains(key))?,
                suspects: suspects.parts.len(),
                crashes: crashes.iter().map(|crash| (*crash).clone()).collect(),
                left: evidence.pause().saturating_sub(passed),
            })
        });
        refusals.filter(|refusal| !refusal.left.is_zero()).max_by_key(|refusal| refusal.left)
    }

    /// Returns the parts that were there in each of `crashes`, as a request with `prompt` needs them.
    fn suspects(&self, crashes: &[&Crash], source: Source, prompt: &BTreeSet<PartKey>) -> Suspects {
        let mut suspects = Suspects {
            parts: BTreeSet::new(),
            deepest: None,
            were_answered: true,
            rival: 0,
            lacked_rival: 0,
        };
        let first = crashes.iter().map(|crash| crash.at).min().unwrap_or_default();
        for (key, part) in self.parts.iter().filter(|(_, part)| part.crashes.len() > 1) {
            // An answer since the first of these crashes shows that the part is sound.
            if part.cleared > first {
                continue;
            }
            let counted = part.counted(source);
            let shared = crashes.iter().filter(|crash| contains(&counted, crash)).count();
            if shared == crashes.len() {
                suspects.parts.insert(*key);
                suspects.deepest = suspects.deepest.max(Some((part.depth, *key)));
                suspects.were_answered &= part.cleared > Hlc::default();
                continue;
            }
            suspects.rival = suspects.rival.max(shared);
            if !prompt.contains(key) {
                suspects.lacked_rival = suspects.lacked_rival.max(shared);
            }
        }
        suspects
    }

    /// Records that a server crashed before an answer to a prompt with `parts`, in their order, began;
    /// returns the changed histories, which have to be published.
    pub fn record_crash(&mut self, crash: &PartCrash, parts: &[PartKey]) -> Vec<PartHistory> {
        let crash = [Arc::new(crash.clone())];
        let mut changed = BTreeSet::new();
        for (depth, key) in parts.iter().enumerate() {
            let depth = u8::try_from(depth).unwrap_or(u8::MAX);
            if self.parts.entry(*key).or_default().merge(depth, &crash, Hlc::default()) {
                changed.insert(*key);
            }
        }
        self.evict_excess();
        self.histories(changed)
    }

    /// Records that an answer to a prompt with `parts` has begun; returns the histories that it
    /// cleared.
    ///
    /// `at` must be greater than all stamps seen so far.
    pub fn record_answer(&mut self, parts: &[PartKey], at: Hlc) -> Vec<PartHistory> {
        let mut changed = BTreeSet::new();
        for key in parts {
            let Some(part) = self.parts.get_mut(key) else { continue };
            if part.uncleared().next().is_some() {
                part.cleared = part.cleared.max(at);
                changed.insert(*key);
            }
        }
        self.histories(changed)
    }

    /// Joins a history; returns those that it changed.
    pub fn merge(&mut self, history: &PartHistory) -> Vec<PartHistory> {
        let crashes: Vec<Arc<PartCrash>> = history.crashes.iter().cloned().map(Arc::new).collect();
        let mut changed = BTreeSet::new();
        for (depth, key) in history.with_depths() {
            if self.parts.entry(key).or_default().merge(depth, &crashes, history.cleared) {
                changed.insert(key);
            }
        }
        self.evict_excess();
        self.histories(changed)
    }

    /// Returns the histories of `parts`, as far as they have any: one for all that have the same.
    pub fn histories(&self, parts: impl IntoIterator<Item = PartKey>) -> Vec<PartHistory> {
        let mut groups: BTreeMap<KnownOfPart<'_>, Vec<(u8, PartKey)>> = BTreeMap::new();
        for key in parts {
            let Some(part) = self.parts.get(&key) else { continue };
            groups.entry((&part.crashes, part.cleared)).or_default().push((part.depth, key));
        }
        let histories = groups.into_iter().filter_map(|((crashes, cleared), mut keys)| {
            keys.sort_unstable();
            let (depth, part) = keys.pop()?;
            let crashes = crashes.iter().map(|crash| (**crash).clone()).collect();
            Some(PartHistory { part, depth, crashes, cleared, others: keys })
        });
        histories.collect()
    }

    /// Returns the histories of all parts with crashes since they were cleared.
    pub fn uncleared(&self) -> Vec<PartHistory> {
        let open = self.parts.iter().filter(|(_, part)| part.uncleared().next().is_some());
        self.histories(open.map(|(key, _)| *key))
    }

    /// Returns whether anything is known of a part.
    pub fn contains(&self, part: PartKey) -> bool {
        self.parts.contains_key(&part)
    }

    /// Returns the number of crashes that are kept of a part.
    pub fn crashes(&self, part: PartKey) -> usize {
        self.parts.get(&part).map_or(0, |part| part.crashes.len())
    }

    /// Drops parts whose last change is too old.
    pub fn expire(&mut self, millis: u64) {
        let oldest = millis.saturating_sub(QUARANTINE_LIFETIME.as_millis() as u64);
        self.parts.retain(|_, part| part.last_stamp().millis >= oldest);
    }

    /// Evicts an eighth of the parts when there are too many: those with the fewest crashes since
    /// they were cleared first, and older ones first among equals.
    fn evict_excess(&mut self) {
        if self.parts.len() <= MAX_PARTS {
            return;
        }
        let rank =
            |(key, part): (&PartKey, &Part)| (part.uncleared().count(), part.last_stamp(), *key);
        let mut ranked: Vec<_> = self.parts.iter().map(rank).collect();
        ranked.sort_unstable();
        for (_, _, key) in &ranked[..MAX_PARTS / 8] {
            self.parts.remove(key);
        }
    }
}

/// Returns whether so many crashes are no coincidence.
fn are_enough(crashes: &[&Crash]) -> bool {
    let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else { return false };
    let span = last.at.millis.saturating_sub(first.at.millis);
    crashes.len() >= CRASHES_TO_REFUSE && u128::from(span) >= MIN_CRASH_SPAN.as_millis()
}

fn contains(crashes: &[&Crash], crash: &Crash) -> bool {
    crashes.iter().any(|known| known.is_same(crash))
}

/// Returns whether two lists hold the same crashes.
fn are_same(a: &[&Crash], b: &[&Crash]) -> bool {
    a.len() == b.len() && a.iter().all(|crash| contains(b, crash))
}
