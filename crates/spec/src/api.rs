//! The bodies of the operator API, as daemon and tool exchange them.

use base::prelude::*;
use serde_json::Value;

use crate::accept::StaleRevision;
use crate::catalog::Catalog;
use crate::catalog::CatalogEntry;
use crate::catalog::WriteStatus;
use crate::delta::Update;
use crate::delta::update_since;
use crate::kind::ALL_KINDS;
use crate::resource::Kind;
use crate::status::Status;

/// Header that names the id of a write; drawn by the daemon if the client gives none.
pub const WRITE_ID_HEADER: &str = "samphire-write-id";

/// A resource as the API shows it.
#[wire]
pub struct ResourceView {
    /// The kind.
    pub kind: Kind,
    /// The name.
    pub name: Box<str>,
    /// The revision of its last change.
    pub revision: Revision,
    /// The spec.
    pub spec: Value,
    /// The reported state, as the answering process sees it.
    pub status: Status,
}

impl ResourceView {
    /// Joins a resource with its status.
    pub fn new(entry: &CatalogEntry, status: Status) -> Self {
        ResourceView {
            kind: entry.resource.kind(),
            name: entry.name.clone(),
            revision: entry.revision,
            spec: entry.resource.to_json(),
            status,
        }
    }
}

/// All resources of one kind.
#[wire]
pub struct ListView {
    /// The revision in force at the answering process.
    pub revision: Revision,
    /// The resources, in the order of their names.
    pub items: Vec<ResourceView>,
}

/// The answer to a change that was accepted, or that a dry run found nothing against.
#[wire]
pub struct ChangeView {
    /// The revision that the change brought, at which it already held, or on which it was checked.
    pub revision: Revision,
    /// Whether it changed anything, or would.
    pub changed: bool,
    /// The id of the write.
    pub write_id: WriteId,
    /// Whether it was a dry run.
    pub dry_run: bool,
}

/// Why a call was not answered as asked.
#[key]
pub enum ErrorKind {
    /// The call is malformed.
    BadRequest,
    /// No token, or an unknown one.
    Unauthorized,
    /// The token may not do this.
    Forbidden,
    /// There is no such path or resource.
    NotFound,
    /// A resource has another revision than the change wants; nothing was applied.
    Conflict,
    /// The change breaks rules; nothing was applied.
    Refused,
    /// Nothing was applied; come back later.
    NotApplied,
    /// The change may or may not have been applied; ask with the write id.
    Unknown,
}

/// The body of an error.
#[wire]
pub struct ErrorView {
    /// What kind of error.
    pub error: ErrorKind,
    /// What happened, as a sentence.
    pub message: Box<str>,
    /// All problems found, with their places.
    #[serde(default)]
    pub findings: Findings,
    /// The resources with other revisions than wanted.
    #[serde(default)]
    pub stale: Vec<StaleRevision>,
    /// The id to ask with, when the outcome is unknown.
    #[serde(default)]
    pub write_id: Option<WriteId>,
    /// The revision to ask with, when the outcome is unknown.
    #[serde(default)]
    pub base: Option<Revision>,
    /// When to come back, in milliseconds, if nothing was applied for now.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

impl ErrorView {
    /// Makes an error without details.
    pub fn new(error: ErrorKind, message: impl Into<Box<str>>) -> Self {
        ErrorView {
            error,
            message: message.into(),
            findings: Findings::default(),
            stale: Vec::new(),
            write_id: None,
            base: None,
            retry_after_ms: None,
        }
    }
}

/// What became of a write.
#[wire]
#[serde(tag = "fate", rename_all = "snake_case")]
pub enum WriteStatusView {
    /// It was applied.
    Applied {
        /// The revision that it brought.
        revision: Revision,
    },
    /// It was not applied and never will be.
    NeverApplied,
    /// It has not been applied, and may still be.
    Open,
    /// It is too long ago, or too little is known of it.
    Forgotten,
}

impl WriteStatusView {
    /// Looks up a write; without the revision that it was based on, only `Applied` is certain.
    pub fn of(catalog: &Catalog, id: WriteId, base: Option<Revision>) -> Self {
        match (catalog.write_status(id, base.unwrap_or(catalog.revision)), base) {
            (WriteStatus::Applied { revision }, _) => WriteStatusView::Applied { revision },
            (WriteStatus::NeverApplied, _) => WriteStatusView::NeverApplied,
            (WriteStatus::Indeterminate, _) => WriteStatusView::Open,
            (WriteStatus::Forgotten, _) => WriteStatusView::Forgotten,
        }
    }
}

/// A change of one resource in a watch.
#[wire]
pub struct WatchedChange {
    /// The kind.
    pub kind: Kind,
    /// The name.
    pub name: Box<str>,
    /// The revision of the change; of a deletion it may be a lower bound.
    pub revision: Revision,
    /// The spec; `None` if the resource was deleted.
    pub spec: Option<Value>,
}

/// One line of a watch.
#[wire]
pub struct WatchLine {
    /// The revision that came into force.
    pub revision: Revision,
    /// Whether the changes are the whole catalog: what is not listed does not exist.
    pub whole: bool,
    /// What changed since the line before.
    pub changes: Vec<WatchedChange>,
}

impl WatchLine {
    /// Returns what changed after the revision `from`; `None` if nothing did.
    pub fn since(catalog: &std::sync::Arc<Catalog>, from: Revision) -> Option<Self> {
        let revision = catalog.revision;
        match update_since(catalog, from) {
            Update::Current => None,
            Update::Delta(delta) => {
                let put = |put: crate::delta::Put| WatchedChange {
                    kind: put.kind,
                    name: put.name,
                    revision: put.revision,
                    spec: Some(put.spec),
                };
                let gone = delta.gone.into_iter().filter(|gone| {
                    // A name that came back is among the rows that changed.
                    !catalog.contains(gone.kind, &gone.name)
                });
                let gone = gone.map(|gone| WatchedChange {
                    kind: gone.kind,
                    name: gone.name,
                    revision: gone.revision,
                    spec: None,
                });
                let changes = gone.chain(delta.puts.into_iter().map(put)).collect();
                Some(WatchLine { revision, whole: false, changes })
            }
            Update::Snapshot(catalog) => {
                let mut changes = Vec::new();
                for kind in ALL_KINDS {
                    changes.extend(catalog.list(kind).into_iter().map(|entry| WatchedChange {
                        kind,
                        spec: Some(entry.resource.to_json()),
                        name: entry.name,
                        revision: entry.revision,
                    }));
                }
                Some(WatchLine { revision, whole: true, changes })
            }
        }
    }
}

/// How one process stands.
#[wire]
pub struct ProcessView {
    /// The process.
    pub node: NodeId,
    /// Its life.
    pub boot: BootId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// The revision in force there.
    pub revision: Revision,
    /// The highest revision that it knows to be accepted.
    pub highest: Revision,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Why it is behind, or takes no requests; empty if neither.
    pub reason: Box<str>,
    /// What it has heard of the other processes.
    pub peers: Vec<PeerView>,
}

/// What one process has heard of another.
#[wire]
pub struct PeerView {
    /// The other process.
    pub node: NodeId,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: Box<str>,
    /// The revision in force there, as last heard.
    pub revision: Revision,
}
