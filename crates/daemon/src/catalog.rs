//! The accepted configuration that is active in this process.
//!
//! Registers under [`names::CATALOG`]:
//!
//! - a view of [`Catalog`]: the active configuration, whose revision never decreases;
//! - a view of [`Admission`]: whether this process accepts new requests;
//! - a view of [`HighestRevision`]: the highest revision that this process knows to exist;
//! - a mailbox for [`StoredCatalog`]: a catalog that is known to be stored in the key-value
//!   service.
//!
//! The decisions are made by the state machines [`spec::active_catalog`] and [`member::sync`];
//! their input and output is in the module `config_sync`.

use std::sync::Arc;

use base::prelude::*;
use kernel::prelude::*;
use spec::prelude::Catalog;

use crate::config_sync;
use crate::names;

/// Capacity of the mailbox, in catalogs.
const MAILBOX_DEPTH: usize = 64;

/// Whether this process accepts new requests.
#[data]
pub struct Admission {
    /// Whether a configuration is active, and this process had contact with the key-value service
    /// or a peer within the staleness bound.
    pub accepts_requests: bool,
}

/// The highest revision that this process knows to exist, whether it is active here or not.
#[data]
pub struct HighestRevision {
    /// The revision.
    pub revision: Revision,
}

/// A catalog that is known to be stored in the key-value service, from an accepted change.
#[data]
pub struct StoredCatalog(pub Arc<Catalog>);

/// Returns the service.
pub fn service() -> Service {
    let needs = &[names::STORE, names::PEER, names::MEMBER];
    Service::new(names::CATALOG, needs, |cx| async move {
        let views = config_sync::Views {
            catalog: cx.publish(names::CATALOG, Catalog::default()),
            admission: cx.publish(names::CATALOG, Admission { accepts_requests: false }),
            highest: cx.publish(names::CATALOG, HighestRevision { revision: 0 }),
        };
        let inbox = cx.mailbox::<StoredCatalog>(names::CATALOG, MAILBOX_DEPTH);
        let shell = config_sync::Shell::new(&cx, views)?;
        cx.ready();
        tokio::select! {
            ended = shell.run(inbox) => ended,
            () = cx.stopping() => Ok(()),
        }
    })
}
