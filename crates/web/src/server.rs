//! Runs a handler on a listener with a graceful stop: no response is cut off.
//!
//! `volo-http` ends by itself on SIGTERM, SIGINT or SIGHUP, and then waits about 30 s before it
//! drops the responses that are still being streamed. [`serve`] delays that from a shutdown hook
//! until `drain` reports that the last response has been sent, so the library's limit never takes
//! effect. The hook also waits until the service kernel asks the service to stop, so that a listener
//! stays open while services that depend on it still run.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use volo::context::Context;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::server::Server;

use crate::body;
use crate::listen::BoundedIncoming;
use crate::listen::Connections;
use crate::reply;
use crate::reply::Request;
use crate::reply::Response;

/// Time for connections to flush their last response when the stop came without a signal.
const FLUSH_GRACE: Duration = Duration::from_millis(200);
/// Most headers of a request.
const MAX_HEADERS: usize = 100;

/// A function from requests to responses.
pub type Handler = Arc<dyn Fn(Request) -> BoxFuture<'static, Response> + Send + Sync>;

/// Bounds of one listener.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLimits {
    /// Most bytes of all headers of a request together, names and values.
    pub max_header_bytes: usize,
    /// Time within which a new connection must send the headers of its first request.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// Most open connections.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            max_header_bytes: 32 << 10,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            max_connections: 8_192,
        }
    }
}

/// Counts the responses in flight, so that a stop can wait for the last one.
#[derive(Clone, Debug)]
pub struct Drain {
    open: Arc<watch::Sender<usize>>,
}

impl Default for Drain {
    fn default() -> Self {
        Drain { open: Arc::new(watch::Sender::new(0)) }
    }
}

/// One response in flight; dropping the guard counts the response as sent.
#[derive(Debug)]
pub struct InFlightGuard {
    drain: Drain,
}

impl Drain {
    /// Counts a new response, until the returned guard is dropped.
    pub fn begin(&self) -> InFlightGuard {
        self.open.send_modify(|open| *open += 1);
        InFlightGuard { drain: self.clone() }
    }

    /// Returns the number of responses in flight.
    pub fn count(&self) -> usize {
        *self.open.borrow()
    }

    /// Resolves when no response is in flight.
    pub async fn idle(&self) {
        let mut rx = self.open.subscribe();
        // This can't fail: the sender lives as long as `self`.
        let _ = rx.wait_for(|open| *open == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.drain.open.send_modify(|open| *open -= 1);
    }
}

#[derive(Clone)]
struct HandlerService {
    handler: Handler,
    connections: Connections,
    drain: Drain,
    max_header_bytes: usize,
}

/// Marks a connection as busy until the response has been sent or dropped.
struct RequestGuard {
    connections: Connections,
    peer: Option<SocketAddr>,
    /// Whether the whole response has been read for sending.
    is_complete: bool,
    _in_flight: InFlightGuard,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let Some(peer) = self.peer else { return };
        self.connections.request_ended(peer);
        if !self.is_complete {
            self.connections.close(peer);
        }
    }
}

impl volo::Service<ServerContext, volo_http::request::Request> for HandlerService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        cx: &mut ServerContext,
        req: volo_http::request::Request,
    ) -> Result<Response, Infallible> {
        let peer = match cx.rpc_info().caller().address() {
            Some(Address::Ip(peer)) => Some(peer),
            _ => None,
        };
        if let Some(peer) = peer {
            self.connections.request_began(peer);
        }
        let guard = RequestGuard {
            connections: self.connections.clone(),
            peer,
            // The body of a response to HEAD is never read.
            is_complete: req.method() == http::Method::HEAD,
            _in_flight: self.drain.begin(),
        };
        let (parts, body) = req.into_parts();
        let header_bytes: usize =
            parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        if header_bytes > self.max_header_bytes {
            let problem = format!("the headers are larger than {} bytes", self.max_header_bytes);
            let status = http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            let refused = reply::text(status, problem);
            return Ok(refused.map(|sent| hold(sent, guard)));
        }
        let request = Request {
            method: parts.method,
            path: parts.uri.path().into(),
            query: parts.uri.query().unwrap_or("").into(),
            headers: parts.headers,
            body,
            peer,
        };
        let response = (self.handler)(request).await;
        Ok(response.map(|sent| hold(sent, guard)))
    }
}

/// Returns `sent`, holding `guard` until it has been sent or dropped.
fn hold(sent: Body, guard: RequestGuard) -> Body {
    body::guarded(sent, guard, |guard| guard.is_complete = true)
}

/// Serves `listener` with `handler` until `stop` is cancelled and `drain` is idle.
///
/// New connections are accepted until `stop`.
///
/// # Errors
///
/// The server's error, as text, if it ended by itself.
pub async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Handler,
    drain: Drain,
    stop: CancellationToken,
) -> Result<(), Box<str>> {
    let connections =
        Connections::new(limits.max_connections, limits.header_timeout, limits.idle_timeout);
    let service = HandlerService {
        handler,
        connections: connections.clone(),
        drain: drain.clone(),
        max_header_bytes: limits.max_header_bytes,
    };
    let incoming = BoundedIncoming::new(listener, connections, stop.clone());
    let signalled = Arc::new(AtomicBool::new(false));
    let hook = {
        let (stop, drain, signalled) = (stop.clone(), drain.clone(), signalled.clone());
        move || {
            signalled.store(true, Ordering::Relaxed);
            drained(stop, drain).boxed()
        }
    };
    let mut server = Server::new(service).register_shutdown_hook(hook);
    server.http1_config().set_max_headers(MAX_HEADERS);
    let drained_without_signal = async {
        drained(stop, drain).await;
        if signalled.load(Ordering::Relaxed) {
            // The library closes idle connections and returns by itself.
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(FLUSH_GRACE).await;
    };
    tokio::select! {
        ended = server.run(incoming) => ended.map_err(|error| error.to_string().into()),
        () = drained_without_signal => Ok(()),
    }
}

/// Resolves when the service must stop and its last response has been sent.
async fn drained(stop: CancellationToken, drain: Drain) {
    stop.cancelled().await;
    drain.idle().await;
}
