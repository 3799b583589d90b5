//! What routing is told, and what it orders.

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
    /// The group's engine died while it ran the request: the connection broke and a new one was
    /// refused, or the engine came back with another boot id.
    Crashed,
    /// The group refused it before admission.
    Refused,
    /// Nothing was sent: no connection could be made.
    NotSent,
    /// No progress within its deadline, or a broken connection to a group that lives.
    #[serde(rename = "silent")]
    Interrupted,
}

/// What routing is told.
#[data]
pub enum RouteEvent {
    /// A request wants an attempt.
    Submit(RequestSpec),
    /// The first token of a request's answer came.
    FirstToken(RequestId),
    /// This many further tokens came.
    Tokens(RequestId, u32),
    /// What was measured of an attempt, in place of `FirstToken` and `Tokens`.
    Measured {
        /// The request.
        request: RequestId,
        /// Time from sending to the first token.
        first_token: Duration,
        /// Tokens that came.
        tokens: u32,
        /// Time from the first token to the last.
        streaming: Duration,
    },
    /// The whole answer came.
    Finished(RequestId),
    /// The attempt failed; the relay asks again or gives up.
    Failed(RequestId, Failure),
    /// The request ended without an answer, or its caller went away.
    Abandoned(RequestId),
    /// The coordinator answered a trial ask of this process.
    TrialDecided(RequestId, TrialDecision),
    /// Another process, or this one, asks this process as coordinator.
    TrialRequested {
        /// Matches the answer to the ask.
        correlation_id: u64,
        /// The ask.
        trial_request: TrialRequest,
    },
    /// A trial that this process granted has ended; this is what came of it.
    TrialReleased(CrashHistory),
    /// The groups as they are known now.
    Groups(GroupTable),
    /// The limits in force.
    Limits(WorkspaceLimits),
    /// What membership holds of the other processes.
    Peers {
        /// Those that are live.
        live: Vec<NodeId>,
        /// How many are known, live or dead; not those that left.
        known: usize,
    },
    /// A peer's publication of its demand.
    PeerUsage(UsageReport),
    /// What a peer knows of a request that may crash groups.
    PeerCrashHistory(CrashHistory),
    /// An operator ends a quarantine.
    LiftQuarantine(Fingerprint),
    /// Time passed; sent every few tens of milliseconds.
    Tick,
}

/// What routing orders.
#[data]
pub enum RouteAction {
    /// Send the request's attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The group.
        group: GroupId,
        /// Its fencing number.
        generation: Generation,
        /// Where its rank 0 listens.
        leader: SocketAddr,
        /// How long to wait before sending.
        wait: Duration,
    },
    /// The request waits in the queue; `Send` or `Refuse` follows.
    Queued {
        /// The request.
        request: RequestId,
        /// How long it is expected to wait.
        wait: Duration,
    },
    /// Tell the caller at once that the request, or its further attempt, is refused.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Ask the coordinator for permission, and pass on its answer as `Granted`.
    RequestTrial {
        /// The request.
        request: RequestId,
        /// The ask; the coordinator is the soft owner of its model version.
        trial_request: TrialRequest,
    },
    /// Tell the coordinator that the trial has ended.
    ReleaseTrial {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// What is known of the request now: the coordinator has to know it before it grants
        /// another trial.
        history: CrashHistory,
    },
    /// Answer a trial ask.
    AnswerTrial {
        /// The ask that is answered.
        correlation_id: u64,
        /// The answer.
        decision: TrialDecision,
    },
    /// Spread this to all other processes, with the priority of downs.
    PublishCrashHistory(CrashHistory),
    /// Spread this to all other processes.
    PublishUsage(UsageReport),
    /// Record this in the time line.
    Record(Event),
}
