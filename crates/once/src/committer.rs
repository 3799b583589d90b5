//! Task that writes batches of claims and reports.
//!
//! [`GroupCommit`] decides when to write. Each write is one compare-and-swap update of a record,
//! and its outcome is determined where that is possible ([`kv::update`]). The task caches the
//! segments that it wrote last, which saves the read before each write. A cached segment can be
//! stale, so a batch that would not change it is decided again on the segment that is then read.
//! Reports that could not be written are retried for `REPORT_RETRY_LIMIT`.

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

/// Capacity of the channel to the task.
const INBOX_DEPTH: usize = 4_096;
/// Number of segments cached for each shard: those of the current and the previous slot.
const CACHED_SEGMENTS: usize = 2;
/// Delay before a report that could not be written is retried.
const REPORT_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time for which a report is retried.
const REPORT_RETRY_LIMIT: Duration = Duration::from_secs(300);

/// An entry to be written, and who waits for the result.
struct CommitRequest {
    segment_id: SegmentId,
    entry: Entry,
    reply: Option<oneshot::Sender<CommitResult>>,
}

/// Handle of the task. The task ends when all handles are dropped and all entries are done.
#[derive(Clone)]
pub struct Committer {
    tx: mpsc::Sender<CommitRequest>,
    /// Number of entries that are not done.
    open: Arc<watch::Sender<usize>>,
    cfg: OnceSettings,
}

