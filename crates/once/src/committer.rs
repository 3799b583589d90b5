//! The task that writes the batches.
//!
//! It asks [`GroupCommit`] when to write, and makes each write as one change of a record, which ends
//! with a known outcome where that is possible ([`kv::update`]). It remembers the segments that it
//! wrote last, which saves the read before each write; what it remembers may be outdated, so a
//! batch that changes nothing by it is decided again on what is read. Reports that could not be
//! written are tried again until they are too old to matter.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use base::prelude::*;
use kv::record::Stored;
use kv::store::KvError;
use kv::store::Store;
use kv::update;
use kv::update::Outcome;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::apply::Entry;
use crate::apply::Verdict;
use crate::apply::apply;
use crate::claimant::CommitResult;
use crate::group_commit::Action;
use crate::group_commit::Event;
use crate::group_commit::GroupCommit;
use crate::group_commit::Ticket;
use crate::segment::Segment;
use crate::settings::LAYOUT_KEY;
use crate::settings::Layout;
use crate::settings::OnceSettings;
use crate::settings::SegmentId;

/// Asks that may wait for the task.
const INBOX_DEPTH: usize = 4_096;
/// Segments remembered for each shard: the present one and the one before.
const CACHED_SEGMENTS: usize = 2;
/// Pause before a report that could not be written is tried again.
const REPORT_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time for which a report is tried.
const REPORT_RETRY_LIMIT: Duration = Duration::from_secs(300);

struct Ask {
    place: SegmentId,
    entry: Entry,
    reply: Option<oneshot::Sender<CommitResult>>,
}

/// Handle of the task; the task ends when all handles are gone.
#[derive(Clone)]
pub struct Committer {
    tx: mpsc::Sender<Ask>,
    /// Number of asks that have not ended.
    open: Arc<watch::Sender<usize>>,
    cfg: OnceSettings,
}

/// Returns the layout that all processes use, and writes the proposed one if none stands.
///
/// # Errors
///
/// [`KvError`] if the key-value service gives no layout.
pub async fn agree_layout(
    store: &dyn Store,
    proposed: Layout,
    limit: Duration,
) -> Result<Layout, KvError> {
    let propose = |stands: Option<&Stored<Layout>>| stands.is_none().then_some(proposed);
    match update::run(store, LAYOUT_KEY, limit, propose).await {
        Outcome::Written { record, .. } => Ok(record.body),
        Outcome::Declined(Some(stands)) => Ok(stands.record.body),
        Outcome::Declined(None) | Outcome::Unknown => Err(KvError::Unclear),
        Outcome::NotWritten(error) => Err(error),
    }
}

impl Committer {
    /// Starts the task. `cfg.layout` must be the agreed layout; see [`agree_layout`].
    pub fn start(store: Arc<dyn Store>, cfg: OnceSettings) -> Self {
        let (tx, rx) = mpsc::channel(INBOX_DEPTH);
        let open = Arc::new(watch::Sender::new(0));
        let task = Task::new(store, cfg, open.clone());
        tokio::spawn(task.run(rx));
        Committer { tx, open, cfg }
    }

    /// Returns the settings, with the agreed layout.
    pub fn settings(&self) -> &OnceSettings {
        &self.cfg
    }

    /// Asks for a claim or gives a report, for a key issued at `issued_ms`, and waits for what
    /// becomes of it.
    pub async fn commit(&self, entry: Entry, issued_ms: u64) -> CommitResult {
        let (reply, answer) = oneshot::channel();
        let place = self.cfg.layout.segment_id(entry.key(), issued_ms);
        if !self.send(Ask { place, entry, reply: Some(reply) }) {
            return CommitResult::NotWritten { retry_after: None };
        }
        answer.await.unwrap_or(CommitResult::InDoubt)
    }

