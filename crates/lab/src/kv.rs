//! A stand-in for the platform's key-value service.
//!
//! It speaks the subset of the etcd v3 protocol that the daemons use, over an in-memory store. A
//! transaction compares the modification revision of one key and changes that key. Reads and
//! writes are rate limited, leases expire, calls are counted by kind, and [`faults`] are switched
//! while the service runs.

mod connection;
pub mod faults;
mod leases;
mod service;
mod token_bucket;
mod watch;

use std::sync::Arc;

use kv::memory::MemoryStore;
use proto::etcdserverpb::kv_server;
use proto::etcdserverpb::lease_server;
use proto::etcdserverpb::watch_server;
use tokio::net::TcpListener;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use self::connection::FaultyConnection;
pub use self::faults::KvCounts;
pub use self::faults::KvFaultUpdate;
pub use self::faults::KvFaults;
pub use self::faults::Outage;
use self::service::Service;
use self::watch::Watches;

/// Maximum size of a received message in bytes: a value of up to 1 MiB and its envelope.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// The stand-in key-value service.
#[derive(Clone, Default)]
pub struct KvServer {
    /// Its contents.
    pub store: MemoryStore,
    /// Its faults, limits and counters.
    pub faults: KvFaults,
}

impl KvServer {
    /// Serves clients at `listener` until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns the transport error that ended the service.
    pub async fn serve(self, listener: TcpListener) -> Result<(), tonic::transport::Error> {
        let faults = self.faults.clone();
        let incoming = TcpListenerStream::new(listener).filter_map(move |stream| match stream {
            Ok(stream) if faults.refuses_connections() => {
                drop(stream);
                None
            }
            Ok(stream) => Some(Ok(FaultyConnection::new(stream, faults.clone()))),
            Err(error) => Some(Err(error)),
        });
        let service = Arc::new(Service::new(self.store, self.faults));
        tokio::spawn(leases::expire(Arc::downgrade(&service)));
        let kv = kv_server::KvServer::from_arc(service.clone());
        Server::builder()
            .add_service(kv.max_decoding_message_size(MAX_MESSAGE_BYTES))
            .add_service(watch_server::WatchServer::new(Watches(service.clone())))
            .add_service(lease_server::LeaseServer::from_arc(service))
            .serve_with_incoming(incoming)
            .await
    }
}
