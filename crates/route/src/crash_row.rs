//! The row of the store that holds crashes, so that they outlast all processes.
//!
//! Processes tell each other of crashes and keep them in memory. When all of them end at once, only the store is left.
//! [`CrashRow`] is what one of them writes there for all: the requests, and the parts of prompts, with crashes that nothing
//! has cleared, from the first crash on. A process merges the row whenever it gets it, so it knows them before it serves a request.
//!
//! Invariants: the encoded row has at most [`MAX_ROW_BYTES`]; those with few crashes are left out first, and older ones
//! first among equals. Merging a row never undoes a clearing: its crashes keep their stamps.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;

use crate::prompt_parts::PartHistory;
use crate::prompt_parts::PartKey;
use crate::quarantine::Crash;
use crate::quarantine::CrashHistory;
use crate::request::Fingerprint;

/// Most bytes of an encoded row.
pub const MAX_ROW_BYTES: usize = MAX_REQUESTS_BYTES + MAX_PARTS_BYTES;
/// Most bytes of the requests in it, with their servers.
const MAX_REQUESTS_BYTES: usize = 16 << 10;
/// Most bytes of the parts in it. The longest prompts have some 25 kB.
const MAX_PARTS_BYTES: usize = 48 << 10;
/// Most bytes of a server in an encoded row, besides its id: a start time and punctuation.
const SERVER_BYTES: usize = 28;
/// Most bytes of a request, besides its crashes: a fingerprint and punctuation.
const REQUEST_BYTES: usize = 26;
/// Most bytes of a crash: the index of a server, a stamp and punctuation.
const CRASH_BYTES: usize = 36;

/// The content of the row.
#[data]
#[derive(Default, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashRow {
    /// The servers that crashed, with their start times.
    #[serde(default)]
    servers: Vec<(GroupId, Generation)>,
    /// The requests.
    #[serde(default)]
    requests: Vec<SavedRequest>,
    /// The parts of prompts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    parts: Vec<PartHistory>,
}

/// A request and its crashes.
#[data]
#[derive(Eq, serde::Serialize, serde::Deserialize)]
struct SavedRequest(Fingerprint, Vec<SavedCrash>);

/// A crash: the index of its server, and its stamp.
#[data]
#[derive(Eq, serde::Serialize, serde::Deserialize)]
struct SavedCrash(usize, u64, u32);

/// How a row differs from what should be in it.
#[key]
pub enum RowState {
    /// It doesn't.
    Current,
    /// It holds crashes that have been cleared or are too old.
    HasSurplus,
    /// It lacks crashes.
    LacksCrashes,
}

impl CrashRow {
    /// Returns the row that holds the uncleared crashes of `histories`, and of `parts`, as far as they fit.
    pub fn of<'a>(
        histories: impl Iterator<Item = &'a CrashHistory>,
        parts: Vec<PartHistory>,
    ) -> Self {
        let mut uncleared: Vec<(Fingerprint, Vec<&Crash>)> = histories
            .map(|history| (history.fingerprint, history.uncleared().collect()))
            .filter(|(_, crashes): &(_, Vec<_>)| !crashes.is_empty())
            .collect();
        let rank = |crashes: &[&Crash]| (crashes.len(), crashes.last().map(|crash| crash.at));
        uncleared.sort_by(|(a, crashes_a), (b, crashes_b)| {
            rank(crashes_b).cmp(&rank(crashes_a)).then(a.cmp(b))
        });
        let mut builder = RowBuilder::default();
        for (fingerprint, crashes) in uncleared {
            if !builder.add(fingerprint, &crashes) {
                break;
            }
        }
        builder.row.parts = fitting(parts);
        builder.row
    }

    /// Returns the histories of parts in the row.
    pub fn parts(&self) -> &[PartHistory] {
        &self.parts
    }

    /// Returns the crash histories in the row, of which none is cleared.
    pub fn histories(&self) -> impl Iterator<Item = CrashHistory> + '_ {
        self.requests.iter().map(|SavedRequest(fingerprint, crashes)| {
            let crashes = crashes.iter().filter_map(|crash| self.crash(crash)).collect();
            CrashHistory { crashes, ..CrashHistory::new(*fingerprint) }
        })
    }

    fn crash(&self, SavedCrash(server, millis, count): &SavedCrash) -> Option<Crash> {
        let (group, generation) = self.servers.get(*server)?;
        let at = Hlc { millis: *millis, count: *count };
        Some(Crash { at, group: group.clone(), generation: *generation })
    }

    /// Returns the number of requests in the row.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the row holds nothing.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }

    /// Returns how this row differs from `wanted`.
    pub fn state(&self, wanted: &CrashRow) -> RowState {
        let (held, wanted_crashes) = (self.crashes(), wanted.crashes());
        let (held_parts, wanted_parts) = (self.part_crashes(), wanted.part_crashes());
        if !wanted_crashes.is_subset(&held) || !wanted_parts.is_subset(&held_parts) {
            return RowState::LacksCrashes;
        }
        match (held, held_parts) == (wanted_crashes, wanted_parts) {
            true => RowState::Current,
            false => RowState::HasSurplus,
        }
    }

    /// Returns the crashes of all parts, without their stamps.
    fn part_crashes(&self) -> BTreeSet<(PartKey, &GroupId, Generation)> {
        let crashes = self.parts.iter().flat_map(|history| {
            let crashes = history.uncleared().map(|crash| &crash.crash);
            crashes.flat_map(|crash| {
                history.parts().map(move |part| (part, &crash.group, crash.generation))
            })
        });
        crashes.collect()
    }

    /// Returns the crashes of all requests, without their stamps, which may differ between processes.
    fn crashes(&self) -> BTreeSet<(Fingerprint, &GroupId, Generation)> {
        let crashes = self.requests.iter().flat_map(|SavedRequest(fingerprint, crashes)| {
            crashes.iter().map(move |crash| (*fingerprint, crash.0))
        });
        let with_server = crashes.filter_map(|(fingerprint, server)| {
            let (group, generation) = self.servers.get(server)?;
            Some((fingerprint, group, *generation))
        });
        with_server.collect()
    }

    /// Returns the bytes of the row in the store.
    pub fn encode(&self) -> Box<[u8]> {
        serde_json::to_vec(self).expect("a row has a JSON form").into()
    }

    fn verify(&self) -> Findings {
        let mut findings = Findings::default();
        for (number, SavedRequest(_, crashes)) in self.requests.iter().enumerate() {
            for SavedCrash(server, ..) in crashes {
                let place = format!("$.requests[{number}]");
                findings.check(*server < self.servers.len(), &place, || {
                    format!("found server {server}; the row has {}", self.servers.len())
                });
            }
        }
        findings
    }
}

