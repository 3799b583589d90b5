//! The process's metrics, in the form that Prometheus reads.

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Buckets of the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS_S: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.5];

/// The metrics of one process. Clones share the same metrics.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Attempts by outcome.
    pub attempts: IntCounterVec,
    /// Pieces delivered to callers.
    pub pieces: IntCounterVec,
    /// Seconds from the acceptance of a request to its first piece.
    pub first_token_seconds: HistogramVec,
    /// Refused calls by listener and reason.
    pub refusals: IntCounterVec,
    /// Answers in progress.
    pub open_streams: IntGauge,
    /// The active revision.
    pub revision: IntGauge,
    /// Open watches of the configuration in the key-value service: 0 or 1.
    pub config_watches: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics, with their values at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        Metrics {
            requests: counters(
                &registry,
                "samphire_requests_total",
                "Requests by outcome.",
                &["outcome"],
            ),
            attempts: counters(
                &registry,
                "samphire_attempts_total",
                "Attempts by how they ended.",
                &["end"],
            ),
            pieces: counters(
                &registry,
                "samphire_pieces_total",
                "Pieces delivered to callers.",
                &["workspace"],
            ),
            first_token_seconds: first_token(&registry),
            refusals: counters(
                &registry,
                "samphire_refusals_total",
                "Refused calls by listener and reason.",
                &["listener", "reason"],
            ),
            open_streams: gauge(&registry, "samphire_open_streams", "Answers in progress."),
            config_watches: gauge(
                &registry,
                "samphire_config_watches",
                "Watches of the configuration in the key-value service.",
            ),
            revision: gauge(&registry, "samphire_revision", "The revision in force."),
            registry,
        }
    }

    /// Returns the registry, for services that add metrics of their own.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .expect("metrics have a text form");
        String::from_utf8_lossy(&buf).into_owned()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

/// Registers a family of counters.
///
/// # Panics
///
/// If the name is not valid or already registered.
pub fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let family = IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid");
    registry.register(Box::new(family.clone())).expect("the name is registered once");
    family
}

/// Registers a gauge.
///
/// # Panics
///
/// If the name is not valid or already registered.
pub fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("the name is valid");
    registry.register(Box::new(gauge.clone())).expect("the name is registered once");
    gauge
}

fn first_token(registry: &Registry) -> HistogramVec {
    let opts = HistogramOpts::new("samphire_first_token_seconds", "Acceptance to the first piece.")
        .buckets(FIRST_TOKEN_BUCKETS_S.to_vec());
    let family = HistogramVec::new(opts, &["workspace"]).expect("the name is valid");
    registry.register(Box::new(family.clone())).expect("the name is registered once");
    family
}
