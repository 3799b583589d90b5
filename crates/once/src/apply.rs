//! Applies a batch of claims and reports to a segment.
//!
//! Invariants:
//!
//! - The state of a key's claim only advances: none, claimed, ended. The exception is a released
//!   claim, which can be claimed again, since its holder gave it up without running the request.
//!   There is no other transition to a second grant, and a holder dispatches at most once, so a key
//!   runs at most once.
//! - Clocks decide only whether a new claim is accepted. A wrong clock can cause a claim to be
//!   refused, but never a second grant.
//!
//! Verdicts become valid once the segment returned with them is known to be written. If there is
//! nothing to write, they are valid for the segment that was read.

use base::prelude::*;

use crate::key::ClaimId;
use crate::key::Fingerprint;
use crate::key::KeyHash;
use crate::segment::Claim;
use crate::segment::ClaimState;
use crate::segment::MAX_CLAIMS;
use crate::segment::RequestOutcome;
use crate::segment::Segment;
use crate::settings::OnceSettings;

/// An operation on a segment: a claim or a report.
#[wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A submission asks for the right to dispatch.
    Claim {
        /// The key's hash.
        key: KeyHash,
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// The submission.
        holder: ClaimId,
    },
    /// A submission reports the outcome of its request.
    Report {
        /// The key's hash.
        key: KeyHash,
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// The submission.
        holder: ClaimId,
        /// The outcome.
        end: RequestOutcome,
    },
}

impl Entry {
    /// Returns the key's hash.
    pub fn key(&self) -> KeyHash {
        match *self {
            Entry::Claim { key, .. } | Entry::Report { key, .. } => key,
        }
    }
}

/// Result of applying an entry.
#[key]
pub enum Verdict {
    /// The submission holds the claim and may dispatch once.
    Granted,
    /// Another submission holds the claim.
    Taken {
        /// The claim's state.
        state: ClaimState,
        /// The submission that holds it.
        holder: ClaimId,
    },
    /// The key was claimed for a different request.
    Mismatch,
    /// The key is so old that its segment was replaced by a later one. It is unknown whether the
    /// request ran.
    Expired,
    /// The key was never dispatched, and is too old to be claimed for the first time.
    TooLate,
    /// The key's issue time is too far in the future.
    TooEarly,
    /// The segment contains the maximum number of claims.
    Full,
    /// The submission had already given up its claim, or its request had already ended.
    Withdrawn,
    /// The report was recorded, now or earlier.
    Recorded,
    /// The report is not from the claim's holder and was not recorded.
    Foreign,
}

/// Result of applying a batch.
#[data]
pub struct Applied {
    /// The segment to write; `None` if nothing changed.
    pub next: Option<Segment>,
    /// One verdict for each entry, in order.
    pub verdicts: Vec<Verdict>,
}

/// Applies `batch` to the segment of `slot`. `stored` is the content of the segment's record, which
/// may belong to an earlier or later slot of the ring.
pub fn apply(
    stored: Option<&Segment>,
    slot: u64,
    batch: &[Entry],
    now_ms: u64,
    cfg: &OnceSettings,
) -> Applied {
    if stored.is_some_and(|stored| stored.slot > slot) {
        return Applied { next: None, verdicts: vec![Verdict::Expired; batch.len()] };
    }
    let current = stored.filter(|stored| stored.slot == slot);
    let mut segment = current.cloned().unwrap_or_else(|| Segment::new(slot));
    let mut changed = false;
    let timing = SlotTiming::new(slot, now_ms, cfg);
    let decide = |entry: &Entry| match *entry {
        Entry::Claim { key, fingerprint, holder } => {
            let state = ClaimState::Claimed;
            let claim = Claim { key, fingerprint, holder, state };
            apply_claim(&mut segment, claim, timing, &mut changed)
        }
        Entry::Report { key, fingerprint, holder, end } => {
            let state = ClaimState::Ended(end);
            let claim = Claim { key, fingerprint, holder, state };
            apply_report(&mut segment, claim, end, &mut changed)
        }
    };
    let verdicts = batch.iter().map(decide).collect();
    Applied { next: changed.then_some(segment), verdicts }
}

/// Whether new claims of a slot are accepted at the current time.
#[derive(Clone, Copy)]
struct SlotTiming {
    /// The slot begins too far in the future.
    early: bool,
    /// The time in which keys of the slot can be claimed for the first time is over.
    late: bool,
}

impl SlotTiming {
    fn new(slot: u64, now_ms: u64, cfg: &OnceSettings) -> Self {
        let start = cfg.layout.slot_start_ms(slot);
        let close = start.saturating_add(cfg.layout.slot_ms).saturating_add(cfg.open_ms);
        SlotTiming { early: start > now_ms.saturating_add(cfg.clock_skew_ms), late: now_ms > close }
    }
}

fn apply_claim(
    segment: &mut Segment,
    claim: Claim,
    timing: SlotTiming,
    changed: &mut bool,
) -> Verdict {
    let found = segment.find(claim.key);
    if let Ok(index) = found {
        let existing = segment.claims[index];
        if existing.fingerprint != claim.fingerprint {
            return Verdict::Mismatch;
        }
        match (existing.holder == claim.holder, existing.state) {
            (true, ClaimState::Claimed) => return Verdict::Granted,
            (true, ClaimState::Ended(_)) => return Verdict::Withdrawn,
            (false, ClaimState::Ended(RequestOutcome::Released)) => {}
            (false, state) => return Verdict::Taken { state, holder: existing.holder },
        }
    }
    if timing.early {
        return Verdict::TooEarly;
    }
    if segment.sealed || timing.late {
        *changed |= !segment.sealed;
        segment.sealed = true;
        return Verdict::TooLate;
    }
    match found {
        Ok(index) => segment.claims[index] = claim,
        Err(_) if segment.claims.len() >= MAX_CLAIMS => return Verdict::Full,
        Err(index) => segment.claims.insert(index, claim),
    }
    *changed = true;
    Verdict::Granted
}

fn apply_report(
    segment: &mut Segment,
    claim: Claim,
    end: RequestOutcome,
    changed: &mut bool,
) -> Verdict {
    match segment.find(claim.key) {
        Ok(index) => {
            let existing = &mut segment.claims[index];
            if existing.holder != claim.holder || existing.fingerprint != claim.fingerprint {
                return Verdict::Foreign;
            }
            let advances = match existing.state {
                ClaimState::Claimed => true,
                // An unknown outcome can become known later. It cannot become released, since the
                // request was dispatched.
                ClaimState::Ended(RequestOutcome::Unknown) => {
                    !matches!(end, RequestOutcome::Released | RequestOutcome::Unknown)
                }
                ClaimState::Ended(_) => false,
            };
            if advances {
                existing.state = claim.state;
                *changed = true;
            }
            Verdict::Recorded
        }
        // The claim of a submission that gave up may still be in flight and must not be granted, so
        // the release is recorded in advance.
        Err(index) if end == RequestOutcome::Released && !segment.sealed => {
            if segment.claims.len() >= MAX_CLAIMS {
                return Verdict::Full;
            }
            segment.claims.insert(index, claim);
            *changed = true;
            Verdict::Recorded
        }
        Err(_) => Verdict::Foreign,
    }
}
