//! What the owner of a listener learns of connections that end under a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use web::body;
use web::observer::LostCause;
use web::prelude::*;
use web::server::Handler;

/// How long a test waits for a report.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a test waits for a report that must not come.
const QUIET_TIME: Duration = Duration::from_millis(300);

type Reports = mpsc::UnboundedReceiver<LostConnection>;

/// Serves `/done` at once, `/never` never, and breaks the response to `/broken` off.
async fn respond(request: Request) -> Response {
    match &*request.path {
        "/done" => reply::text(StatusCode::OK, "done"),
        "/never" => std::future::pending().await,
        _ => {
            let (tx, stream) = body::stream(());
            tokio::spawn(async move {
                tx.send("first").await;
                tx.abort("the server failed").await;
            });
            reply::with_type(StatusCode::OK, "text/plain", stream)
        }
    }
}

async fn start() -> (SocketAddr, Reports) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler: Handler = Arc::new(|request| respond(request).boxed());
    let (tx, rx) = mpsc::unbounded_channel();
    let report = move |event: ConnectionEvent<'_>| {
        if let ConnectionEvent::Lost(lost) = event {
            tx.send(lost.clone()).expect("the test waits");
        }
    };
    let id_header = http::HeaderName::from_static("x-id");
    let observer = Observer { id_header, report: Arc::new(report) };
    let limits =
        ServerLimits { header_timeout: Duration::from_millis(100), ..ServerLimits::default() };
    let stop = CancellationToken::new();
    let serving = serve_observed(listener, limits, handler, Drain::default(), stop, Some(observer));
    tokio::spawn(serving);
    (address, rx)
}

async fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(text.as_bytes()).await.expect("sent");
    stream
}

async fn next(reports: &mut Reports) -> LostConnection {
    let report = tokio::time::timeout(WAIT_TIMEOUT, reports.recv()).await;
    report.expect("a report in time").expect("the listener runs")
}

// Guards against lost answers of which no log says which request they belong to and why.
#[tokio::test]
async fn a_connection_that_ends_under_a_request_is_reported_with_its_cause() {
    let (address, mut reports) = start().await;
    let caller = send(address, "GET /never HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n\r\n").await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(caller);
    let lost = next(&mut reports).await;
    assert_eq!((&*lost.request, lost.cause), ("r1", LostCause::PeerClosed), "{lost:?}");
    assert!(lost.after >= Duration::from_millis(50), "{lost:?}");

    let mut caller = send(address, "GET /broken HTTP/1.1\r\nHost: a\r\nX-Id: r2\r\n\r\n").await;
    let lost = next(&mut reports).await;
    assert_eq!((&*lost.request, lost.cause), ("r2", LostCause::BodyAborted), "{lost:?}");
    assert!(lost.problem.contains("the server failed"), "{lost:?}");
    let _ = caller.read_to_end(&mut Vec::new()).await;

    let _arriving = send(address, "GET /done HTTP/1.1\r\nHost: a\r\n").await;
    let lost = next(&mut reports).await;
    assert_eq!((&*lost.request, lost.cause), ("", LostCause::HeaderTimeout), "{lost:?}");
}

// Guards against records of connections whose requests all have their answers.
#[tokio::test]
async fn a_connection_that_ends_between_requests_is_not_reported() {
    let (address, mut reports) = start().await;
    let mut caller = send(address, "GET /done HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n\r\n").await;
    let mut received = Vec::new();
    while !received.ends_with(b"done") {
        assert!(caller.read_buf(&mut received).await.expect("bytes") > 0, "closed");
    }
    drop(caller);
    drop(send(address, "").await);
    let report = tokio::time::timeout(QUIET_TIME, reports.recv()).await;
    assert!(report.is_err(), "{report:?}");
}
