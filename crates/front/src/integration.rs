//! What a deployment plugs in.
//!
//! The product's own implementations are [`kv::memory::MemoryStore`] and `kv::etcd` for the store
//! and the JSON forms of its own types for values; a platform brings its own.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use form::prelude::*;
use futures::future::BoxFuture;
use kv::prelude::*;
use pass::prelude::*;

/// Gives orders to backend servers.
pub trait OrderSender: Send + Sync + 'static {
    /// Gives one order and returns what became of it.
    fn send<'a>(&'a self, command: &'a Command) -> BoxFuture<'a, Reply>;
}

/// Reads the values that others write to the store.
pub trait ValueDecoder: Send + Sync + 'static {
    /// Reads what a backend server says of itself; `id` stands in its key.
    fn decode_server(&self, id: &str, value: &[u8]) -> Result<Server, Findings>;

    /// Reads what operators declare.
    fn decode_config(&self, value: &[u8]) -> Result<Declared, Findings>;
}

/// Where things stand in the store.
#[data]
pub struct StoreKeys {
    /// The prefix below which backend servers report.
    pub servers: Box<str>,
    /// The key of what operators declare.
    pub declared: Box<str>,
    /// The prefix of the system's own keys.
    pub own: Box<str>,
}

/// All edges of a process.
#[derive(Clone)]
pub struct Integration {
    /// The store.
    pub store: Arc<dyn LeaseStore>,
    /// Reads values.
    pub decoder: Arc<dyn ValueDecoder>,
    /// Gives orders.
    pub order_sender: Arc<dyn OrderSender>,
    /// Where things stand in the store.
    pub keys: StoreKeys,
    /// The names of headers.
    pub dialect: Arc<Dialect>,
}

/// The address of a peer, as it stands in the store.
#[wire]
pub struct PeerEntry {
    /// Where it listens for peers.
    pub address: SocketAddr,
}
