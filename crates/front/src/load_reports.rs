//! What a hub knows of the other processes, and what it tells them.
//!
//! One process of each failure domain is a hub. It follows the store, and the other processes of
//! the domain ask it, a few times a second, for changed rows and for the load of the fleet; in the
//! same call they tell their own load. Hubs tell each other the sums of their domains. So calls to
//! the store follow the number of domains, and messages follow the number of processes.

use std::collections::BTreeMap;

use base::prelude::*;
use form::prelude::*;
use pass::places::Load;

/// How long what a process told counts.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Loads by server.
pub type Loads = Vec<(ServerId, Load)>;

#[derive(Debug)]
struct LoadReport {
    loads: Loads,
    processes: usize,
    at: Mono,
}

/// What other processes have told this one.
#[derive(Debug, Default)]
pub struct LoadReports {
    clients: BTreeMap<NodeId, LoadReport>,
    hubs: BTreeMap<NodeId, LoadReport>,
}

impl LoadReports {
    /// Notes what a process of the own domain told.
    pub fn record_client(&mut self, node: &NodeId, loads: Loads, now: Mono) {
        self.clients.insert(node.clone(), LoadReport { loads, processes: 1, at: now });
        self.hubs.remove(node);
    }

    /// Notes the sums that another hub told.
    pub fn record_hub(&mut self, node: &NodeId, loads: Loads, processes: usize, now: Mono) {
        self.hubs.insert(node.clone(), LoadReport { loads, processes, at: now });
        self.clients.remove(node);
    }

    /// Returns how many processes ask this one.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Mono) {
        self.clients.retain(|_, told| now <= told.at + REPORT_TTL);
        self.hubs.retain(|_, told| now <= told.at + REPORT_TTL);
    }

    /// Returns the sums of the own domain, with this process's `own` loads, and its processes.
    pub fn domain_total(&self, own: &Loads) -> (Loads, usize) {
        let told = self.clients.values().map(|told| &told.loads);
        (sum(told.chain([own])), self.clients.len() + 1)
    }

    /// Returns the fleet's loads and processes, without those of `except`.
    pub fn fleet_total(&self, own: &Loads, except: &str) -> (Loads, usize) {
        let clients = self.clients.iter().filter(|(node, _)| &***node != except);
        let told = clients.chain(&self.hubs).map(|(_, told)| &told.loads);
        let hubs: usize = self.hubs.values().map(|told| told.processes).sum();
        (sum(told.chain([own])), self.clients.len() + 1 + hubs)
    }
}

fn sum<'a>(all: impl Iterator<Item = &'a Loads>) -> Loads {
    let mut sums: BTreeMap<ServerId, Load> = BTreeMap::new();
    for (server, load) in all.flatten() {
        let sum = sums.entry(server.clone()).or_default();
        *sum = sum.plus(load);
    }
    sums.into_iter().collect()
}
