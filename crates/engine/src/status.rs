//! What an engine says of itself when it is probed, and its cache events.

use base::prelude::*;

/// What an engine says of itself.
#[wire]
pub struct Status {
    /// Its VM.
    pub vm: VmId,
    /// The life of the engine, drawn when it started.
    pub boot: BootId,
    /// The group that it was last assigned to.
    pub group: Option<GroupId>,
    /// The fencing number of its last order.
    pub generation: Generation,
    /// Its rank in the group.
    pub rank: u32,
    /// Whether it has loaded what it was ordered to and can work.
    pub ready: bool,
    /// Whether it says that it is about to leave.
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

/// An engine's load, reported with a lag.
#[wire]
#[derive(Default)]
pub struct Load {
    /// Attempts that wait.
    pub queued: u32,
    /// Attempts that run.
    pub running: u32,
    /// How old the figures are, in milliseconds.
    pub age_ms: u64,
}

/// Changes of an engine's prefix cache, published late and with gaps.
#[wire]
pub struct CacheEvents {
    /// The events, in order of their numbers; a jump in numbers is a gap.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[wire]
pub struct CacheEvent {
    /// The event's number.
    pub number: u64,
    /// Fingerprint of the prefix.
    pub prefix: u64,
    /// Whether it is cached now.
    pub cached: bool,
}
