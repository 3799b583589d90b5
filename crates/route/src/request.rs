//! What one request asks of routing, and why routing may refuse it.
//!
//! A request has two kinds of fingerprint. The *body fingerprint* covers workspace and body: it
//! names the request for the quarantine, whoever resends it and wherever. The *prefix
//! fingerprints* are a chain of hashes over blocks of the prompt: two prompts share the first
//! `n` of them exactly if they share the first `n` blocks.

use base::hash::stable;
use base::prelude::*;

/// Bytes of prompt in one block of the prefix chain.
pub const PREFIX_BLOCK_BYTES: usize = 256;
/// Blocks of the prefix that decide about affinity.
pub const AFFINITY_BLOCKS: usize = 4;
/// Tokens that an answer is taken to have if the caller sets no limit.
pub const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// Time that a caller is taken to wait if it sets no deadline.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(120);

/// Names a request by its workspace and body.
pub type Fingerprint = u64;

/// The classes of requests: a higher one is served first and shed last.
#[key]
#[derive(Default)]
pub enum Priority {
    /// Work that nobody waits for.
    Low,
    /// The ordinary class.
    #[default]
    Normal,
    /// Work that a person waits for urgently.
    High,
}

/// What one request asks of routing.
#[wire]
pub struct RequestSpec {
    /// The request.
    pub request: RequestId,
    /// The workspace whose key it carried.
    pub workspace: WorkspaceId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// Chain of hashes over the prompt's blocks.
    #[serde(default)]
    pub prefix: Vec<u64>,
    /// Fingerprint of workspace and body.
    pub fingerprint: Fingerprint,
    /// The class.
    #[serde(default)]
    pub priority: Priority,
    /// When the caller stops waiting, on this process's monotonic clock.
    pub deadline: Mono,
    /// Tokens that the answer is expected to have.
    pub tokens: u32,
    /// Groups at which an attempt of this request failed.
    #[serde(default)]
    pub excluded: Vec<GroupId>,
    /// Number of attempts that were made before.
    #[serde(default)]
    pub attempts: u32,
    /// Whether another attempt is safe: idempotent, or no earlier attempt can have run.
    pub repeatable: bool,
}

impl RequestSpec {
    /// Describes the first attempt of a repeatable request with default patience from time zero.
    pub fn new(
        request: RequestId,
        workspace: &str,
        model: &str,
        version: &str,
        prompt: &[u8],
    ) -> Self {
        RequestSpec {
            request,
            workspace: workspace.into(),
            model: model.into(),
            version: version.into(),
            adapter: None,
            prefix: prefix_hashes(prompt),
            fingerprint: body_fingerprint(workspace, prompt),
            priority: Priority::default(),
            deadline: DEFAULT_TIMEOUT,
            tokens: DEFAULT_OUTPUT_TOKENS,
            excluded: Vec::new(),
            attempts: 0,
            repeatable: true,
        }
    }

    /// Returns the key that decides which group is the request's first choice.
    ///
    /// It covers what a cached prefix depends on: version, adapter and the prompt's first blocks.
    pub fn affinity_key(&self) -> u64 {
        let depth = self.prefix.len().min(AFFINITY_BLOCKS);
        let block = depth.checked_sub(1).map_or(self.fingerprint, |last| self.prefix[last]);
        let adapter = self.adapter.as_deref().unwrap_or_default();
        stable(format!("{}/{}/{adapter}/{block:x}", self.model, self.version).as_bytes())
    }
}

/// Returns the fingerprint of a request's workspace and body.
pub fn body_fingerprint(workspace: &str, body: &[u8]) -> Fingerprint {
    let mut buf = Vec::with_capacity(workspace.len() + 1 + body.len());
    buf.extend_from_slice(workspace.as_bytes());
    buf.push(0);
    buf.extend_from_slice(body);
    stable(&buf)
}

/// Returns the chain of hashes over the whole blocks of `prompt`, or over all of a shorter one.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut chain: Vec<u64> = Vec::new();
    for block in prompt.chunks(PREFIX_BLOCK_BYTES) {
        if block.len() < PREFIX_BLOCK_BYTES && !chain.is_empty() {
            break;
        }
        let mut buf = chain.last().copied().unwrap_or_default().to_le_bytes().to_vec();
        buf.extend_from_slice(block);
        chain.push(stable(&buf));
    }
    chain
}

/// Why a request is refused.
#[key]
pub enum RefusalReason {
    /// No group that may be used holds the version and adapter.
    NoGroup,
    /// The workspace is above its request rate.
    Rate,
    /// The workspace has too many requests in progress.
    Concurrency,
    /// The workspace is above its token rate.
    Tokens,
    /// The system is overloaded, and the request is in a class that is shed.
    Overload,
    /// The queue is full of requests that go first.
    QueueFull,
    /// The answer would not be complete by the deadline.
    Deadline,
    /// The retry budget is spent, or another attempt is not safe.
    NoRetry,
    /// The request crashed two groups; it is refused until its quarantine ends.
    Quarantined,
    /// The request was running when a group crashed, and waits for its turn to be tried again.
    Suspect,
}

/// A refusal, which is told to the caller at once.
#[wire]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back; `None` if coming back does not help.
    pub retry_after: Option<Duration>,
}
