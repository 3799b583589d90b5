//! The operators' tool `samphire`.
//!
//! - [`args`]: [`Args`](args::Args), the command line.
//! - [`command`]: the commands.
//! - [`servers`]: [`Servers`](servers::Servers), the client of the operator API. It fails over to
//!   the next server when one does not respond, and never resends a write whose outcome is unknown.
//! - [`failure`]: [`Failure`](failure::Failure) and the exit codes.
//! - [`history`]: the history of one request, reconstructed from the logs of all processes.
//! - [`table`]: plain-text tables.
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
