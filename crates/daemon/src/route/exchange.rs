//! Exchanges crash histories, usage reports and trial permits with the other processes.
//!
//! Crash histories and usage reports are facts that membership spreads by gossip. A trial request
//! goes to the coordinator of the model version's trials, which rendezvous hashing selects among
//! the live members. The coordinator holds no lease: two processes with different membership views
//! may both grant a trial of the same version, which risks one more group.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use base::hash;
use base::prelude::*;
use kernel::prelude::*;
use member::prelude::FactKey;
use member::prelude::Status;
use proto::peer::Topic;
use route::prelude::*;
use route::share::WorkspaceDemand;
use route::trial::TrialRequest;
use route::trial::coordinator_key;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::member::Facts;
use crate::member::MemberMessage;
use crate::member::MembershipView;
use crate::names;
use crate::peer::PeerCall;
use crate::peer::client::PeerClient;
use crate::peer::server::Topics;
use crate::route::RouteMessage;
use crate::route::fact;
use crate::route::peers::FromPeer;
use crate::route::peers::ToPeers;

/// Capacity of each mailbox, in messages.
const MAILBOX_DEPTH: usize = 1024;
/// Maximum number of times that the end of a trial is sent to its coordinator. If all are lost, the
/// coordinator ends the trial by itself, at the latest at the deadline of the request.
const RELEASE_ATTEMPTS: u32 = 3;

/// A call to the coordinator of trials, in JSON.
#[derive(Debug, Serialize, Deserialize)]
enum TrialCall {
    /// Requests a trial permit; the answer is a [`TrialDecision`].
    #[serde(rename = "Ask")]
    Request(TrialRequest),
    /// Reports that a trial has ended; the answer is empty.
    Release(CrashHistory),
}

struct Exchange {
    cx: Context,
    members: watch::Receiver<Arc<MembershipView>>,
    facts: watch::Receiver<Arc<Facts>>,
    member: mpsc::Sender<MemberMessage>,
    route: mpsc::Sender<RouteMessage>,
    client: PeerClient,
    /// Bodies of the crash histories last forwarded to routing, so that an unchanged one is not
    /// forwarded again.
    forwarded: HashMap<FactKey, Box<[u8]>>,
    /// Sequence number of the usage reports forwarded to routing.
    usage_version: u64,
}

/// Returns the exchange service.
pub fn service() -> Service {
    let needs = &[names::ROUTE, names::MEMBER, names::PEER];
    Service::new(names::ROUTE_EXCHANGE, needs, |cx| async move {
        let updates = cx.mailbox::<ToPeers>(names::ROUTE_EXCHANGE, MAILBOX_DEPTH);
        let calls = cx.mailbox::<PeerCall>(names::ROUTE_EXCHANGE, MAILBOX_DEPTH);
        let topics: Topics = cx.registry().lookup(names::PEER)?;
        topics.register(Topic::Trials, names::ROUTE_EXCHANGE);
        let exchange = Exchange {
            members: cx.subscribe(names::MEMBER)?,
            facts: cx.subscribe(names::MEMBER)?,
            member: cx.sender(names::MEMBER)?,
            route: cx.sender(names::ROUTE)?,
            client: cx.registry().lookup(names::PEER)?,
            forwarded: HashMap::new(),
            usage_version: 0,
            cx: cx.clone(),
        };
        cx.ready();
        exchange.run(updates, calls).await;
        Ok(())
    })
}

