//! All accepted resources at one revision.
//!
//! A catalog is one value: it is accepted, distributed and activated as a whole, so no process ever
//! acts on a mix of two revisions.
//!
//! Each row carries the revision of its last change. A revision identifies one accepted change, so
//! the kind, name and revision of a row identify its content, and [`Catalog::digest`] covers only
//! these.
//!
//! The catalog also retains the ids and revisions of the latest accepted writes. A writer whose
//! response was lost finds there whether its write was applied, even if others have written since;
//! see [`Catalog::write_status`].

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
/// Maximum number of deletions that the catalog retains; a process that is further behind pulls a
/// snapshot.
pub const MAX_RETAINED_DELETIONS: usize = 512;
/// Maximum number of accepted writes whose records the catalog retains.
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

/// Resources of one kind, ordered by name.
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
    /// Returns the spec of the resource `name`, if it exists.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.rows.get(name).map(|row| &row.spec)
    }

    /// Returns the spec and revision of the resource `name`, if it exists.
    pub fn row(&self, name: &str) -> Option<&Row<T>> {
        self.rows.get(name)
    }

    /// Inserts or replaces the resource `name` at revision 0, and returns the replaced spec.
    ///
    /// Accepted changes use [`Table::put_at`].
    pub fn put(&mut self, name: &str, spec: T) -> Option<T> {
        self.put_at(name, spec, 0)
    }

    /// Inserts or replaces the resource `name` as last changed by `revision`, and returns the replaced
    /// spec.
    pub fn put_at(&mut self, name: &str, spec: T, revision: Revision) -> Option<T> {
        self.rows.insert(name.into(), Row { revision, spec }).map(|row| row.spec)
    }

    /// Removes the resource `name` and returns it.
    pub fn remove(&mut self, name: &str) -> Option<T> {
        self.rows.remove(name).map(|row| row.spec)
    }

    /// Returns the names and specs, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.rows.iter().map(|(name, row)| (&**name, &row.spec))
    }

    /// Returns the names and rows, ordered by name.
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

/// Records that a write was accepted.
#[wire]
#[derive(Copy, Eq)]
pub struct WriteRecord {
    /// The id that the writer generated.
    pub id: WriteId,
    /// The revision of the catalog with this write.
    pub revision: Revision,
}

/// A tombstone of a deleted resource.
#[wire]
pub struct Deletion {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: Box<str>,
    /// The revision that deleted it.
    pub revision: Revision,
}

/// What a catalog shows about a write whose response was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// It was applied.
    Applied {
        /// The revision of the catalog with the write.
        revision: Revision,
    },
    /// It was not applied and never will be, because others have written since its base.
    NeverApplied,
    /// It has not been applied yet, but a delayed copy of it may still take effect.
    Indeterminate,
    /// Unknown: so many writes were accepted since its base that its record may have been dropped.
    Forgotten,
}

/// All accepted resources at one revision.
#[wire]
#[derive(Default)]
#[serde(default)]
pub struct Catalog {
    /// The revision; each accepted change increments it.
    pub revision: Revision,
    /// The id of the write that created this revision.
    pub write_id: WriteId,
    /// Records of the latest accepted writes, oldest first; at most [`MAX_RETAINED_WRITES`].
    pub writes: VecDeque<WriteRecord>,
    /// The latest deletions, oldest first; at most [`MAX_RETAINED_DELETIONS`].
    pub deletions: VecDeque<Deletion>,
    /// All deletions after this revision are retained in `deletions`.
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
    /// Limits that workspaces refer to.
    pub limits: Table<Limits>,
}

/// A resource of any kind in the catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogEntry {
    /// Its name.
    pub name: Box<str>,
    /// The revision of its last change.
    pub revision: Revision,
    /// Its kind and spec.
    pub resource: Resource,
}

/// Evaluates `$body` for the table of `$kind`, bound to `$table`; `$variant` is the constructor that
/// wraps a spec of that kind in a [`Resource`].
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
    /// Returns the resource of `kind` with this name, if it exists.
    pub fn find(&self, kind: Kind, name: &str) -> Option<CatalogEntry> {
        table_of!([&] self, kind, (table, variant) => {
            table.row(name).map(|row| entry(name, row, variant))
        })
    }

    /// Returns all resources of `kind`, ordered by name.
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

    /// Inserts or replaces a resource as last changed by `revision`.
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

    /// Deletes a resource as of `revision`; returns whether it existed.
    pub fn delete(&mut self, kind: Kind, name: &str, revision: Revision) -> bool {
        let existed = self.remove(kind, name);
        if existed {
            self.retain_deletion(Deletion { kind, name: name.into(), revision });
        }
        existed
    }

    /// Applies a deletion received from a process that is ahead of the revision `current`.
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

    /// Increments the revision for the accepted write `id`, and returns it.
    pub fn record_write(&mut self, id: WriteId) -> Revision {
        self.revision += 1;
        self.write_id = id;
        self.retain_write(WriteRecord { id, revision: self.revision });
        self.revision
    }

    /// Retains the record of an accepted write, and drops the oldest record when there are too many.
    pub(crate) fn retain_write(&mut self, record: WriteRecord) {
        self.writes.push_back(record);
        while self.writes.len() > MAX_RETAINED_WRITES {
            self.writes.pop_front();
        }
    }

    /// Returns the status of the write `id` that was based on the revision `base`.
    ///
    /// Every write is a compare-and-swap from its base, and every accepted write increments the
    /// revision. So once the revision is above `base`, a delayed copy of the write fails.
    pub fn write_status(&self, id: WriteId, base: Revision) -> WriteStatus {
        if let Some(record) = self.writes.iter().find(|record| record.id == id) {
            return WriteStatus::Applied { revision: record.revision };
        }
        if self.revision <= base {
            return WriteStatus::Indeterminate;
        }
        // Revisions are consecutive, so the records cover all writes after `base` if the oldest
        // record is of the first of these or of an earlier one.
        match self.writes.front() {
            Some(oldest) if oldest.revision <= base + 1 => WriteStatus::NeverApplied,
            _ => WriteStatus::Forgotten,
        }
    }

    /// Returns a digest that is equal for equal catalogs and, except for hash collisions, differs
    /// otherwise.
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
