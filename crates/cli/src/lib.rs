//! The operators' tool `samphire`.
//!
//! - [`args`]: [`Args`](args::Args), the command line.
//! - [`command`]: the commands.
//! - [`servers`]: [`Servers`](servers::Servers), which goes on to the next server when one is
//!   silent, and never repeats a write whose outcome is unclear.
//! - [`failure`]: [`Failure`](failure::Failure) and the exit codes.
//! - [`history`]: one request's story, from the log lines of all processes.
//! - [`table`]: tables for people.
//!
//! ```
//! use cli::prelude::*;
//!
//! let mut table = Table::new(&["NAME", "REVISION"]);
//! table.row(["tide".into(), "4".into()]);
//! assert_eq!(table.to_string(), "NAME  REVISION\ntide  4\n");
//! ```

pub mod args;
pub mod command;
pub mod failure;
pub mod history;
pub mod servers;
pub mod table;

/// The common types of this crate.
pub mod prelude {
    pub use crate::args::Args;
    pub use crate::args::Output;
    pub use crate::failure::Failure;
    pub use crate::servers::Servers;
    pub use crate::table::Table;
}
