//! The record of the claims of one shard and one slot of issue times.
//!
//! A segment stands in one of the shard's ring of records, whose key is never deleted: a segment
//! gives way to the one a whole ring later by compare-and-swap, so a slot's number under one key
//! only grows and no late write can bring an old segment back. A sealed segment takes no new
//! claims, so a key that is not in it was never claimed and never will be.
//!
//! In JSON a claim is one text, such as
//! `00f1…9c.8a52d0c1b2e3f405.77aa0c1b2e3f4051-1f.d0123456789abcdef`: the key's hash, the request's
//! fingerprint, the holder, and the state.

use std::fmt;
use std::str::FromStr;

use base::prelude::*;
use displaydoc::Display;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::key::ClaimId;
use crate::key::Fingerprint;
use crate::key::KeyHash;

/// Largest segment, in bytes of its record; the key-value service holds values of up to 1 MB.
pub const MAX_SEGMENT_BYTES: usize = 960_000;
/// Longest claim in a segment, in bytes of its record.
pub const CLAIM_BYTES: usize = 32 + 16 + 33 + 17 + 3 + 3;
/// Most claims of a segment.
pub const MAX_CLAIMS: usize = MAX_SEGMENT_BYTES / CLAIM_BYTES;

/// How a claimed request ended.
#[key]
pub enum RequestOutcome {
    /// The backend server ran it to its end; the answer has this digest.
    Done {
        /// Digest of the answer.
        digest: u64,
    },
    /// The backend server said that it failed.
    Failed,
    /// It was dispatched, and nobody knows how it ended.
    Unknown,
    /// The holder gave the claim up before dispatch.
    Released,
}

/// State of a claim.
#[key]
pub enum ClaimState {
    /// The holder may dispatch, or has.
    Claimed,
    /// The request has ended.
    Ended(RequestOutcome),
}

/// One claimed key.
#[data]
#[derive(Copy, Eq)]
pub struct Claim {
    /// The key's hash.
    pub key: KeyHash,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// The send that holds the claim.
    pub holder: ClaimId,
    /// Its state.
    pub state: ClaimState,
}

/// Why a text is no claim.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ClaimTextError {
    /// a claim has four parts with a dot between
    Parts,
    /// the key's hash is not 32 hexadecimal digits
    Key,
    /// the fingerprint is not 16 hexadecimal digits
    Fingerprint,
    /// the holder is not a boot id and an attempt, in hexadecimal digits with a hyphen between
    Holder,
    /// the state is none of c, f, u, r, and d with a digest of 16 hexadecimal digits
    State,
}

impl std::error::Error for ClaimTextError {}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}.{:016x}.{}.", self.key, self.fingerprint, self.holder)?;
        match self.state {
            ClaimState::Claimed => f.write_str("c"),
            ClaimState::Ended(RequestOutcome::Done { digest }) => write!(f, "d{digest:016x}"),
            ClaimState::Ended(RequestOutcome::Failed) => f.write_str("f"),
            ClaimState::Ended(RequestOutcome::Unknown) => f.write_str("u"),
            ClaimState::Ended(RequestOutcome::Released) => f.write_str("r"),
        }
    }
}

impl FromStr for Claim {
    type Err = ClaimTextError;

    fn from_str(text: &str) -> Result<Self, ClaimTextError> {
        let parts: Vec<&str> = text.split('.').collect();
        let [key, fingerprint, holder, state] = parts[..] else {
            return Err(ClaimTextError::Parts);
        };
        let (boot, attempt) = holder.split_once('-').ok_or(ClaimTextError::Holder)?;
        let holder = ClaimId {
            boot: hex(boot, 16).ok_or(ClaimTextError::Holder)?,
            attempt: u64::from_str_radix(attempt, 16).map_err(|_| ClaimTextError::Holder)?,
        };
        let state = match state {
            "c" => ClaimState::Claimed,
            "f" => ClaimState::Ended(RequestOutcome::Failed),
            "u" => ClaimState::Ended(RequestOutcome::Unknown),
            "r" => ClaimState::Ended(RequestOutcome::Released),
            _ => {
                let digest = state.strip_prefix('d').and_then(|text| hex(text, 16));
                ClaimState::Ended(RequestOutcome::Done {
                    digest: digest.ok_or(ClaimTextError::State)?,
                })
            }
        };
        Ok(Claim {
            key: hex128(key).ok_or(ClaimTextError::Key)?,
            fingerprint: hex(fingerprint, 16).ok_or(ClaimTextError::Fingerprint)?,
            holder,
            state,
        })
    }
}

fn hex(text: &str, digits: usize) -> Option<u64> {
    (text.len() == digits).then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

fn hex128(text: &str) -> Option<u128> {
    (text.len() == 32).then(|| u128::from_str_radix(text, 16).ok()).flatten()
}

/// The claims of one shard and slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Segment {
    /// The slot of issue times.
    pub slot: u64,
    /// Whether the segment takes no new claims.
    pub sealed: bool,
    /// The claims, in the order of their keys.
    pub claims: Vec<Claim>,
}

/// A segment as it stands in JSON, before it is checked.
#[wire]
pub struct RawSegment {
    /// The slot of issue times.
    pub slot: u64,
    /// Whether the segment takes no new claims.
    pub sealed: bool,
    /// The claims as text.
    pub claims: Vec<Box<str>>,
}

impl Segment {
    /// Returns an empty segment.
    pub fn new(slot: u64) -> Self {
        Segment { slot, ..Segment::default() }
    }

    /// Returns the claim of a key, or where it would be inserted.
    pub fn find(&self, key: KeyHash) -> Result<usize, usize> {
        self.claims.binary_search_by_key(&key, |claim| claim.key)
    }

    /// Checks the segment, and reports every problem with its place below `place`.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        let count = self.claims.len();
        findings.check(count <= MAX_CLAIMS, &format!("{place}.claims"), || {
            format!("{count} claims are more than {MAX_CLAIMS}")
        });
        for (i, pair) in self.claims.windows(2).enumerate() {
            let place = format!("{place}.claims[{}]", i + 1);
            findings.check(pair[0].key != pair[1].key, &place, || {
                format!("key {:032x} stands twice", pair[1].key)
            });
            findings.check(pair[0].key <= pair[1].key, &place, || {
                "is out of the order of the keys".to_owned()
            });
        }
        for (i, claim) in self.claims.iter().enumerate() {
            findings.check(claim.holder.boot != 0, &format!("{place}.claims[{i}]"), || {
                "the holder has no boot id".to_owned()
            });
        }
    }
}

impl TryFrom<RawSegment> for Segment {
    type Error = Findings;

    fn try_from(raw: RawSegment) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut claims = Vec::with_capacity(raw.claims.len());
        for (i, text) in raw.claims.iter().enumerate() {
            match text.parse() {
                Ok(claim) => claims.push(claim),
                Err(error) => findings.add(format!("$.claims[{i}]"), format!("{error}")),
            }
        }
        let segment = Segment { slot: raw.slot, sealed: raw.sealed, claims };
        segment.check("$", &mut findings);
        findings.into_result(segment)
    }
}

impl Serialize for Segment {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let claims = self.claims.iter().map(|claim| claim.to_string().into()).collect();
        RawSegment { slot: self.slot, sealed: self.sealed, claims }.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Segment {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let raw = RawSegment::deserialize(deserializer)?;
        Segment::try_from(raw).map_err(serde::de::Error::custom)
    }
}
