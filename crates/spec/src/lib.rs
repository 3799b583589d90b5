//! The resources that operators declare, and the accepted configuration that they form.
//!
//! - [`resource`]: the kinds of resource and their specs.
//! - [`catalog`]: [`Catalog`](catalog::Catalog), all accepted resources at one revision.
//!
//! ```
//! use spec::prelude::*;
//!
//! let mut catalog = Catalog::default();
//! catalog.models.put("tide", Model { max_output_tokens: 4096 });
//! assert!(catalog.models.get("tide").is_some());
//! ```

pub mod catalog;
pub mod resource;

/// The common types of this crate.
pub mod prelude {
    pub use crate::catalog::Catalog;
    pub use crate::catalog::Table;
    pub use crate::resource::*;
}
