//! Validates a whole catalog: each resource by itself, the references between resources, and the
//! values that must be unique in the catalog.
//!
//! All problems are found in one pass over the tables. Names are resolved in the tables themselves,
//! so there is no separate index.

use std::collections::BTreeMap;
use std::fmt;

use base::prelude::*;

use crate::catalog::Catalog;
use crate::kind::ALL_KINDS;
use crate::resource::*;
use crate::rules::check_name;
use crate::rules::check_resource;

/// A problem of one resource in a catalog.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Issue {
    /// The kind of the resource.
    pub kind: Kind,
    /// Its name.
    pub name: Box<str>,
    /// The path below the resource: `.name`, or `.spec` and what follows.
    pub path: Box<str>,
    /// What was found there, and what is allowed.
    pub problem: Box<str>,
}

impl fmt::Display for Issue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}{}: {}", self.kind, self.name, self.path, self.problem)
    }
}

/// Validates a whole catalog.
///
/// # Errors
///
/// All problems; the place of a finding has the form `kind/name.spec.path`.
pub fn verify(catalog: &Catalog) -> Result<(), Findings> {
    let mut findings = Findings::default();
    for issue in issues(catalog) {
        findings.add(format!("{}/{}{}", issue.kind, issue.name, issue.path), issue.problem);
    }
    findings.into_result(())
}

/// Returns all problems of a catalog: those of single resources by kind and name, then those of
/// references, then those of uniqueness.
pub fn issues(catalog: &Catalog) -> Vec<Issue> {
    let mut list = Vec::new();
    for kind in ALL_KINDS {
        for entry in catalog.list(kind) {
            let mut findings = Findings::default();
            check_name(&entry.name, ".name", &mut findings);
            check_resource(&entry.resource, ".spec", &mut findings);
            list.extend(findings.iter().map(|finding| Issue {
                kind,
                name: entry.name.clone(),
                path: finding.place.clone(),
                problem: finding.problem.clone(),
            }));
        }
    }
    let mut check = Validator { catalog, list };
    check.references();
    check.uniqueness();
    check.list
}

/// Returns the resources that refer to the resource `name` of `kind`.
pub fn referrers(catalog: &Catalog, kind: Kind, name: &str) -> Vec<(Kind, Box<str>)> {
    let mut list: Vec<(Kind, Box<str>)> = Vec::new();
    for reference in references(catalog) {
        let user = (reference.from, reference.name.into());
        if reference.to == kind && reference.target == name && !list.contains(&user) {
            list.push(user);
        }
    }
    list
}

/// A reference from one resource to another.
struct Reference<'a> {
    from: Kind,
    name: &'a str,
    path: String,
    to: Kind,
    target: &'a str,
    /// The model that the referenced version or adapter must belong to.
    of_model: Option<&'a str>,
}

fn references(catalog: &Catalog) -> Vec<Reference<'_>> {
    let mut list = Vec::new();
    for (name, version) in catalog.versions.iter() {
        let path = ".spec.model".to_owned();
        push(&mut list, (Kind::Version, name), path, (Kind::Model, &version.model), None);
    }
    for (name, adapter) in catalog.adapters.iter() {
        let path = ".spec.model".to_owned();
        push(&mut list, (Kind::Adapter, name), path, (Kind::Model, &adapter.model), None);
    }
    for (name, workspace) in catalog.workspaces.iter() {
        workspace_references(name, workspace, &mut list);
    }
    for (name, replica) in catalog.replicas.iter() {
        replica_references(name, replica, &mut list);
    }
    list
}

fn push<'a>(
    list: &mut Vec<Reference<'a>>,
    (from, name): (Kind, &'a str),
    path: String,
    (to, target): (Kind, &'a str),
    of_model: Option<&'a str>,
) {
    list.push(Reference { from, name, path, to, target, of_model });
}

fn workspace_references<'a>(
    name: &'a str,
    workspace: &'a Workspace,
    list: &mut Vec<Reference<'a>>,
) {
    let from = (Kind::Workspace, name);
    push(list, from, ".spec.brand".to_owned(), (Kind::Brand, &workspace.brand), None);
    for (i, access) in workspace.models.iter().enumerate() {
        let path = format!(".spec.models[{i}]");
        let model = Some(&*access.model);
        push(list, from, format!("{path}.model"), (Kind::Model, &access.model), None);
        push(list, from, format!("{path}.version"), (Kind::Version, &access.version), model);
        if let Some(adapter) = &access.adapter {
            push(list, from, format!("{path}.adapter"), (Kind::Adapter, adapter), model);
        }
    }
    for (i, service) in workspace.services.iter().enumerate() {
        push(list, from, format!(".spec.services[{i}]"), (Kind::Service, service), None);
    }
    if let Some(limits) = &workspace.limits {
        push(list, from, ".spec.limits".to_owned(), (Kind::Limits, limits), None);
    }
}

fn replica_references<'a>(name: &'a str, replica: &'a Replica, list: &mut Vec<Reference<'a>>) {
    let from = (Kind::Replica, name);
    let model = Some(&*replica.model);
    push(list, from, ".spec.model".to_owned(), (Kind::Model, &replica.model), None);
    push(list, from, ".spec.version".to_owned(), (Kind::Version, &replica.version), model);
    for (i, adapter) in replica.adapters.iter().enumerate() {
        push(list, from, format!(".spec.adapters[{i}]"), (Kind::Adapter, adapter), model);
    }
}

struct Validator<'a> {
    catalog: &'a Catalog,
    list: Vec<Issue>,
}

impl Validator<'_> {
    fn add(&mut self, kind: Kind, name: &str, path: String, problem: String) {
        let path = path.into();
        self.list.push(Issue { kind, name: name.into(), path, problem: problem.into() });
    }

    fn references(&mut self) {
        for reference in references(self.catalog) {
            let Reference { from, name, path, to, target, of_model } = reference;
            if !self.catalog.contains(to, target) {
                self.add(from, name, path, format!("{to} `{target}` does not exist"));
                continue;
            }
            let model = self.model_of(to, target);
            if let (Some(model), Some(required)) = (model, of_model)
                && model != required
            {
                let problem = format!("{to} `{target}` is of model `{model}`, not `{required}`");
                self.add(from, name, path, problem);
            }
        }
    }

    fn model_of(&self, kind: Kind, name: &str) -> Option<&str> {
        match kind {
            Kind::Version => self.catalog.versions.get(name).map(|version| &*version.model),
            Kind::Adapter => self.catalog.adapters.get(name).map(|adapter| &*adapter.model),
            _ => None,
        }
    }

    fn uniqueness(&mut self) {
        let mut keys: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, workspace) in self.catalog.workspaces.iter() {
            for (i, hash) in workspace.key_hashes.iter().enumerate() {
                let other = *keys.entry(hash).or_insert(name);
                if other != name {
                    let path = format!(".spec.key_hashes[{i}]");
                    let problem = format!("workspace `{other}` has the same key hash");
                    self.add(Kind::Workspace, name, path, problem);
                }
            }
        }
        let mut addresses = BTreeMap::new();
        for (name, server) in self.catalog.backend_servers.iter() {
            let other = *addresses.entry(server.address).or_insert(name);
            if other != name {
                let path = ".spec.address".to_owned();
                let problem = format!("backend_server `{other}` has the same address");
                self.add(Kind::BackendServer, name, path, problem);
            }
        }
    }
}
