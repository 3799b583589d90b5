//! The messages between processes, checked.
//!
//! Every packet carries its sender's own claim, so a receiver learns of a new life, a refutation
//! or an unknown sender from any packet at once.

use std::net::SocketAddr;

use base::prelude::*;

use crate::digest::Buckets;
use crate::digest::Digest;
use crate::fact::Fact;
use crate::record::MemberRecord;

/// Number that ties an answer to its probe.
pub type Seq = u32;

/// What a packet asks or answers.
#[data]
pub enum Message {
    /// Asks `target` to answer.
    Ping {
        /// Returned by the answer.
        seq: Seq,
        /// The process that is meant; another one at this address does not answer.
        target: NodeId,
    },
    /// Answers a ping, from the target itself or from the member that probed in our place.
    Ack {
        /// The number of the ping or request.
        seq: Seq,
        /// The process that answered.
        target: NodeId,
    },
    /// Asks the receiver to probe `target`.
    PingRequest {
        /// Returned by the answer.
        seq: Seq,
        /// The process to probe.
        target: NodeId,
        /// Where it receives gossip.
        address: SocketAddr,
    },
    /// Asks for what differs from the sender's digest.
    Compare {
        /// The sender's digest.
        digest: Digest,
    },
    /// Answers with all that the sender holds in some buckets that differ.
    Entries {
        /// The salt of the digest that was compared.
        salt: u32,
        /// Buckets of which the updates hold everything.
        whole: Buckets,
        /// Whether the receiver shall send what it has newer in those buckets.
        reply: bool,
    },
    /// Only carries updates.
    Gossip,
}

/// A claim or fact that is passed on.
#[data]
pub enum Update {
    /// What is said of a process.
    Member(MemberRecord),
    /// A fact.
    Fact(Fact),
}

/// One datagram.
#[data]
pub struct Packet {
    /// The sender's claim about itself, with its place.
    pub sender: MemberRecord,
    /// The revision in force at the sender.
    pub revision: Revision,
    /// What it asks or answers.
    pub message: Message,
    /// What it passes on.
    pub updates: Vec<Update>,
}
