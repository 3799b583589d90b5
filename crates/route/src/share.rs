//! Each process's fraction of a limit that holds over the whole deployment.
//!
//! Every process publishes its recent demand for each workspace, in requests per second, once per
//! [`PUBLISH_PERIOD`]. Its fraction of every limit of the workspace is
//!
//! ```text
//! fraction = own / (own + sum over the other live processes of their last known demand)
//! ```
//!
//! where `own` is the *least* demand that this process published during the last
//! [`PROPAGATION_BOUND`]. So an increase counts in the numerator only once all other processes
//! count it in their denominators, while a decrease counts at once. A process that has just joined,
//! or was partitioned, counts as idle for one propagation bound.
//!
//! Error bound. While every publication reaches every process within [`PROPAGATION_BOUND`], the
//! fractions add up to at most 1, because each denominator is at least the sum of all numerators. A
//! process that sees fewer than half of the other known processes as live considers itself
//! partitioned and takes a fraction of `1 / N`. With `N` known processes of which `c` are
//! partitioned, all processes together admit in a window `W`, under a limit of `L` per second with
//! burst `B`, at most
//!
//! ```text
//! L * (W + D) + L * W * c / N + B + N
//! ```
//!
//! where `D` is how much later the partitioned processes detect the partition than the others. The
//! last term is `N` because a bucket holds at least one whole request. Below the limit, the
//! fraction of a lost process is unused until membership reports it dead, and an increase of demand
//! takes effect after one publish period and one propagation bound.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::prelude::*;

/// Period in which each process publishes its demand.
pub const PUBLISH_PERIOD: Duration = Duration::from_secs(1);
/// Time within which a publication is assumed to reach every live process.
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(2);
/// Demand, in requests per second, for which an idle process counts.
const IDLE_DEMAND: f64 = 0.05;
/// Weight of the latest period in the moving average of the demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// Maximum number of publications kept: those of one propagation bound, and the one in effect
/// before.
const MAX_PUBLISHED: usize = 8;

/// The demand of one workspace at one process.
#[wire]
pub struct WorkspaceDemand {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Recent requests per second of its callers, admitted or not.
    pub demand: f64,
}

/// One process's publication.
#[wire]
pub struct UsageReport {
    /// The process.
    pub node: NodeId,
    /// The boot id of the process instance.
    pub boot: BootId,
    /// The sequence number of the publication, which increases within one process instance.
    pub number: u64,
    /// The workspaces whose demand is above that of an idle process.
    pub rows: Vec<WorkspaceDemand>,
}

type Demands = BTreeMap<WorkspaceId, f64>;

#[data]
struct Peer {
    boot: BootId,
    number: u64,
    demands: Demands,
}

/// This process's fractions of the limits of all workspaces.
#[data]
pub struct LimitShares {
    node: NodeId,
    boot: BootId,
    number: u64,
    /// Requests since the last publication.
    arrivals: BTreeMap<WorkspaceId, u32>,
    demands: Demands,
    published_at: Mono,
    published: VecDeque<(Mono, Demands)>,
    /// The other live processes.
    live: Vec<NodeId>,
    /// The number of other known processes, live or dead.
    known: usize,
    peers: BTreeMap<NodeId, Peer>,
}

impl LimitShares {
    /// Creates the state of a process without demand and without peers.
    pub fn new(node: NodeId, boot: BootId) -> Self {
        LimitShares {
            node,
            boot,
            number: 0,
            arrivals: BTreeMap::new(),
            demands: Demands::new(),
            published_at: Duration::ZERO,
            published: VecDeque::new(),
            live: Vec::new(),
            known: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Counts one request of a caller, before it is admitted or refused.
    pub fn record_arrival(&mut self, workspace: &str) {
        match self.arrivals.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                self.arrivals.insert(workspace.into(), 1);
            }
        }
    }

    /// Sets which other processes are live, and how many are known, live or dead.
    ///
    /// The publication of a process is dropped only here, once the process is dead or has left.
    pub fn set_live_peers(&mut self, live: Vec<NodeId>, known: usize) {
        debug_assert!(!live.contains(&self.node), "a process is not its own peer");
        self.peers.retain(|node, _| live.contains(node));
        self.known = known.max(live.len());
        self.live = live;
        if self.is_partitioned() {
            // Publications that reached no peer must not count once the partition ends.
            self.published.clear();
        }
    }

    /// Returns whether `period` has passed since the last publication.
    pub fn is_due(&self, now: Mono, period: Duration) -> bool {
        self.number == 0 || now.saturating_sub(self.published_at) >= period
    }

    /// Ends the current period and returns the publication for all other processes.
    pub fn publish(&mut self, now: Mono) -> UsageReport {
        let seconds = now.saturating_sub(self.published_at).as_secs_f64().max(0.001);
        for workspace in self.arrivals.keys() {
            self.demands.entry(workspace.clone()).or_insert(0.0);
        }
        for (workspace, demand) in &mut self.demands {
            let rate = f64::from(self.arrivals.get(workspace).copied().unwrap_or(0)) / seconds;
            *demand += DEMAND_WEIGHT * (rate - *demand);
        }
        self.arrivals.clear();
        self.demands.retain(|_, demand| *demand > IDLE_DEMAND);
        self.number += 1;
        self.published_at = now;
        if !self.is_partitioned() {
            self.published.push_back((now, self.demands.clone()));
            self.drop_expired(now);
        }
        let rows = self.demands.iter();
        UsageReport {
            node: self.node.clone(),
            boot: self.boot,
            number: self.number,
            rows: rows
                .map(|(workspace, demand)| WorkspaceDemand {
                    workspace: workspace.clone(),
                    demand: *demand,
                })
                .collect(),
        }
    }

