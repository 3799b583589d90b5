//! Claims the keys of non-idempotent requests.
//!
//! Takes [`OnceMessage`]s under [`names::ONCE`]. A request that is granted its key gets a
//! [`Permit`], through which its end is reported; a permit that is dropped without a word reports
//! the end as unknown. Claims are written by the owners of their shards; see [`peers`]. Until the layout of claims is known, which takes the key-value service,
//! claims are refused as not run.

pub mod peers;
mod submission;

use std::sync::Arc;

use base::prelude::*;
use config::prelude::*;
use kernel::prelude::*;
use kv::prelude::*;
use once::claimant::Action;
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
use tokio_util::task::TaskTracker;

use crate::metrics::Metrics;
use crate::metrics::counters;
use crate::names;
use crate::once::peers::ForwardedEntry;
use crate::once::peers::PeerRequest;
use crate::once::peers::Peers;
use crate::once::submission::Reporter;
use crate::once::submission::Submission;
use crate::peer::PeerCall;
use crate::peer::server::Topics;

/// Messages that may wait in the mailbox.
const MAILBOX_DEPTH: usize = 4_096;
/// Bytes of answers that are held for resends.
const ANSWER_CACHE_BYTES: usize = 4 << 20;
/// Longest time for one try to learn the layout.
const LAYOUT_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after a failed try to learn the layout.
const LAYOUT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest wait for the last reports when the process stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// What the service is asked.
pub enum OnceMessage {
    /// Claim a key.
    Claim {
        /// The key.
        key: RequestKey,
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// Gets what came of it.
        reply: oneshot::Sender<ClaimOutcome>,
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
pub enum ClaimOutcome {
    /// The request may be dispatched once.
    Granted(Permit),
    /// It may not.
    NotGranted {
        /// What the caller is told.
        reply: Reply,
        /// The recorded answer, if a live process holds it.
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
        self.finish(ClaimEvent::Ended(RequestOutcome::Done { digest }), Some(answer));
    }

    /// Reports another end.
    pub fn ended(self, end: RequestOutcome) {
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
        self.send(ClaimEvent::Ended(RequestOutcome::Unknown), None);
    }
}

/// Describes the service.
pub fn service() -> Service {
    Service::new(names::ONCE, &[names::STORE, names::MEMBER], |cx| async move {
        let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
        let store: BudgetedStore = cx.registry().lookup(names::STORE)?;
        let inbox = cx.mailbox::<OnceMessage>(names::ONCE, MAILBOX_DEPTH);
        let calls = cx.mailbox::<PeerCall>(names::ONCE, MAILBOX_DEPTH);
        let topics: Topics = cx.registry().lookup(names::PEER)?;
        topics.register(Topic::Claims, names::ONCE);
        let tx = cx.sender::<OnceMessage>(names::ONCE)?;
        let metrics: Metrics = cx.registry().lookup(names::PROCESS)?;
        let help = "Asks for claims by who was to write them and by outcome.";
        let labels = &["writer", "outcome"];
        let claims_total = counters(metrics.registry(), "samphire_claims_total", help, labels);
        cx.ready();
        let state = State {
            claims_total,
            cfg: settings.claims,
            tx,
            peers: Peers::new(&cx)?,
            committer: None,
            reports: TaskTracker::new(),
            answers: AnswerCache::new(ANSWER_CACHE_BYTES),
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
    reports: TaskTracker,
    answers: AnswerCache,
    attempts: u64,
    claims_total: IntCounterVec,
}

impl State {
    async fn run(
        mut self,
        store: BudgetedStore,
        mut inbox: mpsc::Receiver<OnceMessage>,
        mut calls: mpsc::Receiver<PeerCall>,
    ) {
        let stop = self.cx.stop_token();
        let layout = resolve_layout(&store, self.cfg.layout);
        tokio::pin!(layout);
        loop {
            tokio::select! {
                layout = &mut layout, if self.committer.is_none() => {
                    self.cfg.layout = layout;
                    self.committer = Some(Committer::start(Arc::new(store.clone()), self.cfg));
                }
                Some(message) = inbox.recv() => self.handle(message),
                Some(call) = calls.recv() => self.answer_peer(call),
                () = stop.cancelled() => break,
            }
        }
        // All who hold permits have ended; what they reported is still in the mailbox.
        while let Ok(message) = inbox.try_recv() {
            self.handle(message);
        }
        self.reports.close();
        if tokio::time::timeout(STOP_TIMEOUT, self.reports.wait()).await.is_err() {
            log::warn!("some claims' ends were not given to their owners");
        }
        if let Some(committer) = &self.committer {
            committer.drain(STOP_TIMEOUT).await;
        }
    }

    fn handle(&mut self, message: OnceMessage) {
        match message {
            OnceMessage::Claim { key, fingerprint, reply } => self.begin(key, fingerprint, reply),
            OnceMessage::Ended { claimant, event, answer } => {
                if let Some(answer) = answer {
                    let fingerprint = claimant.fingerprint;
                    self.answers.insert(claimant.key.hash(), CachedAnswer { fingerprint, answer });
                }
                self.request_ended(*claimant, event);
            }
        }
    }

    fn begin(&mut self, key: RequestKey, body: Fingerprint, reply: oneshot::Sender<ClaimOutcome>) {
        self.attempts += 1;
        let holder = ClaimId { boot: self.cx.boot(), attempt: self.attempts };
        let claimant = Box::new(Claimant::new(holder, key, body));
        // What this process ran itself it knows, also while the end is not recorded yet.
        if let Some(cached) = self.answers.find(claimant.key.hash()) {
            let reply_to_caller = match cached.fingerprint == body {
                true => Reply::Done { digest: answer_digest(&cached.answer), holder },
                false => Reply::Mismatch,
            };
            let answer = (cached.fingerprint == body).then(|| cached.answer.clone());
            let _ = reply.send(ClaimOutcome::NotGranted { reply: reply_to_caller, answer });
            return;
        }
        let Some(committer) = self.committer.clone() else {
            let reason = NotRunReason::KvDown;
            let retry_after = Some(LAYOUT_TIMEOUT);
            let reply_to_caller = Reply::NotRun { reason, scope: Scope::Submission, retry_after };
            let _ = reply.send(ClaimOutcome::NotGranted { reply: reply_to_caller, answer: None });
            return;
        };
        let submission = Submission {
            cx: self.cx.clone(),
            tx: self.tx.clone(),
            reporter: self.reporter(committer),
            claims_total: self.claims_total.clone(),
        };
        tokio::spawn(submission.run(claimant, reply));
    }

    /// Answers a peer; without an answer, the peer helps itself.
    fn answer_peer(&self, call: PeerCall) {
        match PeerRequest::read(&call) {
            Ok(PeerRequest::Commit(message)) => self.commit(message, call),
            Ok(PeerRequest::FetchAnswer { key, digest }) => {
                let answer = self.answers.get(key, digest).unwrap_or_default();
                let _ = call.reply.send(answer.to_vec().into());
            }
            Err(error) => log::warn!("peer `{}` sent what is no question: {error}", call.from),
        }
    }

    /// Decides on a peer's entry as the owner of its shard.
    fn commit(&self, message: ForwardedEntry, call: PeerCall) {
        let committer = self.committer.clone();
        let Some(committer) = committer.filter(|_| message.layout == self.cfg.layout) else {
            return;
        };
        tokio::spawn(async move {
            let answer = committer.commit(message.entry, message.issued_ms).await;
            let body = serde_json::to_vec(&answer).expect("an answer has a JSON form");
            let _ = call.reply.send(body.into());
        });
    }

    fn reporter(&self, committer: Committer) -> Reporter {
        Reporter { peers: self.peers.clone(), committer, reports: self.reports.clone() }
    }

    fn request_ended(&self, mut claimant: Claimant, event: ClaimEvent) {
        let Some(committer) = self.committer.clone() else { return };
        let reporter = self.reporter(committer);
        for action in claimant.decide(event, wall_ms(), &self.cfg) {
            if let Action::Report(end) = action {
                reporter.report(claimant.report(end), claimant.key.issued_ms);
            }
        }
    }
}

async fn resolve_layout(store: &BudgetedStore, proposed: Layout) -> Layout {
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
        tokio::time::sleep(LAYOUT_RETRY_DELAY).await;
    }
}
