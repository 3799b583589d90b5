//! The attempts that a stand-in engine runs, each a log of pieces that streams read.
//!
//! An attempt is admitted, waits for a slot in order of priority, and then appends one piece to its
//! log per token interval. Streams read the log from any piece on, so a client resumes a broken
//! stream without a second run. An attempt without a reader for `READERLESS_TIMEOUT` is
//! cancelled. A finished attempt stays readable until it is older than `RETENTION`.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::hash;
use base::prelude::*;
use engine::prelude::*;
use engine::status::CacheEvent;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::engine::EngineOptions;
use crate::engine::Shared;
use crate::text::TextInput;

/// Time that an attempt runs without a reader before it is cancelled.
const READERLESS_TIMEOUT: Duration = Duration::from_secs(15);
/// Age, counted from its start, from which a finished attempt is dropped at the next admission.
const RETENTION: Duration = Duration::from_secs(60);
/// Length of the prompt's prefix, in bytes, that identifies a cache entry.
const PREFIX_BYTES: usize = 64;

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// This many pieces have been generated, and more will follow.
    Running(u32),
    /// All pieces, this many, have been generated.
    Finished(u32),
    /// It was cancelled or lost, or has moved to another engine.
    Gone,
}

/// One attempt.
pub struct Attempt {
    /// The request.
    pub request: Generate,
    /// Its progress; streams subscribe to it.
    pub progress: watch::Sender<Progress>,
    began: Instant,
}

/// The record of an admitted attempt that `GET /control/runs` returns.
#[wire]
pub struct Run {
    /// The attempt.
    pub attempt: AttemptId,
    /// The group that it was sent to.
    pub group: GroupId,
    /// The generation that it was sent to.
    pub generation: Generation,
    /// The prompt.
    pub prompt: Box<str>,
}

/// The state of an attempt that moves to another engine.
#[wire]
pub struct Exported {
    /// The request.
    #[serde(rename = "ask")]
    pub request: Generate,
    /// Number of pieces generated so far.
    pub pieces: u32,
}

#[derive(Default)]
struct Slots {
    free: usize,
    /// Waiting attempts, by inverted priority and then by arrival number.
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
    /// The last arrival number given out.
    arrivals: u64,
}

struct State {
    attempts: HashMap<AttemptId, Arc<Attempt>>,
    exported: HashMap<AttemptId, Exported>,
    runs: Vec<Run>,
    slots: Slots,
    /// Hashes of the cached prefixes, least recently used first.
    cached: VecDeque<u64>,
    cache_events: Vec<CacheEvent>,
    /// Samples of the load, oldest first: time, queued and running attempts.
    load_samples: Vec<(Instant, u32, u32)>,
}

/// The attempts of one engine.
pub struct Attempts {
    state: Mutex<State>,
    max_queued: usize,
    cached_prefixes: usize,
    load_lag: Duration,
}

impl Attempts {
    /// Makes the empty attempt table of an engine.
    pub fn new(options: &EngineOptions) -> Self {
        let slots = Slots { free: options.slots, ..Slots::default() };
        Attempts {
            state: Mutex::new(State {
                attempts: HashMap::new(),
                exported: HashMap::new(),
                runs: Vec::new(),
                slots,
                cached: VecDeque::new(),
                cache_events: Vec::new(),
                load_samples: Vec::new(),
            }),
            max_queued: options.max_queued,
            cached_prefixes: options.cached_prefixes,
            load_lag: options.load_lag,
        }
    }

    /// Admits an attempt and starts it; returns a known attempt without starting it again.
    pub fn admit(&self, shared: &Arc<Shared>, request: Generate) -> Result<Arc<Attempt>, Refusal> {
        let mut state = self.state.lock();
        if let Some(known) = state.attempts.get(&request.attempt) {
            return Ok(known.clone());
        }
        if state.slots.waiting.len() >= self.max_queued {
            return Err(Refusal { reason: RefusalReason::Full });
        }
        state.runs.push(Run {
            attempt: request.attempt,
            group: request.group.clone(),
            generation: request.generation,
            prompt: request.prompt.clone(),
        });
        state.attempts.retain(|_, attempt| {
            attempt.began.elapsed() < RETENTION
                || matches!(*attempt.progress.borrow(), Progress::Running(_))
        });
        let attempt = start(&mut state, request, 0);
        drop(state);
        tokio::spawn(run(shared.clone(), attempt.clone()));
        Ok(attempt)
    }

