//! Failures of commands, and their exit codes.
//!
//! | code | meaning |
//! |---|---|
//! | 0 | success |
//! | 1 | refused, conflict, not found, or not permitted; nothing was applied |
//! | 2 | invalid usage or an invalid file; nothing was sent |
//! | 3 | no server was reachable; nothing was applied |
//! | 4 | the outcome of a write is unknown; its status can be queried by its id |
//! | 5 | not applied, because the key-value service is down or busy; try again later |

use base::prelude::*;
use displaydoc::Display;
use spec::api::ErrorKind;
use spec::api::ErrorView;

/// Why a command failed.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Failure {
    /// {0}
    Refused(ErrorResponse),
    /// {place}: {problem}
    BadInput {
        /// The file or argument.
        place: Box<str>,
        /// What is wrong with it.
        problem: Box<str>,
    },
    /// no server reachable: {0}
    Unreachable(Box<str>),
    /// write {write_id}: the outcome is unknown; query it with `samphire status --write {write_id}`
    Unknown {
        /// The id of the write.
        write_id: WriteId,
    },
    /// {0}
    NotApplied(ErrorResponse),
}

impl std::error::Error for Failure {}

/// An error response of the operator API, displayed with all its details.
#[derive(Clone, Debug, PartialEq)]
pub struct ErrorResponse(pub Box<ErrorView>);

impl std::fmt::Display for ErrorResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.message)?;
        for stale in &self.0.stale {
            let (kind, name) = (stale.kind, &stale.name);
            let (expected, current) = (stale.expected, stale.current);
            write!(f, "\n{kind}/{name}: revision {expected} expected, {current} found")?;
        }
        for finding in self.0.findings.iter() {
            write!(f, "\n{finding}")?;
        }
        Ok(())
    }
}

impl Failure {
    /// Converts an error response to a failure.
    pub fn from_response(response: ErrorView) -> Self {
        match (response.error, response.write_id) {
            (ErrorKind::Unknown, Some(write_id)) => Failure::Unknown { write_id },
            (ErrorKind::NotApplied, _) => Failure::NotApplied(ErrorResponse(Box::new(response))),
            _ => Failure::Refused(ErrorResponse(Box::new(response))),
        }
    }

    /// Returns the failure for an invalid file or argument.
    pub fn bad_input(place: impl Into<Box<str>>, problem: impl ToString) -> Self {
        Failure::BadInput { place: place.into(), problem: problem.to_string().into() }
    }

    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::Refused(_) => 1,
            Failure::BadInput { .. } => 2,
            Failure::Unreachable(_) => 3,
            Failure::Unknown { .. } => 4,
            Failure::NotApplied(_) => 5,
        }
    }
}
