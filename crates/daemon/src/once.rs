//! At-most-once execution: claims the keys of non-idempotent requests.
//!
//! Receives [`OnceMessage`]s in the mailbox [`names::ONCE`]. A request whose claim is granted gets
//! a [`Permit`], by which its outcome is reported; a permit that is dropped without a report
//! reports the outcome as unknown. Claims are written by the owners of their shards; see [`peers`].
//! The layout of the claims is read from the key-value service at the start. Until it is known,
//! claims are answered with "not run".

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

/// Capacity of each mailbox, in messages.
const MAILBOX_DEPTH: usize = 4_096;
/// Capacity of the cache of answers for resubmissions, in bytes.
const ANSWER_CACHE_BYTES: usize = 4 << 20;
/// Timeout of one attempt to read or agree on the layout.
const LAYOUT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed attempt to read or agree on the layout.
const LAYOUT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum wait for the last reports when the process stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// A message to the service.
pub enum OnceMessage {
    /// Claim a key.
    Claim {
        /// The key.
        key: RequestKey,
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// Receives the outcome of the claim.
        reply: oneshot::Sender<ClaimOutcome>,
    },
    /// A request whose claim was granted has ended.
    Ended {
        /// The submission.
        claimant: Box<Claimant>,
        /// How it ended.
        event: ClaimEvent,
        /// The answer, to be cached for resubmissions.
        answer: Option<Arc<[u8]>>,
    },
}

/// The outcome of a claim.
pub enum ClaimOutcome {
    /// The request may be dispatched once.
    Granted(Permit),
    /// The request must not be dispatched.
    NotGranted {
        /// The reply to the caller.
        reply: Reply,
        /// The recorded answer, if a live process has it in its cache.
        answer: Option<Arc<[u8]>>,
    },
}

/// The permit to dispatch a request once.
pub struct Permit {
    claimant: Option<Box<Claimant>>,
    tx: mpsc::Sender<OnceMessage>,
}

impl Permit {
    /// Reports a complete answer and caches it for resubmissions.
    pub fn done(self, answer: Arc<[u8]>) {
        let digest = answer_digest(&answer);
        self.finish(ClaimEvent::Ended(RequestOutcome::Done { digest }), Some(answer));
    }

    /// Reports another outcome.
    pub fn ended(self, end: RequestOutcome) {
        self.finish(ClaimEvent::Ended(end), None);
    }

    /// Reports that the request definitely was not run, so that a resubmission may run.
    pub fn refused(self) {
        self.finish(ClaimEvent::Refused { retry_after: None }, None);
    }

    fn finish(mut self, event: ClaimEvent, answer: Option<Arc<[u8]>>) {
        self.send(event, answer);
    }

    fn send(&mut self, event: ClaimEvent, answer: Option<Arc<[u8]>>) {
        let Some(claimant) = self.claimant.take() else { return };
        if self.tx.try_send(OnceMessage::Ended { claimant, event, answer }).is_err() {
            log::warn!(
                "the outcome of a claimed request was not recorded; resubmissions are answered \
                 with outcome unknown"
            );
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.send(ClaimEvent::Ended(RequestOutcome::Unknown), None);
    }
}

/// Returns the service.
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
        // All holders of permits have ended; their reports are still in the mailbox.
        while let Ok(message) = inbox.try_recv() {
            self.handle(message);
        }
        self.reports.close();
        if tokio::time::timeout(STOP_TIMEOUT, self.reports.wait()).await.is_err() {
            log::warn!("the outcomes of some claims were not sent to the owners of their shards");
        }
        if let Some(committer) = &self.committer {
            committer.drain(STOP_TIMEOUT).await;
        }
    }

    fn handle(&mut self, message: OnceMessage) {
        match message {
            OnceMessage::Claim { key, fingerprint, reply } => {
                self.claim_key(key, fingerprint, reply)
            }
            OnceMessage::Ended { claimant, event, answer } => {
                if let Some(answer) = answer {
                    let fingerprint = claimant.fingerprint;
                    self.answers.insert(claimant.key.hash(), CachedAnswer { fingerprint, answer });
                }
                self.request_ended(*claimant, event);
            }
        }
    }

    fn claim_key(
        &mut self,
        key: RequestKey,
        body: Fingerprint,
        reply: oneshot::Sender<ClaimOutcome>,
    ) {
        self.attempts += 1;
        let holder = ClaimId { boot: self.cx.boot(), attempt: self.attempts };
        let claimant = Box::new(Claimant::new(holder, key, body));
        // This process knows the answers of requests that it ran itself, even before their outcomes
        // are recorded.
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

    /// Answers a request of a peer. A peer that gets no answer proceeds without it: it writes the
    /// claim itself, or replies without the recorded answer.
    fn answer_peer(&self, call: PeerCall) {
        match PeerRequest::read(&call) {
            Ok(PeerRequest::Commit(message)) => self.commit(message, call),
            Ok(PeerRequest::FetchAnswer { key, digest }) => {
                let answer = self.answers.get(key, digest).unwrap_or_default();
                let _ = call.reply.send(answer.to_vec().into());
            }
            Err(error) => log::warn!("malformed claim call from peer `{}`: {error}", call.from),
        }
    }

    /// Commits a peer's entry as the owner of its shard. An entry of another layout is not
    /// answered.
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
                    log::warn!(
                        "the stored layout of claims differs from the settings and is used: \
                         {layout:?}"
                    );
                }
                return layout;
            }
            Err(error) => log::warn!("key `{}`: {error}", once::settings::LAYOUT_KEY),
        }
        tokio::time::sleep(LAYOUT_RETRY_DELAY).await;
    }
}