    /// Finds an attempt.
    pub fn find(&self, attempt: AttemptId) -> Option<Arc<Attempt>> {
        self.state.lock().attempts.get(&attempt).cloned()
    }

    /// Cancels an attempt, if it is known.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(attempt) = self.find(attempt) {
            attempt.progress.send_if_modified(|progress| {
                let running = matches!(progress, Progress::Running(_));
                if running {
                    *progress = Progress::Gone;
                }
                running
            });
        }
    }

    /// Drops all attempts, as when a member of the group is lost.
    pub fn lose_all(&self) {
        let mut state = self.state.lock();
        for (_, attempt) in state.attempts.drain() {
            attempt.progress.send_replace(Progress::Gone);
        }
    }

    /// Stops an attempt and keeps its state for another engine to import.
    pub fn export(&self, attempt: AttemptId) -> OrderAnswer {
        let mut state = self.state.lock();
        let Some(found) = state.attempts.remove(&attempt) else {
            let problem = format!("attempt {attempt} does not run here").into();
            return OrderAnswer::Failed { problem };
        };
        let pieces = match found.progress.send_replace(Progress::Gone) {
            Progress::Running(pieces) | Progress::Finished(pieces) => pieces,
            Progress::Gone => 0,
        };
        state.exported.insert(attempt, Exported { request: found.request.clone(), pieces });
        OrderAnswer::Done
    }

    /// Returns an attempt's exported state.
    pub fn exported(&self, attempt: AttemptId) -> Option<Exported> {
        self.state.lock().exported.get(&attempt).cloned()
    }

    /// Continues an attempt that another engine has exported.
    pub fn import(&self, shared: &Arc<Shared>, exported: Exported) {
        let mut state = self.state.lock();
        if state.attempts.contains_key(&exported.request.attempt) {
            return;
        }
        let attempt = start(&mut state, exported.request, exported.pieces);
        drop(state);
        tokio::spawn(run(shared.clone(), attempt));
    }

    /// Returns all runs so far, in the order of admission.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// Returns the cache events with a number of at least `from` that is a multiple of `gap`.
    pub fn cache_events(&self, from: u64, gap: u64) -> Vec<CacheEvent> {
        let state = self.state.lock();
        let due = state.cache_events.iter().filter(|event| event.number >= from);
        due.filter(|event| event.number % gap == 0).cloned().collect()
    }

    /// Returns the load as it was `load_lag` ago.
    pub fn load(&self) -> Load {
        let mut state = self.state.lock();
        let running = state.attempts.values();
        let running = running
            .filter(|attempt| matches!(*attempt.progress.borrow(), Progress::Running(_)))
            .count();
        let queued = state.slots.waiting.len();
        let now = Instant::now();
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        state.load_samples.push((now, count(queued), count(running - queued.min(running))));
        let lag = self.load_lag;
        while state.load_samples.len() > 1 && now.duration_since(state.load_samples[1].0) >= lag {
            state.load_samples.remove(0);
        }
        let (at, queued, running) = state.load_samples[0];
        let age_ms = u64::try_from(now.duration_since(at).as_millis()).unwrap_or(u64::MAX);
        Load { queued, running, age_ms }
    }

    /// Makes the prefix of `prompt` the most recently used cache entry, evicting the least recently
    /// used one if the cache is full; returns whether the prefix was cached.
    fn touch_prefix(&self, prompt: &str) -> bool {
        let bytes = prompt.as_bytes();
        let prefix = hash::stable(&bytes[..bytes.len().min(PREFIX_BYTES)]);
        let mut state = self.state.lock();
        let known = state.cached.iter().position(|cached| *cached == prefix);
        if let Some(index) = known {
            state.cached.remove(index);
        }
        state.cached.push_back(prefix);
        let number = state.cache_events.len() as u64;
        if known.is_none() {
            state.cache_events.push(CacheEvent { number, prefix, cached: true });
        }
        if state.cached.len() > self.cached_prefixes
            && let Some(prefix) = state.cached.pop_front()
        {
            let number = state.cache_events.len() as u64;
            state.cache_events.push(CacheEvent { number, prefix, cached: false });
        }
        known.is_some()
    }

    /// Waits for a slot; higher priorities are served first, then earlier arrivals.
    async fn acquire_slot(&self, priority: u8) {
        let turn = {
            let mut state = self.state.lock();
            let slots = &mut state.slots;
            if slots.free > 0 {
                slots.free -= 1;
                return;
            }
            let (tx, rx) = oneshot::channel();
            slots.arrivals += 1;
            slots.waiting.insert((u8::MAX - priority, slots.arrivals), tx);
            rx
        };
        // The sender is dropped only together with the engine.
        let _ = turn.await;
    }

    fn release_slot(&self) {
        let mut state = self.state.lock();
        while let Some((_, next)) = state.slots.waiting.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
        state.slots.free += 1;
    }
}

