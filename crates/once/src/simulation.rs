//! The small world in which traces and drawn schedules are replayed.
//!
//! It holds one shard's ring of records, two processes that each believe to own the shard, and any
//! number of sends. Every delivery is a step, so a schedule says what arrives when, what is lost,
//! and what lands late.

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

/// Processes that may own a shard at the same time.
pub const MAX_OWNERS: usize = 2;

struct Send {
    claimant: Claimant,
    key: u64,
    asking: bool,
    answers: Vec<CommitResult>,
    reports: Vec<RequestOutcome>,
    runs: bool,
    told: Option<Reply>,
}

struct InFlightWrite {
    behind_ms: u64,
    place: SegmentId,
    batch: Vec<(u64, Entry)>,
    verdicts: Vec<Verdict>,
    update: Update<Segment>,
    action: update::Action<Segment>,
}

#[derive(Default)]
struct Owner {
    behind_ms: u64,
    queue: Vec<(SegmentId, u64, Entry)>,
    flight: Option<InFlightWrite>,
}

struct DelayedWrite {
    key: String,
    expected: u64,
    record: Record<Segment>,
}

/// Sends, owners and the key-value service.
pub struct Simulation {
    cfg: OnceSettings,
    now: Mono,
    writes: u64,
    revision: u64,
    records: BTreeMap<String, Stored<Segment>>,
    late: Vec<DelayedWrite>,
    sends: BTreeMap<u64, Send>,
    owners: [Owner; MAX_OWNERS],
    findings: Findings,
}

/// Returns the settings under which traces are replayed: one shard, and slots of one second of
/// which three stand.
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
            late: Vec::new(),
            sends: BTreeMap::new(),
            owners: Default::default(),
            findings: Findings::default(),
        }
    }
}

impl Simulation {
    /// Brings about one step at a time since the start; a step that can't happen is passed over.
    pub fn step(&mut self, at: Mono, step: Step) {
        self.now = self.now.max(at);
        match step {
            Step::Begin { send, key, issued_ms, body } => self.begin(send, key, issued_ms, body),
            Step::Ask { send, owner } => self.ask(send, owner % MAX_OWNERS),
            Step::LoseAsk { send } => self.deliver(send, Event::Answered(CommitResult::PeerLost)),
            Step::Call { owner, fault } => self.call(owner % MAX_OWNERS, fault),
            Step::Land => self.apply_delayed_write(),
            Step::Answer { send } => {
                let answer = self.sends.get_mut(&send).and_then(|send| send.answers.pop());
                if let Some(answer) = answer {
                    self.deliver(send, Event::Answered(answer));
                }
            }
            Step::Deadline { send } => self.deliver(send, Event::Deadline),
            Step::End { send, end } => self.deliver(send, Event::Ended(end)),
            Step::Refuse { send } => self.deliver(send, Event::Refused { retry_after: None }),
            Step::Report { send, owner } => self.report(send, owner % MAX_OWNERS),
            Step::Clock { owner, behind_ms } => {
                self.owners[owner % MAX_OWNERS].behind_ms = behind_ms;
            }
            Step::Restart { owner } => self.owners[owner % MAX_OWNERS] = Owner::default(),
        }
        self.check();
    }

    /// Returns every breach of a promise so far: a key that ran twice, or that ran though a send
    /// was told that it was not run.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// Returns the sends that ran, for a key.
    pub fn ran(&self, key: u64) -> Vec<u64> {
        let sends = self.sends.iter().filter(|(_, send)| send.key == key && send.runs);
        sends.map(|(number, _)| *number).collect()
    }

    /// Returns what a send was told.
    pub fn reply_to(&self, send: u64) -> Option<ObservedReply> {
        self.sends.get(&send).and_then(|send| send.told).map(told)
    }

    fn now_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    fn begin(&mut self, send: u64, key: u64, issued_ms: u64, body: u64) {
        if self.sends.contains_key(&send) {
            return;
        }
        let name = key.to_string().into();
        let request_key = RequestKey { workspace: "w".into(), key: name, issued_ms };
        let holder = ClaimId { boot: 1, attempt: send };
        let claimant = Claimant::new(holder, request_key, body);
        let state = Send {
            claimant,
            key,
            asking: false,
            answers: Vec::new(),
            reports: Vec::new(),
            runs: false,
            told: None,
        };
        self.sends.insert(send, state);
        self.deliver(send, Event::Begun { owner: None });
    }

    fn deliver(&mut self, number: u64, event: Event) {
        let now_ms = self.now_ms();
        let Some(send) = self.sends.get_mut(&number) else { return };
        let refused = matches!(event, Event::Refused { .. });
        for action in send.claimant.decide(event, now_ms, &self.cfg) {
            match action {
                Action::RequestClaim { .. } => send.asking = true,
                Action::Dispatch => {
                    let place = format!("send {number}");
                    self.findings.check(!send.runs && send.told.is_none(), &place, || {
                        "dispatched twice, or after its reply".to_owned()
                    });
                    send.runs = true;
                }
                Action::Reply(reply) => {
                    send.runs &= !refused;
                    send.told = Some(reply);
                }
                Action::Report(end) => send.reports.push(end),
            }
        }
    }

    fn ask(&mut self, number: u64, owner: usize) {
        let Some(send) = self.sends.get_mut(&number) else { return };
        if std::mem::take(&mut send.asking) {
            let entry = send.claimant.claim();
            let place = self.cfg.layout.segment_id(entry.key(), send.claimant.key.issued_ms);
            self.owners[owner].queue.push((place, number, entry));
        }
    }

