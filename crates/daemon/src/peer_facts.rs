//! What routing tells the other processes and hears from them.
//!
//! Takes [`ToPeers`] under [`names::PEERS`]. Poison and usage travel as facts of the membership;
//! asks for trials go to the process that softly owns the trials of the model version.
//!
//! A fact of the membership is one latest word, but what is known of a poisoned request is a join
//! of what several processes saw. So whoever hears a word that lacks something it knows tells the
//! join, as a later version. In the end all hear the join of everything.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use kernel::prelude::*;
use member::fact::MAX_BODY_BYTES;
use member::prelude::Fact;
use member::prelude::FactKey;
use prost::Message;
use proto::peer;
use proto::peer::Topic;
use route::poison::Crash;
use route::poison::QUARANTINE_LIFETIME;
use route::prelude::*;
use route::share::UsageRow;
use route::trial::TrialAsk;
use route::trial::coordinator_key;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::member::Facts;
use crate::member::MemberMessage;
use crate::member::View;
use crate::names;
use crate::peer::PeerCall;
use crate::peer::client::PeerClient;
use crate::peer::server::Topics;
use crate::route::RouteMessage;
use crate::route::peers::FromPeer;
use crate::route::peers::ToPeers;

/// Messages that may wait for the service.
const MAILBOX_DEPTH: usize = 1024;
/// Lifetime of a word on usage; the next one replaces it much sooner.
const USAGE_LIFETIME: Duration = Duration::from_secs(10);

/// A call about trials, in JSON.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum TrialCall {
    Ask(TrialAsk),
    Release(PoisonFact),
}

/// Describes the service.
pub fn service() -> Service {
    let needs = &[names::MEMBER, names::PEER, names::ROUTE];
    Service::new(names::PEERS, needs, |cx| async move {
        let topics: Topics = cx.registry().find(names::PEER)?;
        topics.register(Topic::Trials, names::PEERS);
        let calls = cx.mailbox::<PeerCall>(names::PEERS, MAILBOX_DEPTH);
        let words = cx.mailbox::<ToPeers>(names::PEERS, MAILBOX_DEPTH);
        let bridge = Bridge {
            members: cx.view(names::MEMBER)?,
            facts: cx.view(names::MEMBER)?,
            member: cx.sender(names::MEMBER)?,
            route: cx.sender(names::ROUTE)?,
            client: cx.registry().find(names::PEER)?,
            poison: BTreeMap::new(),
            usage: BTreeMap::new(),
            cx: cx.clone(),
        };
        cx.ready();
        tokio::select! {
            () = bridge.run(words, calls) => {}
            () = cx.stopping() => {}
        }
        Ok(())
    })
}

/// What is known of one request, and the last word on it.
struct Known {
    fact: PoisonFact,
    version: u64,
    last_word: Box<[u8]>,
}

struct Bridge {
    cx: Context,
    members: watch::Receiver<Arc<View>>,
    facts: watch::Receiver<Arc<Facts>>,
    member: mpsc::Sender<MemberMessage>,
    route: mpsc::Sender<RouteMessage>,
    client: PeerClient,
    poison: BTreeMap<Fingerprint, Known>,
    /// The version of the last word on the usage of each process.
    usage: BTreeMap<NodeId, u64>,
}

impl Bridge {
    async fn run(
        mut self,
        mut words: mpsc::Receiver<ToPeers>,
        mut calls: mpsc::Receiver<PeerCall>,
    ) {
        loop {
            tokio::select! {
                Some(word) = words.recv() => self.tell(word),
                Some(call) = calls.recv() => self.answer(call),
                Ok(()) = self.members.changed() => self.note_members(),
                Ok(()) = self.facts.changed() => self.note_facts(),
            }
        }
    }

    fn tell(&mut self, word: ToPeers) {
        match word {
            ToPeers::Poison(fact) => self.join(&fact, 0),
            ToPeers::Usage(fact) => self.tell_usage(&fact),
            ToPeers::AskTrial { ask, reply } => match self.coordinator(&ask.model, &ask.version) {
                Some(peer) => self.forward_ask(peer, ask, reply),
                None => self.hear(FromPeer::AskTrial { ask, reply }),
            },
            ToPeers::Release { model, version, fact } => match self.coordinator(&model, &version) {
                Some(peer) => self.forward_release(peer, fact),
                None => self.hear(FromPeer::Release(fact)),
            },
        }
    }

