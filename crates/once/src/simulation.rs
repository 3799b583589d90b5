//! Deterministic simulation in which recorded traces and generated schedules are replayed.
//!
//! It consists of the ring of records of one shard, two processes that each consider themselves the
//! owner of the shard, and any number of submissions. Every delivery is a step, so a schedule
//! determines what arrives when, what is lost, and which writes take effect late.
//!
//! After each step the simulation checks the guarantees: a key runs at most once, and the request
//! of a submission or key that was reported as not run did not run.

use std::collections::BTreeMap;

use base::prelude::*;
use kv::record::Record;
use kv::record::Stored;
use kv::store::KvError;
use kv::update;
use kv::update::Update;

use crate::apply::Entry;
use crate::apply::Verdict;
use crate::apply::apply;
use crate::claimant::Action;
use crate::claimant::Claimant;
use crate::claimant::CommitResult;
use crate::claimant::Event;
use crate::claimant::NotRunReason;
use crate::claimant::Reply;
use crate::claimant::Scope;
use crate::claimant::UnknownReason;
use crate::key::ClaimId;
use crate::key::RequestKey;
use crate::segment::RequestOutcome;
use crate::segment::Segment;
use crate::settings::Layout;
use crate::settings::OnceSettings;
use crate::settings::SegmentId;
use crate::trace::Fault;
use crate::trace::ObservedReply;
use crate::trace::Step;

/// Number of processes that consider themselves the owner of the shard at the same time.
pub const MAX_OWNERS: usize = 2;

struct Submission {
    claimant: Claimant,
    key: u64,
    /// Whether a claim request waits to be delivered to an owner.
    claim_pending: bool,
    /// Answers of owners that wait to be delivered.
    answers: Vec<CommitResult>,
    /// Reports that wait to be delivered to an owner.
    reports: Vec<RequestOutcome>,
    /// Whether the request was dispatched and not refused.
    dispatched: bool,
    reply: Option<Reply>,
}

/// A write of an owner, between two of its calls to the key-value service.
struct InFlightWrite {
    behind_ms: u64,
    segment_id: SegmentId,
    batch: Vec<(u64, Entry)>,
    verdicts: Vec<Verdict>,
    update: Update<Segment>,
    action: update::Action<Segment>,
}

#[derive(Default)]
struct Owner {
    behind_ms: u64,
    queue: Vec<(SegmentId, u64, Entry)>,
    in_flight: Option<InFlightWrite>,
}

/// A write that got no answer and takes effect later.
struct DelayedWrite {
    key: String,
    expected: u64,
    record: Record<Segment>,
}

/// Simulated submissions, owners and key-value service.
pub struct Simulation {
    cfg: OnceSettings,
    now: Mono,
    writes: u64,
    revision: u64,
    records: BTreeMap<String, Stored<Segment>>,
    delayed: Vec<DelayedWrite>,
    submissions: BTreeMap<u64, Submission>,
    owners: [Owner; MAX_OWNERS],
    findings: Findings,
}

/// Returns the settings of the simulation: one shard, and a ring of three slots of one second each.
pub fn settings() -> OnceSettings {
    OnceSettings {
        layout: Layout { shards: 1, slot_ms: 1_000, ring_slots: 3 },
        open_ms: 1_000,
        clock_skew_ms: 0,
        claim_timeout_ms: 200,
        ..OnceSettings::default()
    }
}

impl Default for Simulation {
    fn default() -> Self {
        Simulation {
            cfg: settings(),
            now: Mono::ZERO,
            writes: 0,
            revision: 0,
            records: BTreeMap::new(),
            delayed: Vec::new(),
            submissions: BTreeMap::new(),
            owners: Default::default(),
            findings: Findings::default(),
        }
    }
}

impl Simulation {
    /// Carries out one step, at a time since the start. A step that is not possible is ignored.
    pub fn step(&mut self, at: Mono, step: Step) {
        self.now = self.now.max(at);
        match step {
            Step::Begin { submission, key, issued_ms, body } => {
                self.begin(submission, key, issued_ms, body)
            }
            Step::DeliverClaim { submission, owner } => {
                self.request_claim(submission, owner % MAX_OWNERS)
            }
            Step::LoseClaim { submission } => {
                self.deliver(submission, Event::Answered(CommitResult::PeerLost))
            }
            Step::Call { owner, fault } => self.call(owner % MAX_OWNERS, fault),
            Step::ApplyDelayedWrite => self.apply_delayed_write(),
            Step::DeliverAnswer { submission } => {
                let answer = self
                    .submissions
                    .get_mut(&submission)
                    .and_then(|submission| submission.answers.pop());
                if let Some(answer) = answer {
                    self.deliver(submission, Event::Answered(answer));
                }
            }
            Step::Deadline { submission } => self.deliver(submission, Event::Deadline),
            Step::End { submission, end } => self.deliver(submission, Event::Ended(end)),
            Step::Refuse { submission } => {
                self.deliver(submission, Event::Refused { retry_after: None })
            }
            Step::DeliverReport { submission, owner } => {
                self.report(submission, owner % MAX_OWNERS)
            }
            Step::Clock { owner, behind_ms } => {
                self.owners[owner % MAX_OWNERS].behind_ms = behind_ms;
            }
            Step::Restart { owner } => self.owners[owner % MAX_OWNERS] = Owner::default(),
        }
        self.check();
    }

