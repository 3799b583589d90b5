//! A connection pool whose errors tell whether a request was sent.
//!
//! The client of `volo-http` hides its connections: it can't set socket options, and can't tell a
//! request that was never sent from one that met a closed connection. A proxy needs both, so this
//! module uses the connections of `hyper`, the library below `volo-http`, directly.
//!
//! Invariants:
//! - A connection carries one request at a time and returns to the pool only after a complete
//!   response.
//! - The headers of a response say nothing of how its connection delimited it, but for its length; its extensions have the
//!   [`Delimiter`](crate::framing::Delimiter).
//! - A connection on which bytes arrive while no request is in flight is discarded.
//! - [`PoolError::NotSent`] is only returned if no byte of the request was sent.
//! - At most a given number of connections is open. For a new one beyond it, the connection that has been
//!   idle for longest is closed; if none is idle, the request isn't sent.
//! - A response to the first request of a connection carries [`FirstOnConnection`]. Another one may
//!   consist of bytes that the peer sent late after an earlier response: a connection is discarded for
//!   such bytes only if they were noticed before the request is written.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use volo_http::body::Body;

use crate::causes::IoCause;
use crate::causes::with_causes;
use crate::framing::without_framing;
use crate::not_sent::NotSentCause;
use crate::reply::Response;
use crate::running_time;

/// Most idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// Time for which sent bytes may stay unacknowledged before the connection is closed
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);
/// Most headers of a response.
const MAX_HEADERS: usize = 100;
/// Size of the read buffer of a connection in bytes, and with it of the largest head of a response.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// How long a new connection waits until the idle one that makes room for it is closed.
const CLOSING_TIME: Duration = Duration::from_millis(50);
/// Longest time for which an idle connection is kept because of a `Keep-Alive` header.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);

/// Why a request failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PoolError {
    /// {address}: not sent: {problem}
    NotSent {
        /// Address that the request was meant for.
        address: SocketAddr,
        /// Why it was not sent.
        problem: Box<str>,
        /// What that shows.
        cause: NotSentCause,
    },
    /// {address}: no complete response: {problem}
    Incomplete {
        /// Address that the request was sent to.
        address: SocketAddr,
        /// Why the response is missing or incomplete.
        problem: Box<str>,
    },
}

impl std::error::Error for PoolError {}

impl PoolError {
    /// Returns whether it shows a lack of this process, and nothing of the address.
    pub fn is_local(&self) -> bool {
        matches!(self, PoolError::NotSent { cause, .. } if !cause.is_evidence())
    }
}

/// Which pooled connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any connection that the peer is believed to keep open.
    Any,
    /// Only a connection that was idle for at most this long.
    IdleAtMost(Duration),
    /// Only a new connection.
    Never,
}

/// Marks a response (in its extensions) whose connection carried no request before: it can't belong
/// to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstOnConnection;

/// What a connection attempt shows of an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Something listens there.
    Accepted,
    /// Nothing listens there.
    Refused,
    /// Neither in time.
    NoAnswer,
    /// Nothing: this process had no means to try.
    NotTried,
}

/// Connects to `address`, and closes the connection at once if that succeeds within `timeout`.
pub async fn probe(address: SocketAddr, timeout: Duration) -> Probe {
    let Some(connected) = running_time::within(timeout, TcpStream::connect(address)).await else {
        return Probe::NoAnswer;
    };
    match connected.map_err(|error| NotSentCause::of(&error)) {
        Ok(_) => Probe::Accepted,
        Err(NotSentCause::Refused) => Probe::Refused,
        Err(cause) if !cause.is_evidence() => Probe::NotTried,
        Err(_) => Probe::NoAnswer,
    }
}

/// Does what [`probe`] does, and looks once more if the connection ends within `settle`: a process that is ending may close
/// the connections that it has before its port.
pub async fn probe_settled(address: SocketAddr, timeout: Duration, settle: Duration) -> Probe {
    let connecting = running_time::within(timeout, TcpStream::connect(address));
    let Some(Ok(mut stream)) = connecting.await else { return probe(address, timeout).await };
    let mut buf = [0];
    let end = stream.read(&mut buf);
    match tokio::time::timeout(settle, end).await {
        Ok(_) => probe(address, timeout).await,
        Err(_) => Probe::Accepted,
    }
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    /// Time after which it is not reused, if the peer sent a `Keep-Alive` timeout.
    reuse_until: Option<Instant>,
}

/// Settings of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Timeout of a connection attempt.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A pool of connections, by address. Clones share it.
///
/// Connections to addresses that are not used again would stay in the pool forever. Therefore,
/// whenever a connection is returned, all expired ones are dropped, but at most once per idle
/// timeout.
#[derive(Clone)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    last_sweep: Arc<Mutex<Instant>>,
    /// Connections that may still be opened.
    free: Arc<Semaphore>,
    settings: PoolSettings,
}

