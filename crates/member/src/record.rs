//! Membership records, and the order that decides between two records of the same process.
//!
//! The records of a process are totally ordered: by incarnation, then by boot id, then by status.
//! Merging keeps the greater record, so members that have received the same records agree,
//! regardless of the order and number of deliveries.
//!
//! Only the process itself raises its incarnation. The first incarnation of an instance is the wall
//! clock in milliseconds, so a new instance nearly always starts above the earlier one. If the
//! clock went back, the new instance receives a record of the earlier one and raises its own
//! incarnation above it.

use std::net::SocketAddr;

use base::prelude::*;

/// Maximum length of the name of a process, region or failure domain, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Exclusive upper bound of the incarnations that are accepted from other processes.
pub const MAX_INCARNATION: u64 = 1 << 56;

/// Status of a process in the membership. Of two records that are otherwise equal, the one with the
/// later variant wins.
#[key]
pub enum Status {
    /// It answers probes, or has refuted a suspicion.
    Alive,
    /// It did not answer a probe, and can still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl Status {
    /// Returns whether the process counts as a member: alive, or suspected but not yet dead.
    pub fn is_live(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }

    /// Returns the name of the status in the event time line.
    pub fn name(self) -> &'static str {
        match self {
            Status::Alive => "alive",
            Status::Suspect => "suspect",
            Status::Dead => "dead",
            Status::Left => "left",
        }
    }
}

/// One run of a process between two starts, at one of its incarnations. The later one is greater.
#[key]
pub struct Instance {
    /// Raised by the process itself to refute a record.
    pub incarnation: u64,
    /// Drawn at random when the process starts.
    pub boot: BootId,
}

/// Location and addresses of a process. They are fixed for an instance.
#[data]
pub struct Location {
    /// The region.
    pub region: Box<str>,
    /// The failure domain.
    pub failure_domain: FailureDomainId,
    /// Address at which it receives gossip over UDP.
    pub gossip: SocketAddr,
    /// Address at which it serves its peers over gRPC.
    pub peer: SocketAddr,
}

/// What one member states about a process.
#[data]
pub struct MemberRecord {
    /// The process.
    pub name: NodeId,
    /// The instance and incarnation that the record is about.
    pub instance: Instance,
    /// The status.
    pub status: Status,
    /// The location; absent if the receiver is expected to know it.
    pub location: Option<Location>,
}

impl MemberRecord {
    /// Returns the record's rank among all records of the same process; the greatest one wins.
    pub fn rank(&self) -> (Instance, Status) {
        (self.instance, self.status)
    }
}

/// Identity of this process.
#[data]
pub struct Identity {
    /// Its name, unique in the deployment.
    pub name: NodeId,
    /// Boot id of this instance.
    pub boot: BootId,
    /// The current incarnation. It starts at the wall clock in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Its location and addresses.
    pub location: Location,
}