    /// Joins a word on a poisoned request with what is known, and tells the join unless the last
    /// word says the same. Version 0 stands for a word of this process.
    fn join(&mut self, fact: &PoisonFact, version: u64) {
        let fresh = || Known {
            fact: PoisonFact::new(fact.fingerprint),
            version: 0,
            last_word: Box::default(),
        };
        let known = self.poison.entry(fact.fingerprint).or_insert_with(fresh);
        known.fact.merge(fact);
        if version > 0 && version >= known.version {
            known.version = version;
            known.last_word = encode_poison(fact);
        }
        let body = encode_poison(&known.fact);
        if known.version > 0 && known.last_word == body {
            return;
        }
        known.version += 1;
        known.last_word = body.clone();
        let told = Fact {
            key: FactKey::Quarantine(fact.fingerprint),
            owner: self.cx.node().clone(),
            version: known.version,
            lifetime: QUARANTINE_LIFETIME,
            body,
        };
        self.send(told);
    }

    fn tell_usage(&self, usage: &UsageFact) {
        self.send(Fact {
            key: FactKey::Usage(self.cx.node().clone()),
            owner: self.cx.node().clone(),
            version: usage.number,
            lifetime: USAGE_LIFETIME,
            body: encode_usage(usage),
        });
    }

    fn send(&self, fact: Fact) {
        if self.member.try_send(MemberMessage::Tell(fact)).is_err() {
            log::warn!("the membership's mailbox is full; a fact was not told");
        }
    }

    fn note_members(&mut self) {
        let view = self.members.borrow_and_update().clone();
        let live = view.live().map(|member| member.name.clone());
        let live = live.chain([self.cx.node().clone()]).collect();
        self.hear(FromPeer::Live(live));
    }

    fn note_facts(&mut self) {
        let facts = self.facts.borrow_and_update().clone();
        for fact in &facts.facts {
            match &fact.key {
                FactKey::Quarantine(fingerprint) => self.note_poison(*fingerprint, fact),
                FactKey::Usage(owner) if *owner != *self.cx.node() => self.note_usage(owner, fact),
                _ => {}
            }
        }
        let stands = |fingerprint: &Fingerprint| {
            let key = FactKey::Quarantine(*fingerprint);
            facts.facts.binary_search_by(|fact| fact.key.cmp(&key)).is_ok()
        };
        self.poison.retain(|fingerprint, known| known.version == 0 || stands(fingerprint));
    }

    fn note_poison(&mut self, fingerprint: Fingerprint, fact: &Fact) {
        let is_known = |known: &Known| {
            known.version > fact.version
                || known.version == fact.version && known.last_word == fact.body
        };
        if self.poison.get(&fingerprint).is_some_and(is_known) {
            return;
        }
        match decode_poison(fingerprint, &fact.body) {
            Some(heard) => {
                self.join(&heard, fact.version);
                self.hear(FromPeer::Poison(heard));
            }
            None => log::warn!("`{}` told a malformed quarantine", fact.owner),
        }
    }

    fn note_usage(&mut self, owner: &NodeId, fact: &Fact) {
        let last = self.usage.entry(owner.clone()).or_default();
        if *last == fact.version {
            return;
        }
        *last = fact.version;
        match decode_usage(owner, &fact.body) {
            Some(usage) => self.hear(FromPeer::Usage(usage)),
            None => log::warn!("`{owner}` told a malformed usage"),
        }
    }

    fn hear(&self, word: FromPeer) {
        if self.route.try_send(RouteMessage::Peer(word)).is_err() {
            log::warn!("routing's mailbox is full; a word of another process was dropped");
        }
    }

    /// Returns the other process that softly owns the trials; `None` if this one does.
    fn coordinator(&self, model: &str, version: &str) -> Option<NodeId> {
        let me = &**self.cx.node();
        let view = self.members.borrow();
        let owner = view.owner(&coordinator_key(model, version), me);
        (owner != me).then(|| owner.into())
    }

