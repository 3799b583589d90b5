//! The settings of a pass-through process, with their defaults and bounds.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;
use config::fields::Fields;
use pass::budget::BudgetSettings;
use pass::warm_up::Tolerance;
use serde_json::Value;

/// Upper bound of all durations in the settings.
const MAX_MILLIS: u64 = 10 * 60 * 1_000;

/// Bytes in a megabyte.
const BYTES_PER_MEGABYTE: f64 = (1 << 20) as f64;
/// Bytes in a megabit.
const BYTES_PER_MEGABIT: f64 = 1e6 / 8.0;

/// The settings of a pass-through process.
#[data]
pub struct Settings {
    /// Name of this process, unique in the deployment.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// All failure domains, that one included.
    pub failure_domains: BTreeSet<FailureDomainId>,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the readiness endpoint.
    pub readiness: SocketAddr,
    /// The address of the metrics endpoint, if there is one.
    pub metrics: Option<SocketAddr>,
    /// The address for the other processes.
    pub peers: SocketAddr,
    /// The address of the key-value store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Whether backend servers check fencing tokens, and orders therefore carry one.
    pub fencing: bool,
    /// The fleet-wide retry budget.
    pub retries: BudgetSettings,
    /// What servers in warm-up tolerate.
    pub warm_up: Tolerance,
    /// How long a process may take to stop.
    pub stop: Duration,
    /// Processor cores available to the process; a value below 1 is a fraction of one core.
    pub cores: f64,
    /// What the link of the VM carries, in bytes a second.
    pub link_bytes_per_second: f64,
    /// Most file descriptors that the process may open, whatever the operating system allows.
    pub max_descriptors: usize,
    /// Memory that the process may hold, in bytes.
    pub memory_bytes: f64,
    /// Time from the store's acknowledgement of a configuration until it must be in force.
    pub config: Duration,
    /// The shortest lease that the store grants.
    pub shortest_lease: Duration,
    /// Time from the store's acknowledgement of an evacuation until no new request may reach the
    /// failure domain; without it, requests stop at once.
    pub evacuation: Option<Duration>,
}

impl TryFrom<&str> for Settings {
    type Error = Findings;

    fn try_from(text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let value: Value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(error) => {
                findings.add("$", error.to_string());
                return Err(findings);
            }
        };
        let settings = read(&value, &mut findings);
        findings.into_result(settings)
    }
}

fn read(value: &Value, findings: &mut Findings) -> Settings {
    let mut fields = Fields::new("$", Some(value), findings);
    let failure_domain = fields.text("failure_domain", None);
    let all_domains = fields.texts("failure_domains").into_iter();
    let settings = Settings {
        node: fields.text("node", None),
        failure_domains: all_domains.chain([failure_domain.clone()]).collect(),
        failure_domain,
        callers: fields.address("callers", "127.0.0.1:0"),
        readiness: fields.address("readiness", "127.0.0.1:0"),
        metrics: fields.optional_address("metrics"),
        peers: fields.address("peers", "127.0.0.1:0"),
        store: fields.address("store", "127.0.0.1:2379"),
        first_start: fields.flag("first_start", false),
        fencing: fields.flag("fencing", true),
        retries: fields.nested("retries", |fields| BudgetSettings {
            ratio: fields.number("ratio", 0.2, 0.0..=10.0),
            slack: fields.number("slack", 100.0, 0.0..=1e6),
            window: fields.millis("window_ms", 10_000, 100..=MAX_MILLIS),
        }),
        warm_up: fields.nested("warm_up", |fields| {
            let usual = Tolerance::default();
            Tolerance {
                over: fields.number("over", usual.over, 0.0..=100.0),
                slack: fields.number("slack", usual.slack, 0.0..=1e6),
            }
        }),
        stop: fields.millis("stop_ms", 8_000, 100..=MAX_MILLIS),
        cores: fields.number("cores", 1.0, 0.0..=4096.0),
        link_bytes_per_second: fields.number("link_mbps", 1_000.0, 0.1..=1e6) * BYTES_PER_MEGABIT,
        max_descriptors: fields.size("max_descriptors", u64::MAX, 0..=u64::MAX),
        memory_bytes: fields.number("memory_mb", 160.0, 1.0..=1e6) * BYTES_PER_MEGABYTE,
        config: fields.millis("config_ms", 2_000, 100..=MAX_MILLIS),
        evacuation: fields.optional_millis("evacuation_ms", 1..=MAX_MILLIS),
        shortest_lease: fields.millis("shortest_lease_ms", 1_000, 1..=MAX_MILLIS),
    };
    fields.finish();
    settings
}
