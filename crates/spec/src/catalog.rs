//! All accepted resources at one revision.
//!
//! A catalog is one value: it is accepted, spread and put in force as a whole, so no process ever
//! acts on a mix of two revisions.
//!
//! Each row carries the revision of its last change. Since a revision names one accepted request,
//! a row's kind, name and revision name its content, and [`Catalog::digest`] needs only them.
//!
//! The catalog also carries the ids of the latest accepted writes with their revisions. A writer
//! whose answer was lost finds there whether its write was applied, even if others have written
//! since; see [`Catalog::write_status`].

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::hash::stable;
use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::kind::ALL_KINDS;
use crate::kind::Resource;
use crate::resource::*;

/// Key of the catalog in the key-value service.
pub const CATALOG_KEY: &str = "samphire/catalog";
/// Deletions that the catalog keeps; a process that is further behind pulls the whole catalog.
pub const MAX_RETAINED_DELETIONS: usize = 512;
/// Accepted writes whose ids the catalog keeps.
pub const MAX_RETAINED_WRITES: usize = 512;

/// A resource with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row<T> {
    /// The catalog's revision that last changed the resource.
    pub revision: Revision,
    /// The spec.
    pub spec: T,
}

/// Resources of one kind by name, in the order of their names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Table<T> {
    rows: BTreeMap<Box<str>, Row<T>>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table { rows: BTreeMap::new() }
    }
}

impl<T> Table<T> {
    /// Returns the spec of the resource `name`.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.rows.get(name).map(|row| &row.spec)
    }

    /// Returns the spec and revision of the resource `name`.
    pub fn row(&self, name: &str) -> Option<&Row<T>> {
        self.rows.get(name)
    }

    /// Adds the resource `name`, or replaces it, and returns the one that it replaced.
    ///
    /// Its revision is 0; accepted changes use [`Table::put_at`].
    pub fn put(&mut self, name: &str, spec: T) -> Option<T> {
        self.put_at(name, spec, 0)
    }

    /// Adds the resource `name` as last changed by `revision`, or replaces it.
    pub fn put_at(&mut self, name: &str, spec: T, revision: Revision) -> Option<T> {
        self.rows.insert(name.into(), Row { revision, spec }).map(|row| row.spec)
    }

    /// Removes the resource `name` and returns it.
    pub fn remove(&mut self, name: &str) -> Option<T> {
        self.rows.remove(name).map(|row| row.spec)
    }

    /// Returns the resources with their names, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.rows.iter().map(|(name, row)| (&**name, &row.spec))
    }

    /// Returns the rows with their names, in the order of their names.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &Row<T>)> {
        self.rows.iter().map(|(name, row)| (&**name, row))
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no resources.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// The id of an accepted write and the revision that it brought.
#[wire]
#[derive(Copy, Eq)]
pub struct WriteRecord {
    /// The id that the writer drew.
    pub id: WriteId,
    /// The revision.
    pub revision: Revision,
}

/// A resource that was deleted.
#[wire]
pub struct Deletion {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: Box<str>,
    /// The revision that deleted it.
    pub revision: Revision,
}

/// What became of a write whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// It was applied.
    Applied {
        /// The revision that it brought.
        revision: Revision,
    },
    /// It was not applied and never will be: others have written since its base.
    NeverApplied,
    /// It has not been applied, but a delayed copy of it may still be.
    Indeterminate,
    /// So many writes came since that its id may have been dropped.
    Forgotten,
}

/// All accepted resources at one revision.
#[wire]
#[derive(Default)]
#[serde(default)]
pub struct Catalog {
    /// The revision; each accepted change raises it by one.
    pub revision: Revision,
    /// The id of the write that brought this revision.
    pub write_id: WriteId,
    /// The latest accepted writes, oldest first; at most [`MAX_RETAINED_WRITES`].
    pub writes: VecDeque<WriteRecord>,
    /// The latest deletions, oldest first; at most [`MAX_RETAINED_DELETIONS`].
    pub deletions: VecDeque<Deletion>,
    /// All deletions after this revision are kept.
    pub deletions_after: Revision,
    /// Models.
    pub models: Table<Model>,
    /// Versions of models.
    pub versions: Table<Version>,
    /// Adapters of models.
    pub adapters: Table<Adapter>,
    /// Brands.
    pub brands: Table<Brand>,
    /// Workspaces.
    pub workspaces: Table<Workspace>,
    /// Declared replicas.
    pub replicas: Table<Replica>,
    /// Backend servers.
    pub backend_servers: Table<BackendServer>,
    /// Plain services.
    pub services: Table<Service>,
    /// Limits that workspaces name.
    pub limits: Table<Limits>,
}

