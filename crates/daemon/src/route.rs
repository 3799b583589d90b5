//! Selects a replica group for each attempt of a request.
//!
//! Receives [`RouteMessage`]s in the mailbox [`names::ROUTE`]. The decisions are made by
//! [`route::router`], a state machine without input or output; [`shell`] feeds it events and
//! carries out its actions. Updates for other processes go as [`ToPeers`](peers::ToPeers) to the
//! mailbox [`names::ROUTE_EXCHANGE`]; in a process without that service, routing decides on local
//! information only.

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

/// Capacity of the mailbox, in messages.
const MAILBOX_DEPTH: usize = 4_096;

/// What routing must know of an attempt to select a group for it.
#[data]
pub struct AttemptSpec {
    /// The request.
    pub request: RequestId,
    /// The workspace that sent the request.
    pub workspace: WorkspaceId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Hash of workspace and body, which identifies a request that crashes groups when it is sent
    /// again.
    pub fingerprint: u64,
    /// Priority; requests with a higher one are dispatched first.
    pub priority: u8,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Time at which the caller stops waiting.
    pub deadline: Mono,
    /// Number of earlier attempts of the request.
    pub attempts: u32,
    /// Groups on which the request has failed and which must not be selected again.
    pub exclude: Vec<GroupId>,
}

/// The group that an attempt is sent to.
#[data]
pub struct Target {
    /// The group.
    pub group: GroupId,
    /// The generation of the group.
    pub generation: Generation,
    /// Address of the group's rank 0, which receives its requests.
    pub leader: SocketAddr,
}

/// Result of the selection for an [`AttemptSpec`].
#[data]
pub enum Picked {
    /// Send the attempt to this group.
    Group(Target),
    /// Do not send the attempt.
    Refused {
        /// The reason, as reported to the caller.
        failure: Failure,
        /// Time after which a retry may succeed, if it can be estimated.
        retry_after: Option<Duration>,
    },
}

/// How an attempt ended, as reported to routing.
#[key]
pub enum AttemptOutcome {
    /// The complete answer was received.
    Done,
    /// No connection could be established, so the group did not receive the attempt.
    NotSent,
    /// The group refused the attempt before admitting it.
    Refused,
    /// The connection broke or the request was abandoned.
    Broken,
    /// The group crashed while it ran the attempt.
    Crashed,
}

/// Outcome and measurements of one attempt, reported by the executor of its request.
#[data]
pub struct AttemptReport {
    /// The request.
    pub request: RequestId,
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// The group.
    pub group: GroupId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from sending to the first piece; `None` if no piece arrived.
    pub first_token: Option<Duration>,
    /// Number of pieces that arrived.
    pub pieces: u32,
    /// Time from the first piece to the last.
    pub streaming: Duration,
}

/// A message to routing.
#[derive(Debug)]
pub enum RouteMessage {
    /// Select a group for an attempt.
    Pick {
        /// The attempt.
        spec: Box<AttemptSpec>,
        /// Receives the result.
        reply: oneshot::Sender<Picked>,
    },
    /// An attempt ended.
    AttemptEnded(AttemptReport),
    /// The request ended, with whatever outcome.
    RequestEnded(RequestId),
    /// An update from another process.
    Peer(FromPeer),
    /// List the suspect and the quarantined requests.
    ListQuarantine(oneshot::Sender<Vec<QuarantineEntry>>),
    /// Lift the quarantine or suspicion of a request, on an operator's order.
    LiftQuarantine {
        /// The request's fingerprint.
        fingerprint: u64,
        /// Receives whether the request was suspect or quarantined.
        reply: oneshot::Sender<bool>,
    },
}

/// Returns the routing service.
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
