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
    id: ConnectionId,
    connections: Connections,
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
        Connections { open: Arc::default(), count: watch::Sender::new(0), max, timeouts, observer }
    }

    /// Accepts the next connection, once there is room for it.
    pub(crate) async fn accept(
        &self,
        listener: &TcpListener,
        id: ConnectionId,
    ) -> (TrackedStream, OpenConnection) {
        self.wait_until(|count| count < self.max).await;
        loop {
            match accept_one(listener).await {
                Ok((stream, peer)) => return self.add(id, stream, peer),
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

    fn add(
        &self,
        id: ConnectionId,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> (TrackedStream, OpenConnection) {
        let activity = Activity::new(Instant::now());
        self.open.lock().insert(id, activity.clone());
        self.count.send_modify(|count| *count += 1);
        let stream = TrackedStream::new(stream, activity.clone());
        (stream, OpenConnection { peer, activity, id, connections: self.clone() })
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

    /// Closes connections that are idle for too long, and, once `stop` is cancelled, all idle ones until
    /// none is open.
    pub(crate) async fn sweep(self, stop: CancellationToken) {
        let mut period = tokio::time::interval(SWEEP_PERIOD);
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
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
