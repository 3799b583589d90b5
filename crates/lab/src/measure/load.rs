//! Shared by the measurements: arrivals, latency histograms, and a key-value stand-in on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use kv::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

use crate::kv::KvFaultUpdate;
use crate::kv::KvServer;

/// Longest latency that is recorded, in microseconds; longer ones count as this.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Open-loop arrivals of a Poisson process, as times since the start.
pub struct Arrivals {
    rng: ChaCha8Rng,
    rate: f64,
    at: Duration,
    end: Duration,
}

impl Arrivals {
    /// Returns arrivals with a mean of `rate` per second until `end`.
    pub fn new(seed: u64, rate: f64, end: Duration) -> Self {
        Arrivals { rng: ChaCha8Rng::seed_from_u64(seed), rate, at: Duration::ZERO, end }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        self.at += Duration::from_secs_f64(-draw.ln() / self.rate);
        (self.at < self.end).then_some(self.at)
    }
}

/// Waits until `at` has passed since `started`.
pub async fn sleep_until(started: Instant, at: Duration) {
    tokio::time::sleep_until((started + at).into()).await;
}

/// A histogram of latencies, in microseconds.
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3);
        Latencies(histogram.expect("the bounds are valid"))
    }
}

impl Latencies {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
        self.0.saturating_record(micros.max(1));
    }

    /// Returns the count, and percentiles in milliseconds.
    pub fn summary(&self) -> Value {
        let ms = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1_000.0;
        json!({ "count": self.0.len(), "p50_ms": ms(0.5), "p95_ms": ms(0.95), "p99_ms": ms(0.99) })
    }
}

/// A key-value stand-in that listens on loopback.
pub struct LoopbackKv {
    /// The stand-in.
    pub server: KvServer,
    /// Its address.
    pub address: SocketAddr,
}

impl LoopbackKv {
    /// Starts a stand-in that delays each answer by `delay_ms`.
    pub async fn start(delay_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port on loopback");
        let address = listener.local_addr().expect("a bound port has an address");
        let server = KvServer::default();
        server.faults.apply(KvFaultUpdate { delay_ms: Some(delay_ms), ..KvFaultUpdate::default() });
        tokio::spawn(server.clone().serve(listener));
        LoopbackKv { server, address }
    }

    /// Returns a store with a connection of its own.
    pub fn store(&self) -> Arc<EtcdStore> {
        let settings = EtcdSettings::new(vec![format!("http://{}", self.address).into()]);
        Arc::new(EtcdStore::new(settings).expect("the address is valid"))
    }
}
