//! An engine's answer to a probe, and its cache events.

use base::prelude::*;

/// The status of an engine.
#[wire]
pub struct Status {
    /// Its VM.
    pub vm: VmId,
    /// The random boot id of the engine instance, chosen when it started.
    pub boot: BootId,
    /// The group that it was last assigned to.
    pub group: Option<GroupId>,
    /// The fencing token of its last order.
    pub generation: Generation,
    /// Its rank in the group.
    pub rank: u32,
    /// Whether it has loaded everything it was ordered to load, and can serve.
    pub ready: bool,
    /// Whether it announces that it is about to leave.
    pub leaving: bool,
    /// The model that it has loaded.
    pub model: Option<ModelId>,
    /// The version that it has loaded.
    pub version: Option<VersionId>,
    /// The adapters that it has loaded.
    pub adapters: Vec<AdapterId>,
    /// Its load.
    pub load: Load,
}

/// An engine's load, which may be outdated by `age_ms`.
#[wire]
#[derive(Default)]
pub struct Load {
    /// Queued attempts.
    pub queued: u32,
    /// Running attempts.
    pub running: u32,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
}

/// Changes of an engine's prefix cache. Events may be late, and some may be missing.
#[wire]
pub struct CacheEvents {
    /// The events, ordered by number; a jump in the numbers means that events are missing.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[wire]
pub struct CacheEvent {
    /// The event's number.
    pub number: u64,
    /// The fingerprint of the prefix.
    pub prefix: u64,
    /// Whether it is cached now.
    pub cached: bool,
}
