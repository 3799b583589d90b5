//! Distribution of configuration revisions to every process with few calls to the key-value
//! service.
//!
//! In each failure domain, the [`WATCHERS_PER_DOMAIN`] live members with the highest rendezvous
//! weights watch the key-value service. When a new revision comes into force in a process, the
//! process pushes its number at once, as every packet carries the revision in force at its sender.
//! A process that receives a higher number from a process where that revision is in force pulls the
//! revision from it, and then pushes the number itself. Each process therefore serves only a few
//! pulls, regardless of the number of processes.
//!
//! The number is also published as a fact, which spreads faster than the pulls and tells a process
//! how far it is behind. A process that is still behind after [`PULL_TIMEOUT`] pulls from the
//! process that published the fact, which repairs a broken chain of pulls.
//!
//! Which catalog is in force, that its revision never decreases, how a process starts, and when it
//! refuses new requests, is decided in the crate `spec`.
//!
//! Invariants:
//!
//! - Which processes watch, as seen by this one, depends only on the live members and their failure
//!   domains.
//! - A revision is announced only if it is higher than every announced one.

use base::hash;
use base::prelude::*;

/// Processes that watch the key-value service in each failure domain.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Time for the chain of pulls to deliver an announced revision, before it is pulled from the
/// process that announced it; also the time between two such pulls.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(2);

const WATCH_KEY: &str = "configuration watch";

/// An input of the state machine.
#[data]
pub enum Event {
    /// The live members of this process's failure domain changed. The list excludes this process.
    DomainMembers(Vec<NodeId>),
    /// A fact announced a revision.
    Announced {
        /// The revision.
        revision: Revision,
        /// The process that announced it.
        owner: NodeId,
    },
    /// A revision came into force in this process.
    InForce(Revision),
    /// Time has passed.
    Tick,
}

/// An output of the state machine, to be carried out by the caller.
#[data]
pub enum Action {
    /// Start or stop watching the key-value service.
    SetWatch(bool),
    /// Publish the fact that this revision exists.
    Announce(Revision),
    /// Pull the revision from a process.
    Pull {
        /// The process that announced it.
        owner: NodeId,
        /// The revision.
        revision: Revision,
    },
}

#[derive(Clone, Debug)]
struct Announced {
    revision: Revision,
    owner: NodeId,
    pull_at: Mono,
}

/// Decides when this process watches the key-value service, announces revisions and pulls them.
#[derive(Clone, Debug)]
pub struct RevisionSync {
    me: NodeId,
    watches: bool,
    in_force: Revision,
    announced: Option<Announced>,
}

impl RevisionSync {
    /// Returns the initial state. A process that knows no other member watches.
    pub fn new(me: NodeId) -> Self {
        RevisionSync { me, watches: true, in_force: 0, announced: None }
    }

    /// Returns whether this process watches the key-value service.
    pub fn is_watching(&self) -> bool {
        self.watches
    }

    /// Returns the highest revision that this process knows of.
    pub fn highest(&self) -> Revision {
        let announced = self.announced.as_ref().map_or(0, |announced| announced.revision);
        announced.max(self.in_force)
    }

    /// Applies `event` at `now` and returns the actions to carry out.
    pub fn decide(&mut self, event: Event, now: Mono) -> Vec<Action> {
        match event {
            Event::DomainMembers(others) => self.update_watch(&others),
            Event::Announced { revision, owner } => self.announced(revision, owner, now),
            Event::InForce(revision) => self.in_force(revision),
            Event::Tick => self.pull_if_late(now),
        }
    }

    fn update_watch(&mut self, others: &[NodeId]) -> Vec<Action> {
        let watches = is_watcher(&self.me, others);
        if watches == self.watches {
            return Vec::new();
        }
        self.watches = watches;
        vec![Action::SetWatch(watches)]
    }

    fn announced(&mut self, revision: Revision, owner: NodeId, now: Mono) -> Vec<Action> {
        if revision > self.highest() {
            self.announced = Some(Announced { revision, owner, pull_at: now + PULL_TIMEOUT });
        }
        Vec::new()
    }

    fn in_force(&mut self, revision: Revision) -> Vec<Action> {
        let is_highest = revision > self.highest();
        self.in_force = self.in_force.max(revision);
        if is_highest { vec![Action::Announce(revision)] } else { Vec::new() }
    }

    fn pull_if_late(&mut self, now: Mono) -> Vec<Action> {
        let in_force = self.in_force;
        let late = self.announced.as_mut().filter(|announced| {
            announced.revision > in_force && announced.owner != self.me && now >= announced.pull_at
        });
        let Some(late) = late else { return Vec::new() };
        late.pull_at = now + PULL_TIMEOUT;
        vec![Action::Pull { owner: late.owner.clone(), revision: late.revision }]
    }
}

/// Returns whether `me` is a watcher of its failure domain, whose other live members are `others`.
pub fn is_watcher(me: &str, others: &[NodeId]) -> bool {
    let all = others.iter().map(|name| &**name).chain([me]);
    hash::owners(WATCH_KEY, all, WATCHERS_PER_DOMAIN).contains(&me)
}