    /// Gives a report and does not wait. It is tried again while the key-value service is down.
    pub fn report(&self, entry: Entry, issued_ms: u64) {
        let place = self.cfg.layout.segment_id(entry.key(), issued_ms);
        if !self.send(Ask { place, entry, reply: None }) {
            log::warn!("the report of a claim's end was dropped: too many wait");
        }
    }

    /// Waits until all claims and reports have ended, at most for `limit`.
    pub async fn drain(&self, limit: Duration) {
        let mut open = self.open.subscribe();
        let settled = open.wait_for(|open| *open == 0);
        if tokio::time::timeout(limit, settled).await.is_err() {
            log::warn!("some claims' ends were not recorded within {limit:?}");
        }
    }

    fn send(&self, ask: Ask) -> bool {
        self.open.send_modify(|open| *open += 1);
        let sent = self.tx.try_send(ask).is_ok();
        if !sent {
            self.open.send_modify(|open| *open -= 1);
        }
        sent
    }
}

struct Waiter {
    place: SegmentId,
    entry: Entry,
    reply: Option<oneshot::Sender<CommitResult>>,
    since: Instant,
}

struct Landed {
    place: SegmentId,
    batch: Vec<(Ticket, Entry)>,
    answers: Vec<CommitResult>,
    known: Option<Stored<Segment>>,
}

struct Task {
    store: Arc<dyn Store>,
    cfg: OnceSettings,
    open: Arc<watch::Sender<usize>>,
    started: Instant,
    gather: GroupCommit,
    next: Ticket,
    waiters: BTreeMap<Ticket, Waiter>,
    known: BTreeMap<u32, Vec<Stored<Segment>>>,
    landed_tx: mpsc::UnboundedSender<Landed>,
    landed_rx: mpsc::UnboundedReceiver<Landed>,
    wake_at: Option<Mono>,
}

impl Task {
    fn new(store: Arc<dyn Store>, cfg: OnceSettings, open: Arc<watch::Sender<usize>>) -> Self {
        let (landed_tx, landed_rx) = mpsc::unbounded_channel();
        Task {
            store,
            cfg,
            open,
            started: Instant::now(),
            gather: GroupCommit::new(&cfg),
            next: 0,
            waiters: BTreeMap::new(),
            known: BTreeMap::new(),
            landed_tx,
            landed_rx,
            wake_at: None,
        }
    }

    async fn run(mut self, mut rx: mpsc::Receiver<Ask>) {
        let mut open = true;
        while open || !self.waiters.is_empty() {
            let wake = wait_until(self.wake_at.map(|at| self.started + at));
            tokio::select! {
                ask = rx.recv(), if open => match ask {
                    Some(ask) => self.arrived(ask),
                    None => open = false,
                },
                Some(landed) = self.landed_rx.recv() => self.landed(landed),
                () = wake => {
                    self.wake_at = None;
                    self.step(Event::Woken);
                }
            }
        }
    }

    fn arrived(&mut self, ask: Ask) {
        let delay = match ask.entry {
            Entry::Claim { .. } => Duration::ZERO,
            Entry::Report { .. } => Duration::from_millis(self.cfg.report_delay_ms),
        };
        let Ask { place, entry, reply } = ask;
        self.wait(Waiter { place, entry, reply, since: Instant::now() }, delay);
    }

    fn wait(&mut self, waiter: Waiter, delay: Duration) {
        let ticket = self.next;
        self.next += 1;
        let (place, entry) = (waiter.place, waiter.entry);
        self.waiters.insert(ticket, waiter);
        self.step(Event::Arrived { place, ticket, entry, delay });
    }

    fn step(&mut self, event: Event) {
        for action in self.gather.decide(event, self.started.elapsed()) {
            match action {
                Action::Flush { place, batch } => self.flush(place, batch),
                Action::Refuse { ticket } => {
                    let waiter = self.waiters.remove(&ticket);
                    if let Some(reply) = waiter.and_then(|waiter| waiter.reply) {
                        let _ = reply.send(CommitResult::NotWritten { retry_after: None });
                    }
                    self.close_one();
                }
                Action::WakeAt(at) => {
                    self.wake_at = Some(self.wake_at.map_or(at, |wake_at| wake_at.min(at)));
                }
            }
        }
    }

