//! Which catalog is active in one process, and where the process gets newer ones from.
//!
//! A few processes of each failure domain, chosen without strict agreement, watch the key-value
//! service. All others learn revision numbers by gossip and pull the changes that they lack from a
//! peer that has them. A process that learns of a higher revision and gets it from no peer in time
//! reads the key-value service itself.
//!
//! A new process reads its first catalog from the key-value service. When that is down, it listens
//! to its peers for [`START_LISTEN_PERIOD`] and pulls from the one with the highest revision. Until
//! it has a catalog, it admits no requests.
//!
//! Invariants: the active revision never decreases. A process that has had contact neither with the
//! key-value service nor with any peer for the staleness bound admits no new requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;

use crate::catalog::Catalog;
use crate::delta::Update;
use crate::delta::UpdateError;
use crate::delta::update_since;

/// How long a new process listens to its peers before it pulls from the one with the highest
/// revision.
pub const START_LISTEN_PERIOD: Duration = Duration::from_secs(1);
/// Time after which an unanswered pull counts as failed, and another peer may be asked.
pub const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Failed pulls after which the key-value service is read instead.
pub const PULLS_BEFORE_READ: u32 = 2;
/// Delay before a failed read of the key-value service is repeated.
pub const READ_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Where a catalog came from.
#[data]
pub enum Source {
    /// The key-value service.
    Kv,
    /// A peer.
    Peer(NodeId),
}

/// Input of an [`ActiveCatalog`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The key-value service holds this catalog, as a read, a watch or an accepted change showed.
    Stored(Arc<Catalog>),
    /// The key-value service was reached without an update, such as through an established watch.
    StoreContact,
    /// A read of the key-value service failed.
    ReadFailed,
    /// A message from a peer named its active revision.
    PeerRevision {
        /// The peer.
        peer: NodeId,
        /// The active revision of the peer.
        revision: Revision,
    },
    /// A peer has left or was declared dead.
    PeerLost(NodeId),
    /// A pull ended.
    PullCompleted {
        /// The peer.
        peer: NodeId,
        /// The response; `None` if the pull failed.
        update: Option<Update>,
    },
    /// Time has passed.
    Tick,
}

/// Output of an [`ActiveCatalog`], to be carried out by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make this catalog the active one.
    Activate {
        /// The catalog.
        catalog: Arc<Catalog>,
        /// Where it came from.
        source: Source,
    },
    /// Ask a peer for the changes after `from`.
    Pull {
        /// The peer.
        peer: NodeId,
        /// The active revision of this process, or 0 to ask for a snapshot.
        from: Revision,
    },
    /// Read the key-value service.
    Read,
    /// Start (`true`) or stop (`false`) admitting new requests.
    SetAdmission(bool),
}

/// State machine that decides which catalog is active in one process.
#[derive(Clone, Debug)]
pub struct ActiveCatalog {
    catalog: Option<Arc<Catalog>>,
    peers: BTreeMap<NodeId, Revision>,
    started: Mono,
    last_contact: Mono,
    staleness_bound: Duration,
    /// When the outstanding pull times out.
    pull_deadline: Option<Mono>,
    /// Failed pulls since the last activation or read of the key-value service.
    failed_pulls: u32,
    /// Applying a delta gave another catalog than the sender's, so the next pull asks for a snapshot.
    needs_snapshot: bool,
    reading: bool,
    read_after: Mono,
    admits_requests: bool,
}

impl ActiveCatalog {
    /// Starts without a catalog.
    pub fn new(now: Mono, staleness_bound: Duration) -> Self {
        ActiveCatalog {
            catalog: None,
            peers: BTreeMap::new(),
            started: now,
            last_contact: now,
            staleness_bound,
            pull_deadline: None,
            failed_pulls: 0,
            needs_snapshot: false,
            reading: false,
            read_after: now,
            admits_requests: false,
        }
    }

    /// Returns the active revision; 0 if no catalog is active yet.
    pub fn revision(&self) -> Revision {
        self.catalog.as_ref().map_or(0, |catalog| catalog.revision)
    }

