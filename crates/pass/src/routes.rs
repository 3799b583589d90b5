//! The table that finds the route, service and workspace of a request.
//!
//! Routes are indexed by host and prefix, so that a lookup takes time proportional to the depth of
//! the path, independently of the number of routes.

use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::Limits;
use crate::config::Route;
use crate::config::RoutingConfig;
use crate::config::ServiceSpec;

/// Lowest priority; larger numbers are clamped to it.
const LOWEST_PRIORITY: u8 = 9;

/// The workspace that an API key belongs to.
#[data]
pub struct Caller {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its priority, if it has one of its own.
    pub priority: Option<u8>,
}

/// Why a request can't be routed.
#[key]
pub enum RouteError {
    /// No route matches its host and path.
    Unknown,
    /// Its API key is missing or belongs to no workspace.
    Unauthorized,
    /// Its route exists, but the service that it leads to isn't declared, or its declaration can't be read.
    NoService,
}

/// Where a request is routed.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The matching route.
    pub route: Arc<Route>,
    /// The service that was picked among the route's weighted targets.
    pub service: Arc<ServiceSpec>,
    /// Its workspace, if it has an API key.
    pub workspace: Option<WorkspaceId>,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
}

/// All routes of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: Revision,
    routes_by_host: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>>,
    services: HashMap<ServiceId, Arc<ServiceSpec>>,
    /// Callers by API key; `None` if no request needs a key.
    workspaces_by_key: Option<HashMap<Box<str>, Caller>>,
    limits: Limits,
}

impl From<RoutingConfig> for RouteTable {
    fn from(config: RoutingConfig) -> Self {
        let mut table =
            RouteTable { version: config.version, limits: config.limits, ..RouteTable::default() };
        for service in config.services {
            table.services.insert(service.name.clone(), Arc::new(service));
        }
        for route in config.routes {
            let host = route.host.to_ascii_lowercase().into();
            let host_routes = table.routes_by_host.entry(host).or_default();
            host_routes.insert(route.prefix.clone(), Arc::new(route));
        }
        table.workspaces_by_key = config.workspaces.map(|workspaces| {
            let callers = workspaces.into_iter().flat_map(|workspace| {
                let caller = Caller { workspace: workspace.name, priority: workspace.priority };
                workspace.keys.into_iter().map(move |key| (key, caller.clone()))
            });
            callers.collect()
        });
        table
    }
}

impl RouteTable {
    /// Returns the version; 0 before any configuration was read.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// Returns the service `name`.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Finds where a request is routed; `draw` must be stable for the request, since its hash picks
    /// one of the weighted targets.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        draw: &[u8],
    ) -> Result<RouteMatch, RouteError> {
        let route = self.route(host, path).ok_or(RouteError::Unknown)?;
        let caller = self.caller(route, key)?;
        let service = self.target(route, draw).ok_or(RouteError::NoService)?;
        let own_priority = caller.and_then(|caller| caller.priority);
        Ok(RouteMatch {
            route: route.clone(),
            service: service.clone(),
            workspace: caller.map(|caller| caller.workspace.clone()),
            priority: own_priority.unwrap_or(route.priority).min(LOWEST_PRIORITY),
        })
    }

    /// Returns the route with the longest prefix of `path`.
    fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host).to_ascii_lowercase();
        let host_routes = self.routes_by_host.get(host.as_str())?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = host_routes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    fn caller(&self, route: &Route, key: Option<&str>) -> Result<Option<&Caller>, RouteError> {
        let Some(callers) = &self.workspaces_by_key else { return Ok(None) };
        let caller = key.and_then(|key| callers.get(key));
        if caller.is_none() && !route.public {
            return Err(RouteError::Unauthorized);
        }
        Ok(caller)
    }

    fn target(&self, route: &Route, draw: &[u8]) -> Option<&Arc<ServiceSpec>> {
        let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut at = xxh3_64(draw).checked_rem(total).unwrap_or(0);
        for target in &route.targets {
            let weight = u64::from(target.weight);
            if at < weight || total == 0 {
                return self.services.get(&target.service);
            }
            at -= weight;
        }
        None
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
