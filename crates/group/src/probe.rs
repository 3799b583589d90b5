//! The answer of a backend server's engine to a probe, and its comparison with the record.

use base::prelude::*;

use crate::record::GroupRecord;
use crate::record::Member;

/// The assignment that an engine holds.
#[wire]
pub struct Assignment {
    /// The group.
    pub group: GroupId,
    /// The generation of the last order that it accepted.
    pub generation: Generation,
    /// Its rank.
    pub rank: u32,
    /// The version that it has loaded; `None` while it loads one.
    pub version: Option<VersionId>,
    /// The adapters that it has loaded.
    pub adapters: Vec<AdapterId>,
}

/// The number of requests at an engine, as it last reported.
#[wire]
#[derive(Default)]
pub struct Load {
    /// Queued requests.
    pub queued: u32,
    /// Running requests.
    pub running: u32,
}

/// An engine's answer to a probe.
#[wire]
pub struct ProbeAnswer {
    /// The boot id of the engine instance.
    pub boot: BootId,
    /// Its assignment, if it has accepted an order since it started.
    #[serde(default)]
    pub assignment: Option<Assignment>,
    /// Whether everything that was ordered is loaded.
    pub ready: bool,
    /// Whether the engine is about to leave and asks for no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Its load.
    #[serde(default)]
    pub load: Load,
}

/// Why a member is unhealthy. Of several reasons the first in this order is reported.
#[key]
pub enum UnhealthyReason {
    /// It did not answer the last probe, or its last answered probe is too old.
    #[serde(rename = "silent")]
    Unresponsive,
    /// The boot id differs from the record: the engine was restarted.
    Restarted,
    /// It holds another group, generation, rank or version.
    Misassigned,
    /// It has not loaded everything yet.
    NotReady,
    /// It is leaving, according to its engine, an operator or the VM list.
    Leaving,
}

impl UnhealthyReason {
    /// Returns the reason's name in events.
    pub fn name(self) -> &'static str {
        match self {
            UnhealthyReason::Unresponsive => "silent",
            UnhealthyReason::Restarted => "restarted",
            UnhealthyReason::Misassigned => "misassigned",
            UnhealthyReason::NotReady => "not_ready",
            UnhealthyReason::Leaving => "leaving",
        }
    }
}

impl ProbeAnswer {
    /// Returns whether the engine holds the assignment of `member` in `group`.
    pub fn holds(&self, group: &GroupRecord, member: &Member) -> bool {
        self.assignment.as_ref().is_some_and(|held| {
            held.group == group.id
                && held.generation == group.generation
                && held.rank == member.rank
                && held.version.as_ref().is_none_or(|version| *version == group.version)
        })
    }

    /// Returns whether the engine has loaded all that `group` needs.
    pub fn has_loaded(&self, group: &GroupRecord) -> bool {
        let held = self.assignment.as_ref();
        let version = held.and_then(|held| held.version.as_ref());
        let has = |adapter| held.is_some_and(|held| held.adapters.contains(adapter));
        self.ready && version == Some(&group.version) && group.adapters.iter().all(has)
    }

    /// Returns why the answer shows `member` of `group` as unhealthy, if it does.
    pub fn unhealthy_reason(
        &self,
        group: &GroupRecord,
        member: &Member,
    ) -> Option<UnhealthyReason> {
        if self.boot != member.boot {
            Some(UnhealthyReason::Restarted)
        } else if !self.holds(group, member) {
            Some(UnhealthyReason::Misassigned)
        } else if self.leaving {
            Some(UnhealthyReason::Leaving)
        } else if !self.has_loaded(group) {
            Some(UnhealthyReason::NotReady)
        } else {
            None
        }
    }
}
