//! Failure domains that an operator evacuates: which servers there may still get new requests.
//!
//! Each process decides on its own, from the rows of the store that it has. Algorithm: a domain has a
//! share of new requests. Once a process learns of an evacuation, the share falls linearly to zero
//! within `STOP_RATIO` of the bound if the rows were fresh, and at once otherwise. Once it learns that the
//! evacuation was canceled, the share rises linearly within [`RETURN_TIME`]. Each change starts
//! from the share of that moment, so that an evacuation can be canceled and requested again at any time.
//!
//! A process draws one threshold per server and sends it requests while the share is above it. So a
//! request that waits and is decided on many times has no better chance than others, and over all
//! processes the requests of each server fall and rise in proportion to the share.
//!
//! Invariant: a server of a domain whose share is zero gets no request.

use std::collections::BTreeMap;

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Part of the bound within which requests stop once a process knows of the evacuation. The rest is
/// for the propagation of the row.
const STOP_RATIO: f64 = 0.4;
/// Time within which the share of new requests rises again after an evacuation was canceled.
pub const RETURN_TIME: Duration = Duration::from_secs(1);
/// Age of the rows up to which an evacuation that they show counts as new, so that requests needn't
/// stop at once.
const MAX_FRESH_AGE: Duration = Duration::from_secs(1);
/// Share of new requests from which on the servers of a domain count as capacity.
const MIN_COUNTED_SHARE: f64 = 0.5;
/// Time from learning of an evacuation until its domain is checked. A process that starts may get this
/// row before those of the servers.
const DOMAIN_CHECK_DELAY: Duration = Duration::from_secs(2);

/// The state of a failure domain with regard to evacuation.
#[key]
pub enum EvacuationState {
    /// The domain is being evacuated, and gets a falling share of new requests.
    Leaving,
    /// The domain is evacuated and gets no new request.
    Evacuated,
    /// The evacuation was canceled, and the share of new requests rises.
    Returning,
    /// The domain gets new requests as any other.
    Open,
}

impl EvacuationState {
    /// Returns the name of the state in logs and responses.
    pub fn name(self) -> &'static str {
        match self {
            EvacuationState::Leaving => "leaving",
            EvacuationState::Evacuated => "evacuated",
            EvacuationState::Returning => "returning",
            EvacuationState::Open => "open",
        }
    }
}

/// A failure domain that is evacuated, or that returns from an evacuation.
#[data]
pub struct Evacuation {
    /// The state as of the last update.
    pub state: EvacuationState,
    /// The revision of the store that wrote or deleted the row.
    pub revision: Revision,
    /// When this process learned of the evacuation, or of its cancellation.
    pub learned_at: Mono,
    /// The share of new requests at that time, from 0 to 1.
    initial_share: f64,
    /// The share as of the last update.
    share: f64,
    /// Time within which the share falls to zero.
    stop_time: Duration,
    is_canceled: bool,
    is_domain_checked: bool,
    /// The state that [`Evacuations::take_changes`] returned last.
    announced: Option<EvacuationState>,
}

impl Evacuation {
    fn update(&mut self, now: Mono) {
        let elapsed = now.saturating_sub(self.learned_at);
        let progress = |total: Duration| match elapsed < total {
            true => elapsed.as_secs_f64() / total.as_secs_f64(),
            false => 1.0,
        };
        self.share = match self.is_canceled {
            true => (self.initial_share + progress(RETURN_TIME)).min(1.0),
            false => self.initial_share * (1.0 - progress(self.stop_time)),
        };
        self.state = match (self.is_canceled, self.share) {
            (true, share) if share >= 1.0 => EvacuationState::Open,
            (true, _) => EvacuationState::Returning,
            (false, share) if share > 0.0 => EvacuationState::Leaving,
            (false, _) => EvacuationState::Evacuated,
        };
    }
}

/// A change of the state of a failure domain.
#[data]
pub struct EvacuationChange {
    /// The domain.
    pub domain: FailureDomainId,
    /// Its new state.
    pub state: EvacuationState,
    /// The revision of the store that caused it.
    pub revision: Revision,
}

/// The failure domains that are evacuated or return, as far as this process knows.
#[derive(Debug, Default)]
pub struct Evacuations {
    domains: BTreeMap<FailureDomainId, Evacuation>,
    /// Time from the store's acknowledgement until no request may reach the domain.
    bound: Duration,
    /// Varies the thresholds of the servers from process to process.
    seed: u64,
}