    fn report(&mut self, number: u64, owner: usize) {
        let Some(send) = self.sends.get_mut(&number) else { return };
        if let Some(end) = send.reports.pop() {
            let entry = send.claimant.report(end);
            let place = self.cfg.layout.segment_id(entry.key(), send.claimant.key.issued_ms);
            self.owners[owner].queue.push((place, number, entry));
        }
    }

    fn call(&mut self, owner: usize, fault: Fault) {
        let flight = self.owners[owner].flight.take().or_else(|| self.start_write(owner));
        let Some(mut flight) = flight else { return };
        let event = match flight.action.clone() {
            update::Action::Read => {
                let key = self.cfg.layout.record_key(flight.place);
                match fault {
                    Fault::None => update::Event::Read(Ok(self.records.get(&key).cloned())),
                    _ => update::Event::Read(Err(KvError::Down)),
                }
            }
            update::Action::Swap { expected, record } => {
                update::Event::Swapped(self.swap(flight.place, expected, record, fault))
            }
            other => unreachable!("{other:?} is no call"),
        };
        self.advance(&mut flight, event);
        match flight.action.clone() {
            update::Action::End(outcome) => self.finish_write(flight, outcome),
            _ => self.owners[owner].flight = Some(flight),
        }
    }

    /// Begins the write of what waits for the same segment as the first entry.
    fn start_write(&mut self, owner: usize) -> Option<InFlightWrite> {
        let behind_ms = self.owners[owner].behind_ms;
        let queue = &mut self.owners[owner].queue;
        let place = queue.first()?.0;
        let taken = queue.extract_if(.., |(other, ..)| *other == place);
        let batch = taken.map(|(_, send, entry)| (send, entry)).collect();
        let limit = Duration::from_millis(self.cfg.claim_timeout_ms);
        let update = Update::new(self.now + limit);
        let action = update::Action::Read;
        Some(InFlightWrite { behind_ms, place, batch, verdicts: Vec::new(), update, action })
    }

    /// Gives the event, and goes on to the next call or the end.
    fn advance(&mut self, flight: &mut InFlightWrite, event: update::Event<Segment>) {
        flight.action = flight.update.decide(event, self.now, 0.0);
        loop {
            let event = match flight.action.clone() {
                update::Action::Decide(stands) => {
                    update::Event::Decided(self.decide(flight, stands))
                }
                update::Action::Wait(_) => update::Event::Woken,
                _ => return,
            };
            flight.action = flight.update.decide(event, self.now, 0.0);
        }
    }

    fn decide(
        &mut self,
        flight: &mut InFlightWrite,
        stands: Option<Stored<Segment>>,
    ) -> Option<(WriteId, Segment)> {
        let entries: Vec<Entry> = flight.batch.iter().map(|(_, entry)| *entry).collect();
        let segment = stands.as_ref().map(|stands| &stands.record.body);
        let now_ms = self.now_ms().saturating_sub(flight.behind_ms);
        let applied = apply(segment, flight.place.slot, &entries, now_ms, &self.cfg);
        flight.verdicts = applied.verdicts;
        self.writes += 1;
        Some((self.writes, applied.next?))
    }

    fn swap(
        &mut self,
        place: SegmentId,
        expected: u64,
        record: Record<Segment>,
        fault: Fault,
    ) -> Result<Result<u64, Option<Stored<Segment>>>, KvError> {
        let key = self.cfg.layout.record_key(place);
        match fault {
            Fault::None => Ok(self.exchange(key, expected, record)),
            Fault::AnswerLost => {
                let _ = self.exchange(key, expected, record);
                Err(KvError::Unclear)
            }
            Fault::LandsLate => {
                self.late.push(DelayedWrite { key, expected, record });
                Err(KvError::Unclear)
            }
            Fault::Down => Err(KvError::Down),
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
        if !self.late.is_empty() {
            let DelayedWrite { key, expected, record } = self.late.remove(0);
            let _ = self.exchange(key, expected, record);
        }
    }

    fn finish_write(&mut self, flight: InFlightWrite, outcome: update::Outcome<Segment>) {
        for (i, (number, entry)) in flight.batch.iter().enumerate() {
            let answer = match outcome {
                update::Outcome::Written { .. } | update::Outcome::Declined(_) => {
                    CommitResult::Decided(flight.verdicts[i])
                }
                update::Outcome::NotWritten(_) => CommitResult::NotWritten { retry_after: None },
                update::Outcome::Unknown => CommitResult::InDoubt,
            };
            if let (Entry::Claim { .. }, Some(send)) = (entry, self.sends.get_mut(number)) {
                send.answers.push(answer);
            }
        }
    }

    fn check(&mut self) {
        for (number, send) in &self.sends {
            let ran = self.ran(send.key);
            let place = format!("key {}", send.key);
            self.findings.check(ran.len() <= 1, &place, || format!("ran in sends {ran:?}"));
            let Some(Reply::NotRun { scope, .. }) = send.told else { continue };
            let denied = match scope {
                Scope::Submission => send.runs,
                Scope::Key => !ran.is_empty(),
            };
            self.findings.check(!denied, &place, || {
                format!("send {number} was told that it was not run, and {ran:?} ran")
            });
        }
    }
}

fn told(reply: Reply) -> ObservedReply {
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
