//! What changed between two revisions of the catalog, for processes that pull from each other.
//!
//! A [`Delta`] holds the state at its end of every row that changed after its beginning, and the
//! names of the rows that went. So it applies to every catalog from its beginning on, not only to
//! one. After applying, the digest must be that of the end; a mismatch means that the two
//! processes disagree on the past, and the puller asks for a snapshot.
//!
//! The names that went come from the catalog itself, which keeps its latest deletions. A process's
//! own past would not do: it may have skipped the revision at which a row came and went.
//!
//! Invariant: applying never lowers the revision.

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

/// A row in a delta.
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

/// What changed between two revisions.
#[wire]
pub struct Delta {
    /// The revision after which the changes begin.
    pub from: Revision,
    /// The revision at their end.
    pub to: Revision,
    /// The id of the write that brought `to`.
    pub write_id: WriteId,
    /// The accepted writes after `from`, as far as they are kept.
    pub writes: Vec<WriteRecord>,
    /// The rows that changed, as they are at `to`.
    pub puts: Vec<Put>,
    /// The rows that went.
    pub gone: Vec<Deletion>,
    /// The digest of the catalog at `to`.
    pub digest: u64,
}

/// An answer to a puller.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The puller has this revision or a higher one.
    Current,
    /// What the puller misses.
    Delta(Delta),
    /// The whole catalog, when the puller is too far behind for a delta.
    Snapshot(Arc<Catalog>),
}

/// Why an update was not applied.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum UpdateError {
    /// revision {offered} is not above revision {current}
    NotNewer {
        /// The revision in force.
        current: Revision,
        /// The revision of the update.
        offered: Revision,
    },
    /// the delta begins at revision {from}, above revision {current}
    Gap {
        /// The revision in force.
        current: Revision,
        /// Where the delta begins.
        from: Revision,
    },
    /// the catalog at revision {to} differs from that of the sender
    DigestMismatch {
        /// The revision at the delta's end.
        to: Revision,
    },
    /// the update is malformed: {0}
    Malformed(Findings),
}

impl std::error::Error for UpdateError {}

impl Update {
    /// Returns the compact JSON form.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an update has a JSON form")
    }

    /// Reads the JSON form.
    pub fn decode(bytes: &[u8]) -> Result<Update, UpdateError> {
        serde_json::from_slice(bytes).map_err(|error| {
            let mut findings = Findings::default();
            findings.add("$", error.to_string());
            UpdateError::Malformed(findings)
        })
    }

    /// Returns the catalog after this update of `catalog`; `None` if there is nothing new.
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
    /// Returns the catalog after this delta of `catalog`.
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
        for mark in self.writes.iter().filter(|mark| mark.revision > current) {
            next.retain_write(*mark);
        }
        next.revision = self.to;
        next.write_id = self.write_id;
        match next.digest() == self.digest {
            true => Ok(next),
            false => Err(UpdateError::DigestMismatch { to: self.to }),
        }
    }
}

/// Returns what a process at revision `from` misses of `catalog`.
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
        writes: catalog.writes.iter().filter(|mark| mark.revision > from).copied().collect(),
        puts: changed.into_iter().map(put).collect(),
        gone: catalog.deletions.iter().filter(|gone| gone.revision > from).cloned().collect(),
        digest: catalog.digest(),
    })
}
