//! The interfaces that a deployment implements.
//!
//! The product's own implementations are [`kv::memory::MemoryStore`] and `kv::etcd` for the store
//! and the JSON forms of its own types for values; a hosting platform provides its own.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use form::prelude::*;
use futures::future::BoxFuture;
use kv::prelude::*;
use pass::prelude::*;

/// Sends orders to backend servers.
pub trait OrderSender: Send + Sync + 'static {
    /// Sends one order and returns its outcome.
    fn send<'a>(&'a self, command: &'a Command) -> BoxFuture<'a, Reply>;
}

/// Decodes the values that backend servers and operators write to the store.
pub trait ValueDecoder: Send + Sync + 'static {
    /// Decodes a backend server's report; `id` is the server's id from the key.
    ///
    /// # Errors
    ///
    /// Returns what is invalid if the value can't be decoded.
    fn decode_server(&self, id: &str, value: &[u8]) -> Result<Server, Findings>;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns what is invalid if the value can't be decoded.
    fn decode_config(&self, value: &[u8]) -> Result<RoutingConfig, Findings>;
}

/// The keys of the store.
#[data]
pub struct StoreKeys {
    /// The prefix below which backend servers report.
    pub servers: Box<str>,
    /// The key of the operators' configuration.
    pub config: Box<str>,
    /// The prefix of the keys that exist while operators evacuate the failure domain that they name.
    pub evacuations: Box<str>,
    /// The prefix of the system's own keys.
    pub own: Box<str>,
}

/// Everything that a process needs from its deployment.
#[derive(Clone)]
pub struct Integration {
    /// The store.
    pub store: Arc<dyn LeaseStore>,
    /// Decodes values.
    pub decoder: Arc<dyn ValueDecoder>,
    /// Sends orders.
    pub order_sender: Arc<dyn OrderSender>,
    /// The keys of the store.
    pub keys: StoreKeys,
    /// The names of headers.
    pub header_names: Arc<HeaderNames>,
}

/// The value of a hub lock: how other processes reach the hub.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerEntry {
    /// Where the hub listens for peers.
    pub address: SocketAddr,
}
