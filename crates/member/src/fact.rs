//! Small facts that every process shall know, with a priority.
//!
//! A fact is the latest word on its key: the higher version wins, and of equal versions the greater
//! body, so merging gives the same result in every order. A fact is kept for its lifetime; what is
//! left of it travels along, so that all copies of a fact vanish at about the same time and none
//! comes back.

use base::prelude::*;

/// Longest body, in bytes.
pub const MAX_BODY_BYTES: usize = 256;
/// Longest text in a key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Longest lifetime.
pub const MAX_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// What a fact is about. The order is that of priority: lesser keys are passed on first.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FactKey {
    /// A replica group must not get work; versions follow its generation.
    GroupDown(GroupId),
    /// A request fingerprint is quarantined, or its quarantine was lifted.
    Quarantine(u64),
    /// A VM is leaving, or the mark was taken back.
    Leaving(VmId),
    /// The highest known revision of the configuration is the version of this fact.
    Revision,
    /// What one process has used of a workspace's limits.
    Usage {
        /// The process.
        owner: NodeId,
        /// The workspace.
        workspace: WorkspaceId,
    },
}

/// How soon an update is passed on. Lesser values go first.
#[key]
pub enum Priority {
    /// Downs of replica groups, quarantines and leaving marks.
    Down,
    /// Revisions of the configuration.
    Revision,
    /// Claims about members.
    Member,
    /// Usage.
    Usage,
}

impl FactKey {
    /// Returns how soon facts of this key are passed on.
    pub fn priority(&self) -> Priority {
        match self {
            FactKey::GroupDown(_) | FactKey::Quarantine(_) | FactKey::Leaving(_) => Priority::Down,
            FactKey::Revision => Priority::Revision,
            FactKey::Usage { .. } => Priority::Usage,
        }
    }

    /// Returns whether a new fact is passed on at once instead of with the next probes.
    pub fn is_urgent(&self) -> bool {
        self.priority() < Priority::Member
    }

    /// Returns whether exchanges of digests cover the key. Usage is soon replaced and is left out.
    pub fn is_in_digest(&self) -> bool {
        self.priority() != Priority::Usage
    }

    /// Returns the process that alone sets facts of this key, if there is one.
    pub fn sole_owner(&self) -> Option<&NodeId> {
        match self {
            FactKey::Usage { owner, .. } => Some(owner),
            _ => None,
        }
    }

    /// Adds a finding for each text that is too long.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        let mut text = |text: &str| {
            findings.check(text.len() <= MAX_KEY_BYTES, place, || {
                format!("text of {} bytes is above {MAX_KEY_BYTES}", text.len())
            });
        };
        match self {
            FactKey::GroupDown(name) | FactKey::Leaving(name) => text(name),
            FactKey::Usage { owner, workspace } => {
                text(owner);
                text(workspace);
            }
            FactKey::Quarantine(_) | FactKey::Revision => {}
        }
    }
}

/// The latest word on a key.
#[data]
pub struct Fact {
    /// What it is about.
    pub key: FactKey,
    /// The process that said so.
    pub owner: NodeId,
    /// The higher version wins. Versions of a key grow over the lives of its owners: a generation,
    /// a revision or the wall clock.
    pub version: u64,
    /// What is left of its lifetime.
    pub lifetime: Duration,
    /// What it says, in the form of its key's owner.
    pub body: Box<[u8]>,
}

impl Fact {
    /// Returns whether this fact replaces `other`, which has the same key.
    pub fn supersedes(&self, other: &Fact) -> bool {
        debug_assert_eq!(self.key, other.key, "facts of different keys do not compete");
        (self.version, &self.body) > (other.version, &other.body)
    }

    /// Collects what is out of bounds.
    pub fn check(&self) -> Findings {
        let mut findings = Findings::default();
        self.key.check("fact.key", &mut findings);
        findings.check(self.body.len() <= MAX_BODY_BYTES, "fact.body", || {
            format!("{} bytes are above {MAX_BODY_BYTES}", self.body.len())
        });
        findings.check(self.lifetime <= MAX_LIFETIME, "fact.lifetime", || {
            format!("{:?} is above {MAX_LIFETIME:?}", self.lifetime)
        });
        findings.check(
            self.key.sole_owner().is_none_or(|owner| *owner == self.owner),
            "fact.owner",
            || format!("`{}` does not own the key", self.owner),
        );
        findings
    }
}
