//! At-most-once execution of non-idempotent requests.
//!
//! Such a request carries a [`RequestKey`](key::RequestKey) with its issue time. The key is claimed
//! in the key-value service before the request is dispatched. The submission that holds the claim
//! may dispatch once. Every later submission of the key gets the recorded outcome, or "unknown"
//! while none is recorded.
//!
//! - [`key`]: request keys, their hashes, and fingerprints of requests.
//! - [`settings`]: the settings, and the [`Layout`](settings::Layout) that all processes share.
//! - [`segment`]: the record with the claims of one shard and time slot, and its validation.
//! - [`apply`]: applies a batch of claims and reports to a segment.
//! - [`group_commit`]: decides when the batch of a shard is written.
//! - [`claimant`]: the state machine of one submission, from its key to its reply.
//! - [`committer`]: the task that writes the batches.
//! - [`owner`]: which process writes the claims of a shard.
//! - [`answer_cache`]: cached answers of this process for resubmissions.
//! - [`trace`] and [`simulation`]: replay of recorded traces and generated schedules.
//!
//! ```
//! use once::prelude::*;
//!
//! let key = RequestKey::try_from(RawKey {
//!     workspace: "wioslarz",
//!     key: "1764794098000-entry-17",
//!     issued_ms: None,
//! });
//! assert_eq!(key.unwrap().issued_ms, 1_764_794_098_000);
//! ```

pub mod answer_cache;
pub mod apply;
pub mod claimant;
pub mod committer;
pub mod group_commit;
pub mod key;
pub mod owner;
pub mod segment;
pub mod settings;
pub mod simulation;
pub mod trace;

/// The commonly used types of this crate.
pub mod prelude {
    pub use crate::answer_cache::AnswerCache;
    pub use crate::answer_cache::CachedAnswer;
    pub use crate::apply::Entry;
    pub use crate::apply::Verdict;
    pub use crate::claimant::Claimant;
    pub use crate::claimant::Reply;
    pub use crate::committer::Committer;
    pub use crate::key::ClaimId;
    pub use crate::key::Fingerprint;
    pub use crate::key::KeyHash;
    pub use crate::key::RawKey;
    pub use crate::key::RequestKey;
    pub use crate::segment::Claim;
    pub use crate::segment::ClaimState;
    pub use crate::segment::RequestOutcome;
    pub use crate::segment::Segment;
    pub use crate::settings::Layout;
    pub use crate::settings::OnceSettings;
}
