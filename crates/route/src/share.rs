//! Each process's fraction of a limit that holds over the whole deployment.
//!
//! Every process publishes its recent demand for each workspace, as requests a second, once a
//! [`PUBLISH_PERIOD`]. Its fraction of every limit of the workspace is
//!
//! ```text
//! fraction = own / (own + sum over the other live processes of their last known demand)
//! ```
//!
//! where `own` is the *least* demand that this process published during the last
//! [`PROPAGATION_BOUND`]. So a rise counts in the numerator only once all others count it in their
//! denominator, while a fall counts at once. A process that joins, or that was cut off, counts as
//! idle for one spread bound.
//!
//! Error bound. While every publication reaches every process within [`PROPAGATION_BOUND`], the
//! fractions add up to at most 1: each denominator is at least the sum of all numerators. A
//! process to which fewer than half of the other known processes are live knows that it is cut
//! off, and takes one `N`th. With `N` known processes of which `c` are cut off, what all admit in
//! a window `W` under a limit of `L` a second with burst `B` is at most
//!
//! ```text
//! L * (W + D) + L * W * c / N + B + N
//! ```
//!
//! where `D` is how much later the cut-off processes find out than the others, and `N` stands
//! there because a bucket holds at least one whole request. Below the limit the loss is the
//! fraction of a lost process until membership reports it dead, and a rise of demand waits for
//! one period and one spread bound.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::prelude::*;

/// How often each process publishes its demand.
pub const PUBLISH_PERIOD: Duration = Duration::from_secs(1);
/// Time within which a publication reaches every live process.
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(2);
/// Demand, in requests a second, that an idle process counts for.
const IDLE_DEMAND: f64 = 0.05;
/// Weight of the newest period in the moving average of demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// Publications that are kept: those of one spread bound, and the one in force before.
const MAX_PUBLISHED: usize = 8;

/// Demand of one workspace at one process.
#[wire]
pub struct WorkspaceDemand {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Requests a second that its callers brought lately, admitted or not.
    pub demand: f64,
}

/// One process's publication.
#[wire]
pub struct UsageReport {
    /// The process.
    pub node: NodeId,
    /// The life of the process.
    pub boot: BootId,
    /// Rises with each publication of one life.
    pub number: u64,
    /// Its workspaces with demand above that of an idle process.
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
    arrivals: BTreeMap<WorkspaceId, u32>,
    demands: Demands,
    published_at: Mono,
    published: VecDeque<(Mono, Demands)>,
    live: Vec<NodeId>,
    known: usize,
    peers: BTreeMap<NodeId, Peer>,
}

impl LimitShares {
    /// Starts without demand and without other processes.
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

    /// Counts one request that a caller brought, before it is admitted or refused.
    pub fn record_arrival(&mut self, workspace: &str) {
        match self.arrivals.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                self.arrivals.insert(workspace.into(), 1);
            }
        }
    }

    /// Takes over what membership holds of the other processes: which are live, and how many are
    /// known, live or dead.
    ///
    /// What a process published is forgotten only here, once it is dead or has left.
    pub fn set_live_peers(&mut self, live: Vec<NodeId>, known: usize) {
        debug_assert!(!live.contains(&self.node), "a process is not its own peer");
        self.peers.retain(|node, _| live.contains(node));
        self.known = known.max(live.len());
        self.live = live;
        if self.is_partitioned() {
            // What was published while nobody listened must not count once they listen again.
            self.published.clear();
        }
    }

    /// Returns whether `period` has passed since the last publication.
    pub fn is_due(&self, now: Mono, period: Duration) -> bool {
        self.number == 0 || now.saturating_sub(self.published_at) >= period
    }

    /// Closes the current period and returns what has to reach all other processes.
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

    /// Takes over another process's publication, unless a later one is known.
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

    /// Returns this process's fraction of the workspace's limits, above 0 and at most 1.
    pub fn fraction(&self, workspace: &str, now: Mono) -> f64 {
        if self.is_partitioned() {
            return 1.0 / (self.known + 1) as f64;
        }
        let own = self.min_recent_demand(workspace, now);
        let others: f64 = self.live.iter().map(|node| self.peer_demand(node, workspace)).sum();
        own / (own + others)
    }

    /// Returns the demand of all live processes as last known, in requests a second.
    pub fn total_demand(&self, workspace: &str) -> f64 {
        let own = self.demands.get(workspace).copied().unwrap_or(0.0);
        own + self.live.iter().map(|node| self.peer_demand(node, workspace)).sum::<f64>()
    }

    /// Returns whether fewer than half of the other known processes are live.
    fn is_partitioned(&self) -> bool {
        2 * self.live.len() < self.known
    }

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

    /// Drops publications that were already replaced one spread bound ago.
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

/// What one workspace may get of a shared capacity.
#[data]
pub struct CapacityDemand {
    /// What it asks for.
    pub demand: f64,
    /// What it gets in any case, if it asks for as much.
    pub guaranteed: f64,
    /// Its weight when free capacity is shared.
    pub share: f64,
}

/// Shares `capacity` among claims: first the guarantees, then what is free by weight.
///
/// No claim gets more than its demand, and nothing is left over while a demand is unmet. If the
/// guarantees exceed the capacity, all are cut in proportion.
pub fn fair_shares(capacity: f64, claims: &[CapacityDemand]) -> Vec<f64> {
    let mut given: Vec<f64> =
        claims.iter().map(|claim| claim.demand.min(claim.guaranteed)).collect();
    let promised: f64 = given.iter().sum();
    if promised > capacity {
        given.iter_mut().for_each(|amount| *amount *= capacity / promised);
        return given;
    }
    let mut free = capacity - promised;
    let mut open: Vec<usize> = (0..claims.len()).collect();
    loop {
        open.retain(|&i| claims[i].share > 0.0 && given[i] < claims[i].demand);
        let weights: f64 = open.iter().map(|&i| claims[i].share).sum();
        if open.is_empty() || free <= 0.0 {
            return given;
        }
        // The claim that is met soonest sets how far all rise together.
        let steps = open.iter().map(|&i| (claims[i].demand - given[i]) / claims[i].share);
        let step = steps.fold(free / weights, f64::min);
        for &i in &open {
            let raised = given[i] + step * claims[i].share;
            let is_met = raised >= claims[i].demand * (1.0 - f64::EPSILON);
            given[i] = if is_met { claims[i].demand } else { raised };
        }
        free -= step * weights;
        if step == free / weights || free <= capacity * f64::EPSILON {
            return given;
        }
    }
}
