//! Claims that are written by the owner of their shard.
//!
//! A claim goes to the owner so that one write serves many processes. An owner that gives no
//! answer may have written the claim: the sender then writes it itself, under the same id, which
//! costs a write and never a second grant.

use base::prelude::*;
use kernel::prelude::*;
use once::claimant::Answer;
use once::prelude::*;
use proto::peer::Topic;

use crate::member::View;
use crate::names;
use crate::peer::PeerCall;
use crate::peer::client::PeerClient;

/// Longest wait for the owner's answer, before the process writes the claim itself.
const OWNER_TIMEOUT: Duration = Duration::from_millis(800);

/// A forwarded claim or report.
#[wire]
pub struct Forwarded {
    /// Issue time of the key, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
    /// The sender's layout; an owner with another one does not answer.
    pub layout: Layout,
    /// The claim or report.
    pub entry: Entry,
}

impl Forwarded {
    /// Reads a call of a peer.
    ///
    /// # Errors
    ///
    /// Says what is no forwarded claim or report.
    pub fn read(call: &PeerCall) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(&call.body)
    }
}

/// The live peers, and calls to them. Clones share the same.
#[derive(Clone)]
pub struct Peers {
    cx: Context,
    client: PeerClient,
}

impl Peers {
    /// Finds the peers of this process.
    ///
    /// # Errors
    ///
    /// The service of peer calls is not there.
    pub fn new(cx: &Context) -> Result<Self, Missing> {
        Ok(Peers { client: cx.registry().find(names::PEER)?, cx: cx.clone() })
    }

    /// Returns the peer that owns a shard; `None` if this process does.
    pub fn owner(&self, shard: u32) -> Option<NodeId> {
        let view = self.cx.view::<View>(names::MEMBER).ok()?;
        let view = view.borrow();
        let me = self.cx.node();
        let names = view.live().map(|member| &*member.name);
        let owner = once::owner::owner(shard, me, names);
        (owner != &**me).then(|| owner.into())
    }

    /// Asks the owner for the outcome of an entry.
    pub async fn ask(&self, owner: &NodeId, message: &Forwarded) -> Answer {
        let body = serde_json::to_vec(message).expect("the message has a JSON form");
        let call = self.client.forward(owner, Topic::Claims, body.into());
        match tokio::time::timeout(OWNER_TIMEOUT, call).await {
            Ok(Ok(answer)) => serde_json::from_slice(&answer).unwrap_or(Answer::PeerLost),
            Ok(Err(error)) => {
                log::debug!("a claim was not written by its owner: {error}");
                Answer::PeerLost
            }
            Err(_) => Answer::PeerLost,
        }
    }
}
