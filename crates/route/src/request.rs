//! The properties of a request that routing depends on, and the reasons for a refusal.
//!
//! A request has two kinds of fingerprints. The *body fingerprint* is a hash of workspace and body.
//! It identifies the request in the quarantine, whichever caller resends it to whichever process.
//! The *prefix hashes* are a hash chain over the blocks of the prompt: two prompts share their
//! first `n` hashes exactly if they share their first `n` blocks.

use base::hash::stable;
use base::prelude::*;

/// Bytes of the prompt in one block of the hash chain.
pub const PREFIX_BLOCK_BYTES: usize = 256;
/// Number of leading blocks that determine the affinity key.
pub const AFFINITY_BLOCKS: usize = 4;
/// Number of tokens that an answer is assumed to have if the caller sets no limit.
pub const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// Time for which a caller is assumed to wait if it sets no deadline.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(120);

/// A hash of a request's workspace and body, which identifies the request over resends.
pub type Fingerprint = u64;

/// The priority class of a request: higher ones are served first and shed last.
#[key]
#[derive(Default)]
pub enum Priority {
    /// Background work.
    Low,
    /// The default class.
    #[default]
    Normal,
    /// Interactive work that is urgent.
    High,
}

/// The properties of one request that routing depends on.
#[wire]
pub struct RequestSpec {
    /// The id of the request.
    pub request: RequestId,
    /// The workspace whose API key it carried.
    pub workspace: WorkspaceId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// The prefix hashes of its prompt; see [`prefix_hashes`].
    #[serde(default)]
    pub prefix: Vec<u64>,
    /// The body fingerprint; see [`body_fingerprint`].
    pub fingerprint: Fingerprint,
    /// The priority class.
    #[serde(default)]
    pub priority: Priority,
    /// When the caller stops waiting, on the monotonic clock of this process.
    pub deadline: Mono,
    /// The expected number of tokens of the answer.
    pub tokens: u32,
    /// Groups at which an attempt of this request failed. They are not tried again.
    #[serde(default)]
    pub excluded: Vec<GroupId>,
    /// The number of earlier attempts.
    #[serde(default)]
    pub attempts: u32,
    /// Whether another attempt is safe: the request is idempotent, or no earlier attempt can have
    /// run.
    pub repeatable: bool,
}

impl RequestSpec {
    /// Describes the first attempt of a repeatable request whose deadline is [`DEFAULT_TIMEOUT`]
    /// after time zero.
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

    /// Returns the key that determines the first-choice group of the request.
    ///
    /// It covers everything that a cached prefix depends on: model, version, adapter and the first
    /// blocks of the prompt.
    pub fn affinity_key(&self) -> u64 {
        let depth = self.prefix.len().min(AFFINITY_BLOCKS);
        let block = depth.checked_sub(1).map_or(self.fingerprint, |last| self.prefix[last]);
        let adapter = self.adapter.as_deref().unwrap_or_default();
        stable(format!("{}/{}/{adapter}/{block:x}", self.model, self.version).as_bytes())
    }
}

/// Returns the body fingerprint of a request.
pub fn body_fingerprint(workspace: &str, body: &[u8]) -> Fingerprint {
    let mut buf = Vec::with_capacity(workspace.len() + 1 + body.len());
    buf.extend_from_slice(workspace.as_bytes());
    buf.push(0);
    buf.extend_from_slice(body);
    stable(&buf)
}

/// Returns the hash chain over the complete blocks of `prompt`.
///
/// A prompt shorter than one block counts as one block.
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
    /// No usable group serves the version and adapter.
    NoGroup,
    /// The workspace exceeds its request rate.
    Rate,
    /// The workspace has too many requests in progress.
    Concurrency,
    /// The workspace exceeds its token rate.
    Tokens,
    /// The queue is filled above the shedding threshold, and the request is in a class that is
    /// shed.
    Overload,
    /// The queue is full of requests that are served earlier.
    QueueFull,
    /// The answer would not be complete by the deadline.
    Deadline,
    /// The retry budget is exhausted, or another attempt is not safe.
    NoRetry,
    /// The request was running in two crashes and is refused until its quarantine ends.
    Quarantined,
    /// The request may have crashed a group, and got no trial permit in time.
    Suspect,
}

/// A refusal, which the caller receives at once.
#[wire]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The time to retry after; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}
