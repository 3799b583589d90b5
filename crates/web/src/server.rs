//! Runs a handler on a listener with a graceful stop: no response is cut off.
//!
//! `volo-http` has the types of requests and bodies, but its server neither tells when a response has
//! been written nor lets its connections be closed one by one. Connections are therefore driven with
//! `hyper`, on streams that record their use (`connection`).

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;

use crate::body;
use crate::connection::Activity;
use crate::connection::Closing;
use crate::connection::Timeouts;
use crate::connection::TrackedStream;
use crate::listen::Bounds;
use crate::listen::Connections;
use crate::listen::OpenConnection;
use crate::listen::Surplus;
use crate::observer;
use crate::observer::ConnectionEvent;
use crate::observer::LostCause;
use crate::observer::LostConnection;
use crate::observer::Observer;
use crate::reply;
use crate::reply::Request;
use crate::reply::Response;

/// Time for which a peer may read nothing of a complete response, in idle timeouts. The kernel takes
/// bytes in large steps from a slow reader.
const WRITE_TIMEOUT_FACTOR: u32 = 4;
/// Most connections that wait to be accepted; the system may set a lower bound.
const MAX_UNACCEPTED: u32 = 4_096;
/// Time in which a request that has arrived is read.
const UNREAD_TIME: Duration = Duration::from_millis(10);
/// Bytes of a head beyond the names and values of its headers.
const REQUEST_LINE_BYTES: usize = 8 << 10;
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
    /// Most open connections whose requests are served.
    pub max_connections: usize,
    /// Most connections beyond these. Their requests are marked, so that the handler refuses them.
    pub max_surplus: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            max_header_bytes: 32 << 10,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            max_connections: 8_192,
            max_surplus: 0,
        }
    }
}

/// Counts the responses in flight, so that a stop can wait for the last one.
#[derive(Clone, Debug)]
pub struct Drain {
    open: Arc<watch::Sender<usize>>,
    unsent: Arc<AtomicUsize>,
}

impl Default for Drain {
    fn default() -> Self {
        Drain { open: Arc::new(watch::Sender::new(0)), unsent: Arc::default() }
    }
}

/// One response in flight; dropping the guard counts the response as sent.
#[derive(Debug)]
pub struct InFlightGuard {
    drain: Drain,
    is_read: AtomicBool,
    also: Option<AlsoInFlight>,
}

/// In the extensions of a handler's response: where else the response counts until it has been sent.
#[derive(Clone, Debug)]
pub struct AlsoInFlight(Arc<InFlightGuard>);

impl From<InFlightGuard> for AlsoInFlight {
    fn from(guard: InFlightGuard) -> Self {
        AlsoInFlight(Arc::new(guard))
    }
}

impl InFlightGuard {
    /// Records that the whole response has been read, and only has to be sent.
    pub(crate) fn response_read(&self) {
        if !self.is_read.swap(true, Ordering::Relaxed) {
            self.drain.unsent.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(AlsoInFlight(other)) = &self.also {
            other.response_read();
        }
    }
}

impl Drain {
    /// Counts a new response, until the returned guard is dropped.
    pub fn begin(&self) -> InFlightGuard {
        self.open.send_modify(|open| *open += 1);
        InFlightGuard { drain: self.clone(), is_read: AtomicBool::new(false), also: None }
    }

    /// Returns how many responses in flight are complete but haven't been written yet.
    pub fn unsent(&self) -> usize {
        self.unsent.load(Ordering::Relaxed)
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
        if *self.is_read.get_mut() {
            self.drain.unsent.fetch_sub(1, Ordering::Relaxed);
        }
        self.drain.open.send_modify(|open| *open -= 1);
    }
}

/// Serves the requests of one connection.
struct Service {
    handler: Handler,
    drain: Drain,
    max_header_bytes: usize,
    peer: SocketAddr,
    activity: Arc<Activity>,
    observer: Option<Observer>,
    surplus: Surplus,
}

/// Marks a connection as busy until the response has been read for sending, or dropped. The library ends
/// the connection of a response that is dropped before its end.
struct RequestGuard {
    activity: Arc<Activity>,
    in_flight: Option<InFlightGuard>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            self.activity.response_read(in_flight);
        }
    }
}

