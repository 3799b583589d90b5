//! The kinds of resource and their specs.

use std::net::SocketAddr;

use base::prelude::*;

/// The kinds of resource.
#[key]
pub enum Kind {
    /// A [`Model`].
    Model,
    /// A [`Version`].
    Version,
    /// An [`Adapter`].
    Adapter,
    /// A [`Brand`].
    Brand,
    /// A [`Workspace`].
    Workspace,
    /// A [`Replica`].
    Replica,
    /// A [`BackendServer`].
    BackendServer,
    /// A [`Service`].
    Service,
    /// [`Limits`].
    Limits,
}

/// A language model.
#[wire]
pub struct Model {
    /// The most tokens that one answer may have.
    pub max_output_tokens: u32,
}

/// A version of a model.
#[wire]
pub struct Version {
    /// The model.
    pub model: ModelId,
    /// Where the weight store keeps its weights.
    pub weights: Box<str>,
    /// Size of the weights in bytes, for the load schedule.
    pub weight_bytes: u64,
}

/// An adapter of a model.
#[wire]
pub struct Adapter {
    /// The model.
    pub model: ModelId,
    /// Where the weight store keeps its weights.
    pub weights: Box<str>,
    /// Size of the weights in bytes.
    pub weight_bytes: u64,
}

/// A brand under which the assistant is sold.
#[wire]
pub struct Brand {
    /// The name that callers see.
    pub display_name: Box<str>,
}

/// A workspace: one tenant of a brand.
#[wire]
pub struct Workspace {
    /// The brand.
    pub brand: Box<str>,
    /// SHA-256 of each accepted bearer key, in lower-case hexadecimal.
    pub key_hashes: Vec<Box<str>>,
    /// What the workspace sees; callers name an entry by its alias.
    pub models: Vec<ModelAccess>,
    /// The plain services that it may call.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// The [`Limits`] that hold for it; none if absent.
    #[serde(default)]
    pub limits: Option<Box<str>>,
}

/// A model as a workspace sees it.
#[wire]
pub struct ModelAccess {
    /// The name that callers use.
    pub alias: Box<str>,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
}

/// A declared number of replica groups of one version.
#[wire]
pub struct Replica {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Adapters that each group loads.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// How many groups.
    pub count: u32,
    /// How many VMs each group spans.
    pub vms: u32,
    /// The fabric domains that may hold its groups; any if empty.
    #[serde(default)]
    pub fabrics: Vec<FabricId>,
    /// How many VMs to keep free as spares in each fabric domain that holds a group of it.
    #[serde(default)]
    pub spares: u32,
    /// Weight of group downtime against stranded accelerators, 0 to 1: at 1 only downtime counts.
    #[serde(default = "half")]
    pub downtime_weight: f64,
}

fn half() -> f64 {
    0.5
}

/// A VM that may host a member of a replica group.
#[wire]
pub struct BackendServer {
    /// Where its engine listens.
    pub address: SocketAddr,
    /// Its fabric domain.
    pub fabric: FabricId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// How many accelerators it has.
    pub accelerators: u32,
    /// Whether its engine refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Whether the operator wants it empty.
    #[serde(default)]
    pub drain: bool,
}

/// A plain service beside the model engines.
#[wire]
pub struct Service {
    /// Where its instances listen.
    pub addresses: Vec<SocketAddr>,
    /// Calls that may not be repeated.
    #[serde(default)]
    pub non_idempotent: Vec<CallPattern>,
}

/// Names calls by method and path.
#[wire]
pub struct CallPattern {
    /// The method, in upper case; `*` stands for any.
    pub method: Box<str>,
    /// The path; a segment `*` stands for any one segment, a last segment `**` for any rest.
    pub path: Box<str>,
}

/// Limits of a workspace over the whole deployment.
#[wire]
pub struct Limits {
    /// Requests a second.
    pub requests_per_second: f64,
    /// Requests that may come at once above the rate.
    pub burst: u32,
    /// Requests in progress at once.
    pub concurrent: u32,
    /// Generated tokens a second.
    pub tokens_per_second: f64,
    /// Share of free capacity against other workspaces.
    #[serde(default = "one")]
    pub share: f64,
}

fn one() -> f64 {
    1.0
}
