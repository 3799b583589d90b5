//! The membership of this process: gossip over UDP, driven by the state machine of the crate
//! `member`.
//!
//! Registers under [`names::MEMBER`]:
//!
//! - a view of [`MembershipView`]: all known processes and their status;
//! - a view of [`Facts`]: the facts that have not expired;
//! - a mailbox for [`MemberMessage`]: facts that this process publishes, and the active revision
//!   here;
//! - a [`broadcast::Sender`] of [`PeerContact`]: every packet received from another process, to
//!   subscribe to.
//!
//! Without a shared secret in the settings, the process has no peers and opens no socket.

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

/// Capacity of the mailbox, in messages.
const MAILBOX_DEPTH: usize = 1024;
/// Number of contacts by which a subscriber may lag before it misses some.
const CONTACTS_DEPTH: usize = 1024;

/// Another process, as known to this one.
#[data]
pub struct MemberView {
    /// Its name.
    pub name: NodeId,
    /// Id of its current process instance.
    pub boot: BootId,
    /// Its status according to the membership.
    pub status: Status,
    /// Its region.
    pub region: Box<str>,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Its gossip address.
    pub gossip: SocketAddr,
    /// Its address for peer calls.
    pub peer: SocketAddr,
    /// The highest active revision that it has reported.
    pub revision: Revision,
}

/// All other known processes, sorted by name.
#[data]
#[derive(Default)]
pub struct MembershipView {
    /// The processes.
    pub members: Vec<MemberView>,
}

impl MembershipView {
    /// Returns the process `name`, if it is known.
    pub fn find(&self, name: &str) -> Option<&MemberView> {
        let found = self.members.binary_search_by(|member| (*member.name).cmp(name));
        found.ok().map(|index| &self.members[index])
    }

    /// Returns the live members: those alive, and those suspected but not yet declared dead.
    pub fn live(&self) -> impl Iterator<Item = &MemberView> {
        self.members.iter().filter(|member| member.status.is_live())
    }

    /// Returns the owner of `key` by rendezvous hashing over the live processes and `me`. Processes
    /// with different views may disagree on it.
    pub fn owner<'a>(&'a self, key: &str, me: &'a str) -> &'a str {
        let live = self.live().map(|member| &*member.name);
        hash::owner(key, live.chain([me])).unwrap_or(me)
    }

    /// Returns the address for peer calls of the process `name`, regardless of its status.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.find(name).map(|member| member.peer)
    }
}

/// The facts that have not expired, by priority.
#[data]
#[derive(Default)]
pub struct Facts {
    /// The facts.
    pub facts: Vec<Fact>,
}

/// A message to the service.
#[data]
pub enum MemberMessage {
    /// Publish a fact of this process.
    Publish(Fact),
    /// A revision became active in this process.
    ActiveRevision(Revision),
    /// Seeds that were found in addition to those of the settings.
    Seeds(Vec<SocketAddr>),
}

/// A packet was received from another process.
#[data]
pub struct PeerContact {
    /// The sender.
    pub peer: NodeId,
    /// The active revision of the sender.
    pub revision: Revision,
}

/// Returns the service.
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
