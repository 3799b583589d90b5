//! The daemon's settings, declared once with their defaults and bounds.
//!
//! `TryFrom<&str>` parses the JSON text and validates it as a whole: it returns either valid
//! settings or all findings with their JSON paths. The `Serialize` form contains the effective
//! settings with all defaults and without credentials, and is itself valid input except for the
//! credentials.

use std::net::SocketAddr;

use base::prelude::*;
use once::settings::OnceSettings;
use serde::Serialize;
use serde::Serializer;
use serde_json::Value;

use crate::claims;
use crate::fields::Fields;
use crate::secret::Secret;

/// Minimum length of a credential in bytes.
pub const MIN_SECRET_BYTES: usize = 16;
/// Maximum of a duration, in milliseconds.
const MAX_MILLIS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum of a size, in bytes.
const MAX_BYTES: u64 = 1 << 30;

/// The daemon's settings.
#[data]
#[derive(Serialize)]
pub struct Settings {
    /// Name of this process, unique in the deployment.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Its region.
    pub region: Box<str>,
    /// The addresses at which it listens.
    pub listen: Listen,
    /// The platform's key-value service.
    pub kv: Kv,
    /// The platform's list of VMs.
    pub vm_list: VmList,
    /// The other processes of the deployment.
    pub peers: Peers,
    /// Who may use the operator API.
    pub operators: Operators,
    /// Limits of the caller API.
    pub caller: Caller,
    /// How requests are forwarded.
    pub requests: Requests,
    /// How request keys are claimed.
    pub claims: OnceSettings,
    /// How replica groups are controlled.
    #[serde(rename = "keeper")]
    pub group_controller: GroupController,
    /// How the process stops.
    pub shutdown: Shutdown,
    /// What is logged.
    pub log: Log,
}

/// The addresses at which the daemon listens.
#[data]
#[derive(Serialize)]
pub struct Listen {
    /// The caller API, over HTTP.
    pub caller: SocketAddr,
    /// The operator API, over HTTP.
    pub operator: SocketAddr,
    /// Calls of peers, over gRPC.
    pub peer: SocketAddr,
    /// The membership protocol, over UDP.
    pub gossip: SocketAddr,
}

/// The platform's key-value service.
#[data]
#[derive(Serialize)]
pub struct Kv {
    /// Its endpoints, tried in turn.
    pub endpoints: Vec<SocketAddr>,
    /// The credential sent to it.
    pub token: Option<Secret>,
    /// Timeout of a call.
    #[serde(rename = "timeout_ms", serialize_with = "millis")]
    pub timeout: Duration,
    /// Maximum rate of this process's reads, per second.
    pub reads_per_second: f64,
    /// Maximum rate of this process's writes, per second.
    pub writes_per_second: f64,
}

/// The platform's list of VMs.
#[data]
#[derive(Serialize)]
pub struct VmList {
    /// Its address; `None` if the platform has no such list.
    pub address: Option<SocketAddr>,
    /// Period at which it is read.
    #[serde(rename = "period_ms", serialize_with = "millis")]
    pub period: Duration,
}

/// The other processes of the deployment.
#[data]
#[derive(Serialize)]
pub struct Peers {
    /// Gossip addresses of processes to join.
    pub seeds: Vec<SocketAddr>,
    /// The shared secrets. The first one signs messages; all are accepted in received messages.
    pub secrets: Vec<Secret>,
    /// How long this process admits requests without contact to the key-value service or any peer.
    #[serde(rename = "staleness_bound_ms", serialize_with = "millis")]
    pub staleness_bound: Duration,
}

/// Who may use the operator API.
#[data]
#[derive(Serialize)]
pub struct Operators {
    /// Tokens that permit reading.
    pub viewer_tokens: Vec<Secret>,
    /// Tokens that permit reading and writing.
    pub operator_tokens: Vec<Secret>,
}

