//! Claims the keys of non-idempotent requests.
//!
//! Takes [`OnceMessage`]s under [`names::ONCE`]. A request that is granted its key gets a
//! [`Permit`], through which its end is reported; a permit that is dropped without a word reports
//! the end as unknown. Claims are written by the owners of their shards; see [`peers`]. Until the layout of claims is known, which takes the key-value service,
//! claims are refused as not run.

pub mod peers;

use std::sync::Arc;

use base::prelude::*;
use config::prelude::*;
use kernel::prelude::*;
use kv::prelude::*;
use once::claimant::Action;
use once::claimant::Answer;
use once::claimant::Event as ClaimEvent;
use once::claimant::NotRunReason;
use once::claimant::Scope;
use once::committer::agree_layout;
use once::committer::wall_ms;
use once::key::answer_digest;
use once::prelude::*;
use prometheus::IntCounterVec;
use proto::peer::Topic;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::metrics::counters;
use crate::names;
use crate::once::peers::Forwarded;
use crate::once::peers::Peers;
use crate::peer::PeerCall;
use crate::peer::server::Topics;

/// Messages that may wait in the mailbox.
const MAILBOX_DEPTH: usize = 4_096;
/// Bytes of answers that are held for resends.
const HELD_BYTES: usize = 4 << 20;
/// Longest time for one try to learn the layout.
const LAYOUT_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after a failed try to learn the layout.
const LAYOUT_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for the last reports when the process stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// What the service is asked.
pub enum OnceMessage {
    /// Claim a key.
    Begin {
        /// The key.
        key: RequestKey,
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// Gets what came of it.
        reply: oneshot::Sender<Begun>,
    },
    /// A granted request has ended.
    Ended {
        /// The send.
        claimant: Box<Claimant>,
        /// How.
        event: ClaimEvent,
        /// The answer, to be held for resends.
        answer: Option<Arc<[u8]>>,
    },
}

/// What came of a claim.
pub enum Begun {
    /// The request may be dispatched once.
    Granted(Permit),
    /// It may not.
    Told {
        /// What the caller is told.
        reply: Reply,
        /// The recorded answer, if this process holds it.
        answer: Option<Arc<[u8]>>,
    },
}

/// The right to dispatch once.
pub struct Permit {
    claimant: Option<Box<Claimant>>,
    tx: mpsc::Sender<OnceMessage>,
}

impl Permit {
    /// Reports a whole answer and holds it for resends.
    pub fn done(self, answer: Arc<[u8]>) {
        let digest = answer_digest(&answer);
        self.finish(ClaimEvent::Ended(End::Done { digest }), Some(answer));
    }

    /// Reports another end.
    pub fn ended(self, end: End) {
        self.finish(ClaimEvent::Ended(end), None);
    }

    /// Reports that the request surely was not run, so that a resend may be.
    pub fn refused(self) {
        self.finish(ClaimEvent::Refused { retry_after: None }, None);
    }

    fn finish(mut self, event: ClaimEvent, answer: Option<Arc<[u8]>>) {
        self.send(event, answer);
    }

