//! Facts: small versioned key-value entries that gossip replicates to every process.
//!
//! Each key has one fact at a time. Of two facts of a key, the one with the higher version wins,
//! and between equal versions the one with the lexicographically greater body. Merging is therefore
//! commutative, associative and idempotent, and gives the same result in every order of delivery. A
//! fact expires at the end of its lifetime. The remaining lifetime is sent with each copy, so that
//! all copies expire at about the same time, and no process reintroduces an expired fact.

use base::prelude::*;

/// Maximum length of a body, in bytes.
pub const MAX_BODY_BYTES: usize = 256;
/// Maximum length of each string in a key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Maximum lifetime.
pub const MAX_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// Key of a fact. Keys are ordered by priority: smaller keys are sent first.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FactKey {
    /// A replica group must not receive requests. The version follows the group's generation.
    GroupDown(GroupId),
    /// A request fingerprint is quarantined, or its quarantine was lifted.
    Quarantine(u64),
    /// A VM is being removed, or its removal was cancelled.
    Leaving(VmId),
    /// The highest known revision of the configuration, which is the version of this fact.
    Revision,
    /// How much of a workspace's limits one process has used.
    Usage {
        /// The process that reports its usage.
        owner: NodeId,
        /// The workspace.
        workspace: WorkspaceId,
    },
}

/// Order in which updates are sent. Smaller values go first.
#[key]
pub enum Priority {
    /// Replica groups that are down, quarantines, and VMs that are being removed.
    Down,
    /// Revisions of the configuration.
    Revision,
    /// Membership records.
    Member,
    /// Usage of workspace limits.
    Usage,
}

impl FactKey {
    /// Returns the priority with which facts of this key are sent.
    pub fn priority(&self) -> Priority {
        match self {
            FactKey::GroupDown(_) | FactKey::Quarantine(_) | FactKey::Leaving(_) => Priority::Down,
            FactKey::Revision => Priority::Revision,
            FactKey::Usage { .. } => Priority::Usage,
        }
    }

    /// Returns whether a new fact is pushed eagerly instead of piggybacked on the next probes.
    pub fn is_urgent(&self) -> bool {
        self.priority() < Priority::Member
    }

    /// Returns whether anti-entropy digests cover the key. Usage is replaced too often to be worth
    /// reconciling.
    pub fn is_in_digest(&self) -> bool {
        self.priority() != Priority::Usage
    }

    /// Returns the only process that may write this key, or `None` if any process may.
    pub fn sole_owner(&self) -> Option<&NodeId> {
        match self {
            FactKey::Usage { owner, .. } => Some(owner),
            _ => None,
        }
    }

    /// Adds a finding at `path` for each string that is too long.
    pub fn check(&self, path: &str, findings: &mut Findings) {
        let mut text = |text: &str| {
            findings.check(text.len() <= MAX_KEY_BYTES, path, || {
                format!("string of {} bytes exceeds the limit of {MAX_KEY_BYTES}", text.len())
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

/// One version of the value of a key.
#[data]
pub struct Fact {
    /// The key.
    pub key: FactKey,
    /// The process that published it.
    pub owner: NodeId,
    /// The higher version wins. It must not decrease when a writer restarts, so writers use a
    /// generation, a revision or the wall clock.
    pub version: u64,
    /// Remaining lifetime.
    pub lifetime: Duration,
    /// The value, in the encoding chosen by the writers of the key.
    pub body: Box<[u8]>,
}

impl Fact {
    /// Returns whether this fact replaces `other`, which must have the same key.
    pub fn supersedes(&self, other: &Fact) -> bool {
        debug_assert_eq!(self.key, other.key, "facts of different keys are not comparable");
        (self.version, &self.body) > (other.version, &other.body)
    }

    /// Returns a finding for each value that is out of bounds.
    pub fn check(&self) -> Findings {
        let mut findings = Findings::default();
        self.key.check("fact.key", &mut findings);
        findings.check(self.body.len() <= MAX_BODY_BYTES, "fact.body", || {
            format!("{} bytes exceed the limit of {MAX_BODY_BYTES}", self.body.len())
        });
        findings.check(self.lifetime <= MAX_LIFETIME, "fact.lifetime", || {
            format!("{:?} exceeds the limit of {MAX_LIFETIME:?}", self.lifetime)
        });
        findings.check(
            self.key.sole_owner().is_none_or(|owner| *owner == self.owner),
            "fact.owner",
            || format!("process `{}` may not write this key", self.owner),
        );
        findings
    }
}
