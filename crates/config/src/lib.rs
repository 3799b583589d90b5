//! The daemon's settings: parsed from JSON, validated as a whole, and printable.
//!
//! - [`settings`]: [`Settings`](settings::Settings) and its parts, declared once with their
//!   defaults and bounds.
//! - [`fields`]: [`Fields`](fields::Fields), which reads a JSON object and collects all errors with
//!   their paths.
//! - [`secret`]: [`Secret`](secret::Secret), a credential that is never printed.
//!
//! ```
//! use config::prelude::*;
//!
//! let text = r#"{"node": "a-1", "failure_domain": "a", "keeper": {"probe_period_ms": 0}}"#;
//! let findings = Settings::try_from(text).unwrap_err();
//! assert!(findings.to_string().contains("$.keeper.probe_period_ms: found 0"));
//! ```

mod check;
mod claims;
pub mod fields;
pub mod secret;
pub mod settings;

/// The common types of this crate.
pub mod prelude {
    pub use crate::secret::Secret;
    pub use crate::settings::*;
}