    /// Stores the publication of another process, unless the same or a later one of the same
    /// process instance is known.
    pub fn merge(&mut self, report: &UsageReport) {
        if report.node == self.node {
            return;
        }
        let known = self.peers.get(&report.node);
        if known.is_some_and(|peer| peer.boot == report.boot && peer.number >= report.number) {
            return;
        }
        let rows = report.rows.iter().filter(|row| row.demand.is_finite());
        let demands = rows.map(|row| (row.workspace.clone(), row.demand.max(0.0))).collect();
        let peer = Peer { boot: report.boot, number: report.number, demands };
        self.peers.insert(report.node.clone(), peer);
    }

    /// Returns the fraction of the workspace's limits for this process, above 0 and at most 1.
    pub fn fraction(&self, workspace: &str, now: Mono) -> f64 {
        if self.is_partitioned() {
            return 1.0 / (self.known + 1) as f64;
        }
        let own = self.min_recent_demand(workspace, now);
        let others: f64 = self.live.iter().map(|node| self.peer_demand(node, workspace)).sum();
        own / (own + others)
    }

    /// Returns the last known demand of all live processes together, in requests per second.
    pub fn total_demand(&self, workspace: &str) -> f64 {
        let own = self.demands.get(workspace).copied().unwrap_or(0.0);
        own + self.live.iter().map(|node| self.peer_demand(node, workspace)).sum::<f64>()
    }

    /// Returns whether fewer than half of the other known processes are live.
    fn is_partitioned(&self) -> bool {
        2 * self.live.len() < self.known
    }

    /// Returns the least demand published during the last propagation bound, or the idle demand if
    /// the publications don't cover it yet.
    fn min_recent_demand(&self, workspace: &str, now: Mono) -> f64 {
        let since = now.saturating_sub(PROPAGATION_BOUND);
        let covered = self.published.front().is_some_and(|(at, _)| *at <= since);
        if !covered && !self.live.is_empty() {
            return IDLE_DEMAND;
        }
        let demands = self.published.iter().map(|(_, demands)| demands.get(workspace).copied());
        let least = demands.map(Option::unwrap_or_default).fold(f64::INFINITY, f64::min);
        if least.is_finite() { least.max(IDLE_DEMAND) } else { IDLE_DEMAND }
    }

    fn peer_demand(&self, node: &NodeId, workspace: &str) -> f64 {
        let peer = self.peers.get(node);
        let demand = peer.and_then(|peer| peer.demands.get(workspace)).copied();
        demand.unwrap_or(0.0).max(IDLE_DEMAND)
    }

    /// Drops the publications that were superseded more than one propagation bound ago.
    fn drop_expired(&mut self, now: Mono) {
        let since = now.saturating_sub(PROPAGATION_BOUND);
        while self.published.len() > 1 && self.published[1].0 <= since {
            self.published.pop_front();
        }
        if self.published.len() > MAX_PUBLISHED {
            self.published.pop_front();
        }
    }
}

/// The demand of one workspace for a shared capacity.
#[data]
pub struct CapacityDemand {
    /// The demanded amount.
    pub demand: f64,
    /// The amount that it gets in any case, if it demands as much.
    pub guaranteed: f64,
    /// Its weight in the sharing of unused capacity.
    pub weight: f64,
}

/// Divides `capacity` by weighted max-min fairness: first the guarantees, then the rest by weight.
///
/// Returns one amount per entry of `demands`. None exceeds its demand, and no capacity is left
/// while a demand is unmet. If the guarantees exceed the capacity, all are reduced in proportion.
pub fn fair_shares(capacity: f64, demands: &[CapacityDemand]) -> Vec<f64> {
    let mut given: Vec<f64> =
        demands.iter().map(|entry| entry.demand.min(entry.guaranteed)).collect();
    let guaranteed: f64 = given.iter().sum();
    if guaranteed > capacity {
        given.iter_mut().for_each(|amount| *amount *= capacity / guaranteed);
        return given;
    }
    let mut free = capacity - guaranteed;
    let mut open: Vec<usize> = (0..demands.len()).collect();
    loop {
        open.retain(|&i| demands[i].weight > 0.0 && given[i] < demands[i].demand);
        let weights: f64 = open.iter().map(|&i| demands[i].weight).sum();
        if open.is_empty() || free <= 0.0 {
            return given;
        }
        // All rise together until the first demand is met.
        let steps = open.iter().map(|&i| (demands[i].demand - given[i]) / demands[i].weight);
        let last_step = free / weights;
        let step = steps.fold(last_step, f64::min);
        for &i in &open {
            let raised = given[i] + step * demands[i].weight;
            let is_met = raised >= demands[i].demand * (1.0 - f64::EPSILON);
            given[i] = if is_met { demands[i].demand } else { raised };
        }
        free -= step * weights;
        if step == last_step || free <= capacity * f64::EPSILON {
            return given;
        }
    }
}
