//! Routing leases: how a controller's process lets the daemons route to healthy groups.
//!
//! A daemon routes to a group only while it holds an unexpired routing lease for it. One process
//! issues the leases of all groups that it controls, as a list whose changes (granted, revoked,
//! expiring) are numbered. A message carries only the changes that the daemon still lacks, and a
//! revocation is sent without waiting for the next heartbeat. One heartbeat of the process renews
//! all leases of the list: it carries the number of the last change and how long the oldest probe
//! that supports the list is still valid. So the steady cost depends on the number of processes
//! and of changes, not on the number of groups.
//!
//! A daemon polls each process with a timestamp (the stamp) of its own clock, and every message to
//! the daemon echoes the last stamp. A message that echoes stamp `s` was sent after `s`. So a
//! lease that is valid for `d` from the sending of the message is still valid at `s + d` on the
//! daemon's clock, however long the message was delayed. Clocks of different processes are never
//! compared. An echo also names the daemon's boot id, because the stamps of an earlier instance
//! were read from another clock.
//!
//! - [`LeaseIssuer`](issuer::LeaseIssuer): the sending side, one for each process.
//! - [`RoutingLeaseTable`](table::RoutingLeaseTable): the receiving side, one for each daemon.

use std::net::SocketAddr;

use base::prelude::*;

use crate::probe::Load;

pub mod issuer;
pub mod table;

/// What routing needs to know of a group to send it requests.
#[wire]
pub struct GroupEndpoint {
    /// The group.
    pub id: GroupId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapters that are loaded.
    pub adapters: Vec<AdapterId>,
    /// The fencing token.
    pub generation: Generation,
    /// The address at which rank 0 listens.
    pub leader: SocketAddr,
}

/// A change of a group's routing lease.
#[wire]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LeaseChangeKind {
    /// The group is healthy and holds a lease.
    #[serde(rename = "up")]
    Granted {
        /// What routing needs to know of the group.
        #[serde(rename = "facts")]
        endpoint: GroupEndpoint,
        /// Time from the sending of the message for which the supporting probes are valid.
        valid_for: Duration,
    },
    /// The lease is revoked: the group receives no new requests from now on.
    #[serde(rename = "down")]
    Revoked,
    /// Another process controls the group now; the lease is not renewed and expires.
    #[serde(rename = "released")]
    Expiring,
}

/// One numbered change of a process's list of leases.
#[wire]
pub struct LeaseChange {
    /// Its sequence number; the first is 1.
    pub number: u64,
    /// The group.
    pub group: GroupId,
    /// The generation of the group that it applies to.
    pub generation: Generation,
    /// What changed.
    pub change: LeaseChangeKind,
}

/// A group's load, reported to routing.
#[wire]
pub struct LoadReport {
    /// The group.
    pub group: GroupId,
    /// Its load.
    pub load: Load,
}

/// The identification of a daemon's last poll, echoed to the daemon.
#[wire]
#[derive(Copy)]
pub struct Echo {
    /// The boot id of the daemon instance that polled.
    pub boot: BootId,
    /// The stamp of the poll, on the daemon's clock.
    pub stamp: Mono,
}

/// A message from an issuing process to one daemon: a heartbeat, and changes of the list.
#[wire]
pub struct LeaseMessage {
    /// The issuing process.
    #[serde(rename = "keeper")]
    pub issuer: NodeId,
    /// Its boot id.
    pub boot: BootId,
    /// The daemon's last poll; no lease is granted or renewed without one.
    pub echo: Option<Echo>,
    /// The number of the list's last change.
    pub number: u64,
    /// Time from the sending of the message for which the oldest supporting probe is valid.
    pub valid_for: Duration,
    /// `changes` holds all changes after this number; 0 with `full`.
    pub after: u64,
    /// Whether `changes` is a snapshot of the list, in place of the changes that led to it.
    pub full: bool,
    /// The changes, ordered by number.
    pub changes: Vec<LeaseChange>,
    /// Loads of some groups, at most [`issuer::MAX_LOADS_PER_MESSAGE`].
    pub loads: Vec<LoadReport>,
}

/// A daemon's poll of an issuing process, which entitles it to leases.
#[wire]
pub struct LeasePoll {
    /// The daemon.
    pub daemon: NodeId,
    /// The daemon's boot id.
    pub daemon_boot: BootId,
    /// The time of the poll on the daemon's monotonic clock.
    pub stamp: Mono,
    /// The boot id of the issuing process that the daemon knows; 0 for none.
    pub boot: BootId,
    /// The number up to which the daemon has applied all changes of that instance.
    pub applied: u64,
}