    fn send(&mut self, event: ClaimEvent, answer: Option<Arc<[u8]>>) {
        let Some(claimant) = self.claimant.take() else { return };
        if self.tx.try_send(OnceMessage::Ended { claimant, event, answer }).is_err() {
            log::warn!("the end of a claimed request was not recorded; resends are told unknown");
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.send(ClaimEvent::Ended(End::Unknown), None);
    }
}

/// Describes the service.
pub fn service() -> Service {
    Service::new(names::ONCE, &[names::STORE, names::MEMBER], |cx| async move {
        let settings: Arc<Settings> = cx.registry().find(names::PROCESS)?;
        let store: BudgetedStore = cx.registry().find(names::STORE)?;
        let inbox = cx.mailbox::<OnceMessage>(names::ONCE, MAILBOX_DEPTH);
        let calls = cx.mailbox::<PeerCall>(names::ONCE, MAILBOX_DEPTH);
        let topics: Topics = cx.registry().find(names::PEER)?;
        topics.register(Topic::Claims, names::ONCE);
        let tx = cx.sender::<OnceMessage>(names::ONCE)?;
        let metrics: Metrics = cx.registry().find(names::PROCESS)?;
        let help = "Asks for claims by who was to write them and by outcome.";
        let labels = &["writer", "outcome"];
        let asks = counters(metrics.registry(), "samphire_claims_total", help, labels);
        cx.ready();
        let state = State {
            asks,
            cfg: settings.claims,
            tx,
            peers: Peers::new(&cx)?,
            committer: None,
            held: HeldAnswers::new(HELD_BYTES),
            attempts: 0,
            cx,
        };
        state.run(store.with_priority(Priority::Claim), inbox, calls).await;
        Ok(())
    })
}

struct State {
    cx: Context,
    cfg: OnceSettings,
    tx: mpsc::Sender<OnceMessage>,
    peers: Peers,
    committer: Option<Committer>,
    held: HeldAnswers,
    attempts: u64,
    asks: IntCounterVec,
}

impl State {
    async fn run(
        mut self,
        store: BudgetedStore,
        mut inbox: mpsc::Receiver<OnceMessage>,
        mut calls: mpsc::Receiver<PeerCall>,
    ) {
        let stop = self.cx.stop_token();
        let layout = learn_layout(&store, self.cfg.layout);
        tokio::pin!(layout);
        loop {
            tokio::select! {
                layout = &mut layout, if self.committer.is_none() => {
                    self.cfg.layout = layout;
                    self.committer = Some(Committer::start(Arc::new(store.clone()), self.cfg));
                }
                Some(message) = inbox.recv() => self.take(message),
                Some(call) = calls.recv() => self.forwarded(call),
                () = stop.cancelled() => break,
            }
        }
        // All who hold permits have ended; what they reported is still in the mailbox.
        while let Ok(message) = inbox.try_recv() {
            self.take(message);
        }
        if let Some(committer) = &self.committer {
            committer.settle(STOP_TIMEOUT).await;
        }
    }

    fn take(&mut self, message: OnceMessage) {
        match message {
            OnceMessage::Begin { key, fingerprint, reply } => self.begin(key, fingerprint, reply),
            OnceMessage::Ended { claimant, event, answer } => {
                if let Some(answer) = answer {
                    self.held.hold(claimant.key.hash(), answer);
                }
                self.ended(*claimant, event);
            }
        }
    }

    fn begin(&mut self, key: RequestKey, body: Fingerprint, reply: oneshot::Sender<Begun>) {
        self.attempts += 1;
        let holder = ClaimId { boot: self.cx.boot(), attempt: self.attempts };
        let Some(committer) = self.committer.clone() else {
            let reason = NotRunReason::KvDown;
            let retry_after = Some(LAYOUT_TIMEOUT);
            let told = Reply::NotRun { reason, scope: Scope::Send, retry_after };
            let _ = reply.send(Begun::Told { reply: told, answer: None });
            return;
        };
        let claimant = Box::new(Claimant::new(holder, key, body));
        let recorded = claimant.key.hash();
        let held = |digest| self.held.get(recorded, digest);
        // What is held now is enough: a resend that overtakes the answer may ask again.
        let answer = self.held.digest(recorded).and_then(held);
        let (cx, tx, peers) = (self.cx.clone(), self.tx.clone(), self.peers.clone());
        let asks = self.asks.clone();
        let send = Send { cx, tx, peers, committer, answer, asks };
        tokio::spawn(send.run(claimant, reply));
    }

    /// Decides on a peer's entry as the owner of its shard.
    fn forwarded(&self, call: PeerCall) {
        let message = match Forwarded::read(&call) {
            Ok(message) => message,
            Err(error) => {
                log::warn!("peer `{}` sent what is no claim: {error}", call.from);
                return;
            }
        };
        let committer = self.committer.clone();
        // Without an answer, the peer writes the entry itself.
        let Some(committer) = committer.filter(|_| message.layout == self.cfg.layout) else {
            return;
        };
        tokio::spawn(async move {
            let answer = committer.ask(message.entry, message.issued_ms).await;
            let body = serde_json::to_vec(&answer).expect("an answer has a JSON form");
            let _ = call.reply.send(body.into());
        });
    }

