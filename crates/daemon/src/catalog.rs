//! The accepted configuration in force in this process.
//!
//! Offers under [`names::CATALOG`]:
//!
//! - a view of [`Catalog`]: the configuration in force, which never gets lower;
//! - a view of [`Admission`]: whether this process takes new requests;
//! - a view of [`HighestRevision`]: the highest revision that this process knows to stand;
//! - a mailbox for [`StoredCatalog`]: a catalog that is known to stand in the key-value service.
//!
//! The decisions are those of [`spec::active_catalog`] and [`member::sync`]; the calls around them are in
//! the module `config_sync`.

use std::sync::Arc;

use base::prelude::*;
use kernel::prelude::*;
use spec::prelude::Catalog;

use crate::config_sync;
use crate::names;

/// Catalogs that may wait for the service.
const MAILBOX_DEPTH: usize = 64;

/// Whether this process takes new requests.
#[data]
pub struct Admission {
    /// Whether it does: a configuration is in force and fresh enough.
    pub takes_requests: bool,
}

/// The highest revision that this process knows to stand, in force here or not.
#[data]
pub struct HighestRevision {
    /// The revision.
    pub revision: Revision,
}

/// A catalog that is known to stand in the key-value service, from an accepted change.
#[data]
pub struct StoredCatalog(pub Arc<Catalog>);

/// Describes the service.
pub fn service() -> Service {
    let needs = &[names::STORE, names::PEER, names::MEMBER];
    Service::new(names::CATALOG, needs, |cx| async move {
        let views = config_sync::Views {
            catalog: cx.publish(names::CATALOG, Catalog::default()),
            admission: cx.publish(names::CATALOG, Admission { takes_requests: false }),
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
