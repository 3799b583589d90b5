//! The process's metrics, in the Prometheus text format.

use base::prelude::*;
use http::StatusCode;
use pass::admission::Shares;
use pass::arrivals::Flow;
use pass::prelude::*;
use prometheus::Encoder;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency histogram's buckets, in seconds.
const TIME_BUCKETS_S: [f64; 10] = [0.01, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.8, 2.0, 8.0];

/// Upper bounds of the buckets of the event loop's delay, in seconds.
const DELAY_BUCKETS_S: [f64; 8] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0];

/// Upper bounds of the buckets of the time until a configuration takes effect, in seconds.
const CONFIG_DELAY_BUCKETS_S: [f64; 8] = [0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0];

/// Upper bounds of the buckets of the ratio of observed to forecast times.
const RATIO_BUCKETS: [f64; 8] = [0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0];

/// Returns what logs and metrics call an attempt beyond the first, by what pays for it.
pub(crate) fn retry_state(source: Option<RetrySource>) -> &'static str {
    match source {
        Some(RetrySource::Requests) => "earned",
        Some(RetrySource::Grant) => "granted",
        None => "denied",
    }
}

/// The metrics of one process. Clones share the same values.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Responses by status.
    responses: IntCounterVec,
    /// Seconds until the head of a response, by status class.
    response_seconds: HistogramVec,
    /// Observed time to the first event of a stream, relative to its forecast.
    first_event_ratio: Histogram,
    /// Attempts during which their server fell silent, by what made it count as silent.
    silences: IntCounterVec,
    /// Attempts beyond the first of their request, by service and by what paid for them.
    retries: IntCounterVec,
    /// Responses that were aborted after a part of them had been sent, by cause.
    broken_off: IntCounterVec,
    /// Callers' connections that ended while a request on them had no complete response, by cause.
    lost_connections: IntCounterVec,
    /// How late the process runs its tasks.
    pub loop_delay_seconds: Histogram,
    /// Most seconds from the writing of a configuration until it took effect.
    pub config_delay_seconds: Histogram,
    /// Milliseconds since the rows last matched the store.
    pub rows_age_ms: IntGauge,
    /// Bytes of the responses to other processes' exchanges.
    pub exchange_bytes: IntCounter,
    /// Exchanges whose response held the whole row cache.
    pub whole_exchanges: IntCounter,
    /// Exchanges with a hub that failed.
    pub failed_exchanges: IntCounter,
    /// Requests of this process during which their backend server ended.
    pub server_ends: IntCounter,
    /// Responses in which a server asked for a pause.
    pub server_pauses: IntCounter,
    /// Attempts that were handed over to another process.
    pub handed_over: IntCounter,
    /// Requests that another process handed over to this one.
    pub taken_over: IntCounter,
    /// Whether this process can't reach any backend server.
    pub cut_off: IntGauge,
    /// Models that are overloaded, at the owner of the groups; 0 at other processes.
    pub overloaded_models: IntGauge,
    /// The admitted share of the requests of a flow, by priority.
    admitted_share: GaugeVec,
    /// Requests that wait for an endpoint.
    pub waiting: IntGauge,
    /// Failure domains that operators evacuate.
    pub evacuating_domains: IntGauge,
    /// Requests of this process in progress in these domains.
    pub requests_in_evacuated_domains: IntGauge,
    /// Processes that are alive, as far as this one knows.
    pub processes: IntGauge,
    /// Backend servers with a current report.
    pub servers: IntGauge,
    /// Backend servers in warm-up.
    pub servers_in_warm_up: IntGauge,
    /// The version of the current configuration.
    pub version: IntGauge,
    /// Whether the store responds.
    pub store_up: IntGauge,
    /// Log lines that were dropped.
    pub dropped_lines: IntGauge,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Callers' requests whose responses haven't been sent.
    requests_in_flight: IntGauge,
    /// Tasks of the runtime.
    pub tasks: IntGauge,
    /// Open descriptors.
    pub open_descriptors: IntGauge,
    /// How many descriptors the process may have.
    pub descriptor_limit: IntGauge,
    /// Resident memory.
    pub resident_bytes: IntGauge,
    /// The most resident memory so far.
    pub peak_resident_bytes: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

