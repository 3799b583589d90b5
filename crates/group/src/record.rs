//! All assignments of one fabric domain, kept as one value in the key-value service.
//!
//! Forming, repairing, swapping a member and dissolving are each one compare-and-swap of this
//! value, so a VM in two groups cannot be written.

use base::prelude::*;

/// State of a replica group.
#[key]
pub enum GroupState {
    /// Members are assigned; no order has been confirmed yet.
    Forming,
    /// Members load weights.
    Loading,
    /// All members are there and ready: the group may get work.
    Serving,
    /// The group gets no new work and finishes what runs.
    Draining,
    /// A member is missing.
    Broken,
    /// The group is gone; its members are free.
    Dissolved,
}

/// One member of a replica group.
#[wire]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// The life of its engine that was assigned; 0 until it is known.
    pub boot: BootId,
    /// Its rank; rank 0 takes the group's requests.
    pub rank: u32,
}

/// One replica group.
#[wire]
pub struct GroupRecord {
    /// Its name.
    pub id: GroupId,
    /// The declared replica that it belongs to.
    pub replica: Box<str>,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Its adapters.
    pub adapters: Vec<AdapterId>,
    /// The fencing number; every change of members raises it.
    pub generation: Generation,
    /// Its state.
    pub state: GroupState,
    /// Its members, by rank.
    pub members: Vec<Member>,
}

/// All assignments of one fabric domain.
#[wire]
pub struct FabricRecord {
    /// The fabric domain.
    pub fabric: FabricId,
    /// The id of the last write of this record.
    pub write_id: WriteId,
    /// The highest generation ever given to a group of this domain.
    pub last_generation: Generation,
    /// Its groups.
    pub groups: Vec<GroupRecord>,
}