/// Limits of the caller API.
#[data]
#[derive(Serialize)]
pub struct Caller {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the headers of a request, in bytes.
    pub max_header_bytes: usize,
    /// Time within which a connection must send its first headers.
    #[serde(rename = "header_timeout_ms", serialize_with = "millis")]
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    #[serde(rename = "idle_timeout_ms", serialize_with = "millis")]
    pub idle_timeout: Duration,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

/// How requests are forwarded to replica groups and services.
#[data]
#[derive(Serialize)]
pub struct Requests {
    /// Timeout of a connection to a backend server.
    #[serde(rename = "connect_timeout_ms", serialize_with = "millis")]
    pub connect_timeout: Duration,
    /// Time within which a backend server must admit or refuse an attempt.
    #[serde(rename = "admit_timeout_ms", serialize_with = "millis")]
    pub admit_timeout: Duration,
    /// Time that an attempt may make no progress before its first token.
    #[serde(rename = "first_token_timeout_ms", serialize_with = "millis")]
    pub first_token_timeout: Duration,
    /// Time that an attempt may make no progress after its first token.
    #[serde(rename = "progress_timeout_ms", serialize_with = "millis")]
    pub progress_timeout: Duration,
    /// Deadline of a request that does not set one.
    #[serde(rename = "default_deadline_ms", serialize_with = "millis")]
    pub default_deadline: Duration,
    /// Maximum number of requests in progress at one replica group; further ones are queued.
    pub group_slots: u32,
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Retry budget: retries as a fraction of recent requests.
    pub retry_fraction: f64,
}

/// How replica groups are probed, leased to the daemons, and loaded with weights.
#[data]
#[derive(Serialize)]
pub struct GroupController {
    /// Period at which each member is probed.
    #[serde(rename = "probe_period_ms", serialize_with = "millis")]
    pub probe_period: Duration,
    /// Timeout of a probe.
    #[serde(rename = "probe_timeout_ms", serialize_with = "millis")]
    pub probe_timeout: Duration,
    /// Validity of a routing lease, counted from the moment at which its probe was sent.
    #[serde(rename = "voucher_ttl_ms", serialize_with = "millis")]
    pub lease_ttl: Duration,
    /// Total throughput of the weight store for all engines, in bytes per second.
    pub weights_bytes_per_second: u64,
}

/// How the process stops.
#[data]
#[derive(Serialize)]
pub struct Shutdown {
    /// Maximum time to wait for open streams; `None` waits until the last one ends.
    #[serde(rename = "max_drain_ms", serialize_with = "optional_millis")]
    pub max_drain: Option<Duration>,
}

/// What is logged.
#[data]
#[derive(Serialize)]
pub struct Log {
    /// Level of all targets that are not listed in `targets`.
    pub level: LogLevel,
    /// Level by target.
    #[serde(serialize_with = "by_name")]
    pub targets: Vec<(Box<str>, LogLevel)>,
}

/// Verbosity of the log.
#[key]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// Failures that need the operator's attention.
    Error,
    /// Problems that may need the operator's attention.
    Warn,
    /// Rare events of normal operation.
    Info,
    /// Details for diagnosing problems.
    Debug,
    /// Everything.
    Trace,
}

const LOG_LEVELS: [(&str, LogLevel); 6] = [
    ("off", LogLevel::Off),
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
    ("trace", LogLevel::Trace),
];

fn millis<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u128(time.as_millis())
}

fn optional_millis<S: Serializer>(
    time: &Option<Duration>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    time.map(|time| time.as_millis()).serialize(serializer)
}

fn by_name<S: Serializer>(
    levels: &[(Box<str>, LogLevel)],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_map(levels.iter().map(|(name, level)| (name, level)))
}

impl TryFrom<&str> for Settings {
    type Error = Findings;

    fn try_from(text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let value: Value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(error) => {
                let place = format!("line {} column {}", error.line(), error.column());
                findings.add(place, error.to_string());
                return Err(findings);
            }
        };
        let mut fields = Fields::new("$", Some(&value), &mut findings);
        let settings = Settings::read(&mut fields);
        fields.finish();
        settings.check(&mut findings);
        findings.into_result(settings)
    }
}

impl Settings {
    fn read(f: &mut Fields<'_>) -> Self {
        Settings {
            node: f.text("node", None),
            failure_domain: f.text("failure_domain", None),
            region: f.text("region", Some("default")),
            listen: f.nested("listen", Listen::read),
            kv: f.nested("kv", Kv::read),
            vm_list: f.nested("vm_list", VmList::read),
            peers: f.nested("peers", Peers::read),
            operators: f.nested("operators", Operators::read),
            caller: f.nested("caller", Caller::read),
            requests: f.nested("requests", Requests::read),
            claims: f.nested("claims", claims::read),
            group_controller: f.nested("keeper", GroupController::read),
            shutdown: f.nested("shutdown", Shutdown::read),
            log: f.nested("log", Log::read),
        }
    }
}