    fn forward_ask(&self, peer: NodeId, ask: TrialAsk, reply: oneshot::Sender<Grant>) {
        let client = self.client.clone();
        tokio::spawn(async move {
            let body = encode_call(&TrialCall::Ask(ask));
            let answer = client.forward(&peer, Topic::Trials, body).await;
            match answer.map(|body| serde_json::from_slice::<Grant>(&body)) {
                // The asker may have given up.
                Ok(Ok(grant)) => drop(reply.send(grant)),
                Ok(Err(error)) => log::warn!("peer `{peer}` answered an ask with: {error}"),
                Err(error) => log::info!("an ask for a trial got no answer: {error}"),
            }
        });
    }

    fn forward_release(&self, peer: NodeId, fact: PoisonFact) {
        let client = self.client.clone();
        tokio::spawn(async move {
            let body = encode_call(&TrialCall::Release(fact));
            if let Err(error) = client.forward(&peer, Topic::Trials, body).await {
                log::info!("the end of a trial was not told; it lasts to its deadline: {error}");
            }
        });
    }

    /// Answers a call that another process forwarded.
    fn answer(&self, call: PeerCall) {
        match serde_json::from_slice(&call.body) {
            Ok(TrialCall::Ask(ask)) => {
                let (reply, answer) = oneshot::channel();
                self.hear(FromPeer::AskTrial { ask, reply });
                tokio::spawn(async move {
                    if let Ok(grant) = answer.await {
                        let body = serde_json::to_vec(&grant).expect("a grant has a JSON form");
                        // The caller may have given up.
                        let _ = call.reply.send(body.into());
                    }
                });
            }
            Ok(TrialCall::Release(fact)) => {
                self.hear(FromPeer::Release(fact));
                let _ = call.reply.send(Bytes::new());
            }
            Err(error) => log::warn!("`{}` forwarded a malformed call: {error}", call.from),
        }
    }
}

fn encode_call(call: &TrialCall) -> Bytes {
    serde_json::to_vec(call).expect("a call has a JSON form").into()
}

/// Returns the fact's bytes; the oldest crashes give way if there are too many.
fn encode_poison(fact: &PoisonFact) -> Box<[u8]> {
    let stamp = |at: Hlc| Some(peer::Stamp { millis: at.millis, count: at.count });
    let crash = |crash: &Crash| peer::Crash {
        at: stamp(crash.at),
        group: crash.group.to_string(),
        generation: crash.generation,
    };
    let mut raw = peer::Poison {
        cleared: stamp(fact.cleared),
        crashes: fact.crashes.iter().map(crash).collect(),
    };
    while raw.encoded_len() > MAX_BODY_BYTES && !raw.crashes.is_empty() {
        raw.crashes.remove(0);
    }
    raw.encode_to_vec().into()
}

fn decode_poison(fingerprint: Fingerprint, body: &[u8]) -> Option<PoisonFact> {
    let raw = peer::Poison::decode(body).ok()?;
    let stamp = |at: Option<peer::Stamp>| {
        let at = at.unwrap_or_default();
        Hlc { millis: at.millis, count: at.count }
    };
    let crashes = raw.crashes.into_iter().map(|crash| Crash {
        at: stamp(crash.at),
        group: crash.group.into(),
        generation: crash.generation,
    });
    Some(PoisonFact { fingerprint, crashes: crashes.collect(), cleared: stamp(raw.cleared) })
}

/// Returns the usage's bytes; the workspaces with the least demand give way if there are too many.
fn encode_usage(usage: &UsageFact) -> Box<[u8]> {
    let row = |row: &UsageRow| peer::UsageRow {
        workspace: row.workspace.to_string(),
        demand: row.demand as f32,
    };
    let mut rows: Vec<peer::UsageRow> = usage.rows.iter().map(row).collect();
    rows.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    let mut raw = peer::Usage { boot: usage.boot, number: usage.number, rows };
    while raw.encoded_len() > MAX_BODY_BYTES && !raw.rows.is_empty() {
        raw.rows.pop();
    }
    raw.encode_to_vec().into()
}

fn decode_usage(node: &NodeId, body: &[u8]) -> Option<UsageFact> {
    let raw = peer::Usage::decode(body).ok()?;
    let rows = raw
        .rows
        .into_iter()
        .map(|row| UsageRow { workspace: row.workspace.into(), demand: row.demand.into() });
    Some(UsageFact { node: node.clone(), boot: raw.boot, number: raw.number, rows: rows.collect() })
}
