//! Finds the workspace of an API key.
//!
//! Only SHA-256 hashes of keys are stored. The table of hashes is built once for each revision of
//! the configuration.

use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;
use parking_lot::Mutex;
use sha2::Digest;
use sha2::Sha256;
use spec::prelude::Catalog;

type ByHash = HashMap<Box<str>, WorkspaceId>;

#[derive(Default)]
struct Table {
    revision: Revision,
    by_hash: Arc<ByHash>,
}

/// The API keys of the workspaces.
#[derive(Default)]
pub struct Keys {
    table: Mutex<Table>,
}

impl Keys {
    /// Returns the workspace that accepts `key` in `catalog`.
    pub fn workspace_of(&self, catalog: &Catalog, key: Option<&str>) -> Option<WorkspaceId> {
        let hash = hash_key(key?);
        self.of_revision(catalog).get(&*hash).cloned()
    }

    fn of_revision(&self, catalog: &Catalog) -> Arc<ByHash> {
        let mut table = self.table.lock();
        if table.revision != catalog.revision {
            *table = Table { revision: catalog.revision, by_hash: Arc::new(by_hash(catalog)) };
        }
        table.by_hash.clone()
    }
}

fn by_hash(catalog: &Catalog) -> ByHash {
    let workspaces = catalog.workspaces.iter();
    workspaces
        .flat_map(|(name, workspace)| {
            workspace.key_hashes.iter().map(move |hash| (hash.clone(), name.into()))
        })
        .collect()
}

/// Returns the hash of a key, as stored in the workspace: SHA-256 in hexadecimal.
pub fn hash_key(key: &str) -> Box<str> {
    hex::encode(Sha256::digest(key.as_bytes())).into()
}