    fn flush(&mut self, place: SegmentId, batch: Vec<(Ticket, Entry)>) {
        let store = self.store.clone();
        let cfg = self.cfg;
        let tx = self.landed_tx.clone();
        let known = self.known.get(&place.shard).and_then(|list| {
            let same = |stored: &&Stored<Segment>| stored.record.body.slot == place.slot;
            list.iter().find(same).cloned()
        });
        tokio::spawn(async move {
            let entries: Vec<Entry> = batch.iter().map(|(_, entry)| *entry).collect();
            let (answers, known) = write(&*store, place, &entries, known, &cfg).await;
            let _ = tx.send(Landed { place, batch, answers, known });
        });
    }

    fn landed(&mut self, landed: Landed) {
        let Landed { place, batch, answers, known } = landed;
        self.remember(place, known);
        for ((ticket, _), answer) in batch.into_iter().zip(answers) {
            let Some(waiter) = self.waiters.remove(&ticket) else { continue };
            match waiter.reply {
                Some(reply) => {
                    let _ = reply.send(answer);
                    self.close_one();
                }
                None => self.reported(waiter, answer),
            }
        }
        self.step(Event::WriteEnded { shard: place.shard });
    }

    fn remember(&mut self, place: SegmentId, known: Option<Stored<Segment>>) {
        let list = self.known.entry(place.shard).or_default();
        list.retain(|stored| stored.record.body.slot != place.slot);
        list.extend(known.filter(|stored| stored.record.body.slot == place.slot));
        list.sort_by_key(|stored| std::cmp::Reverse(stored.record.body.slot));
        list.truncate(CACHED_SEGMENTS);
    }

    /// Tries a report again that was not written.
    fn reported(&mut self, waiter: Waiter, answer: CommitResult) {
        let written = matches!(answer, CommitResult::Decided(_));
        if !written && waiter.since.elapsed() < REPORT_RETRY_LIMIT {
            self.wait(waiter, REPORT_RETRY_DELAY);
        } else {
            self.close_one();
        }
    }

    fn close_one(&self) {
        self.open.send_modify(|open| *open = open.saturating_sub(1));
    }
}

async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// Writes a batch, and returns the answers and what is known to stand.
async fn write(
    store: &dyn Store,
    place: SegmentId,
    entries: &[Entry],
    known: Option<Stored<Segment>>,
    cfg: &OnceSettings,
) -> (Vec<CommitResult>, Option<Stored<Segment>>) {
    let key = cfg.layout.record_key(place);
    let limit = Duration::from_millis(cfg.claim_timeout_ms);
    let mut verdicts: Vec<Verdict> = Vec::new();
    let mut next = |stands: Option<&Stored<Segment>>| {
        let segment = stands.map(|stands| &stands.record.body);
        let applied = apply(segment, place.slot, entries, wall_ms(), cfg);
        verdicts = applied.verdicts;
        applied.next
    };
    let remembered = known.is_some();
    let mut outcome = update::run_from(store, &key, limit, known, &mut next).await;
    if remembered && matches!(outcome, Outcome::Declined(_)) {
        outcome = update::run(store, &key, limit, &mut next).await;
    }
    let decided =
        |verdicts: Vec<Verdict>| verdicts.into_iter().map(CommitResult::Decided).collect();
    let all = |answer: CommitResult| vec![answer; entries.len()];
    match outcome {
        Outcome::Written { stands, .. } => (decided(verdicts), Some(stands)),
        Outcome::Declined(stands) => (decided(verdicts), stands),
        Outcome::NotWritten(error) => {
            let retry_after = match error {
                KvError::Limited { retry_after } => Some(retry_after),
                _ => None,
            };
            (all(CommitResult::NotWritten { retry_after }), None)
        }
        Outcome::Unknown => (all(CommitResult::InDoubt), None),
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
