//! What is said of one process, and which of two claims wins.
//!
//! Claims about a process form a total order: first its incarnation, then its boot id, then the
//! status. Merging keeps the greater claim, so all members that have seen the same claims agree,
//! in whatever order and however often the claims came.
//!
//! Only a process raises its own incarnation. It begins at the wall clock in milliseconds, so a
//! new life nearly always begins above the earlier one; where the clock went back, the new life
//! hears of the earlier one and raises its incarnation above it.

use std::net::SocketAddr;

use base::prelude::*;

/// Longest name of a process, region or failure domain, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Highest incarnation that is taken from another process.
pub const MAX_INCARNATION: u64 = 1 << 56;

/// What a process is held to be.
#[key]
pub enum Status {
    /// It answers, or refuted a suspicion.
    Alive,
    /// It did not answer a probe, and may still refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
    Left,
}

impl Status {
    /// Returns whether the process counts as a member: alive, or suspected and not yet dead.
    pub fn is_live(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }

    /// Returns the status as it stands in the time line.
    pub fn name(self) -> &'static str {
        match self {
            Status::Alive => "alive",
            Status::Suspect => "suspect",
            Status::Dead => "dead",
            Status::Left => "left",
        }
    }
}

/// One life of a process, at one of its incarnations. The later one is greater.
#[key]
pub struct Instance {
    /// Raised by the process itself, to refute a claim.
    pub incarnation: u64,
    /// Drawn when the process started.
    pub boot: BootId,
}

/// Where a process stands. It is fixed for a life.
#[data]
pub struct Location {
    /// The region.
    pub region: Box<str>,
    /// The failure domain.
    pub failure_domain: FailureDomainId,
    /// Where it receives gossip, over UDP.
    pub gossip: SocketAddr,
    /// Where it serves its peers, over gRPC.
    pub peer: SocketAddr,
}

/// What is said of one process.
#[data]
pub struct MemberRecord {
    /// The process.
    pub name: NodeId,
    /// The life and incarnation that the claim is about.
    pub instance: Instance,
    /// What it is held to be.
    pub status: Status,
    /// Where it stands; absent if the receiver is taken to know.
    pub location: Option<Location>,
}

impl MemberRecord {
    /// Returns the claim's rank among all claims about the same process.
    pub fn rank(&self) -> (Instance, Status) {
        (self.instance, self.status)
    }
}

/// Who this process is.
#[data]
pub struct Identity {
    /// Its name, unique over the deployment.
    pub name: NodeId,
    /// This life.
    pub boot: BootId,
    /// The first incarnation: the wall clock in milliseconds.
    pub incarnation: u64,
    /// Where it stands.
    pub location: Location,
}
