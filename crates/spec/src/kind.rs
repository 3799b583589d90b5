//! Names of the kinds of resource, and [`Resource`], a resource of any kind.
//!
//! Code that treats all kinds alike matches on a [`Resource`] with
//! [`each_resource!`](crate::each_resource), so that a new kind is a compile error wherever it is
//! not handled.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

use crate::resource::*;

/// All kinds, in the order of listings: a kind comes after those that it refers to.
pub const ALL_KINDS: [Kind; 9] = [
    Kind::Model,
    Kind::Version,
    Kind::Adapter,
    Kind::Brand,
    Kind::Limits,
    Kind::Service,
    Kind::Workspace,
    Kind::Replica,
    Kind::BackendServer,
];

impl Kind {
    /// Returns the kind's name in manifests and paths.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Model => "model",
            Kind::Version => "version",
            Kind::Adapter => "adapter",
            Kind::Brand => "brand",
            Kind::Workspace => "workspace",
            Kind::Replica => "replica",
            Kind::BackendServer => "backend_server",
            Kind::Service => "service",
            Kind::Limits => "limits",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// kind `{0}` does not exist; the kinds are model, version, adapter, brand, limits, service, workspace, replica, backend_server
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct UnknownKind(pub Box<str>);

impl std::error::Error for UnknownKind {}

impl FromStr for Kind {
    type Err = UnknownKind;

    /// Parses the name of a kind. The plural, and `-` in place of `_`, are accepted too.
    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        let name = text.replace('-', "_");
        let found = ALL_KINDS.into_iter().find(|kind| {
            name == kind.as_str() || name.strip_suffix('s').is_some_and(|one| one == kind.as_str())
        });
        found.ok_or_else(|| UnknownKind(text.into()))
    }
}

/// The spec of a resource of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Resource {
    /// A model.
    Model(Model),
    /// A version of a model.
    Version(Version),
    /// An adapter of a model.
    Adapter(Adapter),
    /// A brand.
    Brand(Brand),
    /// A workspace.
    Workspace(Workspace),
    /// A declared replica.
    Replica(Replica),
    /// A backend server.
    BackendServer(BackendServer),
    /// A plain service.
    Service(Service),
    /// Limits of workspaces.
    Limits(Limits),
}

/// Evaluates `$body` with `$spec` bound to the spec of a [`Resource`] of any kind.
#[macro_export]
macro_rules! each_resource {
    ($resource:expr, $spec:ident => $body:expr) => {
        match $resource {
            $crate::kind::Resource::Model($spec) => $body,
            $crate::kind::Resource::Version($spec) => $body,
            $crate::kind::Resource::Adapter($spec) => $body,
            $crate::kind::Resource::Brand($spec) => $body,
            $crate::kind::Resource::Workspace($spec) => $body,
            $crate::kind::Resource::Replica($spec) => $body,
            $crate::kind::Resource::BackendServer($spec) => $body,
            $crate::kind::Resource::Service($spec) => $body,
            $crate::kind::Resource::Limits($spec) => $body,
        }
    };
}

impl Resource {
    /// Returns the kind.
    pub fn kind(&self) -> Kind {
        match self {
            Resource::Model(_) => Kind::Model,
            Resource::Version(_) => Kind::Version,
            Resource::Adapter(_) => Kind::Adapter,
            Resource::Brand(_) => Kind::Brand,
            Resource::Workspace(_) => Kind::Workspace,
            Resource::Replica(_) => Kind::Replica,
            Resource::BackendServer(_) => Kind::BackendServer,
            Resource::Service(_) => Kind::Service,
            Resource::Limits(_) => Kind::Limits,
        }
    }

    /// Returns the spec as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        each_resource!(self, spec => serde_json::to_value(spec)).unwrap_or_default()
    }

    /// Returns an example spec of `kind` in which every field is present.
    pub fn example(kind: Kind) -> Resource {
        match kind {
            Kind::Model => Resource::Model(Model { max_output_tokens: 4096 }),
            Kind::Version => Resource::Version(Version {
                model: "model".into(),
                weights: "weights".into(),
                weight_bytes: 1,
            }),
            Kind::Adapter => Resource::Adapter(Adapter {
                model: "model".into(),
                weights: "weights".into(),
                weight_bytes: 1,
            }),
            Kind::Brand => Resource::Brand(Brand { display_name: "Brand".into() }),
            Kind::Workspace => Resource::Workspace(example_workspace()),
            Kind::Replica => Resource::Replica(example_replica()),
            Kind::BackendServer => Resource::BackendServer(BackendServer {
                address: ([127, 0, 0, 1], 7000).into(),
                fabric: "fabric".into(),
                failure_domain: "failure-domain".into(),
                accelerators: 8,
                checks_fencing: true,
                drain: false,
            }),
            Kind::Service => Resource::Service(Service {
                addresses: vec![([127, 0, 0, 1], 7000).into()],
                non_idempotent: vec![CallPattern { method: "POST".into(), path: "/".into() }],
            }),
            Kind::Limits => Resource::Limits(Limits {
                requests_per_second: 1.0,
                burst: 1,
                concurrent: 1,
                tokens_per_second: 1.0,
                share: 1.0,
            }),
        }
    }
}

fn example_workspace() -> Workspace {
    Workspace {
        brand: "brand".into(),
        key_hashes: vec!["0".repeat(64).into()],
        models: vec![ModelAccess {
            alias: "alias".into(),
            model: "model".into(),
            version: "version".into(),
            adapter: Some("adapter".into()),
        }],
        services: vec!["service".into()],
        limits: Some("limits".into()),
    }
}

fn example_replica() -> Replica {
    Replica {
        model: "model".into(),
        version: "version".into(),
        adapters: vec!["adapter".into()],
        count: 1,
        vms: 1,
        fabrics: vec!["fabric".into()],
        spares: 0,
        downtime_weight: 0.5,
    }
}
