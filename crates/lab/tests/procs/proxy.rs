//! A link between two ends that a test makes silent: open connections swallow bytes both ways,
//! while new ones work.
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

/// A link to one address.
pub struct FaultyProxy {
    /// Where to connect instead.
    pub address: SocketAddr,
    cuts: Arc<AtomicU64>,
    carried: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
}

impl FaultyProxy {
    /// Opens a link to `to`.
    pub async fn to(to: SocketAddr) -> FaultyProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (cuts, carried) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let opened = Arc::new(AtomicU64::new(0));
        let counts = (cuts.clone(), carried.clone(), opened.clone());
        tokio::spawn(async move {
            let (cuts, carried, opened) = counts;
            while let Ok((near, _)) = listener.accept().await {
                opened.fetch_add(1, Ordering::SeqCst);
                let Ok(far) = TcpStream::connect(to).await else { continue };
                let (near_rx, near_tx) = near.into_split();
                let (far_rx, far_tx) = far.into_split();
                tokio::spawn(carry(near_rx, far_tx, cuts.clone(), Arc::default()));
                tokio::spawn(carry(far_rx, near_tx, cuts.clone(), carried.clone()));
            }
        });
        FaultyProxy { address, cuts, carried, opened }
    }

    /// Makes all open connections silent for good.
    pub fn silence_connections(&self) {
        self.cuts.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns how many bytes came back from the far end.
    pub fn bytes_returned(&self) -> u64 {
        self.carried.load(Ordering::SeqCst)
    }

    /// Returns how many connections were opened.
    pub fn connections_opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }
}

async fn carry(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    cuts: Arc<AtomicU64>,
    carried: Arc<AtomicU64>,
) {
    let born = cuts.load(Ordering::SeqCst);
    let mut buf = vec![0; 16 << 10];
    loop {
        let count = rx.read(&mut buf).await.unwrap_or_default();
        if cuts.load(Ordering::SeqCst) != born {
            if count == 0 {
                // The end of a silent connection does not reach the other side either.
                return std::future::pending().await;
            }
            continue;
        }
        if count == 0 {
            let _ = tx.shutdown().await;
            return;
        }
        carried.fetch_add(count as u64, Ordering::SeqCst);
        if tx.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
