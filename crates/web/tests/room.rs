//! A listener with as many connections as it may have makes room for new ones, or marks their requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use web::prelude::*;

/// Connections whose requests are served.
const SERVED: usize = 3;
/// Connections beyond these.
const SURPLUS: usize = 2;
/// Time after which a connection without a request may be closed to make room.
const PAUSE: Duration = Duration::from_millis(40);
/// How long an expected event may take before a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server whose responses to requests for `/slow` come once the token is cancelled.
async fn start() -> (SocketAddr, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let gate = CancellationToken::new();
    let handler: web::server::Handler = {
        let gate = gate.clone();
        Arc::new(move |request: Request| {
            let gate = gate.clone();
            async move {
                if request.is_surplus {
                    return reply::text(StatusCode::SERVICE_UNAVAILABLE, "refused");
                }
                if &*request.path == "/slow" {
                    gate.cancelled().await;
                }
                reply::text(StatusCode::OK, "served")
            }
            .boxed()
        })
    };
    let limits =
        ServerLimits { max_connections: SERVED, max_surplus: SURPLUS, ..ServerLimits::default() };
    tokio::spawn(serve(listener, limits, handler, Drain::default(), CancellationToken::new()));
    (address, gate)
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("connected")
}

async fn send(stream: &mut TcpStream, path: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
}

/// Reads what comes next, a short response or the end of the connection.
async fn read(stream: &mut TcpStream) -> String {
    let mut buf = [0; 4096];
    let reading = stream.read(&mut buf);
    let count = tokio::time::timeout(WAIT_TIMEOUT, reading).await.expect("in time").unwrap_or(0);
    String::from_utf8_lossy(&buf[..count]).into_owned()
}

async fn ask(stream: &mut TcpStream, path: &str) -> String {
    send(stream, path).await;
    read(stream).await
}

// Guards against new callers that wait, unread, for those who keep connections without a request.
#[tokio::test]
async fn the_connection_that_was_idle_for_longest_makes_room() {
    let (address, gate) = start().await;
    let mut busy = connect(address).await;
    send(&mut busy, "/slow").await;
    tokio::time::sleep(PAUSE).await;
    let (mut first, mut second) = (connect(address).await, connect(address).await);
    assert!(ask(&mut first, "/").await.ends_with("served"));
    tokio::time::sleep(PAUSE).await;
    assert!(ask(&mut second, "/").await.ends_with("served"));
    let mut new = connect(address).await;
    assert!(ask(&mut new, "/").await.ends_with("served"));
    assert_eq!(read(&mut first).await, "", "the first one is closed");
    gate.cancel();
    assert!(read(&mut busy).await.ends_with("served"), "the one with a request isn't");
}

// Guards against callers that keep closed connections open, and thereby the room that these should make.
#[tokio::test]
async fn callers_that_do_not_close_make_room_as_well() {
    let (address, _gate) = start().await;
    let mut kept = Vec::new();
    for _ in 0..SERVED * 10 {
        let mut stream = connect(address).await;
        assert!(ask(&mut stream, "/").await.ends_with("served"));
        kept.push(stream);
        tokio::time::sleep(PAUSE).await;
    }
}

// Guards against requests that wait for others to end, or are cut off, while all connections have requests.
#[tokio::test]
async fn a_request_beyond_what_is_served_is_marked_and_its_connection_closed() {
    let (address, gate) = start().await;
    let mut busy = Vec::new();
    for _ in 0..SERVED {
        let mut stream = connect(address).await;
        send(&mut stream, "/slow").await;
        busy.push(stream);
    }
    tokio::time::sleep(PAUSE).await;
    for _ in 0..SURPLUS * 5 {
        let mut new = connect(address).await;
        let refused = ask(&mut new, "/").await;
        assert!(refused.starts_with("HTTP/1.1 503") && refused.ends_with("refused"), "{refused}");
        assert!(refused.to_lowercase().contains("connection: close"), "{refused}");
        assert_eq!(read(&mut new).await, "");
    }
    gate.cancel();
    for stream in &mut busy {
        assert!(read(stream).await.ends_with("served"));
    }
    let mut new = connect(address).await;
    assert!(ask(&mut new, "/").await.ends_with("served"));
}

// Guards against connections on which nothing comes that keep new callers out.
#[tokio::test]
async fn connections_without_a_byte_make_room() {
    let (address, _gate) = start().await;
    let mut unused = Vec::new();
    for _ in 0..(SERVED + SURPLUS) * 4 {
        unused.push(connect(address).await);
    }
    let mut new = connect(address).await;
    assert!(ask(&mut new, "/").await.ends_with("served"));
}
