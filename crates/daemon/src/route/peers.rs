//! Messages between routing and the other processes.

use base::prelude::*;
use route::prelude::*;
use route::trial::TrialRequest;
use tokio::sync::oneshot;

/// An update that routing sends to other processes.
#[derive(Debug)]
pub enum ToPeers {
    /// To all processes, with the same priority as reports of processes that are down.
    CrashHistory(CrashHistory),
    /// To all processes.
    Usage(UsageReport),
    /// To the coordinator of trials of the requested model version.
    RequestTrial {
        /// The request.
        trial_request: TrialRequest,
        /// Receives the decision; dropped if there is none in time.
        reply: oneshot::Sender<TrialDecision>,
    },
    /// To the coordinator of trials of the model version.
    ReleaseTrial {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// The crash history of the request after the trial.
        history: CrashHistory,
    },
}

/// An update that routing receives from other processes.
#[derive(Debug)]
pub enum FromPeer {
    /// The crash history of a request, as another process knows it.
    CrashHistory(CrashHistory),
    /// The demand of another process.
    Usage(UsageReport),
    /// The other processes, according to membership.
    Peers {
        /// The live processes.
        live: Vec<NodeId>,
        /// Number of known processes, live or dead.
        known: usize,
    },
    /// Another process requests a trial permit from this process as the coordinator.
    TrialRequested {
        /// The request.
        trial_request: TrialRequest,
        /// Receives the decision.
        reply: oneshot::Sender<TrialDecision>,
    },
    /// A trial that this process permitted has ended.
    TrialReleased(CrashHistory),
    /// The coordinator decided on a trial request of this process.
    TrialDecided {
        /// The request.
        request: RequestId,
        /// The decision.
        decision: TrialDecision,
    },
}