impl Pool {
    /// Creates an empty pool without a bound on its connections.
    pub fn new(settings: PoolSettings) -> Self {
        Pool::bounded(settings, Semaphore::MAX_PERMITS)
    }

    /// Creates an empty pool of at most `max_connections`.
    pub fn bounded(settings: PoolSettings, max_connections: usize) -> Self {
        Pool {
            idle: Arc::default(),
            last_sweep: Arc::new(Mutex::new(Instant::now())),
            free: Arc::new(Semaphore::new(max_connections.min(Semaphore::MAX_PERMITS))),
            settings,
        }
    }

    /// Returns the same pool, whose bound and connections it shares, for peers with another timeout of
    /// connection attempts.
    pub fn with_connect_timeout(&self, connect_timeout: Duration) -> Self {
        Pool { settings: PoolSettings { connect_timeout, ..self.settings }, ..self.clone() }
    }

    /// Returns the number of addresses that have idle connections in the pool.
    pub fn idle_addresses(&self) -> usize {
        self.idle.lock().len()
    }

    /// Closes the connections that may no longer be used, at most once per idle timeout.
    fn sweep(&self, now: Instant) {
        {
            let mut last_sweep = self.last_sweep.lock();
            if now.duration_since(*last_sweep) < self.settings.idle_timeout {
                return;
            }
            *last_sweep = now;
        }
        self.idle.lock().retain(|_, connections| {
            connections.retain(|idle| self.is_usable(idle, now, Reuse::Any));
            !connections.is_empty()
        });
    }

    /// Sends `request` and returns the response as soon as its headers have arrived.
    ///
    /// A request that met a closed pooled connection, and of which nothing was sent, is sent again
    /// on a new one. Dropping the future, or the response's body before its end, closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// [`PoolError::NotSent`] if no byte of the request was sent, else [`PoolError::Incomplete`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: http::Request<Bytes>,
        reuse: Reuse,
    ) -> Result<Response, PoolError> {
        let mut request = request.map(Full::new);
        if let Some(mut sender) = self.check_out(address, reuse) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.return_after_body(address, sender, response)),
                Err(mut error) => match error.take_message() {
                    // The connection had been closed already; nothing was sent on it.
                    Some(unsent) => request = unsent,
                    None => return Err(incomplete(address, &with_causes(error.error()))),
                },
            }
        }
        let mut sender = self.connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(mut response) => {
                response.extensions_mut().insert(FirstOnConnection);
                Ok(self.return_after_body(address, sender, response))
            }
            Err(mut error) => match error.take_message() {
                Some(_) => {
                    Err(not_sent(address, &with_causes(error.error()), NotSentCause::Closed))
                }
                None => Err(incomplete(address, &with_causes(error.error()))),
            },
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, PoolError> {
        let permit = self.permit(address).await?;
        let mut opened = self.open(address).await;
        if opened.as_ref().is_err_and(PoolError::is_local) && self.close_longest_idle() {
            tokio::time::sleep(CLOSING_TIME).await;
            opened = self.open(address).await;
        }
        let stream = opened?;
        // Failures are ignored: without these options the connection works as well, but sends small
        // packets later and notices a dead peer later.
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let mut builder = http1::Builder::new();
        builder.max_headers(MAX_HEADERS).max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake
            .map_err(|error| not_sent(address, &with_causes(&error), NotSentCause::Closed))?;
        tokio::spawn(async move {
            // Errors are reported to the request that is in flight on the connection.
            let _ = connection.await;
            drop(permit);
        });
        Ok(sender)
    }

    /// Waits for the permit to open a connection.
    async fn permit(&self, address: SocketAddr) -> Result<OwnedSemaphorePermit, PoolError> {
        if let Ok(permit) = self.free.clone().try_acquire_owned() {
            return Ok(permit);
        }
        let is_room_made = self.close_longest_idle();
        let acquiring = tokio::time::timeout(CLOSING_TIME, self.free.clone().acquire_owned());
        match is_room_made.then_some(acquiring) {
            Some(acquiring) => acquiring.await.ok().and_then(Result::ok),
            None => None,
        }
        .ok_or_else(|| {
            not_sent(address, &"all connections are in use", NotSentCause::LocalResource)
        })
    }

    /// Closes the connection that has been idle for longest; returns whether there was one.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.lock();
        // Connections are added at the end, so the first ones have been idle for longest.
        let oldest = idle.iter().filter_map(|(address, all)| Some((all.first()?.since, *address)));
        let Some((_, address)) = oldest.min() else { return false };
        let Some(connections) = idle.get_mut(&address) else { return false };
        connections.remove(0);
        if connections.is_empty() {
            idle.remove(&address);
        }
        true
    }

    async fn open(&self, address: SocketAddr) -> Result<TcpStream, PoolError> {
        let connecting = TcpStream::connect(address);
        match running_time::within(self.settings.connect_timeout, connecting).await {
            Some(Ok(stream)) => Ok(stream),
            Some(Err(error)) => {
                let problem = format!("{}: {error}", IoCause::from(&error));
                Err(not_sent(address, &problem, NotSentCause::of(&error)))
            }
            None => {
                let problem = "timed out: no connection in time";
                Err(not_sent(address, &problem, NotSentCause::TimedOut))
            }
        }
    }

    fn check_out(&self, address: SocketAddr, reuse: Reuse) -> Option<SendRequest<Full<Bytes>>> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| self.is_usable(idle, now, Reuse::Any));
        let last = connections.iter().rposition(|idle| self.is_usable(idle, now, reuse))?;
        Some(connections.remove(last).sender)
    }

    fn is_usable(&self, idle: &IdleConnection, now: Instant, reuse: Reuse) -> bool {
        let age = now.duration_since(idle.since);
        let fresh = match reuse {
            Reuse::Any => true,
            Reuse::IdleAtMost(bound) => age <= bound,
            Reuse::Never => false,
        };
        fresh
            && !idle.sender.is_closed()
            && age < self.settings.idle_timeout
            && idle.reuse_until.is_none_or(|reuse_until| now < reuse_until)
    }

    fn return_after_body(
        &self,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        response: http::Response<Incoming>,
    ) -> Response {
        let keep_alive = KeepAlive::of(response.headers());
        let response = without_framing(response);
        let checked_out = CheckedOut { pool: self.clone(), address, sender, keep_alive };
        response.map(|body| Body::from_body(TrackedBody { body, checked_out: Some(checked_out) }))
    }

    fn check_in(&self, checked_out: CheckedOut) {
        let now = Instant::now();
        self.sweep(now);
        let reuse_until = match checked_out.keep_alive {
            KeepAlive::Close => return,
            KeepAlive::Unlimited => None,
            KeepAlive::For(time) => Some(now + time),
        };
        let mut idle = self.idle.lock();
        let connections = idle.entry(checked_out.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection {
                sender: checked_out.sender,
                since: now,
                reuse_until,
            });
        }
    }
}

