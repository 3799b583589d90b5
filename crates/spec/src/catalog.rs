//! All accepted resources at one revision.
//!
//! A catalog is one value: it is accepted, spread and put in force as a whole, so no process ever
//! acts on a mix of two revisions.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::resource::*;

/// Resources of one kind by name, in the order of their names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Table<T> {
    rows: BTreeMap<Box<str>, T>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table { rows: BTreeMap::new() }
    }
}

impl<T> Table<T> {
    /// Returns the resource `name`.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.rows.get(name)
    }

    /// Adds the resource `name`, or replaces it, and returns the one that it replaced.
    pub fn put(&mut self, name: &str, spec: T) -> Option<T> {
        self.rows.insert(name.into(), spec)
    }

    /// Removes the resource `name` and returns it.
    pub fn remove(&mut self, name: &str) -> Option<T> {
        self.rows.remove(name)
    }

    /// Returns the resources with their names, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.rows.iter().map(|(name, spec)| (&**name, spec))
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

/// All accepted resources at one revision.
#[wire]
#[derive(Default)]
#[serde(default)]
pub struct Catalog {
    /// The revision; each accepted change raises it by one.
    pub revision: Revision,
    /// The id of the write that brought this revision.
    pub write_id: WriteId,
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