/// A resource of any kind as the catalog holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogEntry {
    /// Its name.
    pub name: Box<str>,
    /// The revision of its last change.
    pub revision: Revision,
    /// Its kind and spec.
    pub resource: Resource,
}

/// Evaluates an expression for the table of `$kind`, whichever it is; `$variant` wraps a spec.
macro_rules! table_of {
    ([$($borrow:tt)+] $catalog:ident, $kind:expr, ($table:ident, $variant:ident) => $body:expr) => {
        match $kind {
            Kind::Model => table_of!(@[$($borrow)+] $catalog models Model $table $variant $body),
            Kind::Version => {
                table_of!(@[$($borrow)+] $catalog versions Version $table $variant $body)
            }
            Kind::Adapter => {
                table_of!(@[$($borrow)+] $catalog adapters Adapter $table $variant $body)
            }
            Kind::Brand => table_of!(@[$($borrow)+] $catalog brands Brand $table $variant $body),
            Kind::Workspace => {
                table_of!(@[$($borrow)+] $catalog workspaces Workspace $table $variant $body)
            }
            Kind::Replica => {
                table_of!(@[$($borrow)+] $catalog replicas Replica $table $variant $body)
            }
            Kind::BackendServer => {
                table_of!(@[$($borrow)+] $catalog backend_servers BackendServer $table $variant $body)
            }
            Kind::Service => {
                table_of!(@[$($borrow)+] $catalog services Service $table $variant $body)
            }
            Kind::Limits => table_of!(@[$($borrow)+] $catalog limits Limits $table $variant $body),
        }
    };
    (@[$($borrow:tt)+] $catalog:ident $field:ident $name:ident $table:ident $variant:ident
     $body:expr) => {{
        let $table = $($borrow)+ $catalog.$field;
        let $variant = Resource::$name;
        $body
    }};
}

impl Catalog {
    /// Returns the resource of `kind` called `name`.
    pub fn find(&self, kind: Kind, name: &str) -> Option<CatalogEntry> {
        table_of!([&] self, kind, (table, variant) => {
            table.row(name).map(|row| entry(name, row, variant))
        })
    }

    /// Returns all resources of `kind`, in the order of their names.
    pub fn list(&self, kind: Kind) -> Vec<CatalogEntry> {
        table_of!([&] self, kind, (table, variant) => {
            table.rows().map(|(name, row)| entry(name, row, variant)).collect()
        })
    }

    /// Returns the resources of `kind` that changed after the revision `from`.
    pub fn changed_since(&self, kind: Kind, from: Revision) -> Vec<CatalogEntry> {
        table_of!([&] self, kind, (table, variant) => {
            let changed = table.rows().filter(|(_, row)| row.revision > from);
            changed.map(|(name, row)| entry(name, row, variant)).collect()
        })
    }

    /// Returns the names of the resources of `kind`.
    pub fn names(&self, kind: Kind) -> Vec<&str> {
        table_of!([&] self, kind, (table, _variant) => table.rows().map(|(name, _)| name).collect())
    }

    /// Returns the revision of the resource; 0 if it does not exist.
    pub fn revision_of(&self, kind: Kind, name: &str) -> Revision {
        table_of!([&] self, kind, (table, _variant) => {
            table.row(name).map_or(0, |row| row.revision)
        })
    }

    /// Returns whether the resource exists.
    pub fn contains(&self, kind: Kind, name: &str) -> bool {
        table_of!([&] self, kind, (table, _variant) => table.row(name).is_some())
    }

