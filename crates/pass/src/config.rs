//! The configuration by operators: routes, services, workspaces, limits.

use base::prelude::*;
use form::prelude::*;

use crate::warm_up::WarmUp;

/// Longest time that callers may be kept waiting, and longest target.
const MAX_ROUTE_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Largest number of backend servers that one request may be sent to.
const MAX_ATTEMPTS: u32 = 64;

/// Name of a route.
pub type RouteId = Box<str>;

/// How often a request of a route may be executed.
#[data]
#[derive(Copy)]
pub enum ExecutionPolicy {
    /// Any number of times.
    Idempotent,
    /// At most once for each request of a caller.
    AtMostOnce,
    /// At most once, but a broken stream may be resumed on another backend server after its last
    /// complete event.
    Resumable,
}

/// A service that a route forwards to, and its weight.
#[data]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight relative to the route's other targets.
    pub weight: u32,
}

/// A route: which requests are forwarded to which services, and how.
#[data]
pub struct Route {
    /// Name of the route.
    pub name: RouteId,
    /// The host of its requests.
    pub host: Box<str>,
    /// The prefix of the path, with a slash at both ends.
    pub prefix: Box<str>,
    /// How often a request may be executed.
    pub execution_policy: ExecutionPolicy,
    /// Whether responses are streams of events.
    pub is_streaming: bool,
    /// Maximum time that a caller is kept waiting.
    pub timeout: Duration,
    /// Target for the time to the response or, for a stream, to its first event.
    pub latency_target: Duration,
    /// Target for the longest gap between two events of a stream.
    pub event_gap_target: Option<Duration>,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// The services that requests are forwarded to.
    pub targets: Vec<Target>,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

/// A service of backend servers.
#[data]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceId,
    /// Maximum number of connections that a backend server accepts from all clients together.
    pub max_connections: usize,
    /// The engines, if the service serves models.
    pub engine: Option<EngineSpec>,
    /// How its servers warm up, if they need it.
    pub warm_up: Option<WarmUp>,
}

/// Limits on what callers may send.
#[data]
pub struct Limits {
    /// Maximum size of a request's headers in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the start of a connection until its first headers are complete.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace, and the API keys that identify its callers.
#[data]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Its priority, which overrides that of a route.
    pub priority: Option<u8>,
    /// Its API keys.
    pub keys: Vec<Box<str>>,
}

/// The complete configuration at one version.
#[data]
#[derive(Default)]
pub struct RoutingConfig {
    /// The version; it increases with each change.
    pub version: Revision,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// The workspaces; `None` if no request needs an API key.
    pub workspaces: Option<Vec<Workspace>>,
}

impl Route {
    /// Brings each figure into its range, and reports those that were out of it.
    fn limit_figures(&mut self, path: &str, findings: &mut Findings) {
        let times = [
            ("timeout", Some(&mut self.timeout)),
            ("latency_target", Some(&mut self.latency_target)),
            ("event_gap_target", self.event_gap_target.as_mut()),
        ];
        for (name, time) in times {
            let Some(time) = time.filter(|time| **time > MAX_ROUTE_TIME) else { continue };
            findings.add(
                format!("{path}.{name}"),
                format!("found {time:?}; allowed is {MAX_ROUTE_TIME:?}"),
            );
            *time = MAX_ROUTE_TIME;
        }
        let attempts = self.max_attempts;
        findings.check(
            (1..=MAX_ATTEMPTS).contains(&attempts),
            &format!("{path}.max_attempts"),
            || format!("found {attempts}; allowed is 1 to {MAX_ATTEMPTS}"),
        );
        self.max_attempts = attempts.clamp(1, MAX_ATTEMPTS);
    }
}

impl RoutingConfig {
    /// Returns the configuration with each figure in its range, and every problem that it has or had, with its
    /// path.
    pub fn checked(mut self) -> (Self, Findings) {
        let mut findings = Findings::default();
        for (i, route) in self.routes.iter_mut().enumerate() {
            route.limit_figures(&format!("$.routes[{i}]"), &mut findings);
        }
        for (i, service) in self.services.iter_mut().enumerate() {
            let path = format!("$.services[{i}].engine");
            let Some(engine) = &mut service.engine else { continue };
            engine.limit_figures(&path, &mut findings);
        }
        findings.merge(self.verify());
        (self, findings)
    }

    /// Returns every problem with the routes of the configuration, with its path.
    pub fn verify(&self) -> Findings {
        let mut findings = Findings::default();
        for (i, route) in self.routes.iter().enumerate() {
            let path = format!("$.routes[{i}]");
            self.verify_route(route, &path, &mut findings);
        }
        findings
    }

    fn verify_route(&self, route: &Route, path: &str, findings: &mut Findings) {
        let has_slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
        findings.check(has_slashes, &format!("{path}.prefix"), || {
            format!("found {:?}; a prefix begins and ends with a slash", route.prefix)
        });
        findings.check(route.max_attempts > 0, &format!("{path}.max_attempts"), || {
            "found 0; at least one attempt is needed".to_owned()
        });
        findings.check(!route.targets.is_empty(), &format!("{path}.targets"), || {
            "found none; a route needs a service".to_owned()
        });
        for (i, target) in route.targets.iter().enumerate() {
            let known = self.services.iter().any(|service| service.name == target.service);
            findings.check(known, &format!("{path}.targets[{i}]"), || {
                format!("service {:?} is not declared", target.service)
            });
        }
    }
}