    /// Returns every violated guarantee so far: a key that ran twice, or that ran although the
    /// reply to a submission was that it did not.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// Returns the submissions of a key that were dispatched and not refused.
    pub fn ran(&self, key: u64) -> Vec<u64> {
        let submissions = self
            .submissions
            .iter()
            .filter(|(_, submission)| submission.key == key && submission.dispatched);
        submissions.map(|(number, _)| *number).collect()
    }

    /// Returns the reply to a submission.
    pub fn reply_to(&self, number: u64) -> Option<ObservedReply> {
        self.submissions.get(&number).and_then(|submission| submission.reply).map(observe)
    }

    fn now_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    fn begin(&mut self, number: u64, key: u64, issued_ms: u64, body: u64) {
        if self.submissions.contains_key(&number) {
            return;
        }
        let name = key.to_string().into();
        let request_key = RequestKey { workspace: "w".into(), key: name, issued_ms };
        let holder = ClaimId { boot: 1, attempt: number };
        let claimant = Claimant::new(holder, request_key, body);
        let state = Submission {
            claimant,
            key,
            claim_pending: false,
            answers: Vec::new(),
            reports: Vec::new(),
            dispatched: false,
            reply: None,
        };
        self.submissions.insert(number, state);
        self.deliver(number, Event::Begun { owner: None });
    }

    fn deliver(&mut self, number: u64, event: Event) {
        let now_ms = self.now_ms();
        let Some(submission) = self.submissions.get_mut(&number) else { return };
        let refused = matches!(event, Event::Refused { .. });
        for action in submission.claimant.decide(event, now_ms, &self.cfg) {
            match action {
                Action::RequestClaim { .. } => submission.claim_pending = true,
                Action::Dispatch => {
                    let path = format!("submission {number}");
                    self.findings.check(
                        !submission.dispatched && submission.reply.is_none(),
                        &path,
                        || "dispatched twice, or after its reply".to_owned(),
                    );
                    submission.dispatched = true;
                }
                Action::Reply(reply) => {
                    submission.dispatched &= !refused;
                    submission.reply = Some(reply);
                }
                Action::Report(end) => submission.reports.push(end),
            }
        }
    }

    fn request_claim(&mut self, number: u64, owner: usize) {
        let Some(submission) = self.submissions.get_mut(&number) else { return };
        if std::mem::take(&mut submission.claim_pending) {
            let entry = submission.claimant.claim();
            let segment_id =
                self.cfg.layout.segment_id(entry.key(), submission.claimant.key.issued_ms);
            self.owners[owner].queue.push((segment_id, number, entry));
        }
    }

    fn report(&mut self, number: u64, owner: usize) {
        let Some(submission) = self.submissions.get_mut(&number) else { return };
        if let Some(end) = submission.reports.pop() {
            let entry = submission.claimant.report(end);
            let segment_id =
                self.cfg.layout.segment_id(entry.key(), submission.claimant.key.issued_ms);
            self.owners[owner].queue.push((segment_id, number, entry));
        }
    }

    fn call(&mut self, owner: usize, fault: Fault) {
        let write = self.owners[owner].in_flight.take().or_else(|| self.start_write(owner));
        let Some(mut write) = write else { return };
        let event = match write.action.clone() {
            update::Action::Read => {
                let key = self.cfg.layout.record_key(write.segment_id);
                match fault {
                    Fault::None => update::Event::Read(Ok(self.records.get(&key).cloned())),
                    _ => update::Event::Read(Err(KvError::Unavailable)),
                }
            }
            update::Action::Swap { expected, record } => {
                update::Event::Swapped(self.swap(write.segment_id, expected, record, fault))
            }
            other => unreachable!("{other:?} is not a call"),
        };
        self.advance(&mut write, event);
        match write.action.clone() {
            update::Action::End(outcome) => self.finish_write(write, outcome),
            _ => self.owners[owner].in_flight = Some(write),
        }
    }

    /// Starts the write of all queued entries that belong to the same segment as the first one.
    fn start_write(&mut self, owner: usize) -> Option<InFlightWrite> {
        let behind_ms = self.owners[owner].behind_ms;
        let queue = &mut self.owners[owner].queue;
        let segment_id = queue.first()?.0;
        let taken = queue.extract_if(.., |(other, ..)| *other == segment_id);
        let batch = taken.map(|(_, send, entry)| (send, entry)).collect();
        let limit = Duration::from_millis(self.cfg.claim_timeout_ms);
        let update = Update::new(self.now + limit);
        let action = update::Action::Read;
        Some(InFlightWrite { behind_ms, segment_id, batch, verdicts: Vec::new(), update, action })
    }

