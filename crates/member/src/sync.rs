//! How revisions of the configuration reach every process with few calls to the key-value service.
//!
//! In each failure domain the [`WATCHERS_PER_DOMAIN`] live members with the highest rendezvous
//! weights watch the key-value service. A process in which a new revision came into force passes
//! the number on at once; every packet names the revision in force at its sender. Who hears of a
//! higher one directly from its holder pulls it from there, and then passes it on itself, so each
//! process serves a few pulls, however many processes there are.
//!
//! The number also spreads as a fact, which runs ahead of the pulls. It shows how far a process is
//! behind. A process that is still behind after [`PULL_TIMEOUT`] turns to the process that told the
//! fact, so a chain of pulls that broke is mended.
//!
//! Which catalog is in force, that it never gets lower, how a process starts and when it takes no
//! new requests is decided in the crate `spec`.
//!
//! Invariants: whom this process takes for a watcher depends only on the live members and their
//! failure domains; a number is announced only if it is above every announced one.

use base::hash;
use base::prelude::*;

/// Processes that watch the key-value service in each failure domain.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Time that the chain of pulls has before the process that announced the revision is asked.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(2);

const WATCH_KEY: &str = "configuration watch";

/// Something that happened.
#[data]
pub enum Event {
    /// The live members of this process's failure domain, without itself.
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

/// What the shell must do.
#[data]
pub enum Action {
    /// Watch the key-value service, or end the watch.
    SetWatch(bool),
    /// Tell the fact that this revision stands.
    Announce(Revision),
    /// Ask this process for the revision.
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
    ask_at: Mono,
}

/// Decides whether this process watches, announces and asks.
#[derive(Clone, Debug)]
pub struct RevisionSync {
    me: NodeId,
    watches: bool,
    in_force: Revision,
    announced: Option<Announced>,
}

impl RevisionSync {
    /// Starts as a process that knows nobody: it watches.
    pub fn new(me: NodeId) -> Self {
        RevisionSync { me, watches: true, in_force: 0, announced: None }
    }

    /// Returns whether this process watches the key-value service.
    pub fn is_watching(&self) -> bool {
        self.watches
    }

    /// Returns the highest revision that this process knows to stand.
    pub fn highest(&self) -> Revision {
        let announced = self.announced.as_ref().map_or(0, |announced| announced.revision);
        announced.max(self.in_force)
    }

    /// Decides what to do on `event` at `now`.
    pub fn decide(&mut self, event: Event, now: Mono) -> Vec<Action> {
        match event {
            Event::DomainMembers(others) => self.choose(&others),
            Event::Announced { revision, owner } => self.note(revision, owner, now),
            Event::InForce(revision) => self.put(revision),
            Event::Tick => self.ask(now),
        }
    }

    fn choose(&mut self, others: &[NodeId]) -> Vec<Action> {
        let watches = is_watcher(&self.me, others);
        if watches == self.watches {
            return Vec::new();
        }
        self.watches = watches;
        vec![Action::SetWatch(watches)]
    }

    fn note(&mut self, revision: Revision, owner: NodeId, now: Mono) -> Vec<Action> {
        if revision > self.highest() {
            self.announced = Some(Announced { revision, owner, ask_at: now + PULL_TIMEOUT });
        }
        Vec::new()
    }

    fn put(&mut self, revision: Revision) -> Vec<Action> {
        let is_news = revision > self.highest();
        self.in_force = self.in_force.max(revision);
        if is_news { vec![Action::Announce(revision)] } else { Vec::new() }
    }

    fn ask(&mut self, now: Mono) -> Vec<Action> {
        let in_force = self.in_force;
        let late = self.announced.as_mut().filter(|announced| {
            announced.revision > in_force && announced.owner != self.me && now >= announced.ask_at
        });
        let Some(late) = late else { return Vec::new() };
        late.ask_at = now + PULL_TIMEOUT;
        vec![Action::Pull { owner: late.owner.clone(), revision: late.revision }]
    }
}

/// Returns whether `me` is among the watchers of its failure domain, beside the live `others`.
pub fn is_watcher(me: &str, others: &[NodeId]) -> bool {
    let all = others.iter().map(|name| &**name).chain([me]);
    hash::owners(WATCH_KEY, all, WATCHERS_PER_DOMAIN).contains(&me)
}