impl Evacuations {
    /// Creates an empty table whose thresholds are drawn by `seed`. Requests stop at once while no
    /// bound is set.
    pub fn with_seed(seed: u64) -> Self {
        Evacuations { seed, ..Evacuations::default() }
    }

    /// Sets the time from the store's acknowledgement until no new request may reach a domain.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// Records that the rows of the store ask for the evacuation of `domain`. `age` is the age of the rows
    /// before; `None` if there were none.
    pub fn request(&mut self, domain: &str, revision: Revision, age: Option<Duration>, now: Mono) {
        let is_fresh = age.is_some_and(|age| age < MAX_FRESH_AGE);
        let stop_time = if is_fresh { self.bound.mul_f64(STOP_RATIO) } else { Duration::ZERO };
        self.update(now);
        let held = self.domains.get_mut(domain);
        if let Some(held) = held.filter(|held| !held.is_canceled) {
            held.revision = revision;
            return;
        }
        let initial_share = self.domains.get(domain).map_or(1.0, |held| held.share);
        let mut evacuation = Evacuation {
            state: EvacuationState::Leaving,
            revision,
            learned_at: now,
            initial_share,
            share: initial_share,
            stop_time,
            is_canceled: false,
            is_domain_checked: false,
            announced: None,
        };
        evacuation.update(now);
        self.domains.insert(domain.into(), evacuation);
    }

    /// Records that the evacuation of `domain` was canceled, by `revision` of the store.
    pub fn cancel(&mut self, domain: &str, revision: Revision, now: Mono) {
        self.update(now);
        let held = self.domains.get_mut(domain);
        let Some(held) = held.filter(|held| !held.is_canceled) else { return };
        held.initial_share = held.share;
        held.is_canceled = true;
        held.revision = revision;
        held.learned_at = now;
        held.update(now);
    }

    /// Brings the shares of new requests up to date. Must precede each decision on a request.
    pub fn update(&mut self, now: Mono) {
        for evacuation in self.domains.values_mut() {
            evacuation.update(now);
        }
    }

    /// Returns the changes of states since the last call, and forgets the domains that have returned.
    pub fn take_changes(&mut self) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        for (domain, evacuation) in &mut self.domains {
            let (state, revision) = (evacuation.state, evacuation.revision);
            if evacuation.announced.replace(state) != Some(state) {
                changes.push(EvacuationChange { domain: domain.clone(), state, revision });
            }
        }
        self.domains.retain(|_, evacuation| evacuation.state != EvacuationState::Open);
        changes
    }

    /// Returns the domains whose evacuation is known for long enough that their servers should be known
    /// as well. Each evacuation is returned once.
    pub fn take_unchecked_domains(&mut self, now: Mono) -> Vec<FailureDomainId> {
        let mut unchecked = Vec::new();
        for (domain, evacuation) in &mut self.domains {
            let is_due = now >= evacuation.learned_at + DOMAIN_CHECK_DELAY;
            if is_due && !evacuation.is_canceled && !evacuation.is_domain_checked {
                evacuation.is_domain_checked = true;
                unchecked.push(domain.clone());
            }
        }
        unchecked
    }

    /// Returns whether a new request may be sent to `server` in `domain`, as of the last update.
    pub fn allows(&self, domain: &str, server: &str) -> bool {
        let Some(evacuation) = self.domains.get(domain) else { return true };
        let draw = xxh3_64_with_seed(server.as_bytes(), self.seed);
        // A draw of 1.0, which rounding may give, must pass when the domain is open again.
        evacuation.share >= 1.0 || (draw as f64 / u64::MAX as f64) < evacuation.share
    }

    /// Returns whether `domain` is being evacuated, so that nothing is to be planned there and no
    /// connection is to be checked.
    pub fn is_evacuating(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|evacuation| !evacuation.is_canceled)
    }

    /// Returns whether the servers of `domain` count as capacity for the requests to come: at least half
    /// of their requests still or already go there.
    pub fn counts_as_capacity(&self, domain: &str) -> bool {
        self.domains.get(domain).is_none_or(|evacuation| evacuation.share >= MIN_COUNTED_SHARE)
    }

    /// Returns the domains that are being evacuated.
    pub fn evacuating(&self) -> impl Iterator<Item = &FailureDomainId> {
        let held = self.domains.iter().filter(|(_, evacuation)| !evacuation.is_canceled);
        held.map(|(domain, _)| domain)
    }

    /// Returns the domains that are being evacuated or return.
    pub fn iter(&self) -> impl Iterator<Item = (&FailureDomainId, &Evacuation)> {
        self.domains.iter()
    }

    /// Returns whether no domain is being evacuated or returns.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }
}
