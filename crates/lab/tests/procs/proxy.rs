//! A TCP proxy whose open connections a test silences: they discard the bytes of both directions
//! and stay open, while new connections work.
#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

/// A proxy to one address.
pub struct FaultyProxy {
    /// The address of the proxy.
    pub address: SocketAddr,
    silencings: Arc<AtomicU64>,
    returned: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
}

impl FaultyProxy {
    /// Starts a proxy to `to`.
    pub async fn to(to: SocketAddr) -> FaultyProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (silencings, returned) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let opened = Arc::new(AtomicU64::new(0));
        let counts = (silencings.clone(), returned.clone(), opened.clone());
        tokio::spawn(async move {
            let (silencings, returned, opened) = counts;
            while let Ok((client, _)) = listener.accept().await {
                opened.fetch_add(1, Ordering::SeqCst);
                let Ok(server) = TcpStream::connect(to).await else { continue };
                let (client_rx, client_tx) = client.into_split();
                let (server_rx, server_tx) = server.into_split();
                tokio::spawn(forward(client_rx, server_tx, silencings.clone(), Arc::default()));
                tokio::spawn(forward(server_rx, client_tx, silencings.clone(), returned.clone()));
            }
        });
        FaultyProxy { address, silencings, returned, opened }
    }

    /// Silences all open connections permanently.
    pub fn silence_connections(&self) {
        self.silencings.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the number of bytes forwarded from the target to its clients.
    pub fn bytes_returned(&self) -> u64 {
        self.returned.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that clients have opened.
    pub fn connections_opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }
}

async fn forward(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    silencings: Arc<AtomicU64>,
    returned: Arc<AtomicU64>,
) {
    let silencings_at_start = silencings.load(Ordering::SeqCst);
    let mut buf = vec![0; 16 << 10];
    loop {
        let count = rx.read(&mut buf).await.unwrap_or_default();
        if silencings.load(Ordering::SeqCst) != silencings_at_start {
            if count == 0 {
                // The close of a silenced connection is not forwarded either.
                return std::future::pending().await;
            }
            continue;
        }
        if count == 0 {
            let _ = tx.shutdown().await;
            return;
        }
        returned.fetch_add(count as u64, Ordering::SeqCst);
        if tx.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
