//! Picks a replica group for an attempt.
//!
//! Takes [`RouteMessage`]s under [`names::ROUTE`].

use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;
use group::view::GroupTable;
use kernel::prelude::*;
use relay::prelude::Failure;
use tokio::sync::oneshot;

use crate::names;

/// Messages that may wait in the mailbox.
const MAILBOX_DEPTH: usize = 4_096;
/// When to come back if no group serves the model.
const NO_GROUP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What an attempt needs of a group.
#[data]
pub struct Need {
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
    pub prompt: std::sync::Arc<str>,
    /// Fingerprint of workspace and body, by which requests that crash groups are known.
    pub fingerprint: u64,
    /// Priority; a higher one goes first.
    pub priority: u8,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// When the caller no longer waits.
    pub deadline: Mono,
    /// Groups that failed the request; not empty means that this is a retry.
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

/// Routing's answer to a [`Need`].
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
pub enum AttemptEnd {
    /// Its answer was whole.
    Done,
    /// It was not sent, or refused.
    NotRun,
    /// The connection broke or the request was given up.
    Broken,
    /// The group crashed while it ran.
    Crashed,
}

/// What the relay tells routing of an attempt.
#[data]
pub struct Report {
    /// The request.
    pub request: RequestId,
    /// Its fingerprint.
    pub fingerprint: u64,
    /// The group.
    pub group: GroupId,
    /// Its end.
    pub end: AttemptEnd,
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
        need: Box<Need>,
        /// Where the answer goes.
        reply: oneshot::Sender<Picked>,
    },
    /// An attempt ended.
    Ended(Report),
}

/// Describes the service.
pub fn service() -> Service {
    Service::new(names::ROUTE, &[names::GROUPS], |cx| async move {
        let mut inbox = cx.mailbox::<RouteMessage>(names::ROUTE, MAILBOX_DEPTH);
        let groups = cx.view::<GroupTable>(names::GROUPS)?;
        cx.ready();
        let mut outstanding: HashMap<GroupId, u32> = HashMap::new();
        loop {
            let message = tokio::select! {
                message = inbox.recv() => message,
                () = cx.stopping() => return Ok(()),
            };
            match message {
                Some(RouteMessage::Pick { need, reply }) => {
                    let picked = pick(&need, &groups.borrow(), &mut outstanding, cx.now());
                    // The request may have been given up meanwhile.
                    let _ = reply.send(picked);
                }
                Some(RouteMessage::Ended(report)) => {
                    if let Some(count) = outstanding.get_mut(&report.group) {
                        *count = count.saturating_sub(1);
                    }
                }
                None => return Ok(()),
            }
        }
    })
}

fn pick(
    need: &Need,
    groups: &GroupTable,
    outstanding: &mut HashMap<GroupId, u32>,
    now: Mono,
) -> Picked {
    let fits = groups.groups.iter().filter(|group| {
        group.is_routable(now)
            && group.model == need.model
            && group.version == need.version
            && need.adapter.iter().all(|adapter| group.adapters.contains(adapter))
            && !need.exclude.contains(&group.id)
    });
    let least = fits.min_by_key(|group| outstanding.get(&group.id).copied().unwrap_or(0));
    let Some(group) = least else {
        let retry_after = Some(NO_GROUP_RETRY_AFTER);
        return Picked::Refused { failure: Failure::NoGroup, retry_after };
    };
    *outstanding.entry(group.id.clone()).or_default() += 1;
    Picked::Group(Target {
        group: group.id.clone(),
        generation: group.generation,
        leader: group.leader,
    })
}
