//! The observed state of resources, derived from the replica groups that a process knows.
//!
//! A status is never stored: each process computes it from the active catalog and its own view of
//! the groups, so it costs no write and is as fresh as that view.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::catalog::Catalog;
use crate::catalog::CatalogEntry;
use crate::kind::Resource;
use crate::resource::*;

/// What a condition is about.
#[key]
pub enum ConditionKind {
    /// The resource is part of the active catalog.
    Accepted,
    /// All declared groups of a replica serve, or a group serves each model of a workspace.
    Ready,
    /// There are enough VMs for the declared replica groups.
    Placeable,
    /// A backend server is drained: it belongs to no group and is assigned to none.
    Drained,
}

/// One condition of a resource.
#[wire]
pub struct Condition {
    /// What the condition is about.
    pub kind: ConditionKind,
    /// Whether it holds.
    pub holds: bool,
    /// The reason as one word, for programs.
    pub reason: Box<str>,
    /// The reason as a sentence, for people.
    pub message: Box<str>,
}

/// The observed state of a resource.
#[wire]
#[derive(Default)]
pub struct Status {
    /// The conditions that apply to the kind of resource.
    pub conditions: Vec<Condition>,
}

impl Status {
    /// Returns the condition of `kind`.
    pub fn condition(&self, kind: ConditionKind) -> Option<&Condition> {
        self.conditions.iter().find(|condition| condition.kind == kind)
    }

    fn add(&mut self, kind: ConditionKind, holds: bool, reason: &str, message: String) {
        let message = message.into();
        self.conditions.push(Condition { kind, holds, reason: reason.into(), message });
    }
}

/// A replica group as known to the process that computes the status.
#[data]
pub struct ObservedGroup {
    /// Its name.
    pub id: GroupId,
    /// The declared replica that it belongs to.
    pub replica: Box<str>,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Its loaded adapters.
    pub adapters: Vec<AdapterId>,
    /// Whether it may receive new requests.
    pub serving: bool,
    /// Its state in one word.
    pub state: Box<str>,
    /// The VMs of its members.
    pub vms: Vec<VmId>,
}

/// Computes the status of a resource from the active catalog and the observed groups.
pub fn status(catalog: &Catalog, entry: &CatalogEntry, groups: &[ObservedGroup]) -> Status {
    let mut status = Status::default();
    let message = format!("last changed by revision {}", entry.revision);
    status.add(ConditionKind::Accepted, true, "Accepted", message);
    match &entry.resource {
        Resource::Replica(replica) => replica_status(catalog, entry, replica, groups, &mut status),
        Resource::BackendServer(server) => server_status(entry, server, groups, &mut status),
        Resource::Workspace(workspace) => workspace_status(workspace, groups, &mut status),
        _ => {}
    }
    status
}

fn replica_status(
    catalog: &Catalog,
    entry: &CatalogEntry,
    replica: &Replica,
    groups: &[ObservedGroup],
    status: &mut Status,
) {
    let groups_of_replica: Vec<&ObservedGroup> =
        groups.iter().filter(|group| group.replica == entry.name).collect();
    let serving = groups_of_replica.iter().filter(|group| group.serving).count();
    let declared = replica.count as usize;
    let ready = serving >= declared;
    let reason = match (ready, groups_of_replica.is_empty()) {
        (true, _) => "AllServing",
        (false, true) => "NoGroups",
        (false, false) => "TooFewServing",
    };
    let not_serving: Vec<String> = groups_of_replica
        .iter()
        .filter(|group| !group.serving)
        .map(|group| format!("{} is {}", group.id, group.state))
        .collect();
    let mut message = format!("{serving} of {declared} declared groups serve");
    if !not_serving.is_empty() {
        message.push_str(&format!("; {}", not_serving.join(", ")));
    }
    status.add(ConditionKind::Ready, ready, reason, message);
    placeable(catalog, replica, status);
}

fn placeable(catalog: &Catalog, replica: &Replica, status: &mut Status) {
    let mut by_fabric: BTreeMap<&str, u32> = BTreeMap::new();
    for (_, server) in catalog.backend_servers.iter() {
        if !server.drain && (replica.fabrics.is_empty() || replica.fabrics.contains(&server.fabric))
        {
            *by_fabric.entry(&server.fabric).or_default() += 1;
        }
    }
    let capacity: u32 = by_fabric.values().map(|servers| servers / replica.vms.max(1)).sum();
    let holds = capacity >= replica.count;
    let reason = if holds { "EnoughVms" } else { "TooFewVms" };
    let message = format!(
        "the fabric domains allowed have room for {capacity} groups of {} VMs, {} are declared, not \
         counting other replicas",
        replica.vms, replica.count
    );
    status.add(ConditionKind::Placeable, holds, reason, message);
}

fn server_status(
    entry: &CatalogEntry,
    server: &BackendServer,
    groups: &[ObservedGroup],
    status: &mut Status,
) {
    let group = groups.iter().find(|group| group.vms.contains(&entry.name));
    let (holds, reason, message) = match (server.drain, group) {
        (true, None) => (true, "Empty", "it holds no group and gets none".to_owned()),
        (true, Some(group)) => (false, "InUse", format!("group {} is {}", group.id, group.state)),
        (false, None) => (false, "Free", "it holds no group".to_owned()),
        (false, Some(group)) => {
            (false, "Assigned", format!("group {} is {}", group.id, group.state))
        }
    };
    status.add(ConditionKind::Drained, holds, reason, message);
}

fn workspace_status(workspace: &Workspace, groups: &[ObservedGroup], status: &mut Status) {
    let served = |access: &ModelAccess| {
        groups.iter().any(|group| {
            let adapter = access.adapter.as_ref();
            group.serving
                && group.model == access.model
                && group.version == access.version
                && adapter.is_none_or(|adapter| group.adapters.contains(adapter))
        })
    };
    let missing: Vec<&str> = workspace
        .models
        .iter()
        .filter(|access| !served(access))
        .map(|access| &*access.alias)
        .collect();
    let holds = missing.is_empty();
    let reason = if holds { "AllServed" } else { "NotServed" };
    let message = match holds {
        true => "a group serves each of its models".to_owned(),
        false => format!("no group serves {}", missing.join(", ")),
    };
    status.add(ConditionKind::Ready, holds, reason, message);
}
