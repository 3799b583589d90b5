//! A registry of handles, looked up by service name and type.
//!
//! A service registers a mailbox (messages to it), a published state (its latest value) or any
//! other cloneable handle. Another service looks it up by the service's name and the type of the
//! message or state, so that neither depends on the other's concrete type.
//!
//! Invariant: at most one handle is registered for each pair of name and type.

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

/// service `{service}` has registered no `{handle_type}`
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct NotRegistered {
    /// The service that was looked up.
    pub service: ServiceName,
    /// The type that was looked for.
    pub handle_type: &'static str,
}

impl std::error::Error for NotRegistered {}

type Handles = HashMap<(ServiceName, TypeId), Box<dyn Any + Send + Sync>>;

/// The handles that the services of one process have registered. Clones share the same handles.
#[derive(Clone, Default)]
pub struct Registry {
    handles: Arc<RwLock<Handles>>,
}

impl Registry {
    /// Registers `handle` under the name of `service`, replacing an earlier one of the same type.
    pub fn register<T: Clone + Send + Sync + 'static>(&self, service: ServiceName, handle: T) {
        self.handles.write().insert((service, TypeId::of::<T>()), Box::new(handle));
    }

    /// Returns the handle of type `T` that `service` has registered.
    pub fn lookup<T: Clone + Send + Sync + 'static>(
        &self,
        service: ServiceName,
    ) -> Result<T, NotRegistered> {
        let handles = self.handles.read();
        handles
            .get(&(service, TypeId::of::<T>()))
            .and_then(|handle| handle.downcast_ref::<T>())
            .cloned()
            .ok_or(NotRegistered { service, handle_type: type_name::<T>() })
    }

    /// Registers a mailbox of `service` for messages of type `M`, with room for `depth` messages,
    /// and returns its receiving end.
    pub fn mailbox<M: Send + 'static>(
        &self,
        service: ServiceName,
        depth: usize,
    ) -> mpsc::Receiver<M> {
        let (tx, rx) = mpsc::channel::<M>(depth);
        self.register(service, tx);
        rx
    }

    /// Returns the sending end of the mailbox of `service` for messages of type `M`.
    pub fn sender<M: Send + 'static>(
        &self,
        service: ServiceName,
    ) -> Result<mpsc::Sender<M>, NotRegistered> {
        self.lookup(service)
    }

    /// Registers a published state of type `T` of `service`, with the value `first` at the start.
    pub fn publish<T: Send + Sync + 'static>(
        &self,
        service: ServiceName,
        first: T,
    ) -> watch::Sender<Arc<T>> {
        let (tx, rx) = watch::channel(Arc::new(first));
        self.register(service, rx);
        tx
    }

    /// Subscribes to the state of type `T` that `service` publishes.
    pub fn subscribe<T: Send + Sync + 'static>(
        &self,
        service: ServiceName,
    ) -> Result<watch::Receiver<Arc<T>>, NotRegistered> {
        self.lookup(service)
    }
}
