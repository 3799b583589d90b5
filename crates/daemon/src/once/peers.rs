//! Claims that are written by the owner of their shard.
//!
//! A claim is sent to the owner of its shard so that one write serves the claims of many processes.
//! An owner that does not answer may have written the claim. The sender then writes the claim
//! itself under the same claim id; this costs an additional write, but never leads to a second
//! grant. The answer for a resubmission is fetched from the process that has it in its cache, if
//! that process is still live.

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

/// Maximum wait for the answer of an owner, before the process writes the claim itself.
const OWNER_TIMEOUT: Duration = Duration::from_millis(800);

/// A request of one process to another.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// Commit a claim or report as the owner of its shard; the answer is a [`CommitResult`].
    Commit(ForwardedEntry),
    /// Return the recorded answer; the reply is its bytes, or empty if it is not cached.
    #[serde(rename = "held")]
    FetchAnswer {
        /// The key's hash.
        key: KeyHash,
        /// The answer's digest.
        digest: u64,
    },
}

impl PeerRequest {
    /// Decodes a call of a peer.
    ///
    /// # Errors
    ///
    /// The body is not a valid request.
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
    /// The sender's layout; an owner with a different layout does not answer.
    pub layout: Layout,
    /// The claim or report.
    pub entry: Entry,
}

/// The owners of shards among the live peers, and calls to them. Clones share their state.
#[derive(Clone)]
pub struct Peers {
    cx: Context,
    client: PeerClient,
}

impl Peers {
    /// Returns the peers of this process.
    ///
    /// # Errors
    ///
    /// [`NotRegistered`] if the service for peer calls is not registered.
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

    /// Sends an entry to the owner of its shard and returns the result. Without a valid answer in
    /// time the result is [`CommitResult::PeerLost`].
    pub async fn request_commit(&self, owner: &NodeId, message: ForwardedEntry) -> CommitResult {
        let body = PeerRequest::Commit(message).bytes();
        let call = self.client.forward(owner, Topic::Claims, body);
        match tokio::time::timeout(OWNER_TIMEOUT, call).await {
            Ok(Ok(answer)) => serde_json::from_slice(&answer).unwrap_or(CommitResult::PeerLost),
            Ok(Err(error)) => {
                log::debug!("the owner of a shard did not answer a claim or report: {error}");
                CommitResult::PeerLost
            }
            Err(_) => CommitResult::PeerLost,
        }
    }

    /// Fetches the recorded answer of a key from the process instance that claimed it. Returns
    /// `None` if the instance is not live or no longer has an answer with this digest.
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