impl Service {
    async fn respond(&self, req: http::Request<Incoming>) -> Response {
        let id = self.observer.as_ref().map(|observer| observer.id_of(req.headers()));
        self.activity.request_began(id.unwrap_or_default());
        let mut guard =
            RequestGuard { activity: self.activity.clone(), in_flight: Some(self.drain.begin()) };
        let (parts, body) = req.into_parts();
        let header_bytes: usize =
            parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        if header_bytes > self.max_header_bytes {
            let problem = format!("the headers are larger than {} bytes", self.max_header_bytes);
            let status = http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            let refused = reply::text(status, problem);
            return refused.map(|sent| hold(sent, guard));
        }
        let is_surplus = self.surplus.is_now().await;
        let request = Request {
            method: parts.method,
            path: parts.uri.path().into(),
            query: parts.uri.query().unwrap_or("").into(),
            headers: parts.headers,
            body: Body::from_incoming(body),
            peer: Some(self.peer),
            is_surplus,
        };
        let handling = async { (self.handler)(request).await };
        let handled = AssertUnwindSafe(handling).catch_unwind().await;
        // The panic hook has the payload.
        let mut response = handled.unwrap_or_else(|_| self.after_panic());
        if let Some(in_flight) = &mut guard.in_flight {
            in_flight.also = response.extensions_mut().remove();
        }
        if is_surplus {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(http::header::CONNECTION, close);
        }
        response.map(|sent| hold(sent, guard))
    }

    /// Returns the response to a request whose handler panicked. The request may have had effects, and the
    /// connection is closed with the response.
    fn after_panic(&self) -> Response {
        let open = self.activity.open_request();
        if let (Some(observer), Some(open)) = (&self.observer, open) {
            let (request, after) = (&*open.id, open.after);
            (observer.report)(ConnectionEvent::HandlerPanicked { request, after });
        }
        let status = http::StatusCode::INTERNAL_SERVER_ERROR;
        let mut response = reply::text(status, "the request could not be handled");
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
        response
    }
}

/// Returns `sent`, holding `guard` until it has been read for sending or dropped.
fn hold(sent: Body, guard: RequestGuard) -> Body {
    body::guarded(sent, guard)
}

/// Serves `listener` with `handler` until `stop` is cancelled and all responses have been sent.
///
/// New connections are accepted until `stop`, those that wait then included. Responses count in `drain` until
/// the kernel has their last byte. Dropping the future doesn't close the listener: requests are served until
/// `stop`, or until the process ends.
///
/// # Errors
///
/// The problem, as text, if the server panicked.
pub async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Handler,
    drain: Drain,
    stop: CancellationToken,
) -> Result<(), Box<str>> {
    serve_observed(listener, limits, handler, drain, stop, None).await
}

/// Does what [`serve`] does, and tells `observer` what happens to the connections.
///
/// # Errors
///
/// As for [`serve`].
pub async fn serve_observed(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Handler,
    drain: Drain,
    stop: CancellationToken,
    observer: Option<Observer>,
) -> Result<(), Box<str>> {
    let timeouts = Timeouts {
        header: limits.header_timeout,
        idle: limits.idle_timeout,
        write: limits.idle_timeout * WRITE_TIMEOUT_FACTOR,
    };
    let bounds = Bounds { served: limits.max_connections, surplus: limits.max_surplus };
    let connections = Connections::new(bounds, timeouts, observer.clone());
    let closed = CancellationToken::new();
    tokio::spawn(connections.clone().sweep(closed.clone()));
    let start = {
        let (connections, drain) = (connections.clone(), drain.clone());
        async move {
            let _closed = closed.drop_guard();
            let run = |(stream, connection): (TrackedStream, OpenConnection)| {
                let service = Arc::new(Service {
                    handler: handler.clone(),
                    drain: drain.clone(),
                    max_header_bytes: limits.max_header_bytes,
                    peer: connection.peer,
                    activity: connection.activity.clone(),
                    observer: observer.clone(),
                    surplus: connection.surplus(),
                });
                tokio::spawn(run_connection(stream, connection, service));
            };
            loop {
                tokio::select! {
                    accepted = connections.accept(&listener) => run(accepted),
                    () = stop.cancelled() => break,
                }
            }
            connections.accept_waiting(listener).into_iter().for_each(run);
        }
    };
    tokio::spawn(start).await.map_err(|error| Box::<str>::from(error.to_string()))?;
    drain.idle().await;
    connections.all_closed().await;
    Ok(())
}

