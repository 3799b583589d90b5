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
    /// Maximum number of tokens generated for one request.
    pub max_output_tokens: u32,
}

/// A version of a model.
#[wire]
pub struct Version {
    /// The model.
    pub model: ModelId,
    /// Location of the weights in the weight store.
    pub weights: Box<str>,
    /// Size of the weights in bytes, by which loads are scheduled.
    pub weight_bytes: u64,
}

/// An adapter of a model.
#[wire]
pub struct Adapter {
    /// The model.
    pub model: ModelId,
    /// Location of the weights in the weight store.
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
    /// The models that the workspace may use; callers select one by its alias.
    pub models: Vec<ModelAccess>,
    /// The plain services that the workspace may call.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// The [`Limits`] that apply to the workspace; unlimited if absent.
    #[serde(default)]
    pub limits: Option<Box<str>>,
}

/// Access of a workspace to a model, under an alias.
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

/// Declares a number of replica groups that serve one version of a model.
#[wire]
pub struct Replica {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Adapters that each group loads.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Number of groups.
    pub count: u32,
    /// Number of VMs that each group spans.
    pub vms: u32,
    /// The fabric domains in which its groups may be placed; any if empty.
    #[serde(default)]
    pub fabrics: Vec<FabricId>,
    /// Number of VMs to keep free as spares in each fabric domain that holds one of its groups.
    #[serde(default)]
    pub spares: u32,
    /// Weight of group downtime relative to stranded accelerators in repair decisions, from 0 to 1: at
    /// 1 only downtime counts.
    #[serde(default = "default_downtime_weight")]
    pub downtime_weight: f64,
}

fn default_downtime_weight() -> f64 {
    0.5
}

/// A VM that may host a member of a replica group.
#[wire]
pub struct BackendServer {
    /// Address at which its engine listens.
    pub address: SocketAddr,
    /// Its fabric domain.
    pub fabric: FabricId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Number of accelerators of the VM.
    pub accelerators: u32,
    /// Whether its engine refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Whether the operator wants it drained: no new group, and its group finishes running requests.
    #[serde(default)]
    pub drain: bool,
}

/// A plain service beside the model engines.
#[wire]
pub struct Service {
    /// Addresses at which its instances listen.
    pub addresses: Vec<SocketAddr>,
    /// Calls that must not be retried.
    #[serde(default)]
    pub non_idempotent: Vec<CallPattern>,
}

/// Matches calls by method and path.
#[wire]
pub struct CallPattern {
    /// The method, in upper case; `*` matches any method.
    pub method: Box<str>,
    /// The path; a segment `*` matches any one segment, a last segment `**` any number
    /// of segments, including none.
    pub path: Box<str>,
}

/// Limits of a workspace, for the deployment as a whole.
#[wire]
pub struct Limits {
    /// Requests per second.
    pub requests_per_second: f64,
    /// Burst size: requests that may arrive at once above the rate.
    pub burst: u32,
    /// Maximum number of concurrent requests.
    pub concurrent: u32,
    /// Generated tokens per second.
    pub tokens_per_second: f64,
    /// Weight with which the workspace shares free capacity with other workspaces.
    #[serde(default = "default_share")]
    pub share: f64,
}

fn default_share() -> f64 {
    1.0
}
