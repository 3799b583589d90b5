//! Claims of request keys: group commit compared with one compare-and-swap per request and with
//! tickets.
//!
//! Eight entry processes share one key-value stand-in; each has its own connection and owns the
//! shards that rendezvous hashing assigns to it. A claim in a shard of another process waits for
//! one simulated round trip to that process. A ticket is issued and redeemed in the memory of one
//! process. The caller has to fetch it in an earlier round trip, which is not counted here.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::prelude::random_id;
use kv::prelude::*;
use once::claimant::CommitResult;
use once::committer::wall_ms;
use once::prelude::*;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::kv::KvCounts;
use crate::kv::KvFaultUpdate;
use crate::kv::Outage;
use crate::measure::load::Arrivals;
use crate::measure::load::Latencies;
use crate::measure::load::LoopbackKv;
use crate::measure::load::sleep_until;

/// Number of entry processes.
const PROCESSES: usize = 8;
/// Response time of the key-value service.
const KV_DELAY_MS: u64 = 2;
/// Round trip between failure domains.
const PEER_ROUND_TRIP: Duration = Duration::from_millis(3);
/// Length of one run.
const RUN: Duration = Duration::from_secs(4);
/// Claims per second over all processes.
const RATES: [f64; 4] = [10.0, 100.0, 300.0, 1_000.0];
/// Flush periods in milliseconds.
const FLUSH_PERIODS_MS: [u64; 3] = [50, 150, 400];
/// Claims per second in the runs with an outage and with a lost process.
const OUTAGE_RATE: f64 = 100.0;
/// Seed of the arrivals.
const SEED: u64 = 20_261_203;

/// How keys are claimed.
#[derive(Clone, Copy)]
enum ClaimMethod {
    /// The owner of the shard writes the claims of one flush period together.
    GroupCommit { flush_period_ms: u64 },
    /// The accepting process writes each claim with a compare-and-swap of its own.
    SwapEach,
    /// The accepting process issues and redeems a ticket in its memory.
    Tickets,
}

impl ClaimMethod {
    fn name(self) -> String {
        match self {
            ClaimMethod::GroupCommit { flush_period_ms } => {
                format!("group_commit_{flush_period_ms}ms")
            }
            ClaimMethod::SwapEach => "swap_each".to_owned(),
            ClaimMethod::Tickets => "tickets".to_owned(),
        }
    }
}

/// Tickets of one process instance; they are lost when it ends.
#[derive(Default)]
struct Tickets {
    issued: u64,
    redeemed: HashSet<u64>,
}

/// One entry process.
struct Process {
    store: Arc<EtcdStore>,
    committer: Committer,
    tickets: Mutex<Tickets>,
}

struct Bench {
    method: ClaimMethod,
    layout: Layout,
    names: Vec<String>,
    processes: Vec<Process>,
}

/// Outcome of a claim.
enum ClaimOutcome {
    Granted,
    Refused,
}

impl Bench {
    fn new(method: ClaimMethod, standin: &LoopbackKv) -> Self {
        let flush_period_ms = match method {
            ClaimMethod::GroupCommit { flush_period_ms } => flush_period_ms,
            ClaimMethod::SwapEach | ClaimMethod::Tickets => 1,
        };
        let cfg = OnceSettings { flush_period_ms, ..OnceSettings::default() };
        let process = |_| {
            let store = standin.store();
            let committer = Committer::start(store.clone(), cfg);
            Process { store, committer, tickets: Mutex::default() }
        };
        let processes = (0..PROCESSES).map(process).collect();
        let names = (0..PROCESSES).map(|index| format!("entry-{index}")).collect();
        Bench { method, layout: cfg.layout, names, processes }
    }

    async fn claim(&self, accepting: usize, number: u64) -> ClaimOutcome {
        match self.method {
            ClaimMethod::GroupCommit { .. } => self.commit(accepting, number).await,
            ClaimMethod::SwapEach => {
                let key = format!("claim/{number:016x}");
                let value: Arc<[u8]> = Arc::from(&[b'c'; 64][..]);
                match self.processes[accepting].store.compare_and_swap(&key, 0, value).await {
                    Ok(CasResult::Done { .. }) => ClaimOutcome::Granted,
                    _ => ClaimOutcome::Refused,
                }
            }
            ClaimMethod::Tickets => {
                let mut tickets = self.processes[accepting].tickets.lock();
                tickets.issued += 1;
                let ticket = tickets.issued;
                if tickets.redeemed.insert(ticket) {
                    ClaimOutcome::Granted
                } else {
                    ClaimOutcome::Refused
                }
            }
        }
    }

    async fn commit(&self, accepting: usize, number: u64) -> ClaimOutcome {
        let issued_ms = wall_ms();
        let name = format!("{issued_ms}-{number}").into();
        let key = RequestKey { workspace: "club".into(), key: name, issued_ms };
        let holder = ClaimId { boot: accepting as u64 + 1, attempt: number };
        let entry = Claimant::new(holder, key.clone(), 1).claim();
        let shard = self.layout.segment_id(entry.key(), issued_ms).shard;
        let names = self.names.iter().map(String::as_str);
        let owner = base::hash::owner(&format!("shard-{shard}"), names);
        let owner = self.names.iter().position(|name| Some(&**name) == owner).unwrap_or(accepting);
        if owner != accepting {
            tokio::time::sleep(PEER_ROUND_TRIP).await;
        }
        match self.processes[owner].committer.commit(entry, issued_ms).await {
            CommitResult::Decided(Verdict::Granted) => ClaimOutcome::Granted,
            _ => ClaimOutcome::Refused,
        }
    }
}

