//! Picks a replica group for an attempt.
//!
//! Takes [`RouteMessage`]s under [`names::ROUTE`]. The decisions are [`route::router`]'s; the
//! [`shell`] carries them out. What other processes have to know goes as [`ToPeers`](peers::ToPeers) to the
//! mailbox under [`names::ROUTE_EXCHANGE`]; a process without that service decides alone.

pub mod exchange;
pub mod fact;
pub mod peers;
pub mod quarantine_api;
pub mod shell;

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use config::prelude::Settings;
use group::view::GroupTable;
use kernel::prelude::*;
use relay::prelude::Failure;
use spec::prelude::Catalog;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::names;
use crate::route::peers::FromPeer;
use crate::route::quarantine_api::QuarantineEntry;
use crate::route::shell::Shell;

/// Messages that may wait in the mailbox.
const MAILBOX_DEPTH: usize = 4_096;

/// What an attempt needs of a group.
#[data]
pub struct AttemptSpec {
    /// The request.
    pub request: RequestId,
    /// The workspace that asks.
    pub workspace: WorkspaceId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Fingerprint of workspace and body, by which requests that crash groups are known.
    pub fingerprint: u64,
    /// Priority; a higher one goes first.
    pub priority: u8,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// When the caller no longer waits.
    pub deadline: Mono,
    /// Attempts of the request before this one.
    pub attempts: u32,
    /// Groups that failed the request.
    pub exclude: Vec<GroupId>,
}

/// Where an attempt goes.
#[data]
pub struct Target {
    /// The group.
    pub group: GroupId,
    /// Its generation.
    pub generation: Generation,
    /// Where its rank 0 listens.
    pub leader: SocketAddr,
}

/// Routing's answer to a [`AttemptSpec`].
#[data]
pub enum Picked {
    /// Send it there.
    Group(Target),
    /// Don't send it.
    Refused {
        /// Why.
        failure: Failure,
        /// When to come back.
        retry_after: Option<Duration>,
    },
}

/// How an attempt ended, for routing.
#[key]
pub enum AttemptOutcome {
    /// Its answer was whole.
    Done,
    /// No connection could be made.
    NotSent,
    /// The group refused it before admission.
    Refused,
    /// The connection broke or the request was given up.
    Broken,
    /// The group crashed while it ran.
    Crashed,
}

/// What the relay tells routing of an attempt.
#[data]
pub struct AttemptReport {
    /// The request.
    pub request: RequestId,
    /// Its fingerprint.
    pub fingerprint: u64,
    /// The group.
    pub group: GroupId,
    /// Its end.
    pub outcome: AttemptOutcome,
    /// Time from sending to the first piece.
    pub first_token: Option<Duration>,
    /// Pieces that arrived.
    pub pieces: u32,
    /// Time from the first piece to the last.
    pub streaming: Duration,
}

/// A message to routing.
#[derive(Debug)]
pub enum RouteMessage {
    /// Pick a group.
    Pick {
        /// What is needed.
        spec: Box<AttemptSpec>,
        /// Where the answer goes.
        reply: oneshot::Sender<Picked>,
    },
    /// An attempt ended.
    AttemptEnded(AttemptReport),
    /// The request ended, whichever way.
    RequestEnded(RequestId),
    /// A peer's word.
    Peer(FromPeer),
    /// List the suspects and the quarantined requests.
    ListQuarantine(oneshot::Sender<Vec<QuarantineEntry>>),
    /// End a quarantine or suspicion by an operator's order.
    LiftQuarantine {
        /// The request's fingerprint.
        fingerprint: u64,
        /// Gets whether anything was held against it.
        reply: oneshot::Sender<bool>,
    },
}

/// Describes the service.
pub fn service() -> Service {
    Service::new(names::ROUTE, &[names::GROUPS, names::CATALOG], |cx| async move {
        let inbox = cx.mailbox::<RouteMessage>(names::ROUTE, MAILBOX_DEPTH);
        let groups = cx.subscribe::<GroupTable>(names::GROUPS)?;
        let catalog = cx.subscribe::<Catalog>(names::CATALOG)?;
        let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
        let metrics: Metrics = cx.registry().lookup(names::PROCESS)?;
        cx.ready();
        let shell = Shell::new(cx.clone(), &settings, &metrics);
        shell.run(inbox, groups, catalog).await;
        Ok(())
    })
}
