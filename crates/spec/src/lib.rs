//! The resources that operators declare, and the accepted configuration that they form.
//!
//! - [`resource`]: the kinds of resource and their specs; [`kind`]: a resource of any kind.
//! - [`catalog`]: [`Catalog`](catalog::Catalog), all accepted resources at one revision.
//! - [`manifest`]: [`Manifest`](manifest::Manifest), a resource as operators write it;
//!   [`read`] deserializes a JSON value and reports all its errors, [`rules`] validates one
//!   resource by itself.
//! - [`verify`]: validates a whole catalog, with the references between resources.
//! - [`accept`]: [`Acceptor`](accept::Acceptor), accepts changes and orders them.
//! - [`delta`]: differences between two revisions; [`active_catalog`]: which catalog is active in a
//!   process, and where it gets newer ones from.
//! - [`api`]: request and response bodies of the operator API.
//! - [`status`]: the observed state of resources.
//! - [`trace`]: replays traces of concurrent operators on a faulty store.
//!
//! ```
//! use spec::prelude::*;
//!
//! let text = r#"{"kind": "model", "name": "tide", "spec": {"max_output_tokens": 4096}}"#;
//! let manifests = read_manifests(text).unwrap();
//! let mut catalog = Catalog::default();
//! for manifest in manifests {
//!     catalog.set(&manifest.name, manifest.resource, 1);
//! }
//! assert!(catalog.models.get("tide").is_some());
//! assert!(verify(&catalog).is_ok());
//! ```

pub mod accept;
pub mod active_catalog;
pub mod api;
pub mod catalog;
pub mod delta;
pub mod kind;
pub mod manifest;
mod pattern;
pub mod read;
pub mod resource;
pub mod rules;
pub mod status;
pub mod trace;
pub mod verify;

/// The common types of this crate.
pub mod prelude {
    pub use crate::catalog::CATALOG_KEY;
    pub use crate::catalog::Catalog;
    pub use crate::catalog::CatalogEntry;
    pub use crate::catalog::Table;
    pub use crate::kind::Resource;
    pub use crate::manifest::Manifest;
    pub use crate::manifest::RawManifest;
    pub use crate::manifest::read_manifests;
    pub use crate::resource::*;
    pub use crate::verify::verify;
}