    fn ended(&self, mut claimant: Claimant, event: ClaimEvent) {
        let Some(committer) = &self.committer else { return };
        for action in claimant.decide(event, wall_ms(), &self.cfg) {
            if let Action::Report(end) = action {
                let issued_ms = claimant.key.issued_ms;
                report(&self.peers, committer, claimant.report(end), issued_ms);
            }
        }
    }
}

/// Gives a report to the owner of its shard, or writes it here if the owner does not.
fn report(peers: &Peers, committer: &Committer, entry: Entry, issued_ms: u64) {
    let layout = committer.settings().layout;
    let Some(owner) = peers.owner(layout.place(entry.key(), issued_ms).shard) else {
        committer.report(entry, issued_ms);
        return;
    };
    let (peers, committer) = (peers.clone(), committer.clone());
    tokio::spawn(async move {
        let answer = peers.ask(&owner, &Forwarded { issued_ms, layout, entry }).await;
        if !matches!(answer, Answer::Decided(_)) {
            committer.report(entry, issued_ms);
        }
    });
}

async fn learn_layout(store: &BudgetedStore, proposed: Layout) -> Layout {
    loop {
        match agree_layout(store, proposed, LAYOUT_TIMEOUT).await {
            Ok(layout) => {
                if layout != proposed {
                    log::warn!("claims are laid out as {layout:?}; the settings are not used");
                }
                return layout;
            }
            Err(error) => log::warn!("key `{}`: {error}", once::settings::LAYOUT_KEY),
        }
        tokio::time::sleep(LAYOUT_PAUSE).await;
    }
}

/// One send while it claims its key.
struct Send {
    cx: Context,
    tx: mpsc::Sender<OnceMessage>,
    peers: Peers,
    committer: Committer,
    answer: Option<Arc<[u8]>>,
    asks: IntCounterVec,
}

impl Send {
    async fn run(self, mut claimant: Box<Claimant>, reply: oneshot::Sender<Begun>) {
        let cfg = *self.committer.settings();
        let limit = Duration::from_millis(cfg.claim_timeout_ms);
        let deadline = tokio::time::Instant::now() + limit;
        let issued_ms = claimant.key.issued_ms;
        let entry = claimant.claim();
        let owner = self.peers.owner(cfg.layout.place(entry.key(), issued_ms).shard);
        let begun = ClaimEvent::Begun { owner: owner.clone() };
        let mut actions = claimant.decide(begun, wall_ms(), &cfg);
        while let Some(Action::Ask { peer }) = actions.first() {
            let owner = owner.as_ref().filter(|_| peer.is_some());
            let ask = self.ask(owner, entry, issued_ms);
            let event = match tokio::time::timeout_at(deadline, ask).await {
                Ok(answer) => ClaimEvent::Answered(answer),
                Err(_) => ClaimEvent::Deadline,
            };
            let writer = if owner.is_some() { "owner" } else { "own" };
            self.record(&claimant, writer, &event);
            actions = claimant.decide(event, wall_ms(), &cfg);
        }
        let mut begun = None;
        for action in actions {
            match action {
                Action::Dispatch => {
                    let copy = Some(claimant.clone());
                    begun = Some(Begun::Granted(Permit { claimant: copy, tx: self.tx.clone() }));
                }
                Action::Reply(reply) => {
                    let answer = match reply {
                        Reply::Done { digest, .. } => {
                            self.answer.clone().filter(|answer| answer_digest(answer) == digest)
                        }
                        _ => None,
                    };
                    begun = Some(Begun::Told { reply, answer });
                }
                Action::Report(end) => {
                    report(&self.peers, &self.committer, claimant.report(end), issued_ms);
                }
                Action::Ask { .. } => {}
            }
        }
        if let Some(begun) = begun
            && let Err(Begun::Granted(permit)) = reply.send(begun)
        {
            // The caller went away before dispatch.
            permit.refused();
        }
    }

    async fn ask(&self, owner: Option<&NodeId>, entry: Entry, issued_ms: u64) -> Answer {
        match owner {
            Some(owner) => {
                let layout = self.committer.settings().layout;
                self.peers.ask(owner, &Forwarded { issued_ms, layout, entry }).await
            }
            None => self.committer.ask(entry, issued_ms).await,
        }
    }

    fn record(&self, claimant: &Claimant, writer: &str, event: &ClaimEvent) {
        let outcome = match event {
            ClaimEvent::Answered(Answer::Decided(Verdict::Granted)) => "claimed",
            ClaimEvent::Answered(Answer::Decided(Verdict::Taken { .. })) => "duplicate",
            ClaimEvent::Answered(Answer::InDoubt | Answer::PeerLost) | ClaimEvent::Deadline => {
                "unclear"
            }
            _ => "refused",
        };
        self.asks.with_label_values(&[writer, outcome]).inc();
        let key = claimant.key.key.clone();
        self.cx.record(Event::Claim { key, outcome: outcome.into() });
    }
}