impl TryFrom<&[u8]> for CrashRow {
    type Error = Findings;

    fn try_from(bytes: &[u8]) -> Result<Self, Findings> {
        let row: CrashRow = serde_json::from_slice(bytes).map_err(|error| {
            let mut findings = Findings::default();
            findings.add("$", error.to_string());
            findings
        })?;
        row.verify().into_result(row)
    }
}

/// A row to which requests are added while they fit.
#[derive(Default)]
struct RowBuilder {
    row: CrashRow,
    indices: BTreeMap<(GroupId, Generation), usize>,
    /// At least the bytes that the encoded row takes.
    bytes: usize,
}

impl RowBuilder {
    /// Adds a request with its crashes; returns whether there was room for it.
    fn add(&mut self, fingerprint: Fingerprint, crashes: &[&Crash]) -> bool {
        let new = crashes.iter().filter(|crash| !self.indices.contains_key(&server(crash)));
        let server_bytes: usize = new.map(|crash| crash.group.len() + SERVER_BYTES).sum();
        let bytes = server_bytes + REQUEST_BYTES + crashes.len() * CRASH_BYTES;
        if self.bytes + bytes > MAX_REQUESTS_BYTES {
            return false;
        }
        self.bytes += bytes;
        let crashes = crashes.iter().map(|crash| {
            let index = self.index(crash);
            SavedCrash(index, crash.at.millis, crash.at.count)
        });
        let crashes = crashes.collect();
        self.row.requests.push(SavedRequest(fingerprint, crashes));
        true
    }

    fn index(&mut self, crash: &Crash) -> usize {
        let servers = &mut self.row.servers;
        *self.indices.entry(server(crash)).or_insert_with(|| {
            servers.push(server(crash));
            servers.len() - 1
        })
    }
}

/// Returns the histories that fit into the row: those with the most crashes first, and the latest ones first among equals.
fn fitting(mut parts: Vec<PartHistory>) -> Vec<PartHistory> {
    let rank = |history: &PartHistory| {
        let last = history.uncleared().last().map(|crash| crash.crash.at);
        (history.uncleared().count(), last, history.part)
    };
    parts.sort_by_key(|history| std::cmp::Reverse(rank(history)));
    let mut bytes = 0;
    parts.retain(|history| {
        // With the comma behind it.
        let size = serde_json::to_vec(history).map_or(usize::MAX, |json| json.len() + 1);
        let fits = size <= MAX_PARTS_BYTES - bytes;
        bytes += if fits { size } else { 0 };
        fits
    });
    parts
}

fn server(crash: &Crash) -> (GroupId, Generation) {
    (crash.group.clone(), crash.generation)
}
