//! One submission of a non-idempotent request while it claims its key, and the reports of outcomes.

use std::sync::Arc;

use base::prelude::*;
use kernel::prelude::*;
use once::claimant::Action;
use once::claimant::CommitResult;
use once::claimant::Event as ClaimEvent;
use once::committer::wall_ms;
use once::prelude::*;
use prometheus::IntCounterVec;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

use crate::once::ClaimOutcome;
use crate::once::OnceMessage;
use crate::once::Permit;
use crate::once::peers::ForwardedEntry;
use crate::once::peers::Peers;

/// Sends reports of outcomes to the owners of their shards.
#[derive(Clone)]
pub(super) struct Reporter {
    pub(super) peers: Peers,
    pub(super) committer: Committer,
    /// The reports that are being sent.
    pub(super) reports: TaskTracker,
}

impl Reporter {
    /// Sends a report to the owner of its shard. If the owner does not confirm it, or if this
    /// process is the owner, the report is written here.
    pub(super) fn report(&self, entry: Entry, issued_ms: u64) {
        let layout = self.committer.settings().layout;
        let Some(owner) = self.peers.owner(layout.segment_id(entry.key(), issued_ms).shard) else {
            self.committer.report(entry, issued_ms);
            return;
        };
        let (peers, committer) = (self.peers.clone(), self.committer.clone());
        self.reports.spawn(async move {
            let answer =
                peers.request_commit(&owner, ForwardedEntry { issued_ms, layout, entry }).await;
            if !matches!(answer, CommitResult::Decided(_)) {
                committer.report(entry, issued_ms);
            }
        });
    }
}

/// One submission while it claims its key.
pub(super) struct Submission {
    pub(super) cx: Context,
    pub(super) tx: mpsc::Sender<OnceMessage>,
    pub(super) reporter: Reporter,
    pub(super) claims_total: IntCounterVec,
}

impl Submission {
    /// Claims the key and sends the outcome to `reply`.
    pub(super) async fn run(
        self,
        mut claimant: Box<Claimant>,
        reply: oneshot::Sender<ClaimOutcome>,
    ) {
        let cfg = *self.reporter.committer.settings();
        let limit = Duration::from_millis(cfg.claim_timeout_ms);
        let deadline = tokio::time::Instant::now() + limit;
        let issued_ms = claimant.key.issued_ms;
        let entry = claimant.claim();
        let owner = self.reporter.peers.owner(cfg.layout.segment_id(entry.key(), issued_ms).shard);
        let begun = ClaimEvent::Begun { owner: owner.clone() };
        let mut actions = claimant.decide(begun, wall_ms(), &cfg);
        while let Some(Action::RequestClaim { peer }) = actions.first() {
            let owner = owner.as_ref().filter(|_| peer.is_some());
            let claim = self.request_claim(owner, entry, issued_ms);
            let event = match tokio::time::timeout_at(deadline, claim).await {
                Ok(answer) => ClaimEvent::Answered(answer),
                Err(_) => ClaimEvent::Deadline,
            };
            let writer = if owner.is_some() { "owner" } else { "own" };
            self.record(&claimant, writer, &event);
            actions = claimant.decide(event, wall_ms(), &cfg);
        }
        let mut outcome = None;
        for action in actions {
            match action {
                Action::Dispatch => {
                    let copy = Some(claimant.clone());
                    outcome =
                        Some(ClaimOutcome::Granted(Permit { claimant: copy, tx: self.tx.clone() }));
                }
                Action::Reply(reply) => {
                    let answer = self.recorded_answer(&claimant, reply).await;
                    outcome = Some(ClaimOutcome::NotGranted { reply, answer });
                }
                Action::Report(end) => {
                    self.reporter.report(claimant.report(end), issued_ms);
                }
                Action::RequestClaim { .. } => {}
            }
        }
        if let Some(outcome) = outcome
            && let Err(ClaimOutcome::Granted(permit)) = reply.send(outcome)
        {
            // The caller disconnected before the request was dispatched.
            permit.refused();
        }
    }

    /// Returns the recorded answer, if the process that ran the request still has it.
    async fn recorded_answer(&self, claimant: &Claimant, reply: Reply) -> Option<Arc<[u8]>> {
        let Reply::Done { digest, holder } = reply else { return None };
        self.reporter.peers.fetch(holder.boot, claimant.key.hash(), digest).await
    }

    async fn request_claim(
        &self,
        owner: Option<&NodeId>,
        entry: Entry,
        issued_ms: u64,
    ) -> CommitResult {
        match owner {
            Some(owner) => {
                let layout = self.reporter.committer.settings().layout;
                self.reporter
                    .peers
                    .request_commit(owner, ForwardedEntry { issued_ms, layout, entry })
                    .await
            }
            None => self.reporter.committer.commit(entry, issued_ms).await,
        }
    }

    fn record(&self, claimant: &Claimant, writer: &str, event: &ClaimEvent) {
        let outcome = match event {
            ClaimEvent::Answered(CommitResult::Decided(Verdict::Granted)) => "claimed",
            ClaimEvent::Answered(CommitResult::Decided(Verdict::Taken { .. })) => "duplicate",
            ClaimEvent::Answered(CommitResult::InDoubt | CommitResult::PeerLost)
            | ClaimEvent::Deadline => "unclear",
            _ => "refused",
        };
        self.claims_total.with_label_values(&[writer, outcome]).inc();
        let key = claimant.key.key.clone();
        self.cx.record(Event::Claim { key, outcome: outcome.into() });
    }
}
