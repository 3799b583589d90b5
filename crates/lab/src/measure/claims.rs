//! Claims of request keys: group commit against a compare-and-swap a request and tickets.
//!
//! Eight entry processes share one key-value stand-in; each has its own connection and owns the
//! shards that rendezvous hashing gives it. An ask for another process's shard takes a peer round
//! trip, which is waited for. A ticket is issued and redeemed by one process and costs the caller
//! a round trip of its own beforehand, which is not counted here.

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

/// Entry processes.
const PROCESSES: usize = 8;
/// Answer time of the key-value service.
const KV_DELAY_MS: u64 = 2;
/// Round trip between failure domains.
const PEER_ROUND_TRIP: Duration = Duration::from_millis(3);
/// Length of one run.
const RUN: Duration = Duration::from_secs(4);
/// Claims a second.
const RATES: [f64; 4] = [10.0, 100.0, 300.0, 1_000.0];
/// Flush periods in milliseconds.
const FLUSH_PERIODS_MS: [u64; 3] = [50, 150, 400];
/// Claims a second in the outage.
const OUTAGE_RATE: f64 = 100.0;
/// Seed of the arrivals.
const SEED: u64 = 20_261_203;

/// How keys are claimed.
#[derive(Clone, Copy)]
enum Way {
    GroupCommit { flush_period_ms: u64 },
    SwapEach,
    Tickets,
}

impl Way {
    fn name(self) -> String {
        match self {
            Way::GroupCommit { flush_period_ms } => format!("group_commit_{flush_period_ms}ms"),
            Way::SwapEach => "swap_each".to_owned(),
            Way::Tickets => "tickets".to_owned(),
        }
    }
}

/// Tickets of one life of a process.
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
    way: Way,
    layout: Layout,
    names: Vec<String>,
    processes: Vec<Process>,
}

/// What became of a claim.
enum Told {
    Granted,
    Refused,
}

impl Bench {
    fn new(way: Way, standin: &LoopbackKv) -> Self {
        let flush_period_ms = match way {
            Way::GroupCommit { flush_period_ms } => flush_period_ms,
            Way::SwapEach | Way::Tickets => 1,
        };
        let cfg = OnceSettings { flush_period_ms, ..OnceSettings::default() };
        let process = |_| {
            let store = standin.store();
            let committer = Committer::start(store.clone(), cfg);
            Process { store, committer, tickets: Mutex::default() }
        };
        let processes = (0..PROCESSES).map(process).collect();
        let names = (0..PROCESSES).map(|index| format!("entry-{index}")).collect();
        Bench { way, layout: cfg.layout, names, processes }
    }

    async fn claim(&self, at: usize, number: u64) -> Told {
        match self.way {
            Way::GroupCommit { .. } => self.commit(at, number).await,
            Way::SwapEach => {
                let key = format!("claim/{number:016x}");
                let value: Arc<[u8]> = Arc::from(&[b'c'; 64][..]);
                match self.processes[at].store.compare_and_swap(&key, 0, value).await {
                    Ok(CasResult::Done { .. }) => Told::Granted,
                    _ => Told::Refused,
                }
            }
            Way::Tickets => {
                let mut tickets = self.processes[at].tickets.lock();
                tickets.issued += 1;
                let ticket = tickets.issued;
                if tickets.redeemed.insert(ticket) { Told::Granted } else { Told::Refused }
            }
        }
    }

    async fn commit(&self, at: usize, number: u64) -> Told {
        let issued_ms = wall_ms();
        let name = format!("{issued_ms}-{number}").into();
        let key = RequestKey { workspace: "club".into(), key: name, issued_ms };
        let holder = ClaimId { boot: at as u64 + 1, attempt: number };
        let entry = Claimant::new(holder, key.clone(), 1).claim();
        let shard = self.layout.segment_id(entry.key(), issued_ms).shard;
        let names = self.names.iter().map(String::as_str);
        let owner = base::hash::owner(&format!("shard-{shard}"), names);
        let owner = self.names.iter().position(|name| Some(&**name) == owner).unwrap_or(at);
        if owner != at {
            tokio::time::sleep(PEER_ROUND_TRIP).await;
        }
        match self.processes[owner].committer.commit(entry, issued_ms).await {
            CommitResult::Decided(Verdict::Granted) => Told::Granted,
            _ => Told::Refused,
        }
    }
}