    /// Applies the event to the write, and continues up to its next call or its end.
    fn advance(&mut self, write: &mut InFlightWrite, event: update::Event<Segment>) {
        write.action = write.update.decide(event, self.now, 0.0);
        loop {
            let event = match write.action.clone() {
                update::Action::Decide(stored) => {
                    update::Event::Decided(self.decide(write, stored))
                }
                update::Action::Wait(_) => update::Event::WaitElapsed,
                _ => return,
            };
            write.action = write.update.decide(event, self.now, 0.0);
        }
    }

    fn decide(
        &mut self,
        write: &mut InFlightWrite,
        stored: Option<Stored<Segment>>,
    ) -> Option<(WriteId, Segment)> {
        let entries: Vec<Entry> = write.batch.iter().map(|(_, entry)| *entry).collect();
        let segment = stored.as_ref().map(|stored| &stored.record.body);
        let now_ms = self.now_ms().saturating_sub(write.behind_ms);
        let applied = apply(segment, write.segment_id.slot, &entries, now_ms, &self.cfg);
        write.verdicts = applied.verdicts;
        self.writes += 1;
        Some((self.writes, applied.next?))
    }

    fn swap(
        &mut self,
        segment_id: SegmentId,
        expected: u64,
        record: Record<Segment>,
        fault: Fault,
    ) -> Result<Result<u64, Option<Stored<Segment>>>, KvError> {
        let key = self.cfg.layout.record_key(segment_id);
        match fault {
            Fault::None => Ok(self.exchange(key, expected, record)),
            Fault::AnswerLost => {
                let _ = self.exchange(key, expected, record);
                Err(KvError::Indeterminate)
            }
            Fault::AppliedLate => {
                self.delayed.push(DelayedWrite { key, expected, record });
                Err(KvError::Indeterminate)
            }
            Fault::Down => Err(KvError::Unavailable),
        }
    }

    fn exchange(
        &mut self,
        key: String,
        expected: u64,
        record: Record<Segment>,
    ) -> Result<u64, Option<Stored<Segment>>> {
        let current = self.records.get(&key);
        if current.map_or(0, |current| current.mod_revision) != expected {
            return Err(current.cloned());
        }
        record.body.check(&key, &mut self.findings);
        self.revision += 1;
        let mod_revision = self.revision;
        self.records.insert(key, Stored { mod_revision, record });
        Ok(mod_revision)
    }

    fn apply_delayed_write(&mut self) {
        if !self.delayed.is_empty() {
            let DelayedWrite { key, expected, record } = self.delayed.remove(0);
            let _ = self.exchange(key, expected, record);
        }
    }

    fn finish_write(&mut self, write: InFlightWrite, outcome: update::Outcome<Segment>) {
        for (i, (number, entry)) in write.batch.iter().enumerate() {
            let answer = match outcome {
                update::Outcome::Written { .. } | update::Outcome::Declined(_) => {
                    CommitResult::Decided(write.verdicts[i])
                }
                update::Outcome::NotWritten(_) => CommitResult::NotWritten { retry_after: None },
                update::Outcome::Unknown => CommitResult::InDoubt,
            };
            if let (Entry::Claim { .. }, Some(submission)) =
                (entry, self.submissions.get_mut(number))
            {
                submission.answers.push(answer);
            }
        }
    }

    /// Checks the guarantees.
    fn check(&mut self) {
        for (number, submission) in &self.submissions {
            let ran = self.ran(submission.key);
            let path = format!("key {}", submission.key);
            self.findings.check(ran.len() <= 1, &path, || format!("ran in submissions {ran:?}"));
            let Some(Reply::NotRun { scope, .. }) = submission.reply else { continue };
            let did_run = match scope {
                Scope::Submission => submission.dispatched,
                Scope::Key => !ran.is_empty(),
            };
            self.findings.check(!did_run, &path, || {
                format!("the reply to submission {number} was not run, but {ran:?} ran")
            });
        }
    }
}

fn observe(reply: Reply) -> ObservedReply {
    match reply {
        Reply::NotRun { scope: Scope::Key, .. } => ObservedReply::KeyNotRun,
        Reply::NotRun { reason: NotRunReason::KvDown, .. } => ObservedReply::KvDown,
        Reply::NotRun { .. } => ObservedReply::NotRun,
        Reply::Done { .. } => ObservedReply::Done,
        Reply::Failed => ObservedReply::Failed,
        Reply::Unknown { reason: UnknownReason::Expired, .. } => ObservedReply::Expired,
        Reply::Unknown { .. } => ObservedReply::Unknown,
        Reply::Mismatch => ObservedReply::Mismatch,
    }
}
