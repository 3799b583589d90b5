//! The table that finds a request's route, service and workspace.
//!
//! Routes are held by host and prefix, so that a look-up costs the depth of the path and not the
//! number of routes.

use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::Limits;
use crate::config::Route;
use crate::config::RoutingConfig;
use crate::config::ServiceSpec;

/// Rank of a request when neither its workspace nor its route gives one.
const LOWEST_PRIORITY: u8 = 9;

/// The workspace of a key.
#[data]
pub struct Caller {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its rank, if it has one of its own.
    pub priority: Option<u8>,
}

/// Why a request has no route.
#[key]
pub enum RouteError {
    /// No route fits its host and path.
    Unknown,
    /// Its key is missing or belongs to no workspace.
    Unauthorized,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that the split of the route gives.
    pub service: Arc<ServiceSpec>,
    /// Its workspace, if it has a key.
    pub workspace: Option<WorkspaceId>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
}

/// All routes of one version.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: Revision,
    routes_by_host: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>>,
    services: HashMap<ServiceId, Arc<ServiceSpec>>,
    /// Callers by key; none if no request needs a key.
    workspaces_by_key: Option<HashMap<Box<str>, Caller>>,
    limits: Limits,
}

impl From<RoutingConfig> for RouteTable {
    fn from(declared: RoutingConfig) -> Self {
        let mut table = RouteTable {
            version: declared.version,
            limits: declared.limits,
            ..RouteTable::default()
        };
        for service in declared.services {
            table.services.insert(service.name.clone(), Arc::new(service));
        }
        for route in declared.routes {
            let host = route.host.to_ascii_lowercase().into();
            let of_host = table.routes_by_host.entry(host).or_default();
            of_host.insert(route.prefix.clone(), Arc::new(route));
        }
        table.workspaces_by_key = declared.workspaces.map(|workspaces| {
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
    /// Returns the version; 0 before any was read.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Returns the bounds of what callers may send.
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

    /// Finds where a request goes; `draw` is stable for the request and splits weighted routes.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        draw: &[u8],
    ) -> Result<RouteMatch, RouteError> {
        let route = self.route(host, path).ok_or(RouteError::Unknown)?;
        let caller = self.caller(route, key)?;
        let service = self.target(route, draw).ok_or(RouteError::Unknown)?;
        let own = caller.and_then(|caller| caller.priority);
        Ok(RouteMatch {
            route: route.clone(),
            service: service.clone(),
            workspace: caller.map(|caller| caller.workspace.clone()),
            priority: own.unwrap_or(route.priority).min(LOWEST_PRIORITY),
        })
    }

    /// Returns the route with the longest prefix that begins `path`.
    fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host).to_ascii_lowercase();
        let of_host = self.routes_by_host.get(host.as_str())?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = of_host.get(&path[..=slash]) {
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