struct Load {
    granted: Latencies,
    refused: Latencies,
}

async fn load(bench: Arc<Bench>, rate: f64, run: Duration) -> Load {
    let begun = Instant::now();
    let mut claims = JoinSet::new();
    for (number, at) in Arrivals::new(SEED, rate, run).enumerate() {
        let bench = bench.clone();
        claims.spawn(async move {
            sleep_until(begun, at).await;
            let sent = Instant::now();
            let told = bench.claim(number % PROCESSES, random_id()).await;
            (told, sent.elapsed())
        });
    }
    let mut load = Load { granted: Latencies::default(), refused: Latencies::default() };
    while let Some(Ok((told, latency))) = claims.join_next().await {
        match told {
            Told::Granted => load.granted.record(latency),
            Told::Refused => load.refused.record(latency),
        }
    }
    load
}

async fn measure(way: Way, rate: f64) -> Value {
    let standin = LoopbackKv::start(KV_DELAY_MS).await;
    let bench = Arc::new(Bench::new(way, &standin));
    let load = load(bench, rate, RUN).await;
    let counts = standin.server.faults.counts();
    let granted = load.granted.summary();
    let claims = granted["count"].as_u64().unwrap_or(0).max(1);
    let writes = counts.writes;
    json!({
        "way": way.name(),
        "rate_per_second": rate,
        "granted": granted,
        "refused": load.refused.summary()["count"],
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

/// Claims while the key-value service is out of order, and right after.
async fn outage(way: Way) -> Value {
    let standin = LoopbackKv::start(KV_DELAY_MS).await;
    let bench = Arc::new(Bench::new(way, &standin));
    let before = load(bench.clone(), OUTAGE_RATE, RUN / 4).await;
    let order = |outage| KvFaultUpdate { outage: Some(outage), ..KvFaultUpdate::default() };
    standin.server.faults.apply(order(Outage::NoLeader));
    let during = load(bench.clone(), OUTAGE_RATE, RUN / 2).await;
    standin.server.faults.apply(order(Outage::None));
    let after = load(bench, OUTAGE_RATE, RUN / 4).await;
    json!({
        "way": way.name(),
        "before": { "granted": before.granted.summary(), "refused": before.refused.summary() },
        "during": { "granted": during.granted.summary(), "refused": during.refused.summary() },
        "after": { "granted": after.granted.summary(), "refused": after.refused.summary() },
    })
}

/// What a resend at another process learns after one of the processes has died: the share of all
/// requests whose outcome it can tell.
async fn process_lost(way: Way) -> Value {
    let standin = LoopbackKv::start(KV_DELAY_MS).await;
    let bench = Arc::new(Bench::new(way, &standin));
    let total = load(bench.clone(), OUTAGE_RATE, RUN / 4).await;
    let known = match way {
        // Every claim stands in the key-value service, whoever wrote it.
        Way::GroupCommit { .. } | Way::SwapEach => 1.0,
        Way::Tickets => {
            let redeemed = |process: &Process| process.tickets.lock().redeemed.len() as f64;
            let all: f64 = bench.processes.iter().map(redeemed).sum();
            1.0 - redeemed(&bench.processes[0]) / all.max(1.0)
        }
    };
    json!({
        "way": way.name(),
        "claims": total.granted.summary()["count"],
        "share_of_claims_still_known_after_one_process_died": known,
    })
}

/// Runs the measurement.
pub async fn run() -> Value {
    let mut runs = Vec::new();
    for rate in RATES {
        for flush_period_ms in FLUSH_PERIODS_MS {
            runs.push(measure(Way::GroupCommit { flush_period_ms }, rate).await);
        }
        runs.push(measure(Way::SwapEach, rate).await);
        runs.push(measure(Way::Tickets, rate).await);
    }
    let ways = [Way::GroupCommit { flush_period_ms: 150 }, Way::SwapEach, Way::Tickets];
    let mut outages = Vec::new();
    let mut lost = Vec::new();
    for way in ways {
        outages.push(outage(way).await);
        lost.push(process_lost(way).await);
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
