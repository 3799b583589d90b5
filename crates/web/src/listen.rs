//! A listener that bounds the number of open connections and the time that they may be idle.
//!
//! At the bound, connections without a request are closed to make room, the longest idle ones first. If all
//! have requests, some more connections are accepted, and their requests marked
//! ([`Request::is_surplus`](crate::reply::Request::is_surplus)) so that the handler refuses them at once.
//! Beyond these, new connections wait in the operating system's accept queue.
//!
//! A periodic sweep closes connections that have had no request in flight for too long.
//!
//! Once the listener stops, connections without a request in flight are closed soon: a caller
//! that keeps one open would otherwise send its next request just as the process ends.
//!
//! Invariant: a connection with a request on it is not closed to make room.

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
use crate::connection::Dispensable;
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

/// Time between two looks for room while there is none.
const ROOM_PERIOD: Duration = Duration::from_millis(10);
/// How often a request on a surplus connection looks for room before it is refused.
const SURPLUS_LOOKS: usize = 3;
/// Shortest time between two log lines on connections that can't be accepted.
const ERROR_LOG_PERIOD: Duration = Duration::from_secs(5);

/// The number of a connection of one listener.
type ConnectionId = u64;

/// Bounds on the number of open connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Most connections whose requests are served.
    pub(crate) served: usize,
    /// Most connections beyond these.
    pub(crate) surplus: usize,
}

/// How many connections are open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    /// Connections that may carry requests.
    open: usize,
    /// Connections that are closed and wait for their peers.
    lingering: usize,
}

impl Counts {
    fn total(self) -> usize {
        self.open + self.lingering
    }
}

/// The open connections of one listener. Clones share them.
#[derive(Clone)]
pub(crate) struct Connections {
    open: Arc<Mutex<HashMap<ConnectionId, Arc<Activity>>>>,
    counts: watch::Sender<Counts>,
    next_id: Arc<AtomicU64>,
    bounds: Bounds,
    timeouts: Timeouts,
    errors: Arc<Mutex<ErrorLog>>,
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
    is_surplus: bool,
    is_lingering: bool,
    connections: Connections,
}

impl OpenConnection {
    /// Returns whether a part of a request has arrived, whether it was read or not.
    pub(crate) fn has_arriving_request(&self) -> bool {
        self.activity.is_arriving(self.unread.has_any())
    }

    /// Returns whether a part of a request has arrived that wasn't read yet.
    pub(crate) fn has_unread_request(&self) -> bool {
        self.unread.has_any() && self.activity.is_arriving(true)
    }

    /// Records that the connection is closed and only waits for its peer.
    pub(crate) fn begin_linger(&mut self) {
        self.is_lingering = true;
        self.connections.counts.send_modify(|counts| {
            counts.open -= 1;
            counts.lingering += 1;
        });
    }

    /// Returns how to find out whether its requests are beyond what is served.
    pub(crate) fn surplus(&self) -> Surplus {
        Surplus { is_surplus: self.is_surplus, connections: self.connections.clone() }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.lock().remove(&self.id);
        self.connections.counts.send_modify(|counts| match self.is_lingering {
            true => counts.lingering -= 1,
            false => counts.open -= 1,
        });
    }
}

/// Tells whether the requests of a connection are beyond what is served.
pub(crate) struct Surplus {
    is_surplus: bool,
    connections: Connections,
}

impl Surplus {
    /// Returns whether a request that comes now is. It isn't if others make room soon.
    pub(crate) async fn is_now(&self) -> bool {
        if !self.is_surplus {
            return false;
        }
        let (connections, served) = (&self.connections, self.connections.bounds.served);
        for _ in 0..SURPLUS_LOOKS {
            if !connections.may_make_room() {
                break;
            }
            let excess = connections.counts.borrow().open.saturating_sub(served);
            connections.dispense(excess, 0);
            let room = connections.wait_until(|counts| counts.open <= served);
            if tokio::time::timeout(ROOM_PERIOD, room).await.is_ok() {
                return false;
            }
        }
        connections.counts.borrow().open > served
    }
}

impl Connections {
    /// Creates the empty table of a listener.
    pub(crate) fn new(bounds: Bounds, timeouts: Timeouts, observer: Option<Observer>) -> Self {
        Connections {
            open: Arc::default(),
            counts: watch::Sender::new(Counts::default()),
            next_id: Arc::default(),
            bounds,
            timeouts,
            errors: Arc::default(),
            observer,
        }
    }

