//! Whether the server of an answer lives on after its connection has ended.
//!
//! The kernel of a process that ends closes its connections in order. So an answer of which only its connection tells the end is
//! whole only if something shows that the same process was there afterwards. That the server isn't known to have ended shows
//! nothing: it may be leaving, cut off, or replaced at its address by its next instance.
//!
//! The sign is a second connection, which this process holds to the server while such answers come from there: the kernel closes
//! it together with theirs. It is opened when the head of an answer has come, soon enough after the answer was known to be
//! outstanding that no other instance can be there yet. Where none was open at the end, one that is made then serves if it comes
//! as soon. In doubt an answer isn't whole.
//!
//! Times are those of a clock that counts suspensions, since what happened meanwhile is noticed late.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use web::pool::Probe;
use web::pool::probe_settled;
use web::running_time;

use crate::clock::since_boot;

/// How long the connections of a process that has ended may take to be closed, one after the other.
const CLOSING_TIME: Duration = Duration::from_millis(30);
/// A server that has ended isn't back at its address for longer than this.
const SHORTEST_ABSENCE: Duration = Duration::from_secs(1);
/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time until a connection that was closed, or couldn't be made, is made anew.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// How often it is noted that a connection is open.
const NOTE_PERIOD: Duration = Duration::from_millis(250);
/// Number of addresses from which on those that nothing watches are forgotten.
const MAX_ADDRESSES: usize = 1_024;

/// The servers that are watched. Answers of one server share a connection.
#[derive(Default)]
pub(super) struct LifeWatches {
    by_address: Mutex<HashMap<SocketAddr, Weak<LifeWatch>>>,
}

impl LifeWatches {
    /// Watches the server at `address` until the returned value, and its copies, are dropped.
    pub(super) fn watch(&self, address: SocketAddr) -> Arc<LifeWatch> {
        let mut by_address = self.by_address.lock();
        if let Some(watch) = by_address.get(&address).and_then(Weak::upgrade) {
            return watch;
        }
        if by_address.len() >= MAX_ADDRESSES {
            by_address.retain(|_, watch| watch.strong_count() > 0);
        }
        let watch = Arc::new(LifeWatch::start(address));
        by_address.insert(address, Arc::downgrade(&watch));
        watch
    }
}

/// What the connections to a server have shown.
#[derive(Default)]
struct Seen {
    /// Since when the same instance is known to be there.
    since: Option<Duration>,
    /// When a connection was last open.
    last: Duration,
    /// Whether a connection is open.
    is_open: bool,
    /// When a connection was last closed by the server.
    closed_at: Option<Duration>,
}

impl Seen {
    fn opened(&mut self, now: Duration) {
        if now.saturating_sub(self.last) > SHORTEST_ABSENCE {
            self.since = None;
        }
        self.since.get_or_insert(now);
        self.is_open = true;
        self.last = now;
    }

    fn closed(&mut self, now: Duration) {
        self.is_open = false;
        self.closed_at = Some(now);
    }
}

/// A connection to a server whose answers end with theirs.
pub(super) struct LifeWatch {
    address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    task: AbortHandle,
}

impl Drop for LifeWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LifeWatch {
    fn start(address: SocketAddr) -> Self {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let task = tokio::spawn(hold(address, seen.clone())).abort_handle();
        LifeWatch { address, seen, task }
    }

    /// Returns whether the instance that sent an answer was there after the answer's connection has ended, which it has just
    /// done. The answer was outstanding at the time `outstanding_at`.
    pub(super) async fn lives_on(&self, outstanding_at: Duration) -> bool {
        let ended_at = since_boot();
        tokio::time::sleep(CLOSING_TIME).await;
        let last = {
            let seen = self.seen.lock();
            if seen.closed_at.is_some_and(|at| at + CLOSING_TIME >= ended_at) {
                return false;
            }
            let is_same = seen
                .since
                .is_some_and(|since| since.saturating_sub(outstanding_at) <= SHORTEST_ABSENCE);
            if seen.is_open {
                return is_same;
            }
            if is_same { outstanding_at.max(seen.last) } else { outstanding_at }
        };
        let shown = probe_settled(self.address, CONNECT_TIMEOUT, CLOSING_TIME).await;
        shown == Probe::Accepted && since_boot().saturating_sub(last) <= SHORTEST_ABSENCE
    }
}

/// Holds a connection to `address`, and notes what it shows.
async fn hold(address: SocketAddr, seen: Arc<Mutex<Seen>>) {
    loop {
        let connecting = TcpStream::connect(address);
        if let Some(Ok(stream)) = running_time::within(CONNECT_TIMEOUT, connecting).await {
            seen.lock().opened(since_boot());
            until_closed(stream, &seen).await;
            seen.lock().closed(since_boot());
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Waits until the server closes a connection.
async fn until_closed(mut stream: TcpStream, seen: &Mutex<Seen>) {
    let mut buf = [0; 64];
    loop {
        match tokio::time::timeout(NOTE_PERIOD, stream.read(&mut buf)).await {
            Ok(Ok(len)) if len > 0 => {}
            Ok(_) => return,
            Err(_) => seen.lock().last = since_boot(),
        }
    }
}