fn not_sent(address: SocketAddr, problem: &dyn ToString, cause: NotSentCause) -> PoolError {
    PoolError::NotSent { address, problem: problem.to_string().into(), cause }
}

fn incomplete(address: SocketAddr, problem: &dyn ToString) -> PoolError {
    PoolError::Incomplete { address, problem: problem.to_string().into() }
}

/// What the headers of a response say about keeping its connection open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeepAlive {
    Unlimited,
    Close,
    For(Duration),
}

impl KeepAlive {
    fn of(headers: &http::HeaderMap) -> Self {
        let text = |name: http::HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let closes = text(http::header::CONNECTION)
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        if closes {
            return KeepAlive::Close;
        }
        let keep_alive = text(http::HeaderName::from_static("keep-alive"));
        let seconds = keep_alive.and_then(|value| {
            let parameters = value.split(',').filter_map(|part| part.split_once('='));
            let mut timeouts = parameters.filter(|(name, _)| name.trim() == "timeout");
            timeouts.next().and_then(|(_, seconds)| seconds.trim().parse::<u64>().ok())
        });
        match seconds {
            None => KeepAlive::Unlimited,
            // Half of the time, so that no request is sent just as the peer closes the connection.
            Some(seconds) => {
                KeepAlive::For(Duration::from_secs(seconds).min(MAX_KEEP_ALIVE).mul_f64(0.5))
            }
        }
    }
}

struct CheckedOut {
    pool: Pool,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    keep_alive: KeepAlive,
}

/// A response body that returns its connection to the pool once it has been read completely.
struct TrackedBody {
    body: Incoming,
    checked_out: Option<CheckedOut>,
}

impl TrackedBody {
    fn return_connection(&mut self) {
        if let Some(checked_out) = self.checked_out.take() {
            let pool = checked_out.pool.clone();
            pool.check_in(checked_out);
        }
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.return_connection(),
            Poll::Ready(Some(Err(_))) => self.checked_out = None,
            Poll::Ready(Some(Ok(_))) if http_body::Body::is_end_stream(&self.body) => {
                self.return_connection()
            }
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