    /// Adds or replaces a resource as last changed by `revision`.
    pub fn set(&mut self, name: &str, resource: Resource, revision: Revision) {
        match resource {
            Resource::Model(spec) => drop(self.models.put_at(name, spec, revision)),
            Resource::Version(spec) => drop(self.versions.put_at(name, spec, revision)),
            Resource::Adapter(spec) => drop(self.adapters.put_at(name, spec, revision)),
            Resource::Brand(spec) => drop(self.brands.put_at(name, spec, revision)),
            Resource::Workspace(spec) => drop(self.workspaces.put_at(name, spec, revision)),
            Resource::Replica(spec) => drop(self.replicas.put_at(name, spec, revision)),
            Resource::BackendServer(spec) => {
                drop(self.backend_servers.put_at(name, spec, revision));
            }
            Resource::Service(spec) => drop(self.services.put_at(name, spec, revision)),
            Resource::Limits(spec) => drop(self.limits.put_at(name, spec, revision)),
        }
    }

    /// Deletes a resource as of `revision`; returns whether it was there.
    pub fn delete(&mut self, kind: Kind, name: &str, revision: Revision) -> bool {
        let there = self.remove(kind, name);
        if there {
            self.retain_deletion(Deletion { kind, name: name.into(), revision });
        }
        there
    }

    /// Takes over a deletion from another process that is at a higher revision than `current`.
    pub(crate) fn apply_deletion(&mut self, deletion: &Deletion, current: Revision) {
        self.remove(deletion.kind, &deletion.name);
        if deletion.revision > current {
            self.retain_deletion(deletion.clone());
        }
    }

    fn remove(&mut self, kind: Kind, name: &str) -> bool {
        table_of!([&mut] self, kind, (table, _variant) => table.remove(name).is_some())
    }

    fn retain_deletion(&mut self, deletion: Deletion) {
        self.deletions.push_back(deletion);
        while self.deletions.len() > MAX_RETAINED_DELETIONS {
            let dropped = self.deletions.pop_front();
            self.deletions_after = dropped.map_or(0, |dropped| dropped.revision);
        }
    }

    /// Raises the revision by one for the accepted write `id`, and returns it.
    pub fn record_write(&mut self, id: WriteId) -> Revision {
        self.revision += 1;
        self.write_id = id;
        self.retain_write(WriteRecord { id, revision: self.revision });
        self.revision
    }

    /// Keeps the mark of an accepted write; the oldest goes when there are too many.
    pub(crate) fn retain_write(&mut self, mark: WriteRecord) {
        self.writes.push_back(mark);
        while self.writes.len() > MAX_RETAINED_WRITES {
            self.writes.pop_front();
        }
    }

    /// Tells what became of the write `id` that was based on the revision `base`.
    ///
    /// Every write is a compare-and-swap from its base, and every accepted write raises the
    /// revision. So once the revision is above `base`, a delayed copy of the write fails.
    pub fn write_status(&self, id: WriteId, base: Revision) -> WriteStatus {
        if let Some(mark) = self.writes.iter().find(|mark| mark.id == id) {
            return WriteStatus::Applied { revision: mark.revision };
        }
        if self.revision <= base {
            return WriteStatus::Indeterminate;
        }
        // The revisions are dense, so the marks cover all writes after `base` if the oldest one
        // is at most the first of these.
        match self.writes.front() {
            Some(oldest) if oldest.revision <= base + 1 => WriteStatus::NeverApplied,
            _ => WriteStatus::Forgotten,
        }
    }

    /// Returns a number that is equal for equal catalogs and, all but surely, only for these.
    pub fn digest(&self) -> u64 {
        let mut sum = stable(&self.revision.to_le_bytes()) ^ stable(&self.write_id.to_be_bytes());
        for kind in ALL_KINDS {
            table_of!([&] self, kind, (table, _variant) => {
                for (name, row) in table.rows() {
                    sum = sum.wrapping_add(row_digest(kind, name, row.revision));
                }
            });
        }
        sum
    }

    /// Returns the number of resources of all kinds.
    pub fn len(&self) -> usize {
        ALL_KINDS.into_iter().map(|kind| self.len_of(kind)).sum()
    }

    /// Returns whether the catalog holds no resource.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of resources of `kind`.
    pub fn len_of(&self, kind: Kind) -> usize {
        table_of!([&] self, kind, (table, _variant) => table.len())
    }
}

fn entry<T: Clone>(name: &str, row: &Row<T>, variant: fn(T) -> Resource) -> CatalogEntry {
    CatalogEntry { name: name.into(), revision: row.revision, resource: variant(row.spec.clone()) }
}

fn row_digest(kind: Kind, name: &str, revision: Revision) -> u64 {
    stable(format!("{kind}/{name}/{revision}").as_bytes())
}
