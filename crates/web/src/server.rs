//! Runs a handler on a listener until it is stopped, with no stream cut.
//!
//! `volo-http` ends by itself on SIGTERM, SIGINT or SIGHUP, and then waits about 30 s before it
//! drops what still streams. [`serve`] holds it open from a shutdown hook until `drain` says that
//! the last answer has been sent, so the library's limit never decides. The hook also waits for
//! the kernel to ask the service to stop, so that a listener stays open while services that need
//! it still run.

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

use crate::listen::BoundedIncoming;
use crate::listen::Connections;
use crate::reply;
use crate::reply::Request;
use crate::reply::Response;

/// How long finished connections get to flush when no signal has ended the server.
const FLUSH_GRACE: Duration = Duration::from_millis(200);
/// Most headers of a request.
const MAX_HEADERS: usize = 100;

/// A function from requests to responses.
pub type Handler = Arc<dyn Fn(Request) -> BoxFuture<'static, Response> + Send + Sync>;

/// Bounds of one listener.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLimits {
    /// Most bytes of all headers together.
    pub max_header_bytes: usize,
    /// How long a new connection may take to send its first headers.
    pub header_timeout: Duration,
    /// How long a connection may sit without a request.
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

/// Counts answers that are still being sent, so that a stop can wait for the last one.
#[derive(Clone, Debug)]
pub struct Drain {
    open: Arc<watch::Sender<usize>>,
}

impl Default for Drain {
    fn default() -> Self {
        Drain { open: Arc::new(watch::Sender::new(0)) }
    }
}

/// One answer in progress; dropping it counts the answer as sent.
#[derive(Debug)]
pub struct InFlightGuard {
    drain: Drain,
}

impl Drain {
    /// Counts a new answer.
    pub fn begin(&self) -> InFlightGuard {
        self.open.send_modify(|open| *open += 1);
        InFlightGuard { drain: self.clone() }
    }

    /// Returns how many answers are in progress.
    pub fn count(&self) -> usize {
        *self.open.borrow()
    }

    /// Resolves when no answer is in progress.
    pub async fn idle(&self) {
        let mut rx = self.open.subscribe();
        // The sender lives as long as this handle.
        let _ = rx.wait_for(|open| *open == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.drain.open.send_modify(|open| *open -= 1);
    }
}

#[derive(Clone)]
struct Dispatch {
    handler: Handler,
    connections: Connections,
    drain: Drain,
    max_header_bytes: usize,
}

/// Marks a connection as busy until the response has been sent.
struct Busy {
    connections: Connections,
    peer: Option<SocketAddr>,
    _in_progress: InFlightGuard,
}

impl Drop for Busy {
    fn drop(&mut self) {
        if let Some(peer) = self.peer {
            self.connections.request_ended(peer);
        }
    }
}

impl volo::Service<ServerContext, volo_http::request::Request> for Dispatch {
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
        let busy =
            Busy { connections: self.connections.clone(), peer, _in_progress: self.drain.begin() };
        let (parts, body) = req.into_parts();
        let header_bytes: usize =
            parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        if header_bytes > self.max_header_bytes {
            let problem = format!("the headers are larger than {} bytes", self.max_header_bytes);
            let status = http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Ok(reply::text(status, problem));
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
        Ok(response.map(|body| hold(body, busy)))
    }
}

/// Keeps `busy` until `body` has been sent or dropped.
fn hold(body: Body, busy: Busy) -> Body {
    Body::from_body(Held { body, _busy: busy })
}

struct Held {
    body: Body,
    _busy: Busy,
}

impl http_body::Body for Held {
    type Data = bytes::Bytes;
    type Error = volo_http::error::BoxError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<http_body::Frame<Self::Data>, Self::Error>>> {
        std::pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// Serves `listener` with `handler` until `stop` is cancelled and `drain` is idle.
///
/// New connections are accepted until `stop`. Returns an error if the server ended by itself.
pub async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Handler,
    drain: Drain,
    stop: CancellationToken,
) -> Result<(), Box<str>> {
    let connections =
        Connections::new(limits.max_connections, limits.header_timeout, limits.idle_timeout);
    let dispatch = Dispatch {
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
    let mut server = Server::new(dispatch).register_shutdown_hook(hook);
    server.http1_config().set_max_headers(MAX_HEADERS);
    let ended_here = async {
        drained(stop, drain).await;
        if signalled.load(Ordering::Relaxed) {
            // The library closes what is idle and returns by itself.
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(FLUSH_GRACE).await;
    };
    tokio::select! {
        ended = server.run(incoming) => ended.map_err(|error| error.to_string().into()),
        () = ended_here => Ok(()),
    }
}

/// Resolves when the service shall end and its last answer has been sent.
async fn drained(stop: CancellationToken, drain: Drain) {
    stop.cancelled().await;
    drain.idle().await;
}