struct ClaimLatencies {
    granted: Latencies,
    refused: Latencies,
}

async fn drive_claims(bench: Arc<Bench>, rate: f64, run: Duration) -> ClaimLatencies {
    let started = Instant::now();
    let mut claims = JoinSet::new();
    for (number, at) in Arrivals::new(SEED, rate, run).enumerate() {
        let bench = bench.clone();
        claims.spawn(async move {
            sleep_until(started, at).await;
            let sent = Instant::now();
            let outcome = bench.claim(number % PROCESSES, random_id()).await;
            (outcome, sent.elapsed())
        });
    }
    let mut latencies =
        ClaimLatencies { granted: Latencies::default(), refused: Latencies::default() };
    while let Some(Ok((outcome, latency))) = claims.join_next().await {
        match outcome {
            ClaimOutcome::Granted => latencies.granted.record(latency),
            ClaimOutcome::Refused => latencies.refused.record(latency),
        }
    }
    latencies
}

async fn measure(method: ClaimMethod, rate: f64) -> Value {
    let standin = LoopbackKv::start(KV_DELAY_MS).await;
    let bench = Arc::new(Bench::new(method, &standin));
    let latencies = drive_claims(bench, rate, RUN).await;
    let counts = standin.server.faults.counts();
    let granted = latencies.granted.summary();
    let claims = granted["count"].as_u64().unwrap_or(0).max(1);
    let writes = counts.writes;
    json!({
        "way": method.name(),
        "rate_per_second": rate,
        "granted": granted,
        "refused": latencies.refused.summary()["count"],
        "kv_writes_per_claim": writes as f64 / claims as f64,
        "kv_writes_per_second": writes as f64 / RUN.as_secs_f64(),
        "kv_reads_per_second": counts.reads as f64 / RUN.as_secs_f64(),
        "mean_bytes_per_write": mean_bytes(&counts),
        "largest_value_bytes": counts.largest_value,
    })
}

fn mean_bytes(counts: &KvCounts) -> u64 {
    counts.written_bytes.checked_div(counts.written).unwrap_or(0)
}

/// Measures claims before, during and right after an outage of the key-value service.
async fn outage(method: ClaimMethod) -> Value {
    let standin = LoopbackKv::start(KV_DELAY_MS).await;
    let bench = Arc::new(Bench::new(method, &standin));
    let before = drive_claims(bench.clone(), OUTAGE_RATE, RUN / 4).await;
    let order = |outage| KvFaultUpdate { outage: Some(outage), ..KvFaultUpdate::default() };
    standin.server.faults.apply(order(Outage::NoLeader));
    let during = drive_claims(bench.clone(), OUTAGE_RATE, RUN / 2).await;
    standin.server.faults.apply(order(Outage::None));
    let after = drive_claims(bench, OUTAGE_RATE, RUN / 4).await;
    json!({
        "way": method.name(),
        "before": { "granted": before.granted.summary(), "refused": before.refused.summary() },
        "during": { "granted": during.granted.summary(), "refused": during.refused.summary() },
        "after": { "granted": after.granted.summary(), "refused": after.refused.summary() },
    })
}

/// Measures which share of the claims another process still knows, when a request is resent to it
/// after one process has died.
async fn process_lost(method: ClaimMethod) -> Value {
    let standin = LoopbackKv::start(KV_DELAY_MS).await;
    let bench = Arc::new(Bench::new(method, &standin));
    let total = drive_claims(bench.clone(), OUTAGE_RATE, RUN / 4).await;
    let known = match method {
        // Every claim is stored in the key-value service, whichever process wrote it.
        ClaimMethod::GroupCommit { .. } | ClaimMethod::SwapEach => 1.0,
        ClaimMethod::Tickets => {
            let redeemed = |process: &Process| process.tickets.lock().redeemed.len() as f64;
            let all: f64 = bench.processes.iter().map(redeemed).sum();
            1.0 - redeemed(&bench.processes[0]) / all.max(1.0)
        }
    };
    json!({
        "way": method.name(),
        "claims": total.granted.summary()["count"],
        "share_of_claims_still_known_after_one_process_died": known,
    })
}

/// Runs the measurement.
pub async fn run() -> Value {
    let mut runs = Vec::new();
    for rate in RATES {
        for flush_period_ms in FLUSH_PERIODS_MS {
            runs.push(measure(ClaimMethod::GroupCommit { flush_period_ms }, rate).await);
        }
        runs.push(measure(ClaimMethod::SwapEach, rate).await);
        runs.push(measure(ClaimMethod::Tickets, rate).await);
    }
    let methods = [
        ClaimMethod::GroupCommit { flush_period_ms: 150 },
        ClaimMethod::SwapEach,
        ClaimMethod::Tickets,
    ];
    let mut outages = Vec::new();
    let mut lost = Vec::new();
    for method in methods {
        outages.push(outage(method).await);
        lost.push(process_lost(method).await);
    }
    json!({
        "processes": PROCESSES,
        "shards": Layout::default().shards,
        "kv_delay_ms": KV_DELAY_MS,
        "peer_round_trip_ms": PEER_ROUND_TRIP.as_millis(),
        "runs": runs,
        "outage": outages,
        "process_lost": lost,
    })
}
