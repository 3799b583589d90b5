//! What routing tells the other processes and hears from them.

use base::prelude::*;
use route::prelude::*;
use route::trial::TrialRequest;
use tokio::sync::oneshot;

/// What has to reach other processes.
#[derive(Debug)]
pub enum ToPeers {
    /// All of them, with the priority of downs.
    CrashHistory(CrashHistory),
    /// All of them.
    Usage(UsageReport),
    /// The soft owner of the trials of the ask's model version.
    RequestTrial {
        /// The ask.
        trial_request: TrialRequest,
        /// Where the answer goes; dropped if there is none in time.
        reply: oneshot::Sender<TrialDecision>,
    },
    /// The soft owner of the trials of the model version.
    ReleaseTrial {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// What came of the trial.
        history: CrashHistory,
    },
}

/// What other processes say.
#[derive(Debug)]
pub enum FromPeer {
    /// What one knows of a request that may crash groups.
    CrashHistory(CrashHistory),
    /// One's demand.
    Usage(UsageReport),
    /// What membership holds of the other processes.
    Peers {
        /// Those that are live.
        live: Vec<NodeId>,
        /// How many are known, live or dead.
        known: usize,
    },
    /// One asks this process as coordinator.
    TrialRequested {
        /// The ask.
        trial_request: TrialRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<TrialDecision>,
    },
    /// A trial that this process granted has ended.
    TrialReleased(CrashHistory),
    /// The coordinator answered an ask of this process.
    TrialDecided {
        /// The request.
        request: RequestId,
        /// The answer.
        decision: TrialDecision,
    },
}
