//! Claims that are written by the owner of their shard.
//!
//! A claim goes to the owner so that one write serves many processes. An owner that gives no
//! answer may have written the claim: the sender then writes it itself, under the same id, which
//! costs a write and never a second grant. A resend's answer is fetched from the process that holds
//! it, if that still lives.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use kernel::prelude::*;
use once::claimant::CommitResult;
use once::key::answer_digest;
use once::prelude::*;
use proto::peer::Topic;

use crate::member::MembershipView;
use crate::names;
use crate::peer::PeerCall;
use crate::peer::client::PeerClient;

/// Longest wait for the owner's answer, before the process writes the claim itself.
const OWNER_TIMEOUT: Duration = Duration::from_millis(800);

/// What a process asks another one.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// Decide on a claim or report, as the owner of its shard; the answer is an [`CommitResult`].
    Commit(ForwardedEntry),
    /// Give the recorded answer; the reply is its bytes, or nothing if it is not held.
    #[serde(rename = "held")]
    FetchAnswer {
        /// The key's hash.
        key: KeyHash,
        /// The answer's digest.
        digest: u64,
    },
}

impl PeerRequest {
    /// Reads a call of a peer.
    ///
    /// # Errors
    ///
    /// Says what is no question.
    pub fn read(call: &PeerCall) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(&call.body)
    }

    fn bytes(&self) -> Bytes {
        serde_json::to_vec(self).expect("the question has a JSON form").into()
    }
}

/// A forwarded claim or report.
#[wire]
pub struct ForwardedEntry {
    /// Issue time of the key, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
    /// The sender's layout; an owner with another one does not answer.
    pub layout: Layout,
    /// The claim or report.
    pub entry: Entry,
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
    pub fn new(cx: &Context) -> Result<Self, NotRegistered> {
        Ok(Peers { client: cx.registry().lookup(names::PEER)?, cx: cx.clone() })
    }

    /// Returns the peer that owns a shard; `None` if this process does.
    pub fn owner(&self, shard: u32) -> Option<NodeId> {
        let view = self.cx.subscribe::<MembershipView>(names::MEMBER).ok()?;
        let view = view.borrow();
        let me = self.cx.node();
        let names = view.live().map(|member| &*member.name);
        let owner = once::owner::owner(shard, me, names);
        (owner != &**me).then(|| owner.into())
    }

    /// Asks the owner for the outcome of an entry.
    pub async fn request_commit(&self, owner: &NodeId, message: ForwardedEntry) -> CommitResult {
        let body = PeerRequest::Commit(message).bytes();
        let call = self.client.forward(owner, Topic::Claims, body);
        match tokio::time::timeout(OWNER_TIMEOUT, call).await {
            Ok(Ok(answer)) => serde_json::from_slice(&answer).unwrap_or(CommitResult::PeerLost),
            Ok(Err(error)) => {
                log::debug!("a claim was not written by its owner: {error}");
                CommitResult::PeerLost
            }
            Err(_) => CommitResult::PeerLost,
        }
    }
    /// Fetches the recorded answer of a key from the process whose life claimed it.
    pub async fn fetch(&self, boot: BootId, key: KeyHash, digest: u64) -> Option<Arc<[u8]>> {
        let holder = {
            let view = self.cx.subscribe::<MembershipView>(names::MEMBER).ok()?;
            let view = view.borrow();
            view.live().find(|member| member.boot == boot)?.name.clone()
        };
        let body = PeerRequest::FetchAnswer { key, digest }.bytes();
        let call = self.client.forward(&holder, Topic::Claims, body);
        let answer = tokio::time::timeout(OWNER_TIMEOUT, call).await.ok()?.ok()?;
        (answer_digest(&answer) == digest).then(|| Arc::from(&answer[..]))
    }
}