fn start(state: &mut State, request: Generate, pieces: u32) -> Arc<Attempt> {
    let progress = watch::Sender::new(Progress::Running(pieces));
    let attempt = Arc::new(Attempt { request, progress, began: Instant::now() });
    state.attempts.insert(attempt.request.attempt, attempt.clone());
    attempt
}

/// Returns the parts of `request` that determine the generated text.
pub fn text_input(request: &Generate) -> TextInput<'_> {
    TextInput {
        version: &request.version,
        adapter: request.adapter.as_deref().unwrap_or(""),
        prompt: &request.prompt,
        seed: request.seed,
        max_tokens: request.max_tokens,
    }
}

/// Generates the pieces of one attempt.
async fn run(shared: Arc<Shared>, attempt: Arc<Attempt>) {
    shared.attempts.acquire_slot(attempt.request.priority).await;
    tokio::select! {
        () = generate(&shared, &attempt) => {}
        () = shared.down.cancelled() => {
            attempt.progress.send_replace(Progress::Gone);
        }
    }
    shared.attempts.release_slot();
}

async fn generate(shared: &Arc<Shared>, attempt: &Attempt) {
    let crash_on = shared.faults.lock().crash_on.clone();
    if crash_on.is_some_and(|text| attempt.request.prompt.contains(&*text)) {
        shared.crash();
        return;
    }
    if !shared.attempts.touch_prefix(&attempt.request.prompt) {
        tokio::time::sleep(shared.options.prefill).await;
    }
    let input = text_input(&attempt.request);
    let total = input.pieces();
    let mut readerless_since = Instant::now();
    let interval = shared.options.token_interval;
    let mut ticks = tokio::time::interval(interval.max(Duration::from_micros(100)));
    loop {
        let Progress::Running(pieces) = *attempt.progress.borrow() else { return };
        if pieces >= total {
            attempt.progress.send_replace(Progress::Finished(total));
            return;
        }
        ticks.tick().await;
        let slow = shared.faults.lock().slow_factor;
        if let Some(factor) = slow {
            tokio::time::sleep(interval.mul_f64((factor - 1.0).max(0.0))).await;
        }
        advance(&attempt.progress);
        let crash_after = shared.faults.lock().crash_after_pieces;
        if crash_after.is_some_and(|limit| pieces + 1 >= limit) {
            shared.crash();
            return;
        }
        if attempt.progress.receiver_count() > 0 {
            readerless_since = Instant::now();
        } else if readerless_since.elapsed() > READERLESS_TIMEOUT {
            attempt.progress.send_replace(Progress::Gone);
            return;
        }
    }
}

fn advance(progress: &watch::Sender<Progress>) {
    progress.send_if_modified(|progress| match progress {
        Progress::Running(pieces) => {
            *pieces += 1;
            true
        }
        Progress::Finished(_) | Progress::Gone => false,
    });
}
