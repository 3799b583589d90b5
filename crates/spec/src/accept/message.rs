//! What goes into an [`Acceptor`](crate::accept::Acceptor)(super::Acceptor) and what comes out.

use std::sync::Arc;

use base::prelude::*;

use super::Change;
use super::StaleRevision;
use crate::catalog::Catalog;
use crate::resource::Kind;

/// Number of a change at one daemon.
pub type Ticket = u64;

/// The catalog as the store holds it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stored {
    /// The catalog; the default one if the store holds none.
    pub catalog: Arc<Catalog>,
    /// The store's revision of the write; 0 if the store holds no catalog.
    pub mod_revision: u64,
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteResult {
    /// It stands.
    Committed,
    /// Another value stood there; nothing was written by this call.
    Conflict {
        /// What stood there.
        current: Stored,
    },
    /// The store did not carry it out.
    NotApplied {
        /// When to come back.
        retry_after: Duration,
    },
    /// The encoded catalog is larger than a value may be; nothing was sent.
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
    },
    /// No clear answer; it may have happened, or may happen later.
    Indeterminate,
}

/// What happens to an [`Acceptor`](crate::accept::Acceptor).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An operator asks for a change.
    Submitted {
        /// The number under which it will be answered.
        ticket: Ticket,
        /// The change.
        change: Change,
    },
    /// The read ended.
    Read(Stored),
    /// The read gave no answer.
    ReadFailed {
        /// When to come back.
        retry_after: Duration,
    },
    /// The write ended.
    WriteCompleted(WriteResult),
    /// Time has passed.
    Tick,
}

/// What an [`Acceptor`](crate::accept::Acceptor) wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the catalog; answered by [`Event::Read`] or [`Event::ReadFailed`].
    Read,
    /// Write the catalog if the store's revision of it is `expected`; answered by
    /// [`Event::WriteCompleted`].
    Write {
        /// The store's revision that was read; 0 if no catalog stood there.
        expected: u64,
        /// The new catalog.
        catalog: Arc<Catalog>,
    },
    /// Answer a change.
    Answer {
        /// Its number.
        ticket: Ticket,
        /// The answer.
        outcome: Outcome,
    },
    /// This catalog is known to stand in the store.
    Committed(Arc<Catalog>),
    /// Send a [`Event::Tick`] at this time.
    Wake(Mono),
}

/// The answer to a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The change stands.
    Accepted {
        /// The revision that it brought, or at which it already held.
        revision: Revision,
        /// Whether it changed anything.
        changed: bool,
    },
    /// A dry run found nothing against the change.
    Checked {
        /// The revision that it was checked on.
        revision: Revision,
        /// Whether it would change anything.
        changed: bool,
    },
    /// A resource has another revision than the change wants; nothing was applied.
    Conflict {
        /// The resources and their revisions.
        stale: Vec<StaleRevision>,
    },
    /// The resource to delete does not exist; nothing was applied.
    NotFound {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: Box<str>,
    },
    /// The change breaks rules; nothing was applied.
    Refused {
        /// All that was found.
        findings: Findings,
    },
    /// Nothing was applied, and nothing will be.
    NotApplied {
        /// When to come back.
        retry_after: Duration,
        /// Why.
        reason: &'static str,
    },
    /// The change may or may not have been applied.
    Unknown {
        /// The id to ask with.
        write_id: WriteId,
        /// The revision that the write was based on, to ask with.
        base: Revision,
    },
}