impl Metrics {
    /// Registers all metrics, with their values at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let responses = Opts::new("samphire_answers_total", "Answers by status.");
        let responses = IntCounterVec::new(responses, &["status"]).expect("the name is valid");
        let help = "Seconds until the head of an answer.";
        let seconds =
            HistogramOpts::new("samphire_answer_seconds", help).buckets(TIME_BUCKETS_S.to_vec());
        let response_seconds = HistogramVec::new(seconds, &["class"]).expect("the name is valid");
        let silences = Opts::new("samphire_silences_total", "Attempts whose server fell silent.");
        let silences = IntCounterVec::new(silences, &["because"]).expect("the name is valid");
        let help = "Attempts beyond the first, by what the retry budget paid them with.";
        let retries = Opts::new("samphire_retries_total", help);
        let retries =
            IntCounterVec::new(retries, &["service", "state"]).expect("the name is valid");
        let broken_off = Opts::new("samphire_broken_off_total", "Answers that were broken off.");
        let broken_off = IntCounterVec::new(broken_off, &["cause"]).expect("the name is valid");
        let lost = Opts::new(
            "samphire_lost_connections_total",
            "Connections that ended while a request on them had no complete answer.",
        );
        let lost_connections = IntCounterVec::new(lost, &["cause"]).expect("the name is valid");
        let help = "Seconds by which the process ran its tasks late.";
        let delay = HistogramOpts::new("samphire_loop_delay_seconds", help)
            .buckets(DELAY_BUCKETS_S.to_vec());
        let loop_delay_seconds = Histogram::with_opts(delay).expect("the name is valid");
        let help = "Most seconds from the writing of a configuration until it took effect.";
        let delay = HistogramOpts::new("samphire_config_delay_seconds", help)
            .buckets(CONFIG_DELAY_BUCKETS_S.to_vec());
        let config_delay_seconds = Histogram::with_opts(delay).expect("the name is valid");
        let help = "Time to a stream's first event, relative to its forecast.";
        let ratio = HistogramOpts::new("samphire_first_event_forecast_ratio", help)
            .buckets(RATIO_BUCKETS.to_vec());
        let first_event_ratio = Histogram::with_opts(ratio).expect("the name is valid");
        let help = "The share of the arriving requests that is admitted.";
        let admitted = Opts::new("samphire_admitted_share", help);
        let admitted_share =
            GaugeVec::new(admitted, &["service", "model", "priority"]).expect("the name is valid");
        for collector in [
            Box::new(responses.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(response_seconds.clone()),
            Box::new(admitted_share.clone()),
            Box::new(silences.clone()),
            Box::new(retries.clone()),
            Box::new(broken_off.clone()),
            Box::new(lost_connections.clone()),
            Box::new(first_event_ratio.clone()),
            Box::new(loop_delay_seconds.clone()),
            Box::new(config_delay_seconds.clone()),
        ] {
            registry.register(collector).expect("each name is registered once");
        }
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            registry.register(Box::new(gauge.clone())).expect("each name is registered once");
            gauge
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the name is valid");
            registry.register(Box::new(counter.clone())).expect("each name is registered once");
            counter
        };
        Metrics {
            exchange_bytes: counter(
                "samphire_exchange_bytes_total",
                "Bytes of the responses to exchanges.",
            ),
            whole_exchanges: counter(
                "samphire_whole_exchanges_total",
                "Exchanges answered with the whole row cache.",
            ),
            failed_exchanges: counter(
                "samphire_failed_exchanges_total",
                "Exchanges with a hub that failed.",
            ),
            server_ends: counter(
                "samphire_server_ends_total",
                "Requests during which their backend server ended.",
            ),
            server_pauses: counter(
                "samphire_server_pauses_total",
                "Responses in which a server asked for a pause.",
            ),
            handed_over: counter(
                "samphire_handed_over_total",
                "Attempts that were handed over to another process.",
            ),
            taken_over: counter(
                "samphire_taken_over_total",
                "Requests that another process handed over to this one.",
            ),
            cut_off: gauge("samphire_cut_off", "Whether no backend server can be reached."),
            overloaded_models: gauge(
                "samphire_overloaded_models",
                "Models whose groups can't take the requests of all callers.",
            ),
            responses,
            response_seconds,
            first_event_ratio,
            silences,
            retries,
            broken_off,
            lost_connections,
            loop_delay_seconds,
            config_delay_seconds,
            rows_age_ms: gauge(
                "samphire_rows_age_ms",
                "Milliseconds since the rows last matched the store.",
            ),
            admitted_share,
            waiting: gauge("samphire_waiting_requests", "Requests that wait for a place."),
            evacuating_domains: gauge(
                "samphire_evacuating_domains",
                "Failure domains that are being evacuated.",
            ),
            requests_in_evacuated_domains: gauge(
                "samphire_requests_in_evacuated_domains",
                "Requests in progress in failure domains that are being evacuated.",
            ),
            processes: gauge("samphire_known_processes", "Processes that are alive."),
            servers: gauge("samphire_known_servers", "Backend servers that report."),
            servers_in_warm_up: gauge("samphire_servers_in_warm_up", "Backend servers in warm-up."),
            version: gauge("samphire_config_version", "The configuration in force."),
            store_up: gauge("samphire_store_up", "Whether the key-value service answers."),
            dropped_lines: gauge("samphire_dropped_log_lines", "Log lines that were dropped."),
            caller_connections: gauge(
                "samphire_caller_connections",
                "Open connections of callers.",
            ),
            requests_in_flight: gauge(
                "samphire_requests_in_flight",
                "Requests whose answers haven't been sent.",
            ),
            tasks: gauge("samphire_tasks", "Tasks of the runtime."),
            open_descriptors: gauge("samphire_open_descriptors", "Open descriptors."),
            descriptor_limit: gauge(
                "samphire_descriptor_limit",
                "Descriptors that the process may have.",
            ),
            resident_bytes: gauge("samphire_resident_bytes", "Resident memory in bytes."),
            peak_resident_bytes: gauge(
                "samphire_peak_resident_bytes",
                "The most resident memory so far, in bytes.",
            ),
            registry,
        }
    }

    /// Counts a response; `took` is the time until its head.
    pub fn record_response(&self, status: StatusCode, took: Duration) {
        self.responses.with_label_values(&[status.as_str()]).inc();
        let class = match status.as_u16() / 100 {
            2 => "success",
            5 => "failure",
            _ => "other",
        };
        self.response_seconds.with_label_values(&[class]).observe(took.as_secs_f64());
    }

    /// Records how long a stream's first event took, beside its forecast.
    pub fn record_first_event(&self, expected: Duration, took: Duration) {
        if !expected.is_zero() {
            self.first_event_ratio.observe(took.as_secs_f64() / expected.as_secs_f64());
        }
    }

    /// Counts an attempt during which its server fell silent.
    pub fn record_silence(&self, because: &str) {
        self.silences.with_label_values(&[because]).inc();
    }

    /// Counts an attempt beyond the first of its request, which was denied if nothing pays for it.
    pub fn record_retry(&self, service: &str, source: Option<RetrySource>) {
        self.retries.with_label_values(&[service, retry_state(source)]).inc();
    }

    /// Counts a response that was aborted after a part of it had been sent.
    pub fn record_broken_off(&self, cause: &str) {
        self.broken_off.with_label_values(&[cause]).inc();
    }

    /// Sets the number of callers' requests whose responses haven't been sent.
    pub fn set_requests_in_flight(&self, count: usize) {
        self.requests_in_flight.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a caller's connection that ended while a request on it had no complete response.
    pub fn record_lost_connection(&self, cause: &str) {
        self.lost_connections.with_label_values(&[cause]).inc();
    }

    /// Sets the admitted shares of all flows, by priority; flows that are not listed have none.
    pub fn set_admitted_shares<'a>(&self, shares: impl Iterator<Item = (&'a Flow, &'a Shares)>) {
        self.admitted_share.reset();
        for ((service, model), shares) in shares {
            let model = model.as_deref().unwrap_or_default();
            for (priority, share) in shares.iter().enumerate() {
                let labels = [service, model, &priority.to_string()];
                self.admitted_share.with_label_values(&labels).set(share);
            }
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::error!("could not encode the metrics: {error}");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}
