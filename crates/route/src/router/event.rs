//! The events that routing handles and the actions that it returns.

use std::net::SocketAddr;

use base::prelude::*;
use group::view::GroupTable;

use crate::limits::WorkspaceLimits;
use crate::quarantine::CrashHistory;
use crate::request::Fingerprint;
use crate::request::Refusal;
use crate::request::RequestSpec;
use crate::share::UsageReport;
use crate::trial::TrialDecision;
use crate::trial::TrialRequest;

/// How an attempt failed.
#[key]
pub enum Failure {
    /// The engine of the group died while it was running the request: the connection broke and a
    /// new one was refused, or the engine came back with another boot id.
    Crashed,
    /// The group refused the request before admission.
    Refused,
    /// Nothing was sent, because no connection could be opened.
    NotSent,
    /// The attempt made no progress in time, or the connection broke while the group lived.
    #[serde(rename = "silent")]
    Interrupted,
}

/// An event that routing handles.
#[data]
pub enum RouteEvent {
    /// A request is submitted for its first or another attempt.
    Submit(RequestSpec),
    /// The first token of the request's answer arrived.
    FirstToken(RequestId),
    /// This many further tokens of the request's answer arrived.
    Tokens(RequestId, u32),
    /// The measurements of an attempt, instead of `FirstToken` and `Tokens` events.
    Measured {
        /// The request.
        request: RequestId,
        /// Time from sending to the first token.
        first_token: Duration,
        /// The number of tokens that arrived.
        tokens: u32,
        /// Time from the first token to the last.
        streaming: Duration,
    },
    /// The answer is complete.
    Finished(RequestId),
    /// The attempt failed; the caller submits the request again or abandons it.
    Failed(RequestId, Failure),
    /// The request ended without a complete answer, or its caller went away.
    Abandoned(RequestId),
    /// The coordinator answered a trial request of this process.
    TrialDecided(RequestId, TrialDecision),
    /// Another process, or this one, sent a trial request to this process as coordinator.
    TrialRequested {
        /// Matches the answer to the trial request.
        correlation_id: u64,
        /// The trial request.
        trial_request: TrialRequest,
    },
    /// A trial that this process permitted has ended; its request has this crash history.
    TrialReleased(CrashHistory),
    /// The current group table.
    Groups(GroupTable),
    /// The current limits.
    Limits(WorkspaceLimits),
    /// The current membership.
    Peers {
        /// The other live processes.
        live: Vec<NodeId>,
        /// The number of other known processes, live or dead, without those that left.
        known: usize,
    },
    /// Another process published its demand.
    PeerUsage(UsageReport),
    /// Another process published the crash history of a request.
    PeerCrashHistory(CrashHistory),
    /// An operator lifted a quarantine.
    LiftQuarantine(Fingerprint),
    /// Time passed; expected every few tens of milliseconds.
    Tick,
}

/// An action for the caller to execute.
#[data]
pub enum RouteAction {
    /// Send an attempt of the request to a group.
    Send {
        /// The request.
        request: RequestId,
        /// The group.
        group: GroupId,
        /// The generation of the group, which is its fencing token.
        generation: Generation,
        /// The address of the group's rank 0.
        leader: SocketAddr,
        /// How long to wait before sending.
        wait: Duration,
    },
    /// The request is queued.
    Queued {
        /// The request.
        request: RequestId,
        /// The expected wait.
        wait: Duration,
    },
    /// Refuse the request, or its further attempt, at once.
    Refuse {
        /// The request.
        request: RequestId,
        /// The reason, and the time to retry after.
        refusal: Refusal,
    },
    /// Send a trial request to the coordinator, and pass on its answer as a `TrialDecided` event.
    RequestTrial {
        /// The request.
        request: RequestId,
        /// The trial request; its model and version determine the coordinator.
        trial_request: TrialRequest,
    },
    /// Report the end of a trial to the coordinator.
    ReleaseTrial {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// The crash history of the request, which the coordinator has to know before it permits
        /// another trial.
        history: CrashHistory,
    },
    /// Answer a trial request.
    AnswerTrial {
        /// The id from the `TrialRequested` event.
        correlation_id: u64,
        /// The answer.
        decision: TrialDecision,
    },
    /// Publish a crash history to all other processes, with the priority of failure reports.
    PublishCrashHistory(CrashHistory),
    /// Publish the demand at this process to all other processes.
    PublishUsage(UsageReport),
    /// Record an event in the timeline.
    Record(Event),
}
