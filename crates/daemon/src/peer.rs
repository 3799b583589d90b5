//! Calls between the daemons, over gRPC.
//!
//! - [`server`]: answers pulls of the catalog, and hands forwarded calls to the services that
//!   registered for their topic.
//! - [`client`]: [`PeerClient`](client::PeerClient), which calls other processes by name.
//!
//! Both sides prove themselves by the shared secret from the settings. Without a secret there are
//! no peers: the server is not started, and every call ends as not sent.

pub mod client;
pub mod server;

use base::prelude::*;
use bytes::Bytes;
use displaydoc::Display;
use proto::peer::Topic;
use tokio::sync::oneshot;

/// Metadata key of the shared secret.
pub const SECRET_KEY: &str = "samphire-secret";
/// Metadata key of the caller's name.
pub const NODE_KEY: &str = "samphire-node";
/// Largest message in either direction: a whole catalog with room to spare.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why a call to a peer gave no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PeerError {
    /// peer `{0}` is not known; the call was not sent
    Unknown(NodeId),
    /// peer `{peer}` could not be reached; the call was not sent: {problem}
    NotSent {
        /// The peer.
        peer: NodeId,
        /// Why.
        problem: Box<str>,
    },
    /// peer `{peer}` refused the call: {problem}
    Refused {
        /// The peer.
        peer: NodeId,
        /// Why.
        problem: Box<str>,
    },
    /// no clear answer from peer `{peer}`; the call may have run: {problem}
    Unclear {
        /// The peer.
        peer: NodeId,
        /// Why.
        problem: Box<str>,
    },
}

impl std::error::Error for PeerError {}

/// A call that another process forwarded, for the service that registered for its topic.
///
/// The service opens a mailbox for this type under its own name and passes the name to
/// [`server::Topics`]. Dropping `reply` tells the caller that there is no clear answer.
#[derive(Debug)]
pub struct PeerCall {
    /// The process that forwarded it.
    pub from: NodeId,
    /// The call, in the form of its topic.
    pub body: Bytes,
    /// Gets the answer.
    pub reply: oneshot::Sender<Bytes>,
}

/// Returns the topic as it stands in logs.
pub fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Unspecified => "unspecified",
        Topic::Claims => "claims",
        Topic::Vouchers => "vouchers",
        Topic::Trials => "trials",
    }
}
