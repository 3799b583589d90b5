//! Events and actions of an [`Acceptor`](crate::accept::Acceptor).

use std::sync::Arc;

use base::prelude::*;

use super::Change;
use super::StaleRevision;
use crate::catalog::Catalog;
use crate::resource::Kind;

/// Number that identifies a submitted change within one daemon.
pub type Ticket = u64;

/// The catalog as the store holds it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stored {
    /// The catalog; the default one if the store holds none.
    pub catalog: Arc<Catalog>,
    /// The store's own revision of the last write of the value; 0 if the store holds no catalog.
    pub mod_revision: u64,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteResult {
    /// The value was written.
    Committed,
    /// The stored value was not the expected one; this call wrote nothing.
    Conflict {
        /// The value found instead.
        current: Stored,
    },
    /// The store rejected the call without executing it.
    NotApplied {
        /// Time to wait before another attempt.
        retry_after: Duration,
    },
    /// The encoded catalog exceeds the maximum size of a value; nothing was sent.
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
    },
    /// No definite response: the write may have taken effect, or may take effect later.
    Indeterminate,
}

/// Input of an [`Acceptor`](crate::accept::Acceptor).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An operator submitted a change.
    Submitted {
        /// The number by which [`Action::Answer`] identifies the change.
        ticket: Ticket,
        /// The change.
        change: Change,
    },
    /// The read succeeded.
    Read(Stored),
    /// The read failed.
    ReadFailed {
        /// Time to wait before another attempt.
        retry_after: Duration,
    },
    /// The write completed.
    WriteCompleted(WriteResult),
    /// Time has passed.
    Tick,
}

/// Output of an [`Acceptor`](crate::accept::Acceptor), to be carried out by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the catalog; answered by [`Event::Read`] or [`Event::ReadFailed`].
    Read,
    /// Write the catalog if the store's revision of it is `expected`; answered by
    /// [`Event::WriteCompleted`].
    Write {
        /// The store's revision that was read; 0 if the store held no catalog.
        expected: u64,
        /// The new catalog.
        catalog: Arc<Catalog>,
    },
    /// Answer a change.
    Answer {
        /// The number of the change.
        ticket: Ticket,
        /// The answer.
        outcome: Outcome,
    },
    /// This catalog was read from the store or written to it, so it may become active.
    Committed(Arc<Catalog>),
    /// Send [`Event::Tick`] at this time.
    Wake(Mono),
}

/// The answer to a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The change is part of the stored catalog.
    Accepted {
        /// The revision that applied it, or at which the declared state already held.
        revision: Revision,
        /// Whether it modified the catalog.
        changed: bool,
    },
    /// A dry run without findings.
    Checked {
        /// The revision on which it was evaluated.
        revision: Revision,
        /// Whether it would modify the catalog.
        changed: bool,
    },
    /// The revision of a resource differs from the expected one; nothing was applied.
    Conflict {
        /// The resources with their expected and actual revisions.
        stale: Vec<StaleRevision>,
    },
    /// The resource to delete does not exist; nothing was applied.
    NotFound {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: Box<str>,
    },
    /// The change violates validation rules; nothing was applied.
    Refused {
        /// All violations.
        findings: Findings,
    },
    /// The change was not applied and never will be.
    NotApplied {
        /// Time to wait before another attempt.
        retry_after: Duration,
        /// Why the change was not applied.
        reason: &'static str,
    },
    /// The change may or may not have been applied.
    Unknown {
        /// Id of the write, for a query of its status.
        write_id: WriteId,
        /// Base revision of the write, for a query of its status.
        base: Revision,
    },
}
