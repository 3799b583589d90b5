//! All assignments of one fabric domain, kept as one value in the key-value service.
//!
//! Forming, repairing, swapping a member and dissolving are each one compare-and-swap of this
//! value, so concurrent writers cannot assign a VM to two groups. Free VMs are not listed: a VM
//! of the domain that is neither in a group nor among the spares is free.
//!
//! Invariants, checked by [`FabricRecord::verify`](crate::verify): a VM is listed at most once,
//! each group has a generation of its own that does not exceed `last_generation`, ranks are dense,
//! rank 0 is the leader, and a loading, serving or draining group has the boot id of each member.

use base::prelude::*;

/// State of a replica group.
#[key]
pub enum GroupState {
    /// Members are assigned; their boot ids are not confirmed yet.
    Forming,
    /// Members load weights.
    Loading,
    /// All members were healthy when the state was entered: the group may receive requests.
    Serving,
    /// The group receives no new requests and finishes the running ones.
    Draining,
    /// A member is missing or otherwise unhealthy.
    Broken,
    /// The group no longer exists and its members are free. A record never lists such a group.
    Dissolved,
}

/// All states, in the order of [`LEGAL_TRANSITIONS`].
pub const ALL_STATES: [GroupState; 6] = [
    GroupState::Forming,
    GroupState::Loading,
    GroupState::Serving,
    GroupState::Draining,
    GroupState::Broken,
    GroupState::Dissolved,
];

/// The allowed state transitions: each state with the states that may follow it.
pub const LEGAL_TRANSITIONS: [(GroupState, &[GroupState]); 6] = {
    use GroupState::*;
    [
        (Forming, &[Loading, Broken, Dissolved]),
        (Loading, &[Serving, Forming, Broken, Dissolved]),
        (Serving, &[Draining, Broken]),
        (Draining, &[Broken, Dissolved]),
        (Broken, &[Forming, Dissolved]),
        (Dissolved, &[]),
    ]
};

impl GroupState {
    /// Returns whether [`LEGAL_TRANSITIONS`] allows a group to go from this state to `next`.
    pub fn can_transition_to(self, next: GroupState) -> bool {
        LEGAL_TRANSITIONS.iter().any(|(from, to)| *from == self && to.contains(&next))
    }

    /// Returns the state's name in JSON and in events.
    pub fn name(self) -> &'static str {
        match self {
            GroupState::Forming => "forming",
            GroupState::Loading => "loading",
            GroupState::Serving => "serving",
            GroupState::Draining => "draining",
            GroupState::Broken => "broken",
            GroupState::Dissolved => "dissolved",
        }
    }
}

/// The role of a member in its group.
#[key]
pub enum Role {
    /// Receives the group's requests; rank 0.
    Leader,
    /// Computes its share of the model on behalf of the leader.
    Worker,
}

/// One member of a replica group.
#[wire]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// The boot id of its assigned engine instance; 0 until it is known.
    pub boot: BootId,
    /// Its rank; rank 0 receives the group's requests.
    pub rank: u32,
    /// Its role.
    pub role: Role,
}

impl Member {
    /// Returns the member of rank `rank` on `vm`, with an unknown boot id.
    pub fn new(vm: VmId, rank: u32) -> Self {
        let role = if rank == 0 { Role::Leader } else { Role::Worker };
        Member { vm, boot: 0, rank, role }
    }
}

/// One replica group.
#[wire]
pub struct GroupRecord {
    /// The name of the group.
    pub id: GroupId,
    /// The declared replica that it belongs to.
    pub replica: Box<str>,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Its adapters.
    pub adapters: Vec<AdapterId>,
    /// The fencing token; every change of members, and every rejoin, raises it.
    pub generation: Generation,
    /// Its state.
    pub state: GroupState,
    /// Its members, ordered by rank.
    pub members: Vec<Member>,
}

impl GroupRecord {
    /// Returns the member on `vm`.
    pub fn member(&self, vm: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.vm == vm)
    }
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
    /// VMs that are kept free to replace a missing member.
    pub spares: Vec<VmId>,
}

impl FabricRecord {
    /// Returns the record of a domain before its first write: it has no groups.
    pub fn empty(fabric: FabricId) -> Self {
        FabricRecord { fabric, write_id: 0, last_generation: 0, groups: vec![], spares: vec![] }
    }

    /// Returns the group `id`.
    pub fn group(&self, id: &str) -> Option<&GroupRecord> {
        self.groups.iter().find(|group| &*group.id == id)
    }

    /// Returns the group that `vm` is a member of.
    pub fn group_of(&self, vm: &str) -> Option<&GroupRecord> {
        self.groups.iter().find(|group| group.member(vm).is_some())
    }

    /// Returns the record's JSON text.
    pub fn to_text(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has no map with keys that are not text")
    }
}

/// Reads a record from its JSON text and verifies it.
impl TryFrom<&[u8]> for FabricRecord {
    type Error = Findings;

    fn try_from(text: &[u8]) -> Result<Self, Findings> {
        match serde_json::from_slice::<FabricRecord>(text) {
            Ok(record) => record.verify().into_result(record),
            Err(error) => {
                let mut findings = Findings::default();
                findings.add("$", error.to_string());
                Err(findings)
            }
        }
    }
}
