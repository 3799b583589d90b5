//! How what is admitted of a flow and priority is divided among workspaces.
//!
//! Under overload each workspace gets a max-min fair share: the capacity is divided evenly, and what a
//! workspace doesn't use goes to those that want more. A quarter of the mean share goes to every request
//! beforehand, so that the largest workspace isn't starved. Each process divides its own arrivals, and
//! a caller's retries are arrivals. Processes don't report arrivals by workspace, since this would take
//! more than the messages between them may grow by; callers of a workspace use all processes alike.

use std::collections::HashMap;

use base::prelude::*;

use crate::admission::MIN_RELATIVE_SHARE;
use crate::admission::PRIORITIES;
use crate::admission::RequestClass;
use crate::admission::Shares;
use crate::admission::class;
use crate::arrivals::EventRate;

/// Decayed number of arrivals below which a workspace is forgotten.
const MIN_ARRIVALS: f64 = 0.05;

/// The arrivals of one workspace and priority, and its share until the next report.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    arrivals: EventRate,
    share: Option<f64>,
}

/// The arrivals of a flow at this process by workspace.
#[derive(Debug, Default)]
pub struct WorkspaceRates {
    entries: HashMap<Box<str>, [Entry; PRIORITIES]>,
}

impl WorkspaceRates {
    /// Records that a request has arrived.
    pub fn request_arrived(&mut self, request: RequestClass<'_>, now: Mono) {
        let Some(workspace) = request.workspace else { return };
        if !self.entries.contains_key(workspace) {
            self.entries.insert(workspace.into(), Default::default());
        }
        if let Some(entries) = self.entries.get_mut(workspace) {
            entries[class(request.priority)].arrivals.record(1.0, now);
        }
    }

    /// Divides the shares of each priority among the workspaces.
    pub fn divide(&mut self, shares: &Shares, now: Mono) {
        self.entries.retain(|_, entries| {
            entries.iter().any(|entry| entry.arrivals.decayed(now) > MIN_ARRIVALS)
        });
        for entry in self.entries.values_mut().flatten() {
            entry.share = None;
        }
        for (priority, mean) in shares.iter().enumerate() {
            let mut entries: Vec<&mut Entry> = self
                .entries
                .values_mut()
                .map(|entries| &mut entries[priority])
                .filter(|entry| entry.arrivals.decayed(now) > MIN_ARRIVALS)
                .collect();
            let arrivals: Vec<f64> =
                entries.iter().map(|entry| entry.arrivals.decayed(now)).collect();
            for (entry, share) in entries.iter_mut().zip(fair_shares(mean, &arrivals)) {
                entry.share = Some(share);
            }
        }
    }

    /// Returns the share of a workspace's requests that is admitted; `None` if none of its requests was
    /// known at the last report.
    pub fn share(&self, request: RequestClass<'_>) -> Option<f64> {
        self.entries.get(request.workspace?)?[class(request.priority)].share
    }
}

/// Returns the admitted share of each workspace's `arrivals` if the share `mean` of all is admitted.
pub fn fair_shares(mean: f64, arrivals: &[f64]) -> Vec<f64> {
    if mean >= 1.0 || arrivals.len() < 2 {
        return vec![mean; arrivals.len()];
    }
    let least = mean * MIN_RELATIVE_SHARE;
    let mut left = (mean - least) * arrivals.iter().sum::<f64>();
    let mut order: Vec<usize> = (0..arrivals.len()).collect();
    order.sort_by(|a, b| arrivals[*a].total_cmp(&arrivals[*b]));
    let mut shares = vec![mean; arrivals.len()];
    for (position, index) in order.iter().enumerate() {
        let wanted = arrivals[*index] * (1.0 - least);
        let given = wanted.min(left / (arrivals.len() - position) as f64);
        left -= given;
        shares[*index] = match given == wanted {
            true => 1.0,
            false => least + given / arrivals[*index],
        };
    }
    shares
}
