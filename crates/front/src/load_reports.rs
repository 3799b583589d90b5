//! The loads that other processes have reported to this one.
//!
//! One process of each failure domain is its hub. The hub watches the store. The other processes of
//! the domain call it a few times a second: they report their own load and get the changed rows of
//! the store and the load of the whole fleet. Hubs send each other the totals of their domains.
//! Thus calls to the store grow with the number of domains, and messages between processes grow
//! with the number of processes.

use std::collections::BTreeMap;

use base::prelude::*;
use form::prelude::*;
use pass::load::Load;

/// How long a report counts.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Load per server.
pub type Loads = Vec<(ServerId, Load)>;

#[derive(Debug)]
struct LoadReport {
    loads: Loads,
    processes: usize,
    at: Mono,
}

/// The last report of each other process.
///
/// Reports of processes of the own domain (clients) and of other hubs are kept apart. A process
/// that changes its role moves from one to the other.
#[derive(Debug, Default)]
pub struct LoadReports {
    clients: BTreeMap<NodeId, LoadReport>,
    hubs: BTreeMap<NodeId, LoadReport>,
}

impl LoadReports {
    /// Records the load of a process of the own domain.
    pub fn record_client(&mut self, node: &NodeId, loads: Loads, now: Mono) {
        self.clients.insert(node.clone(), LoadReport { loads, processes: 1, at: now });
        self.hubs.remove(node);
    }

    /// Records the totals of another hub's domain, which has so many `processes`.
    pub fn record_hub(&mut self, node: &NodeId, loads: Loads, processes: usize, now: Mono) {
        self.hubs.insert(node.clone(), LoadReport { loads, processes, at: now });
        self.clients.remove(node);
    }

    /// Returns how many processes use this one as their hub.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, now: Mono) {
        self.clients.retain(|_, report| now <= report.at + REPORT_TTL);
        self.hubs.retain(|_, report| now <= report.at + REPORT_TTL);
    }

    /// Returns the load and the number of processes of the own domain; `own` is the load of this
    /// process.
    pub fn domain_total(&self, own: &Loads, now: Mono) -> (Loads, usize) {
        (sum(self.clients.values(), own, now), self.clients.len() + 1)
    }

    /// Returns the load and the number of processes of the fleet; `own` is the load of this process.
    ///
    /// The load leaves out the report of client `except`, which adds its own load itself; the number
    /// of processes includes it.
    pub fn fleet_total(&self, own: &Loads, except: &str, now: Mono) -> (Loads, usize) {
        let clients = self.clients.iter().filter(|(node, _)| &***node != except);
        let reports = clients.chain(&self.hubs).map(|(_, report)| report);
        let elsewhere: usize = self.hubs.values().map(|report| report.processes).sum();
        (sum(reports, own, now), self.clients.len() + 1 + elsewhere)
    }
}

/// Returns the sum of the reported loads and `own`; observations of limits have aged since they were
/// reported.
fn sum<'a>(reports: impl Iterator<Item = &'a LoadReport>, own: &Loads, now: Mono) -> Loads {
    let mut sums: BTreeMap<ServerId, Load> = own.iter().cloned().collect();
    for report in reports {
        for (server, load) in &report.loads {
            let sum = sums.entry(server.clone()).or_default();
            *sum = sum.combined_with(&load.with_limit_aged(now.saturating_sub(report.at)));
        }
    }
    sums.into_iter().collect()
}
