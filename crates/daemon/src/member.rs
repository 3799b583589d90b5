//! The membership of this process: gossip over UDP around the decisions of the crate `member`.
//!
//! Offers under [`names::MEMBER`]:
//!
//! - a view of [`MembershipView`]: all processes that are remembered, and what they are held to be;
//! - a view of [`Facts`]: the facts that stand;
//! - a mailbox for [`MemberMessage`]: facts that this process says, and the revision in force here;
//! - a [`broadcast::Sender`] of [`PeerContact`]: every word of another process, to subscribe to.
//!
//! Without a shared secret in the settings the process stays alone: it opens no socket.

mod shell;

use std::net::SocketAddr;
use std::sync::Arc;

use base::hash;
use base::prelude::*;
use config::prelude::*;
use kernel::prelude::*;
use member::prelude::Fact;
use member::prelude::Status;
use tokio::sync::broadcast;

use crate::metrics::Metrics;
use crate::names;

/// Messages that may wait for the service.
const MAILBOX_DEPTH: usize = 1024;
/// Words of other processes that a subscriber may be behind.
const CONTACTS_DEPTH: usize = 1024;

/// A process as this one sees it.
#[data]
pub struct MemberView {
    /// Its name.
    pub name: NodeId,
    /// Its life.
    pub boot: BootId,
    /// What it is held to be.
    pub status: Status,
    /// Its region.
    pub region: Box<str>,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Where it receives gossip.
    pub gossip: SocketAddr,
    /// Where it serves its peers.
    pub peer: SocketAddr,
    /// The highest revision in force that it reported itself.
    pub revision: Revision,
}

/// All other processes that are remembered, in the order of their names.
#[data]
#[derive(Default)]
pub struct MembershipView {
    /// The processes.
    pub members: Vec<MemberView>,
}

impl MembershipView {
    /// Returns the process `name`.
    pub fn find(&self, name: &str) -> Option<&MemberView> {
        let found = self.members.binary_search_by(|member| (*member.name).cmp(name));
        found.ok().map(|index| &self.members[index])
    }

    /// Returns the live members: alive, or suspected and not yet held dead.
    pub fn live(&self) -> impl Iterator<Item = &MemberView> {
        self.members.iter().filter(|member| member.status.is_live())
    }

    /// Returns the process that owns `key` softly, among the live ones and `me`.
    pub fn owner<'a>(&'a self, key: &str, me: &'a str) -> &'a str {
        let live = self.live().map(|member| &*member.name);
        hash::owner(key, live.chain([me])).unwrap_or(me)
    }

    /// Returns where the process `name` serves its peers, whatever it is held to be.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.find(name).map(|member| member.peer)
    }
}

/// The facts that stand, by priority.
#[data]
#[derive(Default)]
pub struct Facts {
    /// The facts.
    pub facts: Vec<Fact>,
}

/// A message to the service.
#[data]
pub enum MemberMessage {
    /// This process says a fact.
    Publish(Fact),
    /// A revision came into force in this process.
    InForce(Revision),
    /// More seeds became known, beside those of the settings.
    Seeds(Vec<SocketAddr>),
}

/// A word of another process.
#[data]
pub struct PeerContact {
    /// The process.
    pub peer: NodeId,
    /// The revision in force there.
    pub revision: Revision,
}

/// Describes the service.
pub fn service() -> Service {
    Service::new(names::MEMBER, &[names::PEER], |cx| async move {
        let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
        let metrics: Metrics = cx.registry().lookup(names::PROCESS)?;
        let mut inbox = cx.mailbox::<MemberMessage>(names::MEMBER, MAILBOX_DEPTH);
        let (contacts, _) = broadcast::channel::<PeerContact>(CONTACTS_DEPTH);
        cx.registry().register(names::MEMBER, contacts.clone());
        let views = shell::Views {
            members: cx.publish(names::MEMBER, MembershipView::default()),
            facts: cx.publish(names::MEMBER, Facts::default()),
        };
        if settings.peers.secrets.is_empty() {
            cx.ready();
            let alone = async { while inbox.recv().await.is_some() {} };
            tokio::select! {
                () = alone => {}
                () = cx.stopping() => {}
            }
            return Ok(());
        }
        let shell = shell::Shell::open(&cx, &settings, metrics, views, contacts).await?;
        cx.ready();
        shell.run(inbox).await;
        Ok(())
    })
}