impl Listen {
    fn read(f: &mut Fields<'_>) -> Self {
        Listen {
            caller: f.address("caller", "127.0.0.1:8080"),
            operator: f.address("operator", "127.0.0.1:8081"),
            peer: f.address("peer", "127.0.0.1:8082"),
            gossip: f.address("gossip", "127.0.0.1:8083"),
        }
    }
}

impl Kv {
    fn read(f: &mut Fields<'_>) -> Self {
        Kv {
            endpoints: f.addresses("endpoints"),
            token: f.optional_secret("token"),
            timeout: f.millis("timeout_ms", 1_000, 1..=60_000),
            reads_per_second: f.number("reads_per_second", 100.0, 0.1..=1e6),
            writes_per_second: f.number("writes_per_second", 50.0, 0.1..=1e6),
        }
    }
}

impl VmList {
    fn read(f: &mut Fields<'_>) -> Self {
        VmList {
            address: f.optional_address("address"),
            period: f.millis("period_ms", 1_000, 10..=MAX_MILLIS),
        }
    }
}

impl Peers {
    fn read(f: &mut Fields<'_>) -> Self {
        Peers {
            seeds: f.addresses("seeds"),
            secrets: f.secrets("secrets", MIN_SECRET_BYTES),
            staleness_bound: f.millis("staleness_bound_ms", 60_000, 1_000..=MAX_MILLIS),
        }
    }
}

impl Operators {
    fn read(f: &mut Fields<'_>) -> Self {
        Operators {
            viewer_tokens: f.secrets("viewer_tokens", MIN_SECRET_BYTES),
            operator_tokens: f.secrets("operator_tokens", MIN_SECRET_BYTES),
        }
    }
}

impl Caller {
    fn read(f: &mut Fields<'_>) -> Self {
        Caller {
            max_body_bytes: f.size("max_body_bytes", 4 << 20, 1..=MAX_BYTES),
            max_header_bytes: f.size("max_header_bytes", 32 << 10, 1_024..=MAX_BYTES),
            header_timeout: f.millis("header_timeout_ms", 10_000, 1..=MAX_MILLIS),
            idle_timeout: f.millis("idle_timeout_ms", 75_000, 1..=MAX_MILLIS),
            max_connections: f.size("max_connections", 8_192, 1..=1_000_000),
        }
    }
}

impl Requests {
    fn read(f: &mut Fields<'_>) -> Self {
        Requests {
            connect_timeout: f.millis("connect_timeout_ms", 500, 1..=MAX_MILLIS),
            admit_timeout: f.millis("admit_timeout_ms", 1_000, 1..=MAX_MILLIS),
            first_token_timeout: f.millis("first_token_timeout_ms", 5_000, 1..=MAX_MILLIS),
            progress_timeout: f.millis("progress_timeout_ms", 2_000, 1..=MAX_MILLIS),
            default_deadline: f.millis("default_deadline_ms", 600_000, 1..=MAX_MILLIS),
            group_slots: u32::try_from(f.integer("group_slots", 256, 1..=65_536)).unwrap_or(1),
            max_queued: f.size("max_queued", 1_024, 0..=1_000_000),
            retry_fraction: f.number("retry_fraction", 0.1, 0.0..=1.0),
        }
    }
}

impl GroupController {
    fn read(f: &mut Fields<'_>) -> Self {
        GroupController {
            probe_period: f.millis("probe_period_ms", 500, 10..=MAX_MILLIS),
            probe_timeout: f.millis("probe_timeout_ms", 400, 10..=MAX_MILLIS),
            lease_ttl: f.millis("voucher_ttl_ms", 1_900, 20..=MAX_MILLIS),
            weights_bytes_per_second: f.integer(
                "weights_bytes_per_second",
                1_000_000_000,
                1..=1 << 50,
            ),
        }
    }
}

impl Shutdown {
    fn read(f: &mut Fields<'_>) -> Self {
        Shutdown { max_drain: f.optional_millis("max_drain_ms", 1..=MAX_MILLIS) }
    }
}

impl Log {
    fn read(f: &mut Fields<'_>) -> Self {
        Log {
            level: f.choice("level", LogLevel::Info, &LOG_LEVELS),
            targets: f.choices_by_name("targets", &LOG_LEVELS),
        }
    }
}
