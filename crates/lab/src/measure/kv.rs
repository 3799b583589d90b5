//! Calls to the key-value service by kind, before, during and after an outage.
//!
//! Eight processes claim keys and poll the revision in the background, each within a budget
//! for its call rates. The stand-in counts the calls that arrive in each window. In an
//! outage the service either has no leader and answers with errors, or does not answer at all.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::prelude::random_id;
use kv::prelude::*;
use once::claimant::CommitResult;
use once::committer::wall_ms;
use once::prelude::*;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::kv::KvCounts;
use crate::kv::KvFaultUpdate;
use crate::kv::Outage;
use crate::measure::load::Arrivals;
use crate::measure::load::LoopbackKv;
use crate::measure::load::sleep_until;

/// Number of processes.
const PROCESSES: usize = 8;
/// Claims per second over all processes.
const CLAIM_RATE: f64 = 200.0;
/// Background reads per second of each process.
const BACKGROUND_READ_RATE: f64 = 5.0;
/// Window over which calls are counted.
const WINDOW: Duration = Duration::from_millis(250);
/// Time before the outage.
const BEFORE: Duration = Duration::from_secs(3);
/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(5);
/// Time after the outage.
const AFTER: Duration = Duration::from_secs(5);
/// Seed of the arrivals.
const SEED: u64 = 20_261_203;

struct Process {
    store: BudgetedStore,
    committer: Committer,
}

fn start(standin: &LoopbackKv, budget: RateBudget) -> Process {
    let store = BudgetedStore::new(standin.store(), budget);
    let committer = Committer::start(Arc::new(store.clone()), OnceSettings::default());
    Process { store, committer }
}

/// Which process writes a claim.
#[derive(Clone, Copy)]
enum Writer {
    /// The owner of the claim's shard.
    ShardOwner,
    /// The process that accepted the request.
    AcceptingProcess,
}

/// Claims a new key; returns the time of the answer since `started` and whether it was granted.
async fn claim(
    processes: &[Arc<Process>],
    accepting: usize,
    writer: Writer,
    started: Instant,
) -> (Duration, bool) {
    let issued_ms = wall_ms();
    let key = u128::from(random_id());
    let shard = OnceSettings::default().layout.segment_id(key, issued_ms).shard as usize;
    let process = match writer {
        Writer::ShardOwner => &processes[shard % PROCESSES],
        Writer::AcceptingProcess => &processes[accepting],
    };
    let holder = ClaimId { boot: 1, attempt: random_id() };
    let entry = Entry::Claim { key, fingerprint: 1, holder };
    let answer = process.committer.commit(entry, issued_ms).await;
    (started.elapsed(), answer == CommitResult::Decided(Verdict::Granted))
}

async fn read_in_background(process: Arc<Process>, started: Instant, index: u64) {
    let store = process.store.with_priority(Priority::Background);
    for at in Arrivals::new(SEED + index, BACKGROUND_READ_RATE, BEFORE + OUTAGE + AFTER) {
        sleep_until(started, at).await;
        let _ = store.get("config/revision").await;
    }
}

async fn count_windows(standin: &LoopbackKv, started: Instant) -> Vec<KvCounts> {
    let windows = (BEFORE + OUTAGE + AFTER).as_millis() / WINDOW.as_millis();
    let mut counts = vec![standin.server.faults.counts()];
    for window in 1..=windows as u32 {
        sleep_until(started, WINDOW * window).await;
        counts.push(standin.server.faults.counts());
    }
    counts
}

/// Returns the calls per second between two times, on average and in the busiest window.
fn rates(counts: &[KvCounts], from: Duration, to: Duration) -> Value {
    let index = |at: Duration| (at.as_millis() / WINDOW.as_millis()) as usize;
    let range = &counts[index(from)..=index(to)];
    let per_second = 1.0 / WINDOW.as_secs_f64();
    let rate_of = |kind: fn(&KvCounts) -> u64| {
        let windows = range.windows(2).map(|pair| kind(&pair[1]) - kind(&pair[0]));
        let busiest = windows.max().unwrap_or(0) as f64 * per_second;
        let all = kind(&range[range.len() - 1]) - kind(&range[0]);
        json!({ "mean": all as f64 / (to - from).as_secs_f64(), "busiest_window": busiest })
    };
    json!({
        "reads_per_second": rate_of(|counts| counts.reads),
        "writes_per_second": rate_of(|counts| counts.writes),
        "limited_per_second": rate_of(|counts| counts.limited),
    })
}

async fn measure(outage: Outage, writer: Writer) -> Value {
    let standin = LoopbackKv::start(2).await;
    let budget = RateBudget::default();
    let processes: Vec<_> = (0..PROCESSES).map(|_| Arc::new(start(&standin, budget))).collect();
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for (index, process) in processes.iter().enumerate() {
        tasks.spawn(read_in_background(process.clone(), started, index as u64));
    }
    let mut claims = JoinSet::new();
    for (number, at) in Arrivals::new(SEED, CLAIM_RATE, BEFORE + OUTAGE + AFTER).enumerate() {
        let processes = processes.clone();
        claims.spawn(async move {
            sleep_until(started, at).await;
            claim(&processes, number % PROCESSES, writer, started).await
        });
    }
    let faults = standin.server.faults.clone();
    tasks.spawn(async move {
        sleep_until(started, BEFORE).await;
        faults.apply(KvFaultUpdate { outage: Some(outage), ..KvFaultUpdate::default() });
        sleep_until(started, BEFORE + OUTAGE).await;
        faults.apply(KvFaultUpdate { outage: Some(Outage::None), ..KvFaultUpdate::default() });
    });
    let counts = count_windows(&standin, started).await;
    let mut answers = Vec::new();
    while let Some(Ok(answer)) = claims.join_next().await {
        answers.push(answer);
    }
    tasks.join_all().await;
    let phase = |from: Duration, to: Duration| {
        let within = answers.iter().filter(|(at, _)| (from..to).contains(at));
        let granted = within.clone().filter(|(_, granted)| *granted).count();
        json!({ "granted": granted, "refused": within.count() - granted, "calls": rates(&counts, from, to) })
    };
    let recovered_at = BEFORE + OUTAGE;
    let first =
        answers.iter().filter(|(at, granted)| *granted && *at > recovered_at).map(|(at, _)| *at);
    let first_ms = first.min().map(|at| (at - recovered_at).as_millis() as u64);
    let by_process: Vec<CallCounts> =
        processes.iter().map(|process| process.store.counts()).collect();
    json!({
        "outage": outage,
        "written_by": match writer { Writer::ShardOwner => "shard_owner", Writer::AcceptingProcess => "accepting_process" },
        "before": phase(Duration::ZERO, BEFORE),
        "during": phase(BEFORE, recovered_at),
        "after": phase(recovered_at, recovered_at + AFTER),
        "first_grant_after_outage_ms": first_ms,
        "share_of_each_process": budget,
        "calls_of_first_process": by_process[0],
        "held_back_by_all": by_process.iter().map(|counts| counts.held_back).sum::<u64>(),
    })
}

/// Runs the measurement.
pub async fn run() -> Value {
    let runs = [
        measure(Outage::NoLeader, Writer::ShardOwner).await,
        measure(Outage::Silent, Writer::ShardOwner).await,
        measure(Outage::NoLeader, Writer::AcceptingProcess).await,
    ];
    json!({ "processes": PROCESSES, "claim_rate": CLAIM_RATE, "runs": runs })
}
