//! What routing tells the other processes and hears from them.

use base::prelude::*;
use route::prelude::*;
use route::trial::TrialRequest;
use tokio::sync::oneshot;

/// What has to reach other processes.
#[derive(Debug)]
pub enum ToPeers {
    /// All of them, with the priority of downs.
    Poison(CrashHistory),
    /// All of them.
    Usage(UsageReport),
    /// The soft owner of the trials of the ask's model version.
    AskTrial {
        /// The ask.
        ask: TrialRequest,
        /// Where the answer goes; dropped if there is none in time.
        reply: oneshot::Sender<TrialDecision>,
    },
    /// The soft owner of the trials of the model version.
    Release {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// What came of the trial.
        fact: CrashHistory,
    },
}

/// What other processes say.
#[derive(Debug)]
pub enum FromPeer {
    /// What one knows of a request that may crash groups.
    Poison(CrashHistory),
    /// One's demand.
    Usage(UsageReport),
    /// What membership holds of the other processes.
    Live {
        /// Those that are live.
        live: Vec<NodeId>,
        /// How many are known, live or dead.
        known: usize,
    },
    /// One asks this process as coordinator.
    AskTrial {
        /// The ask.
        ask: TrialRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<TrialDecision>,
    },
    /// A trial that this process granted has ended.
    Release(CrashHistory),
    /// The coordinator answered an ask of this process.
    Granted {
        /// The request.
        request: RequestId,
        /// The answer.
        grant: TrialDecision,
    },
}
