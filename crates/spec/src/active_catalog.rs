//! Which catalog is in force in one process, and where it gets newer ones from.
//!
//! A few soft-chosen processes of a failure domain watch the key-value service; all others hear
//! revision numbers by gossip and pull what they miss from a peer that has it. A process that
//! hears of a higher revision and gets it from no peer in time reads the key-value service itself.
//!
//! A new process starts from the key-value service. When that is down, it waits until it has heard
//! its peers and starts from the highest revision among them. Before, it takes no requests.
//!
//! Invariants: the revision in force never gets lower. A process that has had contact neither with
//! the key-value service nor with any peer for the staleness bound takes no new requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;

use crate::catalog::Catalog;
use crate::delta::Update;
use crate::delta::UpdateError;
use crate::delta::update_since;

/// How long a new process listens to its peers before it starts from the highest of them.
pub const START_LISTEN_PERIOD: Duration = Duration::from_secs(1);
/// Time within which a pull must bring a revision that was heard of, before another try.
pub const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pulls that may fail before the key-value service is read.
pub const PULLS_BEFORE_READ: u32 = 2;
/// Pause between two tries to read the key-value service.
pub const READ_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Where a catalog came from.
#[data]
pub enum Source {
    /// The key-value service.
    Kv,
    /// A peer.
    Peer(NodeId),
}

/// What happens to an [`ActiveCatalog`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The key-value service holds this catalog: from a read, a watch or an accepted change.
    Stored(Arc<Catalog>),
    /// The key-value service was heard of without news: a watch of it stands.
    StoreContact,
    /// A read of the key-value service gave no answer.
    ReadFailed,
    /// A peer was heard, with the revision in force there.
    PeerRevision {
        /// The peer.
        peer: NodeId,
        /// The revision in force there.
        revision: Revision,
    },
    /// A peer has left or is dead.
    PeerLost(NodeId),
    /// A pull ended; `None` if it gave nothing of use.
    PullCompleted {
        /// The peer.
        peer: NodeId,
        /// Its answer.
        update: Option<Update>,
    },
    /// Time has passed.
    Tick,
}

/// What an [`ActiveCatalog`] wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Put this catalog in force.
    Activate {
        /// The catalog.
        catalog: Arc<Catalog>,
        /// Where it came from.
        source: Source,
    },
    /// Ask a peer for what changed after `from`.
    Pull {
        /// The peer.
        peer: NodeId,
        /// The revision in force here, or 0 to ask for the whole catalog.
        from: Revision,
    },
    /// Read the key-value service.
    Read,
    /// Take new requests, or take none.
    SetAdmission(bool),
}

/// Decides which catalog is in force in one process.
#[derive(Clone, Debug)]
pub struct ActiveCatalog {
    catalog: Option<Arc<Catalog>>,
    peers: BTreeMap<NodeId, Revision>,
    started: Mono,
    last_contact: Mono,
    staleness_bound: Duration,
    /// Until when a pull is awaited.
    pull_until: Option<Mono>,
    /// A pull that failed for the higher revision goes to another peer.
    pulls_failed: u32,
    /// A delta did not lead to the sender's catalog, so the next pull asks for all of it.
    wants_whole: bool,
    reading: bool,
    read_after: Mono,
    takes_requests: bool,
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
            pull_until: None,
            pulls_failed: 0,
            wants_whole: false,
            reading: false,
            read_after: now,
            takes_requests: false,
        }
    }

    /// Returns the revision in force; 0 before there is one.
    pub fn revision(&self) -> Revision {
        self.catalog.as_ref().map_or(0, |catalog| catalog.revision)
    }

    /// Returns what a puller at `from` misses; `None` before a catalog is in force here.
    pub fn update_since(&self, from: Revision) -> Option<Update> {
        self.catalog.as_ref().map(|catalog| update_since(catalog, from))
    }

    /// Returns the highest revision heard of, and a peer that has it.
    pub fn highest(&self) -> Option<(Revision, &NodeId)> {
        self.peers.iter().map(|(peer, revision)| (*revision, peer)).max()
    }

    /// Takes in one event and returns what is to be done.
    pub fn decide(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Stored(catalog) => {
                self.last_contact = now;
                self.reading = false;
                self.put(catalog, Source::Kv, &mut actions);
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
            Event::PullCompleted { peer, update } => self.pulled(peer, update, now, &mut actions),
            Event::Tick => {}
        }
        self.seek(now, &mut actions);
        self.admit(now, &mut actions);
        actions
    }

    fn pulled(
        &mut self,
        peer: NodeId,
        update: Option<Update>,
        now: Mono,
        actions: &mut Vec<Action>,
    ) {
        self.pull_until = None;
        let empty = Arc::new(Catalog::default());
        let current = self.catalog.as_ref().unwrap_or(&empty);
        let next = update.map(|update| update.apply(current));
        match next {
            Some(Ok(Some(catalog))) => {
                self.last_contact = now;
                self.put(catalog, Source::Peer(peer), actions);
            }
            Some(Err(UpdateError::DigestMismatch { .. })) => self.wants_whole = true,
            // The peer's word for its revision did not hold, so another peer is asked.
            _ => {
                self.pulls_failed += 1;
                self.peers.remove(&peer);
            }
        }
    }

    fn put(&mut self, catalog: Arc<Catalog>, source: Source, actions: &mut Vec<Action>) {
        let is_news = self.catalog.is_none() || catalog.revision > self.revision();
        if is_news {
            self.pulls_failed = 0;
            self.wants_whole = false;
            self.catalog = Some(Arc::clone(&catalog));
            actions.push(Action::Activate { catalog, source });
        }
    }

    /// Asks for what is missing: a first catalog, or a higher one that was heard of.
    fn seek(&mut self, now: Mono, actions: &mut Vec<Action>) {
        if self.pull_until.is_some_and(|until| now >= until) {
            self.pull_until = None;
            self.pulls_failed += 1;
        }
        let highest = self.highest().map(|(revision, peer)| (revision, peer.clone()));
        let behind = highest.as_ref().is_some_and(|(revision, _)| *revision > self.revision());
        let starting = self.catalog.is_none();
        let listened = now >= self.started + START_LISTEN_PERIOD;
        let may_pull = if starting { listened && !self.reading } else { true };
        let must_read = starting || (behind && self.pulls_failed >= PULLS_BEFORE_READ);
        if must_read && !self.reading && now >= self.read_after {
            self.reading = true;
            self.pulls_failed = 0;
            actions.push(Action::Read);
            return;
        }
        if let (Some((_, peer)), true, true, None) = (highest, behind, may_pull, self.pull_until) {
            self.pull_until = Some(now + PULL_TIMEOUT);
            let from = if self.wants_whole { 0 } else { self.revision() };
            actions.push(Action::Pull { peer, from });
        }
    }

    fn admit(&mut self, now: Mono, actions: &mut Vec<Action>) {
        let fresh = now < self.last_contact + self.staleness_bound;
        let takes = self.catalog.is_some() && fresh;
        if takes != self.takes_requests {
            self.takes_requests = takes;
            actions.push(Action::SetAdmission(takes));
        }
    }
}
