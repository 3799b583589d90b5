//! Calls between the daemons, over gRPC.
//!
//! - [`server`]: answers pulls of the catalog, and hands forwarded calls to the services that
//!   registered for their topic.
//! - [`client`]: [`PeerClient`](client::PeerClient), which calls other processes by name.
//!
//! Callers authenticate with the shared secret from the settings. Without a secret there are no
//! peers: the server is not started, and every call fails as not sent.

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
/// Maximum size of a message in either direction; more than the largest catalog.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why a call to a peer got no answer.
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
    Indeterminate {
        /// The peer.
        peer: NodeId,
        /// Why.
        problem: Box<str>,
    },
}

impl std::error::Error for PeerError {}

/// A call that another process forwarded, for the service that registered for its topic.
///
/// The service opens a mailbox for this type under its own name and registers the name with
/// [`server::Topics`]. If `reply` is dropped, the call fails at the caller as
/// [`PeerError::Indeterminate`].
#[derive(Debug)]
pub struct PeerCall {
    /// The process that forwarded it.
    pub from: NodeId,
    /// The body, in the encoding of the topic.
    pub body: Bytes,
    /// Receives the answer.
    pub reply: oneshot::Sender<Bytes>,
}

/// Returns the name of a topic in logs.
pub fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Unspecified => "unspecified",
        Topic::Claims => "claims",
        Topic::Vouchers => "vouchers",
        Topic::Trials => "trials",
    }
}
