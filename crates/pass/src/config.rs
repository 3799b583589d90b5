//! What operators declare: routes, services, workspaces, limits.

use base::prelude::*;
use form::prelude::*;

/// Name of a route.
pub type RouteId = Box<str>;

/// How often a request of a route may run.
#[data]
#[derive(Copy)]
pub enum ExecutionPolicy {
    /// More than once.
    Idempotent,
    /// At most once for each request of a caller.
    AtMostOnce,
    /// At most once, but a broken stream may go on elsewhere after its last whole event.
    Resumable,
}

/// A service that a route sends to, and its weight.
#[data]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight against the route's other targets.
    pub weight: u32,
}

/// A route: which requests go to which services, and how.
#[data]
pub struct Route {
    /// Its name.
    pub name: RouteId,
    /// The host that requests name.
    pub host: Box<str>,
    /// The beginning of the path, with a slash at both ends.
    pub prefix: Box<str>,
    /// How often a request may run.
    pub execution_policy: ExecutionPolicy,
    /// Whether answers are streams of events.
    pub is_streaming: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or a stream's first event, that callers aim at.
    pub latency_target: Duration,
    /// Longest pause between two events of a stream that callers aim at.
    pub event_gap_target: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// Most backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service of backend servers.
#[data]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceId,
    /// Most connections that a backend server takes from all callers together.
    pub max_connections: usize,
    /// The engines, if the service serves models.
    pub engine: Option<EngineSpec>,
}

/// Bounds of what callers may send.
#[data]
pub struct Limits {
    /// Most bytes of a request's headers.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// How long a connection may take to send its first headers.
    pub header_timeout: Duration,
    /// How long a connection may sit without a request.
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

/// A workspace and the keys by which its callers are known.
#[data]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceId,
    /// Its rank, which goes before a route's.
    pub priority: Option<u8>,
    /// Its keys.
    pub keys: Vec<Box<str>>,
}

/// All that operators declare, at one version.
#[data]
#[derive(Default)]
pub struct RoutingConfig {
    /// The version; it rises with each change.
    pub version: Revision,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// Bounds of what callers may send.
    pub limits: Limits,
    /// The workspaces; none if no request needs a key.
    pub workspaces: Option<Vec<Workspace>>,
}

impl RoutingConfig {
    /// Returns every problem of the declaration, with its place.
    pub fn verify(&self) -> Findings {
        let mut findings = Findings::default();
        for (i, route) in self.routes.iter().enumerate() {
            let place = format!("$.routes[{i}]");
            self.verify_route(route, &place, &mut findings);
        }
        findings
    }

    fn verify_route(&self, route: &Route, place: &str, findings: &mut Findings) {
        let slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
        findings.check(slashes, &format!("{place}.prefix"), || {
            format!("found {:?}; a prefix begins and ends with a slash", route.prefix)
        });
        findings.check(route.max_attempts > 0, &format!("{place}.max_attempts"), || {
            "found 0; at least one attempt is needed".to_owned()
        });
        findings.check(!route.targets.is_empty(), &format!("{place}.targets"), || {
            "found none; a route needs a service".to_owned()
        });
        for (i, target) in route.targets.iter().enumerate() {
            let known = self.services.iter().any(|service| service.name == target.service);
            findings.check(known, &format!("{place}.targets[{i}]"), || {
                format!("service {:?} is not declared", target.service)
            });
        }
    }
}