    /// Accepts the next connection, once there is room for it.
    pub(crate) async fn accept(&self, listener: &TcpListener) -> (TrackedStream, OpenConnection) {
        loop {
            self.room().await;
            match listener.accept().await {
                Ok((stream, peer)) => return self.add(stream, peer),
                Err(error) => {
                    match &self.observer {
                        Some(observer) => {
                            (observer.report)(ConnectionEvent::AcceptFailed(&error));
                        }
                        None => self.errors.lock().note(&error, Instant::now()),
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
        while self.counts.borrow().total() < self.most() {
            let Ok((stream, peer)) = listener.accept() else { break };
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            accepted.extend(stream.map(|stream| self.add(stream, peer)));
        }
        accepted
    }

    fn add(&self, stream: TcpStream, peer: SocketAddr) -> (TrackedStream, OpenConnection) {
        // Without the option the connection works as well, but sends small packets later.
        let _ = stream.set_nodelay(true);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let activity = Activity::new(Instant::now());
        self.open.lock().insert(id, activity.clone());
        self.counts.send_modify(|counts| counts.open += 1);
        let is_surplus = self.counts.borrow().open > self.bounds.served;
        let stream = TrackedStream::new(stream, activity.clone());
        let open = OpenConnection {
            peer,
            activity,
            unread: stream.unread_bytes(),
            id,
            is_surplus,
            is_lingering: false,
            connections: self.clone(),
        };
        (stream, open)
    }

    /// Returns how many connections may be open, those that wait for their peers included.
    fn most(&self) -> usize {
        self.bounds.served + self.bounds.surplus
    }

    /// Resolves when there is room for one more connection, and makes room for it.
    async fn room(&self) {
        let most = self.most();
        loop {
            let counts = *self.counts.borrow();
            self.dispense(
                (counts.open + 1).saturating_sub(self.bounds.served),
                (counts.total() + 1).saturating_sub(most),
            );
            let room = self.wait_until(|counts| counts.total() < most);
            if tokio::time::timeout(ROOM_PERIOD, room).await.is_ok() {
                return;
            }
        }
    }

    /// Returns whether some connection has no request, or there is room already.
    fn may_make_room(&self) -> bool {
        self.counts.borrow().open <= self.bounds.served
            || self.open.lock().values().any(|activity| activity.is_without_request())
    }

    /// Closes up to `idle` connections without a request, and cuts up to `lingering` that are closed.
    fn dispense(&self, idle: usize, lingering: usize) {
        if idle == 0 && lingering == 0 {
            return;
        }
        let now = Instant::now();
        let mut found: Vec<(Dispensable, Arc<Activity>)> = {
            let open = self.open.lock();
            let found = open.values().filter_map(|a| Some((a.dispensable(now)?, a.clone())));
            found.collect()
        };
        found.sort_by_key(|(dispensable, _)| *dispensable);
        let (mut idle, mut lingering) = (idle, lingering);
        for (dispensable, activity) in found {
            let left = match dispensable {
                Dispensable::Lingering(_) => &mut lingering,
                Dispensable::Idle(_) => &mut idle,
            };
            if *left > 0 {
                *left -= 1;
                activity.dispense_with(dispensable);
            }
        }
    }

    async fn wait_until(&self, is_met: impl Fn(Counts) -> bool) {
        let mut rx = self.counts.subscribe();
        // This can't fail: the sender lives as long as `self`.
        let _ = rx.wait_for(|counts| is_met(*counts)).await;
    }

    /// Resolves when no connection is open.
    pub(crate) async fn all_closed(&self) {
        self.wait_until(|counts| counts.total() == 0).await;
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
        while self.counts.borrow().total() > 0 {
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

/// Logs connections that can't be accepted, but not each of them.
#[derive(Default)]
struct ErrorLog {
    logged_at: Option<Instant>,
    /// Errors since then that weren't logged.
    left_out: u64,
}

impl ErrorLog {
    fn note(&mut self, error: &io::Error, now: Instant) {
        let is_due = self.logged_at.is_none_or(|at| now >= at + ERROR_LOG_PERIOD);
        if !is_due {
            self.left_out += 1;
            return;
        }
        log::warn!("cannot accept a connection: {error}; {} more before", self.left_out);
        *self = ErrorLog { logged_at: Some(now), left_out: 0 };
    }
}
