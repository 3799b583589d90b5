//! Finds what services offer each other, by service name and type.
//!
//! A service offers a mailbox (messages to it), a view (its latest state) or any other cloneable
//! handle. Another service looks it up by the service's name and the type of the message or
//! state, so that neither holds the other's concrete type.
//!
//! Invariant: at most one offer stands for each pair of name and type.

use std::any::Any;
use std::any::TypeId;
use std::any::type_name;
use std::collections::HashMap;
use std::sync::Arc;

use displaydoc::Display;
use parking_lot::RwLock;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::service::ServiceName;

/// service `{service}` offers no `{handle_type}`
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct NotRegistered {
    /// The service that was asked.
    pub service: ServiceName,
    /// The type that was looked for.
    pub handle_type: &'static str,
}

impl std::error::Error for NotRegistered {}

type Offers = HashMap<(ServiceName, TypeId), Box<dyn Any + Send + Sync>>;

/// What the services of one process offer each other. Clones share the same offers.
#[derive(Clone, Default)]
pub struct Registry {
    offers: Arc<RwLock<Offers>>,
}

impl Registry {
    /// Offers `handle` under the name of `service`, in place of an earlier one of its type.
    pub fn register<T: Clone + Send + Sync + 'static>(&self, service: ServiceName, handle: T) {
        self.offers.write().insert((service, TypeId::of::<T>()), Box::new(handle));
    }

    /// Finds the handle of type `T` that `service` offers.
    pub fn lookup<T: Clone + Send + Sync + 'static>(
        &self,
        service: ServiceName,
    ) -> Result<T, NotRegistered> {
        let offers = self.offers.read();
        offers
            .get(&(service, TypeId::of::<T>()))
            .and_then(|offer| offer.downcast_ref::<T>())
            .cloned()
            .ok_or(NotRegistered { service, handle_type: type_name::<T>() })
    }

    /// Opens a mailbox for messages of type `M` to `service`, bounded by `depth`.
    pub fn mailbox<M: Send + 'static>(
        &self,
        service: ServiceName,
        depth: usize,
    ) -> mpsc::Receiver<M> {
        let (tx, rx) = mpsc::channel::<M>(depth);
        self.register(service, tx);
        rx
    }

    /// Finds the mailbox of `service` for messages of type `M`.
    pub fn sender<M: Send + 'static>(
        &self,
        service: ServiceName,
    ) -> Result<mpsc::Sender<M>, NotRegistered> {
        self.lookup(service)
    }

    /// Opens a view of the state `T` of `service`, first showing `first`.
    pub fn publish<T: Send + Sync + 'static>(
        &self,
        service: ServiceName,
        first: T,
    ) -> watch::Sender<Arc<T>> {
        let (tx, rx) = watch::channel(Arc::new(first));
        self.register(service, rx);
        tx
    }

    /// Finds the view of the state `T` that `service` publishes.
    pub fn subscribe<T: Send + Sync + 'static>(
        &self,
        service: ServiceName,
    ) -> Result<watch::Receiver<Arc<T>>, NotRegistered> {
        self.lookup(service)
    }
}