    /// Returns the update for a puller at revision `from`; `None` if no catalog is active here yet.
    pub fn update_since(&self, from: Revision) -> Option<Update> {
        self.catalog.as_ref().map(|catalog| update_since(catalog, from))
    }

    /// Returns the highest revision that any peer reported, and a peer that has it.
    pub fn highest(&self) -> Option<(Revision, &NodeId)> {
        self.peers.iter().map(|(peer, revision)| (*revision, peer)).max()
    }

    /// Processes one event and returns the actions that the caller must carry out, in order.
    pub fn decide(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Stored(catalog) => {
                self.last_contact = now;
                self.reading = false;
                self.activate(catalog, Source::Kv, &mut actions);
            }
            Event::StoreContact => self.last_contact = now,
            Event::ReadFailed => {
                self.reading = false;
                self.read_after = now + READ_RETRY_DELAY;
            }
            Event::PeerRevision { peer, revision } => {
                self.last_contact = now;
                let known = self.peers.entry(peer).or_default();
                *known = revision.max(*known);
            }
            Event::PeerLost(peer) => drop(self.peers.remove(&peer)),
            Event::PullCompleted { peer, update } => {
                self.pull_completed(peer, update, now, &mut actions)
            }
            Event::Tick => {}
        }
        self.fetch(now, &mut actions);
        self.update_admission(now, &mut actions);
        actions
    }

    fn pull_completed(
        &mut self,
        peer: NodeId,
        update: Option<Update>,
        now: Mono,
        actions: &mut Vec<Action>,
    ) {
        self.pull_deadline = None;
        let empty = Arc::new(Catalog::default());
        let current = self.catalog.as_ref().unwrap_or(&empty);
        let next = update.map(|update| update.apply(current));
        match next {
            Some(Ok(Some(catalog))) => {
                self.last_contact = now;
                self.activate(catalog, Source::Peer(peer), actions);
            }
            Some(Err(UpdateError::DigestMismatch { .. })) => self.needs_snapshot = true,
            // The peer did not deliver the revision that it reported, so another peer is asked.
            _ => {
                self.failed_pulls += 1;
                self.peers.remove(&peer);
            }
        }
    }

    fn activate(&mut self, catalog: Arc<Catalog>, source: Source, actions: &mut Vec<Action>) {
        let is_newer = self.catalog.is_none() || catalog.revision > self.revision();
        if is_newer {
            self.failed_pulls = 0;
            self.needs_snapshot = false;
            self.catalog = Some(Arc::clone(&catalog));
            actions.push(Action::Activate { catalog, source });
        }
    }

    /// Requests a first catalog, or a newer one that a peer reported.
    fn fetch(&mut self, now: Mono, actions: &mut Vec<Action>) {
        if self.pull_deadline.is_some_and(|until| now >= until) {
            self.pull_deadline = None;
            self.failed_pulls += 1;
        }
        let highest = self.highest().map(|(revision, peer)| (revision, peer.clone()));
        let behind = highest.as_ref().is_some_and(|(revision, _)| *revision > self.revision());
        let starting = self.catalog.is_none();
        let listen_period_over = now >= self.started + START_LISTEN_PERIOD;
        let may_pull = if starting { listen_period_over && !self.reading } else { true };
        let must_read = starting || (behind && self.failed_pulls >= PULLS_BEFORE_READ);
        if must_read && !self.reading && now >= self.read_after {
            self.reading = true;
            self.failed_pulls = 0;
            actions.push(Action::Read);
            return;
        }
        if let (Some((_, peer)), true, true, None) = (highest, behind, may_pull, self.pull_deadline)
        {
            self.pull_deadline = Some(now + PULL_TIMEOUT);
            let from = if self.needs_snapshot { 0 } else { self.revision() };
            actions.push(Action::Pull { peer, from });
        }
    }

    fn update_admission(&mut self, now: Mono, actions: &mut Vec<Action>) {
        let fresh = now < self.last_contact + self.staleness_bound;
        let admits = self.catalog.is_some() && fresh;
        if admits != self.admits_requests {
            self.admits_requests = admits;
            actions.push(Action::SetAdmission(admits));
        }
    }
}
