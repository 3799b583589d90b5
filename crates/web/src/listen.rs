//! A listener that bounds the number of open connections and the time that they may be idle.
//!
//! `volo-http` bounds neither. The listener therefore keeps a second handle of each accepted socket,
//! and a periodic sweep shuts down sockets that have had no request in flight for too long. The
//! number of handles bounds the open connections: at the bound, new ones wait in the operating
//! system's accept queue.
//!
//! Once the listener stops, connections without a request in flight are shut down soon: a caller
//! that keeps one open would otherwise send its next request just as the process ends.
//!
//! Invariant: the sweep never shuts down a connection with a request in flight.

use std::collections::HashMap;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use volo::net::conn::Conn;
use volo::net::incoming::Incoming;

/// Interval between sweeps.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Interval between checks for idle connections once the listener has stopped.
const CLOSING_PERIOD: Duration = Duration::from_millis(50);

struct OpenConnection {
    socket: std::net::TcpStream,
    requests: usize,
    idle_since: Instant,
    has_served: bool,
}

/// The open connections of one listener. Clones share them.
#[derive(Clone)]
pub struct Connections {
    open: Arc<Mutex<HashMap<SocketAddr, OpenConnection>>>,
    closed: Arc<Notify>,
    max: usize,
    header_timeout: Duration,
    idle_timeout: Duration,
}

impl Connections {
    /// Creates the empty table of a listener. At most `max` connections are open; a connection may
    /// be without a request for `header_timeout` before its first one, and for `idle_timeout`
    /// between requests.
    pub fn new(max: usize, header_timeout: Duration, idle_timeout: Duration) -> Self {
        Connections {
            open: Arc::default(),
            closed: Arc::default(),
            max,
            header_timeout,
            idle_timeout,
        }
    }

    /// Returns the number of open connections, as of the last sweep.
    pub fn count(&self) -> usize {
        self.open.lock().len()
    }

    pub(crate) fn request_began(&self, peer: SocketAddr) {
        if let Some(open) = self.open.lock().get_mut(&peer) {
            open.requests += 1;
            open.has_served = true;
        }
    }

    pub(crate) fn request_ended(&self, peer: SocketAddr) {
        if let Some(open) = self.open.lock().get_mut(&peer) {
            open.requests = open.requests.saturating_sub(1);
            open.idle_since = Instant::now();
        }
    }

    /// Closes a connection whose response was broken off. The library's drop doesn't, since this table has
    /// a second handle of the socket.
    pub(crate) fn close(&self, peer: SocketAddr) {
        if let Some(open) = self.open.lock().get(&peer) {
            // The peer may have closed it already.
            let _ = open.socket.shutdown(Shutdown::Both);
        }
    }

    async fn wait_for_room(&self) {
        loop {
            let closed = self.closed.notified();
            if self.open.lock().len() < self.max {
                return;
            }
            closed.await;
        }
    }

    fn add(&self, peer: SocketAddr, socket: std::net::TcpStream) {
        let open =
            OpenConnection { socket, requests: 0, idle_since: Instant::now(), has_served: false };
        self.open.lock().insert(peer, open);
    }

    fn sweep(&self, now: Instant) {
        let mut open = self.open.lock();
        open.retain(|_, connection| {
            if connection.requests > 0 {
                return true;
            }
            let limit = if connection.has_served { self.idle_timeout } else { self.header_timeout };
            let expired = now.duration_since(connection.idle_since) >= limit;
            if expired {
                // The peer may have closed it already.
                let _ = connection.socket.shutdown(Shutdown::Both);
            }
            !expired && !is_closed(&connection.socket)
        });
        self.closed.notify_waiters();
    }

    async fn sweep_forever(self, stop: CancellationToken) {
        let mut period = tokio::time::interval(SWEEP_PERIOD);
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = period.tick() => self.sweep(Instant::now()),
            }
        }
        while self.close_idle() > 0 {
            tokio::time::sleep(CLOSING_PERIOD).await;
        }
    }

    /// Shuts down all connections without a request in flight; returns how many are left.
    fn close_idle(&self) -> usize {
        let mut open = self.open.lock();
        open.retain(|_, connection| {
            if connection.requests == 0 {
                // The peer may have closed it already.
                let _ = connection.socket.shutdown(Shutdown::Both);
            }
            connection.requests > 0
        });
        open.len()
    }
}

/// Returns whether the peer has closed `socket`, which must be nonblocking.
fn is_closed(socket: &std::net::TcpStream) -> bool {
    match socket.peek(&mut [0; 1]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// A listener that keeps within the bounds of its [`Connections`] and accepts none after `stop`.
pub struct BoundedIncoming {
    listener: Option<TcpListener>,
    connections: Connections,
    stop: CancellationToken,
}

impl std::fmt::Debug for BoundedIncoming {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BoundedIncoming").field("listener", &self.listener).finish()
    }
}

impl BoundedIncoming {
    /// Accepts connections from `listener` until `stop`, and starts the sweep.
    pub fn new(listener: TcpListener, connections: Connections, stop: CancellationToken) -> Self {
        tokio::spawn(connections.clone().sweep_forever(stop.clone()));
        BoundedIncoming { listener: Some(listener), connections, stop }
    }

    async fn accept_one(&self, listener: &TcpListener) -> io::Result<Conn> {
        self.connections.wait_for_room().await;
        let (stream, peer) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        self.connections.add(peer, stream.try_clone()?);
        Ok(Conn::from(tokio::net::TcpStream::from_std(stream)?))
    }
}

impl Incoming for BoundedIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let Some(listener) = &self.listener else { return std::future::pending().await };
        tokio::select! {
            accepted = self.accept_one(listener) => match accepted {
                Ok(conn) => Ok(Some(conn)),
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    Err(error)
                }
            },
            () = self.stop.cancelled() => {
                self.listener = None;
                std::future::pending().await
            }
        }
    }
}

impl volo::net::incoming::MakeIncoming for BoundedIncoming {
    type Incoming = BoundedIncoming;

    async fn make_incoming(self) -> io::Result<BoundedIncoming> {
        Ok(self)
    }
}
