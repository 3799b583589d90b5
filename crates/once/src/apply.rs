//! What a batch of claims and reports makes of a segment.
//!
//! The state of a key's claim only moves along: none, claimed, ended. A released claim may be
//! claimed anew, since its holder gave it up before dispatch. No other way leads to a second
//! grant, and a holder dispatches at most once, so a key is dispatched at most once. Clocks decide
//! only whether a new claim is taken; a wrong clock can refuse claims, never grant a second one.
//!
//! Verdicts hold once the segment returned with them is known to be written, or, if nothing is to
//! be written, for the segment that was read.

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

/// A claim or a report.
#[wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A send asks for the right to dispatch.
    Claim {
        /// The key's hash.
        key: KeyHash,
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// The send.
        holder: ClaimId,
    },
    /// A holder reports how its request ended.
    Report {
        /// The key's hash.
        key: KeyHash,
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// The send.
        holder: ClaimId,
        /// How it ended.
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

/// What became of an entry.
#[key]
pub enum Verdict {
    /// The send holds the claim and may dispatch once.
    Granted,
    /// Another send holds the claim, in this state.
    Taken {
        /// The claim's state.
        state: ClaimState,
        /// The send that holds it.
        holder: ClaimId,
    },
    /// The key was claimed for another request.
    Mismatch,
    /// The key is so old that its segment has given way; nobody knows whether it ran.
    Expired,
    /// The key was never dispatched, and is too old to begin.
    TooLate,
    /// The key's issue time is too far in the future.
    TooEarly,
    /// The segment holds as many claims as it may.
    Full,
    /// The send gave its claim up before.
    Withdrawn,
    /// The report was recorded, or had been before.
    Recorded,
    /// The report is not of the holder, and was not recorded.
    Foreign,
}

/// The segment after a batch, and what became of each entry.
#[data]
pub struct Applied {
    /// The segment to write; `None` if nothing changed.
    pub next: Option<Segment>,
    /// One verdict for each entry, in their order.
    pub verdicts: Vec<Verdict>,
}

/// Decides on a batch for the segment of `slot`, given what stands in its record.
pub fn apply(
    stands: Option<&Segment>,
    slot: u64,
    batch: &[Entry],
    now_ms: u64,
    cfg: &OnceSettings,
) -> Applied {
    if stands.is_some_and(|stands| stands.slot > slot) {
        return Applied { next: None, verdicts: vec![Verdict::Expired; batch.len()] };
    }
    let current = stands.filter(|stands| stands.slot == slot);
    let mut segment = current.cloned().unwrap_or_else(|| Segment::new(slot));
    let mut changed = false;
    let times = Times::new(slot, now_ms, cfg);
    let decide = |entry: &Entry| match *entry {
        Entry::Claim { key, fingerprint, holder } => {
            let state = ClaimState::Claimed;
            let claim = Claim { key, fingerprint, holder, state };
            take(&mut segment, claim, times, &mut changed)
        }
        Entry::Report { key, fingerprint, holder, end } => {
            let state = ClaimState::Ended(end);
            let claim = Claim { key, fingerprint, holder, state };
            report(&mut segment, claim, end, &mut changed)
        }
    };
    let verdicts = batch.iter().map(decide).collect();
    Applied { next: changed.then_some(segment), verdicts }
}

/// Where the present is in relation to a slot.
#[derive(Clone, Copy)]
struct Times {
    early: bool,
    late: bool,
}

impl Times {
    fn new(slot: u64, now_ms: u64, cfg: &OnceSettings) -> Self {
        let start = cfg.layout.slot_start_ms(slot);
        let close = start.saturating_add(cfg.layout.slot_ms).saturating_add(cfg.open_ms);
        Times { early: start > now_ms.saturating_add(cfg.clock_skew_ms), late: now_ms > close }
    }
}

fn take(segment: &mut Segment, claim: Claim, times: Times, changed: &mut bool) -> Verdict {
    let found = segment.find(claim.key);
    if let Ok(index) = found {
        let stands = segment.claims[index];
        if stands.fingerprint != claim.fingerprint {
            return Verdict::Mismatch;
        }
        match (stands.holder == claim.holder, stands.state) {
            (true, ClaimState::Claimed) => return Verdict::Granted,
            (true, ClaimState::Ended(_)) => return Verdict::Withdrawn,
            (false, ClaimState::Ended(RequestOutcome::Released)) => {}
            (false, state) => return Verdict::Taken { state, holder: stands.holder },
        }
    }
    if times.early {
        return Verdict::TooEarly;
    }
    if segment.sealed || times.late {
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

fn report(segment: &mut Segment, claim: Claim, end: RequestOutcome, changed: &mut bool) -> Verdict {
    match segment.find(claim.key) {
        Ok(index) => {
            let stands = &mut segment.claims[index];
            if stands.holder != claim.holder || stands.fingerprint != claim.fingerprint {
                return Verdict::Foreign;
            }
            let moves = match stands.state {
                ClaimState::Claimed => true,
                // What was unknown may turn out later, but was dispatched.
                ClaimState::Ended(RequestOutcome::Unknown) => {
                    !matches!(end, RequestOutcome::Released | RequestOutcome::Unknown)
                }
                ClaimState::Ended(_) => false,
            };
            if moves {
                stands.state = claim.state;
                *changed = true;
            }
            Verdict::Recorded
        }
        // The claim of a send that gave up may still be under way, and must not be granted.
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