/// Returns the layout that all processes use. Writes `proposed` if there is none yet.
///
/// # Errors
///
/// [`KvError`] if the layout could not be read or written within `limit`.
pub async fn agree_layout(
    store: &dyn Store,
    proposed: Layout,
    limit: Duration,
) -> Result<Layout, KvError> {
    let propose = |stored: Option<&Stored<Layout>>| stored.is_none().then_some(proposed);
    match update::run(store, LAYOUT_KEY, limit, propose).await {
        Outcome::Written { record, .. } => Ok(record.body),
        Outcome::Declined(Some(stored)) => Ok(stored.record.body),
        Outcome::Declined(None) | Outcome::Unknown => Err(KvError::Indeterminate),
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

    /// Commits a claim or a report of a key issued at `issued_ms` (milliseconds since the Unix
    /// epoch), and waits for the result.
    pub async fn commit(&self, entry: Entry, issued_ms: u64) -> CommitResult {
        let (reply, result) = oneshot::channel();
        let segment_id = self.cfg.layout.segment_id(entry.key(), issued_ms);
        if !self.send(CommitRequest { segment_id, entry, reply: Some(reply) }) {
            return CommitResult::NotWritten { retry_after: None };
        }
        result.await.unwrap_or(CommitResult::InDoubt)
    }

    /// Submits a report without waiting for its result. It is retried while the key-value service
    /// is down.
    pub fn report(&self, entry: Entry, issued_ms: u64) {
        let segment_id = self.cfg.layout.segment_id(entry.key(), issued_ms);
        if !self.send(CommitRequest { segment_id, entry, reply: None }) {
            log::warn!("dropped the report of a claim's outcome: the queue is full");
        }
    }

    /// Waits until all claims and reports are done, or until `limit` has passed.
    pub async fn drain(&self, limit: Duration) {
        let mut open = self.open.subscribe();
        let drained = open.wait_for(|open| *open == 0);
        if tokio::time::timeout(limit, drained).await.is_err() {
            log::warn!("some claims' outcomes were not recorded within {limit:?}");
        }
    }

    fn send(&self, request: CommitRequest) -> bool {
        self.open.send_modify(|open| *open += 1);
        let sent = self.tx.try_send(request).is_ok();
        if !sent {
            self.open.send_modify(|open| *open -= 1);
        }
        sent
    }
}

/// An entry that has not been decided yet.
struct PendingEntry {
    segment_id: SegmentId,
    entry: Entry,
    reply: Option<oneshot::Sender<CommitResult>>,
    since: Instant,
}

/// Result of the write of a batch.
struct WriteDone {
    segment_id: SegmentId,
    batch: Vec<(Ticket, Entry)>,
    results: Vec<CommitResult>,
    /// The segment as it is known to be stored after the write.
    stored: Option<Stored<Segment>>,
}

struct Task {
    store: Arc<dyn Store>,
    cfg: OnceSettings,
    open: Arc<watch::Sender<usize>>,
    started: Instant,
    gather: GroupCommit,
    next: Ticket,
    pending: BTreeMap<Ticket, PendingEntry>,
    /// Segments last written, by shard; newest slot first.
    cache: BTreeMap<u32, Vec<Stored<Segment>>>,
    done_tx: mpsc::UnboundedSender<WriteDone>,
    done_rx: mpsc::UnboundedReceiver<WriteDone>,
    wake_at: Option<Mono>,
}

impl Task {
    fn new(store: Arc<dyn Store>, cfg: OnceSettings, open: Arc<watch::Sender<usize>>) -> Self {
        let (done_tx, done_rx) = mpsc::unbounded_channel();
        Task {
            store,
            cfg,
            open,
            started: Instant::now(),
            gather: GroupCommit::new(&cfg),
            next: 0,
            pending: BTreeMap::new(),
            cache: BTreeMap::new(),
            done_tx,
            done_rx,
            wake_at: None,
        }
    }

    async fn run(mut self, mut rx: mpsc::Receiver<CommitRequest>) {
        let mut open = true;
        while open || !self.pending.is_empty() {
            let wake = wait_until(self.wake_at.map(|at| self.started + at));
            tokio::select! {
                request = rx.recv(), if open => match request {
                    Some(request) => self.accept(request),
                    None => open = false,
                },
                Some(done) = self.done_rx.recv() => self.finish_write(done),
                () = wake => {
                    self.wake_at = None;
                    self.step(Event::Woken);
                }
            }
        }
    }

    fn accept(&mut self, request: CommitRequest) {
        let delay = match request.entry {
            Entry::Claim { .. } => Duration::ZERO,
            Entry::Report { .. } => Duration::from_millis(self.cfg.report_delay_ms),
        };
        let CommitRequest { segment_id, entry, reply } = request;
        self.enqueue(PendingEntry { segment_id, entry, reply, since: Instant::now() }, delay);
    }

    fn enqueue(&mut self, pending: PendingEntry, delay: Duration) {
        let ticket = self.next;
        self.next += 1;
        let (segment_id, entry) = (pending.segment_id, pending.entry);
        self.pending.insert(ticket, pending);
        self.step(Event::Arrived { segment_id, ticket, entry, delay });
    }

    fn step(&mut self, event: Event) {
        for action in self.gather.decide(event, self.started.elapsed()) {
            match action {
                Action::Flush { segment_id, batch } => self.flush(segment_id, batch),
                Action::Refuse { ticket } => {
                    let pending = self.pending.remove(&ticket);
                    if let Some(reply) = pending.and_then(|pending| pending.reply) {
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

    fn flush(&mut self, segment_id: SegmentId, batch: Vec<(Ticket, Entry)>) {
        let store = self.store.clone();
        let cfg = self.cfg;
        let tx = self.done_tx.clone();
        let cached = self.cache.get(&segment_id.shard).and_then(|list| {
            let same = |stored: &&Stored<Segment>| stored.record.body.slot == segment_id.slot;
            list.iter().find(same).cloned()
        });
        tokio::spawn(async move {
            let entries: Vec<Entry> = batch.iter().map(|(_, entry)| *entry).collect();
            let (results, stored) = write(&*store, segment_id, &entries, cached, &cfg).await;
            let _ = tx.send(WriteDone { segment_id, batch, results, stored });
        });
    }

    fn finish_write(&mut self, done: WriteDone) {
        let WriteDone { segment_id, batch, results, stored } = done;
        self.update_cache(segment_id, stored);
        for ((ticket, _), result) in batch.into_iter().zip(results) {
            let Some(pending) = self.pending.remove(&ticket) else { continue };
            match pending.reply {
                Some(reply) => {
                    let _ = reply.send(result);
                    self.close_one();
                }
                None => self.finish_report(pending, result),
            }
        }
        self.step(Event::WriteEnded { shard: segment_id.shard });
    }

    fn update_cache(&mut self, segment_id: SegmentId, stored: Option<Stored<Segment>>) {
        let list = self.cache.entry(segment_id.shard).or_default();
        list.retain(|cached| cached.record.body.slot != segment_id.slot);
        list.extend(stored.filter(|stored| stored.record.body.slot == segment_id.slot));
        list.sort_by_key(|cached| std::cmp::Reverse(cached.record.body.slot));
        list.truncate(CACHED_SEGMENTS);
    }

    /// Completes a report that nobody waits for, or retries it if it was not written.
    fn finish_report(&mut self, pending: PendingEntry, result: CommitResult) {
        let written = matches!(result, CommitResult::Decided(_));
        if !written && pending.since.elapsed() < REPORT_RETRY_LIMIT {
            self.enqueue(pending, REPORT_RETRY_DELAY);
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

/// Writes a batch. Returns the results, and the segment if its stored state is known.
async fn write(
    store: &dyn Store,
    segment_id: SegmentId,
    entries: &[Entry],
    cached: Option<Stored<Segment>>,
    cfg: &OnceSettings,
) -> (Vec<CommitResult>, Option<Stored<Segment>>) {
    let key = cfg.layout.record_key(segment_id);
    let limit = Duration::from_millis(cfg.claim_timeout_ms);
    let mut verdicts: Vec<Verdict> = Vec::new();
    let mut next = |stored: Option<&Stored<Segment>>| {
        let segment = stored.map(|stored| &stored.record.body);
        let applied = apply(segment, segment_id.slot, entries, wall_ms(), cfg);
        verdicts = applied.verdicts;
        applied.next
    };
    let was_cached = cached.is_some();
    let mut outcome = update::run_from(store, &key, limit, cached, &mut next).await;
    if was_cached && matches!(outcome, Outcome::Declined(_)) {
        outcome = update::run(store, &key, limit, &mut next).await;
    }
    let decided =
        |verdicts: Vec<Verdict>| verdicts.into_iter().map(CommitResult::Decided).collect();
    let all = |result: CommitResult| vec![result; entries.len()];
    match outcome {
        Outcome::Written { current, .. } => (decided(verdicts), Some(current)),
        Outcome::Declined(stored) => (decided(verdicts), stored),
        Outcome::NotWritten(error) => {
            let retry_after = match error {
                KvError::RateLimited { retry_after } => Some(retry_after),
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
