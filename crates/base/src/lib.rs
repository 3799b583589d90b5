//! Types and functions shared by all other crates of the workspace.
//!
//! - [`ids`]: type aliases for ids and numbers that are exchanged between processes.
//! - [`finding`]: [`Finding`](finding::Finding) and [`Findings`](finding::Findings), validation
//!   problems, collected with their location and reported together.
//! - [`hash`]: stable hashing, and rendezvous hashing for soft ownership.
//! - [`clock`]: the hybrid logical clock, which orders events across processes.
//! - [`event`]: the typed events of the timeline.
//! - [`trace`]: recorded traces that are replayed through a crate's decision logic.
//! - [`prelude`]: the common types, for a glob import.
//!
//! ```
//! use base::prelude::*;
//!
//! let mut findings = Findings::default();
//! findings.add("$.listen.caller", "port 70000 is above 65535");
//! assert_eq!(findings.to_string(), "$.listen.caller: port 70000 is above 65535");
//! ```

pub mod clock;
pub mod event;
pub mod finding;
pub mod hash;
pub mod ids;
pub mod trace;

/// The common types of the workspace.
pub mod prelude {
    pub use std::time::Duration;
    pub use std::time::SystemTime;

    pub use mac::data;
    pub use mac::key;
    pub use mac::wire;

    pub use crate::clock::Hlc;
    pub use crate::clock::HlcClock;
    pub use crate::event::Event;
    pub use crate::event::StampedEvent;
    pub use crate::finding::Finding;
    pub use crate::finding::Findings;
    pub use crate::ids::*;
}
