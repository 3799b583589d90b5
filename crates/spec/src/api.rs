//! Request and response bodies of the operator API, exchanged by the daemons and `samphire`.

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

/// Header with the id of a write; the daemon generates an id if the client sends none.
pub const WRITE_ID_HEADER: &str = "samphire-write-id";

/// A resource with its status.
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
    /// The status, as observed by the answering process.
    pub status: Status,
}

impl ResourceView {
    /// Combines a resource with its status.
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
    /// The active revision of the answering process.
    pub revision: Revision,
    /// The resources, ordered by name.
    pub items: Vec<ResourceView>,
}

/// The response to a change that was accepted, or to a dry run without findings.
#[wire]
pub struct ChangeView {
    /// The revision that applied the change, at which the declared state already held, or on which a
    /// dry run was evaluated.
    pub revision: Revision,
    /// Whether the change modified the catalog, or would modify it.
    pub changed: bool,
    /// The id of the write.
    pub write_id: WriteId,
    /// Whether it was a dry run.
    pub dry_run: bool,
}

/// Classes of errors.
#[key]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The token is missing or unknown.
    Unauthorized,
    /// The token does not permit the operation.
    Forbidden,
    /// The path or resource does not exist.
    NotFound,
    /// The revision of a resource differs from the expected one; nothing was applied.
    Conflict,
    /// The change violates validation rules; nothing was applied.
    Refused,
    /// Nothing was applied; the request may be retried later.
    NotApplied,
    /// The change may or may not have been applied; its status can be queried by the write id.
    Unknown,
}

/// The body of an error.
#[wire]
pub struct ErrorView {
    /// The class of the error.
    pub error: ErrorKind,
    /// The error as a sentence, for people.
    pub message: Box<str>,
    /// All problems of the input, with their paths.
    #[serde(default)]
    pub findings: Findings,
    /// The resources whose revisions differ from the expected ones.
    #[serde(default)]
    pub stale: Vec<StaleRevision>,
    /// The id of the write, if its outcome is unknown.
    #[serde(default)]
    pub write_id: Option<WriteId>,
    /// The base revision of the write, if its outcome is unknown.
    #[serde(default)]
    pub base: Option<Revision>,
    /// Time in milliseconds after which to retry, if the failure is temporary.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

impl ErrorView {
    /// Creates an error without details.
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

/// The status of a write.
#[wire]
#[serde(tag = "fate", rename_all = "snake_case")]
pub enum WriteStatusView {
    /// It was applied.
    Applied {
        /// The revision of the catalog with the write.
        revision: Revision,
    },
    /// It was not applied and never will be.
    NeverApplied,
    /// It has not been applied yet, but may still be.
    Open,
    /// Unknown: its record may have been dropped.
    Forgotten,
}

impl WriteStatusView {
    /// Looks up a write in `catalog`. Without its base revision, only `Applied` is definite.
    pub fn of(catalog: &Catalog, id: WriteId, base: Option<Revision>) -> Self {
        match (catalog.write_status(id, base.unwrap_or(catalog.revision)), base) {
            (WriteStatus::Applied { revision }, _) => WriteStatusView::Applied { revision },
            (WriteStatus::NeverApplied, _) => WriteStatusView::NeverApplied,
            (WriteStatus::Indeterminate, _) => WriteStatusView::Open,
            (WriteStatus::Forgotten, _) => WriteStatusView::Forgotten,
        }
    }
}

/// The change of one resource in a [`WatchLine`].
#[wire]
pub struct WatchedChange {
    /// The kind.
    pub kind: Kind,
    /// The name.
    pub name: Box<str>,
    /// The revision of the change; for a deletion it may be a lower bound.
    pub revision: Revision,
    /// The spec; `None` if the resource was deleted.
    pub spec: Option<Value>,
}

/// One line of the response to a watch.
#[wire]
pub struct WatchLine {
    /// The revision that became active.
    pub revision: Revision,
    /// Whether `changes` lists the whole catalog, so that a resource that is not listed does not exist.
    pub whole: bool,
    /// The changes since the previous line.
    pub changes: Vec<WatchedChange>,
}

impl WatchLine {
    /// Returns the changes after the revision `from`; `None` if there are none.
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
                    // A resource that was added again is among the changed rows.
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

/// The state of one process.
#[wire]
pub struct ProcessView {
    /// The process.
    pub node: NodeId,
    /// Id of the process instance, which differs after each restart.
    pub boot: BootId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Its active revision.
    pub revision: Revision,
    /// The highest revision that it knows to be accepted.
    pub highest: Revision,
    /// Whether it admits new requests.
    pub ready: bool,
    /// Why it is behind or does not admit requests; empty if neither.
    pub reason: Box<str>,
    /// The other processes, as known to this one.
    pub peers: Vec<PeerView>,
}

/// A process as known to another one.
#[wire]
pub struct PeerView {
    /// The other process.
    pub node: NodeId,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: Box<str>,
    /// Its active revision, as last received.
    pub revision: Revision,
}