impl Exchange {
    async fn run(
        mut self,
        mut updates: mpsc::Receiver<ToPeers>,
        mut calls: mpsc::Receiver<PeerCall>,
    ) {
        let stop = self.cx.stop_token();
        self.members.mark_changed();
        self.facts.mark_changed();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Ok(()) = self.members.changed() => self.members_changed().await,
                Ok(()) = self.facts.changed() => self.facts_changed().await,
                Some(update) = updates.recv() => self.send(update).await,
                Some(call) = calls.recv() => self.answer(call).await,
            }
        }
    }

    async fn members_changed(&mut self) {
        let view = self.members.borrow_and_update().clone();
        let live = view.live().map(|member| member.name.clone()).collect();
        let known = view.members.iter().filter(|member| member.status != Status::Left).count();
        self.forward_to_routing(FromPeer::Peers { live, known }).await;
    }

    async fn facts_changed(&mut self) {
        let facts = self.facts.borrow_and_update().clone();
        let mut usage: BTreeMap<NodeId, Vec<WorkspaceDemand>> = BTreeMap::new();
        for fact in &facts.facts {
            if let Some((owner, row)) = fact::to_usage(fact) {
                usage.entry(owner).or_default().push(row);
                continue;
            }
            let Some(history) = fact::to_crash_history(fact) else { continue };
            if self.forwarded.get(&fact.key) != Some(&fact.body) {
                self.forwarded.insert(fact.key.clone(), fact.body.clone());
                self.forward_to_routing(FromPeer::CrashHistory(history)).await;
            }
        }
        self.forwarded.retain(|key, _| facts.facts.iter().any(|fact| fact.key == *key));
        self.usage_version += 1;
        let number = self.usage_version;
        let view = self.members.borrow().clone();
        for member in view.live() {
            let rows = usage.remove(&member.name).unwrap_or_default();
            let report = UsageReport { node: member.name.clone(), boot: member.boot, number, rows };
            self.forward_to_routing(FromPeer::Usage(report)).await;
        }
    }

    async fn send(&mut self, update: ToPeers) {
        match update {
            ToPeers::CrashHistory(history) => {
                self.publish(fact::from_crash_history(self.cx.node(), &history)).await;
            }
            ToPeers::Usage(usage) => {
                let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                for fact in fact::from_usage(&usage, wall.as_millis() as u64) {
                    self.publish(fact).await;
                }
            }
            ToPeers::RequestTrial { trial_request, reply } => match self
                .coordinator(&trial_request.model, &trial_request.version)
            {
                None => {
                    self.forward_to_routing(FromPeer::TrialRequested { trial_request, reply }).await
                }
                Some(peer) => {
                    let client = self.client.clone();
                    tokio::spawn(async move {
                        let body = encode(&TrialCall::Request(trial_request));
                        match client.forward(&peer, Topic::Trials, body).await {
                            Ok(answer) => {
                                if let Ok(decision) = serde_json::from_slice(&answer) {
                                    // The request may have been abandoned meanwhile.
                                    let _ = reply.send(decision);
                                }
                            }
                            Err(error) => {
                                log::warn!("the coordinator did not decide on a trial: {error}")
                            }
                        }
                    });
                }
            },
            ToPeers::ReleaseTrial { model, version, history } => {
                match self.coordinator(&model, &version) {
                    None => self.forward_to_routing(FromPeer::TrialReleased(history)).await,
                    Some(peer) => {
                        tokio::spawn(release(self.client.clone(), peer, history));
                    }
                }
            }
        }
    }

    async fn answer(&self, call: PeerCall) {
        match serde_json::from_slice::<TrialCall>(&call.body) {
            Ok(TrialCall::Request(trial_request)) => {
                let (tx, rx) = oneshot::channel::<TrialDecision>();
                self.forward_to_routing(FromPeer::TrialRequested { trial_request, reply: tx })
                    .await;
                tokio::spawn(async move {
                    if let Ok(decision) = rx.await {
                        // The requesting process may have stopped waiting.
                        let _ = call.reply.send(encode(&decision));
                    }
                });
            }
            Ok(TrialCall::Release(history)) => {
                self.forward_to_routing(FromPeer::TrialReleased(history)).await;
                let _ = call.reply.send(bytes::Bytes::new());
            }
            Err(error) => log::warn!("malformed trial call from peer `{}`: {error}", call.from),
        }
    }

    /// Returns the peer that coordinates the trials of a model version; `None` if this process
    /// does.
    fn coordinator(&self, model: &str, version: &str) -> Option<NodeId> {
        let view = self.members.borrow();
        let own: &str = self.cx.node();
        let names = view.live().map(|member| &*member.name).chain([own]);
        let owner = hash::owner(&coordinator_key(model, version), names)?;
        (owner != own).then(|| owner.into())
    }

    async fn publish(&self, fact: member::prelude::Fact) {
        if self.member.send(MemberMessage::Publish(fact)).await.is_err() {
            log::debug!("a fact was not published: membership has stopped");
        }
    }

    async fn forward_to_routing(&self, update: FromPeer) {
        if self.route.send(RouteMessage::Peer(update)).await.is_err() {
            log::debug!("a peer's update was dropped: routing has stopped");
        }
    }
}

/// Reports the end of a trial to its coordinator, again while no acknowledgement arrives.
async fn release(client: PeerClient, peer: NodeId, history: CrashHistory) {
    let body = encode(&TrialCall::Release(history));
    for _ in 0..RELEASE_ATTEMPTS {
        match client.forward(&peer, Topic::Trials, body.clone()).await {
            Ok(_) => return,
            Err(error) => log::warn!("the end of a trial was not reported: {error}"),
        }
    }
}

fn encode<T: Serialize>(message: &T) -> bytes::Bytes {
    serde_json::to_vec(message).expect("the message has a JSON form").into()
}
