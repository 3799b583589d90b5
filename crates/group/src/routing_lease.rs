//! Vouchers: how a keeper's process tells all daemons which groups are whole.
//!
//! One heartbeat of a process covers all groups that it vouches for: it names the number of the
//! last change of its list and how long the oldest probe behind the list still holds. Changes
//! (up, down, released) are numbered and sent one by one, downs at once. So the ordinary cost
//! follows processes and changes, never groups.
//!
//! A daemon polls each process, with a stamp of its own clock, and every message to it echoes
//! the last stamp. A message that echoes stamp `s` was sent after `s`, so what holds for `d`
//! from its sending certainly holds until `s + d` on the daemon's clock, however long the
//! message was under way. No clock is compared with another; an echo also names the daemon's
//! life, since the stamps of an earlier one say nothing to it.
//!
//! - [`LeaseIssuer`](issuer::LeaseIssuer): the sending side, one for each process.
//! - [`RoutingLeaseTable`](table::RoutingLeaseTable): the receiving side, one for each daemon.

use std::net::SocketAddr;

use base::prelude::*;

use crate::probe::Load;

pub mod issuer;
pub mod table;

/// What routing must know of a group to send it work.
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
    /// The fencing number.
    pub generation: Generation,
    /// Where rank 0 listens.
    pub leader: SocketAddr,
}

/// What changed about a group.
#[wire]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LeaseChangeKind {
    /// The group is whole.
    #[serde(rename = "up")]
    Granted {
        /// What routing must know.
        #[serde(rename = "facts")]
        endpoint: GroupEndpoint,
        /// How long the probes behind it hold, from the sending of the message.
        valid_for: Duration,
    },
    /// The group gets no new work from now on.
    #[serde(rename = "down")]
    Revoked,
    /// Another process keeps the group; the voucher runs out by itself.
    #[serde(rename = "released")]
    Expiring,
}

/// One numbered change of a process's list.
#[wire]
pub struct LeaseChange {
    /// Its number; the first is 1.
    pub number: u64,
    /// The group.
    pub group: GroupId,
    /// The generation that it is about.
    pub generation: Generation,
    /// What changed.
    pub change: LeaseChangeKind,
}

/// A group's load, passed on to routing.
#[wire]
pub struct LoadReport {
    /// The group.
    pub group: GroupId,
    /// Its load.
    pub load: Load,
}

/// The last poll of a daemon, as it is echoed to it.
#[wire]
#[derive(Copy)]
pub struct Echo {
    /// The daemon's life that polled.
    pub boot: BootId,
    /// The stamp that it polled with.
    pub stamp: Mono,
}

/// What a keeper's process sends to one daemon.
#[wire]
pub struct LeaseMessage {
    /// The sending process.
    #[serde(rename = "keeper")]
    pub issuer: NodeId,
    /// Its life.
    pub boot: BootId,
    /// The daemon's last poll; nothing is granted without one.
    pub echo: Option<Echo>,
    /// The number of the list's last change.
    pub number: u64,
    /// How long the oldest probe behind the list holds, from the sending of the message.
    pub valid_for: Duration,
    /// The changes after this number are in the message; 0 with `full`.
    pub after: u64,
    /// Whether `changes` is the whole list, in place of the changes that led to it.
    pub full: bool,
    /// Changes, in the order of their numbers.
    pub changes: Vec<LeaseChange>,
    /// Loads that changed, a bounded number of them.
    pub loads: Vec<LoadReport>,
}

/// What a daemon sends to a keeper's process, to be granted vouchers.
#[wire]
pub struct LeasePoll {
    /// The daemon.
    pub daemon: NodeId,
    /// The daemon's life.
    pub daemon_boot: BootId,
    /// The daemon's monotonic clock.
    pub stamp: Mono,
    /// The life of the keeper's process that the daemon knows; 0 for none.
    pub boot: BootId,
    /// The number up to which the daemon has all changes of that life.
    pub applied: u64,
}
