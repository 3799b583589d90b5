//! A listener that bounds the number of open connections and the time that they may be idle.
//!
//! At the bound, new connections wait in the operating system's accept queue. A periodic sweep closes
//! connections that have had no request in flight for too long.
//!
//! Once the listener stops, connections without a request in flight are closed soon: a caller
//! that keeps one open would otherwise send its next request just as the process ends.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::connection::Activity;
use crate::connection::Timeouts;
use crate::connection::TrackedStream;
use crate::connection::UnreadBytes;
use crate::observer::ConnectionEvent;
use crate::observer::Observer;

/// Interval between sweeps.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Interval between checks for idle connections once the listener has stopped.
const CLOSING_PERIOD: Duration = Duration::from_millis(50);
/// Time until the next try if no connection can be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The number of a connection of one listener.
type ConnectionId = u64;

/// The open connections of one listener. Clones share them.
#[derive(Clone)]
pub(crate) struct Connections {
    open: Arc<Mutex<HashMap<ConnectionId, Arc<Activity>>>>,
    count: watch::Sender<usize>,
    next_id: Arc<AtomicU64>,
    max: usize,
    timeouts: Timeouts,
    observer: Option<Observer>,
}

/// One open connection; dropping it makes room for another one.
pub(crate) struct OpenConnection {
    /// Address of the peer.
    pub(crate) peer: SocketAddr,
    /// Its use.
    pub(crate) activity: Arc<Activity>,
    unread: UnreadBytes,
    id: ConnectionId,
    connections: Connections,
}

impl OpenConnection {
    /// Returns whether a request has arrived of which nothing was read yet.
    pub(crate) fn has_unread_request(&self) -> bool {
        self.activity.is_idle() && self.unread.has_any()
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.lock().remove(&self.id);
        self.connections.count.send_modify(|count| *count -= 1);
    }
}

impl Connections {
    /// Creates the empty table of a listener. At most `max` connections are open.
    pub(crate) fn new(max: usize, timeouts: Timeouts, observer: Option<Observer>) -> Self {
        Connections {
            open: Arc::default(),
            count: watch::Sender::new(0),
            next_id: Arc::default(),
            max,
            timeouts,
            observer,
        }
    }

    /// Accepts the next connection, once there is room for it.
    pub(crate) async fn accept(&self, listener: &TcpListener) -> (TrackedStream, OpenConnection) {
        self.wait_until(|count| count < self.max).await;
        loop {
            match accept_one(listener).await {
                Ok((stream, peer)) => return self.add(stream, peer),
                Err(error) => {
                    match &self.observer {
                        Some(observer) => {
                            (observer.report)(ConnectionEvent::AcceptFailed(&error));
                        }
                        None => log::warn!("cannot accept a connection: {error}"),
                    }
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }

    /// Closes the listener, and returns the connections that had waited to be accepted, as far as there is
    /// room. Closing it resets the others.
    pub(crate) fn accept_waiting(
        &self,
        listener: TcpListener,
    ) -> Vec<(TrackedStream, OpenConnection)> {
        let mut accepted = Vec::new();
        // The runtime of a process that runs late doesn't know yet that connections wait.
        let Ok(listener) = listener.into_std() else { return accepted };
        while *self.count.borrow() < self.max {
            let Ok((stream, peer)) = listener.accept() else { break };
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            // Without this option, small packets are sent later.
            let stream = stream.inspect(|stream| drop(stream.set_nodelay(true)));
            accepted.extend(stream.map(|stream| self.add(stream, peer)));
        }
        accepted
    }

    fn add(&self, stream: TcpStream, peer: SocketAddr) -> (TrackedStream, OpenConnection) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let activity = Activity::new(Instant::now());
        self.open.lock().insert(id, activity.clone());
        self.count.send_modify(|count| *count += 1);
        let stream = TrackedStream::new(stream, activity.clone());
        let unread = stream.unread_bytes();
        (stream, OpenConnection { peer, activity, unread, id, connections: self.clone() })
    }

    async fn wait_until(&self, is_met: impl Fn(usize) -> bool) {
        let mut rx = self.count.subscribe();
        // This can't fail: the sender lives as long as `self`.
        let _ = rx.wait_for(|count| is_met(*count)).await;
    }

    /// Resolves when no connection is open.
    pub(crate) async fn all_closed(&self) {
        self.wait_until(|count| count == 0).await;
    }

    /// Closes connections that are idle for too long, and, once `closed` is cancelled and no more are
    /// accepted, all idle ones until none is open.
    pub(crate) async fn sweep(self, closed: CancellationToken) {
        let mut period = tokio::time::interval(SWEEP_PERIOD);
        loop {
            tokio::select! {
                () = closed.cancelled() => break,
                _ = period.tick() => self.expire(),
            }
        }
        while *self.count.borrow() > 0 {
            self.expire();
            let now = Instant::now();
            self.open.lock().values().for_each(|activity| activity.close_when_idle(now));
            tokio::time::sleep(CLOSING_PERIOD).await;
        }
    }

    fn expire(&self) {
        let now = Instant::now();
        self.open.lock().values().for_each(|activity| activity.expire(now, self.timeouts));
    }
}

async fn accept_one(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let (stream, peer) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, peer))
}
