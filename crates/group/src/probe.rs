//! What a backend server's engine answers to a probe.

use base::prelude::*;

use crate::record::GroupRecord;
use crate::record::Member;

/// What an engine believes to be assigned to.
#[wire]
pub struct Assignment {
    /// The group.
    pub group: GroupId,
    /// The generation of the last order that it took.
    pub generation: Generation,
    /// Its rank.
    pub rank: u32,
    /// The version that it holds; none while it loads one.
    pub version: Option<VersionId>,
    /// The adapters that it holds.
    pub adapters: Vec<AdapterId>,
}

/// Requests at an engine, as it last reported.
#[wire]
#[derive(Default)]
pub struct Load {
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
}

/// An engine's answer to a probe.
#[wire]
pub struct ProbeAnswer {
    /// The life of the engine.
    pub boot: BootId,
    /// Its assignment, if it took an order since it started.
    #[serde(default)]
    pub assignment: Option<Assignment>,
    /// Whether all that was ordered is loaded.
    pub ready: bool,
    /// Whether the engine asks to be left.
    #[serde(default)]
    pub leaving: bool,
    /// Its requests.
    #[serde(default)]
    pub load: Load,
}

/// Why a member does not count as there.
#[key]
pub enum UnhealthyReason {
    /// It did not answer the last probe, or its last answer is too old.
    #[serde(rename = "silent")]
    Unresponsive,
    /// Another life of its engine answered.
    Restarted,
    /// It holds another group, generation, rank or version.
    Misassigned,
    /// It has not loaded all yet.
    NotReady,
    /// It asks to be left, or an operator or the VM list says so.
    Leaving,
}

impl UnhealthyReason {
    /// Returns the doubt's name in events.
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

    /// Returns why the answer does not show `member` of `group` as there and ready.
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
