//! Non-idempotent requests run at most once.
//!
//! Such a request carries a [`RequestKey`](key::RequestKey) with its issue time, and its key is
//! claimed in the key-value service before it is dispatched. Whoever holds the claim may dispatch
//! once; every later send of the key gets the recorded outcome, or "unknown" while there is none.
//!
//! - [`key`]: request keys, their hashes, and fingerprints of requests.
//! - [`settings`]: the settings, and the [`Layout`](settings::Layout) that all processes share.
//! - [`segment`]: the record that holds the claims of a shard and time slot, and its verifier.
//! - [`apply`]: decides what a batch of claims and reports makes of a segment.
//! - [`group_commit`]: decides when a shard's batch is written (group commit).
//! - [`claimant`]: decides what one send of a request does, from its key to its reply.
//! - [`committer`]: the task that writes the batches.
//! - [`owner`]: who writes the claims of a shard.
//! - [`answer_cache`]: answers that this process still holds for resends.
//! - [`trace`] and [`simulation`]: replay of recorded traces and drawn schedules.
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

/// The common types of this crate.
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
