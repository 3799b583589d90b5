//! The process's metrics, in the form that Prometheus reads.

use base::prelude::*;
use http::StatusCode;
use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Buckets of times, in seconds.
const TIME_BUCKETS_S: [f64; 10] = [0.01, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.8, 2.0, 8.0];

/// The metrics of one process. Clones count into the same metrics.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Answers by status.
    answers: IntCounterVec,
    /// Seconds until the head of an answer, by status class.
    answer_seconds: HistogramVec,
    /// Requests that wait for a place.
    pub waiting: IntGauge,
    /// Groups and servers that take requests.
    pub servers: IntGauge,
    /// The version of the configuration in force.
    pub version: IntGauge,
    /// Whether the store answers.
    pub store_up: IntGauge,
    /// Log lines that were dropped.
    pub dropped_lines: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

impl Metrics {
    /// Makes all metrics with their values at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let answers = Opts::new("samphire_answers_total", "Answers by status.");
        let answers = IntCounterVec::new(answers, &["status"]).expect("the name is valid");
        let help = "Seconds until the head of an answer.";
        let seconds =
            HistogramOpts::new("samphire_answer_seconds", help).buckets(TIME_BUCKETS_S.to_vec());
        let answer_seconds = HistogramVec::new(seconds, &["class"]).expect("the name is valid");
        for collector in [
            Box::new(answers.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(answer_seconds.clone()),
        ] {
            registry.register(collector).expect("each name is registered once");
        }
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            registry.register(Box::new(gauge.clone())).expect("each name is registered once");
            gauge
        };
        Metrics {
            answers,
            answer_seconds,
            waiting: gauge("samphire_waiting_requests", "Requests that wait for a place."),
            servers: gauge("samphire_known_servers", "Backend servers that report."),
            version: gauge("samphire_config_version", "The configuration in force."),
            store_up: gauge("samphire_store_up", "Whether the key-value service answers."),
            dropped_lines: gauge("samphire_dropped_log_lines", "Log lines that were dropped."),
            registry,
        }
    }

    /// Counts an answer.
    pub fn record_response(&self, status: StatusCode, took: Duration) {
        self.answers.with_label_values(&[status.as_str()]).inc();
        let class = match status.as_u16() / 100 {
            2 => "success",
            5 => "failure",
            _ => "other",
        };
        self.answer_seconds.with_label_values(&[class]).observe(took.as_secs_f64());
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::error!("the metrics can't be written: {error}");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}
