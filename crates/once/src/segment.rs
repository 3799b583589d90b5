//! Segments: records with the claims of one shard and one slot of issue times.
//!
//! The segments of a shard are stored in a ring of records, whose keys are never deleted. A segment
//! is replaced by that of the slot one ring length later, by compare-and-swap. The slot number
//! under a key therefore only increases, and no delayed write can restore an old segment. A sealed
//! segment accepts no new claims, so a key that is not in it was never claimed and never will be.
//!
//! In JSON, a claim is one string, such as
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

/// Maximum size of a segment's record, in bytes. The key-value service accepts values up to 1 MB.
pub const MAX_SEGMENT_BYTES: usize = 960_000;
/// Maximum size of a claim in a segment's record, in bytes: key, fingerprint, holder, state, the
/// dots between them, and the JSON quotes and comma.
pub const CLAIM_BYTES: usize = 32 + 16 + 33 + 17 + 3 + 3;
/// Maximum number of claims in a segment.
pub const MAX_CLAIMS: usize = MAX_SEGMENT_BYTES / CLAIM_BYTES;

/// Outcome of a claimed request.
#[key]
pub enum RequestOutcome {
    /// The backend server ran it to completion.
    Done {
        /// Digest of the answer.
        digest: u64,
    },
    /// The backend server reported that it failed.
    Failed,
    /// It was dispatched, and its outcome is unknown.
    Unknown,
    /// The holder gave up the claim without running the request: it did not dispatch, or the
    /// dispatch was definitely refused.
    Released,
}

/// State of a claim.
#[key]
pub enum ClaimState {
    /// The holder may dispatch, or has dispatched.
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
    /// The submission that holds the claim.
    pub holder: ClaimId,
    /// The claim's state.
    pub state: ClaimState,
}

/// Error of parsing a claim.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ClaimTextError {
    /// a claim must have four parts separated by dots
    Parts,
    /// the key's hash is not 32 hexadecimal digits
    Key,
    /// the fingerprint is not 16 hexadecimal digits
    Fingerprint,
    /// the holder is not a boot id and an attempt in hexadecimal digits, separated by a hyphen
    Holder,
    /// the state is not c, f, u, r, or d followed by a digest of 16 hexadecimal digits
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
    /// Number of the slot of issue times.
    pub slot: u64,
    /// Whether the segment accepts no new claims.
    pub sealed: bool,
    /// The claims, sorted by key.
    pub claims: Vec<Claim>,
}

/// JSON form of a segment, before validation.
#[wire]
pub struct RawSegment {
    /// Number of the slot of issue times.
    pub slot: u64,
    /// Whether the segment accepts no new claims.
    pub sealed: bool,
    /// The claims in text form.
    pub claims: Vec<Box<str>>,
}

impl Segment {
    /// Returns an empty segment.
    pub fn new(slot: u64) -> Self {
        Segment { slot, ..Segment::default() }
    }

    /// Returns the index of the claim of `key`, or the index at which it would be inserted as the
    /// error.
    pub fn find(&self, key: KeyHash) -> Result<usize, usize> {
        self.claims.binary_search_by_key(&key, |claim| claim.key)
    }

    /// Adds a finding below `path` for each problem of the segment.
    pub fn check(&self, path: &str, findings: &mut Findings) {
        let count = self.claims.len();
        findings.check(count <= MAX_CLAIMS, &format!("{path}.claims"), || {
            format!("{count} claims exceed the limit of {MAX_CLAIMS}")
        });
        for (i, pair) in self.claims.windows(2).enumerate() {
            let path = format!("{path}.claims[{}]", i + 1);
            findings.check(pair[0].key != pair[1].key, &path, || {
                format!("duplicate key {:032x}", pair[1].key)
            });
            findings.check(pair[0].key <= pair[1].key, &path, || "is not sorted by key".to_owned());
        }
        for (i, claim) in self.claims.iter().enumerate() {
            findings.check(claim.holder.boot != 0, &format!("{path}.claims[{i}]"), || {
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
