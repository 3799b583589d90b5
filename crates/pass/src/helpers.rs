//! The other processes to which this one hands over requests that it can't send to a backend server.
//!
//! Requests are spread by how many each helper is serving for this process. A helper of another failure
//! domain counts as if it served some more, since bytes between domains are dear; so the own domain comes
//! first, and takes no more than it can bear.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

/// Requests that a helper of the own domain takes before one of another domain takes its first.
const OWN_DOMAIN_PREFERENCE: usize = 4;
/// How long a helper gets no request after it failed or declined one.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// A process that takes requests over.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Helper {
    /// Where it listens for other processes.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
}

#[derive(Debug)]
struct HelperState {
    failure_domain: FailureDomainId,
    is_own_domain: bool,
    /// Requests that it serves for this process.
    open: usize,
    failed_until: Mono,
    /// Whether it is still listed as a helper.
    is_listed: bool,
}

/// The helpers that this process knows.
#[derive(Debug, Default)]
pub struct Helpers {
    by_address: BTreeMap<SocketAddr, HelperState>,
    /// Number of choices, which varies those among equals.
    chosen: usize,
}

impl Helpers {
    /// Replaces the helpers; the state of those that are still listed is kept.
    pub fn set(&mut self, helpers: &[Helper], own_domain: &str) {
        for state in self.by_address.values_mut() {
            state.is_listed = false;
        }
        for helper in helpers {
            let state = self.by_address.entry(helper.address).or_insert(HelperState {
                failure_domain: helper.failure_domain.clone(),
                is_own_domain: false,
                open: 0,
                failed_until: Mono::ZERO,
                is_listed: true,
            });
            state.failure_domain.clone_from(&helper.failure_domain);
            state.is_own_domain = *helper.failure_domain == *own_domain;
            state.is_listed = true;
        }
        self.by_address.retain(|_, state| state.is_listed || state.open > 0);
    }

    /// Returns the helpers that may get a request.
    pub fn addresses(&self, now: Mono) -> impl Iterator<Item = SocketAddr> {
        let usable = self.by_address.iter().filter(move |(_, state)| state.takes_requests(now));
        usable.map(|(address, _)| *address)
    }

    /// Returns up to `count` processes to ask what they see, of as many failure domains as possible; others
    /// at each call, so that no process is asked by all.
    pub fn witnesses(&mut self, count: usize, now: Mono) -> Vec<SocketAddr> {
        let usable = self.by_address.iter().filter(|(_, state)| state.takes_requests(now));
        let mut left: Vec<(SocketAddr, &str)> =
            usable.map(|(address, state)| (*address, &*state.failure_domain)).collect();
        self.chosen = self.chosen.wrapping_add(1);
        let start = self.chosen % left.len().max(1);
        left.rotate_left(start);
        let mut asked: Vec<(SocketAddr, &str)> = Vec::new();
        while asked.len() < count && !left.is_empty() {
            let is_new =
                |(_, domain): &(SocketAddr, &str)| asked.iter().all(|(_, other)| other != domain);
            let next = left.iter().position(is_new).unwrap_or(0);
            asked.push(left.remove(next));
        }
        asked.into_iter().map(|(address, _)| address).collect()
    }

    /// Returns up to `count` helpers of other failure domains.
    pub fn of_other_domains(&self, count: usize, now: Mono) -> Vec<Helper> {
        let others = self
            .by_address
            .iter()
            .filter(|(_, state)| state.takes_requests(now) && !state.is_own_domain);
        let helper = |(address, state): (&SocketAddr, &HelperState)| Helper {
            address: *address,
            failure_domain: state.failure_domain.clone(),
        };
        others.map(helper).take(count).collect()
    }

    /// Chooses a helper for a request and counts the request there.
    pub fn choose(&mut self, now: Mono) -> Option<SocketAddr> {
        let load = |state: &HelperState| {
            state.open + if state.is_own_domain { 0 } else { OWN_DOMAIN_PREFERENCE }
        };
        let usable = self.by_address.iter().filter(|(_, state)| state.takes_requests(now));
        let least = usable.clone().map(|(_, state)| load(state)).min()?;
        let equals: Vec<SocketAddr> =
            usable.filter(|(_, state)| load(state) == least).map(|(address, _)| *address).collect();
        self.chosen = self.chosen.wrapping_add(1);
        let address = equals[self.chosen % equals.len()];
        if let Some(state) = self.by_address.get_mut(&address) {
            state.open += 1;
        }
        Some(address)
    }

    /// Records that a request at a helper has ended.
    pub fn ended(&mut self, address: SocketAddr) {
        if let Some(state) = self.by_address.get_mut(&address) {
            state.open = state.open.saturating_sub(1);
        }
    }

    /// Records that a helper failed or declined a request.
    pub fn failed(&mut self, address: SocketAddr, now: Mono) {
        if let Some(state) = self.by_address.get_mut(&address) {
            state.failed_until = now + FAILURE_BACKOFF;
        }
    }
}

impl HelperState {
    fn takes_requests(&self, now: Mono) -> bool {
        self.is_listed && now >= self.failed_until
    }
}
