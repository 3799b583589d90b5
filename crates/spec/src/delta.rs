//! Differences between two revisions of the catalog, for processes that pull from each other.
//!
//! A [`Delta`] holds, for each row that changed after the revision `from`, its state at the revision
//! `to`, and the names of the rows that were deleted. So it applies to every catalog from `from` up
//! to `to`, not only to one. After it is applied, the digest must be that of the sender at `to`; a
//! mismatch means that the histories of the two processes differ, and the puller asks for a
//! snapshot.
//!
//! The deleted names come from the catalog itself, which retains its latest deletions. The history
//! that a process has seen would not suffice: it may have skipped the revisions at which a row was
//! added and deleted.
//!
//! Invariant: applying an update never lowers the revision.

use std::sync::Arc;

use base::prelude::*;
use displaydoc::Display;
use serde_json::Value;

use crate::catalog::Catalog;
use crate::catalog::CatalogEntry;
use crate::catalog::Deletion;
use crate::catalog::WriteRecord;
use crate::kind::ALL_KINDS;
use crate::manifest::read_resource;
use crate::resource::Kind;

/// A row that was inserted or replaced.
#[wire]
pub struct Put {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: Box<str>,
    /// The revision of its last change.
    pub revision: Revision,
    /// Its spec.
    pub spec: Value,
}

/// Differences between two revisions.
#[wire]
pub struct Delta {
    /// The base revision; only changes after it are included.
    pub from: Revision,
    /// The revision that applying the delta leads to.
    pub to: Revision,
    /// The id of the write that created `to`.
    pub write_id: WriteId,
    /// Records of the accepted writes after `from`, as far as the sender retains them.
    pub writes: Vec<WriteRecord>,
    /// The inserted and replaced rows, as they are at `to`.
    pub puts: Vec<Put>,
    /// The deleted rows.
    pub gone: Vec<Deletion>,
    /// The digest of the catalog at `to`.
    pub digest: u64,
}

/// The response to a pull.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The puller is at this revision or a higher one.
    Current,
    /// The changes that the puller lacks.
    Delta(Delta),
    /// The whole catalog, when the puller is too far behind for a delta.
    Snapshot(Arc<Catalog>),
}

/// Why an update was not applied.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum UpdateError {
    /// revision {offered} is not above revision {current}
    NotNewer {
        /// The active revision.
        current: Revision,
        /// The revision of the update.
        offered: Revision,
    },
    /// the delta begins at revision {from}, above revision {current}
    Gap {
        /// The active revision.
        current: Revision,
        /// The base revision of the delta.
        from: Revision,
    },
    /// the catalog at revision {to} differs from that of the sender
    DigestMismatch {
        /// The revision that the delta leads to.
        to: Revision,
    },
    /// the update is malformed: {0}
    Malformed(Findings),
}

impl std::error::Error for UpdateError {}

impl Update {
    /// Encodes the update as compact JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an update has a JSON form")
    }

    /// Decodes the JSON form.
    pub fn decode(bytes: &[u8]) -> Result<Update, UpdateError> {
        serde_json::from_slice(bytes).map_err(|error| {
            let mut findings = Findings::default();
            findings.add("$", error.to_string());
            UpdateError::Malformed(findings)
        })
    }

    /// Applies this update to `catalog`; returns `None` if there is nothing new.
    pub fn apply(&self, catalog: &Catalog) -> Result<Option<Arc<Catalog>>, UpdateError> {
        match self {
            Update::Current => Ok(None),
            Update::Delta(delta) => delta.apply(catalog).map(|next| Some(Arc::new(next))),
            Update::Snapshot(next) if next.revision > catalog.revision => {
                Ok(Some(Arc::clone(next)))
            }
            Update::Snapshot(next) => {
                Err(UpdateError::NotNewer { current: catalog.revision, offered: next.revision })
            }
        }
    }
}

impl Delta {
    /// Applies this delta to `catalog`.
    pub fn apply(&self, catalog: &Catalog) -> Result<Catalog, UpdateError> {
        let current = catalog.revision;
        if self.to <= current {
            return Err(UpdateError::NotNewer { current, offered: self.to });
        }
        if self.from > current {
            return Err(UpdateError::Gap { current, from: self.from });
        }
        let mut next = catalog.clone();
        for gone in &self.gone {
            next.apply_deletion(gone, current);
        }
        let mut findings = Findings::default();
        for (index, put) in self.puts.iter().enumerate() {
            let place = format!("$.puts[{index}].spec");
            if let Some(spec) = read_resource(put.kind, put.spec.clone(), &place, &mut findings) {
                next.set(&put.name, spec, put.revision);
            }
        }
        findings.into_result(()).map_err(UpdateError::Malformed)?;
        for record in self.writes.iter().filter(|record| record.revision > current) {
            next.retain_write(*record);
        }
        next.revision = self.to;
        next.write_id = self.write_id;
        match next.digest() == self.digest {
            true => Ok(next),
            false => Err(UpdateError::DigestMismatch { to: self.to }),
        }
    }
}

/// Returns the update that brings a process at revision `from` to `catalog`.
///
/// It is a snapshot if the deletions since `from` are no longer all retained, or if more than half
/// of the rows changed.
pub fn update_since(catalog: &Arc<Catalog>, from: Revision) -> Update {
    if from >= catalog.revision {
        return Update::Current;
    }
    let snapshot = || Update::Snapshot(Arc::clone(catalog));
    if from == 0 || from < catalog.deletions_after {
        return snapshot();
    }
    let mut changed = Vec::new();
    for kind in ALL_KINDS {
        changed.extend(catalog.changed_since(kind, from));
    }
    if changed.len() * 2 > catalog.len() {
        return snapshot();
    }
    let put = |entry: CatalogEntry| Put {
        kind: entry.resource.kind(),
        spec: entry.resource.to_json(),
        name: entry.name,
        revision: entry.revision,
    };
    Update::Delta(Delta {
        from,
        to: catalog.revision,
        write_id: catalog.write_id,
        writes: catalog.writes.iter().filter(|record| record.revision > from).copied().collect(),
        puts: changed.into_iter().map(put).collect(),
        gone: catalog.deletions.iter().filter(|gone| gone.revision > from).cloned().collect(),
        digest: catalog.digest(),
    })
}
