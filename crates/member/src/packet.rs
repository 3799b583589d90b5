//! Packets and messages between processes, after validation.
//!
//! Every packet carries its sender's own membership record, so a receiver learns of a new instance,
//! a refutation or an unknown sender from any packet.

use std::net::SocketAddr;

use base::prelude::*;

use crate::digest::Buckets;
use crate::digest::Digest;
use crate::fact::Fact;
use crate::record::MemberRecord;

/// Sequence number that matches an answer to its probe.
pub type Seq = u32;

/// The message of a packet.
#[data]
pub enum Message {
    /// Asks `target` for an [`Message::Ack`].
    Ping {
        /// Returned in the answer.
        seq: Seq,
        /// The process that must answer. Another process at the same address ignores the ping.
        target: NodeId,
    },
    /// Answers a ping; sent by the target, or forwarded by the member that was asked to probe it.
    Ack {
        /// Sequence number of the ping or ping request.
        seq: Seq,
        /// The process that answered.
        target: NodeId,
    },
    /// Asks the receiver to probe `target` and to forward the answer.
    PingRequest {
        /// Returned in the answer.
        seq: Seq,
        /// The process to probe.
        target: NodeId,
        /// Where it receives gossip.
        address: SocketAddr,
    },
    /// Asks for the entries that differ from the sender's digest.
    Compare {
        /// The sender's digest.
        digest: Digest,
    },
    /// Carries the sender's entries of some buckets that differ, as the packet's updates.
    Entries {
        /// Salt of the digest that was compared.
        salt: u32,
        /// Buckets of which the updates contain every entry.
        complete: Buckets,
        /// Whether the receiver must send back its newer entries of those buckets.
        reply: bool,
    },
    /// Carries only updates.
    Gossip,
}

/// A piece of state that is disseminated.
#[data]
pub enum Update {
    /// A membership record.
    Member(MemberRecord),
    /// A fact.
    Fact(Fact),
}

/// Content of one datagram.
#[data]
pub struct Packet {
    /// The sender's record of itself, with its location.
    pub sender: MemberRecord,
    /// The configuration revision in force at the sender.
    pub revision: Revision,
    /// The message.
    pub message: Message,
    /// Piggybacked updates, or the entries of [`Message::Entries`].
    pub updates: Vec<Update>,
}