/// Tells the observer how a connection ended, when it is dropped.
struct LossGuard {
    peer: SocketAddr,
    activity: Arc<Activity>,
    observer: Option<Observer>,
    cause: LostCause,
    problem: Box<str>,
}

impl LossGuard {
    fn new(peer: SocketAddr, activity: Arc<Activity>, observer: Option<Observer>) -> Self {
        if let Some(observer) = &observer {
            (observer.report)(ConnectionEvent::Opened);
        }
        LossGuard { peer, activity, observer, cause: LostCause::ProcessEnded, problem: "".into() }
    }

    /// Records that the connection ended by itself.
    fn ended(&mut self, ended: Result<(), hyper::Error>) {
        self.cause = LostCause::Other;
        if let Err(error) = ended {
            self.cause = LostCause::from(&error);
            self.problem = observer::problem(&error);
        }
    }

    /// Records that the connection is closed since a time is over.
    fn timed_out(mut self) {
        let is_arriving = self.activity.open_request().is_some_and(|open| open.is_arriving);
        self.cause = match is_arriving {
            true => LostCause::HeaderTimeout,
            false => LostCause::WriteTimeout,
        };
    }
}

impl Drop for LossGuard {
    fn drop(&mut self) {
        let Some(observer) = &self.observer else { return };
        if std::thread::panicking() {
            self.cause = LostCause::Panicked;
        }
        let open = self.activity.open_request();
        // A request whose headers had not arrived was not taken, unless it was given up here.
        let open = open.filter(|open| !open.is_arriving || self.cause == LostCause::HeaderTimeout);
        if let Some(open) = open {
            (observer.report)(ConnectionEvent::Lost(&LostConnection {
                peer: self.peer,
                request: open.id,
                cause: self.cause,
                problem: std::mem::take(&mut self.problem),
                is_unsent: open.is_unsent,
                after: open.after,
            }));
        }
        (observer.report)(ConnectionEvent::Closed);
    }
}

/// Listens on `address`, with room for many connections that wait to be accepted.
///
/// Without room, the system drops the first packet of a connection, which is sent again after a second.
///
/// # Errors
///
/// Those of the system's calls.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_UNACCEPTED)
}

/// Serves one connection until it ends or must close.
async fn run_connection(stream: TrackedStream, mut open: OpenConnection, service: Arc<Service>) {
    let (activity, observer) = (open.activity.clone(), service.observer.clone());
    let max_buf_bytes = service.max_header_bytes + REQUEST_LINE_BYTES;
    let service = service_fn(move |req| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.respond(req).await) }.boxed()
    });
    let mut connection = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .max_buf_size(max_buf_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut loss = LossGuard::new(open.peer, activity, observer);
    let mut closing = Closing::No;
    loop {
        tokio::select! {
            // A request that has arrived is read before the connection may close.
            biased;
            ended = &mut connection => {
                loss.ended(ended);
                break;
            }
            changed = open.activity.closing(closing) => closing = changed,
        }
        let must_read = match closing {
            Closing::No => false,
            // The library would take the connection for idle and close it.
            Closing::WhenIdle => open.has_arriving_request(),
            // What has arrived in time was perhaps not read in time.
            Closing::Now => open.activity.keep_if_busy() || open.has_unread_request(),
        };
        if must_read {
            if let Ok(ended) = tokio::time::timeout(UNREAD_TIME, &mut connection).await {
                loss.ended(ended);
                break;
            }
            closing = Closing::No;
            continue;
        }
        match closing {
            Closing::No => {}
            Closing::WhenIdle => Pin::new(&mut connection).graceful_shutdown(),
            Closing::Now => return loss.timed_out(),
        }
    }
    drop(loss);
    open.begin_linger();
    // The read buffer is dropped first.
    let stream = connection.into_parts().io.into_inner();
    stream.linger().await;
}
