//! Connections to other processes, kept for reuse, whose errors say whether a request was sent.
//!
//! `volo-http`'s client hides its connections: it can't set the socket's options, and can't tell a
//! request that never left from one that met a closed connection. A relay needs both, so this
//! module drives `hyper`'s connections, the library below it.
//!
//! Invariants:
//! - A connection carries one request at a time and is kept only after a whole answer.
//! - A connection on which bytes arrive while no request waits is thrown away.
//! - [`PoolError::NotSent`] is only given when no byte of the request has left.

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
use tokio::net::TcpStream;
use volo_http::body::Body;

use crate::reply::Response;

/// Idle connections that are kept to one address.
const IDLE_PER_ADDRESS: usize = 64;
/// How long sent bytes may stay without acknowledgement before the connection is given up.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);
/// Most headers of an answer.
const MAX_HEADERS: usize = 100;

/// Why there was no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PoolError {
    /// {address}: not sent: {problem}
    NotSent {
        /// Where it would have gone.
        address: SocketAddr,
        /// Why it was not sent.
        problem: Box<str>,
        /// Whether the other end refused the connection, so that nothing listens there.
        refused: bool,
    },
    /// {address}: no whole answer: {problem}
    Incomplete {
        /// Where it went.
        address: SocketAddr,
        /// How it broke.
        problem: Box<str>,
    },
}

impl std::error::Error for PoolError {}

/// How old a kept connection may be for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any connection that the other end is believed to keep open.
    Any,
    /// Only a connection that was idle for at most this long.
    IdleAtMost(Duration),
    /// Only a new connection.
    Never,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    /// When the other end closes it, by its own word.
    until: Option<Instant>,
}

/// Bounds of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// How long connecting may take.
    pub connect_timeout: Duration,
    /// How long a connection is kept idle.
    pub idle_timeout: Duration,
}

/// Connections kept for reuse, by address. Clones share them.
///
/// Addresses that are never asked for again would stay: whenever a connection is kept, those that
/// were idle for too long are dropped, at most once in the time that they may be idle.
#[derive(Clone)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
    swept: Arc<Mutex<Instant>>,
    settings: PoolSettings,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Pool { idle: Arc::default(), swept: Arc::new(Mutex::new(Instant::now())), settings }
    }

    /// Returns how many addresses connections are kept for.
    pub fn idle_addresses(&self) -> usize {
        self.idle.lock().len()
    }

    /// Closes what was idle for too long.
    fn sweep(&self, now: Instant) {
        {
            let mut swept = self.swept.lock();
            if now.duration_since(*swept) < self.settings.idle_timeout {
                return;
            }
            *swept = now;
        }
        self.idle.lock().retain(|_, kept| {
            kept.retain(|idle| self.is_usable(idle, now, Reuse::Any));
            !kept.is_empty()
        });
    }

    /// Sends `request` and returns the answer once its headers are there.
    ///
    /// Dropping the future, or the answer's body before its end, closes the connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: http::Request<Bytes>,
        reuse: Reuse,
    ) -> Result<Response, PoolError> {
        let mut request = request.map(Full::new);
        if let Some(mut sender) = self.take(address, reuse) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.keep_after(address, sender, response)),
                Err(mut error) => match error.take_message() {
                    // The connection had been closed; nothing left on it.
                    Some(unsent) => request = unsent,
                    None => return Err(broken(address, error.error())),
                },
            }
        }
        let mut sender = self.connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.keep_after(address, sender, response)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(not_sent(address, error.error(), false)),
                None => Err(broken(address, error.error())),
            },
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, PoolError> {
        let connecting = TcpStream::connect(address);
        let stream = match tokio::time::timeout(self.settings.connect_timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
                return Err(not_sent(address, &error, refused));
            }
            Err(_) => return Err(not_sent(address, &"no connection in time", false)),
        };
        // Without these options the connection works all the same, only less promptly.
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        let mut builder = http1::Builder::new();
        builder.max_headers(MAX_HEADERS);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(address, &error, false))?;
        tokio::spawn(async move {
            // Its errors reach the request that waits on it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take(&self, address: SocketAddr, reuse: Reuse) -> Option<SendRequest<Full<Bytes>>> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&address)?;
        kept.retain(|idle| self.is_usable(idle, now, Reuse::Any));
        let last = kept.iter().rposition(|idle| self.is_usable(idle, now, reuse))?;
        Some(kept.remove(last).sender)
    }

    fn is_usable(&self, idle: &Idle, now: Instant, reuse: Reuse) -> bool {
        let age = now.duration_since(idle.since);
        let fresh = match reuse {
            Reuse::Any => true,
            Reuse::IdleAtMost(bound) => age <= bound,
            Reuse::Never => false,
        };
        fresh
            && !idle.sender.is_closed()
            && age < self.settings.idle_timeout
            && idle.until.is_none_or(|until| now < until)
    }

    fn keep_after(
        &self,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        response: http::Response<Incoming>,
    ) -> Response {
        let keep = Kept::of(response.headers());
        let ticket = Ticket { pool: self.clone(), address, sender, keep };
        response.map(|body| Body::from_body(Tracked { body, ticket: Some(ticket) }))
    }

    fn put(&self, ticket: Ticket) {
        let now = Instant::now();
        self.sweep(now);
        let until = match ticket.keep {
            Kept::No => return,
            Kept::Yes => None,
            Kept::For(time) => Some(now + time),
        };
        let mut idle = self.idle.lock();
        let kept = idle.entry(ticket.address).or_default();
        if kept.len() < IDLE_PER_ADDRESS {
            kept.push(Idle { sender: ticket.sender, since: now, until });
        }
    }
}

fn not_sent(address: SocketAddr, problem: &dyn ToString, refused: bool) -> PoolError {
    PoolError::NotSent { address, problem: problem.to_string().into(), refused }
}

fn broken(address: SocketAddr, problem: &dyn ToString) -> PoolError {
    PoolError::Incomplete { address, problem: problem.to_string().into() }
}

/// What the headers of an answer say about its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kept {
    Yes,
    No,
    For(Duration),
}

impl Kept {
    fn of(headers: &http::HeaderMap) -> Self {
        let text = |name: http::HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let closes = text(http::header::CONNECTION)
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        if closes {
            return Kept::No;
        }
        let keep_alive = text(http::HeaderName::from_static("keep-alive"));
        let seconds = keep_alive.and_then(|value| {
            let parameters = value.split(',').filter_map(|part| part.split_once('='));
            let mut timeouts = parameters.filter(|(name, _)| name.trim() == "timeout");
            timeouts.next().and_then(|(_, seconds)| seconds.trim().parse::<u64>().ok())
        });
        match seconds {
            None => Kept::Yes,
            // Half of it, so that a request doesn't cross the other end's close.
            Some(seconds) => Kept::For(Duration::from_millis(seconds * 500)),
        }
    }
}

struct Ticket {
    pool: Pool,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    keep: Kept,
}

/// A body that gives its connection back once it has been read whole.
struct Tracked {
    body: Incoming,
    ticket: Option<Ticket>,
}

impl Tracked {
    fn ended(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let pool = ticket.pool.clone();
            pool.put(ticket);
        }
    }
}

impl http_body::Body for Tracked {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.ended(),
            Poll::Ready(Some(Err(_))) => self.ticket = None,
            Poll::Ready(Some(Ok(_))) if http_body::Body::is_end_stream(&self.body) => self.ended(),
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
